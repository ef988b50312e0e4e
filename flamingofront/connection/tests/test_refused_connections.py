"""What a call or a connection states of a request that was refused, on real sockets."""

import contextlib
import socket
import threading
import time

import pytest

from flamingofront.connection.runtime import Runtime
from flamingofront.connection.server import HTTPServer
from flamingofront.connection.tests.test_client import Client, Endpoint, encode_response
from flamingofront.connection.tests.test_server import Server, read_response
from flamingofront.connection.tests.test_splice import Pair
from flamingofront.errors import ErrorKind, RequestError
from flamingofront.messages import CallFailed, OutboundCall

WAIT_SECONDS = 5.0


@pytest.fixture
def client():
    started = Client()
    yield started
    started.stop()
    assert started.faults == []


class RefusingServer(Server):
    """Server whose handler refuses a request, at once or after it has accepted it."""

    def __init__(self):
        self.rejected = []
        super().__init__()
        self.server.count_rejection = self.rejected.append

    def handle(self, req, exchange):
        if req.path == "/large":
            exchange.on_disconnect = self.disconnected.set
            exchange.respond(200, (), b"x" * 8_000_000)
            self.pending["exchange"] = exchange
            self.arrived.set()
            return
        if req.path == "/refuse-accepted":
            exchange.on_disconnect = self.disconnected.set
        if req.path.startswith("/refuse"):
            raise RequestError(ErrorKind.OVERLOADED, retry_after=1.0)
        super().handle(req, exchange)


@pytest.fixture
def server():
    running = RefusingServer()
    yield running
    running.stop()


class KeepingEndpoint(Endpoint):
    """Endpoint that answers one request on a connection and leaves it open."""

    def _serve(self, conn):
        self.requests.append(conn.recv(65536))
        conn.sendall(self.responses.pop(0))
        self.kept = conn


class TestCallsThatFailAtOnce:
    def start_on_broken_connection(self, client, address, **options):
        """Start a call on an idle connection that takes no bytes; return what was seen when."""
        events, seen, done = [], [], threading.Event()

        def listen(event):
            events.append(event)
            if isinstance(event, CallFailed):
                done.set()

        def start():
            (conn,) = client.client._idle[address]
            conn.sock.shutdown(socket.SHUT_WR)
            call = OutboundCall(address, "POST", "/x", b"body", timeout=60.0, **options)
            handle = client.client.start(call, listen)
            seen.append((list(events), handle.wrote))

        client.run_in_loop(start)
        assert done.wait(WAIT_SECONDS)
        return seen[0], events

    def test_no_event_comes_before_the_handle(self, client):
        """The owner of a call that had failed already kept its handle as that of a running one."""
        endpoint = KeepingEndpoint(encode_response())
        client.call(endpoint.address)
        (before, wrote), events = self.start_on_broken_connection(client, endpoint.address)
        assert before == [] and wrote
        assert events == [CallFailed("reset", True, True)]


class UnreadEndpoint:
    """Endpoint that reads nothing until it is told to."""

    def __init__(self):
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"

    def read_all(self):
        """Return what arrived on the first connection until its end."""
        conn, _ = self.listener.accept()
        received = b""
        with conn, contextlib.suppress(ConnectionResetError):
            while data := conn.recv(1 << 20):
                received += data
        return received


class TestCancelledCalls:
    """What a call that is given up has written, and what still arrives."""

    def start(self, client, address, body):
        call = OutboundCall(address, "POST", "/x", body, timeout=60.0)
        return client.client.start(call, lambda event: None)

    def test_call_that_was_not_written_never_arrives(self, client):
        endpoint, wrote = UnreadEndpoint(), []

        def start_and_cancel():
            handle = self.start(client, endpoint.address, b"body")
            handle.cancel()
            wrote.append(handle.wrote)

        client.run_in_loop(start_and_cancel)
        client.advance_time(0.0)
        assert wrote == [False] and endpoint.read_all() == b""

    def test_what_the_kernel_still_held_never_arrives(self, client):
        endpoint, size, seen = UnreadEndpoint(), 32_000_000, []
        client.run_in_loop(lambda: seen.append(self.start(client, endpoint.address, bytes(size))))
        time.sleep(0.2)

        def cancel():
            (handle,) = seen
            seen.append(size - len(handle.conn._unsent))
            handle.cancel()

        client.run_in_loop(cancel)
        client.advance_time(0.0)
        handle, accepted = seen
        assert handle.wrote and len(endpoint.read_all()) < accepted < size


