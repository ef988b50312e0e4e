"""Rows of the query language, as this process knows them."""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from flamingofront.process.dissemination import Dissemination
from flamingofront.process.held_rows import held_rows
from flamingofront.process.leases import LeaseKeeper
from flamingofront.process.membership import Fact, Role, VmState
from flamingofront.process.metrics import Metrics
from flamingofront.process.status import StatusRecord
from flamingofront.process.timers import TimerService
from flamingofront.request.active import ActiveRequest
from flamingofront.request.directory import EndpointDirectory
from flamingofront.request.hub import RequestHub
from flamingofront.version.model import DrainKind, ObjectKind

__all__ = ["LocalRows", "LocalState"]

Rows = list[dict[str, Any]]


@dataclass(frozen=True)
class LocalState:
    """What the rows of one process are made from.

    Parameters
    ----------
    own_record : callable
        Returns the status record of this process as it is now.
    """

    vm_id: str
    zone: str
    gossip: Dissemination
    timers: TimerService
    directory: EndpointDirectory
    hub: RequestHub
    lease: LeaseKeeper
    metrics: Metrics
    own_record: Callable[[], StatusRecord]


class LocalRows:
    """Makes the rows of one process."""

    def __init__(self, state: LocalState):
        self._state = state
        self._makers = {
            "vms": self._vms,
            "endpoints": self._endpoints,
            "drains": self._drains,
            "requests": self._requests,
            "shares": self._shares,
            "leases": self._leases,
            "configuration": self._configuration,
            "held": self._held,
            "counters": self._counters,
        }

    def of(self, subject: str) -> Rows:
        """Return the rows of a subject."""
        return self._makers[subject]()

    @property
    def _vm_id(self) -> str:
        return self._state.vm_id

    def _facts(self, role: Role) -> list[Fact]:
        facts = self._state.gossip.facts
        found = [each for state in VmState for each in facts.select(role, state)]
        return sorted(found, key=lambda each: each.vm_id)

    def _heard_ago(self, vm_id: str) -> float | None:
        if vm_id == self._vm_id:
            return 0.0
        age = self._state.gossip.statuses.age(vm_id, self._state.timers.now())
        return None if age is None else round(age, 1)

    def _status(self, vm_id: str) -> StatusRecord | None:
        if vm_id == self._vm_id:
            return self._state.own_record()
        return self._state.gossip.statuses.get(vm_id)

    def _vms(self) -> Rows:
        entries = self._facts(Role.ENTRY)
        endpoints = self._facts(Role.ENDPOINT)
        return [self._vm(each) for each in (*entries, *endpoints)]

    def _vm(self, fact: Fact) -> dict[str, Any]:
        record = self._status(fact.vm_id)
        return {
            "vm": fact.vm_id,
            "role": fact.role.value,
            "zone": fact.zone,
            "state": fact.state.value,
            "address": fact.address,
            "incarnation": fact.incarnation,
            "heard": self._heard_ago(fact.vm_id),
            "revision": record.revision if record else None,
            "ready": record.ready if record else None,
        }

    def _endpoints(self) -> Rows:
        directory = self._state.directory
        return [
            {
                "endpoint": fact.vm_id,
                "service": fact.service,
                "side": fact.side,
                "zone": fact.zone,
                "state": self._endpoint_state(fact),
                "address": fact.address,
                "class": fact.vm_class,
                "price": fact.price,
                "reclaimable": fact.reclaimable,
                "in_flight": directory.in_flight_at(fact.vm_id),
            }
            for fact in self._facts(Role.ENDPOINT)
        ]

    def _endpoint_state(self, fact: Fact) -> str:
        if fact.state is VmState.LIVE and self._state.directory.is_unavailable(fact.vm_id):
            return "drained"
        return fact.state.value

    def _drains(self) -> Rows:
        cfg = self._state.gossip.configuration
        return [
            {
                "name": drain.name,
                "kind": drain.kind.value,
                "target": drain.target,
                "requests": sum(
                    self._is_on(request, drain.kind, drain.target)
                    for request in self._state.hub.active.values()
                ),
            }
            for drain in cfg.objects_of(ObjectKind.DRAIN).values()
        ]

    def _is_on(self, request: ActiveRequest, kind: DrainKind, target: str) -> bool:
        """Tell whether a request runs on what is being drained."""
        if kind in (DrainKind.VM, DrainKind.ENDPOINT):
            return target in (self._vm_id, request.endpoint_id)
        fact = self._state.gossip.facts.get(request.endpoint_id)
        if kind is DrainKind.SIDE:
            return fact is not None and fact.side == target
        here = self._state.zone == target
        return here or (fact is not None and fact.zone == target)

    def _requests(self) -> Rows:
        now = self._state.timers.now()
        return [
            {
                "request": request.request_id,
                "vm": self._vm_id,
                "workspace": request.record.workspace,
                "service": request.record.service.name,
                "side": request.record.side,
                "endpoint": request.endpoint_id,
                "phase": request.machine.phase.value,
                "offset": request.machine.assembler.offset,
                "attempts": request.machine.attempts,
                "age": round(now - request.accepted_at, 2),
            }
            for request in self._state.hub.active.values()
        ]

    def _shares(self) -> Rows:
        """Return the ordered share of each side, and the requests that run there now."""
        running: Counter[tuple[str, str | None]] = Counter(
            (request.record.service.name, request.record.side)
            for request in self._state.hub.active.values()
        )
        rows = []
        for move in self._state.gossip.configuration.objects_of(ObjectKind.MOVE).values():
            for side, share in ((move.old_side, 100 - move.share), (move.new_side, move.share)):
                requests = running[(move.service, side)]
                row = {"service": move.service, "side": side, "share": share}
                rows.append({**row, "requests": requests})
        return rows

    def _leases(self) -> Rows:
        views = [self._state.lease.get_view()]
        return [
            {
                "lease": view.name,
                "vm": self._vm_id,
                "holder": view.holder,
                "fencing": view.fencing,
                "held": view.is_holder,
            }
            for view in views
        ]

    def _configuration(self) -> Rows:
        rows = []
        for fact in self._facts(Role.ENTRY):
            record = self._status(fact.vm_id)
            if fact.state is VmState.GONE or record is None:
                continue
            rows.append(
                {
                    "zone": fact.zone,
                    "vm": fact.vm_id,
                    "revision": record.revision,
                    "ready": record.ready,
                    "heard": self._heard_ago(fact.vm_id),
                }
            )
        return rows

    def _held(self) -> Rows:
        return held_rows(self._vm_id, self._state.hub.guard)

    def _counters(self) -> Rows:
        return [{"vm": self._vm_id, **row} for row in self._state.metrics.rows()]
