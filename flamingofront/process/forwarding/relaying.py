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

from flamingofront.process.forwarding.digests import ALL_ZONES, Claim, Digest, DigestWriter
from flamingofront.process.forwarding.pacing import PacedSender
from flamingofront.process.forwarding.relay_hearing import (
    FORGOTTEN_SECONDS,
    HeardDigest,
    RelayHearing,
)
from flamingofront.process.forwarding.reports import (
    PeerReport,
    PeerTable,
    ProcessCounts,
    encode_report,
)
from flamingofront.process.forwarding.streams import SpentLedger, Step, SumStreams
from flamingofront.process.forwarding.sums import (
    OthersLoad,
    add_demand,
    add_work,
    load_of,
    total_loads,
)
from flamingofront.process.forwarding.usage import KEPT_WINDOWS
from flamingofront.process.rendezvous import rank
from flamingofront.process.timers import TimerService

__all__ = ["DIGEST_SECONDS", "RelayListener", "Relaying"]

# Pause between two digests to the zone. Its two relays tell in turn, so that word of a placement is
# 0.1 s old there in the mean.
DIGEST_SECONDS = 0.25
# A report goes to the relays at each second of those moments, and a digest to the other zones.
TICKS_PER_REPORT = 2
# Counts of requests go to the holder of the duties at each fourth: a window is reported two seconds
# after its end at the earliest.
TICKS_PER_COUNTS = 4
# Word of the duties' holder is passed on only while it is so young: a report and its way. Older
# word would put off the takeover from a holder that is gone.
CLAIM_SECONDS = 0.6
# Own reports that are remembered, to know what of this process is in a digest: eight seconds.
KEPT_REPORTS = 32
# Processes whose counts are told in one digest: about 1.5 KB. Of digests of 16 processes, 10 KB and
# more, a tenth of the counts did not arrive in time.
MAX_COUNTED = 4
# Windows that are told each second: the one that runs and the last one.
NEWEST_WINDOWS = 2
# Times that all windows that are kept are told to a new holder of the duties; one may be lost.
TOLD_WHOLE = 2
# Other zones whose first relay keeps this zone's counts, besides the holder.
COUNT_KEEPERS = 2
# Processes of a silent zone that are told, any of which passes the digest on to its relays.
SOUGHT = 4
# Processes of the own zone, and as many of the others, told at a time while no relay is heard.
LONELY_TOLD = 8


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
    told_until : callable
        Returns up to which time the counts of some processes were heard.
    wall : callable
        Returns the wall clock on which the processes agree.
    """

    own_report: Callable[[], PeerReport]
    believed: Callable[[PeerReport, Claim], None]
    spent: Callable[[str, Mapping[str, float], bool], None]
    loads_changed: Callable[[], None]
    counts: Callable[[ProcessCounts, Mapping[str, float]], None]
    zone_counts: Callable[[Iterable[str], int], ProcessCounts]
    told_until: Callable[[Iterable[str]], Mapping[str, float]]
    wall: Callable[[], float]


class Relaying(RelayHearing):
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
        self._streams = SumStreams()
        self._zone_spent = SpentLedger()
        self._elsewhere_spent = SpentLedger()
        self._counted_for = 0
        self._whole_left = 0
        self._counted: set[str] = set()
        self._passed_on: set[tuple[str, int, int]] = set()
        self._ticks = 0

    def _choose(self) -> dict[str, str]:
        """Return the IP number by VM of the relays of the zone, this process left out."""
        members = self._members()
        heard_at = {name: each.at for name, each in self._zone.items()}
        now = self._timers.now()
        chosen = self._relays.choose(members, heard_at, now)
        self._relay_since = min(self._relay_since, now) if self.is_relay else math.inf
        return {name: members[name] for name in chosen if name in members}

    # Telling

    def tick(self) -> bool:
        """Tell what is due; False if no relay is heard, so that peers have to be told directly."""
        before = self._relays.chosen
        relays = self._choose()
        self._ticks += 1
        reports = self._ticks % TICKS_PER_REPORT == 0 or self._relays.chosen != before
        if reports or self.is_relay or self._zone_reports():
            self._tell(self._listener.own_report(), tuple(relays.values()) if reports else ())
        self._streams.forget(self._timers.now())
        if self._ticks % TICKS_PER_COUNTS == 0:
            self._forget()
        return self.hears_relay()

    def _tell(self, own: PeerReport, relays: tuple[str, ...]) -> None:
        """Tell the relays of this process, and as a relay the zone and the other zones of all.

        Parameters
        ----------
        relays : tuple of str
            IP numbers of the relays; none if no report is due.
        """
        full = self._ticks % TICKS_PER_REPORT == 1
        if relays:
            self._report(own, relays)
        if self.is_relay and full:
            self._tell_elsewhere(own)
        self._tell_zone(own, full)
        if self.is_relay and self._ticks % TICKS_PER_COUNTS == 0:
            self._tell_counts(own)

    def _forget(self) -> None:
        """Drop tellers that are gone, and counts that are no longer told."""
        members = self._table.members(self._timers.now())
        self._zone_spent.forget_except({each.process for each in members})
        tellers = {
            f"{zone}@{each.digest.relay.process}"
            for zone, by_relay in self._elsewhere.items()
            for each in by_relay.values()
        }
        self._elsewhere_spent.forget_except(tellers)

    def report_now(self) -> None:
        """Tell the relays at once what this process runs."""
        self._report(self._listener.own_report(), self._choose().values())

    def tell_zone_now(self) -> None:
        """Tell the zone at once, if this process is a relay."""
        if self.is_relay:
            self._tell_zone(self._listener.own_report(), full=False)

    def tell_relays_now(self) -> None:
        """Tell the relays of all zones at once, if this process is one."""
        if self.is_relay:
            own = self._listener.own_report()
            self._report(own, self._choose().values())
            self._tell_elsewhere(own)

    def _report(self, report: PeerReport, ips: Iterable[str]) -> None:
        self._told[report.sequence] = report
        while len(self._told) > KEPT_REPORTS:
            self._told.popitem(last=False)
        data = encode_report(report)
        for ip in ips:
            self._send(data, ip)

    def _tell_zone(self, own: PeerReport, full: bool) -> None:
        """Answer those who report here with what all processes run."""
        reports = self._zone_reports()
        if not reports:
            return
        elsewhere = self._elsewhere_loads()
        digest = self._digest(own, ALL_ZONES, [load_of(own, 0.0), *self._zone_loads(), *elsewhere])
        if full:
            digest = replace(digest, roster=self._roster(reports))
            digest = replace(digest, relays=self._relays_by_zone())
        spent = _added(own.spent, self._zone_spent.total, self._elsewhere_spent.total)
        digest = replace(digest, spent=spent)
        writer = DigestWriter(digest if full else replace(digest, demand=None, work=None))
        for each in reports:
            self._send(writer.datagram(each.sequence), each.ip)

    def _digest(self, own: PeerReport, scope: str, loads: list[OthersLoad]) -> Digest:
        members, heard = self.counts() if scope == ALL_ZONES else self._counts_of_zone()
        return Digest(
            relay=own,
            scope=scope,
            wall=self._listener.wall(),
            members=members,
            heard=heard,
            loads=total_loads(loads),
            claim=self._claim(own, elsewhere=scope == ALL_ZONES),
            silent=tuple(sorted(self.unreachable_zones())) if self.is_relay else (),
            demand=add_demand(loads),
            work=add_work(loads),
        )

    def _roster(self, reports: list[PeerReport]) -> dict[str, str]:
        """Return the processes of the zone, for those who report here.

        Notes
        -----
        A relay tells those that it hears itself: two relays that passed on what each told the other
        would never forget a process. One that is no relay tells what its relays do, so that whoever
        reports to it by mistake finds them.
        """
        found = {each.vm_id: each.ip for each in reports if not each.leaving}
        if not self.is_relay:
            found.update(self._members())
        return {**found, self._own.vm_id: self._own.ip}

    def _relays_by_zone(self) -> dict[str, tuple[str, ...]]:
        """Return the relays of the other zones, as they were told or as the member table has it."""
        found = {}
        told = self._fresh_elsewhere()
        for zone in sorted({*self._registered, *told} - {self._own.zone}):
            if zone in told:
                digest = told[zone].digest
                found[zone] = (digest.relays or {}).get(zone) or (digest.relay.ip,)
            else:
                known = sorted(self._registered[zone].values())
                found[zone] = tuple(self._rng.sample(known, min(SOUGHT, len(known))))
        return found

    def _claim(self, own: PeerReport, elsewhere: bool) -> Claim:
        """Return the newest word of the duties' holder."""
        now = self._timers.now()
        claims = [Claim(own.fencing, own.lease_version, own.released, own.ip)]
        for each in self._zone_reports():
            if (self._table.seconds_since_report(each.vm_id, now) or 0.0) <= CLAIM_SECONDS:
                claims.append(Claim(each.fencing, each.lease_version, each.released, each.ip))
        if elsewhere:
            told = self._fresh_elsewhere().values()
            claims += [each.digest.claim for each in told if now - each.at <= CLAIM_SECONDS]
        holder = max(claims, key=lambda each: (each.fencing, each.lease_version))
        released = max(each.released for each in claims)
        if not holder.fencing:
            return Claim(released=released)
        return replace(holder, released=released)

    def _tell_elsewhere(self, own: PeerReport) -> None:
        """Tell the relays of the other zones what this zone runs."""
        digest = self._digest(own, self._own.zone, [load_of(own, 0.0), *self._zone_loads()])
        spent = _added(own.spent, self._zone_spent.total)
        members = {**self._members(), self._own.vm_id: self._own.ip}
        ips = tuple(members[each] for each in self._relays.chosen if each in members)
        digest = replace(digest, spent=spent, relays={self._own.zone: ips})
        data = DigestWriter(digest).datagram()
        for ip in _all(self._relays_by_zone().values()):
            self._send(data, ip)

    def _tell_counts(self, own: PeerReport) -> None:
        """Tell the counts of this zone to the holder of the duties and to those that keep them."""
        claim = self._claim(own, elsewhere=True)
        if claim.fencing != self._counted_for:
            self._counted_for, self._whole_left = claim.fencing, TOLD_WHOLE
        windows = KEPT_WINDOWS if self._whole_left > 0 else NEWEST_WINDOWS
        self._whole_left -= 1
        targets = {claim.ip}
        relays = self._relays_by_zone()
        for zone in rank("counts", relays)[:COUNT_KEEPERS]:
            targets.update(relays[zone][:1])
        wall = self._listener.wall()
        processes = sorted({own.process, *self._counted})
        # Those that have nothing to be counted are told of once.
        idle = {each.process for each in self._zone_reports()} - {*processes}
        for start in range(0, len(processes), MAX_COUNTED):
            told = processes[start : start + MAX_COUNTED]
            counts = self._listener.zone_counts(told, windows)
            until = dict(self._listener.told_until([*told, *(() if start else idle)]))
            if own.process in told:
                until[own.process] = wall
            digest = Digest(own, self._own.zone, wall, 0, 0, usage=counts, told_until=until)
            data = DigestWriter(digest).datagram()
            for ip in sorted(targets - {"", self._own.ip}):
                self._send(data, ip)

    # Hearing

    def reported(self, report: PeerReport, continuous: bool, is_new: bool) -> None:
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
        self._zone_spent.take(report.process, report.spent, continuous)
        self._counted.update(report.usage or ())
        if is_new:
            self._tell_zone(self._listener.own_report(), full=True)

    def may_tell(self, digest: Digest, ip: str) -> bool:
        """Tell whether a digest may come from an IP number.

        Notes
        -----
        That is its relay's. One of another zone may be passed on by a process of the own zone.
        """
        if ip == digest.relay.ip:
            return True
        passed_on = digest.scope not in (ALL_ZONES, self._own.zone)
        return passed_on and ip in {*self._members().values()}

    def received(self, digest: Digest, data: bytes) -> None:
        """Take a digest: of a relay of the own zone, or of another zone's."""
        if digest.relay.vm_id == self._own.vm_id:
            return
        if digest.usage is not None:
            self._listener.counts(digest.usage, digest.told_until)
            return
        if digest.scope == ALL_ZONES:
            if self._take(digest, self._zone) and not self.is_relay:
                self._listener.loads_changed()
        elif digest.scope != self._own.zone:
            by_relay = self._elsewhere.setdefault(digest.scope, {})
            if self._take(digest, by_relay):
                self._pass_on(digest, data)
                self._drop_old(by_relay)

    def _take(self, digest: Digest, known: dict[str, HeardDigest]) -> bool:
        """Take a digest in, unless an equal or newer one of its relay is known."""
        now = self._timers.now()
        relay = digest.relay
        last = known.get(relay.vm_id)
        if last is not None:
            before = last.digest.relay
            if (relay.incarnation, relay.sequence) <= (before.incarnation, before.sequence):
                return False
            digest = _with_untold(digest, last.digest)
        known[relay.vm_id] = HeardDigest(digest, now)
        self._take_spent(digest, now)
        self._listener.believed(relay, digest.claim)
        return True

    def _take_spent(self, digest: Digest, now: float) -> None:
        """Count what was taken out of quotas elsewhere, once.

        Notes
        -----
        A digest that answers no report to a relay cannot be counted, and must not stand in the way
        of those that can. After a restart of all, processes that were told by mistake went on
        telling for three seconds; until then nobody counted what the others took.
        """
        if digest.spent is None:
            return
        process = f"{digest.scope}@{digest.relay.process}"
        of_all = digest.scope == ALL_ZONES
        if of_all and digest.acknowledged not in self._told:
            return
        period = DIGEST_SECONDS if of_all else DIGEST_SECONDS * TICKS_PER_REPORT
        step = self._streams.step(digest.scope, process, period, now)
        if step is Step.HOLD:
            return
        counts = step is Step.COUNT
        if of_all:
            self._take_spent_of_all(digest, process, counts)
        else:
            self._elsewhere_spent.take(process, digest.spent, counts)
            self._listener.spent(process, digest.spent, counts and self.counts_directly())

    def _take_spent_of_all(self, digest: Digest, process: str, counts: bool) -> None:
        """Count what a relay of the own zone tells, less what this process itself took."""
        own = self._told[digest.acknowledged]
        names = digest.spent.keys() | own.spent.keys()
        others = {name: digest.spent.get(name, 0.0) - own.spent.get(name, 0.0) for name in names}
        self._listener.spent(process, others, counts and not self.counts_directly())

    def _pass_on(self, digest: Digest, data: bytes) -> None:
        """Hand a digest of another zone to the own relays, if this process is none of them."""
        if self.is_relay:
            return
        mark = (digest.relay.vm_id, digest.relay.incarnation, digest.relay.sequence)
        if mark in self._passed_on:
            return
        if len(self._passed_on) > KEPT_REPORTS:
            self._passed_on.clear()
        self._passed_on.add(mark)
        for ip in self._choose().values():
            self._send(data, ip)

    def _drop_old(self, known: dict[str, HeardDigest]) -> None:
        now = self._timers.now()
        for name in [each for each, it in known.items() if now - it.at > FORGOTTEN_SECONDS]:
            del known[name]

    def lonely_targets(self, ips: Iterable[str]) -> list[str]:
        """Return whom to tell directly while no relay is heard: those of the own zone first."""
        own_zone = set(self._registered.get(self._own.zone, {}).values()) - {self._own.ip}
        others = sorted(set(ips) - own_zone - {self._own.ip})
        near = sorted(own_zone)
        self._rng.shuffle(near)
        self._rng.shuffle(others)
        return [*near[:LONELY_TOLD], *others[:LONELY_TOLD]]


def _with_untold(digest: Digest, last: Digest) -> Digest:
    """Return a digest with what it leaves out as it was told before."""
    changes = {
        name: getattr(last, name)
        for name in ("demand", "work", "roster", "relays")
        if getattr(digest, name) is None
    }
    return replace(digest, **changes)


def _add(total: Counter[str], added: Mapping[str, float]) -> None:
    """Add units that may be given back, too."""
    for name, units in added.items():
        total[name] += units


def _added(*parts: Mapping[str, float]) -> dict[str, int]:
    """Return the sums of units by workspace."""
    total: Counter[str] = Counter()
    for each in parts:
        _add(total, each)
    return {name: round(units) for name, units in total.items()}


def _all(parts: Iterable[tuple[str, ...]]) -> list[str]:
    return sorted({each for part in parts for each in part})
