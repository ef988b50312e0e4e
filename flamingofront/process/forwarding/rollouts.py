"""Rollouts as one entry process sees them, and the leader task that decides their phases."""

import random
from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field, replace

from flamingofront.decisions.rollout import (
    EXPOSED_FRACTION,
    Phase,
    RolloutEvidence,
    RolloutSpec,
    RolloutStatus,
    Tally,
    VersionRule,
    is_worse,
    next_phase,
)
from flamingofront.errors import PlatformError
from flamingofront.messages import Sleep
from flamingofront.process.forwarding.duty import LeaderLease
from flamingofront.process.logs import Log
from flamingofront.process.store import RowCondition, RowWrite, TableStore, get_era
from flamingofront.process.tasks import Task

__all__ = ["RolloutController", "RolloutRows", "Rollouts"]

STEP_SECONDS = 0.5
# Delay before a new order is started: if the store has lost the status of a finished rollout, peers
# report it within a second, also through relays.
PEER_UPDATE_SECONDS = 1.5
# Rollout counts share a mapping with quota counts, under keys that no workspace name can have.
_SEPARATOR = "\x1e"
_NEW, _OLD = "new", "old"
_GOOD, _BAD = "good", "bad"


@dataclass
class _Rollout:
    """A rollout that this process tracks; times in seconds of the local monotonic clock."""

    order: RolloutSpec
    seen_at: float
    phase: Phase = Phase.ORDERED
    counts: Counter[tuple[str, str]] = field(default_factory=Counter)
    stopped: bool = False
    blocked: frozenset[str] = frozenset()

    def tally(self, side: str) -> Tally:
        return Tally(self.counts[side, _GOOD], self.counts[side, _BAD])


def _blocked_versions(rollout: _Rollout | None, order: RolloutSpec) -> frozenset[str]:
    """Return the versions that get no requests once an order has replaced another."""
    if rollout is None or rollout.phase is Phase.COMPLETED:
        return frozenset()
    return (rollout.blocked | {rollout.order.version}) - {order.version}


def _is_renumbered(before: RolloutSpec, order: RolloutSpec) -> bool:
    """Return True if an order is an earlier one that the store reports under another number.

    Notes
    -----
    A store restored from an older snapshot numbers its rows anew, and an order that the snapshot
    lacked is written again by its owner. Treated as a new order, it would send requests to a
    version that was already rolled back. The same order given twice in one era is a new one.
    """
    same = (before.version, before.seconds) == (order.version, order.seconds)
    return same and get_era(before.number) < get_era(order.number)


