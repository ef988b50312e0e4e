"""Final answers and their JSON encoding in stored rows."""

import base64
from dataclasses import dataclass
from typing import Any

__all__ = ["StoredAnswer", "answer_from_json", "answer_to_json"]


@dataclass(frozen=True)
class StoredAnswer:
    """A complete answer as sent to the caller."""

    status: int
    content_type: str
    body: bytes


def answer_to_json(answer: StoredAnswer) -> dict[str, Any]:
    """Return the JSON values of an answer."""
    body = base64.b64encode(answer.body).decode()
    return {"status": answer.status, "content_type": answer.content_type, "body": body}


def answer_from_json(data: dict[str, Any]) -> StoredAnswer:
    """Return the answer from the values that `answer_to_json` returned."""
    return StoredAnswer(data["status"], data["content_type"], base64.b64decode(data["body"]))
