"""What a process has heard of the others through relays, and what it makes of it."""

import math
from collections import OrderedDict
from dataclasses import dataclass

from flamingofront.process.forwarding.digests import Digest
from flamingofront.process.forwarding.reports import PeerReport, PeerTable
from flamingofront.process.forwarding.sums import OthersLoad, load_of, load_without
from flamingofront.process.forwarding.zone_relays import ZoneRelays
from flamingofront.process.rendezvous import rank
from flamingofront.process.timers import TimerService

__all__ = ["FORGOTTEN_SECONDS", "HeardDigest", "RelayHearing"]

# A digest that is older tells nothing of now: the relay is gone, or its datagrams are lost.
FRESH_SECONDS = 1.0
# A zone of which no digest came for so long is silent: three digests.
SILENT_SECONDS = 1.6
# A zone that was silent for so long is no longer told of.
FORGOTTEN_SECONDS = 30.0
# A process that the member table names counts for so long, so that all choose the same relays from
# the start; later only those count that are heard, since nobody takes a row out.
REGISTERED_SECONDS = 8.0
# Time in which a new relay has heard the reports of its zone and the digests of the others twice.
SETTLED_SECONDS = 1.5


@dataclass(frozen=True)
class HeardDigest:
    """A digest, and when it was heard on the own clock."""

    digest: Digest
    at: float


