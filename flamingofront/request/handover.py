"""Give requests in flight to other entry VMs before this one goes.

The text is frozen before its record is offered, and a lost acknowledgement never unfreezes it: from
the offer on, only the peer may extend the text. Another peer is tried only with evidence that the
one before did not take the record.
"""

from dataclasses import dataclass
from enum import StrEnum

import orjson

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
    """What became of an offered record."""

    TAKEN = "taken"
    MAYBE_TAKEN = "maybe_taken"
    NOT_TAKEN = "not_taken"


@dataclass(frozen=True)
class HandoverTarget:
    """A peer that may take records."""

    vm_id: str
    address: str


def rank_targets(
    request_id: str, peers: tuple[Fact, ...], avoid_zone: str | None
) -> list[HandoverTarget]:
    """Return the peers in the order in which a record is offered to them.

    Parameters
    ----------
    avoid_zone : str or None
        Zone that is going as a whole; its peers come last.
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
) -> Task:
    """Offer a frozen record to peers until one has it.

    Returns
    -------
    tuple of (HandoverResult, HandoverTarget or None)
        ``MAYBE_TAKEN`` if a peer was sent the record and neither confirmed nor denied it.
    """
    body = orjson.dumps({"record": record.to_json(), "sender": sender})
    for target in targets:
        result = yield from _offer_to(target, body, headers)
        if result is not HandoverResult.NOT_TAKEN:
            return result, target
    return HandoverResult.NOT_TAKEN, None


def _offer_to(target: HandoverTarget, body: bytes, headers: tuple[tuple[str, str], ...]) -> Task:
    call = OutboundCall(
        target.address,
        "POST",
        "/peer/handover",
        body,
        headers,
        OFFER_TIMEOUT_SECONDS,
        new_connection=True,
    )
    maybe_taken = False
    for _ in range(OFFER_TRIES):
        reply = yield call
        if isinstance(reply, CallFailed):
            maybe_taken = maybe_taken or reply.wrote
        elif reply.status == 200:
            return HandoverResult.TAKEN
        elif not maybe_taken:
            return HandoverResult.NOT_TAKEN
        yield Sleep(RETRY_SECONDS)
    return HandoverResult.MAYBE_TAKEN if maybe_taken else HandoverResult.NOT_TAKEN
