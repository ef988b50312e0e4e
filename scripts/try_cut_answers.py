#!/usr/bin/env python3
"""Real entry processes on loopback before endpoints whose answers stop in their head or body.

Some entry processes have lost their paths to the endpoints, so that peers proxy their attempts; the
others are killed and started again in turn. Exits with 1 if a caller gets a success that looks
whole and is not, or the promise that a write was not executed which an endpoint has got. Run it in
the project's environment:

    .venv/bin/python scripts/try_cut_answers.py
"""

import asyncio
import contextlib
import random
import re
import socket
import sys
import tempfile
import threading
import time
from collections import Counter
from pathlib import Path

import defopt
from try_lost_paths import HOST, PORT, Deployment, _read_message

from flamingofront.connection.sockets import RESET_ON_CLOSE
from flamingofront.tests.cut_answers import read_to_end, split_answers

PLAINS = 2
ENDPOINTS = 4
EVENTS = 8
CALLERS = 4
FRAMING_FIELDS = (b"content-length:", b"transfer-encoding:", b"connection:")
NOT_EXECUTED_STATUSES = (408, 421, 429, 503)
# Fraction of the streams without framing that are cut right after their heads.
HEAD_ONLY_SHARE = 0.3
PATHS = ("/lookup/", "/order/", "/stream/letter/")


class CutRelay:
    """Relay before an endpoint that sends only the beginning of some answers.

    Parameters
    ----------
    share : float
        Fraction of the answers that are cut.
    """

    def __init__(self, port: int, rng: random.Random, share: float):
        self._port = port
        self._rng = rng
        self._share = share
        self.port = 0
        self.requests: set[str] = set()
        self.cuts = 0

    async def open(self) -> None:
        """Listen on a free port."""
        server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = server.sockets[0].getsockname()[1]

    async def _serve(self, reader, writer) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            head, body = await _read_message(reader)
            near, far = await asyncio.open_connection(HOST, self._port)
            far.write(head[:-2] + b"Connection: close\r\n\r\n" + body)
            is_request = any(f" {each}".encode() in head for each in PATHS)
            if is_request:
                request_id = re.search(rb"(?i)-request-id: *(\S+)", head)[1].decode()
                self.requests.add(request_id)
            answer = await near.read(-1)
            far.close()
            is_cut = is_request and self._rng.random() < self._share
            writer.write(self._cut(answer) if is_cut else answer)
            await writer.drain()
            if is_cut and self._rng.random() < 0.5:
                sock = writer.get_extra_info("socket")
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
                writer.transport.abort()
        writer.close()

    def _cut(self, answer: bytes) -> bytes:
        """Return a beginning of an answer that no process may take for a whole one."""
        self.cuts += 1
        head, _, body = answer.partition(b"\r\n\r\n")
        if self._rng.random() < 0.5:
            return answer[: self._rng.randrange(len(answer))]
        lines = [
            each for each in head.split(b"\r\n") if not each.lower().startswith(FRAMING_FIELDS)
        ]
        unframed = b"\r\n".join([*lines, b"Connection: close"]) + b"\r\n\r\n"
        if b"event-stream" in head:
            (_, events), *_ = split_answers(answer)[0]
            is_head_only = self._rng.random() < HEAD_ONLY_SHARE
            inside = events[: 0 if is_head_only else self._rng.randrange(len(events))]
            return unframed + (inside[:-1] if inside.endswith(b"\n\n") else inside)
        return unframed[: self._rng.randrange(len(unframed))]


class CutDeployment(Deployment):
    """Entry processes whose paths lead to relays that cut answers."""

    def endpoint_flags(self, number: int) -> list[str]:
        """Return the flags of a service that streams, or of one that does not."""
        flags = ["--events", str(EVENTS), "--gap", "0.005"]
        return [*flags, "--service", "engines"] if number >= PLAINS else flags

    def add_relays(self, rng: random.Random, share: float) -> list[CutRelay]:
        """Put a relay before each endpoint."""
        relays = [CutRelay(port, rng, share) for port in self._endpoint_ports]
        for each in relays:
            self._await(each.open())
        for paths in self.paths:
            for path, relay in zip(paths, relays, strict=True):
                path.target = relay.port
        return relays

    def kill_in_turn(self, fronts: list[int], stop: threading.Event) -> int:
        """Kill entry processes one after the other, and start each again; return their number."""
        count = 0
        while fronts and not stop.wait(2.5):
            number = fronts[count % len(fronts)]
            self.front_processes[number].kill()
            self.restart_front(number)
            count += 1
        return count


