"""Stand-in for the users' platform: table store with a feed, object store, cloud's duty calls."""

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

HISTORY_ROWS = 10_000
# Writes that can be undone: a copy is some seconds old.
KEPT_WRITES = 20_000
MAX_RANGE_ROWS = 500
OBJECT_PATHS = ("/api/blob-put/", "/api/blob-get/", "/api/blob-drop/")
Respond = Callable[[int, dict[str, Any]], None]


class StoreFault(StrEnum):
    """What the store does instead of answering."""

    NONE = "none"
    BUSY = "busy"
    SILENT = "silent"
    RESET = "reset"
    LOSE_ANSWERS = "lose_answers"


@dataclass(frozen=True)
class LeaderCall:
    """One accepted call of the holder of a duty."""

    at: float
    holder: str
    fencing: int
    path: str
    body: dict[str, Any]


@dataclass(frozen=True)
class _Undo:
    """A write, and what its row was before."""

    at: float
    row: tuple[str, str, str]
    before: tuple[bytes, int] | None
    version_before: int


@dataclass(frozen=True)
class LostWrite:
    """A row as it was before the store came back from a copy that does not have it so."""

    table: str
    part: str
    key: str
    value: bytes | None


@dataclass
class _Waiting:
    table: str
    after: int
    exchange: Exchange
    done: bool = False


