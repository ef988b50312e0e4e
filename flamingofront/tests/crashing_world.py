"""Entry processes of several zones before endpoints that some requests crash."""

import random
from dataclasses import dataclass

from flamingofront.messages import InboundRequest
from flamingofront.platform.endpoints import ENDPOINT_TABLE
from flamingofront.standins.forward_endpoint import list_shared_parts
from flamingofront.standins.table_store import StoreFault
from flamingofront.tests.forwarding_world import ForwardingWorld

__all__ = [
    "AnyTrouble",
    "CONTACT_SECONDS",
    "Crash",
    "CrashingWorld",
    "Send",
    "ZONES",
    "crashing_world",
]

# Word of what happened is owed to all processes so much later, as the platform sees it.
CONTACT_SECONDS = 3.0
# A crashed endpoint's row lapses after three reports that did not come.
LAPSE_SECONDS = 3.6
BACK_SECONDS = 3.0
ZONES = ("zone-a", "zone-b", "zone-c", "zone-d")


@dataclass(frozen=True)
class Crash:
    """An endpoint that ended under a request."""

    at: float
    endpoint_id: str
    body: bytes
    parts: frozenset[str] = frozenset()


@dataclass(frozen=True)
class Send:
    """A request that reached an endpoint.

    Parameters
    ----------
    in_touch : bool
        True if the process that sent it, and the store, had not been disturbed for long enough.
    """

    at: float
    body: bytes
    front: str
    in_touch: bool
    parts: frozenset[str] = frozenset()


