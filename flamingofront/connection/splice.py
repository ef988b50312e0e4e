"""Connections of callers that a peer serves: bytes pass in both directions unread.

An overloaded process hands new connections to a peer that has room. Copying bytes costs it a
fraction of what a request does. Nothing is read from the caller before the connection to the peer
is established, so that a connection that cannot be handed over is reset unread.
"""

import contextlib
import errno
import socket
from collections import Counter
from collections.abc import Callable
from enum import StrEnum

from circuits import BaseComponent
from circuits.core.utils import findcmp

from flamingofront.connection.poller import READ, WRITE, DirectPoller, SocketOwner
from flamingofront.connection.sockets import RESET_ON_CLOSE, enable_keepalive
from flamingofront.decisions.memory_account import MemoryAccount, MemoryKind
from flamingofront.process.timers import Timer, TimerService

__all__ = ["ConnectionSplicer", "SpliceEnd"]

READ_BYTES = 64 * 1024
# Reading from one side stops while the other side has not taken so much.
MAX_UNSENT_BYTES = 256 * 1024
# A lost SYN is retransmitted after 1 s, which is as long as callers wait.
CONNECT_TIMEOUT_SECONDS = 0.25
# Each takes two sockets.
MAX_SPLICES = 512
# Size of the account of a splicer that is given none.
DEFAULT_MEMORY_BYTES = 32 * 1024 * 1024


class SpliceEnd(StrEnum):
    """How a spliced connection ended."""

    CLOSED = "closed"
    """One side closed it."""
    RESET = "reset"
    """One side reset it."""
    NOT_CONNECTED = "not connected"
    """The peer accepted no connection, and the caller's was reset unread."""
    EVICTED = "evicted"
    """The bytes in between were not taken, and this process needed their memory."""


class _Splice(SocketOwner):
    """The connection of a caller, and the one to the peer that serves it.

    Parameters
    ----------
    address : str
        Address of the peer.
    """

    def __init__(self, splicer: "ConnectionSplicer", caller: socket.socket, address: str):
        self._splicer = splicer
        self.address = address
        self._caller = caller
        self._peer = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        for sock in (self._caller, self._peer):
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            enable_keepalive(sock)
        self._other = {self._caller: self._peer, self._peer: self._caller}
        self._unsent = {self._caller: bytearray(), self._peer: bytearray()}
        self._finished: set[socket.socket] = set()
        self._is_connected = False
        self._is_idle = True
        self._is_answered = False
        self._is_ended = False
        self._timer: Timer | None = None
        self._holding = splicer.memory.open(lambda: self.end(SpliceEnd.EVICTED))
        self._held = 0

    def connect(self) -> None:
        """Start to connect to the peer."""
        host, _, port = self.address.rpartition(":")
        code = self._peer.connect_ex((host, int(port)))
        has_failed = code not in (0, errno.EINPROGRESS)
        if not has_failed:
            self._splicer.find_poller().watch(self._peer, self, WRITE)
        seconds = 0.0 if has_failed else CONNECT_TIMEOUT_SECONDS
        self._timer = self._splicer.timers.once(seconds, lambda: self.end(SpliceEnd.NOT_CONNECTED))

    def on_readable(self, sock: socket.socket) -> None:
        """Copy bytes from one side to the other; at the end of a stream close both."""
        try:
            data = sock.recv(READ_BYTES)
        except BlockingIOError:
            return
        except OSError:
            self.end(SpliceEnd.RESET)
            return
        if data:
            self._is_idle = False
            if sock is self._peer:
                self._record_answer()
            self._send(self._other[sock], data)
        elif sock is self._caller or not self._unsent[self._caller]:
            self.end(SpliceEnd.CLOSED)
        else:
            self._finished.add(sock)
            self._update(sock)

    def _record_answer(self) -> None:
        """Record that the peer has begun to answer, or that it will not."""
        if not self._is_answered:
            self._is_answered = True
            self._splicer.unanswered[self.address] -= 1

    def _send(self, sock: socket.socket, data: bytes) -> None:
        self._unsent[sock] += data
        self.on_writable(sock)

    def on_writable(self, sock: socket.socket) -> None:
        """Send what the other side has sent, or begin to copy once the peer is connected."""
        if not self._is_connected:
            self._begin()
            return
        unsent = self._unsent[sock]
        try:
            sent = sock.send(unsent)
            del unsent[:sent]
        except BlockingIOError:
            sent = 0
        except OSError:
            self.end(SpliceEnd.RESET)
            return
        if not unsent and self._other[sock] in self._finished:
            self.end(SpliceEnd.CLOSED)
            return
        self._update(sock)
        self._update(self._other[sock])
        self._record_held(sent > 0)

    def _record_held(self, has_progress: bool) -> None:
        """Enter the bytes in between in the account."""
        held = sum(map(len, self._unsent.values()))
        if held == self._held:
            return
        self._held = held
        now = self._splicer.timers.now()
        if has_progress:
            self._holding.record_progress(now)
        self._holding.record(MemoryKind.COPIED, held, now)

    def _begin(self) -> None:
        if self._peer.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
            self.end(SpliceEnd.NOT_CONNECTED)
            return
        self._timer.cancel()
        self._is_connected = True
        self._update(self._peer)
        self._update(self._caller)

    def _update(self, sock: socket.socket) -> None:
        """Watch a socket for what can be done with it."""
        is_full = len(self._unsent[self._other[sock]]) > MAX_UNSENT_BYTES
        mask = 0 if is_full or sock in self._finished else READ
        if self._unsent[sock]:
            mask |= WRITE
        self._splicer.find_poller().watch(sock, self, mask)

    def on_socket_error(self, sock: socket.socket) -> None:
        """End with the side that failed."""
        self.end(SpliceEnd.RESET if self._is_connected else SpliceEnd.NOT_CONNECTED)

    def close_if_idle(self) -> None:
        """Close both connections unless the caller has sent something."""
        if self._is_connected and self._is_idle:
            self.on_readable(self._caller)
        if self._is_idle:
            self.end(SpliceEnd.CLOSED)

    def end(self, how: SpliceEnd) -> None:
        """Close both connections."""
        if self._is_ended:
            return
        self._is_ended = True
        self._record_answer()
        if self._timer is not None:
            self._timer.cancel()
        self._holding.close()
        for sock in (self._caller, self._peer):
            self._splicer.find_poller().unwatch(sock)
            if how is not SpliceEnd.CLOSED:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            else:
                with contextlib.suppress(OSError):  # the other end has closed it already
                    sock.shutdown(socket.SHUT_RDWR)
            sock.close()
        self._splicer.remove(self, how)


