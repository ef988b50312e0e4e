"""Sound requests, and others with a prompt part that crashes endpoints, at entry processes."""

import itertools
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass, field

from flamingofront.tests.crashing_world import CONTACT_SECONDS, AnyTrouble, CrashingWorld
from flamingofront.tests.network import Caller

__all__ = [
    "POISON_PART",
    "SHARED_PART",
    "LongStreamLoad",
    "PartLoad",
    "PartTrouble",
    "insert_part",
]

POISON_PART = "dead01"
SHARED_PART = "5a0001"
STEP_SECONDS = 0.05
# Sound requests in a second, as one a step.
SOUND_PATHS = ("/stream/again/x", "/stream/once/x")


@dataclass(frozen=True)
class _Asked:
    """A sound request that was sent at a time."""

    at: float
    caller: Caller

    @property
    def is_served(self) -> bool:
        """True if the first attempt of its caller was answered in full."""
        return self.caller.done and self.caller.status == 200 and not self.caller.broken


def insert_part(parts: Sequence[str], part: str, place: str, number: int) -> list[str]:
    """Return the parts with one more at a place, ``anywhere`` by the number of the request."""
    index = {"first": 0, "middle": 1, "deep": len(parts)}.get(place, number % (len(parts) + 1))
    return [*parts[:index], part, *parts[index:]]


@dataclass
class PartLoad:
    """Plays requests and keeps the outcome of the sound ones.

    Parameters
    ----------
    place : str
        Where the poison part stands: ``first``, ``middle``, ``deep`` or ``anywhere``; never last.
    poison_parts : tuple of str
        Parts that crash endpoints; a request holds one, in turn.
    poison_period : float
        Seconds between two requests with such a part.
    paths : tuple of str
        Targets of the requests with such a part, in turn.
    leave_seconds : tuple of float, optional
        Shortest and longest time after which callers with such a part close their connections.
    leaving_share : float
        Share of them that do so.
    poison_front : str, optional
        Entry process that gets all requests with such a part.
    deadline_ms : int
        Time for which callers wait.
    """

    world: CrashingWorld
    place: str = "middle"
    poison_parts: tuple[str, ...] = (POISON_PART,)
    poison_period: float = 0.25
    paths: tuple[str, ...] = ("/stream/again/x",)
    leave_seconds: tuple[float, float] | None = None
    leaving_share: float = 1.0
    poison_front: str | None = None
    deadline_ms: int = 3000
    events: list[tuple[float, Callable[[], object]]] = field(default_factory=list)
    sound: list[_Asked] = field(default_factory=list)
    poison: list[Caller] = field(default_factory=list)
    _number: int = 0
    _poison_count: Iterator[int] = field(default_factory=itertools.count)
    _next_poison: float = 0.0
    _start: float = 0.0

    @property
    def elapsed(self) -> float:
        """Seconds of the play so far."""
        return self.world.clock.now() - self._start

    def at(self, seconds: float, action: Callable[[], object]) -> "PartLoad":
        """Do something at a time of the play."""
        self.events.append((seconds, action))
        return self

    def play(self, seconds: float = 24.0, poison_from: float = 6.0) -> "PartLoad":
        """Play some seconds, the requests with poison parts from a time on."""
        self.world.poison_parts.update(self.poison_parts)
        self._start = self.world.clock.now()
        self._next_poison = self._start + poison_from
        while self.elapsed < seconds:
            now = self.world.clock.now()
            due = [each for each in self.events if each[0] <= self.elapsed]
            self.events = [each for each in self.events if each[0] > self.elapsed]
            for _, action in due:
                action()
            self._ask_sound(now)
            while self._next_poison <= now:
                self._ask_poison()
                self._next_poison += self.poison_period
            self.world.run(STEP_SECONDS)
        self.world.run(5.0)
        return self

    def _parts(self) -> list[str]:
        """Return parts that all requests share, and that few do."""
        return [SHARED_PART, f"5b000{self._number % 4}"]

    def _ask_sound(self, now: float) -> None:
        path = SOUND_PATHS[self._number % len(SOUND_PATHS)]
        caller = self.ask(path, self._parts())
        if caller is not None:
            self.sound.append(_Asked(now, caller))

    def _ask_poison(self) -> None:
        count = next(self._poison_count)
        part = self.poison_parts[count % len(self.poison_parts)]
        parts = insert_part(self._parts(), part, self.place, count)
        caller = self.ask(self.paths[count % len(self.paths)], parts, self.poison_front)
        if caller is None:
            return
        self.poison.append(caller)
        rng = self.world.rng
        if self.leave_seconds is not None and rng.random() < self.leaving_share:
            timers = self.world.host("store").timers
            timers.once(rng.uniform(*self.leave_seconds), caller.leave)

    def ask(self, path: str, parts: list[str], front: str | None = None) -> Caller | None:
        """Send a request whose id, body, length and last part no other one has."""
        self._number += 1
        if not self.world.live_fronts():
            return None
        body = b"prompt %d " % self._number + b"x" * (self._number % 37)
        prompt = ",".join(f"{each}:40" for each in [*parts, f"1a57{self._number:05x}"])
        return self.world.ask_one(
            path,
            body,
            front,
            X_Flamingofront_Prompt_Prefix=prompt,
            X_Flamingofront_Deadline_Ms=str(self.deadline_ms),
        )

    @property
    def _known_at(self) -> float:
        """Time from which sound requests have to be served again."""
        crashes = [each for each in self.world.crashes if each.parts & set(self.poison_parts)]
        last = crashes[4] if len(crashes) > 4 else crashes[-1]
        return last.at + 2 * CONTACT_SECONDS

    def served_share(self) -> tuple[float, float]:
        """Return the shares of sound requests served before the crashes, and once all know."""
        first = min(each.at for each in self.world.crashes)
        before = [each.is_served for each in self.sound if each.at < first - 1.0]
        after = [each.is_served for each in self.sound if each.at > self._known_at]
        return sum(before) / len(before), sum(after) / len(after)


