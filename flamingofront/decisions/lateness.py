"""Priority of attempts at an engine, by whether they can meet their latency objective.

Load pattern: the seconds after a reclaim or in a burst, when engines get more prompts than they can
prefill. In order of arrival each request would wait for those that are already late, and nearly all
would become late. Requests that cannot meet their latency objective therefore get the lowest
urgency and run when engines have spare time. They are still served.
"""

from dataclasses import dataclass
from enum import IntEnum

__all__ = ["LatencyEstimate", "Urgency", "compute_yield_delay", "classify_urgency"]

# Maximum prefill backlog of an engine that gets late requests: a tenth to a third of the observed
# objectives, so that the next request can still meet its objective.
IDLE_BACKLOG_SECONDS = 0.05
# Interval of the checks for such an engine: about the prefill time of one prompt.
RECHECK_SECONDS = 0.06
# Fraction of the deadline after which a late request stops yielding: the rest is left for queueing,
# prefill and the response.
MAX_YIELD_FRACTION = 0.4


class Urgency(IntEnum):
    """Urgency of a request at an engine; smaller values go first."""

    RESUMED = 3
    IN_TIME = 5
    LATE = 8


@dataclass(frozen=True)
class LatencyEstimate:
    """Expected latency of an attempt.

    Parameters
    ----------
    first_event_seconds : float
        Expected time to the first event.
    remaining : float
        Seconds left of the latency objective; negative once it is missed.
    resumed : bool
        True if the caller has already received a part of the response.
    """

    first_event_seconds: float
    remaining: float
    resumed: bool = False


def classify_urgency(expected: LatencyEstimate) -> Urgency:
    """Return the urgency of an attempt from its expected latency."""
    if expected.resumed:
        return Urgency.RESUMED
    return Urgency.IN_TIME if expected.first_event_seconds <= expected.remaining else Urgency.LATE


def compute_yield_delay(
    expected: LatencyEstimate, ahead: float, waited: float, deadline: float
) -> float:
    """Return the seconds for which an attempt yields to others, 0 if it is sent now.

    Parameters
    ----------
    expected : LatencyEstimate
        Expected latency of the attempt.
    ahead : float
        Prefill backlog at the best endpoint, in seconds.
    waited : float
        Seconds since the arrival of the request.
    deadline : float
        Seconds from the arrival until the caller times out.
    """
    in_time = expected.first_event_seconds <= expected.remaining
    if expected.resumed or in_time or ahead <= IDLE_BACKLOG_SECONDS:
        return 0.0
    return RECHECK_SECONDS if waited < MAX_YIELD_FRACTION * deadline else 0.0
