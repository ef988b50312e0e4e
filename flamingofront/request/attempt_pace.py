"""How long an attempt takes against what is usual: a version of which many take long is bad."""

from flamingofront.decisions.engine_rates import EngineRates

__all__ = ["AttemptLatency"]

# An answer is slow that takes so many times as long as expected, and so many seconds more. A single
# one may be so by a queue or a cold cache: only the share of them is compared, between versions.
SLOW_TIMES = 3.0
SLOW_SECONDS = 0.1


class AttemptLatency:
    """Judges one attempt.

    Parameters
    ----------
    sent_at : float
        Time at which it was sent.
    expected : float
        Seconds to its first event, or to its whole answer, by the learned rates.
    """

    def __init__(self, sent_at: float = 0.0, expected: float = 0.0):
        self._sent_at = sent_at
        self._expected = expected
        self._began_at: float | None = None
        self._is_slow = False

    def began(self, now: float) -> None:
        """Take note of a first event, or of a whole answer; later ones change nothing."""
        if self._began_at is None:
            self._began_at = now
            self._is_slow = now - self._sent_at > _limit(self._expected)

    def is_slow(self, now: float, events: int, rates: EngineRates) -> bool:
        """Tell whether the attempt took too long, at its end.

        Parameters
        ----------
        events : int
            Events of its stream; 0 for a whole answer.
        """
        self.began(now)
        between = now - self._began_at
        return self._is_slow or between > _limit(rates.pause_seconds * events)


def _limit(expected: float) -> float:
    """Return the seconds from which on something is slow that takes so many usually."""
    return SLOW_TIMES * expected + SLOW_SECONDS
