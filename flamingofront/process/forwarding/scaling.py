"""Orders for endpoints, sent by the holder of the duty lease.

What is wanted is worked out in `flamingofront.decisions.fleet_plan`.
"""

import math
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace

from flamingofront.decisions.demand import Demand
from flamingofront.decisions.fleet_plan import FleetState, ScalingPolicy
from flamingofront.errors import PlatformError
from flamingofront.messages import Sleep
from flamingofront.process.forwarding.duty import LeaderLease
from flamingofront.process.forwarding.endpoint_row import EndpointRow
from flamingofront.process.logs import Log
from flamingofront.process.metrics import Metrics
from flamingofront.process.store import Cloud, ScalingRequest
from flamingofront.process.tasks import Task
from flamingofront.version.forwarding import ForwardingConfiguration

__all__ = ["ScalingController"]

STEP_SECONDS = 0.5
# Orders for a service wait for so long after its first endpoint was seen, so that what was set up
# is known: endpoints write their rows about every second, and begin to do so one after the other.
# With many it takes longer: the wait goes on until for half of this time none was new. Of 45 that
# registered within 3.6 s only 35 were counted after three, and half of the requests of seconds two
# to eight were late.
REGISTER_SECONDS = 3.0
# The same where only this process began: the rows are there and are read in one call. With three
# seconds nobody ordered for that long after the holder of the duties was killed and came back.
RESTART_SECONDS = 0.3
# An order that the cloud could not fill is sent again after this time, and its zone counts as
# without reclaimable endpoints until then; the platform refuses for ten seconds and more at a time.
REFUSED_SECONDS = 2.0
# Orders are repeated now and then: nothing can be read back, and one may have been lost.
REPEAT_SECONDS = 20.0
# Scaling in waits until the lower number has been enough for so long: longer than a burst (3 to
# 5 s), several times an endpoint's start.
SCALE_IN_SECONDS = 8.0
# Firm ones cost several times as much, and are given back sooner: they are kept for as long as one
# starts, so that a clump does not make them come and go.
FIRM_SCALE_IN_SECONDS = 4.0
# The demand is averaged over about this time: requests come in clumps, and an endpoint that is
# ordered for one of them comes four seconds later and is paid for eight seconds and more.
SMOOTHING_SECONDS = 2.0
# Demand of a shorter time says little: requests come in clumps of some seconds.
OBSERVED_SECONDS = 15.0


@dataclass(frozen=True)
class _Subject:
    """What orders are kept apart by."""

    service: str
    zone: str
    reclaimable: bool


@dataclass
class _Ordered:
    """Last order for a subject.

    Parameters
    ----------
    granted : int
        Endpoints that the cloud last granted.
    sent_at : float
        Time of the last call.
    refused : int or None
        Number that was refused since.
    wanted_at : float
        Last time at which the plan wanted all that was granted.
    """

    granted: int
    sent_at: float
    refused: int | None = None
    wanted_at: float = -math.inf


