"""What all entry processes together run at the endpoints of a service."""

from collections import Counter

from flamingofront.decisions.demand import Demand, OfferedLoad
from flamingofront.process.forwarding.peers import Peers
from flamingofront.process.forwarding.sums import add_demand, add_work
from flamingofront.process.membership import FactTable
from flamingofront.process.timers import TimerService
from flamingofront.request.hub import RequestHub
from flamingofront.version.forwarding import DEFAULT_SLOTS

__all__ = ["ClusterLoad"]


class ClusterLoad:
    """Sums of this process's requests and of those that the others tell.

    Parameters
    ----------
    facts : FactTable
        Endpoints, shared with the directory.
    """

    def __init__(self, hub: RequestHub, peers: Peers, facts: FactTable, timers: TimerService):
        self._hub = hub
        self._peers = peers
        self._facts = facts
        self._timers = timers

    def demand(self, service: str) -> Demand:
        """Return the requests that run at the endpoints of a service."""
        loads = self._peers.peer_loads()
        running = self._hub.count_in_flight(service) + add_demand(loads).get(service, 0)
        work = self._hub.load_meter.get_loads(self._timers.now()).get(service, OfferedLoad())
        work += OfferedLoad(*add_work(loads).get(service, (0.0, 0.0)))
        return Demand(running, self._hub.directory.advertised_slots(service) or DEFAULT_SLOTS, work)

    def at_other_versions(self, service: str, version: str) -> int | None:
        """Return what runs at the endpoints of a service that have not a version.

        Returns
        -------
        int or None
            None while some processes cannot be heard.
        """
        if self._peers.live_share() < 1.0:
            return None
        total = Counter(self._hub.directory.in_flight_by_endpoint())
        for each in self._peers.peer_loads():
            total.update(each.in_flight)
        others = {
            fact.vm_id
            for fact in self._facts.all()
            if fact.service == service and fact.side != version
        }
        return sum(count for endpoint_id, count in total.items() if endpoint_id in others)
