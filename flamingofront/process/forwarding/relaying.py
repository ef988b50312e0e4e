"""Gossip in large deployments, through the relays of each zone.

Each process reports to the two relays of its zone twice a second, and at once when it places a
large prompt. The relays send the load of all processes to their zone four times a second, and the
load of their zone to the relays of the other zones twice a second. A process without a live relay
sends reports to some of its peers directly, as processes of small deployments do.
"""

import math
import random
from collections import Counter
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, replace

from flamingofront.decisions.gossip_scope import GossipScope
from flamingofront.process.forwarding.digests import ALL_ZONES, Digest, DigestWriter, LeaseClaim
from flamingofront.process.forwarding.pacing import PacedSender
from flamingofront.process.forwarding.relay_hearing import (
    DIGEST_EXPIRY_SECONDS,
    ReceivedDigest,
    RelayView,
)
from flamingofront.process.forwarding.reports import (
    PeerReport,
    PeerTable,
    ProcessCounts,
    choose_clock_offset,
    encode_report,
    without_counts,
    without_evidence,
)
from flamingofront.process.forwarding.streams import ConsumptionLedger, SourceSelector, SumAction
from flamingofront.process.forwarding.sums import (
    PeerLoad,
    load_from_report,
    sum_demand,
    sum_loads,
    sum_work,
)
from flamingofront.process.forwarding.usage import KEPT_WINDOWS
from flamingofront.process.rendezvous import rank
from flamingofront.process.timers import TimerService

__all__ = ["DIGEST_PERIOD_SECONDS", "REPORT", "RelayListener", "Relaying", "choose_scope"]

# Period of the digests of a relay to its zone. The two relays alternate, so that load data is 0.1 s
# old in the mean when it arrives there.
DIGEST_PERIOD_SECONDS = 0.25
# A tick is one digest period. Every second tick a report goes to the relays, and a digest to the
# other zones.
TICKS_PER_REPORT = 2
# Every fourth tick the usage goes to the leader: a window is reported two seconds after its end at
# the earliest.
TICKS_PER_USAGE = 4
# Every fourth tick a digest repeats evidence on crashes to the zone, which has got it at once; the
# other zones get it with each of their digests.
TICKS_PER_EVIDENCE = 4
# A lease advertisement is forwarded only up to this age: a report period plus a datagram delay.
# An older one would postpone the takeover from a holder that has ended.
CLAIM_MAX_AGE_SECONDS = 0.6
# Sent reports that are kept, to subtract the load of this process from a digest; about eight
# seconds.
MAX_KEPT_REPORTS = 32
# Processes whose usage is in one digest, about 1.5 KB. Of digests with 16 processes, 10 KB and
# more, a tenth of the usage did not arrive in time.
PROCESSES_PER_DIGEST = 4
# Usage windows sent every second: the current and the previous one.
RECENT_WINDOWS = 2
# Usage is sent to the last known holder for this long: several periods, in a lossy network.
USAGE_RECEIVER_SECONDS = 5.0
# Number of times that all kept windows are sent to a new leader; one may be lost.
FULL_USAGE_SENDS = 2
# Number of other zones whose first relay keeps a copy of this zone's usage, besides the leader.
USAGE_BACKUP_ZONES = 2
# Number of processes of an unreachable zone that get a digest; each forwards it to its relays.
UNREACHABLE_ZONE_TARGETS = 4
# Processes of the own zone, and as many of the other zones, that get a direct report while no relay
# is live.
DIRECT_TARGETS_PER_GROUP = 8
# A relay whose messages waited for so long may have been replaced.
STOP_SECONDS = 1.0
# Subjects of datagrams: a newer one replaces one that is queued. A forwarded digest has its relay.
REPORT, ZONE_DIGEST, REMOTE_DIGEST, USAGE = "report", "zone digest", "remote digest", "usage"


