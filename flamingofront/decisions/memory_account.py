"""Account of the memory that connections hold in a process, and the choice of those to end.

A limit on each request does not bound all of them together. This account does: whatever a
connection makes the process keep is entered here in bytes, by kind, before it is kept where the
size is known. While there is no room, connections that wait for their callers are ended, those
without progress for longest first. A request that has been received whole is never ended in favour
of one that has not.
"""

from abc import ABC, abstractmethod
from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from enum import StrEnum

__all__ = ["MemoryAccount", "MemoryHolding", "MemoryKind", "MemoryObserver", "MemoryState"]

# A connection that waits for its caller and has made no progress for so long may be ended.
STALL_SECONDS = 1.0
# Part of the account that is left to connections that hold little, so that a few large bodies
# do not keep out ordinary requests.
SMALL_SHARE = 0.25
MAX_SMALL_BYTES = 256 * 1024
# The account has room again once no more than this part of it is used.
ROOM_SHARE = 0.5


class MemoryKind(StrEnum):
    """What memory is held for."""

    CONNECTION = "connection"
    """State of an open connection."""
    RECEIVING = "receiving"
    """Head and body of a request that is not complete; an announced body counts in full."""
    REQUEST = "request"
    """Complete request, until it is answered."""
    PIPELINED = "pipelined"
    """Bytes that follow a request in progress."""
    ANSWERS = "answers"
    """Responses of endpoints that are collected before they are passed on."""
    UNSENT = "unsent"
    """Bytes of a response that the caller has not taken yet."""
    COPIED = "copied"
    """Bytes that are copied between a caller and the peer that serves it."""


# Kinds that are held until the caller, or a peer, sends or reads more.
_AWAITING_KINDS = (MemoryKind.RECEIVING, MemoryKind.UNSENT, MemoryKind.COPIED)


@dataclass(frozen=True)
class MemoryState:
    """State of an account, for logs and metrics; sizes are in bytes.

    Parameters
    ----------
    size, used : int
        Size of the account, and how much of it is used.
    by_kind : mapping of MemoryKind to int
        Used bytes by kind.
    refused, evicted : int
        Reservations refused and connections ended since the account was last full.
    """

    size: int
    used: int = 0
    by_kind: Mapping[MemoryKind, int] = field(default_factory=dict)
    refused: int = 0
    evicted: int = 0


class MemoryObserver(ABC):
    """Receiver of the decisions of an account."""

    @abstractmethod
    def record_refusal(self, kind: MemoryKind) -> None:
        """Record that a reservation was refused."""

    @abstractmethod
    def record_eviction(self, kind: MemoryKind) -> None:
        """Record that a connection was ended for the memory that it holds."""

    @abstractmethod
    def record_full(self, state: MemoryState) -> None:
        """Record that the account has no room any more."""

    @abstractmethod
    def record_room(self, state: MemoryState) -> None:
        """Record that the account has room again."""


class _NoObserver(MemoryObserver):
    """Observer that records nothing."""

    def record_refusal(self, kind: MemoryKind) -> None:
        """Do nothing."""

    def record_eviction(self, kind: MemoryKind) -> None:
        """Do nothing."""

    def record_full(self, state: MemoryState) -> None:
        """Do nothing."""

    def record_room(self, state: MemoryState) -> None:
        """Do nothing."""


class MemoryHolding:
    """Memory that one connection holds.

    Parameters
    ----------
    account : MemoryAccount
        Account that it belongs to.
    on_evict : callable
        Ends the connection and sets the sizes that it then holds.

    Attributes
    ----------
    sizes : dict of MemoryKind to int
        Held bytes by kind.
    total : int
        Held bytes.
    progress_at : float
        Time of the last progress while the connection waits for its caller.
    """

    __slots__ = ("_account", "on_evict", "progress_at", "sizes", "total")

    def __init__(self, account: "MemoryAccount", on_evict: Callable[[], None]):
        self._account = account
        self.on_evict = on_evict
        self.sizes: dict[MemoryKind, int] = {}
        self.total = 0
        self.progress_at = 0.0

    @property
    def awaits_caller(self) -> bool:
        """True while bytes are held until the caller sends or reads more."""
        return any(kind in self.sizes for kind in _AWAITING_KINDS)

    def reserve(self, kind: MemoryKind, size: int, now: float) -> bool:
        """Set the bytes of a kind before they are kept; return False if there is no room.

        Notes
        -----
        Other connections may be ended to make room. A refused reservation changes nothing.
        """
        return self._account.reserve(self, kind, size, now)

    def record(self, kind: MemoryKind, size: int, now: float) -> None:
        """Set the bytes of a kind that are kept already.

        Notes
        -----
        Connections may be ended if there is no room, this one included.
        """
        self._account.record(self, kind, size, now)

    def move(self, source: MemoryKind, target: MemoryKind, size: int) -> None:
        """Hold `size` bytes as another kind instead of what is held as `source`."""
        self.release(source)
        self._account.set_size(self, target, size)

    def release(self, kind: MemoryKind) -> None:
        """Set the bytes of a kind to zero."""
        if kind in self.sizes:
            self._account.set_size(self, kind, 0)

    def record_progress(self, now: float) -> None:
        """Record that the caller has sent or read a part of what is awaited."""
        self._account.record_progress(self, now)

    def close(self) -> None:
        """Release all bytes."""
        for kind in tuple(self.sizes):
            self._account.set_size(self, kind, 0)


