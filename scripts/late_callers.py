"""Callers that send requests of all kinds to entry processes, for `try_late_requests.py`."""

import asyncio
import random
import time
from dataclasses import dataclass, field

from late_endpoints import PORT, encode_chunk, parse_fields

__all__ = ["ROUTES", "TOKENS_PER_EVENT", "Callers", "Sent", "ip_of"]

TOKENS_PER_EVENT = 6
# Prefix, kind, timeout and service of each route, by its name.
ROUTES = {
    "read": ("/read/", "idempotent", 4.0, "records"),
    "write": ("/write/", "non_idempotent", 6.0, "records"),
    "patient": ("/patient/", "non_idempotent", 20.0, "records"),
    "once": ("/stream/once/", "stream", 20.0, "engines"),
    "again": ("/stream/again/", "stream", 20.0, "engines"),
}


def ip_of(front: int) -> str:
    """Return the address of an entry process."""
    return f"127.3.79.{front + 2}"


@dataclass(eq=False)
class Sent:
    """A request of a caller and what became of it; status 0 if there was no answer."""

    request_id: str
    route: str
    front: int
    is_new: bool
    at: float
    limit: float
    plan: str
    last_byte_at: float = 0.0
    ended_at: float = 0.0
    status: int = 0
    is_whole: bool = False
    retry_after: str = ""
    error: str = ""


@dataclass
class Callers:
    """Callers of all entry processes, with connections that they keep."""

    rng: random.Random
    sent: list[Sent] = field(default_factory=list)

    def __post_init__(self):
        self._idle: dict[int, list] = {}
        self._tasks: set[asyncio.Task] = set()

    async def send_all(self, front: int, rate: float, is_over) -> None:
        """Send requests to an entry process until told to stop or no connection is accepted."""
        while not is_over():
            task = asyncio.create_task(self._request(front))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(2 * self.rng.random() / rate)

    async def finish(self) -> None:
        """Wait for all answers, and close the connections that were kept."""
        await asyncio.gather(*self._tasks)
        for _, writer in (each for kept in self._idle.values() for each in kept):
            writer.transport.abort()

    def _choose(self, front: int, is_new: bool) -> tuple[Sent, bytes, dict[str, str]]:
        """Return a random request, its body and its headers."""
        rng = self.rng
        route = rng.choice(list(ROUTES))
        prefix, _, timeout, _ = ROUTES[route]
        deadline = rng.choice((None, 0.4, 1.0, 2.0, 3.0, 6.0, 12.0))
        headers = {}
        if route in ("once", "again"):
            allowed = rng.choice((12, 60, 240, 720))
            share = rng.choice((0.1, 0.3, 0.5, 1.0))
            events = max(1, round(allowed * share) // TOKENS_PER_EVENT)
            plan = f"{rng.choice((0.02, 0.1, 0.4))},{events},0,"
            if rng.random() < 0.9:
                headers["X-Flamingofront-Token-Counts"] = f"100,{allowed}"
            if rng.random() < 0.7:
                headers["X-Flamingofront-Length-Hint"] = str(max(1, round(allowed * share)))
            if route == "again" and events > 2 and rng.random() < 0.3:
                headers |= self._make_resumption(events)
        else:
            seconds = rng.choice((0.1, 0.3, 0.8, 1.5, 3.0, 5.0))
            size = rng.choice((20, 20, 300, 300_000))
            plan = f"{seconds},0,{size},{rng.choice(('length', 'chunks'))}"
        request_id = f"r-{rng.getrandbits(48):012x}"
        if deadline is not None:
            headers["X-Flamingofront-Deadline-Ms"] = str(round(1000 * deadline))
        headers |= {"X-Flamingofront-Request-Id": request_id, "X-Plan": plan}
        headers |= {"Host": "desk.example", "Authorization": "Bearer key"}
        limit = min(timeout, deadline or timeout)
        sent = Sent(request_id, route, front, is_new, time.monotonic(), limit, plan)
        return sent, f"POST {prefix}x HTTP/1.1".encode(), headers

    def _make_resumption(self, events: int) -> dict[str, str]:
        """Return the headers that resume a stream which was answered before."""
        answered = [each for each in self.sent[-400:] if each.route == "again" and each.is_whole]
        if not answered:
            return {}
        origin = self.rng.choice(answered).request_id
        return {"Resumes": origin, "Last-Event-Id": str(self.rng.randrange(1, events))}

    async def _request(self, front: int) -> None:
        idle = self._idle.setdefault(front, [])
        is_new = not idle or self.rng.random() < 0.3
        if is_new:
            try:
                conn = await asyncio.open_connection(ip_of(front), PORT + 100)
            except OSError:
                return
        else:
            conn = idle.pop(self.rng.randrange(len(idle)))
        sent, line, headers = self._choose(front, is_new)
        self.sent.append(sent)
        is_kept = False
        try:
            async with asyncio.timeout(40.0):
                await self._write(conn[1], sent, line, headers)
                is_kept = await self._read(conn[0], sent)
        except (TimeoutError, OSError, asyncio.IncompleteReadError, ValueError) as exc:
            sent.error = repr(exc)[:80]
        sent.ended_at = time.monotonic()
        if is_kept:
            idle.append(conn)
        else:
            conn[1].transport.abort()

    async def _write(self, writer, sent: Sent, line: bytes, headers: dict[str, str]) -> None:
        """Send a request, with its body at once, in chunks or late."""
        body = b"b" * self.rng.choice((4, 4, 2000, 40_000))
        way = self.rng.choice(("length", "length", "length", "chunks", "late"))
        more = {"Transfer-Encoding": "chunked"} if way == "chunks" else {}
        more = more or {"Content-Length": str(len(body))}
        head = b"\r\n".join(
            (line, *(f"{name}: {value}".encode() for name, value in (headers | more).items()))
        )
        head += b"\r\n\r\n"
        if way == "chunks":
            middle = len(body) // 2
            writer.write(
                head + encode_chunk(body[:middle]) + encode_chunk(body[middle:]) + b"0\r\n\r\n"
            )
        elif way == "late":
            writer.write(head + body[:2])
            await asyncio.sleep(self.rng.choice((0.05, 0.3, 1.0, 2.0)))
            writer.write(body[2:])
        else:
            writer.write(head + body)
        sent.last_byte_at = time.monotonic()
        await writer.drain()

    async def _read(self, reader, sent: Sent) -> bool:
        """Read an answer, and return whether the connection may be used again."""
        head = await reader.readuntil(b"\r\n\r\n")
        status = int(head.split()[1])
        fields = parse_fields(head)
        sent.retry_after = fields.get("retry-after", "")
        if "content-length" in fields:
            body = await reader.readexactly(int(fields["content-length"]))
        else:
            body = b""
            while size := int(await reader.readuntil(b"\r\n"), 16):
                body += await reader.readexactly(size + 2)
            await reader.readexactly(2)
        sent.status = status
        sent.is_whole = True
        if status == 200 and sent.route in ("once", "again"):
            events = sent.plan.split(",")[1]
            sent.is_whole = f"id: {events}\n".encode() in body
        return fields.get("connection", "").lower() != "close"
