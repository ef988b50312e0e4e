"""Connections on which a large request waits to be taken by its receiver.

Linux ends a connection after its user timeout in two cases: nobody acknowledges what was sent, or
the receiver acknowledges and has no room. A process that stands still for some seconds looks like
the latter. This module notices the former alone.
"""

import fcntl
import socket
import struct
import termios
from collections.abc import Callable
from dataclasses import dataclass

from flamingofront.process.timers import Timer, TimerService

__all__ = ["SendState", "SendWatch", "is_unanswered", "read_send_state"]

PERIOD_SECONDS = 0.25
# Linux: struct tcp_info has the number of probes without a reply as its fourth byte, the number of
# segments in flight as its fifth 32-bit number after eight bytes, and the milliseconds since the
# last acknowledgement as its thirteenth.
_TCP_INFO = struct.Struct("=3xB20xI28xI")
_QUEUED = struct.Struct("=i")
# Linux acknowledges such probes twice a second at most, so that a single one may get no reply.
MIN_PROBES = 2


@dataclass(frozen=True)
class SendState:
    """State of the bytes that a connection still has to deliver.

    Parameters
    ----------
    queued : int
        Bytes that the kernel keeps until they are acknowledged.
    in_flight : int
        Segments that were sent and not acknowledged.
    probes : int
        Probes, of a receiver without room, that were not acknowledged.
    acknowledged_ago : float
        Seconds since the last acknowledgement.
    """

    queued: int
    in_flight: int
    probes: int
    acknowledged_ago: float


def read_send_state(sock: socket.socket) -> SendState:
    """Return the state of a connection from the kernel."""
    info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _TCP_INFO.size)
    probes, in_flight, last_ack_ms = _TCP_INFO.unpack(info)
    queued = fcntl.ioctl(sock, termios.TIOCOUTQ, bytes(_QUEUED.size))
    return SendState(_QUEUED.unpack(queued)[0], in_flight, probes, last_ack_ms / 1000)


def is_unanswered(state: SendState, limit: float) -> bool:
    """Return True if something was sent, and nothing acknowledged for so many seconds."""
    has_sent = state.in_flight > 0 or state.probes >= MIN_PROBES
    return has_sent and state.acknowledged_ago >= limit


class SendWatch:
    """Watches a connection until its receiver has acknowledged all that was sent.

    Parameters
    ----------
    has_unsent : callable
        Returns True if the kernel has not taken all bytes yet.
    limit : float
        Seconds without an acknowledgement after which the connection is taken to be lost.
    on_taken, on_lost : callable
        Called when all is acknowledged, and when the connection is taken to be lost.

    Notes
    -----
    What was just sent may be acknowledged a moment later, so that two checks in a row count.
    """

    def __init__(
        self,
        sock: socket.socket,
        has_unsent: Callable[[], bool],
        limit: float,
        timers: TimerService,
        on_taken: Callable[[], None],
        on_lost: Callable[[], None],
    ):
        self._sock = sock
        self._has_unsent = has_unsent
        self._limit = limit
        self._timers = timers
        self._on_taken = on_taken
        self._on_lost = on_lost
        self._started_at = timers.now()
        self._was_unanswered = False
        self._timer: Timer = timers.once(PERIOD_SECONDS, self._check)

    def cancel(self) -> None:
        """Stop watching."""
        self._timer.cancel()

    def _check(self) -> None:
        state = read_send_state(self._sock)
        if not state.queued and not self._has_unsent():
            self._on_taken()
            return
        # An acknowledgement may have come long before anything was sent.
        is_old = self._timers.now() - self._started_at >= self._limit
        unanswered = is_old and is_unanswered(state, self._limit)
        if unanswered and self._was_unanswered:
            self._on_lost()
            return
        self._was_unanswered = unanswered
        self._timer = self._timers.once(PERIOD_SECONDS, self._check)
