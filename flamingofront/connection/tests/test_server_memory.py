"""Tests on real sockets of callers that make a server hold memory, and of those beside them."""

import contextlib
import gc
import socket
import threading
import time

import pytest

from flamingofront.connection.caller_connection import CONNECTION_BYTES
from flamingofront.connection.lingering import LINGER_SECONDS
from flamingofront.connection.request_receiver import RequestReceiver
from flamingofront.connection.runtime import Runtime
from flamingofront.connection.server import HTTPServer, ServerLimits
from flamingofront.connection.tests.test_server import Server, read_response
from flamingofront.decisions.memory_account import STALL_SECONDS, MemoryAccount, MemoryKind
from flamingofront.errors import ErrorKind
from flamingofront.process.timers import ManualClock

WAIT_SECONDS = 5.0
ACCOUNT_BYTES = 4_000_000
LARGE = 1_000_000


class SmallServer(Server):
    """Server with a small account, whose handler may hold requests."""

    def __init__(self):
        self.clock = ManualClock()
        self.faults, self.rejected, self.held = [], [], []
        self.arrived, self.disconnected = threading.Event(), threading.Event()
        self.pending, self.hold_count = {}, 0
        self.runtime = Runtime(self.faults.append, clock=self.clock)
        self.memory = MemoryAccount(ACCOUNT_BYTES)
        self.server = HTTPServer(
            ("127.0.0.1", 0),
            self.handle,
            self.runtime.timers,
            ServerLimits(max_body=2 * LARGE, request_timeout=60.0),
            count_rejection=self.rejected.append,
            on_fault=self.faults.append,
            memory=self.memory,
        ).register(self.runtime)
        self.thread = threading.Thread(target=self.runtime.run, daemon=True)
        self.thread.start()
        self.port = self.server.port

    def handle(self, req, exchange):
        if req.path == "/keep":
            self.held.append(exchange)
        elif req.path == "/large":
            exchange.respond(200, (), bytes(8 * LARGE))
        elif req.path == "/medium":
            exchange.respond(200, (), bytes(3 * LARGE))
        else:
            exchange.respond(200, (), b"%d" % len(req.body))

    def wait_until(self, is_true):
        end = time.monotonic() + WAIT_SECONDS
        while not is_true():
            assert time.monotonic() < end
            time.sleep(0.01)

    def count_held(self, kind):
        return self.memory.state.by_kind[kind]


@pytest.fixture
def server():
    running = SmallServer()
    yield running
    running.stop()
    assert running.faults == []


def build_head(length, path="/x"):
    return b"POST %b HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n" % (path.encode(), length)


def start_bodies(server, count, sent=100):
    """Return connections that have announced large bodies and sent a part of each."""
    conns = []
    for number in range(count):
        conn = server.connect()
        conn.sendall(build_head(LARGE) + bytes(sent))
        conns.append(conn)
        server.wait_until(
            lambda number=number: server.count_held(MemoryKind.RECEIVING) > number * LARGE
        )
    return conns


