"""Callers for plays of refusals: kept connections, early leavers, retries after a refusal."""

import asyncio
import contextlib
import json
import random
import socket
import time
from dataclasses import dataclass, field
from http import HTTPStatus

from flamingofront.tests.promises import REFUSAL_STATUSES

__all__ = [
    "KINDS",
    "Answer",
    "Attempt",
    "CallerConnection",
    "Poison",
    "RefusalCallers",
    "RequestKindOfPlay",
]

HOST = "desk.example"
CALLER_TIMEOUT = 7.0
MAX_TRIES = 4
SHARED_PART = "5a0001"
SOUND_PARTS = 4
# Callers come again so long after a process did not listen.
UNREAD_SECONDS = 0.4
POISON_PREFIX = "dead"
CRASH_SECONDS = (0.02, 1.6)


@dataclass(frozen=True)
class RequestKindOfPlay:
    """A route of the play and how callers use it."""

    name: str
    path: str
    method: str
    is_repeatable: bool
    deadline_ms: int
    has_parts: bool
    weight: float


KINDS = (
    RequestKindOfPlay("draft", "/stream/draft/1", "POST", False, 2500, True, 4),
    RequestKindOfPlay("query", "/stream/query/1", "POST", False, 2500, True, 3),
    RequestKindOfPlay("edit", "/edit/1", "POST", False, 2500, True, 1.5),
    RequestKindOfPlay("order", "/order/1", "POST", False, 2500, False, 2),
    RequestKindOfPlay("letter", "/stream/letter/1", "POST", True, 3000, True, 1),
    RequestKindOfPlay("lookup", "/lookup/1", "GET", True, 3000, False, 1),
)
# Keys of workspaces: without a quota, with one of requests, with one of tokens.
KEYS = ("demo-key", "demo-key", "demo-key", "small-key", "token-key")


@dataclass(frozen=True)
class Answer:
    """What a caller got; status 0 if its connection ended before the end of the answer."""

    status: int = 0
    fields: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    is_unread: bool = False
    detail: str = ""

    @property
    def kind(self) -> str:
        """Kind of error of an entry process; "endpoint" if an endpoint answered."""
        with contextlib.suppress(ValueError, KeyError, TypeError):
            return json.loads(self.body)["error"]["kind"]
        return "endpoint" if self.status else "no answer"

    @property
    def retry_after(self) -> float | None:
        """Seconds after which the caller may come again."""
        with contextlib.suppress(KeyError, ValueError):
            return float(self.fields["retry-after"])
        return None


@dataclass
class Attempt:
    """One request of a caller, and what it got."""

    name: str
    request_id: str
    kind: RequestKindOfPlay
    front: int
    sent_at: float
    has_left: bool = False
    ended_at: float = 0.0
    answer: Answer = field(default_factory=Answer)


class Poison:
    """Prompt parts and bodies of requests under which endpoints crash.

    Attributes
    ----------
    parts, works : list of str
        Those that callers use now.
    share : float
        Fraction of the requests that hold one.

    Parameters
    ----------
    sound : float
        Fraction of these requests that run to their end all the same.
    """

    def __init__(self, rng: random.Random, share: float, sound: float = 0.25):
        self.share = share
        self._sound = sound
        self._rng = rng
        self._usual_share = share
        self._number = 0
        self.parts: list[str] = []
        self.works: list[str] = []
        self.renew_parts(2)
        self.renew_works(2)

    def renew_parts(self, count: int) -> None:
        """Let callers use other parts from now on."""
        self.parts = [f"{POISON_PREFIX}{each:04x}" for each in self._count(count)]

    def renew_works(self, count: int) -> None:
        """Let callers use other bodies from now on."""
        self.works = [f"{POISON_PREFIX} {each}" for each in self._count(count)]

    def set_share(self, share: float | None) -> None:
        """Set the fraction of the requests that hold poison; None for the usual one."""
        self.share = self._usual_share if share is None else share

    def draw_crash_seconds(self, prompt: str, body: str) -> float | None:
        """Return the seconds until a request crashes its endpoint, or None if it is sound."""
        if POISON_PREFIX not in prompt and POISON_PREFIX not in body:
            return None
        if self._rng.random() < self._sound:
            return None
        shortest, longest = CRASH_SECONDS
        return shortest + (longest - shortest) * self._rng.random() ** 2

    def _count(self, count: int) -> range:
        self._number += count
        return range(self._number - count, self._number)


