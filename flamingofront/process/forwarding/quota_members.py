"""Ranking of the entry processes that may arbitrate quotas."""

import math
from dataclasses import replace

from flamingofront.process.brief_cache import BriefCache
from flamingofront.process.forwarding.peers import KEPT_SECONDS, Peers
from flamingofront.process.forwarding.reports import PeerReport
from flamingofront.process.rendezvous import rank
from flamingofront.process.timers import TimerService

__all__ = ["QuotaMembers"]

# Keys of what is kept beside the ranks of workspaces.
_NEWCOMERS, _HAS_RESTART = object(), object()
# A zone without a report for this many report periods may be partitioned.
LATE_REPORT_PERIODS = 2.5


class QuotaMembers:
    """Ranks the processes that may decide on the quota of a workspace.

    Parameters
    ----------
    identity : PeerReport
        Identity of this process.
    window : float
        Seconds for which consumed units count against a quota.
    """

    def __init__(self, identity: PeerReport, peers: Peers, window: float, timers: TimerService):
        self._local = identity
        self._peers = peers
        self._window = window
        self._timers = timers
        self._kept: BriefCache[set[str] | list[str] | bool] = BriefCache(KEPT_SECONDS, timers.now)

    def rank_by_hash(self, key: str) -> list[str]:
        """Return the IP addresses of the processes that may decide on a key, best first.

        Notes
        -----
        In a large deployment these are the relays: only they receive reports from all processes.
        """
        if self._peers.is_relayed:
            return self._peers.relaying.rank_relays(key)
        ips = {each.vm_id: each.ip for each in self._live_members()} | {
            self._local.vm_id: self._local.ip
        }
        return [ips[name] for name in rank(key, ips)]

    def rank_arbiters(self, workspace: str) -> list[str]:
        """Return the IP addresses of the processes that may decide on a quota, best first.

        Notes
        -----
        Processes that started within the quota window come last, since they do not know what was
        consumed before.
        """
        return self._kept.get(workspace, lambda: self._rank_arbiters(workspace))

    def _rank_arbiters(self, workspace: str) -> list[str]:
        new = self._kept.get(_NEWCOMERS, self._list_newcomers)
        return sorted(self.rank_by_hash(workspace), key=lambda ip: ip in new)

    def _list_newcomers(self) -> set[str]:
        """Return the IP addresses of the processes that started within the quota window."""
        reports = (*self._live_members(), *self._relay_reports(), self._local_report())
        return {each.ip for each in reports if self._started_in_window(each)}

    def _live_members(self) -> list[PeerReport]:
        """Return the reports of the live peers that are not leaving."""
        live = self._peers.table.live_reports(self._timers.now())
        return [each for each in live if not each.leaving]

    def _relay_reports(self) -> list[PeerReport]:
        return self._peers.relaying.live_relays() if self._peers.is_relayed else []

    def _local_report(self) -> PeerReport:
        return replace(self._local, wall=self._timers.wall())

    def _started_in_window(self, report: PeerReport) -> bool:
        """Return True if a process started within the quota window."""
        return report.wall - report.incarnation / 1000 < self._window

    def has_recent_restart(self) -> bool:
        """Return True if a live process, or this one, started within the quota window."""
        return self._kept.get(_HAS_RESTART, self._find_recent_restart)

    def _find_recent_restart(self) -> bool:
        wall = self._timers.wall()
        return any(wall - began < self._window for began in self._peers.start_times())

    def is_newcomer(self) -> bool:
        """Return True if others may know what was consumed before this process started."""
        if not self._started_in_window(self._local_report()):
            return False
        candidates = [*self._live_members(), *self._relay_reports()]
        if not candidates:
            return self._peers.member_count() > 1
        return any(not self._started_in_window(each) for each in candidates)

    def partition_count(self, workspace: str) -> int:
        """Return into how many groups a partition may have divided the arbiters of a quota.

        Notes
        -----
        If this process is asked in place of one from which it received a recent report, the asking
        processes cannot reach that one: it has just ended, or any zone may be partitioned from the
        others.
        """
        now = self._timers.now()
        zones = self._last_received_by_zone(now)
        first = next(iter(self.rank_arbiters(workspace)), self._local.ip)
        if first != self._local.ip and self._has_recent_report(first, now):
            return max(2, len(zones))
        late = self._late_after_seconds()
        return 1 + sum(now - at > late for zone, at in zones.items() if zone != self._local.zone)

    def _late_after_seconds(self) -> float:
        """Return the age from which the last report of a zone counts as late."""
        return LATE_REPORT_PERIODS * self._peers.report_period()

    def _last_received_by_zone(self, now: float) -> dict[str, float]:
        """Return when the last report of each zone was received; -inf if never."""
        table, relaying = self._peers.table, self._peers.relaying
        found = dict.fromkeys((self._local.zone, *relaying.known_zones()), -math.inf)
        for each in table.members(now):
            at = now - (table.seconds_since_report(each.vm_id, now) or 0.0)
            found[each.zone] = max(at, found.get(each.zone, -math.inf))
        if self._peers.is_relayed:
            for zone, at in relaying.last_digest_times().items():
                found[zone] = max(at, found.get(zone, -math.inf))
        return found

    def _has_recent_report(self, ip: str, now: float) -> bool:
        """Return True if a report of the process at an IP address is recent enough."""
        table = self._peers.table
        gaps = [
            table.seconds_since_report(each.vm_id, now)
            for each in table.live_reports(now)
            if each.ip == ip
        ]
        if self._peers.is_relayed:
            gaps += [now - at for at in self._peers.relaying.digest_times(ip)]
        return any(gap <= self._late_after_seconds() for gap in gaps)
