"""Seeded fakes of engines and callers for the policy benchmark, on a virtual clock.

An engine is a fluid model: all its streams advance at the same pace, which slows with their
number. It is a few rates, not a simulator of a cluster; the decisions it feeds are those of the
daemon.
"""

import heapq
import itertools
import random
from collections import OrderedDict
from dataclasses import dataclass, field

STEP_SECONDS = 0.030
CROWDING_SECONDS = 0.0016
PREFILL_RATE = 8000.0
SLOTS = 24
CACHE_TOKENS = 60_000


class Events:
    """Virtual clock with callbacks."""

    def __init__(self):
        self.now = 0.0
        self._heap = []
        self._order = itertools.count()

    def at(self, time, callback):
        heapq.heappush(self._heap, (time, next(self._order), callback))

    def after(self, delay, callback):
        self.at(self.now + delay, callback)

    def run(self, until):
        while self._heap and self._heap[0][0] <= until:
            self.now, _, callback = heapq.heappop(self._heap)
            callback()
        self.now = until


@dataclass(eq=False)
class Stream:
    """One attempt on an engine."""

    context: int
    output_left: int
    prefill_left: float
    on_first: object
    on_done: object
    on_lost: object
    made: float = 0.0
    begun: bool = False


class Engine:
    """Fluid model of one engine VM."""

    def __init__(self, events, engine_id, zone, price, reclaimable=True):
        self.events, self.engine_id, self.zone = events, engine_id, zone
        self.price, self.reclaimable = price, reclaimable
        self.alive, self.leaving, self.slow = True, False, 1.0
        self.failing = False
        self.streams: list[Stream] = []
        self.started_at = events.now
        self.ended_at = None
        self.busy_transfer_until = 0.0
        self.cache: OrderedDict[str, int] = OrderedDict()
        self._updated = events.now
        self._version = 0

    @property
    def load(self):
        return len(self.streams)

    def pace(self):
        return (STEP_SECONDS + CROWDING_SECONDS * max(0, self.load - 1)) * self.slow

    def cost(self, now):
        end = self.ended_at if self.ended_at is not None else now
        return self.price * (end - self.started_at) / 3600.0

    def cached(self, group):
        return self.cache.get(group, 0)

    def remember(self, group, tokens):
        self.cache[group] = max(tokens, self.cache.pop(group, 0))
        while sum(self.cache.values()) > CACHE_TOKENS:
            self.cache.popitem(last=False)

    def add(self, stream):
        self._advance()
        self.streams.append(stream)
        self._reschedule()

    def remove(self, stream):
        self._advance()
        if stream in self.streams:
            self.streams.remove(stream)
        self._reschedule()

    def _advance(self):
        elapsed, self._updated = self.events.now - self._updated, self.events.now
        pace = self.pace()
        for each in self.streams:
            left = elapsed
            if each.prefill_left > 0:
                used = min(left, each.prefill_left * self.slow)
                each.prefill_left -= used / self.slow
                left -= used
            if each.prefill_left <= 1e-9:
                each.made += left / pace

    def _reschedule(self):
        self._version += 1
        version = self._version
        if not self.streams or not self.alive:
            return
        pace = self.pace()
        due = min(
            each.prefill_left * self.slow
            + pace * ((1.0 if not each.begun else each.output_left) - each.made)
            for each in self.streams
        )
        self.events.after(max(due, 1e-6), lambda: self._due(version))

    def _due(self, version):
        if version != self._version or not self.alive:
            return
        self._advance()
        for each in list(self.streams):
            if not each.begun and each.made >= 1.0 - 1e-6:
                each.begun = True
                each.on_first()
            if each.made >= each.output_left - 1e-6 and each in self.streams:
                self.streams.remove(each)
                each.on_done()
        self._reschedule()

    def die(self):
        if not self.alive:
            return
        self._advance()
        self.alive = False
        self.ended_at = self.events.now
        lost, self.streams = self.streams, []
        for each in lost:
            each.on_lost()


@dataclass(frozen=True)
class CallClass:
    """One kind of request of a caller mix."""

    name: str
    part: float
    prompt: int
    output: int
    groups: int  # number of shared prefixes
    shared: float  # part of the prompt that is the shared prefix


