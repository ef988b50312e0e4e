"""Retry budgets, and ejection of failing endpoints as in a circuit breaker."""

import math
import random
from abc import ABC, abstractmethod
from collections.abc import Collection
from dataclasses import dataclass

__all__ = [
    "EndpointHealth",
    "PacedRetryBudget",
    "RetryBudget",
    "UnlimitedRetryBudget",
]

EJECT_AFTER_FAILURES = 3
FIRST_EJECTION_SECONDS = 2.0
MAX_EJECTION_SECONDS = 60.0
MAX_EJECTED_FRACTION = 0.5


class RetryBudget(ABC):
    """Policy that decides when a retry may start."""

    @abstractmethod
    def record_request(self, now: float) -> None:
        """Record a newly accepted request."""

    @abstractmethod
    def can_reserve(self, now: float) -> bool:
        """Return True if a retry that is reserved now may start at once."""

    @abstractmethod
    def reserve(self, now: float) -> float:
        """Reserve one retry and return the seconds until it may start."""


class UnlimitedRetryBudget(RetryBudget):
    """Baseline policy: each failed attempt is retried immediately."""

    def record_request(self, now: float) -> None:
        """Ignore the request."""

    def can_reserve(self, now: float) -> bool:
        """Return True."""
        return True

    def reserve(self, now: float) -> float:
        """Return 0."""
        return 0.0


class PacedRetryBudget(RetryBudget):
    """Token bucket filled by accepted requests, in which retries wait for their tokens.

    Parameters
    ----------
    ratio : float
        Tokens earned per accepted request.
    floor_rate : float
        Tokens earned per second independently of requests, so that a service with little traffic
        can recover.
    burst : float
        Maximum number of saved tokens.

    Notes
    -----
    A retry without a token is delayed and not rejected: after a wave of reclaims the streams resume
    one after another, in the order of their reservations, instead of all at once.
    """

    def __init__(self, ratio: float = 0.2, floor_rate: float = 10.0, burst: float = 32.0):
        self._ratio = ratio
        self._floor_rate = floor_rate
        self._burst = burst
        self._tokens = burst
        self._updated = -math.inf

    def _refill(self, now: float) -> None:
        if self._updated > -math.inf:
            earned = (now - self._updated) * self._floor_rate
            self._tokens = min(self._burst, self._tokens + earned)
        self._updated = now

    def record_request(self, now: float) -> None:
        """Add the tokens earned by one accepted request."""
        self._refill(now)
        self._tokens = min(self._burst, self._tokens + self._ratio)

    def can_reserve(self, now: float) -> bool:
        """Return True if a token has been earned."""
        self._refill(now)
        return self._tokens >= 1.0

    def reserve(self, now: float) -> float:
        """Charge one token, possibly in advance, and return the seconds until it is earned."""
        self._refill(now)
        self._tokens -= 1.0
        return max(0.0, -self._tokens / self._floor_rate)

    def cancel(self) -> None:
        """Return the token of an unused reservation."""
        self._tokens = min(self._burst, self._tokens + 1.0)


@dataclass
class _Health:
    """Consecutive failures and ejections of one endpoint."""

    failures: int = 0
    ejections: int = 0
    ejected_until: float = -math.inf


class EndpointHealth:
    """Ejection of failing endpoints and their return after a backoff.

    Notes
    -----
    An endpoint that fails quickly looks idle, so it is ejected after consecutive failures. It
    returns after an increasing, jittered time and is ejected again at its next failure. At most
    half of a service's endpoints are ejected at a time: if all fail, the cause is elsewhere.
    """

    def __init__(self, rng: random.Random):
        self._rng = rng
        self._health: dict[str, _Health] = {}

    def record_success(self, endpoint_id: str) -> None:
        """Record a successful attempt, which resets the failures of the endpoint."""
        self._health.pop(endpoint_id, None)

    def record_failure(self, endpoint_id: str, now: float) -> bool:
        """Record a failed attempt; return True if it ejects the endpoint."""
        health = self._health.setdefault(endpoint_id, _Health())
        health.failures += 1
        limit = EJECT_AFTER_FAILURES if health.ejections == 0 else 1
        if health.failures < limit:
            return False
        seconds = min(MAX_EJECTION_SECONDS, FIRST_EJECTION_SECONDS * 2**health.ejections)
        health.ejected_until = now + seconds * (0.75 + 0.5 * self._rng.random())
        health.ejections += 1
        health.failures = 0
        return True

    def forget(self, endpoint_id: str) -> None:
        """Drop the state of a removed endpoint."""
        self._health.pop(endpoint_id, None)

    def list_ejected(self, endpoint_ids: Collection[str], now: float) -> frozenset[str]:
        """Return the ejected endpoints of a service, at most half of them.

        Notes
        -----
        If more endpoints are failing, those whose ejection ends first are left out.
        """
        ejected = [
            (health.ejected_until, each)
            for each, health in self._health.items()
            if health.ejected_until > now and each in endpoint_ids
        ]
        max_ejected = int(len(endpoint_ids) * MAX_EJECTED_FRACTION)
        ejected.sort(reverse=True)
        return frozenset(each for _, each in ejected[:max_ejected])
