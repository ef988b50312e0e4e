"""Running totals that several redundant relays report: each unit must be counted once."""

import enum
from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass

__all__ = ["ConsumptionLedger", "SumAction", "SourceSelector"]

# Age of the active source's last digest, in its digest periods: above the first the next digest is
# late, above the second another source replaces it.
LATE_PERIODS = 1.3
SWITCH_PERIODS = 2.4
# No increase is counted from totals received longer ago than this.
SOURCE_EXPIRY_SECONDS = 3.0


class SumAction(enum.Enum):
    """How the totals in a digest are used."""

    COUNT = "count"
    """Count the increase since the last totals of this source."""
    RECORD = "mark"
    """Record the totals as new base: another source has reported the increase."""
    IGNORE = "hold"
    """Ignore the totals; the increase counts later if the active source has failed."""


@dataclass
class _ActiveSource:
    process: str
    last_at: float


class SourceSelector:
    """Selects the source whose totals count, for each group.

    All sources of a group sum over the same processes, each from its own start.
    """

    def __init__(self):
        self._active: dict[str, _ActiveSource] = {}
        self._last_seen: dict[str, float] = {}

    def select_action(
        self, group: str, process: str, period: float, now: float, waited: float = 0.0
    ) -> SumAction:
        """Return how the totals in a newly received digest are used.

        Parameters
        ----------
        group : str
            Set of processes that the totals cover, for example a zone.
        process : str
            The source: VM and incarnation.
        period : float
            Seconds between two digests of a source.
        waited : float
            Longest time for which the digest may have waited to be read, in seconds.
        """
        last_seen = self._last_seen.get(process)
        self._last_seen[process] = now
        is_recent = last_seen is not None and now - waited - last_seen <= SOURCE_EXPIRY_SECONDS
        active = self._active.get(group)
        if active is not None and active.process != process:
            age = now - active.last_at
            if age <= LATE_PERIODS * period:
                return SumAction.RECORD
            if age <= SWITCH_PERIODS * period:
                return SumAction.IGNORE if is_recent else SumAction.RECORD
        self._active[group] = _ActiveSource(process, now)
        return SumAction.COUNT if is_recent and active is not None else SumAction.RECORD

    def drop_expired(self, now: float) -> None:
        """Drop sources without a recent digest."""
        for process in [
            each for each, at in self._last_seen.items() if now - at > SOURCE_EXPIRY_SECONDS
        ]:
            del self._last_seen[process]


class ConsumptionLedger:
    """Quota units whose consumption some sources have reported, by workspace.

    Attributes
    ----------
    total : Counter of str
        Units counted since this ledger was created; refunds reduce them.
    """

    def __init__(self):
        self.total: Counter[str] = Counter()
        self._last_sums: dict[str, Mapping[str, float]] = {}

    def add_sums(self, process: str, consumed: Mapping[str, float], is_counted: bool) -> None:
        """Store the totals of a source and, if `is_counted`, add their increase."""
        last = self._last_sums.get(process, {})
        self._last_sums[process] = consumed
        if is_counted:
            for name, units in consumed.items():
                self.total[name] += units - last.get(name, 0.0)

    def retain_only(self, processes: set[str]) -> None:
        """Drop the last totals of all other sources; units already counted stay."""
        self._last_sums = {
            name: each for name, each in self._last_sums.items() if name in processes
        }
