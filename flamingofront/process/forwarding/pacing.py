"""Datagrams that are sent evenly: a small link loses what comes in one burst."""

from collections import deque
from collections.abc import Callable

from flamingofront.process.timers import TimerService

__all__ = ["PacedSender"]

# What is sent at once, and again after each pause: 3.3 Mbit/s, two thirds of the smallest link that
# a VM has. A relay of 30 processes sent 155 KB in a second (its own count). Sent in one burst of
# about 30 KB, the last part did not arrive, at each turn that of the same addressees.
BURST_BYTES = 4096
PAUSE_SECONDS = 0.01
# Datagrams that wait; more would be told too late to be true. Several turns of a relay's.
MAX_WAITING = 400


class PacedSender:
    """Sends datagrams in the order in which they come, in small bursts.

    Parameters
    ----------
    send : callable
        Sends one datagram to an IP number.
    """

    def __init__(self, send: Callable[[bytes, str], None], timers: TimerService):
        self._send = send
        self._timers = timers
        self._waiting: deque[tuple[bytes, str]] = deque(maxlen=MAX_WAITING)
        self._left = float(BURST_BYTES)
        self._filled_at = timers.now()
        self._pausing = False

    def send(self, data: bytes, ip: str) -> None:
        """Send a datagram now, or behind those that wait."""
        self._waiting.append((data, ip))
        self._send_some()

    def _send_some(self) -> None:
        """Send while there is room for it; what is left waits for a pause.

        Notes
        -----
        A timer runs only while something waits: one after each datagram would be a further turn of
        the loop.
        """
        now = self._timers.now()
        earned = (now - self._filled_at) / PAUSE_SECONDS * BURST_BYTES
        self._left, self._filled_at = min(BURST_BYTES, self._left + earned), now
        while self._waiting and self._left > 0:
            data, ip = self._waiting.popleft()
            self._left -= len(data)
            self._send(data, ip)
        if self._waiting and not self._pausing:
            self._pausing = True
            self._timers.once(PAUSE_SECONDS, self._resume)

    def _resume(self) -> None:
        self._pausing = False
        self._send_some()
