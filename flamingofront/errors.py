"""Exceptions of flamingofront and the closed list of error kinds.

Every answer that is not a success is made from one row of `ERROR_RESPONSES`. No other module chooses an
HTTP status, and no other module decides whether a retry is worth advertising.
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
    "Executed",
    "RequestError",
    "SettingsError",
]


DEFAULT_RETRY_SECONDS = 1.0


class Executed(StrEnum):
    """Whether the work of a request was executed by an endpoint."""

    NO = "no"
    UNKNOWN = "unknown"
    YES = "yes"


class ErrorKind(StrEnum):
    """Closed list of the errors that a caller or operator can be told."""

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
    DRAINING = "draining"
    NOT_READY = "not_ready"
    NO_ENDPOINT = "no_endpoint"
    RETRY_BUDGET_EXHAUSTED = "retry_budget_exhausted"
    DEADLINE_EXCEEDED = "deadline_exceeded"
    ENDPOINT_FAILED = "endpoint_failed"
    OUTCOME_UNKNOWN = "outcome_unknown"
    CRASHES_ENDPOINTS = "crashes_endpoints"
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
    """How one error kind is told.

    Parameters
    ----------
    status : int
        HTTP status code.
    ran : Ran
        Default statement on execution; a `RequestError` may override it with better evidence.
    retry : bool
        Whether a ``Retry-After`` header makes sense.
    text : str
        Sentence for the reader of the answer.
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
    ErrorKind.DRAINING: ErrorResponse(503, Executed.NO, True, "this entry VM is draining"),
    ErrorKind.NOT_READY: ErrorResponse(503, Executed.NO, True, "this entry VM is starting"),
    ErrorKind.NO_ENDPOINT: ErrorResponse(
        503, Executed.NO, True, "no endpoint can take the request"
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
    """Root of the exception tree."""


class SettingsError(FlamingofrontError):
    """A flag or environment variable has a value that is not allowed."""


class ConfigurationError(FlamingofrontError):
    """A proposed configuration is not valid as a whole.

    Parameters
    ----------
    faults : tuple of str
        One sentence for each fault, naming the object, the field and the value.
    """

    def __init__(self, faults: tuple[str, ...]):
        super().__init__("; ".join(faults))
        self.faults = faults


class CommandError(FlamingofrontError):
    """A query or command of an operator cannot be understood."""


class PlatformError(FlamingofrontError):
    """The platform's service refused, failed or did not answer.

    Parameters
    ----------
    detail : str
        What happened.
    maybe_applied : bool
        True if the operation may have taken effect nevertheless.
    """

    def __init__(self, detail: str, maybe_applied: bool = False):
        super().__init__(detail)
        self.maybe_applied = maybe_applied


class RequestError(FlamingofrontError):
    """A caller's request ends with an error answer.

    Parameters
    ----------
    kind : ErrorKind
        Row of the answer table.
    detail : str, optional
        What exactly is wrong, naming the bad value.
    ran : Ran, optional
        Evidence about execution; the table's default if not given.
    retry_after : float, optional
        Seconds after which a retry makes sense; a default where the table allows one.
    inputs : mapping of str to object, optional
        What decided, by name, for the line in the log; not told to the caller.
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
        self.retry_after = self._retry_after(retry_after)

    def _retry_after(self, given: float | None) -> float | None:
        """Return the time to tell: none where the table says that a retry makes no sense."""
        if not ERROR_RESPONSES[self.kind].allows_retry:
            return None
        return DEFAULT_RETRY_SECONDS if given is None else given
