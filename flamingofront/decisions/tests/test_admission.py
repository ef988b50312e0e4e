"""Tests of admission, limits, endpoint choice and retries under load."""

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from flamingofront.decisions.admission import (
    FairAdmission,
    Ticket,
    WorkspaceShare,
    compute_limit_share,
)
from flamingofront.decisions.choice import Candidate, CostChoice, WorkEstimate
from flamingofront.decisions.retry import EndpointHealth, PacedRetryBudget
from flamingofront.errors import ErrorKind, RequestError
from flamingofront.request.prefixes import PrefixIndex, block_hashes
from flamingofront.tests.world import demo_world


def make_ticket(number, workspace="w", weight=1.0, priority=5, limit=1000, latest=100.0, cost=1.0):
    share = WorkspaceShare(workspace, weight, priority, limit)
    return Ticket(f"r{number}", share, cost, latest)


def start_all(admission, now=0.0):
    """Start requests until none may start, and return them."""
    found = []
    while (each := admission.start_next(now)) is not None:
        found.append(each)
    return found


class TestFairness:
    def test_large_workspace_does_not_delay_small_one(self):
        admission = FairAdmission(random.Random(1), slots=0)
        for number in range(50):
            admission.offer(make_ticket(number, "large"), 0.0)
        for number in range(3):
            admission.offer(make_ticket(100 + number, "small"), 0.0)
        admission.set_capacity(6)
        names = [each.share.name for each in start_all(admission)]
        assert names.count("small") == 3

    def test_shares_follow_weights(self):
        admission = FairAdmission(random.Random(1), slots=0)
        for number in range(60):
            admission.offer(make_ticket(number, "heavy", weight=3.0), 0.0)
            admission.offer(make_ticket(100 + number, "light", weight=1.0), 0.0)
        admission.set_capacity(40)
        names = [each.share.name for each in start_all(admission)]
        assert 28 <= names.count("heavy") <= 32

    def test_resumed_requests_start_first_then_by_priority(self):
        admission = FairAdmission(random.Random(1), slots=0)
        admission.offer(make_ticket(1, priority=5), 0.0)
        admission.offer(make_ticket(2, priority=1), 0.0)
        resumed = make_ticket(3, priority=9)
        resumed.resumed = True
        admission.offer(resumed, 0.0)
        admission.set_capacity(3)
        assert [each.request_id for each in start_all(admission)] == ["r3", "r2", "r1"]

    def test_request_over_limit_is_rejected_with_retry_after(self):
        admission = FairAdmission(random.Random(1))
        admission.offer(make_ticket(1, limit=1), 0.0)
        with pytest.raises(RequestError) as caught:
            admission.offer(make_ticket(2, limit=1), 0.0)
        assert caught.value.kind is ErrorKind.LIMIT_EXCEEDED
        assert caught.value.retry_after > 0

    @given(st.lists(st.tuples(st.sampled_from("abc"), st.sampled_from("ofx")), max_size=60))
    def test_counts_match_simple_model(self, steps):
        """In any order of operations capacity holds and each request starts at most once."""
        admission = FairAdmission(random.Random(1), slots=4, max_waiting=10)
        accepted, running = {}, []
        for number, (workspace, step) in enumerate(steps):
            if step == "o":
                each = make_ticket(number, workspace, limit=5)
                try:
                    admission.offer(each, 0.0)
                    accepted[each.request_id] = each
                except RequestError:
                    same = [one for one in accepted.values() if one.share.name == workspace]
                    assert len(same) >= 5 or len(accepted) - len(running) >= 10
            elif step == "x" and accepted:
                each = accepted.pop(next(iter(accepted)))
                running = [one for one in running if one is not each]
                admission.release(each, 0.0)
            for each in start_all(admission):
                assert each.request_id in accepted and each not in running
                running.append(each)
            assert len(running) == min(4, len(accepted)) == admission.running
        assert sum(admission.get_in_flight().values()) == len(accepted)


class TestOverload:
    def test_rejections_are_immediate_and_not_executed(self):
        world = demo_world(entry_settings={"default_deadline": 60.0}, engines_per_zone=1)
        callers = [world.complete("entry-a1", f"p{n}", 400) for n in range(120)]
        world.run(0.01)
        rejected = [each for each in callers if each.status == 503]
        assert rejected
        for each in rejected:
            assert (each.error["kind"], each.error["ran"]) == ("overloaded", "no")
            assert int(each.headers["retry-after"]) >= 1
        world.finish(*callers)
        late = [each for each in callers if each.status == 503]
        assert all(each.error["ran"] == "no" for each in late)
        assert world.run_until(lambda: not world.nodes["entry-a1"].hub.active) < 1.0

    def test_queued_request_is_rejected_before_it_misses_its_target(self):
        world = demo_world(engines_per_zone=1)
        running = [world.complete("entry-a1", f"p{n}", 3000) for n in range(15)]
        world.run(0.5)
        waiting = world.complete("entry-a1", "late", 10)
        assert not waiting.done
        wait_seconds = world.run_until(lambda: waiting.done)
        assert waiting.error["kind"] == "overloaded"
        assert wait_seconds < 1.6
        assert all(not each.done for each in running)

    def test_workspace_limit_holds_over_all_entry_vms(self):
        zones = ("zone-a", "zone-b", "zone-c", "zone-d")
        world = demo_world(zones)
        world.operate("change workspace desk max_in_flight=8")
        world.run(3.0)
        accepted = 0
        for _ in range(10):
            for name in world.nodes:
                world.complete(name, tokens=3000)
            world.run(1.0)
            accepted = sum(len(node.hub.active) for node in world.nodes.values())
        assert 4 <= accepted <= 8


