"""Table store that detects a restore from an older snapshot, which begins a new era.

A restored store reuses the versions of earlier eras for other content. Therefore versions are
combined with their era (`flamingofront.process.store.make_revision`), a request for changes since a
version of an earlier era requires a full resync, and a write under a condition of an earlier era
fails.

The store itself compares only its own version numbers, so it would accept the write of a process
that has not noticed the restore and uses an old number that stands for other content by now.
Therefore the first process that notices a new era writes a marker row before any other write, and
each conditional write also requires the marker's version as its sender knows it. As long as no
marker is written, no process that knows of the new era has written in it, so old versions still
mean the same content. A process that notices the restore by the response to its first write writes
the marker right after that write: only during these milliseconds can an old version be mistaken for
a new one.
"""

from collections.abc import Callable, Sequence

import orjson

from flamingofront.errors import PlatformError
from flamingofront.process.logs import Log
from flamingofront.process.store import (
    HistoryLostError,
    RowCondition,
    RowWrite,
    StoredRow,
    TableStore,
    TransactionOutcome,
    get_era,
)
from flamingofront.process.tasks import Task

__all__ = ["ERA_TABLE", "EraStore"]

ERA_TABLE = "store-eras"
MARKER_KEY = "era"
# A write is retried if the era changes meanwhile; further restores are seconds apart.
MAX_TRIES = 4


class EraStore(TableStore):
    """Table store that rejects versions of earlier eras.

    Parameters
    ----------
    store : TableStore
        Underlying store, whose versions include their era.

    Attributes
    ----------
    era : int
        Latest era that a response of the store had.
    """

    def __init__(self, store: TableStore, log: Log):
        self._store = store
        self._log = log
        self._markers: dict[str, int] = {}
        self._listeners: list[Callable[[], None]] = []
        self._has_response = False
        self.era = 0

    def add_restore_listener(self, listener: Callable[[], None]) -> None:
        """Call `listener` each time the store was restored from an older snapshot."""
        self._listeners.append(listener)

    def _observe_era(self, version: int) -> None:
        """Record the era of a response, and notify the listeners if it is a new one.

        Raises
        ------
        PlatformError
            If the response is of an earlier era than the latest.
        """
        era = get_era(version)
        if era < self.era:
            raise PlatformError(f"response is of era {era}, but the store is in era {self.era}")
        if era == self.era:
            self._has_response = True
            return
        had_response, before = self._has_response, self.era
        self.era, self._has_response = era, True
        self._markers.clear()
        if had_response:
            self._log.warning("store restored from an older snapshot", era=era, before=before)
            for listener in self._listeners:
                listener()

    def read(
        self, table: str, part: str = "", first: str = "", end: str = "", limit: int = 0
    ) -> Task:
        """Return the `RowRange` of a table's partition, from a first key on."""
        found = yield from self._store.read(table, part, first, end, limit)
        self._observe_era(found.version)
        return found

    def read_changes(self, table: str, after: int, wait: float) -> Task:
        """Return the `RowChanges` of a table after a version.

        Raises
        ------
        HistoryLostError
            If the store no longer has these changes, or the version is of an earlier era.
        """
        if get_era(after) < self.era:
            raise HistoryLostError(f"version {after} is of an earlier era than {self.era}")
        found = yield from self._store.read_changes(table, after, wait)
        self._observe_era(found.version)
        if get_era(found.version) != get_era(after):
            raise HistoryLostError(
                f"the store is in era {self.era}, but version {after} is of another era"
            )
        return found

    def transact(
        self, part: str, conditions: Sequence[RowCondition], writes: Sequence[RowWrite]
    ) -> Task:
        """Write all rows if all conditions hold; a condition of an earlier era never holds."""
        if not conditions:
            outcome = yield from self._store.transact(part, conditions, writes)
            self._observe_era(outcome.version)
            return outcome
        for _ in range(MAX_TRIES):
            if any(each.version and get_era(each.version) < self.era for each in conditions):
                return (yield from self._read_conflict(part, conditions))
            outcome = yield from self._transact_in_era(part, conditions, writes)
            if outcome is not None:
                return outcome
        raise PlatformError("the store's era changed during each try of a transaction")

    def _transact_in_era(
        self, part: str, conditions: Sequence[RowCondition], writes: Sequence[RowWrite]
    ) -> Task:
        """Write if the marker has its cached version, too; return None if a retry is needed."""
        yield from self._ensure_marker(part)
        marker = RowCondition(ERA_TABLE, MARKER_KEY, self._markers.get(part, 0))
        outcome = yield from self._store.transact(part, (*conditions, marker), writes)
        era = self.era
        self._observe_era(outcome.version)
        if outcome.ok:
            if self.era != era:
                # The response to this write revealed the restore, so the new era has no marker yet.
                yield from self._ensure_marker(part)
            return outcome
        rows = tuple(each for each in outcome.rows if each.table != ERA_TABLE)
        if self.era == era and len(rows) < len(outcome.rows):
            self._markers.pop(part, None)
        is_failed = len(rows) == len(outcome.rows) and self.era == era
        if is_failed or rows:
            return TransactionOutcome(False, outcome.version, rows)
        return None

    def _ensure_marker(self, part: str) -> Task:
        """Load the marker of the current era, or write it if there is none."""
        while self.era and part not in self._markers:
            found = yield from self.read(
                ERA_TABLE, part, first=MARKER_KEY, end=MARKER_KEY + "\0", limit=1
            )
            row = found.rows[0] if found.rows else None
            if row is not None and _decode_era(row) == self.era:
                self._markers[part] = row.version
                return
            condition = RowCondition(ERA_TABLE, MARKER_KEY, row.version if row is not None else 0)
            write = RowWrite(ERA_TABLE, MARKER_KEY, orjson.dumps({"era": self.era}))
            outcome = yield from self._store.transact(part, (condition,), (write,))
            self._observe_era(outcome.version)

    def _read_conflict(self, part: str, conditions: Sequence[RowCondition]) -> Task:
        """Return the outcome of a transaction whose conditions fail, with their current rows."""
        rows: list[StoredRow] = []
        version = 0
        for each in conditions:
            found = yield from self.read(
                each.table, part, first=each.key, end=each.key + "\0", limit=1
            )
            rows += found.rows
            version = found.version
        return TransactionOutcome(False, version, tuple(rows))


def _decode_era(row: StoredRow) -> int:
    """Return the era in a marker row; 0 if the row is malformed."""
    try:
        return int(orjson.loads(row.value or b"")["era"])
    except (orjson.JSONDecodeError, KeyError, TypeError, ValueError):
        return 0
