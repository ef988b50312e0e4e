"""Tests of the policy that records requests in the store before they are sent."""

import pytest

from flamingofront.decisions.send_intents import (
    MAX_SENDS,
    MAX_UNANSWERED,
    MAX_UNOBSERVED_CRASHES,
    RECORDING_SECONDS,
    STARTUP_SECONDS,
    UNANSWERED_WAIT_SECONDS,
    IntentPolicy,
    IntentRecord,
    SendIntent,
)


def make_intent(endpoint_id="e-1", at=10.0, vm_id="vm-1"):
    return SendIntent(endpoint_id, "10.0.0.1:80", "zone-a", vm_id, 1, at)


class TestPolicy:
    def test_nothing_is_recorded_in_normal_operation(self):
        assert not IntentPolicy().must_record("f-1", "engines", 5.0)

    def test_all_requests_are_recorded_after_restart(self):
        policy = IntentPolicy(began=100.0)
        assert policy.must_record("f-1", "engines", 100.0)
        assert policy.must_record("f-1", "records", 100.0 + STARTUP_SECONDS - 0.01)
        assert not policy.must_record("f-1", "engines", 100.0 + STARTUP_SECONDS)

    def test_unobserved_crash_activates_recording_for_its_service(self):
        policy = IntentPolicy()
        assert policy.record_unobserved_crash("e-1", "engines", 50.0)
        assert not policy.record_unobserved_crash("e-2", "engines", 50.5)
        assert policy.must_record("f-1", "engines", 50.5 + RECORDING_SECONDS - 0.1)
        assert not policy.must_record("f-1", "records", 51.0)
        assert not policy.must_record("f-1", "engines", 50.5 + RECORDING_SECONDS)
        assert policy.get_unobserved() == {"e-1", "e-2"}

    def test_unobserved_crash_of_unknown_service_activates_recording_for_all(self):
        policy = IntentPolicy()
        policy.record_unobserved_crash("e-1", "", 50.0)
        assert policy.must_record("f-1", "engines", 51.0)

    def test_request_with_response_is_not_recorded(self):
        policy = IntentPolicy(began=100.0)
        policy.record_response("f-1")
        assert not policy.must_record("f-1", "engines", 100.0)
        assert policy.must_record("f-2", "engines", 100.0)

    def test_memory_is_bounded(self):
        policy = IntentPolicy(began=0.0)
        for number in range(10_000):
            policy.record_response(f"f-{number}")
            policy.record_unobserved_crash(f"e-{number}", "engines", 1.0)
        assert len(policy.get_unobserved()) == MAX_UNOBSERVED_CRASHES
        assert policy.must_record("f-0", "engines", 1.0)


class TestWait:
    def test_request_with_several_unanswered_sends_waits(self):
        record = IntentRecord("f-1")
        for number in range(MAX_UNANSWERED):
            assert not IntentPolicy.must_wait(record, {})
            record = record.with_sends((make_intent(f"e-{number}", at=float(number)),))
        assert IntentPolicy.must_wait(record, {})

    @pytest.mark.parametrize("seconds", [0.01, UNANSWERED_WAIT_SECONDS + 0.01])
    def test_send_survived_by_its_endpoint_is_not_counted(self, seconds):
        """An endpoint found running before the send or just after it has not survived it."""
        record = IntentRecord(
            "f-1", tuple(make_intent(f"e-{each}") for each in range(MAX_UNANSWERED))
        )
        waits = IntentPolicy.must_wait(record, {"e-1": 10.0 + seconds})
        assert waits == (seconds < UNANSWERED_WAIT_SECONDS)
        assert IntentPolicy.must_wait(record, {"e-1": 9.0})


class TestRecord:
    def test_record_keeps_latest_distinct_sends(self):
        record = IntentRecord("f-1")
        for number in range(MAX_SENDS + 3):
            each = make_intent(f"e-{number}")
            record = record.with_sends((each,)).with_sends((each,))
        assert [each.endpoint_id for each in record.sends][-1] == f"e-{MAX_SENDS + 2}"
        assert len(record.sends) == MAX_SENDS
        assert record.without_send(record.sends[0]).sends == record.sends[1:]

    def test_unobserved_crashes_exclude_own_sends(self):
        record = IntentRecord("f-1", (make_intent("e-1"),), ("e-0",))
        record = record.with_unobserved(frozenset({"e-1", "e-2"}))
        assert record.unobserved == ("e-0", "e-2")
        many = record.with_unobserved(frozenset(f"u-{each}" for each in range(50)))
        assert len(many.unobserved) == MAX_UNOBSERVED_CRASHES
