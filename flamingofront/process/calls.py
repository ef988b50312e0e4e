"""One call to a service of the platform, and what its failure tells."""

from flamingofront.errors import PlatformError
from flamingofront.messages import CallFailed, OutboundCall
from flamingofront.process.tasks import Task

__all__ = ["send_call"]

# Answers that promise that nothing was done.
REFUSED_STATUSES = (429, 503)


def send_call(call: OutboundCall, is_write: bool, allowed: tuple[int, ...]) -> Task:
    """Send a call and return its response.

    Raises
    ------
    PlatformError
        If there is no answer or one that is not allowed.
    """
    reply = yield call
    where = f"{call.method} {call.path.split('?')[0]}"
    if isinstance(reply, CallFailed):
        raise PlatformError(f"{where}: {reply.reason}", maybe_applied=is_write and reply.wrote)
    if reply.status not in allowed:
        refused = reply.status in REFUSED_STATUSES
        raise PlatformError(
            f"{where}: status {reply.status}", maybe_applied=is_write and not refused
        )
    return reply
