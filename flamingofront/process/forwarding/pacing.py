"""Paced sending of datagrams: small links drop the end of a large burst.

What waits to be sent is replaced by what is newer, so that a process that builds messages faster
than it may send them sends fewer of them, and not older ones.
"""

from collections import OrderedDict
from collections.abc import Callable, Hashable
from dataclasses import dataclass

from flamingofront.process.timers import TimerService

__all__ = ["MAX_BURST_BYTES", "PacedSender"]

# Bytes sent in one burst, and again after each pause: 2 Mbit/s, two fifths of the smallest link of
# a VM, so that copies of a large configuration pass beside them. When about 30 KB were sent in one
# burst, the end was lost, each time for the same addressees.
BURST_BYTES = 2560
PAUSE_SECONDS = 0.01
# Limit on the burst after a pause that took longer than planned, since the event loop was busy.
MAX_BURST_BYTES = 5 * BURST_BYTES
# Limit on queued datagrams: several times the addressees of a relay.
MAX_QUEUED_DATAGRAMS = 400


@dataclass(frozen=True)
class _Queued:
    """A datagram that waits to be sent."""

    data: bytes
    ip: str
    queued_at: float
    is_full: bool


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
        # By addressee and subject; datagrams without a subject have a number of their own.
        self._queue: OrderedDict[Hashable, _Queued] = OrderedDict()
        self._number = 0
        self._burst_left = float(BURST_BYTES)
        self._refilled_at = timers.now()
        self._is_pausing = False

    def send(self, data: bytes, ip: str, subject: Hashable = None, is_full: bool = False) -> None:
        """Send a datagram now, or after the queued ones.

        Parameters
        ----------
        subject : hashable, optional
            What it is about. It takes the place of a queued datagram to the same address with the
            same subject.
        is_full : bool
            True if only another full datagram may replace it.
        """
        self._number += 1
        key = (ip, self._number) if subject is None else (ip, subject)
        if key not in self._queue and len(self._queue) >= MAX_QUEUED_DATAGRAMS:
            self._queue.popitem(last=False)
            self.dropped += 1
        self._queue[key] = _Queued(data, ip, self._timers.now(), is_full)
        self._send_queued()

    def has_queued_full(self, ip: str, subject: Hashable) -> bool:
        """Return True if a full datagram on a subject is queued for an address."""
        queued = self._queue.get((ip, subject))
        return queued is not None and queued.is_full

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
        limit = MAX_BURST_BYTES if self._is_pausing else BURST_BYTES
        self._burst_left, self._refilled_at = min(limit, self._burst_left + refill), now
        while self._queue and self._burst_left > 0:
            _, queued = self._queue.popitem(last=False)
            self._burst_left -= len(queued.data)
            if queued.queued_at < now:
                self.on_sent(now - queued.queued_at)
            self._send(queued.data, queued.ip)
        if self._queue and not self._is_pausing:
            self._is_pausing = True
            self._pause()

    def _pause(self) -> None:
        self._timers.once(PAUSE_SECONDS, self._resume)

    def _resume(self) -> None:
        self._send_queued()
        self._is_pausing = bool(self._queue)
        if self._is_pausing:
            self._pause()
