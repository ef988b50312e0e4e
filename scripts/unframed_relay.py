"""HTTP relay before an endpoint, whose answers have neither a length nor chunks."""

import asyncio
import contextlib
import random
import socket

from try_lost_paths import _read_message

from flamingofront.connection.sockets import RESET_ON_CLOSE

__all__ = ["UnframedRelay"]

# Share of the events after which a stream that is to be cut off ends.
CUT_SHARE = 0.3
FRAMING_FIELDS = (b"content-length:", b"transfer-encoding:", b"connection:")


class UnframedRelay:
    """Relay that ends each answer with its connection.

    Parameters
    ----------
    ip : str
        Address to listen on.
    target : tuple of (str, int)
        Address of the endpoint.
    cut : float
        Fraction of the streams that end inside an event, as if they were whole.
    """

    def __init__(self, ip: str, target: tuple[str, int], rng: random.Random, cut: float):
        self._ip = ip
        self._target = target
        self._rng = rng
        self._cut = cut
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self.port = 0

    async def open(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, self._ip, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def close(self) -> None:
        """Reset all connections and refuse new ones, as the endpoint has ended."""
        self._server.close()
        for each in list(self._writers):
            _reset(each)

    async def _serve(self, reader, writer) -> None:
        self._writers.add(writer)
        try:
            head, body = await _read_message(reader)
            near, far = await asyncio.open_connection(*self._target)
            far.write(head + body)
            await self._answer(near, writer)
            far.close()
            writer.close()
        except (OSError, asyncio.IncompleteReadError, ConnectionError):
            _reset(writer)
        finally:
            self._writers.discard(writer)

    async def _answer(self, near, writer) -> None:
        """Pass an answer on without its framing; raise an error if it breaks off."""
        head = await near.readuntil(b"\r\n\r\n")
        lines = head[:-4].split(b"\r\n")
        fields = dict(line.lower().split(b": ", 1) for line in lines[1:])
        kept = [each for each in lines if not each.lower().startswith(FRAMING_FIELDS)]
        writer.write(b"\r\n".join([*kept, b"Connection: close"]) + b"\r\n\r\n")
        if b"content-length" in fields:
            writer.write(await near.readexactly(int(fields[b"content-length"])))
        else:
            is_cut = self._rng.random() < self._cut
            async for chunk in _read_chunks(near):
                if is_cut and self._rng.random() < CUT_SHARE:
                    writer.write(chunk[: len(chunk) // 2])
                    break
                writer.write(chunk)
                await writer.drain()
        with contextlib.suppress(OSError):
            await writer.drain()


def _reset(writer: asyncio.StreamWriter) -> None:
    """Reset a connection, since one that is closed between two events looks whole."""
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    writer.transport.abort()


async def _read_chunks(reader):
    """Yield the chunks of a body."""
    while size := int(await reader.readuntil(b"\r\n"), 16):
        yield await reader.readexactly(size)
        await reader.readexactly(2)
