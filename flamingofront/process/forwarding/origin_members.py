"""Choice of the peers that keep the origin of a stream, and of those that are asked for it."""

from collections.abc import Mapping

from flamingofront.process.forwarding.peers import Peers
from flamingofront.process.forwarding.reports import PeerReport
from flamingofront.process.rendezvous import rank
from flamingofront.process.timers import TimerService

__all__ = ["OriginMembers"]

# Peers of the own zone come first, since callers are sent to it; others are for its loss.
MAX_KEEPERS = 3
MAX_KEEPERS_IN_ZONE = 2
# One more than keepers are chosen in a zone, as processes that join shift the ranks.
CANDIDATES_IN_ZONE = 3
CANDIDATES_IN_OTHER_ZONE = 2


class OriginMembers:
    """Ranks the peers for the key of a stream by rendezvous hashing within each zone.

    Parameters
    ----------
    identity : PeerReport
        Identity of this process.
    peers : Peers
        Entry processes that this one knows.
    """

    def __init__(self, identity: PeerReport, peers: Peers, timers: TimerService):
        self._identity = identity
        self._peers = peers
        self._timers = timers

    def list_keepers(self, key: str) -> list[str]:
        """Return the IP addresses of the peers to which an origin is announced."""
        zones = self._members_by_zone()
        local = zones.pop(self._identity.zone, {})
        keepers = [local[name] for name in rank(key, local)[:MAX_KEEPERS_IN_ZONE]]
        for zone in rank(key, zones):
            if len(keepers) == MAX_KEEPERS:
                break
            keepers.append(zones[zone][rank(key, zones[zone])[0]])
        return keepers

    def list_candidates(self, key: str) -> list[str]:
        """Return the IP addresses of the peers that may know an origin.

        Notes
        -----
        Among few processes all are asked: one whose reports do not arrive may know it too.
        """
        if not self._peers.is_relayed:
            return self._peers.known_ips()
        found = []
        for zone, members in self._members_by_zone().items():
            is_local = zone == self._identity.zone
            count = CANDIDATES_IN_ZONE if is_local else CANDIDATES_IN_OTHER_ZONE
            found += [members[name] for name in rank(key, members)[:count]]
        return found

    def is_complete(self) -> bool:
        """Return True if this process has read the table of all entry processes."""
        return self._peers.is_table_read

    def _members_by_zone(self) -> dict[str, dict[str, str]]:
        """Return the IP address by VM of the other processes of each zone."""
        if self._peers.is_relayed:
            zones = self._peers.relaying.members_by_zone()
        else:
            zones = {}
            for each in self._peers.table.live_reports(self._timers.now()):
                if not each.leaving:
                    zones.setdefault(each.zone, {})[each.vm_id] = each.ip
        return self._without_local(zones)

    def _without_local(self, zones: Mapping[str, Mapping[str, str]]) -> dict[str, dict[str, str]]:
        others = {
            zone: {name: ip for name, ip in members.items() if ip != self._identity.ip}
            for zone, members in zones.items()
        }
        return {zone: members for zone, members in others.items() if members}
