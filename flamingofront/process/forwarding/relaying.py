"""Word between many entry processes, through the relays of each zone.

Each process reports to the two relays of its zone twice a second, and at once when it places a
large prompt. The relays tell the zone four times a second what all processes run, and the relays of
the other zones twice a second what theirs does. A process that hears no relay tells its peers
directly, in turn, as processes of small deployments do.
"""

import math
import random
from collections import Counter
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, replace

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
    encode_report,
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

__all__ = ["DIGEST_PERIOD_SECONDS", "RelayListener", "Relaying"]

# Pause between two digests to the zone. Its two relays tell in turn, so that word of a placement is
# 0.1 s old there in the mean.
DIGEST_PERIOD_SECONDS = 0.25
# A report goes to the relays at each second of those moments, and a digest to the other zones.
TICKS_PER_REPORT = 2
# Counts of requests go to the holder of the duties at each fourth: a window is reported two seconds
# after its end at the earliest.
TICKS_PER_USAGE = 4
# Word of the duties' holder is passed on only while it is so young: a report and its way. Older
# word would put off the takeover from a holder that is gone.
CLAIM_MAX_AGE_SECONDS = 0.6
# Own reports that are remembered, to know what of this process is in a digest: eight seconds.
MAX_KEPT_REPORTS = 32
# Processes whose counts are told in one digest: about 1.5 KB. Of digests of 16 processes, 10 KB and
# more, a tenth of the counts did not arrive in time.
PROCESSES_PER_DIGEST = 4
# Windows that are told each second: the one that runs and the last one.
RECENT_WINDOWS = 2
# Times that all windows that are kept are told to a new holder of the duties; one may be lost.
FULL_USAGE_SENDS = 2
# Other zones whose first relay keeps this zone's counts, besides the holder.
USAGE_BACKUP_ZONES = 2
# Processes of a silent zone that are told, any of which passes the digest on to its relays.
UNREACHABLE_ZONE_TARGETS = 4
# Processes of the own zone, and as many of the others, told at a time while no relay is heard.
DIRECT_TARGETS_PER_GROUP = 8


@dataclass(frozen=True)
class RelayListener:
    """What is done with word from relays.

    Parameters
    ----------
    own_report : callable
        Returns this process's report as it is now.
    believed : callable
        Gets what a relay holds and knows, and the claim that it passes on.
    spent : callable
        Gets a teller, its sums of quota units by workspace, and whether what it has added counts.
    loads_changed : callable
        Called when word of what all processes run has come.
    counts : callable
        Gets counts of requests that began, and up to which time those of a process are told.
    zone_counts : callable
        Returns the counts that some processes were heard to have, in so many newest windows.
    usage_until : callable
        Returns up to which time the counts of some processes were heard.
    wall : callable
        Returns the wall clock on which the processes agree.
    """

    build_report: Callable[[], PeerReport]
    on_relay_state: Callable[[PeerReport, LeaseClaim], None]
    on_consumed: Callable[[str, Mapping[str, float], bool], None]
    on_loads: Callable[[], None]
    on_usage: Callable[[ProcessCounts, Mapping[str, float]], None]
    usage_of: Callable[[Iterable[str], int], ProcessCounts]
    usage_known_until: Callable[[Iterable[str]], Mapping[str, float]]
    cluster_time: Callable[[], float]


