"""Storage of send intents, as rows of the table store or as documents."""

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
    """A stored intent record and the version of its row, 0 if there is no row."""

    record: IntentRecord
    version: int = 0


def encode_record(record: IntentRecord) -> dict[str, Any]:
    """Return an intent record as a JSON object, as it is stored."""
    return {"sends": [asdict(each) for each in record.sends], "unseen": list(record.unobserved)}


def decode_record(fingerprint: str, value: Any) -> IntentRecord:
    """Return the intent record of a request from its stored value.

    Parameters
    ----------
    value : object
        JSON text as bytes, or the decoded JSON object.

    Raises
    ------
    PlatformError
        If the value is malformed.
    """
    try:
        doc = orjson.loads(value) if isinstance(value, bytes) else value
        sends = tuple(_decode_send(each) for each in doc["sends"])
        return IntentRecord(fingerprint, sends, tuple(map(str, doc["unseen"])))
    except (KeyError, TypeError, ValueError) as exc:
        raise PlatformError(f"malformed intent record {fingerprint}: {exc!r:.100}") from exc


def _decode_send(doc: Any) -> SendIntent:
    """Return a send from its JSON object; raises a built-in error if it is malformed."""
    return SendIntent(
        str(doc["endpoint_id"]),
        str(doc["address"]),
        str(doc["zone"]),
        str(doc["vm_id"]),
        int(doc["incarnation"]),
        float(doc["at"]),
        # Processes of earlier versions record no parts.
        tuple(str(each) for each in doc.get("parts", ())),
    )


class IntentRows(ABC):
    """Storage of intent records, one for each request."""

    @abstractmethod
    def write(self, records: Sequence[VersionedRecord]) -> Task:
        """Write records in one transaction if all their rows have the given versions.

        Records without sends are deleted.

        Returns
        -------
        int
            Version of the rows that were written; 0 if a row has another version.
        """

    @abstractmethod
    def drop(self, fingerprints: Iterable[str]) -> Task:
        """Delete the records of some requests unconditionally."""

    @abstractmethod
    def read(self, fingerprint: str) -> Task:
        """Return the `VersionedRecord` of a request; its record is empty if none is stored."""

    @abstractmethod
    def read_all(self) -> Task:
        """Return all `VersionedRecord` objects, with a `PlatformError` for each malformed one."""


class TableIntents(IntentRows):
    """Intent records as rows of a dedicated table, whose change feed no process watches."""

    def __init__(self, store: TableStore):
        self._store = store

    def write(self, records: Sequence[VersionedRecord]) -> Task:
        """Write records if all their rows have the given versions; return the new version or 0."""
        conditions = [
            RowCondition(INTENT_TABLE, _get_fingerprint(each), each.version) for each in records
        ]
        rows = [
            RowWrite(INTENT_TABLE, _get_fingerprint(each), _encode_row(each.record))
            for each in records
        ]
        outcome = yield from self._store.transact("", conditions, rows)
        return outcome.version if outcome.ok else 0

    def drop(self, fingerprints: Iterable[str]) -> Task:
        """Delete the records of some requests unconditionally."""
        rows = [RowWrite(INTENT_TABLE, each, None) for each in fingerprints]
        yield from self._store.transact("", (), rows)

    def read(self, fingerprint: str) -> Task:
        """Return the `VersionedRecord` of a request; its record is empty if none is stored."""
        end = fingerprint + "\0"
        found = yield from self._store.read(INTENT_TABLE, first=fingerprint, end=end, limit=1)
        return (
            _decode_row(found.rows[0]) if found.rows else VersionedRecord(IntentRecord(fingerprint))
        )

    def read_all(self) -> Task:
        """Return all `VersionedRecord` objects, with a `PlatformError` for each malformed one."""
        found = yield from self._store.read(INTENT_TABLE)
        rows = list(found.rows)
        while found.truncated and found.rows:
            found = yield from self._store.read(INTENT_TABLE, first=found.rows[-1].key + "\0")
            rows += found.rows
        return _decode_rows(rows)


class DocumentIntents(IntentRows):
    """Intent records as JSON documents of the document store."""

    def __init__(self, documents: DocumentStore):
        self._documents = documents

    def write(self, records: Sequence[VersionedRecord]) -> Task:
        """Write records if all documents have the given revisions; return the new one or 0."""
        conditions = [
            Condition(INTENT_PREFIX + _get_fingerprint(each), each.version) for each in records
        ]
        writes = [
            Write(
                INTENT_PREFIX + _get_fingerprint(each),
                encode_record(each.record) if each.record.sends else None,
            )
            for each in records
        ]
        result = yield from self._documents.transact(conditions, writes)
        return result.version if result.ok else 0

    def drop(self, fingerprints: Iterable[str]) -> Task:
        """Delete the records of some requests unconditionally."""
        writes = [Write(INTENT_PREFIX + each, None) for each in fingerprints]
        yield from self._documents.transact((), writes)

    def read(self, fingerprint: str) -> Task:
        """Return the `VersionedRecord` of a request; its record is empty if none is stored."""
        (found,) = yield from self._documents.read([INTENT_PREFIX + fingerprint])
        if not found.revision:
            return VersionedRecord(IntentRecord(fingerprint))
        return VersionedRecord(decode_record(fingerprint, found.value), found.revision)

    def read_all(self) -> Task:
        """Return all `VersionedRecord` objects, with a `PlatformError` for each malformed one."""
        found = yield from self._documents.scan(INTENT_PREFIX)
        results: list[VersionedRecord | PlatformError] = []
        for each in found:
            name = each.key.removeprefix(INTENT_PREFIX)
            try:
                results.append(VersionedRecord(decode_record(name, each.value), each.revision))
            except PlatformError as exc:
                results.append(exc)
        return tuple(results)


def _get_fingerprint(versioned: VersionedRecord) -> str:
    return versioned.record.fingerprint


def _encode_row(record: IntentRecord) -> bytes | None:
    """Return the value of a record's row; None, which deletes the row, if it has no sends."""
    return orjson.dumps(encode_record(record)) if record.sends else None


def _decode_row(row: StoredRow) -> VersionedRecord:
    """Return the record in a row; raises `PlatformError` if it is malformed."""
    return VersionedRecord(decode_record(row.key, row.value), row.version)


def _decode_rows(rows: Iterable[StoredRow]) -> tuple[VersionedRecord | PlatformError, ...]:
    """Decode rows; a malformed one yields its error in place of a record."""
    found: list[VersionedRecord | PlatformError] = []
    for row in rows:
        try:
            found.append(_decode_row(row))
        except PlatformError as exc:
            found.append(exc)
    return tuple(found)
