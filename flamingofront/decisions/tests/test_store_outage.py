"""Whether a missing row may have expired: outages of the store, and failures of one process."""

from flamingofront.decisions.store_outage import (
    EXPIRY_GRACE_SECONDS,
    MIN_PARTIAL_SECONDS,
    StoreOutages,
)


class TestStoreOutages:
    def test_missing_row_was_deleted_without_an_outage(self):
        outages = StoreOutages()
        outages.record_answer(1.0)
        assert not outages.may_have_expired(1.0)

    def test_row_may_have_expired_until_the_grace_period_ends(self):
        outages = StoreOutages()
        outages.record_failure(1.0)
        assert outages.may_have_expired(50.0)
        outages.record_answer(51.0)
        assert outages.may_have_expired(51.0 + EXPIRY_GRACE_SECONDS - 0.01)
        assert not outages.may_have_expired(51.0 + EXPIRY_GRACE_SECONDS)

    def test_grace_period_begins_at_the_first_answer_to_any_process(self):
        """Guards against a grace period that is counted from a process's own late discovery."""
        outages = StoreOutages()
        outages.record_failure(1.0)
        outages.record_answer_to_any(1.2)
        outages.record_answer_to_any(1.8)
        outages.record_answer(2.0)
        assert not outages.may_have_expired(1.2 + EXPIRY_GRACE_SECONDS)

    def test_answer_before_the_last_failure_is_not_the_end_of_an_outage(self):
        outages = StoreOutages()
        outages.record_failure(1.0)
        outages.record_answer_to_any(0.9)
        outages.record_answer(3.0)
        assert outages.may_have_expired(3.0 + EXPIRY_GRACE_SECONDS - 0.01)

    def test_store_that_turns_one_process_away_is_not_away(self):
        outages = StoreOutages()
        outages.record_failure(1.0)
        outages.record_answer_to_any(1.1)
        outages.record_failure(1.0 + MIN_PARTIAL_SECONDS)
        assert outages.is_partial and not outages.may_have_expired(1.6)
        outages.record_answer(2.0)
        assert not outages.may_have_expired(2.0)

    def test_short_failures_of_a_store_that_flaps_are_an_outage(self):
        outages = StoreOutages()
        for second in (1.0, 2.0, 3.0):
            outages.record_failure(second)
            outages.record_failure(second + 0.2)
            outages.record_answer(second + 0.3)
            assert outages.may_have_expired(second + 0.4)
