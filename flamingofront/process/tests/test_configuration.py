"""An accepted configuration is in force everywhere within seconds and never reverts."""

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from flamingofront.process.dissemination import Push
from flamingofront.standins.platform import FaultMode
from flamingofront.tests.world import World, demo_world

ZONES = ("zone-a", "zone-b", "zone-c", "zone-d")
SECONDS = 8.0


def revisions(world):
    return {
        name: node.gossip.configuration.revision
        for name, node in world.nodes.items()
        if not world.host(name).dead
    }


def seconds_until_active(world, revision, names=None):
    names = names or list(world.nodes)
    return world.run_until(lambda: all(revisions(world)[each] >= revision for each in names), 60.0)


class TestInForce:
    def test_everywhere_within_seconds(self):
        world = demo_world(ZONES, entries_per_zone=2)
        outcome = world.operate("change workspace desk weight=2", "entry-a1")
        # A round of digests takes a second; only pushes are faster.
        assert seconds_until_active(world, outcome["revision"]) < 0.2

    @pytest.mark.parametrize("mode", [FaultMode.DOWN, FaultMode.SILENT])
    def test_everywhere_although_the_store_is_out_right_after_acceptance(self, mode):
        world = demo_world(ZONES, entries_per_zone=2)
        caller = world.start_operation(["change workspace desk weight=2"], "entry-a1")
        world.run_until(lambda: caller.done)
        for service in ("table", "vms", "cloud"):
            world.platform.inject_fault(service, mode)
        assert seconds_until_active(world, caller.data["revision"]) < SECONDS

    def test_everywhere_although_the_answer_of_the_write_was_lost(self):
        world = demo_world(ZONES)
        world.platform.inject_fault("table", FaultMode.LOSE_ANSWER, count=1, writes_only=True)
        outcome = world.operate("change workspace desk weight=2", "entry-a1")
        assert outcome["state"] == "accepted"
        assert seconds_until_active(world, outcome["revision"]) < SECONDS

    def test_everywhere_although_the_accepting_process_dies(self):
        world = demo_world(ZONES)
        world.platform.inject_fault("table", FaultMode.LOSE_ANSWER, count=1, writes_only=True)
        world.start_operation(["change workspace desk weight=2"], "entry-a1")
        world.run_until(lambda: world.platform.rows["config/head"][0]["revision"] == 2)
        world.kill("entry-a1")
        assert set(revisions(world).values()) == {1}
        assert seconds_until_active(world, 2, ["entry-b1", "entry-c1", "entry-d1"]) < SECONDS

    def test_new_process_during_an_outage_has_the_revision_before_it_is_ready(self):
        world = demo_world(ZONES)
        outcome = world.operate("change workspace desk weight=2", "entry-a1")
        seconds_until_active(world, outcome["revision"])
        for service in ("table", "vms", "cloud"):
            world.platform.inject_fault(service, FaultMode.DOWN)
        world.kill("entry-b1")
        node = world.entry("entry-b1", "zone-b")
        assert not node.ready
        world.run_until(lambda: node.ready, 20.0)
        assert node.gossip.configuration.revision == outcome["revision"]
        caller = world.complete("entry-b1")
        world.finish(caller)
        assert caller.status == 200

    def test_new_process_that_hears_nobody_is_not_ready(self):
        world = demo_world(ZONES)
        world.kill("entry-d1")
        node = world.entry("entry-d1", "zone-d")
        world.isolate("zone-d")
        world.run(20.0)
        assert not node.ready
        caller = world.complete("entry-d1")
        assert (caller.error["kind"], caller.error["ran"]) == ("not_ready", "no")

    def test_zone_that_was_cut_off_catches_up(self):
        world = demo_world(ZONES)
        world.isolate("zone-d")
        outcome = world.operate("change workspace desk weight=2", "entry-a1")
        world.run(15.0)
        assert revisions(world)["entry-d1"] < outcome["revision"]
        caller = world.complete("entry-d1")
        world.finish(caller)
        assert caller.status == 200
        world.heal()
        assert seconds_until_active(world, outcome["revision"]) < SECONDS

    def test_cut_off_zone_tells_its_operator_that_nothing_was_changed(self):
        world = demo_world(ZONES)
        world.isolate("zone-d")
        outcome = world.operate("change workspace desk weight=2", "entry-d1")
        assert outcome["state"] in ("unavailable", "unknown")
        world.heal()
        world.run(10.0)
        if outcome["state"] == "unavailable":
            assert set(revisions(world).values()) == {1}


