"""Entry processes before endpoints whose answers have a head that breaks the protocol."""

import itertools

import pytest

from flamingofront.tests.cut_answers import (
    INTERIM,
    Answer,
    chunked,
    split_answers,
    unframed,
    with_length,
)
from flamingofront.tests.test_processes_cut_short import (
    BODY,
    EVENT_STREAM,
    EVENTS,
    CutProcesses,
    proxy_target,
)

FRAMINGS = {"length": with_length, "chunks": chunked, "close": unframed}
STATUSES = ["000", "001", "099", "600", "999"]
# Bytes that no name may hold: blanks, control bytes, and those of C1 in Latin-1.
BAD_NAME_BYTES = [*range(0x21), 0x7F, *range(0x80, 0xA1)]
BAD_NAMES = [b"%b", b"%bX-A", b"X%bA", b"X-A%b"]
SEAL = "X-Flamingofront-Response-Seal: endpoint"
NOT_RUN = "X-Flamingofront-Not-Executed: full"
MAX_REQUESTS = 3
numbers = itertools.count()


@pytest.fixture(scope="class")
def processes(tmp_path_factory):
    started = CutProcesses(tmp_path_factory.mktemp("malformed"))
    started.wait_ready()
    yield started
    started.stop()


class Route:
    """One way on which the answer of an endpoint reaches a caller or a peer.

    Parameters
    ----------
    kind : str
        One of ``call``, ``stream``, ``proxied``.

    Attributes
    ----------
    body : bytes
        What the endpoint answers.
    fields : tuple of str
        Its header lines.
    """

    def __init__(self, processes, kind):
        self._processes = processes
        self._kind = kind
        self.is_stream = kind == "stream"
        self._partner = processes.partners["engine-1" if self.is_stream else "plain-1"]
        self.body = EVENTS if self.is_stream else BODY
        self.fields = (EVENT_STREAM, SEAL) if self.is_stream else (SEAL,)

    def ask(self, answer):
        """Return the bytes of the response to a request that the endpoint answers like this.

        The endpoint closes each connection. A request on an idle one that has just been closed is
        not received; it fails, and another one is sent.
        """
        self._partner.answer_to = lambda req: Answer((answer,))
        for _ in range(MAX_REQUESTS):
            path = f"/{'stream/letter' if self.is_stream else 'lookup'}/{next(numbers)}"
            result = self._send(path)
            if any(path.encode() in each for each in self._partner.requests):
                return result
            assert [status for status, _ in split_answers(*result)[0]] == [502], result
        raise AssertionError("not sent")

    def _send(self, path):
        if self._kind == "proxied":
            return self._processes.ask(proxy_target("plain-1", path), "control")
        return self._processes.ask(path)

    def assert_fails(self, answer):
        """Check that the endpoint's answer is replaced by a failure that promises nothing."""
        data, is_closed = self.ask(answer)
        answers = split_answers(data, is_closed)[0]
        assert [status for status, _ in answers] == [502], (answer, data)
        assert self.body not in data and SEAL.encode() not in data, (answer, data)
        if self._kind == "proxied":
            assert b"wrote=1" in data, data


@pytest.fixture(params=["call", "stream", "proxied"])
def route(processes, request):
    return Route(processes, request.param)


@pytest.mark.parametrize("frame", FRAMINGS.values(), ids=FRAMINGS)
class TestStatus:
    @pytest.mark.parametrize("status", STATUSES)
    def test_invalid_status_is_not_passed_on(self, route, frame, status):
        """Guards against an answer with the status 000 that reaches the caller."""
        route.assert_fails(frame(route.body, *route.fields, status=f"{status} OK"))
        route.assert_fails(INTERIM + frame(route.body, *route.fields, status=f"{status} OK"))

    def test_invalid_status_does_not_promise_that_nothing_ran(self, route, frame):
        """Guards against a refusal that is repeated though the request may have run."""
        route.assert_fails(frame(route.body, *route.fields, NOT_RUN, status="000 OK"))

    def test_bytes_after_a_change_of_protocol_are_not_passed_on(self, route, frame):
        """Guards against an answer that is made of bytes of a protocol that nobody asked for."""
        fields = b"Connection: upgrade\r\nUpgrade: other\r\n"
        switch = b"HTTP/1.1 101 Switching Protocols\r\n" + fields + b"\r\n"
        route.assert_fails(switch + frame(route.body, *route.fields))
        route.assert_fails(INTERIM + switch + frame(route.body, *route.fields))

    @pytest.mark.parametrize("status", ["203 Non-Authoritative Information", "418 I'm a teapot"])
    def test_status_with_any_reason_is_passed_on(self, route, frame, status):
        """Guards against a failure in place of an answer whose reason holds other than words."""
        data, is_closed = route.ask(frame(route.body, *route.fields, status=status))
        assert split_answers(data, is_closed)[0] == [(int(status[:3]), route.body)]

    def test_valid_answer_is_passed_on(self, route, frame):
        data, is_closed = route.ask(frame(route.body, *route.fields))
        assert split_answers(data, is_closed)[0] == [(200, route.body)]


class TestLogs:
    """Runs a process of its own, whose log is read at its end."""

    @pytest.fixture
    def processes(self, tmp_path):
        started = CutProcesses(tmp_path)
        started.wait_ready()
        yield started
        started.stop()

    @pytest.mark.parametrize("kind", ["call", "proxied"])
    def test_lines_tell_what_is_malformed(self, processes, kind):
        route = Route(processes, kind)
        route.assert_fails(with_length(route.body, status="000 OK"))
        processes.front.terminate()
        processes.errors()
        event = "proxied attempt ended" if kind == "proxied" else "malformed response"
        lines = [each for each in processes.lines if each["event"] == event]
        assert lines and all("HTTP/1.1 000 OK" in each["detail"] for each in lines)
        assert {each["endpoint"] for each in lines} == {"plain-1"}
        assert {each["request"] for each in lines} == {"r#1" if kind == "proxied" else "r1#1"}


class TestFieldNames:
    @pytest.mark.parametrize("pattern", BAD_NAMES)
    def test_name_with_a_blank_or_control_byte_is_not_passed_on(self, route, pattern):
        """Guards against a line that a caller reads as another field or as the end of the head."""
        for byte in BAD_NAME_BYTES:
            head, _, rest = with_length(route.body, *route.fields).partition(b"\r\n")
            route.assert_fails(b"%b\r\n%b: b\r\n%b" % (head, pattern % bytes([byte]), rest))

    @pytest.mark.parametrize(
        "line",
        [
            b"Content-Length : 5",
            b"Content-Length\t: 5",
            b" Content-Length: 5",
            b"Content-Length\x00: 5",
            b"Content-Length\xa0: 5",
            b"Transfer-Encoding : chunked",
            b"Transfer-Encoding\x0b: chunked",
            b"Content -Length: 5",
        ],
    )
    def test_name_with_a_blank_does_not_frame_the_body(self, route, line):
        """Guards against a body that is not the one that the endpoint sent."""
        head, _, rest = unframed(route.body, *route.fields).partition(b"\r\n")
        route.assert_fails(b"%b\r\n%b\r\n%b" % (head, line, rest))
        head, _, rest = with_length(route.body, *route.fields).partition(b"\r\n")
        route.assert_fails(b"%b\r\n%b\r\n%b" % (head, line, rest))
