"""How many endpoint VMs of which class run in which zone.

The plan is pure: demand, running VMs and offers go in, orders come out. The holder of the fleet
lease carries the orders out (`flamingofront.process.fleet_duty`).
"""

import math
from abc import ABC, abstractmethod
from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

__all__ = [
    "CostFleet",
    "FixedFleet",
    "FleetPolicy",
    "FleetVm",
    "Offer",
    "RefusalMemory",
    "StartOrder",
    "StopOrder",
]

REFUSAL_SECONDS = 30.0
LONGEST_REFUSAL_SECONDS = 300.0


@dataclass(frozen=True)
class Offer:
    """What the cloud offers.

    Parameters
    ----------
    price : float
        Cost per hour.
    slots : int
        Requests that such a VM runs at the same time within the target.
    reclaim_rate : float
        Expected reclaims per VM and hour.
    """

    zone: str
    vm_class: str
    reclaimable: bool
    price: float
    slots: int = 16
    reclaim_rate: float = 0.0

    @property
    def key(self) -> tuple[str, str, bool]:
        """Identity of the offer."""
        return self.zone, self.vm_class, self.reclaimable


@dataclass(frozen=True)
class FleetVm:
    """One endpoint VM that runs or is being started."""

    vm_id: str
    zone: str
    vm_class: str
    reclaimable: bool
    slots: int = 16
    leaving: bool = False
    in_flight: int = 0


@dataclass(frozen=True)
class StartOrder:
    """Order to start a VM."""

    offer: Offer


@dataclass(frozen=True)
class StopOrder:
    """Order to drain and return a VM."""

    vm_id: str


class RefusalMemory:
    """Offers that were refused lately, with growing pauses."""

    def __init__(self):
        self._until: dict[tuple[str, str, bool], float] = {}
        self._counts: Counter[tuple[str, str, bool]] = Counter()

    def refused(self, offer: Offer, now: float) -> None:
        """Note a refused start."""
        pause = min(LONGEST_REFUSAL_SECONDS, REFUSAL_SECONDS * 2 ** self._counts[offer.key])
        self._counts[offer.key] += 1
        self._until[offer.key] = now + pause

    def started(self, offer: Offer) -> None:
        """Note a start that was granted."""
        self._until.pop(offer.key, None)
        self._counts.pop(offer.key, None)

    def open(self, offers: Iterable[Offer], now: float) -> list[Offer]:
        """Return the offers that are worth asking for."""
        return [each for each in offers if self._until.get(each.key, -math.inf) <= now]


class FleetPolicy(ABC):
    """Plans starts and stops."""

    @abstractmethod
    def plan(
        self, demand: float, vms: Sequence[FleetVm], offers: Sequence[Offer]
    ) -> list[StartOrder | StopOrder]:
        """Return the orders that bring the fleet to its target.

        Parameters
        ----------
        demand : float
            Requests expected to run at the same time.
        offers : sequence of Offer
            Offers that were not refused lately.
        """


@dataclass(frozen=True)
class FixedFleet(FleetPolicy):
    """The naive version: a fixed number of on-demand VMs, replaced in the zone they left."""

    per_zone: int = 2

    def plan(
        self, demand: float, vms: Sequence[FleetVm], offers: Sequence[Offer]
    ) -> list[StartOrder | StopOrder]:
        """Fill each zone up to the fixed number."""
        running = Counter(each.zone for each in vms if not each.leaving)
        orders: list[StartOrder | StopOrder] = []
        for offer in offers:
            if offer.reclaimable:
                continue
            missing = self.per_zone - running[offer.zone]
            orders += [StartOrder(offer) for _ in range(missing)]
            running[offer.zone] += max(0, missing)
        return orders


