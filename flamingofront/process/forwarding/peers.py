"""Hearing of the other entry processes: who they are, what they hold, what they know."""

import random
from collections import Counter
from collections.abc import Callable, Iterable, Mapping
from dataclasses import replace

import orjson

from flamingofront.errors import PlatformError
from flamingofront.messages import Sleep
from flamingofront.process.forwarding.digests import decode_digest, is_digest
from flamingofront.process.forwarding.limit_messages import (
    is_permit_reply,
    is_permit_request,
)
from flamingofront.process.forwarding.quota_messages import is_quota_reply, is_quota_request
from flamingofront.process.forwarding.relaying import (
    DIGEST_SECONDS,
    TICKS_PER_REPORT,
    Relaying,
    RelayListener,
)
from flamingofront.process.forwarding.reports import (
    LoadDelta,
    PeerReport,
    PeerTable,
    decode_note,
    decode_report,
    encode_note,
    encode_report,
    is_note,
    without_counts,
)
from flamingofront.process.forwarding.sums import OthersLoad, load_of
from flamingofront.process.logs import Log
from flamingofront.process.metrics import Metrics
from flamingofront.process.settings import Address
from flamingofront.process.store import RowWrite, TableStore
from flamingofront.process.tasks import Task, TaskRunner
from flamingofront.process.timers import TimerService

__all__ = ["MAX_PEERS_TOLD", "REPORT_SECONDS", "Peers"]

# Reports go out so often that quotas and loads lag by less than a latency objective.
REPORT_SECONDS = DIGEST_SECONDS
# Way of a datagram between two VMs that are busy, with their turn of the processor.
TRAVEL_SECONDS = 0.05
# Most peers that are told directly. With more of them word goes through relays, so that what a
# process sends and hears does not grow with their number.
MAX_DIRECT_PEERS = 16
# Age of word that comes through relays: half of a report's pause, of a digest's to other zones and
# of one to the own, and three ways.
RELAYED_SECONDS = 0.8
# A new holder of the duties has heard the counts of all after so long: the relays learn of it
# within a second, and tell them within another one, and once more if that is lost.
RELAYED_COUNTS_SECONDS = 3.5
# IP numbers of others in a report: a process that knows one peer soon knows all.
MAX_PEERS_TOLD = 4
# Among many processes only prompts that delay others by more than the way of a datagram are told at
# once. With notes of all changes to 16 peers 89 processes took 685 s of processor time for 48 s of
# traffic, without any 583 s for a whole day (one run each, on a busy machine).
NOTED_TOKENS = 1000
MEMBER_TABLE = "entry-vms"
# Entry processes that there are taken to be until the member table was read or a peer was heard: a
# number of the size of usual deployments. It is read within some 20 ms of a start.
ASSUMED_MEMBERS = 100
# Pause between two looks at the member table while nobody is heard.
LONELY_SECONDS = 5.0
RETRY_SECONDS = 1.0
# The table is read once more so long after the first time: VMs that start together have registered
# by then, and all choose the same relays.
STARTED_SECONDS = 2.0
# Pause between two looks at who is heard, and the names of missing ones in a line. A line for each
# peer was 38,000 lines at the start of 195 VMs.
HEARING_LOG_SECONDS = 1.0
MAX_NAMED = 8
# Senders whose refused datagrams are told of in a line.
MAX_REFUSED_TOLD = 64


def _kind_of(data: bytes) -> str:
    """Return the kind of a datagram, for the metrics."""
    if is_quota_request(data) or is_quota_reply(data):
        return "quota"
    if is_permit_request(data) or is_permit_reply(data):
        return "limit"
    return "digest" if is_digest(data) else "note" if is_note(data) else "report"


