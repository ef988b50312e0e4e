#!/usr/bin/env python3
"""Soak of real processes with endpoints that leave, and an oracle over what reaches them.

Endpoints leave in several ways and serve on, each entry process reaches the store through a relay
that rejects, resets, silences or delays its calls, single calls fail in further ways, and entry
processes are killed, suspended and reloaded. Exits with 1 if a request reaches an endpoint too
late, with the store undisturbed before the departure and the sender before the arrival.

    .venv/bin/python scripts/soak_departures.py 7 --seconds 60
    .venv/bin/python scripts/soak_departures.py 7 --only closed
"""

import asyncio
import base64
import contextlib
import http.client
import itertools
import json
import os
import random
import signal
import subprocess
import sys
import tempfile
import threading
import time
from collections import Counter, defaultdict
from dataclasses import dataclass, field
from pathlib import Path

import defopt
from store_relay import CallFault, Outage, StoreRelay
from try_lost_paths import BIN, ROOT, _cancel_others, _wait_for

from flamingofront.tests.throttle import Throttle

PORT = 20480
MAX_NETWORKS = 250
ENDPOINT_PORTS = 200
ZONES = ("zone-a", "zone-b")
# From the store's confirmation that an endpoint leaves until no process may send it anything.
DRAIN_SECONDS = 2.0
# A process is bound once it has been undisturbed for so long.
CONTACT_SECONDS = 3.0
# An endpoint has written its row within this time after its start, also on a busy machine.
REGISTRATION_SECONDS = 4.0
KILLED_SHARE = 0.55
KILLED_SECONDS = 2.0
# A row that says that its endpoint leaves is removed within this time after.
MAX_STEP_SECONDS = 1.0


@dataclass
class Endpoint:
    """An endpoint process, when it left, and the requests that reached it."""

    name: str
    service: str
    port: int
    child: subprocess.Popen
    started_at: float
    left_at: float | None = None
    arrivals: list[tuple[float, str]] = field(default_factory=list)

    def read(self) -> None:
        """Record the arrivals that the process prints, until it ends.

        Notes
        -----
        A probe of an entry process has no request id, and is no request.
        """
        for line in self.child.stdout:
            words = line.split()
            if len(words) == 4 and words[0] == "arrival":
                self.arrivals.append((float(words[1]), words[3]))


