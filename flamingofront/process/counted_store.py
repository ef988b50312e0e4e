"""A table store that counts its calls: each has its price, and what asks too often must be seen."""

from collections.abc import Sequence

from flamingofront.process.metrics import Metrics
from flamingofront.process.store import RowCondition, RowWrite, TableStore
from flamingofront.process.tasks import Task

__all__ = ["CountedTableStore"]


class CountedTableStore(TableStore):
    """Counts the calls of another table store by operation and table.

    Parameters
    ----------
    store : TableStore
        The store that answers.
    """

    def __init__(self, store: TableStore, metrics: Metrics):
        self._store = store
        self._metrics = metrics

    def _count(self, operation: str, table: str) -> None:
        self._metrics.count("platform_calls_total", operation=operation, table=table)

    def read(
        self, table: str, part: str = "", first: str = "", end: str = "", limit: int = 0
    ) -> Task:
        """Return the `RowRange` of a table's part from key `first` on."""
        self._count("read", table)
        return self._store.read(table, part, first, end, limit)

    def read_changes(self, table: str, after: int, wait: float) -> Task:
        """Return the `RowChanges` after a version."""
        self._count("changes", table)
        return self._store.read_changes(table, after, wait)

    def transact(
        self, part: str, conditions: Sequence[RowCondition], writes: Sequence[RowWrite]
    ) -> Task:
        """Write all rows if all conditions hold."""
        self._count("transact", writes[0].table if writes else "")
        return self._store.transact(part, conditions, writes)
