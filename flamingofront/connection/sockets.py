"""Listening socket and its connections, with the number of unsent bytes per connection."""

import contextlib
import errno
import socket
import struct
import sys
from abc import ABC, abstractmethod
from collections import deque
from collections.abc import Callable

from circuits import BaseComponent, handler
from circuits.core.utils import findcmp

from flamingofront.connection.lingering import LingeringSockets
from flamingofront.connection.poller import READ, WRITE, DirectPoller, SocketOwner
from flamingofront.process.timers import TimerService

__all__ = ["RESET_ON_CLOSE", "ConnectionListener", "ServerSockets", "enable_keepalive"]

MAX_SEND_BYTES = 256 * 1024
# Bytes that the kernel keeps of a connection that is not read; Linux counts its own overhead too.
RECEIVE_BUFFER_BYTES = 128 * 1024
# Large enough that all callers of a VM can connect at once.
LISTEN_BACKLOG = 4096
# A connection whose client is silent for these seconds gets a keep-alive probe, and is reset after
# some without a reply: the VM of the client or the path to it is gone.
KEEPALIVE_IDLE_SECONDS = 5
KEEPALIVE_INTERVAL_SECONDS = 2
KEEPALIVE_PROBE_COUNT = 3
# Same for bytes that are not acknowledged. Linux also gives keep-alive probes up after this time.
USER_TIMEOUT_MS = 10_000
# Connections accepted and refused at most in one turn of the event loop while some are refused.
# Otherwise one is accepted in each turn: a process that has too much to do anyway reads no more.
MAX_ACCEPTED_AT_ONCE = 4
MAX_REFUSED_AT_ONCE = 64
# Linux: struct tcp_info has the milliseconds since data last came, or since the connection was
# established if none has, as its twelfth 32-bit number after eight bytes.
_TCP_INFO_BYTES = 56
_LAST_DATA_RECEIVED = struct.Struct("=52xI")
# Closes a connection with a reset, which tells the caller at once that nothing was read.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
# No connection is pending, or the caller closed it before it was accepted.
_NO_CONNECTION_ERRORS = (errno.EAGAIN, errno.ECONNABORTED)


class ConnectionListener(ABC):
    """Receiver of the events of the connections of a `ServerSockets`."""

    @abstractmethod
    def accepted(self, sock: socket.socket) -> None:
        """Handle a new connection."""

    @abstractmethod
    def received(self, sock: socket.socket, data: bytes) -> None:
        """Handle bytes that were received on a connection."""

    def unsent_changed(  # noqa: B027
        self, sock: socket.socket, size: int, has_progress: bool
    ) -> None:
        """Handle a change of the number of bytes that are queued; does nothing by default.

        Parameters
        ----------
        has_progress : bool
            True if some were sent, False if some were added.
        """

    @abstractmethod
    def closed(self, sock: socket.socket) -> None:
        """Handle the close of a connection by either side."""


