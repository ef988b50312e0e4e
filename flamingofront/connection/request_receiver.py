"""Receiver of one request: collects its head and body within the memory of the process."""

import io
from collections.abc import Callable

from flamingofront.connection.framing import (
    BodyDecoder,
    ChunkedDecoder,
    Head,
    HeadBuffer,
    LengthDecoder,
    create_request_decoder,
)
from flamingofront.connection.server_limits import ServerLimits
from flamingofront.decisions.memory_account import STALL_SECONDS, MemoryHolding, MemoryKind
from flamingofront.errors import ErrorKind, RequestError

__all__ = ["RequestReceiver", "make_memory_rejection"]

# Memory of a parsed head relative to its size: text, mapping and list of its fields.
HEAD_FACTOR = 3
# A body of unknown size is reserved in steps of this size.
RESERVED_STEP_BYTES = 64 * 1024
# So many bytes of a body count as progress; a byte now and then does not.
PROGRESS_BYTES = 64 * 1024
# More chunks than this are decoded in some turns of the event loop; 1,000 take about a millisecond.
MAX_CHUNKS = 1000


def make_memory_rejection() -> RequestError:
    """Return the error for a request that the memory of this process has no room for."""
    return RequestError(ErrorKind.MEMORY_EXHAUSTED, retry_after=STALL_SECONDS)


class RequestReceiver:
    """Collects the bytes of one request.

    Parameters
    ----------
    limits : ServerLimits
        Limits of the size of the request.
    holding : MemoryHolding
        Memory of the connection, in which the request is entered before it is kept.
    now : callable
        Returns the time of the timer service.

    Attributes
    ----------
    head : Head or None
        Head of the request once it is complete.
    head_received_at : float
        Time at which the head was complete.
    """

    def __init__(self, limits: ServerLimits, holding: MemoryHolding, now: Callable[[], float]):
        self._limits = limits
        self._holding = holding
        self._now = now
        self._heads = HeadBuffer(is_request=True, max_bytes=limits.max_head)
        self._decoder: BodyDecoder | None = None
        self._parts: io.BytesIO | None = None
        self._body = b""
        self._body_bytes = 0
        self._head_bytes = 0
        self._reserved = 0
        self._bytes_since_progress = 0
        self.head: Head | None = None
        self.head_received_at = 0.0

    @property
    def is_empty(self) -> bool:
        """True if no byte of the request has been received."""
        return self.head is None and self._heads.is_empty

    @property
    def size(self) -> int:
        """Bytes of memory that the complete request takes."""
        return self._head_bytes + self._body_bytes

    @property
    def has_tiny_chunks(self) -> bool:
        """True if the bytes last added took long to decode."""
        count = self._decoder.chunk_count if isinstance(self._decoder, ChunkedDecoder) else 0
        return count > MAX_CHUNKS

    @property
    def expects_continue(self) -> bool:
        """True if the caller waits for leave to send the body."""
        head = self.head
        return head is not None and head.headers.get("expect", "").lower() == "100-continue"

    def feed(self, data: bytes) -> bytes | None:
        """Add received bytes; return those after the request once it is complete, None before.

        Raises
        ------
        RequestError
            If the request is malformed or too large, or there is no memory for it.
        """
        if self.head is None:
            rest = self._feed_head(data)
            if rest is None:
                return None
            data = rest
        body, rest = self._decoder.feed(data)
        self._add_body(body)
        return rest if self._decoder.complete else None

    def _feed_head(self, data: bytes) -> bytes | None:
        """Add bytes of the head; return those after it once it is complete."""
        received = self._heads.size + len(data)
        result = self._heads.feed(data)
        now = self._now()
        if result is None:
            self._reserve(self._heads.size, now)
            return None
        self.head, rest = result
        self.head_received_at = now
        self._head_bytes = HEAD_FACTOR * (received - len(rest))
        self._decoder = create_request_decoder(self.head, self._limits.max_body)
        is_announced = isinstance(self._decoder, LengthDecoder)
        self._reserve(self._head_bytes + (self._decoder.length if is_announced else 0), now)
        return rest

    def _add_body(self, body: bytes) -> None:
        size = self._body_bytes + len(body)
        if size > self._limits.max_body:
            raise RequestError(
                ErrorKind.BODY_TOO_LARGE, f"the body is over {self._limits.max_body} bytes"
            )
        if self._head_bytes + size > self._reserved:
            self._reserve(self._head_bytes + size + RESERVED_STEP_BYTES, self._now())
        self._body_bytes = size
        if self._decoder.complete and self._parts is None:
            self._body = body
        elif body:
            self._parts = self._parts or io.BytesIO()
            self._parts.write(body)
            self._record_progress(len(body))

    def _reserve(self, size: int, now: float) -> None:
        """Enter the bytes of the request in the account.

        Raises
        ------
        RequestError
            If there is no room for them.
        """
        if not self._holding.reserve(MemoryKind.RECEIVING, size, now):
            raise make_memory_rejection()
        self._reserved = size

    def _record_progress(self, size: int) -> None:
        self._bytes_since_progress += size
        if self._bytes_since_progress >= PROGRESS_BYTES:
            self._bytes_since_progress = 0
            self._holding.record_progress(self._now())

    def take_body(self) -> bytes:
        """Return the body of the complete request, which is not kept here any longer."""
        if self._parts is not None:
            # The buffer hands over its bytes without a copy.
            self._body = self._parts.getvalue()
            self._parts = None
        body, self._body = self._body, b""
        return body

    def discard(self) -> None:
        """Drop what was received; no more is to be added."""
        self._parts = None
        self._body = b""
