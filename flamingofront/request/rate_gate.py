"""Permits to send attempts to endpoints that advertise a rate limit."""

from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass

from flamingofront.decisions.rate_limits import RateClaim, RateLimiter
from flamingofront.process.timers import TimerService

__all__ = ["LocalRateGate", "RateDecision", "RateGate"]


@dataclass(frozen=True)
class RateDecision:
    """Decision on one permit claim for an endpoint with a rate limit.

    Parameters
    ----------
    delay : float
        Seconds after which the request may be sent, if the permit is granted.
    wait : float
        0 if the permit is granted, else the seconds until it can be claimed again.
    arbiter : str or None
        IP address of the arbiter that decided for all processes, empty if that is this process;
        None if this process decided by its local share of the limit.
    """

    delay: float
    wait: float
    arbiter: str | None = None


class RateGate(ABC):
    """Decides on permit claims for endpoints with a rate limit."""

    @abstractmethod
    def decide(self, claim: RateClaim, on_decision: Callable[[RateDecision], None]) -> None:
        """Decide on a claim and pass the decision to `on_decision`, at once or later."""

    @abstractmethod
    def return_unused(self, endpoint_id: str, decision: RateDecision) -> None:
        """Return a granted permit that was not used."""

    @abstractmethod
    def release(self, endpoint_id: str, decision: RateDecision, was_rejected: bool) -> None:
        """Return the permit of a request that has ended at a brittle endpoint.

        Parameters
        ----------
        was_rejected : bool
            True if the endpoint rejected the request for want of room.
        """

    @abstractmethod
    def forget(self, endpoint_id: str) -> None:
        """Discard the permits granted for an endpoint that no longer advertises a limit."""


class LocalRateGate(RateGate):
    """Limits this process to its share of each rate limit, without an arbiter.

    Parameters
    ----------
    local_share : callable
        Returns the share of each limit that belongs to this process, from 0 to 1.
    """

    def __init__(self, timers: TimerService, local_share: Callable[[], float] = lambda: 1.0):
        self._timers = timers
        self._local_share = local_share
        self._limiter = RateLimiter()

    def decide(self, claim: RateClaim, on_decision: Callable[[RateDecision], None]) -> None:
        """Decide on a claim by the local share and pass on the decision at once."""
        verdict = self._limiter.decide(claim, self._local_share(), self._timers.now())
        on_decision(RateDecision(verdict.delay, verdict.wait))

    def return_unused(self, endpoint_id: str, decision: RateDecision) -> None:
        """Return a granted permit that was not used."""
        self._limiter.return_permit(endpoint_id)

    def release(self, endpoint_id: str, decision: RateDecision, was_rejected: bool) -> None:
        """Ignore the end of a request: without an arbiter only rates are limited."""

    def forget(self, endpoint_id: str) -> None:
        """Discard the permits granted for an endpoint."""
        self._limiter.forget(endpoint_id)
