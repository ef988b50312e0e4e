"""Holds of requests in the store: they outlast all processes, and trials are claimed there.

A zone that hears no other, and a process that starts when all others are gone, learn of a hold from
the store alone. A trial is one conditional write of the hold's row, so that of all processes that
want one only one gets it.
"""

from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass

import orjson

from flamingofront.decisions.quarantine import MAX_ENTRIES
from flamingofront.decisions.quarantine_facts import (
    EndpointCrash,
    QuarantineEntry,
    is_entry_expired,
    is_expired,
)
from flamingofront.errors import PlatformError
from flamingofront.messages import Sleep
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
    "QuarantineStore",
    "QuarantineRows",
    "VersionedEntry",
    "TableQuarantine",
]

QUARANTINE_TABLE = "held-requests"
HOLD_PREFIX = "held-request/"
# Ends of requests that are not held yet: rows beside the holds.
EVIDENCE_PREFIX = "ends/"
DOCUMENT_EVIDENCE_PREFIX = "crash-evidence/"
# Tries to keep ends, a second apart at most; later a further end has come, or they count little.
MAX_EVIDENCE_TRIES = 20
# Whoever saw the last end writes at once; the others only if that one could not, after a wait that
# is spread over so long.
SPREAD_SECONDS = 1.0
# Rows of one transaction: what the platform takes.
MAX_ROWS = 100
_BACKOFF = Backoff(0.1, 1.0)


@dataclass(frozen=True)
class VersionedEntry:
    """A hold as the store has it; `version` is that of its row."""

    hold: QuarantineEntry
    version: int


class QuarantineRows(ABC):
    """Where holds are kept."""

    @abstractmethod
    def write(self, hold: QuarantineEntry, version: int) -> Task:
        """Write a hold if its row has a version, 0 for none; return whether that was done."""

    @abstractmethod
    def write_evidence(self, evidence: Evidence) -> Task:
        """Write the ends of some requests over what is there; remove those without ends."""

    @abstractmethod
    def drop(self, kept: VersionedEntry) -> Task:
        """Remove a hold if its row is still as it was read."""

    @abstractmethod
    def read(self, fingerprint: str) -> Task:
        """Return the `VersionedEntry` of a request, None if there is none."""


class TableQuarantine(QuarantineRows):
    """Holds as rows of a table of their own."""

    def __init__(self, store: TableStore):
        self._store = store

    def write(self, hold: QuarantineEntry, version: int) -> Task:
        """Write a hold if its row has a version."""
        condition = RowCondition(QUARANTINE_TABLE, hold.fingerprint, version)
        row = RowWrite(
            QUARANTINE_TABLE, hold.fingerprint, orjson.dumps(encode_quarantine_entry(hold))
        )
        outcome = yield from self._store.transact("", (condition,), (row,))
        return outcome.ok

    def write_evidence(self, evidence: Evidence) -> Task:
        """Write the ends of some requests over what is there."""
        rows = [
            RowWrite(
                QUARANTINE_TABLE,
                EVIDENCE_PREFIX + fingerprint,
                orjson.dumps(encode_evidence(ends)) if ends else None,
            )
            for fingerprint, ends in evidence.items()
        ]
        yield from self._store.transact("", (), rows[:MAX_ROWS])

    def drop(self, kept: VersionedEntry) -> Task:
        """Remove a hold if its row is still as it was read."""
        condition = RowCondition(QUARANTINE_TABLE, kept.hold.fingerprint, kept.version)
        row = RowWrite(QUARANTINE_TABLE, kept.hold.fingerprint, None)
        yield from self._store.transact("", (condition,), (row,))

    def read(self, fingerprint: str) -> Task:
        """Return the kept hold of a request."""
        found = yield from self._store.read(
            QUARANTINE_TABLE, first=fingerprint, end=fingerprint + "\0", limit=1
        )
        return kept_hold(found.rows[0]) if found.rows else None