class TestHandedOverConnections:
    """A connection that another process serves carries its answers, and ends as it does."""

    @pytest.fixture
    def pair(self):
        pair = Pair()
        yield pair
        pair.run_in_loop(pair.runtime.stop)
        assert pair.faults == []

    @pytest.mark.parametrize("cut", [1, 40, -1])
    def test_requests_in_two_writes_get_the_answers_of_their_own(self, pair, cut):
        requests = [
            b"POST /%d HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n\r\n%d" % (n, n)
            for n in range(2)
        ]
        buffer = bytearray()
        with pair.connect() as conn:
            conn.sendall(requests[0] + requests[1][:cut])
            assert read_response(conn, buffer) == (200, b"0")
            conn.sendall(requests[1][cut:])
            assert read_response(conn, buffer) == (200, b"1")
        assert [each.path for each in pair.requests] == ["/0", "/1"]

    def test_caller_that_ends_its_side_gets_no_refusal(self, pair):
        with pair.connect() as conn:
            conn.sendall(b"POST /hold HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n")
            assert pair.held.wait(WAIT_SECONDS)
            conn.shutdown(socket.SHUT_WR)
            assert pair.left.wait(WAIT_SECONDS)
            with contextlib.suppress(ConnectionResetError):
                assert conn.recv(100) == b""


class TestErrorsOfHandlers:
    def ask(self, server, path):
        with server.connect() as conn:
            conn.sendall(f"POST {path} HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n".encode())
            return read_response(conn)[0]

    def test_request_that_was_accepted_is_not_refused(self, server):
        """Its handler went on with it, unaware of the response that its caller got."""
        assert self.ask(server, "/refuse-accepted") == 500
        assert server.disconnected.wait(WAIT_SECONDS) and len(server.faults) == 1

    def test_request_that_was_not_accepted_is_refused(self, server):
        assert self.ask(server, "/refuse") == 503
        assert not server.disconnected.is_set() and server.faults == []


class TestRejectionOfIncompleteRequests:
    def test_rejected_request_is_not_answered_again_while_the_answer_waits(self, server):
        """A caller that reads late found a second response, to no request."""
        with server.connect() as conn:
            conn.sendall(b"GET /large HTTP/1.1\r\nHost: x\r\n\r\n")
            assert server.arrived.wait(WAIT_SECONDS)
            conn.sendall(b"GET / HTTP/9.9\r\n\r\n")
            while not server.rejected:
                server.run_in_loop(lambda: None)
            server.advance_time(6.0)
            server.run_in_loop(lambda: None)
            received = b""
            while data := conn.recv(1 << 20):
                received += data
        assert [each[:3] for each in received.split(b"HTTP/1.1 ")[1:]] == [b"200", b"400"]


class TestLastResponseOfAConnection:
    def test_what_its_handler_still_sends_is_dropped(self, server):
        """The channel of a request was closed by the next request, and here there is none."""
        server.run_in_loop(lambda: setattr(server.server, "closing", True))
        with server.connect() as conn:
            conn.sendall(b"GET /large HTTP/1.1\r\nHost: x\r\n\r\n")
            assert server.arrived.wait(WAIT_SECONDS)
            late = server.pending["exchange"]
            server.run_in_loop(lambda: late.respond(503, (), b"late"))
            received = b""
            while data := conn.recv(1 << 20):
                received += data
        server.run_in_loop(lambda: None)
        assert [each[:3] for each in received.split(b"HTTP/1.1 ")[1:]] == [b"200"]
        assert not server.disconnected.is_set()


class TestPipelinedRequests:
    def test_other_connections_are_served_beside_many_pipelined_requests(self):
        """With a clock that stands still all of them are due in one turn, before any other."""
        handled, runtime, is_sent = [], Runtime(lambda exc: None), threading.Event()

        def handle(req, exchange):
            is_sent.wait(WAIT_SECONDS)
            handled.append(req.path)
            exchange.respond(200, (), b"")

        server = HTTPServer(("127.0.0.1", 0), handle, runtime.timers).register(runtime)
        thread = threading.Thread(target=runtime.run, daemon=True)
        thread.start()
        address = ("127.0.0.1", server.port)
        with socket.create_connection(address) as busy, socket.create_connection(address) as other:
            busy.sendall(b"".join(b"GET /%d HTTP/1.1\r\n\r\n" % n for n in range(3000)))
            other.sendall(b"GET /other HTTP/1.1\r\n\r\n")
            is_sent.set()
            assert read_response(other)[0] == 200
        assert handled.index("/other") < 100
        runtime.timers.once(0.0, runtime.stop)
        runtime.poller.resume()
        thread.join(WAIT_SECONDS)
