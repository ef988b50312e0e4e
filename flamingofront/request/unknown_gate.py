"""Check that the configuration is current before a request with an unknown route or key fails."""

from abc import ABC, abstractmethod
from collections.abc import Callable

__all__ = ["AssumedFreshness", "ConfigFreshness"]


class ConfigFreshness(ABC):
    """Checks whether the active configuration is the newest.

    A route or key that is missing from it may have been added in a newer version.
    """

    @abstractmethod
    def is_current(self) -> bool:
        """Return True if the active configuration is known to be the newest."""

    @abstractmethod
    def verify(self, on_result: Callable[[bool], None]) -> None:
        """Check for a newer configuration and pass the result to `on_result`, possibly later."""


class AssumedFreshness(ConfigFreshness):
    """Assumes that the active configuration is the newest."""

    def is_current(self) -> bool:
        """Return True."""
        return True

    def verify(self, on_result: Callable[[bool], None]) -> None:
        """Report success at once."""
        on_result(True)
