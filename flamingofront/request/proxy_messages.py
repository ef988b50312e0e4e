"""Messages between entry processes that proxy attempts for one another.

A process without a direct path to an endpoint sends the attempt to a peer, which sends it on and
returns the response. The parameters of the call are in the query, so that the headers and the body
are those of the attempt. A header of the response tells whether it is that of the endpoint, or that
the attempt failed; it is removed from what endpoints send.
"""

from collections.abc import Mapping
from dataclasses import dataclass, replace
from enum import StrEnum
from urllib.parse import parse_qsl, urlencode

from flamingofront.messages import (
    NO_IDLE_CONNECTION,
    STALE_ATTEMPT_SECONDS,
    OutboundCall,
    ResponseHead,
)

__all__ = [
    "BY_CONNECTION",
    "BY_RESPONSE",
    "FAILURE_HEADER",
    "PROXY_PATH",
    "REACH_PATH",
    "RESPONDS_PATH",
    "RESPONSE_HEADER",
    "STATUS_NOT_REACHED",
    "STATUS_REACHED",
    "STATUS_UNKNOWN",
    "ProxiedCall",
    "ProxyFailure",
    "ProxyRefusal",
    "decode_proxied_call",
    "decode_endpoint_response",
    "decode_proxy_failure",
    "encode_endpoint_response",
    "encode_proxied_call",
    "encode_proxy_failure",
]

PROXY_PATH = "/proxy"
FAILURE_HEADER = "proxy-failure"
# Marks the response of an endpoint, and tells on which connection of the peer it came.
RESPONSE_HEADER = "proxy-response"
ON_NEW_CONNECTION = "new"
ON_REUSED_CONNECTION = "reused"
# A question whether a peer reaches an endpoint, and the statuses of the answer.
REACH_PATH = "/reach"
# What counts as reached, in the parameter "by" of the question; a connection if it is absent.
BY_CONNECTION = "connection"
BY_RESPONSE = "response"
# A question that a process answers at once, by which it shows that it responds.
RESPONDS_PATH = "/responds"
STATUS_REACHED = 200
STATUS_NOT_REACHED = 504
STATUS_UNKNOWN = 503


class ProxyRefusal(StrEnum):
    """Why a peer does not send an attempt to its endpoint."""

    NO_PATH = "no path"
    """The peer has no direct path to the endpoint either."""
    NO_PATH_TO_ENDPOINT = "no path to endpoint"
    """The peer has lost its direct path to this endpoint, while it reaches others."""
    NO_IDLE_CONNECTION = NO_IDLE_CONNECTION
    """The peer reaches the endpoint on open connections only, all of which are in use."""
    UNKNOWN_ENDPOINT = "unknown endpoint"
    """The peer does not know the endpoint, or knows that it takes no new requests."""
    BUSY = "busy"
    """The peer already proxies as many attempts as it may, or is behind with its work."""
    STOPPING = "stopping"
    """The peer shuts down."""


@dataclass(frozen=True)
class ProxiedCall:
    """Parameters of an attempt that a peer sends to an endpoint.

    Parameters
    ----------
    endpoint_id : str
        Endpoint; its address is looked up by the peer.
    request_id, sender : str
        Request and VM on whose behalf the attempt is sent, for the log.
    method, target : str
        Request line of the attempt.
    timeout : float
        Longest time without data, in seconds.
    connect_timeout : float
        Seconds until the connection to the endpoint must be established.
    new_connection : bool
        True if the attempt must not reuse an idle connection.
    """

    endpoint_id: str
    request_id: str
    sender: str
    method: str
    target: str
    timeout: float
    connect_timeout: float
    new_connection: bool


@dataclass(frozen=True)
class ProxyFailure:
    """Failure of a proxied attempt before the response of the endpoint started.

    Parameters
    ----------
    reason : str
        A `ProxyRefusal`, or the reason of a `CallFailed` between the peer and the endpoint.
    wrote : bool
        False only if it is certain that no byte was sent to the endpoint.
    reused : bool
        True if the peer used an idle connection to the endpoint.
    next_peer : str
        Control address of another peer that has a path, if the refusing one knows any.
    """

    reason: str
    wrote: bool = False
    reused: bool = False
    next_peer: str = ""

    @property
    def is_refusal(self) -> bool:
        """True if the peer did not try to reach the endpoint."""
        return self.reason in set(ProxyRefusal)


