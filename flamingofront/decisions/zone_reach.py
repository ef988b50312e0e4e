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
CUT_OFF_ENDPOINTS = 2
CUT_OFF_SECONDS = 2.0
# Bytes from an endpoint speak for its zone for so long, in seconds: a stream sends every 20 to 100
# ms.
SPOKE_SECONDS = 0.4


class ZoneReachability:
    """Signs of zones that are cut off; times in seconds."""

    def __init__(self):
        self._failed: dict[str, dict[str, float]] = {}
        self._spoke: dict[str, float] = {}
        self._unanswered: dict[str, float] = {}
        self._silent: frozenset[str] = frozenset()

    def failed(self, zone: str, endpoint_id: str, now: float) -> None:
        """Note an endpoint that could not be connected to."""
        self._failed.setdefault(zone, {})[endpoint_id] = now

    def spoke(self, zone: str, now: float) -> None:
        """Note that an endpoint of the zone has sent something."""
        self._failed.pop(zone, None)
        self._unanswered.pop(zone, None)
        self._spoke[zone] = now

    def set_unresponsive_zones(self, zones: Collection[str]) -> None:
        """Take the zones all of whose entry processes have fallen silent."""
        self._silent = frozenset(zones)

    def awaited(self, zone: str, since: float, now: float) -> None:
        """Note that an answer from the zone is awaited, and since when nothing has come of it."""
        if now - since >= SPOKE_SECONDS:
            self._unanswered[zone] = now

    def is_cut_off(self, zone: str, now: float) -> bool:
        """Tell whether a zone seems to be cut off from this process."""
        if now - self._spoke.get(zone, -SPOKE_SECONDS) < SPOKE_SECONDS:
            return False
        needed = CUT_OFF_ENDPOINTS
        if zone in self._silent:
            if now - self._unanswered.get(zone, -CUT_OFF_SECONDS) < CUT_OFF_SECONDS:
                return True
            needed = 1
        times = self._failed.get(zone, {})
        return sum(now - each <= CUT_OFF_SECONDS for each in times.values()) >= needed
