"""Calls of the cloud's interface, each of which is the duty of one process at a time."""

from typing import Any

import orjson

from flamingofront.messages import OutboundCall
from flamingofront.platform.store import JSON_HEADERS, STATUS_OK
from flamingofront.process.calls import send_call
from flamingofront.process.store import Cloud, ScalingRequest, UsageReport
from flamingofront.process.tasks import Task

__all__ = ["PlatformCloud"]

HOLDER_HEADER = "X-Flamingofront-Duty-Holder"
FENCING_HEADER = "X-Flamingofront-Fencing-Token"
STATUS_NONE_TO_BE_HAD = 409
# Part of the wait for an answer after which the system gives up an unacknowledged call. What a
# partition holds up is lost then; a call that was only closed could arrive when the partition
# heals, behind those of the next holder.
SILENCE_PART = 0.8


class PlatformCloud(Cloud):
    """The platform's interface for usage reports and orders.

    Parameters
    ----------
    address : str
        ``IP:PORT`` of the interface.
    timeout : float
        Seconds to wait for an answer.
    """

    def __init__(self, address: str, timeout: float):
        self._address = address
        self._timeout = timeout

    def report_usage(self, holder: str, fencing: int, report: UsageReport) -> Task:
        """Send the counts of one window."""
        body = {"window_id": report.window, "counts": dict(report.counts)}
        yield from send_call(self._post("/usage", holder, fencing, body), True, (STATUS_OK,))

    def request_endpoints(self, holder: str, fencing: int, order: ScalingRequest) -> Task:
        """Order a number of endpoints; False if none are to be had there now."""
        body = {"service": order.service, "zone": order.zone, "desired": order.count}
        if order.reclaimable:
            body["spot"] = True
        call = self._post("/scale", holder, fencing, body)
        reply = yield from send_call(call, True, (STATUS_OK, STATUS_NONE_TO_BE_HAD))
        return reply.status == STATUS_OK

    def _post(self, path: str, holder: str, fencing: int, body: dict[str, Any]) -> OutboundCall:
        headers = (*JSON_HEADERS, (HOLDER_HEADER, holder), (FENCING_HEADER, str(fencing)))
        return OutboundCall(
            self._address,
            "POST",
            path,
            orjson.dumps(body),
            headers,
            self._timeout,
            ack_timeout=self._timeout * SILENCE_PART,
        )
