"""Ends of holders of the leader lease, side by side with faults of store and cloud."""

import random
import signal
import subprocess
import threading
import time
from collections import Counter
from collections.abc import Callable
from contextlib import suppress
from dataclasses import replace

from flamingofront.tests.leader_cloud import Behaviour, CloudStage
from flamingofront.tests.leader_deployment import EntryProcess, LeaderDeployment
from flamingofront.tests.throttle import Throttle

__all__ = ["ENDS", "LeaderFaults"]

# From SIGTERM until a process is killed.
GRACE_SECONDS = 8.0
SHORTEST_FREEZE_SECONDS = 0.2
# Long enough for another process to acquire the lease and to act.
LONG_FREEZE_SECONDS = 5.5
OVERLAP_FREEZE_SECONDS = (0.8, 4.0)
THROTTLE_SECONDS = (1.0, 5.0)
THROTTLE_SHARE = 0.8
PAUSE_SECONDS = (0.2, 3.0)
RELOAD_PAUSE_SECONDS = (1.0, 4.0)
STORE_PAUSE_SECONDS = (3.0, 9.0)
STORE_AWAY_SECONDS = (0.3, 4.0)
STORE_SLOW_SHARE = 0.97
CLOUD_PAUSE_SECONDS = (3.0, 8.0)
CLOUD_SECONDS = (0.5, 2.5)
CATCH_SECONDS = 3.0
AIMED_SHARE = 0.7
CAUGHT_SHARE = 0.5
KEPT_SHARE = 0.3
CLOUD_FAULTS = (
    Behaviour(accept_delay=0.4),
    Behaviour(accept_delay=1.3),
    Behaviour(answer_delay=0.7),
    Behaviour(answer_delay=1.4),
    Behaviour(silent=True),
    Behaviour(resets=True),
)
ENDS = ("stop", "kill", "freeze", "throttle", "overlap", "frozen overlap")
FROZEN = ("freeze", "frozen overlap")


