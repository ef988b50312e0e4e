"""Last check of an attempt, right before its first byte is sent."""

from typing import TYPE_CHECKING

from flamingofront.connection.call_guard import CallGuard, CallStep

if TYPE_CHECKING:
    from flamingofront.request.host import RequestHost

__all__ = ["MAX_EXCESS_SECONDS", "MAX_HOP_EXCESS_SECONDS", "AttemptGuard"]

# Time by which the deadline that an endpoint is told may be too long when the attempt is sent. A
# slow connection takes most of it; messages in transit add to it.
MAX_EXCESS_SECONDS = 0.3
# Same for each of the two hops of an attempt that a peer proxies.
MAX_HOP_EXCESS_SECONDS = 0.2


class AttemptGuard(CallGuard):
    """Lets an attempt begin while its endpoint takes requests and the stated deadline is true.

    Parameters
    ----------
    host : RequestHost
        Components of the process that sends the attempt.
    endpoint_id : str
        Endpoint that the attempt is sent to, directly or by a peer.
    latest_start : float
        Time after which the deadline in the headers of the attempt would be too long.

    Notes
    -----
    On an idle connection an attempt begins at once, so that only new connections are checked. What
    has begun goes on: an endpoint may run what it has received.
    """

    def __init__(self, host: "RequestHost", endpoint_id: str, latest_start: float):
        self._host = host
        self._endpoint_id = endpoint_id
        self._latest_start = latest_start
        self._needs_check = False

    def may_send(self) -> bool:
        """Return True if the attempt has begun or may begin now."""
        if self._needs_check:
            is_late = self._host.now() > self._latest_start
            directory = self._host.directory
            is_unavailable = directory.is_unavailable(self._endpoint_id)
            self._needs_check = is_late or is_unavailable or not directory.is_current()
        return not self._needs_check

    def record(self, step: CallStep) -> None:
        """Check before the first byte on a new connection, also on that of a repeated call."""
        if step is CallStep.CONNECTING:
            self._needs_check = True
