"""Tests of reclaims with and without notice: each accepted request gets a complete answer."""

import orjson
import pytest

from flamingofront.connection.server import encode_error
from flamingofront.errors import ERROR_RESPONSES, ErrorKind, RequestError
from flamingofront.messages import BufferedResponse, CallFailed, OutboundCall
from flamingofront.process.drain import DrainState
from flamingofront.process.timers import ManualClock
from flamingofront.request.handover import HandoverResult, HandoverTarget, offer_record
from flamingofront.request.records import ModelWork, RequestRecord
from flamingofront.request.recovery import ResumeOnLoss
from flamingofront.standins.engine import compute_token
from flamingofront.standins.platform import FaultMode
from flamingofront.tests.world import demo_world
from flamingofront.version.model import Service, ServiceKind

ZONES = ("zone-a", "zone-b")
TOKENS = 300


def expected_text(prompt, count, engine=""):
    return "".join(compute_token(prompt, index, engine) for index in range(count))


def start_streams(world, count, tokens=TOKENS, node=None):
    """Start streams with long prompts, spread over the entry VMs; wait for their first tokens."""
    nodes = [node] if node else list(world.nodes)
    callers = []
    for number in range(count):
        prompt = " ".join(f"p{number}w{index}" for index in range(100))
        caller = world.complete(nodes[number % len(nodes)], prompt, tokens)
        caller.prompt = prompt
        callers.append(caller)
    world.run_until(lambda: all(each.body for each in callers))
    return callers


def prompt_tokens(prompt):
    first, *rest = prompt.split(" ")
    return [first, *(f" {each}" for each in rest)]


def read_with_reattachment(world, caller, prompt, nodes, limit=120.0):
    """Reattach whenever the stream asks for it, and return the complete text."""
    text = ""
    request_id = caller.headers["x-request-id"]
    for turn in range(20):
        world.finish(caller, limit=limit)
        text += caller.text
        if b"data: [DONE]" in caller.body:
            return text
        assert b"event: reattach" in caller.body, caller.body[-300:]
        last = caller.last_event_id
        world.run(0.3)
        alive = [name for name in nodes if not world.host(name).dead]
        caller = world.call(
            alive[turn % len(alive)],
            "GET",
            f"/v1/requests/{request_id}",
            headers={"last-event-id": last},
        )
    raise AssertionError("the text is incomplete after 20 reattachments")


def reclaim_vms(world, names, notice):
    """Announce the reclaim of VMs and kill them at the end of the notice."""
    for name in names:
        world.platform.reclaim(name, notice)
        host = world.host(name)
        host.timers.once(
            notice, lambda name=name: (world.kill(name), world.platform.remove_vm(name))
        )


def count_recomputed_tokens(world):
    return sum(each.counts.resumed_prefilled for each in world.engines.values())


class TestEndpointReclaimed:
    @pytest.mark.parametrize("notice", [0.0, 1.0, 5.0, 30.0])
    def test_streams_are_complete(self, notice):
        world = demo_world(ZONES)
        callers = start_streams(world, 8)
        reclaim_vms(world, ["engine-a1"], notice)
        world.finish(*callers)
        for caller in callers:
            assert caller.text == expected_text(prompt_tokens(caller.prompt), TOKENS)

    def test_each_position_is_generated_by_one_engine(self):
        """Each engine generates different tokens, so mixed or duplicated ones are detected."""
        world = demo_world(ZONES, distinct_text=True)
        callers = start_streams(world, 8)
        reclaim_vms(world, ["engine-a1", "engine-b1"], 2.0)
        world.finish(*callers)
        for caller in callers:
            offsets = [int(each.split(":")[0]) for each in caller.text.split()]
            assert offsets == list(range(TOKENS))

    def test_cache_transfer_saves_recomputed_tokens(self):
        counts = {}
        for name in ("transfer", "recompute"):
            world = demo_world(ZONES)
            if name == "recompute":
                for node in world.nodes.values():
                    node.migrations._policy = ResumeOnLoss()
            callers = start_streams(world, 12)
            reclaim_vms(world, ["engine-a1", "engine-a2"], 3.0)
            world.finish(*callers)
            counts[name] = count_recomputed_tokens(world)
        assert counts["transfer"] < counts["recompute"] / 2

    def test_streams_survive_the_crash_of_an_engine(self):
        world = demo_world(ZONES)
        callers = start_streams(world, 8)
        world.kill("engine-a1")
        world.finish(*callers)
        for caller in callers:
            assert caller.text == expected_text(prompt_tokens(caller.prompt), TOKENS)

    def test_streams_of_an_unresponsive_engine_continue_elsewhere(self):
        world = demo_world(ZONES)
        callers = start_streams(world, 8)
        world.pause("engine-a1")
        world.finish(*callers)
        for caller in callers:
            assert caller.text == expected_text(prompt_tokens(caller.prompt), TOKENS)
        world.resume("engine-a1")
        world.run(5.0)
        assert all(each.answers == 1 for each in callers)


