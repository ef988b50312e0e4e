"""This process's part of what all entry processes share: slots and workspace limits."""

from flamingofront.decisions.admission import WorkspaceShare, compute_limit_share
from flamingofront.process.dissemination import Dissemination
from flamingofront.process.membership import Role
from flamingofront.process.status import StatusRecord
from flamingofront.process.timers import TimerService
from flamingofront.request.hub import RequestHub
from flamingofront.version.model import Workspace

__all__ = ["SharedLimits"]


class SharedLimits:
    """Works out parts from the demand that the gossip tells of."""

    def __init__(self, dissemination: Dissemination, hub: RequestHub, timers: TimerService):
        self._gossip = dissemination
        self._hub = hub
        self._timers = timers

    def _heard_peers(self) -> list[StatusRecord]:
        heard = self._gossip.statuses.live_records(self._timers.now())
        return [each for each in heard if each.vm_id != self._gossip.own_id]

    def _member_count(self) -> int:
        return len(self._gossip.facts.select(Role.ENTRY)) or 1

    def capacity_share(self) -> float:
        """Return this process's part of the endpoints' slots, by the demand that it hears of.

        Notes
        -----
        With peers out of hearing the slots are divided by number: those that are heard can be
        reached by the same endpoints, the others are taken to be on the far side of a cut.
        """
        heard = self._heard_peers()
        if len(heard) < self._member_count() - 1:
            return 1.0 / (len(heard) + 1) if heard else 1.0 / self._member_count()
        own = len(self._hub.active) + 1.0
        total = own + sum(each.in_flight + 1.0 for each in heard)
        return own / total

    def workspace_limit(self, workspace: Workspace) -> int:
        """Return the requests of a workspace that may run here at the same time."""
        heard = {
            each.vm_id: float(each.demand.get(workspace.name, 0)) for each in self._heard_peers()
        }
        members = self._member_count()
        own = float(self._hub.in_flight_by_workspace().get(workspace.name, 0))
        unheard = max(0, members - 1 - len(heard))
        return compute_limit_share(workspace.max_in_flight, own, heard, members, unheard)

    def share_of(self, name: str) -> WorkspaceShare:
        """Return the admission share of a workspace; a deleted one keeps the defaults."""
        workspace = self._gossip.configuration.find_workspace(name)
        if workspace is None:
            return WorkspaceShare(name)
        limit = self.workspace_limit(workspace)
        return WorkspaceShare(name, workspace.weight, workspace.priority, limit)
