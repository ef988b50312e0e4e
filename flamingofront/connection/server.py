"""Guarded HTTP server over circuits sockets.

One request at a time on a connection: bytes that arrive while an answer is outstanding wait, and
are read as the next request after the answer. Every limit (head, body, time, unread answer) is
kept here, so that no handler sees a request that is not complete and well framed.
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
    request_decoder,
)
from flamingofront.connection.interfaces import Exchange
from flamingofront.connection.sockets import ConnectionListener, ServerSockets
from flamingofront.errors import ERROR_RESPONSES, ErrorKind, RequestError
from flamingofront.messages import InboundRequest
from flamingofront.process.timers import Timer, TimerService

__all__ = [
    "HTTPServer",
    "RenderedError",
    "ServerLimits",
    "render_default_error",
    "encode_error",
    "build_error_headers",
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
        Bytes of a request body.
    request_timeout : float
        Seconds from the first byte of a request head to its last, and then for the body.
    idle_timeout : float
        Seconds that a connection may be open without a request.
    max_unsent_bytes : int
        Bytes of an answer that may wait for a slow reader.
    max_head : int
        Bytes of a request head.
    """

    max_body: int = 8 * 1024 * 1024
    request_timeout: float = 10.0
    idle_timeout: float = 75.0
    max_unsent_bytes: int = 1024 * 1024
    max_head: int = MAX_HEAD_BYTES


def encode_error(exc: RequestError, request_id: str = "") -> bytes:
    """Return the JSON body that tells `exc`."""
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


def build_error_headers(exc: RequestError) -> tuple[tuple[str, str], ...]:
    """Return the headers that go with `encode_error`."""
    if exc.retry_after is None:
        return JSON_HEADERS
    seconds = max(1, math.ceil(exc.retry_after))
    return (*JSON_HEADERS, ("Retry-After", str(seconds)))


RenderedError = tuple[int, tuple[tuple[str, str], ...], bytes]


def render_default_error(exc: RequestError) -> RenderedError:
    """Return status, headers and body of the answer that tells `exc`."""
    return ERROR_RESPONSES[exc.kind].status, build_error_headers(exc), encode_error(exc)


class _Connection(Exchange):
    """State of one caller connection; also the exchange of its current request.

    Attributes
    ----------
    requests : int
        Requests that have come whole on this connection.
    """

    def __init__(self, server: "HTTPServer", sock):
        self._server = server
        self._sock = sock
        self._waiting = bytearray()
        self._timer: Timer | None = None
        self._closed = False
        self.requests = 0
        self._keep_alive = True
        self._method = ""
        self.on_disconnect = None
        self._reset()

    def _reset(self) -> None:
        self._heads = HeadBuffer(is_request=True, max_bytes=self._server.limits.max_head)
        self._head: Head | None = None
        self._decoder: BodyDecoder | None = None
        self._body = bytearray()
        self._responding = False
        self._head_at = 0.0
        self.on_disconnect = None

    @property
    def idle(self) -> bool:
        """True if no byte of a request has arrived that is still to be answered."""
        return not self._responding and self._head is None and self._heads.empty

    def watch_idle(self) -> None:
        """Close the connection if no request begins in time."""
        self._set_timer(
            self._server.limits.idle_timeout, lambda: self._server.close_if_idle(self._sock)
        )

    def _set_timer(self, delay: float, callback: Callable[[], None]) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self._server.timers.once(delay, callback)

    def receive(self, data: bytes) -> None:
        """Take bytes from the socket."""
        if self._responding:
            self._buffer_data(data)
            return
        if self._head is None and self._heads.empty:
            self._set_timer(self._server.limits.request_timeout, self._request_late)
        try:
            self._parse(data)
        except RequestError as exc:
            self._refuse(exc)

    def _buffer_data(self, data: bytes) -> None:
        self._waiting += data
        if len(self._waiting) > MAX_PIPELINED_BYTES:
            self.abort()

    def _parse(self, data: bytes) -> None:
        if self._head is None:
            result = self._heads.feed(data)
            if result is None:
                return
            self._head, data = result
            self._head_at = self._server.timers.now()
            self._set_timer(self._server.limits.request_timeout, self._request_late)
            self._decoder = request_decoder(self._head, self._server.limits.max_body)
            if self._head.headers.get("expect", "").lower() == "100-continue":
                self._write(b"HTTP/1.1 100 Continue\r\n\r\n")
        body, rest = self._decoder.feed(data)
        self._body += body
        if len(self._body) > self._server.limits.max_body:
            raise RequestError(
                ErrorKind.BODY_TOO_LARGE, f"the body is over {self._server.limits.max_body} bytes"
            )
        if self._decoder.complete:
            self._dispatch(rest)

    def _dispatch(self, rest: bytes) -> None:
        self._timer.cancel()
        self._responding = True
        self.requests += 1
        self._waiting += rest
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
            self._head_at,
        )
        self._server.dispatch(req, self)

    def _request_late(self) -> None:
        self._refuse(RequestError(ErrorKind.REQUEST_TIMEOUT, retry_after=1.0))

    def reject_incomplete(self, exc: RequestError) -> bool:
        """Refuse a request that has not come whole; False if there is none."""
        is_unread = not self.idle and not self._responding and not self._closed
        if is_unread:
            self._refuse(exc)
        return is_unread

    def _refuse(self, exc: RequestError) -> None:
        """Answer a request that could not be read, and close: its end is not known."""
        self._server.count_rejection(exc.kind)
        self._responding = True
        self._keep_alive = False
        self.respond(*self._server.render_error(exc))

    def respond(self, status: int, headers: tuple[tuple[str, str], ...], body: bytes) -> None:
        """Send a whole answer."""
        extra = (("Content-Length", str(len(body))),) if status != STATUS_NOT_MODIFIED else ()
        payload = b"" if self._method == "HEAD" else body
        self._write(self._head_bytes(status, headers + extra) + payload)
        self._answered()

    def begin(self, status: int, headers: tuple[tuple[str, str], ...]) -> None:
        """Send the head of a streamed answer."""
        self._write(self._head_bytes(status, (*headers, ("Transfer-Encoding", "chunked"))))

    def send(self, data: bytes) -> bool:
        """Send one chunk; False if the caller is gone or too far behind."""
        if self._closed:
            return False
        if not data:
            return True
        self._write(b"%x\r\n%b\r\n" % (len(data), data))
        return self._server.unsent_bytes(self._sock) <= self._server.limits.max_unsent_bytes

    def finish(self) -> None:
        """End a streamed answer."""
        self._write(b"0\r\n\r\n")
        self._answered()

    def abort(self) -> None:
        """Break the connection at once."""
        self._server.drop(self._sock)

    def gone(self) -> None:
        """Note that the socket is closed and tell who was answering."""
        self._closed = True
        if self._timer is not None:
            self._timer.cancel()
        if self._responding and self.on_disconnect is not None:
            listener, self.on_disconnect = self.on_disconnect, None
            listener()

    def _head_bytes(self, status: int, headers: tuple[tuple[str, str], ...]) -> bytes:
        lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}"]
        lines += [f"{name}: {value}" for name, value in headers]
        if self._server.closing:
            self._keep_alive = False
        if not self._keep_alive:
            lines.append("Connection: close")
        return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1", "replace")

    def _write(self, data: bytes) -> None:
        if not self._closed:
            self._server.send(self._sock, data)

    def _answered(self) -> None:
        if self._closed:
            return
        if not self._keep_alive:
            self._close()
            return
        waiting = bytes(self._waiting)
        self._waiting.clear()
        self._reset()
        self.watch_idle()
        if waiting:
            self.receive(waiting)

    def _close(self) -> None:
        if not self._closed:
            self._server.close_after_sending(self._sock)


