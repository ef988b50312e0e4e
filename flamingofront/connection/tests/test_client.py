"""Tests of the HTTP client against misbehaving endpoints, with real sockets and a manual clock."""

import queue
import select
import socket
import threading
import time

import pytest

from flamingofront.connection.call_guard import CallGuard, CallStep
from flamingofront.connection.client import (
    MAX_COLLECTED_BYTES,
    MAX_TOTAL_COLLECTED_BYTES,
    USER_TIMEOUT_MS,
    HTTPClient,
)
from flamingofront.connection.interfaces import ConnectResult
from flamingofront.connection.runtime import Runtime
from flamingofront.messages import (
    NO_IDLE_CONNECTION,
    CallFailed,
    OutboundCall,
    ResponseData,
    ResponseEnd,
    ResponseHead,
)
from flamingofront.process.timers import ManualClock

WAIT_SECONDS = 5.0


class Endpoint:
    """Endpoint that sends the next of its prepared responses for each received request."""

    def __init__(self, *responses, close_after=False):
        self.responses = list(responses)
        self.close_after = close_after
        self.connections = 0
        self.requests = []
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            try:
                conn, _ = self.listener.accept()
            except OSError:
                return
            self.connections += 1
            threading.Thread(target=self._serve, args=(conn,), daemon=True).start()

    def _serve(self, conn):
        while True:
            try:
                data = conn.recv(65536)
            except OSError:
                return
            if not data:
                return
            self.requests.append(data)
            conn.sendall(self.responses.pop(0))
            if self.close_after:
                conn.close()
                return


class ClosingEndpoint(Endpoint):
    """Endpoint that closes a connection, unread, after it got its second request."""

    def __init__(self, *responses):
        self.may_close = threading.Event()
        self.may_close.set()
        super().__init__(*responses)

    def _serve(self, conn):
        conn.recv(65536)
        self.requests.append(1)
        conn.sendall(self.responses.pop(0))
        # The next request waits unread, so that closing the socket resets the connection.
        select.select([conn], [], [], WAIT_SECONDS)
        self.may_close.wait(WAIT_SECONDS)
        conn.close()


class Client:
    """HTTP client in its own thread."""

    def __init__(self):
        self.clock = ManualClock()
        self.faults = []
        self.runtime = Runtime(self.faults.append, clock=self.clock)
        self.client = HTTPClient(self.runtime.timers).register(self.runtime)
        self.thread = threading.Thread(target=self.runtime.run, daemon=True)
        self.thread.start()

    def run_in_loop(self, callback):
        self.runtime.timers.once(0.0, callback)
        self.runtime.poller.resume()

    def call(self, address, **options):
        """Make a call and return all of its events."""
        events, done = [], threading.Event()

        def listen(event):
            events.append(event)
            if isinstance(event, ResponseEnd | CallFailed):
                done.set()

        call = OutboundCall(address, "GET", "/x?y=%20", timeout=60.0, **options)
        self.run_in_loop(lambda: self.client.start(call, listen))
        assert done.wait(WAIT_SECONDS)
        return events

    def advance_time(self, seconds):
        self.clock.time += seconds
        done = threading.Event()
        self.run_in_loop(done.set)
        assert done.wait(WAIT_SECONDS)

    def stop(self):
        self.run_in_loop(self.runtime.stop)
        self.thread.join(WAIT_SECONDS)


@pytest.fixture
def client():
    started = Client()
    yield started
    started.stop()


def encode_response(body=b"ok", more="", extra=b""):
    head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n{more}\r\n".encode()
    return head + body + extra


