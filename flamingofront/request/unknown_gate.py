"""Where a request waits that names a route or key which this process does not know."""

from abc import ABC, abstractmethod
from collections.abc import Callable

__all__ = ["AssumedFreshness", "ConfigFreshness"]


class ConfigFreshness(ABC):
    """Tells whether a route or key that is not known here is unknown everywhere."""

    @abstractmethod
    def is_current(self) -> bool:
        """Tell whether the configuration in force is known to be the newest."""

    @abstractmethod
    def verify(self, then: Callable[[bool], None]) -> None:
        """Find that out; `then` gets the outcome, soon."""


class AssumedFreshness(ConfigFreshness):
    """Takes the configuration in force for the newest."""

    def is_current(self) -> bool:
        """Return True."""
        return True

    def verify(self, then: Callable[[bool], None]) -> None:
        """Answer at once."""
        then(True)