class TestAnnouncedBodies:
    def test_body_without_room_is_refused_before_it_is_read(self, server):
        conns = start_bodies(server, 2)
        with server.connect() as late:
            late.sendall(build_head(LARGE))
            status, body = read_response(late)
            assert status == 503 and b'"ran":"no"' in body and b"memory_exhausted" in body
            assert late.recv(10) == b""
        assert server.rejected == [ErrorKind.MEMORY_EXHAUSTED]
        for conn in conns:
            conn.close()

    def test_small_request_beside_large_bodies_is_served(self, server):
        conns = start_bodies(server, 2)
        with server.connect() as small:
            small.sendall(build_head(10_000) + bytes(10_000))
            assert read_response(small) == (200, b"10000")
        for conn in conns:
            conn.close()

    def test_body_without_progress_makes_room_and_its_caller_is_told(self, server):
        first, second = start_bodies(server, 2)
        server.clock.time += STALL_SECONDS
        with server.connect() as late:
            late.sendall(build_head(LARGE) + bytes(LARGE))
            assert read_response(late) == (200, b"%d" % LARGE)
        status, body = read_response(first)
        assert status == 503 and b'"ran":"no"' in body
        second.sendall(bytes(LARGE - 100))
        assert read_response(second) == (200, b"%d" % LARGE)
        first.close()
        second.close()

    def test_waiting_request_is_not_ended_for_a_new_body(self, server):
        with server.connect() as waiting, server.connect() as other, server.connect() as late:
            for conn in (waiting, other):
                conn.sendall(build_head(LARGE, "/keep") + bytes(LARGE))
            server.wait_until(lambda: len(server.held) == 2)
            server.clock.time += 10 * STALL_SECONDS
            late.sendall(build_head(LARGE))
            assert read_response(late)[0] == 503
            for each in server.held:
                server.run_in_loop(lambda each=each: each.respond(200, (), b"whole"))
            assert read_response(waiting) == read_response(other) == (200, b"whole")
        assert server.count_held(MemoryKind.REQUEST) == 0

    @pytest.mark.parametrize("size", [2 * LARGE, 2 * LARGE - 1])
    def test_largest_body_is_served_in_calm(self, server, size):
        with server.connect() as conn:
            conn.sendall(build_head(size) + bytes(size))
            assert read_response(conn) == (200, b"%d" % size)


