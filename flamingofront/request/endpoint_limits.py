"""Rate limits that endpoints name in their answers, as this process knows them.

An overloaded endpoint names in each answer the requests a second that it accepts from all entry
processes together. A limit ends with the first answer that does not name one, or with the start of
the endpoint that named it.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace

from flamingofront.process.logs import Log
from flamingofront.process.metrics import Metrics
from flamingofront.process.timers import TimerService

__all__ = ["EndpointLimit", "EndpointLimits"]

# Answers on different connections overtake one another, and clocks of VMs differ: an answer without
# a limit counts only if its request was sent so long after the limit was last named.
OVERTAKING_SECONDS = 0.25
# A change is told to the other processes for so long: some reports, of which a few may be lost.
TOLD_SECONDS = 3.0
# Most changes in one report; the latest ones go first.
MAX_TOLD = 32


@dataclass(frozen=True)
class EndpointLimit:
    """What an endpoint has last said of the rate that it takes.

    Parameters
    ----------
    born : int
        Unix milliseconds of the start of the endpoint; 0 if it does not say.
    rate : float or None
        Requests a second from all entry processes together; None if it names no limit any more.
    named_at : float
        Wall time of the last answer that said so, in seconds.
    """

    endpoint_id: str
    born: int
    rate: float | None
    advertised_at: float


class EndpointLimits:
    """Keeps what endpoints say of the rate that they take.

    Attributes
    ----------
    wall : callable
        Returns the wall clock that the processes agree on.
    born_of : callable
        Returns when an endpoint started, in Unix milliseconds; None if it is not known here.
    on_end : callable
        Gets each endpoint that names no limit any more.
    """

    def __init__(self, timers: TimerService, metrics: Metrics, log: Log):
        self.wall: Callable[[], float] = timers.wall
        self.start_ms_of: Callable[[str], int | None] = lambda endpoint_id: 0
        self.on_end: Callable[[str], None] = lambda endpoint_id: None
        self._timers = timers
        self._metrics = metrics
        self._log = log
        self._limits: dict[str, EndpointLimit] = {}
        self._changed_at: dict[str, float] = {}

    def rate(self, endpoint_id: str) -> float | None:
        """Return the requests a second that an endpoint takes from all; None if it sets none."""
        known = self._limits.get(endpoint_id)
        return None if known is None else known.rate

    def limited(self) -> dict[str, float]:
        """Return the rates of all endpoints that name one."""
        return {name: each.rate for name, each in self._limits.items() if each.rate is not None}

    def limit(self, endpoint_id: str) -> EndpointLimit | None:
        """Return what an endpoint has last said; None if nothing is known."""
        return self._limits.get(endpoint_id)

    def answered(self, endpoint_id: str, rate: float | None, sent_at: float, request: str) -> None:
        """Take what an answer says.

        Parameters
        ----------
        rate : float or None
            Requests a second that it names; None if it names none.
        sent_at : float
            When the request was sent, on the clock of the timer service.
        request : str
            Id of the request, for the log.
        """
        born = self.start_ms_of(endpoint_id)
        if born is None or (rate is None and not self._may_end(endpoint_id, sent_at)):
            return
        self._take(EndpointLimit(endpoint_id, born, rate, self.wall()), request)

    def _may_end(self, endpoint_id: str, sent_at: float) -> bool:
        """Tell whether an answer without a limit ends the one that is known."""
        known = self._limits.get(endpoint_id)
        if known is None or known.rate is None:
            return False
        sent_wall = self.wall() - (self._timers.now() - sent_at)
        return sent_wall > known.advertised_at + OVERTAKING_SECONDS

    def merge(self, limits: Iterable[EndpointLimit]) -> None:
        """Merge what other processes know, where it is newer."""
        wall = self.wall()
        for each in limits:
            # A clock that is ahead must not outweigh what is said later.
            told = replace(each, named_at=min(each.advertised_at, wall))
            if self._is_news(told):
                self._take(told, "")

    def _is_news(self, told: EndpointLimit) -> bool:
        born = self.start_ms_of(told.endpoint_id)
        if born is None or told.born < born:
            return False
        known = self._limits.get(told.endpoint_id)
        if known is None or known.born < told.born:
            return told.rate is not None
        margin = OVERTAKING_SECONDS if told.rate is None else 0.0
        return told.rate != known.rate and told.advertised_at > known.advertised_at + margin

    def recent_changes(self) -> tuple[EndpointLimit, ...]:
        """Return what changed lately, to be told to the other processes."""
        since = self._timers.now() - TOLD_SECONDS
        self._changed_at = {name: at for name, at in self._changed_at.items() if at > since}
        latest = sorted(self._changed_at, key=lambda name: -self._changed_at[name])
        return tuple(self._limits[name] for name in latest[:MAX_TOLD])

    def forget(self, endpoint_id: str) -> None:
        """Forget an endpoint that is gone or has started again."""
        known = self._limits.pop(endpoint_id, None)
        self._changed_at.pop(endpoint_id, None)
        if known is not None and known.rate is not None:
            self._log.info("endpoint limit forgotten", endpoint=endpoint_id, rate=known.rate)
            self.on_end(endpoint_id)

    def _take(self, limit: EndpointLimit, request: str) -> None:
        known = self._limits.get(limit.endpoint_id)
        before = None if known is None else known.rate
        self._limits[limit.endpoint_id] = limit
        if limit.rate == before:
            return
        self._changed_at[limit.endpoint_id] = self._timers.now()
        self._log_change(limit, known, request)
        if limit.rate is None:
            self.on_end(limit.endpoint_id)

    def _log_change(self, limit: EndpointLimit, known: EndpointLimit | None, request: str) -> None:
        """Log and count a change of what is known."""
        before = None if known is None else known.rate
        change = "ended" if limit.rate is None else "named" if before is None else "changed"
        self._metrics.count("endpoint_limits_total", change=change)
        self._log.info(
            f"endpoint limit {change}",
            endpoint=limit.endpoint_id,
            rate=limit.rate,
            age=round(self.wall() - limit.advertised_at, 3),
            before=before,
            before_age=None if known is None else round(self.wall() - known.advertised_at, 3),
            source="answer" if request else "peer",
            request=request,
        )
