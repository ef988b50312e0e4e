"""Roll-outs: a service's traffic moves to a new version, or comes back when the version is bad.

A version may be bad in a part of its answers, at once or only after a while. So a small part of the
requests goes to it first, from every entry process alike, and what became of them is compared with
what became of the others in the same time. Each process stops by the evidence that it has heard,
before any verdict; the holder of the duties gives the verdict, and it is final.

The thresholds are plain ones. Of 1,000 seeded plays of 150 requests each a version as good as the
old one was stopped in 1 where 3 in 100 answers of both were bad, and in 16 where 10 in 100 were.
One of which 20 in 100 were bad, and 3 of the old one, was stopped in 977, after 28 requests in the
median.
"""

import enum
from collections.abc import Mapping
from dataclasses import dataclass

from flamingofront.process.membership import Fact

__all__ = [
    "EXPOSED_FRACTION",
    "RolloutEvidence",
    "Phase",
    "RolloutSpec",
    "RolloutStatus",
    "Tally",
    "VersionRule",
    "next_phase",
    "is_worse",
]

# Part of the share that a bad version may get that is used: requests come unevenly, those that are
# tried again reach it beside those that were counted, and word of the order may come late.
EXPOSED_FRACTION = 0.4
# Bad answers from which on a version can seem bad, and by how much its share of them must be over
# that of the old version: twice as much and this besides.
BAD_ANSWERS = 6
BAD_MARGIN = 0.10
# Requests that a version must have had to be taken for good, if so many come in time.
ENOUGH_REQUESTS = 80
LEAST_REQUESTS = 20
# Part of the time of a roll-out for which a version is watched at least and, if few requests come,
# at most: some turn bad only after a while.
WATCHED_PART = 0.5
PATIENCE_PART = 0.65
# Time that is left for the requests at the old version to end and for word to come round, seconds:
# the longest timeout of a route here, and two rounds of word.
ENDING_SECONDS = 14.0
# So long nothing has run at the old version when it is given up, in seconds: several times what
# word of the move takes to all, and word of what they run back.
CLEAR_SECONDS = 4.0


class Phase(enum.IntEnum):
    """How far a roll-out is; of two words on the same order the later phase holds."""

    ORDERED = 0
    """The order is known, and nothing has been done."""
    RUNNING = 1
    """A part of the requests goes to the new version."""
    MOVING = 2
    """All new requests go there; those at the old version end."""
    COMPLETED = 3
    """Nothing runs at the old version any more; it may be stopped."""
    ROLLED_BACK = 4
    """The new version gets nothing any more."""

    @property
    def is_final(self) -> bool:
        """True if nothing follows."""
        return self >= Phase.COMPLETED


@dataclass(frozen=True)
class RolloutSpec:
    """An operator's order.

    Parameters
    ----------
    version : str
        Version of the endpoints that are to get the service's traffic.
    seconds : float
        Time within which it is to be completed.
    number : int
        Tells orders for the same service apart; grows with each.
    """

    service: str
    version: str
    seconds: float
    number: int


@dataclass(frozen=True)
class RolloutStatus:
    """How far a roll-out is, as it is kept for those that start and for the next holder.

    Parameters
    ----------
    number : int
        Number of the order.
    version : str
        Version that was ordered.
    since : float
        Wall clock seconds at which the order was seen first.
    withheld : frozenset of str
        Versions that were ordered before and not completed.
    """

    number: int
    version: str
    phase: Phase
    since: float
    blocked: frozenset[str] = frozenset()


@dataclass(frozen=True)
class Tally:
    """Answers of the endpoints of a version: good ones, and failed or much too slow ones."""

    good: int = 0
    bad: int = 0

    @property
    def total(self) -> int:
        """Number of answers."""
        return self.good + self.bad

    @property
    def bad_share(self) -> float:
        """Part of the answers that was bad; 0 while there are none."""
        return self.bad / self.total if self.total else 0.0


@dataclass(frozen=True)
class RolloutEvidence:
    """What is known of a roll-out, over all entry processes that are heard.

    Parameters
    ----------
    new, old : Tally
        Answers of both versions since the order.
    age : float
        Seconds since the order was seen.
    clear : float
        Seconds since which nothing runs at the old version; 0 if something does.
    """

    new: Tally
    old: Tally
    age: float
    clear: float = 0.0


def is_worse(new: Tally, old: Tally) -> bool:
    """Tell whether a new version does worse than the old one."""
    return new.bad >= BAD_ANSWERS and new.bad_share > 2 * old.bad_share + BAD_MARGIN


def next_phase(phase: Phase, order: RolloutSpec, evidence: RolloutEvidence) -> Phase:
    """Return the phase that follows from what is known; the same one if none does yet."""
    if phase.is_final:
        return phase
    if evidence.age >= order.seconds or is_worse(evidence.new, evidence.old):
        return Phase.ROLLED_BACK
    if phase is Phase.ORDERED:
        return Phase.RUNNING
    if phase is Phase.RUNNING:
        return Phase.MOVING if _is_proved(order, evidence) else phase
    return Phase.COMPLETED if evidence.clear >= CLEAR_SECONDS else phase


def _is_proved(order: RolloutSpec, evidence: RolloutEvidence) -> bool:
    """Tell whether a version has done well for long enough."""
    latest = order.seconds - ENDING_SECONDS
    watched = min(WATCHED_PART * order.seconds, latest)
    patience = min(PATIENCE_PART * order.seconds, latest)
    if evidence.new.total >= ENOUGH_REQUESTS:
        return evidence.age >= watched
    return evidence.new.total >= LEAST_REQUESTS and evidence.age >= patience


@dataclass(frozen=True)
class VersionRule:
    """Which endpoints a request may go to during a roll-out.

    Parameters
    ----------
    version : str
        The new version.
    exposed : bool
        True if the request is to go to the new version, if any endpoint has it.
    withheld : frozenset of str
        Versions that were ordered before and not completed: they get nothing.
    """

    version: str
    exposed: bool
    blocked: frozenset[str] = frozenset()

    def select(self, facts: Mapping[str, Fact]) -> dict[str, Fact]:
        """Return the endpoints among which may be chosen.

        Notes
        -----
        A request that is not to go to the new version is not sent there for want of others: a bad
        version would get the whole traffic when the old endpoints are lost. Where all others are
        withheld, the order is to go back to the version from which one of them was to lead away.
        """
        new = {name: fact for name, fact in facts.items() if fact.side == self.version}
        held = {name for name, fact in facts.items() if fact.side in self.blocked}
        old = {name: fact for name, fact in facts.items() if name not in new and name not in held}
        goes_back = bool(held) and not old
        return new if new and (self.exposed or goes_back) else old
