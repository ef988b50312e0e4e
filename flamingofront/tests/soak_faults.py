"""Random faults of entry processes and of the network, which several soaks share."""

import random

from flamingofront.tests.forwarding_world import ForwardingWorld

__all__ = ["ProcessFaults"]

MAX_PAUSED = 2


class ProcessFaults:
    """Pauses entry processes, cuts zones off and loses datagrams at random.

    Parameters
    ----------
    zones : tuple of str
        Zones that may be cut off.
    """

    def __init__(self, world: ForwardingWorld, rng: random.Random, zones: tuple[str, ...]):
        self._world = world
        self._rng = rng
        self._zones = zones
        self.paused: set[str] = set()

    def running(self) -> list[str]:
        """Return the entry processes that are neither dead nor paused."""
        return [
            name
            for name in self._world.fronts
            if not self._world.host(name).dead and name not in self.paused
        ]

    def after(self, seconds: float, action) -> None:
        """Do something later, whatever happens to the entry processes."""
        self._world.host("store").timers.once(seconds, action)

    def pause(self) -> None:
        """Pause an entry process for a while."""
        name = self._rng.choice(list(self._world.fronts))
        if len(self.paused) < MAX_PAUSED:
            self.paused.add(name)
            self._world.pause(name)
            self.after(0.3 + 2 * self._rng.random(), lambda: self.resume(name))

    def resume(self, name: str) -> None:
        """Resume a process that is paused."""
        if name in self.paused:
            self.paused.discard(name)
            self._world.resume(name)

    def cut_zone(self) -> None:
        """Cut a zone off for a while."""
        self._world.isolate(self._rng.choice(self._zones))
        self.after(0.5 + 2 * self._rng.random(), self._world.heal)

    def lose_datagrams(self, *fractions: float) -> None:
        """Lose one of these fractions of the datagrams from now on."""
        self._world.lost_datagrams = self._rng.choice(fractions)

    def end(self) -> None:
        """Heal the network, and resume all that are paused."""
        self._world.heal()
        self._world.lost_datagrams = 0.0
        for name in list(self.paused):
            self.resume(name)
