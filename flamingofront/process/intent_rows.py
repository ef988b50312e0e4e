"""Where records of sends are kept: rows of the table store, or documents."""

from abc import ABC, abstractmethod
from collections.abc import Iterable, Sequence
from dataclasses import asdict, dataclass
from typing import Any

import orjson

from flamingofront.decisions.send_intents import IntentRecord, SendIntent
from flamingofront.errors import PlatformError
from flamingofront.process.documents import Condition, DocumentStore, Write
from flamingofront.process.store import RowCondition, RowWrite, StoredRow, TableStore
from flamingofront.process.tasks import Task

__all__ = [
    "INTENT_TABLE",
    "DocumentIntents",
    "IntentRows",
    "VersionedRecord",
    "TableIntents",
    "decode_record",
    "encode_record",
]

INTENT_TABLE = "recorded-sends"
INTENT_PREFIX = "recorded-send/"


@dataclass(frozen=True)
class VersionedRecord:
    """A record as the store has it; `version` is that of its row, 0 if there is none."""

    record: IntentRecord
    version: int = 0


def encode_record(record: IntentRecord) -> dict[str, Any]:
    """Return a record as it is kept."""
    return {"sends": [asdict(each) for each in record.sends], "unseen": list(record.unobserved)}


def decode_record(fingerprint: str, value: Any) -> IntentRecord:
    """Return a record as it was kept.

    Raises
    ------
    PlatformError
        If it is malformed.
    """
    try:
        doc = orjson.loads(value) if isinstance(value, bytes) else value
        sends = tuple(_send(each) for each in doc["sends"])
        return IntentRecord(fingerprint, sends, tuple(map(str, doc["unseen"])))
    except (KeyError, TypeError, ValueError) as exc:
        raise PlatformError(f"malformed record of sends {fingerprint}: {exc!r:.100}") from exc


def _send(doc: Any) -> SendIntent:
    return SendIntent(
        str(doc["endpoint_id"]),
        str(doc["address"]),
        str(doc["zone"]),
        str(doc["vm_id"]),
        int(doc["incarnation"]),
        float(doc["at"]),
    )


class IntentRows(ABC):
    """Where records of sends are kept."""

    @abstractmethod
    def write(self, kept: Sequence[VersionedRecord]) -> Task:
        """Write records if their rows have these versions; those without sends are removed.

        Returns
        -------
        int
            Version of the rows that were written; 0 if a row has another version.
        """

    @abstractmethod
    def drop(self, fingerprints: Iterable[str]) -> Task:
        """Remove the records of some requests, whatever they are."""

    @abstractmethod
    def read(self, fingerprint: str) -> Task:
        """Return the `VersionedRecord` of a request; they are empty if there are none."""

    @abstractmethod
    def read_all(self) -> Task:
        """Return all `VersionedRecord`, and a `PlatformError` for each that cannot be read."""


class TableIntents(IntentRows):
    """Records as rows of a table of their own: nobody follows it."""

    def __init__(self, store: TableStore):
        self._store = store

    def write(self, kept: Sequence[VersionedRecord]) -> Task:
        """Write records if their rows have these versions."""
        conditions = [RowCondition(INTENT_TABLE, _name(each), each.version) for each in kept]
        rows = [RowWrite(INTENT_TABLE, _name(each), _row_value(each.record)) for each in kept]
        outcome = yield from self._store.transact("", conditions, rows)
        return outcome.version if outcome.ok else 0

    def drop(self, fingerprints: Iterable[str]) -> Task:
        """Remove the records of some requests."""
        rows = [RowWrite(INTENT_TABLE, each, None) for each in fingerprints]
        yield from self._store.transact("", (), rows)

    def read(self, fingerprint: str) -> Task:
        """Return the record of a request."""
        end = fingerprint + "\0"
        found = yield from self._store.read(INTENT_TABLE, first=fingerprint, end=end, limit=1)
        return _kept(found.rows[0]) if found.rows else VersionedRecord(IntentRecord(fingerprint))

    def read_all(self) -> Task:
        """Return all records."""
        found = yield from self._store.read(INTENT_TABLE)
        rows = list(found.rows)
        while found.truncated and found.rows:
            found = yield from self._store.read(INTENT_TABLE, first=found.rows[-1].key + "\0")
            rows += found.rows
        return _readable(rows)


class DocumentIntents(IntentRows):
    """Records as documents beside the others of the product."""

    def __init__(self, documents: DocumentStore):
        self._documents = documents

    def write(self, kept: Sequence[VersionedRecord]) -> Task:
        """Write records if their documents have these revisions."""
        conditions = [Condition(INTENT_PREFIX + _name(each), each.version) for each in kept]
        writes = [
            Write(
                INTENT_PREFIX + _name(each),
                encode_record(each.record) if each.record.sends else None,
            )
            for each in kept
        ]
        result = yield from self._documents.transact(conditions, writes)
        return result.version if result.ok else 0

    def drop(self, fingerprints: Iterable[str]) -> Task:
        """Remove the records of some requests."""
        writes = [Write(INTENT_PREFIX + each, None) for each in fingerprints]
        yield from self._documents.transact((), writes)

    def read(self, fingerprint: str) -> Task:
        """Return the record of a request."""
        (found,) = yield from self._documents.read([INTENT_PREFIX + fingerprint])
        if not found.revision:
            return VersionedRecord(IntentRecord(fingerprint))
        return VersionedRecord(decode_record(fingerprint, found.value), found.revision)

    def read_all(self) -> Task:
        """Return all records."""
        found = yield from self._documents.scan(INTENT_PREFIX)
        kept: list[VersionedRecord | PlatformError] = []
        for each in found:
            name = each.key.removeprefix(INTENT_PREFIX)
            try:
                kept.append(VersionedRecord(decode_record(name, each.value), each.revision))
            except PlatformError as exc:
                kept.append(exc)
        return tuple(kept)


def _name(kept: VersionedRecord) -> str:
    return kept.record.fingerprint


def _row_value(record: IntentRecord) -> bytes | None:
    return orjson.dumps(encode_record(record)) if record.sends else None


def _kept(row: StoredRow) -> VersionedRecord:
    return VersionedRecord(decode_record(row.key, row.value), row.version)


def _readable(rows: Iterable[StoredRow]) -> tuple[VersionedRecord | PlatformError, ...]:
    found: list[VersionedRecord | PlatformError] = []
    for row in rows:
        try:
            found.append(_kept(row))
        except PlatformError as exc:
            found.append(exc)
    return tuple(found)
