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
    is_permit_question,
    is_permit_reply,
)
from flamingofront.process.forwarding.quota_messages import is_question, is_reply
from flamingofront.process.forwarding.relaying import (
    DIGEST_PERIOD_SECONDS,
    TICKS_PER_REPORT,
    Relaying,
    RelayListener,
)
from flamingofront.process.forwarding.reports import (
    LoadDelta,
    PeerReport,
    PeerTable,
    decode_load_delta,
    decode_report,
    encode_load_delta,
    encode_report,
    is_load_delta,
    without_counts,
)
from flamingofront.process.forwarding.sums import PeerLoad, load_from_report
from flamingofront.process.logs import Log
from flamingofront.process.metrics import Metrics
from flamingofront.process.settings import Address
from flamingofront.process.store import RowWrite, TableStore
from flamingofront.process.tasks import Task, TaskRunner
from flamingofront.process.timers import TimerService

__all__ = ["MAX_PEERS_LISTED", "REPORT_PERIOD_SECONDS", "Peers"]

# Reports go out so often that quotas and loads lag by less than a latency objective.
REPORT_PERIOD_SECONDS = DIGEST_PERIOD_SECONDS
# Way of a datagram between two VMs that are busy, with their turn of the processor.
DATAGRAM_DELAY_SECONDS = 0.05
# Most peers that are told directly. With more of them word goes through relays, so that what a
# process sends and hears does not grow with their number.
MAX_DIRECT_PEERS = 16
# Age of word that comes through relays: half of a report's pause, of a digest's to other zones and
# of one to the own, and three ways.
RELAYED_DELAY_SECONDS = 0.8
# A new holder of the duties has heard the counts of all after so long: the relays learn of it
# within a second, and tell them within another one, and once more if that is lost.
RELAYED_USAGE_DELAY_SECONDS = 3.5
# IP numbers of others in a report: a process that knows one peer soon knows all.
MAX_PEERS_LISTED = 4
# Among many processes only prompts that delay others by more than the way of a datagram are told at
# once. With notes of all changes to 16 peers 89 processes took 685 s of processor time for 48 s of
# traffic, without any 583 s for a whole day (one run each, on a busy machine).
LARGE_PROMPT_TOKENS = 1000
MEMBER_TABLE = "entry-vms"
# Entry processes that there are taken to be until the member table was read or a peer was heard: a
# number of the size of usual deployments. It is read within some 20 ms of a start.
ASSUMED_MEMBERS = 100
# Pause between two looks at the member table while nobody is heard.
MEMBER_POLL_SECONDS = 5.0
MEMBER_RETRY_SECONDS = 1.0
# The table is read once more so long after the first time: VMs that start together have registered
# by then, and all choose the same relays.
MEMBER_REREAD_SECONDS = 2.0
# Pause between two looks at who is heard, and the names of missing ones in a line. A line for each
# peer was 38,000 lines at the start of 195 VMs.
LIVENESS_LOG_PERIOD_SECONDS = 1.0
MAX_NAMED_PEERS = 8
# Senders whose refused datagrams are told of in a line.
MAX_LOGGED_REJECTIONS = 64


def _datagram_kind(data: bytes) -> str:
    """Return the kind of a datagram, for the metrics."""
    if is_question(data) or is_reply(data):
        return "quota"
    if is_permit_question(data) or is_permit_reply(data):
        return "limit"
    return "digest" if is_digest(data) else "note" if is_load_delta(data) else "report"


