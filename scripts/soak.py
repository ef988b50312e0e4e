#!/usr/bin/env python3
"""Soak of real entry processes: random faults from outside, and an oracle over all requests.

Paths from each process to each endpoint fail one by one, processes are killed, stopped, suspended
and reloaded in overlapping series, while callers use their open connections until these are closed.
Exits with 1 if a request that may run once ran twice, if one that was refused ran, if one was not
answered in time by an undisturbed process, or if requests fail after all faults have ended.

    .venv/bin/python scripts/soak.py 7 --seconds 60
"""

import contextlib
import http.client
import json
import random
import signal
import sys
import tempfile
import threading
import time
from collections import Counter, defaultdict
from dataclasses import dataclass
from pathlib import Path

import defopt
from try_lost_paths import DEADLINE_MS, FAULTS, PORT, Deployment

FRONTS, ENDPOINTS = 5, 4
# An answer may be later than its deadline by this much on a busy machine.
LATE_SECONDS = 1.5
# A disturbance of a process excuses its requests for so long before and after.
DISTURBED_SECONDS = 4.0
CALM_SECONDS = 5.0
STOP_SECONDS = 9.0
NOT_RUN_STATUSES = (408, 421, 429, 503)
MIN_CALM_SHARE = 0.98


@dataclass(frozen=True)
class Result:
    """Outcome of one request; status 0 if the connection ended without a response."""

    request_id: str
    front: int
    sent_at: float
    ended_at: float
    is_write: bool
    status: int


