"""Crowds of callers that make an entry process hold memory, bounded in number and time.

A caller is a sequence of pieces to send, with pauses between them. It goes on as far as the process
reads; a process that refuses or closes ends it.
"""

import errno
import selectors
import socket
import struct
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from itertools import repeat

__all__ = ["CROWDS", "HOST", "KEY", "MB", "Crowd", "CrowdPlay", "build_head"]

KEY = "demo-key"
HOST = "desk.example"
KB, MB = 1024, 1024 * 1024
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
READ_BYTES = 256 * KB
# Connections that one caller opens one after another at most.
MAX_RETURNS = 40
_ZEROS = memoryview(bytes(16 * MB))
_IN_PROGRESS = (0, errno.EINPROGRESS)

# Bytes to send, or seconds to wait before the next piece.
Pieces = Iterator[bytes | memoryview | float]


def build_head(target: str, *fields: str, method: str = "POST") -> bytes:
    """Return the head of a request that the operator's configuration allows."""
    lines = [f"{method} {target} HTTP/1.1", f"Host: {HOST}", f"Authorization: Bearer {KEY}"]
    lines += ["X-Flamingofront-Request-Id: crowd", *fields]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def _build_length_head(length: int, target: str = "/lookup/now/1", *fields: str) -> bytes:
    return build_head(target, f"Content-Length: {length}", *fields)


def _build_chunked_head() -> bytes:
    return build_head("/lookup/now/1", "Transfer-Encoding: chunked")


def _split(size: int, piece: int) -> Iterator[memoryview]:
    """Yield the bytes of a body in pieces."""
    for start in range(0, size, piece):
        yield _ZEROS[: min(piece, size - start)]


def send_whole(max_body: int) -> Pieces:
    """Send a body but its last byte."""
    yield _build_length_head(max_body)
    yield _ZEROS[: max_body - 1]


def send_pieces(max_body: int) -> Pieces:
    """Send a body but its last byte, in pieces."""
    yield _build_length_head(max_body)
    for piece in _split(max_body - 1, 64 * KB):
        yield piece
        yield 0.01


