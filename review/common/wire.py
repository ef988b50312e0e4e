"""Minimal HTTP/1.1 for the stand-ins of the review, on asyncio streams."""

import asyncio
import json
from dataclasses import dataclass, field

REASONS = {200: "OK", 400: "Bad Request", 403: "Forbidden", 404: "Not Found", 410: "Gone"}


@dataclass
class Message:
    """A request or a response, with header names in lower case."""

    start: str
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    complete: bool = True

    @property
    def method(self) -> str:
        """Method of a request."""
        return self.start.split(" ")[0]

    @property
    def target(self) -> str:
        """Target of a request, as sent."""
        return self.start.split(" ")[1]

    @property
    def status(self) -> int:
        """Status of a response."""
        return int(self.start.split(" ")[1])


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Return the next message without its body; None at the end of the connection."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    start, *lines = raw[:-4].decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in lines)
    return Message(start, {name.lower(): value.strip() for name, _, value in pairs})


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Return the next message; `complete` is False if its body ended early."""
    message = await read_head(reader)
    if message is None:
        return None
    try:
        if message.headers.get("transfer-encoding") == "chunked":
            message.body = await _read_chunks(reader)
        else:
            message.body = await reader.readexactly(int(message.headers.get("content-length", 0)))
    except (asyncio.IncompleteReadError, ConnectionError):
        message.complete = False
    return message


async def _read_chunks(reader: asyncio.StreamReader) -> bytes:
    body = b""
    while True:
        size = int(await reader.readuntil(b"\r\n"), 16)
        body += (await reader.readexactly(size + 2))[:size]
        if size == 0:
            return body


def encode_response(status: int, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Return a response with a length."""
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def encode_request(method: str, target: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Return a request with a length."""
    lines = [f"{method} {target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if body or method not in ("GET", "DELETE"):
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


async def call(address: str, method: str, target: str, body: object = None) -> Message:
    """Send one JSON request on a new connection and return the response."""
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    data = b"" if body is None else json.dumps(body).encode()
    writer.write(encode_request(method, target, {"Host": address, "Connection": "close"}, data))
    try:
        response = await read_message(reader)
    finally:
        writer.close()
    if response is None:
        raise ConnectionError(f"no response from {address}")
    return response
