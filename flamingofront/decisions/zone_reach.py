"""Detection of availability zones that are partitioned from this process.

Load pattern: a zone is partitioned for some seconds. Requests there hang for two seconds until the
operating system drops the connections, and each further attempt costs a connect timeout. Two
conditions detect this sooner: connections to two endpoints fail; or one fails or does not respond,
and all entry processes of the zone, which report several times per second, are unresponsive.
Unresponsive processes alone are not sufficient, since all processes of a zone may be killed while
its endpoints are serving. An endpoint that has just sent data overrides all other evidence. A
decision is valid for two seconds, then the zone is tried again. Unresponsive processes are no
evidence against the zone of this process itself.
"""

from collections.abc import Collection

__all__ = ["ZoneReachability"]

# A zone counts as partitioned after this many connect failures within this time without any
# response, so that its other endpoints are not tried one by one with a connect timeout each.
MIN_FAILED_ENDPOINTS = 2
PARTITION_SECONDS = 2.0
# Time for which received data proves that a zone is reachable: a stream sends every 20 to 100 ms.
RESPONSE_RECENT_SECONDS = 0.4


class ZoneReachability:
    """Evidence that zones are partitioned from this process; times in seconds."""

    def __init__(self):
        self._connect_failures: dict[str, dict[str, float]] = {}
        self._responses: dict[str, float] = {}
        self._pending: dict[str, float] = {}
        self._unresponsive_zones: frozenset[str] = frozenset()

    def record_connect_failure(self, zone: str, endpoint_id: str, now: float) -> None:
        """Record a failed connection attempt to an endpoint."""
        self._connect_failures.setdefault(zone, {})[endpoint_id] = now

    def record_response(self, zone: str, now: float) -> None:
        """Record that an endpoint of the zone has sent data."""
        self._connect_failures.pop(zone, None)
        self._pending.pop(zone, None)
        self._responses[zone] = now

    def forget(self, zone: str, endpoint_id: str) -> None:
        """Drop the connect failure of an endpoint, which does not speak against its zone."""
        self._connect_failures.get(zone, {}).pop(endpoint_id, None)

    def set_unresponsive_zones(self, zones: Collection[str]) -> None:
        """Set the zones whose entry processes are all unresponsive."""
        self._unresponsive_zones = frozenset(zones)

    def record_pending(self, zone: str, since: float, now: float) -> None:
        """Record that responses from the zone are pending and no data came since a time."""
        if now - since >= RESPONSE_RECENT_SECONDS:
            self._pending[zone] = now

    def is_partitioned(self, zone: str, now: float) -> bool:
        """Return True if a zone appears to be partitioned from this process."""
        if now - self._responses.get(zone, -RESPONSE_RECENT_SECONDS) < RESPONSE_RECENT_SECONDS:
            return False
        min_failures = MIN_FAILED_ENDPOINTS
        if zone in self._unresponsive_zones:
            if now - self._pending.get(zone, -PARTITION_SECONDS) < PARTITION_SECONDS:
                return True
            min_failures = 1
        times = self._connect_failures.get(zone, {})
        return sum(now - each <= PARTITION_SECONDS for each in times.values()) >= min_failures
