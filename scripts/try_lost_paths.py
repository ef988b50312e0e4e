#!/usr/bin/env python3
"""Real entry processes on loopback that lose their paths to the endpoints one by one.

Each entry process reads the store through a relay that replaces the address of each endpoint by
that of a forwarder of its own, so that the path from each process to each endpoint can fail alone.
Prints the first tries that were served from three seconds after the start of the fault on, and
exits with 1 if processes without paths served less than the others by more than one in fifty. Run
it in the project's environment:

    .venv/bin/python scripts/try_lost_paths.py silent
"""

import asyncio
import base64
import contextlib
import http.client
import json
import os
import random
import socket
import subprocess
import sys
import tempfile
import threading
import time
from collections import Counter
from dataclasses import dataclass
from pathlib import Path

import defopt
from measure_silent_partners import silence

ROOT = Path(__file__).resolve().parents[1]
BIN = Path(sys.executable).parent
PORT = 19380
HOST = "127.0.0.1"
FAULTS = ("silent", "reset", "refused", "live")
# Faults of a forwarder that accepts connections and reaches no endpoint; with "new-accepted"
# open connections live on.
ACCEPTING_FAULTS = ("accepted", "accepted-silent", "new-accepted")
REACTION_SECONDS = 3.0
DEADLINE_MS = 2000


class PathForwarder:
    """TCP forwarder from one entry process to one endpoint, which can fail."""

    def __init__(self, target: int):
        self.target = target
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None
        self._accepting_fault = ""
        self.port = 0

    async def open(self) -> None:
        """Listen, on the same port as before if there is one."""
        self._server = await asyncio.start_server(self._forward, HOST, self.port)
        self.port = self._server.sockets[0].getsockname()[1]

    async def _forward(self, reader, writer) -> None:
        if self._accepting_fault == "accepted-silent":
            self._writers.add(writer)
            return
        if self._accepting_fault:
            writer.transport.abort()
            return
        try:
            far_reader, far_writer = await asyncio.open_connection(HOST, self.target)
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, far_writer}
        await asyncio.gather(self._copy(reader, far_writer), self._copy(far_reader, writer))
        self._writers -= {writer, far_writer}

    async def _copy(self, reader, writer) -> None:
        try:
            while data := await reader.read(65536):
                if self._accepting_fault == "accepted-silent":
                    continue
                writer.write(data)
                await writer.drain()
            writer.close()
        except OSError:
            writer.transport.abort()

    async def fail(self, fault: str) -> None:
        """Let the path fail; one that is refused already stays so."""
        if not self._server.sockets:
            return
        if fault in ACCEPTING_FAULTS:
            self._accepting_fault = fault
            for each in list(self._writers) if fault == "accepted" else ():
                each.transport.abort()
            return
        if fault == "silent":
            silence(self._server.sockets[0])
            for each in self._writers:
                silence(each.get_extra_info("socket"))
            return
        self._server.close()
        if fault == "reset":
            for each in list(self._writers):
                each.transport.abort()

    async def heal(self) -> None:
        """Let the path work again; connections that were silent stay lost."""
        self._accepting_fault = ""
        self._server.close()
        for each in list(self._writers):
            each.transport.abort()
        await self.open()


class StoreRelay:
    """HTTP relay of one entry process to the store, which replaces the addresses of endpoints."""

    def __init__(self, store: int, ports: dict[str, int]):
        self._store = store
        self._ports = ports
        self.port = 0

    async def open(self) -> None:
        """Listen on a free port."""
        server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = server.sockets[0].getsockname()[1]

    async def _serve(self, reader, writer) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                head, body = await _read_message(reader)
                near, far = await asyncio.open_connection(HOST, self._store)
                far.write(head + body)
                head, body = await _read_message(near)
                far.close()
                body = self._replace_addresses(body)
                writer.write(_with_length(head, len(body)) + body)
                await writer.drain()

    def _replace_addresses(self, body: bytes) -> bytes:
        try:
            doc = json.loads(body)
        except ValueError:
            return body
        rows = doc.get("rows", ()) if isinstance(doc, dict) else ()
        for row in rows:
            if row.get("table", "servers") == "servers" and row.get("value"):
                value = json.loads(base64.b64decode(row["value"]))
                if isinstance(value, dict) and value.get("address") in self._ports:
                    value["address"] = f"{HOST}:{self._ports[value['address']]}"
                    row["value"] = base64.b64encode(json.dumps(value).encode()).decode()
        return json.dumps(doc).encode()


async def _read_message(reader) -> tuple[bytes, bytes]:
    head = await reader.readuntil(b"\r\n\r\n")
    length = 0
    for line in head.split(b"\r\n"):
        name, _, value = line.partition(b":")
        if name.lower() == b"content-length":
            length = int(value)
    return head, await reader.readexactly(length)


def _with_length(head: bytes, length: int) -> bytes:
    lines = [each for each in head[:-4].split(b"\r\n")]
    kept = [each for each in lines if not each.lower().startswith(b"content-length:")]
    return b"\r\n".join([*kept, b"Content-Length: %d" % length]) + b"\r\n\r\n"


