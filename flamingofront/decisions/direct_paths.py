"""Detection that this VM has lost its own network paths to the endpoints.

A connection that is refused or not established does not tell whether the endpoint has failed or the
path to it. If a failure is followed by failed connections to all of a sample of other endpoints,
the paths of this VM are lost. Only new connections count as evidence, because open ones may work
while new ones are refused. A VM that still reaches the endpoints of its own zone has lost no more
than other zones, which `ZoneReachability` handles.
"""

import math
from collections.abc import Collection
from enum import StrEnum

__all__ = ["DirectPaths", "EndpointPath", "PathStatus"]

# Checks are this far apart, so that the endpoints of a crashed zone do not cause one per failure.
CHECK_PAUSE_SECONDS = 0.5
# Lost paths count as working again once this fraction of all endpoints is reached; the others may
# have failed meanwhile.
RESTORED_FRACTION = 0.5


class PathStatus(StrEnum):
    """State of the direct paths of this VM to the endpoints."""

    WORKING = "working"
    CHECKING = "checking"
    LOST = "lost"


class EndpointPath(StrEnum):
    """Path on which attempts reach an endpoint."""

    DIRECT = "direct"
    PROXIED = "proxied"
    """Through a peer that sends the attempt on."""
    NONE = "none"
    """No path is known."""


class DirectPaths:
    """Evidence on the direct paths to endpoints; times in seconds.

    Attributes
    ----------
    status : PathStatus
        Current state.
    since : float
        Start time of the last check, from which on evidence counts for the current state.
    """

    def __init__(self):
        self.status = PathStatus.WORKING
        self.since = -math.inf
        self._connected_at: dict[str, float] = {}
        self._failed_at: dict[str, float] = {}
        self._singly_lost_at: dict[str, float] = {}

    def record_connected(self, endpoint_id: str, now: float) -> None:
        """Record that a new connection to an endpoint was established."""
        self._connected_at[endpoint_id] = now
        self._failed_at.pop(endpoint_id, None)
        self._singly_lost_at.pop(endpoint_id, None)

    def record_failure(self, endpoint_id: str, now: float) -> None:
        """Record that no new connection to an endpoint could be established."""
        self._failed_at[endpoint_id] = now
        self._connected_at.pop(endpoint_id, None)

    def forget(self, endpoint_id: str) -> None:
        """Drop the evidence on an endpoint that was removed."""
        self._connected_at.pop(endpoint_id, None)
        self._failed_at.pop(endpoint_id, None)
        self._singly_lost_at.pop(endpoint_id, None)

    def can_start_check(self, now: float) -> bool:
        """Return True if the state is not in doubt and the last check is long enough ago."""
        return self.status is PathStatus.WORKING and now - self.since >= CHECK_PAUSE_SECONDS

    def start_check(self, now: float) -> None:
        """Start a check; an endpoint counts as reached once it is connected after `now`."""
        self.status = PathStatus.CHECKING
        self.since = now

    def count_reached(self, endpoint_ids: Collection[str]) -> int:
        """Return how many of the given endpoints were connected since the check started."""
        return self.count_reached_since(endpoint_ids, self.since)

    def count_reached_since(self, endpoint_ids: Collection[str], at: float) -> int:
        """Return how many of the given endpoints were connected since a time."""
        return sum(self._connected_at.get(each, -math.inf) >= at for each in endpoint_ids)

    def conclude_check(
        self, endpoint_ids: Collection[str], is_confirmed: bool = True
    ) -> PathStatus:
        """End a check of the given endpoints and return the new state.

        Parameters
        ----------
        is_confirmed : bool
            False if endpoints that were not reached are not reached by others either.
        """
        is_working = self.count_reached(endpoint_ids) > 0 or not is_confirmed
        self.status = PathStatus.WORKING if is_working else PathStatus.LOST
        return self.status

    def restore_if_reached(self, endpoint_ids: Collection[str]) -> bool:
        """Return True if lost paths count as working again: most of all endpoints are reached."""
        if self.status is not PathStatus.LOST or not endpoint_ids:
            return False
        if self.count_reached(endpoint_ids) < RESTORED_FRACTION * len(endpoint_ids):
            return False
        self.status = PathStatus.WORKING
        return True

    def is_lost(self, endpoint_id: str) -> bool:
        """Return True if the direct path to an endpoint is lost, or in doubt during a check."""
        is_in_doubt = self.status is PathStatus.CHECKING and not self._is_connected(endpoint_id)
        return is_in_doubt or self.is_known_lost(endpoint_id)

    def is_known_lost(self, endpoint_id: str) -> bool:
        """Return True if a check has found that the direct path to an endpoint is lost."""
        if endpoint_id in self._singly_lost_at:
            return True
        return self.status is PathStatus.LOST and not self._is_connected(endpoint_id)

    def is_singly_lost(self, endpoint_id: str) -> bool:
        """Return True if the path to an endpoint is lost while others work."""
        return endpoint_id in self._singly_lost_at

    def record_loss(self, endpoint_ids: Collection[str], now: float) -> None:
        """Record that the paths to some endpoints are lost while others work.

        They count as lost until a connection is established.
        """
        for each in endpoint_ids:
            self._singly_lost_at.setdefault(each, now)

    @property
    def has_single_losses(self) -> bool:
        """True if paths to some endpoints are lost while others work."""
        return bool(self._singly_lost_at)

    def last_failure_at(self, endpoint_id: str) -> float | None:
        """Return the time of the last failed connection since which none was established."""
        return self._failed_at.get(endpoint_id)

    def last_connected_at(self, endpoint_id: str) -> float | None:
        """Return the time of the last established connection since which none has failed."""
        return self._connected_at.get(endpoint_id)

    def _is_connected(self, endpoint_id: str) -> bool:
        return self._connected_at.get(endpoint_id, -math.inf) >= self.since
