"""Timer service: the one place of a process where time comes from.

Parts subscribe to it; nothing else reads a clock. The clock is injected, so a test drives all
timers of several processes by hand.
"""

import heapq
import itertools
import time
from abc import ABC, abstractmethod
from collections.abc import Callable

__all__ = ["BootClock", "Clock", "ManualClock", "Timer", "TimerService"]


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

    __slots__ = ("callback", "cancelled", "due", "period")

    def __init__(self, due: float, callback: Callable[[], None], period: float | None):
        self.due = due
        self.callback = callback
        self.period = period
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
    """

    def __init__(self, clock: Clock):
        self._clock = clock
        self._heap: list[tuple[float, int, Timer]] = []
        self._order = itertools.count()

    def now(self) -> float:
        """Return the clock's seconds."""
        return self._clock.now()

    def wall(self) -> float:
        """Return the clock's seconds since the epoch."""
        return self._clock.wall()

    def once(self, delay: float, callback: Callable[[], None]) -> Timer:
        """Call `callback` one time after `delay` seconds."""
        return self._push(Timer(self.now() + max(0.0, delay), callback, None))

    def every(self, period: float, callback: Callable[[], None], first: float = 0.0) -> Timer:
        """Call `callback` each `period` seconds, the first time after `first` seconds."""
        if period <= 0:
            raise ValueError(f"timer period must be above 0 seconds, got {period}")
        return self._push(Timer(self.now() + first, callback, period))

    def next_due(self) -> float | None:
        """Return the time of the next callback, None if there is none."""
        while self._heap and self._heap[0][2].cancelled:
            heapq.heappop(self._heap)
        return self._heap[0][0] if self._heap else None

    def run_due(self) -> int:
        """Run all callbacks whose time has come and return their number.

        Notes
        -----
        A periodic timer that is late by several periods (suspended VM) runs once, not several
        times.
        """
        now = self.now()
        count = 0
        while self._heap and self._heap[0][0] <= now:
            timer = heapq.heappop(self._heap)[2]
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
        heapq.heappush(self._heap, (timer.due, next(self._order), timer))
        return timer
