"""Calls whose bytes would leave after the call has lost its meaning."""

import fcntl
import signal
import socket
import subprocess
import sys
import termios
import threading

import pytest

from flamingofront.connection.call_guard import CallGuard
from flamingofront.connection.tests.test_client import Client, Endpoint, encode_response
from flamingofront.messages import SEND_WITHDRAWN, CallFailed, OutboundCall, ResponseEnd

WAIT_SECONDS = 5.0
LARGE_BYTES = 8 * 1024 * 1024


@pytest.fixture
def client():
    started = Client()
    yield started
    started.stop()


@pytest.fixture
def endpoint():
    return Endpoint(encode_response(), encode_response())


def call_and_be_busy(client, call, seconds):
    """Start a call in a turn of the event loop that then takes some seconds; return its end."""
    ends, done = [], threading.Event()

    def listen(event):
        if isinstance(event, ResponseEnd | CallFailed):
            ends.append(event)
            done.set()

    def start():
        client.client.start(call, listen)
        client.clock.time += seconds

    client.run_in_loop(start)
    assert done.wait(WAIT_SECONDS)
    return ends[0]


class LeaseUntil(CallGuard):
    """Allows bytes to be sent until a time."""

    def __init__(self, clock, until):
        self._clock, self._until = clock, until

    def record(self, step):
        pass

    def may_send(self):
        return self._clock.time < self._until


class TestBusyLoop:
    """A call was written after its timeout, since sockets are served before late timers."""

    @pytest.mark.parametrize("seconds", [1.0, 1.6, 3.0])
    def test_call_is_not_written_after_its_timeout(self, client, endpoint, seconds):
        call = OutboundCall(endpoint.address, "POST", "/", b"late", timeout=1.0)
        assert call_and_be_busy(client, call, seconds) == CallFailed("timeout", False)
        client.advance_time(1.0)
        assert endpoint.requests == []

    def test_call_is_written_until_its_timeout(self, client, endpoint):
        call = OutboundCall(endpoint.address, "POST", "/", b"in time", timeout=1.0)
        assert call_and_be_busy(client, call, 0.9) == ResponseEnd()

    def test_connection_that_is_noticed_late_is_used(self, client, endpoint):
        """It is established: the path is not lost because this process was busy."""
        call = OutboundCall(endpoint.address, "POST", "/", timeout=9.0, connect_timeout=0.25)
        assert call_and_be_busy(client, call, 0.5) == ResponseEnd()


class TestGuard:
    """A call was written under a lease that had ended since the call was begun."""

    def test_nothing_is_written_once_the_guard_refuses(self, client, endpoint):
        guard = LeaseUntil(client.clock, client.clock.time + 0.3)
        call = OutboundCall(endpoint.address, "POST", "/", b"late", timeout=1.0, guard=guard)
        assert call_and_be_busy(client, call, 0.4) == CallFailed(SEND_WITHDRAWN, False)
        client.advance_time(1.0)
        assert endpoint.requests == []

    def test_guard_is_asked_on_an_idle_connection(self, client, endpoint):
        client.call(endpoint.address)
        guard = LeaseUntil(client.clock, client.clock.time)
        (end,) = client.call(endpoint.address, guard=guard)
        assert end == CallFailed(SEND_WITHDRAWN, False, reused=True)
        assert len(endpoint.requests) == 1

    def test_rest_of_a_request_is_not_written_once_the_guard_refuses(self, client):
        """The call fails as written in part, and its receiver never gets the whole of it."""
        listener = socket.create_server(("127.0.0.1", 0))
        address = f"127.0.0.1:{listener.getsockname()[1]}"
        guard = LeaseUntil(client.clock, client.clock.time + 0.3)
        events, done = [], threading.Event()

        def listen(event):
            events.append(event)
            done.set()

        call = OutboundCall(
            address, "POST", "/", bytes(LARGE_BYTES), timeout=9.0, ack_timeout=0.8, guard=guard
        )
        client.run_in_loop(lambda: client.client.start(call, listen))
        conn, _ = listener.accept()
        conn.settimeout(WAIT_SECONDS)
        received = len(conn.recv(1))
        client.advance_time(0.4)
        received += read_to_the_end(conn)
        assert done.wait(WAIT_SECONDS)
        assert events == [CallFailed(SEND_WITHDRAWN, True)]
        assert received < LARGE_BYTES
        listener.close()


class TestKernel:
    """The kernel sent bytes of a call when its process could no longer withdraw them."""

    def test_large_call_is_given_up_by_the_kernel_too(self, client):
        """A large request was watched by the event loop alone, which may stand still."""
        listener = socket.create_server(("127.0.0.1", 0))
        address = f"127.0.0.1:{listener.getsockname()[1]}"
        call = OutboundCall(address, "POST", "/", bytes(20_000), timeout=1.0, ack_timeout=0.8)
        handles = []
        client.run_in_loop(lambda: handles.append(client.client.start(call, handles.append)))
        conn, _ = listener.accept()
        conn.recv(1)
        (sock,) = client.client._connections
        assert sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT) == 800
        listener.close()

    def test_bytes_of_a_killed_process_are_not_sent(self):
        """What a killed process had passed to the kernel arrived beside its successor's calls."""
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        child = subprocess.Popen(
            [sys.executable, "-c", SENDER, str(listener.getsockname()[1])], stdout=subprocess.PIPE
        )
        conn, _ = listener.accept()
        conn.settimeout(WAIT_SECONDS)
        assert int(child.stdout.readline()) > 0  # bytes that only the kernel still has
        arrived = count_unread(conn)
        child.send_signal(signal.SIGKILL)
        child.wait(WAIT_SECONDS)
        child.stdout.close()
        assert read_to_the_end(conn) <= arrived
        listener.close()


# Makes one call that must not arrive late, and prints how many bytes the kernel could not deliver.
SENDER = f"""
import fcntl, struct, sys, termios
from flamingofront.connection.client import HTTPClient
from flamingofront.connection.runtime import Runtime
from flamingofront.messages import OutboundCall
runtime = Runtime(print)
client = HTTPClient(runtime.timers).register(runtime)
address = "127.0.0.1:" + sys.argv[1]
call = OutboundCall(address, "POST", "/", bytes({LARGE_BYTES}), timeout=60.0, ack_timeout=50.0)
def tell():
    (sock,) = client._connections
    queued = fcntl.ioctl(sock, termios.TIOCOUTQ, bytes(4))
    print(struct.unpack("=i", queued)[0], flush=True)
runtime.timers.once(0.0, lambda: client.start(call, lambda event: None))
runtime.timers.once(0.5, tell)
runtime.run()
"""


def count_unread(conn):
    """Return the bytes that wait in the buffer of a receiver."""
    return int.from_bytes(fcntl.ioctl(conn, termios.FIONREAD, bytes(4)), sys.byteorder)


def read_to_the_end(conn):
    """Return the number of bytes that arrive until the connection ends or is reset."""
    total = 0
    try:
        while data := conn.recv(65536):
            total += len(data)
    except ConnectionResetError:
        pass
    conn.close()
    return total
