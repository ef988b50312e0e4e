"""Retry budget, attempt limits and ejection of failing endpoints."""

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
    """Decides when a further attempt may start."""

    @abstractmethod
    def record_request(self, now: float) -> None:
        """Note a newly accepted request."""

    @abstractmethod
    def reserve(self, now: float) -> float:
        """Reserve one further attempt and return the seconds until it may start."""


class UnlimitedRetryBudget(RetryBudget):
    """The naive version: each loss is retried at once."""

    def record_request(self, now: float) -> None:
        """Ignore the request."""

    def reserve(self, now: float) -> float:
        """Return 0 always."""
        return 0.0


class PacedRetryBudget(RetryBudget):
    """Tokens earned by accepted requests; further attempts wait for theirs.

    Parameters
    ----------
    ratio : float
        Tokens earned by one accepted request.
    floor_rate : float
        Tokens a second that are earned in any case, so that a quiet service can still recover.
    burst : float
        Most tokens that can be saved up.

    Notes
    -----
    An attempt that finds no token is not refused but paced: a wave of reclaims resumes all of its
    streams one after another, in the order of their reservations, instead of all at once.
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
        """Earn the tokens of one accepted request."""
        self._refill(now)
        self._tokens = min(self._burst, self._tokens + self._ratio)

    def reserve(self, now: float) -> float:
        """Take one token, possibly a future one, and return the seconds until it is earned."""
        self._refill(now)
        self._tokens -= 1.0
        return max(0.0, -self._tokens / self._floor_rate)

    def cancel(self) -> None:
        """Give a reservation back that will not be used."""
        self._tokens = min(self._burst, self._tokens + 1.0)


@dataclass
class _Health:
    failures: int = 0
    ejections: int = 0
    until: float = -math.inf


class EndpointHealth:
    """Ejection of failing endpoints and their gradual return.

    Notes
    -----
    An endpoint that answers errors quickly looks idle, so consecutive failures take it out of the
    choice. It returns after a growing, jittered time and is out again at its first failure. At most
    half of a service's endpoints are out at a time: when all fail, the cause is elsewhere.
    """

    def __init__(self, rng: random.Random):
        self._rng = rng
        self._health: dict[str, _Health] = {}

    def record_success(self, endpoint_id: str) -> None:
        """Note a completed attempt."""
        self._health.pop(endpoint_id, None)

    def record_failure(self, endpoint_id: str, now: float) -> bool:
        """Note a lost attempt; True if the endpoint is ejected now."""
        health = self._health.setdefault(endpoint_id, _Health())
        health.failures += 1
        limit = EJECT_AFTER_FAILURES if health.ejections == 0 else 1
        if health.failures < limit:
            return False
        seconds = min(MAX_EJECTION_SECONDS, FIRST_EJECTION_SECONDS * 2**health.ejections)
        health.until = now + seconds * (0.75 + 0.5 * self._rng.random())
        health.ejections += 1
        health.failures = 0
        return True

    def forget(self, endpoint_id: str) -> None:
        """Drop what is known about an endpoint that is gone."""
        self._health.pop(endpoint_id, None)

    def list_ejected(self, endpoint_ids: Collection[str], now: float) -> frozenset[str]:
        """Return which of a service's endpoints are out, at most half of them.

        Notes
        -----
        When more are failing than may be out, those whose time ends first stay in.
        """
        out = [
            (health.until, each)
            for each, health in self._health.items()
            if health.until > now and each in endpoint_ids
        ]
        most = int(len(endpoint_ids) * MAX_EJECTED_FRACTION)
        out.sort(reverse=True)
        return frozenset(each for _, each in out[:most])
