"""Documents that this process has written lately, to be written again if the store loses them.

A store may come back from a copy some seconds old. Whoever wrote a document since knows it, and
writes it again, unless the store has a later one: of its new era, or written again by another
process that wrote it later. What its writer does not survive is lost with the copy.
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from flamingofront.process.store import position

__all__ = ["WriteStamp", "RecentDocuments", "WrittenDocument", "is_newer"]

# Age of a copy that is reckoned with: several times the some seconds that the platform names.
COPY_SECONDS = 30.0
# Writes that are kept: at most the platform's 400 a second for five seconds.
MAX_WRITES = 2000


@dataclass(frozen=True)
class WriteStamp:
    """Where a document's value stands among all writes.

    Parameters
    ----------
    era : int
        Era of the store in which it was written first.
    origin : int
        Position of its first write, if it was written again since; 0 if it was not.
    """

    era: int = 0
    origin: int = 0


@dataclass(frozen=True)
class WrittenDocument:
    """A write that the store has acknowledged; `value` is None for a removal."""

    key: str
    value: Any
    position: int
    at: float


class RecentDocuments:
    """The last writes of this process, by key.

    Parameters
    ----------
    now : callable
        Time of the timer service.
    """

    def __init__(self, now: Callable[[], float]):
        self._now = now
        self._writes: deque[WrittenDocument] = deque(maxlen=MAX_WRITES)

    def record_write(self, key: str, value: Any, position: int) -> None:
        """Remember a write that the store has acknowledged."""
        self._writes.append(WrittenDocument(key, value, position, self._now()))

    def last_writes(self) -> tuple[WrittenDocument, ...]:
        """Return the last write of each key that a copy may lack, the oldest first."""
        since = self._now() - COPY_SECONDS
        by_key = {each.key: each for each in self._writes if each.at >= since}
        return tuple(sorted(by_key.values(), key=lambda each: each.position))


def is_newer(write: WrittenDocument, mark: WriteStamp, version: int, era: int) -> bool:
    """Tell whether a write is newer than what the store has now.

    Parameters
    ----------
    mark : Mark
        Mark of the document that the store has.
    version : int
        The store's own number of that document's row in its present era.
    era : int
        Present era of the store.
    """
    if mark.era >= era:
        return False
    # A row that the copy had has kept the number of its own era.
    return (mark.origin or position(mark.era, version)) < write.position
