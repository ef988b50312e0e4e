"""Facts on quotas: the limits that a deployment sets, and what decided on a request."""

from dataclasses import dataclass
from enum import StrEnum

from flamingofront.version.forwarding import ForwardedWorkspace

__all__ = ["QuotaRejectReason", "QuotaLimits", "QuotaState"]


@dataclass(frozen=True)
class QuotaLimits:
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
        return self._quota(workspace) * (1 + self.over) + self.allowance

    def reserve(self, workspace: ForwardedWorkspace) -> float:
        """Return the part of the limit that goes beyond rate and burst."""
        return self._quota(workspace) * self.over + self.allowance

    def _quota(self, workspace: ForwardedWorkspace) -> float:
        return workspace.rate * self.window + workspace.burst


class QuotaRejectReason(StrEnum):
    """What a request is refused for."""

    NONE = ""
    BUCKET = "bucket"
    """The bucket does not hold a part of it."""
    WINDOW = "window"
    """What was taken within the window, and what others take unheard, leaves no room for it."""
    RATIONED = "rationed"
    """All processes together would take too much before they hear of one another."""
    START = "start"
    """What was taken before the start of the process is not known, and assumed to be much."""
    PART = "part"
    """Others may decide at the same time: each keeps to its part of what is left."""


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
    decided_by : QuotaRejectReason
        What the last refusal of the workspace was for, where it was decided.
    left_since_start : float or None
        What may still be taken while it is not known what was taken before the start of the process
        that decided; None once its start is a window ago.
    """

    bucket: float = 0.0
    taken: float = 0.0
    limit: float = 0.0
    heard_share: float = 1.0
    lag: float = 0.0
    decided_by: QuotaRejectReason = QuotaRejectReason.NONE
    left_since_start: float | None = None
