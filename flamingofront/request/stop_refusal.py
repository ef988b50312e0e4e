"""Rejection of requests that may not finish before this process shuts down."""

import math

from flamingofront.decisions.stopping import can_complete
from flamingofront.errors import ErrorKind, Executed, RequestError
from flamingofront.request.forward_work import ForwardWork
from flamingofront.request.host import RequestHost
from flamingofront.request.records import RequestRecord

__all__ = ["make_shutdown_rejection", "reject_at_end"]

# Short, because another entry process can accept the request immediately.
SHUTDOWN_RETRY_SECONDS = 0.05


def reject_at_end(hub: RequestHost) -> None:
    """Reject any request once none could end before this process exits.

    Raises
    ------
    RequestError
        If no time is left.
    """
    seconds_left = hub.shutdown_seconds_left()
    if seconds_left <= 0:
        raise RequestError(
            ErrorKind.DRAINING,
            "this process stops now",
            Executed.NO,
            SHUTDOWN_RETRY_SECONDS,
            {"stop_left": round(seconds_left, 2)},
        )


def make_shutdown_rejection(
    hub: RequestHost, record: RequestRecord, deadline_left: float
) -> RequestError | None:
    """Return the error for a request that may outlast this process; None if it finishes before.

    Parameters
    ----------
    deadline_left : float
        Seconds until the deadline of the request.
    """
    seconds_left = hub.shutdown_seconds_left()
    if math.isinf(seconds_left):
        return None
    bound = _compute_duration_bound(hub, record.service.name, record.work)
    if can_complete(deadline_left, bound, seconds_left):
        return None
    return RequestError(
        ErrorKind.DRAINING,
        "this process stops before the request could end",
        Executed.NO,
        SHUTDOWN_RETRY_SECONDS,
        {
            "stop_left": round(seconds_left, 2),
            "deadline_left": round(deadline_left, 2),
            "longest": None if math.isinf(bound) else round(bound, 2),
            "output": record.work.output_tokens,
        },
    )


def _compute_duration_bound(hub: RequestHost, service: str, work: ForwardWork) -> float:
    """Return the longest expected duration in seconds, by output size; infinity if unknown.

    Notes
    -----
    Until the load balancer has removed this process, most requests come here, and nearly all end in
    the time that is left. Afterwards a stream must end in time in any case.
    """
    if not work.stream:
        return math.inf
    bound = hub.completion.for_service(service)
    if hub.is_out_of_rotation():
        prefill = hub.rates.for_service(service).estimate().token_seconds * work.prompt_tokens
        return bound.estimate_max_seconds(work.output_tokens, hub.measure_streams(service), prefill)
    return bound.estimate_usual_seconds(work.output_tokens)
