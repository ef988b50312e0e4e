"""Endpoints for plays of real processes that fall silent: they keep their work and send nothing."""

import asyncio
import time
from dataclasses import dataclass, field

from refusing_endpoint import (
    STATE_PATHS,
    STREAM_GAP,
    Arrival,
    Behaviour,
    RefusingEndpoint,
    _encode,
    _encode_event,
    _encode_stream_head,
)

__all__ = ["SOUND", "SilentEndpoint", "Work"]

# Endpoints that run each request to its end.
SOUND = Behaviour(stated=0.0, unstated=0.0, failed=0.0, broken=0.0, crashes=False)
STEP_SECONDS = 0.05


@dataclass
class Work(Arrival):
    """A request that an endpoint took; `ended_at` is the time at which its work ended."""

    ended_at: float | None = None
    is_whole: bool = False

    def is_at_work(self, at: float) -> bool:
        """Return True if the endpoint was at work on the request at a time."""
        is_begun = self.at <= at and not self.is_rejected
        return is_begun and (self.ended_at is None or at <= self.ended_at)


@dataclass
class SilentEndpoint(RefusingEndpoint):
    """Endpoint that stands still for a while, as a process that is suspended.

    Its connections stay open and new ones are established, but no byte is sent. A request that
    arrives meanwhile is recorded at once.
    """

    silent_until: float = 0.0
    _readers: dict = field(default_factory=dict)

    def fall_silent(self, seconds: float) -> None:
        """Stand still from now on for some seconds."""
        self.silent_until = max(self.silent_until, time.monotonic() + seconds)

    async def _serve(self, reader, writer) -> None:
        self._readers[writer] = reader
        try:
            await super()._serve(reader, writer)
        finally:
            del self._readers[writer]

    async def _handle(self, req, writer) -> None:
        if req.path in STATE_PATHS:
            await self._work(0.0, writer)
        await super()._handle(req, writer)

    def _record_arrival(self, *args) -> Work:
        return Work(*args)

    async def _run(self, req, arrival: Work, writer) -> None:
        try:
            await super()._run(req, arrival, writer)
            arrival.is_whole = True
        finally:
            arrival.ended_at = time.monotonic()

    async def _work(self, seconds: float, writer) -> None:
        """Work for some seconds besides those of silences.

        Raises
        ------
        ConnectionResetError
            If the sender has closed the connection.
        """
        while seconds > 0 or time.monotonic() < self.silent_until:
            step = min(STEP_SECONDS, seconds) if seconds > 0 else STEP_SECONDS
            await asyncio.sleep(step)
            if time.monotonic() >= self.silent_until:
                seconds -= step
            if self._readers[writer].at_eof() or writer.transport.is_closing():
                raise ConnectionResetError

    async def _serve_whole(self, req, arrival: Work, writer) -> None:
        arrival.how = "to the end"
        fields = {
            "X-Flamingofront-Request-Id": arrival.request_id,
            "X-Flamingofront-Instance-Id": self.name,
            "X-Flamingofront-Response-Seal": self.name,
        }
        await self._work(0.05 + self.rng.random() ** 2, writer)
        arrival.answered = 200
        if not req.path.startswith("/stream/"):
            writer.write(_encode(200, fields, b"from " + self.name.encode()))
            return
        writer.write(_encode_stream_head(fields))
        first = int(req.fields.get("last-event-id") or 0) + 1
        for number in range(first, int(req.fields["x-events"]) + 1):
            writer.write(_encode_event(number, self.name))
            await writer.drain()
            await self._work(STREAM_GAP, writer)
        writer.write(b"0\r\n\r\n")
