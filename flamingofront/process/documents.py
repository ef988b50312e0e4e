"""JSON documents that the entry processes keep in the platform's store, by key.

A document is a row of one table. A document that is too large for a row is stored as an object,
whose name is in the row. Each operation is a generator for `flamingofront.process.tasks`; a failed
one raises `PlatformError`, whose `maybe_applied` is True if a write may have taken effect.
"""

import contextlib
import hashlib
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from typing import Any

import orjson

from flamingofront.errors import PlatformError
from flamingofront.process.recent_documents import RecentDocuments, WriteStamp, is_newer
from flamingofront.process.store import (
    ObjectStore,
    RowCondition,
    RowWrite,
    StoredRow,
    get_era,
    get_era_version,
)
from flamingofront.process.store_eras import EraStore
from flamingofront.process.tasks import Task

__all__ = ["Condition", "Document", "DocumentStore", "TransactionResult", "Write"]

DOCUMENT_TABLE = "flamingofront"
# Limit of the platform on the size of a row, in bytes before it is encoded for the wire.
MAX_ROW_BYTES = 65_536
# Fields of a row: the value of the document, or the name of the object that contains it.
VALUE_FIELD = "value"
OBJECT_FIELD = "object"
# Era of the store in which a document was written, and the revision of its first write if the write
# was repeated after a restore of the store.
ERA_FIELD = "era"
ORIGIN_FIELD = "origin"
DIGEST_BYTES = 16


@dataclass(frozen=True)
class Document:
    """A document as it was read.

    Parameters
    ----------
    revision : int
        Revision of its last write; 0 if there is no such document.
    object_name : str
        Name of the object that contains the value; empty if the row contains it.
    stamp : Mark
        Logical time of the write of the value.
    """

    key: str
    value: Any = None
    revision: int = 0
    object_name: str = ""
    stamp: WriteStamp = WriteStamp()


@dataclass(frozen=True)
class Condition:
    """Requirement that a document has a revision; 0 requires that there is no such document."""

    key: str
    revision: int


@dataclass(frozen=True)
class Write:
    """New value of a document; None deletes the document."""

    key: str
    value: Any


@dataclass(frozen=True)
class TransactionResult:
    """Outcome of a transaction to which the store has responded.

    Parameters
    ----------
    ok : bool
        True if all conditions held and all writes took effect.
    version : int
        Revision of the written documents.
    """

    ok: bool
    version: int = 0


def _compute_prefix_end(prefix: str) -> str:
    """Return the first key that sorts behind all keys with an ASCII prefix."""
    return prefix[:-1] + chr(ord(prefix[-1]) + 1)


