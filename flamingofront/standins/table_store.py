"""Stand-in for the users' platform: table store with a change feed, object store and cloud API."""

import base64
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any
from urllib.parse import unquote

import orjson

from flamingofront.connection.interfaces import Exchange
from flamingofront.connection.server import JSON_HEADERS
from flamingofront.messages import InboundRequest
from flamingofront.process.timers import TimerService

__all__ = ["LeaderCall", "LostWrite", "StoreFault", "TableStoreStandIn"]

MAX_HISTORY_ROWS = 10_000
# Writes that can be undone, enough to restore a snapshot some seconds old.
MAX_UNDO_WRITES = 20_000
MAX_RANGE_ROWS = 500
OBJECT_PATHS = ("/api/blob-put/", "/api/blob-get/", "/api/blob-drop/")
Respond = Callable[[int, dict[str, Any]], None]


class StoreFault(StrEnum):
    """How calls to the store fail."""

    NONE = "none"
    BUSY = "busy"
    SILENT = "silent"
    RESET = "reset"
    LOSE_ANSWERS = "lose_answers"


@dataclass(frozen=True)
class LeaderCall:
    """One call of the leader lease holder to the cloud API, as recorded on arrival."""

    at: float
    holder: str
    fencing: int
    path: str
    body: dict[str, Any]


@dataclass(frozen=True)
class _UndoRecord:
    """A write that can be undone; `before` is the previous value and version of its row."""

    at: float
    row: tuple[str, str, str]
    before: tuple[bytes, int] | None
    version_before: int


@dataclass(frozen=True)
class LostWrite:
    """A row whose value changed when the store was restored, with its value before the restore."""

    table: str
    part: str
    key: str
    value: bytes | None


@dataclass
class _FeedWait:
    """A feed call that waits for the first change after version `after`."""

    table: str
    after: int
    exchange: Exchange
    done: bool = False


