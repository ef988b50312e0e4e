"""The lease of the duties that one entry process at a time does, and its state.

One row of the store holds the holder, the fencing number and what a successor must repeat. The
holder renews it with one conditional write, so that a process that lost the lease finds out. Others
do not read the row while they hear the holder: they take over when they have neither heard it nor
seen the row change for longer than the lease.

A VM that held the lease, lost it to another and takes it again waits for a whole lease before it
acts: its calls before and after those of the other are never closer than that.
"""

import math
import random
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field, replace

import orjson

from flamingofront.errors import PlatformError
from flamingofront.messages import Sleep
from flamingofront.process.forwarding.reports import PeerReport
from flamingofront.process.logs import Log
from flamingofront.process.store import RowCondition, RowWrite, StoredRow, TableStore, get_era
from flamingofront.process.tasks import Task

__all__ = ["LeaderLease", "LeaseState", "HeldLease"]

LEADER_TABLE = "duties"
LEADER_PARTITION = "duties"
LEADER_KEY = "all"
RENEWALS_PER_LEASE = 3
# A call of the last holder may still be on its way for as long as it waits for an answer (1 s).
TAKEOVER_MARGIN_SECONDS = 1.2
# The holder acts only while so much of its lease is left: the way of a call to the cloud.
ACT_MARGIN_SECONDS = 0.3
RETRY_SECONDS = 0.3
# The longest call of this holder that may be in flight when it gives the lease up.
LONGEST_ACT_SECONDS = 1.1
# Holders that the row remembers. With a second or so a holder, as in a rolling restart, they cover
# several leases.
PAST_HOLDERS = 8
# Fencing numbers that are left out by the first holder after the store's return from a copy: more
# than the changes of holder that such a copy can lack. One takes a second at least, a copy is some
# seconds old.
ERA_GAP = 100


@dataclass(frozen=True)
class LeaseState:
    """The row: who holds the duties and what was reported.

    Parameters
    ----------
    holder : str
        VM of the holder, empty if nobody holds the lease.
    incarnation : int
        Process of the holder.
    fencing : int
        Grows with each change of holder.
    reports : mapping
        Usage counts by window, as they are or will be reported.
    past : tuple of str
        VMs that held the lease before, the last one first.
    era : int
        Era of the store in which the row was written.
    """

    holder: str = ""
    incarnation: int = 0
    fencing: int = 0
    reports: Mapping[str, Mapping[str, int]] = field(default_factory=dict)
    past: tuple[str, ...] = ()
    era: int = 0


@dataclass(frozen=True)
class HeldLease:
    """A lease held here; times on the own clock."""

    fencing: int
    taken_at: float
    acts_from: float
    valid_until: float


