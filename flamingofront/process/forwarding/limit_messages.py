"""Datagrams by which entry processes ask one of them for a permit to send to an endpoint."""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

import orjson

from flamingofront.process.forwarding.quota_messages import Verdict
from flamingofront.request.endpoint_limits import EndpointLimit

__all__ = [
    "PermitRequest",
    "PermitReply",
    "decode_limits",
    "decode_permit_request",
    "decode_permit_reply",
    "encode_limits",
    "encode_permit_request",
    "encode_permit_reply",
    "is_permit_request",
    "is_permit_reply",
]

_QUESTION = b"L?"
_REPLY = b"L!"


@dataclass(frozen=True)
class PermitRequest:
    """Whether a request may be sent to an endpoint, or that a permit was not used.

    Parameters
    ----------
    number : int
        Number of the question at its sender; a repeated question has the same.
    limit : EndpointLimit
        What the sender knows of the endpoint's limit.
    priority : int
        Rank of the request, 0 is the most urgent; less than 0 to give a permit back.
    patience : float
        Seconds for which the request can wait for its permit.
    """

    number: int
    limit: EndpointLimit
    priority: int
    patience: float = 0.0


@dataclass(frozen=True)
class PermitReply:
    """Answer to a question.

    Parameters
    ----------
    delay : float
        Seconds after which the request may be sent, if the permit is given.
    wait : float
        Seconds after which to ask again, if it is refused.
    """

    number: int
    verdict: Verdict
    delay: float = 0.0
    wait: float = 0.0


def is_permit_request(data: bytes) -> bool:
    """Tell whether a datagram is a question for a permit."""
    return data.startswith(_QUESTION)


def is_permit_reply(data: bytes) -> bool:
    """Tell whether a datagram is a reply to such a question."""
    return data.startswith(_REPLY)


def encode_limits(limits: Iterable[EndpointLimit]) -> list[list]:
    """Return the JSON values of limits; lists without names, as they are told often."""
    return [
        [each.endpoint_id, each.started_ms, each.rate, round(each.advertised_at, 3)]
        for each in limits
    ]


def decode_limits(values: Any) -> tuple[EndpointLimit, ...]:
    """Return the limits in JSON values.

    Raises
    ------
    ValueError
        If they are malformed.
    """
    try:
        return tuple(_limit(*each) for each in values)
    except (TypeError, ValueError) as exc:
        raise ValueError(f"malformed limits: {exc!r:.100}") from exc


def _limit(endpoint_id: str, born: int, rate: float | None, named_at: float) -> EndpointLimit:
    known = None if rate is None else float(rate)
    if known is not None and known < 0:
        raise ValueError(f"a rate of {known} is none")
    return EndpointLimit(str(endpoint_id), int(born), known, float(named_at))


def encode_permit_request(question: PermitRequest) -> bytes:
    """Return the datagram of a question."""
    (limit,) = encode_limits((question.limit,))
    patience = round(question.patience, 3)
    return _QUESTION + orjson.dumps((question.number, question.priority, patience, limit))


def encode_permit_reply(reply: PermitReply) -> bytes:
    """Return the datagram of a reply."""
    times = (round(reply.delay, 3), round(reply.wait, 3))
    return _REPLY + orjson.dumps((reply.number, int(reply.verdict), *times))


def decode_permit_request(data: bytes) -> PermitRequest:
    """Return the question in a datagram; fields that a newer version has appended are ignored.

    Raises
    ------
    ValueError
        If it is malformed.
    """
    try:
        number, priority, patience, limit = orjson.loads(data[len(_QUESTION) :])[:4]
        return PermitRequest(int(number), _limit(*limit), int(priority), float(patience))
    except (TypeError, ValueError) as exc:
        raise ValueError(f"malformed question: {exc!r:.100}") from exc


def decode_permit_reply(data: bytes) -> PermitReply:
    """Return the reply in a datagram; fields that a newer version has appended are ignored.

    Raises
    ------
    ValueError
        If it is malformed.
    """
    try:
        number, verdict, delay, wait = orjson.loads(data[len(_REPLY) :])[:4]
        return PermitReply(int(number), Verdict(verdict), float(delay), float(wait))
    except (TypeError, ValueError) as exc:
        raise ValueError(f"malformed reply: {exc!r:.100}") from exc
