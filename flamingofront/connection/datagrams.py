"""UDP socket that is served by the poller."""

import socket
from collections.abc import Callable

from circuits import BaseComponent, handler
from circuits.core.utils import findcmp

from flamingofront.connection.inbox import (
    DatagramInbox,
    DatagramKind,
    ReceivedDatagram,
    classify_alike,
)
from flamingofront.connection.poller import READ, DirectPoller, UrgentOwner

__all__ = ["DatagramSocket"]

MAX_DATAGRAM_BYTES = 60 * 1024
# Limit on the datagrams processed per turn of the event loop, so that a flood does not delay
# requests; all others are received, and wait here.
MAX_PROCESSED_PER_TURN = 64
# Limit on those received at a time.
MAX_RECEIVED = 256


class DatagramSocket(BaseComponent, UrgentOwner):
    """Sends and receives datagrams; those that do not fit into the kernel's buffer are lost.

    In a long turn of the event loop it is served several times, so that this buffer stays empty and
    urgent datagrams do not wait for its end.

    Parameters
    ----------
    bind : tuple of (str, int)
        Address and port to bind to.
    on_datagram : callable
        Called with the bytes of each datagram and the IP address of its sender.
    on_fault : callable
        Called with each error of the socket.
    classify : callable
        Returns the `DatagramKind` of a datagram.

    Attributes
    ----------
    inbox : DatagramInbox
        Datagrams that wait to be processed.
    """

    channel = "datagrams"

    def __init__(
        self,
        bind: tuple[str, int],
        on_datagram: Callable[[bytes, str], None],
        on_fault: Callable[[OSError], None] = lambda exc: None,
        classify: Callable[[bytes], DatagramKind] = classify_alike,
    ):
        super().__init__(channel="datagrams")
        self._on_datagram = on_datagram
        self._on_fault = on_fault
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._sock.setblocking(False)
        self._sock.bind(bind)
        self._poller: DirectPoller | None = None
        self.inbox = DatagramInbox(classify)
        # Time from which on the datagram that is processed now may have waited.
        self._unread_since = 0.0
        # The same for what is in the kernel's buffer.
        self._buffered_since = 0.0
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
        """Receive all datagrams, and pass some of them to `on_datagram`."""
        received = self._receive()
        if len(received) == 1 and not len(self.inbox):
            # The usual case, without the queue.
            self._unread_since = self._buffered_since
            self._on_datagram(*received[0])
            return
        self._put(received)
        self._process(urgent_only=False)

    def serve_urgent(self) -> None:
        """Receive all datagrams, and process the urgent ones."""
        self._put(self._receive())
        self._process(urgent_only=True)

    def serve_rest(self) -> None:
        """Process datagrams that were received in an earlier turn."""
        self.on_readable(self._sock)

    def _receive(self) -> list[tuple[bytes, str]]:
        """Return the datagrams in the kernel's buffer, each with the IP address of its sender."""
        if not self._has_more:
            self._buffered_since = self._poller.unread_since
        self._has_more = True
        received = []
        try:
            while len(received) < MAX_RECEIVED:
                data, address = self._sock.recvfrom(MAX_DATAGRAM_BYTES)
                received.append((data, address[0]))
        except BlockingIOError:
            self._has_more = False
        except OSError as exc:
            self._on_fault(exc)
        return received

    def _put(self, received: list[tuple[bytes, str]]) -> None:
        for data, ip in received:
            self.inbox.put(ReceivedDatagram(data, ip, self._buffered_since))

    def _process(self, urgent_only: bool) -> None:
        """Process some of the datagrams that wait; the rest follows in the next turn."""
        try:
            for _ in range(MAX_PROCESSED_PER_TURN):
                datagram = self.inbox.take(urgent_only)
                if datagram is None:
                    break
                self._unread_since = datagram.unread_since
                self._on_datagram(datagram.data, datagram.ip)
        finally:
            # Also after an exception: nothing else would wake this socket for what waits here.
            if len(self.inbox):
                self._poller.serve_again(self)

    def on_writable(self, sock: socket.socket) -> None:
        """Do nothing: no datagrams are queued for sending."""

    def on_socket_error(self, sock: socket.socket) -> None:
        """Read from the socket, which reports and clears its error."""
        self.on_readable(sock)
