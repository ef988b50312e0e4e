"""HTTP relay of one entry process to the store, whose calls and connections can fail."""

import asyncio
import contextlib
import json
import re
from enum import StrEnum

from try_lost_paths import _read_message

__all__ = ["CallFault", "Outage", "StoreRelay"]

SLOW_SECONDS = 1.2
UNAVAILABLE = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
TOO_MANY = b"HTTP/1.1 429 Too Many Requests\r\nContent-Length: 2\r\n\r\n{}"
GONE = b"HTTP/1.1 410 Gone\r\nContent-Length: 2\r\n\r\n{}"
FEED_PATH = b"/api/rows-feed"
FEED_POSITION = re.compile(rb"after_rev=(\d+)")


class Outage(StrEnum):
    """How a process does not reach the store."""

    BUSY = "busy"
    RESET = "reset"
    SILENT = "silent"
    SLOW = "slow"


class CallFault(StrEnum):
    """What befalls calls to a store that serves."""

    CLOSED = "closed"
    """Each connection is closed after an answer, without a header that says so."""
    ANNOUNCED = "announced"
    """Each connection is closed after an answer that says so."""
    LIMITED = "limited"
    """Calls of change feeds get 429."""
    FEEDS_RESET = "feeds reset"
    """Calls of change feeds are reset."""
    QUIET = "quiet"
    """Change feeds hear nothing; at its end they are reset and their history is gone."""
    LOST = "lost"
    """Answers are lost, and what follows on their connections."""
    LATE = "late"
    """Answers come late."""
    HISTORY_LOST = "history lost"
    """The history of change feeds is gone: 410."""
    HISTORY_LOST_CLOSED = "history lost, closed"
    """The same, on a connection that is closed behind the answer."""


class StoreRelay:
    """Relay to the store.

    Attributes
    ----------
    outage : Outage or None
        How all calls fail now.
    call_fault : CallFault or None
        What befalls single calls now.
    """

    def __init__(self, host: str, store_port: int):
        self.outage: Outage | None = None
        self.call_fault: CallFault | None = None
        self.port = 0
        self._host = host
        self._store_port = store_port
        self._writers: set[asyncio.StreamWriter] = set()
        self._feeds: set[asyncio.StreamWriter] = set()
        self._dead: set[asyncio.StreamWriter] = set()
        self._version = 0
        # Feed calls from an earlier position get 410.
        self._history_begin = 0

    async def open(self) -> None:
        """Listen on a free port."""
        server = await asyncio.start_server(self._serve, self._host, 0)
        self.port = server.sockets[0].getsockname()[1]

    async def _serve(self, reader, writer) -> None:
        self._writers.add(writer)
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while await self._relay_call(reader, writer):
                pass
        self._writers.discard(writer)
        self._feeds.discard(writer)
        self._dead.discard(writer)

    async def _relay_call(self, reader, writer) -> bool:
        """Relay one call; return False if its connection is closed after it."""
        head, body = await _read_message(reader)
        is_feed = FEED_PATH in head.split(b"\r\n", 1)[0]
        if is_feed:
            self._feeds.add(writer)
        answer = await self._answer(head + body, is_feed, writer)
        self._feeds.discard(writer)
        if answer is None:
            return True
        if self.call_fault is CallFault.ANNOUNCED:
            answer = answer.replace(b"\r\n", b"\r\nConnection: close\r\n", 1)
        writer.write(answer)
        closing = self.call_fault in (CallFault.CLOSED, CallFault.ANNOUNCED) or (
            answer is GONE and self.call_fault is CallFault.HISTORY_LOST_CLOSED
        )
        if closing:
            writer.close()
        return not closing

    async def _answer(self, request: bytes, is_feed: bool, writer) -> bytes | None:
        """Return the answer to a call; None if there is none."""
        if self.outage is Outage.BUSY:
            return UNAVAILABLE
        if is_feed and self.call_fault is CallFault.LIMITED:
            return TOO_MANY
        if is_feed and self.call_fault is CallFault.FEEDS_RESET:
            writer.transport.abort()
            raise ConnectionResetError
        if is_feed and int(FEED_POSITION.search(request)[1]) < self._history_begin:
            return GONE
        if self.outage is Outage.SLOW:
            await asyncio.sleep(SLOW_SECONDS)
        is_late = self.call_fault is CallFault.LATE
        answer = await self._call_store(request)
        if is_late:
            await asyncio.sleep(SLOW_SECONDS)
        is_quiet = is_feed and self.call_fault is CallFault.QUIET
        is_lost = self.call_fault is CallFault.LOST
        if self.outage is Outage.SILENT or is_quiet or is_lost or writer in self._dead:
            # A connection on which a response was lost delivers nothing further.
            self._dead.add(writer)
            await asyncio.Event().wait()
        return answer

    async def _call_store(self, request: bytes) -> bytes:
        near, far = await asyncio.open_connection(self._host, self._store_port)
        try:
            far.write(request)
            head, body = await _read_message(near)
        finally:
            far.close()
        with contextlib.suppress(ValueError, AttributeError):
            self._version = max(self._version, json.loads(body).get("ver", 0))
        return head + body

    async def set_outage(self, outage: Outage | None) -> None:
        """Let all calls fail in a way from now on, or work."""
        self.outage = outage
        if outage is Outage.RESET:
            self._abort(self._writers)
        if outage is Outage.SILENT:
            self._dead |= self._writers

    async def set_call_fault(self, fault: CallFault | None) -> None:
        """Let single calls fail in a way from now on, or work."""
        before, self.call_fault = self.call_fault, fault
        if before is CallFault.QUIET:
            await self._lose_history()
        if fault is CallFault.FEEDS_RESET:
            self._abort(self._feeds)
        if fault in (CallFault.HISTORY_LOST, CallFault.HISTORY_LOST_CLOSED):
            await self._lose_history()

    async def _lose_history(self) -> None:
        await self._call_store(b"GET /api/rows-get?table=op&part=&limit=1 HTTP/1.1\r\n\r\n")
        # Later than any position at which a feed stands now.
        self._history_begin = self._version
        self._abort(self._feeds)

    def _abort(self, writers: set[asyncio.StreamWriter]) -> None:
        for each in list(writers):
            each.transport.abort()
