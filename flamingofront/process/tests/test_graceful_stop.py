"""Graceful stops cut no request and leave no caller without word."""

import pytest

from flamingofront.request.tests.test_reclaims import (
    expected_text,
    prompt_tokens,
    read_with_reattachment,
)
from flamingofront.tests.world import DEMO, demo_world
from flamingofront.version.model import Move
from flamingofront.version.routing import select_move_side

ZONES = ("zone-a", "zone-b")


class TestRollingRestart:
    @pytest.mark.parametrize("tokens", [50, 900])
    def test_all_entry_processes_under_load(self, tokens):
        world = demo_world(ZONES, entries_per_zone=2, engines_per_zone=3)
        callers, refused = [], []

        def load(seconds):
            for _ in range(int(seconds / 0.25)):
                for name, node in world.nodes.items():
                    if world.host(name).dead or not node.ready:
                        continue
                    prompt = f"p{len(callers)} and more"
                    caller = world.complete(name, prompt, tokens)
                    caller.prompt = prompt
                    callers.append(caller)
                world.run(0.25)

        for name in list(world.nodes):
            load(0.5)
            world.nodes[name].shut_down()
            world.run_until(lambda name=name: name in world.exited, 30.0)
            world.exited.discard(name)
            world.entry(name, world.host(name).zone)
            world.run_until(lambda name=name: world.nodes[name].ready, 30.0)
        nodes = list(world.nodes)
        for caller in callers:
            if caller.done and caller.status == 503:
                refused.append(caller.error["ran"])
                continue
            text = read_with_reattachment(world, caller, caller.prompt, nodes)
            assert text == expected_text(prompt_tokens(caller.prompt), tokens)
        assert set(refused) <= {"no"}
        assert len(refused) < len(callers)

    def test_stop_takes_no_longer_than_the_drain_and_the_hand_over(self):
        world = demo_world(ZONES)
        caller = world.complete("entry-a1", tokens=5000)
        world.run(0.5)
        world.nodes["entry-a1"].shut_down()
        assert world.run_until(lambda: "entry-a1" in world.exited) < 3.0
        assert b"event: reattach" in caller.body

    def test_refusal_while_draining_says_not_run_and_when_to_come_back(self):
        world = demo_world(ZONES)
        world.complete("entry-a1", tokens=500)
        world.nodes["entry-a1"].shut_down()
        caller = world.complete("entry-a1")
        assert (caller.status, caller.error["kind"]) == (503, "draining")
        assert caller.error["ran"] == "no"
        assert "retry-after" in caller.headers
        assert world.call("entry-a1", "GET", "/readyz").status == 503


class TestDrainOrder:
    def test_vm_is_drained_and_taken_back_by_order(self):
        world = demo_world(ZONES)
        world.operate("drain vm entry-a1", "entry-b1")
        world.run(2.0)
        assert not world.nodes["entry-a1"].ready
        world.operate("undrain vm entry-a1", "entry-b1")
        world.run(2.0)
        assert world.nodes["entry-a1"].ready
        caller = world.complete("entry-a1")
        world.finish(caller)
        assert caller.status == 200

    def test_route_that_is_deleted_does_not_cut_its_requests(self):
        world = demo_world(ZONES)
        caller = world.complete("entry-a1", tokens=300)
        world.run(0.5)
        world.operate("delete route demo")
        world.finish(caller)
        assert caller.text == expected_text(["a", " b", " c"], 300)
        assert world.complete("entry-a1").status == 404


class TestShare:
    def test_growing_share_moves_keys_towards_the_new_side_only(self):
        keys = [f"workspace-{number}" for number in range(400)]
        taken = set()
        for share in range(0, 101, 5):
            move = Move("m", "s", "old", "new", float(share))
            now = {key for key in keys if select_move_side(move, key, "r") == "new"}
            assert taken <= now
            assert abs(len(now) / len(keys) - share / 100) < 0.08
            taken = now
        assert taken == set(keys)

    def test_requests_follow_the_share(self):
        text = DEMO + (
            '[moves.shift]\nservice = "demo"\nold_side = "old"\nnew_side = "new"\nkey = "request"\n'
        )
        world = demo_world(ZONES, engines_per_zone=0)
        world.engine("old-a", "zone-a", side="old")
        world.engine("new-b", "zone-b", side="new")
        world.configure(text)
        world.run(3.0)
        for share, low, high in ((0, 0, 0), (50, 25, 75), (100, 100, 100)):
            world.operate(f"set share shift {share}")
            world.run(2.0)
            before = len(world.engines["new-b"].counts.executions)
            callers = []
            for _ in range(100):
                callers.append(world.complete("entry-a1", tokens=1))
                world.run(0.1)
            world.finish(*callers)
            assert low <= len(world.engines["new-b"].counts.executions) - before <= high