class Rollouts:
    """Rollouts that this process tracks, and the versions its requests may go to.

    Parameters
    ----------
    share : float
        Largest fraction of a service's requests that a bad version may get.
    now : callable
        Time of the timer service.
    """

    def __init__(self, share: float, now: Callable[[], float], rng: random.Random, log: Log):
        self._part = share * EXPOSED_FRACTION
        self._now = now
        self._rng = rng
        self._log = log
        self._tracked: dict[str, _Rollout] = {}
        self._local_counts: Counter[str] = Counter()
        # Called after a phase decided by this process, to send it to the peers at once.
        self.on_verdict: Callable[[], None] = lambda: None
        # Called for each new order, to load the status that its rollout has already reached.
        self.on_order: Callable[[], None] = lambda: None
        self._peer_counts: dict[tuple[str, str], float] = {}

    def list_orders(self) -> list[RolloutSpec]:
        """Return the tracked orders, at most one per service."""
        return [each.order for each in self._tracked.values()]

    def get_phase(self, service: str) -> Phase | None:
        """Return the phase of a service's rollout; None without one."""
        rollout = self._tracked.get(service)
        return rollout.phase if rollout is not None else None

    def apply_order(self, order: RolloutSpec) -> None:
        """Track an order; one that replaces another starts a new rollout."""
        rollout = self._tracked.get(order.service)
        if rollout is not None and rollout.order.number >= order.number:
            return
        if rollout is not None and _is_renumbered(rollout.order, order):
            rollout.order = order
            self._log.info(
                "rollout order renumbered after store restore",
                service=order.service,
                version=order.version,
                number=order.number,
                phase=rollout.phase.name.lower(),
            )
            return
        self._tracked[order.service] = _Rollout(
            order, self._now(), blocked=_blocked_versions(rollout, order)
        )
        self._log.info(
            "rollout ordered",
            service=order.service,
            version=order.version,
            seconds=order.seconds,
            number=order.number,
        )
        self.on_order()

    def make_status(self, service: str, phase: Phase, wall: float) -> RolloutStatus:
        """Return the status to store for a service's rollout that enters a phase now."""
        rollout = self._tracked[service]
        since = round(wall - (self._now() - rollout.seen_at), 3)
        return RolloutStatus(
            rollout.order.number, rollout.order.version, phase, since, rollout.blocked
        )

    def apply_status(self, service: str, status: RolloutStatus, wall: float) -> None:
        """Apply the status of a service's rollout as an earlier lease holder stored it."""
        rollout = self._tracked[service]
        rewritten = replace(rollout.order, number=status.number, version=status.version)
        if status.number == rollout.order.number or _is_renumbered(rewritten, rollout.order):
            ago = max(0.0, wall - status.since)
            rollout.seen_at = min(rollout.seen_at, self._now() - ago)
            rollout.blocked |= status.blocked
            self.advance_phase(service, rollout.order.number, status.phase, "store")
        elif status.number < rollout.order.number and status.phase is not Phase.COMPLETED:
            rollout.blocked |= (status.blocked | {status.version}) - {rollout.order.version}

    def advance_phase(self, service: str, number: int, phase: Phase, source: str) -> None:
        """Move a rollout forward to a phase; an earlier phase is ignored."""
        rollout = self._tracked.get(service)
        if rollout is None or rollout.order.number != number or phase <= rollout.phase:
            return
        self._log.info(
            "rollout phase changed",
            service=service,
            version=rollout.order.version,
            number=number,
            phase=phase.name.lower(),
            before=rollout.phase.name.lower(),
            source=source,
            **self._count_fields(rollout),
        )
        rollout.phase = phase

    @staticmethod
    def _count_fields(rollout: _Rollout) -> dict[str, float]:
        """Return the response counts of both versions, as log fields."""
        new, old = rollout.tally(_NEW), rollout.tally(_OLD)
        return {
            "new_answers": new.total,
            "new_bad": new.bad,
            "old_answers": old.total,
            "old_bad": old.bad,
        }

    # Updates between processes

    def phase_update(self) -> dict[str, tuple[int, int]]:
        """Return order number and phase by service, for reports to peers."""
        return {name: (each.order.number, int(each.phase)) for name, each in self._tracked.items()}

    def merge_update(self, update: Mapping[str, tuple[int, int]]) -> bool:
        """Merge a peer's phases; return True if the peer has an order that this process lacks."""
        has_unknown_order = False
        for service, (number, phase) in update.items():
            rollout = self._tracked.get(service)
            if rollout is None or rollout.order.number < number:
                has_unknown_order = True
            else:
                self.advance_phase(service, number, Phase(phase), "peer")
        return has_unknown_order

    def local_counts(self) -> dict[str, int]:
        """Return the responses counted by this process since its start, for reports to peers."""
        return dict(self._local_counts)

    def merge_counts(self, process: str, counts: Mapping[str, float], is_counted: bool) -> None:
        """Merge a process's total counts; their increase is added only if `is_counted`."""
        for name, total in counts.items():
            if not name.startswith(_SEPARATOR):
                continue
            before = self._peer_counts.get((process, name), 0.0)
            self._peer_counts[process, name] = total
            if is_counted:
                self._add_count(name, round(total - before))

    def _add_count(self, name: str, count: int) -> None:
        """Add responses to the rollout that their key names, if it is still tracked."""
        _, service, number, side, outcome = name.split(_SEPARATOR)
        rollout = self._tracked.get(service)
        if rollout is not None and str(rollout.order.number) == number:
            rollout.counts[side, outcome] += count
            self._check_new_version(rollout)

    def _check_new_version(self, rollout: _Rollout) -> None:
        """Stop sending requests to a new version that seems bad, before the leader decides."""
        if not rollout.stopped and is_worse(rollout.tally(_NEW), rollout.tally(_OLD)):
            rollout.stopped = True
            self._log.warning(
                "new version stopped locally",
                service=rollout.order.service,
                **self._count_fields(rollout),
            )

    # Requests

    def version_rule(self, service: str, is_first: bool) -> VersionRule | None:
        """Return which endpoints an attempt may go to; None without a rollout.

        Parameters
        ----------
        is_first : bool
            False for retries and hedges of a request: they go to the old version, so that the new
            one gets no more than its share.
        """
        rollout = self._tracked.get(service)
        if rollout is None:
            return None
        exposed = rollout.phase in (Phase.MOVING, Phase.COMPLETED)
        if rollout.phase is Phase.RUNNING and is_first and not rollout.stopped:
            exposed = self._rng.random() < self._part
        return VersionRule(rollout.order.version, exposed, rollout.blocked)

    def record_response(self, service: str, version: str, is_bad: bool) -> None:
        """Count a response of an endpoint for the rollout of its service."""
        rollout = self._tracked.get(service)
        if rollout is None or rollout.phase.is_final:
            return
        side = _NEW if version == rollout.order.version else _OLD
        outcome = _BAD if is_bad else _GOOD
        name = _SEPARATOR.join(("", service, str(rollout.order.number), side, outcome))
        self._local_counts[name] += 1
        self._add_count(name, 1)

    def collect_evidence(self, service: str, old_idle_seconds: float) -> RolloutEvidence:
        """Return the evidence on a service's rollout.

        Parameters
        ----------
        old_idle_seconds : float
            Time for which no request has run at the old version.
        """
        rollout = self._tracked[service]
        age = self._now() - rollout.seen_at
        return RolloutEvidence(rollout.tally(_NEW), rollout.tally(_OLD), age, old_idle_seconds)


