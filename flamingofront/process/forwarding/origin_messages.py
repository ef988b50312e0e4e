"""Datagrams that announce and look up which version began a stream."""

import sys
from collections.abc import Iterable
from dataclasses import dataclass

import orjson

from flamingofront.decisions.stream_origin import StreamOrigin
from flamingofront.request.stream_origins import OriginQuery

__all__ = [
    "MAX_RECORDS_PER_DATAGRAM",
    "AnnouncedOrigin",
    "OriginReply",
    "OriginRequest",
    "decode_announcement",
    "decode_origin_reply",
    "decode_origin_request",
    "encode_announcement",
    "encode_origin_reply",
    "encode_origin_request",
    "is_announcement",
    "is_origin_datagram",
    "is_origin_reply",
]

_PREFIX = b"S"
_ANNOUNCEMENT = b"S+"
_REQUEST = b"S?"
_REPLY = b"S!"
# A record takes about 90 bytes; the datagram fits into one packet.
MAX_RECORDS_PER_DATAGRAM = 14
# Longest time in seconds that a peer may ask to be remembered or looked back.
MAX_SECONDS = 3600.0


@dataclass(frozen=True)
class AnnouncedOrigin:
    """Origin of a stream as told to another process.

    Parameters
    ----------
    age : float
        Seconds since its endpoint was chosen.
    seconds : float
        Seconds for which to keep the record.
    """

    key: str
    origin: StreamOrigin
    age: float
    seconds: float


@dataclass(frozen=True)
class OriginRequest:
    """Request for the origin of a stream; the number identifies it at its sender."""

    number: int
    query: OriginQuery


@dataclass(frozen=True)
class OriginReply:
    """Reply to a request for the origin of a stream.

    Parameters
    ----------
    found : AnnouncedOrigin or None
        Record of the stream; None if the process has none.
    versions : frozenset of (str, str)
        Services and versions that the process has seen while the stream can have begun.
    is_complete : bool
        True if it has seen all of them.
    """

    number: int
    found: AnnouncedOrigin | None = None
    versions: frozenset[tuple[str, str]] = frozenset()
    is_complete: bool = False


def is_origin_datagram(data: bytes) -> bool:
    """Return True if a datagram is about the origins of streams."""
    return data.startswith(_PREFIX)


def is_announcement(data: bytes) -> bool:
    """Return True if a datagram announces origins."""
    return data.startswith(_ANNOUNCEMENT)


def is_origin_reply(data: bytes) -> bool:
    """Return True if a datagram replies to a request for an origin."""
    return data.startswith(_REPLY)


def _encode_record(each: AnnouncedOrigin) -> list:
    origin = each.origin
    return [
        each.key,
        origin.version,
        origin.service,
        origin.endpoint_id,
        origin.attempt,
        round(each.age, 3),
        round(each.seconds, 1),
    ]


def _decode_record(values: list) -> AnnouncedOrigin:
    """Return the record in JSON values; fields added by newer versions are ignored."""
    key, version, service, endpoint_id, attempt, age, seconds = values[:7]
    # Many records have the same names.
    names = (sys.intern(str(each)) for each in (version, service, endpoint_id))
    origin = StreamOrigin(*names, int(attempt))
    return AnnouncedOrigin(str(key), origin, _check_seconds(age), _check_seconds(seconds))


def _check_seconds(value: float) -> float:
    seconds = float(value)
    if not 0 <= seconds <= MAX_SECONDS:
        raise ValueError(f"{seconds} s is out of range")
    return seconds


def encode_announcement(records: Iterable[AnnouncedOrigin]) -> bytes:
    """Return the datagram that announces origins."""
    return _ANNOUNCEMENT + orjson.dumps([_encode_record(each) for each in records])


def decode_announcement(data: bytes) -> tuple[AnnouncedOrigin, ...]:
    """Return the origins in a datagram.

    Raises
    ------
    ValueError
        If the datagram is malformed.
    """
    try:
        return tuple(_decode_record(each) for each in orjson.loads(data[len(_ANNOUNCEMENT) :]))
    except (TypeError, ValueError) as exc:
        raise ValueError(f"malformed announcement of origins: {exc!r:.100}") from exc


def encode_origin_request(request: OriginRequest) -> bytes:
    """Return the datagram of a request."""
    query = request.query
    return _REQUEST + orjson.dumps([request.number, query.key, query.services, query.timeout])


def decode_origin_request(data: bytes) -> OriginRequest:
    """Return the request in a datagram; fields added by newer versions are ignored.

    Raises
    ------
    ValueError
        If the datagram is malformed.
    """
    try:
        number, key, services, timeout = orjson.loads(data[len(_REQUEST) :])[:4]
        names = tuple(str(each) for each in services)
        return OriginRequest(int(number), OriginQuery(str(key), names, _check_seconds(timeout)))
    except (TypeError, ValueError) as exc:
        raise ValueError(f"malformed request for an origin: {exc!r:.100}") from exc


def encode_origin_reply(reply: OriginReply) -> bytes:
    """Return the datagram of a reply."""
    found = None if reply.found is None else _encode_record(reply.found)
    values = [reply.number, found, sorted(reply.versions), reply.is_complete]
    return _REPLY + orjson.dumps(values)


def decode_origin_reply(data: bytes) -> OriginReply:
    """Return the reply in a datagram; fields added by newer versions are ignored.

    Raises
    ------
    ValueError
        If the datagram is malformed.
    """
    try:
        number, found, versions, is_complete = orjson.loads(data[len(_REPLY) :])[:4]
        return OriginReply(
            int(number),
            None if found is None else _decode_record(found),
            frozenset((str(service), str(version)) for service, version in versions),
            bool(is_complete),
        )
    except (TypeError, ValueError) as exc:
        raise ValueError(f"malformed reply on an origin: {exc!r:.100}") from exc
