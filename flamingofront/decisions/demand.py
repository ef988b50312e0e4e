"""How much work callers ask of a service, in endpoints that it would keep busy.

Load pattern: clumps of some seconds on waves of tens of seconds. A fast mean shows a burst before
its queue does; a slow one is not driven by each clump. Requests in flight are no measure: a queue
that has formed counts as demand long after its cause is over, and an idle stream as much as a
prompt of 20,000 tokens.
"""

import math
from dataclasses import dataclass

__all__ = ["Demand", "OfferedLoad", "LoadMeter"]

# Time constants of the two means. A clump lasts one to three seconds; a wave 40.
FAST_SECONDS = 2.0
SLOW_SECONDS = 8.0
# Least time that counts as observed: longer than a clump of requests at one process takes to begin.
LEAST_SEEN_SECONDS = 1.5


@dataclass(frozen=True)
class OfferedLoad:
    """Offered work in busy endpoints: seconds of one endpoint that a second of requests takes."""

    fast: float = 0.0
    slow: float = 0.0

    def __add__(self, other: "Work") -> "Work":
        return OfferedLoad(self.fast + other.fast, self.slow + other.slow)


@dataclass(frozen=True)
class Demand:
    """Load of one service, over all entry processes.

    Parameters
    ----------
    in_flight : float
        Requests that run or wait at its endpoints.
    slots : int
        Requests that one endpoint runs at once.
    known : bool
        False until requests were seen for a while.
    """

    in_flight: float
    slots: int
    work: OfferedLoad = OfferedLoad()
    known: bool = True


class _DecayingRate:
    """Sum over an exponential window, as a rate; unbiased also before the window is full."""

    def __init__(self, seconds: float, now: float):
        self._seconds = seconds
        self._began = self._updated = now
        self._sum = 0.0

    def add(self, amount: float, now: float) -> None:
        """Count an amount."""
        self._sum = self._sum * self._decay(now - self._updated) + amount
        self._updated = now

    def _decay(self, elapsed: float) -> float:
        return math.exp(-max(0.0, elapsed) / self._seconds)

    def get(self, now: float) -> float:
        """Return the amount a second.

        Notes
        -----
        A window of a tenth of a second or so says nothing: no less than `LEAST_SEEN_SECONDS` count
        as seen. With half of the window counted from the start, the slow mean told half of the work
        for its first three seconds.
        """
        seen = 1.0 - self._decay(max(now - self._began, LEAST_SEEN_SECONDS))
        return self._sum * self._decay(now - self._updated) / (self._seconds * seen)


class LoadMeter:
    """Work that this process places, by service."""

    def __init__(self):
        self._rates: dict[str, tuple[_DecayingRate, _DecayingRate]] = {}

    def add(self, service: str, seconds: float, now: float) -> None:
        """Count the work of one request, in seconds of one endpoint."""
        if service not in self._rates:
            self._rates[service] = (
                _DecayingRate(FAST_SECONDS, now),
                _DecayingRate(SLOW_SECONDS, now),
            )
        for rate in self._rates[service]:
            rate.add(seconds, now)

    def work(self, now: float) -> dict[str, OfferedLoad]:
        """Return the work by service."""
        return {
            name: OfferedLoad(fast.get(now), slow.get(now))
            for name, (fast, slow) in self._rates.items()
        }
