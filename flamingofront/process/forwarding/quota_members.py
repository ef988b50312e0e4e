"""Which entry processes may decide on quotas, as this process hears them."""

import math
from dataclasses import replace

from flamingofront.process.forwarding.peers import Peers
from flamingofront.process.forwarding.reports import PeerReport
from flamingofront.process.rendezvous import rank
from flamingofront.process.timers import TimerService

__all__ = ["QuotaMembers"]

# A zone of which no report came for so many turns may be cut off.
LATE_REPORT_PERIODS = 2.5


class QuotaMembers:
    """Ranks the processes that may decide on the quota of a workspace.

    Parameters
    ----------
    own : PeerReport
        Identity of this process.
    window : float
        Seconds for which what was taken of a quota counts.
    """

    def __init__(self, own: PeerReport, peers: Peers, window: float, timers: TimerService):
        self._local = own
        self._peers = peers
        self._window = window
        self._timers = timers

    def rank_by_hash(self, key: str) -> list[str]:
        """Return the IP numbers of the processes that may decide on something, the first one first.

        Notes
        -----
        Among many processes these are the relays: they alone hear all the others.
        """
        if self._peers.many:
            return self._peers.relaying.ranked_relays(key)
        ips = {each.vm_id: each.ip for each in self._live_members()} | {
            self._local.vm_id: self._local.ip
        }
        return [ips[name] for name in rank(key, ips)]

    def rank_arbiters(self, workspace: str) -> list[str]:
        """Return the IP numbers of the processes that may decide on a quota, the first one first.

        Notes
        -----
        Those that began within the window of the quotas come last, since they do not know what was
        taken before.
        """
        heard = self._live_members()
        new = {
            each.ip
            for each in (*heard, *self._relays(), self._current_local())
            if self._is_new(each)
        }
        return sorted(self.rank_by_hash(workspace), key=lambda ip: ip in new)

    def _live_members(self) -> list[PeerReport]:
        heard = self._peers.table.heard(self._timers.now())
        return [each for each in heard if not each.leaving]

    def _relays(self) -> list[PeerReport]:
        return self._peers.relaying.relays_heard() if self._peers.many else []

    def _current_local(self) -> PeerReport:
        return replace(self._local, wall=self._timers.wall())

    def _is_new(self, report: PeerReport) -> bool:
        return report.wall - report.incarnation / 1000 < self._window

    def has_recent_restart(self) -> bool:
        """Tell whether a process that is heard, or this one, began within the quotas' window."""
        wall = self._timers.wall()
        return any(wall - began < self._window for began in self._peers.starts())

    def is_newcomer(self) -> bool:
        """Tell whether others may know what was taken of the quotas before this process began."""
        if not self._is_new(self._current_local()):
            return False
        candidates = [*self._live_members(), *self._relays()]
        if not candidates:
            return self._peers.member_count() > 1
        return any(not self._is_new(each) for each in candidates)

    def partition_count(self, workspace: str) -> int:
        """Return into how many sides a partition may have divided those who decide on a quota.

        Notes
        -----
        If this process is asked in place of one that it heard a moment ago, that one is out of
        reach for those who ask: it has just ended, or any zone may be cut off from the others.
        """
        now = self._timers.now()
        zones = self._last_received_by_zone(now)
        first = next(iter(self.rank_arbiters(workspace)), self._local.ip)
        if first != self._local.ip and self._has_recent_report(first, now):
            return max(2, len(zones))
        late = self._late_after_seconds()
        return 1 + sum(now - at > late for zone, at in zones.items() if zone != self._local.zone)

    def _late_after_seconds(self) -> float:
        return LATE_REPORT_PERIODS * self._peers.period()

    def _last_received_by_zone(self, now: float) -> dict[str, float]:
        """Return when any process of each zone was heard last; never counts as long ago."""
        table, relaying = self._peers.table, self._peers.relaying
        found = dict.fromkeys((self._local.zone, *relaying.zones()), -math.inf)
        for each in table.members(now):
            at = now - (table.gap(each.vm_id, now) or 0.0)
            found[each.zone] = max(at, found.get(each.zone, -math.inf))
        if self._peers.many:
            for zone, at in relaying.last_told().items():
                found[zone] = max(at, found.get(zone, -math.inf))
        return found

    def _has_recent_report(self, ip: str, now: float) -> bool:
        table = self._peers.table
        gaps = [table.gap(each.vm_id, now) for each in table.heard(now) if each.ip == ip]
        if self._peers.many:
            gaps += [now - at for at in self._peers.relaying.heard_at(ip)]
        return any(gap <= self._late_after_seconds() for gap in gaps)
