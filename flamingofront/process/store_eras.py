"""A table store that may come back from a copy some seconds old: its next era.

Versions of an era are given out again in the next one, for other content. So a version is kept with
its era (`flamingofront.process.store.position`), changes since a version of an earlier era are
asked for anew as a whole, and a write under a condition of an earlier era fails.

That the store itself cannot check: it compares its own numbers only. A process that has not noticed
the return would write under an old number that stands for something else by now. Therefore whoever
notices a new era first writes a marker row, before any write of its own, and each conditional write
also requires the marker as its sender knows it. While no marker was written, no process that knows
of the new era has written anything in it, and what an old version names is what it always was. One
whose first write shows the return marks the era right after it; for those milliseconds alone an old
version can be taken for the new one.
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
_KEY = "era"
# A write is tried again when the era changed under it; more changes come seconds apart.
MAX_TRIES = 4


class EraStore(TableStore):
    """Keeps the eras of another table store apart.

    Parameters
    ----------
    store : TableStore
        The store that answers; its versions carry their era.

    Attributes
    ----------
    era : int
        The latest era that an answer has told.
    """

    def __init__(self, store: TableStore, log: Log):
        self._store = store
        self._log = log
        self._markers: dict[str, int] = {}
        self._listeners: list[Callable[[], None]] = []
        self._is_known = False
        self.era = 0

    def add_restore_listener(self, listener: Callable[[], None]) -> None:
        """Call `listener` each time the store has come back from an older copy."""
        self._listeners.append(listener)

    def _told(self, version: int) -> None:
        """Take note of the era of an answer.

        Raises
        ------
        PlatformError
            If the answer is of an earlier era than the latest.
        """
        era = get_era(version)
        if era < self.era:
            raise PlatformError(f"the answer is of era {era}, the store is in era {self.era}")
        if era == self.era:
            self._is_known = True
            return
        was_known, before = self._is_known, self.era
        self.era, self._is_known = era, True
        self._markers.clear()
        if was_known:
            self._log.warning("store came back from an older copy", era=era, before=before)
            for listener in self._listeners:
                listener()

    def read(
        self, table: str, part: str = "", first: str = "", end: str = "", limit: int = 0
    ) -> Task:
        """Return the `RowRange` of a table's part from key `first` on."""
        found = yield from self._store.read(table, part, first, end, limit)
        self._told(found.version)
        return found

    def read_changes(self, table: str, after: int, wait: float) -> Task:
        """Return the `RowChanges` after a version.

        Raises
        ------
        HistoryLostError
            Also if the version is of an earlier era.
        """
        if get_era(after) < self.era:
            raise HistoryLostError(f"version {after} is of an era before {self.era}")
        found = yield from self._store.read_changes(table, after, wait)
        self._told(found.version)
        if get_era(found.version) != get_era(after):
            raise HistoryLostError(f"the store is in era {self.era}, version {after} is not")
        return found

    def transact(
        self, part: str, conditions: Sequence[RowCondition], writes: Sequence[RowWrite]
    ) -> Task:
        """Write all rows if all conditions hold, those of an earlier era do not."""
        if not conditions:
            outcome = yield from self._store.transact(part, conditions, writes)
            self._told(outcome.version)
            return outcome
        for _ in range(MAX_TRIES):
            if any(each.version and get_era(each.version) < self.era for each in conditions):
                return (yield from self._refused(part, conditions))
            outcome = yield from self._transact_marked(part, conditions, writes)
            if outcome is not None:
                return outcome
        raise PlatformError("the store's era changes again and again")

    def _transact_marked(
        self, part: str, conditions: Sequence[RowCondition], writes: Sequence[RowWrite]
    ) -> Task:
        """Write if the marker is as it is known, too; None if it is not."""
        yield from self._mark(part)
        marker = RowCondition(ERA_TABLE, _KEY, self._markers.get(part, 0))
        outcome = yield from self._store.transact(part, (*conditions, marker), writes)
        era = self.era
        self._told(outcome.version)
        if outcome.ok:
            if self.era != era:
                # The write itself showed the return; nobody has marked the era before it.
                yield from self._mark(part)
            return outcome
        rows = tuple(each for each in outcome.rows if each.table != ERA_TABLE)
        if self.era == era and len(rows) < len(outcome.rows):
            self._markers.pop(part, None)
        is_wrong = len(rows) == len(outcome.rows) and self.era == era
        if is_wrong or rows:
            return TransactionOutcome(False, outcome.version, rows)
        return None

    def _mark(self, part: str) -> Task:
        """Know the marker of the present era, or write it."""
        while self.era and part not in self._markers:
            found = yield from self.read(ERA_TABLE, part, first=_KEY, end=_KEY + "\0", limit=1)
            row = found.rows[0] if found.rows else None
            if row is not None and _era_in(row) == self.era:
                self._markers[part] = row.version
                return
            condition = RowCondition(ERA_TABLE, _KEY, row.version if row is not None else 0)
            write = RowWrite(ERA_TABLE, _KEY, orjson.dumps({"era": self.era}))
            outcome = yield from self._store.transact(part, (condition,), (write,))
            self._told(outcome.version)

    def _refused(self, part: str, conditions: Sequence[RowCondition]) -> Task:
        """Return the outcome of a write whose conditions fail: the rows as they are."""
        rows: list[StoredRow] = []
        version = 0
        for each in conditions:
            found = yield from self.read(
                each.table, part, first=each.key, end=each.key + "\0", limit=1
            )
            rows += found.rows
            version = found.version
        return TransactionOutcome(False, version, tuple(rows))


def _era_in(row: StoredRow) -> int:
    """Return the era that a marker names; 0 for one that cannot be read."""
    try:
        return int(orjson.loads(row.value or b"")["era"])
    except (orjson.JSONDecodeError, KeyError, TypeError, ValueError):
        return 0
