"""Work that must not repeat: failures at every step of a call, and keys used twice."""

import pytest

from flamingofront.standins.plain import PlainFault
from flamingofront.standins.platform import FaultMode
from flamingofront.tests.world import demo_world

CERTIFICATE = "/services/records/certificates"


def executions(world):
    return sum(sum(each.executions.values()) for each in world.plains.values())


def certificate(world, node="entry-a1", key="", work="w1", deadline="5"):
    headers = {"x-work": work, "x-deadline": deadline}
    if key:
        headers["idempotency-key"] = key
    return world.call(node, "POST", CERTIFICATE, b"deposit 7", headers)


class TestFailureAtEachStep:
    @pytest.mark.parametrize("key", ["", "k1"])
    @pytest.mark.parametrize("fault", [each for each in PlainFault if each is not PlainFault.NONE])
    def test_never_two_executions_and_never_a_false_not_run(self, fault, key):
        world = demo_world(plains_per_zone=2)
        for plain in world.plains.values():
            plain.inject_fault(fault)
        caller = certificate(world, key=key)
        world.finish(caller)
        ran = caller.error["ran"]
        assert executions(world) <= 1
        if executions(world):
            assert ran != "no"
        if fault is PlainFault.REFUSE:
            assert (ran, executions(world)) == ("no", 0)

    @pytest.mark.parametrize("fault", [PlainFault.RESET_AFTER, PlainFault.HANG_AFTER])
    def test_second_call_with_the_key_elsewhere_does_not_run_again(self, fault):
        world = demo_world(("zone-a", "zone-b"), plains_per_zone=1)
        for plain in world.plains.values():
            plain.inject_fault(fault, count=1)
        first = certificate(world, key="k1")
        world.finish(first)
        world.run(1.0)
        second = certificate(world, node="entry-b1", key="k1")
        world.finish(second)
        assert second.error["kind"] == "outcome_unknown"
        assert executions(world) == 1

    def test_endpoint_that_is_gone_before_the_call_is_tried_elsewhere(self):
        world = demo_world(plains_per_zone=2)
        world.kill("plain-a1")
        callers = [certificate(world, work=f"w{n}") for n in range(6)]
        world.finish(*callers)
        assert [each.status for each in callers] == [200] * 6
        assert executions(world) == 6

    def test_crossed_answer_is_not_passed_on(self):
        world = demo_world()
        world.plains["plain-a1"].inject_fault(PlainFault.CROSSED, count=1)
        caller = certificate(world)
        world.finish(caller)
        assert caller.error["kind"] == "outcome_unknown"
        assert b"other" not in caller.body

    def test_final_answer_comes_as_soon_as_the_system_gives_up(self):
        world = demo_world()
        world.plains["plain-a1"].inject_fault(PlainFault.RESET_AFTER)
        start = world.clock.now()
        caller = certificate(world, deadline="60")
        world.finish(caller)
        assert world.clock.now() - start < 0.1


class TestKeys:
    def test_second_call_gets_the_first_answer(self):
        world = demo_world(("zone-a", "zone-b"))
        first = certificate(world, key="k1")
        world.finish(first)
        world.run(0.5)
        second = certificate(world, node="entry-b1", key="k1")
        world.finish(second)
        assert second.status == 200
        assert second.body == first.body
        assert executions(world) == 1

    def test_two_at_once_run_once(self):
        world = demo_world(("zone-a", "zone-b"))
        for plain in world.plains.values():
            plain.work_seconds = 1.5
        callers = [certificate(world, node=name, key="k1") for name in world.nodes]
        world.finish(*callers)
        assert executions(world) == 1
        statuses = sorted(each.status for each in callers)
        assert statuses == [200, 409]
        refused = next(each for each in callers if each.status == 409)
        assert refused.error["ran"] == "unknown"
        assert "retry-after" in refused.headers

    def test_same_key_with_another_body_is_an_error(self):
        world = demo_world()
        world.finish(certificate(world, key="k1"))
        world.run(0.5)
        headers = {"idempotency-key": "k1"}
        caller = world.call("entry-a1", "POST", CERTIFICATE, b"deposit 8", headers)
        world.finish(caller)
        assert caller.error["kind"] == "idempotency_key_reused"

    def test_key_of_a_call_that_was_not_run_can_be_used_again(self):
        world = demo_world(("zone-a", "zone-b"))
        for plain in world.plains.values():
            plain.inject_fault(PlainFault.REFUSE)
        first = certificate(world, key="k1", deadline="1")
        world.finish(first)
        assert first.error["ran"] == "no"
        for plain in world.plains.values():
            plain.inject_fault(PlainFault.NONE)
        second = certificate(world, node="entry-b1", key="k1")
        world.finish(second)
        assert second.status == 200
        assert executions(world) == 1

    def test_owner_that_died_leaves_an_unknown_outcome(self):
        world = demo_world(("zone-a", "zone-b"))
        for plain in world.plains.values():
            plain.inject_fault(PlainFault.HANG_AFTER)
        certificate(world, key="k1")
        world.run(0.5)
        world.kill("entry-a1")
        world.platform.remove_vm("entry-a1")
        world.run(10.0)
        second = certificate(world, node="entry-b1", key="k1")
        world.finish(second)
        assert second.error["kind"] == "outcome_unknown"
        assert executions(world) == 1


