"""Rows that this process contributes to an operator's query."""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from flamingofront.process.dissemination import Dissemination
from flamingofront.process.held_rows import held_rows
from flamingofront.process.leases import LeaseKeeper
from flamingofront.process.membership import Fact, Role, VmState
from flamingofront.process.metrics import Metrics
from flamingofront.process.path_rows import path_rows
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
    """Parts of one process from which its rows are built.

    Parameters
    ----------
    get_status : callable
        Returns the current status record of this process.
    """

    vm_id: str
    zone: str
    gossip: Dissemination
    timers: TimerService
    directory: EndpointDirectory
    hub: RequestHub
    lease: LeaseKeeper
    metrics: Metrics
    get_status: Callable[[], StatusRecord]


class LocalRows:
    """Builds the rows of one process."""

    def __init__(self, state: LocalState):
        self._state = state
        self._builders = {
            "vms": self._list_vms,
            "endpoints": self._list_endpoints,
            "drains": self._list_drains,
            "requests": self._list_requests,
            "shares": self._list_shares,
            "leases": self._list_leases,
            "configuration": self._list_configurations,
            "held": self._list_quarantined,
            "paths": self._list_paths,
            "counters": self._list_counters,
        }

    def build_rows(self, subject: str) -> Rows:
        """Return the rows of a query subject, such as ``vms`` or ``requests``."""
        return self._builders[subject]()

    @property
    def _vm_id(self) -> str:
        return self._state.vm_id

    def _list_facts(self, role: Role) -> list[Fact]:
        """Return the membership facts of a role in all states, ordered by VM id."""
        facts = self._state.gossip.facts
        found = [each for state in VmState for each in facts.select(role, state)]
        return sorted(found, key=lambda each: each.vm_id)

    def _get_report_age(self, vm_id: str) -> float | None:
        """Return the seconds since the last status of a VM; None if there was none."""
        if vm_id == self._vm_id:
            return 0.0
        age = self._state.gossip.statuses.age(vm_id, self._state.timers.now())
        return None if age is None else round(age, 1)

    def _get_status(self, vm_id: str) -> StatusRecord | None:
        """Return the last known status record of a VM; None if there is none."""
        if vm_id == self._vm_id:
            return self._state.get_status()
        return self._state.gossip.statuses.get(vm_id)

    def _list_vms(self) -> Rows:
        entries = self._list_facts(Role.ENTRY)
        endpoints = self._list_facts(Role.ENDPOINT)
        return [self._build_vm_row(each) for each in (*entries, *endpoints)]

    def _build_vm_row(self, fact: Fact) -> dict[str, Any]:
        """Return the row of a VM; its status columns are None if it has reported no status."""
        record = self._get_status(fact.vm_id)
        return {
            "vm": fact.vm_id,
            "role": fact.role.value,
            "zone": fact.zone,
            "state": fact.state.value,
            "address": fact.address,
            "incarnation": fact.incarnation,
            "heard": self._get_report_age(fact.vm_id),
            "revision": record.revision if record else None,
            "ready": record.ready if record else None,
        }

    def _list_endpoints(self) -> Rows:
        directory = self._state.directory
        return [
            {
                "endpoint": fact.vm_id,
                "service": fact.service,
                "side": fact.side,
                "zone": fact.zone,
                "state": self._get_endpoint_state(fact),
                "address": fact.address,
                "class": fact.vm_class,
                "price": fact.price,
                "reclaimable": fact.reclaimable,
                "in_flight": directory.in_flight_at(fact.vm_id),
            }
            for fact in self._list_facts(Role.ENDPOINT)
        ]

    def _get_endpoint_state(self, fact: Fact) -> str:
        """Return the state of an endpoint: ``drained`` if it is live but takes no requests."""
        if fact.state is VmState.LIVE and self._state.directory.is_unavailable(fact.vm_id):
            return "drained"
        return fact.state.value

    def _list_drains(self) -> Rows:
        cfg = self._state.gossip.configuration
        return [
            {
                "name": drain.name,
                "kind": drain.kind.value,
                "target": drain.target,
                "requests": sum(
                    self._is_affected(request, drain.kind, drain.target)
                    for request in self._state.hub.active.values()
                ),
            }
            for drain in cfg.objects_of(ObjectKind.DRAIN).values()
        ]

    def _is_affected(self, request: ActiveRequest, kind: DrainKind, target: str) -> bool:
        """Return True if a request runs on the target of a drain."""
        if kind in (DrainKind.VM, DrainKind.ENDPOINT):
            return target in (self._vm_id, request.endpoint_id)
        fact = self._state.gossip.facts.get(request.endpoint_id)
        if kind is DrainKind.SIDE:
            return fact is not None and fact.side == target
        is_here = self._state.zone == target
        return is_here or (fact is not None and fact.zone == target)

    def _list_requests(self) -> Rows:
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

    def _list_shares(self) -> Rows:
        """Return the configured share of each side of a move, and the requests running there."""
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

    def _list_leases(self) -> Rows:
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

    def _list_configurations(self) -> Rows:
        """Return the configuration revision of each entry VM that has reported its status."""
        rows = []
        for fact in self._list_facts(Role.ENTRY):
            record = self._get_status(fact.vm_id)
            if fact.state is VmState.GONE or record is None:
                continue
            rows.append(
                {
                    "zone": fact.zone,
                    "vm": fact.vm_id,
                    "revision": record.revision,
                    "ready": record.ready,
                    "heard": self._get_report_age(fact.vm_id),
                }
            )
        return rows

    def _list_quarantined(self) -> Rows:
        return held_rows(self._vm_id, self._state.hub.guard)

    def _list_paths(self) -> Rows:
        return path_rows(self._state.hub)

    def _list_counters(self) -> Rows:
        return [{"vm": self._vm_id, **row} for row in self._state.metrics.rows()]
