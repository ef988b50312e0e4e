#!/usr/bin/env python3
"""Real entry processes and callers that resume streams, with endpoints of several versions.

Each event names the endpoint that wrote it, so that the callers know from which versions a stream
came. Prints the streams with events of two versions, and how many of the resumed ones went on
beside how many new ones began. Exits with 1 if a stream has events of two versions, or one twice or
out of order. Run it in the project's environment:

    .venv/bin/python scripts/try_versions.py kill --processes 24
"""

import http.client
import json
import os
import random
import re
import signal
import statistics
import subprocess
import sys
import tempfile
import threading
import time
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path

import defopt
from try_lost_paths import BIN, HOST, ROOT, _wait_for

PORT = 19880
VERSIONS = ("v1", "v1.2")
ENDPOINTS = 3
EVENTS = 24
GAP_SECONDS = 0.06
DEADLINE_MS = 12_000
MAX_TRIES = 4
# Ways in which all entry processes are killed at once and start again: nothing else happens, or the
# endpoints of the first version end before and their rows are removed, or are replaced.
ALL_KILLED = ("killed", "removed", "replaced")
WAYS = ("none", "break", "kill", "stop", "restart", "suspend", "gone", "died", *ALL_KILLED)
EVENT = re.compile(rb"id: (\d+)\ndata: (\S+)\n\n")


@dataclass
class Try:
    """One request of a caller; status 0 if the connection ended without a response."""

    front: int
    status: int = 0
    events: list[tuple[int, str]] = field(default_factory=list)
    is_complete: bool = False
    seconds: float = 0.0
    error: str = ""


class Deployment:
    """Store, endpoints of two versions in two zones, entry processes; ends them when left."""

    def __init__(
        self,
        folder: Path,
        processes: int,
        cut: float,
        other: Path | None = None,
        versions: int = len(VERSIONS),
    ):
        self._versions = VERSIONS[:versions]
        self._folder = folder
        self._cut = cut
        self._other = other
        self._children: list[subprocess.Popen] = []
        self.fronts: list[subprocess.Popen] = []
        self.endpoints: dict[str, list[subprocess.Popen]] = {}
        self.processes = processes

    def __enter__(self) -> "Deployment":
        store = f"{HOST}:{PORT}"
        words = ["--bind", store, "--config", str(self._write_configuration())]
        self._start("flamingofront-standin-store", words)
        _wait_for(store)
        for row, version in enumerate(self._versions):
            self.endpoints[version] = [
                self.start_endpoint(version, ENDPOINTS * row + number, number)
                for number in range(ENDPOINTS)
            ]
        for number in range(self.processes):
            self._write_settings(number)
            self.fronts.append(self._run_front(number))
        for number in range(self.processes):
            _wait_for(f"{_ip_of(number)}:{PORT + 101}", "/api/ready")
        return self

    def __exit__(self, *exc: object) -> None:
        for child in self._children:
            child.kill()
        for child in self._children:
            child.wait()

    def _write_configuration(self) -> Path:
        doc = json.loads((ROOT / "examples/forwarding.json").read_text())
        routes = [{**each, "max_attempts": 3, "timeout_ms": DEADLINE_MS} for each in doc["routes"]]
        path = self._folder / "configuration.json"
        path.write_text(json.dumps({**doc, "routes": routes}))
        return path

    def start_endpoint(self, version: str, offset: int, number: int) -> subprocess.Popen:
        """Start an endpoint at a port; its id is made of its version and a number."""
        words = ["--bind", f"{HOST}:{PORT + 1 + offset}", "--store", f"{HOST}:{PORT}"]
        words += ["--endpoint-id", f"{version}-{number}", "--service", "engines", "--gap"]
        words += [str(GAP_SECONDS), "--zone", f"zone-{'ab'[number % 2]}", "--software", version]
        words += ["--events", str(EVENTS), "--cut", str(self._cut), "--slots", "64"]
        return self._start("flamingofront-standin-endpoint", words, output=f"endpoint-{offset}")

    def remove_endpoints(self, version: str) -> None:
        """End the endpoints of a version, and remove their rows."""
        for child in self.endpoints[version]:
            child.kill()
            child.wait()
        names = [f"{version}-{number}" for number in range(ENDPOINTS)]
        rows = [{"table": "servers", "part": "", "key": name} for name in names]
        body = json.dumps({"expected_rev": [], "writes": [], "remove": rows})
        conn = http.client.HTTPConnection(f"{HOST}:{PORT}", timeout=2.0)
        conn.request("POST", "/api/rows-tx", body, {"Content-Type": "application/json"})
        conn.getresponse().read()
        conn.close()

    def _write_settings(self, number: int) -> None:
        ip = _ip_of(number)
        values = {
            "node_name": f"front-{number}",
            "zone": f"zone-{'ab'[number % 2]}",
            "ip": ip,
            "listen.front": f"{ip}:{PORT + 100}",
            "listen.ready": f"{ip}:{PORT + 101}",
            "listen.control": f"{ip}:{PORT + 102}",
            "port_range": f"{PORT + 103},{PORT + 109}",
            "seeds": f"{_ip_of(0)}:{PORT + 102}",
            "bootstrap": "true",
            "platform.address": f"{HOST}:{PORT}",
            "cloud_api.address": f"{HOST}:{PORT}",
            "bounds.budget_slack": "300",
        }
        settings = self._folder / f"front-{number}.conf"
        settings.write_text("".join(f"{name}={value}\n" for name, value in values.items()))

    def _run_front(self, number: int) -> subprocess.Popen:
        settings = self._folder / f"front-{number}.conf"
        environment = {**os.environ, "FLAMINGOFRONT_BOOT": str(settings)}
        if self._other is None or number % 2:
            return self._start("flamingofront-forward", [], environment, f"front-{number}")
        environment["PYTHONPATH"] = str(self._other)
        words = ["-m", "flamingofront.forward_daemon"]
        return self._start("python", words, environment, f"front-{number}", self._other)

    def restart_front(self, number: int) -> None:
        """Start an entry process again after it has ended, and wait until it is ready."""
        self.fronts[number].wait()
        self.fronts[number] = self._run_front(number)
        _wait_for(f"{_ip_of(number)}:{PORT + 101}", "/api/ready")

    def _start(
        self, program, words, environment=None, output="errors", folder=None
    ) -> subprocess.Popen:
        with open(self._folder / f"{output}.log", "a") as log:
            child = subprocess.Popen(
                [BIN / program, *words], stdout=log, stderr=log, env=environment, cwd=folder
            )
        self._children.append(child)
        return child


