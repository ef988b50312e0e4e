#!/usr/bin/env python3
"""Soak of real processes in which nothing that was refused as not executed may ever run.

Callers send streams that may not be resumed, writes, and some requests that may be repeated.
Endpoints crash under prompt parts and bodies, refuse with and without a statement that they did not
run a request, fail, break off and end in groups; paths are reset; entry processes are killed,
stopped, suspended and started again, in series and side by side; the store fails. Exits with 1 if a
request that may run once was answered 408, 421, 429 or 503 and an endpoint had it, before or after,
or if one ran twice. Each such case is printed with the lines that name it.

    .venv/bin/python scripts/soak_refusals.py 7 --seconds 40 --processes 8
    .venv/bin/python scripts/soak_refusals.py 7 --only restart --unstated 0
"""

import asyncio
import json
import os
import random
import subprocess
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path

import defopt
from refusal_callers import Poison, RefusalCallers
from refusal_faults import CALM_SECONDS, GRACE_SECONDS, START_SECONDS, Faults
from refusal_record import LogLines, RefusalRecord
from refusing_endpoint import Behaviour, RefusingEndpoint
from soak_departures import ENDPOINT_PORTS, PORT, ZONES, Deployment, count_exceptions
from try_lost_paths import ROOT

USERS = 10
MAX_SHOWN = 6
NETWORKS = 50
FIRST_NETWORK = 180
DRAFT_ROUTE = {
    "host": "desk.example",
    "timeout_ms": 2500,
    "latency_goal_ms": 800,
    "priority": 1,
    "sticky": True,
}


def write_configuration(path: Path) -> Path:
    """Write the example configuration with routes whose requests may run once only."""
    doc = json.loads((ROOT / "examples/forwarding.json").read_text())
    kinds = (
        ("draft", "/stream/draft/", "stream", "engines", 1),
        ("query", "/stream/query/", "stream", "engines", 2),
        ("edit", "/edit/", "non_idempotent", "engines", 1),
        ("order", "/order/", "non_idempotent", "records", 2),
    )
    for name, prefix, kind, service, attempts in kinds:
        more = {"name": name, "prefix": prefix, "kind": kind, "service": service}
        doc["routes"].append({**DRAFT_ROUTE, **more, "max_attempts": attempts})
    doc["tenants"] = [
        {"name": "desk", "api_keys": ["demo-key"], "priority": 1},
        {"name": "small", "api_keys": ["small-key"], "rate_per_s": 12, "burst": 24},
        {"name": "tokens", "api_keys": ["token-key"], "unit": "tokens", "plain_tokens": 10}
        | {"rate_per_s": 120, "burst": 240},
    ]
    path.write_text(json.dumps(doc))
    return path


class DeploymentInLoop(Deployment):
    """Deployment whose endpoints run in the event loop of the play.

    Parameters
    ----------
    code : str
        Checkout from which the entry processes run; the installed one if empty.

    Attributes
    ----------
    errors : list of str
        Exceptions of the play itself.
    """

    def __init__(self, *args, configuration: Path, code: str):
        super().__init__(*args, configuration=configuration)
        self._code = code
        self.errors: list[str] = []
        self._loop.set_exception_handler(self._record_error)

    def _record_error(self, loop: asyncio.AbstractEventLoop, context: dict) -> None:
        exc = context.get("exception")
        if exc is not None and not isinstance(exc, OSError | EOFError):
            self.errors.append(repr(exc))

    def __enter__(self) -> "DeploymentInLoop":
        try:
            return super().__enter__()
        except BaseException:
            # What has been started would outlive the play.
            self.__exit__()
            raise

    def run_front(self, number: int) -> subprocess.Popen:
        """Start an entry process."""
        settings = self.folder / f"front-{number}.conf"
        environment = {**os.environ, "FLAMINGOFRONT_BOOT": str(settings)}
        if self._code:
            environment["PYTHONPATH"] = self._code
        return self._start("flamingofront-forward", [], environment, f"front-{number}")


