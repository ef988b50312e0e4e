"""HTTP server that passes only complete and well-formed requests to its handler.

A connection serves one request at a time: bytes that arrive before the response is complete are
buffered and parsed as the next request afterwards. Each connection has limits of its own (head,
body, time, unsent response bytes); what all of them hold together is limited by a `MemoryAccount`.
"""

import itertools
import math
import socket
from collections.abc import Callable

import orjson
from circuits import BaseComponent

from flamingofront.connection.caller_connection import CallerConnection
from flamingofront.connection.interfaces import Exchange
from flamingofront.connection.server_limits import ServerLimits
from flamingofront.connection.sockets import ConnectionListener, ServerSockets
from flamingofront.decisions.memory_account import MemoryAccount
from flamingofront.errors import ERROR_RESPONSES, ErrorKind, Executed, RequestError
from flamingofront.messages import InboundRequest
from flamingofront.process.timers import TimerService

__all__ = [
    "HTTPServer",
    "RenderedError",
    "ServerLimits",
    "build_error_headers",
    "encode_error",
    "render_default_error",
    "states_not_executed",
]

READ_BYTES = 64 * 1024
SLOW_READ_BYTES = 4 * 1024
# Idle connections that are tried for one new connection.
MAX_CLOSED_AT_ONCE = 8
# Size of the account of a server that is given none.
DEFAULT_MEMORY_BYTES = 128 * 1024 * 1024
JSON_HEADERS = (("Content-Type", "application/json"),)


def encode_error(exc: RequestError, request_id: str = "") -> bytes:
    """Return the JSON body of the error response for `exc`."""
    return orjson.dumps(
        {
            "error": {
                "kind": exc.kind.value,
                "message": exc.detail or ERROR_RESPONSES[exc.kind].text,
                "request_id": request_id,
                "ran": exc.ran.value,
                "retry_after": exc.retry_after,
            }
        }
    )


def states_not_executed(body: bytes) -> bool:
    """Return True if the body of an error response states that the request was not executed."""
    try:
        return orjson.loads(body)["error"]["ran"] == Executed.NO.value
    except (orjson.JSONDecodeError, KeyError, TypeError):
        return False


def build_error_headers(exc: RequestError) -> tuple[tuple[str, str], ...]:
    """Return the headers of the error response for `exc`, with Retry-After if it has one."""
    if exc.retry_after is None:
        return JSON_HEADERS
    seconds = max(1, math.ceil(exc.retry_after))
    return (*JSON_HEADERS, ("Retry-After", str(seconds)))


RenderedError = tuple[int, tuple[tuple[str, str], ...], bytes]


def render_default_error(exc: RequestError) -> RenderedError:
    """Return status, headers and body of the error response for `exc`."""
    return ERROR_RESPONSES[exc.kind].status, build_error_headers(exc), encode_error(exc)


