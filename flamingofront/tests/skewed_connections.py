"""Real entry processes on loopback, one of which gets most new connections for some seconds.

The processes may run at a fraction of the machine's strength: each is stopped for a part of every
20 ms, as on a small VM. Callers open a new connection for a part of their requests, give up after
a second, and try again at another process when they were not read.
"""

import asyncio
import http.client
import json
import os
import random
import signal
import subprocess
import sys
import time
from dataclasses import dataclass, field
from pathlib import Path

from flamingofront.tests.throttle import Throttle

__all__ = ["Deployment", "FirstTry", "SkewedLoad"]

BIN = Path(sys.executable).parent
HEAD = (
    b"GET /lookup/7 HTTP/1.1\r\nHost: desk.example\r\nAuthorization: Bearer demo-key\r\n"
    b"X-Flamingofront-Request-Id: %s\r\nX-Flamingofront-Deadline-Ms: 1000\r\n\r\n"
)
PORT = 19480
STORE_PORT = 19400
PATIENCE_SECONDS = 1.0
MAX_TRIES = 4
CONFIGURATION = {
    "version": 1,
    "routes": [
        {
            "name": "lookup",
            "host": "desk.example",
            "prefix": "/lookup/",
            "kind": "idempotent",
            "service": "records",
            "timeout_ms": 5000,
            "latency_goal_ms": 300,
            "priority": 1,
            "max_attempts": 2,
        }
    ],
    "services": [{"name": "records", "health_path": "/health", "max_conns": 400}],
    "tenants": [{"name": "desk", "api_keys": ["demo-key"], "priority": 1}],
    "limits": {},
}


def _fetch_status(ip: str, port: int, path: str) -> int:
    conn = http.client.HTTPConnection(ip, port, timeout=1.0)
    try:
        conn.request("GET", path)
        return conn.getresponse().status
    except OSError:
        return 0
    finally:
        conn.close()


class Deployment:
    """A store, endpoints and entry processes; ends all of them when left.

    Parameters
    ----------
    network : int
        Third number of the loopback addresses, so that several deployments run side by side.
    pause : float
        Fraction of the time for which each entry process is stopped.
    """

    def __init__(
        self, folder: Path, network: int = 90, processes: int = 5, endpoints: int = 8, pause=0.0
    ):
        self.folder = folder
        self.processes = processes
        self.fronts: list[subprocess.Popen] = []
        self._network = network
        self._endpoint_count = endpoints
        self._children: list[subprocess.Popen] = []
        self._throttle = Throttle(lambda: self.fronts, pause)

    def ip_of(self, front: int) -> str:
        """Return the address of an entry process; -1 for that of store and endpoints."""
        return f"127.2.{self._network}.{front + 2}"

    def __enter__(self) -> "Deployment":
        try:
            self._start_all()
        except BaseException:
            self.__exit__()
            raise
        return self

    def _start_all(self) -> None:
        host = self.ip_of(-1)
        config = self.folder / "forwarding.json"
        config.write_text(json.dumps(CONFIGURATION))
        self._start("standin-store", "--bind", f"{host}:{STORE_PORT}", "--config", str(config))
        self._wait_for(host, STORE_PORT, "/")
        for number in range(self._endpoint_count):
            self._start_endpoint(host, number)
        for number in range(self.processes):
            self._start_front(host, number)
        for number in range(self.processes):
            self._wait_for(self.ip_of(number), PORT + 1, "/api/ready", (200,))
        self._throttle.start()

    def __exit__(self, *exc: object) -> None:
        self._throttle.stop()
        for child in self._children:
            child.kill()
            child.wait()

    def _start_endpoint(self, host: str, number: int) -> None:
        words = ["--bind", f"{host}:{STORE_PORT + 1 + number}", "--store", f"{host}:{STORE_PORT}"]
        words += ["--endpoint-id", f"e-{number}", "--slots", "64", "--gap", "0.06"]
        self._start("standin-endpoint", *words)

    def _start_front(self, host: str, number: int) -> None:
        ip = self.ip_of(number)
        values = {
            "node_name": f"front-{number}",
            "zone": f"zone-{number % 2}",
            "ip": ip,
            "listen.front": f"{ip}:{PORT}",
            "listen.ready": f"{ip}:{PORT + 1}",
            "listen.control": f"{ip}:{PORT + 2}",
            "port_range": f"{PORT + 3},{PORT + 9}",
            "seeds": f"{self.ip_of(0)}:{PORT + 2}",
            "bootstrap": "true",
            "platform.address": f"{host}:{STORE_PORT}",
            "cloud_api.address": f"{host}:{STORE_PORT}",
        }
        settings = self.folder / f"front-{number}.conf"
        settings.write_text("".join(f"{name}={value}\n" for name, value in values.items()))
        environment = {**os.environ, "FLAMINGOFRONT_BOOT": str(settings)}
        process = self._start("forward", environment=environment, output=f"front-{number}")
        self.fronts[number : number + 1] = [process]

    def restart_front(self, number: int, signum: signal.Signals) -> None:
        """End an entry process with a signal, and start it again."""
        process = self.fronts[number]
        process.send_signal(signal.SIGCONT)
        process.send_signal(signum)
        process.wait()
        self._start_front(self.ip_of(-1), number)

    def reload_front(self, number: int) -> None:
        """Let an entry process read its settings again."""
        self.fronts[number].send_signal(signal.SIGHUP)

    def _start(self, program: str, *words: str, environment=None, output="standins"):
        with open(self.folder / f"{output}.log", "a") as log:
            child = subprocess.Popen(
                [BIN / f"flamingofront-{program}", *words], stdout=log, stderr=log, env=environment
            )
        self._children.append(child)
        return child

    @staticmethod
    def _wait_for(ip: str, port: int, path: str, statuses: tuple[int, ...] = ()) -> None:
        end = time.monotonic() + 20.0
        while time.monotonic() < end:
            status = _fetch_status(ip, port, path)
            if status and (not statuses or status in statuses):
                return
            time.sleep(0.05)
        raise TimeoutError(f"{ip}:{port} does not answer {path}")


