"""Leader lease, usage reports and scaling over several entry processes with failures."""

import pytest

from flamingofront.decisions.demand import Demand, OfferedLoad
from flamingofront.decisions.fleet_plan import CheapestSafeFleet, FleetState
from flamingofront.platform.endpoints import ENDPOINT_TABLE
from flamingofront.process.forwarding.lease_row import LEADER_KEY, LEADER_PARTITION, LEADER_TABLE
from flamingofront.process.forwarding.usage import MAX_DEPARTED, UsageBook
from flamingofront.standins.table_store import StoreFault
from flamingofront.tests.forwarding_world import ForwardingWorld, ready_world
from flamingofront.version.forwarding import ScalingLimits

LEASE_SECONDS = 3.0


def cloud_calls(world, path):
    """Return the calls of the leader tasks to one path of the cloud API."""
    return [each for each in world.store.leader_calls if each.path == path]


def reported_usage(world):
    """Return the reported counts by window; repeated reports must agree."""
    found = {}
    for each in cloud_calls(world, "/usage"):
        window, counts = each.body["window_id"], each.body["counts"]
        assert found.setdefault(window, counts) == counts
    return found


def find_holder(world):
    """Return the VM that holds a valid leader lease."""
    return next(name for name, each in world.fronts.items() if each.lease.valid_lease() is not None)


def assert_one_holder_at_a_time(world, lease_seconds=LEASE_SECONDS):
    """Check that fencing tokens never fall and no VM acts around another within one lease."""
    last = None
    last_acts = {}
    for each in world.store.leader_calls:
        if last is not None:
            assert each.fencing >= last.fencing
            if each.holder != last.holder:
                assert each.fencing > last.fencing
                before = last_acts.get(each.holder)
                assert before is None or each.at - before >= lease_seconds
        last = each
        last_acts[each.holder] = each.at


class TestUsage:
    def test_each_window_is_reported_with_the_requests_of_all_processes(self):
        world = ready_world(fronts=3)
        for number in range(30):
            world.finish(world.ask(f"front-{1 + number % 3}", "/read/x"))
            world.run(0.3)
        world.run(12.0)
        assert sum(each.get("desk", 0) for each in reported_usage(world).values()) == 30
        windows = sorted(reported_usage(world))
        assert windows == list(range(windows[0], windows[-1] + 1))
        assert_one_holder_at_a_time(world)

    @pytest.mark.parametrize("failure", ["kill", "cut", "freeze"])
    def test_successor_reports_without_a_gap(self, failure):
        world = ready_world(fronts=3)
        world.run(6.0)
        first = find_holder(world)
        others = [name for name in world.fronts if name != first]
        if failure == "kill":
            world.kill(first)
        elif failure == "cut":
            world.cut(first, "store")
        else:
            world.pause(first)
        for number in range(40):
            world.finish(world.ask(others[number % 2], "/read/x"))
            world.run(0.5)
        if failure == "freeze":
            world.resume(first)
        world.heal()
        world.run(15.0)
        windows = sorted(reported_usage(world))
        assert windows == list(range(windows[0], windows[-1] + 1))
        assert sum(each.get("desk", 0) for each in reported_usage(world).values()) == 40
        assert len({each.holder for each in world.store.leader_calls}) >= 2
        assert_one_holder_at_a_time(world)

    @pytest.mark.parametrize("seed", range(6))
    def test_only_one_of_many_acquires_an_expired_lease(self, seed):
        world = ready_world(fronts=6, seed=seed)
        world.run(4.0)
        world.kill(find_holder(world))
        world.run(20.0)
        reported_usage(world)
        assert_one_holder_at_a_time(world)
        assert len({each.fencing for each in world.store.leader_calls}) == 2

    def test_rolling_restart_loses_no_counts(self):
        world = ready_world(fronts=3)
        world.run(4.0)
        sent = 0
        for name in list(world.fronts):
            node = world.fronts[name]
            node.stopping = True
            node.tasks.start(node.lease.release())
            for _ in range(6):
                world.finish(*[world.ask(each, "/read/x") for each in world.fronts])
                sent += 3
                world.run(0.5)
            world.kill(name)
            world.front(name)
            world.run_until(lambda name=name: world.fronts[name].ready)
            world.run(0.5)
        world.run(15.0)
        assert sum(each.get("desk", 0) for each in reported_usage(world).values()) == sent
        windows = sorted(reported_usage(world))
        assert windows == list(range(windows[0], windows[-1] + 1))
        assert_one_holder_at_a_time(world)

    def test_lost_responses_cause_only_exact_repeats(self):
        world = ready_world(fronts=2)
        world.store.fault = StoreFault.LOSE_ANSWERS
        world.store.cloud_fault = StoreFault.LOSE_ANSWERS
        for number in range(20):
            world.finish(world.ask(f"front-{1 + number % 2}", "/read/x"))
            world.run(0.5)
        world.store.fault = StoreFault.NONE
        world.store.cloud_fault = StoreFault.NONE
        world.run(15.0)
        reported_usage(world)
        assert_one_holder_at_a_time(world)

    def test_wrong_clock_is_outvoted(self):
        world = ready_world(fronts=3)
        front = world.fronts["front-2"]
        true_wall = front.timers.wall
        front.timers.wall = lambda: true_wall() + 40.0
        world.run(1.0)
        assert abs(front.peers.cluster_time() - world.clock.now()) < 0.1


