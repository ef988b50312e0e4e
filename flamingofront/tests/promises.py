"""Promises to callers that hold in every play, checked on what callers and endpoints saw."""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from flamingofront.tests.forwarding_world import ForwardingWorld

__all__ = [
    "AskedRequest",
    "BrokenRefusal",
    "check_promises",
    "list_broken_refusals",
    "list_repeated_runs",
]

# These statuses state that a request was not executed and never will be.
REFUSAL_STATUSES = frozenset({408, 421, 429, 503})


@dataclass(frozen=True)
class AskedRequest:
    """A caller's request.

    Parameters
    ----------
    is_repeatable : bool
        True if it may run more than once.
    """

    request_id: str
    path: str
    caller: object
    is_repeatable: bool


@dataclass(frozen=True)
class BrokenRefusal:
    """A request that was answered as not executed though an endpoint had it."""

    request_id: str
    path: str
    status: int
    body: bytes
    endpoints: tuple[str, ...]


def list_broken_refusals(
    asked: Iterable[AskedRequest], runs: Iterable[tuple[str, str]]
) -> list[BrokenRefusal]:
    """Return the requests that may run once, were refused, and have run at some time.

    Parameters
    ----------
    runs : iterable of (str, str)
        Request id and endpoint of each request that an endpoint received and did not reject.
    """
    endpoints: dict[str, tuple[str, ...]] = {}
    for request_id, endpoint_id in runs:
        endpoints[request_id] = (*endpoints.get(request_id, ()), endpoint_id)
    return [
        BrokenRefusal(
            each.request_id,
            each.path,
            each.caller.status,
            each.caller.body,
            endpoints[each.request_id],
        )
        for each in asked
        if not each.is_repeatable
        and each.caller.status in REFUSAL_STATUSES
        and each.request_id in endpoints
    ]


def list_repeated_runs(
    asked: Iterable[AskedRequest], runs: Iterable[tuple[str, str]]
) -> list[tuple[str, tuple[str, ...]]]:
    """Return id and endpoints of the requests that may run once and have run more than once.

    Parameters
    ----------
    runs : iterable of (str, str)
        Request id and endpoint of each request that an endpoint received and did not reject.
    """
    once = {each.request_id for each in asked if not each.is_repeatable}
    endpoints: dict[str, tuple[str, ...]] = {}
    for request_id, endpoint_id in runs:
        if request_id in once:
            endpoints[request_id] = (*endpoints.get(request_id, ()), endpoint_id)
    return [(request_id, found) for request_id, found in endpoints.items() if len(found) > 1]


def check_promises(worlds: "Iterable[ForwardingWorld]") -> None:
    """Check the promises in each of some worlds, at the end of a play."""
    for world in worlds:
        broken = list_broken_refusals(world.asked, world.list_runs())
        assert not broken, f"{len(broken)} requests refused though they ran: {broken[:3]}"
