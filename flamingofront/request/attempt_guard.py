"""Last check of an attempt, right before its first byte is sent."""

from typing import TYPE_CHECKING

from flamingofront.connection.call_guard import CallGuard, CallStep

if TYPE_CHECKING:
    from flamingofront.request.host import RequestHost

__all__ = ["MAX_EXCESS_SECONDS", "AttemptGuard"]

# Time by which the deadline that an endpoint is told may be too long when the attempt is sent. A
# slow connection takes most of it; messages in transit add to it.
MAX_EXCESS_SECONDS = 0.3


class AttemptGuard(CallGuard):
    """Lets an attempt begin as long as the deadline that it states is true.

    Parameters
    ----------
    host : RequestHost
        Components of the process that sends the attempt.
    latest_start : float
        Time after which the deadline in the headers of the attempt would be too long.

    Notes
    -----
    What has begun goes on: an endpoint may run what it has received.
    """

    def __init__(self, host: "RequestHost", latest_start: float):
        self._host = host
        self._latest_start = latest_start
        self._has_begun = False

    def may_send(self) -> bool:
        """Return True if the attempt has begun or may begin now."""
        if not self._has_begun:
            self._has_begun = self._host.now() <= self._latest_start
        return self._has_begun

    def record(self, step: CallStep) -> None:
        """Ask again before the first byte on a new connection, as on that of a repeated call."""
        if step is CallStep.CONNECTING:
            self._has_begun = False
