"""No request that may run once is refused once an endpoint has it: a process on real sockets."""

import contextlib
import http.client
import itertools
import re
import signal
import socket
import struct
import threading
import time
from types import SimpleNamespace

import orjson
import pytest

from flamingofront.tests.promises import AskedRequest, list_broken_refusals
from flamingofront.tests.test_forward_processes import IP, ROOT, WAIT_SECONDS, Processes

ID = re.compile(rb"x-flamingofront-request-id: (\S+)", re.IGNORECASE)
LENGTH = re.compile(rb"content-length: (\d+)", re.IGNORECASE)
STATEMENT = b"X-Flamingofront-Not-Executed: 1\r\n"
ONCE = ("/write/x", "/stream/once/x")


def encode(request_id, status=200, more=b"", body=b"done"):
    """Return a response to a request."""
    head = b"HTTP/1.1 %d X\r\nX-Flamingofront-Request-Id: %s\r\n" % (status, request_id)
    return head + more + b"Content-Length: %d\r\n\r\n%s" % (len(body), body)


class ScriptedEndpoint:
    """Endpoint that hands each complete request, with its connection, to `answer`."""

    def __init__(self):
        self.received = []
        self.arrived = threading.Event()
        self.answer = lambda conn, request_id: conn.sendall(encode(request_id))
        self._sock = socket.create_server((IP, 0))
        self.address = f"{IP}:{self._sock.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            try:
                conn, _ = self._sock.accept()
            except OSError:
                return
            threading.Thread(target=self._serve, args=(conn,), daemon=True).start()

    def _serve(self, conn):
        data = b""
        with conn:
            while True:
                head, end, body = data.partition(b"\r\n\r\n")
                length = LENGTH.search(head)
                if end and len(body) >= int(length.group(1) if length else 0):
                    break
                received = conn.recv(65536)
                if not received:
                    return
                data += received
            request_id = ID.search(data)
            if request_id is None:
                conn.sendall(encode(b"", body=b"{}"))
                return
            self.received.append(request_id.group(1).decode())
            self.arrived.set()
            try:
                self.answer(conn, request_id.group(1))
            except OSError:
                return

    def close(self):
        self._sock.close()


class ScriptedProcesses(Processes):
    """An entry process whose endpoints are `ScriptedEndpoint` objects."""

    def __init__(self, folder):
        self.scripted, self.asked, self.rejected = {}, [], set()
        self._numbers = itertools.count(1)
        super().__init__(folder)

    def standin(self, name, *words):
        if name == "store":
            cfg = orjson.loads((ROOT / "examples/forwarding.json").read_bytes())
            read, stream = cfg["routes"]
            write = {**read, "name": "write", "prefix": "/write/", "kind": "non_idempotent"}
            once = {**stream, "name": "once", "prefix": "/stream/once/", "resumable": False}
            path = self.folder / "configuration.json"
            path.write_bytes(orjson.dumps({**cfg, "routes": [read, stream, write, once]}))
            words = ("--config", str(path))
        return super().standin(name, *words)

    def start_endpoint(self, name):
        self.scripted[name] = ScriptedEndpoint()
        return self.scripted[name].address

    def stop(self):
        super().stop()
        for each in self.scripted.values():
            each.close()

    def endpoint_of(self, path):
        return self.scripted["engine-1" if path.startswith("/stream/") else "plain-1"]

    def prepare(self, path, answer=None):
        """Let the endpoint of a path answer in some way; return a new id and the endpoint."""
        endpoint = self.endpoint_of(path)
        endpoint.arrived.clear()
        if answer is not None:
            endpoint.answer = answer
        return f"id-{next(self._numbers)}", endpoint

    def connect(self):
        host, port = self.address("callers").split(":")
        return socket.create_connection((host, int(port)), timeout=WAIT_SECONDS)

    def read_status(self, conn, path, request_id):
        """Read a response and return its status, 0 if there is none."""
        res = http.client.HTTPResponse(conn, method="POST")
        try:
            res.begin()
            res.read()
        except (http.client.HTTPException, OSError):
            res.status = 0
        status = res.status or 0
        self.asked.append(AskedRequest(request_id, path, SimpleNamespace(status=status), False))
        self.asked[-1].caller.body = b""
        return status

    def check_promises(self, *request_ids):
        """Check that none of some requests, all by default, was refused or came twice."""
        asked = [each for each in self.asked if each.request_id in request_ids or not request_ids]
        names = {each.request_id for each in asked}
        got = [
            (each, endpoint_name)
            for endpoint_name, endpoint in self.scripted.items()
            for each in endpoint.received
            if each in names - self.rejected
        ]
        assert not list_broken_refusals(asked, got)
        assert len(got) == len({each for each, _ in got})


