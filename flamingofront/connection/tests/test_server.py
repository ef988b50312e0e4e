"""Tests of the HTTP server on real sockets: bad requests are rejected without affecting others."""

import contextlib
import socket
import threading
import time

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from flamingofront.connection.runtime import Runtime
from flamingofront.connection.server import HTTPServer, ServerLimits
from flamingofront.errors import ErrorKind, RequestError
from flamingofront.process.timers import ManualClock

WAIT_SECONDS = 5.0


class Server:
    """HTTP server in its own thread, with a clock that the test advances."""

    def __init__(self):
        self.clock = ManualClock()
        self.faults = []
        self.disconnected = threading.Event()
        self.pending = {}
        self.hold_count = 0
        self.arrived = threading.Event()
        self.runtime = Runtime(self.faults.append, clock=self.clock)
        limits = ServerLimits(max_body=2000, request_timeout=5.0, max_unsent_bytes=200_000)
        self.server = HTTPServer(
            ("127.0.0.1", 0), self.handle, self.runtime.timers, limits, on_fault=self.faults.append
        ).register(self.runtime)
        self.thread = threading.Thread(target=self.runtime.run, daemon=True)
        self.thread.start()
        self.port = self.server.port

    def handle(self, req, exchange):
        if req.path == "/fault":
            raise RuntimeError("secret detail")
        if req.path == "/accepted-fault":
            exchange.on_disconnect = self.disconnected.set
            self.pending["exchange"] = exchange
            raise RuntimeError("after the request was accepted")
        if req.path == "/hold":
            exchange.on_disconnect = self.disconnected.set
            self.pending["exchange"] = exchange
            self.hold_count += 1
            self.arrived.set()
            return
        if req.path == "/flood":
            exchange.begin(200, ())
            while exchange.send(b"x" * 10_000):
                pass
            exchange.abort()
            self.disconnected.set()
            return
        exchange.respond(200, (), f"{req.method} {req.path} ".encode() + req.body)

    def run_in_loop(self, callback):
        """Run a callback in the server's thread and wait until it has returned."""
        done = threading.Event()

        def run():
            callback()
            done.set()

        self.runtime.timers.once(0.0, run)
        self.runtime.poller.resume()
        assert done.wait(WAIT_SECONDS)

    def advance_time(self, seconds):
        self.clock.time += seconds
        self.runtime.poller.resume()

    def connect(self):
        conn = socket.create_connection(("127.0.0.1", self.port), timeout=WAIT_SECONDS)
        conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return conn

    def stop(self):
        self.run_in_loop(self.runtime.stop)
        self.thread.join(WAIT_SECONDS)


@pytest.fixture(scope="module")
def server():
    running = Server()
    yield running
    running.stop()


def read_response(conn, buffer=None):
    """Return (status, body) of the next response; (0, b"") if the connection is closed.

    `buffer` holds the bytes of later responses; without it there must be none.
    """
    data = bytes(buffer or b"")
    while b"\r\n\r\n" not in data:
        more = conn.recv(65536)
        if not more:
            return 0, data
        data += more
    head, _, body = data.partition(b"\r\n\r\n")
    length = int(head.lower().split(b"content-length:")[1].split(b"\r\n")[0])
    while len(body) < length:
        body += conn.recv(65536)
    if buffer is not None:
        buffer[:] = body[length:]
    else:
        assert len(body) == length, "unexpected bytes after the response"
    return int(head.split(b" ")[1]), body[:length]


def send_request(server, data):
    with server.connect() as conn:
        conn.sendall(data)
        return read_response(conn)


