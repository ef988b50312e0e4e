"""Callers for plays of silences: connections that are kept and used until they are closed."""

import asyncio
import random
import time
from dataclasses import dataclass

from refusal_callers import Answer, Attempt, CallerConnection, RequestKindOfPlay

from flamingofront.tests.promises import REFUSAL_STATUSES

__all__ = ["DEADLINE_SECONDS", "KINDS", "SilenceCallers", "StreamAttempt"]

HOST = "desk.example"
DEADLINE_SECONDS = 12.0
# Callers read for so long after their deadline.
PATIENCE_SECONDS = 3.0
UNREAD_SECONDS = 0.2
CHUNKED_SHARE = 0.4
THINK_SECONDS = 0.3
_DEADLINE_MS = round(1000 * DEADLINE_SECONDS)
KINDS = (
    RequestKindOfPlay("letter", "/stream/letter/1", "POST", True, _DEADLINE_MS, True, 5),
    RequestKindOfPlay("query", "/stream/query/1", "POST", False, _DEADLINE_MS, True, 3),
    RequestKindOfPlay("lookup", "/lookup/1", "GET", True, _DEADLINE_MS, False, 2),
    RequestKindOfPlay("order", "/order/1", "POST", False, _DEADLINE_MS, False, 2),
)


@dataclass
class StreamAttempt(Attempt):
    """One request of a caller; `events` is the number of events of its whole stream."""

    events: int = 0


class SilenceCallers:
    """Callers that use each connection until the entry process closes it.

    Parameters
    ----------
    addresses : list of tuple of (str, int)
        Addresses of the entry processes.

    Attributes
    ----------
    attempts : list of StreamAttempt
        All requests.
    away : set of int
        Entry processes to which the balancer sends no new connections.
    """

    def __init__(self, addresses: list[tuple[str, int]], rng: random.Random):
        self.attempts: list[StreamAttempt] = []
        self.away: set[int] = set()
        self._addresses = addresses
        self._rng = rng

    async def call_until(self, end: float, callers: int) -> None:
        """Send requests until a time, from some callers."""
        await asyncio.gather(*(self._run_caller(end) for _ in range(callers)))

    async def _run_caller(self, end: float) -> None:
        conn = None
        while time.monotonic() < end:
            await asyncio.sleep(self._rng.expovariate(1 / THINK_SECONDS))
            if conn is None:
                front = self._choose_front()
                conn = CallerConnection(self._addresses[front])
            answer = await self._ask(conn, front)
            if not answer.status or answer.status in REFUSAL_STATUSES:
                # Callers come again on another connection after a refusal.
                await asyncio.sleep(answer.retry_after or UNREAD_SECONDS)
                conn.close()
            if not conn.is_open:
                conn = None
        if conn is not None:
            conn.close()

    def _choose_front(self) -> int:
        fronts = range(len(self._addresses))
        return self._rng.choice([each for each in fronts if each not in self.away] or fronts)

    async def _ask(self, conn: CallerConnection, front: int) -> Answer:
        """Send a request and return its answer."""
        kind = self._rng.choices(KINDS, [each.weight for each in KINDS])[0]
        name = f"a{len(self.attempts)}"
        request_id = f"{self._rng.getrandbits(64):016x}"
        attempt = StreamAttempt(name, request_id, kind, front, time.monotonic())
        fields, body = self._make_content(attempt)
        is_chunked = kind.method == "POST" and self._rng.random() < CHUNKED_SHARE
        self.attempts.append(attempt)
        try:
            async with asyncio.timeout(DEADLINE_SECONDS + PATIENCE_SECONDS):
                await conn.open()
                conn.send(kind, fields, body, is_chunked)
                attempt.sent_at = time.monotonic()
                attempt.answer = await conn.read()
        except ConnectionRefusedError:
            attempt.answer = Answer(is_unread=True, detail="refused")
        except TimeoutError:
            attempt.has_left = True
        except (OSError, asyncio.IncompleteReadError, ValueError) as exc:
            attempt.answer = Answer(detail=type(exc).__name__)
        attempt.ended_at = time.monotonic()
        return attempt.answer

    def _make_content(self, attempt: StreamAttempt) -> tuple[dict[str, str], bytes]:
        """Return headers and body of a request."""
        number = self._rng.getrandbits(32)
        fields = {
            "Host": HOST,
            "Authorization": "Bearer demo-key",
            "X-Flamingofront-Request-Id": attempt.request_id,
            "X-Flamingofront-Deadline-Ms": str(attempt.kind.deadline_ms),
            "X-Attempt": attempt.name,
        }
        body = b"" if attempt.kind.method == "GET" else b"%08x" % number
        if attempt.kind.has_parts:
            attempt.events = self._rng.choice((10, 30, 60))
            fields["X-Events"] = str(attempt.events)
            fields["X-Flamingofront-Prompt-Prefix"] = f"5b000{number % 4}:40,1a57{number:08x}:40"
        return fields, body
