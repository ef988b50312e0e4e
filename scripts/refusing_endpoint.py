"""Endpoints for plays of real processes, which refuse, fail and crash in many ways.

They run in the event loop of the play, so that many of them cost little and each request that one
received is known whatever befalls it.
"""

import asyncio
import contextlib
import random
import socket
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from try_lost_paths import _read_message

from flamingofront.connection.sockets import RESET_ON_CLOSE

__all__ = ["UNTRUE", "Arrival", "Behaviour", "RefusingEndpoint"]

# Header of the play that names an attempt of a caller; entry processes pass it on.
ATTEMPT_HEADER = "x-attempt"
UNTRUE = "untrue statement"
STATE_PATHS = ("/health", "/api/report")
STATUS_WRONG_ENDPOINT = 421
# Statuses that an endpoint sends of which callers read that the request was not executed.
REFUSALS = (503, 503, 429, 408)
# Latest time of an answer, after all deadlines and time limits of the play.
LATE_SECONDS = (2.3, 3.2)
STREAM_GAP = 0.05


@dataclass(frozen=True)
class Behaviour:
    """Fractions of the requests that endpoints treat in a way other than to run them to the end.

    Parameters
    ----------
    stated : float
        Refused before they run, with the statement that they did not.
    unstated : float
        Answered with a status of a refusal after they have begun, without that statement.
    failed : float
        Answered 500, or not at all with a reset connection.
    broken : float
        Answered with a part of an answer and a reset connection.
    untrue : float
        Refused after they have begun, with the statement that they have not run.
    late : float
        Fraction of the unstated refusals and failures that come after the deadline.
    crashes : bool
        True if endpoints crash under poison parts and requests.
    """

    stated: float = 0.08
    unstated: float = 0.05
    failed: float = 0.03
    broken: float = 0.03
    untrue: float = 0.0
    late: float = 0.15
    crashes: bool = True


@dataclass
class Arrival:
    """A request that reached an endpoint; `answered` is the status of the endpoint, 0 if none."""

    attempt: str
    request_id: str
    endpoint: str
    sender: str
    at: float
    is_rejected: bool = False
    answered: int = 0
    how: str = ""

    def __str__(self) -> str:
        result = "rejected" if self.is_rejected else "ran"
        return f"{self.endpoint} at {self.at:.3f} {result}, {self.how}, answered {self.answered}"


@dataclass(frozen=True)
class _Request:
    path: str
    fields: dict[str, str]
    body: bytes

    @classmethod
    def parse(cls, head: bytes, body: bytes) -> "_Request":
        first, *lines = head.decode("latin-1").split("\r\n")
        pairs = (line.partition(":") for line in lines if line)
        fields = {name.lower(): value.strip() for name, _, value in pairs}
        return cls(first.split(" ")[1], fields, body)