def _ip_of(front: int) -> str:
    return f"127.0.2.{front + 1}"


class StreamCaller(threading.Thread):
    """A caller that resumes its stream until it is whole or its tries are used up."""

    def __init__(
        self, number: int, first: int, others: list[int], rng: random.Random, is_moving: bool
    ):
        super().__init__(daemon=True)
        self.number = number
        self.tries: list[Try] = []
        self._first = first
        self._others = others
        self._rng = rng
        self._is_moving = is_moving

    @property
    def events(self) -> list[tuple[int, str]]:
        """Numbers of all events, and the endpoint of each."""
        return [event for each in self.tries for event in each.events]

    @property
    def seen_versions(self) -> set[str]:
        """Versions of the endpoints that wrote the events."""
        return {endpoint.rpartition("-")[0] for _, endpoint in self.events}

    @property
    def is_whole(self) -> bool:
        """True if each event came once and in order up to the end."""
        numbers = [number for number, _ in self.events]
        return self.tries[-1].is_complete and numbers == list(range(1, EVENTS + 1))

    def run(self) -> None:
        """Call until the stream is whole."""
        front = self._first
        while len(self.tries) < MAX_TRIES:
            self.tries.append(Try(front))
            self._call(self.tries[-1])
            if self.tries[-1].is_complete or not self.events:
                return
            if self._is_moving:
                front = self._rng.choice([each for each in self._others if each != front])
            else:
                time.sleep(0.3)
                _wait_for(f"{_ip_of(front)}:{PORT + 101}", "/api/ready")

    def _call(self, attempt: Try) -> None:
        headers = {
            "Host": "desk.example",
            "Authorization": "Bearer demo-key",
            "X-Flamingofront-Deadline-Ms": str(DEADLINE_MS),
            "X-Flamingofront-Request-Id": f"s{self.number}-{len(self.tries)}",
        }
        first = next((n for n, each in enumerate(self.tries, 1) if each.events), 0)
        if first:
            headers["Resumes"] = f"s{self.number}-{first}"
            headers["Last-Event-Id"] = str(self.events[-1][0])
        start = time.monotonic()
        conn = http.client.HTTPConnection(f"{_ip_of(attempt.front)}:{PORT + 100}", timeout=1.5)
        try:
            conn.request("POST", f"/stream/letter/{self.number}", b"x", headers)
            res = conn.getresponse()
            attempt.status = res.status
            self._read(res, attempt)
        except (OSError, http.client.HTTPException) as exc:
            attempt.error = repr(exc)
        finally:
            attempt.seconds = time.monotonic() - start
            conn.close()

    @staticmethod
    def _read(res: http.client.HTTPResponse, attempt: Try) -> None:
        data = b""
        while part := res.read1():
            data += part
            if res.status == 200:
                end = 0
                for match in EVENT.finditer(data):
                    attempt.events.append((int(match[1]), match[2].decode()))
                    end = match.end()
                data = data[end:]
        if res.status == 200:
            attempt.is_complete = not data
        else:
            attempt.error = data.decode(errors="replace")


