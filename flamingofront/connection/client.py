"""Non-blocking HTTP client with concurrent calls and reuse of connections.

The client of circuits.net busy-waits while it connects and needs one component per socket. This
component owns all outgoing sockets and keeps idle connections for reuse (docs/DESIGN.md,
"Outgoing calls").
"""

import errno
import re
import socket
import struct
from collections import deque
from collections.abc import Callable

from circuits import BaseComponent
from circuits.core.utils import findcmp

from flamingofront.connection.call_guard import CallStep
from flamingofront.connection.framing import BodyDecoder, Head, HeadBuffer, create_response_decoder
from flamingofront.connection.interfaces import CallEvent, CallHandle, ConnectResult, Transport
from flamingofront.connection.poller import READ, WRITE, DirectPoller, SocketOwner
from flamingofront.connection.request_bytes import RequestBytes
from flamingofront.connection.send_watch import SendWatch
from flamingofront.connection.upload_watch import UploadWatch
from flamingofront.errors import ErrorKind, RequestError
from flamingofront.messages import (
    NO_IDLE_CONNECTION,
    SEND_WITHDRAWN,
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
# Responses with a status of 1xx before the final one; servers send one or two.
MAX_INTERIM_RESPONSES = 32
STATUS_SWITCHING_PROTOCOLS = 101
SUCCESS_STATUSES = range(200, 300)
# Body of one response that is collected as a whole, and of all of them in progress together. The
# platform's largest are objects of 8 MiB.
MAX_COLLECTED_BYTES = 8 * 1024 * 1024
MAX_TOTAL_COLLECTED_BYTES = 32 * 1024 * 1024
MAX_IDLE_CONNECTIONS_PER_ADDRESS = 16
IDLE_TIMEOUT_SECONDS = 20.0
# An idle connection is closed this long before the keep-alive timeout of the target, so that no
# call is sent while the target closes: about twice the slowest round trip plus the resolution of
# the announced timeout, which is in whole seconds.
KEEPALIVE_MARGIN_SECONDS = 1.0
# An unresponsive target (VM down, partition) is detected after about two seconds instead of never;
# callers of streams disconnect after two seconds without data.
USER_TIMEOUT_MS = 2000
# Larger requests may not fit into the buffers of a receiver that stands still.
WATCHED_BYTES = 8 * 1024
KEEPALIVE_INTERVAL_SECONDS = 1
KEEPALIVE_PROBE_COUNT = 2
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)
_SEND_ON_CLOSE = struct.pack("ii", 0, 0)
_KEEP_ALIVE_TIMEOUT = re.compile(r"timeout=(\d{1,6})")
_IN_PROGRESS = (errno.EINPROGRESS, errno.EWOULDBLOCK, errno.EALREADY)


def _get_connect_failure(code: int) -> str:
    """Return the `CallFailed` reason for a socket error while connecting."""
    return "refused" if code == errno.ECONNREFUSED else "connect"


def _enable_keepalive(sock: socket.socket) -> None:
    """Enable TCP keep-alive, so that the kernel resets a connection to an unresponsive peer."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_INTERVAL_SECONDS)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_SECONDS)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBE_COUNT)


def _get_idle_timeout(head: Head) -> float:
    """Return the seconds to keep an idle connection, given the target's Keep-Alive header."""
    match = _KEEP_ALIVE_TIMEOUT.search(head.headers.get("keep-alive", ""))
    if match is None:
        return IDLE_TIMEOUT_SECONDS
    return min(IDLE_TIMEOUT_SECONDS, float(match.group(1)) - KEEPALIVE_MARGIN_SECONDS)


def _get_stall_timeout(call: OutboundCall) -> float:
    """Return the seconds without data after which a started response fails, 0 for no limit."""
    if call.stall_timeout is not None:
        return call.stall_timeout
    return call.timeout if call.stream else 0.0


