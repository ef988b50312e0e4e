"""One connection of a caller: receives its requests one at a time and sends their responses."""

import socket
from collections.abc import Callable
from typing import TYPE_CHECKING

from flamingofront.connection.interfaces import Exchange
from flamingofront.connection.request_receiver import RequestReceiver, make_memory_rejection
from flamingofront.decisions.memory_account import MemoryKind
from flamingofront.errors import ErrorKind, RequestError
from flamingofront.messages import InboundRequest
from flamingofront.process.timers import Timer

if TYPE_CHECKING:
    from flamingofront.connection.server import HTTPServer

__all__ = ["CONNECTION_BYTES", "CallerConnection"]

MAX_PIPELINED_BYTES = 16 * 1024
# A larger body is not copied to be sent together with its head.
MAX_JOINED_BYTES = 64 * 1024
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
# Memory of the state of an open connection, with a margin.
CONNECTION_BYTES = 8 * 1024


class _RequestExchange(Exchange):
    """Response channel of one request on a connection.

    Once the request is answered, what its handler still sends is dropped: it would be taken for the
    response to a later request.
    """

    def __init__(self, conn: "CallerConnection"):
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


class CallerConnection:
    """State of one caller connection.

    Parameters
    ----------
    server : HTTPServer
        Server that accepted the connection.
    sock : socket
        Connection, by which the server knows it.

    Attributes
    ----------
    request_count : int
        Number of complete requests received on this connection.
    exchange : _RequestExchange or None
        Response channel of the request that is being answered.
    """

    def __init__(self, server: "HTTPServer", sock: socket.socket):
        self._server = server
        self._sock = sock
        self._pipelined = bytearray()
        self._timer: Timer | None = None
        self._next_timer: Timer | None = None
        self._closed = False
        self.request_count = 0
        self._keep_alive = True
        self._is_rejected = False
        self._method = ""
        self.exchange: _RequestExchange | None = None
        self._holding = server.memory.open(self._on_evict)
        self._holding.record(MemoryKind.CONNECTION, CONNECTION_BYTES, server.timers.now())
        self._start_request()

    def _start_request(self) -> None:
        server = self._server
        self._receiver = RequestReceiver(server.limits, self._holding, server.timers.now)
        self._responding = False

    @property
    def is_idle(self) -> bool:
        """True if no request is being received or answered."""
        return not self._is_busy and self._receiver.is_empty

    @property
    def _is_busy(self) -> bool:
        """True while a request is answered, or the next one has been read already."""
        return self._responding or self._next_timer is not None

    def start_idle_timer(self) -> None:
        """Close the connection if no request starts within the idle timeout."""
        self._server.mark_idle(self._sock)
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
        if self._receiver.is_empty:
            self._server.mark_busy(self._sock)
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
        now = self._server.timers.now()
        self._holding.record(MemoryKind.PIPELINED, len(self._pipelined), now)

    def _parse_request(self, data: bytes) -> None:
        had_head = self._receiver.head is not None
        rest = self._receiver.feed(data)
        if not had_head and self._receiver.expects_continue:
            self._write(b"HTTP/1.1 100 Continue\r\n\r\n")
        if rest is not None:
            self._dispatch(rest)
        elif self._receiver.has_tiny_chunks:
            self._server.read_slowly(self._sock)
        if rest is None and not had_head and self._receiver.head is not None:
            self._set_timer(self._server.limits.request_timeout, self._on_request_timeout)

    def _dispatch(self, rest: bytes) -> None:
        self._timer.cancel()
        self._responding = True
        self.request_count += 1
        if rest:
            self._buffer_data(rest)
        receiver = self._receiver
        head = receiver.head
        self._keep_alive = head.keep_alive
        self._method = head.method
        self._holding.move(MemoryKind.RECEIVING, MemoryKind.REQUEST, receiver.size)
        req = InboundRequest(
            head.method,
            head.path,
            head.query,
            head.headers,
            receiver.take_body(),
            head.target,
            head.fields,
            receiver.head_received_at,
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
        self._drop_request()
        self._responding = True
        self._keep_alive = False
        self._is_rejected = True
        self.respond(*self._server.render_error(exc))

    def _drop_request(self) -> None:
        """Drop what has been received of an incomplete request."""
        self._holding.release(MemoryKind.RECEIVING)
        self._start_request()

    def _on_evict(self) -> None:
        """End the connection, because the memory that it holds is needed."""
        if MemoryKind.UNSENT in self._holding.sizes:
            self._holding.release(MemoryKind.UNSENT)
            self.abort()
        else:
            self._reject(make_memory_rejection())

    def respond(self, status: int, headers: tuple[tuple[str, str], ...], body: bytes) -> None:
        """Send a complete response."""
        extra = (("Content-Length", str(len(body))),) if status != STATUS_NOT_MODIFIED else ()
        payload = b"" if self._method == "HEAD" else body
        head = self._encode_head(status, headers + extra)
        if len(payload) > MAX_JOINED_BYTES:
            self._write(head)
            self._write(payload)
        else:
            self._write(head + payload)
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

    def record_unsent(self, size: int, has_progress: bool) -> None:
        """Enter the response bytes that are queued for the caller in the account.

        Parameters
        ----------
        has_progress : bool
            True if the caller has just taken some.
        """
        now = self._server.timers.now()
        if has_progress:
            self._holding.record_progress(now)
        self._holding.record(MemoryKind.UNSENT, size, now)

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
        # The connection is referred to in cycles until they are collected.
        self._pipelined.clear()
        self._receiver.discard()
        exchange, self.exchange = self.exchange, None
        if self._responding and exchange is not None and exchange.on_disconnect is not None:
            exchange.on_disconnect()
        self._holding.close()

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
        self._holding.release(MemoryKind.REQUEST)
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
        self._holding.release(MemoryKind.PIPELINED)
        self._server.set_reading(self._sock, True)
        if not (self._closed or self._responding):
            self._receive_next(data)

    def _close(self) -> None:
        if self._closed:
            return
        if self._is_rejected:
            self._server.close_rejected(self._sock)
        else:
            self._server.close_after_sending(self._sock)
