"""Requests with an idempotency key, and the answers of jobs: what is kept by the platform."""

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
    claim,
    finish_claim,
    move_claim,
    release_claim,
    request_digest,
)
from flamingofront.request.hub import RequestHub
from flamingofront.request.jobs import create_job, finish_job, mark_running
from flamingofront.request.records import RequestRecord
from flamingofront.request.stored_answer import StoredAnswer

__all__ = ["KeyedRequests"]

IN_PROGRESS_RETRY_SECONDS = 1.0
STORE_RETRY_SECONDS = 2.0
LATE_WRITE_SECONDS = 5.0
MAX_REMEMBERED = 10_000
_BACKOFF = Backoff(0.1, 2.0)

_REFUSALS = {
    ClaimDecision.IN_PROGRESS: (ErrorKind.KEY_IN_PROGRESS, IN_PROGRESS_RETRY_SECONDS),
    ClaimDecision.OUTCOME_UNKNOWN: (ErrorKind.OUTCOME_UNKNOWN, None),
    ClaimDecision.OTHER_REQUEST: (ErrorKind.KEY_REUSED, None),
    ClaimDecision.UNAVAILABLE: (ErrorKind.STORE_UNAVAILABLE, STORE_RETRY_SECONDS),
}


class KeyedRequests:
    """Claims keys before work starts and stores answers after it ended.

    Parameters
    ----------
    is_gone : callable
        Tells whether an entry VM is gone for good.
    ask_owner : callable
        Starts a task that returns True if the VM that owns a claim says that it was not run.
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
        self._storing: set[str] = set()
        self._not_run: OrderedDict[str, None] = OrderedDict()

    def handle(
        self,
        req: InboundRequest,
        record: RequestRecord,
        share: WorkspaceShare,
        attachment: Attachment,
        exchange: Exchange,
    ) -> None:
        """Admit a keyed request, claim its key, and start it once the claim stands."""
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
        digest = request_digest(req.method, req.path, req.body)
        task = self._claim(key, record, digest)
        self._tasks.start(task, lambda outcome: self._claimed(key, request, outcome, exchange))

    def _claim(self, key: ClaimKey, record: RequestRecord, digest: str) -> Task:
        outcome = yield from claim(
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
                return ClaimOutcome(ClaimDecision.UNAVAILABLE, maybe_left=True)
        return outcome

    def _ask_owner_of_claim(self, owner: str, request_id: str) -> Task:
        if owner == self._vm_id:
            return self.was_not_run(request_id)
        return (yield from self._ask_owner(owner, request_id))

    def was_not_run(self, request_id: str) -> bool:
        """Tell whether a request of this process ended with the certainty that it was not run."""
        return request_id in self._not_run

    def _claimed(
        self, key: ClaimKey, request: ActiveRequest, outcome: ClaimOutcome, exchange: Exchange
    ) -> None:
        self._hub.metrics.count("claims_total", result=outcome.decision.value)
        if outcome.decision is ClaimDecision.GRANTED:
            self._start(key, request, exchange)
            return
        if outcome.decision is ClaimDecision.JOB_UNCONFIRMED:
            self._job_unconfirmed(key, request, exchange)
            return
        self._claiming.pop(key, None)
        if outcome.maybe_left:
            self._release(key, request.request_id, LATE_WRITE_SECONDS)
        if outcome.decision is ClaimDecision.ANSWERED:
            self._repeat_answer(request, outcome, exchange)
            return
        kind, retry_after = _REFUSALS[outcome.decision]
        self._refuse(request, RequestError(kind, retry_after=retry_after), exchange)

    def _job_unconfirmed(self, key: ClaimKey, request: ActiveRequest, exchange: Exchange) -> None:
        """Refuse a job whose row may stand: an adopter may run it, so its key stays used."""
        task = finish_claim(
            self._documents, key, request.request_id, None, self._rng, self._until()
        )
        self._tasks.start(task, lambda _: self._claiming.pop(key, None))
        exc = RequestError(ErrorKind.STORE_UNAVAILABLE, ran=Executed.UNKNOWN)
        self._refuse(request, exc, exchange)

    def _refuse(self, request: ActiveRequest, exc: RequestError, exchange: Exchange) -> None:
        """Tell the caller; one of a job waits on the exchange, others on the request."""
        if not request.done:
            request.reject_unstarted(exc)
        if request.record.job:
            respond_error(exchange, exc, request.request_id)

    def _repeat_answer(
        self, request: ActiveRequest, outcome: ClaimOutcome, exchange: Exchange
    ) -> None:
        """Give the answer that the first call with the key got."""
        if not request.record.job:
            if not request.done:
                request.replay_answer(outcome.answer)
            return
        if not request.done:
            request.cancel_unstarted()
        answer = outcome.answer
        headers = (("Content-Type", answer.content_type), ("X-Request-Id", outcome.request_id))
        exchange.respond(answer.status, headers, answer.body)

    def _start(self, key: ClaimKey, request: ActiveRequest, exchange: Exchange) -> None:
        if request.done:
            # The caller's time ended while the claim was made; nothing was sent.
            self._claiming.pop(key, None)
            self._release(key, request.request_id, 0.0)
            if request.record.job:
                respond_accepted(exchange, request.request_id)
                self.start_job(request)
            return
        request.on_finished = lambda answer, exc: self._ended(key, request, answer, exc)
        if request.record.job:
            respond_accepted(exchange, request.request_id)
            self.start_job(request)
            return
        request.allow_start()
        self._hub.start_ready_requests()

    def _ended(
        self,
        key: ClaimKey,
        request: ActiveRequest,
        answer: StoredAnswer | None,
        exc: RequestError | None,
    ) -> None:
        """Store what became of the request before its key is free again."""
        if request.record.job:
            self.store_job_answer(request.request_id, answer, exc)
        if answer is None and exc is not None and exc.ran is Executed.NO:
            self._release(key, request.request_id, 0.0)
            self._claiming.pop(key, None)
            return
        task = finish_claim(
            self._documents, key, request.request_id, answer, self._rng, self._until()
        )
        self._tasks.start(task, lambda _: self._claiming.pop(key, None))

    def _release(self, key: ClaimKey, request_id: str, settle: float) -> None:
        self._not_run[request_id] = None
        while len(self._not_run) > MAX_REMEMBERED:
            self._not_run.popitem(last=False)
        self._tasks.start(release_claim(self._documents, key, request_id, self._rng, settle))

    def keep_claim_answer(self, request: ActiveRequest) -> None:
        """Own the claim of a request that was handed over to this process, and store its answer."""
        key = ClaimKey(request.record.workspace, request.record.key)
        self._claiming[key] = request.request_id
        task = move_claim(self._documents, key, request.request_id, self._vm_id, self._rng)
        self._tasks.start(task)
        request.on_finished = lambda answer, exc: self._ended(key, request, answer, exc)

    def start_job(self, request: ActiveRequest) -> None:
        """Let a job start whose row stands, and store its answer when it is there.

        Notes
        -----
        Work that may run only once is noted as running before it is sent: whoever adopts the job
        later then knows that it must not be sent again.
        """
        if request.done:
            # Its time ended while the row was written; nothing was sent.
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
            self._mark_running(request.request_id), lambda ours: self._marked(request, ours)
        )

    def _mark_running(self, request_id: str) -> Task:
        tries = 0
        while True:
            try:
                return (yield from mark_running(self._documents, request_id, self._vm_id))
            except PlatformError:
                yield Sleep(_BACKOFF.compute_delay(tries, self._rng))
                tries += 1

    def _marked(self, request: ActiveRequest, ours: bool) -> None:
        if request.done:
            return
        if not ours:
            request.cancel_unstarted()
            return
        request.allow_start()
        self._hub.start_ready_requests()

    def storing(self, request_id: str) -> bool:
        """Tell whether the answer of a job is still being stored."""
        return request_id in self._storing

    def _until(self) -> float:
        """Return when an answer that is stored now may be removed."""
        return self._hub.timers.wall() + RETENTION_SECONDS

    def store_job_answer(
        self, request_id: str, answer: StoredAnswer | None, exc: RequestError | None
    ) -> None:
        """Store the answer, or the error, of a job."""
        if answer is None:
            status = ERROR_RESPONSES[exc.kind].status
            answer = StoredAnswer(status, "application/json", encode_error(exc, request_id))
        self._storing.add(request_id)
        task = finish_job(
            self._documents, request_id, self._vm_id, answer, self._rng, self._until()
        )
        self._tasks.start(task, lambda _: self._storing.discard(request_id))
