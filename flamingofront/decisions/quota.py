"""Quotas of workspaces, kept by all entry processes together.

Each process keeps a copy of one token bucket a workspace. It takes its own requests out at once and
those of the others when it hears of them, so that all copies agree but for the time that word
takes. A process that does not hear some of the others lets its copy fill at a lower rate, in
proportion to those that it hears: the parts of all sides of a partition add up to the quota.

The bucket says what a workspace is owed. Beside it each process sums what all took in the last
seconds, and refuses what would take that sum over the limit that the deployment sets: so the bucket
may take up the clumps in which requests come, and large requests may run into debt, though word of
the others comes late.
"""

import math
import random
from abc import ABC, abstractmethod
from collections import deque
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass

from flamingofront.version.forwarding import ForwardedWorkspace

__all__ = ["QuotaPolicy", "QuotaRules", "QuotaState", "SharedQuota", "UnlimitedQuota"]

MIN_RETRY_SECONDS = 0.05
# Part of the allowance by which a quota may be exceeded that is given to callers, so that clumps of
# requests within the quota are not refused. The rest covers large requests and late word around a
# restart of all processes at once, who then know nothing of what was taken.
USED_ALLOWANCE = 0.3
# What was taken is summed in steps of this length, in seconds: as often as processes report.
STEP_SECONDS = 0.25
# Span over which the present rate of a workspace is taken, in seconds: four reports.
RATE_SECONDS = 1.0
# Part of a request that the bucket must hold for it to pass; the rest is taken as debt. Smaller:
# more large requests pass, and more small ones wait for their debt to be paid.
HELD_PART = 0.25
# Part of a full bucket that a new process begins with, times the part of the processes that it
# hears. When all restart at once, what they took before is in the same window: with a quarter, a
# tenth over the quota covers bursts of up to five seconds of the rate, with a half of two seconds.
FIRST_LEVEL = 0.25
# The age of word is a mean: some of it is older by half.
UNHEARD_PART = 1.5
# How fast a peak of what was taken fades: a workspace sends too much for about so long.
PEAK_HALF_LIFE_SECONDS = 8.0


@dataclass(frozen=True)
class QuotaRules:
    """How much may be taken in any span of time.

    Parameters
    ----------
    window : float
        Length of the span in seconds.
    over : float
        Part of the quota by which it may be exceeded in a window.
    allowance : float
        Units by which it may be exceeded besides.
    """

    window: float = 8.0
    over: float = 0.0
    allowance: float = 0.0

    def limit(self, workspace: ForwardedWorkspace) -> float:
        """Return the most that a workspace may take in a window."""
        quota = workspace.rate * self.window + workspace.burst
        return quota * (1 + self.over) + self.allowance


@dataclass(frozen=True)
class QuotaState:
    """What decides on the requests of a workspace, in units.

    Parameters
    ----------
    bucket : float
        What this process's copy of the bucket holds.
    taken : float
        What all processes that are heard took within the window.
    limit : float
        Most that may be taken in a window, here: less while some processes are not heard.
    heard_share : float
        Part of the processes that is heard.
    lag : float
        Age of the word of the others, in seconds.
    """

    bucket: float = 0.0
    taken: float = 0.0
    limit: float = 0.0
    heard_share: float = 1.0
    lag: float = 0.0


class QuotaPolicy(ABC):
    """Decides whether a workspace may send another request now."""

    @abstractmethod
    def wait(self, workspace: ForwardedWorkspace, units: float, now: float) -> float:
        """Return 0 if the request is within the quota, else the seconds until it would be."""

    @abstractmethod
    def state(self, workspace: ForwardedWorkspace, now: float) -> QuotaState:
        """Return what decides on the workspace's requests now."""

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

    def state(self, workspace: ForwardedWorkspace, now: float) -> QuotaState:
        """Return a state without limits."""
        return QuotaState(bucket=math.inf, limit=math.inf)

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


class _Taken:
    """Units that all processes took of one workspace lately, in steps of time."""

    def __init__(self, window: float):
        self._window = window
        self._steps: deque[list[float]] = deque()
        self._sum = 0.0

    def add(self, units: float, now: float) -> None:
        """Note units taken, or given back."""
        start = now - now % STEP_SECONDS
        if self._steps and self._steps[-1][0] == start:
            self._steps[-1][1] += units
        else:
            self._steps.append([start, units])
        self._sum += units

    def sum(self, now: float) -> float:
        """Return what was taken within the window."""
        while self._steps and self._steps[0][0] + STEP_SECONDS <= now - self._window:
            self._sum -= self._steps.popleft()[1]
        return self._sum

    def peak(self, now: float) -> float:
        """Return the most that was taken in a second of the window."""
        self.sum(now)
        seconds: dict[int, float] = {}
        for start, units in self._steps:
            seconds[int(start)] = seconds.get(int(start), 0.0) + units
        return max(seconds.values(), default=0.0)

    def since(self, time: float) -> float:
        """Return what was taken since a time."""
        return sum(units for start, units in self._steps if start >= time)

    def wait(self, excess: float, now: float) -> float:
        """Return the seconds until so many units have left the window."""
        for start, units in self._steps:
            excess -= units
            if excess <= 0:
                return max(MIN_RETRY_SECONDS, start + STEP_SECONDS + self._window - now)
        return self._window