class HTTPServer(BaseComponent, ConnectionListener):
    """HTTP server on one address that passes each complete request to `on_request`.

    Parameters
    ----------
    bind : tuple of (str, int)
        Address and port; with port 0 the kernel chooses a free one.
    on_request : callable
        Called with the `InboundRequest` and its `Exchange`.
    count_rejection : callable, optional
        Called with the `ErrorKind` of each request that is rejected before it is complete.
    on_fault : callable, optional
        Called with each unhandled exception of `on_request` and each error of accepting.
    render_error : callable, optional
        Returns status, headers and body of the response for a `RequestError`.
    memory : MemoryAccount, optional
        Account of what the connections hold, which servers of a process share.

    Attributes
    ----------
    limits : ServerLimits
        May be replaced at any time; the new limits apply from the next request of a connection.
    closing : bool
        If True, each connection is closed after its current response.
    must_close : callable
        Returns True if the connection of a response is closed after it.
    """

    def __init__(
        self,
        bind: tuple[str, int],
        on_request: Callable[[InboundRequest, Exchange], None],
        timers: TimerService,
        limits: ServerLimits | None = None,
        count_rejection: Callable[[ErrorKind], None] = lambda kind: None,
        on_fault: Callable[[Exception], None] = lambda exc: None,
        channel: str = "http-server",
        render_error: Callable[[RequestError], RenderedError] = render_default_error,
        memory: MemoryAccount | None = None,
    ):
        super().__init__(channel=channel)
        self.timers = timers
        self.limits = limits or ServerLimits()
        self.memory = memory or MemoryAccount(DEFAULT_MEMORY_BYTES)
        self.closing = False
        self.must_close: Callable[[], bool] = lambda: False
        self.render_error = render_error
        self.count_rejection = count_rejection
        self._on_request = on_request
        self._on_fault = on_fault
        self._connections: dict[socket.socket, CallerConnection] = {}
        # Connections without a request, those that have been idle for longest first.
        self._idle: dict[socket.socket, None] = {}
        self._sockets = ServerSockets(bind, self, timers, READ_BYTES, on_fault, channel).register(
            self
        )
        self._sockets.make_room = self._close_longest_idle

    @property
    def port(self) -> int:
        """Port that the server listens on."""
        return self._sockets.port

    def set_refusal(
        self,
        must_refuse: Callable[[float], bool | None],
        take_over: Callable[[socket.socket, float, bool], bool] = (
            lambda sock, waited, is_refused: False
        ),
    ) -> None:
        """Set the functions that decide on a new connection, and on one that is refused.

        Parameters
        ----------
        must_refuse : callable
            Gets the seconds for which the connection has waited to be accepted; returns None while
            none is refused.
        take_over : callable
            Gets each new connection while some are refused, the seconds for which it has waited,
            and whether it is refused. Returns True if it has passed the connection on; a refused
            one is reset unread otherwise.
        """
        self._sockets.must_refuse = must_refuse
        self._sockets.take_over = take_over

    def limit_connections(self, count: int) -> None:
        """Set the maximum number of open connections; idle ones are closed for new ones."""
        self._sockets.max_connections = count

    @property
    def connections(self) -> int:
        """Number of open connections."""
        return len(self._connections)

    def dispatch(self, req: InboundRequest, exchange: Exchange) -> None:
        """Pass a request to the handler; an exception is answered with an error response.

        Notes
        -----
        A handler that listens for the end of the connection has accepted the request, so that its
        error does not refuse it. It is told that its caller has gone, as nothing that it still
        sends reaches the caller.
        """
        try:
            self._on_request(req, exchange)
        except Exception as exc:  # the caller must get a response in any case
            listener = exchange.on_disconnect
            if isinstance(exc, RequestError) and listener is None:
                exchange.respond(*self.render_error(exc))
                return
            self._on_fault(exc)
            exchange.respond(*self.render_error(RequestError(ErrorKind.INTERNAL)))
            if listener is not None:
                listener()

    def count_unsent(self, sock) -> int:
        """Return the number of response bytes queued on `sock`."""
        return self._sockets.unsent_bytes.get(sock, 0)

    def send(self, sock: socket.socket, data: bytes) -> None:
        """Queue bytes for `sock`.

        Notes
        -----
        A direct call instead of an event: the bytes are counted before the next chunk is produced.
        """
        self._sockets.write(sock, data)

    def set_reading(self, sock: socket.socket, is_reading: bool) -> None:
        """Stop to read from `sock`, or read from it again."""
        self._sockets.set_reading(sock, is_reading)

    def read_slowly(self, sock: socket.socket) -> None:
        """Read few bytes of `sock` at once, since they take long to decode."""
        self._sockets.limit_reads(sock, SLOW_READ_BYTES)

    def close_after_sending(self, sock: socket.socket) -> None:
        """Close `sock` after its queued bytes have been sent."""
        self._sockets.close(sock)

    def close_rejected(self, sock: socket.socket) -> None:
        """Close `sock` like `close_after_sending`, though its caller may still send."""
        self._sockets.close(sock, lingers=True)

    def mark_idle(self, sock: socket.socket) -> None:
        """Record that a connection has no request."""
        self._idle[sock] = None

    def mark_busy(self, sock: socket.socket) -> None:
        """Record that a request arrives on a connection."""
        self._idle.pop(sock, None)

    def _close_longest_idle(self) -> None:
        """Close the connection that has been idle for longest, and on which nothing arrives."""
        before = self._sockets.count_open()
        for sock in list(itertools.islice(self._idle, MAX_CLOSED_AT_ONCE)):
            self._idle.pop(sock, None)
            self.close_if_idle(sock)
            if self._sockets.count_open() < before:
                return

    def close_idle(self) -> int:
        """Close the connections without a request and return the number of those found idle."""
        idle = [sock for sock, conn in self._connections.items() if conn.is_idle]
        for sock in idle:
            self.close_if_idle(sock)
        return len(idle)

    def reject_incomplete(self, exc: RequestError) -> int:
        """Reject all partially received requests and return their number."""
        return sum(conn.reject_incomplete(exc) for conn in list(self._connections.values()))

    def close_if_idle(self, sock: socket.socket) -> None:
        """Close an idle connection, unless a request has arrived on it.

        Notes
        -----
        Bytes in the kernel's receive buffer are read first. Otherwise a request that arrived before
        the close would be lost and its caller would see a reset.
        """
        conn = self._connections.get(sock)
        if conn is None:
            return
        request_count = conn.request_count
        self._sockets.read_available(sock)
        if conn.is_idle and conn.request_count == request_count:
            self.close_after_sending(sock)

    def drop(self, sock: socket.socket) -> None:
        """Close `sock` without sending its queued bytes."""
        self._sockets.drop(sock)

    def accepted(self, sock: socket.socket) -> None:
        """Start to read requests from a new connection."""
        conn = CallerConnection(self, sock)
        self._connections[sock] = conn
        conn.start_idle_timer()

    def received(self, sock: socket.socket, data: bytes) -> None:
        """Pass received bytes to their connection."""
        self._connections[sock].receive(data)

    def unsent_changed(self, sock: socket.socket, size: int, has_progress: bool) -> None:
        """Enter the queued bytes of a connection in the account."""
        self._connections[sock].record_unsent(size, has_progress)

    def closed(self, sock: socket.socket) -> None:
        """Remove a closed connection."""
        self._idle.pop(sock, None)
        self._connections.pop(sock).mark_closed()
