"""Tests on real sockets of connections that one process hands to another."""

import contextlib
import errno
import os
import socket
import threading
import time

import pytest

from flamingofront.connection.runtime import Runtime
from flamingofront.connection.server import HTTPServer, ServerLimits
from flamingofront.connection.splice import ConnectionSplicer, SpliceEnd
from flamingofront.decisions.memory_account import MemoryKind

WAIT_SECONDS = 5.0
LARGE = 3_000_000


class Pair:
    """A server that hands all connections over, and the peer that serves them."""

    def __init__(self):
        self.faults, self.ends, self.requests = [], [], []
        self.held = threading.Event()
        self.left = threading.Event()
        self.runtime = Runtime(self.faults.append)
        timers = self.runtime.timers
        limits = ServerLimits(max_body=2 * LARGE, max_unsent_bytes=200_000)
        self.callers = HTTPServer(
            ("127.0.0.1", 0), self.handle, timers, limits, on_fault=self.faults.append
        ).register(self.runtime)
        self.peer = HTTPServer(
            ("127.0.0.1", 0),
            self.handle,
            timers,
            limits,
            on_fault=self.faults.append,
            channel="peer",
        ).register(self.runtime)
        self.address = f"127.0.0.1:{self.peer.port}"
        self.splicer = ConnectionSplicer(
            timers, lambda address, how: self.ends.append(how)
        ).register(self.runtime)
        self.callers.set_refusal(lambda waited: False, self.take_over)
        threading.Thread(target=self.runtime.run, daemon=True).start()

    def take_over(self, sock, waited, is_refused):
        self.splicer.start(sock, self.address)
        return True

    def handle(self, req, exchange):
        self.requests.append(req)
        exchange.on_disconnect = self.left.set
        if req.path == "/hold":
            self.held.set()
        elif req.path == "/broken":
            exchange.begin(200, ())
            exchange.send(b"part")
            self.runtime.timers.once(0.05, exchange.abort)
        elif req.path == "/flood":
            exchange.begin(200, ())
            while exchange.send(b"x" * 10_000):
                pass
            self.held.set()
        else:
            exchange.respond(200, (), req.body or b"answer")

    def connect(self):
        return socket.create_connection(("127.0.0.1", self.callers.port), timeout=WAIT_SECONDS)

    def connect_late(self):
        """Connect, and learn the result only after the connection has been handed over."""
        sock = socket.socket()
        sock.settimeout(0.0)
        assert sock.connect_ex(("127.0.0.1", self.callers.port)) in (0, errno.EINPROGRESS)
        self.wait_for_ends()
        sock.settimeout(WAIT_SECONDS)
        if code := sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
            sock.close()
            raise OSError(code, os.strerror(code))
        return sock

    def run_in_loop(self, callback):
        """Run a callback in the thread of the event loop and wait for it."""
        done = threading.Event()
        self.runtime.timers.once(0.0, lambda: (callback(), done.set()))
        self.runtime.poller.resume()
        assert done.wait(WAIT_SECONDS)

    def wait_for_ends(self, count=1):
        end = time.monotonic() + WAIT_SECONDS
        while len(self.ends) < count and time.monotonic() < end:
            time.sleep(0.01)
        return self.ends


@pytest.fixture
def pair():
    pair = Pair()
    yield pair
    pair.run_in_loop(pair.runtime.stop)
    assert pair.faults == []


def send(sock, path, body=b""):
    head = f"POST {path} HTTP/1.1\r\nHost: x\r\nContent-Length: {len(body)}\r\n\r\n"
    sock.sendall(head.encode() + body)


def read_response(sock):
    data = b""
    while b"\r\n\r\n" not in data:
        data += sock.recv(65536)
    head, _, body = data.partition(b"\r\n\r\n")
    length = int(head.lower().split(b"content-length: ")[1].split(b"\r\n")[0])
    while len(body) < length:
        body += sock.recv(65536)
    return head, body


