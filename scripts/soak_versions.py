#!/usr/bin/env python3
"""Soak of real processes with streams of two versions, and an oracle over all events of callers.

Entry processes are killed, stopped, suspended and reloaded in overlapping series, endpoints are
killed and replaced at their address by one of either version, and endpoints break off a tenth of
their runs, while callers resume their streams. Exits with 1 if a stream has events of two versions,
an event twice or out of order, or looks complete without being whole.

    .venv/bin/python scripts/soak_versions.py 7 --seconds 30
"""

import contextlib
import itertools
import json
import random
import signal
import sys
import tempfile
import threading
import time
from collections import Counter
from pathlib import Path

import defopt
from try_versions import ENDPOINTS, VERSIONS, Deployment, StreamCaller, find_wrong_streams

PROCESSES = 5


class Faults:
    """Random faults of one deployment, in overlapping series."""

    def __init__(self, deployment: Deployment, rng: random.Random):
        self._deployment = deployment
        self._rng = rng
        self._busy: set[int] = set()
        self._threads: list[threading.Thread] = []
        self._numbers = itertools.count(100)
        self.counts: Counter[str] = Counter()
        self.errors: list[str] = []

    def run_until(self, end: float) -> None:
        """Cause faults until a time, then wait until all processes run again."""
        try:
            self._run_until(end)
        except Exception as exc:  # the callers go on, so that it must not pass unseen
            self.errors.append(repr(exc))

    def _run_until(self, end: float) -> None:
        actions = (self._kill, self._kill, self._stop, self._suspend, self._reload, self._replace)
        while time.monotonic() < end:
            action = self._rng.choice(actions)
            self.counts[action.__name__.strip("_")] += 1
            action()
            time.sleep(0.3 + 0.9 * self._rng.random())
        for thread in self._threads:
            thread.join()

    def _pick(self) -> int | None:
        """Return an undisturbed entry process, as long as two others are left."""
        free = [each for each in range(PROCESSES) if each not in self._busy]
        return self._rng.choice(free) if len(free) > 2 else None

    def _in_background(self, work, *args) -> None:
        front = self._pick()
        if front is None:
            return
        self._busy.add(front)

        def run() -> None:
            work(front, *args)
            self._busy.discard(front)

        thread = threading.Thread(target=run)
        thread.start()
        self._threads.append(thread)

    def _kill(self) -> None:
        self._in_background(self._restart, signal.SIGKILL)

    def _stop(self) -> None:
        self._in_background(self._restart, signal.SIGTERM)

    def _restart(self, front: int, signo: int) -> None:
        self._deployment.fronts[front].send_signal(signo)
        self._deployment.restart_front(front)

    def _suspend(self) -> None:
        self._in_background(self._suspend_for, 0.3 + 2 * self._rng.random())

    def _suspend_for(self, front: int, seconds: float) -> None:
        process = self._deployment.fronts[front]
        process.send_signal(signal.SIGSTOP)
        time.sleep(seconds)
        process.send_signal(signal.SIGCONT)

    def _reload(self) -> None:
        front = self._pick()
        if front is not None:
            self._deployment.fronts[front].send_signal(signal.SIGHUP)

    def _replace(self) -> None:
        """Kill an endpoint, and start one of either version at its address."""
        row, number = self._rng.randrange(len(VERSIONS)), self._rng.randrange(ENDPOINTS)
        endpoints = self._deployment.endpoints[VERSIONS[row]]
        endpoints[number].kill()
        endpoints[number].wait()
        version = self._rng.choice(VERSIONS)
        offset = ENDPOINTS * row + number
        endpoints[number] = self._deployment.start_endpoint(version, offset, next(self._numbers))


def _count_exceptions(folder: Path) -> int:
    """Return the number of unhandled exceptions in the logs of the entry processes."""
    count = 0
    for number in range(PROCESSES):
        for line in (folder / f"front-{number}.log").read_text().splitlines():
            with contextlib.suppress(ValueError):
                count += json.loads(line).get("event") == "fault"
    return count


def main(seed: int, *, seconds: float = 30.0, rate: float = 12.0) -> None:
    """Run the soak with one seed.

    :param seed: seed of the faults and of the callers' choices
    :param seconds: time with faults
    :param rate: streams that begin in a second
    """
    folder = Path(tempfile.mkdtemp())
    rng = random.Random(seed)
    callers: list[StreamCaller] = []
    with Deployment(folder, PROCESSES, 0.1) as deployment:
        time.sleep(1.0)
        faults = Faults(deployment, random.Random(seed + 1))
        end = time.monotonic() + seconds
        disturber = threading.Thread(target=faults.run_until, args=(end,))
        disturber.start()
        while time.monotonic() < end:
            fronts = list(range(PROCESSES))
            caller = StreamCaller(
                len(callers), rng.choice(fronts), fronts, random.Random(rng.random()), True
            )
            callers.append(caller)
            caller.start()
            time.sleep(rng.expovariate(rate))
        disturber.join()
        for caller in callers:
            caller.join(20.0)
    wrong = find_wrong_streams(callers)
    exceptions = _count_exceptions(folder)
    resumed = [each for each in callers if len(each.tries) > 1]
    went_on = sum(any(again.events for again in each.tries[1:]) for each in resumed)
    statuses = Counter(again.status for each in resumed for again in each.tries[1:])
    print(
        f"seed {seed}: {len(callers)} streams, {sum(bool(each.events) for each in callers)} began, "
        f"{sum(each.is_whole for each in callers)} whole; {went_on} of {len(resumed)} resumed ones "
        f"went on {dict(statuses)}; faults {dict(faults.counts)}; {exceptions} exceptions; "
        f"{len(wrong)} streams not in order or of two versions",
        *faults.errors,
        *[
            str([(again.front, again.status, again.events) for again in each.tries])
            for each in wrong[:2]
        ],
        f"logs in {folder}",
        sep="; ",
    )
    sys.exit(bool(wrong) or bool(exceptions) or bool(faults.errors))


if __name__ == "__main__":
    defopt.run(main)