def _ask(front: int, path: str, request_id: str) -> tuple[str, int]:
    """Return what a caller sees, and the status of a whole answer."""
    method = "GET" if path.startswith("/lookup/") else "POST"
    lines = [f"{method} {path}{request_id} HTTP/1.1", "Host: desk.example", "Connection: close"]
    lines += ["Authorization: Bearer demo-key", f"X-Flamingofront-Request-Id: {request_id}"]
    lines += ["X-Flamingofront-Deadline-Ms: 3000", "Content-Length: 0"]
    try:
        with socket.create_connection((f"127.0.1.{front + 1}", PORT + 100), 2.0) as sock:
            sock.sendall(("\r\n".join(lines) + "\r\n\r\n").encode())
            answers, _ = split_answers(*read_to_end(sock))
    except OSError:
        return "no connection", 0
    if not answers:
        return "broken", 0
    status, body = answers[0]
    if status != 200:
        return f"status {status}", status
    if path.startswith("/stream/"):
        is_whole = re.findall(rb"^id: (\d+)$", body, re.MULTILINE) == [
            b"%d" % number for number in range(1, EVENTS + 1)
        ]
        is_whole = is_whole and body.endswith(b"\n\n")
    else:
        is_whole = re.fullmatch(rb"from plain-\d", body) is not None
    return ("whole" if is_whole else f"NOT WHOLE {body!r}"), status


def _offer(fronts: int, rate: float, seconds: float, rng: random.Random) -> list[tuple]:
    """Send requests to all entry processes; return front, path, id, outcome and status of each."""
    results: list[tuple] = []
    end = time.monotonic() + seconds

    def caller(front: int, seed: int) -> None:
        own, due = random.Random(seed), time.monotonic()
        while due < end:
            due += own.expovariate(rate / CALLERS)
            time.sleep(max(0.0, due - time.monotonic()))
            path, request_id = own.choice(PATHS), f"{own.getrandbits(48):012x}"
            results.append((front, path, request_id, *_ask(front, path, request_id)))

    threads = [
        threading.Thread(target=caller, args=(front, rng.getrandbits(32)))
        for front in range(fronts)
        for _ in range(CALLERS)
    ]
    for each in threads:
        each.start()
    for each in threads:
        each.join()
    return results


def main(
    *,
    processes: int = 4,
    lost: int = 2,
    share: float = 0.3,
    rate: float = 20.0,
    seconds: float = 20.0,
    kill: bool = True,
    seed: int = 1,
) -> None:
    """Cut answers before real entry processes, some of which proxy for others.

    :param processes: entry processes
    :param lost: how many of them have lost their paths to the endpoints
    :param share: fraction of the answers that are cut
    :param rate: requests a second at each process
    :param seconds: time for which they are sent
    :param kill: kill and restart those with paths in turn
    :param seed: seed of the requests and the cuts
    """
    rng = random.Random(seed)
    folder = Path(tempfile.mkdtemp())
    with CutDeployment(folder, processes, ENDPOINTS) as deployment:
        deployment.wait_ready()
        relays = deployment.add_relays(rng, share)
        deployment.fail(list(range(lost)), "refused")
        stop, kills = threading.Event(), []
        victims = list(range(lost, processes)) if kill else []
        killer = threading.Thread(
            target=lambda: kills.append(deployment.kill_in_turn(victims, stop))
        )
        killer.start()
        results = _offer(processes, rate, seconds, rng)
        stop.set()
        killer.join()
    seen = set().union(*(each.requests for each in relays))
    proxied = sum(
        path.read_text(errors="replace").count('"proxied attempt ended"')
        for path in folder.glob("front-*.log")
    )
    for path in PATHS:
        print(path, dict(Counter(each[3][:10] for each in results if each[1] == path)))
    wrong = [each for each in results if each[3].startswith("NOT WHOLE")]
    refused = [
        each
        for each in results
        if each[1] == "/order/" and each[4] in NOT_EXECUTED_STATUSES and each[2] in seen
    ]
    print(
        f"{len(results)} requests, {sum(each.cuts for each in relays)} answers cut, "
        f"{proxied} attempts proxied, {kills[0]} kills, {len(wrong)} not whole, "
        f"{len(refused)} refused and sent; seed {seed}, logs in {folder}"
    )
    for each in (*wrong, *refused)[:10]:
        print(each)
    sys.exit(bool(wrong or refused))


if __name__ == "__main__":
    defopt.run(main)
