"""Scaling requests for endpoints, sent by the holder of the leader lease.

The wanted numbers are computed in `flamingofront.decisions.fleet_plan`.
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
# The first scaling request for a service waits this long after its first endpoint was seen, so that
# existing endpoints are counted: they write their rows about once a second and start one after the
# other. The wait is extended until no new endpoint was seen for half of this time. Of 45 endpoints
# that registered within 3.6 s only 35 were counted after three, and half of the requests of seconds
# two to eight were late.
REGISTER_SECONDS = 3.0
# The same wait where only this process restarted: all rows exist and are read in one call. With
# three seconds no scaling request was sent for that long after the lease holder was killed and
# restarted.
RESTART_SECONDS = 0.3
# A request that the cloud could not grant is sent again after this time, and until then its zone
# counts as exhausted of reclaimable capacity; the platform rejects for ten seconds and more at a
# time.
RETRY_SECONDS = 2.0
# Scaling requests are repeated periodically: the cloud's state cannot be read back, and a request
# may be lost.
REPEAT_SECONDS = 20.0
# Scaling in waits until the lower number has sufficed for this long: longer than a burst (3 to 5 s)
# and several times the start time of an endpoint.
SCALE_IN_SECONDS = 8.0
# On-demand endpoints cost several times as much and are released sooner: they are kept for the
# start time of an endpoint, so that bursts do not cause flapping.
ON_DEMAND_SCALE_IN_SECONDS = 4.0
# Time constant of the demand average. Requests come in bursts, and an endpoint requested for one of
# them starts four seconds later and is paid for at least eight seconds.
SMOOTHING_SECONDS = 2.0
# Demand observed for a shorter time is unreliable, since bursts last some seconds.
MIN_OBSERVED_SECONDS = 15.0


@dataclass(frozen=True)
class _RequestKey:
    """Identifies the series of scaling requests that replace one another."""

    service: str
    zone: str
    reclaimable: bool


@dataclass
class _LastRequest:
    """State of the last scaling request for a key.

    Parameters
    ----------
    granted : int
        Endpoints that the cloud last granted.
    sent_at : float
        Time of the last call.
    refused : int or None
        Requested number that was rejected since; None if none was.
    wanted_at : float
        Last time at which the plan wanted all granted endpoints.
    """

    granted: int
    sent_at: float
    refused: int | None = None
    wanted_at: float = -math.inf


class ScalingController:
    """Leader task that requests the planned number of endpoints.

    Parameters
    ----------
    first_start : bool
        True if the whole deployment is starting, so that endpoints are still registering.
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
        """Plan and send scaling requests periodically; never returns."""
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
                yield from self._send_request(request)

    def plan_requests(self) -> Iterable[ScalingRequest]:
        """Return the scaling requests to send now."""
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
            for reclaimable, counts in ((True, plan.reclaimable), (False, plan.on_demand)):
                for zone, count in counts.items():
                    request = ScalingRequest(service.name, zone, count, reclaimable)
                    if self._should_send(request, service.scaling.start_seconds, now):
                        requests.append(request)
        return sorted(requests, key=self._send_priority)

    def _estimate_demand(self, service: str) -> Demand:
        """Return the smoothed demand, marked as known once observed for long enough."""
        now = self._now()
        is_reliable = now - self._first_seen.get(service, now) >= MIN_OBSERVED_SECONDS
        return replace(
            self._demand(service),
            in_flight=self._mean_in_flight.get(service, 0.0),
            known=is_reliable,
        )

    def _track_demand(self) -> None:
        """Track demand and endpoints even without the lease, so that the next holder has them."""
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
        """Return True if endpoints of a service may not have registered yet."""
        return now <= self._registering_until.get(service, now)

    def _exhausted_zones(self, service: str, now: float) -> frozenset[str]:
        """Return the zones whose reclaimable endpoints are being reclaimed or were not granted."""
        rejected = {
            zone
            for (name, zone), until in self._exhausted_until.items()
            if name == service and until > now
        }
        return frozenset(rejected | self._reclaimed_zones(service))

    def _reclaimed_zones(self, service: str) -> set[str]:
        """Return the zones whose reclaimable endpoints are all leaving.

        Notes
        -----
        The notice comes two to three seconds before the reclaim, and a replacement takes four to
        start: waiting until a request is rejected would waste one second of this time.
        """
        states: dict[str, set[bool]] = {}
        for each in self._endpoints():
            if each.service == service and each.reclaimable:
                states.setdefault(each.zone, set()).add(each.ready)
        return {zone for zone, ready in states.items() if ready == {False}}

    def _live_counts(self, service: str, reclaimable: bool) -> Counter[str]:
        """Return the number of ready endpoints of one kind, by zone."""
        return Counter(
            each.zone
            for each in self._endpoints()
            if each.service == service and each.reclaimable is reclaimable and each.ready
        )

    def _send_priority(self, request: ScalingRequest) -> int:
        """Return the sort key: initial removals first, to free the limits, later ones last."""
        last = self._last_requests.get(_request_key(request))
        if last is None:
            return 0 if request.count == 0 else 1
        return 2 if request.count < last.granted else 1

    def _should_send(self, request: ScalingRequest, start_seconds: float, now: float) -> bool:
        """Return True if a scaling request is to be sent now.

        Notes
        -----
        A higher number is sent at once, a lower one after a delay. A rejected request, and a
        granted one that the cloud has not carried out, is sent again: the limits hold for both
        kinds of endpoints together, so the grant depends on what else runs, and endpoints that were
        just starting are not removed.
        """
        live = self._live_counts(request.service, request.reclaimable)[request.zone]
        last = self._last_requests.get(_request_key(request))
        if last is None:
            removes_live = live > request.count
            if not removes_live or (
                request.count == 0 and not self._has_seen_demand(request.service)
            ):
                return True
            # A previous lease holder may have requested these endpoints for a reason that still
            # holds.
            last = self._last_requests[_request_key(request)] = _LastRequest(
                live, now, wanted_at=now
            )
        if request.count >= last.granted:
            last.wanted_at = now
        if request.count < last.granted:
            kept = SCALE_IN_SECONDS if request.reclaimable else ON_DEMAND_SCALE_IN_SECONDS
            return now - last.wanted_at >= kept
        if last.refused is not None and request.count >= last.refused:
            return now - last.sent_at >= RETRY_SECONDS
        if request.count > last.granted:
            return True
        return now - last.sent_at >= _repeat_delay(live, request.count, start_seconds)

    def _has_seen_demand(self, service: str) -> bool:
        return service in self._first_seen

    def _send_request(self, request: ScalingRequest) -> Task:
        """Send a scaling request while the lease is held, and record whether it was granted."""
        call = self._lease.start_call()
        if call is None:
            return
        try:
            granted = yield from self._cloud.request_endpoints(
                self._vm_id, call.fencing, request, call
            )
        except PlatformError as exc:
            self._log.warning(
                "scaling request failed",
                order=str(request),
                fencing=call.fencing,
                detail=str(exc),
                maybe_applied=exc.maybe_applied,
                **call.log_fields(),
            )
            return
        result = "granted" if granted else "refused"
        self._metrics.count("orders_total", kind="endpoints", result=result)
        now = self._now()
        last = self._last_requests.setdefault(_request_key(request), _LastRequest(0, now))
        last.sent_at = now
        last.refused = None if granted else request.count
        if granted:
            last.granted = request.count
            last.wanted_at = now
        elif request.reclaimable:
            self._exhausted_until[request.service, request.zone] = now + RETRY_SECONDS
        self._log.info(
            "scaling request sent",
            service=request.service,
            at_zone=request.zone,
            count=request.count,
            reclaimable=request.reclaimable,
            granted=granted,
            fencing=call.fencing,
            **call.log_fields(),
            **self._decision_fields(request.service, now),
        )

    def _decision_fields(self, service: str, now: float) -> dict[str, object]:
        """Return the inputs of a scaling decision, for its log line."""
        demand = self._demand(service)
        return {
            "in_flight": demand.in_flight,
            "work": (round(demand.work.fast, 2), round(demand.work.slow, 2)),
            "serving": dict(self._live_counts(service, True)),
            "serving_firm": dict(self._live_counts(service, False)),
            "dry": sorted(self._exhausted_zones(service, now)),
        }


def _repeat_delay(live: int, wanted: int, start_seconds: float) -> float:
    """Return the seconds after which a request is repeated, given the endpoints that serve now."""
    if live > wanted:
        return RETRY_SECONDS
    return start_seconds + RETRY_SECONDS if live < wanted else REPEAT_SECONDS


def _request_key(request: ScalingRequest) -> _RequestKey:
    return _RequestKey(request.service, request.zone, request.reclaimable)