class TestEntryReclaimed:
    def test_short_streams_finish_before_the_reclaim(self):
        world = demo_world(ZONES, entries_per_zone=1)
        callers = start_streams(world, 4, tokens=100, node="entry-a1")
        reclaim_vms(world, ["entry-a1"], 10.0)
        world.finish(*callers, limit=9.0)
        for caller in callers:
            assert caller.text == expected_text(prompt_tokens(caller.prompt), 100)

    def test_long_streams_continue_at_a_peer(self):
        world = demo_world(ZONES, entries_per_zone=2)
        callers = start_streams(world, 4, tokens=1500, node="entry-a1")
        reclaim_vms(world, ["entry-a1"], 6.0)
        world.run(8.0)
        assert world.host("entry-a1").dead
        for caller in callers:
            text = read_with_reattachment(
                world, caller, caller.prompt, ["entry-a2", "entry-b1", "entry-b2"]
            )
            assert text == expected_text(prompt_tokens(caller.prompt), 1500)

    def test_unstreamed_request_is_told_where_to_reattach(self):
        world = demo_world(ZONES)
        caller = world.complete("entry-a1", tokens=1500, stream=False)
        world.run(1.0)
        reclaim_vms(world, ["entry-a1"], 5.0)
        world.finish(caller)
        assert (caller.status, caller.error["kind"]) == (503, "handed_over")
        assert "retry-after" in caller.headers
        world.run(30.0)
        again = world.call("entry-b1", "GET", caller.headers["location"])
        world.finish(again)
        assert again.text == expected_text(["a", " b", " c"], 1500)

    def test_lost_acknowledgement_leaves_one_holder(self):
        world = demo_world(ZONES)
        caller = start_streams(world, 1, tokens=1500, node="entry-a1")[0]
        world.nodes["entry-a1"].drain.begin(0.0)
        world.cut("entry-a1", "entry-b1")
        world.run(1.5)
        world.heal()
        world.run(6.0)
        holders = [
            name
            for name, node in world.nodes.items()
            if any(not each.done for each in node.hub.active.values())
        ]
        assert len(holders) == 1
        text = read_with_reattachment(world, caller, caller.prompt, ["entry-b1"])
        assert text == expected_text(prompt_tokens(caller.prompt), 1500)


class TestOfferedRecords:
    def offer(self, *errors):
        """Return the outcome of an offer to a peer that responds with errors, then accepts."""
        work = ModelWork("m", ("a",), 9, False)
        service = Service("engines", ServiceKind.MODEL, model="m")
        record = RequestRecord("r", "desk", "m", service, work)
        task = offer_record(
            record, "entry-a1", [HandoverTarget("entry-b1", "10.0.0.1:1")], (), lambda: 0.0
        )
        replies = [
            BufferedResponse(ERROR_RESPONSES[kind].status, {}, encode_error(RequestError(kind)))
            for kind in errors
        ]
        replies.append(BufferedResponse(200, {}, b"{}"))
        value = next(task)
        try:
            while True:
                value = task.send(replies.pop(0) if isinstance(value, OutboundCall) else None)
        except StopIteration as done:
            return done.value[0], len(replies)

    def test_peer_that_failed_while_it_accepted_a_record_may_hold_it(self):
        """It went on with the request, as did the process that had offered it."""
        assert self.offer(ErrorKind.INTERNAL) == (HandoverResult.TAKEN, 0)

    @pytest.mark.parametrize("kind", [ErrorKind.DRAINING, ErrorKind.NOT_FOUND])
    def test_peer_that_refuses_a_record_does_not_hold_it(self, kind):
        assert self.offer(kind) == (HandoverResult.NOT_TAKEN, 1)


class TestDeadlineOfOfferedRecords:
    def test_peer_that_is_asked_later_gets_a_request_with_less_time(self):
        """A peer ran a request past its deadline, by the time that the tries before had taken."""
        clock = ManualClock(10.0)
        work = ModelWork("m", ("a",), 9, False)
        service = Service("engines", ServiceKind.MODEL, model="m")
        record = RequestRecord("r", "desk", "m", service, work, deadline_left=3.0)
        targets = [
            HandoverTarget("entry-b1", "10.0.0.1:1"),
            HandoverTarget("entry-c1", "10.0.0.2:1"),
        ]
        task = offer_record(record, "entry-a1", targets, (), clock.now)
        value, deadlines = next(task), []
        with pytest.raises(StopIteration):
            while True:
                reply = None
                if isinstance(value, OutboundCall):
                    deadlines.append(orjson.loads(value.body)["record"]["deadline_left"])
                    clock.time += 0.5
                    reply = CallFailed("connect", False)
                value = task.send(reply)
        assert deadlines == [3.0, 2.5, 2.0, 1.5, 1.0, 0.5, 0.0, 0.0]


