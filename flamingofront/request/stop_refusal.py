"""Refusal of what a process that stops could not answer in full."""

import math

from flamingofront.decisions.stopping import can_complete
from flamingofront.errors import ErrorKind, Executed, RequestError
from flamingofront.request.forward_work import ForwardWork
from flamingofront.request.host import RequestHost
from flamingofront.request.records import RequestRecord

__all__ = ["make_shutdown_rejection"]

# Another process takes the request at once.
STOPPING_RETRY_SECONDS = 0.05


def make_shutdown_rejection(
    hub: RequestHost, record: RequestRecord, deadline_left: float
) -> RequestError | None:
    """Return the error for a request that may outlast this process; None if it ends before.

    Parameters
    ----------
    deadline_left : float
        Seconds from now after which the request is ended in any case.
    """
    left = hub.shutdown_seconds_left()
    if math.isinf(left):
        return None
    bound = _bound(hub, record.service.name, record.work)
    if can_complete(deadline_left, bound, left):
        return None
    return RequestError(
        ErrorKind.DRAINING,
        "this process stops before the request could end",
        Executed.NO,
        STOPPING_RETRY_SECONDS,
        {
            "stop_left": round(left, 2),
            "deadline_left": round(deadline_left, 2),
            "longest": None if math.isinf(bound) else round(bound, 2),
            "output": record.work.output_tokens,
        },
    )


def _bound(hub: RequestHost, service: str, work: ForwardWork) -> float:
    """Return the longest seconds that a request takes, as far as its size tells."""
    return (
        hub.completion.for_service(service).estimate_max_seconds(work.output_tokens)
        if work.stream
        else math.inf
    )
