"""Roll-outs as one entry process sees them, and the duty that gives the verdicts."""

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
# An order is begun so long after it was seen: others may know it as one that is over, of which the
# store has lost word, and tell so within a second, also through relays.
HEARD_SECONDS = 1.5
# Sums of roll-outs go beside those of quotas, under names that no workspace has.
_SEPARATOR = "\x1e"
_NEW, _OLD = "new", "old"
_GOOD, _BAD = "good", "bad"


@dataclass
class _Rollout:
    """A roll-out that is known here; times on the own clock."""

    order: RolloutSpec
    seen_at: float
    phase: Phase = Phase.ORDERED
    sums: Counter[tuple[str, str]] = field(default_factory=Counter)
    stopped: bool = False
    blocked: frozenset[str] = frozenset()

    def tally(self, side: str) -> Tally:
        return Tally(self.sums[side, _GOOD], self.sums[side, _BAD])


def _withheld_after(known: _Rollout | None, order: RolloutSpec) -> frozenset[str]:
    """Return the versions that get nothing once an order has replaced another."""
    if known is None or known.phase is Phase.COMPLETED:
        return frozenset()
    return (known.blocked | {known.order.version}) - {order.version}


def _is_rewritten(before: RolloutSpec, order: RolloutSpec) -> bool:
    """Tell whether an order is an earlier one that the store tells under another number.

    Notes
    -----
    A store that came back from a copy numbers its rows anew, and an order that the copy lacked is
    written again by its owner. Taken for a new order, a version that was judged bad got requests
    again. The same order given twice in one era is a new one.
    """
    same = (before.version, before.seconds) == (order.version, order.seconds)
    return same and get_era(before.number) < get_era(order.number)