@dataclass(frozen=True)
class Outcome:
    """Result of one request."""

    front: int
    sent_at: float
    is_write: bool
    status: int


class Deployment:
    """All processes and forwarders; ends the processes when left."""

    def __init__(self, folder: Path, fronts: int, endpoints: int):
        self._folder = folder
        self._children: list[subprocess.Popen] = []
        self.front_processes: list[subprocess.Popen] = []
        self.endpoint_processes: list[subprocess.Popen] = []
        self._loop = asyncio.new_event_loop()
        # Connections that break as the deployment ends are of no interest.
        self._loop.set_exception_handler(lambda loop, context: None)
        threading.Thread(target=self._loop.run_forever, daemon=True).start()
        self.fronts = fronts
        self._endpoint_ports = [PORT + 1 + number for number in range(endpoints)]
        self.paths: list[list[PathForwarder]] = []

    def _await(self, coroutine):
        return asyncio.run_coroutine_threadsafe(coroutine, self._loop).result(10.0)

    def __enter__(self) -> "Deployment":
        store = f"{HOST}:{PORT}"
        words = ["--bind", store, "--config", str(self._write_configuration())]
        self._start("flamingofront-standin-store", words)
        _wait_for(store)
        for number, port in enumerate(self._endpoint_ports):
            words = ["--bind", f"{HOST}:{port}", "--store", store, "--gap", "0.05"]
            name = f"plain-{number}"
            words += ["--endpoint-id", name, "--log-arrivals", *self.endpoint_flags(number)]
            child = self._start("flamingofront-standin-endpoint", words, output=name)
            self.endpoint_processes.append(child)
        for number in range(self.fronts):
            self._start_front(number)
        return self

    def endpoint_flags(self, number: int) -> list[str]:
        """Return further flags of an endpoint."""
        return []

    def _write_configuration(self) -> Path:
        """Write the example configuration with a route whose requests may run once only."""
        doc = json.loads((ROOT / "examples/forwarding.json").read_text())
        lookup = next(each for each in doc["routes"] if each["name"] == "lookup")
        order = {**lookup, "name": "order", "prefix": "/order/", "kind": "non_idempotent"}
        path = self._folder / "configuration.json"
        path.write_text(json.dumps({**doc, "routes": [*doc["routes"], order]}))
        return path

    def __exit__(self, *exc: object) -> None:
        for child in self._children:
            child.kill()
        for child in self._children:
            child.wait()
        self._await(_cancel_others())
        self._loop.call_soon_threadsafe(self._loop.stop)

    def _start(
        self, program: str, words: list[str], environment=None, output="errors"
    ) -> subprocess.Popen:
        with open(self._folder / f"{output}.log", "a") as log:
            child = subprocess.Popen(
                [BIN / program, *words], stdout=log, stderr=log, env=environment
            )
        self._children.append(child)
        return child

    def _start_front(self, number: int) -> None:
        paths = [PathForwarder(port) for port in self._endpoint_ports]
        for each in paths:
            self._await(each.open())
        self.paths.append(paths)
        ports = {
            f"{HOST}:{port}": path.port
            for port, path in zip(self._endpoint_ports, paths, strict=True)
        }
        relay = StoreRelay(PORT, ports)
        self._await(relay.open())
        ip = f"127.0.1.{number + 1}"
        values = {
            "node_name": f"front-{number}",
            "zone": f"zone-{'ab'[number % 2]}",
            "ip": ip,
            "listen.front": f"{ip}:{PORT + 100}",
            "listen.ready": f"{ip}:{PORT + 101}",
            "listen.control": f"{ip}:{PORT + 102}",
            "port_range": f"{PORT + 103},{PORT + 109}",
            "seeds": f"127.0.1.1:{PORT + 102}",
            "bootstrap": "true",
            "platform.address": f"{HOST}:{relay.port}",
            "cloud_api.address": f"{HOST}:{PORT}",
        }
        settings = self._folder / f"front-{number}.conf"
        settings.write_text("".join(f"{name}={value}\n" for name, value in values.items()))
        self.front_processes.append(self._run_front(number))

    def _run_front(self, number: int) -> subprocess.Popen:
        settings = self._folder / f"front-{number}.conf"
        environment = {**os.environ, "FLAMINGOFRONT_BOOT": str(settings)}
        return self._start("flamingofront-forward", [], environment, f"front-{number}")

    def restart_front(self, number: int) -> None:
        """Start an entry process again after it has ended."""
        self.front_processes[number].wait()
        self.front_processes[number] = self._run_front(number)

    def wait_ready(self) -> None:
        """Wait until all entry processes are ready."""
        for number in range(self.fronts):
            _wait_for(f"127.0.1.{number + 1}:{PORT + 101}", "/api/ready")

    def fail(self, fronts: list[int], fault: str) -> None:
        """Let the paths of some entry processes to all endpoints fail."""
        for number in fronts:
            for path in self.paths[number]:
                self._await(path.fail(fault))

    def fail_path(self, front: int, endpoint: int, fault: str) -> None:
        """Let one path fail."""
        self._await(self.paths[front][endpoint].fail(fault))

    def heal(self, fronts: list[int]) -> None:
        """Let these paths work again."""
        for number in fronts:
            for path in self.paths[number]:
                self._await(path.heal())

    def offer(self, rate: float, seconds: float) -> list[Outcome]:
        """Send requests to each entry process; one in three is a write."""
        outcomes: list[Outcome] = []
        end = time.monotonic() + seconds

        def caller(front: int, seed: int) -> None:
            rng = random.Random(seed)
            due = time.monotonic()
            while due < end:
                due += rng.expovariate(rate / 3)
                time.sleep(max(0.0, due - time.monotonic()))
                is_write = rng.random() < 1 / 3
                sent_at = time.monotonic()
                outcomes.append(Outcome(front, sent_at, is_write, _call(front, is_write, rng)))

        threads = [
            threading.Thread(target=caller, args=(front, 10 * front + number))
            for front in range(self.fronts)
            for number in range(3)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        return outcomes


async def _cancel_others() -> None:
    """Cancel all other tasks of the event loop."""
    others = asyncio.all_tasks() - {asyncio.current_task()}
    for each in others:
        each.cancel()
    await asyncio.gather(*others, return_exceptions=True)


def _wait_for(address: str, path: str = "") -> None:
    """Wait until an address answers, with 200 if a path is given."""
    end = time.monotonic() + 20.0
    while time.monotonic() < end:
        with contextlib.suppress(OSError):
            if not path:
                host, _, port = address.partition(":")
                socket.create_connection((host, int(port)), 1.0).close()
                return
            conn = http.client.HTTPConnection(address, timeout=1.0)
            conn.request("GET", path)
            if conn.getresponse().status == 200:
                return
        time.sleep(0.1)
    raise SystemExit(f"{address} did not answer within 20 s")


def _call(front: int, is_write: bool, rng: random.Random) -> int:
    conn = http.client.HTTPConnection(f"127.0.1.{front + 1}:{PORT + 100}", timeout=5.0)
    fields = {
        "Host": "desk.example",
        "Authorization": "Bearer demo-key",
        "X-Flamingofront-Deadline-Ms": str(DEADLINE_MS),
        "X-Flamingofront-Request-Id": f"r{rng.getrandbits(48):012x}",
    }
    path = "/order/1" if is_write else "/lookup/1"
    try:
        conn.request("POST" if is_write else "GET", path, b"x" if is_write else None, fields)
        res = conn.getresponse()
        res.read()
        return res.status
    except OSError:
        return 0
    finally:
        conn.close()


def _served(outcomes: list[Outcome], fronts: set[int], since: float) -> tuple[int, int, Counter]:
    found = [each for each in outcomes if each.front in fronts and each.sent_at >= since]
    return sum(each.status == 200 for each in found), len(found), Counter(o.status for o in found)


def main(
    fault: str, *, processes: int = 5, cut: int = 2, rate: float = 12.0, seconds: float = 10.0
) -> None:
    """Let some entry processes lose their paths to all endpoints, while requests arrive.

    :param fault: silent, reset, refused or live (open connections live on, new ones are refused);
        accepted (connections are established, then reset), accepted-silent or new-accepted
    :param processes: entry processes
    :param cut: how many of them lose their paths
    :param rate: requests a second at each of them
    :param seconds: length of the fault
    """
    known = (*FAULTS, *ACCEPTING_FAULTS)
    if fault not in known:
        raise SystemExit(f"no fault {fault!r}; faults are {', '.join(known)}")
    folder = Path(tempfile.mkdtemp())
    lost = set(range(cut))
    with Deployment(folder, processes, 4) as deployment:
        deployment.wait_ready()
        deployment.offer(rate, 3.0)
        start = time.monotonic()
        deployment.fail(sorted(lost), fault)
        outcomes = deployment.offer(rate, seconds)
        deployment.heal(sorted(lost))
        healed = deployment.offer(rate, 4.0)
    since = start + REACTION_SECONDS
    good, asked, statuses = _served(outcomes, lost, since)
    good_others, asked_others, _ = _served(outcomes, set(range(processes)) - lost, since)
    early = _served(outcomes, lost, start)
    after = _served(healed, lost, 0.0)
    print(
        f"{fault}, {cut} of {processes} cut off: {good} of {asked} first tries served there "
        f"{dict(statuses)}, {good_others} of {asked_others} at the others; with the first "
        f"{REACTION_SECONDS:g} s {early[0]} of {early[1]} {dict(early[2])}; after the end "
        f"{after[0]} of {after[1]}; logs in {folder}"
    )
    is_bad = good / max(1, asked) < good_others / max(1, asked_others) - 1 / 50
    sys.exit(is_bad)


if __name__ == "__main__":
    defopt.run(main)
