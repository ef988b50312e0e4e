"""Rate limits that endpoints name in their answers, as this process knows them.

An endpoint in need names in each answer the requests a second that it takes from all entry
processes together. A limit ends with the first answer that does not name one, or with the start of
the endpoint that named it.
"""

from collections.abc import Callable
from dataclasses import dataclass

from flamingofront.process.logs import Log
from flamingofront.process.metrics import Metrics
from flamingofront.process.timers import TimerService

__all__ = ["EndpointLimit", "EndpointLimits"]

# Answers on different connections overtake one another, and clocks of VMs differ: an answer without
# a limit counts only if its request was sent so long after the limit was last named.
OVERTAKING_SECONDS = 0.25


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
    named_at: float


class EndpointLimits:
    """Keeps what endpoints say of the rate that they take.

    Attributes
    ----------
    wall : callable
        Returns the wall clock that the processes agree on.
    born_of : callable
        Returns when an endpoint started, in Unix milliseconds; 0 if that is not known.
    """

    def __init__(self, timers: TimerService, metrics: Metrics, log: Log):
        self.wall: Callable[[], float] = timers.wall
        self.born_of: Callable[[str], int] = lambda endpoint_id: 0
        self._timers = timers
        self._metrics = metrics
        self._log = log
        self._limits: dict[str, EndpointLimit] = {}

    def rate(self, endpoint_id: str) -> float | None:
        """Return the requests a second that an endpoint takes from all; None if it sets none."""
        known = self._limits.get(endpoint_id)
        return None if known is None else known.rate

    def limited(self) -> dict[str, float]:
        """Return the rates of all endpoints that name one."""
        return {name: each.rate for name, each in self._limits.items() if each.rate is not None}

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
        known = self._limits.get(endpoint_id)
        if rate is None:
            ago = self._timers.now() - sent_at
            sent_wall = self.wall() - ago
            if known is None or known.rate is None:
                return
            if sent_wall <= known.named_at + OVERTAKING_SECONDS:
                return
        self._take(
            EndpointLimit(endpoint_id, self.born_of(endpoint_id), rate, self.wall()), request
        )

    def forget(self, endpoint_id: str) -> None:
        """Forget an endpoint that is gone or has started again."""
        known = self._limits.pop(endpoint_id, None)
        if known is not None and known.rate is not None:
            self._log.info("endpoint limit forgotten", endpoint=endpoint_id, rate=known.rate)

    def _take(self, limit: EndpointLimit, request: str) -> None:
        known = self._limits.get(limit.endpoint_id)
        before = None if known is None else known.rate
        self._limits[limit.endpoint_id] = limit
        if limit.rate != before:
            self._tell(limit, known, request)

    def _tell(self, limit: EndpointLimit, known: EndpointLimit | None, request: str) -> None:
        """Log and count a change of what is known."""
        change = "ended" if limit.rate is None else "named" if known is None else "changed"
        self._metrics.count("endpoint_limits_total", change=change)
        self._log.info(
            f"endpoint limit {change}",
            endpoint=limit.endpoint_id,
            rate=limit.rate,
            before=None if known is None else known.rate,
            before_age=None if known is None else round(limit.named_at - known.named_at, 3),
            request=request,
        )
