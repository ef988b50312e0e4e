"""Calls to the services of the platform, with errors that tell if a write may have taken effect."""

from flamingofront.errors import PlatformError, PlatformRateLimitError, PlatformTimeoutError
from flamingofront.messages import CallFailed, OutboundCall
from flamingofront.process.tasks import Task

__all__ = ["send_call"]

# Responses that guarantee that the call had no effect.
STATUS_RATE_LIMITED = 429
REJECTED_STATUSES = (STATUS_RATE_LIMITED, 503)
TIMEOUT_REASON = "timeout"


def send_call(call: OutboundCall, is_write: bool, allowed_statuses: tuple[int, ...]) -> Task:
    """Send a call and return its response.

    Parameters
    ----------
    is_write : bool
        True if the call changes something on the platform.
    allowed_statuses : tuple of int
        Status codes that are returned; any other raises an error.

    Raises
    ------
    PlatformError
        If there is no response or its status is not allowed; `maybe_applied` is True if a write may
        have taken effect.
    """
    reply = yield call
    where = f"{call.method} {call.path.split('?')[0]}"
    if isinstance(reply, CallFailed):
        error = PlatformTimeoutError if reply.reason == TIMEOUT_REASON else PlatformError
        cause = f"{reply.reason}, {reply.detail}" if reply.detail else reply.reason
        raise error(f"{where}: {cause}", maybe_applied=is_write and reply.wrote)
    if reply.status not in allowed_statuses:
        is_limited = reply.status == STATUS_RATE_LIMITED
        error = PlatformRateLimitError if is_limited else PlatformError
        is_rejected = reply.status in REJECTED_STATUSES
        raise error(f"{where}: status {reply.status}", maybe_applied=is_write and not is_rejected)
    return reply
