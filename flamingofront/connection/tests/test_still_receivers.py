"""Calls with a body to a receiver that stands still for a while, on real sockets."""

import socket
import threading

import pytest

from flamingofront.connection import client, send_watch
from flamingofront.connection.client import HTTPClient
from flamingofront.connection.runtime import Runtime
from flamingofront.connection.send_watch import SendState, SendWatch, is_unanswered
from flamingofront.messages import CallFailed, OutboundCall, ResponseEnd
from flamingofront.process.timers import ManualClock, TimerService

USER_TIMEOUT_MS = 300
# Several times the user timeout. A full receiver is probed after 0.2, 0.6 and 1.4 s.
STILL_SECONDS = 1.6
JOIN_SECONDS = 20.0
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


class StillReceiver:
    """Accepts a connection, reads nothing until it is told to, then reads all and answers."""

    def __init__(self, size):
        self.may_read = threading.Event()
        self._size = size
        self._socket = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._socket.getsockname()[1]}"
        threading.Thread(target=self._serve, daemon=True).start()

    def _serve(self):
        conn = self._socket.accept()[0]
        with self._socket, conn:
            self.may_read.wait(JOIN_SECONDS)
            received = 0
            while received < self._size:
                data = conn.recv(1 << 20)
                if not data:
                    return
                received += len(data)
            conn.sendall(ANSWER)
            conn.recv(1)


class TestStillReceivers:
    """Linux ended connections whose receiver had no room for the user timeout."""

    @pytest.mark.parametrize("size", [10_000, 1_000_000, 6_000_000])
    def test_call_is_answered_once_the_receiver_goes_on(self, size, monkeypatch):
        monkeypatch.setattr(client, "USER_TIMEOUT_MS", USER_TIMEOUT_MS)
        receiver = StillReceiver(size)
        runtime = Runtime(print)
        calls = HTTPClient(runtime.timers).register(runtime)
        events = []

        def on_event(event):
            events.append(event)
            if isinstance(event, (ResponseEnd, CallFailed)):
                runtime.stop()

        call = OutboundCall(receiver.address, "POST", "/x", b"x" * size, timeout=JOIN_SECONDS)
        runtime.timers.once(0.0, lambda: calls.start(call, on_event))
        runtime.timers.once(STILL_SECONDS, receiver.may_read.set)
        thread = threading.Thread(target=runtime.run, daemon=True)
        thread.start()
        thread.join(JOIN_SECONDS)
        assert isinstance(events[-1], ResponseEnd), events


class TestLostConnections:
    @pytest.mark.parametrize(
        "state, expected",
        [
            (SendState(900, 2, 0, 2.1), True),
            (SendState(900, 2, 0, 1.9), False),
            (SendState(900, 0, 2, 2.1), True),
            # A receiver without room that acknowledges, also while one probe has no reply.
            (SendState(900, 0, 0, 3.2), False),
            (SendState(900, 0, 1, 3.2), False),
        ],
    )
    def test_only_what_nobody_acknowledges_is_lost(self, state, expected):
        assert is_unanswered(state, 2.0) is expected

    def test_watch_ends_a_lost_connection_soon_after_the_limit(self, monkeypatch):
        # Without the user timeout of the kernel, nobody else would.
        clock = ManualClock(100.0)
        timers = TimerService(clock)
        monkeypatch.setattr(
            send_watch, "read_send_state", lambda sock: SendState(9, 1, 0, clock.time - 90.0)
        )
        lost = []
        SendWatch(
            None, lambda: False, 2.0, timers, lambda: None, lambda: lost.append(clock.time - 100.0)
        )
        while not lost and clock.time < 110.0:
            clock.time = timers.next_due()
            timers.run_due()
        assert 2.0 < lost[0] <= 2.5
