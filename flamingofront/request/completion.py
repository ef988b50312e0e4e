"""Parsing and validation of completion requests."""

import re
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

import orjson

from flamingofront.errors import ErrorKind, RequestError
from flamingofront.messages import InboundRequest

__all__ = ["CallerOptions", "Completion", "parse_completion", "parse_options"]

MAX_OUTPUT_TOKENS = 32_768
DEFAULT_OUTPUT_TOKENS = 64
MAX_KEY_LENGTH = 255
MAX_DEADLINE_SECONDS = 86_400.0
DEADLINE_HEADER = "x-deadline"
_TOKEN = re.compile(r"\s*\S+|\s+$")


@dataclass(frozen=True)
class Completion:
    """Parameters of a completion request.

    Parameters
    ----------
    prompt : tuple of str
        Prompt, split into tokens that join to the same text.
    chat : bool
        Format of the answer: chat completion if True, else text completion.
    """

    model: str
    prompt: tuple[str, ...]
    max_tokens: int
    stream: bool
    chat: bool


@dataclass(frozen=True)
class CallerOptions:
    """Options in the headers of a request.

    Parameters
    ----------
    key : str
        Idempotency key; empty if there is none.
    deadline : float or None
        Seconds that the caller waits.
    respond_async : bool
        True if the caller fetches the answer later.
    """

    key: str = ""
    deadline: float | None = None
    respond_async: bool = False


def _malformed_error(detail: str) -> RequestError:
    return RequestError(ErrorKind.MALFORMED_REQUEST, detail)


def parse_options(req: InboundRequest) -> CallerOptions:
    """Return the options in the headers of a request.

    Raises
    ------
    RequestError
        If the value of a header is invalid.
    """
    key = req.header("idempotency-key")
    if "idempotency-key" in req.headers and not key.strip():
        raise _malformed_error("Idempotency-Key is empty")
    if len(key) > MAX_KEY_LENGTH or not key.isprintable():
        raise _malformed_error(
            f"Idempotency-Key must be up to {MAX_KEY_LENGTH} printable characters"
        )
    preferences = [each.strip().lower() for each in req.header("prefer").split(",")]
    return CallerOptions(key, _parse_deadline(req), "respond-async" in preferences)


def _parse_deadline(req: InboundRequest) -> float | None:
    text = req.headers.get(DEADLINE_HEADER)
    if text is None:
        return None
    try:
        value = float(text)
    except ValueError:
        value = -1.0
    if not 0 < value <= MAX_DEADLINE_SECONDS:
        raise _malformed_error(f"X-Deadline must be seconds above 0, got {text[:40]!r}")
    return value


def _parse_json(body: bytes) -> Mapping[str, Any]:
    try:
        data = orjson.loads(body)
    except orjson.JSONDecodeError as exc:
        raise _malformed_error(f"the body is not valid JSON: {exc}") from None
    if not isinstance(data, dict):
        raise _malformed_error("the body must be a JSON object")
    return data


def parse_completion(body: bytes, chat: bool) -> Completion:
    """Return the parameters of a completion from a request body.

    Raises
    ------
    RequestError
        If a field is missing or invalid.
    """
    data = _parse_json(body)
    model = data.get("model")
    if not isinstance(model, str) or not model:
        raise _malformed_error(f"model must be a name, got {model!r}")
    stream = data.get("stream", False)
    if not isinstance(stream, bool):
        raise _malformed_error(f"stream must be true or false, got {stream!r}")
    text = _parse_chat(data) if chat else _parse_prompt(data)
    return Completion(model, tuple(_TOKEN.findall(text)), _parse_max_tokens(data), stream, chat)


def _parse_max_tokens(data: Mapping[str, Any]) -> int:
    name = "max_completion_tokens" if "max_completion_tokens" in data else "max_tokens"
    value = data.get(name, DEFAULT_OUTPUT_TOKENS)
    if isinstance(value, bool) or not isinstance(value, int):
        raise _malformed_error(f"{name} must be a whole number, got {value!r}")
    if not 1 <= value <= MAX_OUTPUT_TOKENS:
        raise _malformed_error(f"{name} must be from 1 to {MAX_OUTPUT_TOKENS}, got {value}")
    return value


def _parse_prompt(data: Mapping[str, Any]) -> str:
    prompt = data.get("prompt")
    if not isinstance(prompt, str) or not prompt:
        raise _malformed_error("prompt must be a text that is not empty")
    return prompt


def _parse_chat(data: Mapping[str, Any]) -> str:
    messages = data.get("messages")
    if not isinstance(messages, list) or not messages:
        raise _malformed_error("messages must be a list that is not empty")
    return "\n".join(_parse_message(index, each) for index, each in enumerate(messages))


def _parse_message(index: int, message: Any) -> str:
    if not isinstance(message, dict):
        raise _malformed_error(f"messages[{index}] must be an object")
    role, content = message.get("role"), message.get("content")
    if not isinstance(role, str) or not isinstance(content, str):
        raise _malformed_error(f"messages[{index}] needs a role and a content, both texts")
    return f"{role}: {content}"
