"""Local view of the rate limits that endpoints advertise in their responses.

An overloaded endpoint advertises in each response the requests per second that it accepts from all
entry processes together. A limit ends with the first response without one, or with a restart of the
endpoint.
"""

from collections.abc import Callable, Collection
from dataclasses import dataclass, replace

from flamingofront.process.logs import Log
from flamingofront.process.metrics import Metrics
from flamingofront.process.timers import TimerService

__all__ = ["EndpointLimit", "EndpointLimits"]

# Responses on different connections can be reordered, and the clocks of VMs differ: a response
# without a limit counts only if its request was sent this long after the last advertisement.
REORDERING_MARGIN_SECONDS = 0.25
# A change is gossiped for this long, in several reports, because some of them may be lost.
GOSSIP_SECONDS = 3.0
# Maximum number of changes in one report; the latest ones are sent first.
MAX_GOSSIPED_LIMITS = 32


@dataclass(frozen=True)
class EndpointLimit:
    """Last rate limit that an endpoint advertised.

    Parameters
    ----------
    started_ms : int
        Start time of the endpoint in Unix milliseconds; 0 if unknown.
    rate : float or None
        Requests per second from all entry processes together; None if the limit has ended.
    advertised_at : float
        Wall time, in seconds, of the last response that advertised this limit.
    max_rejections : int or None
        Rejections per second, over all entry processes, that the endpoint survives; None if it is
        not brittle.
    """

    endpoint_id: str
    started_ms: int
    rate: float | None
    advertised_at: float
    max_rejections: int | None = None

    @property
    def is_limited(self) -> bool:
        """True if the endpoint advertises a rate limit or that it is brittle."""
        return self.rate is not None or self.max_rejections is not None

    @property
    def values(self) -> tuple[float | None, int | None]:
        """What the endpoint advertises."""
        return self.rate, self.max_rejections


