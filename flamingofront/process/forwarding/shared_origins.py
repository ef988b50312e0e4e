"""Origins of streams over all entry processes: announced to a few peers, and asked for.

A process announces the version of each stream just before it sends the first event to the caller.
An attempt that brings no event is not announced: a further attempt may begin the stream at another
version, and not all peers may hear of it. Peers keep origins in memory for a bounded time. An
announcement may be lost: a stream whose version is not known is not continued.
"""

import itertools
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field, replace

from flamingofront.decisions.stream_origin import StreamOrigin, VersionHistory
from flamingofront.process.forwarding.origin_members import OriginMembers
from flamingofront.process.forwarding.origin_messages import (
    MAX_RECORDS_PER_DATAGRAM,
    AnnouncedOrigin,
    OriginReply,
    OriginRequest,
    decode_announcement,
    decode_origin_reply,
    decode_origin_request,
    encode_announcement,
    encode_origin_reply,
    encode_origin_request,
    is_announcement,
    is_origin_reply,
)
from flamingofront.process.metrics import Metrics
from flamingofront.process.timers import Timer, TimerService
from flamingofront.request.stream_origins import (
    RESUME_SECONDS,
    Evidence,
    LocalOrigins,
    OriginLookup,
    OriginQuery,
    OriginRecord,
    RecordedVersions,
    StreamOrigins,
    make_sole_version,
)

__all__ = ["SharedOrigins"]

# After a new version appeared, all streams in progress are announced, some at each flush.
FLUSH_SECONDS = 0.005
MAX_RECORDS_PER_FLUSH = 64
Versions = Mapping[str, frozenset[str]]
# Peers that have not replied are asked again after the first time, and not waited for after the
# second one; a reply takes some milliseconds.
RESEND_SECONDS = 0.03
GIVE_UP_SECONDS = 0.1
# Longest wait for the recorded versions after that: a slow store must not delay a refusal.
READ_SECONDS = 0.2


@dataclass(eq=False)
class _PendingLookup:
    """A lookup that waits for replies of peers."""

    request: OriginRequest
    on_found: Callable[[OriginLookup], None]
    asked: set[str]
    silent: set[str]
    versions: set[tuple[str, str]] = field(default_factory=set)
    timer: Timer | None = None
    is_closed: bool = False

    @property
    def replied(self) -> int:
        """Number of peers that replied."""
        return len(self.asked) - len(self.silent)