class RefusalDeployment(DeploymentInLoop):
    """Deployment of the routes and endpoints of this play."""

    def __init__(self, *args, rng: random.Random, behaviour: Behaviour, poison: Poison, code: str):
        configuration = write_configuration(args[0] / "configuration.json")
        super().__init__(*args, configuration=configuration, code=code)
        self._rng = rng
        self._behaviour = behaviour
        self._poison = poison

    def add_endpoint(self) -> None:
        """Start an endpoint of one of the services, under a new id."""
        number = next(self._numbers)
        endpoint = RefusingEndpoint(
            f"e-{number}",
            "records" if number % 4 == 0 else "engines",
            self.host,
            PORT + 1 + number % ENDPOINT_PORTS,
            random.Random(self._rng.random()),
            self._behaviour,
            self._poison.draw_crash_seconds,
        )
        self.run_in_loop(endpoint.open())
        self.endpoints.append(endpoint)
        row = {
            "service": endpoint.service,
            "address": f"{self.host}:{endpoint.port}",
            "zone": ZONES[number // 2 % 2],
            "version": "v1",
            "slots": 64,
            "state": "ready",
            "cold_left_ms": 0,
            "sequence": 1,
        }
        self.write_rows({endpoint.name: row})

    def _write_settings(self, number: int, store_port: int) -> None:
        super()._write_settings(number, store_port)
        with open(self.folder / f"front-{number}.conf", "a") as file:
            file.write(f"bounds.grace_s={GRACE_SECONDS}\nbounds.quota_slack=40\n")
            file.write("bounds.budget_slack=40\n")


def main(
    seed: int,
    *,
    seconds: float = 40.0,
    processes: int = 8,
    rate: float = 10.0,
    endpoints: int = 16,
    poison: float = 0.12,
    sound: float = 0.25,
    stated: float = 0.08,
    unstated: float = 0.05,
    untrue: float = 0.0,
    lanes: int = 2,
    only: str = "",
    code: str = "",
    network: int = 0,
) -> None:
    """Run the soak with one seed.

    :param seed: seed of the faults and of the callers
    :param seconds: length of the soak
    :param processes: entry processes
    :param rate: requests a second at each entry process
    :param endpoints: endpoints that serve at any time
    :param poison: fraction of the requests that hold what crashes endpoints
    :param sound: fraction of these that run to their end all the same
    :param stated: fraction of the requests that endpoints refuse with a statement
    :param unstated: fraction of the requests that endpoints refuse after they have begun
    :param untrue: fraction of those that endpoints refuse with the statement though they have begun
    :param lanes: faults side by side
    :param only: the one fault that is played
    :param code: checkout from which the entry processes run
    :param network: third number of the loopback addresses; from the seed if 0
    """
    folder, rng = Path(tempfile.mkdtemp()), random.Random(seed)
    used = Poison(random.Random(rng.random()), poison, sound)
    network = network or FIRST_NETWORK + seed % NETWORKS
    args = (folder, network, processes, endpoints)
    with RefusalDeployment(
        *args,
        rng=rng,
        behaviour=Behaviour(stated=stated, unstated=unstated, untrue=untrue),
        poison=used,
        code=code,
    ) as deployment:
        addresses = [(deployment.ip_of(each), PORT + 1000) for each in range(processes)]
        callers = RefusalCallers(addresses, random.Random(rng.random()), used)
        faults = Faults(deployment, rng, used, only)
        time.sleep(START_SECONDS)
        end = time.monotonic() + seconds
        calls = deployment.start_in_loop(callers.call_until(end + CALM_SECONDS, rate, USERS))
        faults.play_until(end, lanes)
        calls.result(CALM_SECONDS + 30.0)
        arrivals = [each for endpoint in deployment.endpoints for each in endpoint.arrivals]
        crashes = sum(each.left_at is not None for each in deployment.endpoints)
    record, logs = RefusalRecord(callers.attempts, arrivals), LogLines(folder)
    found = {
        "refused though run": record.broken(),
        "run twice": record.repeated(),
        "answer to another request": record.mismatched(),
    }
    for title, cases in found.items():
        for each in cases[:MAX_SHOWN]:
            record.print_case(each, logs, title)
    exceptions = count_exceptions(folder)
    cases = [record.explain(each, logs) for each in found["refused though run"]]
    summary = {
        "seed": seed,
        "processes": processes,
        **record.counts(),
        "ended_endpoints": crashes,
        "faults": dict(faults.counts),
        "log_events": dict(logs.events),
        "exceptions": exceptions,
        "errors_of_play": deployment.errors,
        "broken": {title: len(cases) for title, cases in found.items()},
        "causes": dict(Counter(each["cause"] for each in cases)),
        "cases": cases,
        "logs": str(folder),
    }
    print(json.dumps(summary), flush=True)
    sys.exit(any(found.values()) or bool(exceptions) or bool(deployment.errors))


if __name__ == "__main__":
    defopt.run(main)
