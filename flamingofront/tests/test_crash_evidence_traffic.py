"""Bytes between entry processes while endpoints crash under many requests."""

import pytest

from flamingofront.tests.crashing_world import CrashingWorld
from flamingofront.tests.narrow_links import NARROW_LINK, NarrowLinksWorld

ZONES = ("zone-a", "zone-b", "zone-c")
ENGINES = 12
# Requests in a second, at all processes.
ASKED = 120
STEP_SECONDS = 0.05
PART_TOKENS = 400
# Share of a link that processes may fill with what they tell one another.
MAX_LINK_SHARE = 0.5


class NarrowCrashingWorld(NarrowLinksWorld, CrashingWorld):
    """Endpoints that crash before entry processes with narrow links."""


class CrashPlay:
    """Plays streams, and crashes of endpoints one after the other.

    Attributes
    ----------
    peak : float
        Most bytes that a process sent or received in one second.
    fewest_heard : int
        Fewest other processes that a process heard.
    """

    def __init__(self, fronts, seed=1):
        self.fronts = fronts
        self.world = NarrowCrashingWorld(seed)
        self.world.configure_routes()
        for number in range(ENGINES):
            self.world.endpoint(f"engine-{number}", "engines", ZONES[number % 3], gap=0.1)
        for number in range(fronts):
            self.world.front(f"front-{number}", ZONES[number % 3])
        self.world.run_until(lambda: all(each.ready for each in self.world.fronts.values()))
        self.world.run(6.0)
        self.callers = []
        self.peak = 0.0
        self.fewest_heard = fronts
        self._number = 0

    def _ask(self):
        for _ in range(round(ASKED * STEP_SECONDS)):
            self._number += 1
            parts = ["5a0001", f"5b{self._number % 4:04x}"]
            parts += [f"{kind}{self._number % 300:04x}" for kind in ("6a", "6b", "6c", "6d")]
            prompt = ",".join(f"{each}:{PART_TOKENS}" for each in parts)
            body = b"prompt %d" % self._number
            self.callers.append(
                self.world.ask_one("/stream/again/x", body, X_Flamingofront_Prompt_Prefix=prompt)
            )

    def _crash(self, number):
        names = self.world.alive("engines")
        name = names[number % len(names)]
        self.world.end_endpoint(name, "engines", self.world.host(name).zone)

    def play(self, seconds=8.0, crashes=10, first=2.0, gap=0.35):
        """Play some seconds with crashes from a time on, and measure the bytes of each second."""
        due = [first + gap * each for each in range(crashes)]
        before = {}
        for step in range(round(seconds / STEP_SECONDS)):
            elapsed = step * STEP_SECONDS
            while due and due[0] <= elapsed:
                self._crash(3 * len(due))
                due.pop(0)
            self._ask()
            self.world.run(STEP_SECONDS)
            if (step + 1) % round(1.0 / STEP_SECONDS) == 0:
                before = self._measure(before)
        return self

    def _measure(self, before):
        now = {
            (name, way): sent
            for way in ("in", "out")
            for name, sent in self.world.bytes_of(way).items()
        }
        if before:
            self.peak = max(self.peak, *(sent - before.get(key, 0) for key, sent in now.items()))
        heard = min(each.peers.live_count() for each in self.world.fronts.values())
        self.fewest_heard = min(self.fewest_heard, heard)
        return now


class TestCrashes:
    @pytest.mark.parametrize("fronts", [17, 36])
    def test_evidence_on_crashes_does_not_fill_the_links(self, fronts):
        """Processes told all others at once all that they knew of crashes, and lost one another."""
        play = CrashPlay(fronts).play()
        assert len(play.world.crashes) == 0  # no request is at fault
        assert play.peak <= MAX_LINK_SHARE * NARROW_LINK
        assert play.fewest_heard == fronts - 1
