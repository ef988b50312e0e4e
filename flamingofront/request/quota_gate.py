"""Quota checks: a request is admitted only if it is within the quota of its workspace."""

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
    """Outcome of the quota check of one request.

    Parameters
    ----------
    wait : float
        0 if the request is within the quota, else the seconds until it would be.
    arbiter : str
        IP address of the arbiter that decided; empty if this process decided.
    state : QuotaState or None
        Quota state on which the arbiter decided; None if this process decided.
    """

    wait: float
    arbiter: str = ""
    state: QuotaState | None = None


class QuotaGate(ABC):
    """Decides whether requests of workspaces with a quota are admitted."""

    @abstractmethod
    def decide(
        self,
        workspace: ForwardedWorkspace,
        units: float,
        on_decision: Callable[[QuotaDecision], None],
    ) -> None:
        """Check a request and pass the decision to `on_decision`, at once or later.

        Parameters
        ----------
        units : float
            Quota units that the request consumes.
        """

    @abstractmethod
    def return_unused(
        self, workspace: ForwardedWorkspace, units: float, decision: QuotaDecision
    ) -> None:
        """Return the units of an admitted request that was rejected afterwards."""


class LocalQuotaGate(QuotaGate):
    """Decides by the quota state of this process, without an arbiter."""

    def __init__(self, quota: QuotaPolicy, timers: TimerService):
        self._quota = quota
        self._timers = timers

    def decide(
        self,
        workspace: ForwardedWorkspace,
        units: float,
        on_decision: Callable[[QuotaDecision], None],
    ) -> None:
        """Check a request against the local quota and pass on the decision at once."""
        on_decision(QuotaDecision(self._quota.get_wait(workspace, units, self._timers.now())))

    def return_unused(
        self, workspace: ForwardedWorkspace, units: float, decision: QuotaDecision
    ) -> None:
        """Do nothing: the local quota is charged only when the request is accepted."""
