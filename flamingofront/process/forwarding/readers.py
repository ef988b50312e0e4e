"""Which processes of a zone follow the store for all of it.

Each call to the platform has its price. In a zone of many entry VMs a few, picked by rendezvous
hash, follow the store and tell the others of each change at once; the others follow it themselves
as soon as they do not hear enough of those. Nothing is agreed on: two processes that see the zone
differently only make some calls more.
"""

from collections.abc import Callable

from flamingofront.process.forwarding.reports import PeerReport
from flamingofront.process.rendezvous import rank

__all__ = ["MIN_LIVE_WATCHERS", "READERS_PER_ZONE", "ZoneWatchers"]

# Processes of a zone that follow the store: if one is cut off and another dies, one is left.
READERS_PER_ZONE = 3
# The others rest while they hear so many of them.
MIN_LIVE_WATCHERS = 2
_KEY = "store"


class ZoneWatchers:
    """Tells whether this process has to follow the store.

    Parameters
    ----------
    vm_id, zone : str
        This process's VM and its zone.
    heard : callable
        Returns the last reports of the processes that are heard now.
    """

    def __init__(self, vm_id: str, zone: str, heard: Callable[[], list[PeerReport]]):
        self._vm_id = vm_id
        self._zone = zone
        self._heard = heard

    def may_rest(self) -> bool:
        """Return whether others of the zone follow the store for this process too."""
        candidates = [
            each
            for each in self._heard()
            if each.zone == self._zone and not each.store_unreachable and not each.leaving
        ]
        if len(candidates) < READERS_PER_ZONE:
            return False
        members = {self._vm_id, *(each.vm_id for each in candidates)}
        if self._vm_id in rank(_KEY, members)[:READERS_PER_ZONE]:
            return False
        return sum(each.watches_store for each in candidates) >= MIN_LIVE_WATCHERS
