"""Access to the platform: table service, object store, VM list, cloud and weight store.

Each operation is a generator for `flamingofront.process.tasks`: it yields calls and returns a typed
result. `PlatformError.maybe_done` says whether a failed write may have taken effect.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace
from typing import Any
from urllib.parse import quote

import orjson

from flamingofront.errors import PlatformError
from flamingofront.messages import CallFailed, OutboundCall
from flamingofront.process.tasks import Task

__all__ = ["Condition", "Platform", "Row", "TransactionResult", "VmRecord", "Write"]

STATUS_OK = 200
STATUS_CONDITION_FAILED = 409
STATUS_NOT_MODIFIED = 304
STATUS_NOT_FOUND = 404
_REFUSED_STATUSES = (429, 503)


@dataclass(frozen=True)
class Row:
    """One row of the table service; revision 0 means that the row does not exist."""

    key: str
    value: Any = None
    revision: int = 0


@dataclass(frozen=True)
class Condition:
    """Requirement that a row has exactly this revision; 0 requires its absence."""

    key: str
    revision: int


@dataclass(frozen=True)
class Write:
    """New value of a row; None deletes it."""

    key: str
    value: Any


@dataclass(frozen=True)
class TransactionResult:
    """Outcome of a transaction that the table service answered.

    Parameters
    ----------
    ok : bool
        True if all conditions held and all writes took effect.
    failed : tuple of str
        Keys whose condition did not hold.
    """

    ok: bool
    failed: tuple[str, ...] = ()


@dataclass(frozen=True)
class VmRecord:
    """One VM as the VM list or the cloud tells it.

    Parameters
    ----------
    role : str
        ``entry`` or ``endpoint``.
    state : str
        ``live`` or ``leaving``.
    price : float
        Cost per hour.
    """

    vm_id: str
    zone: str
    role: str
    address: str
    state: str = "live"
    service: str = ""
    side: str = ""
    vm_class: str = "standard"
    reclaimable: bool = True
    price: float = 1.0


class Platform:
    """Operations of the platform's services.

    Parameters
    ----------
    address : str
        ``IP:PORT`` of the platform.
    timeout : float
        Seconds to wait for one answer.
    """

    def __init__(self, address: str, timeout: float = 2.0):
        self._address = address
        self._timeout = timeout
        self._list: tuple[VmRecord, ...] = ()
        self._list_tag = ""

    def _call(self, method: str, path: str, body: Any = None) -> OutboundCall:
        data = b"" if body is None else orjson.dumps(body)
        headers = (("Content-Type", "application/json"),)
        return OutboundCall(self._address, method, path, data, headers, self._timeout)

    def _ask(self, call: OutboundCall, is_write: bool, allowed: tuple[int, ...]) -> Task:
        """Send a call and return its response, or raise `PlatformError`."""
        reply = yield call
        if isinstance(reply, CallFailed):
            detail = f"{call.method} {call.path.split('?')[0]}: {reply.reason}"
            raise PlatformError(detail, maybe_done=is_write and reply.wrote)
        if reply.status in allowed:
            return reply
        detail = f"{call.method} {call.path.split('?')[0]}: status {reply.status}"
        refused = reply.status in _REFUSED_STATUSES
        raise PlatformError(detail, maybe_done=is_write and not refused)

    def read(self, keys: Iterable[str]) -> Task:
        """Read rows by key in one snapshot; the result has a `Row` for each key, in order."""
        wanted = list(keys)
        reply = yield from self._ask(
            self._call("POST", "/table/read", {"keys": wanted}), False, (STATUS_OK,)
        )
        rows = orjson.loads(reply.body)["rows"]
        return tuple(Row(each["key"], each["value"], each["revision"]) for each in rows)

    def scan(self, prefix: str) -> Task:
        """Read all rows whose key begins with `prefix`."""
        path = f"/table/scan?prefix={quote(prefix)}"
        reply = yield from self._ask(self._call("GET", path), False, (STATUS_OK,))
        rows = orjson.loads(reply.body)["rows"]
        return tuple(Row(each["key"], each["value"], each["revision"]) for each in rows)

    def transact(self, conditions: Iterable[Condition], writes: Iterable[Write]) -> Task:
        """Write all rows if all conditions hold."""
        body = {
            "conditions": [{"key": each.key, "revision": each.revision} for each in conditions],
            "writes": [{"key": each.key, "value": each.value} for each in writes],
        }
        allowed = (STATUS_OK, STATUS_CONDITION_FAILED)
        reply = yield from self._ask(self._call("POST", "/table/transact", body), True, allowed)
        if reply.status == STATUS_OK:
            return TransactionResult(True)
        return TransactionResult(False, tuple(orjson.loads(reply.body)["failed"]))

    def put_object(self, name: str, data: bytes) -> Task:
        """Store an object; storing the same bytes again has no further effect."""
        call = OutboundCall(
            self._address, "PUT", f"/objects/{quote(name)}", data, (), self._timeout
        )
        yield from self._ask(call, True, (STATUS_OK,))

    def get_object(self, name: str) -> Task:
        """Return the bytes of an object, None if there is none."""
        call = self._call("GET", f"/objects/{quote(name)}")
        reply = yield from self._ask(call, False, (STATUS_OK, STATUS_NOT_FOUND))
        return reply.body if reply.status == STATUS_OK else None

    def list_vms(self) -> Task:
        """Return the VM list as a tuple of `VmRecord`; it may lag behind.

        Notes
        -----
        The list is asked for with the tag of the last one, so that an unchanged list, the usual
        case, costs a few bytes however long it is.
        """
        call = self._call("GET", "/vms")
        if self._list_tag:
            call = replace(call, headers=(*call.headers, ("If-None-Match", self._list_tag)))
        reply = yield from self._ask(call, False, (STATUS_OK, STATUS_NOT_MODIFIED))
        if reply.status == STATUS_OK:
            self._list = tuple(VmRecord(**each) for each in orjson.loads(reply.body)["vms"])
            self._list_tag = reply.headers.get("etag", "")
        return self._list

    def notices(self, zone: str) -> Task:
        """Return the reclaim notices of a zone as a mapping from VM id to seconds left."""
        call = self._call("GET", f"/cloud/notices?zone={quote(zone)}")
        reply = yield from self._ask(call, False, (STATUS_OK,))
        return dict(orjson.loads(reply.body)["notices"])

    def offers(self) -> Task:
        """Return what the cloud offers: a list of zone, class, reclaimable and price."""
        reply = yield from self._ask(self._call("GET", "/cloud/offers"), False, (STATUS_OK,))
        return tuple(orjson.loads(reply.body)["offers"])

    def start_vm(self, order: Mapping[str, Any]) -> Task:
        """Order a VM; return its id, None if the cloud refused the start.

        Notes
        -----
        The order carries a token of its own, so that repeating it after a lost answer starts no
        second VM.
        """
        call = self._call("POST", "/cloud/vms", dict(order))
        reply = yield from self._ask(call, True, (STATUS_OK, STATUS_CONDITION_FAILED))
        return orjson.loads(reply.body)["vm_id"] if reply.status == STATUS_OK else None

    def stop_vm(self, vm_id: str) -> Task:
        """Return a VM to the cloud."""
        call = self._call("DELETE", f"/cloud/vms/{quote(vm_id)}")
        yield from self._ask(call, True, (STATUS_OK, STATUS_NOT_FOUND))

    def weights(self, model: str) -> Task:
        """Ask the weight store for a load permit; return the seconds to wait if it is busy."""
        call = self._call("POST", f"/weights/{quote(model)}")
        reply = yield from self._ask(call, False, (STATUS_OK, 429))
        return 0.0 if reply.status == STATUS_OK else float(orjson.loads(reply.body)["retry_after"])
