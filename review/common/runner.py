"""Stand-in of a runner: a model engine or a plain service, as PROTOCOL.md describes it.

It begins to work on a request `start` seconds after its arrival and works for `token` seconds for
each output token in `X-Flamingofront-Token-Counts`, or for `work` seconds without that header. It
drops a request when its channel closes. A request whose prompt holds the part given by `poison`
ends the process in place of its answer.

The answer to a path with `/stream/` is a stream of events, one for each `stride` tokens.
`X-Flamingofront-Length-Hint` tells how many tokens it generates, which may be fewer than the most
that the requester allows.

A faulty runner (`broken` is not 0) breaks off its answer with that number, and after that sends a
second copy of its next answer to a request for its state. The copy arrives late: before the answer
to the next request on the channel.

A runner in trouble (`endless` is not 0) gives that share of the requests of some seconds bytes
without end, after a head of an answer without a length, until the caller closes the channel.

Each line of the record has the time, the event and the id of the request: `arrived`, `began`,
`answered`, `dropped`, `crashed`, `broken-off`, `second-answer` or `endless`.
"""

import argparse
import asyncio
import contextlib
import json
import os
import time

import wire

HEARTBEAT_SECONDS = 1.2
ENDLESS_BYTES_PER_SECOND = 1_000_000
ENDLESS_PERIOD_SECONDS = 0.02


