#!/usr/bin/env python3
"""Soak of real processes whose holder of the leader lease ends again and again.

The process that called the cloud last, and others, are stopped, killed, frozen, throttled and
followed by another process of the same VM, right away or when the next call reaches a stage; two
ends overlap. Beside that the store is silent or slow, settings are reloaded, and the cloud accepts
late, answers late, is silent and resets. Exits with 1 if the cloud got a call that it may not see:
under a lower fencing token than one before about the same subject, under the token of another
process, or of holders in the order A, B, A within a lease. Prints one line for each play: "strict"
excuses nothing, "excused" leaves out calls within 0.3 s after a thaw and beside faults of the
cloud. "unheld" are the seconds from the end of a holder until a process may act again, from the log
lines; "uncalled" until the next call arrives.

    .venv/bin/python scripts/soak_leaders.py 1 --seconds 60 --processes 4
    .venv/bin/python scripts/soak_leaders.py 1 --only freeze --no-outages --lanes 1
"""

import json
import random
import statistics
import sys
import tempfile
import time
from datetime import datetime
from pathlib import Path

import defopt
from leader_faults import ENDS, LeaderFaults

from flamingofront.tests.leader_deployment import LeaderDeployment
from flamingofront.tests.leader_record import Violation

TRACE_SECONDS = 3.0
TRACED = (
    "leader lease acquired",
    "leader lease lost",
    "leader lease released",
    "scaling request sent",
    "scaling request failed",
    "usage reported",
    "usage report failed",
    "stopping",
)


def print_case(deployment: LeaderDeployment, case: Violation) -> None:
    """Print a violation with the log lines of both processes around it."""
    print(json.dumps(case.describe()))
    processes = {case.call.process, case.earlier.process}
    lines = [
        (line["time"], number, line)
        for number, line in deployment.read_lines(*TRACED)
        if number in processes and abs(read_time(line) - case.call.arrived_at) < TRACE_SECONDS
    ]
    for _, number, line in sorted(lines, key=lambda each: each[0]):
        print("   ", number, json.dumps(line))


def read_time(line: dict) -> float:
    """Return the time of a log line on the monotonic clock."""
    passed = time.time() - datetime.fromisoformat(line["time"]).timestamp()
    return time.monotonic() - passed


def find_unheld(deployment: LeaderDeployment) -> dict[str, list[float]]:
    """Return the seconds from the end of a holder until the next one may act, by kind of end."""
    found: dict[str, list[float]] = {}
    takeovers = sorted(
        (line["fencing"], read_time(line) + line.get("acts_in_ms", 0) / 1000)
        for _, line in deployment.read_lines("leader lease acquired")
    )
    for end in deployment.ends:
        acts_at = next((at for fencing, at in takeovers if fencing > end.fencing), None)
        thaws = deployment.thaws[end.process]
        if acts_at is None or any(end.at < each < acts_at for each in thaws):
            # The process went on before another one followed.
            continue
        if end.kind != "throttle":
            found.setdefault(end.kind, []).append(acts_at - end.at)
    return found


def summarize_times(times: dict[str, list[float]]) -> dict[str, list[float]]:
    """Return number, median and maximum of each kind."""
    return {
        kind: [len(each), round(statistics.median(each), 2), round(max(each), 2)]
        for kind, each in times.items()
    }


def main(
    seed: int,
    *,
    seconds: float = 60.0,
    processes: int = 4,
    lanes: int = 2,
    only: str = "",
    outages: bool = True,
    longest: float = 8.0,
    calm: float = 6.0,
    code: str = "",
    shown: int = 3,
) -> None:
    """Run the soak with one seed.

    :param seed: seed of the faults
    :param seconds: length of the soak
    :param processes: entry processes
    :param lanes: ends side by side
    :param only: the one kind of end that is played: stop, kill, freeze, throttle or overlap
    :param outages: let store and cloud fail, and reload settings
    :param longest: longest time in seconds for which a process stands still
    :param calm: seconds without faults at the end
    :param code: checkout from which the entry processes run
    :param shown: cases that are printed with their log lines
    """
    folder = Path(tempfile.mkdtemp())
    with LeaderDeployment(folder, processes, 1 + seed % 200, code) as deployment:
        ends = (only,) if only else ENDS
        rng = random.Random(seed)
        faults = LeaderFaults(deployment, rng, ends, lanes, outages, longest)
        faults.play_until(time.monotonic() + seconds)
        time.sleep(calm)
        record = deployment.make_record()
    found = record.find_violations({"thaw", "cloud"})
    for each in [*found, *record.find_violations({"cloud"})][:shown]:
        print_case(deployment, each)
    exceptions = deployment.read_lines("fault")
    summary = {
        "seed": seed,
        "processes": processes,
        "started": len(deployment.processes),
        **record.summarize(),
        "ended_holders": len(deployment.ends),
        "unheld": summarize_times(find_unheld(deployment)),
        "uncalled": summarize_times(record.find_uncalled(deployment.ends)),
        "faults": dict(faults.counts),
        "errors_of_play": faults.errors,
        "exceptions": len(exceptions),
        "logs": str(folder),
    }
    print(json.dumps(summary), flush=True)
    sys.exit(bool(found) or bool(exceptions) or bool(faults.errors))


if __name__ == "__main__":
    defopt.run(main)
