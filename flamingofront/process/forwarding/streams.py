"""Sums that several tellers tell of the same processes: each unit must be counted once."""

import enum
from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass

__all__ = ["SpentLedger", "Step", "SumStreams"]

# In periods of the teller: when its next digest is late, and when another teller takes its place.
LATE_PERIODS = 1.3
SWITCH_PERIODS = 2.4
# Sums that were seen longer ago than this, in seconds, say nothing about what was added since.
KNOWN_SECONDS = 3.0


class Step(enum.Enum):
    """What is done with the sums of a digest."""

    COUNT = "count"
    """What they have grown since the teller's last sums counts."""
    MARK = "mark"
    """They are noted: what they have grown was told by another teller."""
    HOLD = "hold"
    """They are left out, and what they grow counts if the other teller is gone."""


@dataclass
class _Source:
    process: str
    at: float


class SumStreams:
    """Picks the teller that counts in each group.

    All tellers of a group sum over the same processes, each from its own start.
    """

    def __init__(self):
        self._sources: dict[str, _Source] = {}
        self._known: dict[str, float] = {}

    def step(self, group: str, process: str, period: float, now: float) -> Step:
        """Return what is done with the sums of a digest that has just come.

        Parameters
        ----------
        group : str
            What is summed, for example a zone.
        process : str
            The teller: VM and incarnation.
        period : float
            Seconds between two digests of a teller.
        """
        known_at = self._known.get(process)
        self._known[process] = now
        is_known = known_at is not None and now - known_at <= KNOWN_SECONDS
        source = self._sources.get(group)
        if source is not None and source.process != process:
            age = now - source.at
            if age <= LATE_PERIODS * period:
                return Step.MARK
            if age <= SWITCH_PERIODS * period:
                return Step.HOLD if is_known else Step.MARK
        self._sources[group] = _Source(process, now)
        return Step.COUNT if is_known and source is not None else Step.MARK

    def forget(self, now: float) -> None:
        """Drop tellers that are gone."""
        for process in [each for each, at in self._known.items() if now - at > KNOWN_SECONDS]:
            del self._known[process]


class SpentLedger:
    """Quota units that some tellers were heard to add, by workspace.

    Attributes
    ----------
    total : Counter of str
        Units since this ledger was begun; they may be given back.
    """

    def __init__(self):
        self.total: Counter[str] = Counter()
        self._known: dict[str, Mapping[str, float]] = {}

    def take(self, process: str, spent: Mapping[str, float], counts: bool) -> None:
        """Take the sums of a teller; what they have grown is added if it counts."""
        known = self._known.get(process, {})
        self._known[process] = spent
        if counts:
            for name, units in spent.items():
                self.total[name] += units - known.get(name, 0.0)

    def forget_except(self, processes: set[str]) -> None:
        """Drop what is known of all other tellers; what they added stays."""
        self._known = {name: each for name, each in self._known.items() if name in processes}
