"""Endpoints that leave beside random faults of the store, with an oracle over what reaches them.

Run further seeds by hand with ``python -m flamingofront.tests.departures_soak FIRST LAST``.
"""

import random
import sys
from collections.abc import Callable

from flamingofront.standins.table_store import StoreFault
from flamingofront.tests.departures_world import (
    CONTACT_SECONDS,
    DRAIN_SECONDS,
    ZONES,
)
from flamingofront.tests.failed_calls_world import CallFault, FailedCallsWorld
from flamingofront.tests.soak_faults import ProcessFaults

__all__ = ["DeparturesSoak"]

SERVING_ENDPOINTS = 8
# Departures are observed for this long, longer than endpoints may be sent requests.
DEPARTURE_SECONDS = DRAIN_SECONDS + 1.5
# An endpoint whose row returns is used again within this time.
RETURN_SECONDS = 4.0
REJECTING_FAULTS = (StoreFault.BUSY, StoreFault.RESET)


class DeparturesSoak:
    """Plays endpoints that leave, and faults of the store, of processes and of the network.

    Attributes
    ----------
    world : FailedCallsWorld
        World that records what reaches endpoints that have left.
    departures : int
        Endpoints that left.
    """

    def __init__(self, seed: int, fronts: int = 5):
        self.rng = random.Random(seed)
        self.world = FailedCallsWorld(seed, fronts, SERVING_ENDPOINTS)
        self.faults = ProcessFaults(self.world, self.rng, ZONES)
        self.departures = 0

    def play(self, rounds: int) -> "DeparturesSoak":
        """Play rounds of faults that overlap, each with endpoints that leave in the calm after."""
        for _ in range(rounds):
            self._run(2 * self.rng.random(), self._faults())
            self.rng.choice(self._faults())()
            self._end_faults()
            calm_seconds = CONTACT_SECONDS + self.rng.random() ** 2
            self._run(calm_seconds, ())
            is_before = self.rng.random() < 0.5
            if is_before:
                self._fail_calls()
                self._run(0.1 * self.rng.random(), ())
            for _ in range(self.rng.choice((1, 2, 4))):
                self._leave()
            if not is_before:
                self._run(0.1 * self.rng.random(), ())
                self._fail_calls()
            actions = (self._kill_front, self.faults.pause, self._fail_calls)
            self._run(DEPARTURE_SECONDS, actions, 0.02)
            self._end_faults()
        self._run(RETURN_SECONDS, ())
        return self

    def _run(
        self, seconds: float, actions: tuple[Callable[[], None], ...], frequency: float = 0.15
    ) -> None:
        """Send requests for some seconds, beside random actions."""
        end = self.world.clock.now() + seconds
        while self.world.clock.now() < end:
            if actions and self.rng.random() < frequency:
                self.rng.choice(actions)()
            while len(self.world.serving()) < SERVING_ENDPOINTS:
                self.world.add_endpoint()
            self.world.ask(self.rng.choice(self.faults.running()), "/read/x", "GET")
            self._note_disturbances()
            self.world.run(0.01 + 0.05 * self.rng.random())

    def _fail_calls(self) -> None:
        """Let single calls fail, which is no disturbance of the store."""
        if self.world.fault is CallFault.NONE:
            self.world.begin(self.rng.choice(list(CallFault)))

    def _end_faults(self) -> None:
        self.faults.end()
        self._end_store_fault()

    def _note_disturbances(self) -> None:
        for name in self.faults.paused:
            self.world.disturb(name)
        if self.world.cuts or self.world.lost_datagrams:
            self.world.disturb()
        if self.world.store.fault is not StoreFault.NONE or self.world.store.rejected_sources:
            self.world.disturb()

    def _faults(self) -> tuple[Callable[[], None], ...]:
        return (
            self._leave,
            self._leave_and_return,
            self._lose_answers,
            self._lose_answers,
            self._reject_some,
            self._reject_all,
            self._silence,
            self._fail_calls,
            self._kill_front,
            self.faults.pause,
            lambda: self.faults.lose_datagrams(0.0, 0.0, 0.1),
            self.faults.cut_zone,
        )

    # Endpoints

    def _leave(self) -> None:
        way = self.rng.choice(("removed", "removed", "draining", "both", "just written"))
        name = self.rng.choice(self.world.serving())
        self.departures += 1
        if way == "just written":
            self.world.write_row(name)
            self.world.run(0.05)
        self.world.leave(name, "draining" if way in ("draining", "both") else "removed")
        if way == "both":
            self.faults.after(self.rng.random(), lambda: self.world.store.drop("servers", name))

    def _leave_and_return(self) -> None:
        name = self.rng.choice(self.world.serving())
        self.world.leave(name)
        self.faults.after(0.05 + self.rng.random(), lambda: self.world.returns(name))

    # Faults

    def _lose_answers(self) -> None:
        """Lose answers of the store, often to all processes just after their long polls began."""
        seconds = 0.05 + 0.4 * self.rng.random()
        if self.rng.random() < 0.5:
            self.world.lose_one_answer(seconds)
            return
        fronts = self.rng.sample(list(self.world.fronts), self.rng.choice((1, 2)))
        self.world.lose_answers(seconds, *fronts)

    def _reject_some(self) -> None:
        for name in self.rng.sample(list(self.world.fronts), 2):
            self.world.cut(name, "store")
        self.faults.after(0.3 + 3 * self.rng.random(), self.world.heal)

    def _reject_all(self) -> None:
        self.world.store.fault = self.rng.choice(REJECTING_FAULTS)
        self.faults.after(0.2 + 3 * self.rng.random(), self._end_store_fault)

    def _silence(self) -> None:
        self.world.store.fault = StoreFault.SILENT
        self.faults.after(0.2 + 3 * self.rng.random(), self._end_store_fault)

    def _end_store_fault(self) -> None:
        self.world.store.fault = StoreFault.NONE
        self.world.disturb()

    def _kill_front(self) -> None:
        name = self.rng.choice(list(self.world.fronts))
        zone = self.world.host(name).zone
        self.faults.paused.discard(name)
        self.world.kill(name)
        self.world.front(name, zone, first_start=False)
        self.world.disturb(name)

    def violations(self) -> list[str]:
        """Return the requests that reached endpoints too late, and endpoints that are unused."""
        found = [
            f"{each.front} reached {each.endpoint} {each.seconds:.2f} s after it left"
            for each in self.world.late_arrivals
        ]
        for name in self.world.serving():
            unused = [each for each in self.faults.running() if self.world.knows(each, name)]
            if unused:
                found.append(f"{name} serves and is not used by {unused}")
        return found


def main(first: int, last: int, fronts: int = 5) -> None:
    """Play the seeds from `first` to `last`, and print what each one breaks."""
    for seed in range(first, last + 1):
        soak = DeparturesSoak(seed, fronts).play(6)
        found = soak.violations()
        print(
            f"seed {seed}: {soak.departures} departures, {len(found)} violations",
            *found[:3],
            sep="; ",
            flush=True,
        )


if __name__ == "__main__":
    main(*map(int, sys.argv[1:]))
