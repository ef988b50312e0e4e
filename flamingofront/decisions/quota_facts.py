"""Data types of quotas: the limits of a deployment, and the basis of a decision."""

from dataclasses import dataclass
from enum import StrEnum

from flamingofront.version.forwarding import ForwardedWorkspace

__all__ = ["QuotaRejectReason", "QuotaLimits", "QuotaState"]


@dataclass(frozen=True)
class QuotaLimits:
    """Limits on the consumption of a workspace in any sliding window.

    Parameters
    ----------
    window_seconds : float
        Length of the window in seconds.
    over_ratio : float
        Fraction of the quota by which it may be exceeded in a window.
    allowance : float
        Further units by which the quota may be exceeded.
    """

    window_seconds: float = 8.0
    over_ratio: float = 0.0
    allowance: float = 0.0

    def limit(self, workspace: ForwardedWorkspace) -> float:
        """Return the maximum units that a workspace may consume in a window."""
        return self._quota(workspace) * (1 + self.over_ratio) + self.allowance

    def reserve(self, workspace: ForwardedWorkspace) -> float:
        """Return the units of the limit beyond rate and burst."""
        return self._quota(workspace) * self.over_ratio + self.allowance

    def _quota(self, workspace: ForwardedWorkspace) -> float:
        return workspace.rate * self.window_seconds + workspace.burst


class QuotaRejectReason(StrEnum):
    """Reason for which the quota rejected a request."""

    NONE = ""
    BUCKET = "bucket"
    """The token bucket holds too little."""
    WINDOW = "window"
    """Consumption in the window, including estimated unreported consumption, reaches the limit."""
    RATIONED = "rationed"
    """Rejected at random: all processes would consume too much before their reports arrive."""
    START = "start"
    """Consumption before the start of the process is unknown and assumed to be high."""
    SHARE = "part"
    """Other processes may decide at the same time: the share of this one is used up."""


@dataclass(frozen=True)
class QuotaState:
    """Figures on which quota decisions about a workspace are based, in units.

    Parameters
    ----------
    bucket : float
        Level of the local replica of the token bucket.
    taken : float
        Consumption of all live processes within the window.
    limit : float
        Maximum consumption in a window, reduced while some processes are not live.
    heard_share : float
        Fraction of the processes that are live.
    lag : float
        Mean age of the reports of peers, in seconds.
    decided_by : QuotaRejectReason
        Reason of the last rejection of the workspace at the deciding process.
    left_since_start : float or None
        Units that may still be consumed while the consumption before the start of the deciding
        process is unknown; None once it has run for a full window.
    """

    bucket: float = 0.0
    taken: float = 0.0
    limit: float = 0.0
    heard_share: float = 1.0
    lag: float = 0.0
    decided_by: QuotaRejectReason = QuotaRejectReason.NONE
    left_since_start: float | None = None
