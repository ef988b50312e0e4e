"""Whether this process knows which endpoints take requests.

All processes have to know soon that an endpoint leaves. One that reads late what the others tell
does not, and has to send nothing until it has caught up. That the store answers nobody, or that no
peer is heard, is no such sign: a process that is cut off serves as before. One that is behind can't
tell whether the store is away, since answers of the store wait unread as well.
"""

from collections.abc import Callable

from flamingofront.process.forwarding.knowledge import StoreView
from flamingofront.process.forwarding.message_delays import MessageDelays
from flamingofront.process.logs import Log
from flamingofront.process.metrics import Metrics

__all__ = ["EndpointKnowledge"]

# Fractions of the time in which all processes have to know that an endpoint leaves: the age up to
# which the known endpoints are used, and the delay of messages from which this process is behind.
MAX_AGE_FRACTION = 0.6
MAX_DELAY_FRACTION = 1 / 3
# A delay says nothing any more if no message was read for so long.
EVIDENCE_SECONDS = 10.0


class EndpointKnowledge:
    """Tells whether the known endpoints may be used, and logs when that changes.

    Parameters
    ----------
    drain_seconds : float
        Time from the store's confirmation that an endpoint leaves until no process sends to it.
    now : callable
        Time of the timer service.
    """

    def __init__(
        self,
        drain_seconds: float,
        store_view: StoreView,
        message_delays: MessageDelays,
        now: Callable[[], float],
        metrics: Metrics,
        log: Log,
    ):
        self._max_age = drain_seconds * MAX_AGE_FRACTION
        self._max_delay = drain_seconds * MAX_DELAY_FRACTION
        self._store_view = store_view
        self._message_delays = message_delays
        self._now = now
        self._metrics = metrics
        self._log = log
        self._was_current = True

    def is_current(self) -> bool:
        """Return True if the known endpoints are recent enough to choose among them."""
        is_current = not (self._is_old() and self._is_behind())
        if is_current is not self._was_current:
            self._was_current = is_current
            self._record_change(is_current)
        return is_current

    def retry_after(self) -> float:
        """Return the seconds after which a caller may retry: what there is to catch up with."""
        return max(self._max_delay, self._message_delays.last_delay)

    def _is_old(self) -> bool:
        age = self._store_view.endpoints_age()
        return age is not None and age > self._max_age

    def _is_behind(self) -> bool:
        delays = self._message_delays
        is_recent = delays.seconds_unheard(self._now()) <= EVIDENCE_SECONDS
        return is_recent and delays.last_delay > self._max_delay

    def _record_change(self, is_current: bool) -> None:
        age = self._store_view.endpoints_age()
        fields = {
            "known_age": None if age is None else round(age, 3),
            "message_delay": round(self._message_delays.last_delay, 3),
            "unheard": round(self._message_delays.seconds_unheard(self._now()), 3),
        }
        if is_current:
            self._log.info("endpoints current again", **fields)
        else:
            self._metrics.count("endpoints_outdated_total")
            self._log.warning("endpoints not current: this process is behind", **fields)
