"""Strict framing of HTTP/1.1 messages.

Heads are parsed by the parser of circuits.web. What that parser lets through (see docs/DESIGN.md)
is checked here first: the framing headers, the sizes, and the bytes a head may hold.
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
    "Head",
    "HeadBuffer",
    "LengthDecoder",
    "UntilCloseDecoder",
    "request_decoder",
    "response_decoder",
]

MAX_HEAD_BYTES = 16 * 1024
MAX_CHUNK_LINE_BYTES = 64
_HEAD_END = b"\r\n\r\n"
_REQUEST_KIND = 0
_RESPONSE_KIND = 1
_FORBIDDEN = re.compile(rb"[\x00-\x08\x0b\x0c\x0e-\x1f\x7f]|(?<!\r)\n|\r(?!\n)")
_FIELD_NAME = re.compile(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
_LENGTH = re.compile(r"[0-9]{1,15}")
_CHUNK_SIZE = re.compile(rb"[0-9a-fA-F]{1,8}")
_METHOD = re.compile(r"[A-Z]{1,20}")
_SINGLE_FIELDS = (b"content-length", b"transfer-encoding", b"host")


@dataclass(frozen=True)
class Head:
    """First line and headers of a message.

    Parameters
    ----------
    headers : mapping of str to str
        Values by lower-case name.
    target : str
        Path and query of a request as they were sent, for forwarding without a change.
    fields : tuple of (str, str)
        Names and values of all headers as they were sent, in their order.
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
    """Collect bytes until a whole head is there, then parse it.

    Parameters
    ----------
    is_request : bool
        True on the server's side, False on the client's.
    """

    def __init__(self, is_request: bool, max_bytes: int = MAX_HEAD_BYTES):
        self._is_request = is_request
        self._max_bytes = max_bytes
        self._data = bytearray()

    @property
    def empty(self) -> bool:
        """True if no byte of a head has arrived."""
        return not self._data

    def feed(self, data: bytes) -> tuple[Head, bytes] | None:
        """Take bytes; return the head and the bytes behind it once it is complete.

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


def _malformed(detail: str) -> RequestError:
    return RequestError(ErrorKind.MALFORMED_REQUEST, detail)


def _check_head_bytes(raw: bytes) -> None:
    """Refuse what circuits' parser would accept or misread."""
    if _FORBIDDEN.search(raw):
        raise _malformed("the head holds a control character or a bare line end")
    seen = set()
    for line in raw[:-4].split(b"\r\n")[1:]:
        name, colon, _ = line.partition(b":")
        if not colon or not _FIELD_NAME.fullmatch(name):
            raise _malformed(f"bad header line {line[:60]!r}")
        lower = name.lower()
        if lower in _SINGLE_FIELDS and lower in seen:
            raise _malformed(f"header {lower.decode()} is given twice")
        seen.add(lower)


def _parse_head(raw: bytes, is_request: bool) -> Head:
    _check_head_bytes(raw)
    parser = HttpParser(kind=_REQUEST_KIND if is_request else _RESPONSE_KIND)
    # The parser undoes backslash escapes; doubling them keeps the header as it was sent.
    escaped = raw.replace(b"\\", b"\\\\")
    try:
        parser.execute(escaped, len(escaped))
    except ValueError as exc:
        raise _malformed(f"bad first line: {exc}") from exc
    if parser.errno is not None or not parser.is_headers_complete():
        raise _malformed(f"bad first line or header: {parser.errstr[:80]}")
    if parser.get_version() not in ((1, 0), (1, 1)):
        raise _malformed(f"unsupported HTTP version {parser.get_version()}")
    headers = {name.lower(): value for name, value in parser.get_headers().items()}
    if is_request and not _METHOD.fullmatch(parser.get_method()):
        raise _malformed(f"bad method {parser.get_method()[:20]!r}")
    if is_request and not parser.get_url().startswith("/"):
        raise _malformed(f"bad request target {parser.get_url()[:60]!r}")
    return Head(
        method=parser.get_method() or "",
        path=unquote(parser.get_path() or ""),
        query=dict(parse_qsl(parser.get_query_string() or "", keep_blank_values=True)),
        status=parser.get_status_code() or 0,
        headers=headers,
        keep_alive=parser.should_keep_alive(),
        target=_target(raw) if is_request else "",
        fields=_fields(raw),
    )


def _target(raw: bytes) -> str:
    """Return the request target as it was sent."""
    return raw.split(b" ", 2)[1].decode("latin-1")


def _fields(raw: bytes) -> tuple[tuple[str, str], ...]:
    """Return names and values of the headers as they were sent."""
    pairs = (line.partition(b":") for line in raw[:-4].split(b"\r\n")[1:])
    return tuple((name.decode(), value.strip().decode("latin-1")) for name, _, value in pairs)


