"""Answers kept by the platform: small ones in their row, large ones in the object store."""

import base64
from dataclasses import dataclass
from typing import Any

from flamingofront.process.platform import Platform
from flamingofront.process.tasks import Task

__all__ = ["StoredAnswer", "load_answer", "store_answer"]

MAX_ROW_BYTES = 64 * 1024


@dataclass(frozen=True)
class StoredAnswer:
    """An answer as its caller gets it."""

    status: int
    content_type: str
    body: bytes


def store_answer(platform: Platform, name: str, answer: StoredAnswer) -> Task:
    """Store a large body as an object and return the JSON values for the row."""
    data: dict[str, Any] = {"status": answer.status, "content_type": answer.content_type}
    if len(answer.body) <= MAX_ROW_BYTES:
        data["body"] = base64.b64encode(answer.body).decode()
        return data
    yield from platform.put_object(name, answer.body)
    data["object"] = name
    return data


def load_answer(platform: Platform, data: dict[str, Any]) -> Task:
    """Return the answer that `store_answer` stored, None if its object is missing."""
    if "body" in data:
        body = base64.b64decode(data["body"])
    else:
        body = yield from platform.get_object(data["object"])
    if body is None:
        return None
    return StoredAnswer(data["status"], data["content_type"], body)
