"""Stand-in for an endpoint of forwarded routes, either a model engine or a plain service."""

from collections.abc import Callable
from enum import StrEnum

from flamingofront.connection.interfaces import Exchange
from flamingofront.messages import InboundRequest
from flamingofront.process.timers import TimerService

__all__ = ["CrashAnswer", "ForwardEndpointStandIn", "ForwardFault", "list_shared_parts"]

REQUEST_ID = "x-flamingofront-request-id"
PROMPT_HEADER = "x-flamingofront-prompt-prefix"
STATUS_WRONG_ENDPOINT = 421
# Requests for the state of the endpoint, which it does not run.
STATE_PATHS = ("/health", "/api/report")
# Time from the arrival of a poison request until the endpoint crashes, as observed with engines.
CRASH_SECONDS = 0.09
# An endpoint that begins to answer a poison request sends what it still sends so long before it
# crashes.
LAST_DATA_SECONDS = 0.01
# Time from the arrival of a request until it starts to run. A request cancelled before does not
# crash the endpoint.
START_SECONDS = 0.02


def list_shared_parts(req: InboundRequest) -> frozenset[str]:
    """Return the ids of the parts of a request's prompt, but for the last one."""
    ids = [each.partition(":")[0] for each in req.header(PROMPT_HEADER).split(",")]
    return frozenset(ids[:-1])


class ForwardFault(StrEnum):
    """How a request fails."""

    NONE = "none"
    REFUSE = "refuse"
    ERROR = "error"
    LOSE_ANSWER = "lose_answer"
    HANG = "hang"
    CROSSED = "crossed"
    CUT = "cut"
    REJECT = "reject"
    """Respond with status 503 and a ``Retry-After`` header."""


class CrashAnswer(StrEnum):
    """What an endpoint sends of its answer to a poison request before it crashes."""

    NOTHING = "nothing"
    HEAD = "head"
    PARTIAL_EVENT = "partial event"
    EVENTS = "events"
    """Some whole events, or the head and half of the body of a call."""


