"""Stand-in for a plain service: counts each execution, and can fail at any step of a call."""

from collections import Counter
from enum import StrEnum

import orjson

from flamingofront.connection.interfaces import Exchange
from flamingofront.connection.server import JSON_HEADERS
from flamingofront.messages import InboundRequest
from flamingofront.process.timers import TimerService

__all__ = ["PlainFault", "PlainStandIn"]


class PlainFault(StrEnum):
    """Where a call fails."""

    NONE = "none"
    REFUSE = "refuse"
    RESET_BEFORE = "reset_before"
    RESET_AFTER = "reset_after"
    CUT_ANSWER = "cut_answer"
    HANG_BEFORE = "hang_before"
    HANG_AFTER = "hang_after"
    CROSSED = "crossed"


class PlainStandIn:
    """One plain endpoint.

    Parameters
    ----------
    work_seconds : float
        Time that a call takes.
    """

    def __init__(self, endpoint_id: str, timers: TimerService, work_seconds: float = 0.0):
        self.endpoint_id = endpoint_id
        self.work_seconds = work_seconds
        self.executions: Counter[str] = Counter()
        self.dead = False
        self._timers = timers
        self._fault = PlainFault.NONE
        self._fault_count = 0

    def fail(self, fault: PlainFault, count: int = -1) -> None:
        """Switch a fault on for a number of calls, -1 for all."""
        self._fault = fault
        self._fault_count = count

    def _take_fault(self) -> PlainFault:
        if self._fault_count == 0:
            return PlainFault.NONE
        if self._fault_count > 0:
            self._fault_count -= 1
        return self._fault

    def handle(self, req: InboundRequest, exchange: Exchange) -> None:
        """Take one call."""
        if req.path == "/faults":
            data = orjson.loads(req.body)
            self.fail(PlainFault(data["fault"]), data.get("count", -1))
            _respond(exchange, {})
        elif req.path == "/load":
            _respond(exchange, {"load": 0})
        elif req.path == "/counts":
            _respond(exchange, {"executions": dict(self.executions)})
        else:
            self._timers.once(self.work_seconds, lambda: self._call(req, exchange))

    def _call(self, req: InboundRequest, exchange: Exchange) -> None:
        if self.dead:
            return
        fault = self._take_fault()
        if fault is PlainFault.REFUSE:
            exchange.respond(503, (*JSON_HEADERS, ("X-Not-Run", "true")), b"{}")
        elif fault is PlainFault.RESET_BEFORE:
            exchange.abort()
        elif fault is not PlainFault.HANG_BEFORE:
            self._execute(req, exchange, fault)

    def _execute(self, req: InboundRequest, exchange: Exchange, fault: PlainFault) -> None:
        request_id = req.header("x-request-id", "?")
        self.executions[self._work_key(req, request_id)] += 1
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

    def _work_key(self, req: InboundRequest, request_id: str) -> str:
        """Return what is counted as one piece of work: the caller's own mark, or the request."""
        return req.header("x-work", request_id)

    def crash(self) -> None:
        """Answer nothing any more."""
        self.dead = True


def _respond(exchange: Exchange, data: dict) -> None:
    exchange.respond(200, JSON_HEADERS, orjson.dumps(data))
