"""View of the other processes that a process builds from relay digests and direct reports."""

import math
from collections import OrderedDict
from dataclasses import dataclass

from flamingofront.process.brief_cache import BriefCache
from flamingofront.process.forwarding.digests import Digest
from flamingofront.process.forwarding.reports import PeerReport, PeerTable
from flamingofront.process.forwarding.sums import PeerLoad, load_from_digest, load_from_report
from flamingofront.process.forwarding.zone_relays import ZoneRelays
from flamingofront.process.rendezvous import rank
from flamingofront.process.timers import TimerService

__all__ = ["DIGEST_EXPIRY_SECONDS", "ReceivedDigest", "RelayView"]

# Time for which the relays of all zones are kept for the ranks of workspaces. They change with the
# digests, and many workspaces are ranked at a time.
KEPT_RELAYS_SECONDS = 0.05
# Older digests of the own zone are ignored: the relay has ended, or its datagrams are lost.
DIGEST_TIMEOUT_SECONDS = 1.0
# A zone without a digest for this long, about three digests, counts as unreachable.
ZONE_TIMEOUT_SECONDS = 1.6
# Digests of an unreachable zone are dropped after this time.
DIGEST_EXPIRY_SECONDS = 30.0
# Rows of the member table count as members for this long after the last read, so that all choose
# the same relays from the start. Later only live processes count, since nobody deletes the rows.
REGISTRATION_EXPIRY_SECONDS = 8.0
# Time in which a new relay receives the reports of its zone and the digests of other zones twice.
RELAY_WARMUP_SECONDS = 1.5


@dataclass(frozen=True)
class ReceivedDigest:
    """A digest, when it was received on the local monotonic clock, and the offset of its clock."""

    digest: Digest
    received_at: float
    clock_offset: float


