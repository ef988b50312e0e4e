"""Hearing of the other entry processes: who they are, what they hold, what they know."""

import math
import random
from collections import Counter
from collections.abc import Callable, Iterable, Mapping

import orjson

from flamingofront.errors import PlatformError
from flamingofront.messages import Sleep
from flamingofront.process.forwarding.reports import (
    LoadNote,
    PeerReport,
    PeerTable,
    decode_note,
    decode_report,
    encode_note,
    encode_report,
    is_note,
    without_counts,
)
from flamingofront.process.logs import Log
from flamingofront.process.rendezvous import rank
from flamingofront.process.settings import Address
from flamingofront.process.store import RowWrite, TableStore
from flamingofront.process.tasks import Task, TaskRunner
from flamingofront.process.timers import TimerService

__all__ = ["MAX_PEERS_TOLD", "REPORT_SECONDS", "Peers"]

# Reports go out so often that quotas and loads lag by less than a latency objective.
REPORT_SECONDS = 0.25
# Way of a datagram between two VMs that are busy, with their turn of the processor.
TRAVEL_SECONDS = 0.05
# Peers told at one time: with more members each hears from a process less often, so that the
# traffic of one process does not grow with their number.
MAX_TOLD = 16
# With more members than that, those that keep counts for the holder of the duties are told them so
# often that a window is complete at the holder well within the two seconds for which it waits.
COUNTS_SECONDS = 0.5
# A new holder of the duties has heard the counts of all after so long: the others learn of it with
# its next report, tell it within half a second, and once more if that is lost.
COUNTS_HEARD_SECONDS = 1.5
# Processes, each in a zone of its own, that keep the counts of all, so that those of a process that
# dies are not lost while one of them lives.
COUNT_KEEPERS = 3
# IP numbers of others in a report: a process that knows one peer soon knows all.
MAX_PEERS_TOLD = 4
# Peers told at once what was placed at an endpoint. A prompt is read within 20 to 200 ms, so that
# reports alone, a quarter of a second apart, come when it is over. Among many members only a few
# are told, and only of prompts that delay others by more than the way of a datagram: with notes of
# all changes 89 processes took 685 s of processor time for 48 s of traffic, without any 583 s for a
# whole day (one run each, on a busy machine).
MAX_NOTED = 16
FEW_NOTED = 8
NOTED_TOKENS = 1000
MEMBER_TABLE = "entry-vms"
# Pause between two looks at the member table while nobody is heard.
LONELY_SECONDS = 5.0
RETRY_SECONDS = 1.0
# Pause between two looks at who is heard, and the names of missing ones in a line. A line for each
# peer was 38,000 lines at the start of 195 VMs.
HEARING_LOG_SECONDS = 1.0
MAX_NAMED = 8


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
    """

    def __init__(
        self,
        own: PeerReport,
        port: int,
        seeds: tuple[Address, ...],
        own_report: Callable[[], PeerReport],
        send: Callable[[bytes, tuple[str, int]], None],
        on_report: Callable[[PeerReport, float | None], None],
        on_note: Callable[[LoadNote], None],
        store: TableStore,
        tasks: TaskRunner,
        timers: TimerService,
        rng: random.Random,
        log: Log,
    ):
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
        self._order: list[str] = []
        self._counts_told_at = -math.inf
        self._registered: dict[str, float] = {}
        self._hearing: tuple[dict[str, int], list[str]] = ({}, [])

    def start(self) -> None:
        """Begin to tell and to listen."""
        self._timers.every(REPORT_SECONDS, self._tell, first=self._rng.random() * REPORT_SECONDS)
        self._timers.every(HEARING_LOG_SECONDS, self._log_hearing, first=HEARING_LOG_SECONDS)
        self._tasks.start(self._register())

    # Members

    def member_count(self) -> int:
        """Return the number of entry processes, this one included."""
        now = self._timers.now()
        known = {each.vm_id for each in self.table.members(now)}
        known.update(vm_id for vm_id, until in self._registered.items() if until > now)
        return len(known - {self._own.vm_id}) + 1

    def heard_share(self) -> float:
        """Return the part of the members that is heard now, this one included."""
        heard = len(self.table.heard(self._timers.now())) + 1
        return min(1.0, heard / self.member_count())

    def lag(self) -> float:
        """Return the seconds after which this process hears of what another does, in the mean."""
        return self._period() / 2 + TRAVEL_SECONDS

    def _period(self) -> float:
        """Return the seconds between two reports of a process to the same peer."""
        return REPORT_SECONDS * max(1.0, len(self._ips) / MAX_TOLD)

    def true_time(self) -> float:
        """Return the wall clock's time, as the median of the members' clocks tells it.

        Notes
        -----
        A VM whose clock was set wrong so agrees with the others while they are the majority.
        """
        now = self._timers.now()
        offsets = sorted([*self.table.clock_offsets(now), self._timers.wall() - now])
        return now + offsets[len(offsets) // 2]

    def _log_hearing(self) -> None:
        """Tell how many members are heard in each zone, and who is missing, when that changed."""
        now = self._timers.now()
        heard = self.table.heard(now)
        zones = dict(sorted(Counter(each.zone for each in heard).items()))
        names = {each.vm_id for each in heard}
        missing = sorted(each.vm_id for each in self.table.members(now) if each.vm_id not in names)
        if (zones, missing) == self._hearing:
            return
        self._hearing = (zones, missing)
        self._log.info("peers heard", zones=zones, missing=len(missing), named=missing[:MAX_NAMED])

    def _register(self) -> Task:
        """Write this process into the member table and read who else is there."""
        written = False
        while True:
            try:
                if not written:
                    value = orjson.dumps({"ip": self._own.ip})
                    row = RowWrite(MEMBER_TABLE, self._own.vm_id, value)
                    yield from self._store.transact("", (), (row,))
                    written = True
                found = yield from self._store.read(MEMBER_TABLE)
            except PlatformError as exc:
                self._log.warning("member table not reached", detail=str(exc))
                yield Sleep(RETRY_SECONDS * (0.5 + self._rng.random()))
                continue
            self._take_members(found.rows)
            yield Sleep(LONELY_SECONDS)
            while self.table.heard(self._timers.now()):
                yield Sleep(LONELY_SECONDS)

    def _take_members(self, rows) -> None:
        until = self._timers.now() + LONELY_SECONDS
        for row in rows:
            if row.value is None or row.key == self._own.vm_id:
                continue
            try:
                self._ips.add(orjson.loads(row.value)["ip"])
            except (KeyError, TypeError, orjson.JSONDecodeError) as exc:
                self._log.error("malformed member row", vm=row.key, detail=repr(exc))
                continue
            # A registered VM counts until there was time to hear it.
            self._registered[row.key] = until

    # Reports

    def _tell(self) -> None:
        report = self._own_report()
        if len(self._ips) <= MAX_TOLD:
            self._send_to(self._ips, report)
            return
        self._tell_counts(report)
        if len(self._order) < MAX_TOLD:
            others = list(self._ips.difference(self._order))
            self._rng.shuffle(others)
            self._order += others
        told, self._order = self._order[:MAX_TOLD], self._order[MAX_TOLD:]
        self._send_to(told, without_counts(report))

    def _send_to(self, ips: Iterable[str], report: PeerReport) -> None:
        data = encode_report(report)
        for ip in ips:
            self._send(data, (ip, self._port))

    def counts_wait(self) -> float:
        """Return the seconds after which a new holder of the duties knows the counts of all."""
        return COUNTS_HEARD_SECONDS if len(self._ips) > MAX_TOLD else 0.0

    def _tell_counts(self, report: PeerReport) -> None:
        """Tell the processes that need this one's counts, now and then."""
        now = self._timers.now()
        if now - self._counts_told_at < COUNTS_SECONDS:
            return
        self._counts_told_at = now
        self._send_to(self._count_keepers(), report)

    def _count_keepers(self) -> set[str]:
        """Return the IP numbers of the duties' holder and of those that keep counts for it."""
        heard = {each.vm_id: each for each in self.table.heard(self._timers.now())}
        members = {**heard, self._own.vm_id: self._own}
        first_of_zone: dict[str, PeerReport] = {}
        for vm_id in rank("counts", members):
            first_of_zone.setdefault(members[vm_id].zone, members[vm_id])
        keepers = {each.ip for each in list(first_of_zone.values())[:COUNT_KEEPERS]}
        holder = max(heard.values(), key=lambda each: each.fencing, default=None)
        if holder is not None and holder.fencing:
            keepers.add(holder.ip)
        return keepers - {self._own.ip}

    def tell_zone(self) -> None:
        """Tell the peers of the own zone at once."""
        heard = self.table.heard(self._timers.now())
        ips = [each.ip for each in heard if each.zone == self._own.zone]
        self._send_to(ips, without_counts(self._own_report()))

    def tell_load(self, sequence: int, changes: Mapping[str, tuple[int, int]]) -> None:
        """Tell some peers at once what changed at endpoints since the report with this number.

        Notes
        -----
        Those of the own zone come first: they use the same endpoints most, and bytes within a zone
        are free.
        """
        heard = self.table.heard(self._timers.now())
        most = MAX_NOTED
        if len(self._ips) > MAX_TOLD:
            most = FEW_NOTED
            changes = {name: each for name, each in changes.items() if each[1] >= NOTED_TOKENS}
        if not changes:
            return
        self._rng.shuffle(heard)
        heard.sort(key=lambda each: each.zone != self._own.zone)
        note = LoadNote(self._own.vm_id, self._own.incarnation, sequence, changes)
        data = encode_note(note)
        for each in heard[:most]:
            self._send(data, (each.ip, self._port))

    def tell_now(self) -> None:
        """Tell all peers at once: something changed that they should know soon."""
        self._order = []
        report = self._own_report()
        self._send_to(self._count_keepers(), report)
        self._send_to(self._ips, without_counts(report) if len(self._ips) > MAX_TOLD else report)

    def received(self, data: bytes) -> None:
        """Take a datagram."""
        if is_note(data):
            self._received_note(data)
            return
        try:
            report = decode_report(data)
        except ValueError as exc:
            self._log.error("datagram refused", detail=str(exc))
            return
        now = self._timers.now()
        self.table.expect_every(self._period())
        gap = self.table.gap(report.vm_id, now)
        if not self.table.take(report, now):
            return
        if gap is None:
            # One of the two has just started: it needs the other's counts before the next round.
            self._send(encode_report(self._own_report()), (report.ip, self._port))
        self._ips.add(report.ip)
        self._ips.update(each for each in report.peers if each != self._own.ip)
        self._on_report(report, gap)

    def _received_note(self, data: bytes) -> None:
        try:
            note = decode_note(data)
        except ValueError as exc:
            self._log.error("datagram refused", detail=str(exc))
            return
        if self.table.note(note):
            self._on_note(note)
