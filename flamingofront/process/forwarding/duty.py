"""Lease of the process that runs the leader tasks, and the state kept with it.

One row of the store holds the lease holder, its fencing token and the usage reports that a
successor may have to send again. The holder renews the lease with a conditional write, so a process
that lost the lease finds out. Other processes do not read the row while they receive reports from
the holder: they try to acquire the lease once neither a report nor a change of the row has been
seen for longer than the lease.

A VM that held the lease, lost it to another and acquires it again waits for a whole lease before it
acts: its calls before and after those of the other holder are never closer than that.

A call is checked against the lease when it begins, and again right before its bytes are written
(`LeaderCall`). From then on only the kernel delays it, for `MAX_DELIVERY_SECONDS` at most.
"""

import random
from collections.abc import Callable, Mapping
from dataclasses import dataclass, replace
from enum import StrEnum

from flamingofront.connection.call_guard import MAX_DELIVERY_SECONDS
from flamingofront.errors import PlatformError
from flamingofront.messages import Sleep
from flamingofront.process.forwarding.leader_call import LeaderCall
from flamingofront.process.forwarding.lease_row import (
    LEADER_KEY,
    LEADER_PARTITION,
    LEADER_TABLE,
    LeaseState,
    decode_state,
    encode_state,
    find_lease_row,
)
from flamingofront.process.forwarding.reports import PeerReport
from flamingofront.process.logs import Log
from flamingofront.process.store import RowCondition, RowWrite, StoredRow, TableStore, get_era
from flamingofront.process.tasks import Task

__all__ = ["HeldLease", "LeaderLease", "LeaseEnd"]

RENEWALS_PER_LEASE = 3
# Bytes of a call are written only with this much of the lease left.
ACT_MARGIN_SECONDS = 0.3
# Others wait this much longer than a lease: what is left of `MAX_DELIVERY_SECONDS`, and a reserve.
TAKEOVER_MARGIN_SECONDS = 1.2
RETRY_SECONDS = 0.3
# Previous holders that the row keeps. At about one second each, as in a rolling restart, they cover
# several leases.
MAX_PAST_HOLDERS = 8
# Fencing tokens skipped for each restore of the store from an older snapshot since the row was
# written. The gap exceeds the changes of holder that a snapshot can lack: each takes at least one
# second, and a snapshot is some seconds old. Holders between two restores may have left no trace.
ERA_FENCING_GAP = 100


@dataclass(frozen=True)
class HeldLease:
    """A lease held by this process; times in seconds of the local monotonic clock."""

    fencing: int
    acquired_at: float
    acts_from: float
    valid_until: float


class LeaseEnd(StrEnum):
    """Evidence by which a process takes the lease of the last holder to have ended."""

    NO_HOLDER = "no holder"
    """The row names no holder: there was none, or it has released the lease."""
    RELEASE_REPORTED = "release reported"
    """The last holder has reported that it has released the lease."""
    OWN_VM = "own VM"
    """The row names this VM: its earlier process has ended."""
    EXPIRED = "expired"
    """The lease was not renewed for its duration."""


