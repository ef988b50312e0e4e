"""Admission during a graceful shutdown: only requests that complete before the process exits.

Load pattern: rolling restarts, in which a process gets new requests until its load balancer stops
sending them, and for longer if few other processes are in rotation. Most requests are short, but
some take longer than the remaining time. A mean does not bound these, so a request is evaluated by
an upper bound: its deadline, or the tokens that its caller allows at the slowest recent pace.

Most streams end before they have used their allowance, so the pace is taken from the tokens that
were generated: the events of a stream times the tokens of an event. The latter are estimated from
the lengths that callers expect, which are accurate at the median only.
"""

import math
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass

__all__ = [
    "CompletionBounds",
    "StreamBound",
    "StreamTimes",
    "can_complete",
]

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
# Same for the upper bound, which also covers endpoints that slow down during the shutdown.
MAX_SLOWDOWN = 2.5
# Rank of the estimate of the tokens of an event among those of the observed streams. Below the
# median, because expected lengths that are too long would shorten the bound.
EVENT_TOKENS_QUANTILE = 0.4


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
    events : int
        Number of events; 0 if the stream is to count as one that has used its allowance.
    expected_tokens : int
        Output tokens that the caller expected; 0 if it did not say.
    longest_pause : float
        Longest time between two events in seconds.
    last_pause : float
        Seconds of `rest` after the last event.
    pauses : int or None
        Number of pauses between events that came apart; None if each event came alone.
    """

    first_event: float
    rest: float
    output_tokens: int
    events: int = 0
    expected_tokens: int = 0
    longest_pause: float = 0.0
    last_pause: float = 0.0
    pauses: int | None = None

    @property
    def has_pace(self) -> bool:
        """True if the stream tells how long one with more tokens would take."""
        return self.events == 0 or self._pause_count > 0

    @property
    def _pause_count(self) -> int:
        return self.events - 1 if self.pauses is None else self.pauses

    def scale_duration(self, output_tokens: int, event_tokens: float) -> float:
        """Return the duration of a stream of some tokens at the pace of this one.

        Parameters
        ----------
        event_tokens : float
            Tokens of an event.

        Notes
        -----
        A short stream may meet the longest pause of a long one, but only once.
        """
        if not self.events:
            return self.first_event + self.rest * output_tokens / self.output_tokens
        pause = max(self.longest_pause, self.last_pause)
        seconds, count = self._measure_pace()
        generated = min(self.output_tokens, count * event_tokens)
        return self.first_event + pause + seconds * output_tokens / generated

    def _measure_pace(self) -> tuple[float, float]:
        """Return the time of some events, at least one, without the longest pause.

        Notes
        -----
        The events before the first pause end none. A single pause is taken for a usual one.
        """
        between = max(0.0, self.rest - self.last_pause)
        if self._pause_count > 1:
            between = max(0.0, between - self.longest_pause)
        counted = max(1, self._pause_count - 1)
        return between, max(1.0, self.events * counted / (self._pause_count + 1))


class StreamBound:
    """Upper bound of the duration of the next stream of a service, from observed streams."""

    def __init__(self):
        self._observations: deque[StreamTimes] = deque(maxlen=KEPT_STREAMS)

    def observe(self, times: StreamTimes) -> None:
        """Record a complete stream; one without a token limit or a pace is ignored."""
        if times.output_tokens > 0 and times.has_pace:
            self._observations.append(times)

    def estimate_usual_seconds(self, output_tokens: int) -> float:
        """Return the longest usual seconds from acceptance to completion, infinity if unknown.

        Notes
        -----
        Streams that end before they have used their allowance stand for those that do not.
        """
        streams = self._select_similar(output_tokens)
        return SAFETY_FACTOR * _find_longest(
            each.first_event + each.rest * max(1.0, output_tokens / each.output_tokens)
            for each in streams
        )

    def estimate_max_seconds(
        self, output_tokens: int, running: Iterable[StreamTimes] = (), first_event: float = 0.0
    ) -> float:
        """Return the maximum seconds from acceptance to completion, infinity if unknown.

        Parameters
        ----------
        running : iterable of StreamTimes
            Streams in progress, by what they have taken until now.
        first_event : float
            Expected seconds to the first event, by the length of the prompt.

        Notes
        -----
        The observed streams may have had shorter prompts, so their first events came sooner.
        """
        event_tokens = self._estimate_event_tokens()
        longest = _find_longest(
            each.scale_duration(output_tokens, event_tokens)
            for each in self._select_similar(output_tokens)
        )
        for each in running:
            longest = max(longest, each.scale_duration(output_tokens, event_tokens))
        return MAX_SLOWDOWN * (longest + first_event)

    def _select_similar(self, output_tokens: int) -> list[StreamTimes]:
        """Return the streams that tell of one with an allowance; none if there are too few."""
        if output_tokens <= 0 or len(self._observations) < MIN_STREAMS:
            return []
        similar = [
            each
            for each in self._observations
            if each.output_tokens >= SIMILAR_SIZE_FRACTION * output_tokens
        ]
        return similar if len(similar) >= MIN_STREAMS else list(self._observations)

    def _estimate_event_tokens(self) -> float:
        """Return the tokens of an event, at least one and rather too few than too many."""
        ratios = sorted(
            each.expected_tokens / each.events
            for each in self._observations
            if each.expected_tokens and each.events
        )
        if len(ratios) < MIN_STREAMS:
            return 1.0
        return max(1.0, ratios[int(EVENT_TOKENS_QUANTILE * len(ratios))])


def _find_longest(durations: Iterable[float]) -> float:
    """Return the longest duration but for outliers; infinity if there is none."""
    found = sorted(durations)
    return found[-1 - len(found) // STREAMS_PER_OUTLIER] if found else math.inf


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
