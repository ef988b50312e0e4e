"""Consumers of the answer of a request: callers and peers that relay it."""

from abc import ABC, abstractmethod
from collections.abc import Callable

import orjson

from flamingofront.connection.events import (
    DONE_EVENT,
    encode_chunk_event,
    encode_completion,
    encode_error_event,
    encode_reattach_event,
)
from flamingofront.connection.interfaces import Exchange
from flamingofront.connection.server import JSON_HEADERS, build_error_headers, encode_error
from flamingofront.errors import ERROR_RESPONSES, ErrorKind, RequestError
from flamingofront.request.records import ModelWork
from flamingofront.request.stored_answer import StoredAnswer

__all__ = [
    "Attachment",
    "RelayAttachment",
    "StreamAttachment",
    "ResponseAttachment",
    "respond_accepted",
    "respond_error",
    "make_completion_answer",
]

STREAM_HEADERS = (("Content-Type", "text/event-stream"), ("Cache-Control", "no-store"))
RELAY_HEADERS = (("Content-Type", "application/x-ndjson"),)
MOVED_RETRY_SECONDS = 1.0


def respond_error(exchange: Exchange, exc: RequestError, request_id: str = "") -> None:
    """Send the error response for an error kind."""
    headers = build_error_headers(exc)
    if request_id:
        headers += (("X-Request-Id", request_id),)
    if exc.kind is ErrorKind.HANDED_OVER:
        headers += (("Location", f"/v1/requests/{request_id}"),)
    exchange.respond(ERROR_RESPONSES[exc.kind].status, headers, encode_error(exc, request_id))


def respond_accepted(exchange: Exchange, request_id: str) -> None:
    """Respond with 202 and the location of the future answer."""
    path = f"/v1/requests/{request_id}"
    headers = (*JSON_HEADERS, ("Location", path), ("X-Request-Id", request_id))
    body = {"id": request_id, "status": "accepted", "location": path}
    exchange.respond(202, headers, orjson.dumps(body))


class Attachment(ABC):
    """One consumer of a request's answer.

    Parameters
    ----------
    exchange : Exchange
        HTTP exchange with the consumer.
    request_id : str
        Id of the request.

    Attributes
    ----------
    wants_tokens : bool
        True if tokens are sent as they arrive.
    on_disconnect : callable or None
        Called with the attachment when the consumer disconnects.
    """

    wants_tokens = False

    def __init__(self, exchange: Exchange, request_id: str):
        self._exchange = exchange
        self._request_id = request_id
        self.on_disconnect: Callable[[Attachment], None] | None = None
        exchange.on_disconnect = self._on_exchange_closed

    def _on_exchange_closed(self) -> None:
        if self.on_disconnect is not None:
            self.on_disconnect(self)

    def abort(self) -> None:
        """Abort the connection to the consumer."""
        self.detach()
        self._exchange.abort()

    def detach(self) -> None:
        """Stop watching for the disconnection of the consumer."""
        self.on_disconnect = None
        self._exchange.on_disconnect = None

    def send_tokens(self, start: int, tokens: tuple[str, ...]) -> bool:
        """Send tokens that start at an offset; return False if the consumer reads too slowly."""
        return True

    @abstractmethod
    def send_answer(self, answer: StoredAnswer) -> None:
        """Send the complete answer, or the end of a stream."""

    def replay(self, answer: StoredAnswer) -> None:
        """Send the stored answer of an earlier request as one response."""
        headers = (("Content-Type", answer.content_type), ("X-Request-Id", self._request_id))
        self._exchange.respond(answer.status, headers, answer.body)

    def send_error(self, exc: RequestError) -> None:
        """Send the error with which the request failed."""
        respond_error(self._exchange, exc, self._request_id)

    def send_moved(self, offset: int) -> None:
        """Report that the request continues at another entry VM."""
        exc = RequestError(ErrorKind.HANDED_OVER, retry_after=MOVED_RETRY_SECONDS)
        respond_error(self._exchange, exc, self._request_id)


