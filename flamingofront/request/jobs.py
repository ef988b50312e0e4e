"""Asynchronous requests: kept in the table service until they are done.

The row of a job names its owner; every step that matters is a compare-and-swap on that row. If the
owner dies, a peer adopts its jobs, and a late write of the old owner fails.
"""

import random
from dataclasses import dataclass
from enum import StrEnum

from flamingofront.errors import PlatformError
from flamingofront.messages import Sleep
from flamingofront.process.backoff import Backoff
from flamingofront.process.documents import Condition, DocumentStore, Write
from flamingofront.process.expiry import build_expiry_write
from flamingofront.process.tasks import Task
from flamingofront.request.claims import repeat_until_done
from flamingofront.request.records import RequestRecord
from flamingofront.request.stored_answer import StoredAnswer, answer_from_json, answer_to_json

__all__ = [
    "AdoptedJob",
    "JobState",
    "JobStatus",
    "create_job",
    "fetch_job",
    "finish_job",
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
    """A job as a caller may see it."""

    workspace: str
    state: JobState
    answer: StoredAnswer | None = None


@dataclass(frozen=True)
class AdoptedJob:
    """A job that this process has taken over.

    Parameters
    ----------
    maybe_ran : bool
        True if the old owner may have sent it to an endpoint.
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
    """Write a job before its caller is told that it was accepted.

    Raises
    ------
    PlatformError
        If the job could not be confirmed; `maybe_applied` if it may stand nevertheless.
    """
    key = _job_key(record.request_id)
    value = {"record": record.to_json(), "owner": owner, "state": JobState.QUEUED.value}
    writes = (Write(key, value), Write(_owner_key(owner, record.request_id), {}))
    maybe_applied = False
    detail = ""
    for tries in range(CREATE_TRIES):
        try:
            result = yield from documents.transact((Condition(key, 0),), writes)
            # A failed condition means that an earlier try, whose answer was lost, took effect.
            if result.ok or maybe_applied:
                return
        except PlatformError as exc:
            maybe_applied = maybe_applied or exc.maybe_applied
            detail = str(exc)
        yield Sleep(_BACKOFF.compute_delay(tries, rng))
    raise PlatformError(detail, maybe_applied)


def fetch_job(documents: DocumentStore, request_id: str) -> Task:
    """Return the `JobStatus` of a job, None if there is no such job."""
    (row,) = yield from documents.read([_job_key(request_id)])
    if row.value is None:
        return None
    state = JobState(row.value["state"])
    answer = None
    if state is JobState.DONE:
        answer = answer_from_json(row.value["answer"])
    return JobStatus(row.value["record"]["workspace"], state, answer)


def mark_running(documents: DocumentStore, request_id: str, owner: str) -> Task:
    """Note, before the first byte is sent, that a job may be running; True if it is still ours."""
    (row,) = yield from documents.read([_job_key(request_id)])
    if row.value is None or row.value["owner"] != owner:
        return False
    if row.value["state"] == JobState.RUNNING.value:
        return True
    value = {**row.value, "state": JobState.RUNNING.value}
    return (yield from documents.replace(row, value))


def finish_job(
    documents: DocumentStore,
    request_id: str,
    owner: str,
    answer: StoredAnswer,
    rng: random.Random,
    until: float,
) -> Task:
    """Store the answer of a job; repeat until it stands or the job is another's.

    Parameters
    ----------
    until : float
        Seconds since the epoch at which the job is removed.
    """

    def step() -> Task:
        (row,) = yield from documents.read([_job_key(request_id)])
        if row.value is None or row.value["owner"] != owner:
            return True
        if row.value["state"] == JobState.DONE.value:
            return True
        stored = answer_to_json(answer)
        value = {**row.value, "state": JobState.DONE.value, "answer": stored, "until": until}
        drop_index = Write(_owner_key(owner, request_id), None)
        end = build_expiry_write(row.key, until)
        return (yield from documents.replace(row, value, drop_index, end))

    yield from repeat_until_done(step, rng)


def move_job(documents: DocumentStore, request_id: str, old_owner: str, new_owner: str) -> Task:
    """Move a job to another owner; return it as `AdoptedJob`, None if it is not the old owner's."""
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
    maybe_ran = row.value["state"] == JobState.RUNNING.value
    return AdoptedJob(RequestRecord.from_json(row.value["record"]), maybe_ran)


def move_jobs(documents: DocumentStore, old_owner: str, new_owner: str) -> Task:
    """Become the owner of all unfinished jobs of a process that is gone."""
    rows = yield from documents.scan(f"{OWNER_PREFIX}{old_owner}/")
    for row in rows:
        request_id = row.key.rsplit("/", 1)[1]
        yield from move_job(documents, request_id, old_owner, new_owner)


def list_owned_jobs(documents: DocumentStore, owner: str) -> Task:
    """Return all unfinished jobs of an owner, those included whose move lost its answer."""
    index = yield from documents.scan(f"{OWNER_PREFIX}{owner}/")
    keys = [_job_key(row.key.rsplit("/", 1)[1]) for row in index]
    rows = yield from documents.read(keys)
    return [
        AdoptedJob(
            RequestRecord.from_json(row.value["record"]),
            row.value["state"] == JobState.RUNNING.value,
        )
        for row in rows
        if row.value is not None and row.value["state"] != JobState.DONE.value
    ]


def is_outcome_unknown(job: AdoptedJob) -> bool:
    """Tell whether an adopted job must not be sent again."""
    return job.maybe_ran and not job.record.may_repeat