class DocumentQuarantine(QuarantineRows):
    """Holds as documents beside the others of the product."""

    def __init__(self, documents: DocumentStore):
        self._documents = documents

    def write(self, hold: QuarantineEntry, version: int) -> Task:
        """Write a hold if its document has a revision."""
        key = HOLD_PREFIX + hold.fingerprint
        result = yield from self._documents.transact(
            (Condition(key, version),), (Write(key, encode_quarantine_entry(hold)),)
        )
        return result.ok

    def write_evidence(self, evidence: Evidence) -> Task:
        """Write the ends of some requests over what is there."""
        writes = [
            Write(DOCUMENT_EVIDENCE_PREFIX + fingerprint, encode_evidence(ends) if ends else None)
            for fingerprint, ends in evidence.items()
        ]
        yield from self._documents.transact((), writes[:MAX_ROWS])

    def read_evidence(self) -> Task:
        """Return the kept ends by request."""
        found = yield from self._documents.scan(DOCUMENT_EVIDENCE_PREFIX)
        names = [each.key.removeprefix(DOCUMENT_EVIDENCE_PREFIX) for each in found]
        return {
            name: decode_evidence(name, each.value) for name, each in zip(names, found, strict=True)
        }

    def drop(self, kept: VersionedEntry) -> Task:
        """Remove a hold if its document is still as it was read."""
        key = HOLD_PREFIX + kept.hold.fingerprint
        yield from self._documents.transact((Condition(key, kept.version),), (Write(key, None),))

    def read(self, fingerprint: str) -> Task:
        """Return the kept hold of a request."""
        (found,) = yield from self._documents.read([HOLD_PREFIX + fingerprint])
        if not found.revision:
            return None
        return VersionedEntry(decode_quarantine_entry(found.key, found.value), found.revision)

    def read_all(self) -> Task:
        """Return all kept holds."""
        found = yield from self._documents.scan(HOLD_PREFIX)
        return tuple(
            VersionedEntry(decode_quarantine_entry(each.key, each.value), each.revision)
            for each in found
        )


def kept_hold(row: StoredRow) -> VersionedEntry:
    """Return the hold in a row; raises `PlatformError` if it is malformed."""
    return VersionedEntry(decode_quarantine_entry(row.key, row.value), row.version)


