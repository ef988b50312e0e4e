"""The guarded server on real sockets: hostile callers get an error and harm nobody else."""

import contextlib
import socket
import threading

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from flamingofront.connection.runtime import Runtime
from flamingofront.connection.server import HTTPServer, ServerLimits
from flamingofront.errors import ErrorKind, RequestError
from flamingofront.process.timers import ManualClock

WAIT_SECONDS = 5.0


class Server:
    """A server in a thread of its own, with a clock that the test moves."""

    def __init__(self):
        self.clock = ManualClock()
        self.faults = []
        self.gone = threading.Event()
        self.held = {}
        self.holds = 0
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
        if req.path == "/hold":
            exchange.on_disconnect = self.gone.set
            self.held["exchange"] = exchange
            self.holds += 1
            self.arrived.set()
            return
        if req.path == "/flood":
            exchange.begin(200, ())
            while exchange.send(b"x" * 10_000):
                pass
            exchange.abort()
            self.gone.set()
            return
        exchange.respond(200, (), f"{req.method} {req.path} ".encode() + req.body)

    def act(self, callback):
        """Run something in the server's thread, and wait until it is done."""
        done = threading.Event()

        def run():
            callback()
            done.set()

        self.runtime.timers.once(0.0, run)
        self.runtime.poller.resume()
        assert done.wait(WAIT_SECONDS)

    def pass_time(self, seconds):
        self.clock.time += seconds
        self.runtime.poller.resume()

    def connect(self):
        conn = socket.create_connection(("127.0.0.1", self.port), timeout=WAIT_SECONDS)
        conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return conn

    def stop(self):
        self.act(self.runtime.stop)
        self.thread.join(WAIT_SECONDS)


@pytest.fixture(scope="module")
def server():
    running = Server()
    yield running
    running.stop()


