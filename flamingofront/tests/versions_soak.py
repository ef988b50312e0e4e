"""Streams of several versions beside random faults, with an oracle over all events of callers.

Run further seeds by hand with ``python -m flamingofront.tests.versions_soak FIRST LAST [SECONDS]``.
"""

import random
import sys
from collections.abc import Callable

from flamingofront.standins.forward_endpoint import ForwardFault
from flamingofront.tests.paths_world import CONNECT_FAULTS
from flamingofront.tests.soak_faults import ProcessFaults
from flamingofront.tests.versions_world import ZONES, StreamCaller, VersionsWorld, versions_world

__all__ = ["VersionsSoak"]

VERSIONS = ("v1", "v1.1", "v1.2")
MAX_TRIES = 4
# A caller that has seen no event for so long gives its try up and resumes the stream elsewhere.
PATIENCE_SECONDS = 1.0
CALM_SECONDS = 6.0


class VersionsSoak:
    """Plays streams and their resumptions beside random faults.

    Attributes
    ----------
    callers : list of StreamCaller
        Callers of all streams.
    resumed, continued : int
        Tries that resumed a stream while two endpoints of its version served, and those of them
        that brought an event.
    """

    def __init__(self, seed: int, fronts: int = 6):
        self.rng = random.Random(seed)
        self.world: VersionsWorld = versions_world(fronts, VERSIONS, 3, seed)
        self.callers: list[StreamCaller] = []
        self._open: list[StreamCaller] = []
        self.resumed = self.continued = 0
        self.faults = ProcessFaults(self.world, self.rng, ZONES)
        self._progress: dict[StreamCaller, tuple[int, float]] = {}
        self._counted: list[tuple[StreamCaller, int]] = []
        self._numbers = iter(range(1_000_000))
        self._engines = iter(range(100, 1_000_000))

    def play(self, seconds: float) -> "VersionsSoak":
        """Play some seconds with faults, then let all return and play calm seconds."""
        end = self.world.clock.now() + seconds
        while self.world.clock.now() < end:
            if self.rng.random() < 0.2:
                self.rng.choice(self._faults())()
            self._step()
        self.faults.end()
        end = self.world.clock.now() + CALM_SECONDS
        while self.world.clock.now() < end:
            self._step(begin=False)
        for caller, index in self._counted:
            self.resumed += 1
            self.continued += caller.brought_event(index)
        return self

    def _step(self, begin: bool = True) -> None:
        if begin:
            caller = StreamCaller(self.world, next(self._numbers))
            self.callers.append(caller)
            self._open.append(caller)
            caller.call(self._pick_front())
        self._open = [each for each in self._open if not each.looks_complete]
        for each in self._open:
            self._resume_if_broken(each)
        self.world.run(0.02 + self.rng.random() * 0.1)

    def _pick_front(self, other_than: str = "") -> str:
        running = self.faults.running()
        return self.rng.choice([each for each in running if each != other_than] or running)

    def _resume_if_broken(self, caller: StreamCaller) -> None:
        if len(caller.tries) >= MAX_TRIES or not caller.origin_id:
            return
        now = self.world.clock.now()
        count, since = self._progress.get(caller, (-1, now))
        if len(caller.events) != count:
            self._progress[caller] = (len(caller.events), now)
            since = now
        if not caller.caller.done and now - since < PATIENCE_SECONDS:
            return
        caller.caller.leave()
        caller.close_last()
        version = next(iter(caller.seen_versions))
        caller.call(self._pick_front(caller.tries[-1][1] if self.rng.random() < 0.8 else ""))
        self._progress[caller] = (len(caller.events), now)
        if self.world.count_serving(version) >= 2:
            self._counted.append((caller, len(caller.tries) - 1))

    def _faults(self) -> tuple[Callable[[], None], ...]:
        return (
            self._break_off,
            self._break_off,
            self._kill_front,
            self._kill_front,
            self.faults.pause,
            self.faults.cut_zone,
            lambda: self.faults.lose_datagrams(0.0, 0.1, 0.3),
            self._kill_engine,
            self._kill_engine,
            self._leave_engine,
            self._cut_store,
            self._lose_paths,
            self._heal,
        )

    def _pick_engine(self) -> str:
        """Return an endpoint that serves; start one if all others have left."""
        serving = [each for each in self.world.versions if self.world.is_serving(each)]
        return self.rng.choice(serving) if serving else self._start_engine()

    def _start_engine(self) -> str:
        version = self.rng.choice(VERSIONS)
        name = f"engine-{next(self._engines)}"
        self.world.versioned_engine(name, version, self.rng.choice(ZONES))
        return name

    def _break_off(self) -> None:
        endpoint = self.world.endpoints[self._pick_engine()]
        fault = self.rng.choice((ForwardFault.CUT, ForwardFault.LOSE_ANSWER, ForwardFault.REFUSE))
        endpoint.inject_fault(fault, 3)

    def _kill_front(self) -> None:
        name = self.rng.choice(list(self.world.fronts))
        zone = self.world.host(name).zone
        self.faults.paused.discard(name)
        self.world.kill(name)
        self.faults.after(self.rng.choice((0.0, 0.3, 1.5)), lambda: self._start_front(name, zone))

    def _start_front(self, name: str, zone: str) -> None:
        if self.world.host(name).dead:
            self.world.front(name, zone, first_start=False)

    def _cut_store(self) -> None:
        for name in self.rng.sample(list(self.world.fronts), 3):
            self.world.cut(name, "store")

    def _lose_paths(self) -> None:
        names = self.rng.sample(list(self.world.fronts), self.rng.choice((1, 2)))
        fault = self.rng.choice(CONNECT_FAULTS)
        self.world.fail_paths(names, list(self.world.endpoints), fault)

    def _heal(self) -> None:
        self.world.heal()

    def _kill_engine(self) -> None:
        """Replace an endpoint by one of another version, at times at the same address."""
        name = self._pick_engine()
        self.world.kill(name)
        self.world.store.drop("servers", name)
        self._start_engine()

    def _leave_engine(self) -> None:
        name = self._pick_engine()
        service = "engines"
        zone = self.world.host(name).zone
        version = self.world.versions[name]
        self.world.register(name, service, zone, version=version, state="draining", sequence=2)
        self.world.leaving.add(name)

    def violations(self) -> list[str]:
        """Return what is wrong with the streams that callers received; empty if nothing is."""
        found = []
        for each in self.callers:
            numbers = [number for number, _ in each.events]
            if len(each.seen_versions) > 1:
                found.append(f"stream {each.number} has events of {sorted(each.seen_versions)}")
            if numbers != list(range(1, len(numbers) + 1)):
                found.append(f"stream {each.number} has events {numbers}")
            if each.looks_complete and not each.is_whole:
                found.append(f"stream {each.number} looks complete after {len(numbers)} events")
        return found


def main(first: int, last: int, seconds: int = 20) -> None:
    """Play the seeds from `first` to `last`, and print what each one breaks."""
    for seed in range(first, last + 1):
        soak = VersionsSoak(seed).play(seconds)
        found = soak.violations()
        whole = sum(each.is_whole for each in soak.callers)
        print(
            f"seed {seed}: {len(soak.callers)} streams, {whole} whole, {soak.continued} of "
            f"{soak.resumed} resumed with two endpoints of their version, {len(found)} violations",
            *found[:3],
            sep="; ",
            flush=True,
        )


if __name__ == "__main__":
    main(*map(int, sys.argv[1:4]))
