"""Table store that reports each answer: any answer shows that the store serves."""

from collections.abc import Callable, Sequence

from flamingofront.errors import PlatformRateLimitError
from flamingofront.process.store import HistoryLostError, RowCondition, RowWrite, TableStore
from flamingofront.process.tasks import Task

__all__ = ["AnsweredTableStore"]


class AnsweredTableStore(TableStore):
    """Reports the answers to the calls of another table store.

    Parameters
    ----------
    store : TableStore
        Underlying store.
    now : callable
        Time of the timer service.

    Attributes
    ----------
    on_answer : callable
        Called with the time of the call and the store's time of each answer. That a call was over
        the rate, or that history is lost, is an answer without a time.
    """

    def __init__(self, store: TableStore, now: Callable[[], float]):
        self._store = store
        self._now = now
        self.on_answer: Callable[[float, float | None], None] = lambda asked_at, time: None

    def read(
        self, table: str, part: str = "", first: str = "", end: str = "", limit: int = 0
    ) -> Task:
        """Return the `RowRange` of a table's partition, from a first key on."""
        return self._observe(self._store.read(table, part, first, end, limit))

    def read_changes(self, table: str, after: int, wait: float) -> Task:
        """Return the `RowChanges` of a table after a version."""
        return self._observe(self._store.read_changes(table, after, wait))

    def transact(
        self, part: str, conditions: Sequence[RowCondition], writes: Sequence[RowWrite]
    ) -> Task:
        """Write all rows if all conditions hold; return the `TransactionOutcome`."""
        return self._observe(self._store.transact(part, conditions, writes))

    def _observe(self, call: Task) -> Task:
        asked_at = self._now()
        try:
            result = yield from call
        except (HistoryLostError, PlatformRateLimitError):
            self.on_answer(asked_at, None)
            raise
        self.on_answer(asked_at, result.time)
        return result
