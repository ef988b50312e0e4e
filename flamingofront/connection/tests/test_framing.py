"""Tests of strict framing: any split of the bytes parses alike, ambiguous input is rejected."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from flamingofront.connection.framing import (
    ChunkedDecoder,
    HeadBuffer,
    create_request_decoder,
    create_response_decoder,
)
from flamingofront.errors import ErrorKind, RequestError

MAX_BODY = 1000


def parse(pieces):
    """Return (head, body, rest) of the first request in the pieces, or the kind of its error."""
    heads, head, decoder, body, rest = HeadBuffer(True), None, None, b"", b""
    try:
        for piece in pieces:
            if head is None:
                result = heads.feed(piece)
                if result is None:
                    continue
                head, piece = result
                decoder = create_request_decoder(head, MAX_BODY)
            if decoder.complete:
                rest += piece
                continue
            more, left = decoder.feed(piece)
            body, rest = body + more, rest + left
    except RequestError as exc:
        return exc.kind
    if head is None or not decoder.complete:
        return None
    return head, body, rest


def split_at(data, cuts):
    edges = [0, *sorted(cut % (len(data) + 1) for cut in cuts), len(data)]
    return [data[a:b] for a, b in zip(edges, edges[1:], strict=False)]


def encode_chunked(body, sizes):
    out, at = b"", 0
    for size in sizes:
        part = body[at : at + size]
        at += len(part)
        out += b"%x\r\n%b\r\n" % (len(part), part) if part else b""
    rest = body[at:]
    out += b"%x\r\n%b\r\n" % (len(rest), rest) if rest else b""
    return out + b"0\r\n\r\n"


cuts = st.lists(st.integers(0, 2000), max_size=8)
NEXT = b"GET /next HTTP/1.1\r\nHost: h\r\n\r\n"


class TestSplitInput:
    @given(st.binary(max_size=200), cuts)
    def test_body_with_content_length(self, body, at):
        data = b"POST /p?a=1 HTTP/1.1\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body) + NEXT
        head, got, rest = parse(split_at(data, at))
        assert (head.method, head.path, head.query) == ("POST", "/p", {"a": "1"})
        assert (got, rest) == (body, NEXT)

    @given(st.binary(max_size=200), st.lists(st.integers(1, 50), max_size=6), cuts)
    def test_body_in_chunks(self, body, sizes, at):
        data = b"POST /p HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n" + encode_chunked(
            body, sizes
        )
        head, got, rest = parse(split_at(data + NEXT, at))
        assert (got, rest) == (body, NEXT)

    @given(st.binary(max_size=300), cuts)
    def test_result_is_independent_of_the_split(self, data, at):
        assert parse(split_at(data, at)) == parse([data])

    @given(st.lists(st.sampled_from([b"A: b\r\n", b"\r\n", b"\n", b"\\x41: \\N", b":", b"\x00"])))
    def test_unusual_head_raises_only_request_errors(self, lines):
        parse([b"GET / HTTP/1.1\r\n" + b"".join(lines) + b"\r\n\r\n"])


class TestAmbiguousInput:
    @pytest.mark.parametrize(
        "headers",
        [
            b"Content-Length: abc\r\n",
            b"Content-Length: -1\r\n",
            b"Content-Length: +1\r\n",
            b"Content-Length: 1, 1\r\n",
            b"Content-Length: 1\r\nContent-Length: 1\r\n",
            b"Content-Length: 1\r\nTransfer-Encoding: chunked\r\n",
            b"Transfer-Encoding: gzip, chunked\r\n",
            b"Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
            b"Transfer-Encoding : chunked\r\n",
            b"A: b\r\n folded\r\n",
            b"A: b\nB: c\r\n",
            b"A: \x00\r\n",
            b"No colon\r\n",
        ],
    )
    def test_framing_headers_are_rejected(self, headers):
        data = b"POST / HTTP/1.1\r\nHost: h\r\n" + headers + b"\r\nx"
        assert parse([data]) is ErrorKind.MALFORMED_REQUEST

    @pytest.mark.parametrize(
        "line",
        [
            *(b"GET", b"GET /", b"GET / HTTP/2.0", b"GET http://h/ HTTP/1.1", b"G@T / HTTP/1.1"),
            *(b"\\", b" GET / HTTP/1.1", b"GET  / HTTP/1.1", b"GET / HTTP/1x1"),
        ],
    )
    def test_start_line_is_rejected(self, line):
        assert parse([line + b"\r\n\r\n"]) is ErrorKind.MALFORMED_REQUEST

    @pytest.mark.parametrize("blank", [b"\t", b"\x85", b"\xa0"])
    def test_start_line_with_other_blanks_is_rejected(self, blank):
        """Guards against a target that is taken from a later line, with the ends of lines in it."""
        fields = b"A: /other\r\nB:injected\r\nC: d\r\n\r\n"
        for line in (b"GET_/_HTTP/1.1", b"GET_/ HTTP/1.1", b"GET /_HTTP/1.1"):
            data = line.replace(b"_", blank) + b"\r\n" + fields
            assert parse([data]) is ErrorKind.MALFORMED_REQUEST

    @pytest.mark.parametrize("chunk", [b"zz\r\n", b"-1\r\n", b"3;x=y\r\nabc\r\n", b"3\r\nabcd\r\n"])
    def test_chunk_is_rejected(self, chunk):
        data = b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk + b"0\r\n\r\n"
        assert parse([data]) is ErrorKind.MALFORMED_REQUEST

    def test_sizes_are_limited(self):
        assert parse([b"GET / HTTP/1.1\r\nA: " + b"x" * 20000]) is ErrorKind.HEADERS_TOO_LARGE
        data = b"POST / HTTP/1.1\r\nContent-Length: 1001\r\n\r\n"
        assert parse([data]) is ErrorKind.BODY_TOO_LARGE

    def test_backslashes_in_header_are_unchanged(self):
        head, _, _ = parse([b"GET / HTTP/1.1\r\nA: \\x41\\N{DASH}\\\r\n\r\n"])
        assert head.headers["a"] == "\\x41\\N{DASH}\\"


class TestTinyChunks:
    @pytest.mark.parametrize("size", [1, 7])
    @pytest.mark.parametrize("piece", [1, 5, 1000, 65_536])
    def test_body_is_the_same_however_it_arrives(self, size, piece):
        body = bytes(each % 251 for each in range(3500))
        parts = (body[at : at + size] for at in range(0, len(body), size))
        wire = b"".join(b"%x\r\n%b\r\n" % (len(each), each) for each in parts) + b"0\r\n\r\n"
        wire += b"next"
        decoder, found, rest = ChunkedDecoder(), b"", b""
        for start in range(0, len(wire), piece):
            if decoder.complete:
                rest += wire[start : start + piece]
                continue
            part, rest = decoder.feed(wire[start : start + piece])
            found += part
        assert decoder.complete and found == body and rest == b"next"

    def test_number_of_chunks_is_counted(self):
        decoder = ChunkedDecoder()
        decoder.feed(b"1\r\nx\r\n2\r\nxx\r\n" * 50)
        assert decoder.chunk_count == 100

    @given(
        st.lists(
            st.tuples(st.sampled_from([1, 2, 9, 10, 15, 16, 40]), st.sampled_from([1, 8, 9, 30])),
            max_size=20,
        ),
        st.integers(0, 3),
        st.sampled_from([1, 7, 100, 5000]),
    )
    def test_chunks_of_equal_and_other_sizes_are_decoded_alike(self, runs, kind, piece):
        """Chunks of the same size are decoded together; a body may look like the end of one."""
        sizes = [size for size, count in runs for _ in range(count)]
        pattern = (b"\r\n", b"1\r\nx\r\n", b"9\r\n", bytes(range(251)))[kind]
        body = (pattern * (sum(sizes) // len(pattern) + 1))[: sum(sizes)]
        wire, start = b"", 0
        for size in sizes:
            wire += b"%x\r\n%b\r\n" % (size, body[start : start + size])
            start += size
        wire += b"0\r\n\r\n"
        decoder, found = ChunkedDecoder(), b""
        for at in range(0, len(wire), piece):
            part, rest = decoder.feed(wire[at : at + piece])
            found += part
            assert rest == b""
        assert decoder.complete and found == body

    @pytest.mark.parametrize("end", [b"xx", b"\r\r", b"\n\r"])
    def test_chunk_that_does_not_end_is_malformed(self, end):
        with pytest.raises(RequestError):
            ChunkedDecoder().feed(b"1\r\nx\r\n1\r\nx" + end + b"0\r\n\r\n")


def parse_response(line, fields=b""):
    """Return the head of a response with this first line, or the kind of its error."""
    try:
        return HeadBuffer(False).feed(line + b"\r\n" + fields + b"\r\n")[0]
    except RequestError as exc:
        return exc.kind


class TestStatusLine:
    @pytest.mark.parametrize(
        "line",
        [
            *(b"HTTP/1.1 %03d OK" % status for status in (0, 1, 99, 600, 999)),
            b"HTTP/1.1 00 OK",
            b"HTTP/1.1 0200 OK",
            b"HTTP/1.1 +20 OK",
            b"HTTP/1.1 200OK",
            b"HTTP/1.1 20 0",
            b"HTTP/1.1 20\xb2 OK",
            b"HTTP/1.1  200 OK",
            b" HTTP/1.1 200 OK",
            b"HTTP/1.1\t200 OK",
            b"HTTP/1.1 200\tOK",
            b"HTTP/1.1\xa0200 OK",
            b"HTTP/1.1 200\x85OK",
            b"HTTP/1x1 200 OK",
            b"HTTP/01.1 200 OK",
            b"HTTP/2.0 200 OK",
            b"HTTP/1.1 200 OK\x00",
            b"200 OK",
        ],
    )
    def test_line_that_breaks_the_protocol_is_rejected(self, line):
        """Guards against an answer with an invalid status."""
        assert parse_response(line) is ErrorKind.MALFORMED_REQUEST

    @given(st.integers(0, 999))
    def test_status_is_accepted_within_its_range_only(self, status):
        head = parse_response(b"HTTP/1.1 %03d OK" % status)
        if 100 <= status < 600:
            assert head.status == status
        else:
            assert head is ErrorKind.MALFORMED_REQUEST

    @pytest.mark.parametrize("line", [b"HTTP/1.1 200 OK", b"HTTP/1.0 200 OK", b"HTTP/1.1 200 "])
    def test_usual_line_is_accepted(self, line):
        assert parse_response(line).status == 200

    @pytest.mark.parametrize(
        "line",
        [
            b"HTTP/1.1 203 Non-Authoritative Information",
            b"HTTP/1.1 418 I'm a teapot",
            b"HTTP/1.1 200 \xc3\x96k (all right)!",
            b"HTTP/1.1 200 \\x00",
            b"HTTP/1.1 500 line 1: \t{}",
        ],
    )
    def test_any_reason_is_accepted(self, line):
        """Guards against a valid answer that is replaced by a failure for its reason phrase."""
        assert parse_response(line).status == int(line[9:12])


class TestFieldValues:
    @pytest.mark.parametrize("blank", [b"\x85", b"\xa0"])
    @pytest.mark.parametrize(
        "value", [b"Content-Length:_5", b"Content-Length: 5_", b"Transfer-Encoding: _chunked"]
    )
    def test_blanks_beyond_those_of_the_protocol_do_not_frame_a_body(self, value, blank):
        """Guards against a body whose end the other side sees elsewhere."""
        head = parse_response(b"HTTP/1.1 200 OK", value.replace(b"_", blank) + b"\r\n")
        with pytest.raises(RequestError):
            create_response_decoder(head, "GET")

    @given(st.binary(max_size=30).filter(lambda value: not {*b"\r\n"} & {*value}))
    def test_values_are_the_same_by_name_and_in_order(self, value):
        head = parse_response(b"HTTP/1.1 200 OK", b"A: x\r\nB:" + value + b"\r\n")
        if isinstance(head, ErrorKind):
            return
        assert head.fields == (("A", "x"), ("B", value.strip(b" \t").decode("latin-1")))
        assert dict(head.headers) == {name.lower(): text for name, text in head.fields}

    def test_values_of_one_name_are_joined_in_order(self):
        head = parse_response(b"HTTP/1.1 200 OK", b"A: x\r\nb: y\r\na: z\r\n")
        assert head.headers == {"a": "x, z", "b": "y"}
