"""Tests of leader leases: a single holder, and no effect of late orders of an expired holder."""

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

LEASE_SECONDS = 6.0
TAKEOVER_DELAY_SECONDS = 2.0


class Keepers:
    """Processes that compete for the same lease in a simulated world."""

    def __init__(self, count=2):
        self.world = World()
        self.keepers = []
        for number in range(count):
            host = self.world._host(f"keeper-{number}", f"zone-{number}")
            host.handler = lambda req, exchange: None
            self.start_keeper(host, number)

    def start_keeper(self, host, number):
        """Start a process on a host that tries to acquire and renew the lease."""
        from flamingofront.process.tasks import TaskRunner
        from flamingofront.tests.network import FakeTransport

        def raise_error(exc):
            raise exc

        runner = TaskRunner(FakeTransport(self.world, host), host.timers, raise_error)
        documents = open_document_store(
            self.world.host("platform").address, 1.0, self.world.clock.now, Log("test")
        )
        keeper = LeaseKeeper(
            documents,
            "duty/zone",
            f"keeper-{number}/1",
            host.timers.now,
            random.Random(number),
            LEASE_SECONDS,
            TAKEOVER_DELAY_SECONDS,
        )
        runner.start(keeper.run())
        self.keepers.append(keeper)

    def list_holders(self):
        """Return the keepers that hold a valid lease by their own clock."""
        return [each for each in self.keepers if each.valid_lease() is not None]


class TestLease:
    def test_one_of_two_processes_acquires_the_lease(self):
        pair = Keepers()
        pair.world.run(5.0)
        assert len(pair.list_holders()) == 1

    def test_holder_that_was_paused_has_lost_the_lease(self):
        pair = Keepers()
        pair.world.run(5.0)
        (first,) = pair.list_holders()
        name = f"keeper-{pair.keepers.index(first)}"
        old = first.valid_lease().fencing
        pair.world.pause(name)
        pair.world.run(LEASE_SECONDS + TAKEOVER_DELAY_SECONDS + 6.0)
        # The clock advanced while the holder was paused, so its lease is invalid at the next check.
        assert first.valid_lease() is None
        (second,) = pair.list_holders()
        assert second is not first
        assert second.valid_lease().fencing > old
        pair.world.resume(name)
        pair.world.run(10.0)
        assert pair.list_holders() == [second]

    @pytest.mark.parametrize("mode", [FaultMode.DOWN, FaultMode.SILENT, FaultMode.LOSE_ANSWER])
    def test_lease_expires_in_an_outage_and_has_one_holder_after_it(self, mode):
        pair = Keepers()
        pair.world.run(5.0)
        pair.world.platform.inject_fault("table", mode)
        pair.world.run(LEASE_SECONDS + 3.0)
        assert pair.list_holders() == []
        pair.world.platform.inject_fault("table", FaultMode.UP)
        pair.world.run(20.0)
        assert len(pair.list_holders()) == 1

    def test_released_lease_is_acquired_before_it_would_expire(self):
        pair = Keepers()
        pair.world.run(5.0)
        (first,) = pair.list_holders()
        task = first.release()
        number = pair.keepers.index(first)
        host = pair.world.host(f"keeper-{number}")
        from flamingofront.process.tasks import TaskRunner
        from flamingofront.tests.network import FakeTransport

        TaskRunner(FakeTransport(pair.world, host), host.timers, print).start(task)
        pair.world.pause(f"keeper-{number}")
        pair.world.host(f"keeper-{number}").paused = False
        assert pair.world.run_until(lambda: pair.list_holders(), 5.0) < LEASE_SECONDS