class _Call(CallHandle):
    """One call with its listener, its timeout and its connection."""

    def __init__(self, call: OutboundCall, listener: Callable[[CallEvent], None]):
        self.call = call
        self.listener: Callable[[CallEvent], None] | None = listener
        self.conn: _ClientConnection | None = None
        self.timer: Timer | None = None
        # Time of the last data of the response body.
        self.last_data_at: float | None = None
        self.reused = False
        self.started_at = 0.0
        self._wrote = False

    @property
    def wrote(self) -> bool:
        """True if bytes of the request may have been sent; if False, none was sent."""
        return self._wrote

    def mark_written(self) -> None:
        """Record that bytes of the request may have been sent."""
        self._wrote = True

    def may_send(self) -> bool:
        """Return True if bytes may be sent now, as far as the guard of the call decides."""
        return self.call.guard is None or self.call.guard.may_send()

    def record(self, step: CallStep) -> None:
        """Tell the guard of the call that it has reached a step."""
        if self.call.guard is not None:
            self.call.guard.record(step)

    def cancel(self) -> None:
        """Cancel the call without a further event."""
        self.listener = None
        if self.timer is not None:
            self.timer.cancel()
        if self.conn is not None:
            self.conn.close()

    def deliver(self, event: CallEvent) -> None:
        """Pass an event to the listener, unless the call was cancelled."""
        if self.listener is not None:
            self.listener(event)

    def finish(self, event: CallEvent) -> None:
        """Pass the last event to the listener and detach the call from its connection."""
        self.conn = None
        if self.timer is not None:
            self.timer.cancel()
        listener, self.listener = self.listener, None
        if listener is not None:
            listener(event)


