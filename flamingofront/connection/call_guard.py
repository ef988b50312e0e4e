"""Interface between a call on its way and the part of the process that answers for it."""

from abc import ABC, abstractmethod
from enum import StrEnum

__all__ = ["CallGuard", "CallStep"]


class CallStep(StrEnum):
    """Step of a call between its start and its response."""

    CONNECTING = "connecting"
    """A new connection was requested; does not happen if an idle one is used."""
    CONNECTED = "connected"
    """The new connection is established."""
    WRITTEN = "written"
    """The last byte was passed to the kernel."""


class CallGuard(ABC):
    """Follows the steps of one call."""

    @abstractmethod
    def record(self, step: CallStep) -> None:
        """Record that the call has reached a step."""
