"""Store and entry processes that are stopped as the platform does, for `try_late_requests.py`."""

import base64
import http.client
import json
import os
import subprocess
import sys
import time
from pathlib import Path

from late_callers import ROUTES, ip_of
from late_endpoints import HOST_IP, PORT

__all__ = ["Deployment"]

BIN = Path(sys.executable).parent


class Deployment:
    """Store and entry processes; ends them when left.

    Parameters
    ----------
    version : int
        Version of the configuration that was written last.
    """

    def __init__(self, folder: Path, processes: int, grace: float):
        self._folder = folder
        self._grace = grace
        self._processes = processes
        self._children: list[subprocess.Popen] = []
        self.fronts: list[subprocess.Popen] = []
        self.version = 1

    def __enter__(self) -> "Deployment":
        config = self._folder / "configuration.json"
        config.write_text(json.dumps(self._make_configuration()))
        self._start("flamingofront-standin-store", "--bind", self.store, "--config", str(config))
        _wait_for(self.store, "/")
        for number in range(self._processes):
            self.fronts.append(self._run_front(number))
        return self

    def __exit__(self, *exc: object) -> None:
        for child in self._children:
            child.kill()
            child.wait()

    @property
    def store(self) -> str:
        """Address of the store."""
        return f"{HOST_IP}:{PORT}"

    def _make_configuration(self, factor: float = 1.0, more: int = 0) -> dict:
        routes = [
            {
                "name": name,
                "host": "desk.example",
                "prefix": prefix,
                "kind": kind,
                "service": service,
                "timeout_ms": round(1000 * factor * timeout),
                "latency_goal_ms": 800,
                "priority": 1,
                "max_attempts": 2,
                "resumable": name == "again",
            }
            for name, (prefix, kind, timeout, service) in ROUTES.items()
        ]
        spare = [{**routes[0], "name": f"r-{n}", "prefix": f"/spare-{n}/"} for n in range(more)]
        return {
            "version": self.version,
            "routes": routes + spare,
            "services": [
                {"name": "records", "max_conns": 500, "health_path": "/health"},
                {
                    "name": "engines",
                    "max_conns": 500,
                    "engine": {"slots": 64, "kv_capacity_tokens": 100_000},
                },
            ],
            "tenants": [
                {"name": "desk", "api_keys": ["key"], "priority": 1, "rate_per_s": 900, "burst": 90}
            ],
            "limits": {},
        }

    def write_configuration(self, factor: float, more: int) -> None:
        """Write a new version, with timeouts multiplied by a factor and further routes."""
        self.version += 1
        self._write("op", "config", self._make_configuration(factor, more))

    def register(self, name: str, service: str, address: str, zone: str) -> None:
        """Write the row of an endpoint."""
        row = {"service": service, "address": address, "zone": zone, "version": "v1"}
        row |= {"slots": 64, "state": "ready", "cold_left_ms": 0, "sequence": 1}
        self._write("servers", name, row)

    def _write(self, table: str, key: str, value: dict) -> None:
        data = base64.b64encode(json.dumps(value).encode()).decode()
        write = {"table": table, "part": "", "key": key, "value": data}
        body = json.dumps({"expected_rev": [], "writes": [write], "remove": []})
        conn = http.client.HTTPConnection(self.store, timeout=2.0)
        conn.request("POST", "/api/rows-tx", body)
        assert conn.getresponse().status == 200
        conn.close()

    def write_settings(self, number: int, grace: float) -> Path:
        """Write the settings file of an entry process and return its path."""
        ip = ip_of(number)
        values = {
            "node_name": f"front-{number}",
            "zone": f"zone-{'ab'[number % 2]}",
            "ip": ip,
            "listen.front": f"{ip}:{PORT + 100}",
            "listen.ready": f"{ip}:{PORT + 101}",
            "listen.control": f"{ip}:{PORT + 102}",
            "port_range": f"{PORT + 103},{PORT + 109}",
            "seeds": f"{ip_of(0)}:{PORT + 102}",
            "bootstrap": "true",
            "platform.address": self.store,
            "cloud_api.address": self.store,
            "bounds.grace_s": f"{grace:g}",
        }
        path = self._folder / f"front-{number}.conf"
        path.write_text("".join(f"{name}={value}\n" for name, value in values.items()))
        return path

    def _run_front(self, number: int) -> subprocess.Popen:
        settings = str(self.write_settings(number, self._grace))
        return self._start(
            "flamingofront-forward",
            "--metrics-port",
            str(PORT + 110),
            environment={**os.environ, "FLAMINGOFRONT_BOOT": settings},
            output=f"front-{number}",
        )

    def restart(self, number: int) -> None:
        """Start an entry process again that has ended."""
        self.fronts[number] = self._run_front(number)

    def is_ready(self, number: int) -> bool:
        """Return True if an entry process is ready."""
        return _fetch_status(f"{ip_of(number)}:{PORT + 101}", "/api/ready") == 200

    def _start(self, program: str, *words: str, environment=None, output="standins"):
        with open(self._folder / f"{output}.log", "a") as log:
            child = subprocess.Popen(
                [BIN / program, *words], stdout=log, stderr=log, env=environment
            )
        self._children.append(child)
        return child


def _fetch_status(address: str, path: str) -> int:
    conn = http.client.HTTPConnection(address, timeout=1.0)
    try:
        conn.request("GET", path)
        return conn.getresponse().status
    except OSError:
        return 0
    finally:
        conn.close()


def _wait_for(address: str, path: str) -> None:
    end = time.monotonic() + 20.0
    while not _fetch_status(address, path):
        if time.monotonic() > end:
            raise TimeoutError(f"{address} does not answer {path}")
        time.sleep(0.05)