@dataclass
class RefusingEndpoint:
    """One endpoint on a port of its own.

    Parameters
    ----------
    crash_seconds : callable
        Returns the seconds after which a request crashes its endpoint, or None if it does not.
    """

    name: str
    service: str
    host: str
    port: int
    rng: random.Random
    behaviour: Behaviour
    crash_seconds: Callable[[str, str], float | None]
    started_at: float = field(default_factory=time.monotonic)
    left_at: float | None = None
    arrivals: list[Arrival] = field(default_factory=list)
    _writers: set = field(default_factory=set)
    _server: asyncio.Server | None = None

    async def open(self) -> None:
        """Listen; the port may have belonged to another endpoint."""
        self._server = await asyncio.start_server(
            self._serve, self.host, self.port, reuse_address=True
        )

    async def crash(self) -> None:
        """End as a process that exits: all connections are reset and new ones refused."""
        if self.left_at is None:
            self.left_at = time.monotonic()
            self._server.close()
            self.reset_all()

    async def lose_paths(self, seconds: float) -> None:
        """Reset all connections and refuse new ones for a while; requests go on."""
        self._server.close()
        self.reset_all()
        await asyncio.sleep(seconds)
        if self.left_at is None:
            await self.open()

    def reset_all(self) -> None:
        """Reset all connections."""
        for each in list(self._writers):
            _reset(each)

    async def _serve(self, reader, writer) -> None:
        self._writers.add(writer)
        try:
            while self.left_at is None:
                req = _Request.parse(*await _read_message(reader))
                await self._handle(req, writer)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.transport.abort()

    async def _handle(self, req: _Request, writer) -> None:
        if req.path in STATE_PATHS:
            writer.write(_encode(200, {"X-Flamingofront-Instance-Id": self.name}, b"{}"))
            return
        arrival = self._record_arrival(
            req.fields.get(ATTEMPT_HEADER, ""),
            req.fields.get("x-flamingofront-request-id", ""),
            self.name,
            writer.get_extra_info("peername")[0],
            time.monotonic(),
        )
        self.arrivals.append(arrival)
        if req.fields.get("x-flamingofront-expect-instance", self.name) != self.name:
            self._reject(arrival, STATUS_WRONG_ENDPOINT, writer, {})
            return
        await self._run(req, arrival, writer)

    def _record_arrival(self, *args) -> Arrival:
        return Arrival(*args)

    def _reject(self, arrival: Arrival, status: int, writer, more: dict[str, str]) -> None:
        arrival.is_rejected, arrival.how = True, "stated refusal"
        self._answer(arrival, status, writer, {"X-Flamingofront-Not-Executed": "1", **more})

    def _answer(self, arrival: Arrival, status: int, writer, more: dict[str, str]) -> None:
        arrival.answered = status
        fields = {
            "X-Flamingofront-Request-Id": arrival.request_id,
            "X-Flamingofront-Instance-Id": self.name,
            **more,
        }
        writer.write(_encode(status, fields, self.name.encode()))

    async def _run(self, req: _Request, arrival: Arrival, writer) -> None:
        """Treat a request in a way that is drawn."""
        chance, rules = self.rng.random(), self.behaviour
        seconds = self.crash_seconds(
            req.fields.get("x-flamingofront-prompt-prefix", ""), req.body.decode("latin-1")
        )
        if rules.crashes and seconds is not None:
            arrival.how = f"crash after {seconds:.2f} s"
            task = asyncio.ensure_future(self._crash_later(seconds))
            await task
            return
        for share, treat in (
            (rules.stated, self._refuse_stated),
            (rules.unstated, self._refuse_unstated),
            (rules.failed, self._fail),
            (rules.broken, self._break_off),
            (rules.untrue, self._refuse_untruly),
        ):
            if chance < share:
                await treat(req, arrival, writer)
                return
            chance -= share
        await self._serve_whole(req, arrival, writer)

    async def _crash_later(self, seconds: float) -> None:
        await asyncio.sleep(seconds)
        await self.crash()

    def _draw_delay(self) -> float:
        if self.rng.random() < self.behaviour.late:
            return self.rng.uniform(*LATE_SECONDS)
        return 0.6 * self.rng.random() ** 2

    async def _refuse_stated(self, req: _Request, arrival: Arrival, writer) -> None:
        # The answer may come late, as the request waited in the endpoint's queue.
        arrival.is_rejected = True
        await asyncio.sleep(0.3 * self._draw_delay())
        more = {"Retry-After": "0.2"} if self.rng.random() < 0.5 else {}
        self._reject(arrival, self.rng.choice(REFUSALS), writer, more)

    async def _refuse_unstated(self, req: _Request, arrival: Arrival, writer) -> None:
        arrival.how = "unstated refusal"
        await asyncio.sleep(self._draw_delay())
        more = {"Retry-After": "0.2"} if self.rng.random() < 0.5 else {}
        if self.rng.random() < 0.3:
            more["X-Flamingofront-Response-Seal"] = self.name
        self._answer(arrival, self.rng.choice(REFUSALS), writer, more)

    async def _refuse_untruly(self, req: _Request, arrival: Arrival, writer) -> None:
        await asyncio.sleep(self._draw_delay())
        self._reject(arrival, self.rng.choice(REFUSALS), writer, {})
        arrival.is_rejected, arrival.how = False, UNTRUE

    async def _fail(self, req: _Request, arrival: Arrival, writer) -> None:
        arrival.how = "failure"
        await asyncio.sleep(self._draw_delay())
        if self.rng.random() < 0.5:
            _reset(writer)
            raise ConnectionResetError
        self._answer(arrival, 500, writer, {"X-Flamingofront-Response-Seal": self.name})

    async def _break_off(self, req: _Request, arrival: Arrival, writer) -> None:
        """Send a part of an answer, of a refusal or of a stream, and reset the connection."""
        arrival.how = "broken off"
        await asyncio.sleep(self._draw_delay())
        status = self.rng.choice((200, *REFUSALS) if self.behaviour.unstated else (200, 500))
        fields = {
            "X-Flamingofront-Request-Id": arrival.request_id,
            "X-Flamingofront-Instance-Id": self.name,
            "X-Flamingofront-Response-Seal": self.name,
        }
        arrival.answered = status
        if status == 200 and req.path.startswith("/stream/"):
            writer.write(_encode_stream_head(fields) + _encode_event(1, self.name))
        else:
            whole = _encode(status, fields, self.name.encode())
            writer.write(whole[: self.rng.randrange(1, len(whole))])
        await writer.drain()
        await asyncio.sleep(0.1 * self.rng.random())
        _reset(writer)
        raise ConnectionResetError

    async def _serve_whole(self, req: _Request, arrival: Arrival, writer) -> None:
        arrival.how = "whole"
        fields = {
            "X-Flamingofront-Request-Id": arrival.request_id,
            "X-Flamingofront-Instance-Id": self.name,
            "X-Flamingofront-Response-Seal": self.name,
        }
        if not req.path.startswith("/stream/"):
            await asyncio.sleep(0.02 + 0.5 * self.rng.random() ** 3)
            arrival.answered = 200
            writer.write(_encode(200, fields, b"from " + self.name.encode()))
            return
        first_seconds = 0.05 + 1.2 * self.rng.random() ** 2
        await asyncio.sleep(first_seconds)
        arrival.answered = 200
        writer.write(_encode_stream_head(fields))
        first = int(req.fields.get("last-event-id") or 0) + 1
        for number in range(first, int(req.fields.get("x-events", "8")) + 1):
            writer.write(_encode_event(number, self.name))
            await writer.drain()
            await asyncio.sleep(STREAM_GAP)
        writer.write(b"0\r\n\r\n")


def _reset(writer) -> None:
    sock = writer.get_extra_info("socket")
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    writer.transport.abort()


def _encode(status: int, fields: dict[str, str], body: bytes) -> bytes:
    lines = [f"HTTP/1.1 {status} Any", *(f"{name}: {value}" for name, value in fields.items())]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def _encode_stream_head(fields: dict[str, str]) -> bytes:
    lines = ["HTTP/1.1 200 OK", *(f"{name}: {value}" for name, value in fields.items())]
    lines += ["Content-Type: text/event-stream", "Transfer-Encoding: chunked"]
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


def _encode_event(number: int, text: str) -> bytes:
    event = b"id: %d\ndata: %s\n\n" % (number, text.encode())
    return b"%x\r\n%s\r\n" % (len(event), event)
