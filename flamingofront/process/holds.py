"""Quarantine entries in the store: they outlast all processes, and trials are claimed there.

A zone that is partitioned from the others, and a process that starts when no other runs, learn of
quarantined requests from the store alone. A trial is claimed by a conditional write of the entry's
row, so only one of several processes gets it.
"""

from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass

import orjson

from flamingofront.decisions.part_facts import parse_part_key
from flamingofront.decisions.quarantine import MAX_ENTRIES
from flamingofront.decisions.quarantine_facts import (
    EndpointCrash,
    QuarantineEntry,
    is_entry_expired,
    is_expired,
)
from flamingofront.errors import PlatformError
from flamingofront.messages import Sleep
from flamingofront.process.answered_parts import ANSWERED_PARTS_KEY, AnsweredParts
from flamingofront.process.backoff import Backoff
from flamingofront.process.documents import Condition, DocumentStore, Write
from flamingofront.process.quarantine_codec import (
    decode_evidence,
    decode_quarantine_entry,
    encode_evidence,
    encode_quarantine_entry,
)
from flamingofront.process.services import Services
from flamingofront.process.store import RowCondition, RowWrite, StoredRow, TableStore
from flamingofront.process.tasks import Task
from flamingofront.request.guard import Evidence, RequestGuard

__all__ = [
    "QUARANTINE_TABLE",
    "DocumentQuarantine",
    "QuarantineRows",
    "QuarantineStore",
    "TableQuarantine",
    "VersionedEntry",
]

QUARANTINE_TABLE = "held-requests"
QUARANTINE_PREFIX = "held-request/"
# Rows of crash evidence, on requests that are not quarantined yet, in the table of the entries.
EVIDENCE_PREFIX = "ends/"
DOCUMENT_EVIDENCE_PREFIX = "crash-evidence/"
# Attempts to store evidence, at most a second apart. After that a further crash has been recorded
# or the evidence is nearly too old to count.
MAX_EVIDENCE_TRIES = 20
# The process that observed the last crash writes the entry at once. The others write it only if
# that process could not, after a delay with this much jitter.
WRITE_JITTER_SECONDS = 1.0
# Limit of the platform on the rows of one transaction.
MAX_TRANSACTION_ROWS = 100
_BACKOFF = Backoff(0.1, 1.0)


@dataclass(frozen=True)
class VersionedEntry:
    """A stored quarantine entry and the version of its row."""

    entry: QuarantineEntry
    version: int


class QuarantineRows(ABC):
    """Storage of quarantine entries and of crash evidence."""

    @abstractmethod
    def write(self, entry: QuarantineEntry, version: int) -> Task:
        """Write an entry if its row has the given version; return True if it was written.

        Parameters
        ----------
        version : int
            Version that the row must have; 0 requires that there is no row.
        """

    @abstractmethod
    def write_evidence(self, evidence: Evidence) -> Task:
        """Overwrite the stored evidence of some requests; an empty tuple of crashes deletes it."""

    @abstractmethod
    def drop(self, versioned: VersionedEntry) -> Task:
        """Delete an entry if its row still has the version that was read."""

    @abstractmethod
    def read(self, fingerprint: str) -> Task:
        """Return the `VersionedEntry` of a request, None if there is none."""