@dataclass
class TableStoreStandIn:
    """Rows with versions, conditional transactions and a feed.

    Parameters
    ----------
    fault : StoreFault
        Fault of the store.
    refused : set of str
        Callers that the store turns away, by the source that `handler_for` was made with.
    out_of_stock : bool
        True if orders for more reclaimable endpoints are refused.
    """

    timers: TimerService
    fault: StoreFault = StoreFault.NONE
    cloud_fault: StoreFault = StoreFault.NONE
    refused: set[str] = field(default_factory=set)
    out_of_stock: bool = False
    leader_calls: list[LeaderCall] = field(default_factory=list)
    calls: int = 0

    def __post_init__(self):
        self.version = 0
        self._rows: dict[tuple[str, str, str], tuple[bytes, int]] = {}
        self._history: deque[tuple[int, str, str, str, bytes | None]] = deque(maxlen=HISTORY_ROWS)
        self._lost_before = 0
        self._waiting: list[_Waiting] = []
        self._undo: deque[_Undo] = deque(maxlen=KEPT_WRITES)
        # Rises each time the store comes back from a copy; its answers tell it.
        self.era = 0
        self.objects: dict[str, bytes] = {}

    # What the operator and the endpoints do

    def put(self, table: str, key: str, value: dict[str, Any], part: str = "") -> int:
        """Write a row and return its version."""
        self.version += 1
        self._write(table, part, key, orjson.dumps(value))
        self._wake()
        return self.version

    def drop(self, table: str, key: str, part: str = "") -> None:
        """Delete a row."""
        self.version += 1
        self._write(table, part, key, None)
        self._wake()

    def rows(self, table: str, part: str = "") -> dict[str, tuple[bytes, int]]:
        """Return value and version of each row, by key."""
        return {
            key: row
            for (name, where, key), row in self._rows.items()
            if (name, where) == (table, part)
        }

    def value(self, table: str, key: str, part: str = "") -> dict[str, Any] | None:
        """Return a row's value."""
        row = self._rows.get((table, part, key))
        return orjson.loads(row[0]) if row is not None else None

    def discard_history(self) -> None:
        """Drop the history: feeds that begin before now are told so."""
        self._lost_before = self.version
        self._history.clear()

    def restore(self, seconds: float) -> tuple[LostWrite, ...]:
        """Come back from a copy of some seconds ago, and return what that took away.

        Notes
        -----
        Versions go back and are given out again. Calls that wait are cut.
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
            (each for each in self._history if each[0] <= self.version), maxlen=HISTORY_ROWS
        )
        self.era += 1
        waiting, self._waiting = self._waiting, []
        for each in waiting:
            each.done = True
            each.exchange.abort()
        return tuple(lost.values())

    def rewrite_row(self, lost: LostWrite) -> None:
        """Write a row that a copy has taken away again, as the operator and endpoints do."""
        self.version += 1
        self._write(lost.table, lost.part, lost.key, lost.value)
        self._wake()

    def _write(self, table: str, part: str, key: str, value: bytes | None) -> None:
        row = (table, part, key)
        self._undo.append(_Undo(self.timers.now(), row, self._rows.get(row), self.version - 1))
        if value is None:
            self._rows.pop((table, part, key), None)
        else:
            self._rows[table, part, key] = (value, self.version)
        self._history.append((self.version, table, part, key, value))

    # Calls

    def handler_for(self, source: str) -> Callable[[InboundRequest, Exchange], None]:
        """Return a handler for the calls of one VM."""
        return lambda req, exchange: self.handle(req, exchange, source)

    def handle(self, req: InboundRequest, exchange: Exchange, source: str = "") -> None:
        """Take one call."""
        self.calls += 1
        is_cloud = req.path in ("/usage", "/scale")
        fault = self.cloud_fault if is_cloud else self.fault
        if source in self.refused:
            fault = StoreFault.BUSY
        if fault is StoreFault.SILENT:
            return
        if fault is StoreFault.RESET:
            exchange.abort()
            return
        if fault is StoreFault.BUSY:
            exchange.respond(503, self._era_fields(), b"")
            return
        lose = fault is StoreFault.LOSE_ANSWERS and req.method != "GET"
        self._serve(req, exchange, _lost if lose else self._responder(exchange))

    def _serve(self, req: InboundRequest, exchange: Exchange, respond: Respond) -> None:
        if req.path == "/api/rows-tx":
            self._transact(orjson.loads(req.body), respond)
        elif req.path == "/api/rows-get":
            self._read(req, respond)
        elif req.path == "/api/rows-feed":
            self._feed(req, exchange, respond)
        elif req.path in ("/usage", "/scale"):
            self._duty(req, respond)
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

    def _stamp(self) -> dict[str, Any]:
        return {"ver": self.version, "now_ms": int(self.timers.now() * 1000)}

    def _transact(self, body: dict[str, Any], respond: Respond) -> None:
        wrong = []
        for each in body["expected_rev"]:
            key = (each["table"], each["part"], each["key"])
            if self._rows.get(key, (b"", 0))[1] != each["ver"]:
                wrong.append(key)
        if wrong:
            rows = [self._row(*key) for key in wrong if key in self._rows]
            respond(412, {"rows": rows, **self._stamp()})
            return
        self.version += 1
        for each in body["writes"]:
            value = base64.b64decode(each["value"])
            self._write(each["table"], each["part"], each["key"], value)
        for each in body["remove"]:
            self._write(each["table"], each["part"], each["key"], None)
        respond(200, self._stamp())
        self._wake()

    def _row(self, table: str, part: str, key: str) -> dict[str, Any]:
        value, version = self._rows[table, part, key]
        data = base64.b64encode(value).decode()
        return {"table": table, "part": part, "key": key, "value": data, "ver": version}

    def _read(self, req: InboundRequest, respond: Respond) -> None:
        table, part = req.query["table"], req.query.get("part", "")
        first, end = req.query.get("from", ""), req.query.get("to", "")
        keys = sorted(
            key
            for key in self._rows
            if key[:2] == (table, part) and first <= key[2] and (not end or key[2] < end)
        )
        limit = min(MAX_RANGE_ROWS, int(req.query.get("limit", MAX_RANGE_ROWS)))
        rows = [self._row(*key) for key in keys[:limit]]
        respond(200, {"rows": rows, "truncated": len(keys) > limit, **self._stamp()})

    def _feed(self, req: InboundRequest, exchange: Exchange, respond: Respond) -> None:
        after = int(req.query["after_rev"])
        if after < self._lost_before or after > self.version:
            respond(410, self._stamp())
            return
        waiting = _Waiting(req.query["table"], after, exchange)
        if not self._answer(waiting):
            self._waiting.append(waiting)
            seconds = int(req.query["wait_ms"]) / 1000
            self.timers.once(seconds, lambda: self._answer(waiting, must=True))

    def _answer(self, waiting: _Waiting, must: bool = False) -> bool:
        if waiting.done:
            return True
        rows = [
            self._change(*each)
            for each in self._history
            if each[0] > waiting.after and each[1] == waiting.table
        ]
        if not rows and not must:
            return False
        waiting.done = True
        if self.fault is not StoreFault.SILENT:
            self._responder(waiting.exchange)(200, {"rows": rows, **self._stamp()})
        return True

    @staticmethod
    def _change(version: int, table: str, part: str, key: str, value: bytes | None) -> dict:
        row = {"table": table, "part": part, "key": key, "ver": version}
        if value is None:
            return {**row, "tombstone": True}
        return {**row, "value": base64.b64encode(value).decode()}

    def _wake(self) -> None:
        self._waiting = [each for each in self._waiting if not self._answer(each)]

    def _duty(self, req: InboundRequest, respond: Respond) -> None:
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
        refused = self.out_of_stock and body.get("spot") and body["desired"] > 1
        respond(409 if refused else 200, {})

    def _era_fields(self) -> tuple[tuple[str, str], ...]:
        return (("Store-Era", str(self.era)),)

    def _responder(self, exchange: Exchange) -> Respond:
        def respond(status: int, body: dict[str, Any]) -> None:
            fields = (*JSON_HEADERS, *self._era_fields())
            exchange.respond(status, fields, orjson.dumps(body))

        return respond


def _lost(status: int, body: dict[str, Any]) -> None:
    """Lose the answer of a call that was carried out."""