class RefusalCallers:
    """Callers of all entry processes.

    Parameters
    ----------
    addresses : list of tuple of (str, int)
        Addresses of the entry processes.
    poison : Poison
        What requests that crash endpoints hold.

    Attributes
    ----------
    attempts : list of Attempt
        All requests.
    """

    def __init__(
        self,
        addresses: list[tuple[str, int]],
        rng: random.Random,
        poison: Poison,
    ):
        self.attempts: list[Attempt] = []
        self._addresses = addresses
        self._rng = rng
        self._poison = poison
        self._number = 0

    async def call_until(self, end: float, rate: float, users: int) -> None:
        """Send requests at each entry process until a time, from some users of each."""
        fronts = range(len(self._addresses))
        tasks = [self._run_user(front, end, rate / users) for front in fronts for _ in range(users)]
        await asyncio.gather(*tasks)

    async def _run_user(self, front: int, end: float, rate: float) -> None:
        conn = CallerConnection(self._addresses[front])
        while time.monotonic() < end:
            await asyncio.sleep(self._rng.expovariate(rate))
            if self._rng.random() < 0.06:
                await self._pipeline(front)
            else:
                await self._ask_with_retries(conn, front)
        conn.close()

    async def _ask_with_retries(self, conn: "CallerConnection", front: int) -> None:
        """Send a request, and again as long as it is refused and time is left."""
        kind = self._rng.choices(KINDS, [each.weight for each in KINDS])[0]
        fields, body = self._make_content(kind)
        request_id, began, kept = self._make_id(), time.monotonic(), conn
        for number in range(MAX_TRIES):
            attempt = await self._ask(conn, front, kind, request_id, fields, body)
            left = kind.deadline_ms / 1000 - (time.monotonic() - began)
            answer = attempt.answer
            is_refused = answer.status in REFUSAL_STATUSES
            may_retry = is_refused or answer.is_unread or (kind.is_repeatable and not answer.status)
            delay = answer.retry_after or UNREAD_SECONDS
            if conn is not kept or answer.is_unread:
                conn.close()
            if not may_retry or number + 1 == MAX_TRIES or delay > left / 3:
                return
            await asyncio.sleep(delay)
            front = self._rng.randrange(len(self._addresses))
            conn = CallerConnection(self._addresses[front])
            # A few callers repeat the id, though each attempt is to have its own.
            if self._rng.random() > 0.1:
                request_id = self._make_id()

    async def _ask(self, conn, front, kind, request_id, fields, body) -> Attempt:
        attempt = self._begin(kind, front, request_id)
        leave_after = CALLER_TIMEOUT
        if self._rng.random() < 0.08:
            leave_after = self._rng.uniform(0.03, 1.2)
        try:
            async with asyncio.timeout(leave_after):
                await conn.open()
                conn.send(kind, {**fields, **self._name(attempt)}, body)
                if self._rng.random() < 0.03:
                    conn.half_close()
                attempt.answer = await conn.read()
        except TimeoutError:
            attempt.has_left = True
            conn.close()
        except ConnectionRefusedError:
            attempt.answer = Answer(is_unread=True, detail="refused")
            conn.close()
        except (OSError, asyncio.IncompleteReadError, ValueError) as exc:
            attempt.answer = Answer(detail=type(exc).__name__)
            conn.close()
        attempt.ended_at = time.monotonic()
        return attempt

    async def _pipeline(self, front: int) -> None:
        """Send some requests at once on one connection, and read their answers in turn."""
        conn = CallerConnection(self._addresses[front])
        attempts = []
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, TimeoutError, ValueError):
            async with asyncio.timeout(CALLER_TIMEOUT):
                await conn.open()
                for _ in range(self._rng.choice((2, 3, 6))):
                    kind = self._rng.choice(KINDS)
                    attempt = self._begin(kind, front, self._make_id())
                    attempts.append(attempt)
                    fields, body = self._make_content(kind)
                    conn.send(kind, {**fields, **self._name(attempt)}, body)
                for attempt in attempts:
                    attempt.answer = await conn.read()
                    attempt.ended_at = time.monotonic()
        conn.close()

    def _begin(self, kind: RequestKindOfPlay, front: int, request_id: str) -> Attempt:
        self._number += 1
        attempt = Attempt(f"a{self._number}", request_id, kind, front, time.monotonic())
        self.attempts.append(attempt)
        return attempt

    def _make_id(self) -> str:
        return f"{self._rng.getrandbits(64):016x}"

    def _name(self, attempt: Attempt) -> dict[str, str]:
        return {"X-Flamingofront-Request-Id": attempt.request_id, "X-Attempt": attempt.name}

    def _make_content(self, kind: RequestKindOfPlay) -> tuple[dict[str, str], bytes]:
        """Return headers and body of a request, some with poison parts or a poison body."""
        rng = self._rng
        number = rng.getrandbits(32)
        # A stream of up to two seconds.
        fields = {
            "Host": HOST,
            "Authorization": f"Bearer {rng.choice(KEYS)}",
            "X-Flamingofront-Deadline-Ms": str(kind.deadline_ms),
            "X-Events": str(rng.choice((4, 8, 16, 30))),
        }
        body = b"" if kind.method == "GET" else b"%08x" % number
        is_poison = kind.method == "POST" and rng.random() < self._poison.share
        if is_poison:
            fields["X-Events"] = "30"
        has_poison_part = kind.has_parts and rng.random() < 0.5
        if is_poison and not has_poison_part:
            body = rng.choice(self._poison.works).encode()
        if kind.has_parts:
            parts = [SHARED_PART, f"5b000{number % SOUND_PARTS}"]
            if is_poison and has_poison_part:
                parts.insert(rng.randrange(3), rng.choice(self._poison.parts))
            fields["X-Flamingofront-Prompt-Prefix"] = ",".join(
                f"{each}:40" for each in (*parts, f"1a57{number:08x}")
            )
        return fields, body


