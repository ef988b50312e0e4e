#!/usr/bin/env python3
"""Soak of real processes whose endpoints fall silent beside planned work.

All or some endpoints keep their requests and send nothing for a while; meanwhile the configuration
changes, and entry processes are reloaded, stopped and started again one by one, two at once and in
series. Callers keep their connections, with streams that may and may not be resumed, idempotent
calls and writes. Exits with 1 if a request that an endpoint had, or that was read, got no whole
answer, unless its deadline came, or it was sent no later than 3 s after SIGTERM and the endpoint
was still at work in the last sixth of the grace. Each such case is printed with the lines that
name it.

    .venv/bin/python scripts/soak_silences.py 1 --seconds 75
    .venv/bin/python scripts/soak_silences.py 1 --calm
"""

import json
import random
import sys
import tempfile
import time
from pathlib import Path

import defopt
from refusal_record import LogLines
from silence_callers import SilenceCallers
from silence_faults import GRACE_SECONDS, SilenceFaults
from silence_record import SilenceRecord
from silent_endpoint import SOUND, SilentEndpoint
from soak_departures import ENDPOINT_PORTS, ZONES, count_exceptions
from soak_refusals import DeploymentInLoop
from try_lost_paths import ROOT

START_SECONDS = 3.0
CALM_SECONDS = 3.0
# Services of the endpoints, in turn.
SERVICES = ("engines", "records", "engines", "drafts", "engines", "archive")


def make_configuration() -> dict:
    """Return the example configuration with the routes and services of this play."""
    doc = json.loads((ROOT / "examples/forwarding.json").read_text())
    lookup, letter = doc["routes"]
    doc["routes"] += [
        {**lookup, "name": "order", "prefix": "/order/", "kind": "non_idempotent"},
        {**letter, "name": "query", "prefix": "/stream/query/", "resumable": False},
    ]
    for each in doc["routes"]:
        each["timeout_ms"] = 20000
    records, engines = doc["services"]
    doc["services"] += [{**records, "name": "archive"}, {**engines, "name": "drafts"}]
    return doc


class SilenceDeployment(DeploymentInLoop):
    """Deployment whose endpoints can fall silent.

    Parameters
    ----------
    slack : float
        Retries that all processes together may make in a window beyond the share of the requests.
    """

    port = 20000
    front_port = 20500

    def __init__(self, *args, document: dict, rng: random.Random, slack: float, code: str):
        configuration = args[0] / "configuration.json"
        configuration.write_text(json.dumps(document))
        super().__init__(*args, configuration=configuration, code=code)
        self._rng = rng
        self._slack = slack

    def add_endpoint(self) -> None:
        """Start an endpoint of one of the services."""
        number = next(self._numbers)
        endpoint = SilentEndpoint(
            f"e-{number}",
            SERVICES[number % len(SERVICES)],
            self.host,
            self.port + 1 + number % ENDPOINT_PORTS,
            random.Random(self._rng.random()),
            SOUND,
            lambda prompt, body: None,
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
            file.write(f"bounds.grace_s={GRACE_SECONDS}\nbounds.budget_slack={self._slack}\n")


def main(
    seed: int,
    *,
    seconds: float = 75.0,
    processes: int = 4,
    endpoints: int = 12,
    callers: int = 60,
    slack: float = 6.0,
    shortest: float = 1.0,
    longest: float = 4.0,
    calm: bool = False,
    code: str = "",
    network: int = 0,
    shown: int = 20,
) -> None:
    """Run the soak with one seed.

    :param seed: seed of the faults and of the callers
    :param seconds: length of the soak
    :param processes: entry processes
    :param endpoints: endpoints of all services
    :param callers: callers, each with one connection
    :param slack: retries within the budget beyond its share of the requests
    :param shortest: shortest silence in seconds
    :param longest: longest silence in seconds
    :param calm: play no silences
    :param code: checkout from which the entry processes run
    :param network: third number of the loopback addresses; from the seed if 0
    :param shown: cases of each kind that are printed
    """
    folder, rng = Path(tempfile.mkdtemp()), random.Random(seed)
    document = make_configuration()
    deployment = SilenceDeployment(
        *(folder, network or 1 + seed % 200, processes, endpoints),
        document=document,
        rng=rng,
        slack=slack,
        code=code,
    )
    with deployment:
        addresses = [(deployment.ip_of(each), deployment.front_port) for each in range(processes)]
        players = SilenceCallers(addresses, random.Random(rng.random()))
        silence = (0.0, 0.0) if calm else (shortest, longest)
        faults = SilenceFaults(deployment, players, document, rng, silence)
        time.sleep(START_SECONDS)
        end = time.monotonic() + seconds
        calls = deployment.start_in_loop(players.call_until(end + CALM_SECONDS, callers))
        faults.play_until(end)
        calls.result(60.0)
        arrivals = [each for endpoint in deployment.endpoints for each in endpoint.arrivals]
    record = SilenceRecord(
        players.attempts, arrivals, faults.work, faults.silences, LogLines(folder)
    )
    found = {
        "lost": record.lost(),
        "stream incomplete": record.incomplete(),
        "ended early": record.ended_early(),
        "not read": record.unread(),
    }
    for title, cases in found.items():
        for each in cases[:shown]:
            record.print_case(each, title)
    exceptions = count_exceptions(folder)
    summary = {
        "seed": seed,
        "processes": processes,
        "slack": slack,
        **record.counts(),
        "arrivals": len(arrivals),
        "faults": dict(faults.counts),
        "killed": len(faults.work.killed),
        "exceptions": exceptions,
        "errors_of_play": deployment.errors,
        "found": {title: record.describe(cases) for title, cases in found.items() if cases},
        "logs": str(folder),
    }
    print(json.dumps(summary), flush=True)
    is_broken = bool(found["lost"] or found["stream incomplete"])
    sys.exit(is_broken or bool(exceptions) or bool(deployment.errors))


if __name__ == "__main__":
    defopt.run(main)
