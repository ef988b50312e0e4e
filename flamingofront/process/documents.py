"""JSON documents by key: what the entry processes keep in the platform's store.

A document is a row of one table. One that is too large for a row is kept as an object, and its row
names the object. Each operation is a generator for `flamingofront.process.tasks`; a failed one
raises `PlatformError`, whose `maybe_applied` says whether a write may have taken effect.
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
# Largest row of the users' platform, in bytes before its encoding.
ROW_BYTES = 65_536
# Fields of a row: the document itself, or the name of the object that holds it.
VALUE_FIELD = "value"
OBJECT_FIELD = "object"
# Era of the store in which a document was written, and the position of its first write if it was
# written again after a return from a copy.
ERA_FIELD = "era"
ORIGIN_FIELD = "origin"
DIGEST_BYTES = 16


@dataclass(frozen=True)
class Document:
    """One document; revision 0 means that there is none.

    Parameters
    ----------
    object_name : str
        Object that holds the document; empty if its row does.
    mark : Mark
        Where its value stands among all writes.
    """

    key: str
    value: Any = None
    revision: int = 0
    object_name: str = ""
    mark: WriteStamp = WriteStamp()


@dataclass(frozen=True)
class Condition:
    """Requirement that a document has exactly this revision; 0 requires its absence."""

    key: str
    revision: int


@dataclass(frozen=True)
class Write:
    """New value of a document; None deletes it."""

    key: str
    value: Any


@dataclass(frozen=True)
class TransactionResult:
    """Outcome of a transaction that the store answered.

    Parameters
    ----------
    ok : bool
        True if all conditions held and all writes took effect.
    version : int
        Revision of what was written.
    """

    ok: bool
    version: int = 0


def _prefix_end(prefix: str) -> str:
    """Return the first key behind all keys that begin with an ASCII prefix."""
    return prefix[:-1] + chr(ord(prefix[-1]) + 1)


class DocumentStore:
    """Documents in a table store and an object store.

    Parameters
    ----------
    now : callable
        Time of the timer service.
    row_bytes : int
        Largest row; a larger document is kept as an object.
    """

    def __init__(
        self,
        tables: EraStore,
        objects: ObjectStore,
        now: Callable[[], float],
        row_bytes: int = ROW_BYTES,
    ):
        self._tables = tables
        self._objects = objects
        self._row_bytes = row_bytes
        self._recent = RecentDocuments(now)

    def add_restore_listener(self, listener: Callable[[], None]) -> None:
        """Call `listener` each time the store has come back from an older copy."""
        self._tables.add_restore_listener(listener)

    def rewrite_recent(self) -> Task:
        """Write what this process wrote lately and the store has lost; return how much it was."""
        count = 0
        for write in self._recent.last_writes():
            (found,) = yield from self.read([write.key])
            version = get_era_version(found.revision)
            if not is_newer(write, found.mark, version, self._tables.era):
                continue
            if found.revision == 0 and write.value is None:
                continue
            mark = WriteStamp(get_era(write.position), write.position)
            data = yield from self._encoded(Write(write.key, write.value), mark)
            condition = RowCondition(DOCUMENT_TABLE, write.key, found.revision)
            row = RowWrite(DOCUMENT_TABLE, write.key, data)
            outcome = yield from self._tables.transact("", (condition,), (row,))
            count += outcome.ok
        return count

    def read(self, keys: Iterable[str]) -> Task:
        """Read documents one after the other, in this order; return a `Document` for each key.

        Notes
        -----
        They are not of one moment: a caller that needs that repeats what it read as conditions of
        its transaction.
        """
        found = []
        for key in keys:
            # The range ends right behind the key, in byte order.
            rows = yield from self._tables.read(DOCUMENT_TABLE, first=key, end=key + "\0", limit=1)
            found.append((yield from self._document(rows.rows[0])) if rows.rows else Document(key))
        return tuple(found)

    def scan(self, prefix: str) -> Task:
        """Read all documents whose key begins with `prefix`, in the order of their keys."""
        end = _prefix_end(prefix)
        part = yield from self._tables.read(DOCUMENT_TABLE, first=prefix, end=end)
        rows = list(part.rows)
        while part.truncated and part.rows:
            first = part.rows[-1].key + "\0"
            part = yield from self._tables.read(DOCUMENT_TABLE, first=first, end=end)
            rows += part.rows
        found = []
        for row in rows:
            found.append((yield from self._document(row)))
        return tuple(found)

    def transact(self, conditions: Iterable[Condition], writes: Sequence[Write]) -> Task:
        """Write all documents if all conditions hold; return the `TransactionResult`."""
        rows = []
        for write in writes:
            data = yield from self._encoded(write, WriteStamp(self._tables.era))
            rows.append(RowWrite(DOCUMENT_TABLE, write.key, data))
        required = [RowCondition(DOCUMENT_TABLE, each.key, each.revision) for each in conditions]
        outcome = yield from self._tables.transact("", required, rows)
        if outcome.ok:
            for write in writes:
                self._recent.record_write(write.key, write.value, outcome.version)
        return TransactionResult(outcome.ok, outcome.version)

    def replace(self, document: Document, value: Any, *more: Write) -> Task:
        """Write a document if it did not change since it was read; return whether that was done.

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
            # An object that is left behind only takes room: the change itself stands.
            with contextlib.suppress(PlatformError):
                yield from self.drop_object(document)
        return result.ok

    def drop_object(self, document: Document) -> Task:
        """Remove the object of a document that was deleted or replaced, if it had one."""
        if document.object_name:
            yield from self._objects.drop(document.object_name)

    def _encoded(self, write: Write, mark: WriteStamp) -> Task:
        """Return a document's row; store its object first if it needs one."""
        if write.value is None:
            return None
        marked = {ERA_FIELD: mark.era, ORIGIN_FIELD: mark.origin}
        marked = {name: value for name, value in marked.items() if value}
        data = orjson.dumps({VALUE_FIELD: write.value, **marked})
        if len(data) <= self._row_bytes:
            return data
        digest = hashlib.blake2b(data, digest_size=DIGEST_BYTES).hexdigest()
        name = f"{write.key}/{digest}"
        try:
            yield from self._objects.put(name, data)
        except PlatformError as exc:
            # An object alone changes nothing: the transaction was not sent.
            raise PlatformError(str(exc), maybe_applied=False) from exc
        return orjson.dumps({OBJECT_FIELD: name, **marked})

    def _document(self, row: StoredRow) -> Task:
        body = _decoded(row.key, row.value or b"")
        name = body.get(OBJECT_FIELD, "")
        mark = WriteStamp(body.get(ERA_FIELD, 0), body.get(ORIGIN_FIELD, 0))
        if not name:
            return Document(row.key, body.get(VALUE_FIELD), row.version, mark=mark)
        data = yield from self._objects.get(name)
        if data is None:
            # Replaced since the row was read, or removed with it: to be read again.
            raise PlatformError(f"the object of document {row.key} is gone")
        value = _decoded(row.key, data).get(VALUE_FIELD)
        return Document(row.key, value, row.version, name, mark)


def _decoded(key: str, data: bytes) -> dict[str, Any]:
    try:
        body = orjson.loads(data)
    except orjson.JSONDecodeError as exc:
        raise PlatformError(f"document {key} is malformed: {exc}") from exc
    if not isinstance(body, dict):
        raise PlatformError(f"document {key} is malformed: not a JSON object")
    return body
