"""One UDP socket over the circuits poller."""

import socket
from collections.abc import Callable

from circuits import BaseComponent, handler
from circuits.core.utils import findcmp

from flamingofront.connection.poller import READ, DirectPoller, SocketOwner

__all__ = ["DatagramSocket"]

MAX_DATAGRAM_BYTES = 60 * 1024
# Datagrams read at one turn of the event loop, so that a flood cannot hold up requests.
MAX_READS_PER_TURN = 64


class DatagramSocket(BaseComponent, SocketOwner):
    """Sends and receives datagrams; what does not fit into the kernel's buffer is lost.

    Parameters
    ----------
    bind : tuple of (str, int)
        Address and port.
    on_datagram : callable
        Gets the bytes of each datagram and the IP number of its sender.
    on_fault : callable
        Gets each error of the socket.
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

    def send(self, data: bytes, address: tuple[str, int]) -> None:
        """Send one datagram now, or lose it."""
        try:
            self._sock.sendto(data, address)
        except BlockingIOError:
            return  # a lost report is made good by the next one
        except OSError as exc:
            self._on_fault(exc)

    @handler("registered", channel="*")
    def _on_registered(self, component, manager) -> None:
        if component is self:
            findcmp(self.root, DirectPoller).watch(self._sock, self, READ)

    def on_readable(self, sock: socket.socket) -> None:
        """Read the datagrams that have arrived."""
        for _ in range(MAX_READS_PER_TURN):
            try:
                data, address = sock.recvfrom(MAX_DATAGRAM_BYTES)
            except BlockingIOError:
                return
            except OSError as exc:
                self._on_fault(exc)
                return
            self._on_datagram(data, address[0])

    def on_writable(self, sock: socket.socket) -> None:
        """Do nothing: what the kernel does not take at once is lost."""

    def on_socket_error(self, sock: socket.socket) -> None:
        """Read the error of the socket, which clears it."""
        self.on_readable(sock)
