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
    BIN_SECONDS,
    MIN_RETRY_SECONDS,
    ConsumedUnits,
    LocalShare,
    OutstandingGrants,
    TokenBucket,
)
from flamingofront.version.forwarding import ForwardedWorkspace

__all__ = ["QuotaPolicy", "QuotaLimits", "QuotaState", "SharedQuota", "UnlimitedQuota"]

# Part of the allowance by which a quota may be exceeded that is given to callers, so that clumps of
# requests within the quota are not refused. The rest covers large requests and late word around a
# restart of all processes at once, who then know nothing of what was taken.
USED_ALLOWANCE_FRACTION = 0.3
# Span over which the present rate of a workspace is taken, in seconds: four reports.
RATE_SECONDS = 1.0
# Part of a request that the bucket must hold for it to pass; the rest is taken as debt. Smaller:
# more large requests pass, and more small ones wait for their debt to be paid.
MIN_BUCKET_FRACTION = 0.25
# Part of a full bucket that a new process begins with, times the part of the processes that it
# hears. When all restart at once, what they took before is in the same window: with a quarter, a
# tenth over the quota covers bursts of up to five seconds of the rate, with a half of two seconds.
INITIAL_LEVEL_FRACTION = 0.25
# Part of a full bucket that an arbiter begins with once it decides alone.
ARBITER_LEVEL_FRACTION = 0.1
# The age of word is a mean: some of it is older by half.
MAX_LAG_FACTOR = 1.5
# A process that hears nobody takes itself for no less than this part of all.
MIN_LIVE_SHARE = 0.001
# Units in the busiest second, in parts of the rate, from which on a workspace sends too much.
SURGE_RATE_FACTOR = 2.0
# Part of the reserve (what the window allows beyond rate and burst) that all may take beyond the
# bucket while a workspace sends too much.
SURGE_RESERVE_FRACTION = 0.2
# What may be taken at the start of a process, in parts of the reserve: it does not know what was
# taken before, which is in the same window.
INITIAL_RESERVE_FACTOR = 2.0
# Processes that may decide for all at the same time, while the choice of one changes.
CONCURRENT_ARBITERS = 2
# The part of one side of a partition is not renewed for so long, in seconds: by then the sides have
# found out that they do not hear each other.
PARTITION_DETECTION_SECONDS = 2.0
# Time after which the silence of a process is noticed, in seconds.
SILENCE_DETECTION_SECONDS = 1.6
# How fast a peak of what was taken fades: a workspace sends too much for about so long.
PEAK_HALF_LIFE_SECONDS = 8.0


class QuotaPolicy(ABC):
    """Decides whether a workspace may send another request now."""

    @abstractmethod
    def get_wait(self, workspace: ForwardedWorkspace, units: float, now: float) -> float:
        """Return 0 if the request is within the quota, else the seconds until it would be."""

    @abstractmethod
    def get_state(self, workspace: ForwardedWorkspace, now: float) -> QuotaState:
        """Return what decides on the workspace's requests now."""

    @abstractmethod
    def consume(self, workspace: ForwardedWorkspace, units: float, now: float) -> None:
        """Take an accepted request out of the quota."""

    @abstractmethod
    def refund(self, workspace: ForwardedWorkspace, units: float, now: float) -> None:
        """Give back what a request took that did not run."""


