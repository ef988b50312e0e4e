"""Exponential backoff with jitter."""

import random
from dataclasses import dataclass

__all__ = ["Backoff"]


@dataclass(frozen=True)
class Backoff:
    """Delays between attempts.

    Parameters
    ----------
    first_seconds : float
        Upper bound of the first delay.
    max_seconds : float
        Upper bound of every delay.
    """

    first_seconds: float = 0.05
    max_seconds: float = 2.0

    def compute_delay(self, failures: int, rng: random.Random) -> float:
        """Return the seconds to wait after `failures` failed attempts.

        Notes
        -----
        The jitter covers the upper half of the range, so that retries of many processes spread out
        but none retries immediately.
        """
        return self.compute_max_delay(failures) * (0.5 + 0.5 * rng.random())

    def compute_max_delay(self, failures: int) -> float:
        """Return the upper bound of the delay after `failures` failed attempts."""
        return min(self.max_seconds, self.first_seconds * 2 ** min(failures, 30))