class CrashingWorld(ForwardingWorld):
    """Requests whose body is among `poison` crash whatever begins to run them.

    So do requests that have one of `poison_parts` in their prompt, unless it is the last part. A
    crashed endpoint is back after `back_seconds`, at its address and under another id. Its
    listening sockets are closed `ending_seconds` after its connections. If `is_host_lost`, its
    connections are not reset, and nobody refuses new ones.

    `crash_options` are attributes of the stand-ins: when they crash, and what they send before.
    """

    def __init__(self, seed: int = 1):
        super().__init__(seed)
        self.poison: set[bytes] = set()
        self.poison_parts: set[str] = set()
        self.back_seconds = BACK_SECONDS
        self.ending_seconds = 0.0
        self.is_host_lost = False
        self.crash_options: dict[str, object] = {}
        self.crashes: list[Crash] = []
        self.sent: list[Send] = []
        self._starts = 0
        # When a process, or the store for all, was last disturbed.
        self.disturbed: dict[str, float] = {}
        self.store_disturbed = 0.0

    def endpoint(self, name, service, zone="zone-a", version="v1", **options):
        endpoint = super().endpoint(name, service, zone, version, **options)
        endpoint.crashes_on = self._is_poison
        for option, value in self.crash_options.items():
            setattr(endpoint, option, value)
        endpoint.on_crash = lambda req: self._crashed(req, name, service, zone)
        inner = endpoint.handle

        def handle(req, exchange):
            front = exchange._link.source.name
            in_touch, parts = self._is_in_touch(front), list_shared_parts(req)
            self.sent.append(Send(self.clock.now(), req.body, front, in_touch, parts))
            inner(req, exchange)

        self.host(name).handler = handle
        return endpoint

    def _is_poison(self, req: InboundRequest) -> bool:
        return req.body in self.poison or not self.poison_parts.isdisjoint(list_shared_parts(req))

    def _is_in_touch(self, front: str) -> bool:
        since = max(self.disturbed.get(front, 0.0), self.store_disturbed)
        return self.clock.now() - since >= CONTACT_SECONDS

    def disturb(self, *fronts: str) -> None:
        """Note a disturbance of some processes."""
        self.disturbed.update(dict.fromkeys(fronts, self.clock.now()))

    def _crashed(self, req, name: str, service: str, zone: str) -> None:
        if not self.host(name).dead:
            self.crashes.append(Crash(self.clock.now(), name, req.body, list_shared_parts(req)))
            self.end_endpoint(name, service, zone)

    def end_endpoint(self, name: str, service: str, zone: str) -> None:
        """Let an endpoint end without notice, whatever the reason, and come back later."""
        self.host(name).listens_until = self.clock.now() + self.ending_seconds
        self.kill(name, dark=self.is_host_lost, silent=self.is_host_lost)
        timers = self.host("store").timers
        timers.once(LAPSE_SECONDS, lambda: self.store.drop(ENDPOINT_TABLE, name))
        self._starts += 1
        again = f"{name.partition('+')[0]}+{self._starts}"
        timers.once(self.back_seconds, lambda: self.endpoint(again, service, zone))

    def set_crash_options(self, **options: object) -> None:
        """Set attributes of all endpoints, also of those that start later."""
        self.crash_options.update(options)
        for endpoint in self.endpoints.values():
            for option, value in options.items():
                setattr(endpoint, option, value)

    def alive(self, service: str) -> list[str]:
        """Return the endpoints of a service that have not ended."""
        prefix = "engine" if service == "engines" else "plain"
        return [
            name for name in self.endpoints if name.startswith(prefix) and not self.host(name).dead
        ]

    def ends_under(self, body: bytes) -> list[Crash]:
        """Return the endpoints that a request crashed."""
        return [each for each in self.crashes if each.body == body]

    def sent_late(self, body: bytes) -> int:
        """Return how often a request was sent on, later than word of its third end is owed."""
        ends = self.ends_under(body)
        if len(ends) < 3:
            return 0
        known = ends[2].at + CONTACT_SECONDS
        return sum(each.body == body and each.at > known and each.in_touch for each in self.sent)

    def crashes_with_part(self, part: str) -> list[Crash]:
        """Return the endpoints that requests with a part in their prompt crashed."""
        return [each for each in self.crashes if part in each.parts]

    def sent_late_with_part(self, part: str) -> int:
        """Return how many requests with a part were sent after all had to know of five crashes."""
        crashes = self.crashes_with_part(part)
        if len(crashes) < 5:
            return 0
        known = crashes[4].at + CONTACT_SECONDS
        return sum(part in each.parts and each.at > known and each.in_touch for each in self.sent)

    def restart(self, *fronts: str) -> None:
        """Kill entry processes, all if none is named, and start them again at once."""
        for name in fronts or tuple(self.fronts):
            zone = self.host(name).zone
            self.kill(name)
            self.front(name, zone, first_start=False)

    def live_fronts(self) -> list[str]:
        """Return the entry processes that run."""
        return [name for name in self.fronts if not self.host(name).dead]

    def ask_one(self, path: str, body: bytes, front: str | None = None, **headers: str):
        """Send a request, under an id of its own, to any entry process."""
        front = front or self.rng.choice(self.live_fronts())
        return self.ask(front, path, body=body, **headers)


def crashing_world(
    fronts: int = 7, engines: int = 9, plains: int = 4, seed: int = 1, zones=ZONES, **changes
) -> CrashingWorld:
    """Return a world whose entry processes and endpoints are spread over zones and ready."""
    world = CrashingWorld(seed)
    world.configure_routes(**changes)
    for number in range(engines):
        world.endpoint(f"engine-{number}", "engines", zones[number % len(zones)], gap=0.03)
    for number in range(plains):
        world.endpoint(f"plain-{number}", "records", zones[number % len(zones)])
    for number in range(fronts):
        world.front(f"front-{number}", zones[number % len(zones)])
    world.run_until(lambda: all(each.ready for each in world.fronts.values()))
    world.run(3.0)
    return world


