"""Client of the platform's table store."""

import base64
from collections.abc import Sequence
from typing import Any
from urllib.parse import urlencode

import orjson

from flamingofront.errors import PlatformError
from flamingofront.messages import STALE_SECONDS, BufferedResponse, OutboundCall
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
_MS_PER_SECOND = 1000
JSON_HEADERS = (("Content-Type", "application/json"),)
# Incremented each time the store is restored from an older snapshot. Some stores do not send it;
# their era is always 0.
ERA_HEADER = "store-era"


class PlatformTableStore(TableStore):
    """Client of the platform's table store.

    Parameters
    ----------
    address : str
        ``IP:PORT`` of the store.
    timeout : float
        Seconds to wait for a response to start, and for each further part of it.
    """

    def __init__(self, address: str, timeout: float):
        self._address = address
        self._timeout = timeout

    def read(
        self, table: str, part: str = "", first: str = "", end: str = "", limit: int = 0
    ) -> Task:
        """Return the rows of one partition of a table, from key `first` on."""
        query = {"table": table, "part": part}
        # The store leaves out the key ``to`` itself.
        bounds = {"from": first, "to": end, "limit": limit}
        query.update({name: value for name, value in bounds.items() if value})
        call = self._make_get_call("/api/rows-get", query, self._timeout)
        reply = yield from send_call(call, False, (STATUS_OK,))
        doc, era = _decode_body(reply), _parse_era(reply)
        version = make_revision(era, doc["ver"])
        is_truncated = bool(doc.get("truncated", False))
        return RowRange(_decode_rows(doc, era), version, is_truncated, _decode_time(doc))

    def read_changes(self, table: str, after: int, wait: float) -> Task:
        """Return the rows changed since a feed position, after a wait for the first change.

        Raises
        ------
        HistoryLostError
            If the store no longer keeps the changes since then.
        """
        query = {"table": table, "after_rev": get_era_version(after), "wait_ms": int(wait * 1000)}
        call = self._make_get_call("/api/rows-feed", query, wait + self._timeout)
        reply = yield from send_call(call, False, (STATUS_OK, STATUS_HISTORY_LOST))
        if reply.status == STATUS_HISTORY_LOST:
            raise HistoryLostError(f"changes of table {table} since {after} are no longer stored")
        doc, era = _decode_body(reply), _parse_era(reply)
        version = make_revision(era, doc["ver"])
        return RowChanges(_decode_rows(doc, era), version, _decode_time(doc))

    def transact(
        self, part: str, conditions: Sequence[RowCondition], writes: Sequence[RowWrite]
    ) -> Task:
        """Write all rows if all conditions hold; return the outcome and the conflicting rows."""
        body = {
            # A version of 0 requires that the row does not exist.
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
        is_ok = reply.status == STATUS_OK
        try:
            doc, era = _decode_body(reply), _parse_era(reply)
            version, rows = make_revision(era, doc.get("ver", 0)), _decode_rows(doc, era)
        except PlatformError as exc:
            # The status shows that the rows were written, whatever became of the body.
            raise PlatformError(str(exc), maybe_applied=is_ok) from exc
        return TransactionOutcome(is_ok, version, rows, _decode_time(doc))

    def _make_get_call(self, path: str, query: dict[str, Any], timeout: float) -> OutboundCall:
        return OutboundCall(
            self._address,
            "GET",
            f"{path}?{urlencode(query)}",
            timeout=timeout,
            # A response may be too large to arrive within the timeout over a slow link.
            stall_timeout=self._timeout,
            stale_seconds=STALE_SECONDS,
        )


def _decode_body(reply: BufferedResponse) -> dict[str, Any]:
    try:
        return orjson.loads(reply.body)
    except orjson.JSONDecodeError as exc:
        raise PlatformError(f"malformed JSON in the store's response: {exc}") from exc


def _parse_era(reply: BufferedResponse) -> int:
    text = reply.headers.get(ERA_HEADER, "0")
    if not text.isdigit():
        raise PlatformError(f"the store's era header is not a whole number: {text[:40]!r}")
    return int(text)


def _decode_time(doc: dict[str, Any]) -> float | None:
    """Return the time of the store's steady clock in seconds."""
    # "now_ms" has no relation to the time of day.
    now_ms = doc.get("now_ms")
    return now_ms / _MS_PER_SECOND if type(now_ms) in (int, float) else None


def _decode_rows(doc: dict[str, Any], era: int) -> tuple[StoredRow, ...]:
    try:
        return tuple(_decode_row(each, era) for each in doc.get("rows", ()))
    except (KeyError, TypeError, ValueError) as exc:
        raise PlatformError(f"malformed rows in the store's response: {exc!r}") from exc


def _decode_row(data: dict[str, Any], era: int) -> StoredRow:
    # A deleted row has a tombstone mark and no value.
    deleted = data.get("tombstone") or data.get("value") is None
    value = None if deleted else base64.b64decode(data["value"])
    version = make_revision(era, data["ver"])
    return StoredRow(data["table"], data.get("part", ""), data["key"], value, version)
