"""Frozen data classes that the tasks of one process exchange.

Units are seconds for times and tokens for lengths unless a field says otherwise.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field

from flamingofront.errors import ErrorKind, Executed

__all__ = [
    "CallFailed",
    "CancelAttempt",
    "Complete",
    "Emit",
    "Fail",
    "Frame",
    "InboundRequest",
    "OutboundCall",
    "ResponseData",
    "ResponseEnd",
    "ResponseHead",
    "ScheduleRetry",
    "Sleep",
    "StartAttempt",
    "BufferedResponse",
]


@dataclass(frozen=True)
class InboundRequest:
    """One complete HTTP request as it came from a caller, peer or operator.

    Parameters
    ----------
    target : str
        Path and query as they were sent.
    fields : tuple of (str, str)
        Names and values of all headers as they were sent.
    began_at : float
        Time at which the head was complete; the caller's deadline counts from it.
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
        """Return the value of a header, by its lower-case name."""
        return self.headers.get(name, default)


@dataclass(frozen=True)
class OutboundCall:
    """One HTTP request to a peer, an endpoint or the platform.

    Parameters
    ----------
    address : str
        ``IP:PORT`` of the target.
    timeout : float
        Seconds until the response must be complete; for a stream, the longest silence. With
        `stall_timeout`, seconds until the response must have begun.
    stream : bool
        True if response data is wanted as it arrives.
    fresh : bool
        True if the call must not reuse an idle connection.
    host : str
        Value of the ``Host`` header; the address if empty.
    connect_timeout : float or None
        Seconds until the connection must stand; None if only `timeout` bounds it.
    ack_timeout : float or None
        Seconds without word from the target's system after which what was sent is given up by the
        system itself, so that it cannot arrive later; None for the client's own limit. To be below
        `timeout` for calls that must not arrive late.
    stall_timeout : float or None
        Longest silence within a response that has begun, in seconds: a large response may take as
        long as its link needs. None if `timeout` bounds it as a whole.
    """

    address: str
    method: str
    path: str
    body: bytes = b""
    headers: tuple[tuple[str, str], ...] = ()
    timeout: float = 2.0
    stream: bool = False
    new_connection: bool = False
    host: str = ""
    connect_timeout: float | None = None
    ack_timeout: float | None = None
    stall_timeout: float | None = None


@dataclass(frozen=True)
class Sleep:
    """Yielded by a task that wants to go on after some seconds.

    Parameters
    ----------
    relaxed : bool
        True if it may be a little later, so that the pause costs no wake-up of its own.
    """

    seconds: float
    relaxed: bool = False


@dataclass(frozen=True)
class ResponseHead:
    """Status line and headers of a streamed response; `fields` are the headers as sent."""

    status: int
    headers: Mapping[str, str]
    fields: tuple[tuple[str, str], ...] = ()


@dataclass(frozen=True)
class ResponseData:
    """Part of the body of a streamed response."""

    data: bytes


@dataclass(frozen=True)
class ResponseEnd:
    """The response is complete."""


@dataclass(frozen=True)
class CallFailed:
    """The call ended without a complete response.

    Parameters
    ----------
    reason : str
        One of ``refused`` (no process listens there), ``connect`` (the target does not answer),
        ``reset``, ``timeout``, ``framing``, ``cancelled``.
    wrote : bool
        False only if it is certain that no byte of the request reached the network.
    reused : bool
        True if the call went out on a connection that had been idle: its target may have closed it
        long before.
    """

    reason: str
    wrote: bool
    reused: bool = False


@dataclass(frozen=True)
class BufferedResponse:
    """A complete response."""

    status: int
    headers: Mapping[str, str] = field(default_factory=dict)
    body: bytes = b""


@dataclass(frozen=True)
class Frame:
    """Tokens that one attempt produced for one request.

    Parameters
    ----------
    offset : int
        Number of tokens of the answer that come before `tokens`.
    final : bool
        True if the answer ends with these tokens.
    """

    request_id: str
    attempt_id: str
    offset: int
    tokens: tuple[str, ...]
    final: bool = False


@dataclass(frozen=True)
class StartAttempt:
    """Order to send the request to an endpoint, resuming at `offset`."""

    attempt_id: str
    offset: int
    exclude: frozenset[str] = frozenset()


@dataclass(frozen=True)
class CancelAttempt:
    """Order to end an attempt whose output is no longer wanted."""

    attempt_id: str


@dataclass(frozen=True)
class ScheduleRetry:
    """Order to come back after `delay` seconds and start another attempt."""

    delay: float


@dataclass(frozen=True)
class Emit:
    """Tokens to pass to the caller."""

    offset: int
    tokens: tuple[str, ...]


@dataclass(frozen=True)
class Complete:
    """The answer is complete."""

    total_tokens: int


@dataclass(frozen=True)
class Fail:
    """The request ends with an error answer."""

    kind: ErrorKind
    ran: Executed
    detail: str = ""
    retry_after: float | None = None
