"""Gossip between entry processes: membership, liveness, and the exchange of reports."""

import math
import random
from collections import Counter
from collections.abc import Callable, Collection, Iterable, Mapping
from dataclasses import replace

import orjson

from flamingofront.connection.inbox import DatagramKind
from flamingofront.decisions.gossip_scope import EVIDENCE_PERIOD_SECONDS, GossipScope
from flamingofront.errors import PlatformError
from flamingofront.messages import Sleep
from flamingofront.process.brief_cache import BriefCache
from flamingofront.process.forwarding.digests import decode_digest, is_digest, is_zone_digest
from flamingofront.process.forwarding.feed_check import WatcherRank
from flamingofront.process.forwarding.gossip_traffic import GossipTraffic
from flamingofront.process.forwarding.limit_messages import (
    is_permit_reply,
    is_permit_request,
)
from flamingofront.process.forwarding.origin_messages import is_origin_datagram
from flamingofront.process.forwarding.pacing import MAX_BURST_BYTES
from flamingofront.process.forwarding.quota_messages import is_quota_reply, is_quota_request
from flamingofront.process.forwarding.relaying import (
    DIGEST_PERIOD_SECONDS,
    REPORT,
    TICKS_PER_REPORT,
    Relaying,
    RelayListener,
    choose_scope,
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
from flamingofront.process.rate_limited import RateLimitedAction
from flamingofront.process.rendezvous import rank
from flamingofront.process.settings import Address
from flamingofront.process.store import RowWrite, TableStore
from flamingofront.process.tasks import Task, TaskRunner
from flamingofront.process.timers import TimerService

__all__ = [
    "MAX_DIRECT_PEERS",
    "MAX_PEERS_LISTED",
    "REPORT_PERIOD_SECONDS",
    "Peers",
    "classify_datagram",
]

# Short enough that quotas and loads lag by less than a latency objective.
REPORT_PERIOD_SECONDS = DIGEST_PERIOD_SECONDS
# Delay of a datagram between two busy VMs, including scheduling.
DATAGRAM_DELAY_SECONDS = 0.05
# Time until an answer of the store is known to the other processes, besides the report period: two
# datagram delays and the period of the checks.
ANSWER_SHARING_DELAY_SECONDS = 0.2
# Largest number of peers that get reports directly. With more, reports go through relays, so that
# the traffic of a process does not grow with their number.
MAX_DIRECT_PEERS = 16
# Mean age of data that arrives through relays: half a report period, half a digest period to the
# other zones and half of one within the zone, plus three datagram delays.
RELAYED_DELAY_SECONDS = 0.8
# Time until a new leader has received the usage of all processes: the relays learn of it within a
# second, send the usage within another second, and once more in case it is lost.
RELAYED_USAGE_DELAY_SECONDS = 3.5
# IP addresses of peers in a report: a process that has one peer's address soon has all.
MAX_PEERS_LISTED = 4
# Without relays, one report in so many repeats what this process has learned of crashes. Each
# process has already told all others what it has observed.
TICKS_PER_EVIDENCE = 4
# With relays, only prompts that delay other requests by more than a datagram's delay are reported
# at once. With load deltas of all changes to 16 peers, 89 processes took 685 s of processor time
# for 48 s of traffic; without any, 583 s for a whole day (one run each, on a busy machine).
LARGE_PROMPT_TOKENS = 1000
MEMBER_TABLE = "entry-vms"
# Assumed number of entry processes until the member table is read or a peer reports: the size of a
# usual deployment. The table is read within about 20 ms of a start.
ASSUMED_MEMBERS = 100
# Time for which the share of live members and the median of their clocks are kept. They are used
# several times for each request and message, and change with the reports of others.
KEPT_SECONDS = 0.05
# Period of reading the member table while no peer is live.
MEMBER_POLL_SECONDS = 5.0
MEMBER_RETRY_SECONDS = 1.0
# Delay of the second read of the table: VMs that start together have registered by then, so all
# choose the same relays.
MEMBER_REREAD_SECONDS = 2.0
# Period of the checks for the log line on live peers, and the missing peers named in it. A line for
# each peer gave 38,000 lines at the start of 195 VMs.
LIVENESS_LOG_PERIOD_SECONDS = 1.0
MAX_NAMED_PEERS = 8
# Shortest interval between two log lines on messages that were too long.
OMISSION_LOG_PERIOD_SECONDS = 1.0
# Number of senders for which a rejected datagram is logged.
MAX_LOGGED_REJECTIONS = 64


def _datagram_kind(data: bytes) -> str:
    """Return the kind of a datagram, as the metrics label it."""
    if is_quota_request(data) or is_quota_reply(data):
        return "quota"
    if is_permit_request(data) or is_permit_reply(data):
        return "limit"
    if is_origin_datagram(data):
        return "origin"
    return "digest" if is_digest(data) else "note" if is_load_delta(data) else "report"


_URGENT = DatagramKind(is_urgent=True)
_URGENT_DIGEST = DatagramKind(is_urgent=True, subject="digest")
_URGENT_REPORT = DatagramKind(is_urgent=True, subject=REPORT)
_OTHER = DatagramKind()


def classify_datagram(data: bytes) -> DatagramKind:
    """Return how a datagram is treated while it waits to be processed.

    Notes
    -----
    Digests and reports come first: from them a process learns that endpoints leave. They hold
    totals and states, so that a newer one replaces one that has waited for long. Digests between
    zones and those of usage replace nothing: each may be about other processes.
    """
    if is_digest(data):
        return _URGENT_DIGEST if is_zone_digest(data) else _URGENT
    is_report = not (
        is_load_delta(data)
        or is_quota_request(data)
        or is_quota_reply(data)
        or is_permit_request(data)
        or is_permit_reply(data)
        or is_origin_datagram(data)
    )
    return _URGENT_REPORT if is_report else _OTHER


class Peers:
    """Sends this process's reports to the other entry processes, and receives theirs.

    Parameters
    ----------
    identity : PeerReport
        Identity of this process.
    port : int
        UDP port of all entry processes.
    seeds : tuple of Address
        Peers to contact first.
    build_report : callable
        Returns a new report of this process, with evidence on crashes of a `GossipScope`.
    send : callable
        Sends a datagram to an IP address and port.
    on_report : callable
        Called with each new report, and the seconds since the sender's previous one (None for the
        first).
    on_load_delta : callable
        Called with each load delta received.
    relay_listener : RelayListener
        Callbacks for data from relays, in large deployments.

    Attributes
    ----------
    is_table_read : bool
        True once the member table was read.
    relaying : Relaying
        Gossip through relays, used in large deployments.
    """

    def __init__(
        self,
        identity: PeerReport,
        port: int,
        seeds: tuple[Address, ...],
        build_report: Callable[[GossipScope], PeerReport],
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
        self._traffic = GossipTraffic(log)
        self.table = PeerTable(identity.vm_id)
        self._identity = identity
        self._port = port
        self._ips = {each.host for each in seeds} - {identity.ip}
        self._build_report = build_report
        self._send = send
        self._on_report = on_report
        self._on_load_delta = on_load_delta
        self._store = store
        self._tasks = tasks
        self._timers = timers
        self._rng = rng
        self._log = log
        self.relaying = Relaying(identity, self.table, self._send_one, relay_listener, timers, rng)
        self.relaying.on_omitted = self._record_omitted
        self._ticks = 0
        # Asks for a message with the evidence on crashes that this process has observed, and with
        # what it has learned.
        self.broadcast_evidence = RateLimitedAction(
            self._broadcast_evidence, EVIDENCE_PERIOD_SECONDS, timers
        )
        self.forward_evidence = RateLimitedAction(
            self.relaying.forward_evidence, EVIDENCE_PERIOD_SECONDS, timers
        )
        self._omission_logged_at = -math.inf
        self._registered: dict[str, float] = {}
        self.is_table_read = False
        self._is_registered = False
        self._logged_liveness: tuple | None = None
        self._kept: BriefCache[float] = BriefCache(KEPT_SECONDS, timers.now)
        self._rejected_senders: set[str] = set()
        # Called with a datagram and the IP address of its sender.
        self.on_permit_request: Callable[[bytes, str], None] = lambda data, ip: None
        self.on_permit_reply: Callable[[bytes, str], None] = lambda data, ip: None
        self.on_quota_request: Callable[[bytes, str], None] = lambda data, ip: None
        self.on_quota_reply: Callable[[bytes, str], None] = lambda data, ip: None
        self.on_origin_datagram: Callable[[bytes, str], None] = lambda data, ip: None
        # Returns the longest time for which the datagram that is processed now may have waited.
        self.seconds_unread: Callable[[], float] = lambda: 0.0
        self.relaying.seconds_unread = lambda: self.seconds_unread()
        # Returns, by IP address, which of the given endpoints that process prefers too.
        self.shared_endpoints: Callable[[Iterable[str]], Mapping[str, list[str]]] = (
            lambda endpoints: {}
        )

    def start(self) -> None:
        """Start sending reports, and register in the member table."""
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
        """True if there are too many processes for each to send reports to all others."""
        return len(self._ips) > MAX_DIRECT_PEERS

    def known_ips(self) -> list[str]:
        """Return the IP addresses of all other processes, live or not."""
        return sorted(self._ips)

    def is_counting_directly(self) -> bool:
        """Return True if quota consumption is counted from direct reports, not from digests."""
        return not self.is_relayed or self.relaying.is_counting_directly()

    def peer_loads(self) -> list[PeerLoad]:
        """Return the load of the other processes, from their reports or from digests."""
        if self.is_relayed:
            return self.relaying.peer_loads()
        now = self._timers.now()
        live = self.table.live_reports(now)
        return [
            load_from_report(each, self.table.seconds_since_report(each.vm_id, now) or 0.0)
            for each in live
        ]

    def peer_delays(self) -> list[float]:
        """Return the delays until other processes read a new connection, in seconds."""
        return [
            each.delay_ms / 1000 for each in self._direct_reports() if each.delay_ms is not None
        ]

    def delays_by_ip(self) -> dict[str, float]:
        """Return the same by IP address, of the processes that are not shutting down."""
        return {
            each.address.rpartition(":")[0]: each.delay_ms / 1000
            for each in self._direct_reports()
            if each.delay_ms is not None and not each.leaving
        }

    def _direct_reports(self) -> list[PeerReport]:
        """Return the last reports of the live processes that send theirs to this one."""
        reports = self.table.live_reports(self._timers.now())
        return reports + self.relaying.live_relays() if self.is_relayed else reports

    def unreachable_zones(self) -> frozenset[str]:
        """Return the zones without a live member."""
        if self.is_relayed:
            return self.relaying.unreachable_zones()
        return self.table.unreachable_zones(self._timers.now())

    def live_count(self) -> int:
        """Return the number of other live processes."""
        if self.is_relayed:
            return self.relaying.count_members()[1] - 1
        return len(self.table.live_reports(self._timers.now()))

    def member_count(self) -> int:
        """Return the number of entry processes, including this one.

        Notes
        -----
        A process that has just started without any peer does not assume that it is the only one.
        After 64 processes were killed at once, each assumed the whole quota for itself, and a
        workspace that sent four times its quota got 200 requests admitted within 0.15 s, 1 to 2 %
        more than the limit of its window.
        """
        if not self.is_table_read and not self.live_count():
            return ASSUMED_MEMBERS
        if self.is_relayed:
            return max(self.relaying.count_members()[0], len(self._list_recently_registered()) + 1)
        now = self._timers.now()
        vm_ids = {each.vm_id for each in self.table.members(now)} | self._list_recently_registered()
        return len(vm_ids - {self._identity.vm_id}) + 1

    def _list_recently_registered(self) -> set[str]:
        """Return the other VMs that were in the member table at a recent read."""
        now = self._timers.now()
        return {vm_id for vm_id, until in self._registered.items() if until > now}

    def live_share(self) -> float:
        """Return the share of live members among all members, including this process.

        Notes
        -----
        It is up to `KEPT_SECONDS` old.
        """
        return self._kept.get("live share", self._compute_live_share)

    def _compute_live_share(self) -> float:
        return min(1.0, (self.live_count() + 1) / self.member_count())

    def propagation_delay(self) -> float:
        """Return the mean delay in seconds until a change at one process reaches another."""
        return (
            RELAYED_DELAY_SECONDS
            if self.is_relayed
            else REPORT_PERIOD_SECONDS / 2 + DATAGRAM_DELAY_SECONDS
        )

    def report_period(self) -> float:
        """Return the seconds between two reports of a process to the same peer."""
        return REPORT_PERIOD_SECONDS * (TICKS_PER_REPORT if self.is_relayed else 1)

    def usage_sync_delay(self) -> float:
        """Return the seconds until a new leader has received the usage of all processes."""
        return RELAYED_USAGE_DELAY_SECONDS if self.is_relayed else 0.0

    def rank_as_watcher(self) -> WatcherRank:
        """Return this process's rank among those that watch the store."""
        reports = (
            self.relaying.live_relays()
            if self.is_relayed
            else self.table.live_reports(self._timers.now())
        )
        watchers = {
            each.vm_id
            for each in reports
            if each.watches_store and not each.store_unreachable and not each.leaving
        }
        ranked = rank("store watchers", {*watchers, self._identity.vm_id})
        seconds = self.report_period() + ANSWER_SHARING_DELAY_SECONDS
        return WatcherRank(ranked.index(self._identity.vm_id), seconds)

    def start_times(self) -> list[float]:
        """Return the wall-clock start times of the live processes, including this one."""
        relays = self.relaying.live_relays() if self.is_relayed else []
        reports = (self._identity, *self.table.members(self._timers.now()), *relays)
        return [each.incarnation / 1000 for each in reports]

    def cluster_time(self) -> float:
        """Return the wall-clock time as the median of the members' clocks, in seconds.

        Notes
        -----
        A VM with a wrong clock thus agrees with the others, as long as most clocks are right.
        """
        return self._timers.now() + self._kept.get("clock offset", self._find_clock_offset)

    def _find_clock_offset(self) -> float:
        """Return the median of the members' wall clocks minus the local monotonic clock."""
        now = self._timers.now()
        offsets = [*self.table.clock_offsets(now), self._timers.wall() - now]
        offsets = sorted(offsets + (self.relaying.relay_clock_offsets() if self.is_relayed else []))
        return offsets[len(offsets) // 2]

    def _log_liveness(self) -> None:
        """Log the last period's traffic, and the live and missing members if they changed."""
        self._traffic.end_period(len(self.relaying.sender))
        now = self._timers.now()
        live = self.table.live_reports(now)
        zones = dict(sorted(Counter(each.zone for each in live).items()))
        live_ids = {each.vm_id for each in live}
        expected = self.table.members(now)
        if self.is_relayed:  # only relays receive direct reports, of their own zone
            expected = [
                each for each in expected if self._is_in_own_zone(each) and self.relaying.is_relay
            ]
        missing = sorted(each.vm_id for each in expected if each.vm_id not in live_ids)
        status = (self.member_count(), self.live_count(), zones, missing)
        if status == self._logged_liveness:
            return
        self._logged_liveness = status
        self._log.info(
            "live peers",
            members=status[0],
            heard=status[1],
            directly=zones,
            missing=len(missing),
            named=missing[:MAX_NAMED_PEERS],
            relay=self.is_relayed and self.relaying.is_relay,
        )

    def _register(self) -> Task:
        """Write this process into the member table, and read the other members."""
        is_reread = False
        while True:
            try:
                if not self._is_registered:
                    value = orjson.dumps({"ip": self._identity.ip, "zone": self._identity.zone})
                    row = RowWrite(MEMBER_TABLE, self._identity.vm_id, value)
                    yield from self._store.transact("", (), (row,))
                    self._is_registered = True
                found = yield from self._store.read(MEMBER_TABLE)
            except PlatformError as exc:
                self._log.warning("member table unavailable", detail=str(exc))
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
        """Write this process into the member table again: a restored store may lack its row."""
        self._is_registered = False

    def _add_members(self, rows) -> None:
        """Add the processes in the rows of the member table; malformed rows are logged."""
        self.is_table_read = True
        self._kept.clear()
        until = self._timers.now() + MEMBER_POLL_SECONDS
        for row in rows:
            if row.value is None or row.key == self._identity.vm_id:
                continue
            try:
                data = orjson.loads(row.value)
                ip, zone = str(data["ip"]), str(data["zone"])
            except (KeyError, TypeError, orjson.JSONDecodeError) as exc:
                self._log.error("malformed member row", vm=row.key, detail=repr(exc))
                continue
            self._ips.add(ip)
            self.relaying.add_registered(row.key, zone, ip)
            # A registered VM counts as a member until it has had time to report.
            self._registered[row.key] = until

    # Sending

    def _send_report(self) -> None:
        self._ticks += 1
        scope = choose_scope(self._ticks, TICKS_PER_EVIDENCE)
        if not self.is_relayed:
            self._send_report_to(self._ips, self._build_report(scope))
        elif not self.relaying.run_tick():
            targets = self.relaying.direct_targets(self._ips)
            self._send_report_to(targets, self._build_report(scope))

    def _send_report_to(self, ips: Collection[str], report: PeerReport) -> None:
        """Send a report, paced if a small link does not take it to all addressees at once."""
        data = encode_report(report, self._record_omitted)
        sender = self.relaying.sender
        is_paced = not self.is_relayed and (
            len(sender) > 0 or len(ips) * len(data) > MAX_BURST_BYTES
        )
        for ip in ips:
            if is_paced:
                sender.send(data, ip, REPORT)
            else:
                self._send_one(data, ip)

    def _record_omitted(self, names: tuple[str, ...]) -> None:
        """Count a message that was too long, and log what was left out, once a second."""
        self._metrics.count("peer_messages_shortened_total")
        now = self._timers.now()
        if now - self._omission_logged_at >= OMISSION_LOG_PERIOD_SECONDS:
            self._omission_logged_at = now
            self._log.warning("message shortened", omitted=names)

    def send(self, data: bytes, ip: str) -> None:
        """Send a datagram to the process at an IP address."""
        self._send_one(data, ip)

    def _send_one(self, data: bytes, ip: str) -> None:
        self._count_datagram(data, "sent")
        self._send(data, (ip, self._port))

    def _count_datagram(self, data: bytes, direction: str) -> None:
        kind = _datagram_kind(data)
        self._metrics.count("peer_datagrams_total", way=direction, kind=kind)
        self._metrics.count("peer_bytes_total", len(data), way=direction, kind=kind)
        self._traffic.record(direction, kind, len(data))

    def notify_zone(self) -> None:
        """Send a report to the own zone at once, if any member there does not watch the store."""
        if self.is_relayed:
            self.relaying.send_zone_digest_now()
            return
        live = [
            each
            for each in self.table.live_reports(self._timers.now())
            if self._is_in_own_zone(each)
        ]
        if any(not each.watches_store for each in live):
            report = self._build_report(GossipScope.NONE)
            self._send_report_to([each.ip for each in live], without_counts(report))

    def broadcast_departures(self) -> None:
        """Report endpoints that left to the relays of all zones at once, in large deployments."""
        if self.is_relayed:
            self.relaying.notify_all_relays()

    def _is_in_own_zone(self, report: PeerReport) -> bool:
        return report.zone == self._identity.zone

    def send_load_delta(self, sequence: int, changes: Mapping[str, tuple[int, int]]) -> None:
        """Send load changes since the report number `sequence` to peers at once.

        Notes
        -----
        An engine reads a prompt within 20 to 200 ms, so reports every 250 ms alone would arrive too
        late. In large deployments only large prompts are sent, to the relays and to the processes
        that prefer the same endpoints.
        """
        delta = LoadDelta(self._identity.vm_id, self._identity.incarnation, sequence, changes)
        if self.is_relayed:
            self._send_large_delta(delta)
            return
        data = encode_load_delta(delta)
        for each in self.table.live_reports(self._timers.now()):
            self._send_one(data, each.ip)

    def _send_large_delta(self, delta: LoadDelta) -> None:
        """Send large prompts to the relays and to processes that prefer their endpoints."""
        large = {
            name: each for name, each in delta.changes.items() if each[1] >= LARGE_PROMPT_TOKENS
        }
        if not large:
            return
        self.relaying.send_loads_now()
        for ip, names in self.shared_endpoints(large).items():
            part = replace(delta, changes={name: large[name] for name in names})
            self._send_one(encode_load_delta(part), ip)

    def broadcast_report(self) -> None:
        """Send the local report at once, after a change that the others need soon."""
        if self.is_relayed:
            self.relaying.send_report_now(GossipScope.OWN)
            self.relaying.send_zone_digest_now()
        else:
            self._send_report_to(self._ips, self._build_report(GossipScope.OWN))

    def _broadcast_evidence(self) -> None:
        """Send the evidence on crashes that this process has observed."""
        if self.is_relayed:
            self.relaying.send_report_now(GossipScope.NEWS)
            self.relaying.forward_evidence()
        else:
            report = without_counts(self._build_report(GossipScope.NEWS))
            self._send_report_to(self._ips, report)

    def receive_datagram(self, data: bytes, ip: str) -> None:
        """Process a datagram from an IP address; malformed ones are counted and logged."""
        self._count_datagram(data, "received")
        try:
            self._dispatch(data, ip)
        except ValueError as exc:
            self._reject_datagram(ip, str(exc))

    def _dispatch(self, data: bytes, ip: str) -> None:
        """Decode a datagram by its kind and pass it on.

        Raises
        ------
        ValueError
            If it is malformed, of another version, or not sent from the VM that it names.
        """
        if is_quota_request(data):
            self.on_quota_request(data, ip)
        elif is_quota_reply(data):
            self.on_quota_reply(data, ip)
        elif is_permit_request(data):
            self.on_permit_request(data, ip)
        elif is_permit_reply(data):
            self.on_permit_reply(data, ip)
        elif is_origin_datagram(data):
            self.on_origin_datagram(data, ip)
        elif is_digest(data):
            digest = decode_digest(data)
            if not self.relaying.is_valid_source(digest, ip):
                raise ValueError(f"digest of {digest.relay.vm_id} from another address")
            self.relaying.receive_digest(digest, data)
        elif is_load_delta(data):
            self._receive_load_delta(decode_load_delta(data))
        else:
            report = decode_report(data)
            if report.ip != ip:
                raise ValueError(f"report of {report.vm_id} from another address")
            self._receive_report(report)

    def _reject_datagram(self, ip: str, detail: str) -> None:
        """Count a rejected datagram, and log the first one of each sender."""
        self._metrics.count("peer_datagrams_refused_total")
        if ip not in self._rejected_senders and len(self._rejected_senders) < MAX_LOGGED_REJECTIONS:
            self._rejected_senders.add(ip)
            self._log.warning("datagram rejected", sender=ip, detail=detail)

    def _receive_report(self, report: PeerReport) -> None:
        now = self._timers.now()
        self.table.set_report_period(self.report_period())
        gap = self.table.seconds_since_report(report.vm_id, now)
        if not self.table.store_report(report, now, self.seconds_unread()):
            return
        if gap is None:
            self._kept.clear()
            # The first report of a sender: one of the two has just started and needs the other's
            # state before the next period.
            report_back = self._build_report(GossipScope.ALL)
            answer = encode_report(report_back, self._record_omitted)
            self._send_one(answer, report.ip)
        self._ips.add(report.ip)
        self._ips.update(each for each in report.peers if each != self._identity.ip)
        self._on_report(report, gap)

    def _receive_load_delta(self, delta: LoadDelta) -> None:
        """Apply a load delta; with relays its sender needs no stored report."""
        if self.is_relayed or self.table.apply_delta(delta):
            self._on_load_delta(delta)
