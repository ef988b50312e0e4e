"""The fleet policy against a fixed fleet: cost, and capacity left after the loss of a zone."""

import random
import statistics

from flamingofront.process.fleet import (
    CostFleet,
    FixedFleet,
    FleetVm,
    Offer,
    RefusalMemory,
    StartOrder,
)

ZONES = ("zone-a", "zone-b", "zone-c", "zone-d")
SLOTS = 16
HOURS = 24
ROUNDS_PER_HOUR = 60
RECLAIMS_PER_HOUR = 0.04
ZONE_RECLAIMS_PER_HOUR = 0.02
START_ROUNDS = 3
SEEDS = (1, 2, 3, 4, 5)


def offers_of(hour):
    """Return the offers at an hour: reclaimable VMs cost a third, prices differ by zone."""
    found = []
    for index, zone in enumerate(ZONES):
        factor = (1.0, 1.2, 0.9, 1.1)[index] * (1.0 + 0.2 * ((hour + 6 * index) % HOURS > 12))
        found.append(Offer(zone, "standard", True, 1.0 * factor, SLOTS, RECLAIMS_PER_HOUR))
        found.append(Offer(zone, "standard", False, 3.0 * factor, SLOTS))
    return found


def demand_at(hour):
    """Return the requests that run at the same time: a quiet night, a busy day."""
    return 20.0 if hour % HOURS < 7 else 60.0 if hour % HOURS < 19 else 35.0


class Day:
    """One day of a fleet under reclaims, with refused starts after a wave."""

    def __init__(self, policy, seed):
        self.policy, self.rng = policy, random.Random(seed)
        self.memory = RefusalMemory()
        self.vms, self.starting = [], []
        self.refusing = {}
        self.cost, self.short, self.rounds, self.count = 0.0, 0, 0, 0
        self.refused = 0

    def run(self):
        for tick in range(HOURS * ROUNDS_PER_HOUR):
            hour = tick // ROUNDS_PER_HOUR
            self._reclaims(tick)
            self.vms += [vm for due, vm in self.starting if due <= tick]
            self.starting = [each for each in self.starting if each[0] > tick]
            self._plan(tick, offers_of(hour), demand_at(hour))
            prices = {offer.key: offer.price for offer in offers_of(hour)}
            self.cost += (
                sum(prices[vm.zone, vm.vm_class, vm.reclaimable] for vm in self.vms)
                / ROUNDS_PER_HOUR
            )
            if tick > ROUNDS_PER_HOUR:
                self.rounds += 1
                self.short += sum(vm.slots for vm in self.vms) < demand_at(hour)
        return self.cost, 100.0 * self.short / self.rounds, self.refused

    def _reclaims(self, tick):
        for zone in ZONES:
            if self.rng.random() < ZONE_RECLAIMS_PER_HOUR / ROUNDS_PER_HOUR:
                self.vms = [vm for vm in self.vms if vm.zone != zone or not vm.reclaimable]
                self.refusing[zone] = tick + 30
        self.vms = [
            vm
            for vm in self.vms
            if not vm.reclaimable or self.rng.random() > RECLAIMS_PER_HOUR / ROUNDS_PER_HOUR
        ]

    def _plan(self, tick, offers, demand):
        fleet = self.vms + [vm for _, vm in self.starting]
        for order in self.policy.plan(demand, fleet, self.memory.open(offers, tick * 60.0)):
            if not isinstance(order, StartOrder):
                self.vms = [vm for vm in self.vms if vm.vm_id != order.vm_id]
                continue
            offer = order.offer
            if offer.reclaimable and self.refusing.get(offer.zone, -1) > tick:
                self.memory.refused(offer, tick * 60.0)
                self.refused += 1
                continue
            self.memory.started(offer)
            self.count += 1
            vm = FleetVm(f"vm-{self.count}", offer.zone, "standard", offer.reclaimable, SLOTS)
            self.starting.append((tick + START_ROUNDS, vm))


def main():
    """Print both policies."""
    print(f"\nfleet over a day (medians of {len(SEEDS)} seeds; demand 20 to 60 requests at a time)")
    for name, policy in (("fixed, on demand", FixedFleet(2)), ("by cost (ours)", CostFleet())):
        days = [Day(policy, seed).run() for seed in SEEDS]
        cost, short, refused = (statistics.median(column) for column in zip(*days, strict=True))
        print(
            f"  {name:18} cost {cost:7.1f}  minutes short of slots {short:5.2f}%  "
            f"refused starts {refused:.0f}"
        )


if __name__ == "__main__":
    main()