class TestReportedCounts:
    def test_report_has_own_counts_beside_those_of_many_others(self):
        """Guards against a relay that keeps the usage of other zones and leaves its own out."""
        book = UsageBook("own", 5.0)
        others = {f"vm-{number}": {"0": {"desk": 1}} for number in range(2 * MAX_DEPARTED)}
        book.merge_counts(others, {})
        book.count_started("desk", 1.0)
        found = book.collect_counts(set(), 1.0)
        assert found["own"] == {"0": {"desk": 1}}
        assert len(found) == MAX_DEPARTED + 1


class TestLease:
    def test_row_is_rarely_read_while_the_holder_is_live(self):
        world = ready_world(fronts=6)
        world.run(5.0)
        before = world.store.calls
        world.run(20.0)
        renewals, feeds, reports = 20, 2 * 6 * 20 / 3.5, 2 * 5
        assert world.store.calls - before < 1.3 * (renewals + feeds + reports)

    def test_released_lease_is_acquired_soon(self):
        world = ready_world(fronts=3)
        world.run(5.0)
        first = find_holder(world)
        node = world.fronts[first]
        node.stopping = True
        node.tasks.start(node.lease.release())
        world.run(0.1)
        node.peers.broadcast_report()
        world.run(LEASE_SECONDS + 1.5)
        second = find_holder(world)
        assert second != first
        world.run(20.0)
        assert_one_holder_at_a_time(world)

    def test_state_is_kept_in_one_row(self):
        world = ready_world()
        world.run(8.0)
        row = world.store.get_value(LEADER_TABLE, LEADER_KEY, LEADER_PARTITION)
        assert row["holder"] == "front-1" and row["reports"]


