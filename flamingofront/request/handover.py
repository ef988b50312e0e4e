"""Hand-over of requests in flight to other entry VMs before this one shuts down.

The text is frozen before the record is offered, and a lost acknowledgement never unfreezes it: from
the offer on, only the peer may extend the text. The next peer is tried only with evidence that the
previous one did not accept the record.
"""

from collections.abc import Callable
from dataclasses import dataclass, replace
from enum import StrEnum

import orjson

from flamingofront.connection.server import states_not_executed
from flamingofront.messages import CallFailed, OutboundCall, Sleep
from flamingofront.process.membership import Fact
from flamingofront.process.rendezvous import rank
from flamingofront.process.tasks import Task
from flamingofront.request.records import RequestRecord

__all__ = ["HandoverResult", "HandoverTarget", "offer_record", "rank_targets"]

OFFER_TIMEOUT_SECONDS = 1.0
OFFER_TRIES = 4
RETRY_SECONDS = 0.1


class HandoverResult(StrEnum):
    """Outcome of an offer; ``MAYBE_TAKEN`` if a peer was sent the record but did not reply."""

    TAKEN = "taken"
    MAYBE_TAKEN = "maybe_taken"
    NOT_TAKEN = "not_taken"


@dataclass(frozen=True)
class HandoverTarget:
    """A peer to which records can be offered."""

    vm_id: str
    address: str


def rank_targets(
    request_id: str, peers: tuple[Fact, ...], avoid_zone: str | None
) -> list[HandoverTarget]:
    """Return the peers in the order in which a record is offered to them.

    Parameters
    ----------
    avoid_zone : str or None
        Zone that is being reclaimed as a whole; its peers come last.
    """
    by_id = {each.vm_id: each for each in peers}
    ordered = rank(request_id, by_id)
    ordered.sort(key=lambda vm_id: by_id[vm_id].zone == avoid_zone)
    return [HandoverTarget(vm_id, by_id[vm_id].address) for vm_id in ordered]


def offer_record(
    record: RequestRecord,
    sender: str,
    targets: list[HandoverTarget],
    headers: tuple[tuple[str, str], ...],
    now: Callable[[], float],
) -> Task:
    """Offer a frozen record to one peer after the other until one may have accepted it.

    Parameters
    ----------
    now : callable
        Returns the current time in seconds, by which the time left of the request is reduced.

    Returns
    -------
    tuple of (HandoverResult, HandoverTarget or None)
        Outcome and the peer that accepted the record or may have; None if none did.
    """
    offered_at = now()

    def encode() -> bytes:
        seconds_left = max(0.0, record.deadline_left - (now() - offered_at))
        offered = replace(record, deadline_left=seconds_left)
        return orjson.dumps({"record": offered.to_json(), "sender": sender})

    for target in targets:
        result = yield from _offer_to(target, encode, headers)
        if result is not HandoverResult.NOT_TAKEN:
            return result, target
    return HandoverResult.NOT_TAKEN, None


def _offer_to(
    target: HandoverTarget, encode: Callable[[], bytes], headers: tuple[tuple[str, str], ...]
) -> Task:
    maybe_taken = False
    for _ in range(OFFER_TRIES):
        reply = yield OutboundCall(
            target.address,
            "POST",
            "/peer/handover",
            encode(),
            headers,
            OFFER_TIMEOUT_SECONDS,
            new_connection=True,
        )
        if isinstance(reply, CallFailed):
            maybe_taken = maybe_taken or reply.wrote
        elif reply.status == 200:
            return HandoverResult.TAKEN
        elif not states_not_executed(reply.body):
            maybe_taken = True
        elif not maybe_taken:
            return HandoverResult.NOT_TAKEN
        yield Sleep(RETRY_SECONDS)
    return HandoverResult.MAYBE_TAKEN if maybe_taken else HandoverResult.NOT_TAKEN