@dataclass
class TableStoreStandIn:
    """Versioned rows with conditional transactions and a change feed, objects and a cloud API.

    Parameters
    ----------
    fault : StoreFault
        Fault that applies to all calls to the store.
    cloud_fault : StoreFault
        Fault that applies to all calls to the cloud API.
    rejected_sources : set of str
        Callers whose calls are rejected, named by the `source` given to `make_handler`.
    out_of_stock : bool
        True to reject requests for more than one reclaimable endpoint.
    """

    timers: TimerService
    fault: StoreFault = StoreFault.NONE
    cloud_fault: StoreFault = StoreFault.NONE
    rejected_sources: set[str] = field(default_factory=set)
    out_of_stock: bool = False
    leader_calls: list[LeaderCall] = field(default_factory=list)
    calls: int = 0

    def __post_init__(self):
        self.version = 0
        self._rows: dict[tuple[str, str, str], tuple[bytes, int]] = {}
        self._history: deque[tuple[int, str, str, str, bytes | None]] = deque(
            maxlen=MAX_HISTORY_ROWS
        )
        self._oldest_feed_version = 0
        self._waiting: list[_FeedWait] = []
        self._undo: deque[_UndoRecord] = deque(maxlen=MAX_UNDO_WRITES)
        # Incremented each time the store is restored from a snapshot; sent with each response.
        self.era = 0
        self.objects: dict[str, bytes] = {}

    # Direct access for tests, in the place of the operator and the endpoints

    def put(self, table: str, key: str, value: dict[str, Any], part: str = "") -> int:
        """Write a row and return its version."""
        self.version += 1
        self._write(table, part, key, orjson.dumps(value))
        self._answer_feeds()
        return self.version

    def drop(self, table: str, key: str, part: str = "") -> None:
        """Delete a row."""
        self.version += 1
        self._write(table, part, key, None)
        self._answer_feeds()

    def get_rows(self, table: str, part: str = "") -> dict[str, tuple[bytes, int]]:
        """Return the value and version of each row of a partition, by key."""
        return {
            key: row
            for (name, where, key), row in self._rows.items()
            if (name, where) == (table, part)
        }

    def get_value(self, table: str, key: str, part: str = "") -> dict[str, Any] | None:
        """Return the decoded value of a row, or None if it does not exist."""
        row = self._rows.get((table, part, key))
        return orjson.loads(row[0]) if row is not None else None

    def discard_history(self) -> None:
        """Discard the change history, so that feeds from an earlier version are rejected."""
        self._oldest_feed_version = self.version
        self._history.clear()

    def restore(self, seconds: float) -> tuple[LostWrite, ...]:
        """Restore the store from a snapshot some seconds old, and return the rows that changed.

        Notes
        -----
        Versions return to those of the snapshot, so they are assigned a second time. Waiting feed
        calls are aborted.
        """
        lost: dict[tuple[str, str, str], LostWrite] = {}
        since = self.timers.now() - seconds
        while self._undo and self._undo[-1].at > since:
            undo = self._undo.pop()
            if undo.row not in lost:
                value = self._rows.get(undo.row, (None, 0))[0]
                lost[undo.row] = LostWrite(*undo.row, value)
            if undo.before is None:
                self._rows.pop(undo.row, None)
            else:
                self._rows[undo.row] = undo.before
            self.version = undo.version_before
        self._history = deque(
            (each for each in self._history if each[0] <= self.version), maxlen=MAX_HISTORY_ROWS
        )
        self.era += 1
        waiting, self._waiting = self._waiting, []
        for each in waiting:
            each.done = True
            each.exchange.abort()
        return tuple(lost.values())

    def rewrite_row(self, lost: LostWrite) -> None:
        """Write again a row that a restore has lost, as its operator or endpoint would."""
        self.version += 1
        self._write(lost.table, lost.part, lost.key, lost.value)
        self._answer_feeds()

    def _write(self, table: str, part: str, key: str, value: bytes | None) -> None:
        row = (table, part, key)
        self._undo.append(
            _UndoRecord(self.timers.now(), row, self._rows.get(row), self.version - 1)
        )
        if value is None:
            self._rows.pop((table, part, key), None)
        else:
            self._rows[table, part, key] = (value, self.version)
        self._history.append((self.version, table, part, key, value))

    # Handling of calls

    def make_handler(self, source: str) -> Callable[[InboundRequest, Exchange], None]:
        """Return a handler for the calls of one VM, named by `source`."""
        return lambda req, exchange: self.handle(req, exchange, source)

    def handle(self, req: InboundRequest, exchange: Exchange, source: str = "") -> None:
        """Handle one call to the store or the cloud API."""
        self.calls += 1
        is_cloud = req.path in ("/usage", "/scale")
        fault = self.cloud_fault if is_cloud else self.fault
        if source in self.rejected_sources:
            fault = StoreFault.BUSY
        if fault is StoreFault.SILENT:
            return
        if fault is StoreFault.RESET:
            exchange.abort()
            return
        if fault is StoreFault.BUSY:
            exchange.respond(503, self._make_era_headers(), b"")
            return
        is_lost = fault is StoreFault.LOSE_ANSWERS and req.method != "GET"
        self._serve(req, exchange, _discard_response if is_lost else self._make_responder(exchange))

    def _serve(self, req: InboundRequest, exchange: Exchange, respond: Respond) -> None:
        if req.path == "/api/rows-tx":
            self._transact(orjson.loads(req.body), respond)
        elif req.path == "/api/rows-get":
            self._read_rows(req, respond)
        elif req.path == "/api/rows-feed":
            self._serve_feed(req, exchange, respond)
        elif req.path in ("/usage", "/scale"):
            self._record_leader_call(req, respond)
        elif req.path.startswith(OBJECT_PATHS):
            self._serve_object(req, exchange)
        else:
            respond(404, {})

    def _serve_object(self, req: InboundRequest, exchange: Exchange) -> None:
        name = unquote(req.path.split("/", 3)[3])
        if req.method == "PUT":
            self.objects[name] = req.body
        elif name not in self.objects:
            exchange.respond(404, (), b"")
            return
        elif req.method == "DELETE":
            del self.objects[name]
        exchange.respond(200, (), self.objects.get(name, b"") if req.method == "GET" else b"")

    def _make_stamp(self) -> dict[str, Any]:
        """Return the fields that each response carries: the store's version and time."""
        return {"ver": self.version, "now_ms": int(self.timers.now() * 1000)}

    def _transact(self, body: dict[str, Any], respond: Respond) -> None:
        conflicts = []
        for each in body["expected_rev"]:
            key = (each["table"], each["part"], each["key"])
            if self._rows.get(key, (b"", 0))[1] != each["ver"]:
                conflicts.append(key)
        if conflicts:
            rows = [self._encode_row(*key) for key in conflicts if key in self._rows]
            respond(412, {"rows": rows, **self._make_stamp()})
            return
        self.version += 1
        for each in body["writes"]:
            value = base64.b64decode(each["value"])
            self._write(each["table"], each["part"], each["key"], value)
        for each in body["remove"]:
            self._write(each["table"], each["part"], each["key"], None)
        respond(200, self._make_stamp())
        self._answer_feeds()

    def _encode_row(self, table: str, part: str, key: str) -> dict[str, Any]:
        value, version = self._rows[table, part, key]
        data = base64.b64encode(value).decode()
        return {"table": table, "part": part, "key": key, "value": data, "ver": version}

    def _read_rows(self, req: InboundRequest, respond: Respond) -> None:
        table, part = req.query["table"], req.query.get("part", "")
        first, end = req.query.get("from", ""), req.query.get("to", "")
        keys = sorted(
            key
            for key in self._rows
            if key[:2] == (table, part) and first <= key[2] and (not end or key[2] < end)
        )
        limit = min(MAX_RANGE_ROWS, int(req.query.get("limit", MAX_RANGE_ROWS)))
        rows = [self._encode_row(*key) for key in keys[:limit]]
        respond(200, {"rows": rows, "truncated": len(keys) > limit, **self._make_stamp()})

    def _serve_feed(self, req: InboundRequest, exchange: Exchange, respond: Respond) -> None:
        after = int(req.query["after_rev"])
        if after < self._oldest_feed_version or after > self.version:
            respond(410, self._make_stamp())
            return
        waiting = _FeedWait(req.query["table"], after, exchange)
        if not self._answer_feed(waiting):
            self._waiting.append(waiting)
            seconds = int(req.query["wait_ms"]) / 1000
            self.timers.once(seconds, lambda: self._answer_feed(waiting, is_timeout=True))

    def _answer_feed(self, waiting: _FeedWait, is_timeout: bool = False) -> bool:
        """Respond to a feed call if it has changes or its wait has ended; return True if done."""
        if waiting.done:
            return True
        rows = [
            self._encode_change(*each)
            for each in self._history
            if each[0] > waiting.after and each[1] == waiting.table
        ]
        if not rows and not is_timeout:
            return False
        waiting.done = True
        if self.fault is StoreFault.BUSY:
            waiting.exchange.respond(503, self._make_era_headers(), b"")
        elif self.fault is StoreFault.RESET:
            waiting.exchange.abort()
        elif self.fault is not StoreFault.SILENT:
            self._make_responder(waiting.exchange)(200, {"rows": rows, **self._make_stamp()})
        return True

    @staticmethod
    def _encode_change(version: int, table: str, part: str, key: str, value: bytes | None) -> dict:
        row = {"table": table, "part": part, "key": key, "ver": version}
        if value is None:
            return {**row, "tombstone": True}
        return {**row, "value": base64.b64encode(value).decode()}

    def _answer_feeds(self) -> None:
        self._waiting = [each for each in self._waiting if not self._answer_feed(each)]

    def _record_leader_call(self, req: InboundRequest, respond: Respond) -> None:
        body = orjson.loads(req.body)
        self.leader_calls.append(
            LeaderCall(
                self.timers.now(),
                req.header("x-flamingofront-duty-holder"),
                int(req.header("x-flamingofront-fencing-token")),
                req.path,
                body,
            )
        )
        is_rejected = self.out_of_stock and body.get("spot") and body["desired"] > 1
        respond(409 if is_rejected else 200, {})

    def _make_era_headers(self) -> tuple[tuple[str, str], ...]:
        return (("Store-Era", str(self.era)),)

    def _make_responder(self, exchange: Exchange) -> Respond:
        def respond(status: int, body: dict[str, Any]) -> None:
            fields = (*JSON_HEADERS, *self._make_era_headers())
            exchange.respond(status, fields, orjson.dumps(body))

        return respond


def _discard_response(status: int, body: dict[str, Any]) -> None:
    """Send no response to a call that was executed."""