class Soak:
    """Callers and faults around one deployment."""

    def __init__(self, deployment: Deployment, rng: random.Random):
        self._deployment = deployment
        self._rng = rng
        self.results: list[Result] = []
        self.disturbed: dict[int, list[float]] = defaultdict(list)
        self.faults: Counter[str] = Counter()
        self.errors: list[str] = []
        self._busy: set[int] = set()
        self._threads: list[threading.Thread] = []

    def call_for(self, seconds: float, rate: float) -> None:
        """Send requests on kept connections to all processes."""
        end = time.monotonic() + seconds
        threads = [
            threading.Thread(
                target=self._run_caller, args=(front, rate / 3, end, self._rng.random())
            )
            for front in range(FRONTS)
            for _ in range(3)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()

    def _run_caller(self, front: int, rate: float, end: float, seed: float) -> None:
        rng, conn = random.Random(seed), None
        due = time.monotonic()
        while due < end:
            due += rng.expovariate(rate)
            time.sleep(max(0.0, due - time.monotonic()))
            if conn is None:
                address = f"127.0.1.{front + 1}:{PORT + 100}"
                conn = http.client.HTTPConnection(address, timeout=8.0)
            if not self._call(conn, front, rng):
                conn.close()
                conn = None

    def _call(self, conn: http.client.HTTPConnection, front: int, rng: random.Random) -> bool:
        """Send one request; return True if the connection may be used again."""
        is_write = rng.random() < 1 / 3
        request_id = f"r{rng.getrandbits(64):016x}"
        fields = {
            "Host": "desk.example",
            "Authorization": "Bearer demo-key",
            "X-Flamingofront-Deadline-Ms": str(DEADLINE_MS),
            "X-Flamingofront-Request-Id": request_id,
        }
        sent_at, status, is_kept = time.monotonic(), 0, False
        try:
            if is_write:
                conn.request("POST", "/order/1", b"x", fields)
            else:
                conn.request("GET", "/lookup/1", headers=fields)
            res = conn.getresponse()
            res.read()
            status, is_kept = res.status, not res.will_close
        except (OSError, http.client.HTTPException):
            is_kept = False
        now = time.monotonic()
        self.results.append(Result(request_id, front, sent_at, now, is_write, status))
        return is_kept

    def disturb_until(self, end: float) -> None:
        """Cause random faults until a time; an exception of the script is kept for the report."""
        try:
            self._disturb_until(end)
        except Exception as exc:  # the callers go on, so that it must not pass unseen
            self.errors.append(repr(exc))

    def _disturb_until(self, end: float) -> None:
        actions = (
            self._fail_some_paths,
            self._fail_all_paths,
            self._heal,
            self._kill,
            self._stop,
            self._suspend,
            self._reload,
            self._suspend_endpoint,
        )
        while time.monotonic() < end:
            action = self._rng.choice(actions)
            self.faults[action.__name__.strip("_")] += 1
            action()
            time.sleep(0.2 + 0.8 * self._rng.random())
        for thread in self._threads:
            thread.join()
        for process in self._deployment.endpoint_processes:
            process.send_signal(signal.SIGCONT)
        self._deployment.heal(list(range(FRONTS)))
        self._deployment.wait_ready()

    def _pick_front(self) -> int | None:
        free = [each for each in range(FRONTS) if each not in self._busy]
        return self._rng.choice(free) if len(free) > 2 else None

    def _in_background(self, front: int, work, *args) -> None:
        self._busy.add(front)
        self.disturbed[front].append(time.monotonic())

        def run() -> None:
            work(front, *args)
            self.disturbed[front].append(time.monotonic())
            self._busy.discard(front)

        thread = threading.Thread(target=run)
        thread.start()
        self._threads.append(thread)

    def _fail_some_paths(self) -> None:
        fault = self._rng.choice(FAULTS)
        for endpoint in self._rng.sample(range(ENDPOINTS), 2):
            self._deployment.fail_path(self._rng.randrange(FRONTS), endpoint, fault)

    def _fail_all_paths(self) -> None:
        fronts = self._rng.sample(range(FRONTS), self._rng.randrange(1, FRONTS))
        self._deployment.fail(fronts, self._rng.choice(FAULTS))

    def _heal(self) -> None:
        self._deployment.heal(list(range(FRONTS)))

    def _kill(self) -> None:
        front = self._pick_front()
        if front is not None:
            self._in_background(front, self._restart, signal.SIGKILL)

    def _stop(self) -> None:
        front = self._pick_front()
        if front is not None:
            self._in_background(front, self._restart, signal.SIGTERM)

    def _restart(self, front: int, signo: int) -> None:
        self._deployment.front_processes[front].send_signal(signo)
        self._deployment.restart_front(front)
        time.sleep(1.0)

    def _suspend(self) -> None:
        front = self._pick_front()
        if front is not None:
            seconds = 0.3 + 2 * self._rng.random()
            self._in_background(front, self._suspend_for, seconds)

    def _suspend_for(self, front: int, seconds: float) -> None:
        process = self._deployment.front_processes[front]
        process.send_signal(signal.SIGSTOP)
        time.sleep(seconds)
        process.send_signal(signal.SIGCONT)

    def _reload(self) -> None:
        front = self._pick_front()
        if front is not None:
            self._deployment.front_processes[front].send_signal(signal.SIGHUP)

    def _suspend_endpoint(self) -> None:
        process = self._rng.choice(self._deployment.endpoint_processes)
        process.send_signal(signal.SIGSTOP)
        threading.Timer(1.2, lambda: process.send_signal(signal.SIGCONT)).start()

    def is_disturbed(self, result: Result) -> bool:
        """Return True if the process of a request was disturbed about its time."""
        first, last = result.sent_at - DISTURBED_SECONDS, result.ended_at + DISTURBED_SECONDS
        times = self.disturbed[result.front]
        begins, ends = times[::2], times[1::2]
        return any(
            begin <= last and first <= end + STOP_SECONDS
            for begin, end in zip(begins, ends, strict=True)
        )


def _read_runs(folder: Path) -> Counter[str]:
    """Return how often each request id was taken by an endpoint."""
    runs: Counter[str] = Counter()
    for number in range(ENDPOINTS):
        for line in (folder / f"plain-{number}.log").read_text().splitlines():
            words = line.split()
            if len(words) == 4 and words[0] == "arrival" and words[2] == "taken":
                runs[words[3]] += 1
    return runs


def _find_violations(soak: Soak, runs: Counter[str]) -> list[str]:
    found = [f"the soak itself failed: {each}" for each in soak.errors]
    for each in soak.results:
        ran = runs[each.request_id]
        if each.is_write and ran > 1:
            found.append(f"write {each.request_id} ran {ran} times")
        if each.is_write and each.status in NOT_RUN_STATUSES and ran:
            found.append(f"write {each.request_id} got {each.status} and ran")
        if each.status == 200 and not ran:
            found.append(f"{each.request_id} got 200 and did not run")
        seconds = each.ended_at - each.sent_at
        is_late = seconds > DEADLINE_MS / 1000 + LATE_SECONDS
        if (is_late or not each.status) and not soak.is_disturbed(each):
            found.append(f"{each.request_id} at front-{each.front}: {each.status}, {seconds:.2f} s")
    return found


def _count_faults(folder: Path) -> int:
    """Return the number of unhandled exceptions in the logs of the entry processes."""
    count = 0
    for number in range(FRONTS):
        for line in (folder / f"front-{number}.log").read_text().splitlines():
            with contextlib.suppress(ValueError):
                count += json.loads(line).get("event") == "fault"
    return count


def main(seed: int, *, seconds: float = 60.0, rate: float = 9.0) -> None:
    """Run the soak with one seed.

    :param seed: seed of the faults and the requests
    :param seconds: time with faults
    :param rate: requests a second at each of the five entry processes
    """
    folder = Path(tempfile.mkdtemp())
    with Deployment(folder, FRONTS, ENDPOINTS) as deployment:
        deployment.wait_ready()
        soak = Soak(deployment, random.Random(seed))
        end = time.monotonic() + seconds
        disturber = threading.Thread(target=soak.disturb_until, args=(end,))
        disturber.start()
        soak.call_for(seconds, rate)
        disturber.join()
        time.sleep(CALM_SECONDS)
        first = len(soak.results)
        soak.call_for(4.0, rate)
    calm = [each.status == 200 for each in soak.results[first:]]
    statuses = Counter(each.status for each in soak.results[:first])
    violations = _find_violations(soak, _read_runs(folder))
    faults = _count_faults(folder)
    print(
        f"seed {seed}: {first} requests {dict(statuses)}, faults {dict(soak.faults)}; calm "
        f"{sum(calm)} of {len(calm)}; {faults} exceptions; {len(violations)} violations",
        *violations[:5],
        f"logs in {folder}",
        sep="; ",
    )
    sys.exit(bool(violations) or bool(faults) or sum(calm) < MIN_CALM_SHARE * len(calm))


if __name__ == "__main__":
    defopt.run(main)
