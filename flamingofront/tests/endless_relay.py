"""HTTP relay that answers some calls without end while it is told to, and endless answers."""

import asyncio
import contextlib
import sys
from urllib.parse import parse_qsl, urlsplit

__all__ = ["FORMS", "SWITCH_PATH", "EndlessRelay", "read_request", "send_endless"]

SWITCH_PATH = "/endless"
# Bytes of one answer at most; then it stays unfinished.
MAX_BYTES = 128 * 1024 * 1024
_PIECE = b"x" * 64 * 1024
_EVENT = b"id: %d\ndata: " + b"x" * 1024 + b"\n\n"
_EVENTS_AT_ONCE = 64
FORMS = {
    "length": b"Content-Length: 999999999999\r\n\r\n",
    "chunks": b"Transfer-Encoding: chunked\r\n\r\n",
    "to-close": b"\r\n",
    "events": b"Content-Type: text/event-stream\r\n\r\n",
    "one-event": b"Content-Type: text/event-stream\r\n\r\nid: 1\ndata: ",
    "head": b"X-Filler: ",
    "interim": b"Content-Length: 0\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n",
}


async def read_request(reader: asyncio.StreamReader) -> tuple[bytes, int, str]:
    """Return the head of a request, the length of its body and its target."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    fields = dict(line.lower().split(": ", 1) for line in lines[1:-2])
    return head, int(fields.get("content-length", 0)), lines[0].split(" ")[1]


async def send_endless(writer: asyncio.StreamWriter, form: str, fields: bytes = b"") -> None:
    """Send an answer in one of the forms, until the client closes or it is long enough."""
    status = b"100 Continue" if form == "interim" else b"200 OK"
    writer.write(b"HTTP/1.1 " + status + b"\r\n" + fields + FORMS[form])
    sent = number = 0
    while sent < MAX_BYTES:
        piece = _PIECE
        if form == "chunks":
            piece = b"%x\r\n%b\r\n" % (len(_PIECE), _PIECE)
        elif form == "interim":
            piece = b"HTTP/1.1 100 Continue\r\n\r\n" * 1000
        elif form == "events":
            numbers = range(number + 1, number + 1 + _EVENTS_AT_ONCE)
            number += _EVENTS_AT_ONCE
            piece = b"".join(_EVENT % each for each in numbers)
        writer.write(piece)
        sent += len(piece)
        await writer.drain()
    while not writer.is_closing():
        await asyncio.sleep(0.1)


class EndlessRelay:
    """Relay to a server whose answers have a Content-Length.

    Parameters
    ----------
    target : str
        Address of the server.
    """

    def __init__(self, target: str):
        self._target = target
        self._prefix = ""
        self._form = ""
        self._endless: set[asyncio.StreamWriter] = set()
        self._endless_count = 0

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Relay the requests of one connection."""
        host, port = self._target.split(":")
        far = await asyncio.open_connection(host, int(port))
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                head, length, target = await read_request(reader)
                body = await reader.readexactly(length)
                await self._answer(target, head + body, far, writer)
        self._endless.discard(writer)
        far[1].close()
        writer.close()

    async def _answer(self, target: str, request: bytes, far: tuple, writer) -> None:
        if target.startswith(SWITCH_PATH):
            self._switch(target)
            count = b"%d" % self._endless_count
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(count) + count)
        elif self._prefix and target.startswith(self._prefix):
            self._endless.add(writer)
            self._endless_count += 1
            await send_endless(writer, self._form)
        else:
            far[1].write(request)
            await _relay_answer(far[0], writer)

    def _switch(self, target: str) -> None:
        """Set which calls are answered without end; end the answers in progress if none are."""
        query = dict(parse_qsl(urlsplit(target).query, keep_blank_values=True))
        if "prefix" not in query:
            return
        self._prefix, self._form = query["prefix"], query["form"]
        if not self._prefix:
            for each in self._endless:
                each.transport.abort()


async def _relay_answer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    head = await reader.readuntil(b"\r\n\r\n")
    fields = dict(line.lower().split(b": ", 1) for line in head.split(b"\r\n")[1:-2])
    writer.write(head + await reader.readexactly(int(fields.get(b"content-length", 0))))
    await writer.drain()


async def _main(target: str) -> None:
    server = await asyncio.start_server(EndlessRelay(target).serve, "127.0.0.1", 0)
    print(server.sockets[0].getsockname()[1], flush=True)
    await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(_main(sys.argv[1]))
