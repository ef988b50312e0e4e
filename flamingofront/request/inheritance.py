"""Take requests over from other entry processes: by hand-over, or after their death."""

from collections import OrderedDict
from collections.abc import Callable
from typing import Any

from flamingofront.decisions.admission import WorkspaceShare
from flamingofront.errors import ErrorKind, Executed, PlatformError, RequestError
from flamingofront.messages import Sleep
from flamingofront.process.backoff import Backoff
from flamingofront.process.documents import DocumentStore
from flamingofront.process.membership import Fact
from flamingofront.process.rendezvous import rank
from flamingofront.process.tasks import Task, TaskRunner
from flamingofront.request.active import ActiveRequest
from flamingofront.request.hub import RequestHub
from flamingofront.request.jobs import (
    AdoptedJob,
    is_outcome_unknown,
    list_owned_jobs,
    move_job,
    move_jobs,
)
from flamingofront.request.keyed import KeyedRequests
from flamingofront.request.records import RequestRecord

__all__ = ["RequestAdopter"]

READER_GRACE_SECONDS = 30.0
MAX_REMEMBERED = 10_000
_BACKOFF = Backoff(0.2, 5.0)


class RequestAdopter:
    """Makes requests of others requests of this process.

    Parameters
    ----------
    share_of : callable
        Returns the admission share of a workspace by its name.
    """

    def __init__(
        self,
        vm_id: str,
        hub: RequestHub,
        documents: DocumentStore,
        tasks: TaskRunner,
        keyed: KeyedRequests,
        share_of: Callable[[str], WorkspaceShare],
    ):
        self._vm_id = vm_id
        self._hub = hub
        self._documents = documents
        self._tasks = tasks
        self._keyed = keyed
        self._share_of = share_of
        self._epochs: OrderedDict[str, int] = OrderedDict()

    def take(self, data: dict[str, Any], sender: str) -> None:
        """Take a record that a peer hands over; taking the same one again has no effect."""
        record = RequestRecord.from_json(data)
        if self._epochs.get(record.request_id, 0) >= record.epoch:
            return
        self._epochs[record.request_id] = record.epoch
        while len(self._epochs) > MAX_REMEMBERED:
            self._epochs.popitem(last=False)
        request = self._adopt(record)
        if record.job:
            request.defer_start()
            self._tasks.start(
                self._take_job(record.request_id, sender),
                lambda taken: self._job_taken(request, taken),
            )
        elif record.key:
            self._keyed.keep_claim_answer(request)
        else:
            request.start_reattach_timer(READER_GRACE_SECONDS)
        self._hub.start_ready_requests()

    def _adopt(self, record: RequestRecord) -> ActiveRequest:
        self._hub.moved_to.pop(record.request_id, None)
        return self._hub.accept(record, self._share_of(record.workspace), resumed=True)

    def _take_job(self, request_id: str, sender: str) -> Task:
        """Become the owner of a job's row; repeat until the platform has answered."""
        tries = 0
        while True:
            try:
                return (yield from move_job(self._documents, request_id, sender, self._vm_id))
            except PlatformError:
                yield Sleep(_BACKOFF.compute_delay(tries, self._hub.rng))
                tries += 1

    def _job_taken(self, request: ActiveRequest, taken: AdoptedJob | None) -> None:
        if taken is None:
            request.cancel_unstarted()
            return
        self._keyed.start_job(request)

    def member_gone(self, vm_id: str, peers: tuple[Fact, ...]) -> None:
        """Adopt the jobs of a process that is gone, if that falls to this one first.

        Notes
        -----
        Each survivor tries after a time that grows with its rank, so that one does it at once and
        the others only find what it left. The rows themselves decide between two that try together.
        """
        survivors = [self._vm_id, *(each.vm_id for each in peers if each.vm_id != vm_id)]
        turn = rank(f"adopt/{vm_id}", survivors).index(self._vm_id)
        self._tasks.start(self._adopt_jobs(vm_id, turn * 2.0), self._jobs_adopted)

    def reclaim_own(self) -> None:
        """Adopt the jobs that an earlier process on this VM left behind."""
        self._tasks.start(self._adopt_jobs(self._vm_id, 0.0), self._jobs_adopted)

    def _adopt_jobs(self, vm_id: str, delay: float) -> Task:
        yield Sleep(delay)
        tries = 0
        while True:
            try:
                if vm_id != self._vm_id:
                    yield from move_jobs(self._documents, vm_id, self._vm_id)
                return (yield from list_owned_jobs(self._documents, self._vm_id))
            except PlatformError:
                yield Sleep(_BACKOFF.compute_delay(tries, self._hub.rng))
                tries += 1

    def _jobs_adopted(self, jobs: list[AdoptedJob]) -> None:
        for job in jobs:
            request_id = job.record.request_id
            if request_id in self._hub.active or self._keyed.storing(request_id):
                continue
            if is_outcome_unknown(job):
                exc = RequestError(ErrorKind.OUTCOME_UNKNOWN, ran=Executed.UNKNOWN)
                self._keyed.store_job_answer(request_id, None, exc)
                continue
            request = self._adopt(job.record)
            request.defer_start()
            self._keyed.start_job(request)
