"""Answers that stop in their head or body, on real sockets: none is taken for a whole one."""

import random
import socket
import subprocess
import sys
import threading
from types import SimpleNamespace

import orjson
import pytest

from flamingofront.cli import OperatorClient
from flamingofront.connection.server import HTTPServer
from flamingofront.connection.splice import ConnectionSplicer
from flamingofront.connection.tests.test_client import Client
from flamingofront.decisions.direct_paths import EndpointPath
from flamingofront.errors import PlatformError
from flamingofront.messages import CallFailed, OutboundCall, ResponseData, ResponseEnd
from flamingofront.platform.cloud import PlatformCloud
from flamingofront.platform.objects import PlatformObjectStore
from flamingofront.platform.store import PlatformTableStore
from flamingofront.process.documents import DocumentStore
from flamingofront.process.logs import Log
from flamingofront.process.metrics import Metrics
from flamingofront.process.store import RowWrite, ScalingRequest, UsageReport
from flamingofront.process.store_eras import EraStore
from flamingofront.process.tasks import TaskRunner
from flamingofront.process.vm_list import VmList
from flamingofront.request.endpoint_paths import EndpointPaths, PathRequest
from flamingofront.request.path_probes import ResponseProbe
from flamingofront.request.proxy_messages import ProxyFailure, encode_proxy_failure
from flamingofront.tests.cut_answers import (
    INTERIM,
    Answer,
    CutPartner,
    Ending,
    chunked,
    list_cuts,
    read_to_end,
    split_answers,
    unframed,
    with_length,
)

WAIT_SECONDS = 10.0
FRAMINGS = [with_length, chunked, unframed]
ENDINGS = [Ending.CLOSE, Ending.RESET]


class Partners(Client):
    """HTTP client in its own thread, and the partner that it calls."""

    def __init__(self):
        super().__init__()
        self.partner = CutPartner()
        self.address = self.partner.address
        self.tasks = TaskRunner(self.client, self.runtime.timers, self.faults.append)

    def answer(self, data, ending=Ending.CLOSE):
        """Answer all further requests with these bytes."""
        self.partner.answer_to = lambda req: Answer((data,), ending)

    def collect(self, start):
        """Start a call in the thread of the loop and return its events."""
        events, done = [], threading.Event()

        def listen(event):
            events.append(event)
            if isinstance(event, ResponseEnd | CallFailed):
                done.set()

        self.run_in_loop(lambda: start(listen))
        assert done.wait(WAIT_SECONDS)
        return events

    def finish(self, task):
        """Run a task to its end; return its value or the `PlatformError` that ended it."""
        results, done = [], threading.Event()

        def catch():
            try:
                return (yield from task)
            except PlatformError as exc:
                return exc

        def on_done(value):
            results.append(value)
            done.set()

        self.run_in_loop(lambda: self.tasks.start(catch(), on_done))
        assert done.wait(WAIT_SECONDS), self.faults
        return results[0]

    def stop(self):
        super().stop()
        self.partner.close()
        assert not self.faults


@pytest.fixture
def partners():
    started = Partners()
    yield started
    started.stop()


def body_of(events):
    return b"".join(each.data for each in events if isinstance(each, ResponseData))


