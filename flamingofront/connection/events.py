"""Server-sent events of completions, and the ids by which a stream is continued."""

from dataclasses import dataclass
from typing import Any

import orjson

from flamingofront.errors import ErrorKind, RequestError

__all__ = [
    "DONE_EVENT",
    "EventId",
    "encode_chunk_event",
    "encode_error_event",
    "parse_event_id",
    "encode_reattach_event",
    "encode_completion",
]

DONE_EVENT = b"data: [DONE]\n\n"


@dataclass(frozen=True)
class EventId:
    """Position in the text of a request."""

    request_id: str
    offset: int

    def __str__(self) -> str:
        return f"{self.request_id}:{self.offset}"


def parse_event_id(text: str) -> EventId:
    """Return the position that a caller names.

    Raises
    ------
    RequestError
        If the text is not ``REQUEST:OFFSET``.
    """
    request_id, colon, offset = text.rpartition(":")
    if not colon or not request_id or not offset.isdigit() or len(offset) > 9:
        raise RequestError(
            ErrorKind.MALFORMED_REQUEST, f"Last-Event-ID must be REQUEST:OFFSET, got {text[:80]!r}"
        )
    return EventId(request_id, int(offset))


def _choice(chat: bool, text: str, finish: str | None) -> dict[str, Any]:
    if chat:
        return {"index": 0, "delta": {"content": text} if text else {}, "finish_reason": finish}
    return {"index": 0, "text": text, "finish_reason": finish}


def encode_chunk_event(
    request_id: str, model: str, chat: bool, end_offset: int, text: str, finish: str | None = None
) -> bytes:
    """Return the event for a part of the text that ends at `end_offset`."""
    data = {
        "id": request_id,
        "object": "chat.completion.chunk" if chat else "text_completion",
        "model": model,
        "choices": [_choice(chat, text, finish)],
    }
    return b"id: %s:%d\ndata: %s\n\n" % (request_id.encode(), end_offset, orjson.dumps(data))


def encode_error_event(body: bytes) -> bytes:
    """Return the event that ends a stream with an error."""
    return b"event: error\ndata: " + body + b"\n\n"


def encode_reattach_event(request_id: str, offset: int) -> bytes:
    """Return the event that asks the caller to come back for the rest of the text."""
    data = {"request_id": request_id, "offset": offset, "path": f"/v1/requests/{request_id}"}
    return b"event: reattach\nid: %s:%d\nretry: 200\ndata: %s\n\n" % (
        request_id.encode(),
        offset,
        orjson.dumps(data),
    )


def encode_completion(
    request_id: str, model: str, chat: bool, text: str, prompt_tokens: int, output_tokens: int
) -> bytes:
    """Return the JSON body of a whole completion."""
    choice: dict[str, Any] = {"index": 0, "finish_reason": "stop"}
    if chat:
        choice["message"] = {"role": "assistant", "content": text}
    else:
        choice["text"] = text
    usage = {
        "prompt_tokens": prompt_tokens,
        "completion_tokens": output_tokens,
        "total_tokens": prompt_tokens + output_tokens,
    }
    data = {
        "id": request_id,
        "object": "chat.completion" if chat else "text_completion",
        "model": model,
        "choices": [choice],
        "usage": usage,
    }
    return orjson.dumps(data)
