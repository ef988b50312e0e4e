"""Stand-in for the platform of `flamingofront-entry`: store, VM list and reclaim notices.

The store is that of the users' platform (`flamingofront.standins.table_store`). Faults are switched
by ``POST /faults`` with ``{"service": ..., "mode": ..., "delay": ..., "count": ...}``.
"""

import hashlib
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from enum import StrEnum
from typing import Any

import orjson

from flamingofront.connection.interfaces import Exchange
from flamingofront.connection.server import JSON_HEADERS
from flamingofront.messages import InboundRequest
from flamingofront.process.documents import DOCUMENT_TABLE, VALUE_FIELD
from flamingofront.process.timers import TimerService
from flamingofront.standins.table_store import TableStoreStandIn

__all__ = ["TRANSACTION_PATH", "DocumentRows", "FaultMode", "PlatformStandIn"]

WRITES_PER_SECOND = 500.0
READS_PER_SECOND = 2000.0
TRANSACTION_PATH = "/api/rows-tx"
SERVICES = ("table", "objects", "vms", "cloud")


class FaultMode(StrEnum):
    """What happens to calls of a service."""

    UP = "up"
    DOWN = "down"
    SLOW = "slow"
    SILENT = "silent"
    LOSE_ANSWER = "lose_answer"
    REFUSE = "refuse"


@dataclass
class _Fault:
    mode: FaultMode = FaultMode.UP
    delay: float = 0.0
    count: int = -1  # calls that are still affected; -1 for all
    writes_only: bool = False

    def take(self, is_write: bool) -> FaultMode:
        """Return the mode for one call and count it."""
        spared = self.writes_only and not is_write
        if self.mode is FaultMode.UP or self.count == 0 or spared:
            return FaultMode.UP
        if self.count > 0:
            self.count -= 1
        return self.mode


class _Bucket:
    """Token bucket of a rate limit."""

    def __init__(self, rate: float, timers: TimerService):
        self._rate = rate
        self._timers = timers
        self._tokens = rate
        self._updated = timers.now()

    def take(self) -> bool:
        """Take a token if there is one."""
        now = self._timers.now()
        self._tokens = min(self._rate, self._tokens + (now - self._updated) * self._rate)
        self._updated = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class DocumentRows(Mapping):
    """Value and revision of each document that is held by its row, as they are now."""

    def __init__(self, store: TableStoreStandIn):
        self._store = store

    def __getitem__(self, key: str) -> tuple[Any, int]:
        value, version = self._store.get_rows(DOCUMENT_TABLE)[key]
        return orjson.loads(value).get(VALUE_FIELD), version

    def __iter__(self) -> Iterator[str]:
        return iter(self._store.get_rows(DOCUMENT_TABLE))

    def __len__(self) -> int:
        return len(self._store.get_rows(DOCUMENT_TABLE))

    def put(self, key: str, value: Any) -> None:
        """Write a document."""
        self._store.put(DOCUMENT_TABLE, key, {VALUE_FIELD: value})


class _LostAnswer(Exchange):
    """Breaks the connection in place of an answer."""

    def __init__(self, exchange: Exchange):
        self._exchange = exchange

    def respond(self, status: int, headers: tuple[tuple[str, str], ...], body: bytes) -> None:
        """Lose a whole answer."""
        self._exchange.abort()

    def begin(self, status: int, headers: tuple[tuple[str, str], ...]) -> None:
        """Lose the head of an answer."""
        self._exchange.abort()

    def send(self, data: bytes) -> bool:
        """Lose a part of an answer."""
        return False

    def finish(self) -> None:
        """Lose the end of an answer."""

    def abort(self) -> None:
        """Break the connection."""
        self._exchange.abort()


