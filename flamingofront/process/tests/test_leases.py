"""Leases: no two holders, no order of a lapsed holder that takes effect after its successor's."""

import random

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from flamingofront.daemon import open_document_store
from flamingofront.messages import Sleep
from flamingofront.process.leases import LeaseKeeper
from flamingofront.process.logs import Log
from flamingofront.standins.platform import FaultMode
from flamingofront.tests.world import World, demo_world

DURATION = 6.0
WAIT_EXTRA = 2.0


class Keepers:
    """Two processes that keep the same lease, in a world."""

    def __init__(self, count=2):
        self.world = World()
        self.keepers = []
        for number in range(count):
            host = self.world._host(f"keeper-{number}", f"zone-{number}")
            host.handler = lambda req, exchange: None
            self.start(host, number)

    def start(self, host, number):
        from flamingofront.process.tasks import TaskRunner
        from flamingofront.tests.network import FakeTransport

        def fault(exc):
            raise exc

        runner = TaskRunner(FakeTransport(self.world, host), host.timers, fault)
        documents = open_document_store(
            self.world.host("platform").address, 1.0, self.world.clock.now, Log("test")
        )
        keeper = LeaseKeeper(
            documents,
            "duty/zone",
            f"keeper-{number}/1",
            host.timers.now,
            random.Random(number),
            DURATION,
            WAIT_EXTRA,
        )
        runner.start(keeper.run())
        self.keepers.append(keeper)

    def holders(self):
        return [each for each in self.keepers if each.valid_lease() is not None]


class TestLease:
    def test_one_of_two_gets_it(self):
        pair = Keepers()
        pair.world.run(5.0)
        assert len(pair.holders()) == 1

    def test_paused_holder_has_lost_it_when_it_wakes(self):
        pair = Keepers()
        pair.world.run(5.0)
        (first,) = pair.holders()
        name = f"keeper-{pair.keepers.index(first)}"
        old = first.valid_lease().fencing
        pair.world.pause(name)
        pair.world.run(DURATION + WAIT_EXTRA + 6.0)
        # The clock went on while the holder slept; it must know at the moment it looks.
        assert first.valid_lease() is None
        (second,) = pair.holders()
        assert second is not first
        assert second.valid_lease().fencing > old
        pair.world.resume(name)
        pair.world.run(10.0)
        assert pair.holders() == [second]

    @pytest.mark.parametrize("mode", [FaultMode.DOWN, FaultMode.SILENT, FaultMode.LOSE_ANSWER])
    def test_lease_lapses_while_the_platform_is_out_and_comes_back_to_one(self, mode):
        pair = Keepers()
        pair.world.run(5.0)
        pair.world.platform.inject_fault("table", mode)
        pair.world.run(DURATION + 3.0)
        assert pair.holders() == []
        pair.world.platform.inject_fault("table", FaultMode.UP)
        pair.world.run(20.0)
        assert len(pair.holders()) == 1

    def test_release_lets_the_next_take_it_at_once(self):
        pair = Keepers()
        pair.world.run(5.0)
        (first,) = pair.holders()
        task = first.release()
        number = pair.keepers.index(first)
        host = pair.world.host(f"keeper-{number}")
        from flamingofront.process.tasks import TaskRunner
        from flamingofront.tests.network import FakeTransport

        TaskRunner(FakeTransport(pair.world, host), host.timers, print).start(task)
        pair.world.pause(f"keeper-{number}")
        pair.world.host(f"keeper-{number}").paused = False
        assert pair.world.run_until(lambda: pair.holders(), 5.0) < DURATION


class LeaseFuzz(RuleBasedStateMachine):
    """Pauses, outages and lost answers in any order: never two holders, numbers only grow."""

    def __init__(self):
        super().__init__()
        self.group = Keepers(3)
        self.highest = 0

    @rule(seconds=st.floats(0.1, 12.0))
    def time_passes(self, seconds):
        steps = max(1, int(seconds / 0.5))
        for _ in range(steps):
            self.group.world.run(seconds / steps)
            self.check()

    @rule(number=st.integers(0, 2))
    def pause(self, number):
        self.group.world.pause(f"keeper-{number}")

    @rule(number=st.integers(0, 2))
    def resume(self, number):
        self.group.world.resume(f"keeper-{number}")

    @rule(mode=st.sampled_from(list(FaultMode)), delay=st.floats(0.1, 3.0))
    def platform_changes(self, mode, delay):
        self.group.world.platform.inject_fault("table", mode, delay)

    @invariant()
    def check(self):
        holders = self.group.holders()
        assert len(holders) <= 1
        for holder in holders:
            fencing = holder.valid_lease().fencing
            assert fencing >= self.highest
            self.highest = fencing


TestLeaseFuzz = LeaseFuzz.TestCase


class TestOrders:
    def put_wrong_model(self, world, name):
        world.engines[name].model = "other"

    def test_holder_brings_engines_to_the_model_of_the_configuration(self):
        world = demo_world(entries_per_zone=2)
        world.run(10.0)
        self.put_wrong_model(world, "engine-a1")
        assert world.run_until(lambda: world.engines["engine-a1"].model == "demo", 20.0) < 10.0

    def test_late_order_of_a_frozen_holder_is_refused_where_fencing_is_checked(self):
        world, order = self._late_order(check_fencing=True)
        assert world.engines["engine-a1"].model == "demo"
        assert world.engines["engine-a1"].counts.stale_orders == 1

    def test_late_order_is_put_right_where_fencing_is_ignored(self):
        world, order = self._late_order(check_fencing=False)
        took = world.run_until(lambda: world.engines["engine-a1"].model == "demo", 20.0)
        assert took < 5.0

    def _late_order(self, check_fencing):
        """Deliver an order of an old holder after its successor has given one."""
        import orjson

        from flamingofront.messages import OutboundCall
        from flamingofront.tests.network import FakeTransport

        world = demo_world(entries_per_zone=2, check_fencing=check_fencing)
        world.run(10.0)
        holder = next(n for n, each in world.nodes.items() if each.lease.valid_lease())
        old = world.nodes[holder].lease.valid_lease().fencing
        world.pause(holder)
        self.put_wrong_model(world, "engine-a1")
        world.run_until(lambda: world.engines["engine-a1"].model == "demo", 40.0)
        world.resume(holder)
        body = orjson.dumps({"order": "load", "model": "stale", "fencing": old})
        call = OutboundCall(world.host("engine-a1").address, "POST", "/order", body)
        FakeTransport(world, world.host(holder)).start(call, lambda event: None)
        world.run(0.01)
        return world, call

    def test_order_is_not_given_once_the_lease_has_lapsed(self):
        world = demo_world(entries_per_zone=1)
        world.run(10.0)
        world.platform.inject_fault("table", FaultMode.DOWN)
        world.run(15.0)
        before = list(world.engines["engine-a1"].orders)
        self.put_wrong_model(world, "engine-a1")
        world.run(10.0)
        assert world.engines["engine-a1"].orders == before
        caller = world.complete("entry-a1")
        world.finish(caller)
        assert caller.status == 200

    def test_generator_waits_between_renewals(self):
        keeper = LeaseKeeper(
            open_document_store("127.0.0.1:1", 1.0, lambda: 0.0, Log("test")),
            "d/z",
            "h/1",
            lambda: 0.0,
            random.Random(1),
            DURATION,
        )
        task = keeper.run()
        next(task)
        from flamingofront.messages import CallFailed

        assert isinstance(task.send(CallFailed("connect", False)), Sleep)