def read_answer(conn, buffer=None):
    """Return (status, body) of the next answer; (0, b"") if the connection is closed.

    `buffer` keeps the bytes of later answers; without it there must be none.
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
        assert len(body) == length, "bytes of another answer follow"
    return int(head.split(b" ")[1]), body[:length]


def ask(server, data):
    with server.connect() as conn:
        conn.sendall(data)
        return read_answer(conn)


class TestOneAtATime:
    def test_pipelined_requests_are_answered_in_order(self, server):
        with server.connect() as conn:
            conn.sendall(b"".join(b"GET /%d HTTP/1.1\r\n\r\n" % n for n in range(5)))
            data = b""
            while data.count(b"GET /") < 5:
                data += conn.recv(65536)
        assert [data.index(b"GET /%d " % n) for n in range(5)] == sorted(
            data.index(b"GET /%d " % n) for n in range(5)
        )

    def test_request_that_begins_during_an_answer_waits(self, server):
        server.arrived.clear()
        server.holds = 0
        with server.connect() as conn:
            conn.sendall(b"GET /hold HTTP/1.1\r\n\r\n")
            assert server.arrived.wait(WAIT_SECONDS)
            conn.sendall(b"POST /second HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc")
            # A round trip on another connection: the server has read the bytes above.
            assert ask(server, b"GET /x HTTP/1.1\r\n\r\n")[0] == 200
            exchange = server.held["exchange"]
            server.act(lambda: exchange.respond(200, (), b"first"))
            buffer = bytearray()
            assert read_answer(conn, buffer) == (200, b"first")
            assert read_answer(conn, buffer) == (200, b"POST /second abc")
        assert server.holds == 1

    def test_caller_that_leaves_is_noticed(self, server):
        server.arrived.clear()
        server.gone.clear()
        with server.connect() as conn:
            conn.sendall(b"GET /hold HTTP/1.1\r\n\r\n")
            assert server.arrived.wait(WAIT_SECONDS)
        assert server.gone.wait(WAIT_SECONDS)


class TestLimits:
    def test_half_a_request_then_silence(self, server):
        with server.connect() as conn:
            conn.sendall(b"POST / HTTP/1.1\r\nContent-Length: 10\r\n\r\nhalf")
            # A second connection proves that the server has read the first one's bytes.
            assert ask(server, b"GET /x HTTP/1.1\r\n\r\n")[0] == 200
            server.pass_time(6.0)
            status, body = read_answer(conn)
        assert status == 408
        assert b"request_timeout" in body

    def test_large_body_and_head(self, server):
        assert ask(server, b"POST / HTTP/1.1\r\nContent-Length: 3000\r\n\r\n")[0] == 413
        assert ask(server, b"GET / HTTP/1.1\r\nA: " + b"x" * 20_000)[0] == 431
        chunk = b"800\r\n" + b"x" * 0x800 + b"\r\n"
        head = b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
        assert ask(server, head + chunk)[0] == 413

    def test_slow_reader_is_cut_off(self, server):
        server.gone.clear()
        with server.connect() as conn:
            conn.sendall(b"GET /flood HTTP/1.1\r\n\r\n")
            assert server.gone.wait(WAIT_SECONDS)

    def test_fault_in_a_handler_leaks_nothing(self, server):
        status, body = ask(server, b"GET /fault HTTP/1.1\r\n\r\n")
        assert status == 500
        assert b"secret" not in body and b"Traceback" not in body
        assert b'"kind":"internal_error"' in body


BAD = [
    b"POST / HTTP/1.1\r\nContent-Length: abc\r\n\r\n",
    b"POST / HTTP/1.1\r\nContent-Length: -5\r\n\r\nhello",
    b"POST / HTTP/1.1\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
    b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03\r\n\r\n",
    b"GET / HTTP/9.9\r\n\r\n",
]


class TestHostile:
    @pytest.mark.parametrize("data", BAD)
    def test_clear_error_and_a_closed_connection(self, server, data):
        with server.connect() as conn:
            conn.sendall(data)
            status, body = read_answer(conn)
            assert status == 400
            assert b"malformed_request" in body and b"Traceback" not in body
            assert conn.recv(100) == b""

    @settings(max_examples=60)
    @given(
        junk=st.one_of(
            st.binary(max_size=120),
            st.sampled_from(BAD),
            st.builds(lambda a, b: a + b, st.sampled_from(BAD), st.binary(max_size=40)),
        ),
        cut=st.integers(0, 60),
    )
    def test_others_are_untouched(self, server, junk, cut):
        """A good connection, open at the same time, gets exactly its own answer."""
        with server.connect() as good, server.connect() as bad:
            good.sendall(b"POST /good HTTP/1.1\r\nContent-Length: 6\r\n\r\nabc")
            bad.sendall(junk[:cut])
            bad.sendall(junk[cut:])
            good.sendall(b"def")
            assert read_answer(good) == (200, b"POST /good abcdef")
        assert server.faults == [] or all("secret" in str(each) for each in server.faults)


class TestClosedSocket:
    def test_answer_to_a_socket_that_was_just_closed_is_no_fault(self, server):
        """The socket closes before the event that tells of it is handled."""
        done = threading.Event()
        faults = len(server.faults)
        server.arrived.clear()
        conn = socket.create_connection(("127.0.0.1", server.port), WAIT_SECONDS)
        conn.sendall(b"GET /hold HTTP/1.1\r\nHost: x\r\n\r\n")
        assert server.arrived.wait(WAIT_SECONDS)

        def close_and_answer():
            exchange = server.held["exchange"]
            exchange.abort()
            exchange.respond(200, (), b"late")
            done.set()

        server.act(close_and_answer)
        assert done.wait(WAIT_SECONDS)
        conn.close()
        assert len(server.faults) == faults


class TestStoppingServer:
    @pytest.mark.parametrize(
        "close",
        [
            lambda server, sock: server.server.close_idle(),
            lambda server, sock: server.server._connections[sock]._timer.callback(),
        ],
        ids=["stop", "idle timeout"],
    )
    def test_request_that_has_arrived_at_the_close_is_answered(self, server, close):
        """Its bytes wait in the kernel while the idle connection is about to be closed."""
        conn = socket.create_connection(("127.0.0.1", server.port), WAIT_SECONDS)
        conn.settimeout(WAIT_SECONDS)
        conn.sendall(b"GET /a HTTP/1.1\r\nHost: x\r\n\r\n")
        assert conn.recv(4096)
        port = conn.getsockname()[1]

        def read_and_close():
            states = server.server._connections
            (sock,) = (each for each in states if each.getpeername()[1] == port)
            conn.sendall(b"GET /b HTTP/1.1\r\nHost: x\r\n\r\n")
            close(server, sock)

        faults = len(server.faults)
        server.act(read_and_close)
        assert b"GET /b" in conn.recv(4096)
        # The connection lives on: a request that comes later is answered too.
        conn.sendall(b"GET /c HTTP/1.1\r\nHost: x\r\n\r\n")
        assert b"GET /c" in conn.recv(4096)
        assert len(server.faults) == faults
        conn.close()

    def test_bytes_that_come_while_a_connection_is_retired_are_not_read(self, server):
        """They stay in the kernel, so that the caller sees that the request was not taken."""
        conn = server.connect()
        conn.sendall(b"GET /a HTTP/1.1\r\nHost: x\r\n\r\n")
        assert conn.recv(4096)
        holds = server.holds

        def close_and_send():
            server.server.close_idle()
            conn.sendall(b"GET /hold HTTP/1.1\r\nHost: x\r\n\r\n")

        server.act(close_and_send)
        with contextlib.suppress(ConnectionResetError):
            assert conn.recv(4096) == b""
        assert server.holds == holds
        conn.close()

    def test_request_that_has_not_come_whole_is_refused_before_the_end(self, server):
        """Its caller saw a reset, which leaves open whether the request was taken."""
        partial, idle = (server.connect() for _ in range(2))
        partial.sendall(b"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\npart")
        idle.sendall(b"GET /a HTTP/1.1\r\nHost: x\r\n\r\n")
        assert read_answer(idle)[0] == 200
        refused = []

        def refuse():
            refused.append(server.server.reject_incomplete(RequestError(ErrorKind.DRAINING)))

        while not any(refused):
            server.act(refuse)
        status, body = read_answer(partial)
        assert (status, sum(refused)) == (503, 1)
        assert b'"ran":"no"' in body
        assert partial.recv(10) == b""
        partial.close()
        idle.close()

    def test_answers_end_their_connection(self, server, request):
        conn = socket.create_connection(("127.0.0.1", server.port), WAIT_SECONDS)
        conn.settimeout(WAIT_SECONDS)
        conn.sendall(b"GET /a HTTP/1.1\r\nHost: x\r\n\r\n")
        assert b"Connection: close" not in conn.recv(4096)
        server.act(lambda: setattr(server.server, "closing", True))
        request.addfinalizer(lambda: setattr(server.server, "closing", False))
        conn.sendall(b"GET /b HTTP/1.1\r\nHost: x\r\n\r\n")
        assert b"Connection: close" in conn.recv(4096)
        assert conn.recv(4096) == b""
        conn.close()

    def test_only_connections_without_a_request_are_idle(self, server):
        idle, busy = (
            socket.create_connection(("127.0.0.1", server.port), WAIT_SECONDS) for _ in range(2)
        )
        server.arrived.clear()
        busy.sendall(b"GET /hold HTTP/1.1\r\nHost: x\r\n\r\n")
        assert server.arrived.wait(WAIT_SECONDS)
        server.act(server.server.close_idle)
        idle.settimeout(WAIT_SECONDS)
        assert idle.recv(10) == b""
        server.act(lambda: server.held["exchange"].respond(200, (), b"whole"))
        busy.settimeout(WAIT_SECONDS)
        assert b"whole" in busy.recv(4096)
        idle.close()
        busy.close()