class TestScaling:
    LIMITS = ScalingLimits(1, 3, 4.0, 0.2, {"zone-a": 1.0, "zone-b": 0.8, "zone-c": 1.2})

    def make_plan(self, work, limits=LIMITS, known=True, in_flight=0.0, slots=48, **state):
        demand = Demand(in_flight, slots, OfferedLoad(work, work), known)
        return CheapestSafeFleet().plan(limits, demand, FleetState(**state))

    def count_endpoints(self, plan):
        return sum(plan.reclaimable.values()) + sum(plan.on_demand.values())

    def test_few_slots_per_endpoint_need_more_endpoints(self):
        limits = ScalingLimits(1, 50, 4.0, 0.2, {"zone-a": 1.0})
        counts = [
            self.count_endpoints(self.make_plan(1.0, limits, in_flight=60.0, slots=slots))
            for slots in (4, 8, 100)
        ]
        assert counts[0] > counts[1] > counts[2]
        assert counts[2] == self.count_endpoints(self.make_plan(1.0, limits))

    def test_large_fleets_need_fewer_spares(self):
        limits = ScalingLimits(1, 50, 4.0, 0.2, self.LIMITS.zone_prices)
        ratios = [
            self.count_endpoints(self.make_plan(work, limits)) / work for work in (1.5, 4.0, 16.0)
        ]
        assert ratios[0] >= 4.0 and ratios[1] > ratios[2] and ratios[2] <= 2.1

    def test_queue_alone_adds_no_endpoints(self):
        """A queue left by a reclaim must not add endpoints beyond the incoming load."""
        calm, queued = (self.make_plan(1.0, in_flight=each) for each in (5.0, 60.0))
        assert calm == queued

    def test_no_request_is_sent_before_endpoints_have_registered(self):
        world = ForwardingWorld()
        world.configure_routes()
        world.endpoint("plain-1", "records", "zone-a")
        world.front("front-1")
        world.run(2.0)
        assert not cloud_calls(world, "/scale")
        for number in range(4):
            world.endpoint(f"engine-{number}", "engines", "zone-a")
            world.run(0.4)
        world.run(3.0)
        orders = [
            each.body for each in cloud_calls(world, "/scale") if each.body["zone"] == "zone-a"
        ]
        assert [each["desired"] for each in orders if each.get("spot")] == [3]

    def test_slow_registration_extends_the_wait(self):
        world = ForwardingWorld()
        world.configure_routes()
        world.endpoint("plain-1", "records", "zone-a")
        world.front("front-1")
        world.run(2.0)
        for number in range(6):
            world.endpoint(f"engine-{number}", "engines", "zone-b" if number > 3 else "zone-a")
            world.run(0.9)
        assert not cloud_calls(world, "/scale")
        world.run(3.0)
        assert world.fronts["front-1"].leader_tasks[1]._initial_counts["engines"].total() == 6
        assert cloud_calls(world, "/scale")

    def test_one_reclaimable_endpoint_per_zone_at_low_demand(self):
        plan = self.make_plan(0.1)
        assert set(plan.reclaimable.values()) == {1}
        assert sum(plan.on_demand.values()) == 0

    def test_demand_adds_endpoints_within_the_limits(self):
        counts = [sum(self.make_plan(work).reclaimable.values()) for work in (0, 0.8, 1.6, 2.0, 50)]
        assert counts == sorted(counts) and counts[-1] == 9

    def test_initial_endpoints_stay_until_the_demand_is_known(self):
        """Guards against a fleet that is too small for the first requests of a deployment."""
        found = {"zone-a": 4, "zone-b": 3}
        first = self.make_plan(0, known=False, found=found).reclaimable
        assert first == {"zone-a": 3, "zone-b": 3, "zone-c": 2}
        later = self.make_plan(0, found=found).reclaimable
        assert set(later.values()) == {1}

    def test_other_zones_compensate_exhausted_zones(self):
        plan = self.make_plan(
            0.4, exhausted_zones=frozenset({"zone-a"}), reclaimable={"zone-b": 1, "zone-c": 1}
        )
        assert plan.reclaimable["zone-b"] + plan.reclaimable["zone-c"] >= 2
        # The platform always keeps the minimum number of a zone.
        assert plan.on_demand == {"zone-b": 0, "zone-a": 1, "zone-c": 0}

    def test_on_demand_endpoints_compensate_when_all_zones_are_exhausted(self):
        live = {"zone-a": 0, "zone-b": 1, "zone-c": 2}
        plan = self.make_plan(
            2.4, exhausted_zones=frozenset(self.LIMITS.zone_prices), reclaimable=live
        )
        assert plan.reclaimable == live
        # A load of 2.4 at 75% utilization needs four endpoints after the loss of zone-c's two.
        assert sum(plan.on_demand.values()) == 3
        for zone in self.LIMITS.zone_prices:
            assert plan.reclaimable[zone] + plan.on_demand[zone] <= self.LIMITS.most

    def test_fleet_survives_the_loss_of_a_zone(self):
        for work in (0.5, 1.0, 1.5, 2.0, 3.0):
            plan = self.make_plan(work)
            survivors = self.count_endpoints(plan) - max(plan.reclaimable.values())
            assert survivors * 0.75 >= work

    def test_spare_endpoints_follow_the_price(self):
        """If reclaimable endpoints cost nearly as much, on-demand ones are cheaper than spares."""
        expensive = ScalingLimits(1, 3, 4.0, 0.9, self.LIMITS.zone_prices)
        assert sum(self.make_plan(1.7).on_demand.values()) == 0
        assert sum(self.make_plan(1.7, expensive).on_demand.values()) > 0

    def test_on_demand_endpoints_stay_until_replaced(self):
        on_demand = {"zone-a": 2, "zone-b": 1}
        assert sum(self.make_plan(1.5, on_demand=on_demand).on_demand.values()) == 3
        started = {"zone-a": 1, "zone-b": 1, "zone-c": 2}
        assert (
            sum(self.make_plan(1.5, on_demand=on_demand, reclaimable=started).on_demand.values())
            == 0
        )

    def test_on_demand_endpoints_are_requested_at_the_reclaim_notice(self):
        """Waiting for the reclaim itself is too late: a replacement takes four seconds to start."""
        world = ready_world(fronts=2, engines=0)
        for zone in ("zone-a", "zone-b"):
            world.endpoint(f"engine-{zone}", "engines", zone)
            world.register(f"engine-{zone}", "engines", zone, spot=True)
        world.run(25.0)
        noticed = world.clock.now()
        leaving = {"spot": True, "state": "draining", "sequence": 5}
        world.register("engine-zone-a", "engines", "zone-a", **leaving)
        world.run(1.0)
        orders = [each for each in cloud_calls(world, "/scale") if each.at >= noticed]
        on_demand = [each for each in orders if not each.body.get("spot")]
        assert [(each.body["zone"], each.body["desired"]) for each in on_demand] == [("zone-a", 1)]

    def test_restarted_holder_sends_requests_within_a_second(self):
        world = ready_world(fronts=2)
        world.run(4.0)
        first = find_holder(world)
        world.kill(first)
        world.front(first, first_start=False)
        began = world.clock.now()
        world.run(1.5)
        orders = [each for each in cloud_calls(world, "/scale") if each.at >= began]
        assert orders and {each.holder for each in orders} == {first}

    def test_process_without_endpoint_rows_sends_no_requests(self):
        """A process that lacks the endpoint rows would request the removal of serving endpoints."""
        world = ready_world(fronts=1)
        world.run(4.0)
        world.kill("front-1")
        for name in list(world.endpoints):
            world.store.drop(ENDPOINT_TABLE, name)
        world.front("front-1", first_start=False)
        began = world.clock.now()
        world.run(1.5)
        assert not [each for each in cloud_calls(world, "/scale") if each.at >= began]

    def test_every_process_tracks_the_demand(self):
        world = ready_world(fronts=3)
        for number in range(200):
            world.ask(f"front-{1 + number % 3}", "/stream/again/x")
            world.run(0.1)
        scaling = {name: front.leader_tasks[1] for name, front in world.fronts.items()}
        assert all(each._estimate_demand("engines").known for each in scaling.values())
        assert all(each._estimate_demand("engines").work.slow > 0 for each in scaling.values())

    def test_requests_are_sent_once_and_unfilled_ones_repeated(self):
        world = ready_world(fronts=2, engines=0)
        world.run(4.0)
        orders = cloud_calls(world, "/scale")
        assert {(each.body["zone"], each.body.get("spot", False)) for each in orders} == {
            (zone, spot) for zone in ("zone-a", "zone-b") for spot in (True, False)
        }
        assert len(orders) == 4
        world.run(6.0)
        repeated = cloud_calls(world, "/scale")[4:]
        assert {(each.body["desired"], each.body.get("spot")) for each in repeated} == {(2, True)}
        assert len(repeated) == 2
        assert_one_holder_at_a_time(world)

    def test_scale_in_is_repeated_if_endpoints_remain(self):
        world = ready_world(fronts=1, engines=0)
        world.endpoint("engine-1", "engines", "zone-a")
        # Three seconds for endpoints to register, then a request and its repeats.
        world.run(15.0)
        on_demand = [
            each.at
            for each in cloud_calls(world, "/scale")
            if each.body["zone"] == "zone-a" and not each.body.get("spot")
        ]
        assert len(on_demand) >= 3 and on_demand[1] - on_demand[0] < 6.0
