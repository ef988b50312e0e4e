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
            1 MiB.
        """
        # An incomplete event has no end but one that its last bytes begin.
        searched = max(0, len(self._buffer) - _LONGEST_END + 1)
        self._buffer += data
        end = 0
        for match in _EVENT_END.finditer(self._buffer, searched):
            self._record_event(self._buffer[end : match.end()])
            end = match.end()
        events, self._buffer = self._buffer[:end], self._buffer[end:]
        if len(self._buffer) > _MAX_EVENT_BYTES:
            raise ValueError("an event is too large")
        return events

    def _record_event(self, event: bytes) -> None:
        self.count += 1
        match = _EVENT_ID.search(event)
        if match is None:
            return
        event_id = match.group(1).decode("latin-1")
        if event_id.isdigit() and self.last_id.isdigit() and int(event_id) <= int(self.last_id):
            raise ValueError("an event came out of order")
        self.last_id = event_id