class TestOperatorsInConflict:
    def test_exactly_one_wins_and_the_other_is_told(self):
        world = demo_world(ZONES)
        callers = [
            world.start_operation([f"change workspace desk weight={n}"], name, operator=f"op{n}")
            for n, name in ((2, "entry-a1"), (3, "entry-b1"))
        ]
        world.run_until(lambda: all(each.done for each in callers))
        states = sorted(each.data["state"] for each in callers)
        assert states == ["accepted", "conflict"]
        winner = next(each.data for each in callers if each.data["state"] == "accepted")
        loser = next(each.data for each in callers if each.data["state"] == "conflict")
        assert loser["revision"] == winner["revision"]
        assert loser["operator"] == winner["operator"]

    def test_unknown_outcome_is_settled_later(self):
        world = demo_world(ZONES)
        world.platform.inject_fault("table", FaultMode.LOSE_ANSWER, count=1, writes_only=True)
        caller = world.start_operation(["change workspace desk weight=2"], "entry-a1")
        world.run_until(lambda: world.platform.rows["config/head"][0]["revision"] == 2)
        world.platform.inject_fault("table", FaultMode.DOWN)
        world.run_until(lambda: caller.done)
        outcome = caller.data
        assert outcome["state"] == "unknown"
        world.platform.inject_fault("table", FaultMode.UP)
        settled = world.operate(f"settle {outcome['operation']}", "entry-b1")
        assert (settled["state"], settled["revision"]) == ("accepted", 2)


class TestOldNews:
    def test_old_configuration_that_comes_late_is_ignored(self):
        world = demo_world(("zone-a",))
        gossip = world.nodes["entry-a1"].gossip
        old = gossip.configuration
        world.operate("change workspace desk weight=2")
        assert gossip.apply_push(Push(configuration=old)) is None
        assert gossip.configuration.revision == old.revision + 1


class SpreadFuzz(RuleBasedStateMachine):
    """Changes, cuts, outages and restarts in any order.

    The oracle: the highest revision that was ever accepted; no process that lives goes back, none
    has more than what was accepted, none is ready with less than it was when it died.
    """

    @initialize()
    def begin(self):
        self.world = demo_world(("zone-a", "zone-b", "zone-c"), engines_per_zone=1)
        self.world.max_extra_delay = 0.3  # messages overtake one another
        self.seen = dict(revisions(self.world))
        self.changes = 0

    @rule(name=st.sampled_from(["entry-a1", "entry-b1", "entry-c1"]))
    def change(self, name):
        self.changes += 1
        self.world.start_operation([f"put workspace w weight={self.changes}"], name)
        self.world.run(0.05)

    @rule(seconds=st.floats(0.05, 6.0))
    def time_passes(self, seconds):
        self.world.run(seconds)

    @rule(zone=st.sampled_from(["zone-a", "zone-b", "zone-c"]))
    def zone_is_cut_off(self, zone):
        self.world.isolate(zone)

    @rule()
    def cuts_heal(self):
        self.world.heal()

    @rule(mode=st.sampled_from(list(FaultMode)))
    def platform_changes(self, mode):
        for service in ("table", "vms", "cloud"):
            self.world.platform.inject_fault(service, mode, 0.5)

    @rule(name=st.sampled_from(["entry-a1", "entry-b1", "entry-c1"]))
    def process_is_replaced(self, name):
        self.world.kill(name)
        self.seen[name] = 0
        self.world.entry(name, f"zone-{name[-2]}")

    @invariant()
    def nothing_goes_back_and_nothing_is_made_up(self):
        if not hasattr(self, "world"):
            return
        row = self.world.platform.rows["config/head"][0]
        for name, revision in revisions(self.world).items():
            assert self.seen[name] <= revision <= row["revision"]
            self.seen[name] = revision

    def teardown(self):
        if not hasattr(self, "world"):
            return
        self.world.heal()
        for service in ("table", "vms", "cloud"):
            self.world.platform.inject_fault(service, FaultMode.UP)
        self.world.run(15.0)
        head = self.world.platform.rows["config/head"][0]["revision"]
        assert set(revisions(self.world).values()) == {head}


TestSpreadFuzz = SpreadFuzz.TestCase
TestSpreadFuzz.settings = settings(max_examples=25, stateful_step_count=20)


class TestWorld:
    def test_two_worlds_with_the_same_seed_are_the_same(self):
        """The fakes are deterministic, so a failing example fails again."""
        texts = []
        for _ in range(2):
            world: World = demo_world(("zone-a", "zone-b"), seed=7)
            caller = world.complete("entry-a1", tokens=50)
            world.finish(caller)
            texts.append((world.clock.now(), caller.body))
        assert texts[0] == texts[1]
