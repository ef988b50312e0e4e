"""Prompt parts that many requests share and that were answered, kept in the store.

A part without any known answer is blamed for fewer crashes than others. Processes that start again
after all were killed know no answers, and may get none while endpoints crash, so that parts which
most requests share would look like poison parts. The few common ones are therefore kept in a row.
"""

import orjson

from flamingofront.decisions.part_evidence import PartEvidence
from flamingofront.errors import PlatformError
from flamingofront.messages import Sleep
from flamingofront.process.services import Services
from flamingofront.process.store import RowWrite, StoredRow, TableStore
from flamingofront.process.tasks import Task

__all__ = ["ANSWERED_PARTS_KEY", "AnsweredParts"]

ANSWERED_PARTS_KEY = "answered-parts"
# Any process may write the row; each waits for a random time, so that mostly one does.
PERIOD_SECONDS = 2.0
# Time between two writes of one process.
WRITE_PAUSE_SECONDS = 10.0
MAX_PARTS = 64


class AnsweredParts:
    """Keeps the row of a table up to date with the common parts that this process knows.

    Parameters
    ----------
    table : str
        Table of the row.
    """

    def __init__(self, store: TableStore, table: str, evidence: PartEvidence, services: Services):
        self._store = store
        self._table = table
        self._evidence = evidence
        self._tasks = services.tasks
        self._timers = services.timers
        self._rng = services.rng
        self._metrics = services.metrics
        self._log = services.log
        self._stored: dict[str, float] = {}
        self._is_writing = False
        self._timers.every(PERIOD_SECONDS, self._check, relaxed=True)

    def _list_missing(self) -> dict[str, float]:
        """Return the common parts that the row lacks, with the times of their last answers."""
        if len(self._stored) >= MAX_PARTS:
            return {}
        common = self._evidence.list_common_answers(MAX_PARTS)
        return {part: at for part, at in common.items() if part not in self._stored}

    def _check(self) -> None:
        if self._list_missing() and not self._is_writing:
            self._is_writing = True
            self._tasks.start(self._update_row())

    def _update_row(self) -> Task:
        """Write the row after a random delay, unless another process has written it by then."""
        yield Sleep(PERIOD_SECONDS / 2 * self._rng.random())
        missing = self._list_missing()
        if missing:
            yield from self._write({**self._stored, **missing})
            yield Sleep(WRITE_PAUSE_SECONDS)
        self._is_writing = False

    def _write(self, answers: dict[str, float]) -> Task:
        """Write the row; a later check repeats it if the store fails."""
        latest = sorted(answers.items(), key=lambda each: -each[1])[:MAX_PARTS]
        row = RowWrite(self._table, ANSWERED_PARTS_KEY, orjson.dumps({"parts": dict(latest)}))
        try:
            yield from self._store.transact("", (), (row,))
        except PlatformError as exc:
            self._metrics.count("platform_errors_total", operation="answered_parts")
            self._log.info("answered prompt parts not stored yet", detail=str(exc))
        else:
            self._stored = dict(latest)

    def merge_row(self, row: StoredRow) -> None:
        """Merge the row as it was read from the store.

        Raises
        ------
        PlatformError
            If its value is malformed.
        """
        try:
            parts = orjson.loads(row.value)["parts"]
            answers = {str(part): float(at) for part, at in parts.items()}
        except (AttributeError, KeyError, TypeError, ValueError) as exc:
            raise PlatformError(f"malformed row of answered parts: {exc!r:.100}") from exc
        self._stored = answers
        self._evidence.load_answers(answers)

    def rewrite(self) -> None:
        """Write the row again after the store was restored from an older snapshot."""
        self._stored = {}
