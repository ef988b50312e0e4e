"""Bound on the memory of all responses in progress that are collected as a whole.

A faulty endpoint may send bytes without end. Each response is bounded, but many of them together
would exceed the memory of a small VM.
"""

from abc import ABC, abstractmethod
from collections.abc import Callable
from weakref import ref

from flamingofront.decisions.memory_account import MemoryAccount, MemoryKind

__all__ = ["CollectedResponse", "ResponseMemory"]

MAX_TOTAL_BYTES = 32 * 1024 * 1024
# Smaller responses are not counted; a thousand of them fit.
MIN_COUNTED_BYTES = 32 * 1024


class CollectedResponse(ABC):
    """A response whose body is collected before it is passed on."""

    @abstractmethod
    def give_up(self, reason: str) -> None:
        """End the attempt that receives the response, and drop what it has collected."""


class ResponseMemory:
    """Counts the bytes of large responses in progress, and ends the largest ones.

    Responses whose attempts were cancelled are not referenced any more and do not count.
    """

    def __init__(self):
        self._sizes: dict[ref[CollectedResponse], int] = {}
        self._total = 0
        self._now: Callable[[], float] = lambda: 0.0
        self._holding = MemoryAccount(2 * MAX_TOTAL_BYTES).open(lambda: None)

    def use_account(self, memory: MemoryAccount, now: Callable[[], float]) -> None:
        """Enter the responses in the account of the process."""
        self._holding = memory.open(lambda: None)
        self._now = now

    @property
    def total(self) -> int:
        """Number of bytes of the counted responses."""
        return self._total

    def record(self, response: CollectedResponse, size: int) -> None:
        """Record the size of a response, which may end it or a larger one."""
        if size < MIN_COUNTED_BYTES:
            return
        self._set_size(ref(response, self._remove), size)
        while self._total and not self._has_room():
            largest = max(self._sizes, key=self._sizes.__getitem__)()
            self.forget(largest)
            largest.give_up("the responses in progress are too large together")

    def _has_room(self) -> bool:
        """Reserve the memory of all responses; return False if there is too little."""
        is_bounded = self._total <= MAX_TOTAL_BYTES
        return is_bounded and self._holding.reserve(MemoryKind.ANSWERS, self._total, self._now())

    def forget(self, response: CollectedResponse) -> None:
        """Stop counting a response that has ended."""
        self._remove(ref(response))

    def _remove(self, key: "ref[CollectedResponse]") -> None:
        if key in self._sizes:
            self._set_size(key, 0)
            # A smaller size is never refused.
            self._holding.reserve(MemoryKind.ANSWERS, self._total, self._now())

    def _set_size(self, key: "ref[CollectedResponse]", size: int) -> None:
        """Set the counted size of a response; 0 if it does not count any more."""
        self._total += size - self._sizes.pop(key, 0)
        if size:
            self._sizes[key] = size