class Runner:
    """One runner process."""

    def __init__(self, options: argparse.Namespace):
        self._options = options
        self._record = open(options.record, "a", buffering=1)  # noqa: SIM115
        self._sequence = 0
        self._answers = 0
        self._must_repeat = False
        self._started_at = time.monotonic()
        self._endless_due = 0.0
        # Copies that are still to be sent, by channel.
        self._copies: dict[asyncio.StreamWriter, bytes] = {}

    def log(self, event: str, request_id: str) -> None:
        """Append a line to the record."""
        self._record.write(f"{time.time():.3f} {event} {request_id} {self._options.id}\n")

    async def register(self) -> None:
        """Write the runner's row, again after each heartbeat."""
        options = self._options
        while True:
            self._sequence += 1
            row = {
                "service": options.service,
                "address": options.bind,
                "zone": options.zone,
                "version": "v1",
                "slots": options.slots,
                "state": "ready",
                "cold_left_ms": 0,
                "sequence": self._sequence,
            }
            body = {"table": "servers", "key": options.id, "value": row}
            with contextlib.suppress(ConnectionError, OSError):
                await wire.call(options.store, "POST", "/standin/put", body)
            await asyncio.sleep(HEARTBEAT_SECONDS)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve the requests of one channel, one at a time."""
        while (req := await wire.read_message(reader)) is not None and req.complete:
            if not await self._handle(req, reader, writer):
                break
        writer.close()

    async def _handle(self, req, reader, writer) -> bool:
        request_id = req.headers.get("x-flamingofront-request-id", "")
        headers = {
            "X-Flamingofront-Request-Id": request_id,
            "X-Flamingofront-Instance-Id": self._options.id,
        }
        path = req.target.partition("?")[0]
        if path in ("/api/report", "/health"):
            del headers["X-Flamingofront-Request-Id"]
            answer = wire.encode_response(200, headers, b"{}")
            writer.write(answer)
            if self._must_repeat:
                self._must_repeat = False
                self._copies[writer] = answer
            return True
        rejection = self._find_rejection(req, request_id)
        if rejection:
            headers["X-Flamingofront-Not-Executed"] = "1"
            writer.write(wire.encode_response(rejection, headers))
            return True
        self.log("arrived", request_id)
        if writer in self._copies:
            self.log("second-answer", request_id)
            writer.write(self._copies.pop(writer))
        if self._is_endless():
            self.log("endless", request_id)
            await self._send_without_end(writer)
            return False
        is_stream = "/stream/" in path
        run = self._stream(req, request_id, headers, writer) if is_stream else None
        work = asyncio.ensure_future(run or self._work(req, request_id))
        gone = asyncio.ensure_future(reader.read(1))
        await asyncio.wait({work, gone}, return_when=asyncio.FIRST_COMPLETED)
        if not work.done():
            work.cancel()
            self.log("dropped", request_id)
            return False
        gone.cancel()
        await asyncio.sleep(0)
        if is_stream:
            return True
        headers["X-Flamingofront-Response-Seal"] = f"{self._options.id}.{request_id}"
        body = json.dumps({"runner": self._options.id, "request": request_id}).encode()
        answer = wire.encode_response(200, headers, body)
        self._answers += 1
        if self._answers == self._options.broken:
            self._must_repeat = True
            writer.write(answer[: -len(body) // 2])
            self.log("broken-off", request_id)
            return False
        writer.write(answer)
        self.log("answered", request_id)
        return True

    def _is_endless(self) -> bool:
        options = self._options
        since = time.monotonic() - self._started_at - options.trouble_at
        if not options.endless or not 0 <= since < options.trouble_for:
            return False
        self._endless_due += options.endless
        if self._endless_due < 1.0:
            return False
        self._endless_due -= 1.0
        return True

    async def _send_without_end(self, writer: asyncio.StreamWriter) -> None:
        """Send bytes at a steady rate until the caller closes the channel."""
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n")
        with contextlib.suppress(ConnectionError):
            while True:
                writer.write(b"x" * int(ENDLESS_BYTES_PER_SECOND * ENDLESS_PERIOD_SECONDS))
                await writer.drain()
                await asyncio.sleep(ENDLESS_PERIOD_SECONDS)

    def _find_rejection(self, req: wire.Message, request_id: str) -> int:
        expected = req.headers.get("x-flamingofront-expect-instance", self._options.id)
        if expected != self._options.id:
            return 421
        return 0 if request_id else 400

    async def _stream(self, req: wire.Message, request_id: str, headers, writer) -> None:
        options = self._options
        headers["X-Flamingofront-Response-Seal"] = f"{options.id}.{request_id}"
        headers |= {"Content-Type": "text/event-stream", "Transfer-Encoding": "chunked"}
        tokens = int(req.headers["x-flamingofront-length-hint"])
        await asyncio.sleep(options.start)
        self.log("began", request_id)
        lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
        writer.write(f"HTTP/1.1 200 OK\r\n{lines}\r\n".encode())
        for number in range(1, tokens // options.stride + 1):
            await asyncio.sleep(options.token * options.stride)
            event = f"id: {number}\ndata: {request_id}\n\n".encode()
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
        writer.write(b"0\r\n\r\n")
        self.log("answered", request_id)

    async def _work(self, req: wire.Message, request_id: str) -> None:
        options = self._options
        counts = req.headers.get("x-flamingofront-token-counts", "")
        seconds = int(counts.partition(",")[2]) * options.token if counts else options.work
        await asyncio.sleep(options.start)
        self.log("began", request_id)
        await asyncio.sleep(seconds)
        parts = req.headers.get("x-flamingofront-prompt-prefix", "").split(",")
        if options.poison and options.poison in [each.partition(":")[0] for each in parts]:
            self.log("crashed", request_id)
            os._exit(1)


async def main(options: argparse.Namespace) -> None:
    """Serve requests and keep the runner registered until the process is ended."""
    runner = Runner(options)
    host, _, port = options.bind.rpartition(":")
    server = await asyncio.start_server(runner.serve, host, int(port), limit=1 << 23)
    async with server:
        await runner.register()


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__)
    for name in ("bind", "store", "id", "service", "zone", "record"):
        parser.add_argument(f"--{name}", required=True)
    parser.add_argument("--slots", type=int, default=8)
    parser.add_argument("--start", type=float, default=0.02)
    parser.add_argument("--token", type=float, default=0.01)
    parser.add_argument("--stride", type=int, default=6)
    parser.add_argument("--work", type=float, default=0.05)
    parser.add_argument("--poison", default="")
    parser.add_argument("--broken", type=int, default=0)
    parser.add_argument("--endless", type=float, default=0.0)
    parser.add_argument("--trouble-at", type=float, default=0.0)
    parser.add_argument("--trouble-for", type=float, default=0.0)
    asyncio.run(main(parser.parse_args()))
