"""Client of the cloud API, which only the holder of the leader lease calls."""

from typing import Any

import orjson

from flamingofront.connection.call_guard import ACK_TIMEOUT_SECONDS, CallGuard
from flamingofront.messages import OutboundCall
from flamingofront.platform.store import JSON_HEADERS, STATUS_OK
from flamingofront.process.calls import send_call
from flamingofront.process.store import Cloud, ScalingRequest, UsageReport
from flamingofront.process.tasks import Task

__all__ = ["PlatformCloud"]

HOLDER_HEADER = "X-Flamingofront-Duty-Holder"
FENCING_HEADER = "X-Flamingofront-Fencing-Token"
STATUS_NO_CAPACITY = 409


class PlatformCloud(Cloud):
    """Client of the platform's API for usage reports and scaling requests.

    Parameters
    ----------
    address : str
        ``IP:PORT`` of the API.
    timeout : float
        Seconds to wait for a response.
    """

    def __init__(self, address: str, timeout: float):
        self._address = address
        self._timeout = timeout

    def report_usage(
        self, holder: str, fencing: int, report: UsageReport, guard: CallGuard | None = None
    ) -> Task:
        """Send the request counts of one usage window, with the caller's fencing token."""
        body = {"window_id": report.window, "counts": dict(report.counts)}
        call = self._make_call("/usage", holder, fencing, body, guard)
        yield from send_call(call, True, (STATUS_OK,))

    def request_endpoints(
        self, holder: str, fencing: int, order: ScalingRequest, guard: CallGuard | None = None
    ) -> Task:
        """Request a number of endpoints; return False if the zone has no capacity now."""
        body = {"service": order.service, "zone": order.zone, "desired": order.count}
        if order.reclaimable:
            body["spot"] = True
        call = self._make_call("/scale", holder, fencing, body, guard)
        reply = yield from send_call(call, True, (STATUS_OK, STATUS_NO_CAPACITY))
        return reply.status == STATUS_OK

    def _make_call(
        self, path: str, holder: str, fencing: int, body: dict[str, Any], guard: CallGuard | None
    ) -> OutboundCall:
        headers = (*JSON_HEADERS, (HOLDER_HEADER, holder), (FENCING_HEADER, str(fencing)))
        return OutboundCall(
            self._address,
            "POST",
            path,
            orjson.dumps(body),
            headers,
            self._timeout,
            # A call that a network partition delays could arrive behind calls of the next holder.
            ack_timeout=ACK_TIMEOUT_SECONDS,
            guard=guard,
        )
