"""Reconciliation of engines with the configuration, done only by the holder of a leader lease.

Each request to an engine is declarative and idempotent ("load model X"), so a repeated or delayed
one does no harm. It carries the lease's fencing token; endpoints that check the token reject
requests of an earlier holder. For the others, the lease is checked again before bytes are sent, and
their state is read again and corrected.
"""

import orjson

from flamingofront.connection.call_guard import ACK_TIMEOUT_SECONDS
from flamingofront.messages import SEND_WITHDRAWN, STALE_SECONDS, CallFailed, OutboundCall
from flamingofront.process.dissemination import Dissemination
from flamingofront.process.leases import LeaseKeeper
from flamingofront.process.membership import Fact, Role
from flamingofront.process.metrics import Metrics
from flamingofront.process.tasks import Reply, Task, TaskRunner, read_json
from flamingofront.version.model import ServiceKind

__all__ = ["EngineReconciler"]

CALL_TIMEOUT_SECONDS = 1.5
STATUS_STALE_FENCING = 409


class EngineReconciler:
    """Makes the engines of a zone load the models that the configuration assigns to them."""

    def __init__(
        self,
        lease: LeaseKeeper,
        dissemination: Dissemination,
        tasks: TaskRunner,
        metrics: Metrics,
    ):
        self._lease = lease
        self._gossip = dissemination
        self._tasks = tasks
        self._metrics = metrics
        self._in_progress: set[str] = set()

    def reconcile(self) -> None:
        """Check every engine of the zone, if this process holds the lease."""
        if self._lease.valid_lease() is None:
            return
        zone = self._gossip.facts.get(self._gossip.own_id).zone
        for fact in self._gossip.facts.select(Role.ENDPOINT):
            is_engine = self._find_model(fact) is not None
            if fact.zone == zone and is_engine and fact.vm_id not in self._in_progress:
                self._in_progress.add(fact.vm_id)
                self._tasks.start(
                    self._reconcile_engine(fact),
                    lambda _, vm_id=fact.vm_id: self._in_progress.discard(vm_id),
                )

    def _find_model(self, fact: Fact) -> str | None:
        """Return the model that an endpoint is to have loaded; None if it is no engine."""
        service = self._gossip.configuration.find_service(fact.service)
        is_engine = service is not None and service.kind is ServiceKind.MODEL
        return service.model if is_engine else None

    def _reconcile_engine(self, fact: Fact) -> Task:
        """Read an engine's state and request the model if it has loaded another."""
        reply = yield OutboundCall(
            fact.address, "GET", "/state", timeout=CALL_TIMEOUT_SECONDS, stale_seconds=STALE_SECONDS
        )
        state = read_json(reply)
        # The configuration may have changed during the state request.
        model = self._find_model(fact)
        if state is None or model is None or state["model"] == model:
            return
        call = self._lease.start_call()
        if call is None:
            self._metrics.count("orders_total", kind="load", result="lease_lapsed")
            return
        body = orjson.dumps({"order": "load", "model": model, "fencing": call.fencing})
        reply = yield OutboundCall(
            fact.address,
            "POST",
            "/order",
            body,
            (("Content-Type", "application/json"),),
            CALL_TIMEOUT_SECONDS,
            ack_timeout=ACK_TIMEOUT_SECONDS,
            guard=call,
        )
        self._metrics.count("orders_total", kind="load", result=_classify_reply(reply))


def _classify_reply(reply: Reply) -> str:
    if isinstance(reply, CallFailed):
        if reply.reason == SEND_WITHDRAWN and not reply.wrote:
            return "lease_lapsed"
        return "unknown" if reply.wrote else "not_sent"
    if reply.status == STATUS_STALE_FENCING:
        return "stale_fencing"
    return "done" if reply.status == 200 else "refused"
