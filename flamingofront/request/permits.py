"""Permits to send requests to endpoints with a rate limit, and the waits after denied claims."""

import math
import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from flamingofront.decisions.rate_limits import RateClaim
from flamingofront.process.metrics import Metrics
from flamingofront.process.timers import TimerService
from flamingofront.request.endpoint_limits import EndpointLimits
from flamingofront.request.rate_gate import LocalRateGate, RateDecision, RateGate

__all__ = ["Permit", "Permits"]

# Waits are extended by a random fraction up to this one, so that processes that were denied
# together do not claim again together.
JITTER_FRACTION = 0.25


@dataclass(frozen=True)
class Permit:
    """Outcome of a permit claim.

    Parameters
    ----------
    rate : float or None
        Requests per second that the endpoint accepts from all entry processes together; None if it
        is only brittle.
    """

    endpoint_id: str
    rate: float | None
    decision: RateDecision

    @property
    def is_granted(self) -> bool:
        """True if the request may be sent, after the delay of the decision."""
        return self.decision.wait <= 0


class Permits:
    """Claims permits, and closes an endpoint for the wait time that a denied claim returns.

    Attributes
    ----------
    gate : RateGate
        Decides on claims; a `LocalRateGate` by default.
    process_name : str
        Name of this process in its claims.
    """

    def __init__(
        self, limits: EndpointLimits, timers: TimerService, metrics: Metrics, rng: random.Random
    ):
        self.gate: RateGate = LocalRateGate(timers)
        self.process_name = ""
        self._limits = limits
        self._timers = timers
        self._metrics = metrics
        self._rng = rng
        # By endpoint: the time until which it is closed, and the priority of the denied claim.
        self._closed_until: dict[str, tuple[float, int]] = {}
        limits.on_limit_ended = self._on_limit_ended

    def is_required(self, endpoint_id: str) -> bool:
        """Return True if a request to an endpoint needs a permit."""
        return self._limits.is_limited(endpoint_id)

    def closed_endpoints(self, priority: int) -> frozenset[str]:
        """Return the endpoints that are closed to requests of a priority."""
        if not self._closed_until:
            return frozenset()
        now = self._timers.now()
        for name in [name for name, (until, _) in self._closed_until.items() if until <= now]:
            del self._closed_until[name]
        return frozenset(
            name
            for name, (_, closed_priority) in self._closed_until.items()
            if priority >= closed_priority
        )

    def wait_seconds(self, endpoint_ids: Iterable[str], priority: float = math.inf) -> float:
        """Return the seconds until the first of the endpoints opens; 0 if one is open.

        Parameters
        ----------
        priority : float
            Priority of the request, lower is more urgent; the least urgent one by default.
        """
        now = self._timers.now()
        waits = (self._wait_seconds(each, priority, now) for each in endpoint_ids)
        return max(0.0, min(waits, default=0.0))

    def _wait_seconds(self, endpoint_id: str, priority: float, now: float) -> float:
        until, closed_priority = self._closed_until.get(endpoint_id, (now, 0))
        return until - now if priority >= closed_priority else 0.0

    def claim(
        self,
        endpoint_id: str,
        priority: int,
        patience: float,
        on_outcome: Callable[[Permit], None],
        hold_seconds: float = 0.0,
    ) -> None:
        """Claim a permit for an endpoint with a rate limit and pass the outcome to `on_outcome`.

        Parameters
        ----------
        priority : int
            Priority of the request; lower is more urgent.
        patience : float
            Longest time that the request can wait for the permit, in seconds.
        hold_seconds : float
            Longest time for which the request may run.
        """
        rate = self._limits.rate_of(endpoint_id)
        claim = RateClaim(endpoint_id, rate, priority, patience, self.process_name, hold_seconds)
        self.gate.decide(claim, lambda decision: self._on_decision(claim, decision, on_outcome))

    def _on_decision(
        self, claim: RateClaim, decision: RateDecision, on_outcome: Callable[[Permit], None]
    ) -> None:
        permit = Permit(claim.endpoint_id, claim.rate, decision)
        outcome = "given" if permit.is_granted else "refused"
        self._metrics.count("endpoint_permits_total", outcome=outcome)
        if not permit.is_granted:
            wait = decision.wait * (1.0 + JITTER_FRACTION * self._rng.random())
            self._close_endpoint(claim, self._timers.now() + wait)
        on_outcome(permit)

    def _close_endpoint(self, claim: RateClaim, until: float) -> None:
        """Close an endpoint, unless it is already closed for a more urgent priority.

        A denial at one priority also applies to all less urgent requests.
        """
        current = self._closed_until.get(claim.endpoint_id)
        if current is not None and current[0] > self._timers.now() and current[1] < claim.priority:
            return
        self._closed_until[claim.endpoint_id] = (until, claim.priority)

    def return_unused(self, permit: Permit) -> None:
        """Return a granted permit that was not used."""
        if self.is_required(permit.endpoint_id):
            self.gate.return_unused(permit.endpoint_id, permit.decision)

    def release(self, permit: Permit, was_rejected: bool) -> None:
        """Return the permit of an attempt that has ended, so that another may use its place.

        Parameters
        ----------
        was_rejected : bool
            True if the endpoint rejected the request for want of room.
        """
        if self._limits.is_brittle(permit.endpoint_id):
            self.gate.release(permit.endpoint_id, permit.decision, was_rejected)

    def _on_limit_ended(self, endpoint_id: str) -> None:
        """Reopen an endpoint that no longer advertises a rate limit."""
        self._closed_until.pop(endpoint_id, None)
        self.gate.forget(endpoint_id)