class EndpointLimits:
    """Stores the rate limits that endpoints advertise, and merges those from other processes.

    Attributes
    ----------
    wall : callable
        Returns the wall time on which the entry processes agree, in seconds.
    start_ms_of : callable
        Returns the start time of an endpoint in Unix milliseconds; None for an unknown endpoint.
    on_limit_ended : callable
        Called with each endpoint that no longer advertises a limit.
    """

    def __init__(self, timers: TimerService, metrics: Metrics, log: Log):
        self.wall: Callable[[], float] = timers.wall
        self.start_ms_of: Callable[[str], int | None] = lambda endpoint_id: 0
        self.on_limit_ended: Callable[[str], None] = lambda endpoint_id: None
        self._timers = timers
        self._metrics = metrics
        self._log = log
        self._limits: dict[str, EndpointLimit] = {}
        self._changed_at: dict[str, float] = {}

    def rate_of(self, endpoint_id: str) -> float | None:
        """Return the rate limit of an endpoint in requests per second; None if it has none."""
        cached = self._limits.get(endpoint_id)
        return None if cached is None else cached.rate

    def rates_by_endpoint(self) -> dict[str, float]:
        """Return all current rate limits in requests per second, by endpoint."""
        return {name: each.rate for name, each in self._limits.items() if each.rate is not None}

    def limited_endpoints(self) -> frozenset[str]:
        """Return the endpoints that advertise a rate limit or that they are brittle."""
        return frozenset(name for name, each in self._limits.items() if each.is_limited)

    def is_limited(self, endpoint_id: str) -> bool:
        """Return True if an endpoint advertises a rate limit or that it is brittle."""
        cached = self._limits.get(endpoint_id)
        return cached is not None and cached.is_limited

    def is_brittle(self, endpoint_id: str) -> bool:
        """Return True if an endpoint advertises that it is brittle."""
        cached = self._limits.get(endpoint_id)
        return cached is not None and cached.max_rejections is not None

    def limit_of(self, endpoint_id: str) -> EndpointLimit | None:
        """Return the last stored limit of an endpoint; None if there is none."""
        return self._limits.get(endpoint_id)

    def record_response(
        self,
        endpoint_id: str,
        rate: float | None,
        sent_at: float,
        request_id: str,
        max_rejections: int | None = None,
    ) -> None:
        """Store the limit that a response advertises, or its absence.

        Parameters
        ----------
        rate : float or None
            Advertised requests per second; None if the response advertises no limit.
        sent_at : float
            Time at which the request was sent, on the clock of the timer service.
        request_id : str
            Id of the request, for the log.
        max_rejections : int or None
            Advertised rejections per second; None if the endpoint is not brittle.
        """
        started_ms = self.start_ms_of(endpoint_id)
        if started_ms is None:
            return
        limit = EndpointLimit(endpoint_id, started_ms, rate, self.wall(), max_rejections)
        if limit.is_limited or self._can_clear_limit(endpoint_id, sent_at):
            self._store_limit(limit, request_id)

    def _can_clear_limit(self, endpoint_id: str, sent_at: float) -> bool:
        """Return True if a response without a limit ends the stored limit.

        Parameters
        ----------
        sent_at : float
            Time at which the request was sent, on the clock of the timer service.
        """
        cached = self._limits.get(endpoint_id)
        if cached is None or not cached.is_limited:
            return False
        sent_wall = self.wall() - (self._timers.now() - sent_at)
        return sent_wall > cached.advertised_at + REORDERING_MARGIN_SECONDS

    def merge(self, limits: Collection[EndpointLimit]) -> None:
        """Merge limits from other processes that are newer than the stored ones."""
        if not limits:
            return
        wall = self.wall()
        for each in limits:
            # A sender with a fast clock must not override later advertisements.
            update = replace(each, advertised_at=min(each.advertised_at, wall))
            if self._is_newer(update):
                self._store_limit(update, "")

    def _is_newer(self, update: EndpointLimit) -> bool:
        started_ms = self.start_ms_of(update.endpoint_id)
        if started_ms is None or update.started_ms < started_ms:
            return False
        cached = self._limits.get(update.endpoint_id)
        if cached is None or cached.started_ms < update.started_ms:
            return update.is_limited
        margin = 0.0 if update.is_limited else REORDERING_MARGIN_SECONDS
        is_later = update.advertised_at > cached.advertised_at + margin
        return update.values != cached.values and is_later

    def recent_changes(self) -> tuple[EndpointLimit, ...]:
        """Return the limits that changed recently, to be gossiped to other processes."""
        since = self._timers.now() - GOSSIP_SECONDS
        self._changed_at = {name: at for name, at in self._changed_at.items() if at > since}
        latest = sorted(self._changed_at, key=lambda name: -self._changed_at[name])
        return tuple(self._limits[name] for name in latest[:MAX_GOSSIPED_LIMITS])

    def forget(self, endpoint_id: str) -> None:
        """Remove the limit of an endpoint that has left or restarted."""
        cached = self._limits.pop(endpoint_id, None)
        self._changed_at.pop(endpoint_id, None)
        if cached is not None and cached.is_limited:
            self._log.info("endpoint limit removed", endpoint=endpoint_id, rate=cached.rate)
            self.on_limit_ended(endpoint_id)

    def _store_limit(self, limit: EndpointLimit, request_id: str) -> None:
        cached = self._limits.get(limit.endpoint_id)
        previous = (None, None) if cached is None else cached.values
        self._limits[limit.endpoint_id] = limit
        if limit.values == previous:
            return
        self._changed_at[limit.endpoint_id] = self._timers.now()
        self._log_change(limit, cached, request_id)
        if not limit.is_limited:
            self.on_limit_ended(limit.endpoint_id)

    def _log_change(
        self, limit: EndpointLimit, cached: EndpointLimit | None, request_id: str
    ) -> None:
        """Log and count a change of a stored limit."""
        was_limited = cached is not None and cached.is_limited
        change = "changed" if was_limited else "named"
        if not limit.is_limited:
            change = "ended"
        self._metrics.count("endpoint_limits_total", change=change)
        self._log.info(
            f"endpoint limit {change}",
            endpoint=limit.endpoint_id,
            rate=limit.rate,
            age=round(self.wall() - limit.advertised_at, 3),
            max_rejections=limit.max_rejections,
            before=None if cached is None else cached.rate,
            before_age=None if cached is None else round(self.wall() - cached.advertised_at, 3),
            source="answer" if request_id else "peer",
            request=request_id,
        )
