"""One entry process with low limits on loopback, whose memory and descriptors are measured."""

import base64
import contextlib
import http.client
import json
import os
import subprocess
import sys
import time
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path

from flamingofront.tests.memory_crowd import HOST, KEY, Crowd, CrowdPlay
from flamingofront.tests.memory_endpoint import ORDINARY_BODY

__all__ = ["IP", "RESERVED_DESCRIPTORS", "Deployment", "Limits", "Usage", "fetch"]

BIN = Path(sys.executable).parent
IP = "127.0.0.1"
START_SECONDS = 20.0
ANSWER_SECONDS = 20.0
# Descriptors of `limits.max_fds` that sockets may not use.
RESERVED_DESCRIPTORS = 200


@dataclass(frozen=True)
class Limits:
    """Limits of the process.

    Parameters
    ----------
    memory_mb : int
        Resident memory, in millions of bytes.
    descriptors : int
        Open descriptors.
    max_body : int
        Largest legal size of a request body in bytes.
    """

    memory_mb: int = 120
    descriptors: int = 440
    max_body: int = 2 * 1024 * 1024


@dataclass
class Usage:
    """What the process used at most: memory in millions of bytes, descriptors and sockets."""

    memory_mb: float = 0.0
    descriptors: int = 0
    sockets: int = 0


def make_configuration(max_body: int) -> dict:
    """Return the operator's configuration: one route to one service."""
    route = {
        "name": "lookup",
        "host": HOST,
        "prefix": "/lookup/",
        "kind": "idempotent",
        "service": "records",
        "timeout_ms": 5000,
        "latency_goal_ms": 300,
        "priority": 1,
        "max_attempts": 2,
    }
    return {
        "version": 1,
        "routes": [route],
        "services": [{"name": "records", "health_path": "/health", "max_conns": 100}],
        "tenants": [{"name": "desk", "api_keys": [KEY], "priority": 1}],
        "limits": {"max_body_bytes": max_body},
    }


