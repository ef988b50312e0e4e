"""Reports of store changes to peers, once for all changes of one answer of the store."""

from flamingofront.process.forwarding.peers import Peers
from flamingofront.process.timers import TimerService

__all__ = ["ChangeReports"]


class ChangeReports:
    """Reports changes to the zone, and departures of endpoints to all zones."""

    def __init__(self, peers: Peers, timers: TimerService):
        self._peers = peers
        self._timers = timers
        self._has_unsent_departure = False
        self._is_due = False

    def record_departure(self) -> None:
        """Record that an endpoint is leaving or was removed; the next report tells all zones."""
        self._has_unsent_departure = True

    def record_change(self) -> None:
        """Record a change of the store, which is reported once all changes are applied."""
        if not self._is_due:
            self._is_due = True
            self._timers.once(0.0, self._report)

    def _report(self) -> None:
        self._is_due = False
        self._peers.notify_zone()
        if self._has_unsent_departure:
            self._has_unsent_departure = False
            self._peers.broadcast_departures()