class TestPipelining:
    def test_pipelined_requests_are_answered_in_order(self, server):
        with server.connect() as conn:
            conn.sendall(b"".join(b"GET /%d HTTP/1.1\r\n\r\n" % n for n in range(5)))
            data = b""
            while data.count(b"GET /") < 5:
                data += conn.recv(65536)
        assert [data.index(b"GET /%d " % n) for n in range(5)] == sorted(
            data.index(b"GET /%d " % n) for n in range(5)
        )

    def test_many_requests_that_are_answered_at_once_do_not_nest(self, server):
        """Each was handled within the answer to the one before, up to Python's limit of frames."""
        count, before = 1500, len(server.faults)
        requests = b"".join(b"GET /%d HTTP/1.1\r\n\r\n" % n for n in range(count))
        buffer, found = bytearray(), []
        with server.connect() as conn:
            conn.sendall(requests)
            for _ in range(count):
                found.append(read_response(conn, buffer))
        assert found == [(200, b"GET /%d " % n) for n in range(count)]
        assert server.faults[before:] == []

    def test_large_request_behind_one_in_progress_does_not_end_it(self, server):
        """More than 64 KiB of the next request closed the connection, and lost the answer."""
        server.arrived.clear()
        bodies = [b"POST /%d HTTP/1.1\r\nContent-Length: 1500\r\n\r\n" % n for n in range(200)]
        buffer, found = bytearray(), []
        with server.connect() as conn:
            conn.sendall(b"GET /hold HTTP/1.1\r\n\r\n")
            assert server.arrived.wait(WAIT_SECONDS)
            data = b"".join(each + b"x" * 1500 for each in bodies)
            sender = threading.Thread(target=conn.sendall, args=(data,), daemon=True)
            sender.start()
            time.sleep(0.2)
            held = server.pending["exchange"]
            server.run_in_loop(lambda: held.respond(200, (), b"held"))
            found = [read_response(conn, buffer) for _ in range(201)]
            sender.join(WAIT_SECONDS)
        assert found[0] == (200, b"held")
        assert [body[:10].split()[1] for _, body in found[1:]] == [b"/%d" % n for n in range(200)]

    def test_late_answer_to_a_request_that_failed_is_dropped(self, server):
        """A second answer was taken for the one to the next request on the connection."""
        server.disconnected.clear()
        with server.connect() as conn:
            conn.sendall(b"GET /accepted-fault HTTP/1.1\r\n\r\n")
            assert read_response(conn)[0] == 500
            assert server.disconnected.wait(WAIT_SECONDS)
            first = server.pending["exchange"]
            server.arrived.clear()
            conn.sendall(b"GET /hold HTTP/1.1\r\n\r\n")
            assert server.arrived.wait(WAIT_SECONDS)
            second = server.pending["exchange"]
            server.run_in_loop(lambda: first.respond(504, (), b"late"))
            server.run_in_loop(lambda: second.respond(200, (), b"its own"))
            assert read_response(conn) == (200, b"its own")
        server.faults.clear()

    def test_request_received_during_a_response_is_deferred(self, server):
        server.arrived.clear()
        server.hold_count = 0
        with server.connect() as conn:
            conn.sendall(b"GET /hold HTTP/1.1\r\n\r\n")
            assert server.arrived.wait(WAIT_SECONDS)
            conn.sendall(b"POST /second HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc")
            # A round trip on another connection ensures that the server has read the bytes above.
            assert send_request(server, b"GET /x HTTP/1.1\r\n\r\n")[0] == 200
            exchange = server.pending["exchange"]
            server.run_in_loop(lambda: exchange.respond(200, (), b"first"))
            buffer = bytearray()
            assert read_response(conn, buffer) == (200, b"first")
            assert read_response(conn, buffer) == (200, b"POST /second abc")
        assert server.hold_count == 1

    def test_disconnect_of_a_caller_is_reported(self, server):
        server.arrived.clear()
        server.disconnected.clear()
        with server.connect() as conn:
            conn.sendall(b"GET /hold HTTP/1.1\r\n\r\n")
            assert server.arrived.wait(WAIT_SECONDS)
        assert server.disconnected.wait(WAIT_SECONDS)


class TestLimits:
    def test_incomplete_request_times_out(self, server):
        with server.connect() as conn:
            conn.sendall(b"POST / HTTP/1.1\r\nContent-Length: 10\r\n\r\nhalf")
            # A round trip on another connection ensures that the server has read the bytes above.
            assert send_request(server, b"GET /x HTTP/1.1\r\n\r\n")[0] == 200
            server.advance_time(6.0)
            status, body = read_response(conn)
        assert status == 408
        assert b"request_timeout" in body

    def test_oversized_body_and_head_are_rejected(self, server):
        assert send_request(server, b"POST / HTTP/1.1\r\nContent-Length: 3000\r\n\r\n")[0] == 413
        assert send_request(server, b"GET / HTTP/1.1\r\nA: " + b"x" * 20_000)[0] == 431
        chunk = b"800\r\n" + b"x" * 0x800 + b"\r\n"
        head = b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
        assert send_request(server, head + chunk)[0] == 413

    def test_caller_that_does_not_read_is_disconnected(self, server):
        server.disconnected.clear()
        with server.connect() as conn:
            conn.sendall(b"GET /flood HTTP/1.1\r\n\r\n")
            assert server.disconnected.wait(WAIT_SECONDS)

    def test_exception_details_are_not_sent(self, server):
        status, body = send_request(server, b"GET /fault HTTP/1.1\r\n\r\n")
        assert status == 500
        assert b"secret" not in body and b"Traceback" not in body
        assert b'"kind":"internal_error"' in body


