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
from flamingofront.process.store import Cloud, EndpointOrder
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
RETRY_SECONDS = 2.0
# Orders are repeated now and then: nothing can be read back, and one may have been lost.
REPEAT_SECONDS = 20.0
# Scaling in waits until the lower number has been enough for so long: longer than a burst (3 to
# 5 s), several times an endpoint's start.
SCALE_IN_SECONDS = 8.0
# Firm ones cost several times as much, and are given back sooner: they are kept for as long as one
# starts, so that a clump does not make them come and go.
ON_DEMAND_SCALE_IN_SECONDS = 4.0
# The demand is averaged over about this time: requests come in clumps, and an endpoint that is
# ordered for one of them comes four seconds later and is paid for eight seconds and more.
SMOOTHING_SECONDS = 2.0
# Demand of a shorter time says little: requests come in clumps of some seconds.
MIN_OBSERVED_SECONDS = 15.0


@dataclass(frozen=True)
class _RequestKey:
    """What orders are kept apart by."""

    service: str
    zone: str
    reclaimable: bool


@dataclass
class _LastRequest:
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
        self._last_requests: dict[_RequestKey, _LastRequest] = {}
        self._exhausted_until: dict[tuple[str, str], float] = {}
        self._first_seen: dict[str, float] = {}
        self._mean_in_flight: dict[str, float] = {}
        self._initial_counts: dict[str, Counter[str]] = {}
        self._registering_until: dict[str, float] = {}
        self._fencing = 0
        self._register_seconds = REGISTER_SECONDS if first_start else RESTART_SECONDS

    def run(self) -> Task:
        """Plan and order again and again; never returns."""
        while True:
            yield Sleep(STEP_SECONDS, relaxed=True)
            self._track_demand()
            lease = self._lease.usable_lease()
            if lease is None:
                continue
            if lease.fencing != self._fencing:
                self._fencing = lease.fencing
                self._last_requests.clear()
            for request in list(self.plan_requests()):
                try:
                    yield from self._send_request(request)
                except PlatformError as exc:
                    self._log.warning("order failed", order=str(request), detail=str(exc))

    def plan_requests(self) -> Iterable[EndpointOrder]:
        """Return the orders that are to be sent now."""
        now = self._now()
        requests = []
        for service in self._configuration().services.values():
            if service.scaling is None or self._is_registering(service.name, now):
                continue
            state = FleetState(
                self._live_counts(service.name, True),
                self._live_counts(service.name, False),
                self._exhausted_zones(service.name, now),
                self._initial_counts[service.name],
            )
            plan = self._policy.plan(service.scaling, self._estimate_demand(service.name), state)
            for reclaimable, counts in ((True, plan.reclaimable), (False, plan.firm)):
                for zone, count in counts.items():
                    request = EndpointOrder(service.name, zone, count, reclaimable)
                    if self._should_send(request, service.scaling.start_seconds, now):
                        requests.append(request)
        return sorted(requests, key=self._send_priority)

    def _estimate_demand(self, service: str) -> Demand:
        """Return the demand, and whether requests were seen for long enough to trust it."""
        now = self._now()
        known = now - self._first_seen.get(service, now) >= MIN_OBSERVED_SECONDS
        return replace(
            self._demand(service), in_flight=self._mean_in_flight.get(service, 0.0), known=known
        )

    def _track_demand(self) -> None:
        """Note demand and endpoints, holder of the duties or not: the next holder then knows."""
        now = self._now()
        for service in self._configuration().services.values():
            in_flight = self._demand(service.name).in_flight
            if in_flight:
                self._first_seen.setdefault(service.name, now)
            last = self._mean_in_flight.get(service.name, in_flight)
            gain = STEP_SECONDS / SMOOTHING_SECONDS
            self._mean_in_flight[service.name] = last + (in_flight - last) * gain
            until = self._registering_until.setdefault(service.name, now + REGISTER_SECONDS)
            if now > until:
                continue
            live = self._live_counts(service.name, True) + self._live_counts(service.name, False)
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

    def _exhausted_zones(self, service: str, now: float) -> frozenset[str]:
        """Return the zones whose reclaimable endpoints are being taken back or were refused."""
        refused = {
            zone
            for (name, zone), until in self._exhausted_until.items()
            if name == service and until > now
        }
        return frozenset(refused | self._reclaimed_zones(service))

    def _reclaimed_zones(self, service: str) -> set[str]:
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

    def _live_counts(self, service: str, reclaimable: bool) -> Counter[str]:
        """Return the endpoints of one kind that serve now, by zone."""
        return Counter(
            each.zone
            for each in self._endpoints()
            if each.service == service and each.reclaimable is reclaimable and each.ready
        )

    def _send_priority(self, request: EndpointOrder) -> int:
        """Return in which order to send: first what makes room within the limits at a start."""
        known = self._last_requests.get(_request_key(request))
        if known is None:
            return 0 if request.count == 0 else 1
        return 2 if request.count < known.granted else 1

    def _should_send(self, request: EndpointOrder, start_seconds: float, now: float) -> bool:
        """Tell whether an order is to be sent now.

        Notes
        -----
        A new number is sent at once if it is higher, and after a while if it is lower. A refused
        order, and one that was granted but is not carried out, is sent again: the limits hold for
        both kinds of endpoints together, so that what is granted depends on what else runs, and
        endpoints that were just starting are not taken away.
        """
        live = self._live_counts(request.service, request.reclaimable)[request.zone]
        known = self._last_requests.get(_request_key(request))
        if known is None:
            takes_away = live > request.count
            if not takes_away or (request.count == 0 and not self._has_demand(request.service)):
                return True
            # Another process may have ordered these for a reason that still holds.
            known = self._last_requests[_request_key(request)] = _LastRequest(
                live, now, wanted_at=now
            )
        if request.count >= known.granted:
            known.wanted_at = now
        if request.count < known.granted:
            kept = SCALE_IN_SECONDS if request.reclaimable else ON_DEMAND_SCALE_IN_SECONDS
            return now - known.wanted_at >= kept
        if known.refused is not None and request.count >= known.refused:
            return now - known.sent_at >= RETRY_SECONDS
        if request.count > known.granted:
            return True
        return now - known.sent_at >= _repeat_delay(live, request.count, start_seconds)

    def _has_demand(self, service: str) -> bool:
        return service in self._first_seen

    def _send_request(self, request: EndpointOrder) -> Task:
        lease = self._lease.usable_lease()
        if lease is None:
            return
        granted = yield from self._cloud.order(self._vm_id, lease.fencing, request)
        result = "granted" if granted else "refused"
        self._metrics.count("orders_total", kind="endpoints", result=result)
        now = self._now()
        known = self._last_requests.setdefault(_request_key(request), _LastRequest(0, now))
        known.sent_at = now
        known.refused = None if granted else request.count
        if granted:
            known.granted = request.count
            known.wanted_at = now
        elif request.reclaimable:
            self._exhausted_until[request.service, request.zone] = now + RETRY_SECONDS
        self._log.info(
            "endpoints ordered",
            service=request.service,
            at_zone=request.zone,
            count=request.count,
            reclaimable=request.reclaimable,
            granted=granted,
            fencing=lease.fencing,
            **self._decision_fields(request.service, now),
        )

    def _decision_fields(self, service: str, now: float) -> dict[str, object]:
        """Return what decided on an order, for its line in the log."""
        demand = self._demand(service)
        return {
            "in_flight": demand.in_flight,
            "work": (round(demand.work.fast, 2), round(demand.work.slow, 2)),
            "serving": dict(self._live_counts(service, True)),
            "serving_firm": dict(self._live_counts(service, False)),
            "dry": sorted(self._exhausted_zones(service, now)),
        }


def _repeat_delay(live: int, wanted: int, start_seconds: float) -> float:
    """Return the seconds after which an order is repeated, by the endpoints that serve now."""
    if live > wanted:
        return RETRY_SECONDS
    return start_seconds + RETRY_SECONDS if live < wanted else REPEAT_SECONDS


def _request_key(request: EndpointOrder) -> _RequestKey:
    return _RequestKey(request.service, request.zone, request.reclaimable)
