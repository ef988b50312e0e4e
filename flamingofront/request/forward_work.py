"""A request that is forwarded as it came, and what the adapter must tell of it."""

from abc import ABC, abstractmethod
from dataclasses import dataclass

from flamingofront.connection.server import RenderedError
from flamingofront.decisions.lateness import Urgency
from flamingofront.errors import RequestError
from flamingofront.messages import InboundRequest, ResponseHead

__all__ = [
    "AttemptFacts",
    "CallerRequest",
    "EndpointResponseHead",
    "ForwardProtocol",
    "ForwardWork",
    "PromptPart",
    "EndpointResponse",
]

Fields = tuple[tuple[str, str], ...]


@dataclass(frozen=True)
class PromptPart:
    """Part of a prompt that an engine may hold in its cache; shared parts have the same id."""

    part_id: str
    tokens: int


@dataclass(frozen=True)
class CallerRequest:
    """What a caller's headers say.

    Parameters
    ----------
    request_id : str
        Id that the caller gave to this attempt of its own.
    deadline : float or None
        Seconds that the caller waits.
    key : str or None
        API key.
    prompt : tuple of PromptPart
        Parts of the prompt in their order.
    output_tokens : int
        Most tokens that the answer may have.
    counts_tokens : bool
        True if the request names its tokens.
    fields : tuple of (str, str)
        Headers to forward: without those of one hop and those that only this system may set.
    """

    request_id: str
    host: str
    path: str
    deadline: float | None
    key: str | None
    prompt: tuple[PromptPart, ...]
    prompt_tokens: int
    output_tokens: int
    counts_tokens: bool
    fields: Fields


@dataclass(frozen=True)
class ForwardWork:
    """What an endpoint is asked for, and what may be done about it.

    Parameters
    ----------
    repeatable : bool
        True if the request may run more than once.
    resumable : bool
        True if its stream may go on at another endpoint.
    max_attempts : int
        Endpoints that it may be sent to.
    caller_id : str
        Id that the caller gave; not unique, as a caller may use one twice.
    """

    method: str
    target: str
    host: str
    fields: Fields
    body: bytes
    stream: bool
    repeatable: bool
    resumable: bool
    max_attempts: int
    caller_id: str = ""
    workspace: str = ""
    prompt: tuple[PromptPart, ...] = ()
    prompt_tokens: int = 0
    output_tokens: int = 0


@dataclass(frozen=True)
class AttemptFacts:
    """What an endpoint is told of one attempt.

    Parameters
    ----------
    endpoint_id : str
        Start of the endpoint that must run it, and no other.
    time_left : float
        Seconds after which nobody waits any more.
    last_event : str
        Id of the last event that the caller has; empty at the begin of an answer.
    urgency : Urgency
        How soon a model engine takes the request among others.
    """

    endpoint_id: str
    time_left: float
    last_event: str = ""
    urgency: Urgency = Urgency.IN_TIME


@dataclass(frozen=True)
class EndpointResponseHead:
    """What the head of an endpoint's answer says.

    Parameters
    ----------
    not_run : bool
        True if the endpoint states that it did not run the request.
    crossed : bool
        True if the answer belongs to another request.
    wrong_endpoint : bool
        True if another endpoint has the address now.
    has_rate_limit_header : bool
        True if the endpoint speaks of a limit, be it readable or not.
    rate_limit : float or None
        Requests a second that it takes from all entry processes together; None if it names none
        that can be read.
    leaving : bool
        True if the endpoint says that it leaves: it wants no further requests.
    pause : float or None
        Seconds for which it wants no requests of this process; None if it names no time that can be
        read.
    fields : tuple of (str, str)
        Headers to pass on.
    """

    status: int
    not_run: bool
    is_mismatched: bool
    wrong_endpoint: bool
    stream: bool
    fields: Fields
    has_rate_limit_header: bool = False
    rate_limit: float | None = None
    leaving: bool = False
    backoff_seconds: float | None = None


@dataclass(frozen=True)
class EndpointResponse:
    """A complete answer of an endpoint."""

    status: int
    fields: Fields
    body: bytes


class ForwardProtocol(ABC):
    """Header names and formats of forwarded requests, on both sides."""

    @abstractmethod
    def request_id(self, req: InboundRequest) -> str:
        """Return the caller's id of a request, empty if it has none."""

    @abstractmethod
    def decode(self, req: InboundRequest) -> CallerRequest:
        """Return what a caller's headers say; raises `RequestError` if they are malformed."""

    @abstractmethod
    def encode_attempt_headers(self, work: ForwardWork, facts: AttemptFacts) -> Fields:
        """Return the headers of an attempt."""

    @abstractmethod
    def decode_response_head(self, request_id: str, head: ResponseHead) -> EndpointResponseHead:
        """Return what the head of an endpoint's answer says."""

    @abstractmethod
    def render_error(self, exc: RequestError) -> RenderedError:
        """Return status, headers and body of an error answer."""
