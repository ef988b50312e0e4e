"""Entry processes on loopback of which one holds the leader lease, beside a recording cloud."""

import json
import os
import signal
import subprocess
import sys
import threading
import time
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

from flamingofront.tests.leader_cloud import CloudCall, CloudStage, RecordingCloud
from flamingofront.tests.leader_record import HolderEnd, LeaderRecord
from flamingofront.tests.memory_deployment import fetch

__all__ = ["EntryProcess", "LeaderDeployment", "wait_until"]

BIN = Path(sys.executable).parent
HOST = "127.0.0.1"
FIRST_PORT = 20100
ZONES = ("zone-a", "zone-b")
SERVICES = ("s-0", "s-1")
SUBJECTS = {"usage"} | {f"{service}@{zone}" for service in SERVICES for zone in ZONES}
START_SECONDS = 20.0
STEP_SECONDS = 0.01
# A byte that was sent before its sender was stopped has arrived after this time.
BYTE_SECONDS = 0.05


@dataclass(frozen=True)
class EntryProcess:
    """An entry process that was started.

    Parameters
    ----------
    number : int
        Number of the start.
    place : int
        Number of its VM.
    """

    number: int
    place: int
    name: str
    ip: str
    child: subprocess.Popen
    log: Path

    @property
    def is_alive(self) -> bool:
        """True until it has ended."""
        return self.child.poll() is None