class TestTableService:
    @pytest.mark.parametrize("mode", [FaultMode.DOWN, FaultMode.SILENT])
    def test_keyed_call_is_refused_while_the_table_is_out(self, mode):
        world = demo_world()
        world.platform.inject_fault("table", mode)
        caller = certificate(world, key="k1", deadline="30")
        world.finish(caller)
        assert caller.error["kind"] == "store_unavailable"
        assert (caller.error["ran"], executions(world)) == ("no", 0)
        assert "retry-after" in caller.headers

    def test_call_without_a_key_goes_on_while_the_table_is_out(self):
        world = demo_world()
        world.platform.inject_fault("table", FaultMode.DOWN)
        caller = certificate(world)
        world.finish(caller)
        assert caller.status == 200

    @pytest.mark.parametrize(("count", "writes_only"), [(2, False), (1, True), (3, True)])
    def test_claim_whose_answer_was_lost_is_read_back(self, count, writes_only):
        world = demo_world()
        world.platform.inject_fault("table", FaultMode.LOSE_ANSWER, 0.0, count, writes_only)
        caller = certificate(world, key="k1", deadline="30")
        world.finish(caller)
        assert caller.status == 200
        assert executions(world) == 1

    def test_claim_left_by_a_refused_call_does_not_block_its_key(self):
        """The claim's write took effect, its answer and all that followed were lost."""
        world = demo_world(("zone-a", "zone-b"))
        world.platform.inject_fault("table", FaultMode.LOSE_ANSWER)
        first = certificate(world, key="k1", deadline="30")
        world.finish(first)
        assert first.error["ran"] == "no"
        world.platform.inject_fault("table", FaultMode.UP)
        for name in ("entry-b1", "entry-a1"):
            caller = certificate(world, node=name, key="k1", deadline="30")
            world.finish(caller)
            assert caller.status == 200, (name, caller.body)
            world.run(0.5)
        assert executions(world) == 1

    def test_slow_table_delays_but_does_not_double(self):
        world = demo_world(("zone-a", "zone-b"))
        world.platform.inject_fault("table", FaultMode.SLOW, delay=0.7)
        callers = [certificate(world, node=name, key="k1", deadline="30") for name in world.nodes]
        world.finish(*callers)
        assert executions(world) == 1


class TestKeyedJob:
    def test_job_that_may_stand_is_not_told_as_not_run(self):
        """The job's write took effect, its answer was lost, and the table went out of service."""
        world = demo_world(("zone-a", "zone-b"))
        headers = {"x-work": "w1", "idempotency-key": "k1", "prefer": "respond-async"}
        caller = world.call("entry-a1", "POST", CERTIFICATE, b"deposit 7", headers)
        rows = world.platform.rows
        world.run_until(lambda: any(key.startswith("claim/") for key in rows))
        world.platform.inject_fault("table", FaultMode.LOSE_ANSWER, count=1, writes_only=True)
        world.run_until(lambda: any(key.startswith("job/") for key in rows))
        world.platform.inject_fault("table", FaultMode.DOWN)
        world.finish(caller)
        assert caller.error["ran"] == "unknown"
        world.platform.inject_fault("table", FaultMode.UP)
        world.run(10.0)
        again = certificate(world, node="entry-b1", key="k1")
        world.finish(again)
        world.kill("entry-a1")
        world.entry("entry-a1")
        world.run(20.0)
        assert executions(world) <= 1

    @pytest.mark.parametrize("key", ["", "k1"])
    @pytest.mark.parametrize("mode", [FaultMode.SLOW, FaultMode.SILENT])
    def test_job_whose_time_ends_while_it_is_written_leaves_no_caller_without_word(self, key, mode):
        world = demo_world()
        world.platform.inject_fault("table", mode, 0.6)
        headers = {"x-work": "w1", "prefer": "respond-async", "x-deadline": "0.5"}
        if key:
            headers["idempotency-key"] = key
        caller = world.call("entry-a1", "POST", CERTIFICATE, b"deposit 7", headers)
        world.finish(caller)
        world.platform.inject_fault("table", FaultMode.UP)
        world.run(20.0)
        assert executions(world) == 0
        if caller.status == 202:
            later = world.call("entry-a1", "GET", caller.headers["location"])
            world.finish(later)
            assert (later.error["kind"], later.error["ran"]) == ("deadline_exceeded", "no")
