"""Quota accounting of a process: token buckets, consumption over time, and outstanding grants."""

import random
from collections import deque

__all__ = [
    "MIN_RETRY_SECONDS",
    "BIN_SECONDS",
    "OutstandingGrants",
    "TokenBucket",
    "LocalShare",
    "ConsumedUnits",
]

MIN_RETRY_SECONDS = 0.05
# Consumption is summed in bins of the report interval.
BIN_SECONDS = 0.25
# A grant not reported within this time was not used; several times the lag of late reports.
GRANT_EXPIRY_SECONDS = 4.0


class TokenBucket:
    """Local replica of a workspace's token bucket, whose level may be negative."""

    def __init__(self, level: float, share: float, now: float):
        self.level = level
        self.share = share
        self.updated = now

    def fill(self, rate: float, burst: float, now: float) -> None:
        """Add the tokens earned since the last call, at most up to the burst."""
        self.level = min(burst, self.level + (now - self.updated) * rate)
        self.updated = now


class ConsumedUnits:
    """Units of one workspace that all processes consumed recently, in time bins."""

    def __init__(self, window: float):
        self._window = window
        self._bins: deque[list[float]] = deque()
        self._sum = 0.0

    def add(self, units: float, now: float) -> None:
        """Add consumed units, or subtract refunded ones if negative."""
        start = now - now % BIN_SECONDS
        if self._bins and self._bins[-1][0] == start:
            self._bins[-1][1] += units
        else:
            self._bins.append([start, units])
        self._sum += units

    def sum_window(self, now: float) -> float:
        """Return the units consumed within the window."""
        while self._bins and self._bins[0][0] + BIN_SECONDS <= now - self._window:
            self._sum -= self._bins.popleft()[1]
        return self._sum

    def get_peak(self, now: float) -> float:
        """Return the maximum units consumed in one second of the window."""
        self.sum_window(now)
        seconds: dict[int, float] = {}
        for start, units in self._bins:
            seconds[int(start)] = seconds.get(int(start), 0.0) + units
        return max(seconds.values(), default=0.0)

    def sum_since(self, time: float) -> float:
        """Return the units consumed since a time."""
        return sum(units for start, units in self._bins if start >= time)

    def get_wait_until_freed(self, excess: float, now: float) -> float:
        """Return the seconds until the excess units have left the window."""
        for start, units in self._bins:
            excess -= units
            if excess <= 0:
                return max(MIN_RETRY_SECONDS, start + BIN_SECONDS + self._window - now)
        return self._window


class LocalShare:
    """Units of a workspace that this process admitted recently from its own share.

    A request larger than the remaining share is admitted at random, with the probability that
    preserves the mean. A rejection uses up the rest of the share as well, so that repeated attempts
    cannot exceed the share.
    """

    def __init__(self):
        self._uses: deque[tuple[float, float]] = deque()
        self._sum = 0.0

    def record_use(self, units: float, now: float) -> None:
        """Record used units of the share."""
        self._uses.append((now, units))
        self._sum += units

    def sum_used(self, since: float) -> float:
        """Return the units used since a time, and drop older ones."""
        while self._uses and self._uses[0][0] < since:
            self._sum -= self._uses.popleft()[1]
        return self._sum

    def decide(
        self, units: float, share: float, since: float, now: float, rng: random.Random
    ) -> bool:
        """Return True if a request is admitted; the caller then records the use of the share."""
        remaining = share - self.sum_used(since)
        if units <= remaining:
            return True
        if remaining <= 0:
            return False
        if rng.random() * units < remaining:
            return True
        self.record_use(remaining, now)
        return False


class OutstandingGrants:
    """Grants to other processes that they have not reported as consumed yet."""

    def __init__(self):
        self._granted: deque[list[float]] = deque()

    def add(self, units: float, now: float) -> None:
        """Record a grant."""
        self._granted.append([now, units])

    def settle(self, units: float, now: float) -> float:
        """Remove reported units from the grants and return how many of them were granted."""
        while self._granted and self._granted[0][0] < now - GRANT_EXPIRY_SECONDS:
            self._granted.popleft()
        covered = 0.0
        while self._granted and covered < units:
            amount = min(self._granted[0][1], units - covered)
            covered += amount
            self._granted[0][1] -= amount
            if self._granted[0][1] <= 0:
                self._granted.popleft()
        return covered
