"""Carry out the fleet plan of one zone, by the holder of the zone's fleet lease.

Every holder makes the plan of all zones from the same lists and carries out the part of its own
zone, so a zone that is cut off from the others still replaces its VMs as long as it reaches the
platform.
"""

import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Any

from flamingofront.errors import PlatformError
from flamingofront.process.fleet import (
    CostFleet,
    FleetPolicy,
    FleetVm,
    Offer,
    RefusalMemory,
    StartOrder,
)
from flamingofront.process.leases import LeaseKeeper
from flamingofront.process.metrics import Metrics
from flamingofront.process.platform import Platform, VmRecord
from flamingofront.process.tasks import Task, TaskRunner
from flamingofront.version.model import Configuration, ObjectKind, Service

__all__ = ["FleetDuty"]

STOP_GRACE_SECONDS = 30.0
START_SECONDS = 120.0
DEMAND_WINDOW_SECONDS = 600.0


@dataclass
class _Start:
    """A start that was ordered; repeated with the same token until it is answered."""

    token: str
    service: Service
    offer: Offer
    ordered_at: float
    vm_id: str = ""


class FleetDuty:
    """Starts and stops endpoint VMs of one zone.

    Parameters
    ----------
    demand : callable
        Returns the requests of a service that run now.
    load_of : callable
        Returns the requests that an endpoint runs now.
    on_leaving : callable
        Called with the id of a VM that gets no new work from now on.
    """

    def __init__(
        self,
        zone: str,
        lease: LeaseKeeper,
        platform: Platform,
        tasks: TaskRunner,
        metrics: Metrics,
        rng: random.Random,
        now: Callable[[], float],
        configuration: Callable[[], Configuration],
        demand: Callable[[str], float],
        load_of: Callable[[str], float],
        on_leaving: Callable[[str], None],
        policy: FleetPolicy | None = None,
    ):
        self._zone = zone
        self._lease = lease
        self._platform = platform
        self._tasks = tasks
        self._metrics = metrics
        self._rng = rng
        self._now = now
        self._configuration = configuration
        self._demand = demand
        self._load_of = load_of
        self._on_leaving = on_leaving
        self._policy = policy or CostFleet()
        self._refusals = RefusalMemory()
        self._starts: list[_Start] = []
        self._stopping: dict[str, float] = {}
        self._peaks: dict[str, list[tuple[float, float]]] = {}
        self._busy = False

    def step(self) -> None:
        """Do one round, if this process holds the lease and the last round has ended."""
        if self._busy or self._lease.current() is None:
            return
        self._busy = True
        self._tasks.start(self._round(), self._ended)

    def _ended(self, _: Any) -> None:
        self._busy = False

    def _round(self) -> Task:
        try:
            records = yield from self._platform.list_vms()
            offers = yield from self._platform.offers()
            self._forget_done(records)
            yield from self._repeat_starts()
            yield from self._stop_idle(records)
            for service in self._configuration().of(ObjectKind.SERVICE).values():
                yield from self._plan(service, records, [Offer(**each) for each in offers])
        except PlatformError:
            self._metrics.count("platform_errors_total", operation="fleet")

    def _forget_done(self, records: Sequence[VmRecord]) -> None:
        """Drop starts that show in the list, or that have taken too long."""
        listed = {each.vm_id for each in records}
        oldest = self._now() - START_SECONDS
        self._starts = [
            each
            for each in self._starts
            if each.vm_id not in listed and (not each.vm_id or each.ordered_at > oldest)
        ]
        self._stopping = {vm_id: at for vm_id, at in self._stopping.items() if vm_id in listed}

    def _repeat_starts(self) -> Task:
        for start in [each for each in self._starts if not each.vm_id]:
            yield from self._order_start(start)

    def _plan(self, service: Service, records: Sequence[VmRecord], offers: Sequence[Offer]) -> Task:
        open_offers = self._refusals.open(offers, self._now())
        vms = self._vms_of(service, records)
        for number, order in enumerate(
            self._policy.plan(self._peak_demand(service.name), vms, open_offers)
        ):
            if isinstance(order, StartOrder):
                if order.offer.zone != self._zone:
                    continue
                token = f"{self._lease.name}/{self._rng.getrandbits(64):016x}/{number}"
                start = _Start(token, service, order.offer, self._now())
                self._starts.append(start)
                yield from self._order_start(start)
            elif self._is_here(order.vm_id, records) and order.vm_id not in self._stopping:
                self._stopping[order.vm_id] = self._now()
                self._on_leaving(order.vm_id)

    def _is_here(self, vm_id: str, records: Sequence[VmRecord]) -> bool:
        return any(each.vm_id == vm_id and each.zone == self._zone for each in records)

    def _vms_of(self, service: Service, records: Sequence[VmRecord]) -> list[FleetVm]:
        """Return the VMs that run or are being started for a service."""
        vms = [
            FleetVm(
                each.vm_id,
                each.zone,
                each.vm_class,
                each.reclaimable,
                service.slots,
                each.state == "leaving" or each.vm_id in self._stopping,
                int(self._load_of(each.vm_id)),
            )
            for each in records
            if each.service == service.name
        ]
        started = [each for each in self._starts if each.service.name == service.name]
        return vms + [
            FleetVm(
                each.vm_id or each.token,
                each.offer.zone,
                each.offer.vm_class,
                each.offer.reclaimable,
                service.slots,
            )
            for each in started
        ]

    def _peak_demand(self, service: str) -> float:
        """Return the highest demand of the last minutes: stops must not follow each dip."""
        now = self._now()
        peaks = [
            each for each in self._peaks.get(service, ()) if each[0] > now - DEMAND_WINDOW_SECONDS
        ]
        peaks.append((now, self._demand(service)))
        self._peaks[service] = peaks
        return max(demand for _, demand in peaks)

    def _order_start(self, start: _Start) -> Task:
        """Order one VM; the lease counts at the moment of the order."""
        if self._lease.current() is None:
            self._metrics.count("orders_total", kind="start_vm", result="lease_lapsed")
            return
        offer = start.offer
        vm = {
            "zone": offer.zone,
            "role": "endpoint",
            "address": "",
            "service": start.service.name,
            "vm_class": offer.vm_class,
            "reclaimable": offer.reclaimable,
            "price": offer.price,
        }
        vm_id = yield from self._platform.start_vm({"token": start.token, "vm": vm})
        if vm_id is None:
            self._starts.remove(start)
            self._refusals.refused(offer, self._now())
            self._metrics.count("orders_total", kind="start_vm", result="refused")
            return
        start.vm_id = vm_id
        self._refusals.started(offer)
        self._metrics.count("orders_total", kind="start_vm", result="done")

    def _stop_idle(self, records: Sequence[VmRecord]) -> Task:
        """Return VMs that were taken out of service and have no request left."""
        for vm_id, since in list(self._stopping.items()):
            waited = self._now() - since >= STOP_GRACE_SECONDS
            if not waited or self._load_of(vm_id) > 0 or self._lease.current() is None:
                continue
            yield from self._platform.stop_vm(vm_id)
            self._metrics.count("orders_total", kind="stop_vm", result="done")
