"""Paced sending of datagrams: small links drop the end of a large burst."""

from collections import deque
from collections.abc import Callable

from flamingofront.process.timers import TimerService

__all__ = ["PacedSender"]

# Bytes sent in one burst, and again after each pause: 3.3 Mbit/s, two thirds of the smallest link
# of a VM. A relay of 30 processes sent 155 KB in a second. When about 30 KB were sent in one burst,
# the end was lost, each time for the same addressees.
BURST_BYTES = 4096
PAUSE_SECONDS = 0.01
# Queued datagrams, several rounds of a relay; in a longer queue they would be outdated when sent.
MAX_QUEUED_DATAGRAMS = 400


class PacedSender:
    """Sends datagrams in order, in small bursts with pauses (a token bucket of bytes).

    Parameters
    ----------
    send : callable
        Sends one datagram to an IP address.

    Attributes
    ----------
    on_sent : callable
        Called with the seconds for which a datagram that was not sent at once has been queued.
    dropped : int
        Queued datagrams that were not sent, since the queue was full.
    """

    def __init__(self, send: Callable[[bytes, str], None], timers: TimerService):
        self._send = send
        self._timers = timers
        self.on_sent: Callable[[float], None] = lambda queued: None
        self.dropped = 0
        self._queue: deque[tuple[bytes, str, float]] = deque(maxlen=MAX_QUEUED_DATAGRAMS)
        self._burst_left = float(BURST_BYTES)
        self._refilled_at = timers.now()
        self._is_pausing = False

    def send(self, data: bytes, ip: str) -> None:
        """Send a datagram now, or after the queued ones."""
        self.dropped += len(self._queue) == MAX_QUEUED_DATAGRAMS
        self._queue.append((data, ip, self._timers.now()))
        self._send_queued()

    def __len__(self) -> int:
        """Return the number of queued datagrams."""
        return len(self._queue)

    def _send_queued(self) -> None:
        """Send queued datagrams until the burst is used up; the rest waits for the next pause.

        Notes
        -----
        A timer runs only while datagrams are queued: one after each datagram would cost an extra
        iteration of the event loop.
        """
        now = self._timers.now()
        refill = (now - self._refilled_at) / PAUSE_SECONDS * BURST_BYTES
        self._burst_left, self._refilled_at = min(BURST_BYTES, self._burst_left + refill), now
        while self._queue and self._burst_left > 0:
            data, ip, queued_at = self._queue.popleft()
            self._burst_left -= len(data)
            if queued_at < now:
                self.on_sent(now - queued_at)
            self._send(data, ip)
        if self._queue and not self._is_pausing:
            self._is_pausing = True
            self._timers.once(PAUSE_SECONDS, self._resume)

    def _resume(self) -> None:
        self._is_pausing = False
        self._send_queued()
