"""Datagrams that ask an arbiter whether a request is within the quota of its workspace."""

from dataclasses import dataclass
from enum import IntEnum

import orjson

from flamingofront.decisions.quota_facts import QuotaRejectReason, QuotaState

__all__ = [
    "QuotaRequest",
    "QuotaReply",
    "Verdict",
    "decode_quota_request",
    "decode_quota_reply",
    "encode_quota_request",
    "encode_quota_reply",
    "is_quota_request",
    "is_quota_reply",
]

_REQUEST = b"?"
_REPLY = b"!"


class Verdict(IntEnum):
    """Decision of an arbiter on a request."""

    ALLOWED = 0
    REFUSED = 1
    """The request is over the quota."""
    NOT_HERE = 2
    """The process is not an arbiter for the request; the sender asks another one."""


@dataclass(frozen=True)
class QuotaRequest:
    """Request to charge units to the quota of a workspace, or to return units already granted.

    Parameters
    ----------
    number : int
        Number of the request at its sender; a duplicate has the same.
    units : float
        Units to charge; negative to return granted units.
    """

    number: int
    workspace: str
    units: float


@dataclass(frozen=True)
class QuotaReply:
    """Reply to a quota request.

    Parameters
    ----------
    wait : float
        Seconds after which a rejected request would be admitted.
    state : QuotaState
        State of the quota on which the decision is based.
    """

    number: int
    verdict: Verdict
    wait: float = 0.0
    state: QuotaState = QuotaState()


def is_quota_request(data: bytes) -> bool:
    """Return True if a datagram is a quota request."""
    return data.startswith(_REQUEST)


def is_quota_reply(data: bytes) -> bool:
    """Return True if a datagram is a quota reply."""
    return data.startswith(_REPLY)


def encode_quota_request(request: QuotaRequest) -> bytes:
    """Return the datagram of a quota request."""
    fields = (request.number, request.workspace, round(request.units, 3))
    return _REQUEST + orjson.dumps(fields)


def encode_quota_reply(reply: QuotaReply) -> bytes:
    """Return the datagram of a quota reply."""
    state = reply.state
    fields = (
        reply.number,
        int(reply.verdict),
        round(reply.wait, 3),
        round(state.bucket),
        round(state.taken),
        round(state.limit),
        state.heard_share,
        state.decided_by.value,
        state.left_since_start,
    )
    return _REPLY + orjson.dumps(fields)


def decode_quota_request(data: bytes) -> QuotaRequest:
    """Return the quota request in a datagram; fields added by newer versions are ignored.

    Raises
    ------
    ValueError
        If the datagram is malformed.
    """
    try:
        number, workspace, units = orjson.loads(data[1:])[:3]
        return QuotaRequest(int(number), str(workspace), float(units))
    except (TypeError, ValueError) as exc:
        raise ValueError(f"malformed quota request: {exc!r:.100}") from exc


def decode_quota_reply(data: bytes) -> QuotaReply:
    """Return the quota reply in a datagram; fields added by newer versions are ignored.

    Raises
    ------
    ValueError
        If the datagram is malformed.
    """
    try:
        values = orjson.loads(data[1:])
        number, verdict, *figures = values[:6]
        wait, bucket, taken, limit = (float(each) for each in figures)
        state = QuotaState(bucket, taken, limit, *_later_fields(values[6:9]))
        return QuotaReply(int(number), Verdict(verdict), wait, state)
    except (TypeError, ValueError) as exc:
        raise ValueError(f"malformed quota reply: {exc!r:.100}") from exc


def _later_fields(values: list) -> tuple[float, float, QuotaRejectReason, float | None]:
    """Return the state's fields that were added later, with defaults for older senders."""
    if len(values) < 3:
        return 1.0, 0.0, QuotaRejectReason.NONE, None
    heard_share, rule, since_start = values
    left = None if since_start is None else float(since_start)
    return float(heard_share), 0.0, QuotaRejectReason(rule), left