class Rollouts:
    """What this process knows of roll-outs, and which versions its requests go to.

    Parameters
    ----------
    share : float
        Part of a service's requests that a bad version may get at most.
    now : callable
        Time of the timer service.
    """

    def __init__(self, share: float, now: Callable[[], float], rng: random.Random, log: Log):
        self._part = share * EXPOSED_FRACTION
        self._now = now
        self._rng = rng
        self._log = log
        self._known: dict[str, _Rollout] = {}
        self._own: Counter[str] = Counter()
        # Called after a verdict that is given here, so that the others hear of it at once.
        self.on_verdict: Callable[[], None] = lambda: None
        # Called for each new order, so that it is looked up how far its roll-out is already.
        self.on_order: Callable[[], None] = lambda: None
        self._heard: dict[tuple[str, str], float] = {}

    def orders(self) -> list[RolloutSpec]:
        """Return the orders that are known, one a service at most."""
        return [each.order for each in self._known.values()]

    def phase(self, service: str) -> Phase | None:
        """Return how far a service's roll-out is; None without one."""
        known = self._known.get(service)
        return known.phase if known is not None else None

    def take_order(self, order: RolloutSpec) -> None:
        """Take an order in; one that replaces another begins anew."""
        known = self._known.get(order.service)
        if known is not None and known.order.number >= order.number:
            return
        if known is not None and _is_rewritten(known.order, order):
            known.order = order
            self._log.info(
                "roll-out ordered again by its owner",
                service=order.service,
                version=order.version,
                number=order.number,
                phase=known.phase.name.lower(),
            )
            return
        self._known[order.service] = _Rollout(
            order, self._now(), blocked=_withheld_after(known, order)
        )
        self._log.info(
            "roll-out ordered",
            service=order.service,
            version=order.version,
            seconds=order.seconds,
            number=order.number,
        )
        self.on_order()

    def status(self, service: str, phase: Phase, wall: float) -> RolloutStatus:
        """Return what is to be kept of a service's roll-out that comes to a phase now."""
        known = self._known[service]
        since = round(wall - (self._now() - known.seen_at), 3)
        return RolloutStatus(known.order.number, known.order.version, phase, since, known.blocked)

    def take_status(self, service: str, status: RolloutStatus, wall: float) -> None:
        """Take in how far a service's roll-out is, as an earlier holder left it."""
        known = self._known[service]
        rewritten = replace(known.order, number=status.number, version=status.version)
        if status.number == known.order.number or _is_rewritten(rewritten, known.order):
            ago = max(0.0, wall - status.since)
            known.seen_at = min(known.seen_at, self._now() - ago)
            known.blocked |= status.blocked
            self.reach(service, known.order.number, status.phase, "store")
        elif status.number < known.order.number and status.phase is not Phase.COMPLETED:
            known.blocked |= (status.blocked | {status.version}) - {known.order.version}

    def reach(self, service: str, number: int, phase: Phase, source: str) -> None:
        """Take word that a roll-out has come to a phase; it never goes back."""
        known = self._known.get(service)
        if known is None or known.order.number != number or phase <= known.phase:
            return
        self._log.info(
            "roll-out phase",
            service=service,
            version=known.order.version,
            number=number,
            phase=phase.name.lower(),
            before=known.phase.name.lower(),
            source=source,
            **self._figures(known),
        )
        known.phase = phase

    @staticmethod
    def _figures(known: _Rollout) -> dict[str, float]:
        new, old = known.tally(_NEW), known.tally(_OLD)
        return {
            "new_answers": new.total,
            "new_bad": new.bad,
            "old_answers": old.total,
            "old_bad": old.bad,
        }

    # Word between processes

    def word(self) -> dict[str, tuple[int, int]]:
        """Return order number and phase by service, to tell the others."""
        return {name: (each.order.number, int(each.phase)) for name, each in self._known.items()}

    def hear(self, word: Mapping[str, tuple[int, int]]) -> bool:
        """Take a peer's word; True if it tells of an order that is not known here."""
        unknown = False
        for service, (number, phase) in word.items():
            known = self._known.get(service)
            if known is None or known.order.number < number:
                unknown = True
            else:
                self.reach(service, number, Phase(phase), "peer")
        return unknown

    def sums(self) -> dict[str, int]:
        """Return what this process has counted in all, to tell the others."""
        return dict(self._own)

    def hear_sums(self, process: str, sums: Mapping[str, float], counts: bool) -> None:
        """Take what others have counted in all; what it has grown is added if it counts."""
        for name, total in sums.items():
            if not name.startswith(_SEPARATOR):
                continue
            before = self._heard.get((process, name), 0.0)
            self._heard[process, name] = total
            if counts:
                self._add(name, round(total - before))

    def _add(self, name: str, count: int) -> None:
        _, service, number, side, outcome = name.split(_SEPARATOR)
        known = self._known.get(service)
        if known is not None and str(known.order.number) == number:
            known.sums[side, outcome] += count
            self._look(known)

    def _look(self, known: _Rollout) -> None:
        """Stop by the evidence that is heard, before any verdict."""
        if not known.stopped and is_worse(known.tally(_NEW), known.tally(_OLD)):
            known.stopped = True
            self._log.warning(
                "new version stopped here", service=known.order.service, **self._figures(known)
            )

    # Requests

    def rule(self, service: str, is_first: bool) -> VersionRule | None:
        """Return which endpoints an attempt may go to; None if that makes no difference.

        Parameters
        ----------
        is_first : bool
            False for further attempts of a request: they go to the old version, so that the new one
            gets no more than its share.
        """
        known = self._known.get(service)
        if known is None:
            return None
        exposed = known.phase in (Phase.MOVING, Phase.COMPLETED)
        if known.phase is Phase.RUNNING and is_first and not known.stopped:
            exposed = self._rng.random() < self._part
        return VersionRule(known.order.version, exposed, known.blocked)

    def answered(self, service: str, version: str, is_bad: bool) -> None:
        """Count an answer of an endpoint."""
        known = self._known.get(service)
        if known is None or known.phase.is_final:
            return
        side = _NEW if version == known.order.version else _OLD
        outcome = _BAD if is_bad else _GOOD
        name = _SEPARATOR.join(("", service, str(known.order.number), side, outcome))
        self._own[name] += 1
        self._add(name, 1)

    def evidence(self, service: str, clear: float) -> RolloutEvidence:
        """Return what is known of a service's roll-out."""
        known = self._known[service]
        age = self._now() - known.seen_at
        return RolloutEvidence(known.tally(_NEW), known.tally(_OLD), age, clear)


@dataclass(frozen=True)
class RolloutRows:
    """Where the platform keeps roll-outs, and how their rows are decoded.

    Parameters
    ----------
    service_of : callable
        Returns the service that a key of the table of orders is about, empty for other keys.
    decode_order : callable
        Returns the `RolloutSpec` in a row's service, value and version.
    status_table : str
        Where the system tells how far a roll-out is.
    """

    service_of: Callable[[str], str]
    decode_order: Callable[[str, bytes, int], RolloutSpec]
    status_table: str
    status_key: Callable[[str], str]
    encode_status: Callable[[str, RolloutStatus], bytes]
    decode_status: Callable[[bytes], RolloutStatus]


