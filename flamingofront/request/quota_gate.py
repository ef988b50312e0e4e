"""Where a request waits until it is known to be within its workspace's quota."""

from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass

from flamingofront.decisions.quota import QuotaPolicy
from flamingofront.decisions.quota_facts import QuotaState
from flamingofront.process.timers import TimerService
from flamingofront.version.forwarding import ForwardedWorkspace

__all__ = ["LocalQuotaGate", "QuotaDecision", "QuotaGate"]


@dataclass(frozen=True)
class QuotaDecision:
    """Whether a request may pass.

    Parameters
    ----------
    wait : float
        0 if it may, else the seconds after which it would.
    arbiter : str
        IP number of the process that decided; empty for this one.
    state : QuotaState or None
        What decided there; None if it was decided here.
    """

    wait: float
    arbiter: str = ""
    state: QuotaState | None = None


class QuotaGate(ABC):
    """Decides on requests of workspaces that have a quota."""

    @abstractmethod
    def decide(
        self,
        workspace: ForwardedWorkspace,
        units: float,
        then: Callable[[QuotaDecision], None],
    ) -> None:
        """Have a request decided on; `then` gets the decision, at once or soon."""

    @abstractmethod
    def unused(self, workspace: ForwardedWorkspace, units: float, decision: QuotaDecision) -> None:
        """Give back what was allowed to a request that was not taken in the end."""


class LocalQuotaGate(QuotaGate):
    """Decides by this process's copy of the quota alone."""

    def __init__(self, quota: QuotaPolicy, timers: TimerService):
        self._quota = quota
        self._timers = timers

    def decide(
        self,
        workspace: ForwardedWorkspace,
        units: float,
        then: Callable[[QuotaDecision], None],
    ) -> None:
        """Decide at once."""
        then(QuotaDecision(self._quota.get_wait(workspace, units, self._timers.now())))

    def unused(self, workspace: ForwardedWorkspace, units: float, decision: QuotaDecision) -> None:
        """Do nothing: what is allowed here is only taken out once the request is accepted."""