def _kill_all(deployment: Deployment, way: str, pause: float) -> None:
    """Kill all entry processes and start them again, after what happens to the endpoints."""
    if way != "killed":
        deployment.remove_endpoints(VERSIONS[0])
        if way == "replaced":
            for number in range(ENDPOINTS):
                deployment.start_endpoint(VERSIONS[1], 2 * ENDPOINTS + number, ENDPOINTS + number)
        time.sleep(pause)
    for front in deployment.fronts:
        front.send_signal(signal.SIGKILL)
    for number in range(deployment.processes):
        deployment.restart_front(number)


def _disturb(deployment: Deployment, way: str, victims: list[int], pause: float = 0.05) -> None:
    """Disturb some entry processes, or all endpoints of a version."""
    if way in ALL_KILLED:
        _kill_all(deployment, way, pause)
        return
    if way == "gone":
        for child in deployment.endpoints["v1"]:
            child.kill()
        return
    signals = {"kill": signal.SIGKILL, "restart": signal.SIGKILL, "stop": signal.SIGTERM}
    for number in victims:
        deployment.fronts[number].send_signal(signals.get(way, signal.SIGSTOP))
    if way == "restart":
        for number in victims:
            deployment.restart_front(number)


def find_wrong_streams(callers: list[StreamCaller]) -> list[StreamCaller]:
    """Return the streams of two versions, out of order, or complete without being whole."""
    found = []
    for each in callers:
        numbers = [number for number, _ in each.events]
        is_in_order = numbers == list(range(1, len(numbers) + 1))
        looks_whole = bool(each.tries) and each.tries[-1].is_complete
        if len(each.seen_versions) > 1 or not is_in_order or (looks_whole and not each.is_whole):
            found.append(each)
    return found


def _report(callers: list[StreamCaller], way: str) -> list[StreamCaller]:
    """Print the figures; return the streams that are not as they should be."""
    resumed = [each for each in callers if len(each.tries) > 1]
    went_on = [each for each in resumed if any(again.events for again in each.tries[1:])]
    statuses = Counter(again.status for each in resumed for again in each.tries[1:])
    refused = [again.seconds for each in resumed for again in each.tries[1:] if again.status == 503]
    bad = find_wrong_streams(callers)
    mixed = sum(len(each.seen_versions) > 1 for each in callers)
    print(
        f"{way}: {len(callers)} streams, {sum(bool(each.events) for each in callers)} began, "
        f"{sum(each.is_whole for each in callers)} whole, "
        f"{sum(each.tries[0].is_complete for each in callers)} at the first try, "
        f"{mixed} of two versions; "
        f"{len(went_on)} of {len(resumed)} resumed ones went on {dict(statuses)}; refusals "
        f"{statistics.median(refused or [0.0]) * 1000:.0f} ms in the median; {len(bad)} not in "
        "order or mixed"
    )
    return bad


def main(
    way: str,
    *,
    processes: int = 5,
    streams: int = 60,
    seed: int = 1,
    other: Path | None = None,
    pause: float = 0.05,
    versions: int = len(VERSIONS),
) -> None:
    """Disturb streams of two versions in one way.

    :param way: none, break (endpoints break off a third of their runs), kill, stop, restart or
        suspend (two entry processes), gone (all endpoints of a version), died (the same just
        before the streams), or all entry processes killed at once: killed, removed or replaced (the
        endpoints of one version end before)
    :param processes: entry processes
    :param streams: callers, each with a stream
    :param seed: seed of the callers' choices
    :param other: checkout of another build, which every second entry process runs
    :param pause: seconds from the end of the endpoints to the kill of all
    :param versions: number of versions, 1 or 2
    """
    if way not in WAYS:
        raise SystemExit(f"no way {way!r}; ways are {', '.join(WAYS)}")
    folder = Path(tempfile.mkdtemp())
    rng = random.Random(seed)
    cut = 1 / 3 if way == "break" else 0.0
    with Deployment(folder, processes, cut, other, versions) as deployment:
        time.sleep(1.0)
        victims = [0, 1] if way in ("kill", "stop", "restart", "suspend") else []
        others = [each for each in range(processes) if each not in victims]
        begins_at = victims or others
        callers = [
            StreamCaller(
                number,
                begins_at[number % len(begins_at)],
                others,
                random.Random(rng.random()),
                way not in ("restart", *ALL_KILLED),
            )
            for number in range(streams)
        ]
        if way == "died":
            _disturb(deployment, "gone", [])
        for caller in callers:
            caller.start()
            time.sleep(0.01)
        if way not in ("none", "break", "died"):
            time.sleep(0.5)
            _disturb(deployment, way, victims, pause)
        for caller in callers:
            caller.join(20.0)
        for number in victims:
            deployment.fronts[number].send_signal(signal.SIGCONT)
    bad = _report(callers, f"{way}, {processes} processes")
    for each in bad[:5]:
        print(each.number, [(again.front, again.status, again.events) for again in each.tries])
    print(f"logs in {folder}")
    sys.exit(bool(bad))


if __name__ == "__main__":
    defopt.run(main)
