"""Idempotency keys: a claim in the table service before the first byte goes to an endpoint.

The claim row is the only authority on whether a key was used. It holds the digest of the request,
the owner, and in the end the answer, so that a second call with the key gets the same answer from
any entry VM.
"""

import hashlib
import random
from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum

from flamingofront.errors import PlatformError
from flamingofront.messages import Sleep
from flamingofront.process.backoff import Backoff
from flamingofront.process.documents import Document, DocumentStore
from flamingofront.process.expiry import build_expiry_write
from flamingofront.process.tasks import Task
from flamingofront.request.stored_answer import StoredAnswer, answer_from_json, answer_to_json

__all__ = [
    "ClaimDecision",
    "ClaimKey",
    "ClaimOutcome",
    "ClaimState",
    "claim",
    "finish_claim",
    "move_claim",
    "release_claim",
    "repeat_until_done",
    "request_digest",
]

CLAIM_PREFIX = "claim/"
CLAIM_BUDGET_SECONDS = 4.0


class ClaimState(StrEnum):
    """State of a claim row."""

    CLAIMED = "claimed"
    DONE = "done"
    UNKNOWN = "unknown"


class ClaimDecision(StrEnum):
    """What the caller of `claim` may do."""

    GRANTED = "granted"
    ANSWERED = "answered"
    IN_PROGRESS = "in_progress"
    OUTCOME_UNKNOWN = "outcome_unknown"
    OTHER_REQUEST = "other_request"
    UNAVAILABLE = "unavailable"
    JOB_UNCONFIRMED = "job_unconfirmed"


@dataclass(frozen=True)
class ClaimKey:
    """An idempotency key of a workspace."""

    workspace: str
    key: str

    @property
    def row_key(self) -> str:
        """Key of the claim's row."""
        digest = hashlib.sha256(self.key.encode()).hexdigest()
        return f"{CLAIM_PREFIX}{self.workspace}/{digest}"


@dataclass(frozen=True)
class ClaimOutcome:
    """Result of `claim`.

    Parameters
    ----------
    owner : str
        VM that holds the key, if it is in progress.
    maybe_left : bool
        True if a row of this request may stand although the claim was not granted.
    """

    decision: ClaimDecision
    owner: str = ""
    request_id: str = ""
    answer: StoredAnswer | None = None
    maybe_left: bool = False


