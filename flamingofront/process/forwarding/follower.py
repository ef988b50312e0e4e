"""Follow a table of the store: read it once, then its changes."""

import random
from collections.abc import Callable
from dataclasses import dataclass

from flamingofront.errors import PlatformError
from flamingofront.messages import Sleep
from flamingofront.process.backoff import Backoff
from flamingofront.process.logs import Log
from flamingofront.process.store import HistoryLostError, StoredRow, TableStore
from flamingofront.process.tasks import Task

__all__ = ["TableWatcher", "TableListener"]

# A silent store swallows a waiting call. The wait bounds how long that goes unnoticed: with it, a
# process that is in touch again learns of a change within the two seconds that are allowed.
FEED_WAIT_SECONDS = 3.5
# Answers up to this size, in bytes, pass the smallest link of a VM in a tenth of a second.
QUICK_BYTES = 64 * 1024
# Pause between two looks at whether others still follow the store for this process.
REST_SECONDS = 0.2
# First pause after a failed call and the longest one: quick enough to be back within a second of
# the store's return, slow enough that 100 processes make 100 calls a second at most.
BACKOFF = Backoff(0.1, 1.0)


@dataclass(frozen=True)
class TableListener:
    """What is done with the rows of a table.

    Parameters
    ----------
    replaced : callable
        Gets all rows of the table and the version of the store, after it was read in full.
    changed : callable
        Gets rows that changed, in order.
    lost, regained : callable
        Called when the store stops answering, and when it answers again.
    """

    replaced: Callable[[tuple[StoredRow, ...], int], None]
    changed: Callable[[tuple[StoredRow, ...]], None]
    lost: Callable[[], None] = lambda: None
    regained: Callable[[], None] = lambda: None


class TableWatcher:
    """Keeps up with one table.

    Parameters
    ----------
    may_rest : callable
        Returns whether other processes follow the table for this one.
    pause : callable
        Returns the seconds between an answer with changes and the next question.
    wait : float
        Seconds for which one question waits for a change.
    now : callable
        Time of the timer service.
    known : callable
        Returns the change up to which others have told what is in the table.
    """

    def __init__(
        self,
        store: TableStore,
        table: str,
        listener: TableListener,
        now: Callable[[], float],
        rng: random.Random,
        log: Log,
        may_rest: Callable[[], bool] = lambda: False,
        pause: Callable[[], float] = lambda: 0.0,
        wait: float = FEED_WAIT_SECONDS,
        known: Callable[[], int] = lambda: 0,
    ):
        self._known = known
        self._wait = wait
        self._may_rest = may_rest
        self._pause = pause
        self._poll_requested = False
        self._needs_reload = False
        self.rests = False
        self._store = store
        self.table = table
        self._listener = listener
        self._now = now
        self._rng = rng
        self._log = log
        self._failures = 0
        self._version: int | None = None
        self.heard_at: float | None = None
        # The table is known here as it was then.
        self.confirmed_at: float | None = None
        self.errors = 0

    @property
    def version(self) -> int:
        """Version up to which the table is known; 0 before it was read."""
        return self._version or 0

    def age(self) -> float | None:
        """Return the seconds since the store's last answer; None before the first."""
        return None if self.heard_at is None else self._now() - self.heard_at

    @property
    def is_cut_off(self) -> bool:
        """True while the store does not answer this process."""
        return self._failures > 0

    def look_once(self) -> None:
        """Ask for changes soon, also while others follow the table for this process."""
        self._poll_requested = True

    def read_anew(self) -> None:
        """Read the whole table before its changes are followed again.

        Notes
        -----
        A peer has told of some changes, and not of rows that it holds only by the grace after an
        outage. Changes since this process's own version would undo what it has learned.
        """
        self._needs_reload = True

    def run(self) -> Task:
        """Follow the table; never returns."""
        while True:
            rests = self._version is not None and not self._failures and self._may_rest()
            if rests != self.rests:
                self.rests = rests
                self._log.info("store is followed by others" if rests else "store is followed here")
            if rests and not self._poll_requested:
                yield Sleep(REST_SECONDS, relaxed=True)
                continue
            if self._needs_reload:
                self._needs_reload, self._version = False, None
            try:
                yield from self.step()
            except HistoryLostError as exc:
                self._log.warning("history lost", table=self.table, detail=str(exc))
                self._version = None
            except PlatformError as exc:
                self._note_failure(exc)
                yield Sleep(BACKOFF.compute_delay(self._failures - 1, self._rng))

    def step(self) -> Task:
        """Read the table, or wait for its next changes."""
        asked_at = self._now()
        if self._version is None:
            rows, version = yield from self._read_all()
            self._note_answer()
            self.confirmed_at = asked_at
            self._version = version
            self._listener.replaced(rows, version)
            return
        # While the store is away a waiting call would hide its return: it is asked without a wait.
        wait = 0.0 if self._failures or self._poll_requested else self._wait
        self._poll_requested = False
        after = max(self._version, self._known())
        changes = yield from self._store.read_changes(self.table, after, wait)
        self._note_answer()
        # A large answer may have been on its way for a while; any other is as of now.
        is_large = sum(len(each.value or b"") for each in changes.rows) > QUICK_BYTES
        self.confirmed_at = asked_at if is_large else self.heard_at
        self._poll_requested |= is_large
        self._version = max(after, changes.version)
        if changes.rows:
            self._listener.changed(changes.rows)
            if self._pause():
                yield Sleep(self._pause())

    def _read_all(self) -> Task:
        """Return all rows, and the version of the first part: later changes are read again."""
        found = yield from self._store.read(self.table)
        rows, version = found.rows, found.version
        while found.truncated and found.rows:
            # The first key behind the last one, in byte order.
            found = yield from self._store.read(self.table, first=found.rows[-1].key + "\0")
            rows += found.rows
        return rows, version

    def _note_answer(self) -> None:
        self.heard_at = self._now()
        if self._failures:
            self._log.info("store regained", table=self.table, failures=self._failures)
            self._failures = 0
            self._listener.regained()

    def _note_failure(self, exc: PlatformError) -> None:
        self.errors += 1
        self._failures += 1
        if self._failures == 1:
            self._log.warning("store lost", table=self.table, detail=str(exc), age=self.age())
            self._listener.lost()
