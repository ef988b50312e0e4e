"""Records of sends: how they are kept, by whom they are read, and what they cost."""

import orjson
import pytest
from hypothesis import given

from flamingofront.decisions.send_intents import IntentRecord, SendIntent
from flamingofront.errors import PlatformError
from flamingofront.process.forwarding.duty import LEADER_TABLE
from flamingofront.process.intent_rows import INTENT_TABLE, decode_record, encode_record
from flamingofront.process.intent_state import WRITE_BURST
from flamingofront.process.intents import ALL_WRITES_PER_SECOND
from flamingofront.process.tests.test_holds import JSON
from flamingofront.tests.crashing_world import CONTACT_SECONDS, crashing_world

SEND = SendIntent("e-1", "10.0.0.1:80", "zone-a", "vm-1", 17, 12.5)
BODY = b"a prompt that no engine survives"


def recorded(world):
    """Return the records in the store, by request."""
    rows = world.store.get_rows(INTENT_TABLE)
    return {key: decode_record(key, value) for key, (value, _) in rows.items()}


def wary_world(fronts=3, **options):
    """Return a world just after a kill under which three endpoints ended unseen."""
    world = crashing_world(fronts=fronts, engines=16, **options)
    world.poison.add(b"another one")
    for number in range(3):
        world.ask(f"front-{number}", "/stream/once/x", body=b"another one")
    world.run(0.05)
    world.restart()
    world.poison.clear()
    world.run(CONTACT_SECONDS + 1.0)
    return world


class TestRows:
    def test_record_is_kept_whole(self):
        record = IntentRecord("f-1", (SEND,), ("e-0",))
        assert decode_record("f-1", orjson.dumps(encode_record(record))) == record
        assert decode_record("f-1", encode_record(record)) == record

    @given(JSON)
    def test_malformed_record_is_refused(self, value):
        try:
            assert isinstance(decode_record("f-1", value), IntentRecord)
        except PlatformError as exc:
            assert "f-1" in str(exc)

    def test_record_that_cannot_be_read_keeps_no_process_from_the_others(self):
        world = crashing_world(fronts=1)
        world.store.put(INTENT_TABLE, "f-1", {"sends": 3})
        send = {**encode_record(IntentRecord("f-2", (SEND,)))}
        world.store.put(INTENT_TABLE, "f-2", send)
        world.restart()
        world.run(1.0)
        metrics = world.fronts["front-0"].metrics
        assert metrics.value("platform_errors_total", operation="recorded_sends") >= 1
        suspects = world.fronts["front-0"].hub.guard.suspects()
        assert suspects == {"f-2"}


