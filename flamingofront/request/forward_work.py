"""Data of forwarded requests, and the protocol that decodes and encodes their headers."""

from abc import ABC, abstractmethod
from dataclasses import dataclass

from flamingofront.connection.server import RenderedError
from flamingofront.decisions.lateness import Urgency
from flamingofront.errors import RequestError
from flamingofront.messages import InboundRequest, ResponseHead
from flamingofront.request.stream_origins import OriginLookup
from flamingofront.version.forwarding import ForwardedService

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
    """Part of a prompt that an engine may have cached; equal parts have the same id."""

    part_id: str
    tokens: int


@dataclass(frozen=True)
class CallerRequest:
    """Decoded headers of a caller's request.

    Parameters
    ----------
    request_id : str
        Id that the caller gave to this attempt.
    deadline : float or None
        Seconds that the caller waits.
    key : str or None
        API key.
    prompt : tuple of PromptPart
        Parts of the prompt in their order.
    output_tokens : int
        Maximum number of tokens of the response.
    counts_tokens : bool
        True if the request states its numbers of tokens.
    expected_tokens : int
        Number of tokens of the response that the caller expects; 0 if it does not say.
    origin_id : str
        Id of the caller's attempt that brought the first event of the stream to be resumed; empty
        if the caller names none.
    last_event : str
        Id of the last event that the caller has received; empty if none.
    fields : tuple of (str, str)
        Headers to forward, without hop-by-hop headers and those that only this system may set.
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
    origin_id: str = ""
    last_event: str = ""
    expected_tokens: int = 0


@dataclass(frozen=True)
class ForwardWork:
    """The call that is forwarded to an endpoint, and its retry rules.

    Parameters
    ----------
    repeatable : bool
        True if the request may run more than once.
    resumable : bool
        True if its stream can be resumed at another endpoint.
    max_attempts : int
        Maximum number of attempts.
    caller_id : str
        Id that the caller gave; not unique, as a caller may use an id twice.
    origin_id, last_event : str
        Attempt of the caller that began the stream, and last event that the caller has received, if
        the caller resumes a stream; empty otherwise.
    resumed : OriginLookup, optional
        Where the stream that the caller resumes began.
    expected_tokens : int
        Number of tokens of the response that the caller expects; 0 if it does not say.
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
    origin_id: str = ""
    last_event: str = ""
    resumed: OriginLookup | None = None
    expected_tokens: int = 0


@dataclass(frozen=True)
class AttemptFacts:
    """Values of the headers of one attempt.

    Parameters
    ----------
    endpoint_id : str
        Incarnation of the endpoint that must run it; any other rejects it.
    time_left : float
        Seconds until the request's deadline.
    last_event : str
        Id of the last event that the caller has received; empty if none.
    urgency : Urgency
        Scheduling priority of the request at a model engine.
    """

    endpoint_id: str
    time_left: float
    last_event: str = ""
    urgency: Urgency = Urgency.IN_TIME


@dataclass(frozen=True)
class EndpointResponseHead:
    """Decoded status and headers of an endpoint's response.

    Parameters
    ----------
    not_run : bool
        True if the endpoint states that it did not run the request.
    is_mismatched : bool
        True if the response belongs to another request.
    wrong_endpoint : bool
        True if another endpoint now uses the address.
    is_refusal : bool
        True if the status promises to a caller that the request was not executed.
    stream : bool
        True if the body is an event stream.
    fields : tuple of (str, str)
        Headers to forward to the caller.
    has_rate_limit_header : bool
        True if the response has a rate limit header, valid or not.
    rate_limit : float or None
        Requests per second that the endpoint accepts from all entry processes together; None
        without a valid header.
    max_rejections : int or None
        Rejections per second, over all entry processes, that the endpoint survives; None unless it
        states that it is brittle.
    leaving : bool
        True if the endpoint announces its shutdown: it accepts no further requests.
    backoff_seconds : float or None
        Seconds for which the endpoint asks this process to send no requests; None without a valid
        header.
    """

    status: int
    not_run: bool
    is_mismatched: bool
    wrong_endpoint: bool
    stream: bool
    fields: Fields
    is_refusal: bool = False
    has_rate_limit_header: bool = False
    rate_limit: float | None = None
    max_rejections: int | None = None
    leaving: bool = False
    backoff_seconds: float | None = None


@dataclass(frozen=True)
class EndpointResponse:
    """A complete response of an endpoint."""

    status: int
    fields: Fields
    body: bytes


class ForwardProtocol(ABC):
    """Header names and formats of forwarded requests, for callers and endpoints."""

    @abstractmethod
    def is_from_endpoint(self, endpoint_id: str, head: ResponseHead) -> bool:
        """Return True unless a response to a state request names another endpoint."""

    @abstractmethod
    def request_id(self, req: InboundRequest) -> str:
        """Return the request id that the caller gave; empty if there is none."""

    @abstractmethod
    def decode(self, req: InboundRequest) -> CallerRequest:
        """Return the decoded headers of a caller; raises `RequestError` if they are malformed."""

    @abstractmethod
    def encode_attempt_headers(self, work: ForwardWork, facts: AttemptFacts) -> Fields:
        """Return the headers of an attempt."""

    @abstractmethod
    def shorten_deadline(self, fields: Fields, seconds: float) -> Fields:
        """Return the headers of an attempt with a deadline that is some seconds earlier."""

    @abstractmethod
    def probe_target(self, service: ForwardedService | None) -> str:
        """Return the target of a request for the state of an endpoint of a service."""

    @abstractmethod
    def decode_response_head(self, request_id: str, head: ResponseHead) -> EndpointResponseHead:
        """Return the decoded head of an endpoint's response to a request."""

    @abstractmethod
    def render_error(self, exc: RequestError) -> RenderedError:
        """Return the status, headers and body of an error response."""
