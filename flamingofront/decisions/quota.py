"""Workspace quotas shared by all entry processes.

Each process keeps a replica of one token bucket per workspace. It charges its own requests
immediately and those of its peers when their reports arrive, so that replicas differ only by the
gossip lag. A process that does not receive reports from some peers refills its replica at a lower
rate, in proportion to the live processes: the rates of all sides of a partition add up to the
quota.

Beside the bucket, each process sums what all processes consumed in a sliding window and rejects
requests that would exceed the limit set by the deployment. The bucket can therefore absorb bursts,
and large requests may run into debt, although the reports of peers arrive late.

Reports arrive too late for a surge: everything that arrives before the first report is admitted at
every process. Therefore one process, the arbiter, decides on the requests of a workspace for all
while it is reachable. It charges what it grants at once, before the requesting processes report it.
Without a reachable arbiter each process keeps to its share of the remaining quota.
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

# Fraction of the allowance, by which a quota may be exceeded, that is added to the burst so that
# bursts within the quota are not rejected. The rest covers large requests and late reports around
# a simultaneous restart of all processes, which then do not know what was consumed.
USED_ALLOWANCE_FRACTION = 0.3
# Time over which the current rate of a workspace is measured: four report intervals.
RATE_SECONDS = 1.0
# Fraction of a request that the bucket must hold for admission; the rest becomes debt. A smaller
# value admits more large requests, and more small requests wait until the debt is paid.
MIN_BUCKET_FRACTION = 0.25
# Initial level of a new process as a fraction of the burst, scaled by its live share. After a
# simultaneous restart, earlier consumption is in the same window: with 0.25 a limit of 1.1 times
# the quota covers bursts of up to 5 s of the rate, with 0.5 only of 2 s.
INITIAL_LEVEL_FRACTION = 0.25
# Maximum level, as a fraction of the burst, with which a process becomes the only arbiter.
ARBITER_LEVEL_FRACTION = 0.1
# Age of late reports relative to the lag, which is a mean: some reports are older by half.
MAX_LAG_FACTOR = 1.5
# Lower bound of the live share, used as a divisor when no peer is live.
MIN_LIVE_SHARE = 0.001
# Units in the busiest second, relative to the rate, above which a workspace is in a surge.
SURGE_RATE_FACTOR = 2.0
# Fraction of the reserve (what the window allows beyond rate and burst) that all processes may
# consume beyond the bucket during a surge.
SURGE_RESERVE_FRACTION = 0.2
# Multiple of the reserve that may be consumed at process start: earlier consumption in the same
# window is unknown.
INITIAL_RESERVE_FACTOR = 2.0
# Processes that may act as arbiter at the same time while the choice of the arbiter changes.
CONCURRENT_ARBITERS = 2
# Time within which all sides of a partition detect it. Until then the share of one side is not
# renewed.
PARTITION_DETECTION_SECONDS = 2.0
# Time after which an unresponsive process is detected.
SILENCE_DETECTION_SECONDS = 1.6
# Decay of the peak rate, which determines how long a surge is assumed to last.
PEAK_HALF_LIFE_SECONDS = 8.0


class QuotaPolicy(ABC):
    """Policy that decides whether a workspace may send another request now."""

    @abstractmethod
    def get_wait(self, workspace: ForwardedWorkspace, units: float, now: float) -> float:
        """Return 0 if the request is within the quota, else the seconds until a retry may pass."""

    @abstractmethod
    def get_state(self, workspace: ForwardedWorkspace, now: float) -> QuotaState:
        """Return the figures on which decisions about the workspace are based."""

    @abstractmethod
    def consume(self, workspace: ForwardedWorkspace, units: float, now: float) -> None:
        """Charge an accepted request to the quota."""

    @abstractmethod
    def refund(self, workspace: ForwardedWorkspace, units: float, now: float) -> None:
        """Refund the units of a request that did not run."""


class UnlimitedQuota(QuotaPolicy):
    """Policy without any quota, for tests and benchmarks."""

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
    """Quota policy with token buckets replicated over all entry processes.

    Parameters
    ----------
    live_share : callable
        Returns the fraction of the entry processes that are live, including this one; 0 to 1.
    limits : QuotaLimits, optional
        Limits over the sliding window.
    lag : callable
        Returns the mean age of the reports of peers, in seconds.
    rng : random.Random, optional
        Source of the random admission of requests during a surge.
    members : callable, optional
        Returns the number of entry processes; estimated from the live ones if not given.
    """

    def __init__(
        self,
        live_share: Callable[[], float],
        limits: QuotaLimits | None = None,
        lag: Callable[[], float] = lambda: 0.0,
        rng: random.Random | None = None,
        members: Callable[[], int] | None = None,
    ):
        self._rng = rng or random.Random()
        self._members = members or self._estimate_members
        self._reporting_peers: set[str] = set()
        self._started_at: dict[str, float] = {}
        self._grants: dict[str, OutstandingGrants] = {}
        self._local_shares: dict[str, LocalShare] = {}
        self._live_share = live_share
        self._limits = limits or QuotaLimits()
        self._lag = lag
        self._burst_allowance = self._limits.allowance * USED_ALLOWANCE_FRACTION
        self._consumed: dict[str, ConsumedUnits] = {}
        self._buckets: dict[str, TokenBucket] = {}
        self._local_totals: dict[str, float] = {}
        self._remote_totals: dict[tuple[str, str], float] = {}
        self._peaks: dict[str, tuple[float, float]] = {}
        self._reject_reasons: dict[str, QuotaRejectReason] = {}

    def _record_rejection(
        self, workspace: ForwardedWorkspace, reason: QuotaRejectReason, seconds: float
    ) -> float:
        """Record the reason of a rejection and return the seconds until a retry may pass."""
        self._reject_reasons[workspace.name] = reason
        return max(MIN_RETRY_SECONDS, seconds)

    def _estimate_members(self) -> int:
        return math.ceil((1 + len(self._reporting_peers)) / max(self._live_share(), MIN_LIVE_SHARE))

    def get_consumed(self) -> dict[str, float]:
        """Return the total units consumed by this process, by workspace."""
        return dict(self._local_totals)

    def _update_bucket(self, workspace: ForwardedWorkspace, now: float) -> TokenBucket:
        share = self._live_share()
        bucket = self._buckets.get(workspace.name)
        if bucket is None:
            level = workspace.burst * share * INITIAL_LEVEL_FRACTION
            bucket = self._buckets[workspace.name] = TokenBucket(level, share, now)
        self._charge_lost_share(workspace.name, bucket, share, now)
        # During a partition the burst is divided between the sides too.
        bucket.fill(workspace.rate * share, (workspace.burst + self._burst_allowance) * share, now)
        return bucket

    def _charge_lost_share(self, name: str, bucket: TokenBucket, share: float, now: float) -> None:
        """Charge what this side consumed of the shares of processes that became unresponsive.

        Notes
        -----
        Until a partition is detected, each side of it uses the whole quota.
        """
        lost_share = bucket.share - share
        bucket.share = share
        if lost_share > 0 and name in self._consumed:
            bucket.level -= lost_share * self._consumed[name].sum_since(
                now - SILENCE_DETECTION_SECONDS
            )

    def get_wait_as_newcomer(
        self, workspace: ForwardedWorkspace, units: float, now: float
    ) -> float:
        """Return the seconds until a request may pass at a process that has just started.

        Notes
        -----
        Older processes know the earlier consumption, but this one does not know the arbiter yet.
        """
        if workspace.rate <= 0:
            return 0.0
        if shortfall := self._get_bucket_wait(workspace, units, now):
            return shortfall
        age = now - self._started_at.get(workspace.name, now)
        share = (INITIAL_LEVEL_FRACTION * workspace.burst + workspace.rate * age) / self._members()
        since = now - self._limits.window_seconds
        is_within = self._fits_local_share(workspace.name, units, share, since, now)
        return (
            0.0
            if is_within
            else self._record_rejection(workspace, QuotaRejectReason.SHARE, self._lag())
        )

    def get_wait(self, workspace: ForwardedWorkspace, units: float, now: float) -> float:
        """Return 0 if the request is within the quota, else the seconds until a retry may pass.

        Notes
        -----
        A request may need more than the bucket holds; its workspace then waits until the debt is
        paid. Otherwise small requests would consume each refill, and a large one, which can exceed
        the whole burst, would rarely pass: 1 in 15 of the largest requests was rejected at normal
        load.
        """
        if workspace.rate <= 0:
            return 0.0
        shortfall = self._get_bucket_wait(workspace, units, now)
        return shortfall or self._get_window_wait(workspace, units, self._members(), now)

    def _get_bucket_wait(self, workspace: ForwardedWorkspace, units: float, now: float) -> float:
        shortfall = (
            MIN_BUCKET_FRACTION * min(units, workspace.burst)
            - self._update_bucket(workspace, now).level
        )
        if shortfall <= 0:
            return 0.0
        return self._record_rejection(
            workspace, QuotaRejectReason.BUCKET, shortfall / workspace.rate
        )

    # Decisions as arbiter

    def start_as_arbiter(self, workspace: ForwardedWorkspace, now: float) -> None:
        """Lower the bucket level when this process becomes the only arbiter.

        Notes
        -----
        The bucket has refilled while other arbiters may have made grants not yet reported here.
        """
        bucket = self._update_bucket(workspace, now)
        bucket.level = min(bucket.level, ARBITER_LEVEL_FRACTION * workspace.burst)

    def get_wait_as_arbiter(self, workspace: ForwardedWorkspace, units: float, now: float) -> float:
        """Return the seconds until a request may pass if this process is the only arbiter."""
        if workspace.rate <= 0:
            return 0.0
        if shortfall := self._get_bucket_wait(workspace, units, now):
            return shortfall
        total = self._sum_window(workspace.name, now)
        excess = total + units - self._limits.limit(workspace) * self._live_share()
        if excess > 0:
            consumed = self._consumed.get(workspace.name)
            self._reject_reasons[workspace.name] = QuotaRejectReason.WINDOW
            return (
                consumed.get_wait_until_freed(excess, now) if total else self._limits.window_seconds
            )
        startup_allowance = self._get_startup_allowance(workspace, total, now)
        if startup_allowance > 0:
            return 0.0
        return self._record_rejection(
            workspace, QuotaRejectReason.START, -startup_allowance / workspace.rate
        )

    def get_wait_as_new_arbiter(
        self, workspace: ForwardedWorkspace, units: float, sides: int, now: float
    ) -> float:
        """Return the seconds until a request may pass while there may be other arbiters.

        Parameters
        ----------
        sides : int
            Possible sides of a partition, each with its own arbiter; 1 if all zones are live, so
            that only the previous arbiter may have granted anything recently.
        """
        if workspace.rate <= 0:
            return 0.0
        if shortfall := self._get_bucket_wait(workspace, units, now):
            return shortfall
        if sides == 1:
            return self._get_window_wait(workspace, units, CONCURRENT_ARBITERS, now)
        total = self._sum_window(workspace.name, now)
        remaining = min(
            self._limits.limit(workspace) * self._live_share() - total,
            self._get_startup_allowance(workspace, total, now),
            self._update_bucket(workspace, now).level
            + SURGE_RESERVE_FRACTION * self._limits.reserve(workspace),
        )
        since = now - PARTITION_DETECTION_SECONDS
        if self._fits_local_share(workspace.name, units, remaining / sides, since, now):
            return 0.0
        return self._record_rejection(workspace, QuotaRejectReason.SHARE, MIN_RETRY_SECONDS)

    def _sum_window(self, name: str, now: float) -> float:
        """Return the units that live processes consumed of a workspace within the window."""
        consumed = self._consumed.get(name)
        return consumed.sum_window(now) if consumed is not None else 0.0

    def charge_grant(
        self, workspace: ForwardedWorkspace, units: float, is_alone: bool, now: float
    ) -> None:
        """Charge a grant to another process, whose own report of it is then not charged again.

        Parameters
        ----------
        is_alone : bool
            False if another arbiter may grant as much at the same time, which is charged too.
        """
        charged = units if is_alone else CONCURRENT_ARBITERS * units
        self._update_bucket(workspace, now).level -= charged
        self._record_consumed(workspace.name, charged, now)
        self._local_shares.setdefault(workspace.name, LocalShare()).record_use(units, now)
        self._grants.setdefault(workspace.name, OutstandingGrants()).add(units, now)

    def refund_grant(self, workspace: ForwardedWorkspace, units: float, now: float) -> None:
        """Refund a grant that another process has not used."""
        grants = self._grants.setdefault(workspace.name, OutstandingGrants())
        units = grants.settle(units, now)
        self._update_bucket(workspace, now).level += units
        self._record_consumed(workspace.name, -units, now)

    def get_state(self, workspace: ForwardedWorkspace, now: float) -> QuotaState:
        """Return the figures on which decisions about the workspace are based."""
        total, share = self._sum_window(workspace.name, now), self._live_share()
        startup_allowance = self._get_startup_allowance(workspace, total, now)
        return QuotaState(
            bucket=round(self._update_bucket(workspace, now).level),
            taken=round(total),
            limit=round(self._limits.limit(workspace) * share),
            heard_share=round(share, 3),
            lag=round(self._lag(), 3),
            decided_by=self._reject_reasons.get(workspace.name, QuotaRejectReason.NONE),
            left_since_start=None if math.isinf(startup_allowance) else round(startup_allowance),
        )

    def _get_window_wait(
        self, workspace: ForwardedWorkspace, units: float, members: int, now: float
    ) -> float:
        """Return the seconds until the request fits the limit of the window, 0 if it does now."""
        consumed, total = self._consumed.get(workspace.name), self._sum_window(workspace.name, now)
        remaining = self._limits.limit(workspace) * self._live_share() - total
        if total > 0:
            # Current consumption of peers is reported only after the lag.
            unreported = self._lag() * consumed.sum_since(now - RATE_SECONDS) / RATE_SECONDS
            if unreported > remaining - units:
                self._reject_reasons[workspace.name] = QuotaRejectReason.WINDOW
                return consumed.get_wait_until_freed(unreported - remaining + units, now)
            if self._is_throttled(workspace, remaining - units, now):
                return self._record_rejection(workspace, QuotaRejectReason.RATIONED, self._lag())
        startup_allowance = self._get_startup_allowance(workspace, total, now)
        if startup_allowance <= 0:
            return self._record_rejection(
                workspace, QuotaRejectReason.START, -startup_allowance / workspace.rate
            )
        remaining = min(remaining, startup_allowance, self._get_surge_allowance(workspace, now))
        share, since = remaining / members, now - MAX_LAG_FACTOR * self._lag() - BIN_SECONDS
        if members > 1 and not self._fits_local_share(workspace.name, units, share, since, now):
            return self._record_rejection(workspace, QuotaRejectReason.SHARE, self._lag())
        return 0.0

    def _get_startup_allowance(
        self, workspace: ForwardedWorkspace, total: float, now: float
    ) -> float:
        """Return the units left while consumption before the start is unknown, else infinity."""
        age = now - self._started_at.get(workspace.name, now)
        if age >= self._limits.window_seconds:
            return math.inf
        initial = (
            INITIAL_LEVEL_FRACTION * workspace.burst
            + INITIAL_RESERVE_FACTOR * self._limits.reserve(workspace)
        )
        return initial + workspace.rate * age - total

    def _get_surge_allowance(self, workspace: ForwardedWorkspace, now: float) -> float:
        """Return the units that may still be consumed during a surge, else infinity."""
        if self._get_peak_rate(workspace.name, now) <= SURGE_RATE_FACTOR * workspace.rate:
            return math.inf
        level = self._update_bucket(workspace, now).level
        return level + SURGE_RESERVE_FRACTION * self._limits.reserve(workspace)

    def _fits_local_share(
        self, name: str, units: float, share: float, since: float, now: float
    ) -> bool:
        """Return True if a request fits this process's share of the remaining window.

        Notes
        -----
        All processes may admit requests at the same moment, before any report of it: the shares
        add up to the remaining units at any load.
        """
        local_share = self._local_shares.setdefault(name, LocalShare())
        return local_share.decide(units, share, since, now, self._rng)

    def _is_throttled(self, workspace: ForwardedWorkspace, remaining: float, now: float) -> bool:
        """Return True if a request is rejected at random because the bucket is nearly empty.

        Notes
        -----
        While the bucket holds less than all processes may consume until the reports arrive, each
        process admits only the corresponding fraction of requests. Otherwise all processes admit
        everything whenever their replicas rise above zero: at 4.8 times the quota and a lag of
        0.8 s, 32 processes consumed up to 1.20 of the window limit (nine simulations). With this
        rule 24 processes consume up to 0.99, also when all are killed midway, and at 0.9 of the
        quota 0.986 of the load is admitted (16 simulations each of the load in the tests).
        Persisting the consumption for restarted processes did not improve this: 0.946 of the limit
        with and without it at a lag of 0.5 s (24 simulations). The rule is needed at a short lag
        too: at 7.5 times the quota and a lag of 0.18 s, 17 processes consume up to 1.07 of the
        limit without it and 0.89 with it (16 simulations).
        """
        unreported = MAX_LAG_FACTOR * self._lag() * self._get_peak_rate(workspace.name, now)
        headroom = min(self._update_bucket(workspace, now).level, remaining)
        return headroom < unreported and self._rng.random() * unreported > headroom

    def _get_peak_rate(self, name: str, now: float) -> float:
        """Return the decaying peak of the consumption, in units per second."""
        peak = self._consumed[name].get_peak(now) if name in self._consumed else 0.0
        previous, at = self._peaks.get(name, (0.0, now))
        peak = max(peak, previous * 0.5 ** ((now - at) / PEAK_HALF_LIFE_SECONDS))
        self._peaks[name] = (peak, now)
        return peak

    def _record_consumed(self, name: str, units: float, now: float) -> None:
        self._consumed.setdefault(name, ConsumedUnits(self._limits.window_seconds)).add(units, now)

    def consume(self, workspace: ForwardedWorkspace, units: float, now: float) -> None:
        """Charge an accepted request to the local replica; peers charge it with the next report."""
        if workspace.rate > 0:
            self._update_bucket(workspace, now).level -= units
            self._record_consumed(workspace.name, units, now)
            self._local_shares.setdefault(workspace.name, LocalShare()).record_use(units, now)
        self._local_totals[workspace.name] = self._local_totals.get(workspace.name, 0.0) + units

    def refund(self, workspace: ForwardedWorkspace, units: float, now: float) -> None:
        """Refund the units of a request that did not run."""
        self.consume(workspace, -units, now)

    def start_buckets(self, workspaces: Iterable[ForwardedWorkspace], now: float) -> None:
        """Create the token buckets of all workspaces, which start to refill."""
        for each in workspaces:
            if each.rate > 0:
                self._update_bucket(each, now)
                self._started_at.setdefault(each.name, now)

    def merge_consumed(
        self, process: str, totals: Mapping[str, float], continuous: bool, now: float
    ) -> None:
        """Merge the reported total consumption of another process.

        Parameters
        ----------
        process : str
            VM id and incarnation; each incarnation counts from 0.
        totals : mapping of str to float
            Total units consumed by the process, by workspace.
        continuous : bool
            False if the process was unreachable before: its consumption in the meantime came from
            its own share, which is not part of this replica.
        """
        self._reporting_peers.add(process)
        for name, total in totals.items():
            previous = self._remote_totals.get((process, name), 0.0)
            self._remote_totals[process, name] = total
            bucket = self._buckets.get(name)
            if continuous and bucket is not None and total != previous:
                added = total - previous
                if added > 0 and name in self._grants:
                    added -= self._grants[name].settle(added, now)
                bucket.level -= added
                self._record_consumed(name, added, now)