class TestRecording:
    def test_first_send_is_recorded_while_it_is_on_its_way(self):
        world = wary_world()
        world.sent.clear()
        world.ask("front-0", "/stream/once/x", body=BODY)
        world.run_until(lambda: world.sent)
        world.run(0.005)
        (record,) = recorded(world).values()
        (send,) = record.sends
        assert send.vm_id == "front-0"
        assert len(record.unobserved) == 3

    def test_repeat_of_an_unanswered_request_is_in_the_store_before_its_endpoint_has_it(self):
        world = wary_world()
        world.ask("front-0", "/stream/once/x", body=BODY)
        world.run(0.02)
        world.sent.clear()
        world.ask("front-0", "/stream/once/x", body=BODY)
        world.run_until(lambda: world.sent)
        (record,) = recorded(world).values()
        assert len(record.sends) == 2

    def test_answer_removes_the_record(self):
        world = wary_world()
        caller = world.ask("front-0", "/stream/once/x", body=BODY)
        world.finish(caller)
        world.run(2.0)
        assert caller.status == 200
        assert not recorded(world)

    def test_request_that_goes_unanswered_leaves_no_record_behind(self):
        """Its caller left, and its endpoint was there seconds later."""
        world = wary_world()
        caller = world.ask("front-0", "/stream/once/x", body=BODY)
        world.run(0.02)
        assert recorded(world)
        caller.leave()
        world.run(10.0)
        assert not recorded(world)

    def test_sends_of_several_processes_stand_in_one_record(self):
        world = wary_world()
        for number in range(3):
            world.ask(f"front-{number}", "/stream/once/x", body=BODY)
        world.run(0.03)
        (record,) = recorded(world).values()
        assert {each.vm_id for each in record.sends} == {"front-0", "front-1", "front-2"}

    def test_record_that_the_store_lost_in_a_copy_is_made_again(self):
        world = wary_world()
        world.ask("front-0", "/stream/once/x", body=BODY)
        world.run(0.03)
        before = recorded(world)
        for lost in world.store.restore(0.2):
            if lost.table != INTENT_TABLE:
                world.store.rewrite_row(lost)
        assert not recorded(world)
        world.run_until(lambda: recorded(world) == before, limit=1.0)

    def test_writes_are_bounded_under_load(self):
        world = wary_world()
        before = world.store.version
        callers = []
        for number in range(400):
            callers.append(world.ask_one("/stream/once/x", b"prompt %d" % number))
            world.run(0.005)
        seconds = 400 * 0.005
        duties = 10 * seconds
        bound = seconds * ALL_WRITES_PER_SECOND + 3 * (WRITE_BURST + 2 * seconds) + duties
        assert world.store.version - before <= bound
        world.run(8.0)
        assert all(each.done for each in callers)
        assert not recorded(world)


class TestVanishedEndpoints:
    @pytest.mark.parametrize("is_announced", [False, True])
    def test_row_that_went_while_no_process_ran_is_told_by_the_history(self, is_announced):
        """Nobody saw it go; one that had announced its leaving is no sign of anything."""
        world = crashing_world(fronts=3)
        for name in world.fronts:
            world.kill(name)
        if is_announced:
            world.register("engine-1", "engines", "zone-b", state="draining", sequence=2)
        world.end_endpoint("engine-1", "engines", "zone-b")
        world.run(6.0)
        for name in world.fronts:
            world.front(name, world.host(name).zone, first_start=False)
        world.run(1.0)
        guards = [each.hub.guard for each in world.fronts.values()]
        needed = [each.intents.requires_record("f-1", "engines") for each in guards]
        assert needed == [not is_announced] * 3

    def test_history_that_is_lost_is_told_and_harms_nothing(self):
        world = crashing_world(fronts=1)
        world.kill("front-0")
        world.store.discard_history()
        world.run(1.0)
        world.front("front-0", first_start=False)
        world.run(1.0)
        caller = world.ask("front-0", "/stream/once/x", body=BODY)
        world.finish(caller)
        assert caller.status == 200
        assert world.store.get_rows(LEADER_TABLE, LEADER_TABLE)


class TestWaryProcesses:
    def test_endpoint_that_leaves_without_notice_is_no_sign(self):
        """Its row goes, and it listens on for a while: nothing has ended under any request."""
        world = crashing_world(fronts=3)
        world.restart()
        world.run(2.0)
        world.store.drop("servers", "engine-1")
        world.run(0.5)
        guards = [each.hub.guard for each in world.fronts.values()]
        assert not any(each.intents.requires_record("f-1", "engines") for each in guards)

    def test_endpoint_that_ended_is_a_sign_before_its_row_lapses(self):
        world = crashing_world(fronts=3)
        world.kill("engine-1")
        world.restart()
        world.run(1.0)
        guards = [each.hub.guard for each in world.fronts.values()]
        assert all(each.intents.requires_record("f-1", "engines") for each in guards)
        assert not any(each.intents.requires_record("f-1", "records") for each in guards)

    def test_endpoints_that_leave_about_the_first_start_are_none(self):
        world = crashing_world(fronts=3)
        world.end_endpoint("engine-1", "engines", "zone-b")
        world.run(5.0)
        guards = [each.hub.guard for each in world.fronts.values()]
        assert not any(each.intents.requires_record("f-1", "engines") for each in guards)