class TestHandoverOfStoredRequests:
    def test_key_is_handed_over_with_its_request(self):
        world = demo_world(ZONES)
        world.complete("entry-a1", tokens=800, headers={"idempotency-key": "k"})
        world.run(1.0)
        world.nodes["entry-a1"].shut_down()
        world.run_until(lambda: "entry-a1" in world.exited)
        early = world.complete("entry-b1", tokens=800, headers={"idempotency-key": "k"})
        world.finish(early)
        assert early.error["kind"] == "idempotency_key_in_progress"
        world.run(15.0)
        again = world.complete("entry-b1", tokens=800, headers={"idempotency-key": "k"})
        world.finish(again)
        assert again.text == expected_text(["a", " b", " c"], 800)
        executions = [each.counts.executions for each in world.engines.values()]
        assert len({request for each in executions for request in each}) == 1

    def test_key_is_not_reassigned_while_its_request_runs_at_a_peer(self):
        world = demo_world(("zone-a", "zone-b", "zone-c"))
        world.complete("entry-a1", tokens=2500, headers={"idempotency-key": "k"})
        world.run(1.0)
        world.nodes["entry-a1"].shut_down()
        world.run_until(lambda: "entry-a1" in world.exited)
        world.platform.remove_vm("entry-a1")
        world.run(10.0)
        for name in ("entry-b1", "entry-c1"):
            caller = world.complete(name, tokens=2500, headers={"idempotency-key": "k"})
            world.finish(caller)
            assert caller.error["kind"] == "idempotency_key_in_progress"

    def test_job_resumes_at_the_peer(self):
        world = demo_world(ZONES)
        caller = world.complete(
            "entry-a1", "q", 800, stream=False, headers={"prefer": "respond-async"}
        )
        world.run(3.0)
        world.nodes["entry-a1"].shut_down()
        world.run_until(lambda: "entry-a1" in world.exited)
        world.run(10.0)
        later = world.call("entry-b1", "GET", caller.headers["location"])
        world.finish(later)
        assert later.text == expected_text(["q"], 800)
        generated = sum(each.counts.generated for each in world.engines.values())
        assert generated < 820

    def test_job_survives_a_store_outage_during_the_handover(self):
        world = demo_world(ZONES)
        caller = world.complete(
            "entry-a1", "q", 800, stream=False, headers={"prefer": "respond-async"}
        )
        world.run(3.0)
        world.platform.inject_fault("table", FaultMode.DOWN)
        world.nodes["entry-a1"].shut_down()
        world.run(10.0)
        world.platform.inject_fault("table", FaultMode.UP)
        world.run(20.0)
        later = world.call("entry-b1", "GET", caller.headers["location"])
        world.finish(later)
        assert later.text == expected_text(["q"], 800)


class TestZoneReclaimed:
    @pytest.mark.parametrize("seed", [1, 2])
    def test_two_zones_in_short_succession(self, seed):
        zones = ("zone-a", "zone-b", "zone-c")
        world = demo_world(zones, engines_per_zone=3, entries_per_zone=2, seed=seed)
        callers = start_streams(world, 18, tokens=900)
        reclaim_vms(world, [name for name in _all_vms(world) if "-a" in name], 6.0)
        world.run(7.0)
        reclaim_vms(world, [name for name in _all_vms(world) if "-b" in name], 5.0)
        world.run(6.0)
        for caller in callers:
            text = read_with_reattachment(world, caller, caller.prompt, ["entry-c1", "entry-c2"])
            assert text == expected_text(prompt_tokens(caller.prompt), 900)


def _all_vms(world):
    return [*world.engines, *world.plains, *world.nodes]