@dataclass
class LongStreamLoad(PartLoad):
    """Sound requests with long streams, some of whose callers leave.

    Parameters
    ----------
    leaving_sound : float
        Share of the callers that leave within four seconds.
    requests_of_rare_part : int
        Number of requests that share a part which no others have.
    """

    leaving_sound: float = 0.2
    requests_of_rare_part: int = 3

    def _parts(self) -> list[str]:
        return [*super()._parts(), f"7a{self._number // self.requests_of_rare_part:05x}"]

    def _ask_sound(self, now: float) -> None:
        if self._number % 2:
            self._number += 1
            return
        super()._ask_sound(now)
        if self.sound and self.world.rng.random() < self.leaving_sound:
            timers = self.world.host("store").timers
            timers.once(4.0 * self.world.rng.random() ** 3, self.sound[-1].caller.leave)


class PartTrouble(AnyTrouble):
    """Plays requests of all kinds, some of which hold a poison part, beside troubles by chance."""

    PARTS = (POISON_PART, "dead02")

    def __init__(self, seed: int):
        super().__init__(seed)
        self.world.poison.clear()
        self.world.poison_parts.update(self.PARTS)
        self._number = 0

    def _ask(self) -> None:
        if self.rng.random() < 0.25:
            for _ in range(self.rng.choice((1, 1, 1, 4))):
                self._ask_with([self.rng.choice(self.PARTS)])
        else:
            for _ in range(self.rng.choice((1, 3, 8))):
                self.callers.append(self._ask_with([]))

    def _ask_with(self, poison: list[str]) -> Caller | None:
        """Send a request of any kind with some parts beside those that others share."""
        running = [each for each in self.world.live_fronts() if each not in self._paused]
        if not running:
            return None
        self._number += 1
        parts = [SHARED_PART, f"5b000{self._number % 4}"]
        for each in poison:
            parts.insert(self.rng.randrange(3), each)
        prompt = ",".join(f"{each}:40" for each in [*parts, f"1a57{self._number:06x}"])
        return self.world.ask(
            self.rng.choice(running),
            self.rng.choice(self.PATHS),
            body=b"prompt %d" % self.rng.getrandbits(60),
            X_Flamingofront_Prompt_Prefix=prompt,
        )

    def refused_by_part(self) -> int:
        """Return how many sound requests were refused for a part of their prompts."""
        callers = [each for each in self.callers if each is not None]
        return sum(b"prompt_part_crashes" in each.body for each in callers)
