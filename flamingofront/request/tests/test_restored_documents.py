"""Tests of idempotency keys and jobs when the store is restored from a snapshot some seconds old.

A claim is written before a request is sent. A snapshot from before that write lacks the claim, so
that the next call with the key ran the request a second time.
"""

import pytest

from flamingofront.standins.table_store import StoreFault
from flamingofront.tests.world import demo_world

KEY = {"idempotency-key": "k1", "x-work": "w1"}


def restore_snapshot(world, age, outage=0.3):
    world.platform.store.fault = StoreFault.RESET
    world.run(outage)
    world.platform.store.fault = StoreFault.NONE
    world.platform.store.restore(age)
    world.run(3.0)


def count_executions(world):
    return sum(each.executions["w1"] for each in world.plains.values())


class TestIdempotencyKeys:
    @pytest.mark.parametrize("seconds", [0.5, 4.0, 9.0])
    def test_call_with_a_key_runs_once(self, seconds):
        world = demo_world(("zone-a", "zone-b"))
        world.run(10.0)
        path = "/services/records/certificates"
        first = world.call("entry-a1", "POST", path, b"x", KEY)
        world.finish(first)
        world.run(seconds / 2)
        restore_snapshot(world, seconds)
        second = world.call("entry-b1", "POST", path, b"x", KEY)
        world.finish(second)
        assert (second.status, second.body) == (first.status, first.body)
        assert count_executions(world) == 1

    def test_answer_stored_after_the_restore_is_kept(self):
        world = demo_world(("zone-a", "zone-b"))
        world.run(10.0)
        path = "/services/records/x"
        world.finish(world.call("entry-a1", "POST", path, b"one", {"idempotency-key": "k1"}))
        restore_snapshot(world, 3.0)
        newer = world.call("entry-b1", "POST", path, b"two", {"idempotency-key": "k2"})
        world.finish(newer)
        world.run(5.0)
        again = world.call("entry-a1", "POST", path, b"two", {"idempotency-key": "k2"})
        world.finish(again)
        assert again.body == newer.body


class TestJobs:
    def test_answer_of_a_job_can_be_fetched_after_the_restore(self):
        world = demo_world(("zone-a", "zone-b"))
        world.run(10.0)
        caller = world.complete("entry-a1", stream=False, headers={"prefer": "respond-async"})
        world.run(3.0)
        restore_snapshot(world, 8.0)
        later = world.call("entry-b1", "GET", caller.headers["location"])
        world.finish(later)
        assert later.status == 200


class TestConfiguration:
    def test_accepted_change_survives_the_restore(self):
        world = demo_world(("zone-a", "zone-b"))
        world.run(10.0)
        outcome = world.operate("drain zone zone-b")
        assert outcome["state"] == "accepted"
        world.run(0.5)
        restore_snapshot(world, 5.0)
        world.entry("entry-new", "zone-a")
        world.run(5.0)
        revisions = {each.gossip.configuration.revision for each in world.nodes.values()}
        assert revisions == {outcome["revision"]}
        world.kill("entry-a1")
        world.kill("entry-b1")
        world.kill("entry-new")
        world.entry("entry-last", "zone-a")
        world.run(5.0)
        assert world.nodes["entry-last"].gossip.configuration.revision == outcome["revision"]