@dataclass
class FirstTry:
    """The first try of a request and what became of it.

    Parameters
    ----------
    is_served : bool
        True if the first try was answered with 200.
    was_read : bool
        False if the connection was refused, or closed without an answer.
    is_late_served : bool
        True if a later try was answered with 200.
    """

    at: float
    is_served: bool = False
    was_read: bool = True
    is_late_served: bool = False
    seconds: float = 0.0

    @property
    def counts(self) -> bool:
        """True if the try counts: an unread one does not if a later one was served."""
        return self.was_read or not self.is_late_served


@dataclass
class SkewedLoad:
    """Callers of a deployment.

    Parameters
    ----------
    rate : float
        Requests per second.
    returns : bool
        True if further tries are spread over the processes as first tries are, as behind a
        balancer; else each goes to another process than the try before.
    """

    deployment: Deployment
    rate: float
    seed: int = 1
    returns: bool = False
    tries: list[FirstTry] = field(default_factory=list)

    def __post_init__(self):
        self._rng = random.Random(self.seed)
        self._idle: list[list] = [[] for _ in range(self.deployment.processes)]
        self._target: int | None = None
        self._number = 0

    def play(self, calm: float, skewed: float, after: float = 0.0) -> None:
        """Play some seconds without skew, with it, and without it again."""
        asyncio.run(self._play(calm, skewed, after))

    async def _play(self, calm: float, skewed: float, after: float) -> None:
        start = time.monotonic()
        tasks = set()
        count = int((calm + skewed + after) * self.rate)
        for number in range(count):
            due = number / self.rate
            await asyncio.sleep(max(0.0, start + due - time.monotonic()))
            self._target = 0 if calm <= due < calm + skewed else None
            task = asyncio.create_task(self._request(due))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
        await asyncio.gather(*tasks)

    async def _request(self, due: float) -> None:
        first = FirstTry(due)
        self.tries.append(first)
        begun = time.monotonic()
        front, is_new = self._choose()
        status = await self._try(front, is_new)
        first.is_served, first.was_read = status == 200, status is not None
        first.seconds = time.monotonic() - begun
        for _ in range(MAX_TRIES - 1):
            if first.is_served or first.is_late_served:
                return
            front = self._choose_again(front)
            first.is_late_served = await self._try(front, True) == 200

    def _choose(self) -> tuple[int, bool]:
        """Return the process of a request, and whether it needs a new connection."""
        is_skewed = self._target is not None
        if self._rng.random() >= (0.6 if is_skewed else 0.15):
            front = self._rng.randrange(self.deployment.processes)
            return front, not self._idle[front]
        return self._choose_new(), True

    def _choose_new(self) -> int:
        """Return the process of a new connection."""
        if self._target is not None and self._rng.random() < 0.95:
            return self._target
        return self._rng.randrange(self.deployment.processes)

    def _choose_again(self, front: int) -> int:
        """Return the process of a further try, which opens a new connection."""
        if self.returns:
            return self._choose_new()
        others = [each for each in range(self.deployment.processes) if each != front]
        return self._rng.choice(others or [front])

    async def _try(self, front: int, is_new: bool) -> int | None:
        """Return the status of one try: None if it was not read, 0 after the patience."""
        self._number += 1
        conn, is_kept = None, False
        try:
            async with asyncio.timeout(PATIENCE_SECONDS):
                if is_new:
                    conn = await asyncio.open_connection(self.deployment.ip_of(front), PORT)
                else:
                    conn = self._idle[front].pop()
                status, is_kept = await self._exchange(*conn)
        except TimeoutError:
            status = 0
        except (OSError, asyncio.IncompleteReadError):
            status = None
        if conn is None:
            return status
        if is_kept and len(self._idle[front]) < 40:
            self._idle[front].append(conn)
        else:
            conn[1].transport.abort()
        return status

    async def _exchange(self, reader, writer) -> tuple[int, bool]:
        """Return the status of a request, and whether the connection may be used again."""
        writer.write(HEAD % b"r%d" % self._number)
        head = (await reader.readuntil(b"\r\n\r\n")).lower()
        length = next(
            int(line.split(b":")[1])
            for line in head.split(b"\r\n")
            if line.startswith(b"content-length")
        )
        await reader.readexactly(length)
        return int(head.split()[1]), b"connection: close" not in head

    def share(self, start: float, end: float) -> float:
        """Return the share of first tries in a span of the play that were served, of those read."""
        counted = [each for each in self.tries if start <= each.at < end and each.counts]
        return sum(each.is_served for each in counted) / len(counted)

    def share_in_time(self, start: float, end: float, limit: float) -> float:
        """Return the share of the requests of a span that the first try served in time."""
        tries = [each for each in self.tries if start <= each.at < end]
        return sum(each.is_served and each.seconds <= limit for each in tries) / len(tries)

    def never_served(self, start: float, end: float) -> int:
        """Return the number of requests of a span that no try served."""
        return sum(
            start <= each.at < end and not (each.is_served or each.is_late_served)
            for each in self.tries
        )