class MemoryAccount:
    """Account in bytes of what the connections of a process hold.

    Parameters
    ----------
    size : int
        Bytes that may be held.
    observer : MemoryObserver, optional
        Gets each decision.
    """

    def __init__(self, size: int, observer: MemoryObserver | None = None):
        self.size = size
        self.observer = observer or _NoObserver()
        self._used = 0
        self._by_kind: Counter[MemoryKind] = Counter()
        # Holdings that wait for their callers, in the order of their last progress.
        self._awaiting: dict[MemoryHolding, None] = {}
        self._is_full = False
        self._refused = self._evicted = 0

    @property
    def state(self) -> MemoryState:
        """Current state."""
        by_kind = {kind: self._by_kind[kind] for kind in MemoryKind}
        return MemoryState(self.size, self._used, by_kind, self._refused, self._evicted)

    def open(self, on_evict: Callable[[], None]) -> MemoryHolding:
        """Return the holding of a new connection; see `MemoryHolding`."""
        return MemoryHolding(self, on_evict)

    def reserve(self, holding: MemoryHolding, kind: MemoryKind, size: int, now: float) -> bool:
        """Set the bytes of a kind if there is room; see `MemoryHolding.reserve`."""
        growth = size - holding.sizes.get(kind, 0)
        if growth > 0 and not self._make_room(holding, growth, now):
            self._refused += 1
            self.observer.record_refusal(kind)
            self._enter_full()
            return False
        self.set_size(holding, kind, size)
        self._track(holding, now)
        return True

    def record(self, holding: MemoryHolding, kind: MemoryKind, size: int, now: float) -> None:
        """Set the bytes of a kind; see `MemoryHolding.record`."""
        self.set_size(holding, kind, size)
        self._track(holding, now)
        while self._used > self.size:
            victim = self._find_excess(now)
            if victim is None:
                return
            self._evict(victim)

    def set_size(self, holding: MemoryHolding, kind: MemoryKind, size: int) -> None:
        """Set the bytes of a kind without a check."""
        growth = size - holding.sizes.pop(kind, 0)
        if size:
            holding.sizes[kind] = size
        holding.total += growth
        self._used += growth
        self._by_kind[kind] += growth
        if not size and not holding.awaits_caller:
            self._awaiting.pop(holding, None)
        if growth < 0 and self._is_full and self._used <= self.size * ROOM_SHARE:
            self._leave_full()

    def record_progress(self, holding: MemoryHolding, now: float) -> None:
        """Record progress of a connection; see `MemoryHolding.record_progress`."""
        if holding in self._awaiting:
            del self._awaiting[holding]
            self._track(holding, now)

    def _track(self, holding: MemoryHolding, now: float) -> None:
        """Count the time without progress of a connection that waits for its caller."""
        if holding not in self._awaiting and holding.awaits_caller:
            holding.progress_at = now
            self._awaiting[holding] = None

    def _make_room(self, holding: MemoryHolding, growth: int, now: float) -> bool:
        """End stalled connections until more bytes fit; return False if too few are stalled."""
        is_small = holding.total + growth <= MAX_SMALL_BYTES
        limit = self.size if is_small else int(self.size * (1 - SMALL_SHARE))
        while self._used + growth > limit:
            victim = self._find_stalled(now, holding)
            if victim is None:
                return False
            self._evict(victim)
        return True

    def _find_stalled(self, now: float, spared: MemoryHolding) -> MemoryHolding | None:
        """Return the connection that has been without progress for longest and too long."""
        for each in self._awaiting:
            if each is not spared:
                return each if now - each.progress_at >= STALL_SECONDS else None
        return None

    def _find_excess(self, now: float) -> MemoryHolding | None:
        """Return the connection to end while more is held than the account allows."""
        for each in self._awaiting:
            is_stalled = now - each.progress_at >= STALL_SECONDS
            if is_stalled or each.sizes.get(MemoryKind.UNSENT, 0) > MAX_SMALL_BYTES:
                return each
        return None

    def _evict(self, holding: MemoryHolding) -> None:
        """End a connection that waits for its caller."""
        del self._awaiting[holding]
        self._evicted += 1
        kind = next(each for each in _AWAITING_KINDS if each in holding.sizes)
        self.observer.record_eviction(kind)
        self._enter_full()
        holding.on_evict()

    def _enter_full(self) -> None:
        if not self._is_full:
            self._is_full = True
            self.observer.record_full(self.state)

    def _leave_full(self) -> None:
        self._is_full = False
        self.observer.record_room(self.state)
        self._refused = self._evicted = 0
