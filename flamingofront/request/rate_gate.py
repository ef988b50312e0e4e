"""Where an attempt gets its permit to be sent to an endpoint that names a limit."""

from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass

from flamingofront.decisions.rate_limits import RateClaim, RateLimiter
from flamingofront.process.timers import TimerService

__all__ = ["LocalRateGate", "RateDecision", "RateGate"]


@dataclass(frozen=True)
class RateDecision:
    """Whether a request may be sent to an endpoint with a limit.

    Parameters
    ----------
    delay : float
        Seconds after which it may be sent, if it may.
    wait : float
        0 if it may, else the seconds until the next claim.
    arbiter : str or None
        IP number of the process that decided for all, empty for this one; None if this process
        decided by its own part.
    """

    delay: float
    wait: float
    arbiter: str | None = None


class RateGate(ABC):
    """Decides whether a request may be sent to an endpoint with a limit."""

    @abstractmethod
    def decide(self, claim: RateClaim, then: Callable[[RateDecision], None]) -> None:
        """Have a claim decided on; `then` gets the decision, at once or soon."""

    @abstractmethod
    def unused(self, endpoint_id: str, decision: RateDecision) -> None:
        """Give a permit back that was not used."""

    @abstractmethod
    def forget(self, endpoint_id: str) -> None:
        """Forget what was let through to an endpoint: it names no limit any more."""


class LocalRateGate(RateGate):
    """Keeps this process to its part of each limit, without a word to the others.

    Parameters
    ----------
    part : callable
        Returns this process's part, 0 to 1.
    """

    def __init__(self, timers: TimerService, part: Callable[[], float] = lambda: 1.0):
        self._timers = timers
        self._part = part
        self._limiter = RateLimiter()

    def decide(self, claim: RateClaim, then: Callable[[RateDecision], None]) -> None:
        """Decide at once."""
        verdict = self._limiter.decide(claim, self._part(), self._timers.now())
        then(RateDecision(verdict.delay, verdict.wait))

    def unused(self, endpoint_id: str, decision: RateDecision) -> None:
        """Give a permit back that was not used."""
        self._limiter.return_permit(endpoint_id)

    def forget(self, endpoint_id: str) -> None:
        """Forget what was let through to an endpoint."""
        self._limiter.forget(endpoint_id)
