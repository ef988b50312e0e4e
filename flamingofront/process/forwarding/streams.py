"""Sums that several tellers tell of the same processes: each unit must be counted once."""

import enum
from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass

__all__ = ["ConsumptionLedger", "SumAction", "SourceSelector"]

# In periods of the teller: when its next digest is late, and when another teller takes its place.
LATE_PERIODS = 1.3
SWITCH_PERIODS = 2.4
# Sums that were seen longer ago than this, in seconds, say nothing about what was added since.
SOURCE_EXPIRY_SECONDS = 3.0


class SumAction(enum.Enum):
    """What is done with the sums of a digest."""

    COUNT = "count"
    """What they have grown since the teller's last sums counts."""
    RECORD = "mark"
    """They are noted: what they have grown was told by another teller."""
    IGNORE = "hold"
    """They are left out, and what they grow counts if the other teller is gone."""


@dataclass
class _ActiveSource:
    process: str
    last_at: float


class SourceSelector:
    """Picks the teller that counts in each group.

    All tellers of a group sum over the same processes, each from its own start.
    """

    def __init__(self):
        self._sources: dict[str, _ActiveSource] = {}
        self._last_seen: dict[str, float] = {}

    def select_action(self, group: str, process: str, period: float, now: float) -> SumAction:
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
        known_at = self._last_seen.get(process)
        self._last_seen[process] = now
        is_known = known_at is not None and now - known_at <= SOURCE_EXPIRY_SECONDS
        source = self._sources.get(group)
        if source is not None and source.process != process:
            age = now - source.last_at
            if age <= LATE_PERIODS * period:
                return SumAction.RECORD
            if age <= SWITCH_PERIODS * period:
                return SumAction.IGNORE if is_known else SumAction.RECORD
        self._sources[group] = _ActiveSource(process, now)
        return SumAction.COUNT if is_known and source is not None else SumAction.RECORD

    def drop_expired(self, now: float) -> None:
        """Drop tellers that are gone."""
        for process in [
            each for each, at in self._last_seen.items() if now - at > SOURCE_EXPIRY_SECONDS
        ]:
            del self._last_seen[process]


class ConsumptionLedger:
    """Quota units that some tellers were heard to add, by workspace.

    Attributes
    ----------
    total : Counter of str
        Units since this ledger was begun; they may be given back.
    """

    def __init__(self):
        self.total: Counter[str] = Counter()
        self._last_seen: dict[str, Mapping[str, float]] = {}

    def add_sums(self, process: str, spent: Mapping[str, float], counts: bool) -> None:
        """Take the sums of a teller; what they have grown is added if it counts."""
        known = self._last_seen.get(process, {})
        self._last_seen[process] = spent
        if counts:
            for name, units in spent.items():
                self.total[name] += units - known.get(name, 0.0)

    def retain_only(self, processes: set[str]) -> None:
        """Drop what is known of all other tellers; what they added stays."""
        self._last_seen = {
            name: each for name, each in self._last_seen.items() if name in processes
        }
