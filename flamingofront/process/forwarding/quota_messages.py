"""Datagrams by which entry processes ask one of them whether a request is within its quota."""

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

_QUESTION = b"?"
_REPLY = b"!"


class Verdict(IntEnum):
    """What an arbiter says of a request."""

    ALLOWED = 0
    REFUSED = 1
    """It is over the quota."""
    NOT_HERE = 2
    """The process does not decide on this workspace: another one is to be asked."""


@dataclass(frozen=True)
class QuotaRequest:
    """Whether a request of a workspace may pass, or that one which was allowed has not passed.

    Parameters
    ----------
    number : int
        Number of the question at its sender; a repeated question has the same.
    units : float
        Units of the request; less than nothing to give back what was allowed.
    """

    number: int
    workspace: str
    units: float


@dataclass(frozen=True)
class QuotaReply:
    """Answer to a question.

    Parameters
    ----------
    wait : float
        Seconds after which a refused request would pass.
    state : QuotaState
        What decided.
    """

    number: int
    verdict: Verdict
    wait: float = 0.0
    state: QuotaState = QuotaState()


def is_quota_request(data: bytes) -> bool:
    """Tell whether a datagram is a question."""
    return data.startswith(_QUESTION)


def is_quota_reply(data: bytes) -> bool:
    """Tell whether a datagram is a reply."""
    return data.startswith(_REPLY)


def encode_quota_request(question: QuotaRequest) -> bytes:
    """Return the datagram of a question."""
    fields = (question.number, question.workspace, round(question.units, 3))
    return _QUESTION + orjson.dumps(fields)


def encode_quota_reply(reply: QuotaReply) -> bytes:
    """Return the datagram of a reply."""
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
    """Return the question in a datagram; fields that a newer version has appended are ignored.

    Raises
    ------
    ValueError
        If it is malformed.
    """
    try:
        number, workspace, units = orjson.loads(data[1:])[:3]
        return QuotaRequest(int(number), str(workspace), float(units))
    except (TypeError, ValueError) as exc:
        raise ValueError(f"malformed question: {exc!r:.100}") from exc


def decode_quota_reply(data: bytes) -> QuotaReply:
    """Return the reply in a datagram; fields that a newer version has appended are ignored.

    Raises
    ------
    ValueError
        If it is malformed.
    """
    try:
        values = orjson.loads(data[1:])
        number, verdict, *figures = values[:6]
        wait, bucket, taken, limit = (float(each) for each in figures)
        state = QuotaState(bucket, taken, limit, *_further(values[6:9]))
        return QuotaReply(int(number), Verdict(verdict), wait, state)
    except (TypeError, ValueError) as exc:
        raise ValueError(f"malformed reply: {exc!r:.100}") from exc


def _further(values: list) -> tuple[float, float, QuotaRejectReason, float | None]:
    """Return the further fields of a state; a process of an earlier version tells none."""
    if len(values) < 3:
        return 1.0, 0.0, QuotaRejectReason.NONE, None
    heard_share, rule, since_start = values
    left = None if since_start is None else float(since_start)
    return float(heard_share), 0.0, QuotaRejectReason(rule), left