def encode_proxied_call(call: ProxiedCall, attempt: OutboundCall, address: str) -> OutboundCall:
    """Return the call to the peer at `address` that proxies an attempt.

    Parameters
    ----------
    attempt : OutboundCall
        The attempt as it would be sent to the endpoint.
    """
    query = {
        "endpoint": call.endpoint_id,
        "request": call.request_id,
        "sender": call.sender,
        "method": call.method,
        "target": call.target,
        "timeout": round(call.timeout, 3),
        "connect": round(call.connect_timeout, 3),
        "new": int(call.new_connection),
    }
    return OutboundCall(
        address,
        "POST",
        f"{PROXY_PATH}?{urlencode(query)}",
        attempt.body,
        attempt.headers,
        timeout=attempt.timeout,
        stream=True,
        new_connection=attempt.new_connection,
        # Attempts that must not run twice use new connections.
        stale_seconds=0.0 if attempt.new_connection else STALE_ATTEMPT_SECONDS,
        host=attempt.host,
        connect_timeout=attempt.connect_timeout,
        guard=attempt.guard,
    )


def decode_proxied_call(query: Mapping[str, str]) -> ProxiedCall:
    """Return the parameters in the query of a peer's call.

    Raises
    ------
    ValueError
        If a parameter is missing or malformed; the text names it.
    """
    try:
        call = ProxiedCall(
            endpoint_id=query["endpoint"],
            request_id=query["request"],
            sender=query["sender"],
            method=query["method"],
            target=query["target"],
            timeout=float(query["timeout"]),
            connect_timeout=float(query["connect"]),
            new_connection=query["new"] == "1",
        )
    except KeyError as exc:
        raise ValueError(f"parameter {exc} is missing") from exc
    if not call.target.startswith("/") or any(each <= " " for each in call.target):
        raise ValueError(f"target must be a path, got {call.target[:60]!r}")
    if not call.method.isascii() or not call.method.isupper():
        raise ValueError(f"method must be upper-case letters, got {call.method[:20]!r}")
    if not 0 < call.timeout < float("inf") or not 0 < call.connect_timeout < float("inf"):
        raise ValueError(f"timeouts must be positive, got {call.timeout}, {call.connect_timeout}")
    return call


def encode_endpoint_response(
    head: ResponseHead, dropped: frozenset[str]
) -> tuple[tuple[str, str], ...]:
    """Return the headers with which the response of an endpoint is returned to the sender.

    Parameters
    ----------
    dropped : frozenset of str
        Lower-case names of the headers that concern the peer's connection only.
    """
    dropped |= {FAILURE_HEADER, RESPONSE_HEADER}
    fields = tuple(each for each in head.fields if each[0].lower() not in dropped)
    mark = ON_REUSED_CONNECTION if head.reused else ON_NEW_CONNECTION
    return (*fields, (RESPONSE_HEADER, mark))


def decode_endpoint_response(head: ResponseHead) -> ResponseHead:
    """Return the response of an endpoint as it came to the peer.

    Notes
    -----
    Whether a connection was used before concerns that to the endpoint: a late response to an
    earlier request comes on it. It is assumed where the peer does not tell.
    """
    headers = dict(head.headers)
    mark = headers.pop(RESPONSE_HEADER, ON_REUSED_CONNECTION)
    fields = tuple(each for each in head.fields if each[0].lower() != RESPONSE_HEADER)
    return replace(head, headers=headers, fields=fields, reused=mark != ON_NEW_CONNECTION)


def encode_proxy_failure(failure: ProxyFailure) -> tuple[str, str]:
    """Return the header that describes a failure."""
    values = {
        "reason": failure.reason,
        "wrote": int(failure.wrote),
        "reused": int(failure.reused),
        "next": failure.next_peer,
    }
    return FAILURE_HEADER, urlencode(values)


def decode_proxy_failure(text: str) -> ProxyFailure:
    """Return the failure in a header; a missing value is taken as the least certain one."""
    values = dict(parse_qsl(text))
    return ProxyFailure(
        values.get("reason", "unknown"),
        values.get("wrote") != "0",
        values.get("reused") == "1",
        values.get("next", ""),
    )
