"""Requests with an idempotency key, and storage of the answers of keyed requests and jobs."""

import random
from collections import OrderedDict
from collections.abc import Callable

from flamingofront.connection.interfaces import Exchange
from flamingofront.connection.server import encode_error
from flamingofront.decisions.admission import WorkspaceShare
from flamingofront.errors import ERROR_RESPONSES, ErrorKind, Executed, PlatformError, RequestError
from flamingofront.messages import InboundRequest, Sleep
from flamingofront.process.backoff import Backoff
from flamingofront.process.documents import DocumentStore
from flamingofront.process.expiry import RETENTION_SECONDS
from flamingofront.process.tasks import Task, TaskRunner
from flamingofront.request.active import ActiveRequest
from flamingofront.request.attachments import Attachment, respond_accepted, respond_error
from flamingofront.request.claims import (
    ClaimDecision,
    ClaimKey,
    ClaimOutcome,
    acquire_claim,
    compute_request_digest,
    reassign_claim,
    release_claim,
    store_claim_result,
)
from flamingofront.request.hub import RequestHub
from flamingofront.request.jobs import create_job, mark_running, store_job_result
from flamingofront.request.records import RequestRecord
from flamingofront.request.stored_answer import StoredAnswer

__all__ = ["KeyedRequests"]

IN_PROGRESS_RETRY_SECONDS = 1.0
STORE_RETRY_SECONDS = 2.0
LATE_WRITE_SECONDS = 5.0
MAX_REMEMBERED_REQUESTS = 10_000
_BACKOFF = Backoff(0.1, 2.0)

_REJECTIONS = {
    ClaimDecision.IN_PROGRESS: (ErrorKind.KEY_IN_PROGRESS, IN_PROGRESS_RETRY_SECONDS),
    ClaimDecision.OUTCOME_UNKNOWN: (ErrorKind.OUTCOME_UNKNOWN, None),
    ClaimDecision.OTHER_REQUEST: (ErrorKind.KEY_REUSED, None),
    ClaimDecision.UNAVAILABLE: (ErrorKind.STORE_UNAVAILABLE, STORE_RETRY_SECONDS),
}