class SharedQuota(QuotaPolicy):
    """Token buckets that agree over all entry processes.

    Parameters
    ----------
    heard_share : callable
        Returns the part of the entry processes that is heard now, this one included; 0 to 1.
    lag : callable
        Returns the seconds after which word of the others comes, in the mean.
    """

    def __init__(
        self,
        heard_share: Callable[[], float],
        rules: QuotaRules | None = None,
        lag: Callable[[], float] = lambda: 0.0,
        rng: random.Random | None = None,
    ):
        self._rng = rng or random.Random()
        self._heard_share = heard_share
        self._rules = rules or QuotaRules()
        self._lag = lag
        self._extra = self._rules.allowance * USED_ALLOWANCE
        self._taken: dict[str, _Taken] = {}
        self._buckets: dict[str, _Bucket] = {}
        self._spent: dict[str, float] = {}
        self._heard: dict[tuple[str, str], float] = {}
        self._peaks: dict[str, tuple[float, float]] = {}

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
        if lacking > 0:
            return max(MIN_RETRY_SECONDS, lacking / workspace.rate)
        return self._wait_for_window(workspace, units, now)

    def state(self, workspace: ForwardedWorkspace, now: float) -> QuotaState:
        """Return what decides on the workspace's requests now."""
        taken = self._taken.get(workspace.name)
        share = self._heard_share()
        return QuotaState(
            bucket=round(self._bucket(workspace, now).level),
            taken=round(taken.sum(now)) if taken is not None else 0,
            limit=round(self._rules.limit(workspace) * share),
            heard_share=round(share, 3),
            lag=round(self._lag(), 3),
        )

    def _wait_for_window(self, workspace: ForwardedWorkspace, units: float, now: float) -> float:
        """Return the seconds until the request keeps the limit of the window; 0 if it does now."""
        taken = self._taken.get(workspace.name)
        total = taken.sum(now) if taken is not None else 0.0
        if total <= 0:
            return 0.0
        # Of what the others take now this process hears later.
        unheard = self._lag() * taken.since(now - RATE_SECONDS) / RATE_SECONDS
        left = self._rules.limit(workspace) * self._heard_share() - total - units
        if unheard > left:
            return taken.wait(unheard - left, now)
        rationed = self._is_rationed(workspace, left, now)
        return max(MIN_RETRY_SECONDS, self._lag()) if rationed else 0.0

    def _is_rationed(self, workspace: ForwardedWorkspace, left: float, now: float) -> bool:
        """Tell whether a request is refused so that all processes together do not take too much.

        Notes
        -----
        While the bucket holds less than what all may take until word of it comes, each process lets
        through only such a part of the requests as the bucket holds of that. Without this all let
        everything through at once whenever their copies come above zero: with 4.8 times the quota
        asked for, and word 0.8 s old, 32 processes took up to 1.20 of the limit of a window (nine
        plays). With it 24 processes take up to 0.99, also when all are killed midway, and of what
        comes at 0.9 of the quota 0.986 passes (16 plays each of the load that the tests replay).
        What was taken, kept in the store for those that start, added nothing to that: 0.946 of the
        limit with it and without, for word 0.5 s old (24 plays). It is needed where word is young,
        too: 17 processes with word 0.18 s old take up to 1.07 without it when 7.5 times the quota
        comes, 0.89 with it (16 plays).
        """
        unheard = UNHEARD_PART * self._lag() * self._peak_rate(workspace.name, now)
        room = min(self._bucket(workspace, now).level, left)
        return room < unheard and self._rng.random() * unheard > room

    def _peak_rate(self, name: str, now: float) -> float:
        """Return the units a second that were taken at most lately; it fades away."""
        peak = self._taken[name].peak(now)
        known, at = self._peaks.get(name, (0.0, now))
        peak = max(peak, known * 0.5 ** ((now - at) / PEAK_HALF_LIFE_SECONDS))
        self._peaks[name] = (peak, now)
        return peak

    def _note(self, name: str, units: float, now: float) -> None:
        self._taken.setdefault(name, _Taken(self._rules.window)).add(units, now)

    def spend(self, workspace: ForwardedWorkspace, units: float, now: float) -> None:
        """Take an accepted request out, here at once and elsewhere with the next report."""
        if workspace.rate > 0:
            self._bucket(workspace, now).level -= units
            self._note(workspace.name, units, now)
        self._spent[workspace.name] = self._spent.get(workspace.name, 0.0) + units

    def refund(self, workspace: ForwardedWorkspace, units: float, now: float) -> None:
        """Give back what a request took that did not run."""
        self.spend(workspace, -units, now)

    def prepare(self, workspaces: Iterable[ForwardedWorkspace], now: float) -> None:
        """Let the copies of all workspaces begin to fill."""
        for each in workspaces:
            if each.rate > 0:
                self._bucket(each, now)

    def heard(self, process: str, spent: Mapping[str, float], continuous: bool, now: float) -> None:
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
            known = self._heard.get((process, name), 0.0)
            self._heard[process, name] = total
            bucket = self._buckets.get(name)
            if continuous and bucket is not None and total != known:
                bucket.level -= total - known
                self._note(name, total - known, now)
