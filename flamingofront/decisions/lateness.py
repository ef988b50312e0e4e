"""Which work goes first at an engine, by whether it can still be in time.

Load pattern: the seconds after a reclaim or in a burst, when more is to be read than engines can
read. Served in the order of arrival, each request then waits for those that are late already, and
nearly all become late. What will miss its objective in any case is therefore asked for as the least
urgent, and read in the gaps; it is served all the same.
"""

from dataclasses import dataclass
from enum import IntEnum

__all__ = ["LatencyEstimate", "Urgency", "compute_yield_delay", "classify_urgency"]

# Work that is late in any case goes to an engine with no more than this to read before it, in
# seconds: a tenth to a third of the objectives seen, so that what comes next is still in time.
IDLE_SECONDS = 0.05
# Pause between two looks for such an engine: about the time in which it reads one prompt.
RECHECK_SECONDS = 0.06
# Part of the time until the deadline after which late work goes on in any case: the rest is for
# reading it behind others and for the answer.
MAX_YIELD_FRACTION = 0.4


class Urgency(IntEnum):
    """How soon an engine takes a request; the smaller, the sooner."""

    RESUMED = 3
    IN_TIME = 5
    LATE = 8


@dataclass(frozen=True)
class LatencyEstimate:
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


def classify_urgency(expected: LatencyEstimate) -> Urgency:
    """Return the urgency of an attempt."""
    if expected.resumed:
        return Urgency.RESUMED
    return Urgency.IN_TIME if expected.first_event <= expected.left else Urgency.LATE


def compute_yield_delay(
    expected: LatencyEstimate, ahead: float, waited: float, deadline: float
) -> float:
    """Return the seconds for which an attempt stands back; 0 if it goes now.

    Parameters
    ----------
    ahead : float
        Seconds of reading before it at the best endpoint.
    waited : float
        Seconds since the request came.
    deadline : float
        Seconds from its coming until its caller leaves.
    """
    in_time = expected.first_event <= expected.left
    if expected.resumed or in_time or ahead <= IDLE_SECONDS:
        return 0.0
    return RECHECK_SECONDS if waited < MAX_YIELD_FRACTION * deadline else 0.0
