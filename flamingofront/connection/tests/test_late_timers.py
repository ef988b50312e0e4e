"""Tests of timers that are run late, while data waits to be read."""

import socket
import threading

import pytest

from flamingofront.connection.poller import READ, SocketOwner
from flamingofront.connection.runtime import Runtime
from flamingofront.process.timers import ManualClock

JOIN_SECONDS = 5.0
LONG_SECONDS = 3.0


class Reader(SocketOwner):
    """Reads one byte at a time, and then does something."""

    def __init__(self, then):
        self._then = then

    def on_readable(self, sock):
        sock.recv(1)
        self._then()

    on_writable = on_socket_error = on_readable


class InterruptedEpoll:
    """An epoll object whose first wait ends late and reports nothing, as after a stop signal."""

    def __init__(self, real, interrupt):
        self._real, self._interrupt = real, interrupt
        self.register, self.unregister, self.modify = real.register, real.unregister, real.modify
        self._waits = 0

    def poll(self, timeout):
        self._waits += 1
        if self._waits == 1:
            self._interrupt()
            return []
        return self._real.poll(timeout)


class LateLoop:
    """An event loop whose clock is set by hand; keeps the order of what happens."""

    def __init__(self):
        self.clock = ManualClock(100.0)
        self.runtime = Runtime(print, clock=self.clock)
        self.timers = self.runtime.timers
        self.order = []
        self.pairs = []

    def open(self, then):
        """Watch a socket and return the other end."""
        near, far = socket.socketpair()
        self.pairs += [near, far]
        self.runtime.poller.watch(near, Reader(then), READ)
        return far

    def note(self, what):
        return lambda: self.order.append(what)

    def run_until_stopped(self):
        thread = threading.Thread(target=self.runtime.run, daemon=True)
        thread.start()
        thread.join(JOIN_SECONDS)
        assert not thread.is_alive()
        for each in self.pairs:
            each.close()


class TestDataBeforeLateTimers:
    """Monitors took what had come during a long turn or a stop for silence."""

    @pytest.fixture
    def loop(self):
        return LateLoop()

    def test_data_that_came_during_a_long_turn_is_read_before_the_timers(self, loop):
        data = loop.open(loop.note("data"))

        def take_long():
            data.send(b"x")
            loop.clock.time += LONG_SECONDS
            loop.timers.once(0.0, loop.note("end of turn"))

        start = loop.open(take_long)
        loop.timers.once(1.0, loop.note("exact"))
        loop.timers.once(1.0, loop.note("relaxed"), relaxed=True)
        loop.timers.once(1.0, loop.runtime.stop, relaxed=True)
        start.send(b"x")
        loop.run_until_stopped()
        assert loop.order == ["end of turn", "data", "exact", "relaxed"]

    def test_data_that_came_while_the_process_was_stopped_is_read_before_the_timers(self, loop):
        data = loop.open(loop.note("data"))

        def stop_and_continue():
            data.send(b"x")
            loop.clock.time += LONG_SECONDS

        poller = loop.runtime.poller
        poller._epoll = InterruptedEpoll(poller._epoll, stop_and_continue)
        loop.timers.once(1.0, loop.note("timer"))
        loop.timers.once(1.0, loop.runtime.stop)
        loop.run_until_stopped()
        assert loop.order == ["data", "timer"]

    def test_timers_run_though_each_turn_is_long(self, loop):
        turns = []

        def take_long():
            turns.append(loop.clock.time)
            loop.clock.time += LONG_SECONDS
            data.send(b"x")

        data = loop.open(take_long)
        loop.timers.once(1.0, lambda: loop.order.append(len(turns)))
        loop.timers.once(4 * LONG_SECONDS, loop.runtime.stop)
        data.send(b"x")
        loop.run_until_stopped()
        assert loop.order and loop.order[0] <= 2
