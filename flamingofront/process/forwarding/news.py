"""Updates on the endpoints that one entry process sends to another: all of them, or the changes.

Changes are numbered: twice the version of the store, plus one if an endpoint was removed between
two versions, as at the end of the grace period after an outage.
"""

from collections import deque
from collections.abc import Mapping
from dataclasses import asdict, dataclass, field

import orjson

from flamingofront.process.forwarding.compression import compress, decompress
from flamingofront.process.forwarding.endpoint_row import EndpointRow

__all__ = [
    "EndpointHistory",
    "EndpointUpdate",
    "decode_endpoint_update",
    "encode_endpoint_update",
    "to_change_number",
]

# Limit on a decompressed update: many times the rows of 600 endpoints.
MAX_UPDATE_BYTES = 8 * 1024 * 1024
# A process of an earlier version sends updates uncompressed: they start like this.
_JSON_START = b"{"
# Several times the endpoints of a zone that is reclaimed at once.
MAX_KEPT_CHANGES = 256


@dataclass(frozen=True)
class EndpointUpdate:
    """Endpoints of one process: all of them, or those changed since a change number.

    Parameters
    ----------
    change_number : int
        Number of the last change that is included.
    is_full : bool
        True if `rows` has all endpoints; False if only those that changed.
    removed : tuple of str
        Ids of removed endpoints; empty in a full update.
    removed_revisions : mapping of str to int
        Revision up to which the rows of removed endpoints are outdated, where it is known.
    """

    change_number: int
    is_full: bool
    rows: tuple[EndpointRow, ...]
    removed: tuple[str, ...] = ()
    removed_revisions: Mapping[str, int] = field(default_factory=dict)


def encode_endpoint_update(update: EndpointUpdate) -> bytes:
    """Encode an update as a response body.

    Notes
    -----
    A relay sends it to all members of its zone within some milliseconds.
    """
    return compress(_encode_values(update))


def _encode_values(update: EndpointUpdate) -> bytes:
    return orjson.dumps(
        {
            "mark": update.change_number,
            "whole": update.is_full,
            "rows": [_encode_row(each) for each in update.rows],
            "gone": update.removed,
            # Apart from the rows, in which processes of earlier versions accept no other fields.
            "revisions": {each.endpoint_id: each.revision for each in update.rows},
            "gone_revisions": update.removed_revisions,
        }
    )


def _encode_row(row: EndpointRow) -> dict[str, object]:
    values = asdict(row)
    del values["revision"]
    return values


def decode_endpoint_update(data: bytes) -> EndpointUpdate:
    """Decode an update from a response body.

    Raises
    ------
    ValueError
        If the body is malformed.
    """
    try:
        if not data.startswith(_JSON_START):
            data = decompress(data, MAX_UPDATE_BYTES)
        values = orjson.loads(data)
        revisions = values.get("revisions", {})
        rows = tuple(
            EndpointRow(**each, revision=revisions.get(each["endpoint_id"], 0))
            for each in values["rows"]
        )
        removed = tuple(values["gone"])
        if not all(isinstance(each, str) for each in removed):
            raise ValueError("id of a removed endpoint is not a string")
        removed_revisions = {
            str(name): int(each) for name, each in values.get("gone_revisions", {}).items()
        }
        return EndpointUpdate(
            int(values["mark"]), bool(values["whole"]), rows, removed, removed_revisions
        )
    except (AttributeError, KeyError, TypeError, ValueError) as exc:
        raise ValueError(f"malformed endpoint update: {exc!r:.200}") from exc


class EndpointHistory:
    """The last changes of endpoints, by change number.

    Attributes
    ----------
    change_number : int
        Number of the last change.
    """

    def __init__(self):
        self._changes: deque[tuple[int, str]] = deque(maxlen=MAX_KEPT_CHANGES)
        self._complete_since = 0
        self.change_number = 0

    def reset(self, change_number: int, complete_since: int | None = None) -> None:
        """Clear the changes after a full reload.

        Parameters
        ----------
        change_number : int
            Number of the last change that the reload includes.
        complete_since : int, optional
            Number from which on all changes will be known; `change_number` by default.
        """
        self._changes.clear()
        self._complete_since = change_number if complete_since is None else complete_since
        self.change_number = change_number

    def record_change(self, endpoint_id: str, change_number: int) -> None:
        """Record that the row of an endpoint changed or was removed."""
        if len(self._changes) == MAX_KEPT_CHANGES:
            self._complete_since = self._changes[0][0]
        self._changes.append((change_number, endpoint_id))
        self.change_number = max(self.change_number, change_number)

    def advance_to(self, change_number: int) -> None:
        """Raise the number of the last change without a change of an endpoint."""
        self.change_number = max(self.change_number, change_number)

    def changes_since(self, change_number: int) -> frozenset[str] | None:
        """Return the ids of endpoints changed after a number; None if the history is too short."""
        if change_number < self._complete_since:
            return None
        return frozenset(name for number, name in self._changes if number > change_number)


def to_change_number(version: int) -> int:
    """Return the change number of a version of the store."""
    return 2 * version
