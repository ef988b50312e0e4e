"""What one entry process tells another about the endpoints: all of them, or what has changed.

A change has a mark: twice the version of the store, and one more if an endpoint was given up
between two versions, as at the end of the grace after an outage.
"""

from collections import deque
from dataclasses import asdict, dataclass

import orjson

from flamingofront.process.forwarding.endpoint_row import EndpointRow

__all__ = [
    "EndpointHistory",
    "EndpointUpdate",
    "decode_endpoint_update",
    "encode_endpoint_update",
    "to_change_number",
]

# Changes that are remembered: several times the endpoints of a zone that is taken back at once.
MAX_KEPT_CHANGES = 256


@dataclass(frozen=True)
class EndpointUpdate:
    """Endpoints as one process knows them.

    Parameters
    ----------
    mark : int
        Mark of the last change that is told.
    whole : bool
        True if `rows` are all endpoints; False if they are those that changed.
    gone : tuple of str
        Endpoints whose rows vanished; empty if all are told.
    """

    change_number: int
    is_full: bool
    rows: tuple[EndpointRow, ...]
    removed: tuple[str, ...] = ()


def encode_endpoint_update(news: EndpointUpdate) -> bytes:
    """Return the body that tells the news."""
    return orjson.dumps(
        {
            "mark": news.change_number,
            "whole": news.is_full,
            "rows": [asdict(each) for each in news.rows],
            "gone": news.removed,
        }
    )


def decode_endpoint_update(data: bytes) -> EndpointUpdate:
    """Return the news in a body.

    Raises
    ------
    ValueError
        If it is malformed.
    """
    try:
        values = orjson.loads(data)
        rows = tuple(EndpointRow(**each) for each in values["rows"])
        removed = tuple(values["gone"])
        if not all(isinstance(each, str) for each in removed):
            raise ValueError("an endpoint that is gone has no name")
        return EndpointUpdate(int(values["mark"]), bool(values["whole"]), rows, removed)
    except (KeyError, TypeError, ValueError) as exc:
        raise ValueError(f"malformed endpoints: {exc!r:.200}") from exc


class EndpointHistory:
    """The last changes of endpoints, by mark.

    Attributes
    ----------
    mark : int
        Mark of the last change.
    """

    def __init__(self):
        self._changes: deque[tuple[int, str]] = deque(maxlen=MAX_KEPT_CHANGES)
        self._complete_since = 0
        self.change_number = 0

    def reset(self, change_number: int) -> None:
        """Forget the changes: all endpoints were told anew, up to a mark."""
        self._changes.clear()
        self._complete_since = change_number
        self.change_number = change_number

    def record_change(self, endpoint_id: str, change_number: int) -> None:
        """Note that the row of an endpoint changed or vanished."""
        if len(self._changes) == MAX_KEPT_CHANGES:
            self._complete_since = self._changes[0][0]
        self._changes.append((change_number, endpoint_id))
        self.change_number = max(self.change_number, change_number)

    def advance_to(self, change_number: int) -> None:
        """Note that no further change is known up to a mark."""
        self.change_number = max(self.change_number, change_number)

    def changes_since(self, change_number: int) -> frozenset[str] | None:
        """Return the endpoints that changed after a mark; None if that is no longer known."""
        if change_number < self._complete_since:
            return None
        return frozenset(name for at, name in self._changes if at > change_number)


def to_change_number(version: int) -> int:
    """Return the mark of a change at a version of the store."""
    return 2 * version