@dataclass(frozen=True)
class RelayListener:
    """Callbacks for data from relays.

    Parameters
    ----------
    build_report : callable
        Returns a new report of this process, with evidence on crashes of a `GossipScope`.
    on_relay_state : callable
        Called with the state of a relay and the lease advertisement that it forwards.
    on_consumed : callable
        Called with a source, its totals of quota units by workspace, and True if their increase
        counts.
    on_loads : callable
        Called when new loads of all processes have arrived.
    on_usage : callable
        Called with the usage of some processes, and the time up to which it is complete for each.
    usage_of : callable
        Returns the usage of some processes in the newest windows, given the number of windows.
    usage_known_until : callable
        Returns the time up to which the usage of some processes is complete.
    cluster_time : callable
        Returns the median wall clock of the members.
    """

    build_report: Callable[[GossipScope], PeerReport]
    on_relay_state: Callable[[PeerReport, LeaseClaim], None]
    on_consumed: Callable[[str, Mapping[str, float], bool], None]
    on_loads: Callable[[], None]
    on_usage: Callable[[ProcessCounts, Mapping[str, float]], None]
    usage_of: Callable[[Iterable[str], int], ProcessCounts]
    usage_known_until: Callable[[Iterable[str]], Mapping[str, float]]
    cluster_time: Callable[[], float]


