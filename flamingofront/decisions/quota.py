"""Quotas of workspaces, kept by all entry processes together.

Each process keeps a copy of one token bucket a workspace. It takes its own requests out at once and
those of the others when it hears of them, so that all copies agree but for the time that word
takes. A process that does not hear some of the others lets its copy fill at a lower rate, in
proportion to those that it hears: the parts of all sides of a partition add up to the quota.

The bucket says what a workspace is owed. Beside it each process sums what all took in the last
seconds, and refuses what would take that sum over the limit that the deployment sets: so the bucket
may take up the clumps in which requests come, and large requests may run into debt, though word of
the others comes late.

Word comes too late for a surge: what comes before the first word of it passes wherever it comes in.
So one process decides for all on the requests of a workspace, while it can be reached. It charges
what it allows at once, before those who asked tell of it. Where none is reached, each process keeps
to its part of what is left.
"""

import math
import random
from abc import ABC, abstractmethod
from collections.abc import Callable, Iterable, Mapping

from flamingofront.decisions.quota_facts import QuotaLimits, QuotaRejectReason, QuotaState
from flamingofront.decisions.quota_ledger import (
    MIN_RETRY_SECONDS,
    STEP_SECONDS,
    AllowedAhead,
    Bucket,
    OwnPart,
    TakenUnits,
)
from flamingofront.version.forwarding import ForwardedWorkspace

__all__ = ["QuotaPolicy", "QuotaLimits", "QuotaState", "SharedQuota", "UnlimitedQuota"]

# Part of the allowance by which a quota may be exceeded that is given to callers, so that clumps of
# requests within the quota are not refused. The rest covers large requests and late word around a
# restart of all processes at once, who then know nothing of what was taken.
USED_ALLOWANCE = 0.3
# Span over which the present rate of a workspace is taken, in seconds: four reports.
RATE_SECONDS = 1.0
# Part of a request that the bucket must hold for it to pass; the rest is taken as debt. Smaller:
# more large requests pass, and more small ones wait for their debt to be paid.
HELD_PART = 0.25
# Part of a full bucket that a new process begins with, times the part of the processes that it
# hears. When all restart at once, what they took before is in the same window: with a quarter, a
# tenth over the quota covers bursts of up to five seconds of the rate, with a half of two seconds.
FIRST_LEVEL = 0.25
# Part of a full bucket that an arbiter begins with once it decides alone.
SETTLED_LEVEL = 0.1
# The age of word is a mean: some of it is older by half.
UNHEARD_PART = 1.5
# A process that hears nobody takes itself for no less than this part of all.
LEAST_SHARE = 0.001
# Units in the busiest second, in parts of the rate, from which on a workspace sends too much.
PRESSING_RATE = 2.0
# Part of the reserve (what the window allows beyond rate and burst) that all may take beyond the
# bucket while a workspace sends too much.
PRESSING_PART = 0.2
# What may be taken at the start of a process, in parts of the reserve: it does not know what was
# taken before, which is in the same window.
FIRST_PART = 2.0
# Processes that may decide for all at the same time, while the choice of one changes.
ARBITERS_OF_ONE_SIDE = 2
# The part of one side of a partition is not renewed for so long, in seconds: by then the sides have
# found out that they do not hear each other.
UNSETTLED_SECONDS = 2.0
# Time after which the silence of a process is noticed, in seconds.
NOTICED_SECONDS = 1.6
# How fast a peak of what was taken fades: a workspace sends too much for about so long.
PEAK_HALF_LIFE_SECONDS = 8.0


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