def request_bytes(path, request_id, deadline=8000, body=b"body"):
    lines = (
        f"POST {path} HTTP/1.1",
        "Host: desk.example",
        f"X-Flamingofront-Request-Id: {request_id}",
        f"X-Flamingofront-Deadline-Ms: {deadline}",
        "Authorization: Bearer demo-key",
        f"Content-Length: {len(body)}",
    )
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


@pytest.fixture(scope="module")
def processes(tmp_path_factory):
    started = ScriptedProcesses(tmp_path_factory.mktemp("scripted"))
    started.wait_ready()
    yield started
    started.check_promises()
    started.stop()


def reset(conn):
    conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    conn.close()


def send_early_statement(conn, request_id):
    conn.sendall(b"HTTP/1.1 103 Early Hints\r\n" + STATEMENT + b"\r\n")


def send_statement_in_trailer(conn, request_id):
    head = encode(request_id, 503).partition(b"Content-Length")[0]
    conn.sendall(
        head + b"Transfer-Encoding: chunked\r\n\r\n4\r\nbusy\r\n0\r\n" + STATEMENT + b"\r\n"
    )


def send_second_response(conn, request_id):
    """Begin a response, and send the refusal of a later one within it."""
    conn.sendall(encode(request_id, body=bytes(1000))[:-900])
    conn.sendall(encode(request_id, 503, STATEMENT))


UNCERTAIN = {
    "closed": lambda conn, request_id: None,
    "reset": lambda conn, request_id: reset(conn),
    "half-closed": lambda conn, request_id: (conn.shutdown(socket.SHUT_WR), conn.recv(1)),
    "refused": lambda conn, request_id: conn.sendall(encode(request_id, 503)),
    "limited": lambda conn, request_id: conn.sendall(encode(request_id, 429)),
    "timed out": lambda conn, request_id: conn.sendall(encode(request_id, 408)),
    "of another": lambda conn, request_id: conn.sendall(encode(b"other", 503, STATEMENT)),
    "cut": lambda conn, request_id: conn.sendall(encode(request_id, 503, STATEMENT)[:-12]),
    "interim": send_early_statement,
    "trailer": send_statement_in_trailer,
    "second": send_second_response,
}


class TestEndpointsThatDoNotStateThatTheyDidNotRun:
    @pytest.mark.parametrize("path", ONCE)
    @pytest.mark.parametrize("way", UNCERTAIN)
    def test_request_is_not_refused(self, processes, path, way):
        request_id, endpoint = processes.prepare(path, UNCERTAIN[way])
        with processes.connect() as conn:
            conn.sendall(request_bytes(path, request_id))
            assert processes.read_status(conn, path, request_id) == 502
        assert request_id in endpoint.received
        processes.check_promises(request_id)


class TestEndpointsThatStateThatTheyDidNotRun:
    @pytest.mark.parametrize("path", ONCE)
    @pytest.mark.parametrize("status", [429, 503])
    def test_request_is_refused_with_the_time_of_a_retry(self, processes, path, status):
        """The other side: certainty is not given away."""
        request_id, endpoint = processes.prepare(
            path, lambda conn, request_id: conn.sendall(encode(request_id, status, STATEMENT))
        )
        processes.rejected.add(request_id)
        with processes.connect() as conn:
            conn.sendall(request_bytes(path, request_id))
            assert processes.read_status(conn, path, request_id) == 503
        assert request_id in endpoint.received


def send_slowly(conn, data):
    for number in range(len(data)):
        conn.sendall(data[number : number + 1])