class HTTPServer(BaseComponent, ConnectionListener):
    """Accept connections on one address and hand each complete request to `on_request`.

    Parameters
    ----------
    bind : tuple of (str, int)
        Address and port; port 0 lets the kernel pick.
    on_request : callable
        Gets the `InboundRequest` and its `Exchange`.
    count_rejection : callable, optional
        Gets the `ErrorKind` of each request that could not be read.
    render_error : callable, optional
        Returns status, headers and body of the answer for a `RequestError`.

    Attributes
    ----------
    limits : ServerLimits
        May be replaced at any time; a connection takes the new ones with its next request.
    closing : bool
        True once each answer is to be the last one of its connection.
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

    @property
    def connections(self) -> int:
        """Number of open connections."""
        return len(self._connections)

    def dispatch(self, req: InboundRequest, exchange: Exchange) -> None:
        """Hand a request over; a fault in the handler ends that request only."""
        try:
            self._on_request(req, exchange)
        except RequestError as exc:
            exchange.respond(*self.render_error(exc))
        except Exception as exc:  # a fault must not leave the caller without an answer
            self._on_fault(exc)
            exchange.respond(*self.render_error(RequestError(ErrorKind.INTERNAL)))

    def unsent_bytes(self, sock) -> int:
        """Return the number of bytes that wait for the reader of `sock`."""
        return self._sockets.unsent_bytes.get(sock, 0)

    def send(self, sock: socket.socket, data: bytes) -> None:
        """Queue bytes for `sock`.

        Notes
        -----
        Called directly, not as an event: what waits must be counted before the next chunk is made.
        """
        self._sockets.queue(sock, data)

    def close_after_sending(self, sock: socket.socket) -> None:
        """Close `sock` once what waits for it has been sent."""
        self._sockets.close(sock)

    def close_idle(self) -> int:
        """Close the connections on which no request has begun and return their number."""
        idle = [sock for sock, conn in self._connections.items() if conn.idle]
        for sock in idle:
            self.close_if_idle(sock)
        return len(idle)

    def reject_incomplete(self, exc: RequestError) -> int:
        """Refuse the requests that have not come whole and return their number."""
        return sum(conn.reject_incomplete(exc) for conn in list(self._connections.values()))

    def close_if_idle(self, sock: socket.socket) -> None:
        """Close an idle connection, unless a request has arrived on it.

        Notes
        -----
        What the kernel holds is read first. Closed at once, a connection would lose a request that
        came before its close; a caller who had sent it would see a reset.
        """
        conn = self._connections.get(sock)
        if conn is None:
            return
        requests = conn.requests
        self._sockets.read_available(sock)
        if conn.idle and conn.requests == requests:
            self.close_after_sending(sock)

    def drop(self, sock: socket.socket) -> None:
        """Close `sock` without sending what waits for it."""
        self._sockets.drop(sock)

    def accepted(self, sock: socket.socket) -> None:
        """Begin to read requests from a new connection."""
        conn = _Connection(self, sock)
        self._connections[sock] = conn
        conn.watch_idle()

    def received(self, sock: socket.socket, data: bytes) -> None:
        """Hand bytes to their connection."""
        self._connections[sock].receive(data)

    def closed(self, sock: socket.socket) -> None:
        """Forget a connection."""
        self._connections.pop(sock).gone()
