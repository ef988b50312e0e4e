"""Permits of this process to send to endpoints that name a limit, and when to ask for the next."""

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

# Random part by which a pause is longer than told, so that processes that were refused together do
# not come back together.
JITTER = 0.25


@dataclass(frozen=True)
class Permit:
    """Outcome of a claim.

    Parameters
    ----------
    rate : float
        Requests a second that the endpoint takes from all.
    """

    endpoint_id: str
    rate: float
    decision: RateDecision

    @property
    def given(self) -> bool:
        """True if the request may be sent."""
        return self.decision.wait <= 0


class Permits:
    """Asks for permits, and leaves an endpoint alone for as long as none is to be had.

    Attributes
    ----------
    gate : RateGate
        Decides on claims; for this process alone if nothing else is set.
    own_name : str
        Name of this process in its claims.
    """

    def __init__(
        self, limits: EndpointLimits, timers: TimerService, metrics: Metrics, rng: random.Random
    ):
        self.gate: RateGate = LocalRateGate(timers)
        self.own_name = ""
        self._limits = limits
        self._timers = timers
        self._metrics = metrics
        self._rng = rng
        # Until when an endpoint takes nothing, with the priority that was refused.
        self._closed: dict[str, tuple[float, int]] = {}
        limits.on_end = self._limit_ended

    def needed(self, endpoint_id: str) -> bool:
        """Tell whether an attempt at an endpoint needs a permit."""
        return self._limits.rate_of(endpoint_id) is not None

    def closed(self, priority: int) -> frozenset[str]:
        """Return the endpoints to which nothing of a priority can be sent now."""
        if not self._closed:
            return frozenset()
        now = self._timers.now()
        for name in [name for name, (until, _) in self._closed.items() if until <= now]:
            del self._closed[name]
        return frozenset(name for name, (_, refused) in self._closed.items() if priority >= refused)

    def wait(self, endpoint_ids: Iterable[str], priority: float = math.inf) -> float:
        """Return the seconds until the first of some endpoints may take a request; 0 if one may.

        Parameters
        ----------
        priority : float
            Rank of the request; the least urgent one if it is not given.
        """
        now = self._timers.now()
        waits = (self._wait_for(each, priority, now) for each in endpoint_ids)
        return max(0.0, min(waits, default=0.0))

    def _wait_for(self, endpoint_id: str, priority: float, now: float) -> float:
        until, refused = self._closed.get(endpoint_id, (now, 0))
        return until - now if priority >= refused else 0.0

    def claim(
        self, endpoint_id: str, priority: int, patience: float, then: Callable[[Permit], None]
    ) -> None:
        """Ask for a permit for an endpoint that needs one; `then` gets the outcome.

        Parameters
        ----------
        patience : float
            Seconds for which the request can wait for it.
        """
        rate = self._limits.rate_of(endpoint_id) or 0.0
        claim = RateClaim(endpoint_id, rate, priority, patience, self.own_name)
        self.gate.decide(claim, lambda decision: self._decided(claim, decision, then))

    def _decided(
        self, claim: RateClaim, decision: RateDecision, then: Callable[[Permit], None]
    ) -> None:
        permit = Permit(claim.endpoint_id, claim.rate, decision)
        outcome = "given" if permit.given else "refused"
        self._metrics.count("endpoint_permits_total", outcome=outcome)
        if not permit.given:
            wait = decision.wait * (1.0 + JITTER * self._rng.random())
            self._close(claim, self._timers.now() + wait)
        then(permit)

    def _close(self, claim: RateClaim, until: float) -> None:
        """Leave an endpoint alone; a more urgent refusal holds for less urgent requests, too."""
        known = self._closed.get(claim.endpoint_id)
        if known is not None and known[0] > self._timers.now() and known[1] < claim.priority:
            return
        self._closed[claim.endpoint_id] = (until, claim.priority)

    def unused(self, permit: Permit) -> None:
        """Give a permit back that was not used."""
        if self.needed(permit.endpoint_id):
            self.gate.unused(permit.endpoint_id, permit.decision)

    def _limit_ended(self, endpoint_id: str) -> None:
        """Use an endpoint without permits again."""
        self._closed.pop(endpoint_id, None)
        self.gate.forget(endpoint_id)
