"""Silences of endpoints and planned work on entry processes, side by side."""

import copy
import random
import signal
import subprocess
import threading
import time
from collections import Counter, defaultdict
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

from silence_callers import SilenceCallers
from soak_refusals import DeploymentInLoop
from try_lost_paths import _wait_for

__all__ = ["GRACE_SECONDS", "PlannedWork", "Silence", "SilenceFaults"]

# From SIGTERM until a process is killed.
GRACE_SECONDS = 8.0
# The balancer has taken a process out of use so long after SIGTERM.
BALANCER_SECONDS = 2.0
SILENT_SHARES = (0.6, 1.0)
SILENCE_PAUSE_SECONDS = (1.2, 2.4)
CHANGE_PAUSE_SECONDS = (2.0, 4.0)
RELOAD_PAUSE_SECONDS = (3.0, 7.0)
STOP_PAUSE_SECONDS = (1.0, 3.0)
# Between the stops of a series; a process needs longer to end.
SERIES_SECONDS = (0.8, 2.0)
# Later than the deadline of any request.
TIMEOUTS_MS = (16000, 20000, 25000)


@dataclass(frozen=True)
class Silence:
    """A time in which some endpoints are silent."""

    began_at: float
    ended_at: float
    endpoints: tuple[str, ...]


@dataclass(frozen=True)
class PlannedWork:
    """What the operator did, and when.

    Parameters
    ----------
    stops, reloads : dict of list of float
        Times of SIGTERM and of SIGHUP, by entry process.
    changes : list of tuple of (float, str)
        Time and kind of each change of the configuration.
    killed : list of tuple of (float, int)
        Time and number of each process that was killed at the end of its grace.
    """

    stops: dict[int, list[float]] = field(default_factory=lambda: defaultdict(list))
    reloads: dict[int, list[float]] = field(default_factory=lambda: defaultdict(list))
    changes: list[tuple[float, str]] = field(default_factory=list)
    killed: list[tuple[float, int]] = field(default_factory=list)


