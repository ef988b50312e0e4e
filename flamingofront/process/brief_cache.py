"""Values that are read far more often than they change."""

from collections.abc import Callable, Hashable
from typing import Generic, TypeVar

__all__ = ["BriefCache"]

T = TypeVar("T")


class BriefCache(Generic[T]):
    """Keeps computed values for a short time, by key.

    Parameters
    ----------
    seconds : float
        Time after which a value is computed again.
    now : callable
        Time of the timer service.
    """

    def __init__(self, seconds: float, now: Callable[[], float]):
        self._seconds = seconds
        self._now = now
        self._values: dict[Hashable, T] = {}
        self._expires_at = 0.0

    def get(self, key: Hashable, compute: Callable[[], T]) -> T:
        """Return the value of a key, computed now if it is not kept."""
        now = self._now()
        if now >= self._expires_at:
            self._values.clear()
            self._expires_at = now + self._seconds
        if key not in self._values:
            self._values[key] = compute()
        return self._values[key]

    def clear(self) -> None:
        """Forget all values, after a change that has to show at once."""
        self._values.clear()
