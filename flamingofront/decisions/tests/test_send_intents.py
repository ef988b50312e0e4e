"""Which requests are recorded before they are sent."""

import pytest

from flamingofront.decisions.send_intents import (
    MAX_SENDS,
    MAX_UNANSWERED,
    MAX_UNSEEN,
    START_SECONDS,
    UNANSWERED_WAIT_SECONDS,
    WARY_SECONDS,
    IntentPolicy,
    IntentRecord,
    SendIntent,
)


def send(endpoint_id="e-1", at=10.0, vm_id="vm-1"):
    return SendIntent(endpoint_id, "10.0.0.1:80", "zone-a", vm_id, 1, at)


class TestPolicy:
    def test_nothing_is_recorded_while_nothing_speaks_for_it(self):
        assert not IntentPolicy().is_recorded("f-1", "engines", 5.0)

    def test_all_is_recorded_until_ended_endpoints_are_found_after_a_start(self):
        policy = IntentPolicy(began=100.0)
        assert policy.is_recorded("f-1", "engines", 100.0)
        assert policy.is_recorded("f-1", "records", 100.0 + START_SECONDS - 0.01)
        assert not policy.is_recorded("f-1", "engines", 100.0 + START_SECONDS)

    def test_requests_to_the_service_of_an_end_that_nobody_saw_are(self):
        policy = IntentPolicy()
        assert policy.record_unobserved_crash("e-1", "engines", 50.0)
        assert not policy.record_unobserved_crash("e-2", "engines", 50.5)
        assert policy.is_recorded("f-1", "engines", 50.5 + WARY_SECONDS - 0.1)
        assert not policy.is_recorded("f-1", "records", 51.0)
        assert not policy.is_recorded("f-1", "engines", 50.5 + WARY_SECONDS)
        assert policy.unseen() == {"e-1", "e-2"}

    def test_requests_to_any_service_are_if_that_of_the_endpoint_is_not_known(self):
        policy = IntentPolicy()
        policy.record_unobserved_crash("e-1", "", 50.0)
        assert policy.is_recorded("f-1", "engines", 51.0)

    def test_what_was_answered_needs_no_record(self):
        policy = IntentPolicy(began=100.0)
        policy.answered("f-1")
        assert not policy.is_recorded("f-1", "engines", 100.0)
        assert policy.is_recorded("f-2", "engines", 100.0)

    def test_memory_of_ends_and_answers_is_bounded(self):
        policy = IntentPolicy(began=0.0)
        for number in range(10_000):
            policy.answered(f"f-{number}")
            policy.record_unobserved_crash(f"e-{number}", "engines", 1.0)
        assert len(policy.unseen()) == MAX_UNSEEN
        assert policy.is_recorded("f-0", "engines", 1.0)


class TestWait:
    def test_request_waits_once_it_has_several_unanswered_sends(self):
        record = IntentRecord("f-1")
        for number in range(MAX_UNANSWERED):
            assert not IntentPolicy.must_wait(record, {})
            record = record.with_sends((send(f"e-{number}", at=float(number)),))
        assert IntentPolicy.must_wait(record, {})

    @pytest.mark.parametrize("seconds", [0.01, UNANSWERED_WAIT_SECONDS + 0.01])
    def test_send_counts_no_more_once_its_endpoint_has_outlived_it(self, seconds):
        """An endpoint that was seen alive before the send, or just after it, has not."""
        record = IntentRecord("f-1", tuple(send(f"e-{each}") for each in range(MAX_UNANSWERED)))
        waits = IntentPolicy.must_wait(record, {"e-1": 10.0 + seconds})
        assert waits == (seconds < UNANSWERED_WAIT_SECONDS)
        assert IntentPolicy.must_wait(record, {"e-1": 9.0})


class TestRecord:
    def test_same_send_is_named_once_and_the_newest_ones_are_kept(self):
        record = IntentRecord("f-1")
        for number in range(MAX_SENDS + 3):
            each = send(f"e-{number}")
            record = record.with_sends((each,)).with_sends((each,))
        assert [each.endpoint_id for each in record.sends][-1] == f"e-{MAX_SENDS + 2}"
        assert len(record.sends) == MAX_SENDS
        assert record.without_send(record.sends[0]).sends == record.sends[1:]

    def test_unseen_ends_are_others_than_those_of_its_own_sends(self):
        record = IntentRecord("f-1", (send("e-1"),), ("e-0",))
        record = record.with_unobserved(frozenset({"e-1", "e-2"}))
        assert record.unobserved == ("e-0", "e-2")
        many = record.with_unobserved(frozenset(f"u-{each}" for each in range(50)))
        assert len(many.unseen) == MAX_UNSEEN
