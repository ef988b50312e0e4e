"""Delays within this process that make it hear, or tell, of changes late; for logs and metrics."""

from dataclasses import dataclass

from flamingofront.process.logs import Log
from flamingofront.process.metrics import Metrics
from flamingofront.process.timers import TimerService

__all__ = ["DelayMonitor"]

# Shorter turns of the event loop are not counted, since most of a hundred a second take less.
MIN_COUNTED_TURN_SECONDS = 0.01
# Messages that are read sooner are not counted.
MIN_COUNTED_DELAY_SECONDS = 0.05
# Longer delays are logged: all processes have to know of a change within a few seconds.
MIN_LOGGED_SECONDS = 0.25
# Shortest interval between two lines of the same kind.
LOG_INTERVAL_SECONDS = 1.0


@dataclass
class _Unlogged:
    """Long delays of one kind since the last line on them."""

    next_at: float = 0.0
    count: int = 0
    longest: float = 0.0


class DelayMonitor:
    """Counts delays of the event loop and of queued datagrams, and logs the long ones."""

    def __init__(self, timers: TimerService, metrics: Metrics, log: Log):
        self._timers = timers
        self._metrics = metrics
        self._log = log
        self._turns = _Unlogged()
        self._queued = _Unlogged()
        self._messages = _Unlogged()

    def record_turn(self, seconds: float) -> None:
        """Record the length of a turn of the event loop."""
        if seconds < MIN_COUNTED_TURN_SECONDS:
            return
        self._metrics.observe("event_loop_turn_seconds", seconds)
        self._log_long(self._turns, seconds, "long turn of the event loop", {})

    def record_queued(self, seconds: float, queued: int, dropped: int) -> None:
        """Record that a datagram is sent that was queued.

        Parameters
        ----------
        seconds : float
            Time for which it was queued.
        queued : int
            Number of datagrams behind it.
        dropped : int
            Number of datagrams that were dropped from the queue since the start.
        """
        self._metrics.observe("peer_queue_seconds", seconds)
        fields = {"queued": queued, "dropped": dropped}
        self._log_long(self._queued, seconds, "datagram sent late", fields)

    def record_message(self, seconds: float, sender: str, unread: float) -> None:
        """Record that a message of another process is read.

        Parameters
        ----------
        seconds : float
            Time since it was sent.
        sender : str
            VM of its sender.
        unread : float
            Longest time for which it may have waited in the socket of this process.
        """
        if seconds < MIN_COUNTED_DELAY_SECONDS:
            return
        self._metrics.observe("peer_message_delay_seconds", seconds)
        fields = {"teller": sender, "unread_ms": round(unread * 1000)}
        self._log_long(self._messages, seconds, "message of a peer read late", fields)

    def _log_long(
        self, unlogged: _Unlogged, seconds: float, event: str, fields: dict[str, object]
    ) -> None:
        """Log the longest delay since the last line, and how many there were."""
        if seconds < MIN_LOGGED_SECONDS:
            return
        unlogged.count += 1
        unlogged.longest = max(unlogged.longest, seconds)
        now = self._timers.now()
        if now < unlogged.next_at:
            return
        longest_ms = round(unlogged.longest * 1000)
        self._log.info(event, longest_ms=longest_ms, count=unlogged.count, **fields)
        unlogged.next_at, unlogged.count, unlogged.longest = now + LOG_INTERVAL_SECONDS, 0, 0.0
