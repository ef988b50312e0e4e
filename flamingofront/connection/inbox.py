"""Datagrams that were received and wait to be processed.

A process that is behind would otherwise work through old messages in the order in which they came,
while the kernel drops the newest ones for want of room.
"""

from collections import OrderedDict
from collections.abc import Callable, Hashable
from dataclasses import dataclass

__all__ = ["DatagramInbox", "DatagramKind", "ReceivedDatagram", "classify_alike"]

# Limit on waiting datagrams; a process hears some ten a second.
MAX_WAITING = 1024
# Datagrams that wait for less are all processed: one may tell what the next one does not repeat.
MIN_WAIT_SECONDS = 0.25


@dataclass(frozen=True)
class DatagramKind:
    """How a datagram is treated while it waits.

    Parameters
    ----------
    is_urgent : bool
        True if it is processed before the others.
    subject : hashable, optional
        What it is about; a newer one from the same sender takes its place once it has waited for
        long. None if none does.
    """

    is_urgent: bool = False
    subject: Hashable = None


@dataclass(frozen=True)
class ReceivedDatagram:
    """A datagram, its sender, and the time from which on it may have waited."""

    data: bytes
    ip: str
    unread_since: float


ALIKE = DatagramKind()


def classify_alike(data: bytes) -> DatagramKind:
    """Treat all datagrams alike."""
    return ALIKE


class DatagramInbox:
    """Queue of received datagrams, the urgent ones first, without those that are outdated.

    Parameters
    ----------
    classify : callable
        Returns the `DatagramKind` of a datagram.

    Attributes
    ----------
    replaced, dropped : int
        Datagrams that were not processed, since a newer one came or too many waited.
    """

    def __init__(self, classify: Callable[[bytes], DatagramKind] = classify_alike):
        self._classify = classify
        self._urgent: OrderedDict[Hashable, ReceivedDatagram] = OrderedDict()
        self._others: OrderedDict[Hashable, ReceivedDatagram] = OrderedDict()
        self._number = 0
        self.replaced = 0
        self.dropped = 0

    def __len__(self) -> int:
        """Return the number of waiting datagrams."""
        return len(self._urgent) + len(self._others)

    def put(self, datagram: ReceivedDatagram) -> None:
        """Add a datagram, in place of one on the same subject that has waited for long."""
        kind = self._classify(datagram.data)
        self._number += 1
        key = self._number if kind.subject is None else (datagram.ip, kind.subject)
        queue = self._urgent if kind.is_urgent else self._others
        known = queue.get(key)
        if known is not None and datagram.unread_since - known.unread_since < MIN_WAIT_SECONDS:
            key = self._number
        elif known is not None:
            self.replaced += 1
        queue[key] = datagram
        if len(self) > MAX_WAITING:
            (self._others or self._urgent).popitem(last=False)
            self.dropped += 1

    def take(self, urgent_only: bool = False) -> ReceivedDatagram | None:
        """Remove and return the next datagram; None if none waits."""
        queue = self._urgent or (None if urgent_only else self._others)
        return queue.popitem(last=False)[1] if queue else None
