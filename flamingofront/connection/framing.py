"""Strict parsing of the framing of HTTP/1.1 messages.

Message heads are parsed by circuits.web, which accepts input that is ambiguous (see
docs/DESIGN.md). This module first checks the framing headers, the sizes and the bytes of a head.
"""

import re
from abc import ABC, abstractmethod
from collections.abc import Mapping
from dataclasses import dataclass
from urllib.parse import parse_qsl, unquote

from circuits.web.parsers import HttpParser

from flamingofront.errors import ErrorKind, RequestError

__all__ = [
    "BodyDecoder",
    "ChunkedDecoder",
    "EmptyDecoder",
    "HOP_BY_HOP_FIELDS",
    "Head",
    "HeadBuffer",
    "LengthDecoder",
    "UntilCloseDecoder",
    "create_request_decoder",
    "create_response_decoder",
    "get_connection_options",
]

# Headers that concern one connection only, by lower-case name.
HOP_BY_HOP_FIELDS = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "expect",
    }
)

MAX_HEAD_BYTES = 16 * 1024
MAX_CHUNK_LINE_BYTES = 64
# Chunks of the same size are decoded together after so many of them, up to so many at once.
MIN_REPEATS = 8
MAX_EQUAL_CHUNKS = 512
EVENT_STREAM_TYPE = "text/event-stream"
_HEAD_END = b"\r\n\r\n"
_REQUEST_KIND = 0
_RESPONSE_KIND = 1
_FORBIDDEN = re.compile(rb"[\x00-\x08\x0b\x0c\x0e-\x1f\x7f]|(?<!\r)\n|\r(?!\n)")
_REQUEST_LINE = re.compile(rb"[A-Z]{1,20} /[^\x00-\x20\x7f]* HTTP/1\.[01]\r\n")
# Statuses outside of 100 to 599 are invalid (RFC 9110, section 15).
_STATUS_LINE = re.compile(rb"(HTTP/1\.[01] [1-5][0-9]{2} )[^\r]*\r\n")
_FIELD_NAME = re.compile(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
_LENGTH = re.compile(r"[0-9]{1,15}")
_CHUNK_SIZE = re.compile(rb"[0-9a-fA-F]{1,8}")
_CHUNK_START = re.compile(rb"([0-9a-fA-F]{1,8})\r\n")
_SINGLE_FIELDS = (b"content-length", b"transfer-encoding", b"host")


@dataclass(frozen=True)
class Head:
    """Parsed start line and headers of an HTTP message.

    Parameters
    ----------
    headers : mapping of str to str
        Values by lower-case name.
    target : str
        Path and query of a request as received, for forwarding unchanged.
    fields : tuple of (str, str)
        Names and values of all headers as received, in order.
    """

    method: str
    path: str
    query: Mapping[str, str]
    status: int
    headers: Mapping[str, str]
    keep_alive: bool
    target: str = ""
    fields: tuple[tuple[str, str], ...] = ()


class HeadBuffer:
    """Buffer that collects bytes until a message head is complete, then parses it.

    Parameters
    ----------
    is_request : bool
        True to parse request heads, False to parse response heads.
    max_bytes : int
        Maximum size of a head.
    """

    def __init__(self, is_request: bool, max_bytes: int = MAX_HEAD_BYTES):
        self._is_request = is_request
        self._max_bytes = max_bytes
        self._data = bytearray()

    @property
    def is_empty(self) -> bool:
        """True if no byte of a head has been received."""
        return not self._data

    @property
    def size(self) -> int:
        """Number of bytes of the incomplete head."""
        return len(self._data)

    def feed(self, data: bytes) -> tuple[Head, bytes] | None:
        """Add received bytes; return the head and the remaining bytes once the head is complete.

        Raises
        ------
        RequestError
            If the head is too large or malformed.
        """
        searched = max(0, len(self._data) - len(_HEAD_END))
        self._data += data
        if not searched:
            self._strip_empty_lines()
        end = self._data.find(_HEAD_END, searched)
        if end < 0 and len(self._data) <= self._max_bytes:
            return None
        if end < 0 or end > self._max_bytes:
            raise RequestError(
                ErrorKind.HEADERS_TOO_LARGE, f"the head is over {self._max_bytes} bytes"
            )
        raw = bytes(self._data[: end + len(_HEAD_END)])
        rest = bytes(self._data[end + len(_HEAD_END) :])
        self._data.clear()
        return _parse_head(raw, self._is_request), rest

    def _strip_empty_lines(self) -> None:
        while self._data[:2] == b"\r\n":
            del self._data[:2]


def _malformed_error(detail: str) -> RequestError:
    return RequestError(ErrorKind.MALFORMED_REQUEST, detail)


def _check_head_bytes(raw: bytes) -> None:
    """Raise an error for a head that the parser of circuits would accept or misread."""
    if _FORBIDDEN.search(raw):
        raise _malformed_error("the head holds a control character or a bare line end")
    seen_names = set()
    for line in raw[:-4].split(b"\r\n")[1:]:
        name, colon, _ = line.partition(b":")
        if not colon or not _FIELD_NAME.fullmatch(name):
            raise _malformed_error(f"bad header line {line[:60]!r}")
        lower = name.lower()
        if lower in _SINGLE_FIELDS and lower in seen_names:
            raise _malformed_error(f"header {lower.decode()} is given twice")
        seen_names.add(lower)


def _remove_reason(raw: bytes) -> bytes:
    """Return the head of a response without its reason phrase, after a check of its first line.

    The parser of circuits accepts other separators and statuses, and only words in the reason.
    """
    line = _STATUS_LINE.match(raw)
    if line is None:
        raise _malformed_error(f"bad status line {raw[:60]!r}")
    return line[1] + b"\r\n" + raw[line.end() :]


def _parse_head(raw: bytes, is_request: bool) -> Head:
    _check_head_bytes(raw)
    if is_request and not _REQUEST_LINE.match(raw):
        raise _malformed_error(f"bad request line {raw[:60]!r}")
    parser = HttpParser(kind=_REQUEST_KIND if is_request else _RESPONSE_KIND)
    # The parser decodes backslash escapes; doubling each backslash keeps the headers unchanged.
    escaped = (raw if is_request else _remove_reason(raw)).replace(b"\\", b"\\\\")
    try:
        parser.execute(escaped, len(escaped))
    except ValueError as exc:
        raise _malformed_error(f"bad first line: {exc}") from exc
    if parser.errno is not None or not parser.is_headers_complete():
        raise _malformed_error(f"bad first line or header: {parser.errstr[:80]}")
    fields = _parse_fields(raw)
    return Head(
        method=parser.get_method() or "",
        path=unquote(parser.get_path() or ""),
        query=dict(parse_qsl(parser.get_query_string() or "", keep_blank_values=True)),
        status=parser.get_status_code() or 0,
        headers=_join_values(fields),
        keep_alive=parser.should_keep_alive(),
        target=_parse_target(raw) if is_request else "",
        fields=fields,
    )


def _parse_target(raw: bytes) -> str:
    """Return the request target as received, without decoding."""
    return raw.split(b" ", 2)[1].decode("latin-1")


def _parse_fields(raw: bytes) -> tuple[tuple[str, str], ...]:
    """Return the names and values of the headers as received, in order."""
    pairs = (line.partition(b":") for line in raw[:-4].split(b"\r\n")[1:])
    return tuple((name.decode(), value.strip(b" \t").decode("latin-1")) for name, _, value in pairs)


def _join_values(fields: tuple[tuple[str, str], ...]) -> dict[str, str]:
    """Return the values by lower-case name; those of one name are joined by commas."""
    headers: dict[str, str] = {}
    for name, value in fields:
        lower = name.lower()
        headers[lower] = f"{headers[lower]}, {value}" if lower in headers else value
    return headers


def get_connection_options(fields: tuple[tuple[str, str], ...]) -> frozenset[str]:
    """Return the names of the hop-by-hop headers that a ``Connection`` header lists."""
    values = (value for name, value in fields if name.lower() == "connection")
    return frozenset(each.strip().lower() for value in values for each in value.split(","))


class BodyDecoder(ABC):
    """Incremental decoder of a message body.

    Attributes
    ----------
    complete : bool
        True once the end of the body has been received.
    """

    complete = False

    @abstractmethod
    def feed(self, data: bytes) -> tuple[bytes, bytes]:
        """Return the decoded body bytes in `data` and the bytes after the end of the body."""

    def can_end_at_close(self) -> bool:
        """Return True if the body is complete when the connection is closed now."""
        return self.complete


class EmptyDecoder(BodyDecoder):
    """Decoder for a message without a body."""

    complete = True

    def feed(self, data: bytes) -> tuple[bytes, bytes]:
        """Return no body bytes; all of `data` belongs to the next message."""
        return b"", data


class LengthDecoder(BodyDecoder):
    """Decoder for a body with a Content-Length.

    Attributes
    ----------
    length : int
        Size of the body in bytes.
    """

    def __init__(self, length: int):
        self.length = length
        self._left = length
        self.complete = length == 0

    def feed(self, data: bytes) -> tuple[bytes, bytes]:
        """Return the body bytes in `data` and the bytes after the end of the body."""
        body = data[: self._left]
        self._left -= len(body)
        self.complete = self._left == 0
        return body, data[len(body) :]


class UntilCloseDecoder(BodyDecoder):
    """Decoder for a response body that ends when the connection is closed.

    Parameters
    ----------
    may_be_empty : bool
        False if a body without any byte is not complete.
    """

    def __init__(self, may_be_empty: bool = True):
        self._has_content = may_be_empty

    def feed(self, data: bytes) -> tuple[bytes, bytes]:
        """Return all of `data` as body bytes."""
        self._has_content = self._has_content or bool(data)
        return data, b""

    def can_end_at_close(self) -> bool:
        """Return True: the close of the connection ends the body, unless it must not be empty."""
        return self._has_content


def _take_equal_chunks(data: bytes, position: int, digit: bytes) -> tuple[bytes, int]:
    """Return the content of complete chunks with the same size, and the position after them.

    Parameters
    ----------
    digit : bytes
        Size of each chunk, one hexadecimal digit.

    Notes
    -----
    All chunks are decoded at once, by the bytes that they have at the same place.
    """
    size = int(digit, 16)
    step = size + 5
    count = min((len(data) - position) // step, MAX_EQUAL_CHUNKS)
    framing = ((0, digit), (1, b"\r"), (2, b"\n"), (size + 3, b"\r"), (size + 4, b"\n"))
    for offset, expected in framing:
        column = data[position + offset : position + count * step : step]
        count = min(count, len(column) - len(column.lstrip(expected)))
    end = position + count * step
    content = bytearray(count * size)
    for offset in range(size):
        content[offset::size] = data[position + 3 + offset : end : step]
    return bytes(content), end


class ChunkedDecoder(BodyDecoder):
    """Decoder for a body in chunked transfer coding without trailers.

    Attributes
    ----------
    chunk_count : int
        Number of chunks, or parts of them, in the bytes that were last added.

    Notes
    -----
    Trailers are rejected: nothing in this system uses them, and they can smuggle header fields.
    """

    def __init__(self):
        self._data = b""  # bytes that are not parsed, and those of the next call
        self._position = 0
        self._chunk_left = -1  # bytes of the current chunk and its CRLF, -1 between chunks
        self.chunk_count = 0

    def feed(self, data: bytes) -> tuple[bytes, bytes]:
        """Return the decoded body bytes in `data` and the bytes after the last chunk."""
        self._data = self._data + data if self._data else data
        self._position = 0
        parts: list[bytes] = []
        while not self.complete and self._parse_next(parts):
            pass
        self.chunk_count = len(parts)
        rest, self._data = self._data[self._position :], b""
        if self.complete:
            return b"".join(parts), rest
        self._data = rest
        return b"".join(parts), b""

    def _parse_next(self, parts: list[bytes]) -> bool:
        if self._chunk_left >= 0:
            return self._parse_chunk_data(parts)
        self._parse_whole_chunks(parts)
        return self._parse_chunk_size()

    def _parse_whole_chunks(self, parts: list[bytes]) -> None:
        """Parse chunks of which all bytes are there: with small ones, most of them."""
        data, position = self._data, self._position
        size_line, repeats = b"", 0
        while match := _CHUNK_START.match(data, position):
            repeats = repeats + 1 if match[1] == size_line else 0
            size_line = match[1]
            if repeats == MIN_REPEATS and len(size_line) == 1:
                repeats = 0
                part, position = _take_equal_chunks(data, position, size_line)
                parts.append(part)
                continue
            start = match.end()
            end = start + int(size_line, 16)
            if end == start or data[end : end + 2] != b"\r\n":
                break
            parts.append(data[start:end])
            position = end + 2
        self._position = position

    def _parse_chunk_data(self, parts: list[bytes]) -> bool:
        data_left = self._chunk_left - 2
        if data_left > 0:
            part = self._data[self._position : self._position + data_left]
            parts.append(part)
            self._position += len(part)
            self._chunk_left -= len(part)
        end = self._data[self._position : self._position + 2]
        if self._chunk_left > 2 or len(end) < 2:
            return False
        if end != b"\r\n":
            raise _malformed_error("a chunk does not end where its size says")
        self._position += 2
        self._chunk_left = -1
        return True

    def _parse_chunk_size(self) -> bool:
        end = self._data.find(b"\r\n", self._position)
        if end < 0 and len(self._data) - self._position <= MAX_CHUNK_LINE_BYTES:
            return False
        line = self._data[self._position : max(self._position, end)]
        if end < 0 or not _CHUNK_SIZE.fullmatch(line):
            raise _malformed_error(f"bad chunk size {line[:20]!r}")
        size = int(line, 16)
        if size:
            self._position = end + 2
            self._chunk_left = size + 2
            return True
        return self._parse_last_chunk(end)

    def _parse_last_chunk(self, end: int) -> bool:
        line_end = self._data[end + 2 : end + 4]
        if len(line_end) < 2:
            return False
        if line_end != b"\r\n":
            raise _malformed_error("trailers are not accepted")
        self._position = end + 4
        self.complete = True
        return False


def _parse_content_length(head: Head) -> int | None:
    value = head.headers.get("content-length")
    if value is None:
        return None
    if not _LENGTH.fullmatch(value):
        raise _malformed_error(f"bad Content-Length {value[:30]!r}")
    return int(value)


def _is_chunked(head: Head) -> bool:
    coding = head.headers.get("transfer-encoding")
    if coding is None:
        return False
    if coding.lower() != "chunked":
        raise _malformed_error(f"unsupported Transfer-Encoding {coding[:30]!r}")
    if "content-length" in head.headers:
        raise _malformed_error("Content-Length and Transfer-Encoding are both given")
    return True


def create_request_decoder(head: Head, max_body: int) -> BodyDecoder:
    """Create the decoder for the body of a request.

    Raises
    ------
    RequestError
        If the framing is ambiguous or malformed, or the Content-Length exceeds `max_body` bytes.
    """
    if _is_chunked(head):
        return ChunkedDecoder()
    length = _parse_content_length(head) or 0
    if length > max_body:
        raise RequestError(
            ErrorKind.BODY_TOO_LARGE,
            f"the body of {length} bytes is over {max_body}",
        )
    return LengthDecoder(length)


def _is_event_stream(head: Head) -> bool:
    return head.headers.get("content-type", "").lower().startswith(EVENT_STREAM_TYPE)


def create_response_decoder(head: Head, method: str) -> BodyDecoder:
    """Create the decoder for the body of a response to a request with this method."""
    if method == "HEAD" or head.status in (204, 304):
        return EmptyDecoder()
    if _is_chunked(head):
        return ChunkedDecoder()
    length = _parse_content_length(head)
    if length is not None:
        return LengthDecoder(length)
    # A sender that ends right after the head closes as it does after a stream without events.
    return UntilCloseDecoder(may_be_empty=not _is_event_stream(head))
