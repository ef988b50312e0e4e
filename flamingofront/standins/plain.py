"""Stand-in for a plain service that counts executions and can fail at any step of a call."""

from collections import Counter
from enum import StrEnum

import orjson

from flamingofront.connection.interfaces import Exchange
from flamingofront.connection.server import JSON_HEADERS
from flamingofront.messages import InboundRequest
from flamingofront.process.timers import TimerService

__all__ = ["PlainFault", "PlainStandIn"]


class PlainFault(StrEnum):
    """How a call fails, before or after the request is executed."""

    NONE = "none"
    REFUSE = "refuse"
    RESET_BEFORE = "reset_before"
    RESET_AFTER = "reset_after"
    CUT_ANSWER = "cut_answer"
    HANG_BEFORE = "hang_before"
    HANG_AFTER = "hang_after"
    CROSSED = "crossed"


class PlainStandIn:
    """One endpoint of a plain service.

    Parameters
    ----------
    work_seconds : float
        Duration of a call.
    """

    def __init__(self, endpoint_id: str, timers: TimerService, work_seconds: float = 0.0):
        self.endpoint_id = endpoint_id
        self.work_seconds = work_seconds
        self.executions: Counter[str] = Counter()
        self.dead = False
        self._timers = timers
        self._fault = PlainFault.NONE
        self._fault_count = 0

    def inject_fault(self, fault: PlainFault, count: int = -1) -> None:
        """Apply a fault to the next `count` calls, or to all if `count` is -1."""
        self._fault = fault
        self._fault_count = count

    def _next_fault(self) -> PlainFault:
        """Return the fault of the next call and count it."""
        if self._fault_count == 0:
            return PlainFault.NONE
        if self._fault_count > 0:
            self._fault_count -= 1
        return self._fault

    def handle(self, req: InboundRequest, exchange: Exchange) -> None:
        """Handle one call: a request of the service, or a control call of a test."""
        if req.path == "/faults":
            data = orjson.loads(req.body)
            self.inject_fault(PlainFault(data["fault"]), data.get("count", -1))
            _respond(exchange, {})
        elif req.path == "/load":
            _respond(exchange, {"load": 0})
        elif req.path == "/counts":
            _respond(exchange, {"executions": dict(self.executions)})
        else:
            self._timers.once(self.work_seconds, lambda: self._handle_request(req, exchange))

    def _handle_request(self, req: InboundRequest, exchange: Exchange) -> None:
        if self.dead:
            return
        fault = self._next_fault()
        if fault is PlainFault.REFUSE:
            exchange.respond(503, (*JSON_HEADERS, ("X-Not-Run", "true")), b"{}")
        elif fault is PlainFault.RESET_BEFORE:
            exchange.abort()
        elif fault is not PlainFault.HANG_BEFORE:
            self._execute(req, exchange, fault)

    def _execute(self, req: InboundRequest, exchange: Exchange, fault: PlainFault) -> None:
        request_id = req.header("x-request-id", "?")
        self.executions[self._get_execution_key(req, request_id)] += 1
        body = {
            "endpoint": self.endpoint_id,
            "method": req.method,
            "path": req.path,
            "query": dict(req.query),
            "request": request_id,
            "body": req.body.decode("utf-8", "replace"),
        }
        headers = (*JSON_HEADERS, ("X-Request-Id", request_id))
        if fault is PlainFault.RESET_AFTER:
            exchange.abort()
        elif fault is PlainFault.CUT_ANSWER:
            exchange.begin(200, headers)
            exchange.send(orjson.dumps(body)[:10])
            exchange.abort()
        elif fault is PlainFault.CROSSED:
            exchange.respond(200, (*JSON_HEADERS, ("X-Request-Id", "another")), b'{"other": 1}')
        elif fault is not PlainFault.HANG_AFTER:
            exchange.respond(200, headers, orjson.dumps(body))

    def _get_execution_key(self, req: InboundRequest, request_id: str) -> str:
        """Return the key of the execution count: the caller's ``x-work`` header or request id."""
        return req.header("x-work", request_id)

    def crash(self) -> None:
        """Stop responding to requests, as after a crash."""
        self.dead = True


def _respond(exchange: Exchange, data: dict) -> None:
    exchange.respond(200, JSON_HEADERS, orjson.dumps(data))