class RolloutController:
    """Gives the verdicts, as holder of the duty lease.

    Each step is one conditional write of the row that tells it: of two holders one fails, and a
    successor goes on where the row stands.

    Parameters
    ----------
    old_in_flight : callable
        Returns the requests that run at endpoints of a service that have not a version, over all
        processes; None while some processes cannot be heard.
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
        # The phases that the rows tell, as they were read or written last.
        self._told: dict[str, Phase] = {}
        self._clear_since: dict[str, float] = {}
        self._fencing = 0

    def run(self) -> Task:
        """Look at all roll-outs again and again; never returns."""
        while True:
            yield Sleep(STEP_SECONDS, relaxed=True)
            try:
                yield from self.step()
            except PlatformError as exc:
                self._log.warning("status of a roll-out not written", detail=str(exc))

    def look_up(self) -> Task:
        """Find out how far roll-outs are, when an order has just become known.

        Notes
        -----
        A process that started after the end of a roll-out, together with all others, would leave
        the endpoints of the new version alone until a holder had taken over: they are all there is.
        """
        while True:
            try:
                yield from self._read()
            except PlatformError as exc:
                self._log.warning("status of roll-outs not read", detail=str(exc))
                yield Sleep(STEP_SECONDS, relaxed=True)
            else:
                return

    def read_again(self) -> None:
        """Read the rows before the next step: the store has come back from an older copy."""
        self._versions.clear()

    def step(self) -> Task:
        """Take each roll-out one phase further, if what is known says so."""
        lease = self._lease.usable_lease()
        if lease is None:
            return
        if lease.fencing != self._fencing:
            self._fencing = lease.fencing
            self._versions.clear()
        for order in self._rollouts.orders():
            if order.service not in self._versions:
                yield from self._read()
            phase = self._rollouts.phase(order.service)
            evidence = self._evidence(order, phase)
            if phase is Phase.ORDERED and evidence.age < HEARD_SECONDS:
                continue
            follows = next_phase(phase, order, evidence)
            # A row that a copy has set back is written again.
            is_behind = self._told.get(order.service, Phase.ORDERED) < phase
            if (follows is not phase or is_behind) and self._lease.usable_lease() is not None:
                yield from self._write(order, follows)

    def _evidence(self, order: RolloutSpec, phase: Phase) -> RolloutEvidence:
        """Return what is known, with the time since which the old version is clear."""
        now = self._now()
        running = self._old_in_flight(order.service, order.version)
        if phase is not Phase.MOVING or running != 0:
            self._clear_since.pop(order.service, None)
            return self._rollouts.evidence(order.service, 0.0)
        since = self._clear_since.setdefault(order.service, now)
        return self._rollouts.evidence(order.service, now - since)

    def _read(self) -> Task:
        """Read how far all roll-outs are, as an earlier holder left them."""
        found = yield from self._store.read(self._rows.status_table)
        for order in self._rollouts.orders():
            self._versions[order.service] = 0
            self._told[order.service] = Phase.ORDERED
            key = self._rows.status_key(order.service)
            for row in found.rows:
                if row.key == key and row.value is not None:
                    self._take_row(order.service, row.value, row.version)

    def _take_row(self, service: str, value: bytes, version: int) -> None:
        self._versions[service] = version
        try:
            status = self._rows.decode_status(value)
        except PlatformError as exc:
            # The next write takes its place.
            self._log.warning("status of a roll-out refused", service=service, detail=str(exc))
            return
        self._told[service] = status.phase
        self._rollouts.take_status(service, status, self._wall())

    def _write(self, order: RolloutSpec, phase: Phase) -> Task:
        """Write a phase if the row is as it was seen last; if not, take over what it says now."""
        table, key = self._rows.status_table, self._rows.status_key(order.service)
        condition = RowCondition(table, key, self._versions[order.service])
        status = self._rollouts.status(order.service, phase, self._wall())
        write = RowWrite(table, key, self._rows.encode_status(order.service, status))
        outcome = yield from self._store.transact("", (condition,), (write,))
        if outcome.ok:
            self._versions[order.service] = outcome.version
            self._told[order.service] = phase
            self._rollouts.reach(order.service, order.number, phase, "verdict")
            self._rollouts.on_verdict()
            return
        self._versions.pop(order.service, None)