class DocumentStore:
    """JSON documents in a table store, with an object store for large ones.

    Parameters
    ----------
    now : callable
        Returns the time of the timer service in seconds.
    max_row_bytes : int
        Largest size of a row; a larger document is stored as an object.
    """

    def __init__(
        self,
        tables: EraStore,
        objects: ObjectStore,
        now: Callable[[], float],
        max_row_bytes: int = MAX_ROW_BYTES,
    ):
        self._tables = tables
        self._objects = objects
        self._max_row_bytes = max_row_bytes
        self._recent = RecentDocuments(now)

    def add_restore_listener(self, listener: Callable[[], None]) -> None:
        """Call `listener` each time the store was restored from an older snapshot."""
        self._tables.add_restore_listener(listener)

    def rewrite_recent(self) -> Task:
        """Repeat recent writes of this process that a restore has lost; return their number."""
        count = 0
        for write in self._recent.list_last_writes():
            (found,) = yield from self.read([write.key])
            version = get_era_version(found.revision)
            if not is_newer(write, found.stamp, version, self._tables.era):
                continue
            if found.revision == 0 and write.value is None:
                continue
            stamp = WriteStamp(get_era(write.revision), write.revision)
            data = yield from self._encode(Write(write.key, write.value), stamp)
            condition = RowCondition(DOCUMENT_TABLE, write.key, found.revision)
            row = RowWrite(DOCUMENT_TABLE, write.key, data)
            outcome = yield from self._tables.transact("", (condition,), (row,))
            count += outcome.ok
        return count

    def read(self, keys: Iterable[str]) -> Task:
        """Read documents one after the other; return a `Document` for each key, in the same order.

        Notes
        -----
        The documents are not a consistent snapshot. A caller that needs one uses their revisions as
        conditions of its transaction.
        """
        found = []
        for key in keys:
            # In byte order no other key is between `key` and the end of this range.
            rows = yield from self._tables.read(DOCUMENT_TABLE, first=key, end=key + "\0", limit=1)
            found.append(
                (yield from self._decode_row(rows.rows[0])) if rows.rows else Document(key)
            )
        return tuple(found)

    def scan(self, prefix: str) -> Task:
        """Return all documents whose key begins with a prefix, in the order of their keys."""
        end = _compute_prefix_end(prefix)
        part = yield from self._tables.read(DOCUMENT_TABLE, first=prefix, end=end)
        rows = list(part.rows)
        while part.truncated and part.rows:
            first = part.rows[-1].key + "\0"
            part = yield from self._tables.read(DOCUMENT_TABLE, first=first, end=end)
            rows += part.rows
        found = []
        for row in rows:
            found.append((yield from self._decode_row(row)))
        return tuple(found)

    def transact(self, conditions: Iterable[Condition], writes: Sequence[Write]) -> Task:
        """Write all documents if all conditions hold; return the `TransactionResult`."""
        rows = []
        for write in writes:
            data = yield from self._encode(write, WriteStamp(self._tables.era))
            rows.append(RowWrite(DOCUMENT_TABLE, write.key, data))
        required = [RowCondition(DOCUMENT_TABLE, each.key, each.revision) for each in conditions]
        outcome = yield from self._tables.transact("", required, rows)
        if outcome.ok:
            for write in writes:
                self._recent.record_write(write.key, write.value, outcome.version)
        return TransactionResult(outcome.ok, outcome.version)

    def replace(self, document: Document, value: Any, *more: Write) -> Task:
        """Write a document if it has not changed since it was read; return True if it was written.

        Parameters
        ----------
        value : object
            New value; None deletes the document.
        more : Write
            Other documents to write with it.
        """
        condition = Condition(document.key, document.revision)
        result = yield from self.transact((condition,), (Write(document.key, value), *more))
        if result.ok and value != document.value:
            # A leftover object only uses space; the transaction itself has succeeded.
            with contextlib.suppress(PlatformError):
                yield from self.drop_object(document)
        return result.ok

    def drop_object(self, document: Document) -> Task:
        """Delete the object of a document that was deleted or replaced, if it had one."""
        if document.object_name:
            yield from self._objects.drop(document.object_name)

    def _encode(self, write: Write, stamp: WriteStamp) -> Task:
        """Return the encoded row of a write, None for a deletion; store a large value first."""
        if write.value is None:
            return None
        stamp_fields = {ERA_FIELD: stamp.era, ORIGIN_FIELD: stamp.origin}
        stamp_fields = {name: value for name, value in stamp_fields.items() if value}
        data = orjson.dumps({VALUE_FIELD: write.value, **stamp_fields})
        if len(data) <= self._max_row_bytes:
            return data
        digest = hashlib.blake2b(data, digest_size=DIGEST_BYTES).hexdigest()
        name = f"{write.key}/{digest}"
        try:
            yield from self._objects.put(name, data)
        except PlatformError as exc:
            # An object without a row has no effect, and the transaction was not sent.
            raise PlatformError(str(exc), maybe_applied=False) from exc
        return orjson.dumps({OBJECT_FIELD: name, **stamp_fields})

    def _decode_row(self, row: StoredRow) -> Task:
        """Return the document of a row; read its object first if there is one."""
        body = _parse_object(row.key, row.value or b"")
        name = body.get(OBJECT_FIELD, "")
        stamp = WriteStamp(body.get(ERA_FIELD, 0), body.get(ORIGIN_FIELD, 0))
        if not name:
            return Document(row.key, body.get(VALUE_FIELD), row.version, stamp=stamp)
        data = yield from self._objects.get(name)
        if data is None:
            # The document was replaced or deleted after its row was read; the caller has to retry.
            raise PlatformError(f"object of document {row.key} not found")
        value = _parse_object(row.key, data).get(VALUE_FIELD)
        return Document(row.key, value, row.version, name, stamp)


def _parse_object(key: str, data: bytes) -> dict[str, Any]:
    """Return the JSON object in a row or object; raises `PlatformError` if it is malformed."""
    try:
        body = orjson.loads(data)
    except orjson.JSONDecodeError as exc:
        raise PlatformError(f"document {key} is malformed: {exc}") from exc
    if not isinstance(body, dict):
        raise PlatformError(f"document {key} is malformed: not a JSON object")
    return body
