"""Versions that the endpoints of each service have had, kept in the store.

A process knows the versions that it has seen since its start. Which versions can have begun a
stream must be known even if all processes that saw them have ended, so each process that sees a
version for the first time adds it to a row of the store. A version stays there for as long after
its endpoints have left as a stream that they began can be resumed.

A restore of the store may take versions out of the row. The row names the era in which it was
written; one of an earlier era counts only after a process that ran through the restore, or has
watched the endpoints for long enough since, has written it again.
"""

import random
from collections.abc import Callable, Mapping
from dataclasses import dataclass

import orjson

from flamingofront.decisions.stream_origin import VersionHistory
from flamingofront.errors import PlatformError
from flamingofront.process.logs import Log
from flamingofront.process.store import RowCondition, RowWrite, StoredRow, TableStore, get_era
from flamingofront.process.tasks import Task, TaskRunner
from flamingofront.process.timers import TimerService
from flamingofront.request.stream_origins import RecordedVersions

__all__ = ["StoredVersions", "VersionRules"]

VERSION_TABLE = "versions"
VERSION_KEY = "all"
# Many callers resume their streams at once after a restart; one read serves them all.
FRESH_SECONDS = 0.5
CHECK_SECONDS = 5.0
# All processes see a new version at the same moment. They add it one after the other, and most then
# find that it is there.
DELAY_SECONDS_PER_MEMBER = 0.01
MAX_TRIES = 8

Versions = Mapping[str, frozenset[str]]


@dataclass(frozen=True)
class _Row:
    """The stored row: versions by service, its era, and its revision."""

    services: Versions
    era: int
    revision: int


@dataclass(frozen=True)
class VersionRules:
    """What the upkeep of the row depends on.

    Parameters
    ----------
    resume_seconds : callable
        Returns the longest time after which a stream that has begun can be resumed, in seconds.
    member_count : callable
        Returns the number of entry processes.
    is_current : callable
        Returns True if the known endpoints are those of a moment ago.
    is_holder : callable
        Returns True if this process holds the leader lease.
    first_start : bool
        True if the whole deployment starts for the first time.
    """

    resume_seconds: Callable[[], float]
    member_count: Callable[[], int]
    is_current: Callable[[], bool]
    is_holder: Callable[[], bool]
    first_start: bool


