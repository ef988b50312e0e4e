"""Watcher of a table of the store: reads it once, then long-polls its change feed."""

import math
import random
from collections.abc import Callable
from dataclasses import dataclass

from flamingofront.decisions.store_outage import FailedCall
from flamingofront.errors import PlatformError, PlatformRateLimitError, PlatformTimeoutError
from flamingofront.messages import Sleep
from flamingofront.process.backoff import Backoff
from flamingofront.process.logs import Log
from flamingofront.process.store import HistoryLostError, RowChanges, StoredRow, TableStore
from flamingofront.process.store_clock import StoreClock
from flamingofront.process.tasks import Task

__all__ = ["BACKOFF", "STANDBY_BACKOFF", "TableListener", "TableWatcher"]

# Long-poll timeout. An unresponsive store never answers a long poll, so this bounds how long that
# goes unnoticed. With 3.5 s, a reconnected process receives a change within the allowed 2 s.
FEED_WAIT_SECONDS = 3.5
# A store that answered any process this recently is not away: an answer to this one was lost.
RECENT_ANSWER_SECONDS = 1.5
# Smaller answers take at most 0.1 s on the smallest VM link.
LARGE_ANSWER_BYTES = 64 * 1024
# Interval of the check that other processes still watch the store for this one.
STANDBY_CHECK_SECONDS = 0.2
# Delays between reads of a table whose history is lost again and again.
HISTORY_BACKOFF = Backoff(0.05, 0.3)
# Failed calls further apart than this count anew.
FAILED_CALL_MEMORY_SECONDS = 2.0
# First and longest delay in seconds: reconnects within a second of the store's recovery, and limits
# 100 processes to 100 calls per second.
BACKOFF = Backoff(0.1, 1.0)
# Same for processes that others tell of changes as soon as these reach the store.
STANDBY_BACKOFF = Backoff(0.1, 2.0)


@dataclass(frozen=True)
class TableListener:
    """Callbacks of a `TableWatcher`.

    Parameters
    ----------
    on_reload : callable
        Called with all rows and the version of the store after each full read.
    on_changes : callable
        Called with changed rows, in order.
    on_failure : callable
        Called with the `FailedCall` of each call that failed. A call over the rate is answered.
    on_unanswered : callable
        Called with the `FailedCall` of a short call that has not been answered for a while.
    on_answer : callable
        Called with the time of the call and the store's time for each answer, before its rows are
        passed on.
    """

    on_reload: Callable[[tuple[StoredRow, ...], int], None]
    on_changes: Callable[[tuple[StoredRow, ...]], None]
    on_failure: Callable[[FailedCall], None] = lambda call: None
    on_unanswered: Callable[[FailedCall], None] = lambda call: None
    on_answer: Callable[[float, float | None], None] = lambda asked_at, time: None


