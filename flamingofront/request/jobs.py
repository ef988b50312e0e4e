"""Asynchronous requests (jobs), stored in the table service until they are finished.

The row of a job names its owner, and each state change is a compare-and-swap on that row. If the
owner terminates, a peer adopts its jobs, and a late write of the old owner fails.
"""

import random
from dataclasses import dataclass, replace
from enum import StrEnum

from flamingofront.errors import Executed, PlatformError
from flamingofront.messages import Sleep
from flamingofront.process.backoff import Backoff
from flamingofront.process.documents import Condition, Document, DocumentStore, Write
from flamingofront.process.expiry import build_expiry_write
from flamingofront.process.tasks import Task
from flamingofront.request.claims import retry_until_done
from flamingofront.request.records import RequestRecord
from flamingofront.request.stored_answer import StoredAnswer, answer_from_json, answer_to_json

__all__ = [
    "AdoptedJob",
    "JobState",
    "JobStatus",
    "create_job",
    "fetch_job",
    "store_job_result",
    "is_outcome_unknown",
    "mark_running",
    "move_jobs",
    "list_owned_jobs",
    "move_job",
]

JOB_PREFIX = "job/"
OWNER_PREFIX = "job-owner/"
CREATE_TRIES = 5
_BACKOFF = Backoff(0.05, 0.5)


class JobState(StrEnum):
    """State of a job row."""

    QUEUED = "queued"
    RUNNING = "running"
    DONE = "done"


@dataclass(frozen=True)
class JobStatus:
    """Status of a job, as reported to its caller."""

    workspace: str
    state: JobState
    answer: StoredAnswer | None = None


@dataclass(frozen=True)
class AdoptedJob:
    """A job that this process has adopted.

    Parameters
    ----------
    maybe_ran : bool
        True if the previous owner may have sent it to an endpoint.
    """

    record: RequestRecord
    maybe_ran: bool


def _job_key(request_id: str) -> str:
    return JOB_PREFIX + request_id


def _owner_key(owner: str, request_id: str) -> str:
    return f"{OWNER_PREFIX}{owner}/{request_id}"


def create_job(
    documents: DocumentStore, record: RequestRecord, owner: str, rng: random.Random
) -> Task:
    """Store a job, before its caller is told that it was accepted.

    Raises
    ------
    PlatformError
        If the store did not confirm the write; `maybe_applied` if it may have taken effect.
    """
    key = _job_key(record.request_id)
    value = {"record": record.to_json(), "owner": owner, "state": JobState.QUEUED.value}
    writes = (Write(key, value), Write(_owner_key(owner, record.request_id), {}))
    maybe_applied = False
    detail = ""
    for tries in range(CREATE_TRIES):
        try:
            result = yield from documents.transact((Condition(key, 0),), writes)
            # A failed condition means that an earlier, unacknowledged write took effect.
            if result.ok or maybe_applied:
                return
        except PlatformError as exc:
            maybe_applied = maybe_applied or exc.maybe_applied
            detail = str(exc)
        yield Sleep(_BACKOFF.compute_delay(tries, rng))
    raise PlatformError(detail, maybe_applied)


def fetch_job(documents: DocumentStore, request_id: str) -> Task:
    """Return the `JobStatus` of a job; None if there is no such job."""
    (row,) = yield from documents.read([_job_key(request_id)])
    if row.value is None:
        return None
    state = JobState(row.value["state"])
    answer = None
    if state is JobState.DONE:
        answer = answer_from_json(row.value["answer"])
    return JobStatus(row.value["record"]["workspace"], state, answer)


def mark_running(documents: DocumentStore, request_id: str, owner: str) -> Task:
    """Record that a job may be running, before it is sent; return False for another owner's job."""
    (row,) = yield from documents.read([_job_key(request_id)])
    if row.value is None or row.value["owner"] != owner:
        return False
    if row.value["state"] == JobState.RUNNING.value:
        return True
    value = {**row.value, "state": JobState.RUNNING.value}
    return (yield from documents.replace(row, value))


def store_job_result(
    documents: DocumentStore,
    request_id: str,
    owner: str,
    answer: StoredAnswer,
    rng: random.Random,
    expires_at: float,
) -> Task:
    """Store the answer of a job, with retries, unless it has another owner.

    Parameters
    ----------
    expires_at : float
        Seconds since the epoch at which the job is removed.
    """

    def write_once() -> Task:
        (row,) = yield from documents.read([_job_key(request_id)])
        if row.value is None or row.value["owner"] != owner:
            return True
        if row.value["state"] == JobState.DONE.value:
            return True
        stored = answer_to_json(answer)
        value = {**row.value, "state": JobState.DONE.value, "answer": stored, "until": expires_at}
        drop_index = Write(_owner_key(owner, request_id), None)
        removal = build_expiry_write(row.key, expires_at)
        return (yield from documents.replace(row, value, drop_index, removal))

    yield from retry_until_done(write_once, rng)


def _make_adopted_job(row: Document) -> AdoptedJob:
    """Return the job of a row; only those that must not run twice are marked before a send."""
    record = RequestRecord.from_json(row.value["record"])
    maybe_ran = record.may_repeat or row.value["state"] == JobState.RUNNING.value
    if maybe_ran:
        record = replace(record, ran=Executed.UNKNOWN)
    return AdoptedJob(record, maybe_ran)


def move_job(documents: DocumentStore, request_id: str, old_owner: str, new_owner: str) -> Task:
    """Move a job to a new owner; return an `AdoptedJob`, or None if it is finished or was moved."""
    (row,) = yield from documents.read([_job_key(request_id)])
    if row.value is None or row.value["owner"] != old_owner:
        return None
    if row.value["state"] == JobState.DONE.value:
        return None
    value = {**row.value, "owner": new_owner}
    moved = (
        Write(_owner_key(old_owner, request_id), None),
        Write(_owner_key(new_owner, request_id), {}),
    )
    if not (yield from documents.replace(row, value, *moved)):
        return None
    return _make_adopted_job(row)


def move_jobs(documents: DocumentStore, old_owner: str, new_owner: str) -> Task:
    """Move all unfinished jobs of a process that has left to a new owner."""
    rows = yield from documents.scan(f"{OWNER_PREFIX}{old_owner}/")
    for row in rows:
        request_id = row.key.rsplit("/", 1)[1]
        yield from move_job(documents, request_id, old_owner, new_owner)


def list_owned_jobs(documents: DocumentStore, owner: str) -> Task:
    """Return all unfinished jobs of an owner, including those whose move was unacknowledged."""
    index = yield from documents.scan(f"{OWNER_PREFIX}{owner}/")
    keys = [_job_key(row.key.rsplit("/", 1)[1]) for row in index]
    rows = yield from documents.read(keys)
    return [
        _make_adopted_job(row)
        for row in rows
        if row.value is not None and row.value["state"] != JobState.DONE.value
    ]


def is_outcome_unknown(job: AdoptedJob) -> bool:
    """Return True if an adopted job may have run and must not run again."""
    return job.maybe_ran and not job.record.may_repeat
