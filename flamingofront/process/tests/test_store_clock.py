"""Times of the store's steady clock on the local clock."""

from flamingofront.process.store_clock import WINDOW_SECONDS, StoreClock


class TestStoreClock:
    def test_fastest_answer_gives_the_offset(self):
        clock = StoreClock()
        clock.record_answer(100.0, 9.9, 10.5)
        clock.record_answer(101.0, 10.9, 11.01)
        clock.record_answer(102.0, 11.9, 12.4)
        assert abs(clock.to_local(103.0) - 13.01) < 1e-9

    def test_unknown_before_the_first_answer(self):
        assert StoreClock().to_local(1.0) is None

    def test_clock_that_drifts_is_followed(self):
        """Guards against ages that grow for hours with the drift of a clock."""
        clock = StoreClock()
        for second in range(0, 7200, 5):
            clock.record_answer(second * 0.999, second - 0.01, second + 0.01)
        assert abs(clock.to_local(7200 * 0.999) - 7200) < 2 * WINDOW_SECONDS * 0.001 + 0.02

    def test_clock_that_begins_anew_is_followed_at_once(self):
        clock = StoreClock()
        clock.record_answer(5000.0, 9.9, 10.0)
        clock.record_answer(3.0, 20.0, 20.1)
        assert abs(clock.to_local(4.0) - 21.1) < 1e-9
