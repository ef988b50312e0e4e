"""Queries on the membership facts of this process."""

from flamingofront.process.dissemination import Dissemination
from flamingofront.process.membership import Fact, Role, VmState
from flamingofront.process.peers import PeerLinks

__all__ = ["Members"]


class Members:
    """Queries on the membership facts.

    Parameters
    ----------
    zone : str
        Zone of this process.
    """

    def __init__(self, zone: str, dissemination: Dissemination, links: PeerLinks):
        self._zone = zone
        self._gossip = dissemination
        self._links = links

    def is_gone(self, vm_id: str) -> bool:
        """Return True if a VM is gone permanently."""
        fact = self._gossip.facts.get(vm_id)
        return fact is not None and fact.state is VmState.GONE

    def address_of(self, vm_id: str) -> str | None:
        """Return the address of a VM, None if there is no fact about it."""
        fact = self._gossip.facts.get(vm_id)
        return None if fact is None else fact.address

    def list_handover_targets(self) -> tuple[Fact, ...]:
        """Return the live peers, to which requests may be handed over."""
        live = self._gossip.facts.select(Role.ENTRY)
        return tuple(each for each in live if each.vm_id != self._gossip.own_id)

    def rank_holders(self, request_id: str, moved_to: str | None) -> list[str]:
        """Return the addresses of the peers that may own a request, the most likely first.

        Parameters
        ----------
        moved_to : str or None
            VM that this process handed the request over to.
        """
        holders = self._links.rank_holders(request_id)
        address = self.address_of(moved_to) if moved_to else None
        if address is None:
            return holders
        return [address, *(each for each in holders if each != address)]

    def is_zone_leaving(self) -> bool:
        """Return True if at least half of the entry VMs of the local zone are leaving."""
        entries = [
            each
            for state in (VmState.LIVE, VmState.LEAVING)
            for each in self._gossip.facts.select(Role.ENTRY, state)
            if each.zone == self._zone
        ]
        leaving = sum(each.state is VmState.LEAVING for each in entries)
        return 2 * leaving >= len(entries)
