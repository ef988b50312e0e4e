"""Where the answer of a request goes: the callers that wait for it."""

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
    headers = build_error_headers(exc)
    if request_id:
        headers += (("X-Request-Id", request_id),)
    if exc.kind is ErrorKind.HANDED_OVER:
        headers += (("Location", f"/v1/requests/{request_id}"),)
    exchange.respond(ERROR_RESPONSES[exc.kind].status, headers, encode_error(exc, request_id))


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
        self.on_gone: Callable[[Attachment], None] | None = None
        exchange.on_disconnect = self._gone

    def _gone(self) -> None:
        if self.on_gone is not None:
            self.on_gone(self)

    def abort(self) -> None:
        """Break the connection to the reader."""
        self.detach()
        self._exchange.abort()

    def detach(self) -> None:
        """Stop listening for the reader's departure."""
        self.on_gone = None
        self._exchange.on_disconnect = None

    def tokens(self, start: int, tokens: tuple[str, ...]) -> bool:
        """Pass on tokens that begin at offset `start`; False if the reader cannot keep up."""
        return True

    @abstractmethod
    def complete(self, answer: StoredAnswer) -> None:
        """Pass on the end of the answer."""

    def repeat(self, answer: StoredAnswer) -> None:
        """Pass on an answer that was given before, in one piece."""
        headers = (("Content-Type", answer.content_type), ("X-Request-Id", self._request_id))
        self._exchange.respond(answer.status, headers, answer.body)

    def failed(self, exc: RequestError) -> None:
        """Tell that the request ended with an error."""
        respond_error(self._exchange, exc, self._request_id)

    def moved(self, offset: int) -> None:
        """Tell that the request goes on at another entry VM."""
        exc = RequestError(ErrorKind.HANDED_OVER, retry_after=MOVED_RETRY_SECONDS)
        respond_error(self._exchange, exc, self._request_id)


class WholeAttachment(Attachment):
    """A caller who gets the answer in one piece."""

    def complete(self, answer: StoredAnswer) -> None:
        """Send the whole answer."""
        self.repeat(answer)


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
        self._begun = False

    def _begin(self) -> None:
        if not self._begun:
            self._begun = True
            self._exchange.begin(200, (*STREAM_HEADERS, ("X-Request-Id", self._request_id)))

    def tokens(self, start: int, tokens: tuple[str, ...]) -> bool:
        """Send the tokens that the caller lacks as one event."""
        lacking = tokens[max(0, self._offset - start) :]
        if not lacking:
            return True
        self._begin()
        self._offset += len(lacking)
        work = self._work
        return self._exchange.send(
            encode_chunk_event(
                self._request_id, work.model, work.chat, self._offset, "".join(lacking)
            )
        )

    def complete(self, answer: StoredAnswer) -> None:
        """Send the last events."""
        self._begin()
        work = self._work
        last = encode_chunk_event(self._request_id, work.model, work.chat, self._offset, "", "stop")
        self._exchange.send(last + DONE_EVENT)
        self._exchange.finish()

    def failed(self, exc: RequestError) -> None:
        """Answer with the error, or end the stream with an error event."""
        if not self._begun:
            super().failed(exc)
            return
        self._exchange.send(encode_error_event(encode_error(exc, self._request_id)))
        self._exchange.finish()

    def moved(self, offset: int) -> None:
        """Ask the caller to come back for the rest."""
        self._begin()
        self._exchange.send(encode_reattach_event(self._request_id, self._offset))
        self._exchange.finish()


class RelayAttachment(Attachment):
    """A peer that relays the text to a caller who came back there."""

    wants_tokens = True

    def __init__(self, exchange: Exchange, request_id: str, work: ModelWork, offset: int):
        super().__init__(exchange, request_id)
        self._offset = offset
        head = {"work": {"model": work.model, "chat": work.chat, "stream": work.stream}}
        exchange.begin(200, RELAY_HEADERS)
        self._line(head)

    def _line(self, data: dict) -> bool:
        return self._exchange.send(orjson.dumps(data) + b"\n")

    def tokens(self, start: int, tokens: tuple[str, ...]) -> bool:
        """Send the tokens that the peer lacks as one line."""
        lacking = tokens[max(0, self._offset - start) :]
        if not lacking:
            return True
        sent = self._line({"offset": self._offset, "tokens": lacking})
        self._offset += len(lacking)
        return sent

    def complete(self, answer: StoredAnswer) -> None:
        """Send the last line with the whole answer."""
        self._line({"done": True, "body": answer.body.decode(), "type": answer.content_type})
        self._exchange.finish()

    def failed(self, exc: RequestError) -> None:
        """Send the error as the last line."""
        error = {"kind": exc.kind.value, "detail": exc.detail, "ran": exc.ran.value}
        self._line({"error": error, "retry_after": exc.retry_after})
        self._exchange.finish()

    def moved(self, offset: int) -> None:
        """Send that the request goes on elsewhere as the last line."""
        self._line({"moved": True})
        self._exchange.finish()


def whole_completion(
    request_id: str, work: ModelWork, tokens: tuple[str, ...] | list[str]
) -> StoredAnswer:
    """Return the whole answer of a completion."""
    body = encode_completion(
        request_id, work.model, work.chat, "".join(tokens), len(work.prompt), len(tokens)
    )
    return StoredAnswer(200, "application/json", body)