class StoredVersions(RecordedVersions):
    """Reads the row, and adds the versions that this process sees.

    Parameters
    ----------
    history : VersionHistory
        Versions that this process has seen.
    """

    def __init__(
        self,
        store: TableStore,
        history: VersionHistory,
        rules: VersionRules,
        tasks: TaskRunner,
        timers: TimerService,
        rng: random.Random,
        log: Log,
    ):
        self._store = store
        self._history = history
        self._rules = rules
        self._tasks = tasks
        self._timers = timers
        self._rng = rng
        self._log = log
        # The row as last read or written, also one of an earlier era; None if there is none.
        self._row: _Row | None = None
        self._read_at = float("-inf")
        # Versions of the last row that counted.
        self._known: Versions | None = None
        self._absent_since: dict[tuple[str, str], float] = {}
        self._waiting: list[Callable[[Versions | None], None]] = []
        self._era = 0
        self._is_updating = False
        self._is_update_due = False

    def start(self) -> None:
        """Start to keep the row up to date."""
        self._timers.every(CHECK_SECONDS, self._check, first=0.0, relaxed=True)

    # Lookups

    def read(self, on_read: Callable[[Versions | None], None]) -> None:
        """Pass on the stored versions by service, or None if they are not known."""
        if self._row is not None and self._timers.now() - self._read_at <= FRESH_SECONDS:
            on_read(self._current_versions())
            return
        self._waiting.append(on_read)
        if len(self._waiting) == 1:
            self._tasks.start(self._try_load(), lambda _: self._answer_waiting())

    def _answer_waiting(self) -> None:
        waiting, self._waiting = self._waiting, []
        is_read = self._timers.now() - self._read_at <= FRESH_SECONDS
        for each in waiting:
            each(self._current_versions() if is_read else None)

    def _current_versions(self) -> Versions | None:
        """Return the stored versions, unless a restore may have taken some of them."""
        row = self._row
        return row.services if row is not None and row.era == self._era else None

    # Upkeep

    def record_new_version(self) -> None:
        """Add a version that has just appeared, after a random delay."""
        delay = self._rng.random() * DELAY_SECONDS_PER_MEMBER * (self._rules.member_count() - 1)
        self._timers.once(delay, self._update)

    def reload(self) -> None:
        """Check the row again, after a restore of the store."""
        self.record_new_version()

    def _check(self) -> None:
        """Update the row if it does not count, lacks a version, or has one for too long."""
        if self._current_versions() is None or self._plan() is not None:
            self._update()

    def _update(self) -> None:
        """Start an update, or another one after that in progress."""
        self._is_update_due = True
        if not self._is_updating:
            self._is_updating = True
            self._tasks.start(self._run_updates(), self._end_updates)

    def _end_updates(self, result: object) -> None:
        self._is_updating = False

    def _run_updates(self) -> Task:
        while self._is_update_due:
            self._is_update_due = False
            for _ in range(MAX_TRIES):
                if not (yield from self._try_load()):
                    return
                wanted = self._plan()
                if wanted is None or (yield from self._try_write(wanted)):
                    break

    def _plan(self) -> Versions | None:
        """Return what the row should hold; None if it need not or cannot be written."""
        stored, present = self._current_versions(), self._history.present_versions()
        if stored is not None:
            wanted = _merge(stored, present)
            if self._rules.is_holder() and self._rules.is_current():
                wanted = self._remove_old(wanted, present)
            return wanted if wanted != stored else None
        seconds = self._rules.resume_seconds()
        has_watched = self._history.covers(seconds)
        is_first = self._rules.first_start and self._row is None
        if not (has_watched or is_first or self._known is not None) or not present:
            return None
        return _merge(self._known or {}, self._history.all_versions_since(seconds))

    def _remove_old(self, versions: Versions, present: Versions) -> Versions:
        """Return the versions without those whose endpoints have been gone for long enough."""
        now, seconds = self._timers.now(), self._rules.resume_seconds()
        absent = {
            (service, version)
            for service, names in versions.items()
            for version in names - present.get(service, frozenset())
        }
        self._absent_since = {each: self._absent_since.get(each, now) for each in absent}
        old = {each for each, since in self._absent_since.items() if now - since >= seconds}
        return _drop_empty(
            {
                service: frozenset(name for name in names if (service, name) not in old)
                for service, names in versions.items()
            }
        )

    def _try_load(self) -> Task:
        """Read the row; return False if the store does not respond."""
        try:
            found = yield from self._store.read(VERSION_TABLE)
        except PlatformError as exc:
            self._log.warning("stored versions not read", detail=str(exc))
            return False
        self._apply(next((each for each in found.rows if each.key == VERSION_KEY), None))
        self._era = get_era(found.version)
        self._record_read()
        return True

    def _try_write(self, wanted: Versions) -> Task:
        """Write the row if it is unchanged; return True unless another try may succeed."""
        revision = self._row.revision if self._row is not None else 0
        condition = RowCondition(VERSION_TABLE, VERSION_KEY, revision)
        write = RowWrite(VERSION_TABLE, VERSION_KEY, _encode(wanted, self._era))
        try:
            outcome = yield from self._store.transact("", (condition,), (write,))
        except PlatformError as exc:
            self._log.warning("versions not stored", detail=str(exc))
            return True
        if not outcome.ok:
            return False
        self._log.info("versions stored", versions=_to_lists(wanted), era=self._era)
        self._row = _Row(wanted, self._era, outcome.version)
        self._era = get_era(outcome.version)
        self._record_read()
        return True

    def _record_read(self) -> None:
        self._read_at = self._timers.now()
        current = self._current_versions()
        if current is not None:
            self._known = current

    def _apply(self, row: StoredRow | None) -> None:
        self._row = None
        if row is None or row.value is None:
            return
        try:
            values = orjson.loads(row.value)
            services = {
                str(name): frozenset(map(str, versions))
                for name, versions in values["services"].items()
            }
            self._row = _Row(services, int(values["era"]), row.version)
        except (orjson.JSONDecodeError, KeyError, TypeError, ValueError, AttributeError) as exc:
            # Counts as a row that a restore has set back, and is written again as such.
            self._log.warning("malformed row of versions", detail=str(exc))
            self._row = _Row({}, -1, row.version)


def _merge(first: Versions, second: Versions) -> Versions:
    """Return the versions of both."""
    return _drop_empty(
        {
            service: first.get(service, frozenset()) | second.get(service, frozenset())
            for service in {*first, *second}
        }
    )


def _drop_empty(versions: Versions) -> Versions:
    return {service: names for service, names in versions.items() if names}


def _to_lists(versions: Versions) -> dict[str, list[str]]:
    return {service: sorted(names) for service, names in sorted(versions.items())}


def _encode(versions: Versions, era: int) -> bytes:
    return orjson.dumps({"era": era, "services": _to_lists(versions)})
