"""Removal of documents whose retention time is over.

A document with a limited lifetime gets an index document in the same transaction, under the hour in
which it expires. The sweeper scans the index of the hours that have passed, so its cost depends on
the number of expired documents, not on the number of stored ones.
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
# Number of past hours whose index is scanned in each sweep.
SWEPT_HOURS = 48
SWEEP_PERIOD_SECONDS = 600.0
UNTIL_FIELD = "until"


def _build_hour_prefix(hour: int) -> str:
    """Return the key prefix of the index documents of an hour since the epoch."""
    return f"{EXPIRY_PREFIX}{hour:010d}/"


def build_expiry_write(key: str, until: float) -> Write:
    """Return the write of the index document that lets a document expire.

    Parameters
    ----------
    key : str
        Key of the document, whose value holds the same time in its field ``until``.
    until : float
        Time of expiry in seconds since the epoch.
    """
    return Write(_build_hour_prefix(math.ceil(until / HOUR_SECONDS)) + key, {})


class Sweeper:
    """Removes expired documents while this process is in charge of it.

    Parameters
    ----------
    wall : callable
        Returns seconds since the epoch. The clocks of VMs may differ by minutes without harm.
    is_in_charge : callable
        Returns True if this process should sweep now. Two concurrent sweeps do no harm.

    Attributes
    ----------
    removed_count : int
        Number of documents that this process has removed.
    """

    def __init__(
        self,
        documents: DocumentStore,
        wall: Callable[[], float],
        is_in_charge: Callable[[], bool],
        rng: random.Random,
    ):
        self._documents = documents
        self._wall = wall
        self._is_in_charge = is_in_charge
        self._rng = rng
        self.removed_count = 0

    def run(self) -> Task:
        """Sweep periodically; never returns."""
        while True:
            yield Sleep(SWEEP_PERIOD_SECONDS * (0.5 + self._rng.random()))
            if not self._is_in_charge():
                continue
            try:
                yield from self.sweep()
            except PlatformError:
                continue  # The next sweep finds the documents that are left.

    def sweep(self) -> Task:
        """Remove the expired documents of the last `SWEPT_HOURS` hours."""
        last = int(self._wall() // HOUR_SECONDS)
        for hour in range(last - SWEPT_HOURS, last + 1):
            index = yield from self._documents.scan(_build_hour_prefix(hour))
            for entry in index:
                yield from self._remove_expired(entry, entry.key[len(_build_hour_prefix(hour)) :])

    def _remove_expired(self, entry: Document, key: str) -> Task:
        """Remove an index document, and the document that it names unless its time was extended."""
        (row,) = yield from self._documents.read([key])
        is_expired = row.value is not None and row.value.get(UNTIL_FIELD, math.inf) <= self._wall()
        conditions = (Condition(key, row.revision),)
        writes = [Write(entry.key, None)]
        if is_expired:
            writes.append(Write(key, None))
        result = yield from self._documents.transact(conditions, writes)
        if result.ok and is_expired:
            self.removed_count += 1
            yield from self._documents.drop_object(row)
