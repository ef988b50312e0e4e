"""Admission during a graceful shutdown: only requests that complete before the process exits.

Load pattern: rolling restarts, in which a process gets new requests until its load balancer stops
sending them, and for longer if few other processes are in rotation. Most requests are short, but
some take longer than the remaining time. A mean does not bound these, so a request is evaluated by
an upper bound: its deadline, or its number of tokens at the slowest recently observed rate.
"""

import math
from collections import deque
from dataclasses import dataclass

__all__ = ["CompletionBounds", "StreamBound", "StreamTimes", "can_complete"]

# Streams kept per service; a change of its endpoints is fully visible after this many.
KEPT_STREAMS = 128
# Streams required for an estimate: enough to have likely observed a slow one if 1 in 20 is slow.
MIN_STREAMS = 20
# Minimum size, as a fraction of a stream's tokens, of the streams used to estimate its duration.
SIMILAR_SIZE_FRACTION = 0.25
# One stream in this many, the slowest, is ignored: it lost its endpoint or waited for one.
STREAMS_PER_OUTLIER = 100
# The next stream may be slower than all observed ones by this factor.
SAFETY_FACTOR = 1.25


@dataclass(frozen=True)
class StreamTimes:
    """Times of a complete stream.

    Parameters
    ----------
    first_event : float
        Seconds from acceptance to the first event.
    rest : float
        Seconds from the first event to completion.
    output_tokens : int
        Maximum output tokens allowed by the caller.
    """

    first_event: float
    rest: float
    output_tokens: int

    def scale_duration(self, output_tokens: int) -> float:
        """Return the duration of a stream at the same rate, at least as long as this one."""
        return self.first_event + self.rest * max(1.0, output_tokens / self.output_tokens)


class StreamBound:
    """Upper bound of the duration of the next stream of a service, from observed streams."""

    def __init__(self):
        self._observations: deque[StreamTimes] = deque(maxlen=KEPT_STREAMS)

    def observe(self, times: StreamTimes) -> None:
        """Record a complete stream; streams without a token limit are ignored."""
        if times.output_tokens > 0:
            self._observations.append(times)

    def estimate_max_seconds(self, output_tokens: int) -> float:
        """Return the maximum seconds from acceptance to completion, infinity if unknown."""
        if output_tokens <= 0 or len(self._observations) < MIN_STREAMS:
            return math.inf
        similar = [
            each
            for each in self._observations
            if each.output_tokens >= SIMILAR_SIZE_FRACTION * output_tokens
        ]
        streams = similar if len(similar) >= MIN_STREAMS else self._observations
        durations = sorted(each.scale_duration(output_tokens) for each in streams)
        return SAFETY_FACTOR * durations[-1 - len(durations) // STREAMS_PER_OUTLIER]


class CompletionBounds:
    """Bounds of stream durations of all services."""

    def __init__(self):
        self._services: dict[str, StreamBound] = {}

    def for_service(self, service: str) -> StreamBound:
        """Return the bound of a service, created on first use."""
        return self._services.setdefault(service, StreamBound())


def can_complete(deadline_left: float, bound: float, stop_left: float) -> bool:
    """Return True if a request that starts now completes before the process exits.

    Parameters
    ----------
    deadline_left : float
        Seconds until the deadline of the request.
    bound : float
        Maximum duration of the request in seconds; infinite if unknown.
    stop_left : float
        Seconds until the process exits; infinite if it is not shutting down.
    """
    return min(deadline_left, bound) <= stop_left