class Deployment:
    """Store, endpoints, entry processes with their relays; ends all processes when left.

    Parameters
    ----------
    network : int
        Third number of the loopback addresses, so that several soaks run side by side.
    endpoint_words : tuple of str
        Further words of the command line of each endpoint.
    configuration : Path
        Configuration document of the operator.

    Attributes
    ----------
    port : int
        Port of the store; those of the endpoints follow.
    front_port : int
        First port of each entry process.
    """

    port = PORT
    front_port = PORT + 1000

    def __init__(
        self,
        folder: Path,
        network: int,
        processes: int,
        endpoints: int,
        endpoint_words: tuple[str, ...] = (),
        configuration: Path = ROOT / "examples/forwarding.json",
    ):
        self.folder = folder
        self._configuration = configuration
        self._network = network
        self.host = self.ip_of(-1)
        self.processes = processes
        self._endpoint_count = endpoints
        self._endpoint_words = endpoint_words
        self._numbers = itertools.count()
        self._children: list[subprocess.Popen] = []
        self._loop = asyncio.new_event_loop()
        # Connections that break as the deployment ends are of no interest.
        self._loop.set_exception_handler(lambda loop, context: None)
        threading.Thread(target=self._loop.run_forever, daemon=True).start()
        self.fronts: list[subprocess.Popen] = []
        self.relays = [StoreRelay(self.host, self.port) for _ in range(processes)]
        self.endpoints: list[Endpoint] = []

    def run_in_loop(self, coroutine):
        """Run a coroutine of the relays and return its result."""
        return self.start_in_loop(coroutine).result(10.0)

    def start_in_loop(self, coroutine):
        """Start a coroutine beside the relays and return its concurrent future."""
        return asyncio.run_coroutine_threadsafe(coroutine, self._loop)

    def __enter__(self) -> "Deployment":
        words = [
            "--bind",
            f"{self.host}:{self.port}",
            "--config",
            str(self._configuration),
        ]
        self._start("flamingofront-standin-store", words)
        _wait_for(f"{self.host}:{self.port}")
        for _ in range(self._endpoint_count):
            self.add_endpoint()
        for number, relay in enumerate(self.relays):
            self.run_in_loop(relay.open())
            self._write_settings(number, relay.port)
            self.fronts.append(self.run_front(number))
        for number in range(self.processes):
            _wait_for(f"{self.ip_of(number)}:{self.front_port + 1}", "/api/ready")
        return self

    def __exit__(self, *exc: object) -> None:
        for child in self._children:
            child.kill()
        for child in self._children:
            child.wait()
        self.run_in_loop(_cancel_others())
        self._loop.call_soon_threadsafe(self._loop.stop)

    def ip_of(self, front: int) -> str:
        """Return the address of an entry process; -1 for that of store and endpoints."""
        return f"127.1.{self._network}.{front + 2}"

    def write_rows(
        self, writes: dict[str, dict], removed: tuple[str, ...] = (), table: str = "servers"
    ) -> float:
        """Write rows and remove some of endpoints; return the time of the store's confirmation."""
        rows = [
            {
                "table": table,
                "part": "",
                "key": name,
                "value": base64.b64encode(json.dumps(row).encode()).decode(),
            }
            for name, row in writes.items()
        ]
        remove = [{"table": "servers", "part": "", "key": name} for name in removed]
        body = {"expected_rev": [], "writes": rows, "remove": remove}
        conn = http.client.HTTPConnection(self.host, self.port, timeout=5.0)
        conn.request("POST", "/api/rows-tx", json.dumps(body))
        conn.getresponse().read()
        conn.close()
        return time.monotonic()

    def add_endpoint(self) -> None:
        """Start an endpoint of one of the services, under a new id."""
        number = next(self._numbers)
        port = self.port + 1 + number % ENDPOINT_PORTS
        service = ("records", "engines")[number % 2]
        name = f"e-{number}"
        words = [
            "--bind",
            f"{self.host}:{port}",
            "--store",
            f"{self.host}:{self.port}",
            "--endpoint-id",
            name,
        ]
        words += ["--service", service, "--zone", ZONES[number // 2 % 2], "--gap", "0.03"]
        words += ["--log-arrivals", "--slots", "64", "--software", f"v{number % 3}"]
        words += self._endpoint_words
        words += self.words_of_relay(port)
        child = self._start("flamingofront-standin-endpoint", words, is_read=True)
        self.endpoints.append(Endpoint(name, service, port, child, time.monotonic()))
        threading.Thread(target=self.endpoints[-1].read, daemon=True).start()

    def words_of_relay(self, port: int) -> list[str]:
        """Return the words of the command line of an endpoint that is reached through a relay."""
        return []

    def serving(self) -> list[Endpoint]:
        """Return the endpoints that have not left."""
        return [each for each in self.endpoints if each.left_at is None]

    def _write_settings(self, number: int, store_port: int) -> None:
        ip = self.ip_of(number)
        values = {
            "node_name": f"front-{number}",
            "zone": ZONES[number % len(ZONES)],
            "ip": ip,
            "listen.front": f"{ip}:{self.front_port}",
            "listen.ready": f"{ip}:{self.front_port + 1}",
            "listen.control": f"{ip}:{self.front_port + 2}",
            "port_range": f"{self.front_port + 3},{self.front_port + 9}",
            "seeds": f"{self.ip_of(0)}:{self.front_port + 2}",
            "bootstrap": "true",
            "platform.address": f"{self.host}:{store_port}",
            "cloud_api.address": f"{self.host}:{self.port}",
        }
        settings = self.folder / f"front-{number}.conf"
        settings.write_text("".join(f"{name}={value}\n" for name, value in values.items()))

    def run_front(self, number: int) -> subprocess.Popen:
        """Start an entry process."""
        settings = self.folder / f"front-{number}.conf"
        environment = {**os.environ, "FLAMINGOFRONT_BOOT": str(settings)}
        return self._start("flamingofront-forward", [], environment, f"front-{number}")

    def _start(self, program, words, environment=None, output="errors", is_read=False):
        with open(self.folder / f"{output}.log", "a") as log:
            child = subprocess.Popen(
                [BIN / program, *words],
                stdout=subprocess.PIPE if is_read else log,
                stderr=log,
                env=environment,
                text=True,
            )
        self._children.append(child)
        return child


class Soak:
    """Callers, endpoints that leave, and faults of the store's relays and of processes."""

    def __init__(self, deployment: Deployment, rng: random.Random, only: str = ""):
        self._deployment = deployment
        self._only = CallFault(only) if only else None
        self._rng = rng
        self.senders: dict[str, int] = {}
        self.statuses: Counter[int] = Counter()
        self.faults: Counter[str] = Counter()
        # Begin and end of disturbances, by entry process.
        self.disturbed: dict[int, list[tuple[float, float]]] = defaultdict(list)
        self._timers: list[threading.Timer] = []

    def call_until(self, end: float, rate: float) -> list[threading.Thread]:
        """Start callers that send requests on kept connections until a time."""
        threads = [
            threading.Thread(target=self._run_caller, args=(front, end, rate, self._rng.random()))
            for front in range(self._deployment.processes)
        ]
        for thread in threads:
            thread.start()
        return threads

    def _run_caller(self, front: int, end: float, rate: float, seed: float) -> None:
        rng, conn = random.Random(seed), None
        while time.monotonic() < end:
            time.sleep(rng.expovariate(rate))
            conn = conn or http.client.HTTPConnection(
                f"{self._deployment.ip_of(front)}:{PORT + 1000}", timeout=6.0
            )
            request_id = f"r{rng.getrandbits(64):016x}"
            self.senders[request_id] = front
            if not self._call(conn, request_id, rng.random() < 0.3):
                conn.close()
                conn = None

    def _call(self, conn: http.client.HTTPConnection, request_id: str, is_stream: bool) -> bool:
        fields = {
            "Host": "desk.example",
            "Authorization": "Bearer demo-key",
            "X-Flamingofront-Deadline-Ms": "3000",
            "X-Flamingofront-Request-Id": request_id,
        }
        try:
            if is_stream:
                conn.request("POST", "/stream/letter/1", b"x", fields)
            else:
                conn.request("GET", "/lookup/1", headers=fields)
            res = conn.getresponse()
            res.read()
        except (OSError, http.client.HTTPException):
            self.statuses[0] += 1
            return False
        self.statuses[res.status] += 1
        return not res.will_close

    def play_until(self, end: float) -> None:
        """Play rounds of faults, calm seconds, and endpoints that leave."""
        while time.monotonic() < end:
            for _ in range(self._rng.choice((0, 1, 1, 2)) if self._only is None else 0):
                self._disturb()
                time.sleep(0.3 * self._rng.random())
            time.sleep(CONTACT_SECONDS + 0.2 + self._rng.random())
            if self._only is None and self._rng.random() < 0.4:
                self._leave_beside_outage()
            else:
                self._leave_beside_failed_calls()
            time.sleep(DRAIN_SECONDS + 0.8)
        for timer in self._timers:
            timer.join()

    def _leave_beside_failed_calls(self) -> None:
        """Let endpoints leave before, in and after a time in which single calls fail."""
        fault = self._only or self._rng.choice(list(CallFault))
        self.faults[fault.value] += 1
        fronts = range(self._deployment.processes)
        if self._rng.random() < 0.3:
            fronts = self._rng.sample(fronts, 1 + self._rng.randrange(len(fronts)))
        seconds = {CallFault.QUIET: 1.0, CallFault.CLOSED: 2.0, CallFault.ANNOUNCED: 2.0}
        if self._rng.random() < 0.5:
            self._leave()
            time.sleep(0.1 * self._rng.random())
        self._set_call_fault(fronts, fault)
        time.sleep(0.1 * self._rng.random())
        for _ in range(self._rng.choice((1, 1, 2, 4))):
            self._leave()
        time.sleep(seconds.get(fault, 0.25))
        self._set_call_fault(fronts, None)
        if self._rng.random() < 0.3:
            self._leave()

    def _leave_beside_outage(self) -> None:
        """Let endpoints leave just before an outage, which excuses nothing after it."""
        for _ in range(self._rng.choice((1, 2, 3))):
            self._leave()
        if self._rng.random() < 0.5:
            self._disturb()

    def _set_call_fault(self, fronts, fault: CallFault | None) -> None:
        for each in fronts:
            self._deployment.run_in_loop(self._deployment.relays[each].set_call_fault(fault))

    # Endpoints

    def _registered(self) -> list[Endpoint]:
        """Return the endpoints that have written their row and not left."""
        since = time.monotonic() - REGISTRATION_SECONDS
        return [each for each in self._deployment.serving() if each.started_at < since]

    def _leave(self) -> None:
        by_service = Counter(each.service for each in self._deployment.serving())
        found = [each for each in self._registered() if by_service[each.service] > 2]
        if not found:
            return
        endpoint = self._rng.choice(found)
        way = self._rng.choice(("removed", "removed", "draining", "both", "just written"))
        self.faults[way] += 1
        row = {
            "service": endpoint.service,
            "address": f"{self._deployment.host}:{endpoint.port}",
            "zone": ZONES[0],
            "version": "v1",
            "slots": 64,
            "state": "draining" if way in ("draining", "both") else "ready",
            "cold_left_ms": 0,
            "sequence": 2,
        }
        if way == "just written":
            self._deployment.write_rows({endpoint.name: row})
            time.sleep(0.05)
        if way in ("draining", "both"):
            endpoint.left_at = self._deployment.write_rows({endpoint.name: row})
        else:
            endpoint.left_at = self._deployment.write_rows({}, (endpoint.name,))
        if way == "both":
            self._later(
                MAX_STEP_SECONDS * self._rng.random(),
                lambda: self._deployment.write_rows({}, (endpoint.name,)),
            )
        self._deployment.add_endpoint()
        self._later(DRAIN_SECONDS + 4.0, endpoint.child.kill)

    def _later(self, seconds: float, action) -> None:
        self._timers.append(threading.Timer(seconds, action))
        self._timers[-1].start()

    # Faults

    def _disturb(self) -> None:
        action = self._rng.choice(
            (self._fail_store, self._fail_store, self._kill, self._kill_most)
            + (self._suspend, self._reload)
        )
        self.faults[action.__name__.strip("_")] += 1
        action()

    @contextlib.contextmanager
    def _disturbance(self, fronts: list[int]):
        """Record that entry processes are disturbed meanwhile."""
        began = time.monotonic()
        yield
        for each in fronts:
            self.disturbed[each].append((began, time.monotonic()))

    def _fail_store(self) -> None:
        count = self._rng.choice((1, 2, self._deployment.processes))
        fronts = self._rng.sample(range(self._deployment.processes), count)
        outage = self._rng.choice(list(Outage))
        with self._disturbance(fronts):
            for each in fronts:
                self._deployment.run_in_loop(self._deployment.relays[each].set_outage(outage))
            time.sleep(0.3 + 3 * self._rng.random())
            for each in fronts:
                self._deployment.run_in_loop(self._deployment.relays[each].set_outage(None))

    def _pick(self) -> int:
        return self._rng.randrange(self._deployment.processes)

    def _kill(self) -> None:
        front = self._pick()
        with self._disturbance([front]):
            self._deployment.fronts[front].kill()
            self._deployment.fronts[front].wait()
            self._deployment.fronts[front] = self._deployment.run_front(front)

    def _kill_most(self) -> None:
        """Kill more than half of the processes at once, and start them again after a while."""
        count = round(KILLED_SHARE * self._deployment.processes)
        fronts = self._rng.sample(range(self._deployment.processes), count)
        with self._disturbance(fronts):
            for each in fronts:
                self._deployment.fronts[each].kill()
            time.sleep(KILLED_SECONDS)
            for each in fronts:
                self._deployment.fronts[each].wait()
                self._deployment.fronts[each] = self._deployment.run_front(each)

    def _suspend(self) -> None:
        front = self._pick()
        with self._disturbance([front]):
            self._deployment.fronts[front].send_signal(signal.SIGSTOP)
            time.sleep(0.3 + 4 * self._rng.random())
            self._deployment.fronts[front].send_signal(signal.SIGCONT)

    def _reload(self) -> None:
        self._deployment.fronts[self._pick()].send_signal(signal.SIGHUP)

    # Oracle

    def late(self) -> list[tuple[str, int, float]]:
        """Return endpoint, sender and delay of the requests that reached endpoints too late.

        Notes
        -----
        No process was disturbed for `CONTACT_SECONDS` before the departure, and the sender was not
        for as long before the arrival. What lies between excuses nothing.
        """
        found = []
        for endpoint in self._deployment.endpoints:
            left = endpoint.left_at
            if left is None or any(self._was_disturbed(each, left) for each in self.disturbed):
                continue
            for at, request_id in endpoint.arrivals:
                front = self.senders.get(request_id, -1)
                is_late = at - left > DRAIN_SECONDS and front >= 0
                if is_late and not self._was_disturbed(front, at):
                    found.append((endpoint.name, front, round(at - left, 2), request_id))
        return found

    def _was_disturbed(self, front: int, at: float) -> bool:
        """Return True if an entry process was disturbed within `CONTACT_SECONDS` before a time."""
        return any(
            began <= at and ended >= at - CONTACT_SECONDS for began, ended in self.disturbed[front]
        )


def count_exceptions(folder: Path) -> int:
    """Return the number of unhandled exceptions in the logs of the entry processes."""
    lines = (line for path in folder.glob("front-*.log") for line in path.open())
    return sum('"event":"fault"' in line for line in lines)


def main(
    seed: int,
    *,
    seconds: float = 40.0,
    processes: int = 5,
    rate: float = 5.0,
    only: str = "",
    endpoints: int = 10,
    pause: float = 0.0,
) -> None:
    """Run the soak with one seed.

    :param seed: seed of the faults and of the callers
    :param seconds: length of the soak
    :param processes: entry processes
    :param rate: requests a second at each entry process
    :param only: the one thing that befalls calls, without any other fault
    :param endpoints: endpoints that serve at any time
    :param pause: fraction of the time for which entry processes are stopped, in slices of 20 ms
    """
    folder = Path(tempfile.mkdtemp())
    with Deployment(folder, seed % MAX_NETWORKS, processes, endpoints) as deployment:
        soak = Soak(deployment, random.Random(seed), only)
        time.sleep(REGISTRATION_SECONDS)
        end = time.monotonic() + seconds
        callers = soak.call_until(end + DRAIN_SECONDS + 2.0, rate)
        with Throttle(lambda: deployment.fronts, pause):
            soak.play_until(end)
            for each in callers:
                each.join()
        late = soak.late()
        departures = len(deployment.endpoints) - len(deployment.serving())
    exceptions = count_exceptions(folder)
    print(
        f"seed {seed}, {processes} processes: {departures} departures, {len(soak.senders)} "
        f"requests {dict(soak.statuses)}; faults {dict(soak.faults)}; {exceptions} exceptions; "
        f"late {len(late)} {late[:4]}; "
        f"logs in {folder}",
        flush=True,
    )
    sys.exit(bool(late) or bool(exceptions))


if __name__ == "__main__":
    defopt.run(main)
