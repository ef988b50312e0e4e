"""Migration of streams off endpoints that will be reclaimed, with the KV cache if time allows."""

from collections.abc import Callable
from dataclasses import replace

import orjson

from flamingofront.decisions.choice import Candidate
from flamingofront.messages import CallFailed, OutboundCall
from flamingofront.process.tasks import Task, TaskRunner, read_json
from flamingofront.request.active import ActiveRequest
from flamingofront.request.hub import RequestHub
from flamingofront.request.model_request import ModelRequest
from flamingofront.request.recovery import (
    CostRecovery,
    RecoveryAction,
    RecoveryPlan,
    RecoveryPolicy,
    RecoveryRates,
    StreamState,
)

__all__ = ["StreamMigrator"]

TRANSFER_TIMEOUT_SECONDS = 5.0
JSON_HEADERS = (("Content-Type", "application/json"),)


class StreamMigrator:
    """Carries out the recovery plans for streams of endpoints that will be reclaimed.

    Parameters
    ----------
    address_of : callable
        Returns the address of an endpoint by its id; None if the endpoint is unknown.
    """

    def __init__(
        self,
        hub: RequestHub,
        tasks: TaskRunner,
        address_of: Callable[[str], str | None],
        policy: RecoveryPolicy | None = None,
        rates: RecoveryRates | None = None,
    ):
        self._hub = hub
        self._tasks = tasks
        self._address_of = address_of
        self._policy = policy or CostRecovery()
        self._rates = rates or RecoveryRates()
        self._planned_endpoints: set[str] = set()

    def migrate_streams(self, endpoint_id: str, notice_seconds: float) -> None:
        """Plan and schedule the recovery of the streams on an endpoint; later calls do nothing.

        Parameters
        ----------
        notice_seconds : float
            Seconds until the VM of the endpoint is reclaimed.
        """
        if endpoint_id in self._planned_endpoints:
            return
        self._planned_endpoints.add(endpoint_id)
        requests = {each.request_id: each for each in self._streams_on(endpoint_id)}
        states = [_stream_state(each) for each in requests.values()]
        total = self._hub.directory.load_of(endpoint_id)
        rates = replace(self._rates, contention=max(1.0, total / max(1, len(states))))
        for plan in self._policy.plan(states, notice_seconds, rates):
            self._schedule(requests[plan.request_id], plan)

    def forget_endpoint(self, endpoint_id: str) -> None:
        """Remove the state of an endpoint that has left."""
        self._planned_endpoints.discard(endpoint_id)

    def _streams_on(self, endpoint_id: str) -> list[ModelRequest]:
        return [
            each
            for each in self._hub.active.values()
            if isinstance(each, ModelRequest) and each.endpoint_id == endpoint_id and not each.done
        ]

    def _schedule(self, request: ModelRequest, plan: RecoveryPlan) -> None:
        if plan.action is RecoveryAction.FINISH:
            return
        attempt_id = request.machine.attempt_id
        if attempt_id is None:
            return
        move = self._transfer if plan.action is RecoveryAction.TRANSFER else self._recompute
        self._hub.timers.once(plan.start_in, lambda: move(request, attempt_id))

    def _recompute(self, request: ModelRequest, attempt_id: str) -> None:
        if request.done or request.machine.attempt_id != attempt_id:
            return
        self._hub.metrics.count("migrations_total", way="recompute")
        request.execute(request.machine.replace_attempt(attempt_id))

    def _transfer(self, request: ModelRequest, attempt_id: str) -> None:
        if request.done or request.machine.attempt_id != attempt_id:
            return
        chosen = self._hub.choose_endpoint(request, frozenset({request.endpoint_id}))
        if chosen is None or chosen.endpoint_id == request.endpoint_id:
            self._recompute(request, attempt_id)
            return
        source = self._address_of(request.endpoint_id)
        task = _transfer_cache(source, chosen.address, request.request_id, attempt_id)
        self._tasks.start(
            task, lambda kv_handle: self._on_transferred(request, attempt_id, chosen, kv_handle)
        )

    def _on_transferred(
        self, request: ModelRequest, attempt_id: str, chosen: Candidate, kv_handle: str
    ) -> None:
        if request.done or request.machine.attempt_id != attempt_id:
            return
        if not kv_handle:
            self._recompute(request, attempt_id)
            return
        self._hub.metrics.count("migrations_total", way="transfer")
        request.use_cache(kv_handle, chosen)
        request.execute(request.machine.replace_attempt(attempt_id))


def _stream_state(request: ActiveRequest) -> StreamState:
    work = request.record.work
    offset = request.machine.assembler.offset
    return StreamState(request.request_id, len(work.prompt) + offset, work.max_tokens - offset)


def _transfer_cache(source: str, target: str, request_id: str, attempt_id: str) -> Task:
    """Copy the KV cache of a stream and return its handle at the target; empty on failure."""
    body = orjson.dumps({"request": request_id, "attempt": attempt_id})
    reply = yield OutboundCall(
        source, "POST", "/kv/export", body, JSON_HEADERS, TRANSFER_TIMEOUT_SECONDS
    )
    if isinstance(reply, CallFailed) or reply.status != 200:
        return ""
    reply = yield OutboundCall(
        target, "POST", "/kv/import", reply.body, JSON_HEADERS, TRANSFER_TIMEOUT_SECONDS
    )
    data = read_json(reply)
    return "" if data is None else data["handle"]
