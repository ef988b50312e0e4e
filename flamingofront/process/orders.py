"""Orders to endpoints, given only by the holder of a lease.

Each order says what an endpoint should be ("hold model X"), never how to change, so repeating it or
giving it late does no further harm. It carries the fencing number of the lease; endpoints that
check it refuse the order of an earlier holder. Of the others the state is read back and put right.
"""

import orjson

from flamingofront.messages import CallFailed, OutboundCall
from flamingofront.process.dissemination import Dissemination
from flamingofront.process.leases import LeaseKeeper
from flamingofront.process.membership import Fact, Role
from flamingofront.process.metrics import Metrics
from flamingofront.process.tasks import Reply, Task, TaskRunner
from flamingofront.version.model import ServiceKind

__all__ = ["EndpointOrders"]

ORDER_TIMEOUT_SECONDS = 1.5
STATUS_STALE_FENCING = 409


class EndpointOrders:
    """Brings the engines of a zone to hold the models that the configuration names."""

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
        self._busy: set[str] = set()

    def step(self) -> None:
        """Check each engine of the zone, if this process holds the lease."""
        if self._lease.valid_lease() is None:
            return
        zone = self._gossip.facts.get(self._gossip.own_id).zone
        for fact in self._gossip.facts.select(Role.ENDPOINT):
            service = self._gossip.configuration.find_service(fact.service)
            is_engine = service is not None and service.kind is ServiceKind.MODEL
            if fact.zone == zone and is_engine and fact.vm_id not in self._busy:
                self._busy.add(fact.vm_id)
                self._tasks.start(
                    self._converge(fact, service.model),
                    lambda _, vm_id=fact.vm_id: self._busy.discard(vm_id),
                )

    def _converge(self, fact: Fact, model: str) -> Task:
        """Read an engine's state and order the model if it holds another."""
        reply = yield OutboundCall(fact.address, "GET", "/state", timeout=ORDER_TIMEOUT_SECONDS)
        if isinstance(reply, CallFailed) or reply.status != 200:
            return
        if orjson.loads(reply.body)["model"] == model:
            return
        # The lease may have lapsed during the question; it counts at the moment of the order.
        lease = self._lease.valid_lease()
        if lease is None:
            self._metrics.count("orders_total", kind="load", result="lease_lapsed")
            return
        body = orjson.dumps({"order": "load", "model": model, "fencing": lease.fencing})
        reply = yield OutboundCall(
            fact.address,
            "POST",
            "/order",
            body,
            (("Content-Type", "application/json"),),
            ORDER_TIMEOUT_SECONDS,
        )
        self._metrics.count("orders_total", kind="load", result=_result_of(reply))


def _result_of(reply: Reply) -> str:
    if isinstance(reply, CallFailed):
        return "unknown" if reply.wrote else "not_sent"
    if reply.status == STATUS_STALE_FENCING:
        return "stale_fencing"
    return "done" if reply.status == 200 else "refused"