class LeaderDeployment:
    """A store, a cloud and entry processes; ends all of them when left.

    Parameters
    ----------
    network : int
        Third number of the loopback addresses.
    code : str
        Checkout from which the entry processes run; the one of this play if empty.

    Attributes
    ----------
    processes : list of EntryProcess
        All that were started; the number of one is its index.
    current : dict of int to EntryProcess
        The process that was last started on each VM.
    ends : list of HolderEnd
        Ends of holders.
    """

    def __init__(self, folder: Path, processes: int = 4, network: int = 247, code: str = ""):
        self.folder = folder
        self.cloud = RecordingCloud()
        self.processes: list[EntryProcess] = []
        self.current: dict[int, EntryProcess] = {}
        self.thaws: defaultdict[int, list[float]] = defaultdict(list)
        self.ends: list[HolderEnd] = []
        self.store: subprocess.Popen | None = None
        self._count = processes
        self._network = network
        self._code = code
        self._store_address = ""
        self._lock = threading.Lock()

    def __enter__(self) -> "LeaderDeployment":
        try:
            self._start_store()
            for place in range(self._count):
                self.start(place)
            wait_until(lambda: self.cloud.calls, START_SECONDS)
        except BaseException:
            self.__exit__()
            raise
        return self

    def __exit__(self, *exc: object) -> None:
        self.cloud.close()
        children = [each.child for each in self.processes]
        for each in [*children, self.store]:
            if each is not None:
                each.kill()
                each.wait()
        if self.store is not None:
            self.store.stdout.close()

    def _start_store(self) -> None:
        config = self.folder / "configuration.json"
        config.write_text(json.dumps(make_configuration()))
        words = [BIN / "flamingofront-standin-store", "--bind", f"{HOST}:0", "--config", config]
        self.store = subprocess.Popen(words, stdout=subprocess.PIPE, text=True)
        self._store_address = self.store.stdout.readline().split()[-1]

    def ip_of(self, host: int) -> str:
        """Return a loopback address."""
        return f"127.1.{self._network}.{host + 1}"

    def start(self, place: int) -> EntryProcess:
        """Start an entry process on a VM whose last one has ended, at its address."""
        last = self.current.get(place)
        return self._start_at(place, self.ip_of(place) if last is None else last.ip)

    def start_beside(self, process: EntryProcess) -> EntryProcess:
        """Start the next process of a VM while this one has not ended, at another address."""
        own = self.ip_of(process.place)
        other = self.ip_of(process.place + self._count)
        return self._start_at(process.place, other if process.ip == own else own)

    def _start_at(self, place: int, ip: str) -> EntryProcess:
        with self._lock:
            return self._run(place, ip)

    def _run(self, place: int, ip: str) -> EntryProcess:
        number, name = len(self.processes), f"front-{place}"
        values = {
            "node_name": name,
            "zone": ZONES[place % len(ZONES)],
            "ip": ip,
            "listen.front": f"{ip}:{FIRST_PORT + 1}",
            "listen.ready": f"{ip}:{FIRST_PORT + 2}",
            "listen.control": f"{ip}:{FIRST_PORT + 3}",
            "port_range": f"{FIRST_PORT},{FIRST_PORT + 9}",
            "seeds": ",".join(f"{self.ip_of(each)}:{FIRST_PORT + 3}" for each in range(2)),
            "bootstrap": "true" if number < self._count else "false",
            "platform.address": self._store_address,
            "cloud_api.address": f"{HOST}:{self.cloud.open_port(number)}",
            "cloud_api.duties": "usage,scaling",
            "bounds.usage_window_s": "1",
            "bounds.grace_s": "8",
        }
        settings, log = self.folder / f"{number}.conf", self.folder / f"{number}.log"
        settings.write_text("".join(f"{key}={value}\n" for key, value in values.items()))
        environment = {**os.environ, "FLAMINGOFRONT_BOOT": str(settings)}
        if self._code:
            environment["PYTHONPATH"] = self._code
        with open(log, "w") as out:
            child = subprocess.Popen(
                [BIN / "flamingofront-forward", "--metrics-port", "0"],
                stdout=out,
                stderr=out,
                env=environment,
                cwd=self.folder,
            )
        process = EntryProcess(number, place, name, ip, child, log)
        self.processes.append(process)
        self.current[place] = process
        return process

    def wait_ready(self, process: EntryProcess) -> None:
        """Wait until a process knows its peers and the configuration."""
        wait_until(lambda: _fetch_status(f"{process.ip}:{FIRST_PORT + 2}"), START_SECONDS)

    def find_holder(self) -> EntryProcess:
        """Return the process that called the cloud last."""
        return self.processes[self.cloud.calls[-1].process]

    def note_end(self, kind: str, process: EntryProcess) -> None:
        """Record the end of a process if it is the holder."""
        if process is self.find_holder():
            fencing = max(each.fencing for each in self.cloud.calls)
            self.ends.append(HolderEnd(kind, process.number, fencing, time.monotonic()))

    def freeze(self, process: EntryProcess) -> None:
        """Stop a process (SIGSTOP)."""
        process.child.send_signal(signal.SIGSTOP)

    def thaw(self, process: EntryProcess) -> None:
        """Let a process go on that was stopped (SIGCONT)."""
        self.thaws[process.number].append(time.monotonic())
        process.child.send_signal(signal.SIGCONT)

    def catch(
        self, stage: CloudStage, action: Callable[[EntryProcess], None], seconds: float = 10.0
    ) -> CloudCall:
        """Act on the sender of the next call as soon as it reaches a stage; return the call.

        Raises
        ------
        TimeoutError
            If there is no call in time; nothing is done then.
        """
        caught: list[CloudCall] = []
        end = time.monotonic() + seconds

        def act(call: CloudCall) -> None:
            if time.monotonic() < end:
                action(self.processes[call.process])
                caught.append(call)

        self.cloud.act_once(stage, act)
        wait_until(lambda: caught, seconds)
        return caught[0]

    def freeze_before_first_byte(
        self, wanted: EntryProcess | None = None, seconds: float = 20.0
    ) -> EntryProcess:
        """Stop the holder when a connection was accepted and no byte has come; return it.

        Parameters
        ----------
        wanted : EntryProcess, optional
            The process that is stopped; whichever calls by default.

        Notes
        -----
        Its bytes follow within 0.1 ms, so that it is let go and stopped again if they were faster.

        Raises
        ------
        TimeoutError
            If it is not stopped in time.
        """

        def freeze(process: EntryProcess) -> None:
            if wanted in (None, process):
                self.freeze(process)

        end = time.monotonic() + seconds
        while True:
            call = self.catch(CloudStage.ACCEPTED, freeze, end - time.monotonic())
            process = self.processes[call.process]
            if wanted in (None, process):
                time.sleep(BYTE_SECONDS)
                if not call.first_byte_at:
                    return process
                self.thaw(process)

    def successor_acts(self, process: EntryProcess, seconds: float = 15.0) -> None:
        """Wait until other processes have called the cloud about each subject."""
        known = len(self.cloud.calls)

        def has_acted() -> bool:
            later = self.cloud.calls[known:]
            return {each.subject for each in later if each.process != process.number} >= SUBJECTS

        wait_until(has_acted, seconds)

    def make_record(self) -> LeaderRecord:
        """Return the record of all calls until now."""
        return LeaderRecord(list(self.cloud.calls), self.thaws, self.cloud.list_disturbances())

    def read_lines(self, *events: str) -> list[tuple[int, dict]]:
        """Return the log lines of these events with the numbers of their processes."""
        lines = []
        for each in self.processes:
            for line in each.log.read_text(errors="replace").splitlines():
                if line.startswith("{") and (data := json.loads(line))["event"] in events:
                    lines.append((each.number, data))
        return lines


def make_configuration() -> dict:
    """Return a configuration whose services cause scaling requests in each zone all the time."""
    scaling = {"min": 1, "max": 3, "boot_time_s": 0.2, "spot_price": 0.2}
    scaling["zone_prices"] = {zone: 1.0 for zone in ZONES}
    route = {"kind": "idempotent", "timeout_ms": 4000, "latency_goal_ms": 400, "priority": 1}
    route |= {"host": "desk.example", "max_attempts": 2}
    return {
        "version": 1,
        "routes": [{**route, "name": e, "prefix": f"/{e}/", "service": e} for e in SERVICES],
        "services": [
            {"name": each, "max_conns": 100, "health_path": "/health", "scaling": scaling}
            for each in SERVICES
        ],
        "tenants": [{"name": "desk", "api_keys": ["key"], "priority": 1}],
        "limits": {},
    }


def wait_until(condition: Callable[[], object], seconds: float) -> None:
    """Wait until something is true.

    Raises
    ------
    TimeoutError
        If it is not true in time.
    """
    end = time.monotonic() + seconds
    while not condition():
        if time.monotonic() > end:
            raise TimeoutError(f"not within {seconds} s")
        time.sleep(STEP_SECONDS)


def _fetch_status(address: str) -> int:
    try:
        return fetch(address, "GET", "/api/ready")[0]
    except OSError:
        return 0
