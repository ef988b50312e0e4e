"""Remove documents when their time is over.

A row that is kept for a stated time gets a second row in the same transaction, under the hour of
its end. The sweeper scans the hours that have passed, so its cost follows what ends, not what is
kept.
"""

import math
import random
from collections.abc import Callable

from flamingofront.errors import PlatformError
from flamingofront.messages import Sleep
from flamingofront.process.documents import Condition, Document, DocumentStore, Write
from flamingofront.process.tasks import Task

__all__ = ["RETENTION_SECONDS", "Sweeper", "build_expiry_write"]

RETENTION_SECONDS = 86_400.0
EXPIRY_PREFIX = "expiry/"
HOUR_SECONDS = 3600.0
SWEPT_HOURS = 48
SWEEP_PERIOD_SECONDS = 600.0
UNTIL_FIELD = "until"


def _hour_prefix(hour: int) -> str:
    return f"{EXPIRY_PREFIX}{hour:010d}/"


def build_expiry_write(key: str, until: float) -> Write:
    """Return the write that has a row removed after its time.

    Parameters
    ----------
    key : str
        Key of the row, whose value holds the same time in its field ``until``.
    until : float
        Seconds since the epoch.
    """
    return Write(_hour_prefix(math.ceil(until / HOUR_SECONDS)) + key, {})


class Sweeper:
    """Removes what has expired, while this process is told to.

    Parameters
    ----------
    wall : callable
        Returns seconds since the epoch; clocks of VMs may differ by minutes without harm.
    is_mine : callable
        Tells whether this process should sweep now. Two that sweep at once do no harm.
    """

    def __init__(
        self,
        documents: DocumentStore,
        wall: Callable[[], float],
        is_mine: Callable[[], bool],
        rng: random.Random,
    ):
        self._documents = documents
        self._wall = wall
        self._is_mine = is_mine
        self._rng = rng
        self.removed = 0

    def run(self) -> Task:
        """Sweep now and then; never returns."""
        while True:
            yield Sleep(SWEEP_PERIOD_SECONDS * (0.5 + self._rng.random()))
            if not self._is_mine():
                continue
            try:
                yield from self.sweep()
            except PlatformError:
                continue  # what is left comes up again in the next round

    def sweep(self) -> Task:
        """Remove the rows of all hours that have passed."""
        last = int(self._wall() // HOUR_SECONDS)
        for hour in range(last - SWEPT_HOURS, last + 1):
            index = yield from self._documents.scan(_hour_prefix(hour))
            for entry in index:
                yield from self._remove(entry, entry.key[len(_hour_prefix(hour)) :])

    def _remove(self, entry: Document, key: str) -> Task:
        """Remove one row and its index entry, unless the row was given more time."""
        (row,) = yield from self._documents.read([key])
        expired = row.value is not None and row.value.get(UNTIL_FIELD, math.inf) <= self._wall()
        conditions = (Condition(key, row.revision),)
        writes = [Write(entry.key, None)]
        if expired:
            writes.append(Write(key, None))
        result = yield from self._documents.transact(conditions, writes)
        if result.ok and expired:
            self.removed += 1
            yield from self._documents.drop_object(row)
