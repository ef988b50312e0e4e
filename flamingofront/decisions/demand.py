"""Offered load of a service, in endpoints that it would keep busy.

Load pattern: bursts of a few seconds on top of waves of tens of seconds. A fast moving average
shows a burst before a queue forms; a slow one does not follow each burst. Requests in flight are
not a suitable measure: a queue counts as demand long after its cause has ended, and an idle stream
counts as much as a prompt of 20,000 tokens.
"""

import math
from dataclasses import dataclass

__all__ = ["Demand", "OfferedLoad", "LoadMeter"]

# Time constants of the two averages. A burst lasts one to three seconds, a wave 40.
FAST_SECONDS = 2.0
SLOW_SECONDS = 8.0
# Minimum time over which an average is taken: longer than a burst takes to begin at one process.
MIN_OBSERVED_SECONDS = 1.5


@dataclass(frozen=True)
class OfferedLoad:
    """Offered load in busy endpoints (endpoint-seconds per second), as two moving averages.

    Parameters
    ----------
    fast, slow : float
        Averages with time constants of `FAST_SECONDS` and `SLOW_SECONDS`.
    """

    fast: float = 0.0
    slow: float = 0.0

    def __add__(self, other: "OfferedLoad") -> "OfferedLoad":
        return OfferedLoad(self.fast + other.fast, self.slow + other.slow)


@dataclass(frozen=True)
class Demand:
    """Demand of one service over all entry processes.

    Parameters
    ----------
    in_flight : float
        Requests running or queued at its endpoints.
    slots : int
        Requests that one endpoint runs concurrently.
    work : OfferedLoad
        Offered load in busy endpoints.
    known : bool
        False until requests have been observed long enough for an estimate.
    """

    in_flight: float
    slots: int
    work: OfferedLoad = OfferedLoad()
    known: bool = True


class _DecayingMean:
    """Exponentially weighted rate, corrected for bias before the window is full."""

    def __init__(self, seconds: float, now: float):
        self._seconds = seconds
        self._started = self._updated = now
        self._sum = 0.0

    def add(self, amount: float, now: float) -> None:
        """Add an amount at a time."""
        self._sum = self._sum * self._decay(now - self._updated) + amount
        self._updated = now

    def _decay(self, elapsed: float) -> float:
        return math.exp(-max(0.0, elapsed) / self._seconds)

    def get_rate(self, now: float) -> float:
        """Return the rate per second.

        Notes
        -----
        At least `MIN_OBSERVED_SECONDS` count as observed, since a window of about 0.1 s is not
        meaningful. A longer minimum of half the window made the slow average report half of the
        load for its first three seconds.
        """
        observed = 1.0 - self._decay(max(now - self._started, MIN_OBSERVED_SECONDS))
        return self._sum * self._decay(now - self._updated) / (self._seconds * observed)


class LoadMeter:
    """Offered load placed by this process, by service."""

    def __init__(self):
        self._rates: dict[str, tuple[_DecayingMean, _DecayingMean]] = {}

    def add(self, service: str, seconds: float, now: float) -> None:
        """Add the work of one request, in endpoint-seconds."""
        if service not in self._rates:
            self._rates[service] = (
                _DecayingMean(FAST_SECONDS, now),
                _DecayingMean(SLOW_SECONDS, now),
            )
        for rate in self._rates[service]:
            rate.add(seconds, now)

    def get_loads(self, now: float) -> dict[str, OfferedLoad]:
        """Return the offered load by service."""
        return {
            name: OfferedLoad(fast.get_rate(now), slow.get_rate(now))
            for name, (fast, slow) in self._rates.items()
        }