class ServerSockets(BaseComponent, SocketOwner):
    """Accepts connections on one address, reads from them and writes to them.

    Parameters
    ----------
    bind : tuple of (str, int)
        Address and port; with port 0 the kernel chooses a free one.
    listener : ConnectionListener
        Its `closed` method is called by the timer service, not within the call that closes.
    read_bytes : int
        Maximum number of bytes of one read.
    on_fault : callable
        Called with an error of accepting a connection, for example "too many open files".

    Attributes
    ----------
    unsent_bytes : dict of socket to int
        Bytes queued on each connection; a connection without queued bytes has no entry.
    must_refuse : callable
        Gets the seconds for which a new connection has waited; returns True if it is refused
        without reading from it, None while none is refused.
    max_connections : int
        Open connections beyond which a new one is refused.
    make_room : callable
        Called when a new connection is beyond this number, to close another.
    take_over : callable
        Gets each new connection while some are refused, the seconds for which it has waited, and
        whether it is refused. Returns True if it has passed the connection on.
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
        self.must_refuse: Callable[[float], bool | None] = lambda waited: None
        self.take_over: Callable[[socket.socket, float, bool], bool] = (
            lambda sock, waited, is_refused: False
        )
        self.max_connections = sys.maxsize
        self.make_room: Callable[[], None] = lambda: None
        self._listener = listener
        self._timers = timers
        self._lingering = LingeringSockets(timers, self._find_poller)
        self._read_bytes = read_bytes
        self._on_fault = on_fault
        self._buffers: dict[socket.socket, deque[memoryview]] = {}
        # Connections to be closed once all is sent, and whether their callers may still send.
        self._closing: dict[socket.socket, bool] = {}
        self._paused: set[socket.socket] = set()
        self._read_limits: dict[socket.socket, int] = {}
        self._poller: DirectPoller | None = None
        self._listen_socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._listen_socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._listen_socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        self._listen_socket.setblocking(False)
        self._listen_socket.bind(bind)
        self._listen_socket.listen(LISTEN_BACKLOG)
        self._port = self._listen_socket.getsockname()[1]

    @property
    def port(self) -> int:
        """Port of the listening socket."""
        return self._port

    @handler("registered", channel="*")
    def _on_registered(self, component, manager) -> None:
        if self._poller is None:
            self._poller = findcmp(self.root, DirectPoller)
            self._poller.watch(self._listen_socket, self, READ)

    @handler("stopped", channel="*")
    def _on_stopped(self, component) -> None:
        """Close the listening socket, so that a stopped process gets no new connections."""
        if self._listen_socket.fileno() >= 0:
            self._poller.unwatch(self._listen_socket)
            self._listen_socket.close()

    def on_readable(self, sock: socket.socket) -> None:
        """Accept a connection, or read from an accepted one."""
        if sock is not self._listen_socket:
            self.read_available(sock)
            return
        accepted = 0
        for _ in range(MAX_REFUSED_AT_ONCE):
            pending = self._take_pending()
            if pending is None:
                return
            waited = _get_waited_seconds(pending)
            is_refused = self.must_refuse(waited)
            if not is_refused and not self._has_room():
                is_refused = True
            if is_refused is not None and self.take_over(pending, waited, is_refused):
                continue
            if is_refused:
                _reset(pending)
                continue
            self._accept(pending)
            accepted += 1
            if is_refused is None or accepted >= MAX_ACCEPTED_AT_ONCE:
                return

    def _has_room(self) -> bool:
        """Return True if another connection may be open, for which an idle one may be closed."""
        if self.count_open() >= self.max_connections:
            self.make_room()
        return self.count_open() < self.max_connections

    def count_open(self) -> int:
        """Return the number of open connections, those that linger included."""
        return len(self._buffers) + len(self._lingering)

    def _find_poller(self) -> DirectPoller:
        return self._poller

    def _take_pending(self) -> socket.socket | None:
        """Return a connection that waits to be accepted, None if there is none."""
        try:
            return self._listen_socket.accept()[0]
        except OSError as exc:
            if exc.errno not in _NO_CONNECTION_ERRORS:
                self._on_fault(exc)
            return None

    def _accept(self, sock: socket.socket) -> None:
        """Start to read from a connection."""
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        enable_keepalive(sock)
        self._buffers[sock] = deque()
        self._poller.watch(sock, self, READ)
        self._listener.accepted(sock)

    def read_available(self, sock: socket.socket) -> None:
        """Read once and pass the bytes to the listener; close the connection if the caller did."""
        if sock not in self._buffers:
            return
        try:
            data = sock.recv(self._read_limits.get(sock, self._read_bytes))
        except BlockingIOError:
            return
        except OSError:
            self.drop(sock)
            return
        if data:
            self._listener.received(sock, data)
        else:
            self.close(sock)

    def limit_reads(self, sock: socket.socket, size: int) -> None:
        """Read at most `size` bytes at once from a connection until it is closed."""
        if sock in self._buffers:
            self._read_limits[sock] = size

    def on_socket_error(self, sock: socket.socket) -> None:
        """Close a connection that the caller reset."""
        self.drop(sock)

    def write(self, sock: socket.socket, data: bytes) -> None:
        """Send bytes and queue those that the kernel does not accept at once.

        Notes
        -----
        The listener is notified of a close with a delay; bytes sent until then are discarded.
        """
        buffer = self._buffers.get(sock)
        if buffer is None:
            return
        left = memoryview(data)
        if not buffer:
            left = left[self._try_send(sock, data) :]
        if left:
            buffer.append(left)
            self.unsent_bytes[sock] = self.unsent_bytes.get(sock, 0) + len(left)
            self._poller.watch(sock, self, self._read_mask(sock) | WRITE)
            self._listener.unsent_changed(sock, self.unsent_bytes[sock], False)

    def _read_mask(self, sock: socket.socket) -> int:
        return 0 if sock in self._paused else READ

    def set_reading(self, sock: socket.socket, is_reading: bool) -> None:
        """Stop to read from a connection, or read from it again.

        Notes
        -----
        Meanwhile a reset by the caller is noticed, but not the end of its stream.
        """
        if sock not in self._buffers or sock in self._closing:
            return
        if is_reading:
            self._paused.discard(sock)
        else:
            self._paused.add(sock)
        write = WRITE if self.unsent_bytes.get(sock) else 0
        self._poller.watch(sock, self, self._read_mask(sock) | write)

    @staticmethod
    def _try_send(sock: socket.socket, data: bytes) -> int:
        """Send without queueing; return the number of bytes sent, 0 after an error."""
        try:
            return sock.send(data)
        except OSError:
            return 0  # the next poll reports the error

    def on_writable(self, sock: socket.socket) -> None:
        """Send queued bytes of a connection."""
        buffer = self._buffers[sock]
        data = _take_next(buffer)
        try:
            sent = sock.send(data)
        except BlockingIOError:
            sent = 0
        except OSError:
            self.drop(sock)
            return
        if sent < len(data):
            buffer.appendleft(data[sent:])
        self.unsent_bytes[sock] -= sent
        left = self.unsent_bytes[sock]
        if not buffer:
            self._on_all_sent(sock)
        # Last, since it may close the connection.
        self._listener.unsent_changed(sock, left, sent > 0)

    def _on_all_sent(self, sock: socket.socket) -> None:
        """Close the connection if that was requested, otherwise resume reading."""
        del self.unsent_bytes[sock]
        if sock in self._closing:
            self._end(sock, self._closing[sock])
        else:
            self._poller.watch(sock, self, self._read_mask(sock))

    def close(self, sock: socket.socket, lingers: bool = False) -> None:
        """Close a connection after its queued bytes have been sent.

        Parameters
        ----------
        lingers : bool
            True if the caller may still send; see `LingeringSockets`.
        """
        if sock not in self._buffers:
            return
        if self.unsent_bytes.get(sock):
            self._closing[sock] = lingers
            # Reading stops: otherwise each poll would report the end of the caller's stream.
            self._poller.watch(sock, self, WRITE)
        else:
            self._end(sock, lingers)

    def _end(self, sock: socket.socket, lingers: bool) -> None:
        """Close a connection whose bytes have all been sent."""
        if not lingers:
            self.drop(sock)
            return
        self._forget(sock)
        self._lingering.add(sock)

    def drop(self, sock: socket.socket) -> None:
        """Close a connection without sending its queued bytes."""
        if sock not in self._buffers:
            return
        self._forget(sock)
        with contextlib.suppress(OSError):  # the caller has closed it already
            sock.shutdown(socket.SHUT_RDWR)
        sock.close()

    def _forget(self, sock: socket.socket) -> None:
        """Drop the state of a connection, and notify the listener that it is closed."""
        del self._buffers[sock]
        self.unsent_bytes.pop(sock, None)
        self._closing.pop(sock, None)
        self._paused.discard(sock)
        self._read_limits.pop(sock, None)
        self._poller.unwatch(sock)
        self._timers.once(0.0, lambda: self._listener.closed(sock))


def _take_next(buffer: deque[memoryview]) -> memoryview:
    """Remove and return the bytes to send next: a part of a large piece, or small ones joined."""
    first = buffer.popleft()
    if len(first) > MAX_SEND_BYTES:
        buffer.appendleft(first[MAX_SEND_BYTES:])
        return first[:MAX_SEND_BYTES]
    parts, size = [first], len(first)
    while buffer and size + len(buffer[0]) <= MAX_SEND_BYTES:
        parts.append(buffer.popleft())
        size += len(parts[-1])
    return first if len(parts) == 1 else memoryview(b"".join(parts))


def _reset(sock: socket.socket) -> None:
    """Close a connection with a reset, which tells the caller at once that nothing was read."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    sock.close()


def enable_keepalive(sock: socket.socket) -> None:
    """Let the kernel reset a connection whose client is silently gone.

    Notes
    -----
    Without it, the work for a peer whose path is lost would run to its end unread.
    """
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_SECONDS)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_SECONDS)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBE_COUNT)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)


def _get_waited_seconds(sock: socket.socket) -> float:
    """Return the seconds since a connection that is accepted now last received anything."""
    info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _TCP_INFO_BYTES)
    return _LAST_DATA_RECEIVED.unpack(info)[0] / 1000
