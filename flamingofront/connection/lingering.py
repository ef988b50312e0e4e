"""Connections that are closed while their callers may still send.

A socket that is closed with unread bytes, or that gets more of them later, is reset, and the reset
destroys a response that its caller has not read yet. So this side ends its stream first, and what
the caller still sends is read and dropped for a while.
"""

import socket
from collections.abc import Callable

from flamingofront.connection.poller import READ, DirectPoller, SocketOwner
from flamingofront.process.timers import Timer, TimerService

__all__ = ["LingeringSockets"]

READ_BYTES = 64 * 1024
LINGER_SECONDS = 1.0
# Callers that send a whole body before they read get its refusal.
MAX_DROPPED_BYTES = 8 * 1024 * 1024


class LingeringSockets(SocketOwner):
    """Reads from connections to be closed until their callers close them, within limits.

    Parameters
    ----------
    find_poller : callable
        Returns the poller.
    """

    def __init__(self, timers: TimerService, find_poller: Callable[[], DirectPoller]):
        self._timers = timers
        self._find_poller = find_poller
        self._dropped: dict[socket.socket, int] = {}
        self._limits: dict[socket.socket, Timer] = {}

    def __len__(self) -> int:
        return len(self._dropped)

    def add(self, sock: socket.socket) -> None:
        """End the stream to a caller; the socket is not watched by others any more."""
        try:
            sock.shutdown(socket.SHUT_WR)
        except OSError:  # the caller has closed it already
            sock.close()
            return
        self._dropped[sock] = 0
        self._limits[sock] = self._timers.once(LINGER_SECONDS, lambda: self._close(sock))
        self._find_poller().watch(sock, self, READ)

    def on_readable(self, sock: socket.socket) -> None:
        """Drop what the caller has sent."""
        try:
            size = len(sock.recv(READ_BYTES))
        except BlockingIOError:
            return
        except OSError:
            size = 0
        self._dropped[sock] += size
        if not size or self._dropped[sock] > MAX_DROPPED_BYTES:
            self._close(sock)

    def on_writable(self, sock: socket.socket) -> None:
        """Do nothing: nothing is sent any more."""

    def on_socket_error(self, sock: socket.socket) -> None:
        """Close a connection that the caller reset."""
        self._close(sock)

    def _close(self, sock: socket.socket) -> None:
        self._limits.pop(sock).cancel()
        del self._dropped[sock]
        self._find_poller().unwatch(sock)
        sock.close()
