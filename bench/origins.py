"""Ways to know the version that began a stream: what goes on after a kill, and what each costs.

Streams of two versions run in the simulated network; two entry processes are killed while they
run, and their callers resume at others. Bytes and datagrams are those of all processes on origins.
"""

import time
import tracemalloc
from abc import ABC, abstractmethod

from flamingofront.decisions.stream_origin import StreamOrigin, VersionHistory
from flamingofront.process.forwarding import shared_origins
from flamingofront.process.forwarding.origin_members import OriginMembers
from flamingofront.process.forwarding.shared_origins import SharedOrigins
from flamingofront.process.metrics import Metrics
from flamingofront.process.timers import ManualClock, TimerService
from flamingofront.request.stream_origins import (
    OriginRecord,
    RecordedVersions,
    compute_origin_key,
)
from flamingofront.tests.versions_world import (
    GAP_SECONDS,
    StreamCaller,
    VersionsWorld,
    versions_world,
)

__all__ = ["main"]

STREAMS_PER_SECOND = 100.0
SECONDS = 2.0
KILLED = ("front-1", "front-2")


class Way(ABC):
    """Way to know the version that began a stream."""

    name: str

    @abstractmethod
    def prepare(self, world: VersionsWorld) -> None:
        """Let the processes of a world use this way."""


class AnnounceAtOnce(Way):
    """Announce each first event to three peers at once, and ask peers at a resumption."""

    name = "announced at once"

    def prepare(self, world: VersionsWorld) -> None:
        """Change nothing."""


class AnnounceInReports(Way):
    """Announce with the period of the reports between processes."""

    name = "announced each 0.25 s"

    def prepare(self, world: VersionsWorld) -> None:
        """Announce as rarely as reports are sent."""
        shared_origins.FLUSH_SECONDS = 0.25
        for node in world.fronts.values():
            node.origins._announce = node.origins._announce_later


class AskOnly(Way):
    """Announce nothing, and ask peers at a resumption."""

    name = "asked only"

    def prepare(self, world: VersionsWorld) -> None:
        """Drop all announcements."""
        for node in world.fronts.values():
            node.origins._announce = lambda key, record: None


WAYS: tuple[Way, ...] = (AnnounceAtOnce(), AnnounceInReports(), AskOnly())


def play(way: Way, fronts: int, seed: int) -> dict[str, float]:
    """Return the figures of one play."""
    flush_seconds = shared_origins.FLUSH_SECONDS
    world = versions_world(fronts, each=6, seed=seed)
    way.prepare(world)
    before = sum_origin_bytes(world)
    started = time.process_time()
    callers = []
    while len(callers) < STREAMS_PER_SECOND * SECONDS:
        caller = StreamCaller(world, len(callers))
        callers.append(caller)
        caller.call(f"front-{1 + caller.number % fronts}")
        world.run(1 / STREAMS_PER_SECOND)
    spent = time.process_time() - started
    sent = sum_origin_bytes(world) - before
    for name in KILLED:
        world.kill(name)
    lost = [
        each for each in callers if each.tries[0][1] in KILLED and each.events and not each.is_whole
    ]
    for each in lost:
        each.call(f"front-{3 + each.number % (fronts - 2)}")
    world.run(30 * GAP_SECONDS + 1.0)
    shared_origins.FLUSH_SECONDS = flush_seconds
    return {
        "resumed": len(lost),
        "went on": sum(each.is_whole for each in lost),
        "mixed": sum(len(each.seen_versions) > 1 for each in lost),
        "bytes a stream": sent / len(callers),
        "ms a stream": 1000 * spent / len(callers),
    }


def sum_origin_bytes(world: VersionsWorld) -> float:
    """Return the bytes of datagrams on origins that all processes have sent."""
    return sum(
        node.metrics.value("peer_bytes_total", way="sent", kind="origin")
        for node in world.fronts.values()
    )


def measure_costs(count: int = 20_000) -> dict[str, float]:
    """Return the processor time and the memory that the announcements of one stream take."""
    clock = ManualClock()
    sent: list[bytes] = []
    peers = [_make_origins(clock, sent) for _ in range(2)]
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    for number in range(count):
        record = OriginRecord(StreamOrigin("v1.2", "engines", f"i-{number % 30}"), 0.0, 27.0, False)
        peers[1].local.table.store(f"{number:024x}", record)
    memory = (tracemalloc.get_traced_memory()[0] - before) / count
    tracemalloc.stop()
    timers = peers[0].timers
    started = time.process_time()
    for number in range(count):
        origin = StreamOrigin("v1.2", "engines", f"i-{number % 30}")
        peers[0].record(compute_origin_key("desk", "again", f"r-{number}"), origin, 12.0)
        clock.time += 0.06
        timers.run_due()
    recording = time.process_time() - started
    started = time.process_time()
    for data in sent:
        peers[1].receive(data, "10.0.0.1")
    receiving = time.process_time() - started
    return {
        "us to record and announce": 1e6 * recording / count,
        "us to receive at all keepers": 1e6 * receiving / count,
        "bytes of datagrams": sum(map(len, sent)) / count,
        "bytes of memory at a keeper": memory,
    }


class _FixedMembers(OriginMembers):
    """Three keepers."""

    def __init__(self):
        pass

    def list_keepers(self, key: str) -> list[str]:
        return ["10.0.0.2", "10.0.0.3", "10.0.0.4"]


class _NoRecordedVersions(RecordedVersions):
    """Nothing is recorded."""

    def read(self, on_read) -> None:
        on_read(None)

    def record_new_version(self) -> None:
        pass


def _make_origins(clock: ManualClock, sent: list[bytes]) -> SharedOrigins:
    timers = TimerService(clock)
    versions = VersionHistory(timers.now)
    versions.record("i-1", "engines", "v1")
    versions.record("i-2", "engines", "v1.2")
    origins = SharedOrigins(
        _FixedMembers(),
        versions,
        lambda: True,
        _NoRecordedVersions(),
        lambda data, ip: sent.append(data),
        timers,
        Metrics({"vm": "front-1"}),
    )
    origins.timers = timers
    return origins


def main() -> None:
    """Print the figures of each way, and what one stream costs."""
    for name, value in measure_costs().items():
        print(f"{name}: {value:.1f}")
    for fronts in (5, 24):
        for way in WAYS:
            for seed in (1, 2):
                figures = play(way, fronts, seed)
                text = ", ".join(f"{name} {value:g}" for name, value in figures.items())
                print(f"{fronts} processes, seed {seed}, {way.name}: {text}")


if __name__ == "__main__":
    main()