MALFORMED_REQUESTS = [
    b"POST / HTTP/1.1\r\nContent-Length: abc\r\n\r\n",
    b"POST / HTTP/1.1\r\nContent-Length: -5\r\n\r\nhello",
    b"POST / HTTP/1.1\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
    b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03\r\n\r\n",
    b"GET / HTTP/9.9\r\n\r\n",
]


class TestMalformedRequests:
    @pytest.mark.parametrize("data", MALFORMED_REQUESTS)
    def test_error_response_and_close(self, server, data):
        with server.connect() as conn:
            conn.sendall(data)
            status, body = read_response(conn)
            assert status == 400
            assert b"malformed_request" in body and b"Traceback" not in body
            assert conn.recv(100) == b""

    @settings(max_examples=60)
    @given(
        junk=st.one_of(
            st.binary(max_size=120),
            st.sampled_from(MALFORMED_REQUESTS),
            st.builds(
                lambda a, b: a + b, st.sampled_from(MALFORMED_REQUESTS), st.binary(max_size=40)
            ),
        ),
        cut=st.integers(0, 60),
    )
    def test_other_connections_are_unaffected(self, server, junk, cut):
        """A valid request on another open connection gets exactly its own response."""
        with server.connect() as good, server.connect() as bad:
            good.sendall(b"POST /good HTTP/1.1\r\nContent-Length: 6\r\n\r\nabc")
            bad.sendall(junk[:cut])
            bad.sendall(junk[cut:])
            good.sendall(b"def")
            assert read_response(good) == (200, b"POST /good abcdef")
        assert server.faults == [] or all("secret" in str(each) for each in server.faults)


class TestClosedSocket:
    def test_response_to_a_just_closed_socket_is_ignored(self, server):
        """The socket is closed before the close is reported to the connection."""
        done = threading.Event()
        faults = len(server.faults)
        server.arrived.clear()
        conn = socket.create_connection(("127.0.0.1", server.port), WAIT_SECONDS)
        conn.sendall(b"GET /hold HTTP/1.1\r\nHost: x\r\n\r\n")
        assert server.arrived.wait(WAIT_SECONDS)

        def close_and_respond():
            exchange = server.pending["exchange"]
            exchange.abort()
            exchange.respond(200, (), b"late")
            done.set()

        server.run_in_loop(close_and_respond)
        assert done.wait(WAIT_SECONDS)
        conn.close()
        assert len(server.faults) == faults


