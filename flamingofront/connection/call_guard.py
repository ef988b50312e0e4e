"""Interface between a call on its way and the part of the process that decides on it.

Whatever is checked before a call begins may have changed by the time at which its bytes are sent: a
connection has to be established first, and the process may be busy or stand still meanwhile.
"""

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
    """Decides, right before bytes of one call are sent, whether it may still be sent."""

    @abstractmethod
    def may_send(self) -> bool:
        """Return True if bytes may be sent now; asked before each write to the connection.

        Notes
        -----
        The call fails with `SEND_WITHDRAWN` otherwise. Its receiver gets no further byte, and
        nothing at all unless the call fails as written.
        """

    def record(self, step: CallStep) -> None:  # noqa: B027
        """Record that the call has reached a step; ignored by default."""
