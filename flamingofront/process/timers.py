"""Timer service: the one place of a process where time comes from.

Parts subscribe to it; nothing else reads a clock. The clock is injected, so a test drives all
timers of several processes by hand.
"""

import heapq
import itertools
import time
from abc import ABC, abstractmethod
from collections.abc import Callable

__all__ = ["BootClock", "Clock", "ManualClock", "SLACK_SECONDS", "Timer", "TimerService"]

# How much later a relaxed timer may run. A process that serves callers wakes up 80 times a second
# for other reasons, so such a timer seldom costs a wake-up of its own; what uses one repeats
# itself two to five times a second, and no decision hangs on a tenth of a second there.
SLACK_SECONDS = 0.1


class Clock(ABC):
    """Source of monotonic seconds."""

    @abstractmethod
    def now(self) -> float:
        """Return seconds since an arbitrary start."""

    @abstractmethod
    def wall(self) -> float:
        """Return seconds since the epoch; only for times that are kept for hours."""


class BootClock(Clock):
    """Monotonic clock that goes on while the VM is suspended.

    Notes
    -----
    A lease must lapse while its holder is suspended, so ``CLOCK_BOOTTIME`` is used where the system
    has it.
    """

    def __init__(self):
        self._clock_id = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)

    def now(self) -> float:
        """Return seconds since the boot of the machine."""
        return time.clock_gettime(self._clock_id)

    def wall(self) -> float:
        """Return the wall clock's seconds."""
        return time.time()


class ManualClock(Clock):
    """Clock that moves only when told to."""

    def __init__(self, start: float = 0.0):
        self.time = start

    def now(self) -> float:
        """Return the time that was set last."""
        return self.time

    def wall(self) -> float:
        """Return the same time as `now`."""
        return self.time


class Timer:
    """Handle of one subscription."""

    __slots__ = ("callback", "cancelled", "due", "period", "relaxed")

    def __init__(
        self, due: float, callback: Callable[[], None], period: float | None, relaxed: bool
    ):
        self.due = due
        self.callback = callback
        self.period = period
        self.relaxed = relaxed
        self.cancelled = False

    def cancel(self) -> None:
        """End the subscription; a second call has no effect."""
        self.cancelled = True


class TimerService:
    """Run callbacks when their time has come.

    Parameters
    ----------
    clock : Clock
        Source of time.

    Notes
    -----
    A relaxed timer does not end a wait before `SLACK_SECONDS` have gone by since it was due, and
    runs with whatever else ends the wait meanwhile. Of the wake-ups of an entry process among 64
    a quarter (32 of 121 a second, counted over 12 s of usual traffic) were for timers alone.
    """

    def __init__(self, clock: Clock):
        self._clock = clock
        self._exact: list[tuple[float, int, Timer]] = []
        self._relaxed: list[tuple[float, int, Timer]] = []
        self._order = itertools.count()

    def now(self) -> float:
        """Return the clock's seconds."""
        return self._clock.now()

    def wall(self) -> float:
        """Return the clock's seconds since the epoch."""
        return self._clock.wall()

    def once(self, delay: float, callback: Callable[[], None], relaxed: bool = False) -> Timer:
        """Call `callback` one time after `delay` seconds."""
        return self._push(Timer(self.now() + max(0.0, delay), callback, None, relaxed))

    def every(
        self,
        period: float,
        callback: Callable[[], None],
        first: float = 0.0,
        relaxed: bool = False,
    ) -> Timer:
        """Call `callback` each `period` seconds, the first time after `first` seconds."""
        if period <= 0:
            raise ValueError(f"timer period must be above 0 seconds, got {period}")
        return self._push(Timer(self.now() + first, callback, period, relaxed))

    def next_due(self) -> float | None:
        """Return the time by which callbacks have to be run next, None if there are none."""
        exact = _first_due(self._exact)
        relaxed = _first_due(self._relaxed)
        if relaxed is None:
            return exact
        latest = relaxed + SLACK_SECONDS
        return latest if exact is None else min(exact, latest)

    def run_due(self) -> int:
        """Run all callbacks whose time has come and return their number.

        Notes
        -----
        A periodic timer that is late by several periods (suspended VM) runs once, not several
        times.
        """
        now = self.now()
        return self._run_heap(self._exact, now) + self._run_heap(self._relaxed, now)

    def _run_heap(self, heap: list[tuple[float, int, Timer]], now: float) -> int:
        count = 0
        while heap and heap[0][0] <= now:
            timer = heapq.heappop(heap)[2]
            if timer.cancelled:
                continue
            if timer.period is not None:
                timer.due = max(timer.due + timer.period, now)
                self._push(timer)
            timer.callback()
            count += 1
            if timer.period is not None and timer.due <= now:
                break
        return count

    def _push(self, timer: Timer) -> Timer:
        heap = self._relaxed if timer.relaxed else self._exact
        heapq.heappush(heap, (timer.due, next(self._order), timer))
        return timer


def _first_due(heap: list[tuple[float, int, Timer]]) -> float | None:
    """Return when the first timer of a heap is due, after dropping those that were cancelled."""
    while heap and heap[0][2].cancelled:
        heapq.heappop(heap)
    return heap[0][0] if heap else None
