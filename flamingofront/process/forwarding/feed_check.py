"""Checks that the long poll of a table is alive, by short polls beside it.

A response that is lost on an open connection leaves a long poll waiting for its timeout. The
processes that watch a table share the times of their answers, so that one of them polls when no
process had an answer for a while, and the others only if that does not help.
"""

from collections.abc import Callable
from dataclasses import dataclass

from flamingofront.errors import PlatformError
from flamingofront.process.forwarding.follower import TableWatcher
from flamingofront.process.store import HistoryLostError
from flamingofront.process.tasks import RunningTask, Task, TaskRunner
from flamingofront.process.timers import TimerService

__all__ = ["FeedCheck", "WatcherRank"]

CHECK_PERIOD_SECONDS = 0.1
# Time after which a short call counts as unanswered: long for a store that works, and short for all
# that is to be known within a second.
MAX_ANSWER_SECONDS = 0.2
# Checks further apart than their period and the delay of a relaxed timer show that the process
# itself was late.
MAX_CHECK_INTERVAL_SECONDS = 0.25
# Shortest interval of the polls that peers' word of a store that is away sets off.
HINT_INTERVAL_SECONDS = 0.5
# Interval of the polls for a version that a peer has reported, which may be no change of the store.
LAG_POLL_INTERVAL_SECONDS = 1.0
# A long poll that has become needless ends after this time.
STANDBY_SECONDS = 3.5
# Later processes wait no longer than the one at this position: a check would come too late.
MAX_POSITION = 4


@dataclass(frozen=True)
class WatcherRank:
    """Turn of a process among those that watch a table.

    Parameters
    ----------
    position : int
        0 for the process that polls first.
    seconds_per_position : float
        Time by which each further process waits longer: until an answer to the one before it would
        be known to it.
    """

    position: int
    seconds_per_position: float


class FeedCheck:
    """Runs a table watcher, and polls beside it when the table was not confirmed for a while.

    Parameters
    ----------
    age : callable
        Returns the seconds since the store confirmed the table to any process; None if it never
        did.
    rank : callable
        Returns the `WatcherRank` of this process.
    max_age : float
        Age in seconds at which the first process polls.
    lag : callable
        Returns the seconds since a peer reported a newer version; None if none did.
    max_lag : callable
        Returns the lag in seconds at which this process polls, whatever its rank.
    on_found : callable
        Called after a poll that found changes, which other processes may have missed, too.
    """

    def __init__(
        self,
        watcher: TableWatcher,
        tasks: TaskRunner,
        timers: TimerService,
        age: Callable[[], float | None],
        rank: Callable[[], WatcherRank],
        max_age: float,
        lag: Callable[[], float | None],
        max_lag: Callable[[], float],
        on_found: Callable[[], None] = lambda: None,
    ):
        self._watcher = watcher
        self._tasks = tasks
        self._timers = timers
        self._age = age
        self._rank = rank
        self._max_age = max_age
        self._lag = lag
        self._max_lag = max_lag
        self._on_found = on_found
        self._running: RunningTask | None = None
        self._is_polling = False
        # Counts polls and the reads that replace them, so that a late failure starts no other read.
        self._poll_number = 0
        self._checked_at = timers.now()
        self._next_lag_poll_at = self._next_hint_at = timers.now()

    def start(self) -> None:
        """Start to watch the table."""
        self._running = self._tasks.start(self._watcher.run())
        self._timers.every(
            CHECK_PERIOD_SECONDS, self._check, first=CHECK_PERIOD_SECONDS, relaxed=True
        )

    def _check(self) -> None:
        is_slow = self._is_punctual() and self._watcher.report_slow_calls(MAX_ANSWER_SECONDS)
        if is_slow and self._is_polling:
            self._read()
            return
        if self._is_polling or not self._watcher.is_long_polling:
            return
        if self._watcher.long_poll_seconds > STANDBY_SECONDS and self._watcher.could_stand_by():
            self._restart()
            return
        if self._is_stale() or self._is_lagging():
            self.poll()

    def _is_punctual(self) -> bool:
        """Return True if this process runs as it should: answers may wait to be read else."""
        now, before = self._timers.now(), self._checked_at
        self._checked_at = now
        return now - before <= MAX_CHECK_INTERVAL_SECONDS

    def poll(self) -> None:
        """Poll beside the long poll, unless such a poll is pending."""
        if not self._is_polling and self._watcher.is_long_polling:
            self._is_polling = True
            self._poll_number += 1
            number = self._poll_number
            self._tasks.start(self._poll(number), lambda _: self._end_poll(number))

    def _is_lagging(self) -> bool:
        """Return True if a peer has had a newer version for so long that the long poll is dead."""
        now = self._timers.now()
        if (self._lag() or 0.0) <= self._max_lag() or now < self._next_lag_poll_at:
            return False
        self._next_lag_poll_at = now + LAG_POLL_INTERVAL_SECONDS
        return True

    def _is_stale(self) -> bool:
        """Return True if the table was not confirmed for so long that this process has to poll."""
        age = self._age()
        if age is None or age <= self._max_age:
            return False
        rank = self._rank()
        return age > self._max_age + min(rank.position, MAX_POSITION) * rank.seconds_per_position

    def check_now(self) -> None:
        """Call the store at once, since a peer reports that it does not answer.

        Notes
        -----
        Rows that expire in an outage are kept only by processes whose own calls show it.
        """
        now = self._timers.now()
        if self._watcher.is_standby or self._is_polling or now < self._next_hint_at:
            return
        self._next_hint_at = now + HINT_INTERVAL_SECONDS
        if self._watcher.is_long_polling:
            self.poll()
        else:
            self._read()

    def _end_poll(self, number: int) -> None:
        if number == self._poll_number:
            self._is_polling = False

    def _poll(self, number: int) -> Task:
        """Poll for changes; read the table if that fails, since the long poll may be dead, too."""
        asked_at = self._timers.now()
        try:
            has_changes = yield from self._watcher.poll_beside()
        except PlatformError as exc:
            if not isinstance(exc, HistoryLostError):
                self._watcher.record_failed_check(exc, asked_at)
            if number == self._poll_number:
                self._read()
        else:
            if has_changes:
                self._on_found()
                self._restart()

    def _read(self) -> None:
        """Read the whole table in place of the long poll."""
        self._poll_number += 1
        self._is_polling = False
        self._watcher.schedule_reload()
        self._restart()

    def _restart(self) -> None:
        """Cancel the long poll; the watcher goes on with a new call, or on standby."""
        self._running.cancel()
        self._running = self._tasks.start(self._watcher.run())
