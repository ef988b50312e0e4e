"""HTTP client over circuits sockets: many calls at once, streamed or whole.

The stock client of circuits.net spins while a connection is being made and owns one socket for each
component; this one component owns all outgoing sockets, never blocks, and keeps idle connections
for reuse (docs/DESIGN.md, "Outgoing calls").
"""

import errno
import re
import socket
import struct
from collections import deque
from collections.abc import Callable

from circuits import BaseComponent
from circuits.core.utils import findcmp

from flamingofront.connection.framing import BodyDecoder, Head, HeadBuffer, response_decoder
from flamingofront.connection.interfaces import CallEvent, CallHandle, ConnectResult, Transport
from flamingofront.connection.poller import READ, WRITE, DirectPoller, SocketOwner
from flamingofront.errors import RequestError
from flamingofront.messages import (
    CallFailed,
    OutboundCall,
    ResponseData,
    ResponseEnd,
    ResponseHead,
)
from flamingofront.process.timers import Timer, TimerService

__all__ = ["HTTPClient"]

READ_BYTES = 64 * 1024
MAX_RESPONSE_HEAD_BYTES = 64 * 1024
MAX_IDLE_CONNECTIONS_PER_ADDRESS = 16
IDLE_TIMEOUT_SECONDS = 20.0
# A kept connection is given up this long before the time that the target announced, so that a call
# does not cross the target's close: about twice the slowest round trip plus the coarseness of the
# announcement, which is in whole seconds.
IDLE_MARGIN_SECONDS = 1.0
# A silent target (no power, partition) is noticed after about two seconds instead of never; callers
# of streams leave after two seconds of silence.
USER_TIMEOUT_MS = 2000
KEEPALIVE_INTERVAL_SECONDS = 1
KEEPALIVE_PROBE_COUNT = 2
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)
_KEEP_ALIVE_TIMEOUT = re.compile(r"timeout=(\d{1,6})")
BODILESS_METHODS = ("GET", "HEAD")
_IN_PROGRESS = (errno.EINPROGRESS, errno.EWOULDBLOCK, errno.EALREADY)


def _connect_reason(code: int) -> str:
    """Return why a connection does not stand, by the error of its socket."""
    return "refused" if code == errno.ECONNREFUSED else "connect"


def _request_bytes(call: OutboundCall) -> bytes:
    lines = [f"{call.method} {call.path} HTTP/1.1", f"Host: {call.host or call.address}"]
    lines += [f"{name}: {value}" for name, value in call.headers]
    if call.body or call.method not in BODILESS_METHODS:
        lines.append(f"Content-Length: {len(call.body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1", "replace") + call.body