class UnlimitedQuota(QuotaPolicy):
    """No quota at all; for tests and measurements."""

    def get_wait(self, workspace: ForwardedWorkspace, units: float, now: float) -> float:
        """Return 0."""
        return 0.0

    def get_state(self, workspace: ForwardedWorkspace, now: float) -> QuotaState:
        """Return a state without limits."""
        return QuotaState(bucket=math.inf, limit=math.inf)

    def consume(self, workspace: ForwardedWorkspace, units: float, now: float) -> None:
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
        self._members = members or self._estimate_members
        self._peers_reporting: set[str] = set()
        self._started_at: dict[str, float] = {}
        self._grants: dict[str, OutstandingGrants] = {}
        self._local_shares: dict[str, LocalShare] = {}
        self._live_share = heard_share
        self._rules = rules or QuotaLimits()
        self._lag = lag
        self._extra = self._rules.allowance * USED_ALLOWANCE_FRACTION
        self._consumed: dict[str, ConsumedUnits] = {}
        self._buckets: dict[str, TokenBucket] = {}
        self._local_totals: dict[str, float] = {}
        self._remote_totals: dict[tuple[str, str], float] = {}
        self._peaks: dict[str, tuple[float, float]] = {}
        self._reject_reasons: dict[str, QuotaRejectReason] = {}

    def _reject(
        self, workspace: ForwardedWorkspace, rule: QuotaRejectReason, seconds: float
    ) -> float:
        """Note what a request is refused for, and return the seconds until it may pass."""
        self._reject_reasons[workspace.name] = rule
        return max(MIN_RETRY_SECONDS, seconds)

    def _estimate_members(self) -> int:
        return math.ceil((1 + len(self._peers_reporting)) / max(self._live_share(), MIN_LIVE_SHARE))

    def get_consumed(self) -> dict[str, float]:
        """Return what this process has taken out in all, by workspace, to tell the others."""
        return dict(self._local_totals)

    def _update_bucket(self, workspace: ForwardedWorkspace, now: float) -> TokenBucket:
        share = self._live_share()
        bucket = self._buckets.get(workspace.name)
        if bucket is None:
            level = workspace.burst * share * INITIAL_LEVEL_FRACTION
            bucket = self._buckets[workspace.name] = TokenBucket(level, share, now)
        self._charge_silent_share(workspace.name, bucket, share, now)
        # Out of hearing each side keeps its part of the burst too.
        bucket.fill(workspace.rate * share, (workspace.burst + self._extra) * share, now)
        return bucket

    def _charge_silent_share(
        self, name: str, bucket: TokenBucket, share: float, now: float
    ) -> None:
        """Take out what was taken here of the parts of processes that are not heard any more.

        Notes
        -----
        Until their silence is noticed, each side of a partition takes the whole quota for its own.
        """
        silent = bucket.share - share
        bucket.share = share
        if silent > 0 and name in self._consumed:
            bucket.level -= silent * self._consumed[name].since(now - SILENCE_DETECTION_SECONDS)

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
        if lacking := self._get_bucket_wait(workspace, units, now):
            return lacking
        age = now - self._started_at.get(workspace.name, now)
        part = (INITIAL_LEVEL_FRACTION * workspace.burst + workspace.rate * age) / self._members()
        since = now - self._rules.window_seconds
        is_within = self._fits_local_share(workspace.name, units, part, since, now)
        return 0.0 if is_within else self._reject(workspace, QuotaRejectReason.SHARE, self._lag())

    def get_wait(self, workspace: ForwardedWorkspace, units: float, now: float) -> float:
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
        lacking = self._get_bucket_wait(workspace, units, now)
        return lacking or self._get_window_wait(workspace, units, self._members(), now)

    def _get_bucket_wait(self, workspace: ForwardedWorkspace, units: float, now: float) -> float:
        lacking = (
            MIN_BUCKET_FRACTION * min(units, workspace.burst)
            - self._update_bucket(workspace, now).level
        )
        if lacking <= 0:
            return 0.0
        return self._reject(workspace, QuotaRejectReason.BUCKET, lacking / workspace.rate)

    # Decisions for all processes

    def start_as_arbiter(self, workspace: ForwardedWorkspace, now: float) -> None:
        """Forget what the bucket has filled with while others may have decided unheard."""
        bucket = self._update_bucket(workspace, now)
        bucket.level = min(bucket.level, ARBITER_LEVEL_FRACTION * workspace.burst)

    def get_wait_as_arbiter(self, workspace: ForwardedWorkspace, units: float, now: float) -> float:
        """Return the seconds until a request may pass, if nothing is taken without this process."""
        if workspace.rate <= 0:
            return 0.0
        if lacking := self._get_bucket_wait(workspace, units, now):
            return lacking
        total = self._sum_window(workspace.name, now)
        excess = total + units - self._rules.limit(workspace) * self._live_share()
        if excess > 0:
            taken = self._consumed.get(workspace.name)
            self._reject_reasons[workspace.name] = QuotaRejectReason.WINDOW
            return taken.get_wait_until_freed(excess, now) if total else self._rules.window_seconds
        since_start = self._get_startup_allowance(workspace, total, now)
        if since_start > 0:
            return 0.0
        return self._reject(workspace, QuotaRejectReason.START, -since_start / workspace.rate)

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
        if lacking := self._get_bucket_wait(workspace, units, now):
            return lacking
        if sides == 1:
            return self._get_window_wait(workspace, units, CONCURRENT_ARBITERS, now)
        total = self._sum_window(workspace.name, now)
        left = min(
            self._rules.limit(workspace) * self._live_share() - total,
            self._get_startup_allowance(workspace, total, now),
            self._update_bucket(workspace, now).level
            + SURGE_RESERVE_FRACTION * self._rules.reserve(workspace),
        )
        since = now - PARTITION_DETECTION_SECONDS
        if self._fits_local_share(workspace.name, units, left / sides, since, now):
            return 0.0
        return self._reject(workspace, QuotaRejectReason.SHARE, MIN_RETRY_SECONDS)

    def _sum_window(self, name: str, now: float) -> float:
        """Return what all processes that are heard took of a workspace within the window."""
        taken = self._consumed.get(name)
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
        charged = units if is_alone else CONCURRENT_ARBITERS * units
        self._update_bucket(workspace, now).level -= charged
        self._record_consumed(workspace.name, charged, now)
        self._local_shares.setdefault(workspace.name, LocalShare()).use(units, now)
        self._grants.setdefault(workspace.name, OutstandingGrants()).add(units, now)

    def refund_grant(self, workspace: ForwardedWorkspace, units: float, now: float) -> None:
        """Give back what another process was allowed and has not used."""
        ahead = self._grants.setdefault(workspace.name, OutstandingGrants())
        units = ahead.cover(units, now)
        self._update_bucket(workspace, now).level += units
        self._record_consumed(workspace.name, -units, now)

    def get_state(self, workspace: ForwardedWorkspace, now: float) -> QuotaState:
        """Return what decides on the workspace's requests now."""
        total, share = self._sum_window(workspace.name, now), self._live_share()
        since_start = self._get_startup_allowance(workspace, total, now)
        return QuotaState(
            bucket=round(self._update_bucket(workspace, now).level),
            taken=round(total),
            limit=round(self._rules.limit(workspace) * share),
            heard_share=round(share, 3),
            lag=round(self._lag(), 3),
            decided_by=self._reject_reasons.get(workspace.name, QuotaRejectReason.NONE),
            left_since_start=None if math.isinf(since_start) else round(since_start),
        )

    def _get_window_wait(
        self, workspace: ForwardedWorkspace, units: float, members: int, now: float
    ) -> float:
        """Return the seconds until the request keeps the limit of the window; 0 if it does now."""
        taken, total = self._consumed.get(workspace.name), self._sum_window(workspace.name, now)
        left = self._rules.limit(workspace) * self._live_share() - total
        if total > 0:
            # Of what the others take now this process hears later.
            unheard = self._lag() * taken.since(now - RATE_SECONDS) / RATE_SECONDS
            if unheard > left - units:
                self._reject_reasons[workspace.name] = QuotaRejectReason.WINDOW
                return taken.get_wait_until_freed(unheard - left + units, now)
            if self._is_throttled(workspace, left - units, now):
                return self._reject(workspace, QuotaRejectReason.RATIONED, self._lag())
        since_start = self._get_startup_allowance(workspace, total, now)
        if since_start <= 0:
            return self._reject(workspace, QuotaRejectReason.START, -since_start / workspace.rate)
        left = min(left, since_start, self._get_surge_allowance(workspace, now))
        part, since = left / members, now - MAX_LAG_FACTOR * self._lag() - BIN_SECONDS
        if members > 1 and not self._fits_local_share(workspace.name, units, part, since, now):
            return self._reject(workspace, QuotaRejectReason.SHARE, self._lag())
        return 0.0

    def _get_startup_allowance(
        self, workspace: ForwardedWorkspace, total: float, now: float
    ) -> float:
        """Return what may be taken before this process knows what was taken before its start."""
        age = now - self._started_at.get(workspace.name, now)
        if age >= self._rules.window_seconds:
            return math.inf
        first = (
            INITIAL_LEVEL_FRACTION * workspace.burst
            + INITIAL_RESERVE_FACTOR * self._rules.reserve(workspace)
        )
        return first + workspace.rate * age - total

    def _get_surge_allowance(self, workspace: ForwardedWorkspace, now: float) -> float:
        """Return what may be taken beyond the bucket while a workspace sends too much."""
        if self._get_peak_rate(workspace.name, now) <= SURGE_RATE_FACTOR * workspace.rate:
            return math.inf
        level = self._update_bucket(workspace, now).level
        return level + SURGE_RESERVE_FRACTION * self._rules.reserve(workspace)

    def _fits_local_share(
        self, name: str, units: float, part: float, since: float, now: float
    ) -> bool:
        """Tell whether a request keeps to this process's part of what is left of the window.

        Notes
        -----
        All processes may let requests through at the same moment, before any word of it: the parts
        add up to what is left, whatever comes.
        """
        own = self._local_shares.setdefault(name, LocalShare())
        return own.allows(units, part, since, now, self._rng)

    def _is_throttled(self, workspace: ForwardedWorkspace, left: float, now: float) -> bool:
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
        unheard = MAX_LAG_FACTOR * self._lag() * self._get_peak_rate(workspace.name, now)
        room = min(self._update_bucket(workspace, now).level, left)
        return room < unheard and self._rng.random() * unheard > room

    def _get_peak_rate(self, name: str, now: float) -> float:
        """Return the units a second that were taken at most lately; it fades away."""
        peak = self._consumed[name].peak(now) if name in self._consumed else 0.0
        known, at = self._peaks.get(name, (0.0, now))
        peak = max(peak, known * 0.5 ** ((now - at) / PEAK_HALF_LIFE_SECONDS))
        self._peaks[name] = (peak, now)
        return peak

    def _record_consumed(self, name: str, units: float, now: float) -> None:
        self._consumed.setdefault(name, ConsumedUnits(self._rules.window_seconds)).add(units, now)

    def consume(self, workspace: ForwardedWorkspace, units: float, now: float) -> None:
        """Take an accepted request out, here at once and elsewhere with the next report."""
        if workspace.rate > 0:
            self._update_bucket(workspace, now).level -= units
            self._record_consumed(workspace.name, units, now)
            self._local_shares.setdefault(workspace.name, LocalShare()).use(units, now)
        self._local_totals[workspace.name] = self._local_totals.get(workspace.name, 0.0) + units

    def refund(self, workspace: ForwardedWorkspace, units: float, now: float) -> None:
        """Give back what a request took that did not run."""
        self.consume(workspace, -units, now)

    def start_buckets(self, workspaces: Iterable[ForwardedWorkspace], now: float) -> None:
        """Let the copies of all workspaces begin to fill."""
        for each in workspaces:
            if each.rate > 0:
                self._update_bucket(each, now)
                self._started_at.setdefault(each.name, now)

    def merge_consumed(
        self, process: str, spent: Mapping[str, float], continuous: bool, now: float
    ) -> None:
        """Take in what another process has taken out in all.

        Parameters
        ----------
        process : str
            VM and incarnation: a new process counts from 0.
        continuous : bool
            False if the process was out of hearing: what it took meanwhile was its own part, which
            this process's copies have left out.
        """
        self._peers_reporting.add(process)
        for name, total in spent.items():
            known = self._remote_totals.get((process, name), 0.0)
            self._remote_totals[process, name] = total
            bucket = self._buckets.get(name)
            if continuous and bucket is not None and total != known:
                added = total - known
                if added > 0 and name in self._grants:
                    added -= self._grants[name].cover(added, now)
                bucket.level -= added
                self._record_consumed(name, added, now)
