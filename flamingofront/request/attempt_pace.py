"""Detection of slow attempts, compared between software versions during a rollout."""

from flamingofront.decisions.engine_rates import EngineRates

__all__ = ["AttemptLatency"]

# An attempt is slow if it takes longer than SLOW_FACTOR times the expected time plus
# SLOW_MARGIN_SECONDS. A queue or a cold cache can slow a single attempt, so versions are compared
# by their share of slow attempts.
SLOW_FACTOR = 3.0
SLOW_MARGIN_SECONDS = 0.1


class AttemptLatency:
    """Measures the latency of one attempt against the expected latency.

    Parameters
    ----------
    sent_at : float
        Time at which the attempt was sent, on the clock of the timer service.
    expected_seconds : float
        Expected seconds to the first event or to the complete response, by the learned rates.
    """

    def __init__(self, sent_at: float = 0.0, expected_seconds: float = 0.0):
        self._sent_at = sent_at
        self._expected_seconds = expected_seconds
        self._started_at: float | None = None
        self._is_slow = False

    def record_start(self, now: float) -> None:
        """Record the time of the first event or complete response; later calls do nothing."""
        if self._started_at is None:
            self._started_at = now
            self._is_slow = now - self._sent_at > _slow_threshold(self._expected_seconds)

    def is_slow(self, now: float, events: int, rates: EngineRates) -> bool:
        """Return True if the attempt, which ends now, was slow.

        Parameters
        ----------
        events : int
            Number of events in the stream; 0 for a response that is not a stream.
        rates : EngineRates
            Learned rates, for the expected time between two events.
        """
        self.record_start(now)
        streaming_seconds = now - self._started_at
        return self._is_slow or streaming_seconds > _slow_threshold(rates.pause_seconds * events)


def _slow_threshold(expected_seconds: float) -> float:
    """Return the duration, in seconds, above which a phase of an attempt is slow."""
    return SLOW_FACTOR * expected_seconds + SLOW_MARGIN_SECONDS
