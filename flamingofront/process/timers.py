"""Timer service, the only source of time in a process.

Components schedule callbacks with it and read no clock themselves. The clock is injected, so a test
can drive all timers of several processes by hand.
"""

import heapq
import itertools
import time
from abc import ABC, abstractmethod
from collections.abc import Callable

__all__ = ["BootClock", "Clock", "ManualClock", "SLACK_SECONDS", "Timer", "TimerService"]

# Maximum delay of a relaxed timer. A process that serves callers wakes up 80 times a second for
# other reasons, so such a timer rarely needs a wake-up of its own. Tasks with relaxed timers repeat
# two to five times a second and tolerate a delay of 0.1 s.
SLACK_SECONDS = 0.1


class Clock(ABC):
    """Source of monotonic seconds."""

    @abstractmethod
    def now(self) -> float:
        """Return seconds since an arbitrary start."""

    @abstractmethod
    def wall(self) -> float:
        """Return seconds since the epoch; only for times that are stored for hours."""


class BootClock(Clock):
    """Monotonic clock that advances while the VM is suspended.

    Notes
    -----
    A lease must expire while its holder is suspended, so ``CLOCK_BOOTTIME`` is used where the
    system has it.
    """

    def __init__(self):
        self._clock_id = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)

    def now(self) -> float:
        """Return seconds since boot, including the time the machine was suspended."""
        return time.clock_gettime(self._clock_id)

    def wall(self) -> float:
        """Return the wall-clock time in seconds since the epoch."""
        return time.time()


class ManualClock(Clock):
    """Clock for tests that advances only when its `time` is set."""

    def __init__(self, start: float = 0.0):
        self.time = start

    def now(self) -> float:
        """Return the time last set."""
        return self.time

    def wall(self) -> float:
        """Return the same time as `now`."""
        return self.time


def _do_nothing() -> None:
    """Stand in for the callback of a timer that has ended."""


class Timer:
    """Handle of one scheduled callback."""

    __slots__ = ("callback", "cancelled", "due", "is_immediate", "period", "relaxed")

    def __init__(
        self,
        due: float,
        callback: Callable[[], None],
        period: float | None,
        relaxed: bool,
        is_immediate: bool = False,
    ):
        self.due = due
        self.is_immediate = is_immediate
        self.callback = callback
        self.period = period
        self.relaxed = relaxed
        self.cancelled = False

    def cancel(self) -> None:
        """Cancel the callback; a second call has no effect."""
        self.cancelled = True
        # The timer stays in the heap until it is due, and its callback may refer to a large body.
        self.callback = _do_nothing


class TimerService:
    """Runs callbacks when they are due.

    Parameters
    ----------
    clock : Clock
        Source of time.

    Notes
    -----
    A relaxed timer wakes the process only `SLACK_SECONDS` after it is due, and runs earlier if
    something else wakes the process after its due time. Without relaxed timers, a quarter of the
    wake-ups of one entry process among 64 (32 of 121 per second, over 12 s of usual traffic) were
    for timers alone.
    """

    def __init__(self, clock: Clock):
        self._clock = clock
        self._exact: list[tuple[float, int, Timer]] = []
        self._relaxed: list[tuple[float, int, Timer]] = []
        self._sequence = itertools.count()

    def now(self) -> float:
        """Return the clock's monotonic time in seconds."""
        return self._clock.now()

    def wall(self) -> float:
        """Return the wall-clock time in seconds since the epoch."""
        return self._clock.wall()

    def once(self, delay: float, callback: Callable[[], None], relaxed: bool = False) -> Timer:
        """Call `callback` once after `delay` seconds and return the handle."""
        due = self.now() + max(0.0, delay)
        return self._schedule(Timer(due, callback, None, relaxed, delay <= 0))

    def every(
        self,
        period: float,
        callback: Callable[[], None],
        first: float = 0.0,
        relaxed: bool = False,
    ) -> Timer:
        """Call `callback` every `period` seconds, the first time after `first` seconds."""
        if period <= 0:
            raise ValueError(f"timer period must be above 0 seconds, got {period}")
        return self._schedule(Timer(self.now() + first, callback, period, relaxed))

    def next_due(self) -> float | None:
        """Return the time at which `run_due` must be called next, None if no timer is set."""
        exact = _get_first_due(self._exact)
        relaxed = _get_first_due(self._relaxed)
        if relaxed is None:
            return exact
        latest = relaxed + SLACK_SECONDS
        return latest if exact is None else min(exact, latest)

    def run_due(self, until: float | None = None) -> int:
        """Run all callbacks that are due and return their number.

        Parameters
        ----------
        until : float, optional
            Callbacks that were due later wait, except those scheduled without a delay. All that
            are due run if it is not given.

        Notes
        -----
        A periodic timer that is several periods late, such as after a suspension of the VM, runs
        only once.
        """
        now = self.now()
        until = now if until is None else until
        count = 0
        for heap in (self._exact, self._relaxed):
            if heap and heap[0][0] <= now:
                count += self._run_due_timers(heap, now, until)
        return count

    def _run_due_timers(
        self, heap: list[tuple[float, int, Timer]], now: float, until: float
    ) -> int:
        later = []
        try:
            return self._run_until(heap, now, until, later)
        finally:
            for entry in later:
                heapq.heappush(heap, entry)

    def _run_until(
        self,
        heap: list[tuple[float, int, Timer]],
        now: float,
        until: float,
        later: list[tuple[float, int, Timer]],
    ) -> int:
        """Run the due callbacks of a heap, and move those that wait to `later`."""
        count = 0
        while heap and heap[0][0] <= now:
            entry = heapq.heappop(heap)
            timer = entry[2]
            if timer.cancelled:
                continue
            if timer.due > until and not timer.is_immediate:
                later.append(entry)
                continue
            if timer.period is not None:
                timer.due = max(timer.due + timer.period, now)
                self._schedule(timer)
            callback = timer.callback
            if timer.period is None:
                timer.callback = _do_nothing
            callback()
            count += 1
            if timer.period is not None and timer.due <= now:
                break
        return count

    def _schedule(self, timer: Timer) -> Timer:
        heap = self._relaxed if timer.relaxed else self._exact
        heapq.heappush(heap, (timer.due, next(self._sequence), timer))
        return timer


def _get_first_due(heap: list[tuple[float, int, Timer]]) -> float | None:
    """Remove cancelled timers from the top of a heap; return when its first timer is due."""
    while heap and heap[0][2].cancelled:
        entry = heapq.heappop(heap)
        if not entry[2].cancelled:
            # A signal handler has scheduled an earlier timer since the check.
            heapq.heappush(heap, entry)
    return heap[0][0] if heap else None
