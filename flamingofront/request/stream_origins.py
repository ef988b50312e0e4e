"""Lookup of the version that began a stream which its caller resumes."""

import hashlib
from abc import ABC, abstractmethod
from collections import OrderedDict
from collections.abc import Callable, Mapping
from dataclasses import dataclass, replace
from enum import StrEnum

from flamingofront.decisions.stream_origin import StreamOrigin, VersionHistory
from flamingofront.process.timers import TimerService

__all__ = [
    "Evidence",
    "LocalOrigins",
    "OriginLookup",
    "OriginQuery",
    "OriginRecord",
    "OriginTable",
    "RecordedVersions",
    "StreamOrigins",
    "compute_origin_key",
]

# 96 bits: a caller cannot search for an id whose key equals that of another workspace's stream.
KEY_BYTES = 12
# Time after the deadline of an attempt in which its caller may resume the stream.
RESUME_SECONDS = 15.0
# About half a minute of a process with 700 streams a second; 10 MB.
MAX_RECORDS = 20_000
# Time until the peers that did not reply can be asked with a better prospect.
UNKNOWN_RETRY_SECONDS = 0.5


class Evidence(StrEnum):
    """How the version that began a stream is known."""

    OWN = "own"
    """This process sent the attempt that began it."""
    HELD = "held"
    """Another process announced it to this one."""
    PEER = "peer"
    """A peer replied with it."""
    SOLE_VERSION = "sole version"
    """All endpoints of the service have had this version while the stream can have begun."""
    NONE = "none"
    """It is not known."""


def compute_origin_key(workspace: str, route: str, request_id: str) -> str:
    """Return the key of a caller's attempt: a hex digest, so that its size is bounded.

    Notes
    -----
    Workspace and route are part of the key: nobody can name a stream of another workspace.
    """
    digest = hashlib.blake2b(digest_size=KEY_BYTES)
    for field in (workspace, route, request_id):
        data = field.encode()
        digest.update(b"%d:" % len(data))
        digest.update(data)
    return digest.hexdigest()


@dataclass(frozen=True, slots=True)
class OriginRecord:
    """Origin of the stream of one attempt of a caller.

    Parameters
    ----------
    began_at, expires_at : float
        Times of the timer service at which its endpoint was chosen, and at which it is dropped.
    is_own : bool
        True if this process sent the attempt; False if another process announced it.
    """

    origin: StreamOrigin
    began_at: float
    expires_at: float
    is_own: bool


@dataclass(frozen=True)
class OriginQuery:
    """A caller's request to resume a stream.

    Parameters
    ----------
    key : str
        Key of the attempt that began the stream; empty if the caller names none.
    services : tuple of str
        Services to which the route sends requests.
    timeout : float
        Longest time in seconds that an attempt on the route lasts.
    """

    key: str
    services: tuple[str, ...]
    timeout: float

    @property
    def memory_seconds(self) -> float:
        """Time within which the stream must have begun, in seconds."""
        return self.timeout + RESUME_SECONDS


@dataclass(frozen=True)
class OriginLookup:
    """Result of a lookup.

    Parameters
    ----------
    origin : StreamOrigin or None
        None if the version is not known or not certain.
    evidence : Evidence
        How it is known.
    age : float or None
        Seconds since the endpoint that began the stream was chosen.
    asked, replied : int
        Number of peers that were asked, and of those that replied.
    retry_after : float
        Seconds after which another lookup may find more.
    """

    origin: StreamOrigin | None
    evidence: Evidence
    age: float | None = None
    asked: int = 0
    replied: int = 0
    retry_after: float = UNKNOWN_RETRY_SECONDS


class OriginTable:
    """Bounded table of the origins of recent streams.

    Parameters
    ----------
    timers : TimerService
        Source of the time.
    """

    def __init__(self, timers: TimerService):
        self._timers = timers
        self._records: OrderedDict[str, OriginRecord] = OrderedDict()

    def __len__(self) -> int:
        return len(self._records)

    def store(self, key: str, record: OriginRecord) -> None:
        """Store a record, unless a later attempt of the same stream is known."""
        known = self._records.get(key)
        if known is not None:
            if known.origin.attempt > record.origin.attempt:
                return
            record = replace(record, is_own=record.is_own or known.is_own)
        self._records[key] = record
        self._records.move_to_end(key)
        self._drop_oldest()

    def _drop_oldest(self) -> None:
        """Drop expired records from the front, and others while there are too many."""
        now = self._timers.now()
        while self._records:
            oldest = next(iter(self._records.values()))
            if oldest.expires_at > now and len(self._records) <= MAX_RECORDS:
                return
            self._records.popitem(last=False)

    def get(self, key: str) -> OriginRecord | None:
        """Return the record of an attempt; None if there is none or it has expired."""
        record = self._records.get(key)
        return record if record is not None and record.expires_at > self._timers.now() else None

    def own_records(self, service: str) -> list[tuple[str, OriginRecord]]:
        """Return the records of attempts that this process sent to a service, newest first."""
        now = self._timers.now()
        return [
            (key, each)
            for key, each in reversed(self._records.items())
            if each.is_own and each.origin.service == service and each.expires_at > now
        ]