class ConnectionSplicer(BaseComponent):
    """Hands connections of callers to peers.

    Parameters
    ----------
    on_end : callable
        Called with the address of the peer and the `SpliceEnd` of each spliced connection.
    memory : MemoryAccount, optional
        Account of what the connections hold.

    Attributes
    ----------
    max_open : int
        Maximum number of connections.
    unanswered : Counter of str
        Connections at each address on which nothing has come from the peer yet.
    """

    channel = "splicer"

    def __init__(
        self,
        timers: TimerService,
        on_end: Callable[[str, SpliceEnd], None],
        memory: MemoryAccount | None = None,
    ):
        super().__init__(channel="splicer")
        self.timers = timers
        self.memory = memory or MemoryAccount(DEFAULT_MEMORY_BYTES)
        self.max_open = MAX_SPLICES
        self._poller: DirectPoller | None = None
        self.unanswered: Counter[str] = Counter()
        self._on_end = on_end
        self._splices: set[_Splice] = set()

    def find_poller(self) -> DirectPoller:
        """Return the poller; a connection may come before the event of the registration."""
        if self._poller is None:
            self._poller = findcmp(self.root, DirectPoller)
        return self._poller

    @property
    def has_room(self) -> bool:
        """True if another connection can be handed over."""
        return len(self._splices) < self.max_open

    def count_open(self) -> int:
        """Return the number of connections that are open."""
        return len(self._splices)

    def close_idle(self) -> None:
        """Close the connections whose callers have not sent anything."""
        for each in list(self._splices):
            each.close_if_idle()

    def start(self, caller: socket.socket, address: str) -> None:
        """Hand a connection over to a peer; it is not to be used by others any more.

        Parameters
        ----------
        address : str
            ``IP:PORT`` at which the peer accepts such connections.
        """
        splice = _Splice(self, caller, address)
        self._splices.add(splice)
        self.unanswered[address] += 1
        splice.connect()

    def remove(self, splice: _Splice, how: SpliceEnd) -> None:
        """Forget a connection that has ended."""
        self._splices.discard(splice)
        self._on_end(splice.address, how)
