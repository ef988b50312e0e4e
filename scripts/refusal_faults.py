"""Faults of processes, endpoints, paths and the store for plays of refusals."""

import asyncio
import random
import signal
import threading
import time
from collections import Counter
from collections.abc import Callable, Iterator
from contextlib import contextmanager

from refusal_callers import Poison
from refusing_endpoint import RefusingEndpoint
from soak_departures import Deployment
from store_relay import CallFault, Outage

__all__ = ["CALM_SECONDS", "GRACE_SECONDS", "START_SECONDS", "Faults"]

KILLED_SHARE = 0.55
ENDED_SHARE = 0.3
LOST_SECONDS = 0.16
# From SIGTERM until a process is killed.
GRACE_SECONDS = 4.0
# Callers go on for so long after the last fault.
CALM_SECONDS = 4.0
# Entry processes are ready within this time after their start.
START_SECONDS = 3.0
# Fractions of the requests that hold what crashes endpoints before and in a burst of quarantines.
PART_SHARE = 0.15
BURST_SHARE = 0.3
# An endpoint's row is removed so long after its end.
ROW_SECONDS = 0.4


class Faults:
    """Faults of processes, endpoints, paths and the store, side by side.

    Parameters
    ----------
    only : str
        Name of the one fault to play; all in turn if empty.
    """

    def __init__(self, deployment: Deployment, rng: random.Random, poison: Poison, only: str = ""):
        self.counts: Counter[str] = Counter()
        self._deployment = deployment
        self._rng = rng
        self._poison = poison
        self._locks = [threading.Lock() for _ in range(deployment.processes)]
        self._back_seconds = rng.choice((0.3, 1.0, 2.5))
        self._is_over = threading.Event()
        self._actions: dict[str, Callable[[], None]] = {
            "kill": self._kill_one,
            "kill most": self._kill_most,
            "stop": self._stop,
            "suspend": self._suspend,
            "suspend all": self._suspend_all,
            "reload": self._reload,
            "store": self._fail_store,
            "feeds": self._reset_feeds,
            "paths": self._lose_paths,
            "group": self._end_group,
            "poison": self._renew_poison,
            "burst": self._play_burst,
            "restart": self._restart_amid_quarantines,
        }
        if only:
            self._actions = {only: self._actions[only]}

    def play_until(self, end: float, lanes: int) -> None:
        """Play faults until a time, some side by side, and replace endpoints that have ended."""
        threads = [threading.Thread(target=self._replace_endpoints)]
        threads += [
            threading.Thread(target=self._run, args=(end, random.Random(self._rng.random())))
            for _ in range(lanes)
        ]
        for each in threads:
            each.start()
        for each in threads[1:]:
            each.join()
        time.sleep(CALM_SECONDS)
        self._is_over.set()
        threads[0].join()

    def _run(self, end: float, rng: random.Random) -> None:
        while time.monotonic() < end:
            time.sleep(0.5 + 3 * rng.random())
            name = rng.choice(list(self._actions))
            self.counts[name] += 1
            self._actions[name]()

    # Endpoints

    def _replace_endpoints(self) -> None:
        ended: list[tuple[float, RefusingEndpoint]] = []
        seen: set[str] = set()
        while not self._is_over.wait(0.02):
            now = time.monotonic()
            for each in self._deployment.endpoints:
                if each.left_at is not None and each.name not in seen:
                    seen.add(each.name)
                    ended.append((each.left_at, each))
            for left_at, each in list(ended):
                if now > left_at + max(ROW_SECONDS, self._back_seconds):
                    ended.remove((left_at, each))
                    self._deployment.write_rows({}, (each.name,))
                    self._deployment.add_endpoint()

    def _end_group(self) -> None:
        serving = self._deployment.serving()
        for each in self._rng.sample(serving, round(ENDED_SHARE * len(serving))):
            self._deployment.run_in_loop(each.crash())

    def _lose_paths(self) -> None:
        share = self._rng.choice((0.4, 1.0))
        serving = self._deployment.serving()
        chosen = self._rng.sample(serving, round(share * len(serving)))
        self._deployment.run_in_loop(_lose_paths(chosen, LOST_SECONDS))

    def _renew_poison(self) -> None:
        self._poison.renew_parts(self._rng.choice((1, 2)))
        self._poison.renew_works(self._rng.choice((1, 2, 4)))

    def _play_burst(self) -> None:
        """Let many requests hold new poison for a while, so that many are quarantined together."""
        self._poison.renew_works(4)
        self._poison.set_share(BURST_SHARE)
        time.sleep(0.8)
        self._poison.set_share(None)

    # Entry processes

    @contextmanager
    def _hold(self, count: int) -> Iterator[list[int]]:
        """Give some entry processes that no other fault has now."""
        fronts = self._rng.sample(range(self._deployment.processes), self._deployment.processes)
        held = []
        for each in fronts:
            if len(held) < count and self._locks[each].acquire(blocking=False):
                held.append(each)
        try:
            yield held
        finally:
            for each in held:
                self._locks[each].release()

    def _kill(self, fronts: list[int], seconds: float) -> None:
        for each in fronts:
            self._deployment.fronts[each].kill()
        time.sleep(seconds)
        for each in fronts:
            self._restart(each)

    def _restart(self, front: int) -> None:
        self._deployment.fronts[front].wait()
        self._deployment.fronts[front] = self._deployment.run_front(front)

    def _kill_one(self) -> None:
        with self._hold(1) as fronts:
            if fronts and self._rng.random() < 0.3:
                self._deployment.fronts[fronts[0]].send_signal(signal.SIGSTOP)
                time.sleep(0.3 * self._rng.random())
            self._kill(fronts, self._rng.choice((0.0, 0.5)))

    def _kill_most(self) -> None:
        with self._hold(round(KILLED_SHARE * self._deployment.processes)) as fronts:
            self._kill(fronts, self._rng.choice((0.0, 0.0, 2.0)))

    def _stop(self) -> None:
        with self._hold(self._rng.choice((1, 1, 2))) as fronts:
            for each in fronts:
                self._deployment.fronts[each].send_signal(signal.SIGTERM)
            end = time.monotonic() + GRACE_SECONDS
            while time.monotonic() < end and any(
                self._deployment.fronts[each].poll() is None for each in fronts
            ):
                time.sleep(0.05)
            self._kill(fronts, 0.0)

    def _suspend(self) -> None:
        with self._hold(1) as fronts:
            for _ in range(self._rng.choice((1, 1, 4))):
                self._signal(fronts, signal.SIGSTOP)
                time.sleep(self._rng.choice((0.1, 0.4, 2.0)) * self._rng.random())
                self._signal(fronts, signal.SIGCONT)
                time.sleep(0.1 * self._rng.random())

    def _suspend_all(self) -> None:
        """Let all processes stand still for a moment, between what they write and answer."""
        with self._hold(self._deployment.processes) as fronts:
            for _ in range(4):
                self._signal(fronts, signal.SIGSTOP)
                time.sleep(0.3 * self._rng.random())
                self._signal(fronts, signal.SIGCONT)
                time.sleep(0.1 * self._rng.random())

    def _signal(self, fronts: list[int], signum: signal.Signals) -> None:
        for each in fronts:
            self._deployment.fronts[each].send_signal(signum)

    def _reload(self) -> None:
        with self._hold(1) as fronts:
            self._signal(fronts, signal.SIGHUP)

    # Store

    def _fail_store(self) -> None:
        count = self._rng.choice((1, self._deployment.processes))
        fronts = self._rng.sample(range(self._deployment.processes), count)
        outage = self._rng.choice(list(Outage))
        relays = self._deployment.relays
        for each in fronts:
            self._deployment.run_in_loop(relays[each].set_outage(outage))
        time.sleep(0.3 + 2 * self._rng.random())
        for each in fronts:
            self._deployment.run_in_loop(relays[each].set_outage(None))

    def _reset_feeds(self) -> None:
        for fault in (CallFault.FEEDS_RESET, None):
            for each in self._deployment.relays:
                self._deployment.run_in_loop(each.set_call_fault(fault))
            time.sleep(0.2)

    def _restart_amid_quarantines(self) -> None:
        """Start most processes again while parts and requests are quarantined."""
        self._poison.renew_parts(self._rng.choice((1, 2)))
        self._poison.set_share(PART_SHARE)
        time.sleep(2.0 + 2.0 * self._rng.random())
        self._play_burst()
        with self._hold(round(KILLED_SHARE * self._deployment.processes)) as fronts:
            for each in fronts:
                self._deployment.fronts[each].kill()
            self._lose_paths()
            for each in fronts:
                self._restart(each)
        time.sleep(2.2)
        self._end_group()
        time.sleep(1.0)
        self._reset_feeds()
        time.sleep(START_SECONDS)


async def _lose_paths(endpoints: list[RefusingEndpoint], seconds: float) -> None:
    await asyncio.gather(*(each.lose_paths(seconds) for each in endpoints))