class Relaying(RelayView):
    """Tells what this process and its zone run, and takes what others tell.

    Parameters
    ----------
    own : PeerReport
        Identity of this process.
    table : PeerTable
        Reports that were heard directly: those of the zone, if this process is a relay.
    send : callable
        Sends a datagram to an IP number.
    """

    def __init__(
        self,
        own: PeerReport,
        table: PeerTable,
        send: Callable[[bytes, str], None],
        listener: RelayListener,
        timers: TimerService,
        rng: random.Random,
    ):
        super().__init__(own, table, timers)
        self._send = PacedSender(send, timers).send
        self._listener = listener
        self._rng = rng
        self._source_selector = SourceSelector()
        self._zone_consumed = ConsumptionLedger()
        self._remote_consumed = ConsumptionLedger()
        self._usage_sent_to = 0
        self._full_usage_left = 0
        self._processes_with_usage: set[str] = set()
        self._forwarded: set[tuple[str, int, int]] = set()
        self._ticks = 0

    def _choose_relays(self) -> dict[str, str]:
        """Return the IP number by VM of the relays of the zone, this process left out."""
        members = self._other_zone_members()
        heard_at = {name: each.received_at for name, each in self._zone_digests.items()}
        now = self._timers.now()
        chosen = self._relays.choose(members, heard_at, now)
        self._relay_since = min(self._relay_since, now) if self.is_relay else math.inf
        return {name: members[name] for name in chosen if name in members}

    # Telling

    def run_tick(self) -> bool:
        """Tell what is due; False if no relay is heard, so that peers have to be told directly."""
        before = self._relays.chosen
        relays = self._choose_relays()
        self._ticks += 1
        reports = self._ticks % TICKS_PER_REPORT == 0 or self._relays.chosen != before
        if reports or self.is_relay or self._zone_reports():
            self._send_due(self._listener.build_report(), tuple(relays.values()) if reports else ())
        self._source_selector.drop_expired(self._timers.now())
        if self._ticks % TICKS_PER_USAGE == 0:
            self._drop_stale_sources()
        return self.has_live_relay()

    def _send_due(self, own: PeerReport, relays: tuple[str, ...]) -> None:
        """Tell the relays of this process, and as a relay the zone and the other zones of all.

        Parameters
        ----------
        relays : tuple of str
            IP numbers of the relays; none if no report is due.
        """
        full = self._ticks % TICKS_PER_REPORT == 1
        if relays:
            self._send_report(own, relays)
        if self.is_relay and full:
            self._send_remote_digest(own)
        self._send_zone_digest(own, full)
        if self.is_relay and self._ticks % TICKS_PER_USAGE == 0:
            self._send_usage(own)

    def _drop_stale_sources(self) -> None:
        """Drop tellers that are gone, and counts that are no longer told."""
        members = self._table.members(self._timers.now())
        self._zone_consumed.retain_only({each.process for each in members})
        tellers = {
            f"{zone}@{each.digest.relay.process}"
            for zone, by_relay in self._remote_digests.items()
            for each in by_relay.values()
        }
        self._remote_consumed.retain_only(tellers)

    def send_report_now(self) -> None:
        """Tell the relays at once what this process runs."""
        self._send_report(self._listener.build_report(), self._choose_relays().values())

    def send_zone_digest_now(self) -> None:
        """Tell the zone at once, if this process is a relay."""
        if self.is_relay:
            self._send_zone_digest(self._listener.build_report(), full=False)

    def notify_all_relays(self) -> None:
        """Tell the relays of all zones at once, if this process is one."""
        if self.is_relay:
            own = self._listener.build_report()
            self._send_report(own, self._choose_relays().values())
            self._send_remote_digest(own)

    def _send_report(self, report: PeerReport, ips: Iterable[str]) -> None:
        self._sent_reports[report.sequence] = report
        while len(self._sent_reports) > MAX_KEPT_REPORTS:
            self._sent_reports.popitem(last=False)
        data = encode_report(report)
        for ip in ips:
            self._send(data, ip)

    def _send_zone_digest(self, own: PeerReport, full: bool) -> None:
        """Answer those who report here with what all processes run."""
        reports = self._zone_reports()
        if not reports:
            return
        elsewhere = self._remote_loads()
        digest = self._build_digest(
            own, ALL_ZONES, [load_from_report(own, 0.0), *self._local_zone_loads(), *elsewhere]
        )
        if full:
            digest = replace(digest, roster=self._list_zone_members(reports))
            digest = replace(digest, relays=self._relays_by_zone())
        consumed = _sum_units(own.consumed, self._zone_consumed.total, self._remote_consumed.total)
        digest = replace(digest, consumed=consumed)
        writer = DigestWriter(digest if full else replace(digest, demand=None, work=None))
        for each in reports:
            self._send(writer.datagram(each.sequence), each.ip)

    def _build_digest(self, own: PeerReport, scope: str, loads: list[PeerLoad]) -> Digest:
        members, live = self.count_members() if scope == ALL_ZONES else self._count_zone_members()
        return Digest(
            relay=own,
            scope=scope,
            wall=self._listener.cluster_time(),
            members=members,
            live=live,
            loads=sum_loads(loads),
            claim=self._newest_claim(own, elsewhere=scope == ALL_ZONES),
            unreachable_zones=tuple(sorted(self.unreachable_zones())) if self.is_relay else (),
            demand=sum_demand(loads),
            work=sum_work(loads),
        )

    def _list_zone_members(self, reports: list[PeerReport]) -> dict[str, str]:
        """Return the processes of the zone, for those who report here.

        Notes
        -----
        A relay tells those that it hears itself: two relays that passed on what each told the other
        would never forget a process. One that is no relay tells what its relays do, so that whoever
        reports to it by mistake finds them.
        """
        found = {each.vm_id: each.ip for each in reports if not each.leaving}
        if not self.is_relay:
            found.update(self._other_zone_members())
        return {**found, self._own.vm_id: self._own.ip}

    def _relays_by_zone(self) -> dict[str, tuple[str, ...]]:
        """Return the relays of the other zones, as they were told or as the member table has it."""
        found = {}
        told = self._live_remote_digests()
        for zone in sorted({*self._registered, *told} - {self._own.zone}):
            if zone in told:
                digest = told[zone].digest
                found[zone] = (digest.relays or {}).get(zone) or (digest.relay.ip,)
            else:
                known = sorted(self._registered[zone].values())
                found[zone] = tuple(
                    self._rng.sample(known, min(UNREACHABLE_ZONE_TARGETS, len(known)))
                )
        return found

    def _newest_claim(self, own: PeerReport, elsewhere: bool) -> LeaseClaim:
        """Return the newest word of the duties' holder."""
        now = self._timers.now()
        claims = [LeaseClaim(own.fencing, own.lease_version, own.released, own.ip)]
        for each in self._zone_reports():
            if (self._table.seconds_since_report(each.vm_id, now) or 0.0) <= CLAIM_MAX_AGE_SECONDS:
                claims.append(LeaseClaim(each.fencing, each.lease_version, each.released, each.ip))
        if elsewhere:
            told = self._live_remote_digests().values()
            claims += [
                each.digest.claim
                for each in told
                if now - each.received_at <= CLAIM_MAX_AGE_SECONDS
            ]
        holder = max(claims, key=lambda each: (each.fencing, each.lease_version))
        released = max(each.released for each in claims)
        if not holder.fencing:
            return LeaseClaim(released=released)
        return replace(holder, released=released)

    def _send_remote_digest(self, own: PeerReport) -> None:
        """Tell the relays of the other zones what this zone runs."""
        digest = self._build_digest(
            own, self._own.zone, [load_from_report(own, 0.0), *self._local_zone_loads()]
        )
        consumed = _sum_units(own.consumed, self._zone_consumed.total)
        members = {**self._other_zone_members(), self._own.vm_id: self._own.ip}
        ips = tuple(members[each] for each in self._relays.chosen if each in members)
        digest = replace(digest, consumed=consumed, relays={self._own.zone: ips})
        data = DigestWriter(digest).datagram()
        for ip in _flatten(self._relays_by_zone().values()):
            self._send(data, ip)

    def _send_usage(self, own: PeerReport) -> None:
        """Tell the counts of this zone to the holder of the duties and to those that keep them."""
        claim = self._newest_claim(own, elsewhere=True)
        if claim.fencing != self._usage_sent_to:
            self._usage_sent_to, self._full_usage_left = claim.fencing, FULL_USAGE_SENDS
        windows = KEPT_WINDOWS if self._full_usage_left > 0 else RECENT_WINDOWS
        self._full_usage_left -= 1
        targets = {claim.ip}
        relays = self._relays_by_zone()
        for zone in rank("counts", relays)[:USAGE_BACKUP_ZONES]:
            targets.update(relays[zone][:1])
        wall = self._listener.cluster_time()
        processes = sorted({own.process, *self._processes_with_usage})
        # Those that have nothing to be counted are told of once.
        idle = {each.process for each in self._zone_reports()} - {*processes}
        for start in range(0, len(processes), PROCESSES_PER_DIGEST):
            told = processes[start : start + PROCESSES_PER_DIGEST]
            counts = self._listener.usage_of(told, windows)
            until = dict(self._listener.usage_known_until([*told, *(() if start else idle)]))
            if own.process in told:
                until[own.process] = wall
            digest = Digest(own, self._own.zone, wall, 0, 0, usage=counts, usage_until=until)
            data = DigestWriter(digest).datagram()
            for ip in sorted(targets - {"", self._own.ip}):
                self._send(data, ip)

    # Hearing

    def receive_report(self, report: PeerReport, continuous: bool, is_new: bool) -> None:
        """Take note of a report that was heard directly.

        Parameters
        ----------
        continuous : bool
            False if its sender was out of hearing: what it took of quotas meanwhile was its part.
        is_new : bool
            True if its sender was not heard before: it is answered at once.
        """
        if report.zone != self._own.zone:
            return
        self._zone_consumed.add_sums(report.process, report.consumed, continuous)
        self._processes_with_usage.update(report.usage or ())
        if is_new:
            self._send_zone_digest(self._listener.build_report(), full=True)

    def is_valid_source(self, digest: Digest, ip: str) -> bool:
        """Tell whether a digest may come from an IP number.

        Notes
        -----
        That is its relay's. One of another zone may be passed on by a process of the own zone.
        """
        if ip == digest.relay.ip:
            return True
        passed_on = digest.scope not in (ALL_ZONES, self._own.zone)
        return passed_on and ip in {*self._other_zone_members().values()}

    def receive_digest(self, digest: Digest, data: bytes) -> None:
        """Take a digest: of a relay of the own zone, or of another zone's."""
        if digest.relay.vm_id == self._own.vm_id:
            return
        if digest.usage is not None:
            self._listener.on_usage(digest.usage, digest.usage_until)
            return
        if digest.scope == ALL_ZONES:
            if self._store_digest(digest, self._zone_digests) and not self.is_relay:
                self._listener.on_loads()
        elif digest.scope != self._own.zone:
            by_relay = self._remote_digests.setdefault(digest.scope, {})
            if self._store_digest(digest, by_relay):
                self._forward_digest(digest, data)
                self._drop_expired(by_relay)

    def _store_digest(self, digest: Digest, known: dict[str, ReceivedDigest]) -> bool:
        """Take a digest in, unless an equal or newer one of its relay is known."""
        now = self._timers.now()
        relay = digest.relay
        last = known.get(relay.vm_id)
        if last is not None:
            before = last.digest.relay
            if (relay.incarnation, relay.sequence) <= (before.incarnation, before.sequence):
                return False
            digest = _fill_omitted(digest, last.digest)
        known[relay.vm_id] = ReceivedDigest(digest, now)
        self._record_consumption(digest, now)
        self._listener.on_relay_state(relay, digest.claim)
        return True

    def _record_consumption(self, digest: Digest, now: float) -> None:
        """Count what was taken out of quotas elsewhere, once.

        Notes
        -----
        A digest that answers no report to a relay cannot be counted, and must not stand in the way
        of those that can. After a restart of all, processes that were told by mistake went on
        telling for three seconds; until then nobody counted what the others took.
        """
        if digest.consumed is None:
            return
        process = f"{digest.scope}@{digest.relay.process}"
        of_all = digest.scope == ALL_ZONES
        if of_all and digest.acknowledged not in self._sent_reports:
            return
        period = DIGEST_PERIOD_SECONDS if of_all else DIGEST_PERIOD_SECONDS * TICKS_PER_REPORT
        step = self._source_selector.select_action(digest.scope, process, period, now)
        if step is SumAction.IGNORE:
            return
        counts = step is SumAction.COUNT
        if of_all:
            self._record_zone_consumption(digest, process, counts)
        else:
            self._remote_consumed.add_sums(process, digest.consumed, counts)
            self._listener.on_consumed(
                process, digest.consumed, counts and self.is_counting_directly()
            )

    def _record_zone_consumption(self, digest: Digest, process: str, counts: bool) -> None:
        """Count what a relay of the own zone tells, less what this process itself took."""
        own = self._sent_reports[digest.acknowledged]
        names = digest.consumed.keys() | own.consumed.keys()
        others = {
            name: digest.consumed.get(name, 0.0) - own.consumed.get(name, 0.0) for name in names
        }
        self._listener.on_consumed(process, others, counts and not self.is_counting_directly())

    def _forward_digest(self, digest: Digest, data: bytes) -> None:
        """Hand a digest of another zone to the own relays, if this process is none of them."""
        if self.is_relay:
            return
        mark = (digest.relay.vm_id, digest.relay.incarnation, digest.relay.sequence)
        if mark in self._forwarded:
            return
        if len(self._forwarded) > MAX_KEPT_REPORTS:
            self._forwarded.clear()
        self._forwarded.add(mark)
        for ip in self._choose_relays().values():
            self._send(data, ip)

    def _drop_expired(self, known: dict[str, ReceivedDigest]) -> None:
        now = self._timers.now()
        for name in [
            each for each, it in known.items() if now - it.received_at > DIGEST_EXPIRY_SECONDS
        ]:
            del known[name]

    def direct_targets(self, ips: Iterable[str]) -> list[str]:
        """Return whom to tell directly while no relay is heard: those of the own zone first."""
        own_zone = set(self._registered.get(self._own.zone, {}).values()) - {self._own.ip}
        others = sorted(set(ips) - own_zone - {self._own.ip})
        near = sorted(own_zone)
        self._rng.shuffle(near)
        self._rng.shuffle(others)
        return [*near[:DIRECT_TARGETS_PER_GROUP], *others[:DIRECT_TARGETS_PER_GROUP]]


def _fill_omitted(digest: Digest, last: Digest) -> Digest:
    """Return a digest with what it leaves out as it was told before."""
    changes = {
        name: getattr(last, name)
        for name in ("demand", "work", "roster", "relays")
        if getattr(digest, name) is None
    }
    return replace(digest, **changes)


def _add_units(total: Counter[str], added: Mapping[str, float]) -> None:
    """Add units that may be given back, too."""
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
