"""Share of this process in limits common to all entry processes: slots and workspace limits."""

from flamingofront.decisions.admission import WorkspaceShare, compute_limit_share
from flamingofront.process.dissemination import Dissemination
from flamingofront.process.membership import Role
from flamingofront.process.status import StatusRecord
from flamingofront.process.timers import TimerService
from flamingofront.request.hub import RequestHub
from flamingofront.version.model import Workspace

__all__ = ["SharedLimits"]


class SharedLimits:
    """Computes the share of this process from the demand that peers report by gossip."""

    def __init__(self, dissemination: Dissemination, hub: RequestHub, timers: TimerService):
        self._gossip = dissemination
        self._hub = hub
        self._timers = timers

    def _list_live_peers(self) -> list[StatusRecord]:
        live = self._gossip.statuses.live_records(self._timers.now())
        return [each for each in live if each.vm_id != self._gossip.own_id]

    def _count_members(self) -> int:
        return len(self._gossip.facts.select(Role.ENTRY)) or 1

    def compute_capacity_share(self) -> float:
        """Return this process's share of the endpoints' slots, from 0 to 1, by its demand.

        Notes
        -----
        While some peers are unreachable, the slots are divided evenly among this process and its
        live peers: these use the same endpoints, and the others are assumed to be on the other side
        of a network partition.
        """
        live = self._list_live_peers()
        if len(live) < self._count_members() - 1:
            return 1.0 / (len(live) + 1) if live else 1.0 / self._count_members()
        local_demand = len(self._hub.active) + 1.0
        total = local_demand + sum(each.in_flight + 1.0 for each in live)
        return local_demand / total

    def compute_workspace_limit(self, workspace: Workspace) -> int:
        """Return how many requests of a workspace may run here concurrently."""
        peer_demand = {
            each.vm_id: float(each.demand.get(workspace.name, 0))
            for each in self._list_live_peers()
        }
        members = self._count_members()
        local_demand = float(self._hub.in_flight_by_workspace().get(workspace.name, 0))
        unreachable = max(0, members - 1 - len(peer_demand))
        return compute_limit_share(
            workspace.max_in_flight, local_demand, peer_demand, members, unreachable
        )

    def get_admission_share(self, name: str) -> WorkspaceShare:
        """Return the admission share of a workspace, the default share for a deleted one."""
        workspace = self._gossip.configuration.find_workspace(name)
        if workspace is None:
            return WorkspaceShare(name)
        limit = self.compute_workspace_limit(workspace)
        return WorkspaceShare(name, workspace.weight, workspace.priority, limit)
