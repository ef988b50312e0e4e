"""Frozen data classes that the components of one process exchange.

Unless stated otherwise, times are in seconds and lengths in tokens.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field

from flamingofront.connection.call_guard import CallGuard
from flamingofront.errors import ErrorKind, Executed

__all__ = [
    "CallFailed",
    "CancelAttempt",
    "Complete",
    "Emit",
    "Fail",
    "Frame",
    "InboundRequest",
    "NO_IDLE_CONNECTION",
    "SEND_WITHDRAWN",
    "STALE_ATTEMPT_SECONDS",
    "STALE_SECONDS",
    "OutboundCall",
    "ResponseData",
    "ResponseEnd",
    "ResponseHead",
    "ScheduleRetry",
    "Sleep",
    "StartAttempt",
    "BufferedResponse",
]


# Failure of a call that may use an idle connection only, while there is none.
NO_IDLE_CONNECTION = "no idle connection"
# Failure of a call that its guard has withdrawn before all of it was written.
SEND_WITHDRAWN = "withdrawn"
# `OutboundCall.stale_seconds` of calls that are safe to repeat: a round trip, and the time for
# which a busy process does not read.
STALE_SECONDS = 0.25
# Same for attempts of requests that may be repeated: a reused connection that is reset within one
# round trip, also to another region, had been closed before the request arrived. Requests that
# crash an endpoint take 40 ms or more.
STALE_ATTEMPT_SECONDS = 0.03


@dataclass(frozen=True)
class InboundRequest:
    """One complete HTTP request from a caller, peer or operator.

    Parameters
    ----------
    headers : mapping of str to str
        Header values by lower-case name.
    target : str
        Path and query exactly as received.
    fields : tuple of (str, str)
        Names and values of all headers exactly as received.
    head_received_at : float
        Time at which the head was complete; the caller's deadline is measured from it.
    """

    method: str
    path: str
    query: Mapping[str, str]
    headers: Mapping[str, str]
    body: bytes
    target: str = ""
    fields: tuple[tuple[str, str], ...] = ()
    head_received_at: float = 0.0

    def header(self, name: str, default: str = "") -> str:
        """Return the value of a header, given its lower-case name."""
        return self.headers.get(name, default)


@dataclass(frozen=True)
class OutboundCall:
    """One HTTP request to a peer, an endpoint or the platform.

    Parameters
    ----------
    address : str
        ``IP:PORT`` of the target.
    timeout : float
        Seconds until the response must be complete; for a stream, the longest time without data.
        With `stall_timeout`, seconds until the response must have started.
    stream : bool
        True to receive the response body in parts as it arrives.
    new_connection : bool
        True if the call must not reuse an idle connection.
    stale_seconds : float
        Seconds after sending within which a reset of a reused connection shows that the target had
        closed it while it was idle. The call is then sent again on a new connection. 0 for calls
        that must not be executed twice.
    idle_only : bool
        True if the call fails unsent with `NO_IDLE_CONNECTION` unless it reuses one.
    host : str
        Value of the ``Host`` header; the address if empty.
    connect_timeout : float or None
        Seconds until the connection must be established; None if only `timeout` applies.
    ack_timeout : float or None
        Seconds after which the kernel discards data that the target has not acknowledged
        (``TCP_USER_TIMEOUT``); None for the client's default. Calls that must not arrive late need
        a value below `timeout`.
    stall_timeout : float or None
        Longest time without data within a started response, in seconds, so that a large response
        may take as long as its link needs. None if `timeout` applies to the whole response.
    guard : CallGuard or None
        Decides before each write whether the call may still be sent, and follows its steps.
    """

    address: str
    method: str
    path: str
    body: bytes = b""
    headers: tuple[tuple[str, str], ...] = ()
    timeout: float = 2.0
    stream: bool = False
    new_connection: bool = False
    stale_seconds: float = 0.0
    idle_only: bool = False
    host: str = ""
    connect_timeout: float | None = None
    ack_timeout: float | None = None
    stall_timeout: float | None = None
    guard: CallGuard | None = None


@dataclass(frozen=True)
class Sleep:
    """Yielded by a task to be resumed after some seconds.

    Parameters
    ----------
    relaxed : bool
        True if the task may be resumed slightly later, together with another timer, which saves a
        wake-up.
    """

    seconds: float
    relaxed: bool = False


@dataclass(frozen=True)
class ResponseHead:
    """Status and headers of a streamed response; `fields` has the headers exactly as received.

    Parameters
    ----------
    reused : bool
        True if the call was sent on a previously idle connection, False on a new one.
    """

    status: int
    headers: Mapping[str, str]
    fields: tuple[tuple[str, str], ...] = ()
    reused: bool = False


@dataclass(frozen=True)
class ResponseData:
    """Part of the body of a streamed response."""

    data: bytes


@dataclass(frozen=True)
class ResponseEnd:
    """End of a streamed response: it is complete."""


@dataclass(frozen=True)
class CallFailed:
    """The call failed before a complete response was received.

    Parameters
    ----------
    reason : str
        One of ``refused`` (no process listens on the port), ``connect`` (no connection could be
        established), ``reset``, ``timeout``, ``framing`` (malformed response), ``too large``
        (response that is collected as a whole), ``cancelled``, `SEND_WITHDRAWN`.
    wrote : bool
        False only if it is certain that no byte of the request was sent.
    reused : bool
        True if the call was sent on a previously idle connection, which the target may have closed
        long before.
    by_proxy : bool
        True if the peer that proxied the call failed, which tells nothing about the endpoint.
    detail : str
        What is malformed in the response, for the log.
    """

    reason: str
    wrote: bool
    reused: bool = False
    by_proxy: bool = False
    detail: str = field(default="", compare=False)


@dataclass(frozen=True)
class BufferedResponse:
    """A complete response that was buffered, not streamed."""

    status: int
    headers: Mapping[str, str] = field(default_factory=dict)
    body: bytes = b""


@dataclass(frozen=True)
class Frame:
    """Tokens that one attempt generated for one request.

    Parameters
    ----------
    offset : int
        Number of tokens of the response that precede `tokens`.
    final : bool
        True if the response ends with these tokens.
    """

    request_id: str
    attempt_id: str
    offset: int
    tokens: tuple[str, ...]
    final: bool = False


@dataclass(frozen=True)
class StartAttempt:
    """Action: send the request to an endpoint not in `exclude`, resuming at token `offset`."""

    attempt_id: str
    offset: int
    exclude: frozenset[str] = frozenset()


@dataclass(frozen=True)
class CancelAttempt:
    """Action: cancel an attempt whose output is no longer needed."""

    attempt_id: str


@dataclass(frozen=True)
class ScheduleRetry:
    """Action: start another attempt after `delay` seconds."""

    delay: float


@dataclass(frozen=True)
class Emit:
    """Action: send tokens to the caller; `offset` counts the tokens before them."""

    offset: int
    tokens: tuple[str, ...]


@dataclass(frozen=True)
class Complete:
    """Action: finish the response, which has `total_tokens` tokens."""

    total_tokens: int


@dataclass(frozen=True)
class Fail:
    """Action: end the request with an error response."""

    kind: ErrorKind
    ran: Executed
    detail: str = ""
    retry_after: float | None = None