class AnyTrouble:
    """Plays requests of all kinds, some of which crash endpoints, beside troubles by chance."""

    PATHS = ("/stream/again/x", "/stream/once/x", "/read/x", "/write/x")

    def __init__(self, seed: int):
        self.world = crashing_world(seed=seed, fronts=8, engines=10, plains=6)
        self.rng = random.Random(seed)
        self.poison = [(b"poison %d" % each, self.rng.choice(self.PATHS)) for each in range(2)]
        self.world.poison.update(body for body, _ in self.poison)
        self.callers: list = []
        self._paused: set[str] = set()

    def play(self, seconds: float) -> "AnyTrouble":
        """Play some seconds, then let everything come back."""
        end = self.world.clock.now() + seconds
        while self.world.clock.now() < end:
            if self.rng.random() < 0.12:
                self.rng.choice(self._troubles())()
            self._ask()
            self.world.run(self.rng.random() * 0.2)
        self._calm_down()
        for _ in range(60):
            self._ask()
            self.world.run(0.1)
        return self

    def _ask(self) -> None:
        if self.rng.random() < 0.25:
            body, path = self.rng.choice(self.poison)
            for _ in range(self.rng.choice((1, 1, 1, 4))):
                self._ask_one(path, body)
        else:
            for _ in range(self.rng.choice((1, 3, 8))):
                body = b"prompt %d" % self.rng.randrange(1_000_000)
                self.callers.append(self._ask_one(self.rng.choice(self.PATHS), body))

    def _ask_one(self, path: str, body: bytes):
        running = [each for each in self.world.live_fronts() if each not in self._paused]
        return self.world.ask(self.rng.choice(running), path, body=body) if running else None

    def _troubles(self):
        return (
            self._kill,
            self._kill_all,
            self._pause,
            self._cut,
            self._end,
            self._store,
            self._lossy,
        )

    def _restart(self, name: str) -> None:
        self._paused.discard(name)
        zone = self.world.host(name).zone
        self.world.kill(name)
        self.world.front(name, zone, first_start=False)
        self.world.disturb(name)

    def _kill(self) -> None:
        self._restart(self.rng.choice(list(self.world.fronts)))

    def _kill_all(self) -> None:
        if self.rng.random() < 0.3:
            for name in list(self.world.fronts):
                self._restart(name)

    def _pause(self) -> None:
        name = self.rng.choice(list(self.world.fronts))
        self.world.pause(name)
        self._paused.add(name)
        self.world.disturb(name)
        timers = self.world.host("store").timers
        timers.once(0.5 + 4 * self.rng.random(), lambda: self._resume(name))

    def _resume(self, name: str) -> None:
        if name in self._paused:
            self._paused.discard(name)
            self.world.resume(name)
            self.world.disturb(name)

    def _cut(self) -> None:
        zone = self.rng.choice(ZONES)
        for other in ZONES:
            if other != zone:
                self.world.cut(zone, other)
        timers = self.world.host("store").timers
        timers.once(1.0 + 5 * self.rng.random(), self.world.heal)

    def _end(self) -> None:
        names = self.world.alive("engines") + self.world.alive("records")
        for name in self.rng.sample(names, min(len(names), self.rng.randrange(1, 4))):
            service = "engines" if name.startswith("engine") else "records"
            self.world.end_endpoint(name, service, self.world.host(name).zone)

    def _store(self) -> None:
        self.world.store.fault = self.rng.choice(list(StoreFault))
        self.world.store_disturbed = self.world.clock.now()
        self.world.host("store").timers.once(2 * self.rng.random(), self._store_back)

    def _store_back(self) -> None:
        self.world.store.fault = StoreFault.NONE
        self.world.store_disturbed = self.world.clock.now()

    def _lossy(self) -> None:
        self.world.lost_datagrams = self.rng.choice((0.0, 0.1, 0.3))

    def _calm_down(self) -> None:
        self.world.heal()
        self.world.lost_datagrams = 0.0
        self._store_back()
        for name in list(self._paused):
            self._resume(name)
        self.world.run(CONTACT_SECONDS + 1.0)

    def refused_for_nothing(self) -> int:
        """Return how many harmless requests were refused as if they crashed endpoints."""
        return sum(b"crashes_endpoints" in each.body for each in self.callers if each is not None)