class TestShutdown:
    @pytest.mark.parametrize(
        "close",
        [
            lambda server, sock: server.server.close_idle(),
            lambda server, sock: server.server._connections[sock]._timer.callback(),
        ],
        ids=["stop", "idle timeout"],
    )
    def test_request_that_arrived_before_the_close_is_answered(self, server, close):
        """The request is in the kernel's receive buffer when its idle connection is closed."""
        conn = socket.create_connection(("127.0.0.1", server.port), WAIT_SECONDS)
        conn.settimeout(WAIT_SECONDS)
        conn.sendall(b"GET /a HTTP/1.1\r\nHost: x\r\n\r\n")
        assert conn.recv(4096)
        port = conn.getsockname()[1]

        def send_and_close():
            states = server.server._connections
            (sock,) = (each for each in states if each.getpeername()[1] == port)
            conn.sendall(b"GET /b HTTP/1.1\r\nHost: x\r\n\r\n")
            close(server, sock)

        faults = len(server.faults)
        server.run_in_loop(send_and_close)
        assert b"GET /b" in conn.recv(4096)
        # The connection stays open, so a later request is answered too.
        conn.sendall(b"GET /c HTTP/1.1\r\nHost: x\r\n\r\n")
        assert b"GET /c" in conn.recv(4096)
        assert len(server.faults) == faults
        conn.close()

    def test_bytes_received_after_an_idle_close_are_not_read(self, server):
        """The bytes stay in the kernel, so the caller sees that its request was not accepted."""
        conn = server.connect()
        conn.sendall(b"GET /a HTTP/1.1\r\nHost: x\r\n\r\n")
        assert conn.recv(4096)
        hold_count = server.hold_count

        def close_and_send():
            server.server.close_idle()
            conn.sendall(b"GET /hold HTTP/1.1\r\nHost: x\r\n\r\n")

        server.run_in_loop(close_and_send)
        with contextlib.suppress(ConnectionResetError):
            assert conn.recv(4096) == b""
        assert server.hold_count == hold_count
        conn.close()

    def test_incomplete_request_is_rejected_at_shutdown(self, server):
        """A reset would not show the caller if its request was accepted."""
        partial, idle = (server.connect() for _ in range(2))
        partial.sendall(b"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\npart")
        idle.sendall(b"GET /a HTTP/1.1\r\nHost: x\r\n\r\n")
        assert read_response(idle)[0] == 200
        rejected = []

        def reject():
            rejected.append(server.server.reject_incomplete(RequestError(ErrorKind.DRAINING)))

        while not any(rejected):
            server.run_in_loop(reject)
        status, body = read_response(partial)
        assert (status, sum(rejected)) == (503, 1)
        assert b'"ran":"no"' in body
        assert partial.recv(10) == b""
        partial.close()
        idle.close()

    def test_connection_closes_after_its_response(self, server, request):
        conn = socket.create_connection(("127.0.0.1", server.port), WAIT_SECONDS)
        conn.settimeout(WAIT_SECONDS)
        conn.sendall(b"GET /a HTTP/1.1\r\nHost: x\r\n\r\n")
        assert b"Connection: close" not in conn.recv(4096)
        server.run_in_loop(lambda: setattr(server.server, "closing", True))
        request.addfinalizer(lambda: setattr(server.server, "closing", False))
        conn.sendall(b"GET /b HTTP/1.1\r\nHost: x\r\n\r\n")
        assert b"Connection: close" in conn.recv(4096)
        assert conn.recv(4096) == b""
        conn.close()

    def test_close_idle_keeps_connections_with_a_request(self, server):
        idle, busy = (
            socket.create_connection(("127.0.0.1", server.port), WAIT_SECONDS) for _ in range(2)
        )
        server.arrived.clear()
        busy.sendall(b"GET /hold HTTP/1.1\r\nHost: x\r\n\r\n")
        assert server.arrived.wait(WAIT_SECONDS)
        server.run_in_loop(server.server.close_idle)
        idle.settimeout(WAIT_SECONDS)
        assert idle.recv(10) == b""
        server.run_in_loop(lambda: server.pending["exchange"].respond(200, (), b"whole"))
        busy.settimeout(WAIT_SECONDS)
        assert b"whole" in busy.recv(4096)
        idle.close()
        busy.close()


class TestRefusal:
    def test_time_that_a_connection_has_waited_is_measured_and_a_refused_one_is_reset(self, server):
        """The process saw only that some connection waited, not for how long each had."""
        waits = []
        server.server.set_refusal(lambda waited: waits.append(waited) or waited > 0.15)
        is_blocked, is_connected = threading.Event(), threading.Event()

        def block():
            is_blocked.set()
            assert is_connected.wait(WAIT_SECONDS)
            time.sleep(0.2)

        server.runtime.timers.once(0.0, block)
        server.runtime.poller.resume()
        assert is_blocked.wait(WAIT_SECONDS)
        try:
            with server.connect() as conn:
                conn.sendall(b"GET /late HTTP/1.1\r\nHost: a.example\r\n\r\n")
                is_connected.set()
                with pytest.raises(ConnectionResetError):
                    conn.recv(1)
            with server.connect() as conn:
                conn.sendall(b"GET /soon HTTP/1.1\r\nHost: a.example\r\n\r\n")
                assert read_response(conn)[0] == 200
        finally:
            server.server.set_refusal(lambda waited: None)
        assert 0.15 < waits[0] < 5.0 and waits[1] < 0.15
