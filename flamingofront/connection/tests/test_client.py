"""The HTTP client against endpoints that misbehave, on real sockets and a manual clock."""

import queue
import socket
import threading

import pytest

from flamingofront.connection.client import USER_TIMEOUT_MS, HTTPClient
from flamingofront.connection.interfaces import ConnectResult
from flamingofront.connection.runtime import Runtime
from flamingofront.messages import (
    CallFailed,
    OutboundCall,
    ResponseData,
    ResponseEnd,
    ResponseHead,
)
from flamingofront.process.timers import ManualClock

WAIT_SECONDS = 5.0


class Endpoint:
    """Answers each request on a connection with the next of some canned bytes."""

    def __init__(self, *answers, then_close=False):
        self.answers = list(answers)
        self.then_close = then_close
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
            conn.sendall(self.answers.pop(0))
            if self.then_close:
                conn.close()
                return


class Client:
    """A client in a thread of its own."""

    def __init__(self):
        self.clock = ManualClock()
        self.faults = []
        self.runtime = Runtime(self.faults.append, clock=self.clock)
        self.client = HTTPClient(self.runtime.timers).register(self.runtime)
        self.thread = threading.Thread(target=self.runtime.run, daemon=True)
        self.thread.start()

    def act(self, callback):
        self.runtime.timers.once(0.0, callback)
        self.runtime.poller.resume()

    def call(self, address, **options):
        """Make a call and return its events."""
        events, done = [], threading.Event()

        def listen(event):
            events.append(event)
            if isinstance(event, ResponseEnd | CallFailed):
                done.set()

        call = OutboundCall(address, "GET", "/x?y=%20", timeout=60.0, **options)
        self.act(lambda: self.client.start(call, listen))
        assert done.wait(WAIT_SECONDS)
        return events

    def pass_time(self, seconds):
        self.clock.time += seconds
        done = threading.Event()
        self.act(done.set)
        assert done.wait(WAIT_SECONDS)

    def stop(self):
        self.act(self.runtime.stop)
        self.thread.join(WAIT_SECONDS)


@pytest.fixture
def client():
    started = Client()
    yield started
    started.stop()


def answer(body=b"ok", more="", extra=b""):
    head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n{more}\r\n".encode()
    return head + body + extra