def request_digest(method: str, path: str, body: bytes) -> str:
    """Return what must be the same in each call with one key."""
    digest = hashlib.sha256()
    for part in (method.encode(), path.encode(), body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()


def _judge(
    row: Document, request_id: str, digest: str, is_gone: Callable[[str], bool]
) -> ClaimOutcome:
    """Return what a standing row means for this request."""
    value = row.value
    if value["digest"] != digest:
        return ClaimOutcome(ClaimDecision.OTHER_REQUEST)
    if value["request_id"] == request_id:
        return ClaimOutcome(ClaimDecision.GRANTED, value["owner"], request_id)
    state = ClaimState(value["state"])
    if state is ClaimState.DONE:
        answer = answer_from_json(value["answer"])
        return ClaimOutcome(ClaimDecision.ANSWERED, request_id=value["request_id"], answer=answer)
    if state is ClaimState.UNKNOWN or is_gone(value["owner"]):
        return ClaimOutcome(ClaimDecision.OUTCOME_UNKNOWN, value["owner"], value["request_id"])
    return ClaimOutcome(ClaimDecision.IN_PROGRESS, value["owner"], value["request_id"])


def _may_take_over(
    outcome: ClaimOutcome, ask_owner: Callable[[str, str], Task] | None, repeatable: bool
) -> Task:
    """Tell whether a standing claim may be replaced.

    Notes
    -----
    It may if its request was certainly not run, or if the work may be repeated.
    """
    if outcome.decision is ClaimDecision.OUTCOME_UNKNOWN:
        return repeatable
    if outcome.decision is not ClaimDecision.IN_PROGRESS or ask_owner is None:
        return False
    return (yield from ask_owner(outcome.owner, outcome.request_id))


def claim(
    documents: DocumentStore,
    key: ClaimKey,
    request_id: str,
    owner: str,
    digest: str,
    is_gone: Callable[[str], bool],
    now: Callable[[], float],
    rng: random.Random,
    budget: float = CLAIM_BUDGET_SECONDS,
    ask_owner: Callable[[str, str], Task] | None = None,
    repeatable: bool = False,
) -> Task:
    """Claim a key for a request.

    Parameters
    ----------
    is_gone : callable
        Tells whether the VM that owns a claim is gone for good.
    ask_owner : callable, optional
        Starts a task that returns True if the owner says that its request was not run.
    repeatable : bool
        True if the work may run again after its owner is gone.

    Returns
    -------
    ClaimOutcome
        ``GRANTED`` only if the row was read or confirmed to name this request.

    Notes
    -----
    After a lost answer the row is read back: the request id in it tells whose write took effect.
    """
    value = {
        "request_id": request_id,
        "owner": owner,
        "digest": digest,
        "state": ClaimState.CLAIMED.value,
    }
    deadline = now() + budget
    backoff = Backoff(0.05, 0.5)
    tries = 0
    maybe_left = False
    while True:
        try:
            (row,) = yield from documents.read([key.row_key])
            if row.value is not None:
                outcome = _judge(row, request_id, digest, is_gone)
                if not (yield from _may_take_over(outcome, ask_owner, repeatable)):
                    return outcome
            if (yield from documents.replace(row, value)):
                return ClaimOutcome(ClaimDecision.GRANTED, owner, request_id)
        except PlatformError as exc:
            maybe_left = maybe_left or exc.maybe_applied
        if now() >= deadline:
            return ClaimOutcome(ClaimDecision.UNAVAILABLE, maybe_left=maybe_left)
        yield Sleep(backoff.compute_delay(tries, rng))
        tries += 1


def repeat_until_done(step: Callable[[], Task], rng: random.Random) -> Task:
    """Repeat a step until the platform has answered it."""
    backoff = Backoff(0.1, 5.0)
    tries = 0
    while True:
        try:
            done = yield from step()
        except PlatformError:
            done = False
        if done:
            return
        yield Sleep(backoff.compute_delay(tries, rng))
        tries += 1


def finish_claim(
    documents: DocumentStore,
    key: ClaimKey,
    request_id: str,
    answer: StoredAnswer | None,
    rng: random.Random,
    until: float,
) -> Task:
    """Store the answer with the claim, or that the outcome is unknown; repeat until it stands.

    Parameters
    ----------
    until : float
        Seconds since the epoch at which the claim is removed.
    """

    def step() -> Task:
        (row,) = yield from documents.read([key.row_key])
        if row.value is None or row.value["request_id"] != request_id:
            return True
        state = ClaimState.DONE if answer is not None else ClaimState.UNKNOWN
        stored = answer_to_json(answer) if answer is not None else None
        value = {**row.value, "state": state.value, "answer": stored, "until": until}
        return (yield from documents.replace(row, value, build_expiry_write(row.key, until)))

    yield from repeat_until_done(step, rng)


def move_claim(
    documents: DocumentStore, key: ClaimKey, request_id: str, owner: str, rng: random.Random
) -> Task:
    """Become the owner of the claim of a request that was handed over; repeat until it stands."""

    def step() -> Task:
        (row,) = yield from documents.read([key.row_key])
        if row.value is None or row.value["request_id"] != request_id:
            return True
        return (yield from documents.replace(row, {**row.value, "owner": owner}))

    yield from repeat_until_done(step, rng)


def release_claim(
    documents: DocumentStore,
    key: ClaimKey,
    request_id: str,
    rng: random.Random,
    settle: float = 0.0,
) -> Task:
    """Remove the claim of a request that was certainly not run; repeat until it is gone.

    Parameters
    ----------
    settle : float
        Seconds to wait first, for a write whose answer was lost and which may still arrive.
    """

    def step() -> Task:
        (row,) = yield from documents.read([key.row_key])
        if row.value is None or row.value["request_id"] != request_id:
            return True
        return (yield from documents.replace(row, None))

    if settle:
        yield Sleep(settle)
    yield from repeat_until_done(step, rng)
