"""Exceptions of flamingofront and the closed list of error kinds.

Every error response is built from one row of `ERROR_RESPONSES`. No other module chooses the HTTP
status of an error or decides whether to advertise a retry.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import StrEnum

__all__ = [
    "ERROR_RESPONSES",
    "ErrorResponse",
    "CommandError",
    "ConfigurationError",
    "ErrorKind",
    "FlamingofrontError",
    "PlatformError",
    "PlatformRateLimitError",
    "PlatformTimeoutError",
    "Executed",
    "RequestError",
    "SettingsError",
]


DEFAULT_RETRY_AFTER_SECONDS = 1.0


class Executed(StrEnum):
    """Whether an endpoint executed a request."""

    NO = "no"
    UNKNOWN = "unknown"
    YES = "yes"


class ErrorKind(StrEnum):
    """Closed list of the errors that callers and operators receive."""

    MALFORMED_REQUEST = "malformed_request"
    HEADERS_TOO_LARGE = "headers_too_large"
    BODY_TOO_LARGE = "body_too_large"
    REQUEST_TIMEOUT = "request_timeout"
    METHOD_NOT_ALLOWED = "method_not_allowed"
    NOT_FOUND = "not_found"
    UNKNOWN_SERVICE = "unknown_service"
    UNKNOWN_WORKSPACE = "unknown_workspace"
    UNKNOWN_REQUEST = "unknown_request"
    HOLDER_UNREACHABLE = "holder_unreachable"
    LIMIT_EXCEEDED = "limit_exceeded"
    OVERLOADED = "overloaded"
    MEMORY_EXHAUSTED = "memory_exhausted"
    DRAINING = "draining"
    NOT_READY = "not_ready"
    NO_ENDPOINT = "no_endpoint"
    ENDPOINTS_OUTDATED = "endpoints_outdated"
    STREAM_NOT_RESUMABLE = "stream_not_resumable"
    RETRY_BUDGET_EXHAUSTED = "retry_budget_exhausted"
    DEADLINE_EXCEEDED = "deadline_exceeded"
    ENDPOINT_FAILED = "endpoint_failed"
    OUTCOME_UNKNOWN = "outcome_unknown"
    CRASHES_ENDPOINTS = "crashes_endpoints"
    PROMPT_PART_CRASHES = "prompt_part_crashes_endpoints"
    KEY_REUSED = "idempotency_key_reused"
    KEY_IN_PROGRESS = "idempotency_key_in_progress"
    STORE_UNAVAILABLE = "store_unavailable"
    HANDED_OVER = "handed_over"
    SLOW_READER = "slow_reader"
    INVALID_CONFIGURATION = "invalid_configuration"
    INVALID_COMMAND = "invalid_command"
    CONFLICT = "conflict"
    OPERATION_UNKNOWN = "operation_unknown"
    INTERNAL = "internal_error"


@dataclass(frozen=True)
class ErrorResponse:
    """Default error response for one error kind.

    Parameters
    ----------
    status : int
        HTTP status code.
    ran : Executed
        Whether the request was executed, unless a `RequestError` has better evidence.
    allows_retry : bool
        True if the response carries a ``Retry-After`` header.
    text : str
        Message for the caller if the `RequestError` has no detail.
    """

    status: int
    ran: Executed
    allows_retry: bool
    text: str


ERROR_RESPONSES: dict[ErrorKind, ErrorResponse] = {
    ErrorKind.MALFORMED_REQUEST: ErrorResponse(400, Executed.NO, False, "the request is malformed"),
    ErrorKind.HEADERS_TOO_LARGE: ErrorResponse(
        431, Executed.NO, False, "the request head is too large"
    ),
    ErrorKind.BODY_TOO_LARGE: ErrorResponse(
        413, Executed.NO, False, "the request body is too large"
    ),
    ErrorKind.REQUEST_TIMEOUT: ErrorResponse(
        408, Executed.NO, True, "the request did not arrive in time"
    ),
    ErrorKind.METHOD_NOT_ALLOWED: ErrorResponse(
        405, Executed.NO, False, "the method is not allowed here"
    ),
    ErrorKind.NOT_FOUND: ErrorResponse(404, Executed.NO, False, "no such resource"),
    ErrorKind.UNKNOWN_SERVICE: ErrorResponse(404, Executed.NO, False, "no such model or service"),
    ErrorKind.UNKNOWN_WORKSPACE: ErrorResponse(
        401, Executed.NO, False, "unknown workspace or credential"
    ),
    ErrorKind.UNKNOWN_REQUEST: ErrorResponse(
        404, Executed.UNKNOWN, False, "this request is not held here"
    ),
    ErrorKind.HOLDER_UNREACHABLE: ErrorResponse(
        503, Executed.UNKNOWN, True, "the entry VM that holds this request cannot be reached"
    ),
    ErrorKind.LIMIT_EXCEEDED: ErrorResponse(
        429, Executed.NO, True, "the workspace is over its limit"
    ),
    ErrorKind.OVERLOADED: ErrorResponse(503, Executed.NO, True, "the endpoints are at capacity"),
    ErrorKind.MEMORY_EXHAUSTED: ErrorResponse(
        503, Executed.NO, True, "this entry VM has no memory for the request now"
    ),
    ErrorKind.DRAINING: ErrorResponse(503, Executed.NO, True, "this entry VM is draining"),
    ErrorKind.NOT_READY: ErrorResponse(503, Executed.NO, True, "this entry VM is starting"),
    ErrorKind.NO_ENDPOINT: ErrorResponse(
        503, Executed.NO, True, "no endpoint can take the request"
    ),
    ErrorKind.ENDPOINTS_OUTDATED: ErrorResponse(
        503, Executed.NO, True, "this entry VM is behind with its work"
    ),
    ErrorKind.STREAM_NOT_RESUMABLE: ErrorResponse(
        503, Executed.NO, True, "no endpoint can continue the stream; it may be started anew"
    ),
    ErrorKind.RETRY_BUDGET_EXHAUSTED: ErrorResponse(
        503, Executed.UNKNOWN, True, "the retry budget of the service is used up"
    ),
    ErrorKind.DEADLINE_EXCEEDED: ErrorResponse(504, Executed.UNKNOWN, True, "the deadline passed"),
    ErrorKind.ENDPOINT_FAILED: ErrorResponse(502, Executed.UNKNOWN, True, "the endpoint failed"),
    ErrorKind.OUTCOME_UNKNOWN: ErrorResponse(
        502, Executed.UNKNOWN, False, "the call was sent but its outcome is not known"
    ),
    ErrorKind.CRASHES_ENDPOINTS: ErrorResponse(
        502, Executed.YES, False, "endpoints ended while they ran this request; it is not run again"
    ),
    ErrorKind.PROMPT_PART_CRASHES: ErrorResponse(
        503, Executed.NO, True, "endpoints ended under requests with a part of this prompt"
    ),
    ErrorKind.KEY_REUSED: ErrorResponse(
        422, Executed.NO, False, "the idempotency key was used with another request"
    ),
    ErrorKind.KEY_IN_PROGRESS: ErrorResponse(
        409, Executed.UNKNOWN, True, "a request with this idempotency key is in progress"
    ),
    ErrorKind.STORE_UNAVAILABLE: ErrorResponse(
        503, Executed.NO, True, "the platform's store is out of reach"
    ),
    ErrorKind.HANDED_OVER: ErrorResponse(
        503, Executed.YES, True, "the request continues on another entry VM"
    ),
    ErrorKind.SLOW_READER: ErrorResponse(
        503, Executed.YES, True, "the answer was not read in time"
    ),
    ErrorKind.INVALID_CONFIGURATION: ErrorResponse(
        422, Executed.NO, False, "the configuration is not valid"
    ),
    ErrorKind.INVALID_COMMAND: ErrorResponse(400, Executed.NO, False, "the command is not valid"),
    ErrorKind.CONFLICT: ErrorResponse(409, Executed.NO, False, "another change was accepted first"),
    ErrorKind.OPERATION_UNKNOWN: ErrorResponse(
        504, Executed.UNKNOWN, True, "the outcome of the operation is not known"
    ),
    ErrorKind.INTERNAL: ErrorResponse(500, Executed.UNKNOWN, False, "internal error"),
}


class FlamingofrontError(Exception):
    """Base class of all exceptions of this package."""


class SettingsError(FlamingofrontError):
    """A flag, an environment variable or the settings file is missing, unreadable or invalid."""


class ConfigurationError(FlamingofrontError):
    """A configuration is invalid and is rejected as a whole.

    Parameters
    ----------
    faults : tuple of str
        One sentence for each error, naming the object, the field and the value.
    """

    def __init__(self, faults: tuple[str, ...]):
        super().__init__("; ".join(faults))
        self.faults = faults


class CommandError(FlamingofrontError):
    """An operator's query or command cannot be parsed or names something unknown."""


