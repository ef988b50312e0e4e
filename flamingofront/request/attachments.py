"""Where the answer of a request goes: the callers that wait for it."""

from abc import ABC, abstractmethod
from collections.abc import Callable

import orjson

from flamingofront.connection.events import (
    DONE_EVENT,
    chunk_event,
    error_event,
    reattach_event,
    whole_answer,
)
from flamingofront.connection.interfaces import Exchange
from flamingofront.connection.server import JSON_HEADERS, error_body, error_headers
from flamingofront.errors import ANSWERS, ErrorKind, RequestError
from flamingofront.request.records import ModelWork
from flamingofront.request.stored_answer import StoredAnswer

__all__ = [
    "Attachment",
    "RelayAttachment",
    "StreamAttachment",
    "WholeAttachment",
    "respond_accepted",
    "respond_error",
    "whole_completion",
]

STREAM_HEADERS = (("Content-Type", "text/event-stream"), ("Cache-Control", "no-store"))
RELAY_HEADERS = (("Content-Type", "application/x-ndjson"),)
MOVED_RETRY_SECONDS = 1.0


def respond_error(exchange: Exchange, exc: RequestError, request_id: str = "") -> None:
    """Send the table's answer for an error."""
    headers = error_headers(exc)
    if request_id:
        headers += (("X-Request-Id", request_id),)
    if exc.kind is ErrorKind.HANDED_OVER:
        headers += (("Location", f"/v1/requests/{request_id}"),)
    exchange.respond(ANSWERS[exc.kind].status, headers, error_body(exc, request_id))


def respond_accepted(exchange: Exchange, request_id: str) -> None:
    """Answer 202 with the place where the whole answer can be fetched."""
    path = f"/v1/requests/{request_id}"
    headers = (*JSON_HEADERS, ("Location", path), ("X-Request-Id", request_id))
    body = {"id": request_id, "status": "accepted", "location": path}
    exchange.respond(202, headers, orjson.dumps(body))


class Attachment(ABC):
    """One reader of a request's answer.

    Parameters
    ----------
    exchange : Exchange
        Connection to the reader.
    """

    wants_tokens = False

    def __init__(self, exchange: Exchange, request_id: str):
        self._exchange = exchange
        self._request_id = request_id
        self.on_disconnect: Callable[[Attachment], None] | None = None
        exchange.on_gone = self._on_exchange_closed

    def _on_exchange_closed(self) -> None:
        if self.on_disconnect is not None:
            self.on_disconnect(self)

    def abort(self) -> None:
        """Break the connection to the reader."""
        self.detach()
        self._exchange.abort()

    def detach(self) -> None:
        """Stop listening for the reader's departure."""
        self.on_disconnect = None
        self._exchange.on_gone = None

    def send_tokens(self, start: int, tokens: tuple[str, ...]) -> bool:
        """Pass on tokens that begin at offset `start`; False if the reader cannot keep up."""
        return True

    @abstractmethod
    def send_answer(self, answer: StoredAnswer) -> None:
        """Pass on the end of the answer."""

    def replay(self, answer: StoredAnswer) -> None:
        """Pass on an answer that was given before, in one piece."""
        headers = (("Content-Type", answer.content_type), ("X-Request-Id", self._request_id))
        self._exchange.respond(answer.status, headers, answer.body)

    def send_error(self, exc: RequestError) -> None:
        """Tell that the request ended with an error."""
        respond_error(self._exchange, exc, self._request_id)

    def send_moved(self, offset: int) -> None:
        """Tell that the request goes on at another entry VM."""
        exc = RequestError(ErrorKind.HANDED_OVER, retry_after=MOVED_RETRY_SECONDS)
        respond_error(self._exchange, exc, self._request_id)


class WholeAttachment(Attachment):
    """A caller who gets the answer in one piece."""

    def send_answer(self, answer: StoredAnswer) -> None:
        """Send the whole answer."""
        self.replay(answer)


class StreamAttachment(Attachment):
    """A caller who reads the text as server-sent events.

    Parameters
    ----------
    offset : int
        Tokens that the caller has already.
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
        """Send the tokens that the caller lacks as one event."""
        missing = tokens[max(0, self._offset - start) :]
        if not missing:
            return True
        self._start_stream()
        self._offset += len(missing)
        work = self._work
        return self._exchange.send(
            chunk_event(self._request_id, work.model, work.chat, self._offset, "".join(missing))
        )

    def send_answer(self, answer: StoredAnswer) -> None:
        """Send the last events."""
        self._start_stream()
        work = self._work
        last = chunk_event(self._request_id, work.model, work.chat, self._offset, "", "stop")
        self._exchange.send(last + DONE_EVENT)
        self._exchange.finish()

    def send_error(self, exc: RequestError) -> None:
        """Answer with the error, or end the stream with an error event."""
        if not self._has_started:
            super().send_error(exc)
            return
        self._exchange.send(error_event(error_body(exc, self._request_id)))
        self._exchange.finish()

    def send_moved(self, offset: int) -> None:
        """Ask the caller to come back for the rest."""
        self._start_stream()
        self._exchange.send(reattach_event(self._request_id, self._offset))
        self._exchange.finish()


class RelayAttachment(Attachment):
    """A peer that relays the text to a caller who came back there."""

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
        """Send the tokens that the peer lacks as one line."""
        missing = tokens[max(0, self._offset - start) :]
        if not missing:
            return True
        sent = self._send_line({"offset": self._offset, "tokens": missing})
        self._offset += len(missing)
        return sent

    def send_answer(self, answer: StoredAnswer) -> None:
        """Send the last line with the whole answer."""
        self._send_line({"done": True, "body": answer.body.decode(), "type": answer.content_type})
        self._exchange.finish()

    def send_error(self, exc: RequestError) -> None:
        """Send the error as the last line."""
        error = {"kind": exc.kind.value, "detail": exc.detail, "ran": exc.ran.value}
        self._send_line({"error": error, "retry_after": exc.retry_after})
        self._exchange.finish()

    def send_moved(self, offset: int) -> None:
        """Send that the request goes on elsewhere as the last line."""
        self._send_line({"moved": True})
        self._exchange.finish()


def whole_completion(
    request_id: str, work: ModelWork, tokens: tuple[str, ...] | list[str]
) -> StoredAnswer:
    """Return the whole answer of a completion."""
    body = whole_answer(
        request_id, work.model, work.chat, "".join(tokens), len(work.prompt), len(tokens)
    )
    return StoredAnswer(200, "application/json", body)