class CallerConnection:
    """Connection of a caller that is kept as long as it lasts."""

    def __init__(self, address: tuple[str, int]):
        self._address = address
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    @property
    def is_open(self) -> bool:
        """True if another request may be sent on the connection."""
        return self._writer is not None

    async def open(self) -> None:
        """Connect, unless the connection is kept."""
        if self._reader is not None and self._reader.at_eof():
            self.close()
        if self._writer is None:
            self._reader, self._writer = await asyncio.open_connection(*self._address)

    def close(self) -> None:
        """Close the connection."""
        if self._writer is not None:
            self._writer.transport.abort()
        self._reader = self._writer = None

    def send(
        self,
        kind: RequestKindOfPlay,
        fields: dict[str, str],
        body: bytes,
        is_chunked: bool = False,
    ) -> None:
        """Write a request, its body with a length or in chunks."""
        lines = [f"{kind.method} {kind.path} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in fields.items()]
        if is_chunked:
            lines.append("Transfer-Encoding: chunked")
            body = _encode_chunks(body)
        elif kind.method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        self._writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)

    def half_close(self) -> None:
        """Close the sending side of the connection."""
        self._writer.get_extra_info("socket").shutdown(socket.SHUT_WR)

    async def read(self) -> Answer:
        """Read an answer."""
        if self._reader is None:
            raise ConnectionResetError("closed after an earlier answer")
        while True:
            head = (await self._reader.readuntil(b"\r\n\r\n")).decode("latin-1")
            first, *lines = head[:-4].split("\r\n")
            status = int(first.split(" ")[1])
            if status >= HTTPStatus.OK:
                break
        pairs = (line.partition(":") for line in lines)
        fields = {name.lower(): value.strip() for name, _, value in pairs}
        try:
            body = await self._read_body(fields)
        except (OSError, asyncio.IncompleteReadError):
            if status not in REFUSAL_STATUSES:
                raise
            # The caller has read the promise, whatever becomes of the body.
            body, fields["connection"] = b"", "close"
        if fields.get("connection", "").lower() == "close":
            self.close()
        return Answer(status, fields, body)

    async def _read_body(self, fields: dict[str, str]) -> bytes:
        if fields.get("transfer-encoding", "").lower() == "chunked":
            chunks = []
            while size := int(await self._reader.readuntil(b"\r\n"), 16):
                chunks.append(await self._reader.readexactly(size))
                await self._reader.readexactly(2)
            await self._reader.readexactly(2)
            return b"".join(chunks)
        if "content-length" in fields:
            return await self._reader.readexactly(int(fields["content-length"]))
        return await self._reader.read()


def _encode_chunks(body: bytes) -> bytes:
    middle = len(body) // 2
    parts = (each for each in (body[:middle], body[middle:]) if each)
    return b"".join(b"%x\r\n%s\r\n" % (len(each), each) for each in parts) + b"0\r\n\r\n"
