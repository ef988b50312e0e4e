"""Exponential backoff with full jitter."""

import random
from dataclasses import dataclass

__all__ = ["Backoff"]


@dataclass(frozen=True)
class Backoff:
    """Delays between tries.

    Parameters
    ----------
    first, longest : float
        Bounds of the delay in seconds.
    """

    first: float = 0.05
    longest: float = 2.0

    def delay(self, tries: int, rng: random.Random) -> float:
        """Return the seconds to wait after `tries` failed tries.

        Notes
        -----
        The jitter covers the upper half of the range, so that retries of many processes spread out
        but none comes back at once.
        """
        ceiling = min(self.longest, self.first * 2 ** min(tries, 30))
        return ceiling * (0.5 + 0.5 * rng.random())
