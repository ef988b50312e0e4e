"""Attempts that this process gave up and whose endpoints may still crash under them.

An attempt is abandoned if its caller has left, its deadline has passed, its path does not work, or
its response is not valid. The endpoint may have begun to run the request, and may crash a moment
after the connection was closed.
"""

from collections import deque
from dataclasses import dataclass, replace

from flamingofront.decisions.part_facts import InterruptedRequest

__all__ = ["RETENTION_SECONDS", "AbandonedAttempt", "AbandonedAttempts"]

# Rows of endpoints expire up to four seconds after a crash, and a crash may come two seconds after
# the attempt was abandoned.
RETENTION_SECONDS = 8.0
MAX_ATTEMPTS = 4096


@dataclass(frozen=True)
class AbandonedAttempt:
    """An attempt whose outcome this process does not learn.

    Parameters
    ----------
    request : InterruptedRequest
        The request, with the time from sending it until the attempt was abandoned.
    at : float
        Time at which it was abandoned, on the clock of the timer service.
    """

    endpoint_id: str
    request: InterruptedRequest
    at: float

    def extend(self, until: float) -> InterruptedRequest:
        """Return the request with the time from sending it until a later time."""
        seconds = self.request.seconds + max(0.0, until - self.at)
        return replace(self.request, seconds=seconds)


class AbandonedAttempts:
    """The attempts that this process abandoned in the last seconds."""

    def __init__(self):
        self._attempts: deque[AbandonedAttempt] = deque(maxlen=MAX_ATTEMPTS)

    def add(self, attempt: AbandonedAttempt) -> None:
        """Add an attempt, and drop those that are too old to matter."""
        self._attempts.append(attempt)
        while attempt.at - self._attempts[0].at > RETENTION_SECONDS:
            self._attempts.popleft()

    def has_any(self, endpoint_id: str) -> bool:
        """Return True if an attempt was abandoned at an endpoint."""
        return any(each.endpoint_id == endpoint_id for each in self._attempts)

    def discard(self, endpoint_id: str) -> None:
        """Drop the attempts at an endpoint, to which a crash was attributed."""
        kept = (each for each in self._attempts if each.endpoint_id != endpoint_id)
        self._attempts = deque(kept, maxlen=MAX_ATTEMPTS)

    def list_at(self, endpoint_id: str, since: float) -> list[AbandonedAttempt]:
        """Return the attempts at an endpoint that were abandoned since a time, oldest first."""
        return [
            each for each in self._attempts if each.endpoint_id == endpoint_id and each.at >= since
        ]
