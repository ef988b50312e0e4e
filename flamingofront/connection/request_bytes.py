"""Bytes of an outgoing request, without a copy of its body."""

from collections import deque

from flamingofront.messages import OutboundCall

__all__ = ["RequestBytes"]

BODILESS_METHODS = ("GET", "HEAD")
# So much of the body is sent together with the head.
MAX_JOINED_BYTES = 64 * 1024


class RequestBytes:
    """Bytes of a request that are still to be sent.

    Parameters
    ----------
    call : OutboundCall
        The request; its body is kept until all of it is sent.
    """

    def __init__(self, call: OutboundCall):
        joined = _encode_head(call) + call.body[:MAX_JOINED_BYTES]
        self._parts = deque([memoryview(joined)])
        if len(call.body) > MAX_JOINED_BYTES:
            self._parts.append(memoryview(call.body)[MAX_JOINED_BYTES:])

    def __len__(self) -> int:
        return sum(map(len, self._parts))

    def peek(self) -> memoryview:
        """Return the bytes to send next."""
        return self._parts[0]

    def remove(self, size: int) -> None:
        """Remove the first bytes of those returned by `peek`, which were sent."""
        part = self._parts.popleft()
        if size < len(part):
            self._parts.appendleft(part[size:])


def _encode_head(call: OutboundCall) -> bytes:
    lines = [f"{call.method} {call.path} HTTP/1.1", f"Host: {call.host or call.address}"]
    lines += [f"{name}: {value}" for name, value in call.headers]
    if call.body or call.method not in BODILESS_METHODS:
        lines.append(f"Content-Length: {len(call.body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1", "replace")