class _ClientConnection:
    """Outgoing connection that carries one call at a time."""

    def __init__(self, client: "HTTPClient", address: str):
        self._client = client
        self.address = address
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.sock.setblocking(False)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        _enable_keepalive(self.sock)
        self.connected = False
        self.closed = False
        self.idle_timer: Timer | None = None
        self._connect_timer: Timer | None = None
        self._call: _Call | None = None
        self._unsent: RequestBytes | None = None
        self._user_timeout_ms = USER_TIMEOUT_MS
        self._send_watch: SendWatch | None = None
        # Set once the peer has closed its side behind a response without a length.
        self._upload_watch: UploadWatch | None = None

    def was_closed_by_peer(self) -> bool:
        """Return True if the peer has closed this idle connection, or sent unexpected bytes."""
        try:
            self.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            pass
        return True

    def connect(self) -> None:
        """Start to connect; the socket becomes writable when the connection is established."""
        host, _, port = self.address.rpartition(":")
        self._call.record(CallStep.CONNECTING)
        code = self.sock.connect_ex((host, int(port)))
        if code and code not in _IN_PROGRESS:
            self._client.timers.once(0.0, lambda: self.fail(_get_connect_failure(code)))
            return
        self._client.watch(self, WRITE)
        if self._call.call.connect_timeout is not None:
            seconds = self._call.call.connect_timeout
            self._connect_timer = self._client.timers.once(seconds, self._on_connect_timeout)

    def _on_connect_timeout(self) -> None:
        if not self.connected:
            self.fail("connect")

    def start_call(self, call: _Call) -> None:
        """Assign a call and send its request once the connection is established."""
        self._call = call
        call.conn = self
        self._set_user_timeout(call.call.ack_timeout)
        if call.call.ack_timeout is not None:
            # Also if this process is killed: the kernel then discards what it has not sent.
            self._set_reset_on_close(True)
        self._heads = HeadBuffer(is_request=False, max_bytes=MAX_RESPONSE_HEAD_BYTES)
        self._head: Head | None = None
        self._has_received = False
        self._interim_count = 0
        self._decoder: BodyDecoder | None = None
        self._unsent = RequestBytes(call.call)
        if not self.connected:
            return
        failure = self._send()
        if failure:
            # Not at once: whoever starts the call has no handle yet.
            self._client.timers.once(0.0, lambda: self.fail(failure))

    def _set_reset_on_close(self, enabled: bool) -> None:
        """Let the kernel discard unsent bytes and reset the connection when it is closed."""
        value = _RESET_ON_CLOSE if enabled else _SEND_ON_CLOSE
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, value)

    def _set_user_timeout(self, seconds: float | None) -> None:
        """Set the time until the kernel resets the connection if sent bytes are unacknowledged."""
        self._user_timeout_ms = USER_TIMEOUT_MS if seconds is None else int(seconds * 1000)
        self._apply_user_timeout(self._user_timeout_ms)

    def _apply_user_timeout(self, milliseconds: int) -> None:
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, milliseconds)

    def _watch_sending(self) -> None:
        """Let a receiver that stands still take a large request when it goes on."""
        self._apply_user_timeout(0)
        self._send_watch = SendWatch(
            self.sock,
            lambda: bool(self._unsent),
            self._user_timeout_ms / 1000,
            self._client.timers,
            self._end_send_watch,
            lambda: self.fail("reset"),
        )

    def _end_send_watch(self) -> None:
        """Let the kernel end the connection again if sent bytes are unacknowledged."""
        if self._send_watch is not None:
            self._send_watch.cancel()
            self._send_watch = None
            self._apply_user_timeout(self._user_timeout_ms)

    def on_writable(self) -> None:
        """Send the remaining bytes of the request."""
        if not self.connected and not self._finish_connect():
            return
        if not self._unsent:
            self._watch()
            return
        failure = self._send()
        if failure:
            self.fail(failure)

    def _watch(self) -> None:
        """Wait for further bytes of the response, and for room if bytes are unsent."""
        mask = READ if self._upload_watch is None else 0
        self._client.watch(self, mask | WRITE if self._unsent else mask)

    def _send(self) -> str:
        """Send what the kernel takes; return the reason if the call fails, else an empty string."""
        if self._client.is_overdue(self._call):
            return "timeout"
        if not self._call.may_send():
            return SEND_WITHDRAWN
        self._call.mark_written()
        # Only the kernel's limit holds while this process stands still.
        is_watched = self._call.call.ack_timeout is None and len(self._unsent) > WATCHED_BYTES
        if self._send_watch is None and is_watched:
            self._watch_sending()
        try:
            while self._unsent:
                self._unsent.remove(self.sock.send(self._unsent.peek()))
        except BlockingIOError:
            pass  # the rest is sent once there is room
        except OSError:
            return "reset"
        if not self._unsent:
            self._call.record(CallStep.WRITTEN)
        self._watch()
        return ""

    def _finish_connect(self) -> bool:
        code = self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if code:
            self.fail(_get_connect_failure(code))
            return False
        self.connected = True
        self._call.record(CallStep.CONNECTED)
        if self._connect_timer is not None:
            self._connect_timer.cancel()
        return True

    def on_socket_error(self) -> None:
        """Handle an error of the socket."""
        if self._upload_watch is not None:
            self.fail("reset")
        elif self.connected:
            self.on_readable()
        else:
            self._finish_connect()

    def on_readable(self) -> None:
        """Read received bytes and pass them to the call."""
        try:
            data = self.sock.recv(READ_BYTES)
        except BlockingIOError:
            return
        except OSError:
            self.fail("reset")
            return
        if not data:
            self._on_peer_close()
        elif self._call is None:
            self.close()
        else:
            self._parse_response(data)

    def _on_peer_close(self) -> None:
        if not self._is_complete_at_close():
            self.fail("reset")
        elif self._head.status in SUCCESS_STATUSES:
            self._upload_watch = UploadWatch(
                self.sock,
                lambda: bool(self._unsent),
                self._client.timers,
                self._finish_at_close,
                lambda: self.fail("reset"),
            )
            self._watch()
            self._upload_watch.start()
        else:
            # A target that rejects a request need not read the rest of it.
            self._finish_at_close()

    def _finish_at_close(self) -> None:
        call, self._call = self._call, None
        self.close()
        call.finish(ResponseEnd())

    def _is_complete_at_close(self) -> bool:
        return (
            self._call is not None and self._head is not None and self._decoder.can_end_at_close()
        )

    def _parse_response(self, data: bytes) -> None:
        call = self._call
        self._has_received = True
        try:
            if self._head is None and not self._parse_head(data):
                return
            data = self._after_head if self._after_head is not None else data
            self._after_head = None
            body, trailing = self._decoder.feed(data)
        except RequestError as exc:
            self.fail("framing", exc.detail)
            return
        if body:
            self._client.renew_timeout(call)
            if not call.call.stream:
                self._client.record_collected(self, len(body))
            call.deliver(ResponseData(body))
        if self._decoder.complete and self._call is call:
            self._finish_call(trailing)

    _after_head: bytes | None = None

    def _parse_head(self, data: bytes) -> bool:
        while True:
            result = self._heads.feed(data)
            if result is None:
                return False
            head, data = result
            if not 100 <= head.status < 200:
                break
            if head.status == STATUS_SWITCHING_PROTOCOLS:
                raise RequestError(ErrorKind.MALFORMED_REQUEST, "no other protocol was requested")
            self._interim_count += 1
            if self._interim_count > MAX_INTERIM_RESPONSES:
                raise RequestError(ErrorKind.MALFORMED_REQUEST, "too many interim responses")
        self._head = head
        self._after_head = data
        self._decoder = create_response_decoder(head, self._call.call.method)
        self._call.deliver(ResponseHead(head.status, head.headers, head.fields, self._call.reused))
        return self._call is not None

    def _finish_call(self, trailing: bytes) -> None:
        """End the call; keep the connection unless bytes are unsent or follow the response."""
        call, self._call = self._call, None
        if call.call.ack_timeout is not None:
            self._set_reset_on_close(False)
        self._end_send_watch()
        self._client.forget_collected(self)
        idle_timeout = _get_idle_timeout(self._head)
        reusable = self._head.keep_alive and not self._unsent and not trailing
        if reusable and idle_timeout > 0:
            self._client.keep_idle(self, idle_timeout)
        else:
            self.close()
        call.finish(ResponseEnd())

    def fail(self, reason: str, detail: str = "") -> None:
        """Close the connection and report the failure to its call, or repeat the call."""
        call = self._call
        was_stale = call is not None and reason == "reset" and self._was_stale(call)
        self.close()
        if was_stale:
            self._client.repeat(call)
        elif call is not None:
            call.finish(CallFailed(reason, call.wrote, call.reused, detail=detail))

    def _was_stale(self, call: _Call) -> bool:
        """Return True if the peer had closed the connection before a repeatable call was sent."""
        if not call.reused or self._has_received or not call.call.stale_seconds:
            return False
        return self._client.timers.now() - call.started_at <= call.call.stale_seconds

    def close(self) -> None:
        """Close the connection; further calls have no effect."""
        if self.closed:
            return
        self.closed = True
        if self._call is not None:
            # A reset discards unsent bytes, so that none arrives after the call was cancelled.
            self._set_reset_on_close(True)
        self._call = None
        self._unsent = None
        for each in (self.idle_timer, self._connect_timer, self._send_watch, self._upload_watch):
            if each is not None:
                each.cancel()
        self._client.remove_connection(self)
        self.sock.close()