class Deployment:
    """A store, two endpoints and one entry process; ends all of them when left.

    Attributes
    ----------
    usage : Usage
        Peaks since the start of the process.
    slots : int
        Requests that an endpoint runs at once.
    more_settings : dict of str to str
        Further settings of the process.
    """

    slots = 8
    more_settings: dict[str, str] = {}

    def __init__(self, folder: Path, limits: Limits):
        self.limits = limits
        self.usage = Usage()
        self._folder = folder
        self._children: list[subprocess.Popen] = []
        self._front: subprocess.Popen | None = None
        self._store = ""
        self._ports: dict[str, int] = {}

    def __enter__(self) -> "Deployment":
        try:
            self._start_all()
        except BaseException:
            self.__exit__()
            raise
        return self

    def __exit__(self, *exc: object) -> None:
        for child in self._children:
            child.kill()
            child.wait()
            if child.stdout is not None:
                child.stdout.close()

    def make_configuration(self) -> dict:
        """Return the operator's configuration."""
        return make_configuration(self.limits.max_body)

    def start_platform(self, store: str) -> str:
        """Return the address of the platform for the entry process, given that of the store."""
        return store

    def _start_all(self) -> None:
        config = self._folder / "forwarding.json"
        config.write_text(json.dumps(self.make_configuration()))
        words = [BIN / "flamingofront-standin-store", "--bind", f"{IP}:0", "--config", config]
        self._store = self._start_listening(words).split()[-1]
        platform = self.start_platform(self._store)
        for name in ("plain-1", "plain-2"):
            port = self.start_program("flamingofront.tests.memory_endpoint", name)
            self._register(name, f"{IP}:{int(port)}")
        self._start_front(platform)
        self._wait_ready()

    def start_program(self, module: str, *words: str) -> str:
        """Start a module of the tests as a program, and return the line with its port."""
        return self._start_listening([sys.executable, "-m", module, *words])

    def _start_listening(self, words: list) -> str:
        """Start a program, and return the line with its address."""
        child = subprocess.Popen(words, stdout=subprocess.PIPE, text=True)
        self._children.append(child)
        return child.stdout.readline()

    def _register(self, name: str, address: str) -> None:
        """Write the row of an endpoint."""
        row = {"service": "records", "address": address, "zone": "zone-a", "slots": self.slots}
        row |= {"state": "ready", "sequence": 2, "version": "v1", "cold_left_ms": 0}
        value = base64.b64encode(json.dumps(row).encode()).decode()
        write = {"table": "servers", "part": "", "key": name, "value": value}
        body = json.dumps({"expected_rev": [], "writes": [write], "remove": []})
        assert fetch(self._store, "POST", "/api/rows-tx", body.encode())[0] == 200

    def _start_front(self, platform: str) -> None:
        values = {
            "node_name": "front-1",
            "zone": "zone-a",
            "ip": IP,
            "listen.front": f"{IP}:0",
            "listen.ready": f"{IP}:0",
            "listen.control": f"{IP}:0",
            "port_range": "0,0",
            "platform.address": platform,
            "cloud_api.address": platform,
            **self.more_settings,
            "limits.memory_mb": self.limits.memory_mb,
            "limits.max_fds": self.limits.descriptors,
        }
        settings = self._folder / "front.conf"
        settings.write_text("".join(f"{name}={value}\n" for name, value in values.items()))
        with open(self._folder / "front.log", "w") as log:
            self._front = subprocess.Popen(
                [BIN / "flamingofront-forward", "--metrics-port", "0"],
                stdout=log,
                stderr=log,
                env={**os.environ, "FLAMINGOFRONT_BOOT": str(settings)},
            )
        self._children.append(self._front)

    def _wait_ready(self) -> None:
        end = time.monotonic() + START_SECONDS
        while time.monotonic() < end:
            self._ports = self._ports or self._read_ports()
            if self._ports and self._fetch_status("ready", "/api/ready") == 200:
                return
            time.sleep(0.05)
        raise TimeoutError("the entry process is not ready")

    def _read_ports(self) -> dict[str, int]:
        for line in (self._folder / "front.log").read_text().splitlines():
            if '"event":"listening"' in line:
                return json.loads(line)["ports"]
        return {}

    def _fetch_status(self, server: str, path: str) -> int:
        try:
            return fetch(f"{IP}:{self._ports[server]}", "GET", path)[0]
        except OSError:
            return 0

    @property
    def address(self) -> tuple[str, int]:
        """Address for callers."""
        return IP, self._ports["callers"]

    @property
    def is_alive(self) -> bool:
        """True if the process that was started still runs."""
        return self._front.poll() is None

    def play(self, crowd: Crowd, callers: int, seconds: float) -> CrowdPlay:
        """Play a crowd while the process is measured."""
        play = CrowdPlay(crowd, self.address, self.limits.max_body, self.measure)
        play.run(callers, seconds)
        return play

    def measure(self) -> None:
        """Update the peaks."""
        if not self.is_alive:
            return
        folder = Path(f"/proc/{self._front.pid}/fd")
        targets = [_read_link(each) for each in folder.iterdir()]
        sockets = sum(each.startswith("socket:") for each in targets)
        self.usage.descriptors = max(self.usage.descriptors, len(targets))
        self.usage.sockets = max(self.usage.sockets, sockets)
        self.usage.memory_mb = self.read_memory_mb("VmHWM")

    def read_memory_mb(self, field: str = "VmRSS") -> float:
        """Return a size of the process in millions of bytes, 0 if it has ended."""
        if not self.is_alive:
            return 0.0
        lines = Path(f"/proc/{self._front.pid}/status").read_text().splitlines()
        found = (line.split()[1] for line in lines if line.startswith(f"{field}:"))
        return int(next(found)) * 1024 / 1e6

    def is_served(self, body: bytes = b"") -> bool:
        """Return True if a request is answered; tries again until it has taken too long."""
        end = time.monotonic() + ANSWER_SECONDS
        while time.monotonic() < end and self.is_alive:
            if self.try_request(body):
                return True
            time.sleep(0.2)
        return False

    def try_request(self, body: bytes = b"", chunk: int | None = None) -> bool:
        """Return True if a single attempt of a request, with chunks of a size, is answered."""
        fields = {"Host": HOST, "Authorization": f"Bearer {KEY}"}
        fields["X-Flamingofront-Request-Id"] = f"ordinary-{time.monotonic_ns()}"
        content: bytes | Iterator[bytes] = body
        if chunk is not None:
            fields["Transfer-Encoding"] = "chunked"
            content = (body[start : start + chunk] for start in range(0, len(body), chunk))
        address = "{}:{}".format(*self.address)
        with contextlib.suppress(OSError, http.client.HTTPException):
            method = "POST" if body else "GET"
            return fetch(address, method, "/lookup/now/1", content, fields) == (200, ORDINARY_BODY)
        return False


def _read_link(path: Path) -> str:
    """Return what a descriptor is, nothing if it has been closed meanwhile."""
    try:
        return os.readlink(path)
    except OSError:
        return ""


def fetch(
    address: str,
    method: str,
    path: str,
    body: bytes | Iterator[bytes] = b"",
    fields: dict[str, str] | None = None,
) -> tuple[int, bytes]:
    """Return status and body of the answer to a request; an iterator yields its chunks."""
    conn = http.client.HTTPConnection(address, timeout=5.0)
    try:
        conn.request(method, path, body or None, fields or {}, encode_chunked=True)
        answer = conn.getresponse()
        return answer.status, answer.read()
    finally:
        conn.close()
