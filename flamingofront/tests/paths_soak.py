"""Random faults of paths, processes and endpoints at once, with an oracle over all requests.

Run further seeds by hand with ``python -m flamingofront.tests.paths_soak FIRST LAST``.
"""

import random
import sys
from collections import Counter
from collections.abc import Sequence

from flamingofront.tests.forwarding_world import ready_world
from flamingofront.tests.network import PathFault
from flamingofront.tests.paths_world import CONNECT_FAULTS, PATHS
from flamingofront.tests.soak_faults import ProcessFaults

__all__ = ["PathsSoak"]

# Time after the last fault until all requests are served again.
CALM_SECONDS = 8.0
ZONES = ("zone-a", "zone-b", "zone-c")


class PathsSoak:
    """Plays requests beside random faults.

    Parameters
    ----------
    faults : sequence of PathFault
        Ways in which paths fail.

    Attributes
    ----------
    asked : list of (str, str, float, Caller)
        VM, path, time and caller of each request.
    """

    def __init__(self, seed: int, faults: Sequence[PathFault] = CONNECT_FAULTS):
        self._path_faults = faults
        self.rng = random.Random(seed)
        self.world = ready_world(fronts=0, engines=4, plains=4, seed=seed)
        self.world.keeps_connections = True
        for number in range(6):
            self.world.front(f"front-{number}", ZONES[number % 3])
        self.world.run_until(lambda: all(each.ready for each in self.world.fronts.values()))
        self.world.run(3.0)
        self.faults = ProcessFaults(self.world, self.rng, ZONES)
        self.asked: list = []
        self._left: set = set()
        self._numbers = iter(range(1_000_000))

    def play(self, seconds: float) -> "PathsSoak":
        """Play some seconds with faults, then let all return and play calm seconds."""
        end = self.world.clock.now() + seconds
        while self.world.clock.now() < end:
            if self.rng.random() < 0.15:
                self.rng.choice(self._faults())()
            self._ask()
            self.world.run(self.rng.random() * 0.1)
        self._return_all()
        self.world.run(CALM_SECONDS)
        return self

    def serve_calmly(self) -> list:
        """Return the callers of some requests after all faults, without those that left early."""
        first = len(self.asked)
        for _ in range(60):
            self._ask()
            self.world.run(0.05)
        self.world.run(4.0)
        return [each[3] for each in self.asked[first:] if each[3] not in self._left]

    def _ask(self) -> None:
        running = self.faults.running()
        for _ in range(self.rng.choice((1, 1, 4))):
            name = self.rng.choice(running)
            path = f"{self.rng.choice(PATHS)}/{next(self._numbers)}"
            caller = self.world.ask(name, path)
            self.asked.append((name, path, self.world.clock.now(), caller))
            if self.rng.random() < 0.05:
                self._left.add(caller)
                self.world.host("store").timers.once(self.rng.random() * 0.3, caller.leave)

    def _faults(self):
        return (
            self._lose_paths,
            self._lose_paths,
            self._heal,
            self._kill,
            self.faults.pause,
            self.faults.cut_zone,
            lambda: self.faults.lose_datagrams(0.0, 0.1, 0.5),
            self._pause_endpoint,
        )

    def _lose_paths(self) -> None:
        names = list(self.world.fronts)
        count = self.rng.choice((1, 2, 3, 5, 6))
        targets = list(self.world.endpoints)
        if self.rng.random() < 0.3:
            targets = self.rng.sample(targets, 3)
        fault = self.rng.choice(self._path_faults)
        self.world.fail_paths(self.rng.sample(names, count), targets, fault)

    def _heal(self) -> None:
        self.world.heal()

    def _kill(self) -> None:
        name = self.rng.choice(list(self.world.fronts))
        self.faults.paused.discard(name)
        zone = self.world.host(name).zone
        self.world.kill(name)
        self.world.front(name, zone, first_start=False)

    def _pause_endpoint(self) -> None:
        name = self.rng.choice(list(self.world.endpoints))
        self.world.pause(name)
        self.world.host("store").timers.once(1.2, lambda: self.world.resume(name))

    def _return_all(self) -> None:
        self.faults.end()
        for name in self.world.endpoints:
            self.world.resume(name)

    def violations(self) -> list[str]:
        """Return the rules that a request broke; empty if none did."""
        runs = Counter(
            req.path for endpoint in self.world.endpoints.values() for req in endpoint.runs
        )
        found = []
        for name, path, at, caller in self.asked:
            is_once = path.startswith(("/write/", "/stream/once/"))
            if is_once and runs[path] > 1:
                found.append(f"{path} at {at:.3f} ran {runs[path]} times")
            if is_once and caller.status in (429, 503) and runs[path]:
                found.append(f"{path} at {at:.3f} got {caller.status} and ran")
            if caller.answers > 1:
                found.append(f"{path} at {at:.3f} got {caller.answers} answers")
            if not caller.done and not caller.host.dead and caller not in self._left:
                found.append(f"{path} at {at:.3f} got no answer from {name}")
        return found


def main(first: int, last: int) -> None:
    """Play the seeds from `first` to `last`, and print what each one breaks."""
    for seed in range(first, last + 1):
        soak = PathsSoak(seed).play(20.0)
        calm = soak.serve_calmly()
        unserved = sum(each.status != 200 for each in calm)
        found = soak.violations()
        print(
            f"seed {seed}: {len(soak.asked)} requests, {unserved} of {len(calm)} unserved "
            f"after the faults, {len(found)} violations",
            *found[:3],
            sep="; ",
            flush=True,
        )


if __name__ == "__main__":
    main(*map(int, sys.argv[1:3]))