def send_dripping(max_body: int) -> Pieces:
    """Send most of a body, and the rest slowly."""
    yield _build_length_head(max_body)
    yield _ZEROS[: max_body * 7 // 8]
    for piece in _split(max_body // 8 - 1, KB):
        yield piece
        yield 0.05


def _make_chunks(chunk: int, divisor: int = 1) -> Callable[[int], Pieces]:
    """Return a sender of a body in chunks, without the end of the last one."""

    def send(max_body: int) -> Pieces:
        count = max_body // divisor // chunk - 1
        whole = b"%x\r\n%b\r\n" % (chunk, bytes(chunk))
        batch = max(1, 64 * KB // len(whole))
        yield _build_chunked_head()
        for start in range(0, count, batch):
            yield whole * min(batch, count - start)
        yield whole[:-1]

    return send


def _make_endless(piece: bytes, *first: bytes) -> Callable[[int], Pieces]:
    """Return a sender of some first bytes, and of a piece without end."""

    def send(max_body: int) -> Pieces:
        yield _build_chunked_head()
        yield from first
        yield from repeat(piece)

    return send


def send_announced(max_body: int) -> Pieces:
    """Announce a body far over the limit, and send it."""
    yield _build_length_head(1000 * max_body)
    yield from repeat(_ZEROS[:MB])


def send_expecting(max_body: int) -> Pieces:
    """Announce a body far over the limit, ask for leave to send it, and do not wait."""
    yield _build_length_head(1000 * max_body, "/lookup/now/1", "Expect: 100-continue")
    yield from repeat(_ZEROS[:MB])


def send_short_head(max_body: int) -> Pieces:
    """Send a head without its end."""
    yield build_head("/lookup/now/1", "X-Filler: " + "x" * 15 * KB)[:-2]


def ask_large(max_body: int) -> Pieces:
    """Ask for large answers."""
    for _ in range(4):
        yield build_head("/lookup/large/1", method="GET")


def ask_many(max_body: int) -> Pieces:
    """Send many small requests without waiting for answers."""
    yield build_head("/lookup/now/1", method="GET") * 1500


def send_many_large(max_body: int) -> Pieces:
    """Send large requests to a slow endpoint without waiting for answers."""
    for _ in range(6):
        yield _build_length_head(MB, "/lookup/slow/1")
        yield _ZEROS[:MB]


def send_to_slow(max_body: int) -> Pieces:
    """Send a complete body to a slow endpoint."""
    yield _build_length_head(max_body, "/lookup/slow/1")
    yield _ZEROS[:max_body]


def send_most(max_body: int) -> Pieces:
    """Send most of a body."""
    yield _build_length_head(max_body)
    yield _ZEROS[: max_body * 9 // 10]
    yield 0.3


@dataclass(frozen=True)
class Crowd:
    """Callers that all do the same.

    Parameters
    ----------
    make_pieces : callable
        Gets the largest legal size of a body; returns what one connection sends.
    reads : bool
        False if the callers read no answers.
    returns : bool
        True if a caller resets its connection after the last piece, and opens another.
    factor : int
        Connections for each caller that a play asks for.
    """

    make_pieces: Callable[[int], Pieces]
    reads: bool = True
    returns: bool = False
    factor: int = 1


CROWDS = {
    "whole": Crowd(send_whole),
    "pieces": Crowd(send_pieces),
    "dripping": Crowd(send_dripping),
    "chunks-1mb": Crowd(_make_chunks(MB)),
    "chunks-64kb": Crowd(_make_chunks(64 * KB)),
    "chunks-7": Crowd(_make_chunks(7, divisor=4)),
    "chunks-1": Crowd(_make_chunks(1, divisor=4)),
    "endless-chunks": Crowd(_make_endless(b"%x\r\n%b\r\n" % (64 * KB, bytes(64 * KB)))),
    "over-announced": Crowd(send_announced),
    "over-expecting": Crowd(send_expecting),
    "over-one-chunk": Crowd(_make_endless(bytes(MB), b"7fffffff\r\n")),
    "chunk-extensions": Crowd(_make_endless(b"x" * 64 * KB, b"5;")),
    "trailers": Crowd(_make_endless(b"X-Filler: x\r\n" * 4 * KB, b"1\r\nx\r\n0\r\n")),
    "short-heads": Crowd(send_short_head),
    "unread-answers": Crowd(ask_large, reads=False),
    "pipelined-small": Crowd(ask_many, reads=False),
    "pipelined-1mb": Crowd(send_many_large),
    "slow-endpoint": Crowd(send_to_slow),
    "come-and-go": Crowd(send_most, returns=True),
    "many-connections": Crowd(send_short_head, factor=5),
}


@dataclass
class _Caller:
    """One connection of a crowd; `ready_at` is when its next piece may be sent."""

    sock: socket.socket
    pieces: Pieces
    left: memoryview = field(default_factory=lambda: memoryview(b""))
    ready_at: float = 0.0
    is_done: bool = False


class CrowdPlay:
    """One play of a crowd, in the thread that calls it.

    Parameters
    ----------
    address : tuple of (str, int)
        Address of the entry process for callers.
    max_body : int
        Largest legal size of a body.
    on_tick : callable
        Called several times a second.
    """

    def __init__(
        self,
        crowd: Crowd,
        address: tuple[str, int],
        max_body: int,
        on_tick: Callable[[], None] = lambda: None,
    ):
        self._crowd = crowd
        self._address = address
        self._max_body = max_body
        self._on_tick = on_tick
        self._selector = selectors.DefaultSelector()
        self._callers: dict[socket.socket, _Caller] = {}
        self._returns_left = 0
        self.closed_by_process = 0

    def run(self, callers: int, seconds: float) -> None:
        """Play for some seconds; then close all connections that are still open."""
        now = time.monotonic()
        end, next_tick = now + seconds, now
        self._returns_left = MAX_RETURNS * callers
        for _ in range(callers * self._crowd.factor):
            self._open()
        while now < end:
            if now >= next_tick:
                self._on_tick()
                next_tick = now + 0.1
            self._turn(now)
            now = time.monotonic()
        self._on_tick()
        for caller in list(self._callers.values()):
            self._close(caller)
        self._selector.close()

    def _open(self) -> None:
        sock = socket.socket()
        sock.setblocking(False)
        if sock.connect_ex(self._address) not in _IN_PROGRESS:
            sock.close()
            return
        caller = self._callers[sock] = _Caller(sock, self._crowd.make_pieces(self._max_body))
        self._watch(caller)

    def _turn(self, now: float) -> None:
        """Serve the sockets that are ready, and those whose pause has ended."""
        for key, mask in self._selector.select(0.01):
            caller = self._callers.get(key.fileobj)
            if caller is not None:
                self._serve(caller, mask, now)
        for caller in self._callers.values():
            if caller.ready_at and caller.ready_at <= now and not caller.is_done:
                caller.ready_at = 0.0
                self._watch(caller)

    def _serve(self, caller: _Caller, mask: int, now: float) -> None:
        try:
            if mask & selectors.EVENT_READ and not caller.sock.recv(READ_BYTES):
                raise ConnectionResetError
            if mask & selectors.EVENT_WRITE:
                self._send(caller, now)
        except BlockingIOError:
            pass
        except OSError:
            self.closed_by_process += 1
            self._leave(caller)

    def _send(self, caller: _Caller, now: float) -> None:
        """Send once; take the next piece if all of the one before is sent."""
        if caller.left:
            caller.left = caller.left[caller.sock.send(caller.left) :]
            return
        piece = next(caller.pieces, None)
        if piece is None:
            self._finish(caller)
        elif isinstance(piece, float):
            caller.ready_at = now + piece
            self._watch(caller)
        else:
            caller.left = memoryview(piece)

    def _finish(self, caller: _Caller) -> None:
        """Stay open, or leave."""
        caller.is_done = True
        if self._crowd.returns:
            self._leave(caller)
        else:
            self._watch(caller)

    def _watch(self, caller: _Caller) -> None:
        """Wait for what the caller needs next: room to send, or answers."""
        is_waiting = caller.is_done or caller.ready_at
        mask = selectors.EVENT_READ if self._crowd.reads else 0
        if not is_waiting:
            mask |= selectors.EVENT_WRITE
        if caller.sock in self._selector.get_map():
            self._selector.unregister(caller.sock)
        if mask:
            self._selector.register(caller.sock, mask)

    def _leave(self, caller: _Caller) -> None:
        """Reset a connection; open another if the callers of this crowd return."""
        self._close(caller)
        if self._crowd.returns and self._returns_left:
            self._returns_left -= 1
            self._open()

    def _close(self, caller: _Caller) -> None:
        if caller.sock in self._selector.get_map():
            self._selector.unregister(caller.sock)
        del self._callers[caller.sock]
        caller.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        caller.sock.close()
