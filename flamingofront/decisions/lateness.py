"""Which work goes first at an engine, by whether it can still be in time.

Load pattern: the seconds after a reclaim or in a burst, when more is to be read than engines can
read. Served in the order of arrival, each request then waits for those that are late already, and
nearly all become late. What will miss its objective in any case is therefore asked for as the least
urgent, and read in the gaps; it is served all the same.
"""

from dataclasses import dataclass
from enum import IntEnum

__all__ = ["Expectation", "Urgency", "urgency"]


class Urgency(IntEnum):
    """How soon an engine takes a request; the smaller, the sooner."""

    RESUMED = 3
    IN_TIME = 5
    LATE = 8


@dataclass(frozen=True)
class Expectation:
    """What is expected of an attempt, in seconds.

    Parameters
    ----------
    first_event : float
        Time until the first event.
    left : float
        Time left of the latency objective; below nothing where it is over.
    resumed : bool
        True if the caller has a part of the answer and waits for the next one.
    """

    first_event: float
    left: float
    resumed: bool = False


def urgency(expected: Expectation) -> Urgency:
    """Return the urgency of an attempt."""
    if expected.resumed:
        return Urgency.RESUMED
    return Urgency.IN_TIME if expected.first_event <= expected.left else Urgency.LATE
