#!/usr/bin/env python3
"""Real entry processes on loopback before endpoints that say in their answers what they accept.

Starts a store, endpoints and entry processes, offers requests, and compares what reached each
endpoint with what it allows. Exits with 1 if one got more. Run it in the project's environment:

    .venv/bin/python scripts/try_endpoint_answers.py limits    # rates that they take from all
    .venv/bin/python scripts/try_endpoint_answers.py leaving   # one that leaves, its row ready
    .venv/bin/python scripts/try_endpoint_answers.py pauses    # refusals with a time to stay away
"""

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
from abc import ABC, abstractmethod
from dataclasses import dataclass, field
from pathlib import Path

import defopt

ROOT = Path(__file__).resolve().parents[1]
BIN = Path(sys.executable).parent
WINDOW_SECONDS = 4.0
NOTICE_SECONDS = 3.0
START_SECONDS = 20.0
CALLERS = 24
PORT = 18380


@dataclass(frozen=True)
class Arrival:
    """A request that reached an endpoint."""

    at: float
    refused: bool


@dataclass
class Endpoint:
    """An endpoint process and the requests that reached it."""

    name: str
    child: subprocess.Popen
    arrivals: list[Arrival] = field(default_factory=list)

    def read(self) -> None:
        """Take the lines of the process until it ends."""
        for line in self.child.stdout:
            word, _, rest = line.partition(" ")
            if word == "arrival":
                at, outcome, *_ = rest.split()
                self.arrivals.append(Arrival(float(at), outcome == "refused"))

    def times_from(self, seconds: float) -> list[float]:
        """Return the times of the arrivals from some seconds after the first one on."""
        return [each.at for each in self.arrivals if each.at >= self.arrivals[0].at + seconds]


class Behaviour(ABC):
    """What an endpoint asks of its clients, and how much beyond it is allowed."""

    @abstractmethod
    def flags(self) -> list[str]:
        """Return the flags of the stand-in."""

    @abstractmethod
    def violations(self, endpoint: Endpoint) -> tuple[int, int]:
        """Return the requests that violate it, and the most that are allowed."""


@dataclass(frozen=True)
class RateLimit(Behaviour):
    """At most a rate from all processes together, in any window."""

    rate: float

    def flags(self) -> list[str]:
        """Return the flags of the stand-in."""
        return ["--rate-limit", f"{self.rate:g}"]

    def violations(self, endpoint: Endpoint) -> tuple[int, int]:
        """Return the most requests in a window, and the most that are allowed."""
        late = endpoint.times_from(NOTICE_SECONDS)
        windows = (sum(at <= each < at + WINDOW_SECONDS for each in late) for at in late)
        return max(windows, default=0), int(1.5 * self.rate * WINDOW_SECONDS) + 5


@dataclass(frozen=True)
class Leaving(Behaviour):
    """Nothing any more, though the row says ready."""

    def flags(self) -> list[str]:
        """Return the flags of the stand-in."""
        return ["--leaving"]

    def violations(self, endpoint: Endpoint) -> tuple[int, int]:
        """Return the requests later than two seconds after the first one."""
        return len(endpoint.times_from(2.0)), 0


@dataclass(frozen=True)
class Pause(Behaviour):
    """Nothing of a process for a while after a refusal; for one entry process."""

    share: float
    seconds: float

    def flags(self) -> list[str]:
        """Return the flags of the stand-in."""
        return ["--reject", f"{self.share:g}", "--retry-after", f"{self.seconds:g}"]

    def violations(self, endpoint: Endpoint) -> tuple[int, int]:
        """Return the most requests in a pause, from half a second after its begin."""
        begins = [each.at for each in endpoint.arrivals if each.refused]
        pauses = (
            sum(at + 0.5 < each.at <= at + self.seconds for each in endpoint.arrivals)
            for at in begins
        )
        return max(pauses, default=0), 2


@dataclass(frozen=True)
class Nothing(Behaviour):
    """An endpoint that asks for nothing."""

    def flags(self) -> list[str]:
        """Return no flags."""
        return []

    def violations(self, endpoint: Endpoint) -> tuple[int, int]:
        """Return that nothing violates it."""
        return 0, 0


# Behavioures of the endpoints, and the number of entry processes, by kind.
KINDS: dict[str, tuple[list[Behaviour], int]] = {
    "limits": ([RateLimit(1.0), RateLimit(5.0), RateLimit(20.0)], 5),
    "leaving": ([Leaving(), Nothing(), Nothing()], 5),
    "pauses": ([Pause(0.25, 3.0), Pause(1.0, 1.5), Nothing()], 1),
}


