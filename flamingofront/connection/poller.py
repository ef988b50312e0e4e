"""Poller that calls the owner of a socket directly.

The pollers of circuits fire an event for each ready socket and poll once per turn of the event
loop. This poller stays in one turn and serves sockets and timers by direct calls until an event is
queued.
"""

import os
import select
import socket
from abc import ABC, abstractmethod
from collections.abc import Callable

from circuits import BaseComponent, handler

from flamingofront.process.timers import TimerService

__all__ = ["READ", "WRITE", "DirectPoller", "SocketOwner", "UrgentOwner"]

READ = select.EPOLLIN
WRITE = select.EPOLLOUT
_SOCKET_ERROR = select.EPOLLHUP | select.EPOLLERR
# Bounds the delay that a missed wake-up can cause.
MAX_POLL_SECONDS = 1.0
# After a turn or a wait that took longer than it should by so much, sockets are polled once more
# before the timers that became due in it: these may compare times of data that waits unread.
LATE_SECONDS = 0.02
# Longest time in one turn after which urgent sockets are served again.
URGENT_SECONDS = 0.02
_MAX_WAKE_UP_BYTES = 64


class SocketOwner(ABC):
    """Receiver of the poller's notifications for its sockets."""

    @abstractmethod
    def on_readable(self, sock: socket.socket) -> None:
        """Handle a socket with data, a new connection or an end of stream to read."""

    @abstractmethod
    def on_writable(self, sock: socket.socket) -> None:
        """Handle a socket that can be written to or has finished connecting."""

    @abstractmethod
    def on_socket_error(self, sock: socket.socket) -> None:
        """Handle a socket that failed and has nothing left to read."""


class UrgentOwner(SocketOwner):
    """Receiver that is served first in each turn, and again in the middle of long ones."""

    @abstractmethod
    def serve_urgent(self) -> None:
        """Read what has come, and handle what must not wait for the end of the turn."""

    @abstractmethod
    def serve_rest(self) -> None:
        """Handle what was read and not handled in an earlier turn."""


class _Watch:
    """Registration of one socket with the poller."""

    __slots__ = ("active", "mask", "owner", "sock")

    def __init__(self, sock: socket.socket, owner: SocketOwner, mask: int):
        self.sock = sock
        self.owner = owner
        self.mask = mask
        self.active = True