class SharedOrigins(StreamOrigins):
    """Announces the origins of this process's streams, and looks origins up at peers.

    Parameters
    ----------
    members : OriginMembers
        Chooses the peers that keep the origin of a stream.
    versions : VersionHistory
        Versions of the endpoints.
    is_current : callable
        Returns True if the known endpoints are those of a moment ago.
    recorded : RecordedVersions
        Versions that any process has seen.
    send : callable
        Sends a datagram to an IP address.
    """

    def __init__(
        self,
        members: OriginMembers,
        versions: VersionHistory,
        is_current: Callable[[], bool],
        recorded: RecordedVersions,
        send: Callable[[bytes, str], None],
        timers: TimerService,
        metrics: Metrics,
    ):
        self.local = LocalOrigins(timers, versions, is_current)
        self._members = members
        self._recorded = recorded
        self._send = send
        self._timers = timers
        self._metrics = metrics
        self._numbers = itertools.count(1)
        self._pending: dict[int, _PendingLookup] = {}
        self._unsent: dict[str, AnnouncedOrigin] = {}
        self._flush_timer: Timer | None = None
        versions.on_new_version = self._on_new_version

    def is_certain(self, origin: StreamOrigin, since: float) -> bool:
        """Return True if the endpoint of an origin has kept its version since a time."""
        return self.local.is_certain(origin, since)

    # Announcements

    def record(self, key: str, origin: StreamOrigin, seconds: float, age: float = 0.0) -> None:
        """Record an origin, and announce it unless all peers will know its version anyway.

        Notes
        -----
        The announcement is sent at once: the process may end right after the first event.
        """
        self.local.record(key, origin, seconds, age)
        if self._may_have_several_versions(origin.service, seconds + RESUME_SECONDS):
            self._announce(key, self.local.table.get(key))

    def _may_have_several_versions(self, service: str, seconds: float) -> bool:
        versions = self.local.versions
        return len(versions.versions_since(service, seconds)) > 1 or not versions.covers(seconds)

    def _on_new_version(self, service: str) -> None:
        """Record the version, and announce the streams that were begun at the only one before."""
        self._recorded.record_new_version()
        if len(self.local.versions.versions_since(service, RESUME_SECONDS)) > 1:
            for key, record in self.local.table.own_records(service):
                self._announce_later(key, record)

    def _make_announcement(self, key: str, record: OriginRecord) -> AnnouncedOrigin:
        now = self._timers.now()
        return AnnouncedOrigin(key, record.origin, now - record.began_at, record.expires_at - now)

    def _announce(self, key: str, record: OriginRecord) -> None:
        """Send an announcement to the keepers of the stream."""
        data = encode_announcement([self._make_announcement(key, record)])
        for ip in self._members.list_keepers(key):
            self._send(data, ip)

    def _announce_later(self, key: str, record: OriginRecord) -> None:
        """Send an announcement together with others."""
        self._unsent[key] = self._make_announcement(key, record)
        if self._flush_timer is None:
            self._flush_timer = self._timers.once(FLUSH_SECONDS, self._flush)

    def _flush(self) -> None:
        """Send the announcements that wait, in one datagram for each peer if they fit."""
        self._flush_timer = None
        by_peer: dict[str, list[AnnouncedOrigin]] = {}
        for key in list(itertools.islice(self._unsent, MAX_RECORDS_PER_FLUSH)):
            each = self._unsent.pop(key)
            for ip in self._members.list_keepers(key):
                by_peer.setdefault(ip, []).append(each)
        for ip, records in by_peer.items():
            for start in range(0, len(records), MAX_RECORDS_PER_DATAGRAM):
                part = records[start : start + MAX_RECORDS_PER_DATAGRAM]
                self._send(encode_announcement(part), ip)
        if self._unsent:
            self._flush_timer = self._timers.once(FLUSH_SECONDS, self._flush)

    # Lookups

    def look_up(self, query: OriginQuery, on_found: Callable[[OriginLookup], None]) -> None:
        """Look up an origin here, and at peers if this process has no record of it."""
        found = self.local.find_record(query)
        if found is not None:
            on_found(found)
            return
        ips = self._members.list_candidates(query.key) if query.key else []
        request = OriginRequest(next(self._numbers), query)
        pending = _PendingLookup(request, on_found, set(ips), set(ips))
        if not query.key or (not ips and self._members.is_complete()):
            self._finish(pending)
            return
        self._pending[request.number] = pending
        pending.timer = self._timers.once(RESEND_SECONDS, lambda: self._ask_again(pending))
        self._ask(pending)

    def _ask(self, pending: _PendingLookup) -> None:
        data = encode_origin_request(pending.request)
        for ip in sorted(pending.silent):
            self._send(data, ip)

    def _ask_again(self, pending: _PendingLookup) -> None:
        """Ask the silent peers once more, unless no other version can have begun the stream.

        Notes
        -----
        A process that has just started learns of its peers meanwhile.
        """
        seconds = GIVE_UP_SECONDS - RESEND_SECONDS
        pending.timer = self._timers.once(seconds, lambda: self._finish(pending))
        if pending.replied:
            self._recorded.read(lambda versions: self._end_if_sole(pending, versions))
        new = set(self._members.list_candidates(pending.request.query.key)) - pending.asked
        pending.asked |= new
        pending.silent |= new
        self._ask(pending)

    def _end_if_sole(self, pending: _PendingLookup, recorded: Versions | None) -> None:
        """End a lookup if only one version can have begun the stream."""
        found = self._find_sole_version(pending, recorded)
        if found is not None:
            self._close(pending, found)

    def _finish(self, pending: _PendingLookup) -> None:
        """End a lookup without a record of the stream: its version is known only if it is sole."""
        nothing = OriginLookup(None, Evidence.NONE)
        self._pending.pop(pending.request.number, None)
        if pending.timer is not None:
            pending.timer.cancel()
        pending.timer = self._timers.once(READ_SECONDS, lambda: self._close(pending, nothing))
        self._recorded.read(
            lambda versions: self._close(
                pending, self._find_sole_version(pending, versions) or nothing
            )
        )

    def _find_sole_version(
        self, pending: _PendingLookup, recorded: Versions | None
    ) -> OriginLookup | None:
        """Return the only origin that a stream can have; None if there are several.

        Notes
        -----
        What is present now does not tell which versions were present when the stream began, and
        the processes that saw them may have ended. Only the recorded versions do; a version that
        has just appeared may not be recorded yet, but is seen by a process with a current view.
        """
        query = pending.request.query
        if recorded is None or not self.local.is_current():
            return None
        versions = {
            (service, version)
            for service in query.services
            for version in recorded.get(service, frozenset())
        }
        seen = frozenset(pending.versions) | self.local.list_versions(query)
        return make_sole_version(seen | versions)

    def _close(self, pending: _PendingLookup, found: OriginLookup) -> None:
        """Pass on the result of a lookup, once."""
        if pending.is_closed:
            return
        pending.is_closed = True
        self._pending.pop(pending.request.number, None)
        if pending.timer is not None:
            pending.timer.cancel()
        pending.on_found(replace(found, asked=len(pending.asked), replied=pending.replied))

    # Datagrams

    def receive(self, data: bytes, ip: str) -> None:
        """Handle a datagram of another process.

        Raises
        ------
        ValueError
            If the datagram is malformed.
        """
        if is_announcement(data):
            for each in decode_announcement(data):
                self.local.table.store(each.key, self._make_record(each))
        elif is_origin_reply(data):
            self._on_reply(decode_origin_reply(data), ip)
        else:
            self._send(encode_origin_reply(self._make_reply(decode_origin_request(data))), ip)

    def _make_record(self, announced: AnnouncedOrigin) -> OriginRecord:
        now = self._timers.now()
        return OriginRecord(
            announced.origin, now - announced.age, now + announced.seconds, is_own=False
        )

    def _make_reply(self, request: OriginRequest) -> OriginReply:
        query = request.query
        record = self.local.table.get(query.key)
        if record is not None and self.is_certain(record.origin, record.began_at):
            return OriginReply(request.number, self._make_announcement(query.key, record))
        versions = self.local.list_versions(query)
        return OriginReply(request.number, None, versions, self.local.knows_all_versions(query))

    def _on_reply(self, reply: OriginReply, ip: str) -> None:
        pending = self._pending.get(reply.number)
        if pending is None or ip not in pending.silent:
            return
        pending.silent.discard(ip)
        if reply.found is not None and reply.found.key == pending.request.query.key:
            record = self._make_record(reply.found)
            self.local.table.store(reply.found.key, record)
            self._close(pending, self.local.judge(record, Evidence.PEER))
            return
        pending.versions |= reply.versions
        if not pending.silent:
            self._finish(pending)
