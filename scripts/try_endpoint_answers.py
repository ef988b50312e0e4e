#!/usr/bin/env python3
"""Real entry processes on loopback before endpoints that name the rate that they take from all.

Starts a store, endpoints and entry processes, offers requests, and compares what reached each
endpoint with what it bears. Exits with 1 if one got more. Run it in the project's environment.
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
from collections.abc import Sequence
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


@dataclass
class Endpoint:
    """An endpoint process and the times at which requests reached it."""

    name: str
    rate: float
    child: subprocess.Popen
    arrivals: list[float] = field(default_factory=list)

    def read(self) -> None:
        """Take the lines of the process until it ends."""
        for line in self.child.stdout:
            word, _, at = line.partition(" ")
            if word == "arrival":
                self.arrivals.append(float(at))

    def most(self) -> int:
        """Return the most arrivals within a window, once the limit has to be kept."""
        late = [at for at in self.arrivals if at >= self.arrivals[0] + NOTICE_SECONDS]
        windows = (sum(at <= each < at + WINDOW_SECONDS for each in late) for at in late)
        return max(windows, default=0)

    @property
    def borne(self) -> int:
        """Return the most that it bears within a window."""
        return int(1.5 * self.rate * WINDOW_SECONDS) + 5


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

    def endpoint(self, number: int, rate: float) -> None:
        """Start an endpoint of the plain service."""
        name = f"plain-{number}"
        words = ["--bind", f"127.0.0.1:{PORT + number}", "--store", self.store, "--gap", "0.02"]
        words += ["--endpoint-id", name, "--rate-limit", f"{rate:g}", "--log-arrivals"]
        child = self._start(
            "flamingofront-standin-endpoint", words, stdout=subprocess.PIPE, text=True
        )
        endpoint = Endpoint(name, rate, child)
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


def main(
    *,
    processes: int = 5,
    rates: Sequence[float] = (1.0, 5.0, 20.0),
    load: float = 60.0,
    seconds: float = 15.0,
) -> None:
    """Offer requests to limited endpoints through real entry processes.

    :param processes: entry processes
    :param rates: requests a second that each endpoint takes from all of them
    :param load: requests a second that are offered in all
    :param seconds: time for which they are offered
    """
    folder = Path(tempfile.mkdtemp())
    with Deployment(folder) as deployment:
        for number, rate in enumerate(rates, 1):
            deployment.endpoint(number, rate)
        addresses = [deployment.front(number) for number in range(1, processes + 1)]
        for address in addresses:
            _wait_for(address.replace(str(PORT + 100), str(PORT + 101)), "/api/ready")
        statuses = _offer(addresses, load, seconds)
    counts = {status: statuses.count(status) for status in sorted(set(statuses))}
    print(json.dumps({"statuses": counts, "logs": str(folder)}))
    for each in deployment.endpoints:
        used = len(each.arrivals) / (each.rate * seconds)
        print(f"{each.name}: {each.rate:g} a second, most {each.most()} of {each.borne}", end="")
        print(f" in {WINDOW_SECONDS:g} s, {used:.2f} of the rate used")
    sys.exit(any(each.most() > each.borne for each in deployment.endpoints))


if __name__ == "__main__":
    defopt.run(main)
