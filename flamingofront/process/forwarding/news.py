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
    "EndpointNews",
    "decode_news",
    "encode_news",
    "mark_of",
]

# Changes that are remembered: several times the endpoints of a zone that is taken back at once.
KEPT_CHANGES = 256


@dataclass(frozen=True)
class EndpointNews:
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

    mark: int
    whole: bool
    rows: tuple[EndpointRow, ...]
    gone: tuple[str, ...] = ()


def encode_news(news: EndpointNews) -> bytes:
    """Return the body that tells the news."""
    return orjson.dumps(
        {
            "mark": news.mark,
            "whole": news.whole,
            "rows": [asdict(each) for each in news.rows],
            "gone": news.gone,
        }
    )


def decode_news(data: bytes) -> EndpointNews:
    """Return the news in a body.

    Raises
    ------
    ValueError
        If it is malformed.
    """
    try:
        values = orjson.loads(data)
        rows = tuple(EndpointRow(**each) for each in values["rows"])
        gone = tuple(values["gone"])
        if not all(isinstance(each, str) for each in gone):
            raise ValueError("an endpoint that is gone has no name")
        return EndpointNews(int(values["mark"]), bool(values["whole"]), rows, gone)
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
        self._changes: deque[tuple[int, str]] = deque(maxlen=KEPT_CHANGES)
        self._complete_since = 0
        self.mark = 0

    def restart(self, mark: int) -> None:
        """Forget the changes: all endpoints were told anew, up to a mark."""
        self._changes.clear()
        self._complete_since = mark
        self.mark = mark

    def changed(self, endpoint_id: str, mark: int) -> None:
        """Note that the row of an endpoint changed or vanished."""
        if len(self._changes) == KEPT_CHANGES:
            self._complete_since = self._changes[0][0]
        self._changes.append((mark, endpoint_id))
        self.mark = max(self.mark, mark)

    def told_up_to(self, mark: int) -> None:
        """Note that no further change is known up to a mark."""
        self.mark = max(self.mark, mark)

    def since(self, mark: int) -> frozenset[str] | None:
        """Return the endpoints that changed after a mark; None if that is no longer known."""
        if mark < self._complete_since:
            return None
        return frozenset(name for at, name in self._changes if at > mark)


def mark_of(version: int) -> int:
    """Return the mark of a change at a version of the store."""
    return 2 * version