@dataclass(frozen=True)
class RolloutRows:
    """Where the platform keeps rollouts, and how their rows are decoded.

    Parameters
    ----------
    service_of : callable
        Returns the service of a key in the table of orders, empty for other keys.
    decode_order : callable
        Returns the `RolloutSpec` in a row's service, value and version.
    status_table : str
        Table in which this system stores the phases of rollouts.
    """

    service_of: Callable[[str], str]
    decode_order: Callable[[str, bytes, int], RolloutSpec]
    status_table: str
    status_key: Callable[[str], str]
    encode_status: Callable[[str, RolloutStatus], bytes]
    decode_status: Callable[[bytes], RolloutStatus]


class RolloutController:
    """Leader task that decides the phases of rollouts.

    Each step is one conditional write of the status row: of two lease holders one fails, and a
    successor continues from the row.

    Parameters
    ----------
    old_in_flight : callable
        Returns the number of requests, over all processes, that run at endpoints of a service
        without the given version; None while some processes are unreachable.
    wall : callable
        Wall clock, agreed with the other processes.
    """

    def __init__(
        self,
        lease: LeaderLease,
        store: TableStore,
        rows: RolloutRows,
        rollouts: Rollouts,
        old_in_flight: Callable[[str, str], int | None],
        now: Callable[[], float],
        wall: Callable[[], float],
        log: Log,
    ):
        self._log = log
        self._wall = wall
        self._lease = lease
        self._store = store
        self._rows = rows
        self._rollouts = rollouts
        self._old_in_flight = old_in_flight
        self._now = now
        self._versions: dict[str, int] = {}
        # Phases in the rows, as last read or written.
        self._stored_phases: dict[str, Phase] = {}
        self._idle_since: dict[str, float] = {}
        self._fencing = 0

    def run(self) -> Task:
        """Step all rollouts periodically; never returns."""
        while True:
            yield Sleep(STEP_SECONDS, relaxed=True)
            try:
                yield from self.step()
            except PlatformError as exc:
                self._log.warning("rollout status not written", detail=str(exc))

    def load_status(self) -> Task:
        """Read the status of all rollouts, with retries, when a new order arrives.

        Notes
        -----
        After a rollout, only endpoints of the new version may be left. If all processes had
        restarted, they would send nothing to them until a process had acquired the leader lease and
        read the status.
        """
        while True:
            try:
                yield from self._load_rows()
            except PlatformError as exc:
                self._log.warning("rollout status not read", detail=str(exc))
                yield Sleep(STEP_SECONDS, relaxed=True)
            else:
                return

    def invalidate_rows(self) -> None:
        """Reload the rows before the next step, after a restore of the store."""
        self._versions.clear()

    def step(self) -> Task:
        """Advance each rollout by at most one phase, as the evidence allows."""
        lease = self._lease.usable_lease()
        if lease is None:
            return
        if lease.fencing != self._fencing:
            self._fencing = lease.fencing
            self._versions.clear()
        for order in self._rollouts.list_orders():
            if order.service not in self._versions:
                yield from self._load_rows()
            phase = self._rollouts.get_phase(order.service)
            evidence = self._current_evidence(order, phase)
            if phase is Phase.ORDERED and evidence.age < PEER_UPDATE_SECONDS:
                continue
            following = next_phase(phase, order, evidence)
            # A row set back by a restore of the store is written again.
            is_behind = self._stored_phases.get(order.service, Phase.ORDERED) < phase
            if (following is not phase or is_behind) and self._lease.usable_lease() is not None:
                yield from self._write_phase(order, following)

    def _current_evidence(self, order: RolloutSpec, phase: Phase) -> RolloutEvidence:
        """Return the evidence with the time for which the old version has been idle."""
        now = self._now()
        running = self._old_in_flight(order.service, order.version)
        if phase is not Phase.MOVING or running != 0:
            self._idle_since.pop(order.service, None)
            return self._rollouts.collect_evidence(order.service, 0.0)
        since = self._idle_since.setdefault(order.service, now)
        return self._rollouts.collect_evidence(order.service, now - since)

    def _load_rows(self) -> Task:
        """Read the status of all rollouts, as an earlier lease holder stored it."""
        status_rows = yield from self._store.read(self._rows.status_table)
        for order in self._rollouts.list_orders():
            self._versions[order.service] = 0
            self._stored_phases[order.service] = Phase.ORDERED
            key = self._rows.status_key(order.service)
            for row in status_rows.rows:
                if row.key == key and row.value is not None:
                    self._apply_row(order.service, row.value, row.version)

    def _apply_row(self, service: str, value: bytes, version: int) -> None:
        """Apply a status row; a malformed one is ignored."""
        self._versions[service] = version
        try:
            status = self._rows.decode_status(value)
        except PlatformError as exc:
            # The next write replaces the malformed row.
            self._log.warning("malformed rollout status ignored", service=service, detail=str(exc))
            return
        self._stored_phases[service] = status.phase
        self._rollouts.apply_status(service, status, self._wall())

    def _write_phase(self, order: RolloutSpec, phase: Phase) -> Task:
        """Write a phase if the row is unchanged since last seen; otherwise reload later."""
        table, key = self._rows.status_table, self._rows.status_key(order.service)
        condition = RowCondition(table, key, self._versions[order.service])
        status = self._rollouts.make_status(order.service, phase, self._wall())
        write = RowWrite(table, key, self._rows.encode_status(order.service, status))
        outcome = yield from self._store.transact("", (condition,), (write,))
        if outcome.ok:
            self._versions[order.service] = outcome.version
            self._stored_phases[order.service] = phase
            self._rollouts.advance_phase(order.service, order.number, phase, "verdict")
            self._rollouts.on_verdict()
            return
        self._versions.pop(order.service, None)
