"""Interface between a call on its way and the part of the process that decides on it.

Whatever is checked before a call begins may have changed by the time at which its bytes are sent: a
connection has to be established first, and the process may be busy or stand still meanwhile.
"""

from abc import ABC, abstractmethod
from enum import StrEnum

__all__ = ["ACK_TIMEOUT_SECONDS", "MAX_DELIVERY_SECONDS", "CallGuard", "CallStep"]

# `OutboundCall.ack_timeout` of calls that must not arrive late. The kernel counts it from its first
# true retransmission, after two of its own timeouts.
ACK_TIMEOUT_SECONDS = 0.5
# Longest time from the last write of such a call until its target can receive it: the last segment
# that the kernel sends again leaves within 1 s, for round trips of up to 0.3 s.
MAX_DELIVERY_SECONDS = 1.1


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
