"""Abstract interfaces between request handling and the network.

The daemon implements them with circuits sockets; tests implement them in memory.
"""

from abc import ABC, abstractmethod
from collections.abc import Callable
from enum import StrEnum

from flamingofront.messages import (
    CallFailed,
    OutboundCall,
    ResponseData,
    ResponseEnd,
    ResponseHead,
)

__all__ = ["CallEvent", "CallHandle", "ConnectResult", "Exchange", "Transport"]

CallEvent = ResponseHead | ResponseData | ResponseEnd | CallFailed


class ConnectResult(StrEnum):
    """Result of a connection probe."""

    CONNECTED = "connected"
    """A process listens at the address."""
    REFUSED = "refused"
    """The VM refuses the connection: no process listens at the address."""
    UNANSWERED = "unanswered"
    """No response in time: the VM is down or partitioned."""


class CallHandle(ABC):
    """Handle of an outgoing call in flight."""

    @abstractmethod
    def cancel(self) -> None:
        """Cancel the call; no event is delivered afterwards."""

    @property
    @abstractmethod
    def wrote(self) -> bool:
        """True if bytes of the request may have been sent; if False, none was sent."""


class Transport(ABC):
    """Client for calls to peers, endpoints and the platform."""

    @abstractmethod
    def start(self, call: OutboundCall, listener: Callable[[CallEvent], None]) -> CallHandle:
        """Start a call; the last event that `listener` gets is `ResponseEnd` or `CallFailed`.

        No event comes before the handle is returned.
        """

    @abstractmethod
    def probe(
        self, address: str, timeout: float, listener: Callable[[ConnectResult], None]
    ) -> None:
        """Open a connection, close it, and pass the result to `listener`.

        Parameters
        ----------
        timeout : float
            Seconds without a response after which the result is ``UNANSWERED``.
        """

    @abstractmethod
    def has_idle(self, address: str) -> bool:
        """Return True if the next call to an address can use an idle connection."""

    @abstractmethod
    def drop_idle(self, address: str) -> None:
        """Close the idle connections to an address whose process has ended."""


class Exchange(ABC):
    """Response channel of one request.

    Attributes
    ----------
    on_disconnect : callable, optional
        Called when the caller disconnects before the response is complete.
    """

    on_disconnect: Callable[[], None] | None = None

    @abstractmethod
    def respond(self, status: int, headers: tuple[tuple[str, str], ...], body: bytes) -> None:
        """Send a complete response."""

    @abstractmethod
    def begin(self, status: int, headers: tuple[tuple[str, str], ...]) -> None:
        """Start a streamed response by sending its head."""

    @abstractmethod
    def send(self, data: bytes) -> bool:
        """Send a part of a streamed response; False if the caller is too slow or disconnected."""

    @abstractmethod
    def finish(self) -> None:
        """End a streamed response."""

    @abstractmethod
    def abort(self) -> None:
        """Close the connection, which shows the caller that the response is incomplete."""
