"""Whether a missing row may have expired: outages of the store, and failures of one process."""

import pytest

from flamingofront.decisions.store_outage import (
    EXPIRY_GRACE_SECONDS,
    MIN_PARTIAL_SECONDS,
    FailedCall,
    StoreOutages,
)


def fail(outages, *times, is_feed=False):
    """Let calls fail at some times, each sent a moment before."""
    for at in times:
        outages.record_failure(at, FailedCall("call", at - 0.01, at, is_feed))


def leave_unanswered(outages, *times):
    """Let calls that were sent at some times wait for their answers."""
    for at in times:
        outages.record_unanswered(FailedCall("call", at, at))


class TestStoreOutages:
    def test_missing_row_was_deleted_without_an_outage(self):
        outages = StoreOutages()
        outages.record_answer(1.0)
        assert not outages.may_have_expired(1.0)

    def test_row_may_have_expired_until_the_grace_period_ends(self):
        outages = StoreOutages()
        fail(outages, 1.0, 1.2)
        assert outages.is_away and outages.may_have_expired(50.0)
        outages.record_answer(51.0)
        assert outages.may_have_expired(51.0 + EXPIRY_GRACE_SECONDS - 0.01)
        assert not outages.may_have_expired(51.0 + EXPIRY_GRACE_SECONDS)

    def test_grace_period_begins_at_the_first_answer_to_any_process(self):
        """Guards against a grace period that is counted from a process's own late discovery."""
        outages = StoreOutages()
        fail(outages, 0.9, 1.0)
        outages.record_answer_to_any(1.2)
        outages.record_answer_to_any(1.8)
        outages.record_answer(2.0)
        assert outages.may_have_expired(1.2 + EXPIRY_GRACE_SECONDS - 0.01)
        assert not outages.may_have_expired(1.2 + EXPIRY_GRACE_SECONDS)

    def test_answer_before_the_failures_is_not_the_end_of_an_outage(self):
        outages = StoreOutages()
        fail(outages, 1.0, 1.2)
        outages.record_answer_to_any(0.9)
        outages.record_answer(3.0)
        assert outages.may_have_expired(3.0 + EXPIRY_GRACE_SECONDS - 0.01)

    def test_store_that_turns_one_process_away_is_not_away(self):
        outages = StoreOutages()
        fail(outages, 1.0, 1.05)
        outages.record_answer_to_any(1.1)
        fail(outages, 1.2, 1.0 + MIN_PARTIAL_SECONDS)
        assert outages.is_partial and not outages.may_have_expired(1.6)
        outages.record_answer(2.0)
        assert not outages.may_have_expired(2.0)

    def test_short_failures_of_a_store_that_flaps_are_an_outage(self):
        outages = StoreOutages()
        for second in (1.0, 2.0, 3.0):
            fail(outages, second, second + 0.2)
            outages.record_answer(second + 0.3)
            assert outages.may_have_expired(second + 0.4)


class TestSingleFailures:
    """One call fails, or several at once, while the store serves."""

    def test_call_that_fails_alone_is_no_outage(self):
        """Guards against a grace period after a single failed call."""
        outages = StoreOutages()
        fail(outages, 1.0)
        assert not outages.is_away and not outages.may_have_expired(1.01)
        outages.record_answer(1.02)
        assert not outages.may_have_expired(1.03)

    def test_calls_that_fail_together_are_no_outage(self):
        """Guards against feeds that are reset at once, each of which confirms the other."""
        outages = StoreOutages()
        for _ in range(3):
            outages.record_failure(1.0, FailedCall("call", 0.5, 1.0))
        outages.record_answer(1.02)
        assert not outages.may_have_expired(1.03)

    def test_change_feed_that_fails_again_and_again_is_no_outage(self):
        outages = StoreOutages()
        fail(outages, 1.0, 1.1, 1.3, is_feed=True)
        assert not outages.is_away

    @pytest.mark.parametrize("is_feed_first", [True, False])
    def test_feed_and_read_that_fail_one_after_the_other_are_an_outage(self, is_feed_first):
        outages = StoreOutages()
        fail(outages, 1.0, is_feed=is_feed_first)
        fail(outages, 1.1, is_feed=not is_feed_first)
        assert outages.is_away

    def test_failures_with_an_answer_to_any_process_between_are_no_outage(self):
        outages = StoreOutages()
        fail(outages, 1.0)
        outages.record_answer_to_any(1.05)
        fail(outages, 1.1)
        assert not outages.is_away

    def test_answer_that_is_told_late_shows_that_there_was_no_outage(self):
        """Guards against a grace period that goes on after a peer has told of an answer."""
        outages = StoreOutages()
        fail(outages, 1.0, 1.2)
        outages.record_answer(1.3)
        assert outages.may_have_expired(1.4)
        outages.record_answer_to_any(1.1)
        assert not outages.may_have_expired(1.4)

    def test_answer_that_is_told_late_shortens_an_outage(self):
        outages = StoreOutages()
        fail(outages, 1.0, 1.2, 1.8)
        outages.record_answer(3.0)
        outages.record_answer_to_any(1.5)
        assert not outages.may_have_expired(1.5 + EXPIRY_GRACE_SECONDS)

    def test_timeout_of_a_call_shows_nothing_if_others_were_answered_since(self):
        outages = StoreOutages()
        fail(outages, 1.9)
        outages.record_answer_to_any(2.0)
        outages.record_failure(2.5, FailedCall("timeout", 1.5, 1.5))
        outages.record_failure(2.6, FailedCall("timeout", 1.6, 1.6))
        assert not outages.is_away


class TestUnansweredCalls:
    """Calls wait for their answers: the store is silent, or one answer was lost."""

    def test_two_calls_that_wait_are_an_outage(self):
        outages = StoreOutages()
        leave_unanswered(outages, 1.0, 1.2)
        outages.record_answer_to_any(2.0)
        assert outages.may_have_expired(2.1)

    def test_call_that_waits_alone_is_no_outage(self):
        outages = StoreOutages()
        leave_unanswered(outages, 1.0, 1.0, 1.0)
        outages.record_answer_to_any(2.0)
        assert not outages.may_have_expired(2.1)

    def test_timeout_of_a_call_that_was_reported_is_not_a_second_one(self):
        outages = StoreOutages()
        leave_unanswered(outages, 1.0)
        outages.record_failure(2.0, FailedCall("timeout", 1.0, 1.0))
        assert not outages.is_away
