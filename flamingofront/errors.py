"""Exceptions of flamingofront and the closed list of error kinds.

Every answer that is not a success is made from one row of `ANSWERS`. No other module chooses an
HTTP status, and no other module decides whether a retry is worth advertising.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import StrEnum

__all__ = [
    "ANSWERS",
    "Answer",
    "CommandError",
    "ConfigurationError",
    "ErrorKind",
    "FlamingofrontError",
    "PlatformError",
    "Ran",
    "RequestError",
    "SettingsError",
]


DEFAULT_RETRY_SECONDS = 1.0


class Ran(StrEnum):
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
class Answer:
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
    ran: Ran
    retry: bool
    text: str


ANSWERS: dict[ErrorKind, Answer] = {
    ErrorKind.MALFORMED_REQUEST: Answer(400, Ran.NO, False, "the request is malformed"),
    ErrorKind.HEADERS_TOO_LARGE: Answer(431, Ran.NO, False, "the request head is too large"),
    ErrorKind.BODY_TOO_LARGE: Answer(413, Ran.NO, False, "the request body is too large"),
    ErrorKind.REQUEST_TIMEOUT: Answer(408, Ran.NO, True, "the request did not arrive in time"),
    ErrorKind.METHOD_NOT_ALLOWED: Answer(405, Ran.NO, False, "the method is not allowed here"),
    ErrorKind.NOT_FOUND: Answer(404, Ran.NO, False, "no such resource"),
    ErrorKind.UNKNOWN_SERVICE: Answer(404, Ran.NO, False, "no such model or service"),
    ErrorKind.UNKNOWN_WORKSPACE: Answer(401, Ran.NO, False, "unknown workspace or credential"),
    ErrorKind.UNKNOWN_REQUEST: Answer(404, Ran.UNKNOWN, False, "this request is not held here"),
    ErrorKind.HOLDER_UNREACHABLE: Answer(
        503, Ran.UNKNOWN, True, "the entry VM that holds this request cannot be reached"
    ),
    ErrorKind.LIMIT_EXCEEDED: Answer(429, Ran.NO, True, "the workspace is over its limit"),
    ErrorKind.OVERLOADED: Answer(503, Ran.NO, True, "the endpoints are at capacity"),
    ErrorKind.DRAINING: Answer(503, Ran.NO, True, "this entry VM is draining"),
    ErrorKind.NOT_READY: Answer(503, Ran.NO, True, "this entry VM is starting"),
    ErrorKind.NO_ENDPOINT: Answer(503, Ran.NO, True, "no endpoint can take the request"),
    ErrorKind.RETRY_BUDGET_EXHAUSTED: Answer(
        503, Ran.UNKNOWN, True, "the retry budget of the service is used up"
    ),
    ErrorKind.DEADLINE_EXCEEDED: Answer(504, Ran.UNKNOWN, True, "the deadline passed"),
    ErrorKind.ENDPOINT_FAILED: Answer(502, Ran.UNKNOWN, True, "the endpoint failed"),
    ErrorKind.OUTCOME_UNKNOWN: Answer(
        502, Ran.UNKNOWN, False, "the call was sent but its outcome is not known"
    ),
    ErrorKind.CRASHES_ENDPOINTS: Answer(
        502, Ran.YES, False, "endpoints ended while they ran this request; it is not run again"
    ),
    ErrorKind.KEY_REUSED: Answer(
        422, Ran.NO, False, "the idempotency key was used with another request"
    ),
    ErrorKind.KEY_IN_PROGRESS: Answer(
        409, Ran.UNKNOWN, True, "a request with this idempotency key is in progress"
    ),
    ErrorKind.STORE_UNAVAILABLE: Answer(503, Ran.NO, True, "the platform's store is out of reach"),
    ErrorKind.HANDED_OVER: Answer(503, Ran.YES, True, "the request continues on another entry VM"),
    ErrorKind.SLOW_READER: Answer(503, Ran.YES, True, "the answer was not read in time"),
    ErrorKind.INVALID_CONFIGURATION: Answer(422, Ran.NO, False, "the configuration is not valid"),
    ErrorKind.INVALID_COMMAND: Answer(400, Ran.NO, False, "the command is not valid"),
    ErrorKind.CONFLICT: Answer(409, Ran.NO, False, "another change was accepted first"),
    ErrorKind.OPERATION_UNKNOWN: Answer(
        504, Ran.UNKNOWN, True, "the outcome of the operation is not known"
    ),
    ErrorKind.INTERNAL: Answer(500, Ran.UNKNOWN, False, "internal error"),
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
    maybe_done : bool
        True if the operation may have taken effect nevertheless.
    """

    def __init__(self, detail: str, maybe_done: bool = False):
        super().__init__(detail)
        self.maybe_done = maybe_done


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
        ran: Ran | None = None,
        retry_after: float | None = None,
        inputs: Mapping[str, object] | None = None,
    ):
        super().__init__(detail or ANSWERS[kind].text)
        self.inputs = inputs or {}
        self.kind = kind
        self.detail = detail
        self.ran = ran if ran is not None else ANSWERS[kind].ran
        self.retry_after = self._retry_after(retry_after)

    def _retry_after(self, given: float | None) -> float | None:
        """Return the time to tell: none where the table says that a retry makes no sense."""
        if not ANSWERS[self.kind].retry:
            return None
        return DEFAULT_RETRY_SECONDS if given is None else given
