"""Starts a small deployment on loopback for one case, and ends all of its processes."""

import asyncio
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import traceback
from dataclasses import dataclass, field
from pathlib import Path

import wire

ROOT = Path(__file__).resolve().parents[2]
COMMON = Path(__file__).resolve().parent
START_SECONDS = 15.0
MAX_SECONDS = 110
FRONT_COMMAND = ["python3", "-S", "-m", "flamingofront.forward_daemon"]


class CannotRunError(Exception):
    """The case could not be run."""


@dataclass
class Answer:
    """What a requester saw of one attempt.

    The status is 0 if the channel ended without a complete answer, `has_head` tells if one began.
    """

    status: int
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    has_head: bool = False


@dataclass
class Front:
    """One entry process and its addresses."""

    name: str
    ip: str
    address: str
    ready: str
    settings: Path
    process: subprocess.Popen | None = None


class Rig:
    """A platform, runners and entry processes; a context manager that ends them all.

    Parameters
    ----------
    folder : Path
        Folder of the case, which gets `record.txt`.
    """

    def __init__(self, folder: Path):
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self._temporary = tempfile.TemporaryDirectory()
        self.temp = Path(self._temporary.name)
        self._record = open(folder / "record.txt", "w", buffering=1)  # noqa: SIM115
        self._processes: list[subprocess.Popen] = []
        # A block of loopback addresses of its own, so that the fixed metrics port is free.
        self._block = f"127.{random.randrange(2, 250)}.{random.randrange(1, 250)}"
        self.fronts: list[Front] = []
        self.runners: dict[str, subprocess.Popen] = {}
        self.platform = f"{self._block}.1:{self._find_port(f'{self._block}.1')}"
        self.started_at = time.time()

    def __enter__(self) -> "Rig":
        return self

    def __exit__(self, *exc_info) -> None:
        for process in self._processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self._processes:
            process.wait()
        self._record.close()
        self._temporary.cleanup()

    def note(self, text: str) -> None:
        """Append a line to the record."""
        self._record.write(f"{time.time() - self.started_at:8.3f} {text}\n")

    @staticmethod
    def _find_port(ip: str) -> int:
        with socket.socket() as sock:
            sock.bind((ip, 0))
            return sock.getsockname()[1]

    def _start(self, name: str, command: list[str], env: dict[str, str]) -> subprocess.Popen:
        base = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        with open(self.temp / f"{name}.log", "ab") as log:
            process = subprocess.Popen(
                command, cwd=ROOT, env={**base, **env}, stdout=log, stderr=subprocess.STDOUT
            )
        self._processes.append(process)
        return process

    def start_platform(self, config: dict) -> None:
        """Start the platform and write the first configuration."""
        command = [sys.executable, str(COMMON / "platform.py"), "--bind", self.platform]
        self._start("platform", [*command, "--record", str(self.temp / "duties")], {})
        asyncio.run(self.wait_for(self.platform, "/api/rows-get?table=op"))
        self.put("op", "config", config)

    def put(self, table: str, key: str, value: object) -> None:
        """Write a row as the operator."""
        self.control("put", {"table": table, "key": key, "value": value})

    def control(self, name: str, body: dict) -> None:
        """Call the platform stand-in itself."""
        asyncio.run(self.control_async(name, body))

    async def control_async(self, name: str, body: dict) -> None:
        """Call the platform stand-in itself."""
        await wire.call(self.platform, "POST", f"/standin/{name}", body)

    def find_leader(self) -> Front:
        """Return the entry process that acquired the duties last, by the logs."""
        acquired = {}
        for each in self.fronts:
            for line in self.read_log(each.name).splitlines():
                if '"leader lease acquired"' in line:
                    acquired[json.loads(line)["time"]] = each
        if not acquired:
            raise CannotRunError("no entry process leads")
        return acquired[max(acquired)]

    def start_runner(self, name: str, service: str, zone: str, **options: object) -> None:
        """Start a runner, which registers itself."""
        ip = f"{self._block}.{100 + len(self.runners)}"
        command = [sys.executable, str(COMMON / "runner.py"), "--bind"]
        command += [f"{ip}:{self._find_port(ip)}", "--store", self.platform, "--id", name]
        command += ["--service", service, "--zone", zone, "--record", str(self.temp / "runs")]
        for key, value in options.items():
            command += [f"--{key}", str(value)]
        self.runners[name] = self._start(name, command, {})

    def add_front(self, zone: str, settings: dict[str, object]) -> Front:
        """Write the settings file of an entry process, without starting it."""
        number = len(self.fronts) + 1
        ip = f"{self._block}.{10 + number}"
        path = self.temp / f"front-{number}.conf"
        seeds = ",".join(f"{self._block}.{10 + each}:8229" for each in (1, 2, 3))
        values = {
            "node_name": f"front-{number}",
            "role": "entry",
            "machine_class": "front",
            "zone": zone,
            "region": "region",
            "ip": ip,
            "listen.front": f"{ip}:8221",
            "listen.ready": f"{ip}:8224",
            "listen.control": f"{ip}:8229",
            "port_range": "7600,7615",
            "seeds": seeds,
            "bootstrap": "true",
            "platform.address": self.platform,
            "platform.form": "table",
            "cloud_api.address": self.platform,
            "cloud_api.duties": "usage,scaling",
            **settings,
        }
        path.write_text("".join(f"{key}={value}\n" for key, value in values.items()))
        front = Front(f"front-{number}", ip, f"{ip}:8221", f"{ip}:8224", path)
        self.fronts.append(front)
        return front

    def start_front(self, front: Front) -> None:
        """Start an entry process with the command of the deploy file."""
        env = {"PYTHONPATH": "target/deps", "FLAMINGOFRONT_BOOT": str(front.settings)}
        front.process = self._start(front.name, FRONT_COMMAND, env)

    def wait_until_ready(self, *fronts: Front) -> None:
        """Wait until entry processes report themselves ready."""
        for front in fronts or self.fronts:
            asyncio.run(self.wait_for(front.ready, "/api/ready"))

    async def wait_for(self, address: str, target: str) -> None:
        """Wait until a call to an address is answered with 200."""
        until = time.monotonic() + START_SECONDS
        while time.monotonic() < until:
            try:
                if (await wire.call(address, "GET", target)).status == 200:
                    return
            except (ConnectionError, OSError):
                pass
            await asyncio.sleep(0.05)
        raise CannotRunError(f"no answer from {address}")

    def read_runs(self) -> list[tuple[float, str, str, str]]:
        """Return the lines of all runners: time, event, request id and runner."""
        path = self.temp / "runs"
        lines = path.read_text().splitlines() if path.exists() else []
        found = [line.split(" ") for line in lines]
        return sorted((float(at), event, request, name) for at, event, request, name in found)

    def read_duties(self) -> list[dict]:
        """Return the calls for duties in the order of their arrival."""
        path = self.temp / "duties"
        return [json.loads(line) for line in path.read_text().splitlines()]

    def read_log(self, name: str) -> str:
        """Return what a process has written."""
        return (self.temp / f"{name}.log").read_text(errors="replace")


