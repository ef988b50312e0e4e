"""Bound on the memory of all responses in progress that are collected as a whole.

A faulty endpoint may send bytes without end. Each response is bounded, but many of them together
would exceed the memory of a small VM.
"""

from abc import ABC, abstractmethod
from weakref import WeakKeyDictionary

__all__ = ["CollectedResponse", "ResponseMemory"]

MAX_TOTAL_BYTES = 32 * 1024 * 1024
# Smaller responses are not counted; thousands of them fit.
MIN_COUNTED_BYTES = 256 * 1024


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
        self._sizes: WeakKeyDictionary[CollectedResponse, int] = WeakKeyDictionary()

    @property
    def total(self) -> int:
        """Number of bytes of the counted responses."""
        return sum(self._sizes.values())

    def record(self, response: CollectedResponse, size: int) -> None:
        """Record the size of a response, which may end it or a larger one."""
        if size < MIN_COUNTED_BYTES:
            return
        self._sizes[response] = size
        while self.total > MAX_TOTAL_BYTES:
            largest = max(self._sizes, key=self._sizes.__getitem__)
            self.forget(largest)
            largest.give_up("the responses in progress are too large together")

    def forget(self, response: CollectedResponse) -> None:
        """Stop counting a response that has ended."""
        self._sizes.pop(response, None)