class TableWatcher:
    """Watches one table of the store.

    Parameters
    ----------
    can_stand_by : callable
        Returns True if other processes watch the table for this one.
    pause : callable
        Returns the mean seconds to wait after an answer with changes before the next poll.
    wait : float
        Long-poll timeout in seconds.
    now : callable
        Time of the timer service.
    peer_version : callable
        Returns the feed position up to which peers have delivered the table.
    clock : StoreClock, optional
        Gets the store's time of each answer.
    answer_age : callable
        Returns the seconds since the store's last answer to any process; None if unknown.
    own_answer_at : callable
        Returns the time of the store's last answer to any call of this process; None if there was
        none.
    backoff : callable
        Returns the delays between failed polls for changes; a first read is retried faster.
    reads_after_failure : bool
        True to read the whole table after a failed poll, which shows at once whether the store
        answers other calls than those of its change feed.
    """

    def __init__(
        self,
        store: TableStore,
        table: str,
        listener: TableListener,
        now: Callable[[], float],
        rng: random.Random,
        log: Log,
        can_stand_by: Callable[[], bool] = lambda: False,
        pause: Callable[[], float] = lambda: 0.0,
        wait: float = FEED_WAIT_SECONDS,
        peer_version: Callable[[], int] = lambda: 0,
        clock: StoreClock | None = None,
        answer_age: Callable[[], float | None] = lambda: None,
        own_answer_at: Callable[[], float | None] = lambda: None,
        backoff: Callable[[], Backoff] = lambda: BACKOFF,
        reads_after_failure: bool = False,
    ):
        self._reads_after_failure = reads_after_failure
        self._peer_version = peer_version
        self._answer_age = answer_age
        self._own_answer_at = own_answer_at
        # When an answer was first found lost since the last answer to any call of this process.
        self._lost_since: float | None = None
        self._backoff = backoff
        self._long_poll_at: float | None = None
        self._wait_seconds = wait
        self._can_stand_by = can_stand_by
        self._pause = pause
        self._poll_requested = False
        self._needs_reload = False
        self.is_standby = False
        self._store = store
        self.table = table
        self._listener = listener
        self._now = now
        self._rng = rng
        self._log = log
        self._failures = 0
        # Failed calls in a row; a read that is answered does not end the row, a poll does.
        self._failed_calls = 0
        self._last_failed_call_at = -math.inf
        # When each short call without an answer was sent, and if it is one of the change feed.
        self._pending: dict[float, bool] = {}
        self._version: int | None = None
        self.answered_at: float | None = None
        self._clock = clock
        # Latest time at which the local copy of the table was certainly current, on the local clock
        # and on the clock of the store.
        self.confirmed_at: float | None = None
        self.confirmed_time: float | None = None
        # Longest time for which the store may have had the changes of the last answer before.
        self.unconfirmed_seconds: float | None = None
        self.errors = 0

    @property
    def version(self) -> int:
        """Version of the store up to which the table was read; 0 before the first read."""
        return self._version or 0

    def age(self) -> float | None:
        """Return the seconds since the last answer of the store; None before the first."""
        return None if self.answered_at is None else self._now() - self.answered_at

    @property
    def is_unreachable(self) -> bool:
        """True while the store does not answer this process."""
        return self._failures > 0

    @property
    def is_long_polling(self) -> bool:
        """True while a long poll waits for a change."""
        return self._long_poll_at is not None

    @property
    def long_poll_seconds(self) -> float:
        """Seconds for which the current long poll has waited; 0 if there is none."""
        return 0.0 if self._long_poll_at is None else self._now() - self._long_poll_at

    def could_stand_by(self) -> bool:
        """Return True if the long poll is needless: other processes watch the table."""
        return self.is_long_polling and not self._failures and self._can_stand_by()

    def poll_once(self) -> None:
        """Request one poll without wait, also in standby."""
        self._poll_requested = True

    def schedule_reload(self) -> None:
        """Read the whole table again before the next poll of its changes.

        Notes
        -----
        Needed after an update from a peer, which does not mark the rows in their grace period.
        Changes since this process's older feed position would revert the update.
        """
        self._needs_reload = True

    def run(self) -> Task:
        """Watch the table; never returns."""
        while True:
            is_standby = self._version is not None and not self._failures and self._can_stand_by()
            if is_standby != self.is_standby:
                self.is_standby = is_standby
                self._log.info("standby for the store" if is_standby else "watching the store")
            if is_standby and not self._poll_requested:
                yield Sleep(STANDBY_CHECK_SECONDS, relaxed=True)
                continue
            if self._needs_reload:
                self._needs_reload, self._version = False, None
            asked_at = self._now()
            try:
                yield from self.step()
            except HistoryLostError as exc:
                self._log.warning(
                    "change history of the store lost; reloading the table",
                    table=self.table,
                    detail=str(exc),
                )
                self._version = None
                self._record_failed_call()
                if self._failed_calls > 1:
                    yield Sleep(HISTORY_BACKOFF.compute_delay(self._failed_calls - 2, self._rng))
            except PlatformError as exc:
                self._record_failed_call()
                if self._is_lost_answer(exc):
                    self._log.info("change feed reconnected: answer lost", **self._log_fields(exc))
                else:
                    self._record_failure(exc, asked_at, self._version is not None)
                    yield Sleep(self._compute_pause(exc))
                self._needs_reload |= self._reads_after_failure

    def _record_failed_call(self) -> None:
        now = self._now()
        if now - self._last_failed_call_at > FAILED_CALL_MEMORY_SECONDS:
            self._failed_calls = 0
        self._failed_calls += 1
        self._last_failed_call_at = now

    def _compute_pause(self, exc: PlatformError) -> float:
        """Return the seconds until the next call; a call that failed alone is repeated at once."""
        failures = max(self._failures, self._failed_calls)
        if failures == 1 and not isinstance(exc, PlatformRateLimitError):
            return 0.0
        backoff = BACKOFF if self._version is None else self._backoff()
        return backoff.compute_delay(max(0, failures - 2), self._rng)

    def _is_lost_answer(self, exc: PlatformError) -> bool:
        """Return True if an answer was lost, since the store answers other calls."""
        answer_age = self._answer_age()
        return (
            isinstance(exc, PlatformTimeoutError)
            and answer_age is not None
            and answer_age <= RECENT_ANSWER_SECONDS
            and not self._has_lost_another()
        )

    def _has_lost_another(self) -> bool:
        """Return True if this process lost an answer before, and had none to any call since."""
        answered_at = self._own_answer_at()
        if self._lost_since is None or (answered_at or -math.inf) > self._lost_since:
            self._lost_since = self._now()
            return False
        return True

    def poll_beside(self) -> Task:
        """Poll for changes without wait, beside the long poll; return True if there are any."""
        asked_at, after = self._now(), max(self.version, self._peer_version())
        changes = yield from self._track(self._store.read_changes(self.table, after, 0.0), True)
        if after < max(self.version, self._peer_version()):
            return False  # the long poll was answered meanwhile
        self._record_answer(asked_at, changes.time)
        self._record_unconfirmed_time(asked_at)
        self._apply_changes(changes, after, asked_at)
        return bool(changes.rows)

    def record_failed_check(self, exc: PlatformError, asked_at: float) -> None:
        """Record that a poll beside the long poll failed, or that its answer was lost."""
        if self._is_lost_answer(exc):
            self._log.info("answer of the store lost", **self._log_fields(exc))
        else:
            self._record_failure(exc, asked_at, True)

    def _track(self, call: Task, is_feed: bool) -> Task:
        """Run a short call, which counts as pending meanwhile."""
        sent_at = self._now()
        self._pending[sent_at] = is_feed
        try:
            return (yield from call)
        finally:
            self._pending.pop(sent_at, None)

    def report_slow_calls(self, max_seconds: float) -> bool:
        """Report the short calls that have been pending for longer; return True if there are any.

        Parameters
        ----------
        max_seconds : float
            Seconds after which a call counts as unanswered.
        """
        now = self._now()
        slow = sorted(each for each in self._pending if now - each > max_seconds)
        for sent_at in slow:
            kind = "poll" if self._pending[sent_at] else "read"
            description = f"{kind} of table {self.table} pending"
            call = FailedCall(description, sent_at, sent_at, self._pending[sent_at])
            self._listener.on_unanswered(call)
        return bool(slow)

    def _log_fields(self, exc: PlatformError) -> dict[str, object]:
        return {"table": self.table, "detail": str(exc), "age": self.age()}

    def step(self) -> Task:
        """Read the whole table, or long-poll its next changes."""
        asked_at = self._now()
        if self._version is None:
            rows, version, time = yield from self._track(self._read_all(), False)
            self._record_answer(asked_at, time)
            self._record_unconfirmed_time(asked_at)
            self.confirmed_at = asked_at
            self.confirmed_time = time
            self._version = version
            self._listener.on_reload(rows, version)
            return
        # During an outage a long poll would delay the detection of the recovery: poll without wait.
        is_short = self._failures or self._poll_requested
        wait = 0.0 if is_short else self._wait_seconds
        self._poll_requested = False
        after = max(self._version, self._peer_version())
        self._long_poll_at = asked_at if wait else None
        poll = self._store.read_changes(self.table, after, wait)
        try:
            changes = yield from (poll if wait else self._track(poll, True))
        finally:
            self._long_poll_at = None
        self._failed_calls = 0
        self._record_answer(asked_at, changes.time)
        self._record_unconfirmed_time(asked_at)
        self._apply_changes(changes, after, asked_at)
        if changes.rows and self._pause():
            # The relays get the same change, and are not to pause for the same time.
            yield Sleep(self._pause() * (0.5 + self._rng.random()))

    def _apply_changes(self, changes: RowChanges, after: int, asked_at: float) -> None:
        """Pass the changes after a version on, and record when the local copy was current."""
        # A large answer may have been in transit for a while; any other one is current.
        is_large = sum(len(each.value or b"") for each in changes.rows) > LARGE_ANSWER_BYTES
        if changes.version >= after:  # else it is a stale read
            self.confirmed_at = (
                asked_at if is_large else self._find_sent_time(asked_at, changes.time)
            )
            self._record_time(changes.time, asked_at)
        self._poll_requested |= is_large
        self._version = max(after, changes.version)
        if changes.rows:
            self._listener.on_changes(changes.rows)

    def _find_sent_time(self, asked_at: float, time: float | None) -> float:
        """Return when the last answer was sent, on the local clock: it may have waited unread."""
        local = self._clock.to_local(time) if self._clock is not None and time is not None else None
        return self.answered_at if local is None else min(self.answered_at, max(asked_at, local))

    def _record_time(self, time: float | None, asked_at: float) -> None:
        """Record the store's time of an answer that confirms the local copy."""
        if time is None:
            return
        self.confirmed_time = time
        if self._clock is not None:
            self._clock.record_answer(time, asked_at, self._now())

    def _read_all(self) -> Task:
        """Return all rows, and version and time of the first page: later changes are polled."""
        asked_at = self._now()
        found = yield from self._store.read(self.table)
        rows, version, time = found.rows, found.version, found.time
        self._record_time(time, asked_at)
        while found.truncated and found.rows:
            # Smallest key after the last one, in byte order.
            found = yield from self._store.read(self.table, first=found.rows[-1].key + "\0")
            rows += found.rows
        return rows, version, time

    def _record_answer(self, asked_at: float, time: float | None) -> None:
        self.answered_at = self._now()
        if self._failures:
            self._log.info("store reachable again", table=self.table, failures=self._failures)
            self._failures = 0
        self._listener.on_answer(asked_at, time)

    def _record_unconfirmed_time(self, asked_at: float) -> None:
        """Record how long before a poll the local copy was last confirmed."""
        if self.confirmed_at is not None:
            self.unconfirmed_seconds = max(0.0, asked_at - self.confirmed_at)

    def _record_failure(self, exc: PlatformError, asked_at: float, is_feed: bool) -> None:
        self.errors += 1
        self._failures += 1
        if self._failures == 1:
            self._log.warning("store unreachable", **self._log_fields(exc))
        if isinstance(exc, PlatformRateLimitError):
            self._listener.on_answer(asked_at, None)
            return
        # What was reset or rejected shows that the store failed now, an answer that did not come
        # that it has not answered since.
        since = asked_at if isinstance(exc, PlatformTimeoutError) else self._now()
        self._listener.on_failure(FailedCall(str(exc), asked_at, since, is_feed))