@dataclass(frozen=True)
class CostFleet(FleetPolicy):
    """Cheapest fleet that still carries the demand when its largest zone is reclaimed.

    Parameters
    ----------
    utilization : float
        Part of the slots that the demand may fill.
    on_demand_fraction : float
        Least part of the capacity that cannot be reclaimed.
    reclaim_cost : float
        Price units that one reclaim costs (recomputed tokens, late answers).
    max_orders : int
        Starts or stops in one round, so that a wrong view cannot do much harm.
    """

    utilization: float = 0.75
    on_demand_fraction: float = 0.2
    reclaim_cost: float = 0.5
    max_orders: int = 8
    spare_vms: int = field(default=1)

    def plan(
        self, demand: float, vms: Sequence[FleetVm], offers: Sequence[Offer]
    ) -> list[StartOrder | StopOrder]:
        """Return starts if the fleet is too small, stops if it is too large."""
        staying = [each for each in vms if not each.leaving]
        needed = demand / self.utilization
        starts = self._starts(needed, staying, offers)
        if starts:
            return list(starts[: self.max_orders])
        return list(self._stops(needed, staying)[: self.max_orders])

    def surviving_slots(self, vms: Iterable[FleetVm]) -> float:
        """Return the slots left if the zone with the most reclaimable slots is reclaimed."""
        total = 0
        at_risk: Counter[str] = Counter()
        for each in vms:
            total += each.slots
            if each.reclaimable:
                at_risk[each.zone] += each.slots
        return total - max(at_risk.values(), default=0)

    def _is_enough(self, needed: float, vms: Sequence[FleetVm]) -> bool:
        firm = sum(each.slots for each in vms if not each.reclaimable)
        return self.surviving_slots(vms) >= needed and firm >= needed * self.on_demand_fraction

    def _starts(
        self, needed: float, staying: list[FleetVm], offers: Sequence[Offer]
    ) -> list[StartOrder]:
        fleet = list(staying)
        orders: list[StartOrder] = []
        while not self._is_enough(needed, fleet) and len(orders) < self.max_orders:
            offer = self._best_offer(needed, fleet, offers)
            if offer is None:
                break
            orders.append(StartOrder(offer))
            fleet.append(_vm_of(offer, len(orders)))
        return orders

    def _best_offer(
        self, needed: float, fleet: list[FleetVm], offers: Sequence[Offer]
    ) -> Offer | None:
        """Return the offer that gains most surviving or firm slots for its price."""
        firm = sum(each.slots for each in fleet if not each.reclaimable)
        lacks_firm = firm < needed * self.on_demand_fraction
        firm_offers = [each for each in offers if not each.reclaimable]
        pool = firm_offers if lacks_firm and firm_offers else offers
        at_risk = {each.zone: 0 for each in offers}
        for vm in fleet:
            if vm.reclaimable:
                at_risk[vm.zone] = at_risk.get(vm.zone, 0) + vm.slots

        def value(offer: Offer) -> tuple[float, float, str]:
            cost = offer.price + offer.reclaim_rate * self.reclaim_cost
            gain = self._expected_gain(offer, at_risk)
            return gain / cost, -float(at_risk[offer.zone]), offer.zone

        return max(pool, key=value, default=None)

    def _expected_gain(self, offer: Offer, at_risk: dict[str, int]) -> float:
        """Return the slots that survive the loss of a zone thanks to one more VM.

        Notes
        -----
        Reclaimable VMs that are spread evenly over n zones keep (n - 1) / n of their slots. The
        first of them seems to gain nothing, as its zone may be the one that is lost, so the even
        spread is what counts, and only for the zones that have least.
        """
        if not offer.reclaimable:
            return float(offer.slots)
        zones = len(at_risk)
        if at_risk[offer.zone] > min(at_risk.values()):
            return 0.0
        return offer.slots * (zones - 1) / zones

    def _stops(self, needed: float, staying: list[FleetVm]) -> list[StopOrder]:
        fleet = list(staying)
        orders: list[StopOrder] = []
        idle_first = sorted(fleet, key=lambda each: (each.in_flight, each.vm_id))
        for vm in idle_first:
            rest = [each for each in fleet if each.vm_id != vm.vm_id]
            smaller = rest[: max(0, len(rest) - self.spare_vms)] if self.spare_vms else rest
            if not smaller or not self._is_enough(needed, smaller):
                continue
            orders.append(StopOrder(vm.vm_id))
            fleet = rest
        return orders


def _vm_of(offer: Offer, number: int) -> FleetVm:
    name = f"planned-{number}"
    return FleetVm(name, offer.zone, offer.vm_class, offer.reclaimable, offer.slots)