class Peers:
    """Tells the other entry processes of this one, and listens to them.

    Parameters
    ----------
    build_report : callable
        Returns this process's report as it is now.
    send : callable
        Sends a datagram to an IP number and port.
    on_report : callable
        Gets each new report, and the seconds since the sender was heard before (None: never).
    on_load_delta : callable
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
        build_report: Callable[[], PeerReport],
        send: Callable[[bytes, tuple[str, int]], None],
        on_report: Callable[[PeerReport, float | None], None],
        on_load_delta: Callable[[LoadDelta], None],
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
        self._build_report = build_report
        self._send = send
        self._on_report = on_report
        self._on_load_delta = on_load_delta
        self._store = store
        self._tasks = tasks
        self._timers = timers
        self._rng = rng
        self._log = log
        self.relaying = Relaying(own, self.table, self._send_one, relay_listener, timers, rng)
        self._registered: dict[str, float] = {}
        self._is_table_read = False
        self._is_registered = False
        self._logged_liveness: tuple | None = None
        self._rejected_senders: set[str] = set()
        # Get a datagram and the IP number of its sender.
        self.on_permit_request: Callable[[bytes, str], None] = lambda data, ip: None
        self.on_permit_reply: Callable[[bytes, str], None] = lambda data, ip: None
        self.on_quota_request: Callable[[bytes, str], None] = lambda data, ip: None
        self.on_quota_reply: Callable[[bytes, str], None] = lambda data, ip: None
        # Returns the endpoints of which a process has to know at once, by its IP number.
        self.shared_endpoints: Callable[[Iterable[str]], Mapping[str, list[str]]] = (
            lambda endpoints: {}
        )

    def start(self) -> None:
        """Begin to tell and to listen."""
        self._timers.every(
            REPORT_PERIOD_SECONDS,
            self._send_report,
            first=self._rng.random() * REPORT_PERIOD_SECONDS,
        )
        self._timers.every(
            LIVENESS_LOG_PERIOD_SECONDS,
            self._log_liveness,
            first=LIVENESS_LOG_PERIOD_SECONDS,
            relaxed=True,
        )
        self._tasks.start(self._register())

    # Members

    @property
    def is_relayed(self) -> bool:
        """True if there are too many processes for each to tell all others."""
        return len(self._ips) > MAX_DIRECT_PEERS

    def is_counting_directly(self) -> bool:
        """Tell whether quotas follow the reports that are heard directly."""
        return not self.is_relayed or self.relaying.is_counting_directly()

    def peer_loads(self) -> list[PeerLoad]:
        """Return what the other processes run, as far as word of it has come."""
        if self.is_relayed:
            return self.relaying.peer_loads()
        now = self._timers.now()
        heard = self.table.live_reports(now)
        return [
            load_from_report(each, self.table.seconds_since_report(each.vm_id, now) or 0.0)
            for each in heard
        ]

    def unreachable_zones(self) -> frozenset[str]:
        """Return the zones of which nobody is heard any more."""
        if self.is_relayed:
            return self.relaying.unreachable_zones()
        return self.table.unreachable_zones(self._timers.now())

    def live_count(self) -> int:
        """Return the number of other processes of which word comes."""
        if self.is_relayed:
            return self.relaying.count_members()[1] - 1
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
        if not self._is_table_read and not self.live_count():
            return ASSUMED_MEMBERS
        if self.is_relayed:
            return max(self.relaying.count_members()[0], len(self._recently_registered()) + 1)
        now = self._timers.now()
        known = {each.vm_id for each in self.table.members(now)} | self._recently_registered()
        return len(known - {self._own.vm_id}) + 1

    def _recently_registered(self) -> set[str]:
        """Return the other VMs that the member table named a short while ago."""
        now = self._timers.now()
        return {vm_id for vm_id, until in self._registered.items() if until > now}

    def live_share(self) -> float:
        """Return the part of the members that is heard now, this one included."""
        return min(1.0, (self.live_count() + 1) / self.member_count())

    def propagation_delay(self) -> float:
        """Return the seconds after which this process hears of what another does, in the mean."""
        return (
            RELAYED_DELAY_SECONDS
            if self.is_relayed
            else REPORT_PERIOD_SECONDS / 2 + DATAGRAM_DELAY_SECONDS
        )

    def report_period(self) -> float:
        """Return the seconds between two reports of a process to the same peer."""
        return REPORT_PERIOD_SECONDS * (TICKS_PER_REPORT if self.is_relayed else 1)

    def usage_sync_delay(self) -> float:
        """Return the seconds after which a new holder of the duties has heard all counts."""
        return RELAYED_USAGE_DELAY_SECONDS if self.is_relayed else 0.0

    def start_times(self) -> list[float]:
        """Return when the processes that are heard began, on the wall clock; this one included."""
        told = self.relaying.live_relays() if self.is_relayed else []
        known = (self._own, *self.table.members(self._timers.now()), *told)
        return [each.incarnation / 1000 for each in known]

    def cluster_time(self) -> float:
        """Return the wall clock's time, as the median of the members' clocks tells it.

        Notes
        -----
        A VM whose clock was set wrong so agrees with the others while they are the majority.
        """
        now = self._timers.now()
        offsets = [*self.table.clock_offsets(now), self._timers.wall() - now]
        offsets = sorted(offsets + (self.relaying.clock_offsets() if self.is_relayed else []))
        return now + offsets[len(offsets) // 2]

    def _log_liveness(self) -> None:
        """Tell how many members are heard in each zone, and who is missing, when that changed."""
        now = self._timers.now()
        heard = self.table.live_reports(now)
        zones = dict(sorted(Counter(each.zone for each in heard).items()))
        names = {each.vm_id for each in heard}
        known = self.table.members(now)
        if self.is_relayed:  # only a relay hears directly, and only its zone
            known = [each for each in known if self._is_same_zone(each) and self.relaying.is_relay]
        missing = sorted(each.vm_id for each in known if each.vm_id not in names)
        told = (self.member_count(), self.live_count(), zones, missing)
        if told == self._logged_liveness:
            return
        self._logged_liveness = told
        self._log.info(
            "peers heard",
            members=told[0],
            heard=told[1],
            directly=zones,
            missing=len(missing),
            named=missing[:MAX_NAMED_PEERS],
            relay=self.is_relayed and self.relaying.is_relay,
        )

    def _register(self) -> Task:
        """Write this process into the member table and read who else is there."""
        is_reread = False
        while True:
            try:
                if not self._is_registered:
                    value = orjson.dumps({"ip": self._own.ip, "zone": self._own.zone})
                    row = RowWrite(MEMBER_TABLE, self._own.vm_id, value)
                    yield from self._store.transact("", (), (row,))
                    self._is_registered = True
                found = yield from self._store.read(MEMBER_TABLE)
            except PlatformError as exc:
                self._log.warning("member table not reached", detail=str(exc))
                yield Sleep(MEMBER_RETRY_SECONDS * (0.5 + self._rng.random()))
                continue
            self._add_members(found.rows)
            if not is_reread:
                is_reread = True
                yield Sleep(MEMBER_REREAD_SECONDS)
                continue
            yield Sleep(MEMBER_POLL_SECONDS)
            while self.live_count() and self._is_registered:
                yield Sleep(MEMBER_POLL_SECONDS)

    def register_again(self) -> None:
        """Write this process into the member table once more: the store may have lost its row."""
        self._is_registered = False

    def _add_members(self, rows) -> None:
        self._is_table_read = True
        until = self._timers.now() + MEMBER_POLL_SECONDS
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
            self.relaying.add_registered(row.key, zone, ip)
            # A registered VM counts until there was time to hear it.
            self._registered[row.key] = until

    # Reports

    def _send_report(self) -> None:
        if not self.is_relayed:
            self._send_report_to(self._ips, self._build_report())
        elif not self.relaying.run_tick():
            self._send_report_to(self.relaying.direct_targets(self._ips), self._build_report())

    def _send_report_to(self, ips: Iterable[str], report: PeerReport) -> None:
        data = encode_report(report)
        for ip in ips:
            self._send_one(data, ip)

    def send(self, data: bytes, ip: str) -> None:
        """Send a datagram to the process at an IP number."""
        self._send_one(data, ip)

    def _send_one(self, data: bytes, ip: str) -> None:
        self._count_datagram(data, "sent")
        self._send(data, (ip, self._port))

    def _count_datagram(self, data: bytes, way: str) -> None:
        kind = _datagram_kind(data)
        self._metrics.count("peer_datagrams_total", way=way, kind=kind)
        self._metrics.count("peer_bytes_total", len(data), way=way, kind=kind)

    def notify_zone(self) -> None:
        """Tell the processes of the own zone at once, if any of them leaves the store to others."""
        if self.is_relayed:
            self.relaying.send_zone_digest_now()
            return
        heard = [
            each for each in self.table.live_reports(self._timers.now()) if self._is_same_zone(each)
        ]
        if any(not each.watches_store for each in heard):
            self._send_report_to([each.ip for each in heard], without_counts(self._build_report()))

    def broadcast_leaving(self) -> None:
        """Tell all zones at once that endpoints leave: others may not have heard it themselves."""
        if self.is_relayed:
            self.relaying.notify_all_relays()

    def _is_same_zone(self, report: PeerReport) -> bool:
        return report.zone == self._own.zone

    def send_load_delta(self, sequence: int, changes: Mapping[str, tuple[int, int]]) -> None:
        """Tell at once what changed at endpoints since the report with this number.

        Notes
        -----
        A prompt is read within 20 to 200 ms, so that reports alone, a quarter of a second apart,
        come when it is over. Among many processes the relays are told, of large prompts only.
        """
        note = LoadDelta(self._own.vm_id, self._own.incarnation, sequence, changes)
        if self.is_relayed:
            self._send_large_delta(note)
            return
        data = encode_load_delta(note)
        for each in self.table.live_reports(self._timers.now()):
            self._send_one(data, each.ip)

    def _send_large_delta(self, note: LoadDelta) -> None:
        """Tell the relays of large prompts, and those who share their endpoints."""
        large = {
            name: each for name, each in note.changes.items() if each[1] >= LARGE_PROMPT_TOKENS
        }
        if not large:
            return
        self.relaying.send_report_now()
        for ip, names in self.shared_endpoints(large).items():
            told = replace(note, changes={name: large[name] for name in names})
            self._send_one(encode_load_delta(told), ip)

    def broadcast_report(self) -> None:
        """Tell at once: something changed that the others should know soon."""
        if self.is_relayed:
            self.relaying.send_report_now()
            self.relaying.send_zone_digest_now()
        else:
            self._send_report_to(self._ips, self._build_report())

    def receive_datagram(self, data: bytes, ip: str) -> None:
        """Take a datagram from an IP number."""
        self._count_datagram(data, "received")
        try:
            self._dispatch(data, ip)
        except ValueError as exc:
            self._reject_datagram(ip, str(exc))

    def _dispatch(self, data: bytes, ip: str) -> None:
        """Take a report, a note or a digest.

        Raises
        ------
        ValueError
            If it is malformed, of another version, or tells of another VM than its sender's.
        """
        if is_question(data):
            self.on_quota_request(data, ip)
        elif is_reply(data):
            self.on_quota_reply(data, ip)
        elif is_permit_question(data):
            self.on_permit_request(data, ip)
        elif is_permit_reply(data):
            self.on_permit_reply(data, ip)
        elif is_digest(data):
            digest = decode_digest(data)
            if not self.relaying.is_valid_source(digest, ip):
                raise ValueError(f"digest of {digest.relay.vm_id}, which has another address")
            self.relaying.receive_digest(digest, data)
        elif is_load_delta(data):
            self._receive_load_delta(decode_load_delta(data))
        else:
            report = decode_report(data)
            if report.ip != ip:
                raise ValueError(f"report of {report.vm_id}, which has another address")
            self._receive_report(report)

    def _reject_datagram(self, ip: str, detail: str) -> None:
        """Count a datagram that is not taken, and tell the first one of each sender."""
        self._metrics.count("peer_datagrams_refused_total")
        if ip not in self._rejected_senders and len(self._rejected_senders) < MAX_LOGGED_REJECTIONS:
            self._rejected_senders.add(ip)
            self._log.warning("datagram refused", sender=ip, detail=detail)

    def _receive_report(self, report: PeerReport) -> None:
        now = self._timers.now()
        self.table.set_report_period(self.report_period())
        gap = self.table.seconds_since_report(report.vm_id, now)
        if not self.table.store_report(report, now):
            return
        if gap is None:
            # One of the two has just started: it needs the other's counts before the next round.
            self._send_one(encode_report(self._build_report()), report.ip)
        self._ips.add(report.ip)
        self._ips.update(each for each in report.peers if each != self._own.ip)
        self._on_report(report, gap)

    def _receive_load_delta(self, note: LoadDelta) -> None:
        """Take a note; among many processes it counts by itself, and its sender is not heard."""
        if self.is_relayed or self.table.apply_delta(note):
            self._on_load_delta(note)