class Peers:
    """Tells the other entry processes of this one, and listens to them.

    Parameters
    ----------
    own_report : callable
        Returns this process's report as it is now.
    send : callable
        Sends a datagram to an IP number and port.
    on_report : callable
        Gets each new report, and the seconds since the sender was heard before (None: never).
    on_note : callable
        Gets each note of what was placed at endpoints since the sender's last report.
    relay_listener : RelayListener
        What is done with word from relays, among many processes.

    Attributes
    ----------
    relaying : Relaying
        How many processes tell one another.
    """

    def __init__(
        self,
        own: PeerReport,
        port: int,
        seeds: tuple[Address, ...],
        own_report: Callable[[], PeerReport],
        send: Callable[[bytes, tuple[str, int]], None],
        on_report: Callable[[PeerReport, float | None], None],
        on_note: Callable[[LoadDelta], None],
        relay_listener: RelayListener,
        store: TableStore,
        tasks: TaskRunner,
        timers: TimerService,
        rng: random.Random,
        metrics: Metrics,
        log: Log,
    ):
        self._metrics = metrics
        self.table = PeerTable(own.vm_id)
        self._own = own
        self._port = port
        self._ips = {each.host for each in seeds} - {own.ip}
        self._own_report = own_report
        self._send = send
        self._on_report = on_report
        self._on_note = on_note
        self._store = store
        self._tasks = tasks
        self._timers = timers
        self._rng = rng
        self._log = log
        self.relaying = Relaying(own, self.table, self._send_one, relay_listener, timers, rng)
        self._registered: dict[str, float] = {}
        self._is_table_read = False
        self._is_written = False
        self._hearing: tuple | None = None
        self._refused: set[str] = set()
        # Get a datagram and the IP number of its sender.
        self.on_permit_question: Callable[[bytes, str], None] = lambda data, ip: None
        self.on_permit_reply: Callable[[bytes, str], None] = lambda data, ip: None
        self.on_question: Callable[[bytes, str], None] = lambda data, ip: None
        self.on_reply: Callable[[bytes, str], None] = lambda data, ip: None
        # Returns the endpoints of which a process has to know at once, by its IP number.
        self.sharers: Callable[[Iterable[str]], Mapping[str, list[str]]] = lambda endpoints: {}

    def start(self) -> None:
        """Begin to tell and to listen."""
        self._timers.every(REPORT_SECONDS, self._tell, first=self._rng.random() * REPORT_SECONDS)
        self._timers.every(
            HEARING_LOG_SECONDS, self._log_hearing, first=HEARING_LOG_SECONDS, relaxed=True
        )
        self._tasks.start(self._register())

    # Members

    @property
    def many(self) -> bool:
        """True if there are too many processes for each to tell all others."""
        return len(self._ips) > MAX_DIRECT_PEERS

    def counts_directly(self) -> bool:
        """Tell whether quotas follow the reports that are heard directly."""
        return not self.many or self.relaying.counts_directly()

    def loads(self) -> list[OthersLoad]:
        """Return what the other processes run, as far as word of it has come."""
        if self.many:
            return self.relaying.loads()
        now = self._timers.now()
        heard = self.table.live_reports(now)
        return [
            load_of(each, self.table.seconds_since_report(each.vm_id, now) or 0.0) for each in heard
        ]

    def unreachable_zones(self) -> frozenset[str]:
        """Return the zones of which nobody is heard any more."""
        if self.many:
            return self.relaying.unreachable_zones()
        return self.table.unreachable_zones(self._timers.now())

    def heard_count(self) -> int:
        """Return the number of other processes of which word comes."""
        if self.many:
            return self.relaying.counts()[1] - 1
        return len(self.table.live_reports(self._timers.now()))

    def member_count(self) -> int:
        """Return the number of entry processes, this one included.

        Notes
        -----
        A process that has just started and knows nobody does not take itself for the only one: when
        64 were killed at once, each began with a quota for itself, and a workspace that sent four
        times its quota got 200 requests through within 0.15 s: 1 to 2 in 100 more than the limit of
        its window.
        """
        if not self._is_table_read and not self.heard_count():
            return ASSUMED_MEMBERS
        if self.many:
            return max(self.relaying.counts()[0], len(self._registered_now()) + 1)
        now = self._timers.now()
        known = {each.vm_id for each in self.table.members(now)} | self._registered_now()
        return len(known - {self._own.vm_id}) + 1

    def _registered_now(self) -> set[str]:
        """Return the other VMs that the member table named a short while ago."""
        now = self._timers.now()
        return {vm_id for vm_id, until in self._registered.items() if until > now}

    def heard_share(self) -> float:
        """Return the part of the members that is heard now, this one included."""
        return min(1.0, (self.heard_count() + 1) / self.member_count())

    def lag(self) -> float:
        """Return the seconds after which this process hears of what another does, in the mean."""
        return RELAYED_SECONDS if self.many else REPORT_SECONDS / 2 + TRAVEL_SECONDS

    def period(self) -> float:
        """Return the seconds between two reports of a process to the same peer."""
        return REPORT_SECONDS * (TICKS_PER_REPORT if self.many else 1)

    def counts_wait(self) -> float:
        """Return the seconds after which a new holder of the duties has heard all counts."""
        return RELAYED_COUNTS_SECONDS if self.many else 0.0

    def starts(self) -> list[float]:
        """Return when the processes that are heard began, on the wall clock; this one included."""
        told = self.relaying.live_relays() if self.many else []
        known = (self._own, *self.table.members(self._timers.now()), *told)
        return [each.incarnation / 1000 for each in known]

    def true_time(self) -> float:
        """Return the wall clock's time, as the median of the members' clocks tells it.

        Notes
        -----
        A VM whose clock was set wrong so agrees with the others while they are the majority.
        """
        now = self._timers.now()
        offsets = [*self.table.clock_offsets(now), self._timers.wall() - now]
        offsets = sorted(offsets + (self.relaying.clocks() if self.many else []))
        return now + offsets[len(offsets) // 2]

    def _log_hearing(self) -> None:
        """Tell how many members are heard in each zone, and who is missing, when that changed."""
        now = self._timers.now()
        heard = self.table.live_reports(now)
        zones = dict(sorted(Counter(each.zone for each in heard).items()))
        names = {each.vm_id for each in heard}
        known = self.table.members(now)
        if self.many:  # only a relay hears directly, and only its zone
            known = [each for each in known if self._is_near(each) and self.relaying.is_relay]
        missing = sorted(each.vm_id for each in known if each.vm_id not in names)
        told = (self.member_count(), self.heard_count(), zones, missing)
        if told == self._hearing:
            return
        self._hearing = told
        self._log.info(
            "peers heard",
            members=told[0],
            heard=told[1],
            directly=zones,
            missing=len(missing),
            named=missing[:MAX_NAMED],
            relay=self.many and self.relaying.is_relay,
        )

    def _register(self) -> Task:
        """Write this process into the member table and read who else is there."""
        read_again = False
        while True:
            try:
                if not self._is_written:
                    value = orjson.dumps({"ip": self._own.ip, "zone": self._own.zone})
                    row = RowWrite(MEMBER_TABLE, self._own.vm_id, value)
                    yield from self._store.transact("", (), (row,))
                    self._is_written = True
                found = yield from self._store.read(MEMBER_TABLE)
            except PlatformError as exc:
                self._log.warning("member table not reached", detail=str(exc))
                yield Sleep(RETRY_SECONDS * (0.5 + self._rng.random()))
                continue
            self._take_members(found.rows)
            if not read_again:
                read_again = True
                yield Sleep(STARTED_SECONDS)
                continue
            yield Sleep(LONELY_SECONDS)
            while self.heard_count() and self._is_written:
                yield Sleep(LONELY_SECONDS)

    def register_again(self) -> None:
        """Write this process into the member table once more: the store may have lost its row."""
        self._is_written = False

    def _take_members(self, rows) -> None:
        self._is_table_read = True
        until = self._timers.now() + LONELY_SECONDS
        for row in rows:
            if row.value is None or row.key == self._own.vm_id:
                continue
            try:
                found = orjson.loads(row.value)
                ip, zone = str(found["ip"]), str(found["zone"])
            except (KeyError, TypeError, orjson.JSONDecodeError) as exc:
                self._log.error("malformed member row", vm=row.key, detail=repr(exc))
                continue
            self._ips.add(ip)
            self.relaying.registered(row.key, zone, ip)
            # A registered VM counts until there was time to hear it.
            self._registered[row.key] = until

    # Reports

    def _tell(self) -> None:
        if not self.many:
            self._send_to(self._ips, self._own_report())
        elif not self.relaying.tick():
            self._send_to(self.relaying.lonely_targets(self._ips), self._own_report())

    def _send_to(self, ips: Iterable[str], report: PeerReport) -> None:
        data = encode_report(report)
        for ip in ips:
            self._send_one(data, ip)

    def send(self, data: bytes, ip: str) -> None:
        """Send a datagram to the process at an IP number."""
        self._send_one(data, ip)

    def _send_one(self, data: bytes, ip: str) -> None:
        self._count(data, "sent")
        self._send(data, (ip, self._port))

    def _count(self, data: bytes, way: str) -> None:
        kind = _kind_of(data)
        self._metrics.count("peer_datagrams_total", way=way, kind=kind)
        self._metrics.count("peer_bytes_total", len(data), way=way, kind=kind)

    def tell_zone(self) -> None:
        """Tell the processes of the own zone at once, if any of them leaves the store to others."""
        if self.many:
            self.relaying.tell_zone_now()
            return
        heard = [
            each for each in self.table.live_reports(self._timers.now()) if self._is_near(each)
        ]
        if any(not each.watches_store for each in heard):
            self._send_to([each.ip for each in heard], without_counts(self._own_report()))

    def tell_leaving(self) -> None:
        """Tell all zones at once that endpoints leave: others may not have heard it themselves."""
        if self.many:
            self.relaying.tell_relays_now()

    def _is_near(self, report: PeerReport) -> bool:
        return report.zone == self._own.zone

    def tell_load(self, sequence: int, changes: Mapping[str, tuple[int, int]]) -> None:
        """Tell at once what changed at endpoints since the report with this number.

        Notes
        -----
        A prompt is read within 20 to 200 ms, so that reports alone, a quarter of a second apart,
        come when it is over. Among many processes the relays are told, of large prompts only.
        """
        note = LoadDelta(self._own.vm_id, self._own.incarnation, sequence, changes)
        if self.many:
            self._tell_large(note)
            return
        data = encode_note(note)
        for each in self.table.live_reports(self._timers.now()):
            self._send_one(data, each.ip)

    def _tell_large(self, note: LoadDelta) -> None:
        """Tell the relays of large prompts, and those who share their endpoints."""
        large = {name: each for name, each in note.changes.items() if each[1] >= NOTED_TOKENS}
        if not large:
            return
        self.relaying.report_now()
        for ip, names in self.sharers(large).items():
            told = replace(note, changes={name: large[name] for name in names})
            self._send_one(encode_note(told), ip)

    def tell_now(self) -> None:
        """Tell at once: something changed that the others should know soon."""
        if self.many:
            self.relaying.report_now()
            self.relaying.tell_zone_now()
        else:
            self._send_to(self._ips, self._own_report())

    def received(self, data: bytes, ip: str) -> None:
        """Take a datagram from an IP number."""
        self._count(data, "received")
        try:
            self._take(data, ip)
        except ValueError as exc:
            self._refuse(ip, str(exc))

    def _take(self, data: bytes, ip: str) -> None:
        """Take a report, a note or a digest.

        Raises
        ------
        ValueError
            If it is malformed, of another version, or tells of another VM than its sender's.
        """
        if is_quota_request(data):
            self.on_question(data, ip)
        elif is_quota_reply(data):
            self.on_reply(data, ip)
        elif is_permit_request(data):
            self.on_permit_question(data, ip)
        elif is_permit_reply(data):
            self.on_permit_reply(data, ip)
        elif is_digest(data):
            digest = decode_digest(data)
            if not self.relaying.may_tell(digest, ip):
                raise ValueError(f"digest of {digest.relay.vm_id}, which has another address")
            self.relaying.received(digest, data)
        elif is_note(data):
            self._received_note(decode_note(data))
        else:
            report = decode_report(data)
            if report.ip != ip:
                raise ValueError(f"report of {report.vm_id}, which has another address")
            self._received_report(report)

    def _refuse(self, ip: str, detail: str) -> None:
        """Count a datagram that is not taken, and tell the first one of each sender."""
        self._metrics.count("peer_datagrams_refused_total")
        if ip not in self._refused and len(self._refused) < MAX_REFUSED_TOLD:
            self._refused.add(ip)
            self._log.warning("datagram refused", sender=ip, detail=detail)

    def _received_report(self, report: PeerReport) -> None:
        now = self._timers.now()
        self.table.set_report_period(self.period())
        gap = self.table.seconds_since_report(report.vm_id, now)
        if not self.table.take(report, now):
            return
        if gap is None:
            # One of the two has just started: it needs the other's counts before the next round.
            self._send_one(encode_report(self._own_report()), report.ip)
        self._ips.add(report.ip)
        self._ips.update(each for each in report.peers if each != self._own.ip)
        self._on_report(report, gap)

    def _received_note(self, note: LoadDelta) -> None:
        """Take a note; among many processes it counts by itself, and its sender is not heard."""
        if self.many or self.table.note(note):
            self._on_note(note)
