"""UDP socket that is served by the poller."""

import socket
from collections.abc import Callable

from circuits import BaseComponent, handler
from circuits.core.utils import findcmp

from flamingofront.connection.poller import READ, DirectPoller, SocketOwner

__all__ = ["DatagramSocket"]

MAX_DATAGRAM_BYTES = 60 * 1024
# Limits the datagrams read per turn of the event loop, so that a flood does not delay requests.
MAX_READS_PER_TURN = 64


class DatagramSocket(BaseComponent, SocketOwner):
    """Sends and receives datagrams; those that do not fit into the kernel's buffer are lost.

    Parameters
    ----------
    bind : tuple of (str, int)
        Address and port to bind to.
    on_datagram : callable
        Called with the bytes of each datagram and the IP address of its sender.
    on_fault : callable
        Called with each error of the socket.
    """

    channel = "datagrams"

    def __init__(
        self,
        bind: tuple[str, int],
        on_datagram: Callable[[bytes, str], None],
        on_fault: Callable[[OSError], None] = lambda exc: None,
    ):
        super().__init__(channel="datagrams")
        self._on_datagram = on_datagram
        self._on_fault = on_fault
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._sock.setblocking(False)
        self._sock.bind(bind)
        self._poller: DirectPoller | None = None
        # Time from which on the datagrams that are read now may have waited.
        self._unread_since = 0.0
        self._has_more = False

    @property
    def address(self) -> tuple[str, int]:
        """IP address and port that this socket is bound to."""
        return self._sock.getsockname()

    def seconds_unread(self) -> float:
        """Return the longest time for which the datagram that is read now may have waited.

        Notes
        -----
        It is a few milliseconds unless this process was busy or stood still.
        """
        return 0.0 if self._poller is None else self._poller.seconds_since(self._unread_since)

    def send(self, data: bytes, address: tuple[str, int]) -> None:
        """Send one datagram, or drop it if the send buffer is full."""
        try:
            self._sock.sendto(data, address)
        except BlockingIOError:
            return  # the next report replaces a lost one
        except OSError as exc:
            self._on_fault(exc)

    @handler("registered", channel="*")
    def _on_registered(self, component, manager) -> None:
        if component is self:
            self._poller = findcmp(self.root, DirectPoller)
            self._poller.watch(self._sock, self, READ)

    def on_readable(self, sock: socket.socket) -> None:
        """Pass the received datagrams to `on_datagram`."""
        if not self._has_more:
            self._unread_since = self._poller.unread_since
        self._has_more = True
        for _ in range(MAX_READS_PER_TURN):
            try:
                data, address = sock.recvfrom(MAX_DATAGRAM_BYTES)
            except BlockingIOError:
                self._has_more = False
                return
            except OSError as exc:
                self._on_fault(exc)
                return
            self._on_datagram(data, address[0])

    def on_writable(self, sock: socket.socket) -> None:
        """Do nothing: no datagrams are queued for sending."""

    def on_socket_error(self, sock: socket.socket) -> None:
        """Read from the socket, which reports and clears its error."""
        self.on_readable(sock)