class LeaseFuzz(RuleBasedStateMachine):
    """Random pauses, outages and lost responses: one holder at most, fencing tokens never fall."""

    def __init__(self):
        super().__init__()
        self.group = Keepers(3)
        self.highest_fencing = 0

    @rule(seconds=st.floats(0.1, 12.0))
    def advance_time(self, seconds):
        steps = max(1, int(seconds / 0.5))
        for _ in range(steps):
            self.group.world.run(seconds / steps)
            self.check_lease()

    @rule(number=st.integers(0, 2))
    def pause(self, number):
        self.group.world.pause(f"keeper-{number}")

    @rule(number=st.integers(0, 2))
    def resume(self, number):
        self.group.world.resume(f"keeper-{number}")

    @rule(mode=st.sampled_from(list(FaultMode)), delay=st.floats(0.1, 3.0))
    def change_platform_fault(self, mode, delay):
        self.group.world.platform.inject_fault("table", mode, delay)

    @invariant()
    def check_lease(self):
        holders = self.group.list_holders()
        assert len(holders) <= 1
        for holder in holders:
            fencing = holder.valid_lease().fencing
            assert fencing >= self.highest_fencing
            self.highest_fencing = fencing


TestLeaseFuzz = LeaseFuzz.TestCase


class TestOrders:
    def load_other_model(self, world, name):
        """Make an engine serve a model that is not the configured one."""
        world.engines[name].model = "other"

    def test_holder_makes_engines_load_the_configured_model(self):
        world = demo_world(entries_per_zone=2)
        world.run(10.0)
        self.load_other_model(world, "engine-a1")
        assert world.run_until(lambda: world.engines["engine-a1"].model == "demo", 20.0) < 10.0

    def test_late_order_is_rejected_by_engines_that_check_fencing(self):
        world, order = self._deliver_late_order(check_fencing=True)
        assert world.engines["engine-a1"].model == "demo"
        assert world.engines["engine-a1"].counts.stale_orders == 1

    def test_late_order_is_corrected_at_engines_that_ignore_fencing(self):
        world, order = self._deliver_late_order(check_fencing=False)
        took = world.run_until(lambda: world.engines["engine-a1"].model == "demo", 20.0)
        assert took < 5.0

    def _deliver_late_order(self, check_fencing):
        """Deliver an order of the previous holder after its successor has sent one."""
        import orjson

        from flamingofront.messages import OutboundCall
        from flamingofront.tests.network import FakeTransport

        world = demo_world(entries_per_zone=2, check_fencing=check_fencing)
        world.run(10.0)
        holder = next(n for n, each in world.nodes.items() if each.lease.valid_lease())
        old = world.nodes[holder].lease.valid_lease().fencing
        world.pause(holder)
        self.load_other_model(world, "engine-a1")
        world.run_until(lambda: world.engines["engine-a1"].model == "demo", 40.0)
        world.resume(holder)
        body = orjson.dumps({"order": "load", "model": "stale", "fencing": old})
        call = OutboundCall(world.host("engine-a1").address, "POST", "/order", body)
        FakeTransport(world, world.host(holder)).start(call, lambda event: None)
        world.run(0.01)
        return world, call

    def test_no_order_is_sent_after_the_lease_has_expired(self):
        world = demo_world(entries_per_zone=1)
        world.run(10.0)
        world.platform.inject_fault("table", FaultMode.DOWN)
        world.run(15.0)
        before = list(world.engines["engine-a1"].orders)
        self.load_other_model(world, "engine-a1")
        world.run(10.0)
        assert world.engines["engine-a1"].orders == before
        caller = world.complete("entry-a1")
        world.finish(caller)
        assert caller.status == 200

    def test_keeper_sleeps_after_a_failed_renewal(self):
        keeper = LeaseKeeper(
            open_document_store("127.0.0.1:1", 1.0, lambda: 0.0, Log("test")),
            "d/z",
            "h/1",
            lambda: 0.0,
            random.Random(1),
            LEASE_SECONDS,
        )
        task = keeper.run()
        next(task)
        from flamingofront.messages import CallFailed

        assert isinstance(task.send(CallFailed("connect", False)), Sleep)
