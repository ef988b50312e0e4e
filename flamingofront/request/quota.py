"""Quotas of workspaces, kept by all entry processes together.

Each process keeps a copy of one token bucket a workspace. It takes its own requests out at once and
those of the others when it hears of them, so that all copies agree but for the time that word
takes. A process that does not hear some of the others lets its copy fill at a lower rate, in
proportion to those that it hears: the parts of all sides of a partition add up to the quota.
"""

from abc import ABC, abstractmethod
from collections.abc import Callable, Iterable, Mapping

from flamingofront.version.forwarding import ForwardedWorkspace

__all__ = ["QuotaPolicy", "SharedQuota", "UnlimitedQuota"]

MIN_RETRY_SECONDS = 0.05
# Part of the allowance by which a quota may be exceeded that is given to callers, so that clumps of
# requests within the quota are not refused. The rest covers what all processes together let through
# before they have heard of one another: a quarter of a second of the demand.
USED_ALLOWANCE = 0.3
# Part of a request that the bucket must hold for it to pass; the rest is taken as debt. Smaller:
# more large requests pass, and more small ones wait for their debt to be paid.
HELD_PART = 0.25
# Part of a full bucket that a new process begins with, times the part of the processes that it
# hears: when all start at once they give out half a burst together, not one each.
FIRST_LEVEL = 0.5


class QuotaPolicy(ABC):
    """Decides whether a workspace may send another request now."""

    @abstractmethod
    def wait(self, workspace: ForwardedWorkspace, units: float, now: float) -> float:
        """Return 0 if the request is within the quota, else the seconds until it would be."""

    @abstractmethod
    def spend(self, workspace: ForwardedWorkspace, units: float, now: float) -> None:
        """Take an accepted request out of the quota."""

    @abstractmethod
    def refund(self, workspace: ForwardedWorkspace, units: float, now: float) -> None:
        """Give back what a request took that did not run."""


class UnlimitedQuota(QuotaPolicy):
    """No quota at all; for tests and measurements."""

    def wait(self, workspace: ForwardedWorkspace, units: float, now: float) -> float:
        """Return 0."""
        return 0.0

    def spend(self, workspace: ForwardedWorkspace, units: float, now: float) -> None:
        """Do nothing."""

    def refund(self, workspace: ForwardedWorkspace, units: float, now: float) -> None:
        """Do nothing."""


class _Bucket:
    """This process's copy of one workspace's token bucket; it may hold less than nothing."""

    def __init__(self, level: float, now: float):
        self.level = level
        self.updated = now

    def fill(self, rate: float, burst: float, now: float) -> None:
        """Add what was earned since the last time."""
        self.level = min(burst, self.level + (now - self.updated) * rate)
        self.updated = now


class SharedQuota(QuotaPolicy):
    """Token buckets that agree over all entry processes.

    Parameters
    ----------
    heard_share : callable
        Returns the part of the entry processes that is heard now, this one included; 0 to 1.
    allowance : float
        Units by which a quota may be exceeded.
    """

    def __init__(self, heard_share: Callable[[], float], allowance: float = 0.0):
        self._heard_share = heard_share
        self._extra = allowance * USED_ALLOWANCE
        self._buckets: dict[str, _Bucket] = {}
        self._spent: dict[str, float] = {}
        self._heard: dict[tuple[str, str], float] = {}

    def spent(self) -> dict[str, float]:
        """Return what this process has taken out in all, by workspace, to tell the others."""
        return dict(self._spent)

    def _bucket(self, workspace: ForwardedWorkspace, now: float) -> _Bucket:
        share = self._heard_share()
        bucket = self._buckets.get(workspace.name)
        if bucket is None:
            level = workspace.burst * share * FIRST_LEVEL
            bucket = self._buckets[workspace.name] = _Bucket(level, now)
        # Out of hearing each side keeps its part of the burst too.
        bucket.fill(workspace.rate * share, (workspace.burst + self._extra) * share, now)
        return bucket

    def wait(self, workspace: ForwardedWorkspace, units: float, now: float) -> float:
        """Return 0 if the bucket holds a part of the request, else the seconds until it will.

        Notes
        -----
        A request may take more than the bucket holds, and its workspace then waits until the debt
        is paid. Otherwise small requests would take what trickles in, and a large one, which can
        be larger than the whole burst, would hardly ever pass (1 in 15 of the largest kind was
        refused on calm days).
        """
        if workspace.rate <= 0:
            return 0.0
        lacking = HELD_PART * min(units, workspace.burst) - self._bucket(workspace, now).level
        return 0.0 if lacking <= 0 else max(MIN_RETRY_SECONDS, lacking / workspace.rate)

    def spend(self, workspace: ForwardedWorkspace, units: float, now: float) -> None:
        """Take an accepted request out, here at once and elsewhere with the next report."""
        if workspace.rate > 0:
            self._bucket(workspace, now).level -= units
        self._spent[workspace.name] = self._spent.get(workspace.name, 0.0) + units

    def refund(self, workspace: ForwardedWorkspace, units: float, now: float) -> None:
        """Give back what a request took that did not run."""
        self.spend(workspace, -units, now)

    def prepare(self, workspaces: Iterable[ForwardedWorkspace], now: float) -> None:
        """Let the copies of all workspaces begin to fill."""
        for each in workspaces:
            if each.rate > 0:
                self._bucket(each, now)

    def heard(self, process: str, spent: Mapping[str, float], continuous: bool) -> None:
        """Take in what another process has taken out in all.

        Parameters
        ----------
        process : str
            VM and incarnation: a new process counts from 0.
        continuous : bool
            False if the process was out of hearing: what it took meanwhile was its own part, which
            this process's copies have left out.
        """
        for name, total in spent.items():
            known = self._heard.get((process, name))
            self._heard[process, name] = total
            bucket = self._buckets.get(name)
            if known is None:
                known = 0.0
            if continuous and bucket is not None:
                bucket.level -= total - known
