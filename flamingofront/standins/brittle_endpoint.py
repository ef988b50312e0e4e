"""Stand-in for an endpoint that crashes if it has to reject too many requests for want of room."""

from collections import deque
from collections.abc import Callable

from flamingofront.connection.interfaces import Exchange
from flamingofront.messages import InboundRequest
from flamingofront.process.timers import TimerService
from flamingofront.standins.forward_endpoint import ForwardEndpointStandIn

__all__ = ["BrittleEndpointStandIn"]

SECOND = 1.0


class BrittleEndpointStandIn(ForwardEndpointStandIn):
    """Endpoint with a bounded queue.

    Parameters
    ----------
    places : int
        Requests that run at once.
    room : int
        Requests that may wait.

    Attributes
    ----------
    max_rejections : int or None
        Rejections per second that it survives, advertised in its responses; None if not brittle.
    on_fall : callable
        Called when it has rejected more than that.
    """

    def __init__(
        self, endpoint_id: str, timers: TimerService, gap: float = 0.15, places: int = 4, room=20
    ):
        super().__init__(endpoint_id, timers, gap=gap)
        self.places = places
        self.room = room
        self.max_rejections: int | None = None
        self.on_fall: Callable[[], None] = lambda: None
        self.completed = 0
        self._running = 0
        self._queue: deque[tuple[InboundRequest, Exchange]] = deque()
        self._rejected_at: list[float] = []

    def handle(self, req: InboundRequest, exchange: Exchange) -> None:
        """Run a request, let it wait, or reject it if there is no room."""
        if self._running < self.places:
            self._run(req, exchange)
        elif len(self._queue) < self.room:
            self._queue.append((req, exchange))
        else:
            self._reject(req, exchange)

    def _reject(self, req: InboundRequest, exchange: Exchange) -> None:
        now = self._timers.now()
        self.rejected.append(req)
        fields = (*self._make_headers(req), ("X-Flamingofront-Not-Executed", "1"))
        exchange.respond(503, fields, b"")
        self._rejected_at = [each for each in self._rejected_at if each > now - SECOND] + [now]
        if self.max_rejections is not None and len(self._rejected_at) > self.max_rejections:
            self._rejected_at.clear()
            self.on_fall()

    def _run(self, req: InboundRequest, exchange: Exchange) -> None:
        self._running += 1
        self.runs.append(req)
        self._timers.once(self.gap, lambda: self._complete(req, exchange))

    def _complete(self, req: InboundRequest, exchange: Exchange) -> None:
        self._running -= 1
        self.completed += 1
        fields = (*self._make_headers(req), ("X-Flamingofront-Response-Seal", self.endpoint_id))
        exchange.respond(200, fields, b"from " + self.endpoint_id.encode())
        if self._queue:
            self._run(*self._queue.popleft())

    def _make_headers(self, req: InboundRequest) -> tuple[tuple[str, str], ...]:
        fields = super()._make_headers(req)
        if self.max_rejections is not None:
            fields += (("Server-Brittle", str(self.max_rejections)),)
        return fields
