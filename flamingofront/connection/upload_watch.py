"""End of a response without a length while its request is still being sent.

Such a response ends with its connection. If the receiver closes the connection before it has taken
the whole request, the kernel resets what is sent after that, and only this reset shows that the
response may have been cut short.
"""

import socket
from collections.abc import Callable

from flamingofront.connection.send_watch import read_send_state
from flamingofront.process.timers import Timer, TimerService

__all__ = ["UploadWatch"]

PERIOD_SECONDS = 0.02


class UploadWatch:
    """Waits until the receiver of a request has taken all of it, or has reset its connection.

    Parameters
    ----------
    sock : socket
        Connection whose receiver has closed its side.
    has_unsent : callable
        Returns True if the kernel has not taken all bytes of the request yet.
    on_taken, on_reset : callable
        One of them is called once, also from within `start`.
    """

    def __init__(
        self,
        sock: socket.socket,
        has_unsent: Callable[[], bool],
        timers: TimerService,
        on_taken: Callable[[], None],
        on_reset: Callable[[], None],
    ):
        self._sock = sock
        self._has_unsent = has_unsent
        self._timers = timers
        self._on_taken = on_taken
        self._on_reset = on_reset
        self._timer: Timer | None = None

    def start(self) -> None:
        """Check at once, then periodically."""
        if self._sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
            self._on_reset()
        elif self._has_unsent() or read_send_state(self._sock).queued:
            self._timer = self._timers.once(PERIOD_SECONDS, self.start)
        else:
            self._on_taken()

    def cancel(self) -> None:
        """Stop watching."""
        if self._timer is not None:
            self._timer.cancel()