class PlatformError(FlamingofrontError):
    """A call to the platform was rejected, failed or timed out.

    Parameters
    ----------
    detail : str
        Description of the failure.
    maybe_applied : bool
        True if the operation may have taken effect despite the error.
    """

    def __init__(self, detail: str, maybe_applied: bool = False):
        super().__init__(detail)
        self.maybe_applied = maybe_applied


class PlatformTimeoutError(PlatformError):
    """A call to the platform was not answered in time."""


class PlatformRateLimitError(PlatformError):
    """A call to the platform was over the allowed rate: the platform serves."""


class RequestError(FlamingofrontError):
    """A caller's request fails with an error response.

    Parameters
    ----------
    kind : ErrorKind
        Row of `ERROR_RESPONSES` that defines the response.
    detail : str, optional
        Message for the caller; names the invalid value.
    ran : Executed, optional
        Whether the request was executed; the default of the kind if not given.
    retry_after : float, optional
        Seconds after which the caller may retry: 1 second if not given, ignored if the kind does
        not allow a retry.
    log_fields : mapping of str to object, optional
        Values behind the decision, written to the log only and not sent to the caller.
    """

    def __init__(
        self,
        kind: ErrorKind,
        detail: str = "",
        ran: Executed | None = None,
        retry_after: float | None = None,
        log_fields: Mapping[str, object] | None = None,
    ):
        super().__init__(detail or ERROR_RESPONSES[kind].text)
        self.log_fields = log_fields or {}
        self.kind = kind
        self.detail = detail
        self.ran = ran if ran is not None else ERROR_RESPONSES[kind].ran
        self.retry_after = self._resolve_retry_after(retry_after)

    def with_execution(self, ran: Executed) -> "RequestError":
        """Return the same error with another statement on whether the request was executed."""
        return RequestError(self.kind, self.detail, ran, self.retry_after, self.log_fields)

    def _resolve_retry_after(self, seconds: float | None) -> float | None:
        """Return the seconds to advertise, or None if the kind does not allow a retry."""
        if not ERROR_RESPONSES[self.kind].allows_retry:
            return None
        return DEFAULT_RETRY_AFTER_SECONDS if seconds is None else seconds
