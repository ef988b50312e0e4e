"""Actions that run at most once in a period, however often they are asked for."""

import math
from collections.abc import Callable

from flamingofront.process.timers import TimerService

__all__ = ["RateLimitedAction"]


class RateLimitedAction:
    """Runs an action at once, or when the period since its last run has passed.

    Parameters
    ----------
    action : callable
        What to run; calls while it is due are joined into one run.
    seconds : float
        Shortest time between two runs.
    """

    def __init__(self, action: Callable[[], None], seconds: float, timers: TimerService):
        self._action = action
        self._seconds = seconds
        self._timers = timers
        self._last_run = -math.inf
        self._is_due = False

    def __call__(self) -> None:
        """Run the action now, or as soon as it may run again."""
        if self._is_due:
            return
        left = self._last_run + self._seconds - self._timers.now()
        if left <= 0:
            self._run()
        else:
            self._is_due = True
            self._timers.once(left, self._run)

    def _run(self) -> None:
        self._is_due = False
        self._last_run = self._timers.now()
        self._action()