class Deployment:
    """All processes; ends them when left."""

    def __init__(self, folder: Path):
        self._folder = folder
        self._children: list[subprocess.Popen] = []
        self.endpoints: list[Endpoint] = []
        self.store = f"127.0.0.1:{PORT}"

    def __enter__(self) -> "Deployment":
        words = ["--bind", self.store, "--config", str(ROOT / "examples/forwarding.json")]
        self._start("flamingofront-standin-store", words)
        _wait_for(self.store)
        return self

    def __exit__(self, *exc: object) -> None:
        for child in self._children:
            child.terminate()
        for child in self._children:
            child.wait()

    def _start(self, program: str, words: list[str], **more: object) -> subprocess.Popen:
        with open(self._folder / "errors.log", "a") as errors:
            child = subprocess.Popen([BIN / program, *words], stderr=errors, **more)
        self._children.append(child)
        return child

    def endpoint(self, number: int, behaviour: Behaviour) -> None:
        """Start an endpoint of the plain service."""
        name = f"plain-{number}"
        words = ["--bind", f"127.0.0.1:{PORT + number}", "--store", self.store, "--gap", "0.02"]
        words += ["--endpoint-id", name, "--log-arrivals", *behaviour.flags()]
        child = self._start(
            "flamingofront-standin-endpoint", words, stdout=subprocess.PIPE, text=True
        )
        endpoint = Endpoint(name, child)
        self.endpoints.append(endpoint)
        threading.Thread(target=endpoint.read, daemon=True).start()

    def front(self, number: int) -> str:
        """Start an entry process and return the address for callers."""
        ip = f"127.0.0.{number}"
        settings = self._folder / f"front-{number}.conf"
        values = {
            "node_name": f"front-{number}",
            "zone": f"zone-{'abc'[number % 3]}",
            "ip": ip,
            "listen.front": f"{ip}:{PORT + 100}",
            "listen.ready": f"{ip}:{PORT + 101}",
            "listen.control": f"{ip}:{PORT + 102}",
            "port_range": f"{PORT + 103},{PORT + 109}",
            "seeds": f"127.0.0.1:{PORT + 102}",
            "bootstrap": "true",
            "platform.address": self.store,
            "cloud_api.address": self.store,
        }
        settings.write_text("".join(f"{name}={value}\n" for name, value in values.items()))
        with open(self._folder / f"front-{number}.log", "w") as log:
            environment = {**os.environ, "FLAMINGOFRONT_BOOT": str(settings)}
            self._start("flamingofront-forward", [], stdout=log, env=environment)
        return f"{ip}:{PORT + 100}"


def _wait_for(address: str, path: str = "") -> None:
    """Wait until an address answers, with 200 if a path is given."""
    host, _, port = address.partition(":")
    end = time.monotonic() + START_SECONDS
    while time.monotonic() < end:
        try:
            if not path:
                socket.create_connection((host, int(port)), 1.0).close()
                return
            conn = http.client.HTTPConnection(address, timeout=1.0)
            conn.request("GET", path)
            if conn.getresponse().status == 200:
                return
        except OSError:
            pass
        time.sleep(0.1)
    raise SystemExit(f"{address} did not answer within {START_SECONDS:g} s")


def _call(address: str, number: int) -> int:
    conn = http.client.HTTPConnection(address, timeout=5.0)
    fields = {"Host": "desk.example", "Authorization": "Bearer demo-key"}
    fields["X-Flamingofront-Request-Id"] = f"r{number}"
    try:
        conn.request("GET", f"/lookup/{number}", headers=fields)
        res = conn.getresponse()
        res.read()
        return res.status
    except OSError:
        return 0
    finally:
        conn.close()


def _offer(addresses: list[str], load: float, seconds: float) -> list[int]:
    """Send requests at random times from some callers; return the statuses."""
    statuses: list[int] = []
    end = time.monotonic() + seconds

    def caller(seed: int) -> None:
        rng = random.Random(seed)
        due = time.monotonic()
        while due < end:
            due += rng.expovariate(load / CALLERS)
            time.sleep(max(0.0, due - time.monotonic()))
            statuses.append(_call(rng.choice(addresses), rng.randrange(1 << 40)))

    threads = [threading.Thread(target=caller, args=(seed,)) for seed in range(CALLERS)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return statuses


def main(kind: str, *, processes: int = 0, load: float = 60.0, seconds: float = 15.0) -> None:
    """Offer requests through real entry processes to endpoints that say what they accept.

    :param kind: limits, leaving or pauses
    :param processes: entry processes; 0 for the usual number of the kind
    :param load: requests a second that are offered in all
    :param seconds: time for which they are offered
    """
    if kind not in KINDS:
        raise SystemExit(f"no kind {kind!r}; kinds are {', '.join(KINDS)}")
    behaviours, usual = KINDS[kind]
    folder = Path(tempfile.mkdtemp())
    with Deployment(folder) as deployment:
        for number, behaviour in enumerate(behaviours, 1):
            deployment.endpoint(number, behaviour)
        addresses = [deployment.front(number) for number in range(1, (processes or usual) + 1)]
        for address in addresses:
            _wait_for(address.replace(str(PORT + 100), str(PORT + 101)), "/api/ready")
        statuses = _offer(addresses, load, seconds)
    counts = {status: statuses.count(status) for status in sorted(set(statuses))}
    print(json.dumps({"statuses": counts, "logs": str(folder)}))
    is_kept = True
    for behaviour, each in zip(behaviours, deployment.endpoints, strict=True):
        got, allowed = behaviour.violations(each)
        is_kept &= got <= allowed
        requests = f"{len(each.arrivals)} requests, {got} violations, {allowed} allowed"
        print(f"{each.name}: {behaviour}: {requests}")
    sys.exit(not is_kept)


if __name__ == "__main__":
    defopt.run(main)
