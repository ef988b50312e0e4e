"""Abstract interfaces between the decisions and the sockets.

The daemon implements them over circuits; tests implement them in memory.
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

__all__ = ["CallEvent", "CallHandle", "Exchange", "ConnectResult", "Transport"]

CallEvent = ResponseHead | ResponseData | ResponseEnd | CallFailed


class ConnectResult(StrEnum):
    """What became of an attempt to connect."""

    CONNECTED = "connected"
    """A process listens there."""
    REFUSED = "refused"
    """The VM answers, and no process listens there."""
    UNANSWERED = "unanswered"
    """Nothing came back: no power, or a partition."""


class CallHandle(ABC):
    """A call in flight."""

    @abstractmethod
    def cancel(self) -> None:
        """Give the call up; no event is delivered afterwards."""

    @property
    @abstractmethod
    def wrote(self) -> bool:
        """False only while it is certain that no byte has reached the network."""


class Transport(ABC):
    """Sends calls to peers, endpoints and the platform."""

    @abstractmethod
    def start(self, call: OutboundCall, listener: Callable[[CallEvent], None]) -> CallHandle:
        """Begin a call; `listener` gets its events, the last one `ResponseEnd` or `CallFailed`."""

    @abstractmethod
    def probe(
        self, address: str, timeout: float, listener: Callable[[ConnectResult], None]
    ) -> None:
        """Open a connection, close it again, and tell what became of it.

        Parameters
        ----------
        timeout : float
            Seconds after which the address counts as unanswered.
        """

    @abstractmethod
    def drop_idle(self, address: str) -> None:
        """Close the idle connections to an address: whoever had it has gone."""


class Exchange(ABC):
    """The caller's side of one request: where its answer goes."""

    on_disconnect: Callable[[], None] | None = None

    @abstractmethod
    def respond(self, status: int, headers: tuple[tuple[str, str], ...], body: bytes) -> None:
        """Send a whole answer."""

    @abstractmethod
    def begin(self, status: int, headers: tuple[tuple[str, str], ...]) -> None:
        """Send the head of a streamed answer."""

    @abstractmethod
    def send(self, data: bytes) -> bool:
        """Send a part of a streamed answer; False if the caller reads too slowly or is gone."""

    @abstractmethod
    def finish(self) -> None:
        """End a streamed answer."""

    @abstractmethod
    def abort(self) -> None:
        """Break the connection, so that a cut answer cannot look like a whole one."""
