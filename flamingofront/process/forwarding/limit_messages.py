"""Datagrams that request and grant permits to send to rate-limited endpoints."""

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

_REQUEST = b"L?"
_REPLY = b"L!"


@dataclass(frozen=True)
class PermitRequest:
    """Request for a permit to send to an endpoint, or return of an unused permit.

    Parameters
    ----------
    number : int
        Number of the request at its sender; a duplicate has the same.
    limit : EndpointLimit
        The endpoint's limit as cached by the sender.
    priority : int
        Priority of the request, 0 is the most urgent; negative to return a permit.
    patience : float
        Seconds for which the request can wait for its permit.
    hold_seconds : float
        Longest time for which the request may run.
    """

    number: int
    limit: EndpointLimit
    priority: int
    patience: float = 0.0
    hold_seconds: float = 0.0


@dataclass(frozen=True)
class PermitReply:
    """Reply to a permit request.

    Parameters
    ----------
    delay : float
        Seconds after which the request may be sent, if the permit is granted.
    wait : float
        Seconds after which to ask again, if it is rejected.
    """

    number: int
    verdict: Verdict
    delay: float = 0.0
    wait: float = 0.0


def is_permit_request(data: bytes) -> bool:
    """Return True if a datagram is a permit request."""
    return data.startswith(_REQUEST)


def is_permit_reply(data: bytes) -> bool:
    """Return True if a datagram is a reply to a permit request."""
    return data.startswith(_REPLY)


def encode_limits(limits: Iterable[EndpointLimit]) -> list[list]:
    """Return limits as JSON values; lists without keys, since limits are sent often."""
    return [
        [each.endpoint_id, each.started_ms, each.rate, round(each.advertised_at, 3)]
        + ([] if each.max_rejections is None else [each.max_rejections])
        for each in limits
    ]


def decode_limits(values: Any) -> tuple[EndpointLimit, ...]:
    """Return the limits in JSON values.

    Raises
    ------
    ValueError
        If the values are malformed.
    """
    try:
        return tuple(_parse_limit(*each) for each in values)
    except (TypeError, ValueError) as exc:
        raise ValueError(f"malformed limits: {exc!r:.100}") from exc


def _parse_limit(
    endpoint_id: str,
    started_ms: int,
    rate: float | None,
    advertised_at: float,
    max_rejections: int | None = None,
) -> EndpointLimit:
    """Return the limit with the given JSON values; raises ValueError if one is negative."""
    checked_rate = None if rate is None else float(rate)
    if checked_rate is not None and checked_rate < 0:
        raise ValueError(f"rate is {checked_rate}, expected at least 0")
    checked_count = None if max_rejections is None else int(max_rejections)
    if checked_count is not None and checked_count < 0:
        raise ValueError(f"rejections are {checked_count}, expected at least 0")
    return EndpointLimit(
        str(endpoint_id), int(started_ms), checked_rate, float(advertised_at), checked_count
    )


def encode_permit_request(request: PermitRequest) -> bytes:
    """Return the datagram of a permit request."""
    (limit,) = encode_limits((request.limit,))
    patience = round(request.patience, 3)
    hold = round(request.hold_seconds, 3)
    return _REQUEST + orjson.dumps((request.number, request.priority, patience, limit, hold))


def encode_permit_reply(reply: PermitReply) -> bytes:
    """Return the datagram of a permit reply."""
    times = (round(reply.delay, 3), round(reply.wait, 3))
    return _REPLY + orjson.dumps((reply.number, int(reply.verdict), *times))


def decode_permit_request(data: bytes) -> PermitRequest:
    """Return the permit request in a datagram; fields added by newer versions are ignored.

    Raises
    ------
    ValueError
        If the datagram is malformed.
    """
    try:
        # Older versions do not send the last field.
        number, priority, patience, limit, hold = (*orjson.loads(data[len(_REQUEST) :]), 0.0)[:5]
        return PermitRequest(
            int(number), _parse_limit(*limit), int(priority), float(patience), float(hold)
        )
    except (TypeError, ValueError) as exc:
        raise ValueError(f"malformed permit request: {exc!r:.100}") from exc


def decode_permit_reply(data: bytes) -> PermitReply:
    """Return the permit reply in a datagram; fields added by newer versions are ignored.

    Raises
    ------
    ValueError
        If the datagram is malformed.
    """
    try:
        number, verdict, delay, wait = orjson.loads(data[len(_REPLY) :])[:4]
        return PermitReply(int(number), Verdict(verdict), float(delay), float(wait))
    except (TypeError, ValueError) as exc:
        raise ValueError(f"malformed permit reply: {exc!r:.100}") from exc