class RelayHearing:
    """Digests and reports that a process has heard, among many processes.

    Parameters
    ----------
    own : PeerReport
        Identity of this process.
    table : PeerTable
        Reports that were heard directly: those of the zone, if this process is a relay.
    """

    def __init__(self, own: PeerReport, table: PeerTable, timers: TimerService):
        self._own = own
        self._table = table
        self._timers = timers
        self._relays = ZoneRelays(own.vm_id)
        self._relay_since = math.inf
        self._zone: dict[str, HeardDigest] = {}
        self._elsewhere: dict[str, dict[str, HeardDigest]] = {}
        self._registered: dict[str, dict[str, str]] = {}
        self._registered_until = 0.0
        self._told: OrderedDict[int, PeerReport] = OrderedDict()
        self._members_known = 1

    def registered(self, vm_id: str, zone: str, ip: str) -> None:
        """Take note of a process that the member table names."""
        self._registered_until = self._timers.now() + REGISTERED_SECONDS
        self._registered.setdefault(zone, {})[vm_id] = ip

    @property
    def is_relay(self) -> bool:
        """True if this process sums up the reports of its zone."""
        return self._relays.is_relay

    def counts_directly(self) -> bool:
        """Tell whether quotas follow the reports of the zone and the digests of the others.

        Notes
        -----
        A process that becomes a relay goes on with the digests of the other one until it has heard
        all from whom it takes over.
        """
        return self._timers.now() - self._relay_since >= SETTLED_SECONDS or not self._fresh()

    def hears_relay(self) -> bool:
        """Tell whether word comes by relays now."""
        return bool(self._fresh()) or (self.is_relay and bool(self._fresh_elsewhere()))

    def may_rest(self) -> bool:
        """Tell whether a relay of the zone follows the store for this process."""
        if self.is_relay:
            return False
        relays = [each.digest.relay for each in self._fresh()]
        return any(
            each.watches_store and not each.store_unreachable and not each.leaving
            for each in relays
        )

    def _fresh(self) -> list[HeardDigest]:
        """Return the last digest of each relay of the zone that is heard now, newest first."""
        now = self._timers.now()
        found = [each for each in self._zone.values() if now - each.at <= FRESH_SECONDS]
        return sorted(found, key=lambda each: -each.at)

    def _fresh_elsewhere(self) -> dict[str, HeardDigest]:
        """Return the best digest of each other zone that is heard now."""
        now = self._timers.now()
        found = {}
        for zone, by_relay in self._elsewhere.items():
            fresh = [each for each in by_relay.values() if now - each.at <= SILENT_SECONDS]
            if fresh:
                found[zone] = max(fresh, key=lambda each: (each.digest.heard, each.at))
        return found

    def _last_elsewhere(self) -> dict[str, HeardDigest]:
        """Return the best digest of each other zone, also of one that has fallen silent."""
        now = self._timers.now()
        found = self._fresh_elsewhere()
        for zone, by_relay in self._elsewhere.items():
            kept = [each for each in by_relay.values() if now - each.at <= FORGOTTEN_SECONDS]
            if kept and zone not in found:
                found[zone] = max(kept, key=lambda each: each.at)
        return found

    def _zone_reports(self) -> list[PeerReport]:
        """Return the reports of the zone's other processes that are heard directly."""
        heard = self._table.live_reports(self._timers.now())
        return [each for each in heard if each.zone == self._own.zone]

    def _members(self) -> dict[str, str]:
        """Return the IP number by VM of the zone's processes, as far as they are known."""
        found = {each.vm_id: each.ip for each in self._zone_reports() if not each.leaving}
        for each in self._fresh():
            found.update(each.digest.roster or {})
        leaving = {each.digest.relay.vm_id for each in self._fresh() if each.digest.relay.leaving}
        if not found or self._timers.now() < self._registered_until:
            found = {**self._registered.get(self._own.zone, {}), **found}
        found.pop(self._own.vm_id, None)
        return {name: ip for name, ip in found.items() if name not in leaving}

    def zones(self) -> list[str]:
        """Return all zones that have entry processes, as far as they are known."""
        told = {zone for each in self._fresh() for zone in each.digest.relays or ()}
        return sorted({self._own.zone, *self._registered, *self._elsewhere, *told})

    def ranked_relays(self, key: str) -> list[str]:
        """Return the IP numbers of all relays, zone by zone in the order of preference for a key.

        Notes
        -----
        Other zones' relays are those that the own relays tell of.
        """
        relays = {self._own.zone: self._own_relays()}
        for each in reversed(self._fresh()):
            told = each.digest.relays or {}
            relays.update({zone: ips for zone, ips in told.items() if zone != self._own.zone})
        for zone, each in self._fresh_elsewhere().items():
            relays[zone] = (each.digest.relays or {}).get(zone) or (each.digest.relay.ip,)
        return list(dict.fromkeys(ip for zone in rank(key, relays) for ip in relays[zone]))

    def relays_elsewhere(self) -> list[str]:
        """Return the IP numbers of the other zones' relays, as they were told last."""
        told = [each.digest.relays or {} for each in self._zone.values()]
        found = {ip for by_zone in told for ips in by_zone.values() for ip in ips}
        return sorted(found - {self._own.ip})

    def last_told(self) -> dict[str, float]:
        """Return when a digest of each other zone was heard last.

        Notes
        -----
        A process that is no relay hears of the others as long as its own relays do.
        """
        if not self.is_relay:
            at = max((each.at for each in self._zone.values()), default=-math.inf)
            return {
                zone: at for zone in set(self.zones()) - {self._own.zone, *self.unreachable_zones()}
            }
        return {
            zone: max((each.at for each in by_relay.values()), default=-math.inf)
            for zone, by_relay in self._elsewhere.items()
        }

    def heard_at(self, ip: str) -> list[float]:
        """Return when digests of the relay at an IP number were heard last."""
        told = [*self._zone.values()]
        told += [each for by_relay in self._elsewhere.values() for each in by_relay.values()]
        return [each.at for each in told if each.digest.relay.ip == ip]

    def _own_relays(self) -> tuple[str, ...]:
        """Return the IP numbers of the relays of the own zone."""
        near = self.near()
        return tuple(near[name] for name in self._relays.chosen if name in near)

    def relays_heard(self) -> list[PeerReport]:
        """Return the last reports of the relays that are heard by their digests."""
        told = [*self._fresh(), *self._fresh_elsewhere().values()]
        return [each.digest.relay for each in told]

    def near(self) -> dict[str, str]:
        """Return the IP number by VM of the zone's processes, this one included."""
        return {**self._members(), self._own.vm_id: self._own.ip}

    def _counts_of_zone(self) -> tuple[int, int]:
        """Return the processes of the own zone, and those that are heard directly."""
        known = self._table.members(self._timers.now())
        members = sum(each.zone == self._own.zone for each in known)
        return 1 + members, 1 + len(self._zone_reports())

    def counts(self) -> tuple[int, int]:
        """Return how many processes there are and how many of them are heard, this one included."""
        fresh = self._fresh()
        if fresh and not self.is_relay:
            best = max((each.digest for each in fresh), key=lambda each: each.heard)
            self._members_known = best.members
            return best.members, best.heard
        members, heard = self._counts_of_zone()
        elsewhere = self._fresh_elsewhere()
        for zone, last in self._last_elsewhere().items():
            members += last.digest.members
            heard += last.digest.heard if zone in elsewhere else 0
        if self.hears_relay():
            self._members_known = members
        return max(members, self._members_known), heard

    def clocks(self) -> list[float]:
        """Return the wall clocks of the relays that are heard, less the own steady clock."""
        fresh = [*self._fresh(), *self._fresh_elsewhere().values()]
        return [each.digest.wall - each.at for each in fresh]

    def unreachable_zones(self) -> frozenset[str]:
        """Return the zones of which nobody is heard any more."""
        fresh = self._fresh()
        if not self.is_relay:
            told = [set(each.digest.silent) for each in fresh]
            return frozenset(set.intersection(*told)) if told else frozenset()
        now = self._timers.now()
        heard = {
            zone: max(each.at for each in by_relay.values())
            for zone, by_relay in self._elsewhere.items()
        }
        return frozenset(
            zone for zone, at in heard.items() if SILENT_SECONDS < now - at <= FORGOTTEN_SECONDS
        )

    def loads(self) -> list[OthersLoad]:
        """Return what the other processes run, as far as word of it has come."""
        fresh = self._fresh()
        now = self._timers.now()
        if fresh and not self.is_relay:
            best = max(fresh, key=lambda each: (each.digest.heard, each.at))
            own = self._told.get(best.digest.acknowledged)
            return [load_without(best.digest, own, now - best.at)]
        return [*self._zone_loads(), *self._elsewhere_loads()]

    def _zone_loads(self) -> list[OthersLoad]:
        now = self._timers.now()
        gap = self._table.seconds_since_report
        return [load_of(each, gap(each.vm_id, now) or 0.0) for each in self._zone_reports()]

    def _elsewhere_loads(self) -> list[OthersLoad]:
        now = self._timers.now()
        told = self._fresh_elsewhere()
        found = [load_without(each.digest, None, now - each.at) for each in told.values()]
        for report in self._table.live_reports(now):
            if report.zone != self._own.zone and report.zone not in told:
                found.append(
                    load_of(report, self._table.seconds_since_report(report.vm_id, now) or 0.0)
                )
        return found