@dataclass(frozen=True)
class Mix:
    """Callers of one of the two deployments of today."""

    name: str
    classes: tuple[CallClass, ...]
    workspaces: tuple[tuple[str, float], ...]
    first_target: float
    token_target: float
    engines: tuple[str, ...]  # zone of each engine


_ZONES = ("zone-a", "zone-b", "zone-c", "zone-d")
COPY_EDITING = Mix(
    "copy editing",
    (
        CallClass("article", 0.15, 3000, 1200, 40, 0.9),
        CallClass("passage", 0.35, 600, 250, 60, 0.5),
        CallClass("query", 0.50, 150, 60, 20, 0.4),
    ),
    (("large-1", 0.45), ("large-2", 0.35), ("small-1", 0.1), ("small-2", 0.06), ("small-3", 0.04)),
    1.6,
    0.068,
    ("zone-a", "zone-a", "zone-b", "zone-b", "zone-c", "zone-d"),
)
DEPOSIT_DESK = Mix(
    "deposit desk",
    (
        CallClass("summary", 0.25, 1200, 250, 15, 0.7),
        CallClass("reply", 0.35, 500, 150, 10, 0.6),
        CallClass("clause", 0.40, 300, 50, 10, 0.6),
    ),
    (("large-1", 0.5), ("large-2", 0.3), ("small-1", 0.1), ("small-2", 0.06), ("small-3", 0.04)),
    1.2,
    0.068,
    ("zone-a", "zone-a", "zone-b", "zone-b", "zone-c", "zone-d"),
)
MIXES = (COPY_EDITING, DEPOSIT_DESK)


@dataclass
class Call:
    """One request of a caller."""

    number: int
    workspace: str
    kind: CallClass
    prompt: int
    output: int
    group: str
    arrived: float
    tries: int = 0
    first_at: float | None = None


@dataclass
class Result:
    """What one run gave."""

    offered: int = 0
    answered: int = 0
    in_target: int = 0
    refused_at_door: int = 0
    refused_late: int = 0
    lost: int = 0
    moved: int = 0
    failed: int = 0
    retries: int = 0
    attempts: int = 0
    recomputed: int = 0
    generated: int = 0
    cost: float = 0.0
    small_offered: int = 0
    small_in_target: int = 0
    first_waits: list[float] = field(default_factory=list)

    def row(self):
        """Return the figures that the pages quote."""
        return {
            "cost/ok": 1000 * self.cost / max(1, self.in_target),
            "in target": self.in_target / max(1, self.offered),
            "answered": self.answered / max(1, self.offered),
            "small ws": self.small_in_target / max(1, self.small_offered),
            "recomp": self.recomputed / max(1, self.generated),
            "ref door": self.refused_at_door / max(1, self.offered),
            "ref late": self.refused_late / max(1, self.offered),
            "lost": self.lost / max(1, self.offered),
            "moved": self.moved / max(1, self.offered),
            "retries": self.retries / max(1, self.offered),
            "attempts": self.attempts / max(1, self.answered),
        }


def draw_call(mix, number, now, rng):
    """Return a random call of a mix."""
    workspace = rng.choices(*zip(*mix.workspaces, strict=True))[0]
    kind = rng.choices(mix.classes, [each.part for each in mix.classes])[0]
    prompt = max(20, int(kind.prompt * rng.lognormvariate(-0.08, 0.4)))
    output = max(5, int(kind.output * rng.lognormvariate(-0.08, 0.4)))
    group = f"{kind.name}-{rng.randrange(kind.groups)}"
    return Call(number, workspace, kind, prompt, output, group, now)


def capacity_per_second(mix, engines):
    """Return the calls a second that full engines finish within the token target."""
    pace = STEP_SECONDS + CROWDING_SECONDS * (SLOTS - 1)
    seconds = sum(
        each.part * (each.prompt / PREFILL_RATE + each.output * pace) for each in mix.classes
    )
    return engines * SLOTS / seconds


def make_rng(seed, name):
    """Return a generator that depends on a seed and a name only."""
    return random.Random(f"{seed}/{name}")
