"""Server-sent events that pass through: whole events only, each id once and in order."""

import re

__all__ = ["EventRelay"]

_EVENT_END = re.compile(rb"\r?\n\r?\n")
_EVENT_ID = re.compile(rb"(?:^|\n)id:[ ]?([^\r\n]*)")
_MAX_EVENT_BYTES = 1024 * 1024


class EventRelay:
    """Cut an endpoint's bytes into whole events.

    Notes
    -----
    An endpoint may stop in the middle of an event. Only whole events are passed on, so that another
    endpoint can go on behind the last one.
    """

    def __init__(self):
        self.last_id = ""
        self.count = 0
        self._buffer = b""

    @property
    def has_partial_event(self) -> bool:
        """True if bytes of an unfinished event are held."""
        return bool(self._buffer)

    def discard_partial_event(self) -> None:
        """Drop the unfinished event: another endpoint goes on behind the last whole one."""
        self._buffer = b""

    def feed(self, data: bytes) -> bytes:
        """Take bytes and return the whole events among them.

        Raises
        ------
        ValueError
            If an event does not follow the last one, or is larger than any event may be.
        """
        self._buffer += data
        end = 0
        for match in _EVENT_END.finditer(self._buffer):
            self._record_event(self._buffer[end : match.end()])
            end = match.end()
        whole, self._buffer = self._buffer[:end], self._buffer[end:]
        if len(self._buffer) > _MAX_EVENT_BYTES:
            raise ValueError("an event is too large")
        return whole

    def _record_event(self, event: bytes) -> None:
        self.count += 1
        match = _EVENT_ID.search(event)
        if match is None:
            return
        event_id = match.group(1).decode("latin-1")
        if event_id.isdigit() and self.last_id.isdigit() and int(event_id) <= int(self.last_id):
            raise ValueError("an event came out of order")
        self.last_id = event_id
