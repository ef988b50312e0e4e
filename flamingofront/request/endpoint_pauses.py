"""Times for which endpoints that refused a request want no further ones of this process."""

from dataclasses import dataclass

from flamingofront.process.logs import Log
from flamingofront.process.metrics import Metrics
from flamingofront.process.timers import TimerService

__all__ = ["EndpointPauses"]

# Longest pause that is believed, in seconds: an endpoint that named a day by mistake would be left
# alone for that day.
LONGEST_PAUSE_SECONDS = 60.0


@dataclass(frozen=True)
class _Pause:
    """A pause on the clock of the timer service."""

    asked_at: float
    until: float


class EndpointPauses:
    """Keeps until when endpoints want no requests of this process."""

    def __init__(self, timers: TimerService, metrics: Metrics, log: Log):
        self._timers = timers
        self._metrics = metrics
        self._log = log
        self._pauses: dict[str, _Pause] = {}

    def asked(self, endpoint_id: str, seconds: float, request: str) -> None:
        """Take the time that an endpoint names; it never shortens a pause.

        Parameters
        ----------
        request : str
            Id of the request that was refused, for the log.
        """
        now = self._timers.now()
        known = self._pauses.get(endpoint_id)
        until = now + min(seconds, LONGEST_PAUSE_SECONDS)
        self._metrics.count("endpoint_pauses_total")
        self._log.info(
            "endpoint asks for a pause",
            endpoint=endpoint_id,
            seconds=seconds,
            left_before=None if known is None else round(known.until - now, 3),
            before_age=None if known is None else round(now - known.asked_at, 3),
            request=request,
        )
        if known is None or until > known.until:
            self._pauses[endpoint_id] = _Pause(now, until)

    def left(self, endpoint_id: str) -> float:
        """Return the seconds for which an endpoint wants no requests; 0 if it takes them."""
        known = self._pauses.get(endpoint_id)
        return 0.0 if known is None else max(0.0, known.until - self._timers.now())

    def forget(self, endpoint_id: str) -> None:
        """Forget an endpoint that is gone or has started again."""
        self._pauses.pop(endpoint_id, None)
