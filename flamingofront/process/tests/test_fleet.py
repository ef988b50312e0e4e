"""The fleet: its plan, and how the lease holders carry it out."""

from collections import Counter

import pytest
from hypothesis import given
from hypothesis import strategies as st

from flamingofront.process.fleet import CostFleet, FleetVm, Offer, StartOrder, StopOrder
from flamingofront.standins.platform import FaultMode
from flamingofront.tests.world import demo_world

ZONES = ("zone-a", "zone-b", "zone-c")


def offers(price=1.0):
    found = [Offer(zone, "standard", True, price, 16, 0.05) for zone in ZONES]
    return found + [Offer(zone, "standard", False, 3 * price, 16) for zone in ZONES]


def grow(demand, vms=(), policy=None, pool=None):
    """Carry out plans until they ask for nothing more; return the fleet."""
    policy, fleet = policy or CostFleet(), list(vms)
    for _ in range(50):
        orders = policy.plan(demand, fleet, offers() if pool is None else pool)
        if not orders:
            return fleet
        for order in orders:
            if isinstance(order, StartOrder):
                offer = order.offer
                name = f"vm-{len(fleet)}-{order.offer.zone}-{_}"
                fleet.append(FleetVm(name, offer.zone, "standard", offer.reclaimable, offer.slots))
            else:
                fleet = [each for each in fleet if each.vm_id != order.vm_id]
    raise AssertionError("the plan does not come to rest")


class TestPlan:
    @given(st.floats(1.0, 400.0))
    def test_demand_is_carried_after_the_loss_of_any_zone(self, demand):
        policy = CostFleet()
        fleet = grow(demand)
        for zone in ZONES:
            left = sum(each.slots for each in fleet if each.zone != zone or not each.reclaimable)
            assert left >= demand / policy.utilization

    @given(st.floats(1.0, 200.0), st.floats(1.0, 200.0))
    def test_plan_comes_to_rest_when_the_demand_changes(self, before, after):
        grow(after, grow(before))

    def test_zones_are_filled_evenly(self):
        zones = Counter(each.zone for each in grow(100.0) if each.reclaimable)
        assert max(zones.values()) - min(zones.values()) <= 1

    def test_refused_zones_are_replaced_by_others(self):
        pool = [each for each in offers() if each.zone == "zone-b"]
        fleet = grow(20.0, pool=pool)
        assert {each.zone for each in fleet} == {"zone-b"}
        assert CostFleet().surviving_slots(fleet) >= 20.0 / CostFleet().utilization

    def test_idle_vms_are_stopped_first(self):
        fleet = [FleetVm(f"vm-{n}", ZONES[n % 3], "s", False, 16, in_flight=n) for n in range(9)]
        orders = CostFleet().plan(16.0, fleet, offers())
        assert orders and all(isinstance(each, StopOrder) for each in orders)
        assert orders[0].vm_id == "vm-0"


class TestDuty:
    def world(self, **settings):
        world = demo_world(
            ZONES,
            engines_per_zone=1,
            entries_per_zone=2,
            entry_settings={"fleet": "on", "default_deadline": 9000.0, **settings},
            step_seconds=1.0,
        )
        world.platform.offers = [
            {
                "zone": each.zone,
                "vm_class": each.vm_class,
                "reclaimable": each.reclaimable,
                "price": each.price,
            }
            for each in offers()
        ]
        for number in range(30):
            world.complete(list(world.nodes)[number % 6], f"p{number}", 9000)
        return world

    def started(self, world):
        return [each for each in world.platform.vms.values() if each["vm_id"].startswith("vm-")]

    def test_vms_are_started_once_for_each_need(self):
        world = self.world()
        world.run(120.0)
        count = len(self.started(world))
        assert count > 0
        world.run(120.0)
        assert len(self.started(world)) == count

    @pytest.mark.parametrize("mode", [FaultMode.LOSE_ANSWER, FaultMode.SLOW])
    def test_lost_answer_of_a_start_does_not_start_two(self, mode):
        usual = self.world()
        usual.run(240.0)
        world = self.world()
        world.platform.fail("cloud", mode, delay=3.0, count=6, writes_only=True)
        world.run(240.0)
        assert len(self.started(world)) == len(self.started(usual))

    def test_nothing_is_ordered_while_the_lease_cannot_be_kept(self):
        world = self.world()
        world.platform.fail("table", FaultMode.DOWN)
        world.run(20.0)
        before = len(self.started(world))
        world.run(120.0)
        assert len(self.started(world)) == before

    def test_refused_zone_is_made_up_for_elsewhere(self):
        world = self.world()
        world.platform.refuse_starts(frozenset({"zone-a"}))
        world.run(240.0)
        zones = {each["zone"] for each in self.started(world)}
        assert zones and "zone-a" not in zones


class TestWeightStore:
    def test_loads_wait_for_the_rate_of_the_weight_store(self):
        world = demo_world(engines_per_zone=4, entries_per_zone=2)
        world.run(10.0)
        world.platform._weight_interval = 20.0
        for engine in world.engines.values():
            engine.model = "other"
        world.run(30.0)
        loaded = sum(each.model == "demo" for each in world.engines.values())
        assert 1 <= loaded <= 2
        world.run(80.0)
        assert all(each.model == "demo" for each in world.engines.values())
