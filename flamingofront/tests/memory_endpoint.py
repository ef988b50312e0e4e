"""Endpoint that answers at once, late, or with a large body, and keeps nothing of a request."""

import asyncio
import contextlib
import re
import sys

from flamingofront.tests.endless_relay import send_endless

__all__ = ["LARGE_BODY_BYTES", "ORDINARY_BODY", "SLOW_SECONDS", "MemoryEndpoint"]

# By a part of the path.
SLOW_SECONDS = 1.5
LARGE_BODY_BYTES = 3_000_000
ORDINARY_BODY = b"served"
READ_BYTES = 256 * 1024
ENDLESS = re.compile("/endless-([a-z-]+)/")
FIELDS = "X-Flamingofront-Instance-Id: {name}\r\nX-Flamingofront-Response-Seal: {name}\r\n"


class MemoryEndpoint:
    """Plain endpoint for requests with a Content-Length.

    Parameters
    ----------
    name : str
        Id of the endpoint.
    """

    def __init__(self, name: str):
        self._fields = FIELDS.format(name=name)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer the requests of one connection until its client closes it."""
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                fields = dict(line.split(": ", 1) for line in head.split("\r\n")[1:-2])
                fields = {name.lower(): value for name, value in fields.items()}
                await _discard(reader, int(fields.get("content-length", 0)))
                await self._answer(writer, head.split(" ")[1], fields)
        writer.close()

    async def _answer(self, writer, target: str, fields: dict[str, str]) -> None:
        body = ORDINARY_BODY
        endless = ENDLESS.search(target)
        request = fields.get("x-flamingofront-request-id", "")
        own_fields = f"{self._fields}X-Flamingofront-Request-Id: {request}\r\n"
        if endless:
            await send_endless(writer, endless.group(1), own_fields.encode())
            raise ConnectionResetError
        if "/slow/" in target:
            await asyncio.sleep(SLOW_SECONDS)
        elif "/large/" in target:
            body = bytes(LARGE_BODY_BYTES)
        head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n{own_fields}\r\n"
        writer.write(head.encode() + body)
        await writer.drain()


async def _discard(reader: asyncio.StreamReader, size: int) -> None:
    """Read the body of a request."""
    while size:
        data = await reader.read(min(size, READ_BYTES))
        if not data:
            raise asyncio.IncompleteReadError(b"", size)
        size -= len(data)


async def _main(name: str) -> None:
    server = await asyncio.start_server(MemoryEndpoint(name).serve, "127.0.0.1", 0)
    print(server.sockets[0].getsockname()[1], flush=True)
    await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(_main(sys.argv[1]))