class RelayView:
    """State of the other processes in a large deployment, from digests and direct reports.

    Parameters
    ----------
    identity : PeerReport
        Identity of this process.
    table : PeerTable
        Reports received directly: those of the zone, if this process is a relay.
    """

    def __init__(self, identity: PeerReport, table: PeerTable, timers: TimerService):
        self._identity = identity
        self._table = table
        self._timers = timers
        self._relays = ZoneRelays(identity.vm_id)
        self._relay_since = math.inf
        self._zone_digests: dict[str, ReceivedDigest] = {}
        self._remote_digests: dict[str, dict[str, ReceivedDigest]] = {}
        self._registered: dict[str, dict[str, str]] = {}
        self._registered_until = 0.0
        self._sent_reports: OrderedDict[int, PeerReport] = OrderedDict()
        self._member_count = 1
        self._kept_relays: BriefCache[dict[str, tuple[str, ...]]] = BriefCache(
            KEPT_RELAYS_SECONDS, timers.now
        )

    def add_registered(self, vm_id: str, zone: str, ip: str) -> None:
        """Add a process from the member table."""
        self._registered_until = self._timers.now() + REGISTRATION_EXPIRY_SECONDS
        self._registered.setdefault(zone, {})[vm_id] = ip

    def known_ips(self) -> set[str]:
        """Return the IP addresses of all processes in the member table, live or not."""
        return {ip for zone in self._registered.values() for ip in zone.values()}

    def members_by_zone(self) -> dict[str, dict[str, str]]:
        """Return the IP address by VM of the members of each zone, live ones only in the own."""
        others = {zone: dict(members) for zone, members in self._registered.items()}
        return {**others, self._identity.zone: self.zone_members()}

    @property
    def is_relay(self) -> bool:
        """True if this process is a relay, which sums the reports of its zone."""
        return self._relays.is_relay

    def is_counting_directly(self) -> bool:
        """Return True if quota consumption is counted from zone reports and remote digests.

        Notes
        -----
        A new relay continues with the digests of the other relay until it has received the reports
        of all processes of its zone.
        """
        return (
            self._timers.now() - self._relay_since >= RELAY_WARMUP_SECONDS
            or not self._live_zone_digests()
        )

    def has_live_relay(self) -> bool:
        """Return True if a relay has sent a digest recently."""
        return bool(self._live_zone_digests()) or (
            self.is_relay and bool(self._live_remote_digests())
        )

    def has_watching_relay(self) -> bool:
        """Return True if a relay of the zone watches the store for this process."""
        if self.is_relay:
            return False
        relays = [each.digest.relay for each in self._live_zone_digests()]
        return any(
            each.watches_store and not each.store_unreachable and not each.leaving
            for each in relays
        )

    def _live_zone_digests(self) -> list[ReceivedDigest]:
        """Return the recent digest of each relay of the own zone, newest first."""
        now = self._timers.now()
        found = [
            each
            for each in self._zone_digests.values()
            if now - each.received_at <= DIGEST_TIMEOUT_SECONDS
        ]
        return sorted(found, key=lambda each: -each.received_at)

    def _live_remote_digests(self) -> dict[str, ReceivedDigest]:
        """Return the recent digest with the most live members, for each other zone."""
        now = self._timers.now()
        found = {}
        for zone, by_relay in self._remote_digests.items():
            recent = [
                each for each in by_relay.values() if now - each.received_at <= ZONE_TIMEOUT_SECONDS
            ]
            if recent:
                found[zone] = max(recent, key=lambda each: (each.digest.live, each.received_at))
        return found

    def _last_remote_digests(self) -> dict[str, ReceivedDigest]:
        """Return the last digest of each other zone, including unreachable zones."""
        now = self._timers.now()
        found = self._live_remote_digests()
        for zone, by_relay in self._remote_digests.items():
            kept = [
                each
                for each in by_relay.values()
                if now - each.received_at <= DIGEST_EXPIRY_SECONDS
            ]
            if kept and zone not in found:
                found[zone] = max(kept, key=lambda each: each.received_at)
        return found

    def _zone_reports(self) -> list[PeerReport]:
        """Return the direct reports of the other live processes of the zone."""
        live = self._table.live_reports(self._timers.now())
        return [each for each in live if each.zone == self._identity.zone]

    def _other_members_in_zone(self) -> dict[str, str]:
        """Return the IP address by VM of the zone's other members that are not leaving."""
        found = {each.vm_id: each.ip for each in self._zone_reports() if not each.leaving}
        for each in self._live_zone_digests():
            found.update(each.digest.roster or {})
        leaving = {
            each.digest.relay.vm_id
            for each in self._live_zone_digests()
            if each.digest.relay.leaving
        }
        if not found or self._timers.now() < self._registered_until:
            found = {**self._registered.get(self._identity.zone, {}), **found}
        found.pop(self._identity.vm_id, None)
        return {name: ip for name, ip in found.items() if name not in leaving}

    def known_zones(self) -> list[str]:
        """Return all zones with entry processes, from digests and the member table."""
        named = {zone for each in self._live_zone_digests() for zone in each.digest.relays or ()}
        return sorted({self._identity.zone, *self._registered, *self._remote_digests, *named})

    def rank_relays(self, key: str) -> list[str]:
        """Return the IP addresses of all relays, grouped by zone in rendezvous order for a key.

        Notes
        -----
        Relays of other zones are taken from the digests of the own relays.
        """
        relays = self._kept_relays.get("", self._find_relays)
        return list(dict.fromkeys(ip for zone in rank(key, relays) for ip in relays[zone]))

    def _find_relays(self) -> dict[str, tuple[str, ...]]:
        """Return the IP addresses of the relays of each zone."""
        relays = {self._identity.zone: self._local_relays()}
        for each in reversed(self._live_zone_digests()):
            remote = each.digest.relays or {}
            relays.update(
                {zone: ips for zone, ips in remote.items() if zone != self._identity.zone}
            )
        for zone, each in self._live_remote_digests().items():
            relays[zone] = (each.digest.relays or {}).get(zone) or (each.digest.relay.ip,)
        return relays

    def remote_relays(self) -> list[str]:
        """Return the IP addresses of the other zones' relays in the last digests."""
        by_digest = [each.digest.relays or {} for each in self._zone_digests.values()]
        found = {ip for by_zone in by_digest for ips in by_zone.values() for ip in ips}
        return sorted(found - {self._identity.ip})

    def last_digest_times(self) -> dict[str, float]:
        """Return the receive time of the last digest of each other zone.

        Notes
        -----
        A process that is no relay receives other zones' data only through its own relays, so it
        returns the time of their last digest.
        """
        if not self.is_relay:
            last_received = max(
                (each.received_at for each in self._zone_digests.values()), default=-math.inf
            )
            return {
                zone: last_received
                for zone in set(self.known_zones())
                - {self._identity.zone, *self.unreachable_zones()}
            }
        return {
            zone: max((each.received_at for each in by_relay.values()), default=-math.inf)
            for zone, by_relay in self._remote_digests.items()
        }

    def digest_times(self, ip: str) -> list[float]:
        """Return the receive times of the last digests from the relay at an IP address."""
        digests = [*self._zone_digests.values()]
        digests += [
            each for by_relay in self._remote_digests.values() for each in by_relay.values()
        ]
        return [each.received_at for each in digests if each.digest.relay.ip == ip]

    def _local_relays(self) -> tuple[str, ...]:
        """Return the IP addresses of the relays of the own zone."""
        zone_ips = self.zone_members()
        return tuple(zone_ips[name] for name in self._relays.chosen if name in zone_ips)

    def live_relays(self) -> list[PeerReport]:
        """Return the last state of the relays with a recent digest."""
        digests = [*self._live_zone_digests(), *self._live_remote_digests().values()]
        return [each.digest.relay for each in digests]

    def zone_members(self) -> dict[str, str]:
        """Return the IP address by VM of the zone's members, including this process."""
        return {**self._other_members_in_zone(), self._identity.vm_id: self._identity.ip}

    def _count_zone_members(self) -> tuple[int, int]:
        """Return the members and live members of the own zone, including this process."""
        reports = self._table.members(self._timers.now())
        members = sum(each.zone == self._identity.zone for each in reports)
        return 1 + members, 1 + len(self._zone_reports())

    def count_members(self) -> tuple[int, int]:
        """Return the number of members, and of live ones, including this process."""
        digests = self._live_zone_digests()
        if digests and not self.is_relay:
            best = max((each.digest for each in digests), key=lambda each: each.live)
            self._member_count = best.members
            return best.members, best.live
        members, live = self._count_zone_members()
        remote = self._live_remote_digests()
        for zone, last_digest in self._last_remote_digests().items():
            members += last_digest.digest.members
            live += last_digest.digest.live if zone in remote else 0
        if self.has_live_relay():
            self._member_count = members
        return max(members, self._member_count), live

    def relay_clock_offsets(self) -> list[float]:
        """Return the relays' wall clocks minus the local monotonic clock, in seconds."""
        digests = [*self._live_zone_digests(), *self._live_remote_digests().values()]
        return [each.clock_offset for each in digests]

    def unreachable_zones(self) -> frozenset[str]:
        """Return the zones without a live member."""
        digests = self._live_zone_digests()
        if not self.is_relay:
            zone_sets = [set(each.digest.unreachable) for each in digests]
            return frozenset(set.intersection(*zone_sets)) if zone_sets else frozenset()
        now = self._timers.now()
        last_received = {
            zone: max(each.received_at for each in by_relay.values())
            for zone, by_relay in self._remote_digests.items()
        }
        return frozenset(
            zone
            for zone, received in last_received.items()
            if ZONE_TIMEOUT_SECONDS < now - received <= DIGEST_EXPIRY_SECONDS
        )

    def peer_loads(self) -> list[PeerLoad]:
        """Return the load of the other processes, from digests and direct reports."""
        digests = self._live_zone_digests()
        now = self._timers.now()
        if digests and not self.is_relay:
            best = max(digests, key=lambda each: (each.digest.live, each.received_at))
            sent_report = self._sent_reports.get(best.digest.acknowledged)
            return [load_from_digest(best.digest, sent_report, now - best.received_at)]
        return [*self._local_zone_loads(), *self._remote_loads()]

    def _local_zone_loads(self) -> list[PeerLoad]:
        now = self._timers.now()
        report_age = self._table.seconds_since_report
        return [
            load_from_report(each, report_age(each.vm_id, now) or 0.0)
            for each in self._zone_reports()
        ]

    def _remote_loads(self) -> list[PeerLoad]:
        now = self._timers.now()
        digests = self._live_remote_digests()
        found = [
            load_from_digest(each.digest, None, now - each.received_at) for each in digests.values()
        ]
        for report in self._table.live_reports(now):
            if report.zone != self._identity.zone and report.zone not in digests:
                found.append(
                    load_from_report(
                        report, self._table.seconds_since_report(report.vm_id, now) or 0.0
                    )
                )
        return found
