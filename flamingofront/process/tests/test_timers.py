"""Exact timers, and relaxed timers that run with other wake-ups."""

import heapq
import weakref

import pytest

from flamingofront.process.timers import SLACK_SECONDS, ManualClock, TimerService


@pytest.fixture
def timers():
    return TimerService(ManualClock(100.0))


def run_due_at(timers, time):
    timers._clock.time = time
    return timers.run_due()


class TestRelaxedTimers:
    def test_relaxed_timer_wakes_only_after_its_slack(self, timers):
        timers.once(1.0, lambda: None, relaxed=True)
        assert timers.next_due() == pytest.approx(101.0 + SLACK_SECONDS)

    def test_exact_timer_wakes_before_relaxed_timer(self, timers):
        timers.once(1.0, lambda: None, relaxed=True)
        timers.once(1.05, lambda: None)
        assert timers.next_due() == pytest.approx(101.05)

    def test_relaxed_timer_runs_with_any_wake_up_after_it_is_due(self, timers):
        seen = []
        timers.once(1.0, lambda: seen.append("relaxed"), relaxed=True)
        assert run_due_at(timers, 100.9) == 0
        assert run_due_at(timers, 101.01) == 1
        assert seen == ["relaxed"]

    def test_cancelled_timer_does_not_wake(self, timers):
        timers.once(1.0, lambda: None, relaxed=True).cancel()
        assert timers.next_due() is None

    def test_periodic_relaxed_timers_share_wake_ups(self, timers):
        """Eight periodic tasks, as in an idle entry process."""
        ran = []
        for number, period in enumerate((0.2, 0.2, 0.25, 0.25, 0.25, 0.25, 0.3, 0.5)):
            first = 0.03 * number
            timers.every(period, lambda n=number: ran.append(n), first, relaxed=True)
        wake_ups = 0
        while (due := timers.next_due()) < 110.0:
            run_due_at(timers, due)
            wake_ups += 1
        assert len(ran) > 250  # each alone would need a wake-up
        assert wake_ups < 100
        assert {ran.count(number) for number in (0, 1)} <= set(range(33, 52))


class TestPeriods:
    def test_late_periodic_timer_runs_once(self, timers):
        seen = []
        timers.every(1.0, lambda: seen.append(timers.now()))
        run_due_at(timers, 107.3)
        assert seen == [107.3]

    def test_period_must_be_above_zero(self, timers):
        with pytest.raises(ValueError, match="above 0"):
            timers.every(0.0, lambda: None)


class TestInterruptions:
    def test_timer_of_a_signal_handler_is_kept(self, timers):
        """Guards against a stop signal that is lost between the look at a timer and its removal."""

        class Interrupted:
            @property
            def cancelled(self):
                if not scheduled:
                    scheduled.append(timers.once(0.0, lambda: seen.append("handler")))
                return True

        seen, scheduled = [], []
        heapq.heappush(timers._exact, (101.0, -1, Interrupted()))
        assert timers.next_due() == 100.0
        run_due_at(timers, 100.5)
        assert seen == ["handler"]


class TestEndedTimers:
    """A cancelled timer stays in the heap until it is due."""

    @pytest.mark.parametrize("end", [lambda timer, run: timer.cancel(), lambda timer, run: run()])
    def test_ended_timer_does_not_keep_what_its_callback_refers_to(self, end):
        class Large:
            def act(self):
                pass

        clock = ManualClock()
        timers, large = TimerService(clock), Large()
        kept = weakref.ref(large)
        timer = timers.once(60.0, large.act)

        def run():
            clock.time += 60.0
            timers.run_due()

        del large
        end(timer, run)
        assert kept() is None