class TestSharedLimit:
    @given(st.integers(4, 500), st.lists(st.integers(0, 100), min_size=2, max_size=8))
    def test_shares_sum_to_at_most_the_limit(self, limit, demands):
        members = len(demands)
        shares = [
            compute_limit_share(
                limit,
                demand,
                {str(j): other for j, other in enumerate(demands) if j != i},
                members,
                0,
            )
            for i, demand in enumerate(demands)
        ]
        assert sum(shares) <= max(limit, members)

    @given(st.integers(8, 500), st.integers(2, 8))
    def test_limit_holds_over_both_sides_of_partition(self, limit, members):
        first_side = members // 2
        total = 0
        for size in (first_side, members - first_side):
            live_demands = {str(index): 50.0 for index in range(size - 1)}
            total += size * compute_limit_share(limit, 50.0, live_demands, members, members - size)
        assert total <= max(limit, members)


class TestChoice:
    def candidate(self, name, **more):
        return Candidate(name, "z", "127.0.0.1:1", **more)

    def choose(self, *candidates, **work):
        return (
            CostChoice()
            .choose(candidates, WorkEstimate(zone="z", **work), random.Random(1))
            .endpoint_id
        )

    def test_cheaper_idle_endpoint_is_preferred(self):
        expensive, cheap = self.candidate("dear", price=2.0), self.candidate("cheap", price=1.0)
        assert self.choose(expensive, cheap) == "cheap"

    def test_loaded_endpoint_is_avoided_although_cheap(self):
        loaded = self.candidate("crowded", price=1.0, local_in_flight=15)
        assert self.choose(loaded, self.candidate("idle", price=1.5)) == "idle"

    def test_long_cached_prefix_is_preferred(self):
        cold = self.candidate("cold", local_in_flight=2)
        warm = self.candidate("warm", local_in_flight=3, cached_tokens=3000)
        assert self.choose(cold, warm, prompt_tokens=3000) == "warm"

    def test_slow_endpoint_is_avoided(self):
        slow = self.candidate("slow", price=0.9, slowness=5.0)
        assert self.choose(slow, self.candidate("usual")) == "usual"

    def test_full_endpoints_are_not_chosen(self):
        full = self.candidate("full", local_in_flight=16)
        assert CostChoice().choose([full], WorkEstimate(), random.Random(1)) is None


class TestHealth:
    def test_failing_endpoint_is_ejected_temporarily(self):
        health = EndpointHealth(random.Random(1))
        for _ in range(3):
            health.record_failure("e1", 0.0)
        assert health.list_ejected(("e1", "e2"), 0.1) == {"e1"}
        assert health.list_ejected(("e1", "e2"), 10.0) == frozenset()

    def test_at_most_half_of_endpoints_are_ejected(self):
        health = EndpointHealth(random.Random(1))
        for name in ("e1", "e2", "e3", "e4"):
            for _ in range(3):
                health.record_failure(name, 0.0)
        assert len(health.list_ejected(("e1", "e2", "e3", "e4"), 0.1)) == 2

    def test_fast_failing_endpoint_does_not_attract_all_requests(self):
        world = demo_world(engines_per_zone=3)
        world.engines["engine-a1"].faults.refuse = True
        callers = []
        for _ in range(40):
            callers.append(world.complete("entry-a1", tokens=5))
            world.run(0.1)
        world.finish(*callers)
        assert all(each.body.endswith(b"[DONE]\n\n") for each in callers)
        rows = world.nodes["entry-a1"].metrics.rows()
        retries = [row["value"] for row in rows if row["counter"] == "retries_total"]
        assert sum(retries) <= 10


class TestRetryBudget:
    def test_burst_of_retries_is_paced(self):
        budget = PacedRetryBudget(ratio=0.2, floor_rate=10.0, burst=5.0)
        delays = [budget.reserve(0.0) for _ in range(25)]
        assert delays[:5] == [0.0] * 5
        assert delays[-1] == pytest.approx(2.0)
        assert delays == sorted(delays)


class TestPrefixes:
    @given(st.lists(st.tuples(st.sampled_from("abc"), st.integers(0, 6), st.booleans())))
    def test_longest_prefix_holders_match_linear_scan(self, steps):
        hashes = block_hashes([str(n) for n in range(16 * 6)])
        index = PrefixIndex(max_blocks=4)
        for endpoint, count, store in steps:
            if store:
                index.add_blocks(endpoint, hashes[:count])
            else:
                index.remove_blocks(endpoint, hashes[count:])
        lengths = {name: index.cached_tokens(name, hashes) for name in "abc"}
        best = max(lengths.values())
        expected = {name for name, length in lengths.items() if length == best and best}
        assert index.longest_prefix_holders(hashes) == expected
