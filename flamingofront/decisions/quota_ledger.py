"""What a process keeps of a workspace's quota: its bucket, and what was taken, by whom and when."""

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
# What was taken is summed in steps of this length, in seconds: as often as processes report.
BIN_SECONDS = 0.25
# What was allowed and is not told by then was not used: several times the age of late word.
GRANT_EXPIRY_SECONDS = 4.0


class TokenBucket:
    """This process's copy of one workspace's token bucket; it may hold less than nothing."""

    def __init__(self, level: float, share: float, now: float):
        self.level = level
        self.share = share
        self.updated = now

    def fill(self, rate: float, burst: float, now: float) -> None:
        """Add what was earned since the last time."""
        self.level = min(burst, self.level + (now - self.updated) * rate)
        self.updated = now


class ConsumedUnits:
    """Units that all processes took of one workspace lately, in steps of time."""

    def __init__(self, window: float):
        self._window = window
        self._steps: deque[list[float]] = deque()
        self._sum = 0.0

    def add(self, units: float, now: float) -> None:
        """Note units taken, or given back."""
        start = now - now % BIN_SECONDS
        if self._steps and self._steps[-1][0] == start:
            self._steps[-1][1] += units
        else:
            self._steps.append([start, units])
        self._sum += units

    def sum(self, now: float) -> float:
        """Return what was taken within the window."""
        while self._steps and self._steps[0][0] + BIN_SECONDS <= now - self._window:
            self._sum -= self._steps.popleft()[1]
        return self._sum

    def peak(self, now: float) -> float:
        """Return the most that was taken in a second of the window."""
        self.sum(now)
        seconds: dict[int, float] = {}
        for start, units in self._steps:
            seconds[int(start)] = seconds.get(int(start), 0.0) + units
        return max(seconds.values(), default=0.0)

    def since(self, time: float) -> float:
        """Return what was taken since a time."""
        return sum(units for start, units in self._steps if start >= time)

    def get_wait_until_freed(self, excess: float, now: float) -> float:
        """Return the seconds until so many units have left the window."""
        for start, units in self._steps:
            excess -= units
            if excess <= 0:
                return max(MIN_RETRY_SECONDS, start + BIN_SECONDS + self._window - now)
        return self._window


class LocalShare:
    """What this process lately let through of a workspace on its own word.

    A request that is larger than what is left of the part passes by chance, with the probability
    that keeps the mean; the rest of the part is used up either way. So many small chances do not
    add up to more than the part.
    """

    def __init__(self):
        self._used: deque[tuple[float, float]] = deque()
        self._sum = 0.0

    def use(self, units: float, now: float) -> None:
        """Note units of the part that are used."""
        self._used.append((now, units))
        self._sum += units

    def used(self, since: float) -> float:
        """Return what was used since a time; what is older is forgotten."""
        while self._used and self._used[0][0] < since:
            self._sum -= self._used.popleft()[1]
        return self._sum

    def allows(
        self, units: float, part: float, since: float, now: float, rng: random.Random
    ) -> bool:
        """Tell whether a request passes within a part."""
        left = part - self.used(since)
        if units <= left:
            return True
        if left <= 0:
            return False
        if rng.random() * units < left:
            return True
        self.use(left, now)
        return False


class OutstandingGrants:
    """What other processes were allowed and have not told yet."""

    def __init__(self):
        self._allowed: deque[list[float]] = deque()

    def add(self, units: float, now: float) -> None:
        """Note what was allowed."""
        self._allowed.append([now, units])

    def cover(self, units: float, now: float) -> float:
        """Return how much of some units was allowed before, and strike it off."""
        while self._allowed and self._allowed[0][0] < now - GRANT_EXPIRY_SECONDS:
            self._allowed.popleft()
        covered = 0.0
        while self._allowed and covered < units:
            part = min(self._allowed[0][1], units - covered)
            covered += part
            self._allowed[0][1] -= part
            if self._allowed[0][1] <= 0:
                self._allowed.popleft()
        return covered
