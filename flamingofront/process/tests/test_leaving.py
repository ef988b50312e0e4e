"""Leaving endpoints get no new work within seconds, whoever hears of it first."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from flamingofront.process.membership import Fact, FactTable, Role, VmState
from flamingofront.tests.world import demo_world

ZONES = ("zone-a", "zone-b", "zone-c")
FEW_SECONDS = 5.0


def measure_last_request(world, engine_name, seconds):
    """Send requests from all entry VMs all the time; return when the engine last got one."""
    engine = world.engines[engine_name]
    start = world.clock.now()
    last = 0.0
    seen = len(engine.counts.executions)
    while world.clock.now() < start + seconds:
        for name, node in world.nodes.items():
            if not world.host(name).dead and node.ready:
                world.complete(name, tokens=1)
        world.run(0.1)
        if len(engine.counts.executions) > seen:
            seen = len(engine.counts.executions)
            last = world.clock.now() - start
    return last


class TestTimeToTakeEffect:
    def test_notice_seen_in_one_zone(self):
        world = demo_world(ZONES, list_lag=20.0)
        world.platform.reclaim("engine-a1", 60.0)
        assert measure_last_request(world, "engine-a1", 15.0) < FEW_SECONDS

    def test_sign_in_the_vm_list(self):
        world = demo_world(ZONES)
        world.platform.vms["engine-a1"]["state"] = "leaving"
        world.platform._update_list("engine-a1", 0.0)
        assert measure_last_request(world, "engine-a1", 15.0) < FEW_SECONDS

    def test_order_to_drain(self):
        world = demo_world(ZONES)
        world.start_operation(["drain endpoint engine-a1"], "entry-b1")
        assert measure_last_request(world, "engine-a1", 15.0) < FEW_SECONDS

    def test_peers_told_although_messages_are_lost_and_a_zone_is_cut_off(self):
        """Zone c hears neither the platform nor zone a, only zone b."""
        world = demo_world(ZONES, list_lag=20.0)
        world.cut("zone-c", "platform")
        world.cut("zone-c", "entry-a1")
        world.platform.reclaim("engine-a1", 60.0)
        assert measure_last_request(world, "engine-a1", 15.0) < FEW_SECONDS

    @pytest.mark.parametrize("seed", range(5))
    def test_delays_and_reordering(self, seed):
        world = demo_world(ZONES, list_lag=20.0, seed=seed)
        world.max_extra_delay = 0.5
        world.platform.reclaim("engine-b1", 60.0)
        assert measure_last_request(world, "engine-b1", 15.0) < FEW_SECONDS

    def test_cut_off_zone_learns_of_its_own_endpoints_when_the_platform_is_back(self):
        world = demo_world(ZONES)
        world.isolate("zone-c")
        world.platform.reclaim("engine-c1", 600.0)
        world.run(10.0)
        caller = world.complete("entry-c1", tokens=5)
        world.finish(caller)
        assert caller.status == 200
        world.heal()
        assert measure_last_request(world, "engine-c1", 15.0) < FEW_SECONDS

    def test_draining_a_side_sends_its_work_to_the_other(self):
        from flamingofront.tests.world import DEMO

        text = (
            DEMO + '[moves.shift]\nservice = "demo"\nold_side = "old"\nnew_side = "new"\nshare = 0'
        )
        world = demo_world(ZONES, engines_per_zone=0)
        for zone in ZONES:
            world.engine(f"old-{zone[-1]}", zone, side="old")
            world.engine(f"new-{zone[-1]}", zone, side="new")
        world.configure(text)
        world.run(3.0)
        callers = [world.complete(name, tokens=300) for name in world.nodes]
        world.run(0.5)
        world.operate("drain side old")
        for engine in ("old-a", "old-b", "old-c"):
            assert measure_last_request(world, engine, 6.0) < FEW_SECONDS
        world.finish(*callers)
        assert all(each.body.endswith(b"[DONE]\n\n") for each in callers)


facts = st.builds(
    Fact,
    vm_id=st.sampled_from(["v1", "v2", "v3"]),
    incarnation=st.integers(0, 3),
    state=st.sampled_from(list(VmState)),
    role=st.just(Role.ENDPOINT),
    zone=st.just("z"),
    address=st.just("127.0.0.1:1"),
)


class TestFactTable:
    @given(st.lists(facts, max_size=30), st.randoms(use_true_random=False))
    def test_order_and_repetition_make_no_difference(self, known, rng):
        first, second = FactTable(), FactTable()
        first.merge(known)
        shuffled = known + known[: len(known) // 2]
        rng.shuffle(shuffled)
        second.merge(shuffled)
        ranks = [{each.vm_id: each.rank for each in table.all()} for table in (first, second)]
        assert ranks[0] == ranks[1]
        assert first.hashes() == second.hashes()

    @given(st.lists(facts, max_size=30))
    def test_a_fact_never_goes_back(self, known):
        table = FactTable()
        highest = {}
        for fact in known:
            table.merge([fact])
            highest[fact.vm_id] = max(highest.get(fact.vm_id, (0, 0)), fact.rank)
            assert table.get(fact.vm_id).rank == highest[fact.vm_id]

    @given(st.lists(facts, max_size=20), st.lists(facts, max_size=20))
    def test_equal_hashes_mean_equal_facts(self, one, other):
        first, second = FactTable(), FactTable()
        first.merge(one)
        second.merge(other)
        ranks = [{each.vm_id: each.rank for each in table.all()} for table in (first, second)]
        assert (first.hashes() == second.hashes()) == (ranks[0] == ranks[1])


class TestStaleList:
    def test_a_stale_list_does_not_revive_a_vm(self):
        world = demo_world(ZONES)
        before = {name: dict(each) for name, each in world.platform.listed_vms.items()}
        world.platform.reclaim("engine-a1", 1.0)
        world.run(4.0)
        world.kill("engine-a1")
        world.platform.remove_vm("engine-a1")
        world.run(10.0)
        world.platform.listed_vms = before
        world.run(10.0)
        for node in world.nodes.values():
            assert node.gossip.facts.get("engine-a1").state is VmState.GONE
        assert measure_last_request(world, "engine-a1", 2.0) == 0.0

    def test_vm_missing_from_one_list_is_not_gone(self):
        world = demo_world(ZONES)
        record = world.platform.listed_vms.pop("engine-a1")
        world.run(2.5)
        world.platform.listed_vms["engine-a1"] = record
        world.run(10.0)
        assert world.nodes["entry-a1"].gossip.facts.get("engine-a1").state is VmState.LIVE
