"""Simulated network whose model endpoints have several software versions, and callers that resume.

An endpoint writes its version into each event, so that a caller's events tell which versions they
come from, as callers and operators cannot.
"""

import itertools
import re
from collections.abc import Iterator
from dataclasses import dataclass, field

from flamingofront.process.forwarding.peers import MAX_DIRECT_PEERS
from flamingofront.tests.forwarding_world import ForwardingWorld, configuration
from flamingofront.tests.network import Caller

__all__ = ["StreamCaller", "VersionsWorld", "versions_world"]

_EVENT = re.compile(rb"id: (\d+)\ndata: (\S+)\n\n")
ZONES = ("zone-a", "zone-b")
EVENTS = 24
GAP_SECONDS = 0.06
MAX_ATTEMPTS = 3


class VersionsWorld(ForwardingWorld):
    """World that knows the version of each endpoint.

    Attributes
    ----------
    versions : dict of str to str
        Version of each endpoint that was started.
    labels : dict of str to str
        Version behind the data of events; an endpoint that starts again under its id has another.
    leaving : set of str
        Endpoints whose row says that they leave.
    """

    def __init__(self, seed: int = 1):
        super().__init__(seed)
        self.versions: dict[str, str] = {}
        self.labels: dict[str, str] = {}
        self.leaving: set[str] = set()

    def is_serving(self, name: str) -> bool:
        """Return True if an endpoint runs and takes new requests."""
        return not self.host(name).dead and name not in self.leaving

    def count_serving(self, version: str) -> int:
        """Return the number of endpoints of a version that take new requests."""
        return sum(
            self.is_serving(name) for name, found in self.versions.items() if found == version
        )

    def versioned_engine(self, name: str, version: str, zone: str = "zone-a", **options):
        """Start a model endpoint of a version."""
        self.versions[name] = version
        options = {"events": EVENTS, "gap": GAP_SECONDS, **options}
        endpoint = self.endpoint(name, "engines", zone, version, **options)
        if name in self.labels:
            endpoint.event_text = f"{name}~{len(self.labels)}"
        self.labels[endpoint.event_text] = version
        return endpoint

    def remove_version(self, version: str) -> None:
        """Kill all endpoints of a version, and remove their rows."""
        for name in [each for each, found in self.versions.items() if found == version]:
            self.kill(name)
            self.store.drop("servers", name)

    def hosts_by_name(self) -> list[str]:
        """Return the names of all hosts."""
        return [each.name for each in self.hosts.values()]

    def live_fronts(self) -> list[str]:
        """Return the entry processes that run."""
        return [name for name in self.fronts if not self.host(name).dead]


def versions_world(
    fronts: int = 5, versions: tuple[str, ...] = ("v1", "v1.2"), each: int = 3, seed: int = 1
) -> VersionsWorld:
    """Return a ready world with endpoints of each version in two zones."""
    world = VersionsWorld(seed)
    doc = configuration()
    doc["routes"] = [{**route, "max_attempts": MAX_ATTEMPTS} for route in doc["routes"]]
    world.configure_routes(routes=doc["routes"])
    zones = itertools.cycle(ZONES)
    for version in versions:
        for number in range(1, each + 1):
            world.versioned_engine(f"{version}-{number}", version, next(zones))
    for number in range(1, fronts + 1):
        world.front(f"front-{number}", ZONES[number % 2])
    world.run_until(lambda: all(node.ready for node in world.fronts.values()))
    # A new process has a smaller retry budget; among many each has a small one anyway.
    world.run(12.0 if fronts <= MAX_DIRECT_PEERS else 4.0)
    return world


@dataclass(eq=False)
class StreamCaller:
    """A caller that takes up its stream again until it is whole or its tries are used up.

    Parameters
    ----------
    world : VersionsWorld
        Network in which it calls.
    number : int
        Its stream; each has a target of its own.
    """

    world: VersionsWorld
    number: int
    tries: list[tuple[str, str, Caller]] = field(default_factory=list)
    _read: dict[str, list[tuple[int, str]]] = field(default_factory=dict)

    def call(self, front: str, **headers: str) -> Caller:
        """Send the next try to an entry process: the first one, or one that resumes the stream."""
        request_id = f"s{self.number}-{len(self.tries) + 1}"
        if self.origin_id and not headers:
            headers = {"Resumes": self.origin_id, "Last_Event_Id": str(self.events[-1][0])}
        caller = self.world.ask(
            front,
            f"/stream/again/{self.number}",
            request_id=request_id,
            **headers,
        )
        self.tries.append((request_id, front, caller))
        return caller

    @property
    def caller(self) -> Caller:
        """Connection of the last try."""
        return self.tries[-1][2]

    @property
    def events(self) -> list[tuple[int, str]]:
        """Numbers of the events that all tries brought, and the endpoint of each."""
        return [each for name, _, caller in self.tries for each in self._events_of(name, caller)]

    def _events_of(self, name: str, caller: Caller) -> list[tuple[int, str]]:
        return self._read[name] if name in self._read else list(_read_events(caller))

    def close_last(self) -> None:
        """Read nothing more of the last try: its caller has closed the connection."""
        name, _, caller = self.tries[-1]
        self._read[name] = list(_read_events(caller))

    def brought_event(self, index: int) -> bool:
        """Return True if a try brought an event."""
        name, _, caller = self.tries[index]
        return bool(self._events_of(name, caller))

    @property
    def origin_id(self) -> str:
        """Id of the try that brought the first event; empty without one."""
        tries = ((name, self._events_of(name, caller)) for name, _, caller in self.tries)
        return next((name for name, events in tries if events), "")

    @property
    def seen_versions(self) -> set[str]:
        """Versions of the endpoints whose events the tries brought."""
        world = self.world
        return {world.labels.get(label) or world.versions[label] for _, label in self.events}

    @property
    def is_whole(self) -> bool:
        """True if each event came once and in order, and the last try ended as complete."""
        numbers = [number for number, _ in self.events]
        done = self.caller.done and not self.caller.broken and self.caller.status == 200
        return done and numbers == list(range(1, EVENTS + 1))

    @property
    def looks_complete(self) -> bool:
        """True if the last try ended as a complete stream."""
        return self.caller.done and not self.caller.broken and self.caller.status == 200


def _read_events(caller: Caller) -> Iterator[tuple[int, str]]:
    if caller.status != 200:
        return
    for match in _EVENT.finditer(caller.body):
        yield int(match[1]), match[2].decode()
