"""What a process that stops still begins: only what certainly ends before the process does.

Load pattern: rolling restarts, in which new requests reach a process until its balancer turns away,
and later ones where few other processes are in rotation. Most are short, some last longer than the
process has left. A mean says nothing of those, so that a request is judged by the longest time that
it can take: by its deadline, or by its own number of tokens at the slowest pace seen lately.
"""

import math
from collections import deque
from dataclasses import dataclass

__all__ = ["CompletionBounds", "StreamBound", "StreamTimes", "can_complete"]

# Answers whose times are kept for a service: a change of its endpoints shows after so many.
KEPT_ANSWERS = 128
# Answers without which nothing is said of a service's next one: among so many, one in twenty that
# is slow has most likely been seen.
LEAST_ANSWERS = 20
# Streams with at least this part of the tokens of another one tell how long that lasts.
LIKE_SIZE = 0.25
# One answer in so many is left out: it lost its endpoint, or waited for one, and tells no pace.
ONE_LEFT_OUT_OF = 100
# The next stream may be slower than all that were seen by this factor.
MARGIN = 1.25


@dataclass(frozen=True)
class StreamTimes:
    """Times of a complete stream.

    Parameters
    ----------
    first_event : float
        Seconds from its acceptance to its first event.
    rest : float
        Seconds from its first event to its end.
    output_tokens : int
        Most tokens that its caller allowed.
    """

    first_event: float
    rest: float
    output_tokens: int

    def scaled(self, output_tokens: int) -> float:
        """Return the seconds of a stream at the same pace, that is no shorter than this one."""
        return self.first_event + self.rest * max(1.0, output_tokens / self.output_tokens)


class StreamBound:
    """Longest time that the next stream of a service takes, by the streams that were seen."""

    def __init__(self):
        self._seen: deque[StreamTimes] = deque(maxlen=KEPT_ANSWERS)

    def observe(self, times: StreamTimes) -> None:
        """Take a complete stream in; one whose caller named no tokens tells nothing."""
        if times.output_tokens > 0:
            self._seen.append(times)

    def seconds(self, output_tokens: int) -> float:
        """Return the longest time from acceptance to the end; infinite if it is not known."""
        if output_tokens <= 0 or len(self._seen) < LEAST_ANSWERS:
            return math.inf
        like = [each for each in self._seen if each.output_tokens >= LIKE_SIZE * output_tokens]
        known = like if len(like) >= LEAST_ANSWERS else self._seen
        longest = sorted(each.scaled(output_tokens) for each in known)
        return MARGIN * longest[-1 - len(longest) // ONE_LEFT_OUT_OF]


class CompletionBounds:
    """Bounds of all services."""

    def __init__(self):
        self._services: dict[str, StreamBound] = {}

    def of(self, service: str) -> StreamBound:
        """Return the bound of a service."""
        return self._services.setdefault(service, StreamBound())


def can_complete(deadline_left: float, bound: float, stop_left: float) -> bool:
    """Tell whether a request that begins now ends before the process does.

    Parameters
    ----------
    deadline_left : float
        Seconds after which the request is ended in any case.
    bound : float
        Longest seconds that it takes; infinite if that is not known.
    stop_left : float
        Seconds until the process ends; infinite if it does not stop.
    """
    return min(deadline_left, bound) <= stop_left