class TestReuse:
    def test_connection_carries_a_second_call(self, client):
        endpoint = Endpoint(answer(), answer(b"two"))
        client.call(endpoint.address)
        events = client.call(endpoint.address)
        assert [each.data for each in events if isinstance(each, ResponseData)] == [b"two"]
        assert endpoint.connections == 1

    @pytest.mark.parametrize(
        "first",
        [
            answer(extra=b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray"),
            answer(more="Connection: close\r\n"),
            answer(more="Keep-Alive: timeout=1\r\n"),
        ],
        ids=["bytes behind the answer", "close announced", "kept too short"],
    )
    def test_connection_is_not_used_again(self, client, first):
        endpoint = Endpoint(first, answer(b"own"))
        client.call(endpoint.address)
        events = client.call(endpoint.address)
        assert [each.data for each in events if isinstance(each, ResponseData)] == [b"own"]
        assert endpoint.connections == 2

    def test_kept_connection_is_given_up_before_the_announced_time(self, client):
        endpoint = Endpoint(answer(more="Keep-Alive: timeout=5\r\n"), answer())
        client.call(endpoint.address)
        client.pass_time(4.1)
        client.call(endpoint.address)
        assert endpoint.connections == 2

    def test_call_may_ask_for_a_fresh_connection(self, client):
        endpoint = Endpoint(answer(), answer())
        client.call(endpoint.address)
        client.call(endpoint.address, new_connection=True)
        assert endpoint.connections == 2


class TestFraming:
    def test_target_and_host_go_out_as_given_and_a_get_has_no_length(self, client):
        endpoint = Endpoint(answer())
        client.call(endpoint.address, host="desk.example")
        (sent,) = endpoint.requests
        assert sent.startswith(b"GET /x?y=%20 HTTP/1.1\r\nHost: desk.example\r\n")
        assert b"Content-Length" not in sent

    def test_headers_come_back_as_sent(self, client):
        endpoint = Endpoint(answer(more="X-Seal: A.b\r\nX-Seal: c\r\n"))
        head = client.call(endpoint.address)[0]
        assert isinstance(head, ResponseHead)
        assert [value for name, value in head.fields if name == "X-Seal"] == ["A.b", "c"]

    def test_body_without_length_is_whole_at_an_orderly_close(self, client):
        endpoint = Endpoint(b"HTTP/1.1 200 OK\r\n\r\nuntil the end", then_close=True)
        assert isinstance(client.call(endpoint.address)[-1], ResponseEnd)

    def test_body_cut_short_is_a_failure(self, client):
        endpoint = Endpoint(b"HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nhalf", then_close=True)
        *_, last = client.call(endpoint.address)
        assert last == CallFailed("reset", True)


class TestSilence:
    def test_connection_that_does_not_come_about_is_given_up(self, client):
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
        client.act(lambda: client.client.start(call, listen))
        client.pass_time(0.3)
        assert done.wait(WAIT_SECONDS)
        assert events == [CallFailed("connect", False)]
        for each in (*fillers, listener):
            each.close()

    def test_call_sets_how_long_the_system_keeps_unacknowledged_bytes(self, client):
        endpoint = Endpoint(answer(), answer())
        client.call(endpoint.address, ack_timeout=0.8)
        (conn,) = client.client._connections.values()
        option = (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)
        assert conn.sock.getsockopt(*option) == 800
        client.call(endpoint.address)
        assert conn.sock.getsockopt(*option) == USER_TIMEOUT_MS


class SlowEndpoint:
    """Sends the parts of one answer when it is told to."""

    def __init__(self):
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        self._conn = None

    def send(self, data):
        """Send a part of the answer, the first one to whoever has connected."""
        if self._conn is None:
            self._conn, _ = self._listener.accept()
        self._conn.sendall(data)

    def stop(self):
        for each in (self._conn, self._listener):
            each.close()


class TestLargeResponses:
    """A response that took its link longer than the time-out was given up and asked for again."""

    SECONDS = 1.0

    @pytest.fixture
    def endpoint(self):
        started = SlowEndpoint()
        yield started
        started.stop()

    def begin(self, client, endpoint, **options):
        """Begin a call; return the queue of its events."""
        events = queue.Queue()
        call = OutboundCall(endpoint.address, "GET", "/", timeout=self.SECONDS, **options)
        client.act(lambda: client.client.start(call, events.put))
        endpoint.send(b"HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\nab")
        assert isinstance(events.get(timeout=WAIT_SECONDS), ResponseHead)
        assert events.get(timeout=WAIT_SECONDS) == ResponseData(b"ab")
        return events

    def test_response_that_goes_on_is_read_to_its_end(self, client, endpoint):
        events = self.begin(client, endpoint, stall_timeout=self.SECONDS)
        for part in (b"cd", b"ef", b"gh"):
            client.pass_time(0.9 * self.SECONDS)
            endpoint.send(part)
            assert events.get(timeout=WAIT_SECONDS) == ResponseData(part)
        assert events.get(timeout=WAIT_SECONDS) == ResponseEnd()

    def test_response_that_stalls_is_given_up(self, client, endpoint):
        events = self.begin(client, endpoint, stall_timeout=0.5 * self.SECONDS)
        client.pass_time(0.6 * self.SECONDS)
        assert events.get(timeout=WAIT_SECONDS) == CallFailed("timeout", True)

    def test_call_without_a_stall_timeout_is_bounded_as_a_whole(self, client, endpoint):
        events = self.begin(client, endpoint)
        client.pass_time(0.9 * self.SECONDS)
        endpoint.send(b"cd")
        assert events.get(timeout=WAIT_SECONDS) == ResponseData(b"cd")
        client.pass_time(0.2 * self.SECONDS)
        assert events.get(timeout=WAIT_SECONDS) == CallFailed("timeout", True)


def unused_address():
    with socket.create_server(("127.0.0.1", 0)) as listener:
        return f"127.0.0.1:{listener.getsockname()[1]}"


class TestProbe:
    @pytest.fixture
    def probe(self, client):
        def ask(address):
            found, done = [], threading.Event()

            def listen(reach):
                found.append(reach)
                done.set()

            client.act(lambda: client.client.probe(address, 60.0, listen))
            assert done.wait(WAIT_SECONDS)
            assert not client.client._connections
            return found

        return ask

    def test_address_where_a_process_listens(self, probe):
        assert probe(Endpoint().address) == [ConnectResult.CONNECTED]

    def test_address_where_none_listens(self, probe):
        assert probe(unused_address()) == [ConnectResult.REFUSED]

    def test_call_to_an_address_where_none_listens_is_refused(self, client):
        assert client.call(unused_address()) == [CallFailed("refused", False)]
