"""Choice of the processes of a zone that watch the store for the others.

Each call to the platform has a cost. In a zone of many entry VMs a few, chosen by rendezvous
hashing, watch the store and report each change to the others at once. The others watch it
themselves as soon as too few watchers are live. This needs no agreement: two processes with
different views of the zone only make some additional calls.
"""

from collections.abc import Callable

from flamingofront.process.forwarding.reports import PeerReport
from flamingofront.process.rendezvous import rank

__all__ = ["MIN_LIVE_WATCHERS", "WATCHERS_PER_ZONE", "ZoneWatchers"]

# With three, one is left if one is partitioned from the store and another one crashes.
WATCHERS_PER_ZONE = 3
# The other processes are in standby while at least this many watchers are live.
MIN_LIVE_WATCHERS = 2
_HASH_KEY = "store"


class ZoneWatchers:
    """Decides if this process has to watch the store.

    Parameters
    ----------
    vm_id, zone : str
        VM of this process, and its zone.
    live_reports : callable
        Returns the last reports of the live processes.
    """

    def __init__(self, vm_id: str, zone: str, live_reports: Callable[[], list[PeerReport]]):
        self._vm_id = vm_id
        self._zone = zone
        self._live_reports = live_reports

    def can_stand_by(self) -> bool:
        """Return True if other processes of the zone watch the store for this one."""
        candidates = [
            each
            for each in self._live_reports()
            if each.zone == self._zone and not each.store_unreachable and not each.leaving
        ]
        if len(candidates) < WATCHERS_PER_ZONE:
            return False
        members = {self._vm_id, *(each.vm_id for each in candidates)}
        if self._vm_id in rank(_HASH_KEY, members)[:WATCHERS_PER_ZONE]:
            return False
        return sum(each.watches_store for each in candidates) >= MIN_LIVE_WATCHERS