class SilenceFaults:
    """Lets endpoints fall silent beside planned stops, reloads and configuration changes.

    Parameters
    ----------
    document : dict
        Configuration document to begin with.
    silence : tuple of (float, float)
        Shortest and longest silence in seconds; (0, 0) for none.

    Attributes
    ----------
    counts : Counter
        How often each fault was played.
    work : PlannedWork
        What was done to the entry processes.
    silences : list of Silence
        All silences.
    """

    def __init__(
        self,
        deployment: DeploymentInLoop,
        callers: SilenceCallers,
        document: dict,
        rng: random.Random,
        silence: tuple[float, float],
    ):
        self.counts: Counter[str] = Counter()
        self.work = PlannedWork()
        self.silences: list[Silence] = []
        self._deployment = deployment
        self._callers = callers
        self._document = copy.deepcopy(document)
        self._rng = rng
        self._silence = silence
        self._locks = [threading.Lock() for _ in range(deployment.processes)]
        self._places = threading.Semaphore(max(1, deployment.processes // 2))

    def play_until(self, end: float) -> None:
        """Play all kinds side by side until a time, and let all that was begun end."""
        lanes = [
            (self._change, CHANGE_PAUSE_SECONDS),
            (self._reload, RELOAD_PAUSE_SECONDS),
            (self._stop, STOP_PAUSE_SECONDS),
        ]
        if self._silence[1] > 0:
            lanes.append((self._fall_silent, SILENCE_PAUSE_SECONDS))
        threads = [
            threading.Thread(
                target=self._run, args=(end, action, pause, random.Random(self._rng.random()))
            )
            for action, pause in lanes
        ]
        for each in threads:
            each.start()
        for each in threads:
            each.join()

    def _run(self, end: float, action, pause: tuple[float, float], rng: random.Random) -> None:
        with self._recorded_errors():
            while time.monotonic() < end:
                time.sleep(rng.uniform(*pause))
                action(rng)

    @contextmanager
    def _recorded_errors(self) -> Iterator[None]:
        """Keep an exception for the report: the callers go on, so that it must not pass unseen."""
        try:
            yield
        except (Exception, SystemExit) as exc:
            self._deployment.errors.append(repr(exc))

    # Endpoints

    def _fall_silent(self, rng: random.Random) -> None:
        seconds, now = rng.uniform(*self._silence), time.monotonic()
        serving = self._deployment.serving()
        chosen = rng.sample(serving, round(rng.choice(SILENT_SHARES) * len(serving)))
        for each in chosen:
            each.fall_silent(seconds)
        names = tuple(each.name for each in chosen)
        self.silences.append(Silence(now, now + seconds, names))
        self.counts["silence"] += 1
        time.sleep(seconds)

    # Configuration

    def _change(self, rng: random.Random) -> None:
        kind = rng.choice(("idle", "timeout", "route"))
        self._document["version"] += rng.randrange(1, 4)
        routes = self._document["routes"]
        if kind == "timeout":
            rng.choice(routes)["timeout_ms"] = rng.choice(TIMEOUTS_MS)
        elif kind == "route":
            rng.choice((self._move_route, self._add_route))(rng)
        self.work.changes.append((time.monotonic(), kind))
        self._deployment.write_rows({"config": self._document}, table="op")
        self.counts[f"change {kind}"] += 1

    def _move_route(self, rng: random.Random) -> None:
        """Let one route, whose requests are sent on meanwhile, lead to another service."""
        services = {"lookup": ("records", "archive"), "query": ("engines", "drafts")}
        name = rng.choice(list(services))
        route = next(each for each in self._document["routes"] if each["name"] == name)
        first, second = services[name]
        route["service"] = second if route["service"] == first else first

    def _add_route(self, rng: random.Random) -> None:
        """Add a route that no request uses."""
        routes = self._document["routes"]
        number = len(routes)
        prefix = f"/stream/letter/more-{number}/"
        letter = next(each for each in routes if each["name"] == "letter")
        routes.append({**letter, "name": f"letter-{number}", "prefix": prefix})

    # Entry processes

    def _reload(self, rng: random.Random) -> None:
        front = rng.randrange(self._deployment.processes)
        if self._locks[front].acquire(blocking=False):
            self.work.reloads[front].append(time.monotonic())
            self._deployment.fronts[front].send_signal(signal.SIGHUP)
            self.counts["reload"] += 1
            self._locks[front].release()

    def _stop(self, rng: random.Random) -> None:
        """Stop one process, two at once, or several in a series that overlaps."""
        processes = self._deployment.processes
        way = rng.choice(("one", "two", "series"))
        self.counts[f"stop {way}"] += 1
        count = {"one": 1, "two": 2, "series": max(3, processes // 2)}[way]
        threads = []
        for front in rng.sample(range(processes), min(count, processes)):
            threads.append(threading.Thread(target=self._stop_and_restart, args=(front,)))
            threads[-1].start()
            if way == "series":
                time.sleep(rng.uniform(*SERIES_SECONDS))
        for each in threads:
            each.join()

    def _stop_and_restart(self, front: int) -> None:
        with self._recorded_errors(), self._places, self._locks[front]:
            process = self._deployment.fronts[front]
            stopped_at = time.monotonic()
            self.work.stops[front].append(stopped_at)
            process.send_signal(signal.SIGTERM)
            time.sleep(BALANCER_SECONDS)
            self._callers.away.add(front)
            try:
                process.wait(stopped_at + GRACE_SECONDS - time.monotonic())
            except subprocess.TimeoutExpired:
                self.work.killed.append((time.monotonic(), front))
                process.kill()
                process.wait()
            self._deployment.fronts[front] = self._deployment.run_front(front)
            deployment = self._deployment
            _wait_for(f"{deployment.ip_of(front)}:{deployment.front_port + 1}", "/api/ready")
            self._callers.away.discard(front)
