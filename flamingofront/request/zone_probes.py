"""Probes of the endpoints of a zone that seems partitioned, before their attempts are given up.

What makes a zone seem partitioned says little of one endpoint: its processes may have been killed,
two of its VMs may be gone, and a response may just take long. An endpoint that accepts a connection
is reached, so that its attempts go on.
"""

import math
from collections.abc import Callable, Iterable

from flamingofront.process.logs import Log
from flamingofront.process.metrics import Metrics
from flamingofront.process.timers import TimerService
from flamingofront.request.directory import EndpointDirectory

__all__ = ["ZoneProbes"]

# Time between two probes of an endpoint: the timeout of a probe, and a pause.
PROBE_PERIOD_SECONDS = 0.5


class ZoneProbes:
    """Tells which endpoints of zones that seem partitioned are not reached.

    Parameters
    ----------
    start_probe : callable
        Opens a connection to an endpoint and passes on whether it was established.
    on_unreached : callable
        Called with an endpoint that was not reached, and the time at which its probe began.
    """

    def __init__(
        self,
        start_probe: Callable[[str, Callable[[bool], None]], None],
        on_unreached: Callable[[str, float], None],
        directory: EndpointDirectory,
        timers: TimerService,
        metrics: Metrics,
        log: Log,
    ):
        self._start_probe = start_probe
        self._on_unreached = on_unreached
        self._directory = directory
        self._timers = timers
        self._metrics = metrics
        self._log = log
        self._probed_at: dict[str, float] = {}

    def check(self, endpoint_ids: Iterable[str]) -> None:
        """Probe endpoints, unless they were probed a moment ago."""
        now = self._timers.now()
        self._probed_at = {
            name: at for name, at in self._probed_at.items() if now - at < PROBE_PERIOD_SECONDS
        }
        for each in sorted(set(endpoint_ids)):
            if each not in self._probed_at:
                self._probed_at[each] = now
                self._probe(each, now)

    def _probe(self, endpoint_id: str, began_at: float) -> None:
        zone = self._directory.zone_of(endpoint_id)
        data_age = began_at - self._directory.last_contact_at(endpoint_id)
        self._metrics.count("endpoint_probes_total")
        self._start_probe(
            endpoint_id,
            lambda is_reached: self._on_result(endpoint_id, zone, data_age, began_at, is_reached),
        )

    def _on_result(
        self, endpoint_id: str, zone: str, data_age: float, began_at: float, is_reached: bool
    ) -> None:
        now = self._timers.now()
        self._log.info(
            (
                "endpoint of partitioned zone reached"
                if is_reached
                else "endpoint of partitioned zone not reached"
            ),
            endpoint=endpoint_id,
            of_zone=zone,
            probe_ms=round((now - began_at) * 1000),
            data_age=None if math.isinf(data_age) else round(data_age, 3),
        )
        if is_reached:
            self._directory.zones.record_response(zone, now)
        else:
            self._on_unreached(endpoint_id, began_at)
