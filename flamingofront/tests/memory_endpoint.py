"""Endpoint that answers at once, late, or with a large body, and keeps nothing of a request."""

import asyncio
import contextlib
import sys

__all__ = ["LARGE_BODY_BYTES", "ORDINARY_BODY", "SLOW_SECONDS", "MemoryEndpoint"]

# By the first part of the path after the prefix of the route.
SLOW_SECONDS = 1.5
LARGE_BODY_BYTES = 3_000_000
ORDINARY_BODY = b"served"
READ_BYTES = 256 * 1024
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
        if "/slow/" in target:
            await asyncio.sleep(SLOW_SECONDS)
        elif "/large/" in target:
            body = bytes(LARGE_BODY_BYTES)
        request = fields.get("x-flamingofront-request-id", "")
        head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n{self._fields}"
        writer.write(f"{head}X-Flamingofront-Request-Id: {request}\r\n\r\n".encode())
        writer.write(body)
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
