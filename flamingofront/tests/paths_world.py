"""Simulated network in which entry processes lose their paths to the endpoints."""

import itertools

from flamingofront.tests.forwarding_world import ForwardingWorld, ready_world
from flamingofront.tests.network import Caller, PathFault

__all__ = [
    "ACCEPTING_FAULTS",
    "ALL_FAULTS",
    "CONNECT_FAULTS",
    "FRONTS",
    "cut_off",
    "offer",
    "offer_for",
    "paths_world",
    "runs_of",
    "served_share",
]

ALL_FAULTS = list(PathFault)
# Faults that a connection shows; the seeds of the soaks were played with these.
CONNECT_FAULTS = [each for each in PathFault if not each.accepts]
ACCEPTING_FAULTS = [each for each in PathFault if each.accepts]
FRONTS = tuple(f"front-{number}" for number in range(1, 6))
# Requests of each kind: idempotent, at most once, streams that may be resumed and that may not.
PATHS = ("/read/1", "/write/1", "/stream/again/1", "/stream/once/1")
PERIOD_SECONDS = 0.08


def offer(world: ForwardingWorld, seconds: float) -> list[tuple[str, float, Caller]]:
    """Send requests as `offer_for` does, and wait until all are answered."""
    sent = offer_for(world, seconds)
    world.run(4.0)
    return sent


def offer_for(world: ForwardingWorld, seconds: float) -> list[tuple[str, float, Caller]]:
    """Send requests to all entry processes for some seconds; return VM, time and caller of each."""
    sent, until = [], world.clock.now() + seconds
    paths = itertools.cycle(PATHS)
    while world.clock.now() < until:
        for name, node in world.fronts.items():
            if not world.host(name).dead and not node.stopping:
                sent.append((name, world.clock.now(), world.ask(name, next(paths))))
        world.run(PERIOD_SECONDS)
    return sent


def served_share(sent: list[tuple[str, float, Caller]], names, since: float) -> float:
    served = [
        caller.status == 200 and caller.done and not caller.broken
        for name, at, caller in sent
        if name in names and at >= since
    ]
    return sum(served) / len(served)


def paths_world(fronts: int = 5, engines: int = 4, plains: int = 4, **options) -> ForwardingWorld:
    """Return a ready world whose entry processes keep idle connections."""
    world = ready_world(fronts=fronts, engines=engines, plains=plains, **options)
    world.keeps_connections = True
    return world


def cut_off(world: ForwardingWorld, fronts: tuple[str, ...], fault: PathFault) -> None:
    """Let the paths from some entry processes to all endpoints fail."""
    world.fail_paths(fronts, list(world.endpoints), fault)


def runs_of(world: ForwardingWorld, prefix: str) -> list[str]:
    """Return the ids of the requests that endpoints ran, once for each run."""
    return [
        req.header("x-flamingofront-request-id")
        for endpoint in world.endpoints.values()
        for req in endpoint.runs
        if req.path.startswith(prefix)
    ]
