"""HTTP server that passes only complete and well-formed requests to its handler.

A connection serves one request at a time: bytes that arrive before the response is complete are
buffered and parsed as the next request afterwards. All limits (head, body, time, unsent response
bytes) are enforced here.
"""

import math
import socket
from collections.abc import Callable
from dataclasses import dataclass

import orjson
from circuits import BaseComponent

from flamingofront.connection.framing import (
    MAX_HEAD_BYTES,
    BodyDecoder,
    Head,
    HeadBuffer,
    create_request_decoder,
)
from flamingofront.connection.interfaces import Exchange
from flamingofront.connection.sockets import ConnectionListener, ServerSockets
from flamingofront.errors import ERROR_RESPONSES, ErrorKind, Executed, RequestError
from flamingofront.messages import InboundRequest
from flamingofront.process.timers import Timer, TimerService

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
MAX_PIPELINED_BYTES = 64 * 1024
STATUS_NOT_MODIFIED = 304
REASONS = {
    200: "OK",
    202: "Accepted",
    304: "Not Modified",
    400: "Bad Request",
    401: "Unauthorized",
    404: "Not Found",
    405: "Method Not Allowed",
    408: "Request Timeout",
    409: "Conflict",
    413: "Content Too Large",
    422: "Unprocessable Content",
    429: "Too Many Requests",
    431: "Request Header Fields Too Large",
    500: "Internal Server Error",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}
JSON_HEADERS = (("Content-Type", "application/json"),)


@dataclass(frozen=True)
class ServerLimits:
    """Limits of one server.

    Parameters
    ----------
    max_body : int
        Maximum size of a request body in bytes.
    request_timeout : float
        Seconds to receive a request head, and again to receive the body.
    idle_timeout : float
        Seconds after which a connection without a request is closed.
    max_unsent_bytes : int
        Maximum number of response bytes that are queued for a slow caller.
    max_head : int
        Maximum size of a request head in bytes.
    """

    max_body: int = 8 * 1024 * 1024
    request_timeout: float = 10.0
    idle_timeout: float = 75.0
    max_unsent_bytes: int = 1024 * 1024
    max_head: int = MAX_HEAD_BYTES


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


class _RequestExchange(Exchange):
    """Response channel of one request on a connection.

    Once the request is answered, what its handler still sends is dropped: it would be taken for the
    response to a later request.
    """

    def __init__(self, conn: "_Connection"):
        self._conn = conn
        self.on_disconnect = None

    @property
    def _is_open(self) -> bool:
        return self._conn.exchange is self

    def respond(self, status: int, headers: tuple[tuple[str, str], ...], body: bytes) -> None:
        """Send a complete response."""
        if self._is_open:
            self._conn.respond(status, headers, body)

    def begin(self, status: int, headers: tuple[tuple[str, str], ...]) -> None:
        """Start a streamed response by sending its head."""
        if self._is_open:
            self._conn.begin(status, headers)

    def send(self, data: bytes) -> bool:
        """Send one chunk; return False if the caller disconnected or reads too slowly."""
        return self._is_open and self._conn.send(data)

    def finish(self) -> None:
        """End a streamed response."""
        if self._is_open:
            self._conn.finish()

    def abort(self) -> None:
        """Close the connection at once, without sending queued bytes."""
        if self._is_open:
            self._conn.abort()


