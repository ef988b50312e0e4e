"""Which availability zones are cut off from this process.

Load pattern: a zone is partitioned for some seconds. What was sent there hangs for two seconds
until the system gives its connections up, and each further try costs a connect timeout. Two signs
tell it sooner: two of its endpoints cannot be connected to, or one cannot, or does not answer, and
all entry processes of the zone, who report several times a second, have fallen silent. Limits:
silent processes alone tell nothing, since all of a zone may be killed while its endpoints serve on;
an endpoint that has just sent something outweighs all signs; a verdict holds for two seconds, then
the zone is tried again; the own zone is never judged by its peers.
"""

from collections.abc import Collection

__all__ = ["ZoneReachability"]

# A zone in which so many endpoints could not be reached within this time, and none was, is taken to
# be cut off: the others there are not tried one by one, at a connect timeout each.
MIN_FAILED_ENDPOINTS = 2
PARTITION_SECONDS = 2.0
# Bytes from an endpoint speak for its zone for so long, in seconds: a stream sends every 20 to 100
# ms.
RESPONSE_RECENT_SECONDS = 0.4


class ZoneReachability:
    """Signs of zones that are cut off; times in seconds."""

    def __init__(self):
        self._connect_failures: dict[str, dict[str, float]] = {}
        self._responses: dict[str, float] = {}
        self._pending: dict[str, float] = {}
        self._unresponsive_zones: frozenset[str] = frozenset()

    def record_connect_failure(self, zone: str, endpoint_id: str, now: float) -> None:
        """Note an endpoint that could not be connected to."""
        self._connect_failures.setdefault(zone, {})[endpoint_id] = now

    def record_response(self, zone: str, now: float) -> None:
        """Note that an endpoint of the zone has sent something."""
        self._connect_failures.pop(zone, None)
        self._pending.pop(zone, None)
        self._responses[zone] = now

    def set_unresponsive_zones(self, zones: Collection[str]) -> None:
        """Take the zones all of whose entry processes have fallen silent."""
        self._unresponsive_zones = frozenset(zones)

    def record_pending(self, zone: str, since: float, now: float) -> None:
        """Note that an answer from the zone is awaited, and since when nothing has come of it."""
        if now - since >= RESPONSE_RECENT_SECONDS:
            self._pending[zone] = now

    def is_partitioned(self, zone: str, now: float) -> bool:
        """Tell whether a zone seems to be cut off from this process."""
        if now - self._responses.get(zone, -RESPONSE_RECENT_SECONDS) < RESPONSE_RECENT_SECONDS:
            return False
        needed = MIN_FAILED_ENDPOINTS
        if zone in self._unresponsive_zones:
            if now - self._pending.get(zone, -PARTITION_SECONDS) < PARTITION_SECONDS:
                return True
            needed = 1
        times = self._connect_failures.get(zone, {})
        return sum(now - each <= PARTITION_SECONDS for each in times.values()) >= needed
