"""Actions that run at most once in a period."""

from flamingofront.process.rate_limited import RateLimitedAction
from flamingofront.process.timers import ManualClock, TimerService


class TestRateLimitedAction:
    def make_action(self):
        clock, runs = ManualClock(), []
        timers = TimerService(clock)
        return RateLimitedAction(lambda: runs.append(clock.time), 0.5, timers), clock, timers, runs

    def run_until(self, clock, timers, end):
        while (due := timers.next_due()) is not None and due <= end:
            clock.time = due
            timers.run_due()
        clock.time = end

    def test_first_call_runs_at_once(self):
        action, clock, _, runs = self.make_action()
        action()
        assert runs == [clock.time]

    def test_calls_in_the_period_are_joined_into_one_run_at_its_end(self):
        """Guards against a message for each of many changes that come together."""
        action, clock, timers, runs = self.make_action()
        start = clock.time
        action()
        for number in range(1, 5):
            self.run_until(clock, timers, start + 0.1 * number)
            action()
        self.run_until(clock, timers, start + 2.0)
        assert runs == [start, start + 0.5]

    def test_call_after_the_period_runs_at_once(self):
        action, clock, timers, runs = self.make_action()
        start = clock.time
        action()
        self.run_until(clock, timers, start + 0.6)
        action()
        assert runs == [start, start + 0.6]