class TableQuarantine(QuarantineRows):
    """Quarantine entries and evidence as rows of a dedicated table."""

    def __init__(self, store: TableStore):
        self._store = store

    def write(self, entry: QuarantineEntry, version: int) -> Task:
        """Write an entry if its row has the given version; return True if it was written."""
        condition = RowCondition(QUARANTINE_TABLE, entry.fingerprint, version)
        row = RowWrite(
            QUARANTINE_TABLE, entry.fingerprint, orjson.dumps(encode_quarantine_entry(entry))
        )
        outcome = yield from self._store.transact("", (condition,), (row,))
        return outcome.ok

    def write_evidence(self, evidence: Evidence) -> Task:
        """Overwrite the stored evidence of some requests; an empty tuple of crashes deletes it."""
        rows = [
            RowWrite(
                QUARANTINE_TABLE,
                EVIDENCE_PREFIX + fingerprint,
                (
                    orjson.dumps(encode_evidence(crashes, bool(parse_part_key(fingerprint))))
                    if crashes
                    else None
                ),
            )
            for fingerprint, crashes in evidence.items()
        ]
        yield from self._store.transact("", (), rows[:MAX_TRANSACTION_ROWS])

    def drop(self, versioned: VersionedEntry) -> Task:
        """Delete an entry if its row still has the version that was read."""
        condition = RowCondition(QUARANTINE_TABLE, versioned.entry.fingerprint, versioned.version)
        row = RowWrite(QUARANTINE_TABLE, versioned.entry.fingerprint, None)
        yield from self._store.transact("", (condition,), (row,))

    def read(self, fingerprint: str) -> Task:
        """Return the `VersionedEntry` of a request, None if there is none."""
        found = yield from self._store.read(
            QUARANTINE_TABLE, first=fingerprint, end=fingerprint + "\0", limit=1
        )
        return decode_entry_row(found.rows[0]) if found.rows else None


class DocumentQuarantine(QuarantineRows):
    """Quarantine entries and evidence as JSON documents of the document store."""

    def __init__(self, documents: DocumentStore):
        self._documents = documents

    def write(self, entry: QuarantineEntry, version: int) -> Task:
        """Write an entry if its document has the given revision; return True if it was written."""
        key = QUARANTINE_PREFIX + entry.fingerprint
        result = yield from self._documents.transact(
            (Condition(key, version),), (Write(key, encode_quarantine_entry(entry)),)
        )
        return result.ok

    def write_evidence(self, evidence: Evidence) -> Task:
        """Overwrite the stored evidence of some requests; an empty tuple of crashes deletes it."""
        writes = [
            Write(
                DOCUMENT_EVIDENCE_PREFIX + fingerprint,
                encode_evidence(crashes, bool(parse_part_key(fingerprint))) if crashes else None,
            )
            for fingerprint, crashes in evidence.items()
        ]
        yield from self._documents.transact((), writes[:MAX_TRANSACTION_ROWS])

    def read_evidence(self) -> Task:
        """Return all stored crash evidence, by fingerprint of the request."""
        found = yield from self._documents.scan(DOCUMENT_EVIDENCE_PREFIX)
        names = [each.key.removeprefix(DOCUMENT_EVIDENCE_PREFIX) for each in found]
        return {
            name: decode_evidence(name, each.value) for name, each in zip(names, found, strict=True)
        }

    def drop(self, versioned: VersionedEntry) -> Task:
        """Delete an entry if its document still has the revision that was read."""
        key = QUARANTINE_PREFIX + versioned.entry.fingerprint
        yield from self._documents.transact(
            (Condition(key, versioned.version),), (Write(key, None),)
        )

    def read(self, fingerprint: str) -> Task:
        """Return the `VersionedEntry` of a request, None if there is none."""
        (found,) = yield from self._documents.read([QUARANTINE_PREFIX + fingerprint])
        if not found.revision:
            return None
        return VersionedEntry(decode_quarantine_entry(found.key, found.value), found.revision)

    def read_all(self) -> Task:
        """Return the `VersionedEntry` objects of all quarantined requests."""
        found = yield from self._documents.scan(QUARANTINE_PREFIX)
        return tuple(
            VersionedEntry(decode_quarantine_entry(each.key, each.value), each.revision)
            for each in found
        )


def decode_entry_row(row: StoredRow) -> VersionedEntry:
    """Return the quarantine entry in a row.

    Raises
    ------
    PlatformError
        If the value of the row is malformed.
    """
    return VersionedEntry(decode_quarantine_entry(row.key, row.value), row.version)