def read_memory_mb(front: Front) -> float:
    """Return the resident memory of an entry process in megabytes; 0 if it has ended."""
    if front.process.poll() is not None:
        return 0.0
    lines = Path(f"/proc/{front.process.pid}/status").read_text().splitlines()
    found = (line.split()[1] for line in lines if line.startswith("VmRSS:"))
    return int(next(found, 0)) / 1000


async def send(
    address: str,
    method: str,
    target: str,
    headers: dict[str, str],
    timeout: float,
    body: bytes = b"",
) -> Answer:
    """Send one request on a new channel and return the answer."""
    host, _, port = address.rpartition(":")
    try:
        reader, writer = await asyncio.open_connection(host, int(port))
    except OSError:
        return Answer(0)
    writer.write(wire.encode_request(method, target, headers, body))
    try:
        response = await asyncio.wait_for(wire.read_message(reader), timeout)
    except (TimeoutError, ConnectionError):
        return Answer(0)
    finally:
        writer.close()
    if response is None or not response.complete:
        return Answer(0, has_head=response is not None)
    return Answer(response.status, response.headers, response.body)


def _stop(signo: int, frame: object) -> None:
    raise CannotRunError(f"ended by signal {signo}")


def run_case(folder: Path, play) -> None:
    """Play a case and exit with 1 if the rule was broken, 0 if it held, 2 if it could not run."""
    # All processes are ended also if the case is ended, or takes too long.
    for signo in (signal.SIGTERM, signal.SIGALRM):
        signal.signal(signo, _stop)
    signal.alarm(MAX_SECONDS)
    try:
        with Rig(folder) as rig:
            is_broken = play(rig)
            rig.note("RULE BROKEN" if is_broken else "rule held")
    except Exception:
        traceback.print_exc()
        sys.exit(2)
    sys.exit(1 if is_broken else 0)