class _Connection:
    """State of one caller connection.

    Attributes
    ----------
    request_count : int
        Number of complete requests received on this connection.
    exchange : _RequestExchange or None
        Response channel of the request that is being answered.
    """

    def __init__(self, server: "HTTPServer", sock):
        self._server = server
        self._sock = sock
        self._pipelined = bytearray()
        self._timer: Timer | None = None
        self._next_timer: Timer | None = None
        self._closed = False
        self.request_count = 0
        self._keep_alive = True
        self._method = ""
        self.exchange: _RequestExchange | None = None
        self._start_request()

    def _start_request(self) -> None:
        self._heads = HeadBuffer(is_request=True, max_bytes=self._server.limits.max_head)
        self._head: Head | None = None
        self._decoder: BodyDecoder | None = None
        self._body = bytearray()
        self._responding = False
        self._head_received_at = 0.0

    @property
    def is_idle(self) -> bool:
        """True if no request is being received or answered."""
        return not self._is_busy and self._head is None and self._heads.is_empty

    @property
    def _is_busy(self) -> bool:
        """True while a request is answered, or the next one has been read already."""
        return self._responding or self._next_timer is not None

    def start_idle_timer(self) -> None:
        """Close the connection if no request starts within the idle timeout."""
        self._set_timer(
            self._server.limits.idle_timeout, lambda: self._server.close_if_idle(self._sock)
        )

    def _set_timer(self, delay: float, callback: Callable[[], None]) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self._server.timers.once(delay, callback)

    def receive(self, data: bytes) -> None:
        """Handle bytes received from the socket."""
        if self._is_busy:
            self._buffer_data(data)
        else:
            self._receive_next(data)

    def _receive_next(self, data: bytes) -> None:
        """Handle bytes of the next request."""
        if self._head is None and self._heads.is_empty:
            self._set_timer(self._server.limits.request_timeout, self._on_request_timeout)
        try:
            self._parse_request(data)
        except RequestError as exc:
            self._reject(exc)

    def _buffer_data(self, data: bytes) -> None:
        self._pipelined += data
        if len(self._pipelined) > MAX_PIPELINED_BYTES:
            # The request in progress is still answered; what follows waits in the caller's socket.
            self._server.set_reading(self._sock, False)

    def _parse_request(self, data: bytes) -> None:
        if self._head is None:
            result = self._heads.feed(data)
            if result is None:
                return
            self._head, data = result
            self._head_received_at = self._server.timers.now()
            self._set_timer(self._server.limits.request_timeout, self._on_request_timeout)
            self._decoder = create_request_decoder(self._head, self._server.limits.max_body)
            if self._head.headers.get("expect", "").lower() == "100-continue":
                self._write(b"HTTP/1.1 100 Continue\r\n\r\n")
        body, rest = self._decoder.feed(data)
        self._body += body
        if len(self._body) > self._server.limits.max_body:
            raise RequestError(
                ErrorKind.BODY_TOO_LARGE,
                f"the body is over {self._server.limits.max_body} bytes",
            )
        if self._decoder.complete:
            self._dispatch(rest)

    def _dispatch(self, rest: bytes) -> None:
        self._timer.cancel()
        self._responding = True
        self.request_count += 1
        self._pipelined += rest
        head = self._head
        self._keep_alive = head.keep_alive
        self._method = head.method
        req = InboundRequest(
            head.method,
            head.path,
            head.query,
            head.headers,
            bytes(self._body),
            head.target,
            head.fields,
            self._head_received_at,
        )
        self.exchange = _RequestExchange(self)
        self._server.dispatch(req, self.exchange)

    def _on_request_timeout(self) -> None:
        self._reject(RequestError(ErrorKind.REQUEST_TIMEOUT, retry_after=1.0))

    def reject_incomplete(self, exc: RequestError) -> bool:
        """Reject a partially received request; return False if there is none."""
        is_incomplete = not self.is_idle and not self._responding and not self._closed
        if is_incomplete:
            self._reject(exc)
        return is_incomplete

    def _reject(self, exc: RequestError) -> None:
        """Send an error response and close, since the end of the request is unknown."""
        self._timer.cancel()
        self._server.count_rejection(exc.kind)
        self._responding = True
        self._keep_alive = False
        self.respond(*self._server.render_error(exc))

    def respond(self, status: int, headers: tuple[tuple[str, str], ...], body: bytes) -> None:
        """Send a complete response."""
        extra = (("Content-Length", str(len(body))),) if status != STATUS_NOT_MODIFIED else ()
        payload = b"" if self._method == "HEAD" else body
        self._write(self._encode_head(status, headers + extra) + payload)
        self._finish_response()

    def begin(self, status: int, headers: tuple[tuple[str, str], ...]) -> None:
        """Start a streamed response by sending its head."""
        self._write(self._encode_head(status, (*headers, ("Transfer-Encoding", "chunked"))))

    def send(self, data: bytes) -> bool:
        """Send one chunk; return False if the caller disconnected or reads too slowly."""
        if self._closed:
            return False
        if not data:
            return True
        self._write(b"%x\r\n%b\r\n" % (len(data), data))
        return self._server.count_unsent(self._sock) <= self._server.limits.max_unsent_bytes

    def finish(self) -> None:
        """End a streamed response."""
        self._write(b"0\r\n\r\n")
        self._finish_response()

    def abort(self) -> None:
        """Close the connection at once, without sending queued bytes."""
        self._server.drop(self._sock)

    def mark_closed(self) -> None:
        """Record that the socket is closed and notify the handler of a pending response."""
        self._closed = True
        for timer in (self._timer, self._next_timer):
            if timer is not None:
                timer.cancel()
        exchange, self.exchange = self.exchange, None
        if self._responding and exchange is not None and exchange.on_disconnect is not None:
            exchange.on_disconnect()

    def _encode_head(self, status: int, headers: tuple[tuple[str, str], ...]) -> bytes:
        lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}"]
        lines += [f"{name}: {value}" for name, value in headers]
        if self._server.closing or self._server.must_close():
            self._keep_alive = False
        if not self._keep_alive:
            lines.append("Connection: close")
        return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1", "replace")

    def _write(self, data: bytes) -> None:
        if not self._closed:
            self._server.send(self._sock, data)

    def _finish_response(self) -> None:
        if self._closed:
            return
        self.exchange = None
        if not self._keep_alive:
            self._close()
            return
        self._start_request()
        self.start_idle_timer()
        if self._pipelined:
            # Not at once: each request that is answered at once would nest in the one before it.
            self._next_timer = self._server.timers.once(0.0, self._receive_pipelined)

    def _receive_pipelined(self) -> None:
        """Handle the bytes that arrived before the last response was complete."""
        self._next_timer = None
        data = bytes(self._pipelined)
        self._pipelined.clear()
        self._server.set_reading(self._sock, True)
        if not (self._closed or self._responding):
            self._receive_next(data)

    def _close(self) -> None:
        if not self._closed:
            self._server.close_after_sending(self._sock)


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
    ):
        super().__init__(channel=channel)
        self.timers = timers
        self.limits = limits or ServerLimits()
        self.closing = False
        self.must_close: Callable[[], bool] = lambda: False
        self.render_error = render_error
        self.count_rejection = count_rejection
        self._on_request = on_request
        self._on_fault = on_fault
        self._connections: dict = {}
        self._sockets = ServerSockets(bind, self, timers, READ_BYTES, on_fault, channel).register(
            self
        )

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

    def close_after_sending(self, sock: socket.socket) -> None:
        """Close `sock` after its queued bytes have been sent."""
        self._sockets.close(sock)

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
        conn = _Connection(self, sock)
        self._connections[sock] = conn
        conn.start_idle_timer()

    def received(self, sock: socket.socket, data: bytes) -> None:
        """Pass received bytes to their connection."""
        self._connections[sock].receive(data)

    def closed(self, sock: socket.socket) -> None:
        """Remove a closed connection."""
        self._connections.pop(sock).mark_closed()
