"""Tests of the intent log: encoding, recovery after a restart, and the cost of its writes."""

import orjson
import pytest
from hypothesis import given

from flamingofront.decisions.send_intents import IntentRecord, SendIntent
from flamingofront.errors import PlatformError
from flamingofront.process.forwarding.lease_row import LEADER_TABLE
from flamingofront.process.intent_rows import INTENT_TABLE, decode_record, encode_record
from flamingofront.process.intent_state import WRITE_BURST
from flamingofront.process.intents import MAX_CLUSTER_WRITES_PER_SECOND
from flamingofront.process.tests.test_holds import JSON
from flamingofront.request.forwarded_request import ForwardedRequest
from flamingofront.tests.crashing_world import CONTACT_SECONDS, crashing_world

SEND = SendIntent("e-1", "10.0.0.1:80", "zone-a", "vm-1", 17, 12.5)
BODY = b"a prompt that no engine survives"


def read_records(world):
    """Return the intent records in the store by fingerprint."""
    rows = world.store.get_rows(INTENT_TABLE)
    return {key: decode_record(key, value) for key, (value, _) in rows.items()}


def recording_world(fronts=3, **options):
    """Return a world in which sends are recorded.

    All entry processes were restarted while a request crashed three endpoints, unobserved.
    """
    world = crashing_world(fronts=fronts, engines=16, **options)
    world.poison.add(b"another one")
    for number in range(3):
        world.ask(f"front-{number}", "/stream/once/x", body=b"another one")
    world.run(0.05)
    world.restart()
    world.poison.clear()
    world.run(CONTACT_SECONDS + 1.0)
    return world


class TestRecords:
    def test_record_round_trip(self):
        record = IntentRecord("f-1", (SEND,), ("e-0",))
        assert decode_record("f-1", orjson.dumps(encode_record(record))) == record
        assert decode_record("f-1", encode_record(record)) == record

    @given(JSON)
    def test_malformed_record_raises_an_error_with_its_fingerprint(self, value):
        try:
            assert isinstance(decode_record("f-1", value), IntentRecord)
        except PlatformError as exc:
            assert "f-1" in str(exc)

    def test_malformed_record_is_skipped_and_counted(self):
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
    def test_first_send_is_recorded_concurrently(self):
        world = recording_world()
        world.sent.clear()
        world.ask("front-0", "/stream/once/x", body=BODY)
        world.run_until(lambda: world.sent)
        world.run(0.005)
        (record,) = read_records(world).values()
        (send,) = record.sends
        assert send.vm_id == "front-0"
        assert len(record.unobserved) == 3

    def test_repeated_send_is_stored_before_it_reaches_its_endpoint(self):
        world = recording_world()
        world.ask("front-0", "/stream/once/x", body=BODY)
        world.run(0.02)
        world.sent.clear()
        world.ask("front-0", "/stream/once/x", body=BODY)
        world.run_until(lambda: world.sent)
        (record,) = read_records(world).values()
        assert len(record.sends) == 2

    @pytest.mark.logs_error("fault")
    def test_exception_of_one_request_does_not_end_the_recording(self, monkeypatch):
        """Guards against a process that records no send any more."""
        world = recording_world()
        world.ask("front-0", "/stream/once/x", body=BODY)
        world.run(0.02)

        def send_attempt(request, action, chosen):
            raise RuntimeError("cannot be sent")

        with monkeypatch.context() as patch:
            patch.setattr(ForwardedRequest, "send_attempt", send_attempt)
            world.ask("front-0", "/stream/once/x", body=BODY)
            world.run(0.1)
        assert world.fronts["front-0"].metrics.value("faults_total") == 1
        before = read_records(world)
        world.ask("front-0", "/stream/once/x", body=b"another prompt")
        world.run(0.1)
        assert len(read_records(world)) == len(before) + 1

    def test_response_deletes_the_record(self):
        world = recording_world()
        caller = world.ask("front-0", "/stream/once/x", body=BODY)
        world.finish(caller)
        world.run(2.0)
        assert caller.status == 200
        assert not read_records(world)

    def test_record_without_response_is_deleted_if_the_endpoint_survives(self):
        """The caller disconnects, and the endpoint is still live seconds later."""
        world = recording_world()
        caller = world.ask("front-0", "/stream/once/x", body=BODY)
        world.run(0.02)
        assert read_records(world)
        caller.leave()
        world.run(10.0)
        assert not read_records(world)

    def test_sends_of_several_processes_share_one_record(self):
        world = recording_world()
        for number in range(3):
            world.ask(f"front-{number}", "/stream/once/x", body=BODY)
        world.run(0.03)
        (record,) = read_records(world).values()
        assert {each.vm_id for each in record.sends} == {"front-0", "front-1", "front-2"}

    def test_record_lost_by_a_store_restore_is_written_again(self):
        world = recording_world()
        world.ask("front-0", "/stream/once/x", body=BODY)
        world.run(0.03)
        before = read_records(world)
        for lost in world.store.restore(0.2):
            if lost.table != INTENT_TABLE:
                world.store.rewrite_row(lost)
        assert not read_records(world)
        world.run_until(lambda: read_records(world) == before, limit=1.0)

    def test_write_rate_is_bounded_under_load(self):
        world = recording_world()
        before = world.store.version
        callers = []
        for number in range(400):
            callers.append(world.ask_one("/stream/once/x", b"prompt %d" % number))
            world.run(0.005)
        seconds = 400 * 0.005
        lease_writes = 10 * seconds
        bound = (
            seconds * MAX_CLUSTER_WRITES_PER_SECOND + 3 * (WRITE_BURST + 2 * seconds) + lease_writes
        )
        assert world.store.version - before <= bound
        world.run(8.0)
        assert all(each.done for each in callers)
        assert not read_records(world)


class TestUnobservedRemovals:
    @pytest.mark.parametrize("is_announced", [False, True])
    def test_row_removed_while_no_process_ran_is_found_in_the_change_history(self, is_announced):
        """An unobserved removal starts recording, unless the endpoint announced its shutdown."""
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

    def test_lost_change_history_does_not_prevent_serving(self):
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


class TestStartOfRecording:
    def test_removed_row_of_a_listening_endpoint_starts_no_recording(self):
        """The row is deleted but the endpoint still accepts connections, so it has not crashed."""
        world = crashing_world(fronts=3)
        world.restart()
        world.run(2.0)
        world.store.drop("servers", "engine-1")
        world.run(0.5)
        guards = [each.hub.guard for each in world.fronts.values()]
        assert not any(each.intents.requires_record("f-1", "engines") for each in guards)

    def test_crash_starts_recording_before_the_row_expires(self):
        world = crashing_world(fronts=3)
        world.kill("engine-1")
        world.restart()
        world.run(1.0)
        guards = [each.hub.guard for each in world.fronts.values()]
        assert all(each.intents.requires_record("f-1", "engines") for each in guards)
        assert not any(each.intents.requires_record("f-1", "records") for each in guards)

    def test_removal_near_the_first_start_starts_no_recording(self):
        world = crashing_world(fronts=3)
        world.end_endpoint("engine-1", "engines", "zone-b")
        world.run(5.0)
        guards = [each.hub.guard for each in world.fronts.values()]
        assert not any(each.intents.requires_record("f-1", "engines") for each in guards)
