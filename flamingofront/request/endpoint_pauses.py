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
JITTER_FRACTION = 0.25
# After a pause one request shows whether the endpoint takes them again; the others wait for its
# answer for so long, in seconds.
TRIAL_TIMEOUT_SECONDS = 1.0


@dataclass(frozen=True)
class _Backoff:
    """A pause on the clock of the timer service.

    Parameters
    ----------
    trial_at : float or None
        When the first request after the pause was sent; None before.
    """

    requested_at: float
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
        self._backoffs: dict[str, _Backoff] = {}

    def start(self, endpoint_id: str, seconds: float, request_id: str) -> None:
        """Start the pause that an endpoint requested; a running one is never shortened.

        Parameters
        ----------
        request : str
            Id of the request that was refused, for the log.
        """
        now = self._timers.now()
        backoff = self._backoffs.get(endpoint_id)
        limited_seconds = min(seconds, MAX_BACKOFF_SECONDS)
        until = now + limited_seconds * (1.0 + JITTER_FRACTION * self._rng.random())
        self._metrics.count("endpoint_pauses_total")
        self._log.info(
            "endpoint requested a pause",
            endpoint=endpoint_id,
            seconds=seconds,
            left_before=None if backoff is None else round(backoff.until - now, 3),
            before_age=None if backoff is None else round(now - backoff.requested_at, 3),
            request=request_id,
        )
        if backoff is None or until > backoff.until:
            self._backoffs[endpoint_id] = _Backoff(now, until)

    def remaining_seconds(self, endpoint_id: str) -> float:
        """Return the seconds that are left of an endpoint's pause; 0 if it has none."""
        backoff = self._backoffs.get(endpoint_id)
        if backoff is None:
            return 0.0
        until = backoff.until
        if backoff.trial_at is not None:
            until = max(until, backoff.trial_at + TRIAL_TIMEOUT_SECONDS)
        return max(0.0, until - self._timers.now())

    def endpoints_in_backoff(self) -> frozenset[str]:
        """Return the endpoints that are paused now."""
        return frozenset(name for name in self._backoffs if self.remaining_seconds(name) > 0)

    def record_send(self, endpoint_id: str) -> None:
        """Take note of a request that was sent: after a pause it is the first one."""
        backoff = self._backoffs.get(endpoint_id)
        if backoff is not None and self.remaining_seconds(endpoint_id) <= 0:
            self._backoffs[endpoint_id] = replace(backoff, trial_at=self._timers.now())

    def record_response(self, endpoint_id: str, sent_at: float) -> None:
        """Take an answer that asks for no pause: one to a request after the pause ends it."""
        backoff = self._backoffs.get(endpoint_id)
        if backoff is not None and backoff.trial_at is not None and sent_at >= backoff.trial_at:
            del self._backoffs[endpoint_id]
            self._log.info(
                "endpoint takes requests again",
                endpoint=endpoint_id,
                pause_age=round(self._timers.now() - backoff.requested_at, 3),
            )

    def forget(self, endpoint_id: str) -> None:
        """Forget an endpoint that is gone or has started again."""
        self._backoffs.pop(endpoint_id, None)