class SharedQuota(QuotaPolicy):
    """Token buckets that agree over all entry processes.

    Parameters
    ----------
    heard_share : callable
        Returns the part of the entry processes that is heard now, this one included; 0 to 1.
    lag : callable
        Returns the seconds after which word of the others comes, in the mean.
    members : callable, optional
        Returns the number of entry processes; estimated from those that are heard if not given.
    """

    def __init__(
        self,
        heard_share: Callable[[], float],
        rules: QuotaLimits | None = None,
        lag: Callable[[], float] = lambda: 0.0,
        rng: random.Random | None = None,
        members: Callable[[], int] | None = None,
    ):
        self._rng = rng or random.Random()
        self._members = members or self._members_heard
        self._tellers: set[str] = set()
        self._begun_at: dict[str, float] = {}
        self._ahead: dict[str, AllowedAhead] = {}
        self._own_parts: dict[str, OwnPart] = {}
        self._heard_share = heard_share
        self._rules = rules or QuotaLimits()
        self._lag = lag
        self._extra = self._rules.allowance * USED_ALLOWANCE
        self._taken: dict[str, TakenUnits] = {}
        self._buckets: dict[str, Bucket] = {}
        self._spent: dict[str, float] = {}
        self._heard: dict[tuple[str, str], float] = {}
        self._peaks: dict[str, tuple[float, float]] = {}
        self._decided_by: dict[str, QuotaRejectReason] = {}

    def _refuse(
        self, workspace: ForwardedWorkspace, rule: QuotaRejectReason, seconds: float
    ) -> float:
        """Note what a request is refused for, and return the seconds until it may pass."""
        self._decided_by[workspace.name] = rule
        return max(MIN_RETRY_SECONDS, seconds)

    def _members_heard(self) -> int:
        return math.ceil((1 + len(self._tellers)) / max(self._heard_share(), LEAST_SHARE))

    def spent(self) -> dict[str, float]:
        """Return what this process has taken out in all, by workspace, to tell the others."""
        return dict(self._spent)

    def _bucket(self, workspace: ForwardedWorkspace, now: float) -> Bucket:
        share = self._heard_share()
        bucket = self._buckets.get(workspace.name)
        if bucket is None:
            level = workspace.burst * share * FIRST_LEVEL
            bucket = self._buckets[workspace.name] = Bucket(level, share, now)
        self._charge_for_silent(workspace.name, bucket, share, now)
        # Out of hearing each side keeps its part of the burst too.
        bucket.fill(workspace.rate * share, (workspace.burst + self._extra) * share, now)
        return bucket

    def _charge_for_silent(self, name: str, bucket: Bucket, share: float, now: float) -> None:
        """Take out what was taken here of the parts of processes that are not heard any more.

        Notes
        -----
        Until their silence is noticed, each side of a partition takes the whole quota for its own.
        """
        silent = bucket.share - share
        bucket.share = share
        if silent > 0 and name in self._taken:
            bucket.level -= silent * self._taken[name].since(now - NOTICED_SECONDS)

    def get_wait_as_newcomer(
        self, workspace: ForwardedWorkspace, units: float, now: float
    ) -> float:
        """Return the seconds until a request may pass, if others know what was taken before.

        Notes
        -----
        A process that has just begun, beside older ones, has not found out yet whom to ask.
        """
        if workspace.rate <= 0:
            return 0.0
        if lacking := self._wait_for_bucket(workspace, units, now):
            return lacking
        age = now - self._begun_at.get(workspace.name, now)
        part = (FIRST_LEVEL * workspace.burst + workspace.rate * age) / self._members()
        since = now - self._rules.window
        is_within = self._is_within_part(workspace.name, units, part, since, now)
        return 0.0 if is_within else self._refuse(workspace, QuotaRejectReason.PART, self._lag())

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
        lacking = self._wait_for_bucket(workspace, units, now)
        return lacking or self._wait_for_window(workspace, units, self._members(), now)

    def _wait_for_bucket(self, workspace: ForwardedWorkspace, units: float, now: float) -> float:
        lacking = HELD_PART * min(units, workspace.burst) - self._bucket(workspace, now).level
        if lacking <= 0:
            return 0.0
        return self._refuse(workspace, QuotaRejectReason.BUCKET, lacking / workspace.rate)

    # Decisions for all processes

    def start_as_arbiter(self, workspace: ForwardedWorkspace, now: float) -> None:
        """Forget what the bucket has filled with while others may have decided unheard."""
        bucket = self._bucket(workspace, now)
        bucket.level = min(bucket.level, SETTLED_LEVEL * workspace.burst)

    def get_wait_as_arbiter(self, workspace: ForwardedWorkspace, units: float, now: float) -> float:
        """Return the seconds until a request may pass, if nothing is taken without this process."""
        if workspace.rate <= 0:
            return 0.0
        if lacking := self._wait_for_bucket(workspace, units, now):
            return lacking
        total = self._total(workspace.name, now)
        excess = total + units - self._rules.limit(workspace) * self._heard_share()
        if excess > 0:
            taken = self._taken.get(workspace.name)
            self._decided_by[workspace.name] = QuotaRejectReason.WINDOW
            return taken.wait(excess, now) if total else self._rules.window
        since_start = self._left_since_start(workspace, total, now)
        if since_start > 0:
            return 0.0
        return self._refuse(workspace, QuotaRejectReason.START, -since_start / workspace.rate)

    def get_wait_as_new_arbiter(
        self, workspace: ForwardedWorkspace, units: float, sides: int, now: float
    ) -> float:
        """Return the seconds until a request may pass, if others may decide on it, too.

        Parameters
        ----------
        sides : int
            Sides of a partition that there may be, each with an arbiter of its own; 1 if all zones
            are heard, so that only the arbiter before this one has decided on anything lately.
        """
        if workspace.rate <= 0:
            return 0.0
        if lacking := self._wait_for_bucket(workspace, units, now):
            return lacking
        if sides == 1:
            return self._wait_for_window(workspace, units, ARBITERS_OF_ONE_SIDE, now)
        total = self._total(workspace.name, now)
        left = min(
            self._rules.limit(workspace) * self._heard_share() - total,
            self._left_since_start(workspace, total, now),
            self._bucket(workspace, now).level + PRESSING_PART * self._rules.reserve(workspace),
        )
        since = now - UNSETTLED_SECONDS
        if self._is_within_part(workspace.name, units, left / sides, since, now):
            return 0.0
        return self._refuse(workspace, QuotaRejectReason.PART, MIN_RETRY_SECONDS)

    def _total(self, name: str, now: float) -> float:
        """Return what all processes that are heard took of a workspace within the window."""
        taken = self._taken.get(name)
        return taken.sum(now) if taken is not None else 0.0

    def charge_grant(
        self, workspace: ForwardedWorkspace, units: float, is_alone: bool, now: float
    ) -> None:
        """Take out what another process was allowed; its own word of it is not counted again.

        Parameters
        ----------
        is_alone : bool
            False if another arbiter may allow as much at the same time, which is taken out, too.
        """
        charged = units if is_alone else ARBITERS_OF_ONE_SIDE * units
        self._bucket(workspace, now).level -= charged
        self._note(workspace.name, charged, now)
        self._own_parts.setdefault(workspace.name, OwnPart()).use(units, now)
        self._ahead.setdefault(workspace.name, AllowedAhead()).add(units, now)

    def give_back(self, workspace: ForwardedWorkspace, units: float, now: float) -> None:
        """Give back what another process was allowed and has not used."""
        ahead = self._ahead.setdefault(workspace.name, AllowedAhead())
        units = ahead.cover(units, now)
        self._bucket(workspace, now).level += units
        self._note(workspace.name, -units, now)

    def state(self, workspace: ForwardedWorkspace, now: float) -> QuotaState:
        """Return what decides on the workspace's requests now."""
        total, share = self._total(workspace.name, now), self._heard_share()
        since_start = self._left_since_start(workspace, total, now)
        return QuotaState(
            bucket=round(self._bucket(workspace, now).level),
            taken=round(total),
            limit=round(self._rules.limit(workspace) * share),
            heard_share=round(share, 3),
            lag=round(self._lag(), 3),
            decided_by=self._decided_by.get(workspace.name, QuotaRejectReason.NONE),
            left_since_start=None if math.isinf(since_start) else round(since_start),
        )

    def _wait_for_window(
        self, workspace: ForwardedWorkspace, units: float, members: int, now: float
    ) -> float:
        """Return the seconds until the request keeps the limit of the window; 0 if it does now."""
        taken, total = self._taken.get(workspace.name), self._total(workspace.name, now)
        left = self._rules.limit(workspace) * self._heard_share() - total
        if total > 0:
            # Of what the others take now this process hears later.
            unheard = self._lag() * taken.since(now - RATE_SECONDS) / RATE_SECONDS
            if unheard > left - units:
                self._decided_by[workspace.name] = QuotaRejectReason.WINDOW
                return taken.wait(unheard - left + units, now)
            if self._is_rationed(workspace, left - units, now):
                return self._refuse(workspace, QuotaRejectReason.RATIONED, self._lag())
        since_start = self._left_since_start(workspace, total, now)
        if since_start <= 0:
            return self._refuse(workspace, QuotaRejectReason.START, -since_start / workspace.rate)
        left = min(left, since_start, self._left_while_pressing(workspace, now))
        part, since = left / members, now - UNHEARD_PART * self._lag() - STEP_SECONDS
        if members > 1 and not self._is_within_part(workspace.name, units, part, since, now):
            return self._refuse(workspace, QuotaRejectReason.PART, self._lag())
        return 0.0

    def _left_since_start(self, workspace: ForwardedWorkspace, total: float, now: float) -> float:
        """Return what may be taken before this process knows what was taken before its start."""
        age = now - self._begun_at.get(workspace.name, now)
        if age >= self._rules.window:
            return math.inf
        first = FIRST_LEVEL * workspace.burst + FIRST_PART * self._rules.reserve(workspace)
        return first + workspace.rate * age - total

    def _left_while_pressing(self, workspace: ForwardedWorkspace, now: float) -> float:
        """Return what may be taken beyond the bucket while a workspace sends too much."""
        if self._peak_rate(workspace.name, now) <= PRESSING_RATE * workspace.rate:
            return math.inf
        level = self._bucket(workspace, now).level
        return level + PRESSING_PART * self._rules.reserve(workspace)

    def _is_within_part(
        self, name: str, units: float, part: float, since: float, now: float
    ) -> bool:
        """Tell whether a request keeps to this process's part of what is left of the window.

        Notes
        -----
        All processes may let requests through at the same moment, before any word of it: the parts
        add up to what is left, whatever comes.
        """
        own = self._own_parts.setdefault(name, OwnPart())
        return own.allows(units, part, since, now, self._rng)

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
        peak = self._taken[name].peak(now) if name in self._taken else 0.0
        known, at = self._peaks.get(name, (0.0, now))
        peak = max(peak, known * 0.5 ** ((now - at) / PEAK_HALF_LIFE_SECONDS))
        self._peaks[name] = (peak, now)
        return peak

    def _note(self, name: str, units: float, now: float) -> None:
        self._taken.setdefault(name, TakenUnits(self._rules.window)).add(units, now)

    def spend(self, workspace: ForwardedWorkspace, units: float, now: float) -> None:
        """Take an accepted request out, here at once and elsewhere with the next report."""
        if workspace.rate > 0:
            self._bucket(workspace, now).level -= units
            self._note(workspace.name, units, now)
            self._own_parts.setdefault(workspace.name, OwnPart()).use(units, now)
        self._spent[workspace.name] = self._spent.get(workspace.name, 0.0) + units

    def refund(self, workspace: ForwardedWorkspace, units: float, now: float) -> None:
        """Give back what a request took that did not run."""
        self.spend(workspace, -units, now)

    def prepare(self, workspaces: Iterable[ForwardedWorkspace], now: float) -> None:
        """Let the copies of all workspaces begin to fill."""
        for each in workspaces:
            if each.rate > 0:
                self._bucket(each, now)
                self._begun_at.setdefault(each.name, now)

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
        self._tellers.add(process)
        for name, total in spent.items():
            known = self._heard.get((process, name), 0.0)
            self._heard[process, name] = total
            bucket = self._buckets.get(name)
            if continuous and bucket is not None and total != known:
                added = total - known
                if added > 0 and name in self._ahead:
                    added -= self._ahead[name].cover(added, now)
                bucket.level -= added
                self._note(name, added, now)
