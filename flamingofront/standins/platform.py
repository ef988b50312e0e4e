"""Stand-in for the platform: table service, object store, VM list, cloud API, weight store.

It speaks the published protocol that `flamingofront.process.platform` uses. Faults are switched by
``POST /faults`` with ``{"service": ..., "mode": ..., "delay": ..., "count": ...}``.
"""

import hashlib
import random
from dataclasses import dataclass
from enum import StrEnum
from typing import Any

import orjson

from flamingofront.connection.interfaces import Exchange
from flamingofront.connection.server import JSON_HEADERS
from flamingofront.messages import InboundRequest
from flamingofront.process.timers import TimerService

__all__ = ["FaultMode", "PlatformStandIn"]

WRITES_PER_SECOND = 500.0
READS_PER_SECOND = 2000.0
WRITE_PATHS = ("/table/transact", "/cloud/vms")
SERVICES = ("table", "objects", "vms", "cloud", "weights")


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


class PlatformStandIn:
    """All services of the platform in one object.

    Parameters
    ----------
    list_lag : float
        Seconds by which the VM list lags behind.
    """

    def __init__(
        self,
        timers: TimerService,
        rng: random.Random | None = None,
        list_lag: float = 0.0,
        weight_interval: float = 0.0,
    ):
        self._timers = timers
        self._rng = rng or random.Random(0)
        self.list_lag = list_lag
        self.rows: dict[str, tuple[Any, int]] = {}
        self.objects: dict[str, bytes] = {}
        self.vms: dict[str, dict[str, Any]] = {}
        self.shown: dict[str, dict[str, Any]] = {}
        self.offers: list[dict[str, Any]] = []
        self.spares: list[dict[str, Any]] = []
        self.notices: dict[str, float] = {}
        self.started_by_token: dict[str, str] = {}
        self.faults = {name: _Fault() for name in SERVICES}
        self.writes = 0
        self.reads = 0
        self._revision = 0
        self._write_bucket = _Bucket(WRITES_PER_SECOND, timers)
        self._read_bucket = _Bucket(READS_PER_SECOND, timers)
        self._weight_interval = weight_interval
        self._weights_free_at = 0.0
        self._next_vm = 0

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
        service = req.path.split("/")[1]
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
            return
        if service == "control":
            self._control(req, exchange)
            return
        if service not in self.faults:
            _respond(exchange, {"error": f"no such service {service!r}"}, 404)
            return
        self._with_fault(service, req, exchange)

    def _with_fault(self, service: str, req: InboundRequest, exchange: Exchange) -> None:
        fault = self.faults[service]
        mode = fault.take(is_write=req.path in WRITE_PATHS or req.method in ("PUT", "DELETE"))
        if mode is FaultMode.DOWN:
            _respond(exchange, {"error": "out of service"}, 503)
        elif mode is FaultMode.SILENT:
            return
        elif mode is FaultMode.LOSE_ANSWER:
            self._serve(req)
            exchange.abort()
        elif mode is FaultMode.SLOW:
            self._timers.once(fault.delay, lambda: _send(exchange, self._serve(req)))
        else:
            _send(exchange, self._serve(req))

    def _serve(self, req: InboundRequest) -> tuple[int, bytes]:
        """Carry out a call and return its answer."""
        parts = req.path.split("/", 2)
        service = parts[1]
        rest = parts[2] if len(parts) > 2 else ""
        if service == "table":
            return self._serve_table(rest, req)
        if service == "objects":
            return self._serve_object(rest, req)
        if service == "vms":
            return self._serve_list(req)
        if service == "cloud":
            return self._serve_cloud(rest, req)
        return self._serve_weights()

    # Table service

    def _serve_table(self, rest: str, req: InboundRequest) -> tuple[int, bytes]:
        bucket = self._write_bucket if rest == "transact" else self._read_bucket
        if not bucket.take():
            return 429, orjson.dumps({"error": "rate limit"})
        if rest == "read":
            self.reads += 1
            keys = orjson.loads(req.body)["keys"]
            return 200, orjson.dumps({"rows": [self._row(key) for key in keys]})
        if rest == "scan":
            self.reads += 1
            prefix = req.query["prefix"]
            keys = sorted(key for key in self.rows if key.startswith(prefix))
            return 200, orjson.dumps({"rows": [self._row(key) for key in keys]})
        self.writes += 1
        return self._transact(orjson.loads(req.body))

    def _row(self, key: str) -> dict[str, Any]:
        value, revision = self.rows.get(key, (None, 0))
        return {"key": key, "value": value, "revision": revision}

    def _transact(self, data: dict[str, Any]) -> tuple[int, bytes]:
        failed = [
            each["key"]
            for each in data["conditions"]
            if self.rows.get(each["key"], (None, 0))[1] != each["revision"]
        ]
        if failed:
            return 409, orjson.dumps({"failed": failed})
        for each in data["writes"]:
            self._revision += 1
            if each["value"] is None:
                self.rows.pop(each["key"], None)
            else:
                self.rows[each["key"]] = (each["value"], self._revision)
        return 200, b"{}"

    # Object store

    def _serve_object(self, name: str, req: InboundRequest) -> tuple[int, bytes]:
        if req.method == "PUT":
            self.objects[name] = req.body
            return 200, b"{}"
        if name not in self.objects:
            return 404, b"{}"
        return 200, self.objects[name]

    # VM list and cloud

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
                self.shown.pop(vm_id, None)
            else:
                self.shown[vm_id] = dict(record)

        if lag <= 0:
            update()
        else:
            self._timers.once(lag, update)

    def _serve_list(self, req: InboundRequest) -> tuple[int, bytes]:
        """Answer with the list, or that it is still the one that the reader has."""
        body = orjson.dumps({"vms": list(self.shown.values())})
        if req.header("if-none-match") == _tag_of(body):
            return 304, b""
        return 200, body

    def _serve_cloud(self, rest: str, req: InboundRequest) -> tuple[int, bytes]:
        if rest == "notices":
            return 200, orjson.dumps({"notices": self._notices_of(req.query["zone"])})
        if rest == "offers":
            return 200, orjson.dumps({"offers": self.offers})
        if rest == "vms" and req.method == "POST":
            return self._start_vm(orjson.loads(req.body))
        vm_id = rest.removeprefix("vms/")
        if vm_id not in self.vms:
            return 404, b"{}"
        self.remove_vm(vm_id)
        return 200, b"{}"

    def _notices_of(self, zone: str) -> dict[str, float]:
        now = self._timers.now()
        return {
            vm_id: max(0.0, due - now)
            for vm_id, due in self.notices.items()
            if self.vms.get(vm_id, {}).get("zone") == zone
        }

    def _start_vm(self, order: dict[str, Any]) -> tuple[int, bytes]:
        token = order["token"]
        if token in self.started_by_token:
            return 200, orjson.dumps({"vm_id": self.started_by_token[token]})
        if self._refuses(order):
            return 409, orjson.dumps({"error": "no capacity"})
        self._next_vm += 1
        record = {**order["vm"], "vm_id": f"vm-{self._next_vm:04d}", "state": "live"}
        spare = next((each for each in self.spares if each["zone"] == record["zone"]), None)
        if spare is not None:
            self.spares.remove(spare)
            record["address"] = spare["address"]
        self.add_vm(record, at_once=False)
        self.started_by_token[token] = record["vm_id"]
        return 200, orjson.dumps({"vm_id": record["vm_id"]})

    def _refuses(self, order: dict[str, Any]) -> bool:
        return order["vm"]["zone"] in self._refusing_zones

    _refusing_zones: frozenset[str] = frozenset()

    def refuse_starts(self, zones: frozenset[str]) -> None:
        """Refuse all starts in some zones."""
        self._refusing_zones = zones

    # Weight store

    def _serve_weights(self) -> tuple[int, bytes]:
        now = self._timers.now()
        if now < self._weights_free_at:
            return 429, orjson.dumps({"retry_after": self._weights_free_at - now})
        self._weights_free_at = now + self._weight_interval
        return 200, b"{}"

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
        elif action == "offers":
            self.offers = data["offers"]
        elif action == "refuse":
            self.refuse_starts(frozenset(data["zones"]))
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


def _tag_of(body: bytes) -> str:
    return hashlib.blake2b(body, digest_size=8).hexdigest()


def _send(exchange: Exchange, answer: tuple[int, bytes]) -> None:
    status, body = answer
    exchange.respond(status, (*JSON_HEADERS, ("ETag", _tag_of(body))), body)
