"""Answers with random defects, before a real entry process, against a strict reader."""

import random
import re

import pytest

from flamingofront.tests.cut_answers import (
    HEAD_END,
    INTERIM,
    chunked,
    split_answers,
    unframed,
    with_length,
)
from flamingofront.tests.test_malformed_answers import Route
from flamingofront.tests.test_processes_cut_short import CutProcesses

SEEDS = 10
CASES = 40
EMPTY_LINES = re.compile(rb"\A(?:\r\n)+")
STATUS_LINE = re.compile(rb"HTTP/1\.[01] ([1-5]\d\d) [\t -~\x80-\xff]*")
FIELD = re.compile(rb"([!#$%&'*+.^_`|~0-9A-Za-z-]+):[ \t]*([\t -~\x80-\xff]*?)[ \t]*")
CHUNK_SIZE = re.compile(rb"[0-9a-fA-F]{1,8}")
PIECES = (
    *(
        b"\r\n",
        b"\n",
        b"\r",
        b" ",
        b"\t",
        b"\x00",
        b":",
        b"0",
        b"1",
        b"9",
        b"\xa0",
        b"\x85",
        b"000",
    ),
    *(b"X-A: b\r\n", b"Content-Length: 3\r\n", b"Transfer-Encoding: chunked\r\n"),
    *(b"HTTP/1.1 200 OK\r\n", b"HTTP/1.1 000 OK\r\n", INTERIM, b"0\r\n\r\n", b"5\r\n"),
    *(b"Content-Length : 3\r\n", b" folded\r\n", b"id: 1\n", b"\n\n", b"HTTP/1.1 101 X\r\n\r\n"),
)


def read_strictly(data):
    """Return status and body of the one answer that ends with the connection, None if malformed.

    Empty lines before a head are ignored; bytes behind a whole answer belong to nobody.
    """
    head, found, rest = EMPTY_LINES.sub(b"", data).partition(b"\r\n\r\n")
    lines = head.split(b"\r\n")
    line = STATUS_LINE.fullmatch(lines[0])
    fields = [FIELD.fullmatch(each) for each in lines[1:]]
    if not found or line is None or None in fields:
        return None
    status = int(line[1])
    if status == 101:
        return None
    if status < 200:
        return read_strictly(rest)
    body = read_body(status, [(each[1].lower(), each[2]) for each in fields], rest)
    return None if body is None else (status, body)


def read_body(status, fields, data):
    lengths = [value for name, value in fields if name == b"content-length"]
    codings = [value.lower() for name, value in fields if name == b"transfer-encoding"]
    if len(lengths) > 1 or len(codings) > 1 or (lengths and codings):
        return None
    if status in (204, 304):
        return b""
    if codings:
        return read_chunks(data) if codings == [b"chunked"] else None
    if lengths:
        is_number = re.fullmatch(rb"\d{1,15}", lengths[0])
        return data[: int(lengths[0])] if is_number and len(data) >= int(lengths[0]) else None
    return data


def read_chunks(data):
    body = b""
    while True:
        size, found, data = data.partition(b"\r\n")
        if not found or not CHUNK_SIZE.fullmatch(size):
            return None
        count = int(size, 16)
        if data[count : count + 2] != b"\r\n":
            return None
        if not count:
            return body
        body, data = body + data[:count], data[count + 2 :]


def add_defect(rng, answer):
    """Return an answer with some bytes added, removed, changed, doubled or moved."""
    start = rng.randrange(len(answer) + 1)
    end = min(len(answer), start + rng.choice((1, 1, 2, 5, 20)))
    part = answer[start:end]
    kind = rng.randrange(6)
    if kind == 0:
        return answer[:start] + rng.choice(PIECES) + answer[start:]
    if kind == 1:
        return answer[:start] + answer[end:]
    if kind == 2:
        return answer[:start] + bytes([rng.randrange(256)]) + answer[start + 1 :]
    if kind == 3:
        return answer[:end] + part + answer[end:]
    if kind == 4:
        lines = answer.split(b"\r\n")
        rng.shuffle(lines)
        return b"\r\n".join(lines)
    return answer[:start] + rng.choice(PIECES) + answer[end:]


@pytest.fixture(scope="class")
def processes(tmp_path_factory):
    started = CutProcesses(tmp_path_factory.mktemp("defects"))
    started.wait_ready()
    yield started
    started.stop()


class TestDefects:
    @pytest.mark.parametrize("seed", range(SEEDS))
    @pytest.mark.parametrize("kind", ["call", "proxied", "stream"])
    def test_answer_is_that_of_the_endpoint_or_a_failure(self, processes, kind, seed):
        """Guards against answers that the caller reads otherwise than the endpoint wrote them."""
        rng = random.Random(f"{kind} {seed}")
        route = Route(processes, kind)
        for _ in range(CASES):
            answer = make_answer(rng, route)
            answers, _ = split_answers(*route.ask(answer))
            expected = read_strictly(answer)
            is_failure = not answers or [status for status, _ in answers] == [502]
            # A stream whose body is no series of whole events may fail as well.
            may_fail = expected is None or (route.is_stream and expected[1] != route.body)
            assert answers == [expected] or (may_fail and is_failure), answer


def make_answer(rng, route):
    """Return an answer with some defects, those of a stream in its head only."""
    frame = rng.choice((with_length, chunked, unframed))
    answer = rng.choice((b"", INTERIM)) + frame(route.body, *route.fields, "X-A: b")
    head_size = answer.rfind(HEAD_END) + len(HEAD_END) if route.is_stream else len(answer)
    head, rest = answer[:head_size], answer[head_size:]
    for _ in range(rng.choice((1, 1, 2, 3))):
        head = add_defect(rng, head)
    return head + rest