class LeaderLease:
    """Acquires, renews and releases the leader lease.

    Parameters
    ----------
    duration : float
        Seconds that a lease lasts without renewal.

    Attributes
    ----------
    state : LeaseState
        The row as last read or written.
    released_fencing : int
        Fencing token of the lease that this process has released; 0 if it has not.
    current_window : callable
        Returns the number of the usage window that has not ended yet.
    is_stop_signalled : callable
        Returns True from the stop signal on, which the event loop may notice later.
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
        self._last_seen_at = now()
        # Largest fencing token that was reported as released; the time is for log lines only.
        self._reported_release = 0
        self._release_heard_at: float | None = None
        self._started_at = now()
        self._announced_version = 0
        self._reported_fencing = 0
        self._stopped = False
        self._writing = False
        self.released_fencing = 0
        self._era = 0
        self._highest_fencing = 0
        self._cached_reports: dict[str, Mapping[str, int]] = {}
        self.current_window: Callable[[], int] = lambda: 0
        self.is_stop_signalled: Callable[[], bool] = lambda: False

    @property
    def version(self) -> int:
        """Version of the row after the last renewal."""
        return self._version or 0

    def usable_lease(self) -> HeldLease | None:
        """Return the lease if this process may act on it now; to be called before each act."""
        lease = self._lease
        if lease is None or self._stopped or self.is_stop_signalled():
            return None
        now = self._now()
        if now < lease.acts_from or now >= lease.valid_until - ACT_MARGIN_SECONDS:
            return None
        return lease

    def start_call(self) -> LeaderCall | None:
        """Return a call under the lease, to be sent now; None if this process may not act."""
        lease = self.usable_lease()
        if lease is None:
            return None
        return LeaderCall(lease.fencing, lease.valid_until, self.is_usable, self._now)

    def is_usable(self, fencing: int) -> bool:
        """Return True if this process may act now under the lease with a fencing token."""
        lease = self.usable_lease()
        return lease is not None and lease.fencing == fencing

    def valid_lease(self) -> HeldLease | None:
        """Return the lease if it is valid, even if this process may not act on it yet."""
        lease = self._lease
        return lease if lease is not None and self._now() < lease.valid_until else None

    def observe_report(self, report: PeerReport) -> None:
        """Record from a peer's report that it holds the lease, or has released it.

        Notes
        -----
        Reports arrive late and in any order. Those of relays have the newest holder and the newest
        release that they know, which may belong to different holders.
        """
        self._highest_fencing = max(self._highest_fencing, report.fencing, report.released)
        if report.released > self._reported_release:
            self._reported_release = report.released
            self._release_heard_at = self._now()
        if report.fencing and report.fencing >= max(self.state.fencing, self._reported_fencing):
            self._see_holder()
            self._reported_fencing = report.fencing
            self._announced_version = max(self._announced_version, report.lease_version)

    def run(self) -> Task:
        """Keep the lease, or watch it until it is free; ends after `release`."""
        while not self._stopped:
            try:
                yield from self._renew_or_poll()
            except PlatformError as exc:
                self._log.warning("store unreachable for leader lease", detail=str(exc))
                yield Sleep(RETRY_SECONDS * (0.5 + self._rng.random()))
                continue
            yield Sleep(self._next_delay(), relaxed=True)

    def _next_delay(self) -> float:
        """Return the seconds until the next renewal or check of the row."""
        if self._lease is not None:
            return self._duration / RENEWALS_PER_LEASE
        return RETRY_SECONDS * (0.5 + self._rng.random())

    def _renew_or_poll(self) -> Task:
        """Renew a held lease; otherwise read the row if the holder's lease may have expired."""
        if self._lease is not None:
            if self._now() < self._lease.valid_until or not (yield from self._lost_after_expiry()):
                yield from self.renew()
            return
        if self._version is None or self._has_expired() or self._is_reported_released():
            yield from self._poll_row()

    def _lost_after_expiry(self) -> Task:
        """Return True, dropping the lease, if it must be acquired again instead of renewed.

        Notes
        -----
        The lease has expired here. A conditional write alone does not show whether another process
        acquired it meanwhile: the store may be restored from an older snapshot before or after the
        read, and a holder that had been suspended would continue with a lower fencing token than
        its successor's.
        """
        era, fencing = self._era, self._lease.fencing
        found = yield from self._store.read(LEADER_TABLE, LEADER_PARTITION)
        row = find_lease_row(found.rows)
        if get_era(found.version) == era and self._is_held_here(decode_state(row), fencing):
            return False
        self._merge_row(row, found.version)
        self._drop_lease(fencing)
        return True

    def _is_reported_released(self) -> bool:
        """Return True if the lease of the newest holder that is known is reported as released."""
        return self._reported_release >= max(self.state.fencing, self._reported_fencing, 1)

    def _has_expired(self) -> bool:
        """Return True if the holder was last seen longer ago than a lease can last."""
        waited = self._now() - self._last_seen_at
        return waited >= self._duration + TAKEOVER_MARGIN_SECONDS

    def _poll_row(self) -> Task:
        """Read the row and acquire the lease if it is free."""
        previous, self._version = self._version, None
        read_at = self._now()
        found = yield from self._store.read(LEADER_TABLE, LEADER_PARTITION)
        row = find_lease_row(found.rows)
        self._merge_row(row, found.version)
        if previous is None or self._version not in (previous, self._announced_version):
            self._see_holder()
        # A report of a new holder may have arrived during the read, so the expiry is checked again.
        end = self._find_lease_end()
        if end is not None:
            yield from self._acquire(end, read_at)

    def _see_holder(self) -> None:
        """Record a sign of a holder: a report, or a change of the row."""
        self._last_seen_at = self._now()

    def _find_lease_end(self) -> LeaseEnd | None:
        """Return how the lease of the last holder has ended, given the row as just read."""
        if not self.state.holder:
            return LeaseEnd.NO_HOLDER
        if self._is_held_by_vm():
            return LeaseEnd.OWN_VM
        if self._is_reported_released():
            return LeaseEnd.RELEASE_REPORTED
        return LeaseEnd.EXPIRED if self._has_expired() else None

    def _merge_row(self, row: StoredRow | None, version: int) -> None:
        """Apply the row as read now, keeping what this process knows of usage reports.

        Notes
        -----
        A store restored from an older snapshot lacks later writes. Reports that this process has
        seen in the row may have been sent to the cloud, so they are kept.
        """
        self._era = max(self._era, get_era(version))
        self._version = row.version if row is not None else 0
        state = decode_state(row)
        self._highest_fencing = max(self._highest_fencing, state.fencing)
        for window in [each for each in self._cached_reports if each not in state.reports]:
            if state.era >= self._era:
                # A holder of this era has dropped the window because it was reported long ago.
                del self._cached_reports[window]
        self._cached_reports = {**state.reports, **self._cached_reports}
        self.state = replace(
            state,
            reports=dict(self._cached_reports),
            reports_from=max(state.reports_from, self.state.reports_from),
        )

    def _is_held_by_vm(self) -> bool:
        """Return True if an earlier process of this VM, which must have ended, held the lease."""
        return self.state.holder == self._vm_id

    def _acquire(self, end: LeaseEnd, read_at: float) -> Task:
        """Write this process into the row as holder, with a higher fencing token.

        Parameters
        ----------
        end : LeaseEnd
            How the lease of the last holder has ended.
        read_at : float
            Time at which the read of the row was sent.
        """
        last = self.state.holder
        past = ((last,) if last else ()) + tuple(self.state.past)
        # The era of the store rises by one with each restore.
        restores = self._era - self.state.era
        is_behind = restores > 0
        reports_from = self.state.reports_from
        if is_behind:
            # Stored with the lease: this holder may end before it has reported a window.
            reports_from = max(reports_from, self.current_window())
        state = replace(
            self.state,
            holder=self._vm_id,
            incarnation=self._incarnation,
            fencing=self._highest_fencing + max(1, ERA_FENCING_GAP * restores),
            past=past[:MAX_PAST_HOLDERS],
            reports_from=reports_from,
            holders_unknown=is_behind or self.state.holders_unknown,
        )
        sent_at, era = self._now(), self._era
        if not (yield from self._write(state)):
            # Another process has just acquired the lease, which starts now.
            self._see_holder()
            self._log.info("leader lease not acquired", fencing=state.fencing, end=end)
            return
        if self._era != era:
            # A holder that the restore has removed since the read may have the same token.
            self._version = None
            self._log.warning("leader lease lost", fencing=state.fencing, era=self._era)
            return
        if self._stopped:
            # The stop began while the write was in flight; no call was made under this token.
            yield from self._give_up(state.fencing)
            return
        if is_behind:
            self._log.warning("usage windows skipped", before=reports_from)
        acts_from = sent_at
        if state.holders_unknown:
            # One of them may hold a valid lease, and has calls in flight at its end.
            acts_from = self._now() + self._duration + TAKEOVER_MARGIN_SECONDS
        elif self._vm_id in past and past[0] != self._vm_id:
            acts_from = self._now() + self._duration
        self._lease = HeldLease(state.fencing, sent_at, acts_from, sent_at + self._duration)
        now = self._now()
        self._log.info(
            "leader lease acquired",
            fencing=state.fencing,
            last_holder=last,
            end=end,
            sign_ago_ms=_get_age_ms(self._last_seen_at, now),
            release_ago_ms=_get_age_ms(self._release_heard_at, now),
            read_ago_ms=_get_age_ms(read_at, now),
            write_ago_ms=_get_age_ms(sent_at, now),
            started_ago_ms=_get_age_ms(self._started_at, now),
            acts_in_ms=-_get_age_ms(max(acts_from, now), now),
        )

    def renew(self, reports: Mapping[str, Mapping[str, int]] | None = None) -> Task:
        """Renew the lease, storing `reports` in the same write; return True on success.

        Notes
        -----
        Only one write is in flight at a time: a second one would be retried with a state from
        before the first, and undo it.

        Raises
        ------
        PlatformError
            If the store did not respond; the lease may or may not have been renewed.
        """
        if self._lease is None or self._writing:
            return False
        self._writing = True
        try:
            return (yield from self._renew(reports))
        finally:
            self._writing = False

    def _renew(self, reports: Mapping[str, Mapping[str, int]] | None) -> Task:
        """Write the row, with one retry after a conflict that leaves the lease here."""
        fencing, acts_from = self._lease.fencing, self._lease.acts_from
        valid_until, era = self._lease.valid_until, self._era
        stored = self.state
        for _ in range(2):
            if self.state.fencing < fencing:
                self.state = replace(stored, reports=self.state.reports)
            state = self.state if reports is None else replace(self.state, reports=reports)
            if self._now() >= acts_from:
                state = replace(state, holders_unknown=False)
            sent_at = self._now()
            is_written = yield from self._write(state)
            if self._era != era and self._now() >= valid_until:
                # A restore may have removed a holder that acquired the lease after its end.
                self._drop_lease(fencing)
                return False
            if is_written:
                if self._lease is not None:
                    self._lease = replace(self._lease, valid_until=sent_at + self._duration)
                return self._lease is not None
            if self._is_older_snapshot(fencing):
                # The row predates this lease, so nobody has acquired it in this era.
                continue
            if not self._is_held_here(self.state, fencing):
                self._drop_lease(fencing)
                return False
            # The response to an earlier write was lost, but the write took effect: keep what it
            # stored.
            reports = None
        return False

    def _drop_lease(self, fencing: int) -> None:
        """Give the lease up, since another process may have acquired it."""
        self._log.warning("leader lease lost", fencing=fencing, era=self._era)
        self._lease = None
        self._see_holder()

    def _write(self, state: LeaseState) -> Task:
        """Write the row if it is unchanged since last seen; otherwise apply its contents."""
        state = replace(state, era=self._era)
        condition = RowCondition(LEADER_TABLE, LEADER_KEY, self._version or 0)
        write = RowWrite(LEADER_TABLE, LEADER_KEY, encode_state(state))
        outcome = yield from self._store.transact(LEADER_PARTITION, (condition,), (write,))
        if outcome.ok:
            self._era = max(self._era, get_era(outcome.version))
            self._version, self.state = outcome.version, state
            self._highest_fencing = max(self._highest_fencing, state.fencing)
            self._cached_reports = dict(state.reports)
            return True
        row = find_lease_row(outcome.rows)
        self._merge_row(row, outcome.version)
        return False

    def _is_older_snapshot(self, fencing: int) -> bool:
        """Return True if the row predates this lease because the store was restored."""
        return self.state.era < self._era and self.state.fencing < fencing

    def _is_held_here(self, found: LeaseState, fencing: int) -> bool:
        """Return True if the row names this process as holder under the given fencing token."""
        expected = (self._vm_id, self._incarnation, fencing)
        return (found.holder, found.incarnation, found.fencing) == expected

    def release(self) -> Task:
        """Release the lease so that a successor need not wait; ends `run`.

        Notes
        -----
        No call is written from now on. One that was written must not arrive after the successor's
        first one.
        """
        self._stopped = True
        lease = self._lease
        if lease is None:
            return
        yield Sleep(MAX_DELIVERY_SECONDS)
        self._lease = None
        yield from self._give_up(lease.fencing)

    def _give_up(self, fencing: int) -> Task:
        """Write the row without a holder, if it still names this process under a token."""
        try:
            has_released = yield from self._write_release()
            if not has_released and self._is_held_here(self.state, fencing):
                # A renewal whose response was lost, or is still to come, took effect.
                has_released = yield from self._write_release()
        except PlatformError as exc:
            self._log.info("leader lease not released; it will expire", detail=str(exc))
            return
        if not has_released:
            self._log.info("leader lease not released; the row has changed", fencing=fencing)
            return
        self.released_fencing = fencing
        self._log.info("leader lease released", fencing=fencing)

    def _write_release(self) -> Task:
        """Write the row without a holder; return False if it has changed since last seen."""
        past = (self._vm_id, *self.state.past)[:MAX_PAST_HOLDERS]
        return (yield from self._write(replace(self.state, holder="", past=past)))


def _get_age_ms(at: float | None, now: float) -> int | None:
    """Return the age of an event in milliseconds; None if it did not happen."""
    return None if at is None else round((now - at) * 1000)