class ForwardEndpointStandIn:
    """One endpoint, which records the requests that it executed and those that it rejected.

    Parameters
    ----------
    events : int
        Number of events in a stream.
    gap : float
        Seconds between events, and until a response that is not streamed.
    """

    def __init__(self, endpoint_id: str, timers: TimerService, events: int = 4, gap: float = 0.02):
        self.endpoint_id = endpoint_id
        # Data of each event.
        self.event_text = endpoint_id
        self.events = events
        self.gap = gap
        self.fault = ForwardFault.NONE
        self.faults_left = -1
        self.runs: list[InboundRequest] = []
        self.rejected: list[InboundRequest] = []
        self.abandoned = 0
        # Advertised limit in requests per second, as the text of the header.
        self.rate_limit: str | None = None
        # True to state in each response that the endpoint is draining.
        self.leaving = False
        # Value of the Retry-After header of rejections.
        self.retry_after = "3"
        # True to respond to streaming requests without streaming.
        self.disable_streaming = False
        # Which requests crash the endpoint shortly after they start, and the callback for that.
        self.crashes_on: Callable[[InboundRequest], bool] = lambda req: False
        self.on_crash: Callable[[InboundRequest], None] = lambda req: None
        self.crash_seconds = CRASH_SECONDS
        # What it sends of the answer before it crashes.
        self.crash_answer = CrashAnswer.NOTHING
        self.events_before_crash = 1
        self._timers = timers

    def inject_fault(self, fault: ForwardFault, count: int = -1) -> None:
        """Apply a fault to the next `count` requests, or to all if `count` is -1."""
        self.fault, self.faults_left = fault, count

    def _next_fault(self) -> ForwardFault:
        """Return the fault of the next request and count it."""
        if self.faults_left == 0:
            return ForwardFault.NONE
        self.faults_left -= self.faults_left > 0
        return self.fault

    def handle(self, req: InboundRequest, exchange: Exchange) -> None:
        """Handle one forwarded request."""
        if req.method == "GET" and req.path in STATE_PATHS:
            exchange.respond(200, (("X-Flamingofront-Instance-Id", self.endpoint_id),), b"{}")
            return
        expected = req.header("x-flamingofront-expect-instance")
        if expected and expected != self.endpoint_id:
            self.rejected.append(req)
            exchange.respond(STATUS_WRONG_ENDPOINT, self._make_headers(req), b"")
            return
        fault = self._next_fault()
        if fault in (ForwardFault.REFUSE, ForwardFault.REJECT):
            self.rejected.append(req)
            fields = (*self._make_headers(req), ("X-Flamingofront-Not-Executed", "1"))
            if fault is ForwardFault.REJECT:
                fields += (("Retry-After", self.retry_after),)
            exchange.respond(503, fields, b"")
            return
        self.runs.append(req)
        exchange.on_disconnect = self._count_abandoned
        if self.crashes_on(req):
            self._schedule_crash(req, exchange)
            return
        self._timers.once(self.gap, lambda: self._respond(req, exchange, fault))

    def _schedule_crash(self, req: InboundRequest, exchange: Exchange) -> None:
        crash = self._timers.once(self.crash_seconds, lambda: self.on_crash(req))
        answer = self._timers.once(
            self.crash_seconds - LAST_DATA_SECONDS, lambda: self._begin_answer(req, exchange)
        )
        starts_at = self._timers.now() + START_SECONDS

        def on_disconnect() -> None:
            answer.cancel()
            if self._timers.now() < starts_at:
                crash.cancel()

        exchange.on_disconnect = on_disconnect

    def _begin_answer(self, req: InboundRequest, exchange: Exchange) -> None:
        """Send what the endpoint still sends before it crashes."""
        if self.crash_answer is CrashAnswer.NOTHING:
            return
        fields = (*self._make_headers(req), ("X-Flamingofront-Response-Seal", self.endpoint_id))
        is_stream = req.path.startswith("/stream/")
        if is_stream:
            exchange.begin(200, (*fields, ("Content-Type", "text/event-stream")))
        else:
            exchange.begin(200, (*fields, ("Content-Length", "20")))
        number = int(req.header("last-event-id") or 0) + 1
        if self.crash_answer is CrashAnswer.PARTIAL_EVENT:
            exchange.send(b"id: %d\nda" % number)
        elif self.crash_answer is CrashAnswer.EVENTS and not is_stream:
            exchange.send(b"half of it")
        elif self.crash_answer is CrashAnswer.EVENTS:
            for each in range(number, number + self.events_before_crash):
                exchange.send(b"id: %d\ndata: %s\n\n" % (each, self.event_text.encode()))

    def _count_abandoned(self) -> None:
        self.abandoned += 1

    def _make_headers(self, req: InboundRequest) -> tuple[tuple[str, str], ...]:
        fields = (
            ("X-Flamingofront-Request-Id", req.header(REQUEST_ID)),
            ("X-Flamingofront-Instance-Id", self.endpoint_id),
        )
        if self.rate_limit is not None:
            fields += (("Server-Limit", self.rate_limit),)
        if self.leaving:
            fields += (("Server-Leaving", "1"),)
        return fields

    def _respond(self, req: InboundRequest, exchange: Exchange, fault: ForwardFault) -> None:
        fields = (*self._make_headers(req), ("X-Flamingofront-Response-Seal", self.endpoint_id))
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
            self._send_events(exchange, int(req.header("last-event-id") or 0) + 1, cut)
        else:
            exchange.respond(200, fields, b"from " + self.endpoint_id.encode())

    def _send_events(self, exchange: Exchange, number: int, cut: int | None) -> None:
        if number > self.events:
            exchange.finish()
            return
        if cut is not None and number > cut:
            exchange.send(b"id: %d\nda" % number)
            exchange.abort()
            return
        exchange.send(b"id: %d\ndata: %s\n\n" % (number, self.event_text.encode()))
        send_next: Callable[[], None] = lambda: self._send_events(  # noqa: E731
            exchange, number + 1, cut
        )
        self._timers.once(self.gap, send_next)
