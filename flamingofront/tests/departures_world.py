"""Entry processes in the simulated network, and endpoints that leave in several ways."""

from collections import defaultdict
from dataclasses import dataclass

from flamingofront.process.forwarding.node import FEED_PAUSE_SECONDS
from flamingofront.process.membership import VmState
from flamingofront.tests.forwarding_world import ForwardingWorld

__all__ = ["CONTACT_SECONDS", "DRAIN_SECONDS", "ZONES", "DeparturesWorld", "LateArrival"]

ZONES = ("zone-a", "zone-b")
# From the store's confirmation that an endpoint leaves until no process sends it anything.
DRAIN_SECONDS = 2.0
# A process is bound once it and the store have been undisturbed for so long.
CONTACT_SECONDS = 3.0
# A restarted process is ready after a fraction of this.
START_SECONDS = 6.0


@dataclass(frozen=True)
class LateArrival:
    """A request that reached an endpoint after it had left for too long."""

    front: str
    endpoint: str
    seconds: float


class DeparturesWorld(ForwardingWorld):
    """World that knows when each endpoint left, and when each process learned of it.

    Attributes
    ----------
    late_arrivals : list of LateArrival
        Requests that reached endpoints too late, from processes that were not disturbed.
    left_at : dict
        When the store confirmed that an endpoint leaves.
    learned_after : dict
        Seconds from then until a process knew it, by process and endpoint.
    disturbed_at : dict
        Last time at which a process was disturbed, by process; the key ``store`` is for all.
    """

    def __init__(self, seed: int = 1, fronts: int = 5, plains: int = 8):
        super().__init__(seed)
        self.keeps_connections = True
        self.left_at: dict[str, float] = {}
        # Endpoints that left after the store and all processes had been undisturbed for a while.
        self.left_in_calm: set[str] = set()
        self.learned_after: dict[tuple[str, str], float] = {}
        self.disturbed_at: dict[str, float] = defaultdict(lambda: -CONTACT_SECONDS)
        self.disturbed_at["store"] = -CONTACT_SECONDS
        self.late_arrivals: list[LateArrival] = []
        self._sequences: dict[str, int] = {}
        self._numbers = iter(range(1, 1_000_000))
        self.configure_routes()
        for _ in range(plains):
            self.add_endpoint()
        self.endpoint("engine-1", "engines")
        for number in range(fronts):
            self.front(f"front-{number}", ZONES[number % len(ZONES)])
        self.run_until(lambda: all(each.ready for each in self.fronts.values()))
        self.run(START_SECONDS)

    # Endpoints

    def add_endpoint(self, zone: str = "") -> str:
        """Start a plain endpoint whose arrivals are recorded, and return its id."""
        number = next(self._numbers)
        name = f"plain-{number}"
        zone = zone or ZONES[number % len(ZONES)]
        endpoint = self.endpoint(name, "records", zone)
        self._sequences[name] = 1

        def handle(req, exchange):
            if req.header("x-flamingofront-expect-instance"):
                self._record_arrival(exchange.source, name)
            endpoint.handle(req, exchange)

        self.host(name).handler = handle
        return name

    def serving(self) -> list[str]:
        """Return the plain endpoints that have not left."""
        return [name for name in self._sequences if name not in self.left_at]

    def write_row(self, name: str, state: str = "ready") -> None:
        """Write the row of an endpoint once more."""
        self._sequences[name] += 1
        zone = self.host(name).zone
        sequence = self._sequences[name]
        self.register(name, "records", zone, state=state, sequence=sequence)

    def leave(self, name: str, way: str = "removed") -> None:
        """Let an endpoint leave: its row says so (``draining``) or is removed; it serves on."""
        if way == "draining":
            self.write_row(name, "draining")
        else:
            self.store.drop("servers", name)
        now = self.clock.now()
        if name not in self.left_at and max(self.disturbed_at.values()) + CONTACT_SECONDS <= now:
            self.left_in_calm.add(name)
        self.left_at.setdefault(name, now)

    def returns(self, name: str) -> None:
        """Let an endpoint write its row again."""
        self.left_at.pop(name, None)
        self.left_in_calm.discard(name)
        self.learned_after = {
            each: at for each, at in self.learned_after.items() if each[1] != name
        }
        self.write_row(name)

    def knows(self, front: str, endpoint: str) -> bool:
        """Return True if a process sends an endpoint nothing."""
        fact = self.fronts[front].facts.get(endpoint)
        return fact is None or fact.state is not VmState.LIVE

    # Time

    def watch(self, seconds: float) -> None:
        """Let time pass, and record when processes learn that endpoints left."""
        end = self.clock.now() + seconds
        self.run_until(self._record_knowledge, seconds, must=False)
        self.run(max(0.0, end - self.clock.now()))

    def _record_knowledge(self) -> bool:
        for endpoint, at in self.left_at.items():
            for front in self.fronts:
                if (front, endpoint) not in self.learned_after and self.knows(front, endpoint):
                    self.learned_after[front, endpoint] = self.clock.now() - at
        return False

    def slowest(self) -> float:
        """Return the seconds after which the last process knew of the last departure."""
        pairs = [(front, name) for front in self.fronts for name in self.left_at]
        return max(self.learned_after.get(each, float("inf")) for each in pairs)

    # Disturbances

    def disturb(self, name: str = "store") -> None:
        """Record that a process, or the store for all, is disturbed now."""
        self.disturbed_at[name] = self.clock.now()

    def lose_answers(self, seconds: float, *fronts: str) -> None:
        """Lose what the store answers to some processes, or to all, on their open connections.

        Notes
        -----
        These connections deliver nothing more; new ones work.
        """
        chosen = fronts or tuple(self.fronts)
        self.disturb()
        for link in list(self.host("store").links):
            if link.target is self.host("store") and link.source.name in chosen:
                link.back = lambda *events: None
        for name in chosen:
            self.cut(name, "store")
        self.host("engine-1").timers.once(seconds, lambda: self._heal_store(chosen))

    def lose_one_answer(self, seconds: float = 0.25) -> None:
        """Let each process wait for an answer of its change feed that never comes.

        Notes
        -----
        A change just before makes all long polls begin together. Relays pause after a change.
        """
        name = self.serving()[0]
        self.write_row(name)
        self.watch(FEED_PAUSE_SECONDS + 0.05)
        self.lose_answers(seconds)
        self.write_row(name)

    def _heal_store(self, fronts: tuple[str, ...]) -> None:
        for name in fronts:
            self.cuts.discard(frozenset((name, "store")))
        self.disturb()

    # Oracle

    def _record_arrival(self, front: str, endpoint: str) -> None:
        """Record a request that is too late, though all were undisturbed before the endpoint left.

        Notes
        -----
        Its sender and the store were undisturbed before the arrival, too. What lies between excuses
        nothing.
        """
        now, left = self.clock.now(), self.left_at.get(endpoint)
        if left is None or now - left <= DRAIN_SECONDS:
            return
        last = max(self.disturbed_at["store"], self.disturbed_at[front])
        if endpoint in self.left_in_calm and last + CONTACT_SECONDS <= now:
            self.late_arrivals.append(LateArrival(front, endpoint, now - left))
