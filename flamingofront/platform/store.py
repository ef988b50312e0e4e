"""Calls of the platform's table store."""

import base64
from collections.abc import Sequence
from typing import Any
from urllib.parse import urlencode

import orjson

from flamingofront.errors import PlatformError
from flamingofront.messages import BufferedResponse, OutboundCall
from flamingofront.process.calls import send_call
from flamingofront.process.store import (
    HistoryLostError,
    RowChanges,
    RowCondition,
    RowRange,
    RowWrite,
    StoredRow,
    TableStore,
    TransactionOutcome,
    get_era_version,
    make_revision,
)
from flamingofront.process.tasks import Task

__all__ = ["PlatformTableStore"]

STATUS_OK = 200
STATUS_CONDITION_FAILED = 412
STATUS_HISTORY_LOST = 410
JSON_HEADERS = (("Content-Type", "application/json"),)
# Rises by one each time the store comes back from an older copy. A store without it has one era.
ERA = "store-era"


class PlatformTableStore(TableStore):
    """The platform's table store.

    Parameters
    ----------
    address : str
        ``IP:PORT`` of the store.
    timeout : float
        Seconds to wait for an answer to begin, and for its next part.
    """

    def __init__(self, address: str, timeout: float):
        self._address = address
        self._timeout = timeout

    def read(
        self, table: str, part: str = "", first: str = "", end: str = "", limit: int = 0
    ) -> Task:
        """Return the rows of a table's part from key `first` on."""
        query = {"table": table, "part": part}
        # The range excludes the key ``to``.
        bounds = {"from": first, "to": end, "limit": limit}
        query.update({name: value for name, value in bounds.items() if value})
        call = self._get("/api/rows-get", query, self._timeout)
        reply = yield from send_call(call, False, (STATUS_OK,))
        doc, era = _body(reply), _era(reply)
        version = make_revision(era, doc["ver"])
        return RowRange(_rows(doc, era), version, bool(doc.get("truncated", False)))

    def read_changes(self, table: str, after: int, wait: float) -> Task:
        """Return what has changed since a version."""
        query = {"table": table, "after_rev": get_era_version(after), "wait_ms": int(wait * 1000)}
        call = self._get("/api/rows-feed", query, wait + self._timeout)
        reply = yield from send_call(call, False, (STATUS_OK, STATUS_HISTORY_LOST))
        if reply.status == STATUS_HISTORY_LOST:
            raise HistoryLostError(f"changes of table {table} since {after} are not kept")
        doc, era = _body(reply), _era(reply)
        return RowChanges(_rows(doc, era), make_revision(era, doc["ver"]))

    def transact(
        self, part: str, conditions: Sequence[RowCondition], writes: Sequence[RowWrite]
    ) -> Task:
        """Write all rows if all conditions hold."""
        body = {
            # Each row with the version that it must have.
            "expected_rev": [
                {
                    "table": each.table,
                    "part": part,
                    "key": each.key,
                    "ver": get_era_version(each.version),
                }
                for each in conditions
            ],
            "writes": [
                {
                    "table": each.table,
                    "part": part,
                    "key": each.key,
                    "value": base64.b64encode(each.value).decode(),
                }
                for each in writes
                if each.value is not None
            ],
            "remove": [
                {"table": each.table, "part": part, "key": each.key}
                for each in writes
                if each.value is None
            ],
        }
        call = OutboundCall(
            self._address,
            "POST",
            "/api/rows-tx",
            orjson.dumps(body),
            JSON_HEADERS,
            self._timeout,
        )
        reply = yield from send_call(call, True, (STATUS_OK, STATUS_CONDITION_FAILED))
        doc, era = _body(reply), _era(reply)
        version = make_revision(era, doc.get("ver", 0))
        return TransactionOutcome(reply.status == STATUS_OK, version, _rows(doc, era))

    def _get(self, path: str, query: dict[str, Any], timeout: float) -> OutboundCall:
        return OutboundCall(
            self._address,
            "GET",
            f"{path}?{urlencode(query)}",
            timeout=timeout,
            # Rows may be larger than a VM's link carries within the time-out.
            stall_timeout=self._timeout,
        )


def _body(reply: BufferedResponse) -> dict[str, Any]:
    try:
        return orjson.loads(reply.body)
    except orjson.JSONDecodeError as exc:
        raise PlatformError(f"the store's answer is malformed: {exc}") from exc


def _era(reply: BufferedResponse) -> int:
    text = reply.headers.get(ERA, "0")
    if not text.isdigit():
        raise PlatformError(f"the store's era is malformed: {text[:40]!r}")
    return int(text)


def _rows(doc: dict[str, Any], era: int) -> tuple[StoredRow, ...]:
    try:
        return tuple(_row(each, era) for each in doc.get("rows", ()))
    except (KeyError, TypeError, ValueError) as exc:
        raise PlatformError(f"the store's rows are malformed: {exc!r}") from exc


def _row(data: dict[str, Any], era: int) -> StoredRow:
    # A deleted row is marked so and has no value.
    deleted = data.get("tombstone") or data.get("value") is None
    value = None if deleted else base64.b64decode(data["value"])
    version = make_revision(era, data["ver"])
    return StoredRow(data["table"], data.get("part", ""), data["key"], value, version)