class LeaderLease:
    """Takes, keeps and gives up the duty lease.

    Parameters
    ----------
    duration : float
        Seconds that a lease lasts without renewal.

    Attributes
    ----------
    state : LeaseState
        The row as it was seen last.
    released : int
        Fencing number of the lease that this process has given up; 0 if it has not.
    """

    def __init__(
        self,
        store: TableStore,
        vm_id: str,
        incarnation: int,
        duration: float,
        now: Callable[[], float],
        rng: random.Random,
        log: Log,
    ):
        self.state = LeaseState()
        self._store = store
        self._vm_id = vm_id
        self._incarnation = incarnation
        self._duration = duration
        self._now = now
        self._rng = rng
        self._log = log
        self._version: int | None = None
        self._lease: HeldLease | None = None
        self._evidence_at = now()
        self._announced = 0
        self._heard_fencing = 0
        self._stopped = False
        self._writing = False
        self.released = 0
        self._era = 0
        self._highest_fencing = 0
        self._known_reports: dict[str, Mapping[str, int]] = {}
        # Called when the lease is taken after the store's return from a copy: what the holders
        # before have reported since then is not known.
        self.on_gap: Callable[[], None] = lambda: None

    @property
    def version(self) -> int:
        """Version of the row after the last renewal."""
        return self._version or 0

    def held(self) -> HeldLease | None:
        """Return the lease if this process may act on it now; to be called before each act."""
        lease = self._lease
        if lease is None or self._stopped:
            return None
        now = self._now()
        if now < lease.acts_from or now >= lease.valid_until - ACT_MARGIN_SECONDS:
            return None
        return lease

    def holding(self) -> HeldLease | None:
        """Return the lease if it is valid, also while this process may not yet act on it."""
        lease = self._lease
        return lease if lease is not None and self._now() < lease.valid_until else None

    def heard(self, report: PeerReport) -> None:
        """Take word of a peer that holds the lease, or has given it up."""
        if report.released and report.released >= max(self.state.fencing, self._heard_fencing):
            self._evidence_at = -math.inf
            return
        self._highest_fencing = max(self._highest_fencing, report.fencing, report.released)
        if report.fencing and report.fencing >= self.state.fencing:
            self._evidence_at = self._now()
            self._heard_fencing = report.fencing
            self._announced = max(self._announced, report.lease_version)

    def run(self) -> Task:
        """Keep the lease, or watch it until it is free; ends after `release`."""
        while not self._stopped:
            try:
                yield from self._step()
            except PlatformError as exc:
                self._log.warning("duty lease not reached", detail=str(exc))
                yield Sleep(RETRY_SECONDS * (0.5 + self._rng.random()))
                continue
            yield Sleep(self._pause(), relaxed=True)

    def _pause(self) -> float:
        if self._lease is not None:
            return self._duration / RENEWALS_PER_LEASE
        return RETRY_SECONDS * (0.5 + self._rng.random())

    def _step(self) -> Task:
        if self._lease is not None:
            if self._now() < self._lease.valid_until or not (yield from self._lost_in_a_copy()):
                yield from self.renew()
            return
        if self._version is None or self._has_expired():
            yield from self._look()

    def _lost_in_a_copy(self) -> Task:
        """Tell whether a lease that has lapsed must be taken anew, and not just renewed.

        Notes
        -----
        That nobody took it meanwhile shows in the row; but not if the store has come back from a
        copy of before: a holder that had stood still went on with a number lower than that of its
        successor.
        """
        era = self._era
        found = yield from self._store.read(LEADER_TABLE, LEADER_PARTITION)
        if get_era(found.version) == era:
            return False
        self._log.warning("duty lease lost", fencing=self._lease.fencing, era=era)
        self._lease = None
        row = next((each for each in found.rows if each.key == LEADER_KEY), None)
        self._saw(row, found.version)
        self._evidence_at = self._now()
        return True

    def _has_expired(self) -> bool:
        """Tell whether the last sign of the holder is older than its lease can be."""
        waited = self._now() - self._evidence_at
        return waited >= self._duration + TAKEOVER_MARGIN_SECONDS

    def _look(self) -> Task:
        """Read the row and take the lease if it is free."""
        known, self._version = self._version, None
        found = yield from self._store.read(LEADER_TABLE, LEADER_PARTITION)
        row = next((each for each in found.rows if each.key == LEADER_KEY), None)
        self._saw(row, found.version)
        if known is None or self._version not in (known, self._announced):
            self._evidence_at = self._now()
        # Word of a new holder may have come while the row was read, so the wait is looked at again.
        if not self.state.holder or self._is_held_by_vm() or self._has_expired():
            yield from self._take()

    def _saw(self, row: StoredRow | None, version: int) -> None:
        """Take in what the row holds now, with what is known of it from before.

        Notes
        -----
        A store that came back from a copy lacks what was written since. Reports that this process
        knows to have been there may have been sent, and stand.
        """
        self._era = max(self._era, get_era(version))
        self._version = row.version if row is not None else 0
        state = _decode(row)
        self._highest_fencing = max(self._highest_fencing, state.fencing)
        for window in [each for each in self._known_reports if each not in state.reports]:
            if state.era >= self._era:
                # A holder of this era has dropped it: it is long reported.
                del self._known_reports[window]
        self._known_reports = {**state.reports, **self._known_reports}
        self.state = replace(state, reports=dict(self._known_reports))

    def _is_held_by_vm(self) -> bool:
        """Tell whether an earlier process of this VM held the lease: it is gone for sure."""
        return self.state.holder == self._vm_id

    def _take(self) -> Task:
        last = self.state.holder
        past = ((last,) if last else ()) + tuple(self.state.past)
        is_behind = self.state.era < self._era
        state = replace(
            self.state,
            holder=self._vm_id,
            incarnation=self._incarnation,
            fencing=self._highest_fencing + (ERA_GAP if is_behind else 1),
            past=past[:PAST_HOLDERS],
        )
        sent_at = self._now()
        if not (yield from self._write(state)):
            # Somebody else has just taken it: its lease begins now.
            self._evidence_at = self._now()
            self._log.info("duty lease not taken", fencing=state.fencing)
            return
        if is_behind:
            self.on_gap()
        # Who held the lease since the copy is not known, so that this one may have, too.
        returned = is_behind or (self._vm_id in past and past[0] != self._vm_id)
        acts_from = self._now() + self._duration if returned else sent_at
        self._lease = HeldLease(state.fencing, sent_at, acts_from, sent_at + self._duration)
        self._log.info("duty lease taken", fencing=state.fencing, last_holder=last)

    def renew(self, reports: Mapping[str, Mapping[str, int]] | None = None) -> Task:
        """Renew the lease, and store reports with the same write; True if that was done.

        Notes
        -----
        One write is in flight at a time: of two, the second would be repeated with a state from
        before the first and undo it.

        Raises
        ------
        PlatformError
            If the store did not answer: whether the lease was renewed is then not known.
        """
        if self._lease is None or self._writing:
            return False
        self._writing = True
        try:
            return (yield from self._renew(reports))
        finally:
            self._writing = False

    def _renew(self, reports: Mapping[str, Mapping[str, int]] | None) -> Task:
        fencing = self._lease.fencing
        own = self.state
        for _ in range(2):
            if self.state.fencing < fencing:
                self.state = replace(own, reports=self.state.reports)
            state = self.state if reports is None else replace(self.state, reports=reports)
            sent_at = self._now()
            if (yield from self._write(state)):
                if self._lease is not None:
                    self._lease = replace(self._lease, valid_until=sent_at + self._duration)
                return self._lease is not None
            if self._is_older_copy(fencing):
                # The row is from before this lease: nobody has taken it in this era.
                continue
            if not self._is_mine(self.state, fencing):
                self._log.warning("duty lease lost", fencing=fencing)
                self._lease = None
                self._evidence_at = self._now()
                return False
            # A write whose answer was lost has taken effect: what it stored stays as it is.
            reports = None
        return False

    def _write(self, state: LeaseState) -> Task:
        """Write the row if it is as it was seen last; if not, take over what it holds now."""
        state = replace(state, era=self._era)
        condition = RowCondition(LEADER_TABLE, LEADER_KEY, self._version or 0)
        write = RowWrite(LEADER_TABLE, LEADER_KEY, _encode(state))
        outcome = yield from self._store.transact(LEADER_PARTITION, (condition,), (write,))
        if outcome.ok:
            self._era = max(self._era, get_era(outcome.version))
            self._version, self.state = outcome.version, state
            self._highest_fencing = max(self._highest_fencing, state.fencing)
            self._known_reports = dict(state.reports)
            return True
        row = next((each for each in outcome.rows if each.key == LEADER_KEY), None)
        self._saw(row, outcome.version)
        return False

    def _is_older_copy(self, fencing: int) -> bool:
        """Tell whether the row is what a copy had before this process took its lease."""
        return self.state.era < self._era and self.state.fencing < fencing

    def _is_mine(self, found: LeaseState, fencing: int) -> bool:
        own = (self._vm_id, self._incarnation, fencing)
        return (found.holder, found.incarnation, found.fencing) == own

    def release(self) -> Task:
        """Give the lease up, so that a successor need not wait; ends `run`.

        Notes
        -----
        A call that is still in flight must not arrive behind the successor's first one.
        """
        self._stopped = True
        lease = self._lease
        if lease is None:
            return
        yield Sleep(LONGEST_ACT_SECONDS)
        self._lease = None
        past = (self._vm_id, *self.state.past)[:PAST_HOLDERS]
        try:
            yield from self._write(replace(self.state, holder="", past=past))
            self.released = lease.fencing
            self._log.info("duty lease released", fencing=lease.fencing)
        except PlatformError as exc:
            self._log.info("duty lease runs out by itself", detail=str(exc))


def _encode(state: LeaseState) -> bytes:
    return orjson.dumps(state)


def _decode(row: StoredRow | None) -> LeaseState:
    """Return the state in a row; a malformed one counts as held by nobody known."""
    if row is None or row.value is None:
        return LeaseState()
    try:
        values = orjson.loads(row.value)
        return LeaseState(**{**values, "past": tuple(values.get("past", ()))})
    except (TypeError, orjson.JSONDecodeError) as exc:
        raise PlatformError(f"malformed duty row: {exc}") from exc