class TestReuse:
    def test_connection_is_reused(self, client):
        endpoint = Endpoint(encode_response(), encode_response(b"two"))
        client.call(endpoint.address)
        events = client.call(endpoint.address)
        assert [each.data for each in events if isinstance(each, ResponseData)] == [b"two"]
        assert endpoint.connections == 1

    @pytest.mark.parametrize(
        "first",
        [
            encode_response(extra=b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray"),
            encode_response(more="Connection: close\r\n"),
            encode_response(more="Keep-Alive: timeout=1\r\n"),
        ],
        ids=["bytes after the response", "close announced", "keep-alive too short"],
    )
    def test_connection_is_not_reused(self, client, first):
        endpoint = Endpoint(first, encode_response(b"own"))
        client.call(endpoint.address)
        events = client.call(endpoint.address)
        assert [each.data for each in events if isinstance(each, ResponseData)] == [b"own"]
        assert endpoint.connections == 2

    def test_idle_connection_is_closed_before_the_announced_timeout(self, client):
        endpoint = Endpoint(encode_response(more="Keep-Alive: timeout=5\r\n"), encode_response())
        client.call(endpoint.address)
        client.advance_time(4.1)
        client.call(endpoint.address)
        assert endpoint.connections == 2

    def test_call_limited_to_idle_connections_opens_none(self, client):
        """It was sent on a new connection, to a forwarder that reaches nobody."""
        endpoint = Endpoint(encode_response(), encode_response())
        assert client.call(endpoint.address, idle_only=True) == [
            CallFailed(NO_IDLE_CONNECTION, False)
        ]
        client.call(endpoint.address)
        client.call(endpoint.address, idle_only=True)
        assert endpoint.connections == 1

    def test_fresh_call_opens_a_new_connection(self, client):
        endpoint = Endpoint(encode_response(), encode_response())
        client.call(endpoint.address)
        client.call(endpoint.address, new_connection=True)
        assert endpoint.connections == 2


class TestFraming:
    def test_target_and_host_are_sent_unchanged_without_content_length(self, client):
        endpoint = Endpoint(encode_response())
        client.call(endpoint.address, host="desk.example")
        (sent,) = endpoint.requests
        assert sent.startswith(b"GET /x?y=%20 HTTP/1.1\r\nHost: desk.example\r\n")
        assert b"Content-Length" not in sent

    def test_response_headers_are_unchanged(self, client):
        endpoint = Endpoint(encode_response(more="X-Seal: A.b\r\nX-Seal: c\r\n"))
        head = client.call(endpoint.address)[0]
        assert isinstance(head, ResponseHead)
        assert [value for name, value in head.fields if name == "X-Seal"] == ["A.b", "c"]

    def test_body_without_length_is_complete_at_close(self, client):
        endpoint = Endpoint(b"HTTP/1.1 200 OK\r\n\r\nuntil the end", close_after=True)
        assert isinstance(client.call(endpoint.address)[-1], ResponseEnd)

    def test_truncated_body_is_a_failure(self, client):
        endpoint = Endpoint(b"HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nhalf", close_after=True)
        *_, last = client.call(endpoint.address)
        assert last == CallFailed("reset", True)


class TestUnresponsiveTarget:
    def test_connect_timeout(self, client):
        listener = socket.socket()
        listener.bind(("127.0.0.1", 0))
        listener.listen(0)
        address = f"127.0.0.1:{listener.getsockname()[1]}"
        fillers = [socket.socket() for _ in range(4)]
        for each in fillers:
            each.setblocking(False)
            each.connect_ex(listener.getsockname())
        events, done = [], threading.Event()

        def listen(event):
            events.append(event)
            done.set()

        call = OutboundCall(address, "GET", "/", timeout=60.0, connect_timeout=0.25)
        client.run_in_loop(lambda: client.client.start(call, listen))
        client.advance_time(0.3)
        assert done.wait(WAIT_SECONDS)
        assert events == [CallFailed("connect", False)]
        for each in (*fillers, listener):
            each.close()

    def test_silence_timeout_sets_tcp_user_timeout(self, client):
        endpoint = Endpoint(encode_response(), encode_response())
        client.call(endpoint.address, ack_timeout=0.8)
        (conn,) = client.client._connections.values()
        option = (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)
        assert conn.sock.getsockopt(*option) == 800
        client.call(endpoint.address)
        assert conn.sock.getsockopt(*option) == USER_TIMEOUT_MS


class StepRecorder(CallGuard):
    """Keeps the steps of a call."""

    def __init__(self):
        self.steps = []

    def may_send(self):
        return True

    def record(self, step):
        self.steps.append(step)


class TestSteps:
    """The time at which a call was written could not be told from that of its response."""

    def test_steps_on_a_new_and_on_an_idle_connection(self, client):
        endpoint = Endpoint(encode_response(), encode_response())
        found = []
        for _ in range(2):
            guard = StepRecorder()
            client.call(endpoint.address, guard=guard)
            found.append(guard.steps)
        assert found == [list(CallStep), [CallStep.WRITTEN]]

    def test_refused_connection_is_never_established(self, client):
        listener = socket.create_server(("127.0.0.1", 0))
        address = f"127.0.0.1:{listener.getsockname()[1]}"
        listener.close()
        guard = StepRecorder()
        client.call(address, guard=guard)
        assert guard.steps == [CallStep.CONNECTING]


class SlowEndpoint:
    """Endpoint whose response is sent piece by piece by the test."""

    def __init__(self):
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        self._conn = None

    def send(self, data):
        """Send a part of the response; the first call accepts the connection."""
        if self._conn is None:
            self._conn, _ = self._listener.accept()
        self._conn.sendall(data)

    def stop(self):
        for each in (self._conn, self._listener):
            each.close()


class TestLargeResponses:
    """Guard against aborting and retrying a response that takes long on a slow link."""

    TIMEOUT_SECONDS = 1.0

    @pytest.fixture
    def endpoint(self):
        started = SlowEndpoint()
        yield started
        started.stop()

    def start_response(self, client, endpoint, **options):
        """Start a call and its response; return the queue of its further events."""
        events = queue.Queue()
        call = OutboundCall(endpoint.address, "GET", "/", timeout=self.TIMEOUT_SECONDS, **options)
        client.run_in_loop(lambda: client.client.start(call, events.put))
        endpoint.send(b"HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\nab")
        assert isinstance(events.get(timeout=WAIT_SECONDS), ResponseHead)
        assert events.get(timeout=WAIT_SECONDS) == ResponseData(b"ab")
        return events

    def test_response_that_makes_progress_is_read_completely(self, client, endpoint):
        events = self.start_response(client, endpoint, stall_timeout=self.TIMEOUT_SECONDS)
        for part in (b"cd", b"ef", b"gh"):
            client.advance_time(0.9 * self.TIMEOUT_SECONDS)
            endpoint.send(part)
            assert events.get(timeout=WAIT_SECONDS) == ResponseData(part)
        assert events.get(timeout=WAIT_SECONDS) == ResponseEnd()

    def test_stalled_response_times_out(self, client, endpoint):
        events = self.start_response(client, endpoint, stall_timeout=0.5 * self.TIMEOUT_SECONDS)
        client.advance_time(0.6 * self.TIMEOUT_SECONDS)
        assert events.get(timeout=WAIT_SECONDS) == CallFailed("timeout", True)

    def test_timeout_limits_the_whole_call_without_a_stall_timeout(self, client, endpoint):
        events = self.start_response(client, endpoint)
        client.advance_time(0.9 * self.TIMEOUT_SECONDS)
        endpoint.send(b"cd")
        assert events.get(timeout=WAIT_SECONDS) == ResponseData(b"cd")
        client.advance_time(0.2 * self.TIMEOUT_SECONDS)
        assert events.get(timeout=WAIT_SECONDS) == CallFailed("timeout", True)


def find_unused_address():
    with socket.create_server(("127.0.0.1", 0)) as listener:
        return f"127.0.0.1:{listener.getsockname()[1]}"


class TestProbe:
    @pytest.fixture
    def probe(self, client):
        def run_probe(address):
            results, done = [], threading.Event()

            def listen(result):
                results.append(result)
                done.set()

            client.run_in_loop(lambda: client.client.probe(address, 60.0, listen))
            assert done.wait(WAIT_SECONDS)
            assert not client.client._connections
            return results

        return run_probe

    def test_probe_of_a_listening_process(self, probe):
        assert probe(Endpoint().address) == [ConnectResult.CONNECTED]

    def test_probe_of_a_closed_port(self, probe):
        assert probe(find_unused_address()) == [ConnectResult.REFUSED]

    def test_call_to_a_closed_port_is_refused(self, client):
        assert client.call(find_unused_address()) == [CallFailed("refused", False)]


class TestClosedWhileIdle:
    """A reused connection turns out to have been closed by its target."""

    def test_repeatable_call_is_sent_again_on_a_new_connection(self, client):
        """Guards against a connection that was closed while idle, taken for a failure."""
        endpoint = ClosingEndpoint(encode_response(), encode_response(b"again"))
        client.call(endpoint.address)
        events = client.call(endpoint.address, stale_seconds=0.25)
        assert [type(each) for each in events] == [ResponseHead, ResponseData, ResponseEnd]
        assert events[1].data == b"again" and not events[0].reused
        assert endpoint.connections == 2

    def test_call_that_must_not_be_repeated_fails(self, client):
        endpoint = ClosingEndpoint(encode_response())
        client.call(endpoint.address)
        assert client.call(endpoint.address) == [CallFailed("reset", True, True)]

    def test_reset_long_after_the_call_was_sent_is_a_failure(self, client):
        """Guards against a long poll that is reset, taken for one on a closed connection."""
        endpoint = ClosingEndpoint(encode_response())
        client.call(endpoint.address)
        endpoint.may_close.clear()
        events = queue.Queue()
        call = OutboundCall(endpoint.address, "GET", "/x", timeout=60.0, stale_seconds=0.25)
        client.run_in_loop(lambda: client.client.start(call, events.put))
        client.advance_time(0.0)  # the call has started
        client.advance_time(0.3)
        endpoint.may_close.set()
        assert events.get(timeout=WAIT_SECONDS) == CallFailed("reset", True, True)

    def test_connection_whose_end_has_arrived_is_not_used(self, client):
        """Guards against a call sent before the event loop has read the end of the connection."""
        endpoint = Endpoint(encode_response(), encode_response(), close_after=True)
        done = queue.Queue()

        def call_again(event):
            if isinstance(event, ResponseEnd):
                time.sleep(0.05)
                client.client.start(OutboundCall(endpoint.address, "POST", "/x"), done.put)

        call = OutboundCall(endpoint.address, "GET", "/x", timeout=60.0)
        client.run_in_loop(lambda: client.client.start(call, call_again))
        assert done.get(timeout=WAIT_SECONDS).status == 200
        assert endpoint.connections == 2


class EndlessEndpoint(Endpoint):
    """Endpoint that repeats the last of its prepared responses until its caller closes."""

    def __init__(self, *responses):
        self.sent_bytes = 0
        self.is_closed = threading.Event()
        super().__init__(*responses)

    def _serve(self, conn):
        conn.recv(65536)
        conn.sendall(self.responses[0])
        try:
            while True:
                conn.sendall(self.responses[-1])
                self.sent_bytes += len(self.responses[-1])
        except OSError:
            self.is_closed.set()


class TestEndlessResponses:
    """Bytes without end in a head, until the client closes the connection."""

    # What the client reads at most, and what the sockets of both sides hold.
    MAX_SENT_BYTES = 16 * 1024 * 1024

    @pytest.mark.parametrize(
        "responses",
        [
            (b"HTTP/1.1 200 OK\r\n", b"X-Field: value\r\n" * 512),
            (b"HTTP/1.1 200 OK\r\nX-Field: ", b"v" * 8192),
            (b"HTTP/1.1 ", b"2" * 8192),
            (b"", b"HTTP/1.1 102 Processing\r\n\r\n" * 256),
            (
                b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
                b"0" * 8192,
            ),
        ],
        ids=["fields", "one field", "status", "interim responses", "chunk size"],
    )
    def test_connection_is_closed_with_a_failure(self, responses):
        client, endpoint = Client(), EndlessEndpoint(*responses)
        events = client.call(endpoint.address)
        assert events[-1] == CallFailed("framing", True)
        assert endpoint.is_closed.wait(WAIT_SECONDS)
        assert endpoint.sent_bytes <= self.MAX_SENT_BYTES


class TestCollectedResponses:
    """Bytes without end in a body, which is collected as a whole."""

    PIECE = b"x" * 65536

    @pytest.mark.parametrize(
        "head",
        [
            b"Content-Length: 999999999999\r\n\r\n",
            b"\r\n",
            b"Transfer-Encoding: chunked\r\n\r\nffffffff\r\n",
        ],
        ids=["length", "to close", "chunk"],
    )
    def test_response_that_is_too_large_fails(self, client, head):
        endpoint = EndlessEndpoint(b"HTTP/1.1 200 OK\r\n" + head, self.PIECE)
        events = client.call(endpoint.address)
        assert events[-1] == CallFailed("too large", True)
        assert sum(len(each.data) for each in events[1:-1]) <= MAX_COLLECTED_BYTES
        assert endpoint.is_closed.wait(WAIT_SECONDS)

    def test_largest_legal_response_is_read(self, client):
        endpoint = Endpoint(encode_response(b"x" * MAX_COLLECTED_BYTES))
        events = client.call(endpoint.address)
        assert events[-1] == ResponseEnd()
        assert sum(len(each.data) for each in events[1:-1]) == MAX_COLLECTED_BYTES

    def test_largest_of_too_many_fail(self, client):
        count = MAX_TOTAL_COLLECTED_BYTES // MAX_COLLECTED_BYTES
        size = MAX_COLLECTED_BYTES - 1
        unfinished = b"HTTP/1.1 200 OK\r\nContent-Length: 999999999999\r\n\r\n" + b"x" * size
        endpoints = [SlowEndpoint() for _ in range(count + 1)]
        failures = queue.Queue()

        def listen(event):
            if isinstance(event, CallFailed):
                failures.put(event.reason)

        for endpoint in endpoints:
            call = OutboundCall(endpoint.address, "GET", "/", timeout=60.0)
            client.run_in_loop(lambda call=call: client.client.start(call, listen))
            endpoint.send(unfinished)
        assert failures.get(timeout=WAIT_SECONDS) == "too large"
        for endpoint in endpoints:
            endpoint.stop()
        rest = [failures.get(timeout=WAIT_SECONDS) for _ in range(count)]
        assert rest == ["reset"] * count

    def test_response_that_is_passed_on_is_not_bounded(self, client):
        endpoint = Endpoint(encode_response(b"x" * (MAX_COLLECTED_BYTES + 1)))
        assert client.call(endpoint.address, stream=True)[-1] == ResponseEnd()

    def test_responses_that_have_ended_do_not_count(self, client):
        count = MAX_TOTAL_COLLECTED_BYTES // MAX_COLLECTED_BYTES + 1
        endpoint = Endpoint(*[encode_response(b"x" * MAX_COLLECTED_BYTES)] * count)
        for _ in range(count):
            assert client.call(endpoint.address)[-1] == ResponseEnd()