class TestCalls:
    @pytest.mark.parametrize("before", [b"", INTERIM, INTERIM * 2], ids=["", "1xx", "two 1xx"])
    @pytest.mark.parametrize("frame", FRAMINGS)
    def test_answer_that_stops_at_any_byte_fails(self, partners, frame, before):
        """Guards against a head that the end of its connection completes."""
        answer = before + frame(b"0123456789", "X-A: b")
        for number, cut in enumerate(list_cuts(answer, frame is not unframed)):
            # A beginning of interim responses occurs with one more of them as well.
            if number < len(before) - len(INTERIM):
                continue
            partners.answer(cut, ENDINGS[number % 2 and not before])
            *_, last = partners.call(partners.address)
            assert isinstance(last, CallFailed), cut
        partners.answer(answer)
        events = partners.call(partners.address)
        assert isinstance(events[-1], ResponseEnd) and body_of(events) == b"0123456789"

    @pytest.mark.parametrize("frame", FRAMINGS)
    def test_answer_that_arrives_byte_by_byte_fails_at_each_cut(self, partners, frame):
        cuts = list_cuts(frame(b"0123"), frame is not unframed)
        for cut in cuts[:: len(cuts) // 12]:
            pieces = tuple(cut[at : at + 1] for at in range(len(cut)))
            partners.partner.answer_to = lambda req, pieces=pieces: Answer(pieces)
            assert isinstance(partners.call(partners.address)[-1], CallFailed), cut

    def test_unframed_answer_that_is_reset_fails(self, partners):
        partners.answer(unframed(b"part"), Ending.RESET)
        assert isinstance(partners.call(partners.address)[-1], CallFailed)

    @pytest.mark.parametrize(
        "head",
        [
            b"HTTP/1.0 200 OK\r\nContent-Length: 12\r\n\r\n",
            b"HTTP/1.1 200 OK\r\nConnection: keep-alive\r\nContent-Length: 12\r\n\r\n",
            b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 12\r\n\r\n",
            b"HTTP/1.1 200 OK\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n",
        ],
    )
    def test_framing_outlives_the_connection_options(self, partners, head):
        """Guards against a close that ends an answer which announced another end."""
        partners.answer(head + b"short")
        assert isinstance(partners.call(partners.address)[-1], CallFailed)

    def test_call_after_a_cut_answer_gets_its_own_answer(self, partners):
        whole = with_length(b"second")
        answers = iter([Answer((whole[:20],)), Answer((whole,))])
        partners.partner.answer_to = lambda req: next(answers)
        assert isinstance(partners.call(partners.address)[-1], CallFailed)
        assert body_of(partners.call(partners.address)) == b"second"


ROWS = orjson.dumps(
    {"ver": 7, "now_ms": 5, "rows": [{"table": "servers", "key": "e", "value": "e30=", "ver": 7}]}
)
EMPTY_ROWS = orjson.dumps({"rows": [], "ver": 7, "now_ms": 5})
WRITES = (RowWrite("t", "k", b"{}"),)
STORE_CALLS = {
    "read": (lambda at: PlatformTableStore(at, 9.0).read("servers"), ROWS, False),
    "feed": (lambda at: PlatformTableStore(at, 9.0).read_changes("op", 3, 0.0), EMPTY_ROWS, False),
    "write": (lambda at: PlatformTableStore(at, 9.0).transact("", (), WRITES), EMPTY_ROWS, True),
    "get object": (lambda at: PlatformObjectStore(at, 9.0).get("a"), b"object", False),
    "put object": (lambda at: PlatformObjectStore(at, 9.0).put("a", b"object"), b"{}", True),
    "drop object": (lambda at: PlatformObjectStore(at, 9.0).drop("a"), b"{}", True),
    "usage": (
        lambda at: PlatformCloud(at, 9.0).report_usage("h", 1, UsageReport(3, {"desk": 2})),
        b"{}",
        True,
    ),
    "vms": (lambda at: VmList(at, 9.0).list_vms(), b'{"vms": []}', False),
    "notices": (lambda at: VmList(at, 9.0).fetch_notices("zone-a"), b'{"notices": {}}', False),
    "scale": (
        lambda at: PlatformCloud(at, 9.0).request_endpoints(
            "h", 1, ScalingRequest("engines", "zone-a", 2, False)
        ),
        b"{}",
        True,
    ),
}


class TestStore:
    @pytest.mark.parametrize("frame", FRAMINGS)
    @pytest.mark.parametrize("name", STORE_CALLS)
    def test_answer_that_stops_at_any_byte_raises(self, partners, name, frame):
        """Guards against an empty list of rows, and a write that counts as not performed."""
        make_task, body, is_write = STORE_CALLS[name]
        for number, cut in enumerate(list_cuts(frame(body), frame is not unframed)):
            partners.answer(cut, ENDINGS[number % 2])
            error = partners.finish(make_task(partners.address))
            assert isinstance(error, PlatformError), cut
            assert error.maybe_applied is is_write, cut
        partners.answer(frame(body))
        assert not isinstance(partners.finish(make_task(partners.address)), PlatformError)

    @pytest.mark.parametrize("name", ["read", "feed", "write", "vms", "notices"])
    def test_json_without_framing_that_stops_raises(self, partners, name):
        """The end of the connection ends such a body: only its text shows that it is cut."""
        make_task, body, is_write = STORE_CALLS[name]
        answer = unframed(body)
        for size in range(len(answer) - len(body), len(answer)):
            partners.answer(answer[:size])
            error = partners.finish(make_task(partners.address))
            assert isinstance(error, PlatformError), answer[:size]
            assert error.maybe_applied is is_write, answer[:size]

    def test_object_without_framing_that_stops_is_no_document(self, partners):
        row = orjson.dumps(
            {
                "ver": 7,
                "rows": [{"table": "t", "key": "k", "value": "eyJvYmplY3QiOiJrL28ifQ==", "ver": 7}],
            }
        )
        tables = EraStore(PlatformTableStore(partners.address, 9.0), Log("t"))
        documents = DocumentStore(tables, PlatformObjectStore(partners.address, 9.0), lambda: 0.0)
        body = orjson.dumps({"value": {"a": 1}})
        for size in (*range(0, len(body), 3), len(body)):

            def answer_to(req, size=size):
                is_object = b"blob" in req
                return Answer((unframed(body[:size] if is_object else row),))

            partners.partner.answer_to = answer_to
            result = partners.finish(documents.read(["k"]))
            if size < len(body):
                assert isinstance(result, PlatformError), body[:size]
        assert result[0].value == {"a": 1}


def proxied(partners, listen):
    """Start an attempt through the partner, as a peer that reaches the endpoint."""
    directory = SimpleNamespace(address_of=lambda endpoint_id: "127.0.0.1:9", ready_endpoints=list)
    timers, log = partners.runtime.timers, Log("t")
    paths = EndpointPaths(
        "vm-1",
        "zone-a",
        partners.client,
        timers,
        directory,
        Metrics(),
        log,
        random.Random(1),
    )
    paths.peers.addresses = lambda: (partners.address,)
    paths.path_to = lambda endpoint_id: EndpointPath.PROXIED
    call = OutboundCall("127.0.0.1:9", "GET", "/a", stream=True, new_connection=True)
    paths.start(PathRequest("e", "r", call, listen))


class TestPeers:
    @pytest.mark.parametrize("frame", [with_length, chunked])
    def test_answer_of_a_proxying_peer_that_stops_fails(self, partners, frame):
        for number, cut in enumerate(list_cuts(frame(b"0123456789"), True)):
            partners.answer(cut, ENDINGS[number % 2])
            *_, last = partners.collect(lambda listen: proxied(partners, listen))
            assert isinstance(last, CallFailed) and last.wrote and last.by_proxy, cut

    def test_failure_of_a_proxying_peer_that_stops_says_nothing(self, partners):
        """Guards against a refusal that would state that the endpoint got nothing."""
        answer = with_length(b"{}", ": ".join(encode_proxy_failure(ProxyFailure("busy"))))
        head_size = answer.index(b"\r\n\r\n") + 4
        for cut in list_cuts(answer, True)[:head_size]:
            partners.answer(cut)
            *_, last = partners.collect(lambda listen: proxied(partners, listen))
            assert last.wrote, cut
        partners.answer(answer)
        *_, last = partners.collect(lambda listen: proxied(partners, listen))
        assert not last.wrote

    @pytest.mark.parametrize("frame", FRAMINGS)
    def test_endpoint_whose_head_stops_is_not_reached(self, partners, frame):
        directory = SimpleNamespace(address_of=lambda endpoint_id: partners.address)
        probe = ResponseProbe(partners.client, directory, lambda endpoint_id: "/api/report")
        answer = frame(b"{}")
        for size in range(answer.index(b"\r\n\r\n") + 5):
            results, done = [], threading.Event()
            partners.answer(answer[:size], ENDINGS[size % 2])
            partners.run_in_loop(
                lambda results=results, done=done: probe.start(
                    "e", lambda is_reached: (results.append(is_reached), done.set())
                )
            )
            assert done.wait(WAIT_SECONDS)
            is_head = size >= answer.index(b"\r\n\r\n") + 4
            assert results == [is_head], answer[:size]


SPLICER = """
import sys
from flamingofront.connection.runtime import Runtime
from flamingofront.connection.server import HTTPServer
from flamingofront.connection.splice import ConnectionSplicer

runtime = Runtime(print)
server = HTTPServer(("127.0.0.1", 0), lambda req, exchange: None, runtime.timers).register(runtime)
splicer = ConnectionSplicer(runtime.timers, lambda address, how: None).register(runtime)


def take_over(sock, waited, is_refused):
    splicer.start(sock, sys.argv[1])
    return True


server.set_refusal(lambda waited: False, take_over)
print(server.port, flush=True)
runtime.run()
"""


class TestHandedOverConnections:
    @pytest.mark.parametrize("ending", ENDINGS)
    @pytest.mark.parametrize("frame", [with_length, chunked])
    def test_answer_that_stops_behind_a_splice_stays_cut(self, partners, frame, ending):
        server = HTTPServer(
            ("127.0.0.1", 0), lambda req, exchange: None, partners.runtime.timers
        ).register(partners.runtime)
        splicer = ConnectionSplicer(partners.runtime.timers, lambda address, how: None).register(
            partners.runtime
        )

        def take_over(sock, waited, is_refused):
            splicer.start(sock, partners.address)
            return True

        server.set_refusal(lambda waited: False, take_over)
        for cut in list_cuts(frame(b"0123456789"), True):
            partners.answer(cut, ending)
            with socket.create_connection(("127.0.0.1", server.port)) as sock:
                sock.sendall(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
                data, is_closed = read_to_end(sock)
            assert cut.startswith(data), cut
            assert split_answers(data, is_closed)[0] == [], cut

    @pytest.mark.parametrize("name", ["head", "body", "large"])
    def test_answer_stays_cut_when_the_process_in_between_is_killed(self, partners, name):
        answer = with_length(b"x" * (7_000_000 if name == "large" else 10))
        size = {"head": 20, "body": len(answer) - 5, "large": len(answer)}[name]
        partners.partner.answer_to = lambda req: Answer((answer[:size],), Ending.SILENCE)
        child = subprocess.Popen(
            [sys.executable, "-c", SPLICER, partners.address], stdout=subprocess.PIPE, text=True
        )
        try:
            port = int(child.stdout.readline())
            with socket.socket() as sock:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65536)
                sock.connect(("127.0.0.1", port))
                sock.sendall(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
                assert sock.recv(1, socket.MSG_PEEK)
                child.kill()
                assert split_answers(*read_to_end(sock))[0] == []
        finally:
            child.kill()
            child.wait()
            child.stdout.close()


class TestCommandLine:
    REPLY = orjson.dumps({"state": "accepted", "revision": 3})

    @pytest.mark.parametrize("frame", FRAMINGS)
    def test_answer_that_stops_leaves_the_outcome_open(self, partners, frame):
        """Guards against an exception, and a change that is reported as not sent."""
        client = OperatorClient([partners.address], "op")
        answer = frame(self.REPLY)
        # The last chunk ends the body for http.client, which then has all of it.
        size = answer.find(b"\r\n0\r\n") + 4 if frame is chunked else len(answer)
        for number in range(0, size, 2):
            partners.answer(answer[:number], ENDINGS[number // 2 % 2])
            reply = client.send(["show vms"])
            assert (reply.status, reply.sent) == (0, True), answer[:number]
        partners.answer(answer)
        assert client.send(["show vms"]).data["revision"] == 3

    @pytest.mark.parametrize("size", [0, 17, 40, 60])
    def test_next_entry_process_is_asked(self, partners, size):
        whole = unframed(self.REPLY)
        cut = CutPartner(lambda req: Answer((whole[:size],)))
        partners.answer(whole)
        reply = OperatorClient([cut.address, partners.address], "op").send(["show vms"])
        cut.close()
        assert (reply.status, reply.data["revision"]) == (200, 3)
