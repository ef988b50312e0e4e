"""Endpoints that do what the plan in a request says, for `try_late_requests.py`."""

import asyncio
import contextlib
import time
from dataclasses import dataclass

__all__ = ["GAP_SECONDS", "HOST_IP", "PORT", "Endpoints", "Run", "encode_chunk", "parse_fields"]

PORT = 23100
HOST_IP = "127.3.79.1"
# Time between two events of a stream.
GAP_SECONDS = 0.03


@dataclass
class Run:
    """A request at an endpoint; `until` is when it was answered or given up."""

    since: float
    until: float = 0.0
    is_answered: bool = False


class Endpoints:
    """Endpoints in this process that do what the plan in the request says."""

    def __init__(self):
        self.runs: dict[str, list[Run]] = {}
        self._servers: list[asyncio.Server] = []
        self._writers: set[asyncio.StreamWriter] = set()

    def close(self) -> None:
        """Stop to listen, and close all connections."""
        for server in self._servers:
            server.close()
        for writer in self._writers:
            writer.transport.abort()

    async def start(self, number: int, name: str) -> str:
        """Start an endpoint and return its address."""

        async def serve(reader, writer):
            self._writers.add(writer)
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                while await self._serve_one(name, reader, writer):
                    pass
            self._writers.discard(writer)
            writer.close()

        port = PORT + 10 + number
        self._servers.append(await asyncio.start_server(serve, HOST_IP, port))
        return f"{HOST_IP}:{port}"

    async def _serve_one(self, name, reader, writer) -> bool:
        head = await reader.readuntil(b"\r\n\r\n")
        fields = parse_fields(head)
        await reader.readexactly(int(fields.get("content-length", 0)))
        request_id = fields.get("x-flamingofront-request-id", "")
        own = f"X-Flamingofront-Instance-Id: {name}\r\nX-Flamingofront-Request-Id: {request_id}\r\n"
        if "x-plan" not in fields:
            writer.write(f"HTTP/1.1 200 OK\r\n{own}Content-Length: 2\r\n\r\n{{}}".encode())
            return True
        run = Run(time.monotonic())
        self.runs.setdefault(request_id, []).append(run)
        work = asyncio.create_task(self._work(own, name, fields, writer))
        # Bytes or the end of the connection before the answer: the request was given up.
        end = asyncio.create_task(reader.read(1))
        try:
            await asyncio.wait((work, end), return_when=asyncio.FIRST_COMPLETED)
            run.is_answered = work.done() and work.exception() is None
        finally:
            run.until = time.monotonic()
            work.cancel()
            end.cancel()
            await asyncio.gather(work, end, return_exceptions=True)
        return False

    async def _work(self, own: str, name: str, fields: dict[str, str], writer) -> None:
        first, events, size, framing = fields["x-plan"].split(",")
        start = int(fields.get("last-event-id", 0)) + 1
        await asyncio.sleep(float(first))
        lines = f"HTTP/1.1 200 OK\r\n{own}X-Flamingofront-Response-Seal: {name}\r\n"
        lines += "Connection: close\r\n"
        if int(events):
            writer.write(
                f"{lines}Content-Type: text/event-stream\r\n"
                "Transfer-Encoding: chunked\r\n\r\n".encode()
            )
            for number in range(start, int(events) + 1):
                writer.write(encode_chunk(b"id: %d\ndata: x\n\n" % number))
                await writer.drain()
                if number < int(events):
                    await asyncio.sleep(GAP_SECONDS)
            writer.write(b"0\r\n\r\n")
        else:
            body = b"y" * int(size)
            if framing == "chunks":
                writer.write(f"{lines}Transfer-Encoding: chunked\r\n\r\n".encode())
                writer.write(encode_chunk(body[:10]) + encode_chunk(body[10:]) + b"0\r\n\r\n")
            else:
                writer.write(f"{lines}Content-Length: {len(body)}\r\n\r\n".encode() + body)
        await writer.drain()


def encode_chunk(data: bytes) -> bytes:
    """Return a chunk of a body; nothing if it is empty, since that would end the body."""
    return b"%x\r\n%b\r\n" % (len(data), data) if data else b""


def parse_fields(head: bytes) -> dict[str, str]:
    """Return the headers of a request or response by their names in lower case."""
    lines = head.decode("latin-1").split("\r\n")[1:]
    return {
        name.lower(): value.strip()
        for name, _, value in (line.partition(":") for line in lines if line)
    }