class LeaderFaults:
    """Ends holders and others again and again.

    Parameters
    ----------
    ends : tuple of str
        Kinds of end that are played.
    lanes : int
        Ends side by side; at least one process is always left alone.
    has_outages : bool
        True if store and cloud fail at times.
    longest : float
        Longest time in seconds for which a process stands still.

    Attributes
    ----------
    counts : Counter
        How often each fault was played.
    errors : list of str
        Exceptions of the play itself.
    """

    def __init__(
        self,
        deployment: LeaderDeployment,
        rng: random.Random,
        ends: tuple[str, ...] = ENDS,
        lanes: int = 2,
        has_outages: bool = True,
        longest: float = 8.0,
    ):
        self.counts: Counter[str] = Counter()
        self.errors: list[str] = []
        self._deployment = deployment
        self._rng = rng
        self._ends = ends
        self._has_outages = has_outages
        self._longest = longest
        self._lock = threading.Lock()
        self._busy: set[int] = set()
        self._undrawn: list[str] = []
        self._lanes = min(lanes, len(deployment.current) - 1)

    def play_until(self, end: float) -> None:
        """Play all kinds side by side until a time, and let all that was begun end."""
        lanes = [(self._end_process, PAUSE_SECONDS)] * self._lanes
        if self._has_outages:
            lanes += [
                (self._reload, RELOAD_PAUSE_SECONDS),
                (self._disturb_store, STORE_PAUSE_SECONDS),
                (self._disturb_cloud, CLOUD_PAUSE_SECONDS),
            ]
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

    def _run(
        self,
        end: float,
        action: Callable[[random.Random], None],
        pause: tuple[float, float],
        rng: random.Random,
    ) -> None:
        while time.monotonic() < end:
            time.sleep(rng.uniform(*pause))
            try:
                action(rng)
            except Exception as exc:
                # The play goes on, so that it must not pass unseen.
                self.errors.append(repr(exc))

    # Entry processes

    def _end_process(self, rng: random.Random) -> None:
        """End the holder or another process, right away or at a stage of its next call."""
        kind = self._draw_kind(rng)
        is_aimed = rng.random() < AIMED_SHARE
        stage = rng.choice(list(CloudStage)) if rng.random() < CAUGHT_SHARE else None
        if kind in FROZEN and is_aimed:
            # Where all that was decided before has yet to be sent.
            stage = CloudStage.ACCEPTED
        place = self._take(rng, is_aimed)
        try:
            process = self._deployment.current[place]
            if process.is_alive:
                self._begin_end(kind, process, stage if is_aimed else None)
                getattr(self, f"_finish_{kind.replace(' ', '_')}")(process, rng)
                self.counts[f"{kind} at {stage}" if is_aimed and stage else kind] += 1
            self._restart_ended(place)
        finally:
            with self._lock:
                self._busy.discard(place)

    def _draw_kind(self, rng: random.Random) -> str:
        """Return a kind of end; each comes once before one comes again."""
        with self._lock:
            self._undrawn = self._undrawn or rng.sample(self._ends, len(self._ends))
            return self._undrawn.pop()

    def _take(self, rng: random.Random, is_aimed: bool) -> int:
        """Return a VM on which no other end is played."""
        with self._lock:
            places = [each for each in self._deployment.current if each not in self._busy]
            holder = self._deployment.find_holder().place
            place = holder if is_aimed and holder in places else rng.choice(places)
            self._busy.add(place)
            return place

    def _begin_end(self, kind: str, process: EntryProcess, stage: CloudStage | None) -> None:
        """Send the first signal, at a stage of the next call of the process if one is given."""
        is_over = threading.Event()

        def act(sender: EntryProcess) -> None:
            if sender is process and not is_over.is_set():
                is_over.set()
                self._signal(kind, process)

        if stage is CloudStage.ACCEPTED and kind in FROZEN:
            if process is self._deployment.find_holder() and self._freeze_holder(process):
                is_over.set()
                self._deployment.note_end(kind, process)
        elif stage is not None:
            with suppress(TimeoutError):
                self._deployment.catch(stage, act, CATCH_SECONDS)
        if not is_over.is_set():
            act(process)

    def _freeze_holder(self, process: EntryProcess) -> bool:
        """Stop a process when its connection was accepted and no byte has come, if it calls."""
        with suppress(TimeoutError):
            self._deployment.freeze_before_first_byte(process, CATCH_SECONDS)
            self.counts["frozen before the first byte"] += 1
            return True
        return False

    def _signal(self, kind: str, process: EntryProcess) -> None:
        if kind in FROZEN:
            self._deployment.freeze(process)
        elif kind == "kill":
            process.child.kill()
        elif kind in ("stop", "overlap"):
            process.child.send_signal(signal.SIGTERM)
        self._deployment.note_end(kind, process)

    def _finish_freeze(self, process: EntryProcess, rng: random.Random) -> None:
        """Let it go on; a stop or a kill may come meanwhile."""
        shortest = rng.choice((SHORTEST_FREEZE_SECONDS, LONG_FREEZE_SECONDS))
        time.sleep(rng.uniform(shortest, self._longest))
        if rng.random() < 0.2:
            process.child.send_signal(rng.choice((signal.SIGTERM, signal.SIGKILL)))
            self.counts["ended while it stood still"] += 1
        self._deployment.thaw(process)

    def _finish_kill(self, process: EntryProcess, rng: random.Random) -> None:
        process.child.wait()
        if rng.random() < 0.5:
            time.sleep(rng.uniform(0.0, 5.0))

    def _finish_stop(self, process: EntryProcess, rng: random.Random) -> None:
        self._wait_for_end(process)

    def _finish_throttle(self, process: EntryProcess, rng: random.Random) -> None:
        with Throttle(lambda: [process.child], THROTTLE_SHARE):
            time.sleep(rng.uniform(*THROTTLE_SECONDS))
        process.child.send_signal(signal.SIGCONT)

    def _finish_overlap(self, process: EntryProcess, rng: random.Random) -> None:
        """Start the next process of the VM while this one has not ended yet."""
        time.sleep(rng.uniform(0.0, 1.0))
        self._deployment.start_beside(process)
        self._wait_for_end(process)

    def _finish_frozen_overlap(self, process: EntryProcess, rng: random.Random) -> None:
        """Tell a process that stands still to stop, start the next one, and let it go on."""
        process.child.send_signal(signal.SIGTERM)
        self._deployment.start_beside(process)
        time.sleep(rng.uniform(*OVERLAP_FREEZE_SECONDS))
        self._deployment.thaw(process)
        self._wait_for_end(process)

    def _wait_for_end(self, process: EntryProcess) -> None:
        try:
            process.child.wait(GRACE_SECONDS)
        except subprocess.TimeoutExpired:
            self.counts["killed after its grace"] += 1
            process.child.kill()
            process.child.wait()

    def _restart_ended(self, place: int) -> None:
        """Start the VM's process again if it has ended or ends."""
        process = self._deployment.current[place]
        try:
            process.child.wait(0.1)
        except subprocess.TimeoutExpired:
            return
        self._deployment.start(place)

    def _reload(self, rng: random.Random) -> None:
        """Reload the settings of a process, with the same or a longer grace."""
        with self._lock:
            process = rng.choice(list(self._deployment.current.values()))
        # Before it handles the signal, it would end.
        if process.is_alive and '"listening"' in process.log.read_text():
            process.child.send_signal(signal.SIGHUP)
            self.counts["reload"] += 1

    # Store and cloud

    def _disturb_store(self, rng: random.Random) -> None:
        """Let the store be silent, or slow, for a while."""
        store, seconds = self._deployment.store, rng.uniform(*STORE_AWAY_SECONDS)
        if rng.random() < 0.5:
            store.send_signal(signal.SIGSTOP)
            time.sleep(seconds)
            self.counts["store silent"] += 1
        else:
            with Throttle(lambda: [store], STORE_SLOW_SHARE):
                time.sleep(seconds)
            self.counts["store slow"] += 1
        store.send_signal(signal.SIGCONT)

    def _disturb_cloud(self, rng: random.Random) -> None:
        """Let the cloud fail in one way for a while; then it may keep connections or close them."""
        cloud = self._deployment.cloud
        fault = rng.choice(CLOUD_FAULTS)
        cloud.behaviour = replace(fault, closes=cloud.behaviour.closes)
        time.sleep(rng.uniform(*CLOUD_SECONDS))
        cloud.behaviour = Behaviour(closes=rng.random() >= KEPT_SHARE)
        self.counts["cloud"] += 1