class QuarantineStore:
    """Keeps the holds of a process's guard in the store, and claims trials there.

    Parameters
    ----------
    others_wait : float
        Seconds in which this process learns by itself of a hold that another one has kept.
    may_rest : callable
        Returns whether other processes look at the store for this one.
    """

    def __init__(
        self,
        guard: RequestGuard,
        rows: QuarantineRows,
        services: Services,
        others_wait: float,
        may_rest: Callable[[], bool] = lambda: False,
    ):
        self._others_wait = others_wait
        self._may_rest = may_rest
        self._guard = guard
        self._rows = rows
        self._tasks = services.tasks
        self._rng = services.rng
        self._metrics = services.metrics
        self._log = services.log
        self._versions: dict[str, int] = {}
        self._kept: dict[str, QuarantineEntry] = {}
        guard.on_quarantine_change = self._changed
        guard.acquire_trial = self._claim
        guard.on_evidence = lambda evidence: self._tasks.start(self._keep_evidence(evidence))

    def merge_entry(self, kept: VersionedEntry) -> None:
        """Take a hold as the store has it."""
        name = kept.hold.fingerprint
        if is_entry_expired(kept.hold, self._guard.wall()):
            self._tasks.start(self._drop(kept))
            return
        if self._versions.get(name, 0) < kept.version:
            self._remember(kept)
        self._guard.load_entry(kept.hold)

    def _remember(self, kept: VersionedEntry) -> None:
        """Remember what the store has, of as many holds as the guard knows at most."""
        self._versions[kept.hold.fingerprint] = kept.version
        self._kept[kept.hold.fingerprint] = kept.hold
        while len(self._kept) > MAX_ENTRIES:
            oldest = next(iter(self._kept))
            del self._kept[oldest]
            self._versions.pop(oldest, None)

    def _drop(self, kept: VersionedEntry) -> Task:
        """Remove a hold that is forgotten; one that stays for an outage is dropped later."""
        try:
            yield from self._rows.drop(kept)
        except PlatformError as exc:
            self._log.info("old hold not removed", work=kept.hold.fingerprint, detail=str(exc))

    def merge_rows(self, rows: tuple[StoredRow, ...]) -> None:
        """Take rows of the table of holds; one that cannot be read is told and left out."""
        for row in rows:
            if row.value is None:
                continue
            try:
                if row.key.startswith(EVIDENCE_PREFIX):
                    fingerprint = row.key.removeprefix(EVIDENCE_PREFIX)
                    self.merge_evidence(fingerprint, decode_evidence(fingerprint, row.value))
                else:
                    self.merge_entry(kept_hold(row))
            except PlatformError as exc:
                self._metrics.count("platform_errors_total", operation="hold")
                self._log.warning("hold refused", work=row.key, detail=str(exc))

    def merge_evidence(self, fingerprint: str, ends: tuple[EndpointCrash, ...]) -> None:
        """Take the ends of a request as the store has them; remove those that are too old."""
        if all(is_expired(each.at, self._guard.wall()) for each in ends):
            self._tasks.start(self._keep_evidence({fingerprint: ()}))
        else:
            self._guard.load_evidence(ends)

    def rewrite_entries(self) -> None:
        """Keep all holds again that the store may have lost with its return from a copy."""
        self._versions.clear()
        self._kept.clear()
        for hold in self._guard.quarantine.list_entries():
            self._changed(hold, is_own=False)

    def _changed(self, hold: QuarantineEntry, is_own: bool) -> None:
        """Keep a hold that is new or was lifted."""
        self._tasks.start(self._keep(hold, is_own))

    def _keep(self, hold: QuarantineEntry, is_own: bool) -> Task:
        """Write a hold until the store has it, or one that goes before it."""
        if not is_own:
            yield Sleep(self._others_wait + SPREAD_SECONDS * self._rng.random())
            if self._may_rest():
                return
        tries = 0
        while self._is_wanted(hold):
            try:
                yield from self._write(hold)
            except PlatformError as exc:
                self._metrics.count("platform_errors_total", operation="hold")
                if tries == 0:
                    self._log.warning("hold not kept yet", work=hold.fingerprint, detail=str(exc))
                yield Sleep(_BACKOFF.compute_delay(tries, self._rng))
                tries += 1

    def _keep_evidence(self, evidence: Evidence) -> Task:
        """Keep the ends of requests that one more would hold back."""
        for tries in range(MAX_EVIDENCE_TRIES):
            try:
                yield from self._rows.write_evidence(evidence)
            except PlatformError as exc:
                self._metrics.count("platform_errors_total", operation="evidence")
                if tries == 0:
                    self._log.info("ends not kept yet", work=list(evidence), detail=str(exc))
                yield Sleep(_BACKOFF.compute_delay(tries, self._rng))
            else:
                return

    def _is_wanted(self, hold: QuarantineEntry) -> bool:
        kept = self._kept.get(hold.fingerprint)
        return kept is None or kept.rank < hold.rank

    def _write(self, hold: QuarantineEntry) -> Task:
        """Write a hold over what the store was last known to have; else learn what it has."""
        name = hold.fingerprint
        done = yield from self._rows.write(hold, self._versions.get(name, 0))
        if done:
            self._kept[name] = hold
        yield from self._read(name)

    def _read(self, fingerprint: str) -> Task:
        kept = yield from self._rows.read(fingerprint)
        if kept is None:
            self._versions.pop(fingerprint, None)
            self._kept.pop(fingerprint, None)
        else:
            self._remember(kept)
            self._guard.load_entry(kept.hold)

    def _claim(self, hold: QuarantineEntry, on_done: Callable[[bool], None]) -> None:
        self._tasks.start(self._claim_trial(hold), on_done)

    def _claim_trial(self, hold: QuarantineEntry) -> Task:
        """Claim a trial by one conditional write; without the store there is none."""
        name = hold.fingerprint
        claimed = hold.with_claimed_trial(self._guard.wall())
        try:
            if name not in self._versions:
                yield from self._read(name)
            known = self._kept.get(name)
            if known is not None and known.rank > hold.rank:
                return False
            done = yield from self._rows.write(claimed, self._versions.get(name, 0))
            yield from self._read(name)
        except PlatformError as exc:
            self._log.warning("trial not claimed", work=name, detail=str(exc))
            return False
        return done