class QuarantineStore:
    """Stores the quarantine entries of a process's guard, and claims trials in the store.

    Parameters
    ----------
    propagation_delay : float
        Seconds within which this process learns of an entry that another process has stored.
    is_standby : callable
        Returns True if other processes watch the store on behalf of this one.

    Attributes
    ----------
    answered_parts : AnsweredParts or None
        Common prompt parts that were answered; None if they are not kept.
    """

    def __init__(
        self,
        guard: RequestGuard,
        rows: QuarantineRows,
        services: Services,
        propagation_delay: float,
        is_standby: Callable[[], bool] = lambda: False,
    ):
        self._propagation_delay = propagation_delay
        self._is_standby = is_standby
        self._guard = guard
        self._rows = rows
        self._tasks = services.tasks
        self._rng = services.rng
        self._metrics = services.metrics
        self._log = services.log
        self._versions: dict[str, int] = {}
        self._stored: dict[str, QuarantineEntry] = {}
        self.answered_parts: AnsweredParts | None = None
        guard.on_quarantine_change = self._on_entry_change
        guard.acquire_trial = self._acquire_trial
        guard.on_evidence = lambda evidence: self._tasks.start(self._store_evidence(evidence))

    def merge_entry(self, versioned: VersionedEntry) -> None:
        """Pass an entry from the store to the guard; delete it from the store if it has expired."""
        fingerprint = versioned.entry.fingerprint
        if is_entry_expired(versioned.entry, self._guard.wall()):
            self._tasks.start(self._delete_expired(versioned))
            return
        if self._versions.get(fingerprint, 0) < versioned.version:
            self._cache_entry(versioned)
        self._guard.load_entry(versioned.entry)

    def _cache_entry(self, versioned: VersionedEntry) -> None:
        """Cache an entry as stored; keep at most as many entries as the guard does."""
        self._versions[versioned.entry.fingerprint] = versioned.version
        self._stored[versioned.entry.fingerprint] = versioned.entry
        while len(self._stored) > MAX_ENTRIES:
            oldest = next(iter(self._stored))
            del self._stored[oldest]
            self._versions.pop(oldest, None)

    def _delete_expired(self, versioned: VersionedEntry) -> Task:
        """Delete an expired entry; if the store fails, a later read of the entry retries it."""
        try:
            yield from self._rows.drop(versioned)
        except PlatformError as exc:
            self._log.info(
                "expired quarantine entry not deleted",
                work=versioned.entry.fingerprint,
                detail=str(exc),
            )

    def merge_rows(self, rows: tuple[StoredRow, ...]) -> None:
        """Merge rows of the quarantine table; malformed ones are logged and skipped."""
        for row in rows:
            if row.value is None:
                continue
            try:
                if row.key == ANSWERED_PARTS_KEY:
                    if self.answered_parts is not None:
                        self.answered_parts.merge_row(row)
                elif row.key.startswith(EVIDENCE_PREFIX):
                    fingerprint = row.key.removeprefix(EVIDENCE_PREFIX)
                    self.merge_evidence(fingerprint, decode_evidence(fingerprint, row.value))
                else:
                    self.merge_entry(decode_entry_row(row))
            except PlatformError as exc:
                self._metrics.count("platform_errors_total", operation="hold")
                self._log.warning("quarantine row rejected", work=row.key, detail=str(exc))

    def merge_evidence(self, fingerprint: str, crashes: tuple[EndpointCrash, ...]) -> None:
        """Pass stored crashes of a request to the guard; delete them if all have expired."""
        if all(is_expired(each.at, self._guard.wall()) for each in crashes):
            self._tasks.start(self._store_evidence({fingerprint: ()}))
        elif parse_part_key(fingerprint):
            self._guard.load_part_evidence(fingerprint, crashes)
        else:
            self._guard.load_evidence(crashes)

    def rewrite_entries(self) -> None:
        """Store all entries again after the store was restored from an older snapshot."""
        self._versions.clear()
        self._stored.clear()
        if self.answered_parts is not None:
            self.answered_parts.rewrite()
        for entry in self._guard.quarantine.list_entries():
            self._on_entry_change(entry, is_local=False)

    def _on_entry_change(self, entry: QuarantineEntry, is_local: bool) -> None:
        """Start to store an entry that is new or was released from quarantine."""
        self._tasks.start(self._store_entry(entry, is_local))

    def _store_entry(self, entry: QuarantineEntry, is_local: bool) -> Task:
        """Write an entry until the store has it, or one that supersedes it.

        Parameters
        ----------
        is_local : bool
            True if this process made the change; otherwise it waits for another process to write.
        """
        if not is_local:
            yield Sleep(self._propagation_delay + WRITE_JITTER_SECONDS * self._rng.random())
            if self._is_standby():
                return
        tries = 0
        while self._is_unstored(entry):
            try:
                yield from self._write_entry(entry)
            except PlatformError as exc:
                self._metrics.count("platform_errors_total", operation="hold")
                if tries == 0:
                    self._log.warning(
                        "quarantine entry not stored yet", work=entry.fingerprint, detail=str(exc)
                    )
                yield Sleep(_BACKOFF.compute_delay(tries, self._rng))
                tries += 1

    def _store_evidence(self, evidence: Evidence) -> Task:
        """Write crash evidence, with a limited number of retries.

        The guard has requests stored that one more crash would put into quarantine.
        """
        for tries in range(MAX_EVIDENCE_TRIES):
            try:
                yield from self._rows.write_evidence(evidence)
            except PlatformError as exc:
                self._metrics.count("platform_errors_total", operation="evidence")
                if tries == 0:
                    self._log.info(
                        "crash evidence not stored yet", work=list(evidence), detail=str(exc)
                    )
                yield Sleep(_BACKOFF.compute_delay(tries, self._rng))
            else:
                return

    def _is_unstored(self, entry: QuarantineEntry) -> bool:
        """Return True unless the store is known to have this entry or one that supersedes it."""
        stored = self._stored.get(entry.fingerprint)
        return stored is None or stored.rank < entry.rank

    def _write_entry(self, entry: QuarantineEntry) -> Task:
        """Write an entry over the cached version of its row, then reload the row."""
        fingerprint = entry.fingerprint
        is_written = yield from self._rows.write(entry, self._versions.get(fingerprint, 0))
        if is_written:
            self._stored[fingerprint] = entry
        yield from self._reload_entry(fingerprint)

    def _reload_entry(self, fingerprint: str) -> Task:
        """Read the entry of a request from the store into the cache and the guard."""
        versioned = yield from self._rows.read(fingerprint)
        if versioned is None:
            self._versions.pop(fingerprint, None)
            self._stored.pop(fingerprint, None)
        else:
            self._cache_entry(versioned)
            self._guard.load_entry(versioned.entry)

    def _acquire_trial(self, entry: QuarantineEntry, on_done: Callable[[bool], None]) -> None:
        """Start to claim a trial; `on_done` is called with True if it was granted."""
        self._tasks.start(self._claim_trial(entry), on_done)

    def _claim_trial(self, entry: QuarantineEntry) -> Task:
        """Claim a trial by one conditional write; return True if it was granted.

        No trial is granted while the store does not respond.
        """
        fingerprint = entry.fingerprint
        claimed = entry.with_claimed_trial(self._guard.wall())
        try:
            if fingerprint not in self._versions:
                yield from self._reload_entry(fingerprint)
            stored = self._stored.get(fingerprint)
            if stored is not None and stored.rank > entry.rank:
                return False
            is_granted = yield from self._rows.write(claimed, self._versions.get(fingerprint, 0))
            yield from self._reload_entry(fingerprint)
        except PlatformError as exc:
            self._log.warning("trial not claimed", work=fingerprint, detail=str(exc))
            return False
        return is_granted
