"""Entry processes in the simulated network whose event loops take time, as on overloaded VMs."""

from flamingofront.process.membership import VmState
from flamingofront.process.timers import Clock, TimerService
from flamingofront.tests.narrow_links import NarrowLinksWorld

__all__ = ["DRAIN_SECONDS", "BusyTimers", "BusyWorld"]

# From the store's confirmation that an endpoint leaves until no process sends it anything.
DRAIN_SECONDS = 3.0
ZONES = ("zone-a", "zone-b")
STEP_SECONDS = 0.02
WORKSPACES = 16


class BusyTimers(TimerService):
    """Timer service of a process whose event loop is busy for a while after each wake-up.

    Messages are delivered by timers too, so that all that arrives meanwhile waits for the next
    turn.

    Attributes
    ----------
    turn_seconds : float
        Length of a turn of the event loop.
    """

    def __init__(self, clock: Clock):
        super().__init__(clock)
        self.turn_seconds = 0.0
        self._free_at = 0.0

    def next_due(self) -> float | None:
        """Return when the next turn begins; None if nothing is due."""
        due = super().next_due()
        return None if due is None else max(due, self._free_at)

    def run_due(self) -> int:
        """Run all that is due, unless the last turn has not ended."""
        if self.now() < self._free_at:
            return 0
        count = super().run_due()
        if count:
            self._free_at = self.now() + self.turn_seconds
        return count


class BusyWorld(NarrowLinksWorld):
    """World of relayed processes that serve requests and learn which endpoints leave.

    Attributes
    ----------
    left_at : dict
        When the store confirmed that an endpoint leaves.
    learned_after : dict
        Seconds from then until a process knew it, by process and endpoint.
    """

    def __init__(self, seed: int = 1, processes: int = 24, endpoints: int = 96):
        super().__init__(seed, lambda name: int(name.split("-")[1]) % 8 == 0)
        self.left_at: dict[str, float] = {}
        self.learned_after: dict[tuple[str, str], float] = {}
        names = range(WORKSPACES)
        self.configure_routes(
            tenants=[
                {"name": f"workspace-{each}", "api_keys": [f"key-{each}"], "priority": 1}
                for each in names
            ]
        )
        for number in range(endpoints):
            self.endpoint(f"i-{number:010x}", "engines", ZONES[number % len(ZONES)])
        for number in range(processes):
            self.front(f"front-{number}", ZONES[number % len(ZONES)])
        self.run_until(lambda: all(each.ready for each in self.fronts.values()))
        self.run(4.0)

    def _host(self, name: str, zone: str):
        host = super()._host(name, zone)
        host.timers = BusyTimers(self.clock)
        return host

    def make_busy(self, turn_seconds: float, *names: str) -> None:
        """Set the length of the turns of some processes, or of all."""
        for name in names or self.fronts:
            self.host(name).timers.turn_seconds = turn_seconds

    def leave(self, number: int) -> None:
        """Let an endpoint say in its row that it leaves."""
        name = f"i-{number:010x}"
        zone = ZONES[number % len(ZONES)]
        self.register(name, "engines", zone, state="draining", sequence=2)
        self.left_at[name] = self.clock.now()

    def offer(self, seconds: float, rate: float) -> None:
        """Send streams to random processes, `rate` a second, and note what processes learn."""
        end, names = self.clock.now() + seconds, list(self.fronts)
        while self.clock.now() < end:
            for _ in range(round(rate * STEP_SECONDS)):
                key = f"key-{self.rng.randrange(WORKSPACES)}"
                self.ask(self.rng.choice(names), "/stream/again/x", key=key)
            self.run(STEP_SECONDS)
            self._note()

    def _note(self) -> None:
        for endpoint, at in self.left_at.items():
            for name, front in self.fronts.items():
                if (name, endpoint) not in self.learned_after:
                    fact = front.facts.get(endpoint)
                    if fact is None or fact.state is not VmState.LIVE:
                        self.learned_after[name, endpoint] = self.clock.now() - at

    def release(self, count: int, gap: float, rate: float) -> None:
        """Let endpoints leave one by one, and two more with each fourth."""
        number = 0
        for step in range(count):
            for _ in range(3 if step % 4 == 3 else 1):
                self.leave(number)
                number += 1
            self.offer(gap, rate)

    def late(self) -> list[tuple[float, str, str]]:
        """Return the processes that did not know of a departure in time, slowest first."""
        pairs = [(name, endpoint) for name in self.fronts for endpoint in self.left_at]
        found = [(self.learned_after.get(each, float("inf")), *each) for each in pairs]
        return sorted((each for each in found if each[0] > DRAIN_SECONDS), reverse=True)

    def slowest(self) -> float:
        """Return the seconds after which the last process knew of a departure."""
        pairs = [(name, endpoint) for name in self.fronts for endpoint in self.left_at]
        return max(self.learned_after.get(each, float("inf")) for each in pairs)
