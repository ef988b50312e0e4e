"""Entry processes before partners whose answers stop, and entry processes that are killed."""

import re
import signal
import socket
import threading
from urllib.parse import urlencode

import pytest

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
from flamingofront.tests.test_forward_processes import CALL, IP, Processes

WAIT_SECONDS = 10.0
RETRY_CREDIT_REQUESTS = 60
CUTS = 20
BODY = b"the whole answer"
EVENTS = b"".join(b"id: %d\ndata: word\n\n" % number for number in range(1, 5))
EVENT_STREAM = "Content-Type: text/event-stream"
# The endpoints close each connection: a request on an idle one may be lost unless they say so.
CLOSE = "Connection: close"
ANSWERS = {
    "length": (with_length(BODY), True),
    "chunks": (chunked(BODY), True),
    "close": (unframed(BODY), False),
    "1xx": (INTERIM + with_length(BODY), True),
    "1xx close": (INTERIM + unframed(BODY), False),
    "stream": (chunked(EVENTS, EVENT_STREAM), True),
    "stream length": (with_length(EVENTS, EVENT_STREAM), True),
    "stream close": (unframed(EVENTS, EVENT_STREAM), False),
}
ENDINGS = [Ending.CLOSE, Ending.RESET]


def choose_cuts(name):
    """Return some beginnings of an answer: all ends of lines, and others between them."""
    cuts = list_cuts(*ANSWERS[name])
    lines = [size for size in range(len(cuts)) if cuts[size].endswith((b"\r\n", b"\r", b"\n"))]
    sizes = {*lines, *range(0, len(cuts), len(cuts) // CUTS), len(cuts) - 1}
    return [cuts[size] for size in sorted(sizes)]


class CutProcesses(Processes):
    """An entry process whose endpoints are `CutPartner` objects."""

    def __init__(self, folder):
        self.partners = {}
        super().__init__(folder)

    def write_settings(self, **more):
        super().write_settings(**{"listen.control": f"{IP}:0", **more})

    def start_endpoint(self, name):
        self.partners[name] = CutPartner()
        return self.partners[name].address

    def connect(self, name="callers"):
        sock = socket.socket()
        sock.settimeout(WAIT_SECONDS)
        # The kernel does not take a large answer whole.
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65536)
        sock.connect((IP, self.ports[name]))
        return sock

    def ask(self, target, name="callers", method="GET", close=True, **fields):
        """Send a request, read to the end of the connection; return what came."""
        with self.connect(name) as sock:
            sock.sendall(encode(target, method, close, **fields))
            return read_to_end(sock)

    def stop(self):
        super().stop()
        for each in self.partners.values():
            each.close()


def encode(target, method="GET", close=True, **fields):
    fields = {**CALL, **fields} | ({"Connection": "close"} if close else {})
    lines = [f"{method} {target} HTTP/1.1", *(f"{name}: {text}" for name, text in fields.items())]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def proxy_target(endpoint, target, method="GET"):
    query = {"endpoint": endpoint, "request": "r#1", "sender": "vm-2", "method": method}
    query |= {"target": target, "timeout": "5", "connect": "0.5", "new": "1"}
    return f"/proxy?{urlencode(query)}"


@pytest.fixture(scope="class")
def processes(tmp_path_factory):
    started = CutProcesses(tmp_path_factory.mktemp("cut"))
    started.wait_ready()
    yield started
    started.stop()


def cut_by_path(cuts, path):
    """Return a function that answers the request to PATH/NUMBER with a beginning."""

    def answer_to(req):
        match = re.match(rb"\S+ " + path.encode() + rb"(\d+) ", req)
        if match is None:
            return Answer((with_length(b"{}", CLOSE),))
        number = int(match[1])
        return Answer((cuts[number],), ENDINGS[number % 2])

    return answer_to


def find_whole(results, allowed=(502,)):
    """Return the answers that look like whole ones of the endpoint."""
    answers = [split_answers(*each)[0] for each in results]
    return [each for each in answers if each and each[0][0] not in allowed]


class TestEntryProcess:
    @pytest.mark.parametrize("name", ANSWERS)
    def test_cut_answer_is_not_passed_on_as_whole(self, processes, name):
        """Guards against a 200 with a body that is empty or short."""
        endpoint = "engine-1" if "stream" in name else "plain-1"
        path = f"/{'stream/letter' if 'stream' in name else 'lookup'}/{name.replace(' ', '-')}/"
        cuts, partner = choose_cuts(name), processes.partners[endpoint]
        partner.answer_to = cut_by_path(cuts, path)
        results = [processes.ask(f"{path}{number}") for number in range(len(cuts))]
        asked = {each.split(b" ")[1] for each in partner.requests}
        assert {f"{path}{n}".encode() for n in range(len(cuts))} <= asked
        assert find_whole(results) == []

    @pytest.mark.parametrize("name", ANSWERS)
    def test_cut_answer_is_not_proxied_as_whole(self, processes, name):
        """Guards against a peer that ends an answer which its endpoint broke off."""
        cuts, path = choose_cuts(name), f"/proxied/{name.replace(' ', '-')}/"
        partner = processes.partners["plain-1"]
        partner.answer_to = cut_by_path(cuts, path)
        for number in range(len(cuts)):
            target = proxy_target("plain-1", f"{path}{number}")
            data, is_closed = processes.ask(target, "control")
            for status, _ in split_answers(data, is_closed)[0]:
                assert status == 502 and b"proxy-failure" in data.lower()
                assert b"wrote=1" in data
        assert sum(path.encode() in each for each in partner.requests) == len(cuts)


class TestResumedStream:
    @pytest.fixture(scope="class")
    def with_retries(self, processes):
        """Requests that are answered pay for the retries of others."""
        partner = processes.partners["engine-1"]
        partner.answer_to = lambda req: Answer((chunked(EVENTS, EVENT_STREAM, CLOSE),))
        for number in range(RETRY_CREDIT_REQUESTS):
            processes.ask(f"/stream/letter/whole-{number}")
        return processes

    @pytest.fixture
    def resumed(self, with_retries):
        """Return a function that plays a stream which breaks off and goes on with an answer."""

        def play(rest, number):
            first = chunked(EVENTS, EVENT_STREAM, CLOSE)
            cut = first[: first.index(b"id: 3") + 2]

            def answer_to(req):
                return Answer((rest if b"\r\nlast-event-id:" in req.lower() else cut,))

            with_retries.partners["engine-1"].answer_to = answer_to
            return split_answers(*with_retries.ask(f"/stream/letter/resumed-{number}"))[0]

        return play

    def test_rest_makes_it_whole(self, resumed):
        rest = unframed(EVENTS[EVENTS.index(b"id: 3") :], EVENT_STREAM)
        assert resumed(rest, 1) == [(200, EVENTS)]

    def test_end_without_events_is_passed_on(self, resumed):
        first = EVENTS[: EVENTS.index(b"id: 3")]
        assert resumed(chunked(b"", EVENT_STREAM, CLOSE), 2) == [(200, first)]
        assert resumed(with_length(b"", EVENT_STREAM, CLOSE), 3) == [(200, first)]

    def test_close_right_after_the_head_does_not_end_it(self, resumed):
        """Guards against a stream that ends as whole before its last events."""
        assert resumed(unframed(b"", EVENT_STREAM), 4) == []

    @pytest.mark.parametrize("cut", [0, 17, 30, -1])
    def test_cut_head_does_not_end_it(self, resumed, cut):
        assert resumed(unframed(b"", EVENT_STREAM)[:cut], f"cut-{cut}") == []

    def test_close_right_after_the_head_is_no_stream_of_a_proxied_attempt(self, processes):
        partner = processes.partners["engine-1"]
        partner.answer_to = lambda req: Answer((unframed(b"", EVENT_STREAM),))
        data, is_closed = processes.ask(proxy_target("engine-1", "/stream/letter/p"), "control")
        assert split_answers(data, is_closed)[0] == []


class TestKilledProcess:
    """Runs last: it ends the process."""

    def test_its_answers_stay_cut(self, processes):
        """A head, a long answer, streams, a proxied one and pipelined ones are under way."""
        large = with_length(b"x" * 7_000_000)
        stream = chunked(EVENTS, EVENT_STREAM)
        begun = threading.Semaphore(0)

        def answer_to(req):
            begun.release()
            target = req.split(b" ")[1]
            if b"large" in target:
                return Answer((large,))
            size = {b"head": 20, b"body": len(stream) - 20, b"end": len(stream) - 5}
            found = [each for word, each in size.items() if word in target]
            return Answer((stream[: found[0] if found else 0],), Ending.SILENCE)

        for each in processes.partners.values():
            each.answer_to = answer_to
        asked = [
            ("callers", encode("/lookup/large")),
            ("callers", encode("/lookup/head")),
            ("callers", encode("/lookup/large", close=False) * 3),
            ("callers", encode("/stream/letter/head")),
            ("callers", encode("/stream/letter/body")),
            ("callers", encode("/stream/letter/end")),
            ("control", encode(proxy_target("engine-1", "/a/body"))),
            ("control", encode(proxy_target("engine-1", "/a/head"))),
            ("control", encode(proxy_target("plain-1", "/a/large"))),
        ]
        socks = []
        for name, data in asked:
            sock = processes.connect(name)
            sock.sendall(data)
            socks.append(sock)
        for _ in asked:
            assert begun.acquire(timeout=WAIT_SECONDS)
        # The answers that can be passed on have begun to arrive.
        for number in (0, 2, 4, 5, 6, 8):
            assert socks[number].recv(1, socket.MSG_PEEK)
        processes.front.send_signal(signal.SIGKILL)
        for sock, (_, data) in zip(socks, asked, strict=True):
            answers, rest = split_answers(*read_to_end(sock))
            assert len(answers) < data.count(b"HTTP/1.1"), data
            sock.close()
