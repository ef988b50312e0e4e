"""Entry processes of several zones before endpoints that some requests crash."""

from dataclasses import dataclass

from flamingofront.platform.endpoints import ENDPOINT_TABLE
from flamingofront.tests.forwarding_world import ForwardingWorld

__all__ = ["CONTACT_SECONDS", "ZONES", "Crash", "CrashingWorld", "crashing_world"]

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


class CrashingWorld(ForwardingWorld):
    """Requests whose body is among `poison` crash whatever begins to run them.

    A crashed endpoint is back after some seconds, at its address and under another id.
    """

    def __init__(self, seed: int = 1):
        super().__init__(seed)
        self.poison: set[bytes] = set()
        self.crashes: list[Crash] = []
        self.sent: list[tuple[float, bytes, str]] = []
        self._starts = 0

    def endpoint(self, name, service, zone="zone-a", version="v1", **options):
        endpoint = super().endpoint(name, service, zone, version, **options)
        endpoint.crashes_on = lambda req: self._arrived(req, name)
        endpoint.on_crash = lambda req: self._crashed(req, name, service, zone)
        return endpoint

    def _arrived(self, req, name: str) -> bool:
        self.sent.append((self.clock.now(), req.body, name))
        return req.body in self.poison

    def _crashed(self, req, name: str, service: str, zone: str) -> None:
        if not self.host(name).dead:
            self.crashes.append(Crash(self.clock.now(), name, req.body))
            self.end_endpoint(name, service, zone)

    def end_endpoint(self, name: str, service: str, zone: str) -> None:
        """Let an endpoint end without notice, whatever the reason, and come back later."""
        self.kill(name)
        timers = self.host("store").timers
        timers.once(LAPSE_SECONDS, lambda: self.store.drop(ENDPOINT_TABLE, name))
        self._starts += 1
        again = f"{name.partition('+')[0]}+{self._starts}"
        timers.once(BACK_SECONDS, lambda: self.endpoint(again, service, zone))

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
        return sum(each == body and at > known for at, each, _ in self.sent)

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
