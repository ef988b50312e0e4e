"""Back-off periods that endpoints request, with Retry-After, when they reject a request."""

import random
from dataclasses import dataclass, replace

from flamingofront.process.logs import Log
from flamingofront.process.metrics import Metrics
from flamingofront.process.timers import TimerService

__all__ = ["EndpointBackoffs"]

# Longer back-offs are shortened to this: an endpoint that asks for a day by mistake would otherwise
# get no requests for that day.
MAX_BACKOFF_SECONDS = 60.0
# A back-off is extended by a random fraction up to this one, so that processes that were rejected
# together do not retry together.
JITTER_FRACTION = 0.25
# After a back-off, one trial request is sent first; other requests wait this long for its response.
TRIAL_TIMEOUT_SECONDS = 1.0


@dataclass(frozen=True)
class _Backoff:
    """Back-off of one endpoint, with times on the clock of the timer service.

    Parameters
    ----------
    trial_at : float or None
        Time at which the trial request after the back-off was sent; None before.
    """

    requested_at: float
    until: float
    trial_at: float | None = None


class EndpointBackoffs:
    """Tracks the back-offs of endpoints, during which this process sends them no requests.

    The success of an earlier request does not end a back-off. When it is over, one trial request is
    sent, as in a half-open circuit breaker. Other requests follow when a response to it requests no
    back-off, or after `TRIAL_TIMEOUT_SECONDS`.
    """

    def __init__(self, timers: TimerService, metrics: Metrics, log: Log, rng: random.Random):
        self._timers = timers
        self._metrics = metrics
        self._log = log
        self._rng = rng
        self._backoffs: dict[str, _Backoff] = {}

    def start(self, endpoint_id: str, seconds: float, request_id: str) -> None:
        """Start the back-off that an endpoint requested; a running one is never shortened.

        Parameters
        ----------
        seconds : float
            Requested duration.
        request_id : str
            Id of the rejected request, for the log.
        """
        now = self._timers.now()
        backoff = self._backoffs.get(endpoint_id)
        capped_seconds = min(seconds, MAX_BACKOFF_SECONDS)
        until = now + capped_seconds * (1.0 + JITTER_FRACTION * self._rng.random())
        self._metrics.count("endpoint_pauses_total")
        self._log.info(
            "endpoint requested back-off",
            endpoint=endpoint_id,
            seconds=seconds,
            left_before=None if backoff is None else round(backoff.until - now, 3),
            before_age=None if backoff is None else round(now - backoff.requested_at, 3),
            request=request_id,
        )
        if backoff is None or until > backoff.until:
            self._backoffs[endpoint_id] = _Backoff(now, until)

    def remaining_seconds(self, endpoint_id: str) -> float:
        """Return the remaining seconds of the back-off of an endpoint; 0 if it has none."""
        backoff = self._backoffs.get(endpoint_id)
        if backoff is None:
            return 0.0
        until = backoff.until
        if backoff.trial_at is not None:
            until = max(until, backoff.trial_at + TRIAL_TIMEOUT_SECONDS)
        return max(0.0, until - self._timers.now())

    def endpoints_in_backoff(self) -> frozenset[str]:
        """Return the endpoints that are in back-off, or whose trial request is in flight."""
        return frozenset(name for name in self._backoffs if self.remaining_seconds(name) > 0)

    def record_send(self, endpoint_id: str) -> None:
        """Record that a request was sent; the first one after a back-off is the trial request."""
        backoff = self._backoffs.get(endpoint_id)
        if backoff is not None and self.remaining_seconds(endpoint_id) <= 0:
            self._backoffs[endpoint_id] = replace(backoff, trial_at=self._timers.now())

    def record_response(self, endpoint_id: str, sent_at: float) -> None:
        """Record a response that requests no back-off; a response to the trial ends the back-off.

        Parameters
        ----------
        sent_at : float
            Time at which the request was sent, on the clock of the timer service.
        """
        backoff = self._backoffs.get(endpoint_id)
        if backoff is not None and backoff.trial_at is not None and sent_at >= backoff.trial_at:
            del self._backoffs[endpoint_id]
            self._log.info(
                "endpoint back-off ended",
                endpoint=endpoint_id,
                pause_age=round(self._timers.now() - backoff.requested_at, 3),
            )

    def forget(self, endpoint_id: str) -> None:
        """Remove the back-off of an endpoint that has left or restarted."""
        self._backoffs.pop(endpoint_id, None)
