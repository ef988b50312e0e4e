"""Moves forwarded requests off network paths that do not work."""

import math
from typing import TYPE_CHECKING

from flamingofront.decisions.direct_paths import EndpointPath
from flamingofront.request.forwarded_request import ForwardedRequest
from flamingofront.request.zone_probes import ZoneProbes

if TYPE_CHECKING:
    from flamingofront.request.hub import RequestHub

__all__ = ["PathFailover"]

# Time without data after which a request does not wait for its attempt on a lost path.
UNANSWERED_SECONDS = 0.25
# Same for attempts that received data after the paths were found to be lost: streams send data
# every 20 to 300 ms.
LATER_UNANSWERED_SECONDS = 0.5
# Time without data from an endpoint after which the paths to its service are checked.
SILENT_ENDPOINT_SECONDS = 0.4


class PathFailover:
    """Finds the requests whose attempts hang on a failed path, and retries them on another one.

    Parameters
    ----------
    hub : RequestHub
        Requests in flight, and the paths to the endpoints.
    """

    def __init__(self, hub: "RequestHub"):
        self._hub = hub
        self._zone_probes = ZoneProbes(
            lambda endpoint_id, on_result: hub.paths.monitor.start_probe(
                endpoint_id, False, on_result
            ),
            self._leave_endpoint,
            hub.directory,
            hub.timers,
            hub.metrics,
            hub.log,
        )
        hub.paths.monitor.on_lost = self._on_lost
        hub.paths.monitor.on_restored = lambda: hub.directory.forget_failures(
            hub.directory.ready_endpoints()
        )

    def _sent_to_zone(self, zone: str) -> list[ForwardedRequest]:
        """Return the forwarded requests that are sent to endpoints of a zone."""
        return [
            each
            for each in self._hub.active.values()
            if isinstance(each, ForwardedRequest)
            and each.has_direct_attempt
            and self._hub.directory.zone_of(each.endpoint_id) == zone
        ]

    def unanswered_since(self, zone: str) -> float:
        """Return the earliest time since which a request to a zone has received no data.

        Infinity if no request is sent to the zone.
        """
        return min(
            (each.compute_last_activity() for each in self._sent_to_zone(zone)), default=math.inf
        )

    def silent_endpoints(self) -> list[str]:
        """Return the endpoints that have sent nothing for a while, though attempts wait there."""
        before = self._hub.now() - SILENT_ENDPOINT_SECONDS
        return sorted(
            {
                each.endpoint_id
                for each in self._hub.active.values()
                if isinstance(each, ForwardedRequest)
                and each.has_direct_attempt
                and each.compute_last_activity() <= before
                and self._hub.directory.last_contact_at(each.endpoint_id) <= before
            }
        )

    def unanswered_since_in_any_zone(self) -> float:
        """Return the earliest time since which a request has received no data.

        Infinity if no attempt is in flight.
        """
        return min(
            (
                each.compute_last_activity()
                for each in self._hub.active.values()
                if isinstance(each, ForwardedRequest) and each.has_direct_attempt
            ),
            default=math.inf,
        )

    def _on_lost(self) -> None:
        """Retry through peers the requests whose direct attempts are not answered.

        Notes
        -----
        Idle connections are tested before they are used, and closed if they hang: a request on one
        would wait for its timeout.
        """
        lost = [
            each
            for each in self._hub.directory.ready_endpoints()
            if self._hub.paths.monitor.is_lost(each)
        ]
        self._hub.directory.forget_failures(lost)
        self._hub.paths.check_open_connections(is_new=True)
        self.leave_lost_paths(UNANSWERED_SECONDS)

    def leave_lost_paths(self, seconds: float = LATER_UNANSWERED_SECONDS) -> None:
        """Retry through peers the requests whose attempts on lost paths receive no data.

        Parameters
        ----------
        seconds : float
            Time without data; open connections may work while new ones fail.

        Notes
        -----
        An endpoint that stands still is as silent as one whose path is lost, and may go on. While a
        check is in progress, or no peer is known to reach any endpoint, only attempts that were not
        sent are retried.
        """
        has_way = self._hub.paths.peers.reaches_any
        waiting_since = self._hub.now() - seconds
        for request in list(self._hub.active.values()):
            if (
                isinstance(request, ForwardedRequest)
                and request.has_direct_attempt
                and self._hub.paths.path_to(request.endpoint_id) is EndpointPath.PROXIED
            ):
                is_lost = self._hub.paths.monitor.is_known_lost(request.endpoint_id)
                request.leave_lost_path(waiting_since if is_lost and has_way else -math.inf)

    def fail_over_unresponsive_peers(self) -> None:
        """Retry the requests whose attempts a peer proxies that no longer responds."""
        proxied = [
            each
            for each in self._hub.active.values()
            if isinstance(each, ForwardedRequest) and each.proxy_address
        ]
        peers = self._hub.paths.silent_peers.list_stopped(
            (each.proxy_address, each.compute_last_activity()) for each in proxied
        )
        for request in proxied:
            if request.proxy_address in peers:
                request.fail_over("proxy peer does not respond")

    def fail_over_zone(self, zone: str) -> None:
        """Retry elsewhere the requests at endpoints of a partitioned zone that are not reached."""
        self._zone_probes.check(each.endpoint_id for each in self._sent_to_zone(zone))

    def _leave_endpoint(self, endpoint_id: str, since: float) -> None:
        """Retry elsewhere the requests at an endpoint from which no data came since a time."""
        for request in list(self._hub.active.values()):
            if (
                isinstance(request, ForwardedRequest)
                and request.has_direct_attempt
                and request.endpoint_id == endpoint_id
                and request.compute_last_activity() <= since
            ):
                request.fail_over("zone cut off")