class ResponseAttachment(Attachment):
    """A caller that receives the answer as one response."""

    def send_answer(self, answer: StoredAnswer) -> None:
        """Send the complete answer."""
        self.replay(answer)


class StreamAttachment(Attachment):
    """A caller that receives the text as server-sent events.

    Parameters
    ----------
    offset : int
        Number of tokens that the caller has already received.
    """

    wants_tokens = True

    def __init__(self, exchange: Exchange, request_id: str, work: ModelWork, offset: int = 0):
        super().__init__(exchange, request_id)
        self._work = work
        self._offset = offset
        self._has_started = False

    def _start_stream(self) -> None:
        if not self._has_started:
            self._has_started = True
            self._exchange.begin(200, (*STREAM_HEADERS, ("X-Request-Id", self._request_id)))

    def send_tokens(self, start: int, tokens: tuple[str, ...]) -> bool:
        """Send the tokens that the caller has not received, as one event."""
        missing = tokens[max(0, self._offset - start) :]
        if not missing:
            return True
        self._start_stream()
        self._offset += len(missing)
        work = self._work
        return self._exchange.send(
            encode_chunk_event(
                self._request_id, work.model, work.chat, self._offset, "".join(missing)
            )
        )

    def send_answer(self, answer: StoredAnswer) -> None:
        """Send the final events and end the stream."""
        self._start_stream()
        work = self._work
        last = encode_chunk_event(self._request_id, work.model, work.chat, self._offset, "", "stop")
        self._exchange.send(last + DONE_EVENT)
        self._exchange.finish()

    def send_error(self, exc: RequestError) -> None:
        """Send an error response, or an error event if the stream has started."""
        if not self._has_started:
            super().send_error(exc)
            return
        self._exchange.send(encode_error_event(encode_error(exc, self._request_id)))
        self._exchange.finish()

    def send_moved(self, offset: int) -> None:
        """Send an event that asks the caller to reattach for the rest."""
        self._start_stream()
        self._exchange.send(encode_reattach_event(self._request_id, self._offset))
        self._exchange.finish()


class RelayAttachment(Attachment):
    """A peer that relays the text to a caller that has reattached there."""

    wants_tokens = True

    def __init__(self, exchange: Exchange, request_id: str, work: ModelWork, offset: int):
        super().__init__(exchange, request_id)
        self._offset = offset
        head = {"work": {"model": work.model, "chat": work.chat, "stream": work.stream}}
        exchange.begin(200, RELAY_HEADERS)
        self._send_line(head)

    def _send_line(self, data: dict) -> bool:
        return self._exchange.send(orjson.dumps(data) + b"\n")

    def send_tokens(self, start: int, tokens: tuple[str, ...]) -> bool:
        """Send the tokens that the peer has not received, as one line."""
        missing = tokens[max(0, self._offset - start) :]
        if not missing:
            return True
        sent = self._send_line({"offset": self._offset, "tokens": missing})
        self._offset += len(missing)
        return sent

    def send_answer(self, answer: StoredAnswer) -> None:
        """Send the complete answer as the last line."""
        self._send_line({"done": True, "body": answer.body.decode(), "type": answer.content_type})
        self._exchange.finish()

    def send_error(self, exc: RequestError) -> None:
        """Send the error as the last line."""
        error = {"kind": exc.kind.value, "detail": exc.detail, "ran": exc.ran.value}
        self._send_line({"error": error, "retry_after": exc.retry_after})
        self._exchange.finish()

    def send_moved(self, offset: int) -> None:
        """Report in the last line that the request continues at another entry VM."""
        self._send_line({"moved": True})
        self._exchange.finish()


def make_completion_answer(
    request_id: str, work: ModelWork, tokens: tuple[str, ...] | list[str]
) -> StoredAnswer:
    """Return the complete, unstreamed answer of a completion."""
    body = encode_completion(
        request_id, work.model, work.chat, "".join(tokens), len(work.prompt), len(tokens)
    )
    return StoredAnswer(200, "application/json", body)
