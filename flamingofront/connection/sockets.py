"""A listening socket and its connections, with a count of what waits for each reader."""

import contextlib
import errno
import socket
from abc import ABC, abstractmethod
from collections import deque
from collections.abc import Callable

from circuits import BaseComponent, handler
from circuits.core.utils import findcmp

from flamingofront.connection.poller import READ, WRITE, DirectPoller, SocketOwner
from flamingofront.process.timers import TimerService

__all__ = ["ConnectionListener", "ServerSockets"]

MAX_SEND_BYTES = 256 * 1024
# Connections that the kernel holds until they are accepted: all callers of a VM at once.
LISTEN_BACKLOG = 4096
# The caller gave a connection up before it was accepted, or the poll was for one already taken.
_NOTHING_TO_ACCEPT = (errno.EAGAIN, errno.ECONNABORTED)


class ConnectionListener(ABC):
    """Gets what happens at the connections of a `ServerSockets`."""

    @abstractmethod
    def accepted(self, sock: socket.socket) -> None:
        """Take a new connection."""

    @abstractmethod
    def received(self, sock: socket.socket, data: bytes) -> None:
        """Take bytes that came on a connection."""

    @abstractmethod
    def closed(self, sock: socket.socket) -> None:
        """Take note that a connection was closed, by either side."""


class ServerSockets(BaseComponent, SocketOwner):
    """Accepts connections on one address, reads and writes them.

    Parameters
    ----------
    bind : tuple of (str, int)
        Address and port; port 0 lets the kernel pick.
    listener : ConnectionListener
        `closed` is called from the timer service, not from within the call that closes.
    read_bytes : int
        Most bytes of one read.
    on_fault : callable
        Gets an error of accepting, for example that no descriptor is left.

    Attributes
    ----------
    waiting : dict of socket to int
        Bytes that wait for the reader of each connection; those without any are left out.
    """

    def __init__(
        self,
        bind: tuple[str, int],
        listener: ConnectionListener,
        timers: TimerService,
        read_bytes: int,
        on_fault: Callable[[Exception], None],
        channel: str,
    ):
        super().__init__(channel=channel)
        self.unsent_bytes: dict[socket.socket, int] = {}
        self._listener = listener
        self._timers = timers
        self._read_bytes = read_bytes
        self._on_fault = on_fault
        self._buffers: dict[socket.socket, deque[bytes]] = {}
        self._closing: set[socket.socket] = set()
        self._poller: DirectPoller | None = None
        self._bound = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._bound.setblocking(False)
        self._bound.bind(bind)
        self._bound.listen(LISTEN_BACKLOG)
        self._port = self._bound.getsockname()[1]

    @property
    def port(self) -> int:
        """Port that is listened on."""
        return self._port

    @handler("registered", channel="*")
    def _on_registered(self, component, manager) -> None:
        if self._poller is None:
            self._poller = findcmp(self.root, DirectPoller)
            self._poller.watch(self._bound, self, READ)

    @handler("stopped", channel="*")
    def _on_stopped(self, component) -> None:
        """Listen no more: a process that has stopped takes no new connections."""
        if self._bound.fileno() >= 0:
            self._poller.unwatch(self._bound)
            self._bound.close()

    def on_readable(self, sock: socket.socket) -> None:
        """Accept a connection, or read from one."""
        if sock is self._bound:
            self._accept()
        else:
            self.read_available(sock)

    def _accept(self) -> None:
        try:
            sock, _ = self._bound.accept()
        except OSError as exc:
            if exc.errno not in _NOTHING_TO_ACCEPT:
                self._on_fault(exc)
            return
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._buffers[sock] = deque()
        self._poller.watch(sock, self, READ)
        self._listener.accepted(sock)

    def read_available(self, sock: socket.socket) -> None:
        """Pass on what has arrived on a connection; close it if the caller has."""
        if sock not in self._buffers:
            return
        try:
            data = sock.recv(self._read_bytes)
        except BlockingIOError:
            return
        except OSError:
            self.drop(sock)
            return
        if data:
            self._listener.received(sock, data)
        else:
            self.close(sock)

    def on_socket_error(self, sock: socket.socket) -> None:
        """Close a connection that its caller has reset."""
        self.drop(sock)

    def queue(self, sock: socket.socket, data: bytes) -> None:
        """Send bytes, and keep what the socket does not take at once.

        Notes
        -----
        The listener learns late that a connection was closed; what is sent until then is dropped.
        """
        buffer = self._buffers.get(sock)
        if buffer is None:
            return
        if not buffer:
            data = data[self._send_now(sock, data) :]
        if data:
            buffer.append(data)
            self.unsent_bytes[sock] = self.unsent_bytes.get(sock, 0) + len(data)
            self._poller.watch(sock, self, READ | WRITE)

    @staticmethod
    def _send_now(sock: socket.socket, data: bytes) -> int:
        """Return how many bytes the socket took; a broken one shows at the next poll."""
        try:
            return sock.send(data)
        except OSError:
            return 0

    def on_writable(self, sock: socket.socket) -> None:
        """Send what waits for a reader."""
        buffer = self._buffers[sock]
        parts, size = [], 0
        while buffer and size < MAX_SEND_BYTES:
            parts.append(buffer.popleft())
            size += len(parts[-1])
        joined = b"".join(parts)
        try:
            sent = sock.send(joined)
        except BlockingIOError:
            sent = 0
        except OSError:
            self.drop(sock)
            return
        if sent < len(joined):
            buffer.appendleft(joined[sent:])
        self.unsent_bytes[sock] -= sent
        if not buffer:
            self._written(sock)

    def _written(self, sock: socket.socket) -> None:
        """Go on after all that waited for a reader was sent."""
        del self.unsent_bytes[sock]
        if sock in self._closing:
            self.drop(sock)
        else:
            self._poller.watch(sock, self, READ)

    def close(self, sock: socket.socket) -> None:
        """Close a connection once what waits for it has been sent."""
        if self.unsent_bytes.get(sock):
            self._closing.add(sock)
            # What the caller sends is read no more; its end would be told at each poll.
            self._poller.watch(sock, self, WRITE)
        else:
            self.drop(sock)

    def drop(self, sock: socket.socket) -> None:
        """Close a connection without sending what waits for it."""
        if self._buffers.pop(sock, None) is None:
            return
        self.unsent_bytes.pop(sock, None)
        self._closing.discard(sock)
        self._poller.unwatch(sock)
        with contextlib.suppress(OSError):  # its caller has closed it already
            sock.shutdown(socket.SHUT_RDWR)
        sock.close()
        self._timers.once(0.0, lambda: self._listener.closed(sock))