class Relaying(RelayView):
    """Sends reports and digests through the relays, and receives those of others.

    Parameters
    ----------
    identity : PeerReport
        Identity of this process.
    table : PeerTable
        Reports received directly: those of the zone, if this process is a relay.
    send : callable
        Sends a datagram to an IP address.
    listener : RelayListener
        Callbacks for received data.

    Attributes
    ----------
    sender : PacedSender
        Queue of the datagrams to send.
    on_omitted : callable
        Called with the names of the parts that were left out of a message that was too long.
    seconds_unread : callable
        Returns the longest time for which the datagram that is processed now may have waited.
    """

    def __init__(
        self,
        identity: PeerReport,
        table: PeerTable,
        send: Callable[[bytes, str], None],
        listener: RelayListener,
        timers: TimerService,
        rng: random.Random,
    ):
        super().__init__(identity, table, timers)
        self.sender = PacedSender(send, timers)
        self._send = self.sender.send
        self.on_omitted: Callable[[tuple[str, ...]], None] = lambda names: None
        self.seconds_unread: Callable[[], float] = lambda: 0.0
        self._listener = listener
        self._rng = rng
        self._source_selector = SourceSelector()
        self._zone_consumed = ConsumptionLedger()
        self._remote_consumed = ConsumptionLedger()
        self._usage_sent_to = 0
        self._usage_receiver = LeaseClaim()
        self._usage_receiver_at = -math.inf
        self._full_usage_left = 0
        self._processes_with_usage: set[str] = set()
        self._forwarded: set[tuple[str, int, int]] = set()
        self._ticks = 0

    def _choose_relays(self) -> dict[str, str]:
        """Choose the zone's relays and return their IP addresses by VM, without this process."""
        members = self._other_members_in_zone()
        digest_times = {name: each.received_at for name, each in self._zone_digests.items()}
        now = self._timers.now()
        chosen = self._relays.choose(members, digest_times, now)
        self._relay_since = min(self._relay_since, now) if self.is_relay else math.inf
        return {name: members[name] for name in chosen if name in members}

    # Sending

    def run_tick(self) -> bool:
        """Send the reports and digests that are due, and return True if a relay is live."""
        before = self._relays.chosen
        relays = self._choose_relays()
        self._ticks += 1
        is_report_due = self._ticks % TICKS_PER_REPORT == 0 or self._relays.chosen != before
        has_receivers = self.is_relay or bool(self._zone_reports())
        if is_report_due or has_receivers:
            scope = (
                choose_scope(self._ticks, TICKS_PER_REPORT) if has_receivers else GossipScope.OWN
            )
            self._send_due(
                self._listener.build_report(scope), tuple(relays.values()) if is_report_due else ()
            )
        self._source_selector.drop_expired(self._timers.now())
        if self._ticks % TICKS_PER_USAGE == 0:
            self._drop_stale_sources()
        return self.has_live_relay()

    def _send_due(self, local: PeerReport, relays: tuple[str, ...]) -> None:
        """Send a report to the relays, and as a relay the digests that are due.

        Parameters
        ----------
        relays : tuple of str
            IP addresses of the relays; empty if no report is due.
        """
        is_full = self._ticks % TICKS_PER_REPORT == 1
        if relays:
            self._send_report(local, relays)
        if self.is_relay and is_full:
            self._send_remote_digest(local)
        has_evidence = self._ticks % TICKS_PER_EVIDENCE == 1
        self._send_zone_digest(local if has_evidence else without_evidence(local), is_full)
        if self.is_relay and self._ticks % TICKS_PER_USAGE == 0:
            self._send_usage(local)

    def _drop_stale_sources(self) -> None:
        """Drop the last totals of processes and relays that are no longer members."""
        members = self._table.members(self._timers.now())
        self._zone_consumed.retain_only({each.process for each in members})
        sources = {
            f"{zone}@{each.digest.relay.process}"
            for zone, by_relay in self._remote_digests.items()
            for each in by_relay.values()
        }
        self._remote_consumed.retain_only(sources)

    def send_report_now(self, scope: GossipScope) -> None:
        """Send a report to the relays at once, with evidence on crashes of a scope."""
        self._send_report(self._listener.build_report(scope), self._choose_relays().values())

    def send_loads_now(self) -> None:
        """Send the relays the local load at once, without counts and evidence on crashes."""
        report = without_counts(self._listener.build_report(GossipScope.NONE))
        self._send_report(report, self._choose_relays().values())

    def send_zone_digest_now(self) -> None:
        """Send a digest to the zone at once, if this process is a relay."""
        if self.is_relay:
            self._send_zone_digest(self._listener.build_report(GossipScope.NONE), is_full=False)

    def forward_evidence(self) -> None:
        """Send a digest with recent evidence to the zone at once, if this process is a relay."""
        if self.is_relay:
            self._send_zone_digest(self._listener.build_report(GossipScope.RECENT), is_full=False)

    def notify_all_relays(self) -> None:
        """Send a report and a digest to the relays of all zones at once, if this is a relay."""
        if self.is_relay:
            local = self._listener.build_report(GossipScope.NONE)
            self._send_report(local, self._choose_relays().values())
            self._send_remote_digest(local)

    def _send_report(self, report: PeerReport, ips: Iterable[str]) -> None:
        self._sent_reports[report.sequence] = report
        while len(self._sent_reports) > MAX_KEPT_REPORTS:
            self._sent_reports.popitem(last=False)
        data = encode_report(report, self.on_omitted)
        for ip in ips:
            self._send(data, ip, REPORT)

    def _send_zone_digest(self, local: PeerReport, is_full: bool) -> None:
        """Send the load of all processes to those that report to this process.

        Parameters
        ----------
        is_full : bool
            True to include demand, work, member list and relays.
        """
        reports = self._zone_reports()
        if not reports:
            return
        digest = self._build_digest(
            local,
            ALL_ZONES,
            [load_from_report(local, 0.0), *self._local_zone_loads(), *self._remote_loads()],
        )
        consumed = _sum_units(
            local.consumed, self._zone_consumed.total, self._remote_consumed.total
        )
        digest = replace(digest, consumed=consumed)
        # A full digest that has not been sent is replaced by a full one: the next one may be, too.
        full = [
            each for each in reports if is_full or self.sender.has_queued_full(each.ip, ZONE_DIGEST)
        ]
        if full:
            members, relays = self._list_zone_members(reports), self._relays_by_zone()
            self._send_digest(replace(digest, roster=members, relays=relays), full, True)
        full_ips = {each.ip for each in full}
        others = [each for each in reports if each.ip not in full_ips]
        if others:
            self._send_digest(replace(digest, demand=None, work=None), others, False)

    def _send_digest(self, digest: Digest, receivers: list[PeerReport], is_full: bool) -> None:
        """Send a digest to processes of the zone, each with the number of its last report."""
        writer = self._write(digest)
        for each in receivers:
            self._send(writer.datagram(each.sequence), each.ip, ZONE_DIGEST, is_full)

    def _write(self, digest: Digest) -> DigestWriter:
        writer = DigestWriter(digest)
        if writer.omitted:
            self.on_omitted(writer.omitted)
        return writer

    def _build_digest(self, local: PeerReport, scope: str, loads: list[PeerLoad]) -> Digest:
        members, live = self.count_members() if scope == ALL_ZONES else self._count_zone_members()
        return Digest(
            relay=local,
            scope=scope,
            wall=self._listener.cluster_time(),
            members=members,
            live=live,
            loads=sum_loads(loads),
            claim=self._find_newest_claim(local, include_remote=scope == ALL_ZONES),
            unreachable=tuple(sorted(self.unreachable_zones())) if self.is_relay else (),
            demand=sum_demand(loads),
            work=sum_work(loads),
        )

    def _list_zone_members(self, reports: list[PeerReport]) -> dict[str, str]:
        """Return the IP address by VM of the zone's members, as sent to them.

        Notes
        -----
        A relay lists only members whose reports it receives itself: two relays that copied each
        other's lists would never drop a process. A process that is no relay adds the lists of its
        relays, so that a process that reports to it by mistake finds them.
        """
        found = {each.vm_id: each.ip for each in reports if not each.leaving}
        if not self.is_relay:
            found.update(self._other_members_in_zone())
        return {**found, self._identity.vm_id: self._identity.ip}

    def _relays_by_zone(self) -> dict[str, tuple[str, ...]]:
        """Return the IP addresses of other zones' relays, from digests or the member table."""
        found = {}
        digests = self._live_remote_digests()
        for zone in sorted({*self._registered, *digests} - {self._identity.zone}):
            if zone in digests:
                digest = digests[zone].digest
                found[zone] = (digest.relays or {}).get(zone) or (digest.relay.ip,)
            else:
                registered = sorted(self._registered[zone].values())
                found[zone] = tuple(
                    self._rng.sample(registered, min(UNREACHABLE_ZONE_TARGETS, len(registered)))
                )
        return found

    def _find_newest_claim(self, local: PeerReport, include_remote: bool) -> LeaseClaim:
        """Return the newest lease advertisement that this process has received or sends itself.

        Parameters
        ----------
        include_remote : bool
            True to include advertisements from other zones.
        """
        now = self._timers.now()
        claims = [LeaseClaim(local.fencing, local.lease_version, local.released, local.ip)]
        for each in self._zone_reports():
            if (self._table.seconds_since_report(each.vm_id, now) or 0.0) <= CLAIM_MAX_AGE_SECONDS:
                claims.append(LeaseClaim(each.fencing, each.lease_version, each.released, each.ip))
        if include_remote:
            digests = self._live_remote_digests().values()
            claims += [
                each.digest.claim
                for each in digests
                if now - each.received_at <= CLAIM_MAX_AGE_SECONDS
            ]
        holder = max(claims, key=lambda each: (each.fencing, each.lease_version))
        released = max(each.released for each in claims)
        if not holder.fencing:
            return LeaseClaim(released=released)
        return replace(holder, released=released)

    def _send_remote_digest(self, local: PeerReport) -> None:
        """Send the load of this zone to the relays of the other zones."""
        digest = self._build_digest(
            local, self._identity.zone, [load_from_report(local, 0.0), *self._local_zone_loads()]
        )
        consumed = _sum_units(local.consumed, self._zone_consumed.total)
        members = {**self._other_members_in_zone(), self._identity.vm_id: self._identity.ip}
        ips = tuple(members[each] for each in self._relays.chosen if each in members)
        digest = replace(digest, consumed=consumed, relays={self._identity.zone: ips})
        data = self._write(digest).datagram()
        for ip in _flatten(self._relays_by_zone().values()):
            self._send(data, ip, REMOTE_DIGEST)

    def _send_usage(self, local: PeerReport) -> None:
        """Send the usage of this zone to the leader and to the relays that keep a copy."""
        claim = self._find_usage_receiver(local)
        if claim.fencing != self._usage_sent_to:
            self._usage_sent_to, self._full_usage_left = claim.fencing, FULL_USAGE_SENDS
        windows = KEPT_WINDOWS if self._full_usage_left > 0 else RECENT_WINDOWS
        self._full_usage_left -= 1
        targets = {claim.ip}
        relays = self._relays_by_zone()
        for zone in rank("counts", relays)[:USAGE_BACKUP_ZONES]:
            targets.update(relays[zone][:1])
        wall = self._listener.cluster_time()
        processes = sorted({local.process, *self._processes_with_usage})
        # Processes without usage are listed once, in the first digest, as complete.
        idle = {each.process for each in self._zone_reports()} - {*processes}
        for start in range(0, len(processes), PROCESSES_PER_DIGEST):
            batch = processes[start : start + PROCESSES_PER_DIGEST]
            counts = self._listener.usage_of(batch, windows)
            until = dict(self._listener.usage_known_until([*batch, *(() if start else idle)]))
            if local.process in batch:
                until[local.process] = wall
            digest = Digest(local, self._identity.zone, wall, 0, 0, usage=counts, usage_until=until)
            data = self._write(digest).datagram()
            for ip in sorted(targets - {"", self._identity.ip}):
                self._send(data, ip, (USAGE, windows, start))

    def _find_usage_receiver(self, local: PeerReport) -> LeaseClaim:
        """Return the newest lease advertisement; for a while also one that is too old to forward.

        Notes
        -----
        Advertisements are lost like other datagrams. Usage that is sent to a holder that has ended
        costs some datagrams, while usage that is not sent may be missing in a window.
        """
        now = self._timers.now()
        claim = self._find_newest_claim(local, include_remote=True)
        if claim.ip:
            self._usage_receiver, self._usage_receiver_at = claim, now
        if now - self._usage_receiver_at <= USAGE_RECEIVER_SECONDS:
            return self._usage_receiver
        return claim

    # Receiving

    def receive_report(self, report: PeerReport, is_continuous: bool, is_new: bool) -> None:
        """Record the quota consumption in a direct report, and the processes whose usage it has.

        Parameters
        ----------
        is_continuous : bool
            False if its sender was unreachable before: its consumption since then is not counted,
            because it was limited to the sender's own share of the quota.
        is_new : bool
            True for the first report of its sender, which gets a digest at once.
        """
        if report.zone != self._identity.zone:
            return
        self._warm_up_after_stop()
        self._zone_consumed.add_sums(report.process, report.consumed, is_continuous)
        self._processes_with_usage.update(report.usage or ())
        if is_new:
            self._send_zone_digest(self._listener.build_report(GossipScope.ALL), is_full=True)

    def _warm_up_after_stop(self) -> None:
        """Count by the digests of the other relay at first if this process has stood still.

        Notes
        -----
        The others have chosen another relay meanwhile, and send their reports and digests to it.
        """
        if self.seconds_unread() >= STOP_SECONDS:
            self._relay_since = self._timers.now()

    def is_valid_source(self, digest: Digest, ip: str) -> bool:
        """Return True if a digest may come from an IP address.

        Notes
        -----
        A digest comes from its relay, or from a member of the own zone that forwards a digest of
        another zone.
        """
        if ip == digest.relay.ip:
            return True
        is_forwarded = digest.scope not in (ALL_ZONES, self._identity.zone)
        return is_forwarded and ip in {*self._other_members_in_zone().values()}

    def receive_digest(self, digest: Digest, data: bytes) -> None:
        """Process a digest from a relay of the own zone or of another zone."""
        self._warm_up_after_stop()
        if digest.relay.vm_id == self._identity.vm_id:
            return
        if digest.usage is not None:
            self._listener.on_usage(digest.usage, digest.usage_until)
            return
        if digest.scope == ALL_ZONES:
            if self._store_digest(digest, self._zone_digests) and not self.is_relay:
                self._listener.on_loads()
        elif digest.scope != self._identity.zone:
            by_relay = self._remote_digests.setdefault(digest.scope, {})
            if self._store_digest(digest, by_relay):
                self._forward_digest(digest, data)
                self._drop_expired(by_relay)

    def _store_digest(self, digest: Digest, digests: dict[str, ReceivedDigest]) -> bool:
        """Store and apply a digest; False if it is not newer than the stored one of its relay."""
        now = self._timers.now()
        relay = digest.relay
        last = digests.get(relay.vm_id)
        if last is not None:
            before = last.digest.relay
            if (relay.incarnation, relay.sequence) <= (before.incarnation, before.sequence):
                return False
            digest = _fill_omitted(digest, last.digest)
        offset = choose_clock_offset(
            digest.wall - now, last and last.clock_offset, self.seconds_unread()
        )
        digests[relay.vm_id] = ReceivedDigest(digest, now, offset)
        self._record_consumption(digest, now)
        self._listener.on_relay_state(relay, digest.claim)
        return True

    def _record_consumption(self, digest: Digest, now: float) -> None:
        """Count the quota consumption in a digest once, though redundant relays report it.

        Notes
        -----
        A digest that acknowledges no sent report cannot be counted, and must not become the active
        source in place of one that can. After a restart of all processes, some that others had
        mistaken for relays went on sending digests for three seconds, and until then no process
        counted the others' consumption.
        """
        if digest.consumed is None:
            return
        process = f"{digest.scope}@{digest.relay.process}"
        is_global = digest.scope == ALL_ZONES
        if is_global and digest.acknowledged not in self._sent_reports:
            return
        period = DIGEST_PERIOD_SECONDS if is_global else DIGEST_PERIOD_SECONDS * TICKS_PER_REPORT
        action = self._source_selector.select_action(
            digest.scope, process, period, now, self.seconds_unread()
        )
        if action is SumAction.IGNORE:
            return
        is_counted = action is SumAction.COUNT
        if is_global:
            self._record_zone_consumption(digest, process, is_counted)
        else:
            self._remote_consumed.add_sums(process, digest.consumed, is_counted)
            self._listener.on_consumed(
                process, digest.consumed, is_counted and self.is_counting_directly()
            )

    def _record_zone_consumption(self, digest: Digest, process: str, is_counted: bool) -> None:
        """Count the totals in a digest of the own zone, minus this process's own consumption."""
        sent_report = self._sent_reports[digest.acknowledged]
        names = digest.consumed.keys() | sent_report.consumed.keys()
        others = {
            name: digest.consumed.get(name, 0.0) - sent_report.consumed.get(name, 0.0)
            for name in names
        }
        self._listener.on_consumed(process, others, is_counted and not self.is_counting_directly())

    def _forward_digest(self, digest: Digest, data: bytes) -> None:
        """Forward another zone's digest to the own relays, unless this process is a relay."""
        if self.is_relay:
            return
        digest_id = (digest.relay.vm_id, digest.relay.incarnation, digest.relay.sequence)
        if digest_id in self._forwarded:
            return
        if len(self._forwarded) > MAX_KEPT_REPORTS:
            self._forwarded.clear()
        self._forwarded.add(digest_id)
        for ip in self._choose_relays().values():
            self._send(data, ip, digest.relay.vm_id)

    def _drop_expired(self, digests: dict[str, ReceivedDigest]) -> None:
        now = self._timers.now()
        for name in [
            vm_id
            for vm_id, received in digests.items()
            if now - received.received_at > DIGEST_EXPIRY_SECONDS
        ]:
            del digests[name]

    def direct_targets(self, ips: Iterable[str]) -> list[str]:
        """Return the peers to report to directly without a live relay, own zone first."""
        zone_ips = set(self._registered.get(self._identity.zone, {}).values()) - {self._identity.ip}
        remote = sorted(set(ips) - zone_ips - {self._identity.ip})
        local = sorted(zone_ips)
        self._rng.shuffle(local)
        self._rng.shuffle(remote)
        return [*local[:DIRECT_TARGETS_PER_GROUP], *remote[:DIRECT_TARGETS_PER_GROUP]]


def choose_scope(tick: int, period: int) -> GossipScope:
    """Return which evidence on crashes the messages of a tick hold, once in a period of ticks."""
    return GossipScope.RECENT if tick % period == 1 else GossipScope.NONE


def _fill_omitted(digest: Digest, last: Digest) -> Digest:
    """Return a digest with the parts that it leaves out copied from the previous one."""
    changes = {
        name: getattr(last, name)
        for name in ("demand", "work", "roster", "relays")
        if getattr(digest, name) is None
    }
    return replace(digest, **changes)


def _add_units(total: Counter[str], added: Mapping[str, float]) -> None:
    """Add units by workspace; refunds are negative."""
    for name, units in added.items():
        total[name] += units


def _sum_units(*parts: Mapping[str, float]) -> dict[str, int]:
    """Return the sums of units by workspace."""
    total: Counter[str] = Counter()
    for each in parts:
        _add_units(total, each)
    return {name: round(units) for name, units in total.items()}


def _flatten(parts: Iterable[tuple[str, ...]]) -> list[str]:
    return sorted({each for part in parts for each in part})