class _Probe:
    """Connection that is opened only to check if a process listens at an address."""

    def __init__(
        self, client: "HTTPClient", address: str, listener: Callable[[ConnectResult], None]
    ):
        self._client = client
        self.address = address
        self._listener = listener
        self._timer: Timer | None = None
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.sock.setblocking(False)

    def start(self, timeout: float) -> None:
        """Start to connect."""
        host, _, port = self.address.rpartition(":")
        code = self.sock.connect_ex((host, int(port)))
        if code and code not in _IN_PROGRESS:
            self._client.timers.once(0.0, lambda: self._finish(_get_connect_result(code)))
            return
        self._client.watch(self, WRITE)
        self._timer = self._client.timers.once(
            timeout, lambda: self._finish(ConnectResult.UNANSWERED)
        )

    def on_readable(self) -> None:
        """Report the result once the connection is established or has failed."""
        self._finish(_get_connect_result(self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)))

    on_writable = on_socket_error = on_readable

    def _finish(self, result: ConnectResult) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._client.remove_connection(self)
        self.sock.close()
        self._listener(result)


def _get_connect_result(code: int) -> ConnectResult:
    """Return the probe result for a socket error code, 0 for none."""
    if code == errno.ECONNREFUSED:
        return ConnectResult.REFUSED
    return ConnectResult.UNANSWERED if code else ConnectResult.CONNECTED