class BodyDecoder(ABC):
    """Takes the bytes behind a head and returns those of the body."""

    complete = False

    @abstractmethod
    def feed(self, data: bytes) -> tuple[bytes, bytes]:
        """Return the body bytes in `data` and the bytes behind the body."""

    def end_of_stream(self) -> bool:
        """Tell whether the body may end where the connection closed."""
        return self.complete


class EmptyDecoder(BodyDecoder):
    """A message without a body."""

    complete = True

    def feed(self, data: bytes) -> tuple[bytes, bytes]:
        """Return all of `data` as bytes behind the body."""
        return b"", data


class LengthDecoder(BodyDecoder):
    """A body whose length is given."""

    def __init__(self, length: int):
        self._left = length
        self.complete = length == 0

    def feed(self, data: bytes) -> tuple[bytes, bytes]:
        """Return the body bytes in `data` and the rest."""
        body = data[: self._left]
        self._left -= len(body)
        self.complete = self._left == 0
        return body, data[len(body) :]


class UntilCloseDecoder(BodyDecoder):
    """A response body that ends with the connection."""

    def feed(self, data: bytes) -> tuple[bytes, bytes]:
        """Return all of `data` as body."""
        return data, b""

    def end_of_stream(self) -> bool:
        """Accept the close as the end."""
        return True


class ChunkedDecoder(BodyDecoder):
    """A body in chunked coding, without trailers.

    Notes
    -----
    Trailers are refused: nothing here uses them, and they are a way to smuggle fields.
    """

    def __init__(self):
        self._buffer = bytearray()
        self._left = -1  # bytes of the current chunk and its line end, -1 between chunks

    def feed(self, data: bytes) -> tuple[bytes, bytes]:
        """Return the body bytes in `data` and the rest behind the last chunk."""
        self._buffer += data
        body = bytearray()
        while not self.complete and self._step(body):
            pass
        if not self.complete:
            return bytes(body), b""
        rest = bytes(self._buffer)
        self._buffer.clear()
        return bytes(body), rest

    def _step(self, body: bytearray) -> bool:
        if self._left >= 0:
            return self._take_data(body)
        return self._take_size()

    def _take_data(self, body: bytearray) -> bool:
        wanted = self._left - 2
        if wanted > 0:
            part = self._buffer[:wanted]
            body += part
            del self._buffer[: len(part)]
            self._left -= len(part)
        if self._left > 2 or len(self._buffer) < 2:
            return False
        if self._buffer[:2] != b"\r\n":
            raise _malformed("a chunk does not end where its size says")
        del self._buffer[:2]
        self._left = -1
        return True

    def _take_size(self) -> bool:
        end = self._buffer.find(b"\r\n")
        if end < 0 and len(self._buffer) <= MAX_CHUNK_LINE_BYTES:
            return False
        line = bytes(self._buffer[: max(0, end)])
        if end < 0 or not _CHUNK_SIZE.fullmatch(line):
            raise _malformed(f"bad chunk size {line[:20]!r}")
        size = int(line, 16)
        if size:
            del self._buffer[: end + 2]
            self._left = size + 2
            return True
        return self._take_end(end)

    def _take_end(self, end: int) -> bool:
        tail = self._buffer[end + 2 : end + 4]
        if len(tail) < 2:
            return False
        if tail != b"\r\n":
            raise _malformed("trailers are not accepted")
        del self._buffer[: end + 4]
        self.complete = True
        return False


def _content_length(head: Head) -> int | None:
    value = head.headers.get("content-length")
    if value is None:
        return None
    if not _LENGTH.fullmatch(value):
        raise _malformed(f"bad Content-Length {value[:30]!r}")
    return int(value)


def _is_chunked(head: Head) -> bool:
    coding = head.headers.get("transfer-encoding")
    if coding is None:
        return False
    if coding.lower() != "chunked":
        raise _malformed(f"unsupported Transfer-Encoding {coding[:30]!r}")
    if "content-length" in head.headers:
        raise _malformed("Content-Length and Transfer-Encoding are both given")
    return True


def request_decoder(head: Head, max_body: int) -> BodyDecoder:
    """Return the decoder for the body of a request.

    Raises
    ------
    RequestError
        If the framing is ambiguous, malformed or announces more than `max_body` bytes.
    """
    if _is_chunked(head):
        return ChunkedDecoder()
    length = _content_length(head) or 0
    if length > max_body:
        raise RequestError(
            ErrorKind.BODY_TOO_LARGE, f"the body of {length} bytes is over {max_body}"
        )
    return LengthDecoder(length)


def response_decoder(head: Head, method: str) -> BodyDecoder:
    """Return the decoder for the body of a response to a `method` request."""
    if method == "HEAD" or head.status in (204, 304):
        return EmptyDecoder()
    if _is_chunked(head):
        return ChunkedDecoder()
    length = _content_length(head)
    return UntilCloseDecoder() if length is None else LengthDecoder(length)
