"""Interface between a request in flight and the process that runs it.

Requests depend only on this interface, so that they can be read and tested without the hub.
"""

import math
import random
from abc import ABC, abstractmethod
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import TYPE_CHECKING

from flamingofront.connection.interfaces import Transport
from flamingofront.decisions.choice import Candidate
from flamingofront.decisions.engine_rates import LearnedRates
from flamingofront.decisions.retry import RetryBudget
from flamingofront.decisions.stopping import CompletionBounds, StreamTimes
from flamingofront.process.logs import Log
from flamingofront.process.metrics import Metrics
from flamingofront.process.timers import TimerService
from flamingofront.request.directory import EndpointDirectory
from flamingofront.request.endpoint_limits import EndpointLimits
from flamingofront.request.endpoint_paths import EndpointPaths
from flamingofront.request.endpoint_pauses import EndpointBackoffs
from flamingofront.request.forward_work import ForwardProtocol
from flamingofront.request.guard import RequestGuard
from flamingofront.request.permits import Permits
from flamingofront.request.records import RequestRecord
from flamingofront.request.response_memory import ResponseMemory
from flamingofront.request.stream_origins import StreamOrigins
from flamingofront.version.model import Service

if TYPE_CHECKING:
    from flamingofront.request.active import ActiveRequest

__all__ = ["HubSettings", "QUEUE_WAIT_FRACTION", "RequestHost"]

# Fraction of the first-token target that a request may wait in the queue; the rest is for prefill.
QUEUE_WAIT_FRACTION = 0.75


@dataclass(frozen=True)
class HubSettings:
    """Settings of request handling.

    Parameters
    ----------
    vm_id : str
        Id of this entry VM.
    zone : str
        Availability zone of this entry VM.
    reattach_grace : float
        Seconds for which a request is kept after its caller disconnected.
    answer_retention : float
        Seconds for which a finished response is kept.
    queue_wait_fraction : float
        Fraction of the first-token target that a request may wait in the queue.
    choice_wait_fraction : float or None
        Fraction of the first-token target for which the choice of an endpoint is retried while none
        is available; None to retry until the deadline.
    """

    vm_id: str
    zone: str
    reattach_grace: float = 5.0
    answer_retention: float = 300.0
    queue_wait_fraction: float = QUEUE_WAIT_FRACTION
    choice_wait_fraction: float | None = None


class RequestHost(ABC):
    """Components of a process that its requests share, and decisions that span them.

    Attributes
    ----------
    protocol : ForwardProtocol or None
        Protocol of forwarded requests; None if no requests are forwarded.
    cache_tokens : callable
        Returns the prompt tokens that the cache of an endpoint of a service can hold.
    rates : LearnedRates
        Processing rates of the endpoints, learned from their responses.
    paths : EndpointPaths
        Network paths to the endpoints, directly or through peers.
    guard : RequestGuard
        Quarantine of poison requests.
    limits : EndpointLimits
        Rate limits that endpoints advertise.
    backoffs : EndpointBackoffs
        Back-off periods that endpoints have requested.
    on_endpoint_leaving : callable
        Called with each endpoint that announces its shutdown in a response, and the request id.
    origins : StreamOrigins
        Versions that began streams.
    permits : Permits
        Permits to send to endpoints with a rate limit.
    completion : CompletionBounds
        Bounds on the duration of streams, learned from completed ones.
    response_memory : ResponseMemory
        Bound on the memory of responses that are collected as a whole.
    shutdown_seconds_left : callable
        Returns the seconds until this process exits; infinity unless it is shutting down.
    outdated_retry_after : callable
        Returns the seconds after which the endpoints may be known again, in case they are not.
    is_out_of_rotation : callable
        Returns True once the load balancer has removed this process because it shuts down.
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
    paths: EndpointPaths
    guard: RequestGuard
    origins: StreamOrigins
    limits: EndpointLimits
    permits: Permits
    backoffs: EndpointBackoffs
    on_endpoint_leaving: Callable[[str, str], None]
    completion: CompletionBounds
    response_memory: ResponseMemory
    shutdown_seconds_left: Callable[[], float]
    outdated_retry_after: Callable[[], float]
    is_out_of_rotation: Callable[[], bool]

    @abstractmethod
    def now(self) -> float:
        """Return the current time of the timer service, in seconds."""

    @abstractmethod
    def retry_budget(self, service: Service) -> RetryBudget:
        """Return the retry budget of a service."""

    @abstractmethod
    def choice_timeout(self, record: RequestRecord) -> float:
        """Return the seconds for which the choice of an endpoint is retried."""

    @abstractmethod
    def no_endpoint_delay(self) -> float:
        """Return the seconds after which a caller may retry if no endpoint exists."""

    @abstractmethod
    def choose_endpoint(
        self, request: "ActiveRequest", exclude: frozenset[str], without_limits: bool = False
    ) -> Candidate | None:
        """Return the endpoint for an attempt; None if no endpoint can take it.

        Parameters
        ----------
        exclude : frozenset of str
            Endpoints to avoid while there are others.
        without_limits : bool
            True to exclude endpoints that advertise a rate limit.
        """

    @abstractmethod
    def accepts_requests(self, endpoint_id: str) -> bool:
        """Return True if an endpoint still accepts requests a moment after it was chosen."""

    @abstractmethod
    def seconds_until_open(self, service: str, priority: float = math.inf) -> float:
        """Return the seconds until an endpoint of a service accepts a request; 0 if one does now.

        Parameters
        ----------
        priority : float
            Priority of the request, lower is more urgent; the least urgent one by default.
        """

    @abstractmethod
    def choice_retry_delay(self, service: str, priority: float) -> float:
        """Return the seconds until the next choice of an endpoint, after a choice found none."""

    @abstractmethod
    def measure_streams(self, service: str) -> Iterable[StreamTimes]:
        """Return what each forwarded stream of a service in progress has taken until now."""

    @abstractmethod
    def record_load(self, service: str, tokens: int) -> None:
        """Record the load of a request, by the prompt tokens that its endpoint has to prefill."""

    @abstractmethod
    def record_attempt_loss(
        self, service: Service, endpoint_id: str, reason: str, is_endpoint_failure: bool
    ) -> None:
        """Count a failed attempt and record the failure of its endpoint, if it failed."""

    @abstractmethod
    def record_endpoint_failure(self, service: Service, endpoint_id: str, now: float) -> None:
        """Record a failure of an endpoint, which may eject it temporarily."""

    @abstractmethod
    def remove_request(self, request: "ActiveRequest") -> None:
        """Remove a request that is complete or handed over, and start requests that wait."""