class StreamOrigins(ABC):
    """Records which version begins each stream, and finds it when a caller resumes one."""

    @abstractmethod
    def record(self, key: str, origin: StreamOrigin, seconds: float, age: float = 0.0) -> None:
        """Record the origin of a stream whose first event is being sent to its caller.

        Parameters
        ----------
        seconds : float
            Time until the deadline of the attempt.
        age : float
            Seconds since the endpoint that began the stream was chosen.
        """

    @abstractmethod
    def look_up(self, query: OriginQuery, on_found: Callable[[OriginLookup], None]) -> None:
        """Look up the origin of a stream and pass the result on, at once or later."""

    @abstractmethod
    def is_certain(self, origin: StreamOrigin, since: float) -> bool:
        """Return True if the endpoint of an origin has kept its version since a time."""


class RecordedVersions(ABC):
    """Versions that endpoints have had, as recorded where restarts of processes do not reach."""

    @abstractmethod
    def read(self, on_read: Callable[[Mapping[str, frozenset[str]] | None], None]) -> None:
        """Pass on the recorded versions by service, or None if they are not known.

        A version is recorded when a process first sees it, and for as long after its endpoints have
        left as a stream that they began can be resumed.
        """

    @abstractmethod
    def record_new_version(self) -> None:
        """Record the versions that this process sees, one of which has just appeared."""


class LocalOrigins(StreamOrigins):
    """Origins that this process knows by itself.

    Parameters
    ----------
    timers : TimerService
        Source of the time.
    versions : VersionHistory
        Versions of the endpoints.
    is_current : callable
        Returns True if the known endpoints are those of a moment ago.
    """

    def __init__(
        self,
        timers: TimerService,
        versions: VersionHistory | None = None,
        is_current: Callable[[], bool] = lambda: True,
    ):
        self._timers = timers
        self.versions = versions or VersionHistory(timers.now)
        self.is_current = is_current
        self.table = OriginTable(timers)

    def record(self, key: str, origin: StreamOrigin, seconds: float, age: float = 0.0) -> None:
        """Record the origin of a stream whose first event is being sent to its caller."""
        now = self._timers.now()
        self.table.store(key, OriginRecord(origin, now - age, now + seconds + RESUME_SECONDS, True))

    def is_certain(self, origin: StreamOrigin, since: float) -> bool:
        """Return True if the endpoint of an origin has kept its version since a time."""
        return not self.versions.has_changed_since(origin.endpoint_id, since)

    def look_up(self, query: OriginQuery, on_found: Callable[[OriginLookup], None]) -> None:
        """Look up the origin in this process and pass the result on at once."""
        found = self.find_record(query) or self.find_sole_version(query)
        on_found(found or OriginLookup(None, Evidence.NONE))

    def find_record(self, query: OriginQuery) -> OriginLookup | None:
        """Return the origin that was recorded for a stream; None if there is none."""
        record = self.table.get(query.key)
        if record is None:
            return None
        return self.judge(record, Evidence.OWN if record.is_own else Evidence.HELD)

    def judge(self, record: OriginRecord, evidence: Evidence) -> OriginLookup:
        """Return the result that a record leads to: no origin if its version is not certain."""
        age = self._timers.now() - record.began_at
        is_certain = self.is_certain(record.origin, record.began_at)
        return OriginLookup(record.origin if is_certain else None, evidence, age)

    def list_versions(self, query: OriginQuery) -> frozenset[tuple[str, str]]:
        """Return the services and versions at which a stream can have begun."""
        return frozenset(
            (service, version)
            for service in query.services
            for version in self.versions.versions_since(service, query.memory_seconds)
        )

    def knows_all_versions(self, query: OriginQuery) -> bool:
        """Return True if no other version can have begun a stream."""
        return self.versions.covers(query.memory_seconds) and self.is_current()

    def find_sole_version(self, query: OriginQuery) -> OriginLookup | None:
        """Return the only origin that a stream can have; None if there are several."""
        if not self.knows_all_versions(query):
            return None
        return make_sole_version(self.list_versions(query))


def make_sole_version(
    versions: frozenset[tuple[str, str]], evidence: Evidence = Evidence.SOLE_VERSION
) -> OriginLookup | None:
    """Return the result for a stream that can have begun at these services and versions."""
    if len(versions) != 1:
        return None
    ((service, version),) = versions
    return OriginLookup(StreamOrigin(version, service), evidence)
