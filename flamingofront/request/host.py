"""What a request in flight needs of the process that holds it.

Requests know this interface only, so that they can be read and tested without the hub that keeps
all of them.
"""

import math
import random
from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

from flamingofront.connection.interfaces import Transport
from flamingofront.decisions.choice import Candidate
from flamingofront.decisions.engine_rates import LearnedRates
from flamingofront.decisions.retry import RetryBudget
from flamingofront.decisions.stopping import CompletionBounds
from flamingofront.errors import Ran
from flamingofront.process.logs import Log
from flamingofront.process.metrics import Metrics
from flamingofront.process.timers import TimerService
from flamingofront.request.directory import EndpointDirectory
from flamingofront.request.endpoint_limits import EndpointLimits
from flamingofront.request.endpoint_pauses import EndpointBackoffs
from flamingofront.request.forward_work import ForwardProtocol
from flamingofront.request.guard import RequestGuard
from flamingofront.request.permits import Permits
from flamingofront.request.records import RequestRecord
from flamingofront.version.model import Service

if TYPE_CHECKING:
    from flamingofront.request.active import ActiveRequest

__all__ = ["HubSettings", "QUEUE_WAIT_FRACTION", "RequestHost"]

# Part of the first-token target that a request may wait: the rest is for its prefill.
QUEUE_WAIT_FRACTION = 0.75


@dataclass(frozen=True)
class HubSettings:
    """Settings that requests need; times in seconds.

    Parameters
    ----------
    queue_wait_fraction : float
        Part of the first-token target that a request may wait for its start.
    choice_patience : float or None
        Part of that target during which an endpoint is looked for when there is none; None to look
        for one until the deadline.
    """

    vm_id: str
    zone: str
    reattach_grace: float = 5.0
    answer_retention: float = 300.0
    queue_wait_fraction: float = QUEUE_WAIT_FRACTION
    choice_patience: float | None = None


class RequestHost(ABC):
    """Shared parts of a process and the decisions that span its requests.

    Attributes
    ----------
    protocol : ForwardProtocol or None
        Header names of forwarded requests; None where none are forwarded.
    cache_tokens : callable
        Returns the prompt tokens that an endpoint of a service can hold in its cache.
    rates : LearnedRates
        What the endpoints can do, as their answers showed.
    guard : RequestGuard
        Requests that crash the endpoints that run them.
    limits : EndpointLimits
        Rates that endpoints take from all entry processes.
    pauses : EndpointBackoffs
        Times for which endpoints want no requests of this process.
    on_leaving : callable
        Gets each endpoint that says in an answer that it leaves, and the id of the request.
    permits : Permits
        Permits to send to endpoints with such a rate.
    completion : CompletionBounds
        How long streams can last, as those that ended showed.
    stop_left : callable
        Returns the seconds until this process ends; infinity while it does not stop.
    """

    settings: HubSettings
    transport: Transport
    timers: TimerService
    directory: EndpointDirectory
    metrics: Metrics
    log: Log
    rng: random.Random
    protocol: ForwardProtocol | None
    cache_tokens: Callable[[str], float]
    rates: LearnedRates
    guard: RequestGuard
    limits: EndpointLimits
    permits: Permits
    pauses: EndpointBackoffs
    on_leaving: Callable[[str, str], None]
    completion: CompletionBounds
    stop_left: Callable[[], float]

    @abstractmethod
    def now(self) -> float:
        """Return the time of the timer service."""

    @abstractmethod
    def budget(self, service: Service) -> RetryBudget:
        """Return the retry budget of a service."""

    @abstractmethod
    def choice_patience(self, record: RequestRecord) -> float:
        """Return the seconds during which an endpoint is looked for when there is none."""

    @abstractmethod
    def choose(
        self, request: "ActiveRequest", exclude: frozenset[str], without_limits: bool = False
    ) -> Candidate | None:
        """Return the endpoint for an attempt, None if there is none with room.

        Parameters
        ----------
        without_limits : bool
            True to leave endpoints out that take a limited rate.
        """

    @abstractmethod
    def accepts_work(self, endpoint_id: str) -> bool:
        """Tell whether an endpoint that was chosen a moment ago still takes new work."""

    @abstractmethod
    def seconds_until_open(self, service: str, priority: float = math.inf) -> float:
        """Return the seconds until an endpoint of a service takes a request of a rank again.

        Parameters
        ----------
        priority : float
            Rank of the request; the least urgent one if it is not given.
        """

    @abstractmethod
    def choice_retry_delay(self, service: str, priority: float) -> float:
        """Return the seconds after which an endpoint may be found where there is none now."""

    @abstractmethod
    def record_load(self, service: str, tokens: int) -> None:
        """Count the work of a request, by the prompt tokens that its endpoint has to read."""

    @abstractmethod
    def record_attempt_loss(
        self, service: Service, endpoint_id: str, executed: Ran, reason: str, now: float
    ) -> None:
        """Count a lost attempt and judge its endpoint."""

    @abstractmethod
    def endpoint_failed(self, service: Service, endpoint_id: str, now: float) -> None:
        """Note a failure of an endpoint, which may eject it for a while."""

    @abstractmethod
    def remove_request(self, request: "ActiveRequest") -> None:
        """Forget a request that has its answer or went elsewhere, and start the next one."""