class TestCallers:
    """What callers write on one connection, and how they end it."""

    def hold(self, processes, path):
        """Let an endpoint wait with its response until an event is set."""
        release = threading.Event()

        def answer(conn, request_id):
            release.wait(WAIT_SECONDS)
            conn.sendall(encode(request_id))

        return *processes.prepare(path, answer), release

    @pytest.mark.parametrize("path", ONCE)
    def test_request_that_comes_byte_by_byte_runs_once(self, processes, path):
        request_id, endpoint = processes.prepare(
            path, lambda conn, request_id: conn.sendall(encode(request_id))
        )
        with processes.connect() as conn:
            send_slowly(conn, request_bytes(path, request_id))
            assert processes.read_status(conn, path, request_id) == 200
        processes.check_promises(request_id)

    @pytest.mark.parametrize("cut", [1, 30, 200, -2])
    def test_two_requests_in_two_writes_get_the_answers_of_their_own(self, processes, cut):
        """The first one is lost at its endpoint, while the second one is on its way."""
        first, endpoint = processes.prepare("/write/x")
        second = f"{first}-second"

        def answer(conn, request_id):
            if request_id.decode() == second:
                conn.sendall(encode(request_id))

        endpoint.answer = answer
        later = request_bytes("/write/x", second)
        with processes.connect() as conn:
            conn.sendall(request_bytes("/write/x", first) + later[:cut])
            assert processes.read_status(conn, "/write/x", first) == 502
            conn.sendall(later[cut:])
            assert processes.read_status(conn, "/write/x", second) == 200
        assert {first, second} <= set(endpoint.received)
        processes.check_promises(first, second)

    @pytest.mark.parametrize("path", ONCE)
    @pytest.mark.parametrize("is_pipelined", [False, True])
    def test_caller_that_ends_its_side_is_not_refused(self, processes, path, is_pipelined):
        request_id, endpoint, release = self.hold(processes, path)
        with processes.connect() as conn:
            conn.sendall(request_bytes(path, request_id))
            assert endpoint.arrived.wait(WAIT_SECONDS)
            if is_pipelined:
                conn.sendall(request_bytes(path, f"{request_id}-second")[:-1])
            conn.shutdown(socket.SHUT_WR)
            assert processes.read_status(conn, path, request_id) in (0, 200)
            release.set()
        processes.check_promises(request_id)


class TestProcessThatStandsStill:
    @pytest.fixture(autouse=True)
    def resume(self, processes):
        yield
        processes.front.send_signal(signal.SIGCONT)

    @pytest.mark.parametrize("path", ONCE)
    @pytest.mark.parametrize("is_answered", [False, True])
    def test_request_whose_deadline_passes_meanwhile_is_not_refused(
        self, processes, path, is_answered
    ):
        stopped, answered = threading.Event(), threading.Event()

        def answer(conn, request_id):
            stopped.wait(WAIT_SECONDS)
            if is_answered:
                conn.sendall(encode(request_id))
            answered.set()
            conn.recv(1)

        request_id, endpoint = processes.prepare(path, answer)
        with processes.connect() as conn:
            conn.sendall(request_bytes(path, request_id, deadline=400))
            assert endpoint.arrived.wait(WAIT_SECONDS)
            processes.front.send_signal(signal.SIGSTOP)
            stopped.set()
            assert answered.wait(WAIT_SECONDS)
            time.sleep(0.5)
            processes.front.send_signal(signal.SIGCONT)
            assert processes.read_status(conn, path, request_id) in (200, 502, 504)
        assert request_id in endpoint.received
        processes.check_promises(request_id)


class StoppingProcesses(ScriptedProcesses):
    """The same with little time between the signal to stop and the end."""

    def write_settings(self, **more):
        super().write_settings(**{"bounds.grace_s": "3", **more})


class TestProcessThatStops:
    @pytest.fixture
    def stopping(self, tmp_path):
        started = StoppingProcesses(tmp_path)
        started.wait_ready()
        yield started
        started.stop()

    def test_only_requests_that_no_endpoint_has_are_refused_at_the_end(self, stopping):
        """The rest of a request that was refused unread may still arrive."""
        release = threading.Event()
        sent, endpoint = stopping.prepare("/write/x", lambda conn, name: release.wait(WAIT_SECONDS))
        unread = f"{sent}-unread"
        data = request_bytes("/write/x", unread)
        with stopping.connect() as running, stopping.connect() as partial:
            running.sendall(request_bytes("/write/x", sent))
            assert endpoint.arrived.wait(WAIT_SECONDS)
            partial.sendall(data[:-2])
            stopping.front.send_signal(signal.SIGTERM)
            assert stopping.read_status(running, "/write/x", sent) == 502
            assert stopping.read_status(partial, "/write/x", unread) in (408, 503)
            with contextlib.suppress(OSError):
                partial.sendall(data[-2:])
            assert stopping.front.wait(WAIT_SECONDS) == 0
        release.set()
        assert endpoint.received == [sent]
        stopping.check_promises()