class KeyedRequests:
    """Claims idempotency keys before requests start and stores answers after they finish.

    Parameters
    ----------
    is_gone : callable
        Returns True if an entry VM has left permanently.
    ask_owner : callable
        Starts a task that returns True if the VM that owns a claim confirms that its request was
        not run.
    """

    def __init__(
        self,
        vm_id: str,
        hub: RequestHub,
        documents: DocumentStore,
        tasks: TaskRunner,
        rng: random.Random,
        is_gone: Callable[[str], bool],
        ask_owner: Callable[[str, str], Task],
    ):
        self._vm_id = vm_id
        self._hub = hub
        self._documents = documents
        self._tasks = tasks
        self._rng = rng
        self._is_gone = is_gone
        self._ask_owner = ask_owner
        self._claiming: dict[ClaimKey, str] = {}
        self._jobs_being_stored: set[str] = set()
        self._not_run_ids: OrderedDict[str, None] = OrderedDict()

    def handle(
        self,
        req: InboundRequest,
        record: RequestRecord,
        share: WorkspaceShare,
        attachment: Attachment,
        exchange: Exchange,
    ) -> None:
        """Admit a keyed request, claim its key, and start it once the claim is confirmed."""
        key = ClaimKey(record.workspace, record.key)
        if key in self._claiming:
            raise RequestError(ErrorKind.KEY_IN_PROGRESS, retry_after=IN_PROGRESS_RETRY_SECONDS)
        request = self._hub.accept(record, share)
        if record.job:
            attachment.detach()
        else:
            request.attach(attachment)
        request.defer_start()
        self._claiming[key] = request.request_id
        digest = compute_request_digest(req.method, req.path, req.body)
        task = self._claim(key, record, digest)
        self._tasks.start(
            task, lambda outcome: self._on_claim_outcome(key, request, outcome, exchange)
        )

    def _claim(self, key: ClaimKey, record: RequestRecord, digest: str) -> Task:
        outcome = yield from acquire_claim(
            self._documents,
            key,
            record.request_id,
            self._vm_id,
            digest,
            self._is_gone,
            self._hub.now,
            self._rng,
            ask_owner=self._ask_owner_of_claim,
            repeatable=record.may_repeat,
        )
        if outcome.decision is ClaimDecision.GRANTED and record.job:
            try:
                yield from create_job(self._documents, record, self._vm_id, self._rng)
            except PlatformError as exc:
                if exc.maybe_applied:
                    return ClaimOutcome(ClaimDecision.JOB_UNCONFIRMED)
                return ClaimOutcome(ClaimDecision.UNAVAILABLE, may_exist=True)
        return outcome

    def _ask_owner_of_claim(self, owner: str, request_id: str) -> Task:
        if owner == self._vm_id:
            return self.was_not_run(request_id)
        return (yield from self._ask_owner(owner, request_id))

    def was_not_run(self, request_id: str) -> bool:
        """Return True if a request of this process has ended and was certainly not run."""
        return request_id in self._not_run_ids

    def _on_claim_outcome(
        self, key: ClaimKey, request: ActiveRequest, outcome: ClaimOutcome, exchange: Exchange
    ) -> None:
        self._hub.metrics.count("claims_total", result=outcome.decision.value)
        if outcome.decision is ClaimDecision.GRANTED:
            self._start_claimed(key, request, exchange)
            return
        if outcome.decision is ClaimDecision.JOB_UNCONFIRMED:
            self._reject_unconfirmed_job(key, request, exchange)
            return
        self._claiming.pop(key, None)
        if outcome.may_exist:
            self._release_claim(key, request.request_id, LATE_WRITE_SECONDS)
        if outcome.decision is ClaimDecision.ANSWERED:
            self._replay_answer(request, outcome, exchange)
            return
        kind, retry_after = _REJECTIONS[outcome.decision]
        self._reject(request, RequestError(kind, retry_after=retry_after), exchange)

    def _reject_unconfirmed_job(
        self, key: ClaimKey, request: ActiveRequest, exchange: Exchange
    ) -> None:
        """Reject a job whose row may exist; its key stays claimed, as an adopter may run it."""
        task = store_claim_result(
            self._documents, key, request.request_id, None, self._rng, self._compute_expiry()
        )
        self._tasks.start(task, lambda _: self._claiming.pop(key, None))
        exc = RequestError(ErrorKind.STORE_UNAVAILABLE, ran=Executed.UNKNOWN)
        self._reject(request, exc, exchange)

    def _reject(self, request: ActiveRequest, exc: RequestError, exchange: Exchange) -> None:
        """Send an error; the caller of a job waits on the exchange, others on the request."""
        if not request.done:
            request.reject_unstarted(exc)
        if request.record.job:
            respond_error(exchange, exc, request.request_id)

    def _replay_answer(
        self, request: ActiveRequest, outcome: ClaimOutcome, exchange: Exchange
    ) -> None:
        """Send the stored answer of the first request with the key."""
        if not request.record.job:
            if not request.done:
                request.replay_answer(outcome.answer)
            return
        if not request.done:
            request.cancel_unstarted()
        answer = outcome.answer
        headers = (("Content-Type", answer.content_type), ("X-Request-Id", outcome.request_id))
        exchange.respond(answer.status, headers, answer.body)

    def _start_claimed(self, key: ClaimKey, request: ActiveRequest, exchange: Exchange) -> None:
        if request.done:
            # The deadline passed while the key was claimed; nothing was sent.
            self._claiming.pop(key, None)
            self._release_claim(key, request.request_id, 0.0)
            if request.record.job:
                respond_accepted(exchange, request.request_id)
                self.start_job(request)
            return
        request.on_finished = lambda answer, exc: self._on_request_end(key, request, answer, exc)
        if request.record.job:
            respond_accepted(exchange, request.request_id)
            self.start_job(request)
            return
        request.allow_start()
        self._hub.start_ready_requests()

    def _on_request_end(
        self,
        key: ClaimKey,
        request: ActiveRequest,
        answer: StoredAnswer | None,
        exc: RequestError | None,
    ) -> None:
        """Store the outcome of the request before its key can be claimed again."""
        if request.record.job:
            self.store_job_answer(request.request_id, answer, exc)
        if answer is None and exc is not None and exc.ran is Executed.NO:
            self._release_claim(key, request.request_id, 0.0)
            self._claiming.pop(key, None)
            return
        task = store_claim_result(
            self._documents, key, request.request_id, answer, self._rng, self._compute_expiry()
        )
        self._tasks.start(task, lambda _: self._claiming.pop(key, None))

    def _release_claim(self, key: ClaimKey, request_id: str, settle_seconds: float) -> None:
        self._not_run_ids[request_id] = None
        while len(self._not_run_ids) > MAX_REMEMBERED_REQUESTS:
            self._not_run_ids.popitem(last=False)
        self._tasks.start(
            release_claim(self._documents, key, request_id, self._rng, settle_seconds)
        )

    def adopt_claim(self, request: ActiveRequest) -> None:
        """Take over the claim of a handed-over request, and store its answer when it finishes."""
        key = ClaimKey(request.record.workspace, request.record.key)
        self._claiming[key] = request.request_id
        task = reassign_claim(self._documents, key, request.request_id, self._vm_id, self._rng)
        self._tasks.start(task)
        request.on_finished = lambda answer, exc: self._on_request_end(key, request, answer, exc)

    def start_job(self, request: ActiveRequest) -> None:
        """Start a job whose row is stored, and store its answer when it finishes.

        Notes
        -----
        A job that may run only once is marked as running before it is sent, so that a later adopter
        does not send it again.
        """
        if request.done:
            # The deadline passed while the row was written; nothing was sent.
            late = RequestError(ErrorKind.DEADLINE_EXCEEDED, ran=Executed.NO)
            self.store_job_answer(request.request_id, None, late)
            return
        if request.on_finished is None:
            request.on_finished = lambda answer, exc: self.store_job_answer(
                request.request_id, answer, exc
            )
        if request.record.may_repeat:
            request.allow_start()
            self._hub.start_ready_requests()
            return
        request.defer_start()
        self._tasks.start(
            self._mark_running(request.request_id),
            lambda is_owner: self._on_marked_running(request, is_owner),
        )

    def _mark_running(self, request_id: str) -> Task:
        tries = 0
        while True:
            try:
                return (yield from mark_running(self._documents, request_id, self._vm_id))
            except PlatformError:
                yield Sleep(_BACKOFF.compute_delay(tries, self._rng))
                tries += 1

    def _on_marked_running(self, request: ActiveRequest, is_owner: bool) -> None:
        if request.done:
            return
        if not is_owner:
            request.cancel_unstarted()
            return
        request.allow_start()
        self._hub.start_ready_requests()

    def is_storing_answer(self, request_id: str) -> bool:
        """Return True while the answer of a job is being stored."""
        return request_id in self._jobs_being_stored

    def _compute_expiry(self) -> float:
        """Return the expiry time of an answer that is stored now, in seconds since the epoch."""
        return self._hub.timers.wall() + RETENTION_SECONDS

    def store_job_answer(
        self, request_id: str, answer: StoredAnswer | None, exc: RequestError | None
    ) -> None:
        """Store the answer or error of a job."""
        if answer is None:
            status = ERROR_RESPONSES[exc.kind].status
            answer = StoredAnswer(status, "application/json", encode_error(exc, request_id))
        self._jobs_being_stored.add(request_id)
        task = store_job_result(
            self._documents, request_id, self._vm_id, answer, self._rng, self._compute_expiry()
        )
        self._tasks.start(task, lambda _: self._jobs_being_stored.discard(request_id))
