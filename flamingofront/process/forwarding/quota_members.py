"""Which entry processes may decide on quotas, as this process hears them."""

import math
from dataclasses import replace

from flamingofront.process.forwarding.peers import Peers
from flamingofront.process.forwarding.reports import PeerReport
from flamingofront.process.rendezvous import rank
from flamingofront.process.timers import TimerService

__all__ = ["QuotaMembers"]

# A zone of which no report came for so many turns may be cut off.
UNHEARD_REPORTS = 2.5


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
        self._own = own
        self._peers = peers
        self._window = window
        self._timers = timers

    def rank_by_hash(self, key: str) -> list[str]:
        """Return the IP numbers of the processes that may decide on something, the first one first.

        Notes
        -----
        Among many processes these are the relays: they alone hear all the others.
        """
        if self._peers.is_relayed:
            return self._peers.relaying.rank_relays(key)
        ips = {each.vm_id: each.ip for each in self._heard()} | {self._own.vm_id: self._own.ip}
        return [ips[name] for name in rank(key, ips)]

    def ranked(self, workspace: str) -> list[str]:
        """Return the IP numbers of the processes that may decide on a quota, the first one first.

        Notes
        -----
        Those that began within the window of the quotas come last, since they do not know what was
        taken before.
        """
        heard = self._heard()
        new = {each.ip for each in (*heard, *self._relays(), self._own_now()) if self._is_new(each)}
        return sorted(self.rank_by_hash(workspace), key=lambda ip: ip in new)

    def _heard(self) -> list[PeerReport]:
        heard = self._peers.table.live_reports(self._timers.now())
        return [each for each in heard if not each.leaving]

    def _relays(self) -> list[PeerReport]:
        return self._peers.relaying.live_relays() if self._peers.is_relayed else []

    def _own_now(self) -> PeerReport:
        return replace(self._own, wall=self._timers.wall())

    def _is_new(self, report: PeerReport) -> bool:
        return report.wall - report.incarnation / 1000 < self._window

    def has_recent_restart(self) -> bool:
        """Tell whether a process that is heard, or this one, began within the quotas' window."""
        wall = self._timers.wall()
        return any(wall - began < self._window for began in self._peers.start_times())

    def is_newcomer(self) -> bool:
        """Tell whether others may know what was taken of the quotas before this process began."""
        if not self._is_new(self._own_now()):
            return False
        told = [*self._heard(), *self._relays()]
        if not told:
            return self._peers.member_count() > 1
        return any(not self._is_new(each) for each in told)

    def sides(self, workspace: str) -> int:
        """Return into how many sides a partition may have divided those who decide on a quota.

        Notes
        -----
        If this process is asked in place of one that it heard a moment ago, that one is out of
        reach for those who ask: it has just ended, or any zone may be cut off from the others.
        """
        now = self._timers.now()
        zones = self._last_heard_by_zone(now)
        first = next(iter(self.ranked(workspace)), self._own.ip)
        if first != self._own.ip and self._heard_lately(first, now):
            return max(2, len(zones))
        late = self._late()
        return 1 + sum(now - at > late for zone, at in zones.items() if zone != self._own.zone)

    def _late(self) -> float:
        return UNHEARD_REPORTS * self._peers.report_period()

    def _last_heard_by_zone(self, now: float) -> dict[str, float]:
        """Return when any process of each zone was heard last; never counts as long ago."""
        table, relaying = self._peers.table, self._peers.relaying
        found = dict.fromkeys((self._own.zone, *relaying.known_zones()), -math.inf)
        for each in table.members(now):
            at = now - (table.seconds_since_report(each.vm_id, now) or 0.0)
            found[each.zone] = max(at, found.get(each.zone, -math.inf))
        if self._peers.is_relayed:
            for zone, at in relaying.last_digest_times().items():
                found[zone] = max(at, found.get(zone, -math.inf))
        return found

    def _heard_lately(self, ip: str, now: float) -> bool:
        table = self._peers.table
        gaps = [
            table.seconds_since_report(each.vm_id, now)
            for each in table.live_reports(now)
            if each.ip == ip
        ]
        if self._peers.is_relayed:
            gaps += [now - at for at in self._peers.relaying.digest_times(ip)]
        return any(gap <= self._late() for gap in gaps)