class DirectPoller(BaseComponent):
    """Serves sockets and timers from within one turn of the event loop.

    Parameters
    ----------
    timers : TimerService
        Its due callbacks are run by the poller.
    on_fault : callable
        Called with each unhandled exception of a callback or a socket owner.

    Attributes
    ----------
    on_turn : callable
        Called after each turn with the time and the seconds since the end of the wait for events.
    unread_since : float
        Time from which on what is read now may have waited: the sockets were polled before then.

    Notes
    -----
    A datagram costs 27 us of the event loop's thread, instead of 57 us with the poller of circuits
    (5,000 datagrams that arrive one by one, ``python -m bench.loop``).
    """

    channel = "poller"

    def __init__(self, timers: TimerService, on_fault: Callable[[BaseException], None]):
        super().__init__(channel="poller")
        self._timers = timers
        self._on_fault = on_fault
        self.on_turn: Callable[[float, float], None] | None = None
        self._woken_at = timers.now()
        # Time at which the sockets were polled last: what had come by then has been read.
        self._polled_at = self.unread_since = timers.now()
        self._epoll = select.epoll()
        self._watches: dict[int, _Watch] = {}
        self._urgent: list[UrgentOwner] = []
        self._unfinished: list[UrgentOwner] = []
        self._wake_read, self._wake_write = os.pipe()
        for fileno in (self._wake_read, self._wake_write):
            os.set_blocking(fileno, False)
        self._epoll.register(self._wake_read, READ)

    def seconds_since(self, at: float) -> float:
        """Return the seconds since a time of the timer service."""
        return self._timers.now() - at

    def watch(self, sock: socket.socket, owner: SocketOwner, mask: int) -> None:
        """Watch a socket for exactly the events in `mask`, a combination of `READ` and `WRITE`."""
        fileno = sock.fileno()
        registered = self._watches.get(fileno)
        if isinstance(owner, UrgentOwner) and owner not in self._urgent:
            self._urgent.append(owner)
        if registered is None:
            self._watches[fileno] = _Watch(sock, owner, mask)
            self._epoll.register(fileno, mask)
        elif registered.mask != mask:
            registered.mask = mask
            self._epoll.modify(fileno, mask)

    def unwatch(self, sock: socket.socket) -> None:
        """Stop watching a socket; must be called before the socket is closed."""
        watch = self._watches.pop(sock.fileno(), None)
        if watch is not None:
            watch.active = False
            if watch.owner in self._urgent:
                self._urgent.remove(watch.owner)
            self._epoll.unregister(sock.fileno())

    def serve_again(self, owner: UrgentOwner) -> None:
        """Let an owner handle the rest of what it has read in the next turn."""
        if owner not in self._unfinished:
            self._unfinished.append(owner)

    def resume(self) -> None:
        """End the current poll; may be called by a signal handler or another thread."""
        try:
            os.write(self._wake_write, b"\0")
        except BlockingIOError:
            return  # the pipe is full, so a wake-up is pending already

    @handler("generate_events", channel="*", priority=1)
    def _on_generate_events(self, event) -> None:
        event.stop()
        while True:
            self._run_timers()
            if len(self.root) or not self.root.running:
                return
            self._serve_ready(self._get_poll_timeout())

    def _run_timers(self) -> None:
        is_late = self._timers.now() - self._polled_at > LATE_SECONDS
        try:
            self._timers.run_due(self._polled_at if is_late else None)
        except Exception as exc:  # an exception in a callback must not end the event loop
            self._on_fault(exc)

    def _get_poll_timeout(self) -> float:
        if self._unfinished:
            return 0.0
        due = self._timers.next_due()
        if due is None:
            return MAX_POLL_SECONDS
        return max(0.0, min(MAX_POLL_SECONDS, due - self._timers.now()))

    def _serve_ready(self, poll_timeout: float) -> None:
        """Poll once and notify the owners of the ready sockets.

        Notes
        -----
        All registrations are looked up before the first notification, because a socket opened in
        one notification may reuse the file descriptor of a socket closed in another.
        """
        if self.on_turn is not None:
            now = self._timers.now()
            self.on_turn(now, now - self._woken_at)
        ready = self._poll(poll_timeout)
        if self.on_turn is not None:
            self._woken_at = self._timers.now()
        found = [(self._watches.get(fileno), mask) for fileno, mask in ready]
        if len(found) > 1 and self._urgent:
            found.sort(key=lambda each: each[0] is None or each[0].owner not in self._urgent)
        unfinished, self._unfinished = self._unfinished, []
        served_at = self._timers.now()
        for watch, mask in found:
            if watch is None:
                self._drain_wake_ups()
            elif watch.active:
                self._notify_owner(watch, mask)
            served_at = self._serve_urgent(served_at)
        for owner in unfinished:
            self._call(owner.serve_rest)

    def _serve_urgent(self, served_at: float) -> float:
        """Serve the urgent sockets if that was long ago; return when they were served last."""
        now = self._timers.now()
        if now - served_at < URGENT_SECONDS:
            return served_at
        for owner in self._urgent:
            self._call(owner.serve_urgent)
        return self._timers.now()

    def _call(self, serve: Callable[[], None]) -> None:
        try:
            serve()
        except Exception as exc:  # an exception for one socket must not affect the others
            self._on_fault(exc)

    def _poll(self, poll_timeout: float) -> list[tuple[int, int]]:
        """Wait until a socket is ready, and record until when none has been missed.

        Notes
        -----
        A wait that a stop signal interrupts reports no socket, though some may be ready by the time
        that the process goes on.
        """
        started_at = self._timers.now()
        self.unread_since = self._polled_at
        ready = self._epoll.poll(poll_timeout)
        ended_at = self._timers.now()
        is_interrupted = not ready and ended_at - started_at > poll_timeout + LATE_SECONDS
        self._polled_at = started_at if is_interrupted else ended_at
        return ready

    def _drain_wake_ups(self) -> None:
        try:
            os.read(self._wake_read, _MAX_WAKE_UP_BYTES)
        except BlockingIOError:
            return  # this wake-up was already read together with an earlier one

    def _notify_owner(self, watch: _Watch, mask: int) -> None:
        try:
            if mask & READ:
                watch.owner.on_readable(watch.sock)
            if mask & WRITE and watch.active:
                watch.owner.on_writable(watch.sock)
            if mask & _SOCKET_ERROR and not mask & READ and watch.active:
                watch.owner.on_socket_error(watch.sock)
        except Exception as exc:  # an exception for one socket must not affect the others
            self._on_fault(exc)
