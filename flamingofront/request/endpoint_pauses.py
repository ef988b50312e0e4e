"""Pauses that endpoints request of this process when they reject a request."""

import random
from dataclasses import dataclass, replace

from flamingofront.process.logs import Log
from flamingofront.process.metrics import Metrics
from flamingofront.process.timers import TimerService

__all__ = ["EndpointBackoffs"]

# Longest pause that is believed, in seconds: an endpoint that named a day by mistake would be left
# alone for that day.
MAX_BACKOFF_SECONDS = 60.0


# Random part by which a pause is longer than was asked for: processes that were refused together do
# not come back together.
JITTER = 0.25
# After a pause one request shows whether the endpoint takes them again; the others wait for its
# answer for so long, in seconds.
TRIAL_SECONDS = 1.0


@dataclass(frozen=True)
class _Pause:
    """A pause on the clock of the timer service.

    Parameters
    ----------
    trial_at : float or None
        When the first request after the pause was sent; None before.
    """

    asked_at: float
    until: float
    trial_at: float | None = None


class EndpointBackoffs:
    """Keeps until when this process sends nothing to an endpoint.

    A success in between does not end a pause. After it one request goes first, and the others
    follow once it is answered otherwise.
    """

    def __init__(self, timers: TimerService, metrics: Metrics, log: Log, rng: random.Random):
        self._timers = timers
        self._metrics = metrics
        self._log = log
        self._rng = rng
        self._pauses: dict[str, _Pause] = {}

    def start(self, endpoint_id: str, seconds: float, request: str) -> None:
        """Start the pause that an endpoint requested; a running one is never shortened.

        Parameters
        ----------
        request : str
            Id of the request that was refused, for the log.
        """
        now = self._timers.now()
        known = self._pauses.get(endpoint_id)
        wanted = min(seconds, MAX_BACKOFF_SECONDS)
        until = now + wanted * (1.0 + JITTER * self._rng.random())
        self._metrics.count("endpoint_pauses_total")
        self._log.info(
            "endpoint requested a pause",
            endpoint=endpoint_id,
            seconds=seconds,
            left_before=None if known is None else round(known.until - now, 3),
            before_age=None if known is None else round(now - known.asked_at, 3),
            request=request,
        )
        if known is None or until > known.until:
            self._pauses[endpoint_id] = _Pause(now, until)

    def remaining(self, endpoint_id: str) -> float:
        """Return the seconds that are left of an endpoint's pause; 0 if it has none."""
        known = self._pauses.get(endpoint_id)
        if known is None:
            return 0.0
        until = known.until
        if known.trial_at is not None:
            until = max(until, known.trial_at + TRIAL_SECONDS)
        return max(0.0, until - self._timers.now())

    def closed(self) -> frozenset[str]:
        """Return the endpoints that are paused now."""
        return frozenset(name for name in self._pauses if self.remaining(name) > 0)

    def sent(self, endpoint_id: str) -> None:
        """Take note of a request that was sent: after a pause it is the first one."""
        known = self._pauses.get(endpoint_id)
        if known is not None and self.remaining(endpoint_id) <= 0:
            self._pauses[endpoint_id] = replace(known, trial_at=self._timers.now())

    def answered(self, endpoint_id: str, sent_at: float) -> None:
        """Take an answer that asks for no pause: one to a request after the pause ends it."""
        known = self._pauses.get(endpoint_id)
        if known is not None and known.trial_at is not None and sent_at >= known.trial_at:
            del self._pauses[endpoint_id]
            self._log.info(
                "endpoint takes requests again",
                endpoint=endpoint_id,
                pause_age=round(self._timers.now() - known.asked_at, 3),
            )

    def forget(self, endpoint_id: str) -> None:
        """Forget an endpoint that is gone or has started again."""
        self._pauses.pop(endpoint_id, None)