class PlatformStandIn:
    """All services of the platform in one object.

    Parameters
    ----------
    list_lag : float
        Seconds by which the VM list lags behind.
    """

    def __init__(self, timers: TimerService, list_lag: float = 0.0):
        self._timers = timers
        self.list_lag = list_lag
        self.store = TableStoreStandIn(timers)
        self.rows = DocumentRows(self.store)
        self.vms: dict[str, dict[str, Any]] = {}
        self.listed_vms: dict[str, dict[str, Any]] = {}
        self.notices: dict[str, float] = {}
        self.faults = {name: _Fault() for name in SERVICES}
        self._write_bucket = _Bucket(WRITES_PER_SECOND, timers)
        self._read_bucket = _Bucket(READS_PER_SECOND, timers)

    def fail(
        self,
        service: str,
        mode: FaultMode,
        delay: float = 0.0,
        count: int = -1,
        writes_only: bool = False,
    ) -> None:
        """Switch a fault on, or off with ``UP``."""
        self.faults[service] = _Fault(mode, delay, count, writes_only)

    def handle(self, req: InboundRequest, exchange: Exchange) -> None:
        """Take one call."""
        service = _service_of(req.path)
        if service == "faults":
            data = orjson.loads(req.body)
            mode = FaultMode(data["mode"])
            self.fail(
                data["service"],
                mode,
                data.get("delay", 0.0),
                data.get("count", -1),
                data.get("writes_only", False),
            )
            _respond(exchange, {})
        elif service == "control":
            self._control(req, exchange)
        elif service in self.faults:
            self._with_fault(service, req, exchange)
        else:
            _respond(exchange, {"error": f"no such service {service!r}"}, 404)

    def _with_fault(self, service: str, req: InboundRequest, exchange: Exchange) -> None:
        fault = self.faults[service]
        is_write = req.path == TRANSACTION_PATH or req.method in ("PUT", "DELETE")
        mode = fault.take(is_write)
        if mode is FaultMode.DOWN:
            _respond(exchange, {"error": "out of service"}, 503)
        elif mode is FaultMode.SILENT:
            return
        elif mode is FaultMode.LOSE_ANSWER:
            self._serve(service, req, _LostAnswer(exchange))
        elif mode is FaultMode.SLOW:
            self._timers.once(fault.delay, lambda: self._serve(service, req, exchange))
        else:
            self._serve(service, req, exchange)

    def _serve(self, service: str, req: InboundRequest, exchange: Exchange) -> None:
        """Carry out a call and answer it."""
        if service == "vms":
            self._serve_list(req, exchange)
        elif service == "cloud":
            _respond(exchange, {"notices": self._notices_of(req.query["zone"])})
        elif service == "table" and not self._within_rate(req):
            _respond(exchange, {"error": "rate limit"}, 429)
        else:
            self.store.handle(req, exchange)

    def _within_rate(self, req: InboundRequest) -> bool:
        is_write = req.path == TRANSACTION_PATH
        return (self._write_bucket if is_write else self._read_bucket).take()

    # VM list and notices

    def add_vm(self, record: dict[str, Any], at_once: bool = True) -> None:
        """Add a VM; the list shows it at once or after its lag."""
        self.vms[record["vm_id"]] = dict(record)
        self._show(record["vm_id"], 0.0 if at_once else self.list_lag)

    def remove_vm(self, vm_id: str) -> None:
        """Remove a VM; the list shows it until its lag has passed."""
        self.vms.pop(vm_id, None)
        self.notices.pop(vm_id, None)
        self._show(vm_id, self.list_lag)

    def reclaim(self, vm_id: str, notice: float) -> None:
        """Give notice that a VM will be reclaimed."""
        if vm_id not in self.vms:
            return
        self.vms[vm_id]["state"] = "leaving"
        self.notices[vm_id] = self._timers.now() + notice
        self._show(vm_id, self.list_lag)

    def _show(self, vm_id: str, lag: float) -> None:
        def update() -> None:
            record = self.vms.get(vm_id)
            if record is None:
                self.listed_vms.pop(vm_id, None)
            else:
                self.listed_vms[vm_id] = dict(record)

        if lag <= 0:
            update()
        else:
            self._timers.once(lag, update)

    def _serve_list(self, req: InboundRequest, exchange: Exchange) -> None:
        """Answer with the list, or that it is still the one that the reader has."""
        body = orjson.dumps({"vms": list(self.listed_vms.values())})
        tag = hashlib.blake2b(body, digest_size=8).hexdigest()
        if req.header("if-none-match") == tag:
            exchange.respond(304, (("ETag", tag),), b"")
            return
        exchange.respond(200, (*JSON_HEADERS, ("ETag", tag)), body)

    def _notices_of(self, zone: str) -> dict[str, float]:
        now = self._timers.now()
        return {
            vm_id: max(0.0, due - now)
            for vm_id, due in self.notices.items()
            if self.vms.get(vm_id, {}).get("zone") == zone
        }

    # Control calls for scripts and tests

    def _control(self, req: InboundRequest, exchange: Exchange) -> None:
        data = orjson.loads(req.body or b"{}")
        action = req.path.split("/")[2]
        if action == "add":
            self.add_vm(data)
        elif action == "remove":
            self.remove_vm(data["vm_id"])
        elif action == "reclaim":
            self._reclaim_many(data)
        else:
            _respond(exchange, {"error": f"no such action {action!r}"}, 404)
            return
        _respond(exchange, {})

    def _reclaim_many(self, data: dict[str, Any]) -> None:
        wanted = [data["vm_id"]] if "vm_id" in data else list(self.vms)
        for vm_id in wanted:
            in_zone = "zone" not in data or self.vms[vm_id]["zone"] == data["zone"]
            if in_zone:
                self.reclaim(vm_id, data.get("notice", 30.0))


def _respond(exchange: Exchange, data: Any, status: int = 200) -> None:
    exchange.respond(status, JSON_HEADERS, orjson.dumps(data))


def _service_of(path: str) -> str:
    """Return the service that a path belongs to."""
    if path.startswith("/api/rows-"):
        return "table"
    if path.startswith("/api/blob-"):
        return "objects"
    return path.split("/")[1]
