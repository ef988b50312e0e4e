"""Relay of server-sent events: only complete events, with ids that increase."""

import re

__all__ = ["EventRelay"]

_EVENT_END = re.compile(rb"\r?\n\r?\n")
_EVENT_ID = re.compile(rb"(?:^|\n)id:[ ]?([^\r\n]*)")
_LONGEST_END = len(b"\r\n\r\n")
_MAX_EVENT_BYTES = 1024 * 1024


class EventRelay:
    """Splits the bytes of a response stream into complete events.

    Attributes
    ----------
    last_id : str
        Id of the last complete event that had one; empty before.
    count : int
        Number of complete events so far.

    Notes
    -----
    An endpoint may stop in the middle of an event. Only complete events are passed on, so that
    another endpoint can continue the stream after the last one.
    """

    def __init__(self):
        self.last_id = ""
        self.count = 0
        self._buffer = b""

    @property
    def has_partial_event(self) -> bool:
        """True if the buffer holds the beginning of an event."""
        return bool(self._buffer)

    @property
    def partial_bytes(self) -> int:
        """Size of the beginning of an event in the buffer."""
        return len(self._buffer)

    def discard_partial_event(self) -> None:
        """Discard the incomplete event, before another endpoint continues the stream."""
        self._buffer = b""

    def feed(self, data: bytes) -> bytes:
        """Append received bytes and return all events that are now complete, as bytes.

        Raises
        ------
        ValueError
            If a numeric event id is not greater than the last one, or an incomplete event exceeds
            1 MiB. No event of `data` then counts as received, since none is returned.
        """
        # An incomplete event has no end but one that its last bytes begin.
        searched = max(0, len(self._buffer) - _LONGEST_END + 1)
        buffer, last_id = self._buffer + data, self.last_id
        count = end = 0
        for match in _EVENT_END.finditer(buffer, searched):
            last_id = _find_next_id(buffer[end : match.end()], last_id)
            count += 1
            end = match.end()
        if len(buffer) - end > _MAX_EVENT_BYTES:
            raise ValueError("an event is too large")
        self._buffer, self.last_id = buffer[end:], last_id
        self.count += count
        return buffer[:end]


def _find_next_id(event: bytes, last_id: str) -> str:
    """Return the id of an event, or that of the one before if it has none."""
    match = _EVENT_ID.search(event)
    if match is None:
        return last_id
    event_id = match.group(1).decode("latin-1")
    if event_id.isdigit() and last_id.isdigit() and int(event_id) <= int(last_id):
        raise ValueError("an event came out of order")
    return event_id