class TestChunkedBodies:
    def test_bodies_together_are_bounded(self, server):
        """The size of each is not known before it has been received."""
        chunk = b"%x\r\n%b\r\n" % (60_000, bytes(60_000))
        head = b"POST /x HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
        conns = [server.connect() for _ in range(5)]
        for conn in conns:
            with contextlib.suppress(OSError):
                conn.sendall(head + chunk * 20)
        statuses = []
        server.wait_until(lambda: len(server.rejected) >= 2)
        for conn in conns:
            conn.settimeout(0.05)
            with contextlib.suppress(OSError):
                statuses.append(read_response(conn)[0])
        assert set(statuses) == {503}
        assert server.memory.state.used <= ACCOUNT_BYTES
        for conn in conns:
            conn.close()

    def test_body_in_chunks_of_one_byte_is_served_in_calm(self, server):
        head = b"POST /x HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
        with server.connect() as conn:
            conn.sendall(head + b"1\r\nx\r\n" * 200_000 + b"0\r\n\r\n")
            assert read_response(conn) == (200, b"200000")

    @pytest.mark.parametrize(("sizes", "is_slow"), [((1, 2), True), ((60_000, 60_000), False)])
    def test_tiny_chunks_are_read_in_smaller_pieces(self, server, sizes, is_slow):
        """Decoding them kept the event loop busy, and other callers waiting."""
        head = b"POST /x HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
        chunks = b"".join(b"%x\r\n%b\r\n" % (size, bytes(size)) for size in sizes)
        with server.connect() as conn:
            conn.sendall(head + chunks * (240_000 // sum(sizes)))
            conn.sendall(b"0\r\n\r\n")
            assert read_response(conn)[0] == 200
            assert bool(server.server._sockets._read_limits) is is_slow


class TestUnreadResponses:
    def test_callers_that_do_not_read_are_ended(self, server):
        conns = []
        for _ in range(6):
            conn = socket.socket()
            conn.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 10_000)
            conn.connect(("127.0.0.1", server.port))
            conn.sendall(b"GET /large HTTP/1.1\r\nHost: x\r\n\r\n")
            conns.append(conn)
        server.wait_until(lambda: server.server.connections < 3)
        assert server.memory.state.used <= ACCOUNT_BYTES
        for conn in conns:
            conn.close()

    def test_caller_that_reads_gets_its_whole_response(self, server):
        with server.connect() as conn:
            conn.sendall(b"GET /medium HTTP/1.1\r\nHost: x\r\n\r\n")
            assert read_response(conn) == (200, bytes(3 * LARGE))


class TestMemoryGivenBack:
    @pytest.mark.parametrize("sent", [10, LARGE - 1])
    def test_nothing_of_a_closed_connection_is_kept(self, server, sent):
        """Reference cycles kept the bodies of connections that had closed."""
        gc.collect()
        gc.disable()
        try:
            conns = start_bodies(server, 2, sent)
            for conn in conns:
                conn.close()
            server.wait_until(lambda: server.memory.state.used == 0)
            found = [each for each in gc.get_objects() if isinstance(each, RequestReceiver)]
            kept = [each for each in found if each._holding._account is server.memory]
            assert all(each._parts is None for each in kept)
        finally:
            gc.enable()

    def test_idle_connection_holds_its_state_only(self, server):
        with server.connect() as conn:
            conn.sendall(build_head(1000) + bytes(1000))
            assert read_response(conn)[0] == 200
            server.wait_until(lambda: server.memory.state.used == CONNECTION_BYTES)


class TestRefusedCallersThatStillSend:
    def test_caller_that_sends_all_before_it_reads_gets_the_refusal(self, server):
        """The connection was reset for the unread bytes, and the refusal was lost."""
        conns = start_bodies(server, 2)
        with server.connect() as late:
            late.sendall(build_head(LARGE))
            time.sleep(0.1)
            late.sendall(bytes(LARGE))
            assert read_response(late)[0] == 503
        for conn in conns:
            conn.close()

    def test_connection_is_closed_though_its_caller_stays(self, server):
        with server.connect() as conn:
            conn.sendall(build_head(10 * LARGE) + b"x")
            assert read_response(conn)[0] == 413
            assert conn.recv(10) == b""
            with pytest.raises(OSError):
                for _ in range(100):
                    server.advance_time(LINGER_SECONDS)
                    conn.sendall(b"x")
                    time.sleep(0.01)


class TestManyConnections:
    def test_connection_that_has_been_idle_for_longest_makes_room(self, server):
        server.run_in_loop(lambda: server.server.limit_connections(3))
        conns = [server.connect() for _ in range(3)]
        for conn in (conns[1], conns[0], conns[2]):
            conn.sendall(build_head(1) + b"x")
            assert read_response(conn)[0] == 200
        with server.connect() as new:
            new.sendall(build_head(1) + b"x")
            assert read_response(new)[0] == 200
        assert conns[1].recv(1) == b""
        conns[0].sendall(build_head(1) + b"x")
        assert read_response(conns[0])[0] == 200
        for conn in conns:
            conn.close()

    def test_idle_connection_on_which_a_request_arrives_is_kept(self, server):
        server.run_in_loop(lambda: server.server.limit_connections(2))
        first, second = server.connect(), server.connect()
        for conn in (first, second):
            conn.sendall(build_head(1) + b"x")
            assert read_response(conn)[0] == 200

        def send_and_make_room():
            first.sendall(build_head(2) + b"xx")
            server.server._close_longest_idle()

        server.run_in_loop(send_and_make_room)
        assert read_response(first) == (200, b"2")
        assert second.recv(1) == b""
        first.close()
        second.close()

    def test_connections_with_requests_are_kept_and_a_new_one_is_reset(self, server):
        server.run_in_loop(lambda: server.server.limit_connections(2))
        conns = [server.connect() for _ in range(2)]
        for conn in conns:
            conn.sendall(build_head(1, "/keep") + b"x")
        server.wait_until(lambda: len(server.held) == 2)
        # The reset may reach the caller before it learns that it is connected.
        with pytest.raises(ConnectionResetError), server.connect() as new:
            new.recv(1)
        for each in list(server.held):
            server.run_in_loop(lambda each=each: each.respond(200, (), b"whole"))
        assert [read_response(each) for each in conns] == [(200, b"whole")] * 2
        for conn in conns:
            conn.close()