class HTTPClient(BaseComponent, Transport, SocketOwner):
    """HTTP client that owns all outgoing connections of a process.

    Parameters
    ----------
    timers : TimerService
        Timer service for timeouts.

    Attributes
    ----------
    max_idle : callable
        Returns the maximum number of idle connections to an address. Targets limit the connections
        of all callers together, so the share of one process shrinks as processes are added.
    """

    channel = "http-client"

    def __init__(self, timers: TimerService):
        super().__init__(channel="http-client")
        self.timers = timers
        self.max_idle: Callable[[str], int] = lambda address: MAX_IDLE_CONNECTIONS_PER_ADDRESS
        self._poller: DirectPoller | None = None
        self._connections: dict[socket.socket, _ClientConnection | _Probe] = {}
        self._idle: dict[str, deque[_ClientConnection]] = {}
        # Bytes received of the bodies of responses that are collected as a whole.
        self._collected: dict[_ClientConnection, int] = {}

    def start(self, call: OutboundCall, listener: Callable[[CallEvent], None]) -> CallHandle:
        """Start a call on an idle or a new connection.

        Notes
        -----
        The target may close an idle connection while a request is being sent on it. The reset then
        does not tell if the request was executed. A call with `new_connection` set avoids this
        ambiguity.
        """
        handle = _Call(call, listener)
        handle.started_at = self.timers.now()
        handle.timer = self.timers.once(call.timeout, lambda: self._on_timeout(handle))
        conn = None if call.new_connection else self._pop_idle(call.address)
        if conn is None and call.idle_only:
            failure = CallFailed(NO_IDLE_CONNECTION, False)
            self.timers.once(0.0, lambda: handle.finish(failure))
        elif conn is None:
            self._connect(handle)
        else:
            handle.reused = True
            conn.start_call(handle)
        return handle

    def _connect(self, handle: _Call) -> None:
        """Start a call on a new connection."""
        conn = _ClientConnection(self, handle.call.address)
        self._connections[conn.sock] = conn
        conn.start_call(handle)
        conn.connect()

    def repeat(self, handle: _Call) -> None:
        """Repeat a call on a new connection; its timeout goes on."""
        handle.reused = False
        self._connect(handle)

    def probe(
        self, address: str, timeout: float, listener: Callable[[ConnectResult], None]
    ) -> None:
        """Open a connection, close it, and pass the result to `listener`."""
        probe = _Probe(self, address, listener)
        self._connections[probe.sock] = probe
        probe.start(timeout)

    def _pop_idle(self, address: str) -> _ClientConnection | None:
        idle = self._idle.get(address)
        while idle:
            conn = idle.pop()
            if not conn.closed and not conn.was_closed_by_peer():
                conn.idle_timer.cancel()
                return conn
            conn.close()
        return None

    def keep_idle(self, conn: _ClientConnection, seconds: float) -> None:
        """Keep an idle connection for reuse, at most for the given seconds."""
        idle = self._idle.setdefault(conn.address, deque())
        if len(idle) >= self.max_idle(conn.address):
            conn.close()
            return
        idle.append(conn)
        conn.idle_timer = self.timers.once(seconds, conn.close, relaxed=True)

    def has_idle(self, address: str) -> bool:
        """Return True if the next call to an address can use an idle connection."""
        return any(not each.closed for each in self._idle.get(address, ()))

    def drop_idle(self, address: str) -> None:
        """Close the idle connections to an address whose process has ended.

        Notes
        -----
        A call on one of them would be reset without showing if it was executed, or it would reach
        another service that now uses the address.
        """
        for conn in tuple(self._idle.get(address, ())):
            conn.close()

    def record_collected(self, conn: _ClientConnection, size: int) -> None:
        """Record received bytes of a response that is collected as a whole.

        Notes
        -----
        A response that is too large fails. If all of them together are, the largest ones fail.
        """
        collected = self._collected
        collected[conn] = collected.get(conn, 0) + size
        if collected[conn] > MAX_COLLECTED_BYTES:
            conn.fail("too large")
        while sum(collected.values()) > MAX_TOTAL_COLLECTED_BYTES:
            max(collected, key=collected.__getitem__).fail("too large")

    def forget_collected(self, conn: _ClientConnection) -> None:
        """Stop counting the bytes of a response that has ended."""
        self._collected.pop(conn, None)

    def remove_connection(self, conn: _ClientConnection | _Probe) -> None:
        """Remove a connection that is being closed."""
        self._connections.pop(conn.sock, None)
        self.forget_collected(conn)
        idle = self._idle.get(conn.address)
        if idle is not None and conn in idle:
            idle.remove(conn)
            if not idle:
                del self._idle[conn.address]
        self._find_poller().unwatch(conn.sock)

    def renew_timeout(self, handle: _Call) -> None:
        """Restart the timeout of a call that limits the time without data.

        Notes
        -----
        The timer is rescheduled only when it fires. A new timer for each event would leave hundreds
        of cancelled timers in the timer heap, each for the whole timeout.
        """
        stall_timeout = handle.call.stall_timeout
        if stall_timeout is not None and handle.last_data_at is None:
            handle.timer.cancel()
            handle.timer = self.timers.once(stall_timeout, lambda: self._on_timeout(handle))
        handle.last_data_at = self.timers.now()

    def is_overdue(self, handle: _Call) -> bool:
        """Return True if the time of a call is over, though its timer may not have run yet.

        Notes
        -----
        After a long turn of the event loop, sockets are served before the timers.
        """
        if handle.last_data_at is not None:
            return False
        return self.timers.now() >= handle.started_at + handle.call.timeout

    def _on_timeout(self, handle: _Call) -> None:
        if handle.conn is None or handle.conn.closed:
            return
        stall_timeout = _get_stall_timeout(handle.call)
        left = (
            0.0
            if handle.last_data_at is None
            else handle.last_data_at + stall_timeout - self.timers.now()
        )
        if left > 0:
            handle.timer = self.timers.once(left, lambda: self._on_timeout(handle))
        else:
            handle.conn.fail("timeout")

    def watch(self, conn: _ClientConnection | _Probe, mask: int) -> None:
        """Watch a connection for the events in `mask`: `READ`, `WRITE` or both."""
        self._find_poller().watch(conn.sock, self, mask)

    def _find_poller(self) -> DirectPoller:
        if self._poller is None:
            self._poller = findcmp(self.root, DirectPoller)
        return self._poller

    def on_readable(self, sock: socket.socket) -> None:
        """Let the connection of a socket read."""
        self._connections[sock].on_readable()

    def on_writable(self, sock: socket.socket) -> None:
        """Let the connection of a socket send, or finish connecting."""
        self._connections[sock].on_writable()

    def on_socket_error(self, sock: socket.socket) -> None:
        """Let the connection of a socket handle an error."""
        self._connections[sock].on_socket_error()