class TestSplicedConnections:
    def test_large_bodies_pass_whole_in_both_directions(self, pair):
        body = bytes(range(256)) * (LARGE // 256)
        with pair.connect() as sock:
            send(sock, "/echo", body)
            assert read_response(sock)[1] == body
            assert pair.splicer.unanswered[pair.address] == 0

    def test_connection_serves_several_requests(self, pair):
        with pair.connect() as sock:
            for _ in range(3):
                send(sock, "/again")
                assert read_response(sock)[1] == b"answer"
        assert pair.wait_for_ends() == [SpliceEnd.CLOSED]

    def test_last_answer_of_a_peer_that_closes_arrives_whole(self, pair):
        # The end of the peer's stream overtook what the caller had not read yet.
        pair.peer.closing = True
        body = b"y" * LARGE
        with pair.connect() as sock:
            send(sock, "/echo", body)
            time.sleep(0.2)
            head, answer = read_response(sock)
            assert answer == body and b"Connection: close" in head
            assert sock.recv(1) == b""

    @pytest.mark.parametrize("is_late", [False, True], ids=["prompt caller", "late caller"])
    @pytest.mark.parametrize("ip", ["127.0.0.1", "127.255.255.255"], ids=["refused", "no route"])
    def test_peer_that_does_not_listen_leaves_the_connection_unread(self, pair, ip, is_late):
        # A caller whose request was read must not send it again if it runs at most once.
        with socket.socket() as unused:
            unused.bind(("127.0.0.1", 0))
            pair.address = f"{ip}:{unused.getsockname()[1]}"
            # The reset may reach a caller before or after it learns that it is connected.
            connect = pair.connect_late if is_late else pair.connect
            with pytest.raises(ConnectionResetError), connect() as sock:
                send(sock, "/lost")
                assert sock.recv(1) == b"", "the connection was not reset"
                raise AssertionError("the connection was closed as if it had been read")
        assert pair.wait_for_ends() == [SpliceEnd.NOT_CONNECTED] and pair.requests == []
        assert not +pair.splicer.unanswered

    def test_caller_that_leaves_ends_its_request(self, pair):
        # Endpoints went on to work for callers that had left.
        sock = pair.connect()
        send(sock, "/hold")
        assert pair.held.wait(WAIT_SECONDS)
        sock.close()
        assert pair.left.wait(WAIT_SECONDS) and pair.wait_for_ends() == [SpliceEnd.CLOSED]

    def test_response_that_breaks_off_does_not_look_complete(self, pair):
        with pair.connect() as sock:
            send(sock, "/broken")
            data = b""
            with contextlib.suppress(ConnectionResetError):
                while part := sock.recv(65536):
                    data += part
        assert not data.endswith(b"0\r\n\r\n")

    def test_caller_that_reads_nothing_is_noticed_by_the_peer(self, pair):
        # All that the peer sends was kept in memory.
        with pair.connect() as sock:
            send(sock, "/flood")
            assert pair.held.wait(WAIT_SECONDS)

    def test_bytes_that_a_caller_does_not_take_are_in_the_account(self, pair):
        """They were bounded for one connection, not for all of them."""
        kind = MemoryKind.COPIED
        with socket.socket() as sock:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 10_000)
            sock.connect(("127.0.0.1", pair.callers.port))
            send(sock, "/echo", bytes(LARGE) * 2)
            end = time.monotonic() + WAIT_SECONDS
            while not pair.splicer.memory.state.by_kind[kind] and time.monotonic() < end:
                time.sleep(0.01)
            assert pair.splicer.memory.state.by_kind[kind] > 0
        pair.wait_for_ends()
        assert pair.splicer.memory.state.used == 0

    def test_close_idle_keeps_connections_with_a_request(self, pair):
        # A request was cut off when the process that took its connection stopped.
        with pair.connect() as idle, pair.connect() as busy:
            send(busy, "/hold")
            assert pair.held.wait(WAIT_SECONDS)
            pair.run_in_loop(pair.splicer.close_idle)
            assert idle.recv(1) == b"" and pair.splicer.count_open() == 1

    def test_close_idle_passes_on_what_has_arrived(self, pair):
        # A request that crosses the close was lost though it had been received.
        with pair.connect() as sock:
            end = time.monotonic() + WAIT_SECONDS
            while not pair.peer.connections and time.monotonic() < end:
                time.sleep(0.01)

            def send_and_close():
                send(sock, "/crossing")
                time.sleep(0.05)
                pair.splicer.close_idle()

            pair.run_in_loop(send_and_close)
            assert read_response(sock)[1] == b"answer"


class TestStart:
    def test_connection_that_comes_before_the_registration_is_handled_is_handed_over(self):
        """The event of the registration is handled in a later turn of the loop."""
        runtime = Runtime(lambda exc: None)
        splicer = ConnectionSplicer(runtime.timers, lambda address, how: None).register(runtime)
        with socket.create_server(("127.0.0.1", 0)) as peer:
            caller = socket.create_connection(peer.getsockname())
            splicer.start(caller, f"127.0.0.1:{peer.getsockname()[1]}")
            assert splicer.count_open() == 1
            splicer.close_idle()