class TestEntryCrash:
    def test_asynchronous_requests_survive(self):
        world = demo_world(ZONES)
        callers = [
            world.complete(
                "entry-a1", f"q{n}", 400, stream=False, headers={"prefer": "respond-async"}
            )
            for n in range(4)
        ]
        world.finish(*callers)
        world.kill("entry-a1")
        world.platform.remove_vm("entry-a1")
        world.run(30.0)
        for number, caller in enumerate(callers):
            later = world.call("entry-b1", "GET", caller.headers["location"])
            world.finish(later)
            assert later.text == expected_text([f"q{number}"], 400)

    def test_asynchronous_requests_survive_a_store_outage_at_the_same_time(self):
        world = demo_world(ZONES)
        caller = world.complete(
            "entry-a1", "q", 400, stream=False, headers={"prefer": "respond-async"}
        )
        world.finish(caller)
        world.kill("entry-a1")
        world.platform.remove_vm("entry-a1")
        world.platform.inject_fault("table", FaultMode.DOWN)
        world.run(20.0)
        world.platform.inject_fault("table", FaultMode.UP)
        world.run(20.0)
        later = world.call("entry-b1", "GET", caller.headers["location"])
        world.finish(later)
        assert later.text == expected_text(["q"], 400)

    def test_restarted_process_adopts_its_jobs(self):
        world = demo_world(ZONES)
        caller = world.complete(
            "entry-a1", "q", 400, stream=False, headers={"prefer": "respond-async"}
        )
        world.finish(caller)
        world.kill("entry-a1")
        world.entry("entry-a1")
        world.run(20.0)
        later = world.call("entry-b1", "GET", caller.headers["location"])
        world.finish(later)
        assert later.text == expected_text(["q"], 400)

    def test_unrepeatable_job_is_reported_as_unknown(self):
        world = demo_world(ZONES)
        for plain in world.plains.values():
            plain.work_seconds = 1.0
        caller = world.call(
            "entry-a1",
            "POST",
            "/services/records/certificates",
            b"x",
            {"prefer": "respond-async"},
        )
        world.finish(caller)
        world.run(0.5)
        world.kill("entry-a1")
        world.platform.remove_vm("entry-a1")
        world.run(20.0)
        later = world.call("entry-b1", "GET", caller.headers["location"])
        world.finish(later)
        assert later.error["kind"] == "outcome_unknown"
        assert sum(sum(each.executions.values()) for each in world.plains.values()) <= 1

    def test_repeatable_job_that_may_have_run_is_not_reported_as_not_run(self):
        """Its row does not tell whether the process that ended had sent it."""
        world = demo_world(ZONES)
        headers = {"prefer": "respond-async", "x-deadline": "30"}
        caller = world.complete("entry-a1", "q", 400, stream=False, headers=headers)
        world.finish(caller)
        world.run(2.0)
        assert any(each.counts.prefilled for each in world.engines.values())
        for name in ["entry-a1", *world.engines]:
            world.kill(name)
            world.platform.remove_vm(name)
        world.run(60.0)
        later = world.call("entry-b1", "GET", caller.headers["location"])
        world.finish(later)
        assert later.error["ran"] == "unknown"

    def test_keyed_request_of_a_crashed_process_can_be_repeated(self):
        world = demo_world(ZONES)
        first = world.complete("entry-a1", tokens=200, headers={"idempotency-key": "k"})
        world.run(1.0)
        world.kill("entry-a1")
        world.platform.remove_vm("entry-a1")
        world.run(10.0)
        again = world.complete("entry-b1", tokens=200, headers={"idempotency-key": "k"})
        world.finish(again)
        assert not first.done
        assert again.text == expected_text(["a", " b", " c"], 200)


class TestDrainState:
    def test_drained_process_reports_its_state(self):
        world = demo_world(ZONES)
        node = world.nodes["entry-a1"]
        node.shut_down()
        assert node.drain.state is DrainState.DRAINED
        assert not node.ready
        world.run(1.0)
        assert "entry-a1" in world.exited


class TestRequestThatEndsMeanwhile:
    def test_stream_that_ends_while_its_attempt_is_given_up_is_not_sent_again(self):
        """The attempt was found to have crashed its endpoint, and the request failed for that."""
        world = demo_world(ZONES)
        caller = world.complete(next(iter(world.nodes)), "word " * 50, 20)
        world.run(0.01)
        hub = next(iter(world.nodes.values())).hub
        (request,) = hub.active.values()
        assert request.has_attempt_in_flight
        detector = hub.guard.crash_detector
        detector.record_known_crash(request.endpoint_id, hub.now())
        detector.on_crash = lambda crash, requests: request.execute(
            request.machine.fail(ErrorKind.CRASHES_ENDPOINTS, "")
        )
        sent = hub.metrics.value("attempts_total", service=request.record.service.name)
        request.execute(request.machine.replace_attempt(request.machine.attempt_id))
        assert caller.status == 502 and request.done
        assert not request.has_attempt_in_flight
        assert hub.metrics.value("attempts_total", service=request.record.service.name) == sent
