"""Recent document writes of this process, for a repeat if the store loses them.

The store may be restored from a snapshot that is some seconds old. Each process then repeats its
recent writes, unless the stored document is newer: written in the new era, or repeated by another
process whose write was later. A write whose process does not survive the restore is lost.
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from flamingofront.process.store import make_revision

__all__ = ["WriteStamp", "RecentDocuments", "WrittenDocument", "is_newer"]

# Oldest snapshot that is expected: several times the few seconds that the platform states.
MAX_SNAPSHOT_AGE_SECONDS = 30.0
# The platform's limit of 400 writes a second, for five seconds.
MAX_WRITES = 2000


@dataclass(frozen=True)
class WriteStamp:
    """Logical time of the write of a document's value, across restores of the store.

    Parameters
    ----------
    era : int
        Era of the store in which the value was first written.
    origin : int
        Revision of the first write of the value if a restore made a repeat necessary, else 0.
    """

    era: int = 0
    origin: int = 0


@dataclass(frozen=True)
class WrittenDocument:
    """A write that the store has acknowledged.

    Parameters
    ----------
    value : object
        Written value; None if the document was deleted.
    revision : int
        Revision of the document after the write.
    at : float
        Time of the acknowledgement, on the clock of the timer service.
    """

    key: str
    value: Any
    revision: int
    at: float


class RecentDocuments:
    """Bounded history of the document writes of this process.

    Parameters
    ----------
    now : callable
        Returns the time of the timer service in seconds.
    """

    def __init__(self, now: Callable[[], float]):
        self._now = now
        self._writes: deque[WrittenDocument] = deque(maxlen=MAX_WRITES)

    def record_write(self, key: str, value: Any, revision: int) -> None:
        """Remember a write that the store has acknowledged."""
        self._writes.append(WrittenDocument(key, value, revision, self._now()))

    def list_last_writes(self) -> tuple[WrittenDocument, ...]:
        """Return the last write of each key that a snapshot may lack, the oldest first."""
        since = self._now() - MAX_SNAPSHOT_AGE_SECONDS
        by_key = {each.key: each for each in self._writes if each.at >= since}
        return tuple(sorted(by_key.values(), key=lambda each: each.revision))


def is_newer(write: WrittenDocument, stamp: WriteStamp, version: int, era: int) -> bool:
    """Return True if a write is newer than the document in the store.

    Parameters
    ----------
    stamp : WriteStamp
        Stamp of the stored document.
    version : int
        Version of its row within the current era of the store.
    era : int
        Current era of the store.
    """
    if stamp.era >= era:
        return False
    # A row that the snapshot contained has kept the version of its earlier era.
    return (stamp.origin or make_revision(stamp.era, version)) < write.revision