class ScalingController:
    """Sends the orders that bring the endpoints to the wanted numbers.

    Parameters
    ----------
    first_start : bool
        True if the whole deployment has just been set up, so that endpoints are still registering.
    """

    def __init__(
        self,
        lease: LeaderLease,
        cloud: Cloud,
        policy: ScalingPolicy,
        vm_id: str,
        now: Callable[[], float],
        configuration: Callable[[], ForwardingConfiguration],
        endpoints: Callable[[], Iterable[EndpointRow]],
        demand: Callable[[str], Demand],
        metrics: Metrics,
        log: Log,
        first_start: bool = True,
    ):
        self._metrics = metrics
        self._lease = lease
        self._cloud = cloud
        self._policy = policy
        self._vm_id = vm_id
        self._now = now
        self._configuration = configuration
        self._endpoints = endpoints
        self._demand = demand
        self._log = log
        self._ordered: dict[_Subject, _Ordered] = {}
        self._dry_until: dict[tuple[str, str], float] = {}
        self._first_seen: dict[str, float] = {}
        self._mean: dict[str, float] = {}
        self._initial_counts: dict[str, Counter[str]] = {}
        self._registering_until: dict[str, float] = {}
        self._fencing = 0
        self._register_seconds = REGISTER_SECONDS if first_start else RESTART_SECONDS

    def run(self) -> Task:
        """Plan and order again and again; never returns."""
        while True:
            yield Sleep(STEP_SECONDS, relaxed=True)
            self._watch()
            lease = self._lease.usable_lease()
            if lease is None:
                continue
            if lease.fencing != self._fencing:
                self._fencing = lease.fencing
                self._ordered.clear()
            for order in list(self.wanted()):
                try:
                    yield from self._order(order)
                except PlatformError as exc:
                    self._log.warning("order failed", order=str(order), detail=str(exc))

    def wanted(self) -> Iterable[ScalingRequest]:
        """Return the orders that are to be sent now."""
        now = self._now()
        orders = []
        for service in self._configuration().services.values():
            if service.scaling is None or self._is_registering(service.name, now):
                continue
            state = FleetState(
                self._live(service.name, True),
                self._live(service.name, False),
                self._dry(service.name, now),
                self._initial_counts[service.name],
            )
            plan = self._policy.plan(service.scaling, self._estimate_demand(service.name), state)
            for reclaimable, counts in ((True, plan.reclaimable), (False, plan.on_demand)):
                for zone, count in counts.items():
                    order = ScalingRequest(service.name, zone, count, reclaimable)
                    if self._is_needed(order, service.scaling.start_seconds, now):
                        orders.append(order)
        return sorted(orders, key=self._rank)

    def _estimate_demand(self, service: str) -> Demand:
        """Return the demand, and whether requests were seen for long enough to trust it."""
        now = self._now()
        known = now - self._first_seen.get(service, now) >= OBSERVED_SECONDS
        return replace(self._demand(service), in_flight=self._mean.get(service, 0.0), known=known)

    def _watch(self) -> None:
        """Note demand and endpoints, holder of the duties or not: the next holder then knows."""
        now = self._now()
        for service in self._configuration().services.values():
            in_flight = self._demand(service.name).in_flight
            if in_flight:
                self._first_seen.setdefault(service.name, now)
            last = self._mean.get(service.name, in_flight)
            gain = STEP_SECONDS / SMOOTHING_SECONDS
            self._mean[service.name] = last + (in_flight - last) * gain
            until = self._registering_until.setdefault(service.name, now + REGISTER_SECONDS)
            if now > until:
                continue
            live = self._live(service.name, True) + self._live(service.name, False)
            found = self._initial_counts.setdefault(service.name, Counter())
            if live and not found:
                self._registering_until[service.name] = now + self._register_seconds
            elif sum(live.values()) > sum(found.values()):
                quiet = now + self._register_seconds / 2
                self._registering_until[service.name] = max(until, quiet)
            self._initial_counts[service.name] = found | live

    def _is_registering(self, service: str, now: float) -> bool:
        """Tell whether endpoints of a service may not have registered yet."""
        return now <= self._registering_until.get(service, now)

    def _dry(self, service: str, now: float) -> frozenset[str]:
        """Return the zones whose reclaimable endpoints are being taken back or were refused."""
        refused = {
            zone
            for (name, zone), until in self._dry_until.items()
            if name == service and until > now
        }
        return frozenset(refused | self._taken_back(service))

    def _taken_back(self, service: str) -> set[str]:
        """Return the zones whose reclaimable endpoints all leave.

        Notes
        -----
        The notice comes two to three seconds before, a replacement starts for four: to wait for a
        refused order would lose a second of them.
        """
        states: dict[str, set[bool]] = {}
        for each in self._endpoints():
            if each.service == service and each.reclaimable:
                states.setdefault(each.zone, set()).add(each.ready)
        return {zone for zone, ready in states.items() if ready == {False}}

    def _live(self, service: str, reclaimable: bool) -> Counter[str]:
        """Return the endpoints of one kind that serve now, by zone."""
        return Counter(
            each.zone
            for each in self._endpoints()
            if each.service == service and each.reclaimable is reclaimable and each.ready
        )

    def _rank(self, order: ScalingRequest) -> int:
        """Return in which order to send: first what makes room within the limits at a start."""
        known = self._ordered.get(_subject(order))
        if known is None:
            return 0 if order.count == 0 else 1
        return 2 if order.count < known.granted else 1

    def _is_needed(self, order: ScalingRequest, start_seconds: float, now: float) -> bool:
        """Tell whether an order is to be sent now.

        Notes
        -----
        A new number is sent at once if it is higher, and after a while if it is lower. A refused
        order, and one that was granted but is not carried out, is sent again: the limits hold for
        both kinds of endpoints together, so that what is granted depends on what else runs, and
        endpoints that were just starting are not taken away.
        """
        live = self._live(order.service, order.reclaimable)[order.zone]
        known = self._ordered.get(_subject(order))
        if known is None:
            takes_away = live > order.count
            if not takes_away or (order.count == 0 and not self._has_demand(order.service)):
                return True
            # Another process may have ordered these for a reason that still holds.
            known = self._ordered[_subject(order)] = _Ordered(live, now, wanted_at=now)
        if order.count >= known.granted:
            known.wanted_at = now
        if order.count < known.granted:
            kept = SCALE_IN_SECONDS if order.reclaimable else FIRM_SCALE_IN_SECONDS
            return now - known.wanted_at >= kept
        if known.refused is not None and order.count >= known.refused:
            return now - known.sent_at >= REFUSED_SECONDS
        if order.count > known.granted:
            return True
        return now - known.sent_at >= _repeat_after(live, order.count, start_seconds)

    def _has_demand(self, service: str) -> bool:
        return service in self._first_seen

    def _order(self, order: ScalingRequest) -> Task:
        lease = self._lease.usable_lease()
        if lease is None:
            return
        granted = yield from self._cloud.request_endpoints(self._vm_id, lease.fencing, order)
        result = "granted" if granted else "refused"
        self._metrics.count("orders_total", kind="endpoints", result=result)
        now = self._now()
        known = self._ordered.setdefault(_subject(order), _Ordered(0, now))
        known.sent_at = now
        known.refused = None if granted else order.count
        if granted:
            known.granted = order.count
            known.wanted_at = now
        elif order.reclaimable:
            self._dry_until[order.service, order.zone] = now + REFUSED_SECONDS
        self._log.info(
            "endpoints ordered",
            service=order.service,
            at_zone=order.zone,
            count=order.count,
            reclaimable=order.reclaimable,
            granted=granted,
            fencing=lease.fencing,
            **self._inputs(order.service, now),
        )

    def _inputs(self, service: str, now: float) -> dict[str, object]:
        """Return what decided on an order, for its line in the log."""
        demand = self._demand(service)
        return {
            "in_flight": demand.in_flight,
            "work": (round(demand.work.fast, 2), round(demand.work.slow, 2)),
            "serving": dict(self._live(service, True)),
            "serving_firm": dict(self._live(service, False)),
            "dry": sorted(self._dry(service, now)),
        }


def _repeat_after(live: int, wanted: int, start_seconds: float) -> float:
    """Return the seconds after which an order is repeated, by the endpoints that serve now."""
    if live > wanted:
        return REFUSED_SECONDS
    return start_seconds + REFUSED_SECONDS if live < wanted else REPEAT_SECONDS


def _subject(order: ScalingRequest) -> _Subject:
    return _Subject(order.service, order.zone, order.reclaimable)
