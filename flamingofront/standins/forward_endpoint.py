"""Stand-in for an endpoint of forwarded routes, model engine or plain service."""

from collections.abc import Callable
from enum import StrEnum

from flamingofront.connection.interfaces import Exchange
from flamingofront.messages import InboundRequest
from flamingofront.process.timers import TimerService

__all__ = ["ForwardEndpointStandIn", "ForwardFault"]

REQUEST_ID = "x-flamingofront-request-id"
STATUS_WRONG_ENDPOINT = 421
# From the arrival of a request to the end of the endpoint that it crashes, as engines were seen to,
# and to its begin: what is given up until then ends nothing.
CRASH_SECONDS = 0.09
BEGIN_SECONDS = 0.02


class ForwardFault(StrEnum):
    """What goes wrong with a request."""

    NONE = "none"
    REFUSE = "refuse"
    ERROR = "error"
    LOSE_ANSWER = "lose_answer"
    HANG = "hang"
    CROSSED = "crossed"
    CUT = "cut"
    REJECT = "reject"
    """Refuse with a Retry-After header."""


class ForwardEndpointStandIn:
    """One endpoint; records each run and each request that it rejected.

    Parameters
    ----------
    events : int
        Events of a stream.
    gap : float
        Seconds between events, and until a whole answer.
    """

    def __init__(self, endpoint_id: str, timers: TimerService, events: int = 4, gap: float = 0.02):
        self.endpoint_id = endpoint_id
        self.events = events
        self.gap = gap
        self.fault = ForwardFault.NONE
        self.faults_left = -1
        self.runs: list[InboundRequest] = []
        self.rejected: list[InboundRequest] = []
        self.abandoned = 0
        # Requests a second that it says it takes from all, as it is written in the header.
        self.rate_limit: str | None = None
        # True to say in each answer that it leaves.
        self.leaving = False
        # Value of the Retry-After header of its rejections.
        self.retry_after = "3"
        # True to answer requests for streams in one piece.
        self.disable_streaming = False
        # Which requests end the endpoint a moment after they began, and what happens then.
        self.crashes_on: Callable[[InboundRequest], bool] = lambda req: False
        self.on_crash: Callable[[InboundRequest], None] = lambda req: None
        self._timers = timers

    def fail(self, fault: ForwardFault, count: int = -1) -> None:
        """Let a number of requests fail, -1 for all."""
        self.fault, self.faults_left = fault, count

    def _take_fault(self) -> ForwardFault:
        if self.faults_left == 0:
            return ForwardFault.NONE
        self.faults_left -= self.faults_left > 0
        return self.fault

    def handle(self, req: InboundRequest, exchange: Exchange) -> None:
        """Take one request."""
        expected = req.header("x-flamingofront-expect-instance")
        if expected and expected != self.endpoint_id:
            self.rejected.append(req)
            exchange.respond(STATUS_WRONG_ENDPOINT, self._fields(req), b"")
            return
        fault = self._take_fault()
        if fault in (ForwardFault.REFUSE, ForwardFault.REJECT):
            self.rejected.append(req)
            fields = (*self._fields(req), ("X-Flamingofront-Not-Executed", "1"))
            if fault is ForwardFault.REJECT:
                fields += (("Retry-After", self.retry_after),)
            exchange.respond(503, fields, b"")
            return
        self.runs.append(req)
        exchange.on_disconnect = self._gone
        if self.crashes_on(req):
            self._begin_to_crash(req, exchange)
            return
        self._timers.once(self.gap, lambda: self._answer(req, exchange, fault))

    def _begin_to_crash(self, req: InboundRequest, exchange: Exchange) -> None:
        crash = self._timers.once(CRASH_SECONDS, lambda: self.on_crash(req))
        begins_at = self._timers.now() + BEGIN_SECONDS

        def gone() -> None:
            if self._timers.now() < begins_at:
                crash.cancel()

        exchange.on_disconnect = gone

    def _gone(self) -> None:
        self.abandoned += 1

    def _fields(self, req: InboundRequest) -> tuple[tuple[str, str], ...]:
        fields = (
            ("X-Flamingofront-Request-Id", req.header(REQUEST_ID)),
            ("X-Flamingofront-Instance-Id", self.endpoint_id),
        )
        if self.rate_limit is not None:
            fields += (("Server-Limit", self.rate_limit),)
        if self.leaving:
            fields += (("Server-Leaving", "1"),)
        return fields

    def _answer(self, req: InboundRequest, exchange: Exchange, fault: ForwardFault) -> None:
        fields = (*self._fields(req), ("X-Flamingofront-Response-Seal", self.endpoint_id))
        if fault is ForwardFault.HANG:
            return
        if fault is ForwardFault.LOSE_ANSWER:
            exchange.abort()
        elif fault is ForwardFault.CROSSED:
            crossed = (("X-Flamingofront-Request-Id", "another"), *fields[1:])
            exchange.respond(200, crossed, b"of another request")
        elif fault is ForwardFault.ERROR:
            exchange.respond(500, fields, b"failed")
        elif req.path.startswith("/stream/") and not self.disable_streaming:
            exchange.begin(200, (*fields, ("Content-Type", "text/event-stream")))
            cut = self.events // 2 if fault is ForwardFault.CUT else None
            self._stream(exchange, int(req.header("last-event-id") or 0) + 1, cut)
        else:
            exchange.respond(200, fields, b"from " + self.endpoint_id.encode())

    def _stream(self, exchange: Exchange, number: int, cut: int | None) -> None:
        if number > self.events:
            exchange.finish()
            return
        if cut is not None and number > cut:
            exchange.send(b"id: %d\nda" % number)
            exchange.abort()
            return
        exchange.send(b"id: %d\ndata: %s\n\n" % (number, self.endpoint_id.encode()))
        follow: Callable[[], None] = lambda: self._stream(exchange, number + 1, cut)  # noqa: E731
        self._timers.once(self.gap, follow)