def _notice_silence(sock: socket.socket) -> None:
    """Let the kernel reset the connection when its peer has fallen silent."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_INTERVAL_SECONDS)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_SECONDS)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBE_COUNT)


def _idle_seconds(head: Head) -> float:
    """Return how long a connection may be kept, by what the target announced."""
    match = _KEEP_ALIVE_TIMEOUT.search(head.headers.get("keep-alive", ""))
    if match is None:
        return IDLE_TIMEOUT_SECONDS
    return min(IDLE_TIMEOUT_SECONDS, float(match.group(1)) - IDLE_MARGIN_SECONDS)


def _longest_silence(call: OutboundCall) -> float:
    """Return the seconds after which a response that has begun is given up, 0 for none."""
    if call.stall_timeout is not None:
        return call.stall_timeout
    return call.timeout if call.stream else 0.0


class _Call(CallHandle):
    """One call: its listener, its timer and the response read so far."""

    def __init__(self, call: OutboundCall, listener: Callable[[CallEvent], None]):
        self.call = call
        self.listener: Callable[[CallEvent], None] | None = listener
        self.conn: _ClientConnection | None = None
        self.timer: Timer | None = None
        # When data of the response came last.
        self.heard_at: float | None = None
        self.reused = False
        self._wrote = False

    @property
    def wrote(self) -> bool:
        """False only while no byte has been given to the network."""
        return self._wrote

    def mark_written(self) -> None:
        """Note that a byte may have reached the target."""
        self._wrote = True

    def cancel(self) -> None:
        """Give the call up without a further event."""
        self.listener = None
        if self.timer is not None:
            self.timer.cancel()
        if self.conn is not None:
            self.conn.close()

    def tell(self, event: CallEvent) -> None:
        """Pass an event on, unless the call was given up."""
        if self.listener is not None:
            self.listener(event)

    def end(self, event: CallEvent) -> None:
        """Pass the last event on; the connection may carry another call from now on."""
        self.conn = None
        if self.timer is not None:
            self.timer.cancel()
        listener, self.listener = self.listener, None
        if listener is not None:
            listener(event)


class _ClientConnection:
    """One outgoing socket; carries one call at a time."""

    def __init__(self, client: "HTTPClient", address: str):
        self._client = client
        self.address = address
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.sock.setblocking(False)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        _notice_silence(self.sock)
        self.connected = False
        self.closed = False
        self.idle_timer: Timer | None = None
        self._connect_timer: Timer | None = None
        self._call: _Call | None = None
        self._unsent = b""

    def connect(self) -> None:
        """Begin to connect; the socket becomes writable when that is done."""
        host, _, port = self.address.rpartition(":")
        code = self.sock.connect_ex((host, int(port)))
        if code and code not in _IN_PROGRESS:
            self._client.timers.once(0.0, lambda: self.fail(_connect_reason(code)))
            return
        self._client.watch(self, WRITE)
        if self._call is not None and self._call.call.connect_timeout is not None:
            seconds = self._call.call.connect_timeout
            self._connect_timer = self._client.timers.once(seconds, self._connect_late)

    def _connect_late(self) -> None:
        if not self.connected:
            self.fail("connect")

    def carry(self, call: _Call) -> None:
        """Take a call over and send it as soon as the connection stands."""
        self._call = call
        call.conn = self
        self._limit_silence(call.call.ack_timeout)
        self._heads = HeadBuffer(is_request=False, max_bytes=MAX_RESPONSE_HEAD_BYTES)
        self._head: Head | None = None
        self._decoder: BodyDecoder | None = None
        self._unsent = _request_bytes(call.call)
        if self.connected:
            self.on_writable()

    def _limit_silence(self, seconds: float | None) -> None:
        """Set after how long the system gives up what the target does not acknowledge."""
        limit = USER_TIMEOUT_MS if seconds is None else int(seconds * 1000)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, limit)

    def on_writable(self) -> None:
        """Send what is unsent."""
        if not self.connected and not self._finish_connect():
            return
        if not self._unsent:
            self._client.watch(self, READ)
            return
        self._call.mark_written()
        try:
            sent = self.sock.send(self._unsent)
        except BlockingIOError:
            sent = 0
        except OSError:
            self.fail("reset")
            return
        self._unsent = self._unsent[sent:]
        self._client.watch(self, READ | WRITE if self._unsent else READ)

    def _finish_connect(self) -> bool:
        code = self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if code:
            self.fail(_connect_reason(code))
            return False
        self.connected = True
        if self._connect_timer is not None:
            self._connect_timer.cancel()
        return True

    def on_socket_error(self) -> None:
        """Take note that the socket failed."""
        if self.connected:
            self.on_readable()
        else:
            self._finish_connect()

    def on_readable(self) -> None:
        """Read and pass on what has arrived."""
        try:
            data = self.sock.recv(READ_BYTES)
        except BlockingIOError:
            return
        except OSError:
            self.fail("reset")
            return
        if not data:
            self._ended_by_peer()
        elif self._call is None:
            self.close()
        else:
            self._parse(data)

    def _ended_by_peer(self) -> None:
        if self._decoder_allows_end():
            call, self._call = self._call, None
            self.close()
            call.end(ResponseEnd())
        else:
            self.fail("reset")

    def _decoder_allows_end(self) -> bool:
        return self._call is not None and self._head is not None and self._decoder.end_of_stream()

    def _parse(self, data: bytes) -> None:
        call = self._call
        try:
            if self._head is None and not self._parse_head(data):
                return
            data = self._rest if self._rest is not None else data
            self._rest = None
            body, trailing = self._decoder.feed(data)
        except RequestError:
            self.fail("framing")
            return
        if body:
            self._client.renew_timeout(call)
            call.tell(ResponseData(body))
        if self._decoder.complete and self._call is call:
            self._finish_call(trailing)

    _rest: bytes | None = None

    def _parse_head(self, data: bytes) -> bool:
        while True:
            result = self._heads.feed(data)
            if result is None:
                return False
            head, data = result
            if not 100 <= head.status < 200:
                break
        self._head = head
        self._rest = data
        self._decoder = response_decoder(head, self._call.call.method)
        self._call.tell(ResponseHead(head.status, head.headers, head.fields))
        return self._call is not None

    def _finish_call(self, trailing: bytes) -> None:
        """End the call; keep the connection if nothing is left unsent or was sent beyond."""
        call, self._call = self._call, None
        idle_seconds = _idle_seconds(self._head)
        reusable = self._head.keep_alive and not self._unsent and not trailing
        if reusable and idle_seconds > 0:
            self._client.keep(self, idle_seconds)
        else:
            self.close()
        call.end(ResponseEnd())

    def fail(self, reason: str) -> None:
        """Close and tell the call that it failed."""
        call = self._call
        self.close()
        if call is not None:
            call.end(CallFailed(reason, call.wrote, call.reused))

    def close(self) -> None:
        """Close the socket; a second call has no effect."""
        if self.closed:
            return
        self.closed = True
        if self._call is not None:
            # Nothing that is still unsent may arrive after the call was given up.
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
        self._call = None
        for timer in (self.idle_timer, self._connect_timer):
            if timer is not None:
                timer.cancel()
        self._client.forget(self)
        self.sock.close()


class _Probe:
    """One connection that is opened only to learn whether a process listens there."""

    def __init__(
        self, client: "HTTPClient", address: str, listener: Callable[[ConnectResult], None]
    ):
        self._client = client
        self.address = address
        self._listener = listener
        self._timer: Timer | None = None
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.sock.setblocking(False)

    def begin(self, timeout: float) -> None:
        """Begin to connect."""
        host, _, port = self.address.rpartition(":")
        code = self.sock.connect_ex((host, int(port)))
        if code and code not in _IN_PROGRESS:
            self._client.timers.once(0.0, lambda: self._end(_reach(code)))
            return
        self._client.watch(self, WRITE)
        self._timer = self._client.timers.once(timeout, lambda: self._end(ConnectResult.UNANSWERED))

    def on_readable(self) -> None:
        """Take note that the connection stands, or failed."""
        self._end(_reach(self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)))

    on_writable = on_socket_error = on_readable

    def _end(self, reach: ConnectResult) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._client.forget(self)
        self.sock.close()
        self._listener(reach)


def _reach(code: int) -> ConnectResult:
    """Return what the error of a socket says of its target."""
    if code == errno.ECONNREFUSED:
        return ConnectResult.REFUSED
    return ConnectResult.UNANSWERED if code else ConnectResult.CONNECTED


class HTTPClient(BaseComponent, Transport, SocketOwner):
    """Owner of all outgoing connections of a process.

    Parameters
    ----------
    timers : TimerService
        Source of the time-outs.

    Attributes
    ----------
    max_idle : callable
        Returns how many idle connections to an address are kept: targets limit their connections
        over all callers, so a process's part shrinks as the processes grow in number.
    """

    channel = "http-client"

    def __init__(self, timers: TimerService):
        super().__init__(channel="http-client")
        self.timers = timers
        self.max_idle: Callable[[str], int] = lambda address: MAX_IDLE_CONNECTIONS_PER_ADDRESS
        self._poller: DirectPoller | None = None
        self._connections: dict[socket.socket, _ClientConnection | _Probe] = {}
        self._idle: dict[str, deque[_ClientConnection]] = {}

    def start(self, call: OutboundCall, listener: Callable[[CallEvent], None]) -> CallHandle:
        """Begin a call on an idle or a new connection.

        Notes
        -----
        The target may be closing an idle connection at the very moment it is used again; the reset
        then says nothing about execution. A call with `new_connection` set avoids that doubt.
        """
        handle = _Call(call, listener)
        handle.timer = self.timers.once(call.timeout, lambda: self._timed_out(handle))
        conn = None if call.new_connection else self._take_idle(call.address)
        if conn is None:
            conn = _ClientConnection(self, call.address)
            self._connections[conn.sock] = conn
            conn.carry(handle)
            conn.connect()
        else:
            handle.reused = True
            conn.carry(handle)
        return handle

    def probe(
        self, address: str, timeout: float, listener: Callable[[ConnectResult], None]
    ) -> None:
        """Open a connection, close it again, and tell what became of it."""
        probe = _Probe(self, address, listener)
        self._connections[probe.sock] = probe
        probe.begin(timeout)

    def _take_idle(self, address: str) -> _ClientConnection | None:
        idle = self._idle.get(address)
        while idle:
            conn = idle.pop()
            if not conn.closed:
                conn.idle_timer.cancel()
                return conn
        return None

    def keep(self, conn: _ClientConnection, seconds: float) -> None:
        """Keep a connection for the next call to its address, for some seconds."""
        idle = self._idle.setdefault(conn.address, deque())
        if len(idle) >= self.max_idle(conn.address):
            conn.close()
            return
        idle.append(conn)
        conn.idle_timer = self.timers.once(seconds, conn.close, relaxed=True)

    def drop_idle(self, address: str) -> None:
        """Close the idle connections to an address: whoever had it has gone.

        Notes
        -----
        A call on one of them would be reset, which leaves open whether it has run, or reach another
        service that was given the address.
        """
        for conn in tuple(self._idle.get(address, ())):
            conn.close()

    def forget(self, conn: _ClientConnection | _Probe) -> None:
        """Drop a connection that was closed."""
        self._connections.pop(conn.sock, None)
        idle = self._idle.get(conn.address)
        if idle is not None and conn in idle:
            idle.remove(conn)
            if not idle:
                del self._idle[conn.address]
        self._find_poller().forget(conn.sock)

    def renew_timeout(self, handle: _Call) -> None:
        """Start the time-out anew where it bounds silence, not length.

        Notes
        -----
        The timer itself is set anew only when it runs: one for each event would stay in the heap
        of timers for the whole time-out, some hundreds at once.
        """
        stall_timeout = handle.call.stall_timeout
        if stall_timeout is not None and handle.heard_at is None:
            handle.timer.cancel()
            handle.timer = self.timers.once(stall_timeout, lambda: self._timed_out(handle))
        handle.heard_at = self.timers.now()

    def _timed_out(self, handle: _Call) -> None:
        if handle.conn is None or handle.conn.closed:
            return
        silence = _longest_silence(handle.call)
        left = 0.0 if handle.heard_at is None else handle.heard_at + silence - self.timers.now()
        if left > 0:
            handle.timer = self.timers.once(left, lambda: self._timed_out(handle))
        else:
            handle.conn.fail("timeout")

    def watch(self, conn: _ClientConnection | _Probe, mask: int) -> None:
        """Watch a connection for data, for room to write, or both."""
        self._find_poller().watch(conn.sock, self, mask)

    def _find_poller(self) -> DirectPoller:
        if self._poller is None:
            self._poller = findcmp(self.root, DirectPoller)
        return self._poller

    def on_readable(self, sock: socket.socket) -> None:
        """Let a connection read what has arrived."""
        self._connections[sock].on_readable()

    def on_writable(self, sock: socket.socket) -> None:
        """Let a connection send, or note that it stands."""
        self._connections[sock].on_writable()

    def on_socket_error(self, sock: socket.socket) -> None:
        """End a connection that failed."""
        self._connections[sock].on_socket_error()
