"""Answers that stop before their end: partners that send them, and a strict reader of answers."""

import re
import select
import socket
import struct
import threading
from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum

__all__ = [
    "Answer",
    "CutPartner",
    "Ending",
    "INTERIM",
    "chunked",
    "list_cuts",
    "read_to_end",
    "split_answers",
    "unframed",
    "with_length",
]

IP = "127.0.0.1"
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
WAIT_SECONDS = 10.0
INTERIM = b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
HEAD_END = b"\r\n\r\n"


class Ending(StrEnum):
    """What follows the last byte that is sent."""

    CLOSE = "close"
    RESET = "reset"
    SILENCE = "silence"


@dataclass(frozen=True)
class Answer:
    """Bytes of an answer, and how their connection ends.

    Parameters
    ----------
    pieces : tuple of bytes
        Sent one after the other, each in a segment of its own.
    """

    pieces: tuple[bytes, ...]
    ending: Ending = Ending.CLOSE


def _encode_head(fields: tuple[str, ...], status: str) -> bytes:
    return "\r\n".join((f"HTTP/1.1 {status}", *fields)).encode() + HEAD_END


def with_length(body: bytes, *fields: str, status: str = "200 OK") -> bytes:
    """Return an answer framed by its length."""
    return _encode_head((*fields, f"Content-Length: {len(body)}"), status) + body


def chunked(body: bytes, *fields: str, status: str = "200 OK") -> bytes:
    """Return an answer in two chunks."""
    parts = [each for each in (body[: len(body) // 2], body[len(body) // 2 :]) if each]
    chunks = b"".join(b"%x\r\n%b\r\n" % (len(each), each) for each in parts)
    return _encode_head((*fields, "Transfer-Encoding: chunked"), status) + chunks + b"0\r\n\r\n"


def unframed(body: bytes, *fields: str, status: str = "200 OK") -> bytes:
    """Return an answer that ends with its connection."""
    return _encode_head((*fields, "Connection: close"), status) + body


def list_cuts(answer: bytes, is_framed: bool) -> list[bytes]:
    """Return the beginnings of an answer that must not be taken for whole ones.

    The end of the connection is the end of an answer without framing, once its head is complete.
    """
    final = answer.rfind(HEAD_END) + len(HEAD_END)
    return [answer[:size] for size in range(len(answer) if is_framed else final)]


class CutPartner:
    """Server that answers each request as told and then ends the connection.

    Attributes
    ----------
    answer_to : callable
        Returns the `Answer` to the bytes of a request.
    requests : list of bytes
        Requests received.
    """

    def __init__(self, answer_to: Callable[[bytes], Answer] = lambda req: Answer(())):
        self.answer_to = answer_to
        self.requests: list[bytes] = []
        self._held: list[socket.socket] = []
        self._sock = socket.create_server((IP, 0), backlog=512)
        self.address = f"{IP}:{self._sock.getsockname()[1]}"
        threading.Thread(target=self._run, daemon=True).start()

    def _run(self) -> None:
        while True:
            try:
                conn, _ = self._sock.accept()
            except OSError:
                return
            threading.Thread(target=self._serve, args=(conn,), daemon=True).start()

    def _serve(self, conn: socket.socket) -> None:
        conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            req = _read_request(conn)
            if not req:
                conn.close()
                return
            self.requests.append(req)
            answer = self.answer_to(req)
            for each in answer.pieces:
                conn.sendall(each)
        except OSError:
            conn.close()
            return
        if answer.ending is Ending.SILENCE:
            self._held.append(conn)
            return
        if answer.ending is Ending.RESET:
            conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        conn.close()

    def close(self) -> None:
        """Stop listening and end the connections that are held."""
        self._sock.close()
        for each in self._held:
            each.close()


def _read_request(conn: socket.socket) -> bytes:
    """Return a whole request, so that no unread byte turns the close into a reset."""
    data = b""
    while HEAD_END not in data:
        received = conn.recv(65536)
        if not received:
            return b""
        data += received
    match = re.search(rb"\r\ncontent-length: *(\d+)", data, re.IGNORECASE)
    size = data.find(HEAD_END) + len(HEAD_END) + (int(match[1]) if match else 0)
    while len(data) < size:
        received = conn.recv(65536)
        if not received:
            return b""
        data += received
    return data


def read_to_end(sock: socket.socket) -> tuple[bytes, bool]:
    """Return all received bytes, and whether the connection was closed and not reset."""
    parts = []
    while True:
        if not select.select([sock], [], [], WAIT_SECONDS)[0]:
            raise TimeoutError(f"no end after {sum(map(len, parts))} bytes")
        try:
            parts.append(sock.recv(1 << 20))
        except ConnectionError:
            return b"".join(parts), False
        if not parts[-1]:
            return b"".join(parts), True


def split_answers(data: bytes, is_closed: bool = True) -> tuple[list[tuple[int, bytes]], bytes]:
    """Return status and body of each whole answer, and the bytes of an incomplete last one.

    Independent of the parser under test. An answer without framing is whole if the connection was
    closed, so that a process that sends one in place of a broken answer is noticed.
    """
    answers: list[tuple[int, bytes]] = []
    while data:
        head, found, rest = data.partition(HEAD_END)
        if not found:
            break
        lines = head.decode("latin-1").split("\r\n")
        status = int(lines[0].split(" ")[1])
        fields = dict(each.lower().split(": ", 1) for each in lines[1:])
        if 100 <= status < 200:
            data = rest
            continue
        if "content-length" in fields:
            body, rest = _split_length(rest, int(fields["content-length"]))
        elif fields.get("transfer-encoding") == "chunked":
            body, rest = _split_chunks(rest)
        else:
            body, rest = (rest if is_closed else None), b""
        if body is None:
            break
        answers.append((status, body))
        data = rest
    return answers, data


def _split_length(data: bytes, size: int) -> tuple[bytes | None, bytes]:
    return (data[:size], data[size:]) if len(data) >= size else (None, data)


def _split_chunks(data: bytes) -> tuple[bytes | None, bytes]:
    body = b""
    while True:
        line, found, rest = data.partition(b"\r\n")
        size = int(line, 16) if found else 0
        if not found or len(rest) < size + 2:
            return None, data
        body, data = body + rest[:size], rest[size + 2 :]
        if not size:
            return body, data
