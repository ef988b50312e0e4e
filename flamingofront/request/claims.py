"""Idempotency keys: a claim row is written to the store before a request is sent to an endpoint.

The claim row alone decides whether a key was used. It holds the digest of the request, the owner
and finally the answer, so that a second call with the key gets the same answer from any entry VM.
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
    "acquire_claim",
    "store_claim_result",
    "reassign_claim",
    "release_claim",
    "retry_until_done",
    "compute_request_digest",
]

CLAIM_PREFIX = "claim/"
CLAIM_BUDGET_SECONDS = 4.0


class ClaimState(StrEnum):
    """State of a claim row."""

    CLAIMED = "claimed"
    DONE = "done"
    UNKNOWN = "unknown"


class ClaimDecision(StrEnum):
    """Decision on a request with an idempotency key."""

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
    """Result of `acquire_claim`.

    Parameters
    ----------
    owner : str
        Entry VM that owns the claim.
    request_id : str
        Request that the claim belongs to.
    answer : StoredAnswer or None
        Stored answer, if the decision is ``ANSWERED``.
    may_exist : bool
        True if the store may have a claim of this request although it was not granted.
    """

    decision: ClaimDecision
    owner: str = ""
    request_id: str = ""
    answer: StoredAnswer | None = None
    may_exist: bool = False


def compute_request_digest(method: str, path: str, body: bytes) -> str:
    """Return a digest that must be equal for all calls with the same key."""
    digest = hashlib.sha256()
    for part in (method.encode(), path.encode(), body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()


def _evaluate_row(
    row: Document, request_id: str, digest: str, is_gone: Callable[[str], bool]
) -> ClaimOutcome:
    """Return the decision on this request by an existing claim row."""
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
    """Return True if an existing claim may be replaced.

    Notes
    -----
    It may if its request was certainly not run, or if the request may run more than once.
    """
    if outcome.decision is ClaimDecision.OUTCOME_UNKNOWN:
        return repeatable
    if outcome.decision is not ClaimDecision.IN_PROGRESS or ask_owner is None:
        return False
    return (yield from ask_owner(outcome.owner, outcome.request_id))


def acquire_claim(
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
    """Claim an idempotency key for a request.

    Parameters
    ----------
    owner : str
        Id of this entry VM.
    digest : str
        Digest of the request, by `compute_request_digest`.
    is_gone : callable
        Returns True if the VM that owns a claim has left permanently.
    budget : float
        Seconds after which the store is not retried.
    ask_owner : callable, optional
        Starts a task that returns True if the owner confirms that its request was not run.
    repeatable : bool
        True if the request may run again after its owner has left.

    Returns
    -------
    ClaimOutcome
        ``GRANTED`` only if the store has confirmed that the row belongs to this request.

    Notes
    -----
    After a lost response of the store the row is read back: its request id shows which write took
    effect.
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
    may_exist = False
    while True:
        try:
            (row,) = yield from documents.read([key.row_key])
            if row.value is not None:
                outcome = _evaluate_row(row, request_id, digest, is_gone)
                if not (yield from _may_take_over(outcome, ask_owner, repeatable)):
                    return outcome
            if (yield from documents.replace(row, value)):
                return ClaimOutcome(ClaimDecision.GRANTED, owner, request_id)
        except PlatformError as exc:
            may_exist = may_exist or exc.maybe_applied
        if now() >= deadline:
            return ClaimOutcome(ClaimDecision.UNAVAILABLE, may_exist=may_exist)
        yield Sleep(backoff.compute_delay(tries, rng))
        tries += 1


def retry_until_done(write_once: Callable[[], Task], rng: random.Random) -> Task:
    """Retry a write until the store has confirmed it."""
    backoff = Backoff(0.1, 5.0)
    tries = 0
    while True:
        try:
            done = yield from write_once()
        except PlatformError:
            done = False
        if done:
            return
        yield Sleep(backoff.compute_delay(tries, rng))
        tries += 1


def store_claim_result(
    documents: DocumentStore,
    key: ClaimKey,
    request_id: str,
    answer: StoredAnswer | None,
    rng: random.Random,
    expires_at: float,
) -> Task:
    """Store the answer in the claim row, with retries.

    Parameters
    ----------
    answer : StoredAnswer or None
        Answer of the request; None if its outcome is unknown.
    expires_at : float
        Seconds since the epoch at which the claim is removed.
    """

    def write_once() -> Task:
        (row,) = yield from documents.read([key.row_key])
        if row.value is None or row.value["request_id"] != request_id:
            return True
        state = ClaimState.DONE if answer is not None else ClaimState.UNKNOWN
        stored = answer_to_json(answer) if answer is not None else None
        value = {**row.value, "state": state.value, "answer": stored, "until": expires_at}
        return (yield from documents.replace(row, value, build_expiry_write(row.key, expires_at)))

    yield from retry_until_done(write_once, rng)


def reassign_claim(
    documents: DocumentStore, key: ClaimKey, request_id: str, owner: str, rng: random.Random
) -> Task:
    """Set the owner of the claim of a request that was handed over, with retries."""

    def write_once() -> Task:
        (row,) = yield from documents.read([key.row_key])
        if row.value is None or row.value["request_id"] != request_id:
            return True
        return (yield from documents.replace(row, {**row.value, "owner": owner}))

    yield from retry_until_done(write_once, rng)


def release_claim(
    documents: DocumentStore,
    key: ClaimKey,
    request_id: str,
    rng: random.Random,
    settle_seconds: float = 0.0,
) -> Task:
    """Delete the claim of a request that was certainly not run, with retries.

    Parameters
    ----------
    settle_seconds : float
        Initial wait, for an unacknowledged write that may still arrive at the store.
    """

    def write_once() -> Task:
        (row,) = yield from documents.read([key.row_key])
        if row.value is None or row.value["request_id"] != request_id:
            return True
        return (yield from documents.replace(row, None))

    if settle_seconds:
        yield Sleep(settle_seconds)
    yield from retry_until_done(write_once, rng)
