"""Hub of all requests in flight in this process and of the components that they share."""

import math
import random
from collections import Counter, OrderedDict
from collections.abc import Callable, Iterable

from flamingofront.connection.interfaces import Transport
from flamingofront.decisions.admission import FairAdmission, Ticket, WorkspaceShare
from flamingofront.decisions.choice import (
    Candidate,
    ChoicePolicy,
    CostChoice,
    WorkEstimate,
    filter_usable,
)
from flamingofront.decisions.demand import LoadMeter
from flamingofront.decisions.engine_rates import LearnedRates
from flamingofront.decisions.retry import PacedRetryBudget, RetryBudget
from flamingofront.decisions.stopping import CompletionBounds, StreamTimes
from flamingofront.errors import ErrorKind, Executed, RequestError
from flamingofront.process.logs import Log
from flamingofront.process.metrics import Metrics
from flamingofront.process.timers import Timer, TimerService
from flamingofront.request.active import ActiveRequest
from flamingofront.request.directory import EndpointDirectory
from flamingofront.request.endpoint_ends import CrashDetector
from flamingofront.request.endpoint_limits import EndpointLimits
from flamingofront.request.endpoint_paths import EndpointPaths
from flamingofront.request.endpoint_pauses import EndpointBackoffs
from flamingofront.request.finished import AnswerCache, RetainedAnswer
from flamingofront.request.forward_work import ForwardProtocol, ForwardWork
from flamingofront.request.forwarded_request import ForwardedRequest
from flamingofront.request.guard import RequestGuard
from flamingofront.request.host import HubSettings, RequestHost
from flamingofront.request.model_request import ModelRequest
from flamingofront.request.path_failover import PathFailover
from flamingofront.request.path_probes import ResponseProbe
from flamingofront.request.permits import Permits
from flamingofront.request.plain_request import PlainRequest
from flamingofront.request.records import ModelWork, RequestRecord
from flamingofront.request.response_memory import ResponseMemory
from flamingofront.request.stream_origins import LocalOrigins, StreamOrigins
from flamingofront.version.model import Service

__all__ = ["HubSettings", "RequestHub"]

# Fraction of the slots that admission fills, because entry VMs cannot balance load perfectly.
ADMISSION_FILL_FRACTION = 0.9
EXPIRY_PERIOD_SECONDS = 0.1
CHOICE_RETRY_SECONDS = 0.2
# Several round trips: the place that opens first may be taken by another process.
MIN_RETRY_SECONDS = 0.05
# The delay until the first endpoint opens, which callers also get as Retry-After, is extended by a
# random fraction up to this one.
RETRY_JITTER_FRACTION = 0.1
TOKENS_PER_COST_UNIT = 64.0


def paced_budget(service: Service) -> RetryBudget:
    """Return a retry budget of a service for this process alone."""
    return PacedRetryBudget(service.retry_ratio)


class RequestHub(RequestHost):
    """Admits, starts and tracks requests.

    Attributes
    ----------
    on_request_end : callable
        Called whenever a request has been removed.
    on_outcome : callable
        Called with service, endpoint id, and True if the outcome of an attempt there was bad.
    failover : PathFailover
        Moves requests off paths that do not work.
    capacity_share : callable
        Returns the share of the capacity of all endpoints that this process may use, from 0 to 1.
    """

    def __init__(
        self,
        settings: HubSettings,
        transport: Transport,
        timers: TimerService,
        directory: EndpointDirectory,
        metrics: Metrics,
        log: Log,
        rng: random.Random,
        policy: ChoicePolicy | None = None,
        protocol: ForwardProtocol | None = None,
        make_budget: Callable[[Service], RetryBudget] = paced_budget,
    ):
        self.protocol = protocol
        self._make_budget = make_budget
        self.settings = settings
        self.transport = transport
        self.timers = timers
        self.directory = directory
        self.metrics = metrics
        self.log = log
        self.rng = rng
        self.active: dict[str, ActiveRequest] = {}
        self.finished = AnswerCache()
        self.moved_to: OrderedDict[str, str] = OrderedDict()
        self.on_request_end: Callable[[], None] = lambda: None
        self.capacity_share: Callable[[], float] = lambda: 1.0
        self.on_outcome: Callable[[str, str, bool], None] = (
            lambda service, endpoint_id, is_bad: None
        )
        self.cache_tokens: Callable[[str], float] = lambda service: math.inf
        self.paths = EndpointPaths(
            settings.vm_id, settings.zone, transport, timers, directory, metrics, log, rng
        )
        self.failover = PathFailover(self)
        directory.path_to = self.paths.path_to
        self.rates = LearnedRates()
        self.completion = CompletionBounds()
        self.response_memory = ResponseMemory()
        self.shutdown_seconds_left: Callable[[], float] = lambda: math.inf
        self.is_out_of_rotation: Callable[[], bool] = lambda: False
        crash_detector = CrashDetector(transport, timers, directory, metrics, log)
        crash_detector.on_refused = lambda endpoint_id: self.paths.monitor.record_failure(
            endpoint_id, "probe refused"
        )
        crash_detector.ask_peer = lambda endpoint_id, on_answer: self.paths.ask_peer(
            endpoint_id, False, on_answer
        )
        crash_detector.is_path_lost = self.paths.monitor.is_lost
        if protocol is not None:
            # Such endpoints respond to requests for their state without running them.
            crash_detector.probe_response = ResponseProbe(
                transport,
                directory,
                lambda endpoint_id: self.paths.monitor.probe_target_of(endpoint_id),
                is_from=protocol.is_from_endpoint,
            ).start
        self.guard = RequestGuard(
            crash_detector, timers, metrics, log, lambda: tuple(self.active.values())
        )
        self.guard.on_endpoint_crash = self._on_endpoint_crash
        self.guard.parts.evidence.endpoint_count = lambda: len(directory.ready_endpoints())
        self.origins: StreamOrigins = LocalOrigins(timers)
        self.limits = EndpointLimits(timers, metrics, log)
        self.permits = Permits(self.limits, timers, metrics, rng)
        self.backoffs = EndpointBackoffs(timers, metrics, log, rng)
        self.on_endpoint_leaving: Callable[[str, str], None] = lambda endpoint_id, request: None
        # Returns the seconds until the endpoints may be current again.
        self.outdated_retry_after: Callable[[], float] = lambda: 1.0
        self.load_meter = LoadMeter()
        self._policy = policy or CostChoice()
        self._admissions: dict[str, FairAdmission] = {}
        self._budgets: dict[str, RetryBudget] = {}
        self._in_flight: dict[str, int] = {}
        self._expiry_timer: Timer | None = None

    def now(self) -> float:
        """Return the current time of the timer service, in seconds."""
        return self.timers.now()

    def retry_budget(self, service: Service) -> RetryBudget:
        """Return the retry budget of a service."""
        budget = self._budgets.get(service.name)
        if budget is None:
            budget = self._budgets[service.name] = self._make_budget(service)
        return budget

    def admission(self, service: Service) -> FairAdmission:
        """Return the admission queue of a service, with its capacity updated."""
        admission = self._admissions.get(service.name)
        if admission is None:
            admission = self._admissions[service.name] = FairAdmission(self.rng)
        share = self.capacity_share()
        admission.set_capacity(
            max(1.0, self.directory.capacity(service) * share * ADMISSION_FILL_FRACTION)
        )
        return admission

    def in_flight_by_workspace(self) -> dict[str, int]:
        """Return the number of requests in flight in this process, by workspace."""
        return dict(self._in_flight)

    def accept(
        self, record: RequestRecord, share: WorkspaceShare, resumed: bool = False
    ) -> ActiveRequest:
        """Admit a request to the queue of its service.

        Parameters
        ----------
        resumed : bool
            True if the request was admitted before, by this or another process.

        Raises
        ------
        RequestError
            If the request is quarantined, over a limit or could not start in time.
        """
        service = record.service
        if not resumed:
            self.guard.reject_quarantined(record)
            self.reject_if_outdated()
        if not resumed and self.directory.capacity(service) == 0:
            raise RequestError(ErrorKind.NO_ENDPOINT, retry_after=self.no_endpoint_delay())
        now = self.now()
        max_wait = record.deadline_left
        if not record.job and not resumed:
            max_wait = min(max_wait, service.first_token_target * self.settings.queue_wait_fraction)
        ticket = Ticket(record.request_id, share, _relative_cost(record), now + max_wait, resumed)
        self.admission(service).offer(ticket, now)
        request = make_request(self, record, ticket)
        self.active[record.request_id] = request
        self._in_flight[record.workspace] = self._in_flight.get(record.workspace, 0) + 1
        self.metrics.count("requests_accepted_total", service=service.name)
        if not resumed:
            self.retry_budget(service).record_request(now)
        return request

    def reject_if_outdated(self) -> None:
        """Raise if this process does not know which endpoints take requests now."""
        if not self.directory.is_current():
            raise RequestError(
                ErrorKind.ENDPOINTS_OUTDATED, retry_after=self.outdated_retry_after()
            )

    def choice_timeout(self, record: RequestRecord) -> float:
        """Return the seconds for which the choice of an endpoint is retried."""
        fraction = self.settings.choice_wait_fraction
        return math.inf if fraction is None else record.service.first_token_target * fraction

    def no_endpoint_delay(self) -> float:
        """Return the seconds after which a caller may retry if no endpoint exists."""
        return 1.0 + self.rng.random()

    def start_ready_requests(self) -> None:
        """Start all queued requests that may start now."""
        for name in list(self._admissions):
            self._start_service(name)
        self._schedule_expiry()

    def _start_service(self, name: str) -> None:
        admission = self._admissions[name]
        while True:
            ticket = admission.start_next(self.now())
            if ticket is None:
                return
            request = self.active.get(ticket.request_id)
            if request is not None and not request.done:
                request.start_first_attempt()
            else:
                admission.release(ticket, self.now())

    def _reject_expired(self) -> None:
        """Reject requests that waited too long, then start requests that may start now."""
        self._expiry_timer = None
        for admission in self._admissions.values():
            for ticket in admission.drop_expired(self.now()):
                request = self.active.get(ticket.request_id)
                if request is not None and not request.done:
                    retry_after = admission.retry_after(self.now())
                    request.reject_unstarted(
                        RequestError(ErrorKind.OVERLOADED, ran=Executed.NO, retry_after=retry_after)
                    )
        self.refresh_capacity()
        self.start_ready_requests()

    def _schedule_expiry(self) -> None:
        """Schedule the next rejection of expired requests while a request is queued."""
        if self._expiry_timer is None and self.count_queued():
            self._expiry_timer = self.timers.once(EXPIRY_PERIOD_SECONDS, self._reject_expired)

    def refresh_capacity(self) -> None:
        """Update the capacity of each admission queue to the current endpoints."""
        services = {each.record.service.name: each.record.service for each in self.active.values()}
        for service in services.values():
            self.admission(service)

    def choose_endpoint(
        self, request: ActiveRequest, exclude: frozenset[str], without_limits: bool = False
    ) -> Candidate | None:
        """Return the endpoint for an attempt; None if no endpoint can take it."""
        service, record = request.record.service, request.record
        exclude |= self.guard.endpoints_to_avoid(request)
        rule = request.version_rule()
        closed = (
            self.permits.closed_endpoints(request.ticket.share.priority)
            | self.backoffs.endpoints_in_backoff()
        )
        if without_limits:
            closed |= self.limits.limited_endpoints()
        for include_all in (False, True):
            candidates = self.directory.candidates(
                service,
                request.prefix_blocks(),
                self.now(),
                self.rng,
                request.shared_prefix(),
                include_all,
                rule,
                closed,
            )
            pool = _select_candidates(candidates, record.side, exclude)
            chosen = self._policy.choose(pool, self._estimate_work(record), self.rng)
            if chosen is not None:
                return chosen
        return None

    def accepts_requests(self, endpoint_id: str) -> bool:
        """Return True if an endpoint still accepts requests a moment after it was chosen."""
        is_known = self.directory.is_current() and not self.directory.is_unavailable(endpoint_id)
        return is_known and not self.backoffs.remaining_seconds(endpoint_id)

    def seconds_until_open(self, service: str, priority: float = math.inf) -> float:
        """Return the seconds until an endpoint of a service accepts a request; 0 if one does."""
        waits = (
            max(
                self.backoffs.remaining_seconds(name),
                self.permits.wait_seconds((name,), priority),
                self.paths.wait_seconds(name),
            )
            for name in self.directory.zones_of(service)
        )
        return min(waits, default=0.0)

    def choice_retry_delay(self, service: str, priority: float) -> float:
        """Return the seconds until the next choice of an endpoint, after a choice found none."""
        wait = self.seconds_until_open(service, priority)
        if wait > 0:
            seconds = max(wait, MIN_RETRY_SECONDS)
            return seconds * (1 + RETRY_JITTER_FRACTION * self.rng.random())
        return CHOICE_RETRY_SECONDS * (1 + self.rng.random())

    def _estimate_work(self, record: RequestRecord) -> WorkEstimate:
        service, work = record.service, record.work
        prompt, output = 0, 1
        if isinstance(work, ModelWork):
            prompt = len(work.prompt) + len(record.tokens)
            output = work.max_tokens - len(record.tokens)
        elif isinstance(work, ForwardWork):
            prompt, output = work.prompt_tokens, max(1, work.output_tokens)
        return WorkEstimate(
            prompt,
            output,
            service.first_token_target,
            service.token_target,
            self.settings.zone,
            self.rates.for_service(service.name).estimate(),
        )

    def measure_streams(self, service: str) -> Iterable[StreamTimes]:
        """Return what each forwarded stream of a service in progress has taken until now."""
        return [
            each.measure_stream()
            for each in self.active.values()
            if isinstance(each, ForwardedRequest)
            and each.work.stream
            and each.work.output_tokens
            and each.record.service.name == service
        ]

    def record_load(self, service: str, tokens: int) -> None:
        """Record the load of a request, by the prompt tokens that its endpoint has to prefill."""
        self.load_meter.add(
            service, self.rates.for_service(service).estimate().endpoint_seconds(tokens), self.now()
        )

    def record_attempt_loss(
        self, service: Service, endpoint_id: str, reason: str, is_endpoint_failure: bool
    ) -> None:
        """Count a failed attempt and record the failure of its endpoint, if it failed."""
        self.metrics.count("retries_total", reason=reason)
        if is_endpoint_failure:
            self.record_endpoint_failure(service, endpoint_id, self.now())

    def record_endpoint_failure(self, service: Service, endpoint_id: str, now: float) -> None:
        """Record a failure of an endpoint, which may eject it temporarily."""
        if self.directory.health.record_failure(endpoint_id, now):
            self.metrics.count("ejections_total", service=service.name)
            self.log.warning("endpoint ejected", service=service.name, endpoint=endpoint_id)

    def _on_endpoint_crash(self, endpoint_id: str) -> None:
        """Exclude a crashed endpoint and close the idle connections to it.

        Notes
        -----
        When each process had to detect the crash itself, 298 further attempts were refused after a
        fleet crashed within 1.3 s. Other attempts were reset on idle connections, which leaves it
        unknown whether they ran.
        """
        self.directory.record_connect_failure(endpoint_id, self.now(), is_refused=True)
        address = self.directory.address_of(endpoint_id)
        if address:
            self.transport.drop_idle(address)

    def handle_endpoint_restart(self, endpoint_id: str, at: float) -> None:
        """Retry elsewhere, or fail, the requests that ran at an endpoint before its restart.

        Parameters
        ----------
        at : float
            Time of the restart, on the clock of the timer service.
        """
        for request in list(self.active.values()):
            if isinstance(request, ForwardedRequest) and request.endpoint_id == endpoint_id:
                request.fail_if_restarted(at)

    def remove_request(self, request: ActiveRequest) -> None:
        """Remove a request that is complete or handed over, and start requests that wait."""
        if self.active.get(request.request_id) is not request:
            return
        del self.active[request.request_id]
        now = self.now()
        record = request.record
        self._admissions[record.service.name].release(request.ticket, now)
        remaining = self._in_flight.get(record.workspace, 0) - 1
        if remaining > 0:
            self._in_flight[record.workspace] = remaining
        else:
            self._in_flight.pop(record.workspace, None)
        if request.answer is not None:
            self.metrics.count("requests_completed_total", service=record.service.name)
            self.metrics.observe("request_seconds", now - request.accepted_at)
            if request.retains_answer:
                self._retain_answer(request, now)
        self.on_request_end()
        self._start_service(record.service.name)

    def _retain_answer(self, request: ActiveRequest, now: float) -> None:
        """Keep the response for a caller that reattaches."""
        record = request.record
        tokens = tuple(request.machine.assembler.tokens)
        until = now + self.settings.answer_retention
        finished = RetainedAnswer(record.workspace, request.answer, record, tokens, until)
        self.finished.store_answer(request.request_id, finished)

    def resume_frozen(self, frozen_request: ActiveRequest) -> None:
        """Resume a frozen request that no other process can have taken over."""
        if self.active.get(frozen_request.request_id) is not frozen_request:
            return
        record = frozen_request.to_record()
        request = make_request(self, record, frozen_request.ticket)
        request.adopt_attachments(frozen_request)
        self.active[record.request_id] = request
        request.start_first_attempt()

    def record_move(self, request_id: str, vm_id: str) -> None:
        """Record the VM to which a request was handed over."""
        self.moved_to[request_id] = vm_id
        while len(self.moved_to) > 10_000:
            self.moved_to.popitem(last=False)

    def count_in_flight(self, service: str) -> int:
        """Return the number of requests for a service in flight in this process."""
        return sum(each.record.service.name == service for each in self.active.values())

    def in_flight_by_service(self) -> dict[str, int]:
        """Return the number of requests in flight in this process, by service."""
        return dict(Counter(each.record.service.name for each in self.active.values()))

    def count_queued(self) -> int:
        """Return the number of requests that wait for their first attempt."""
        return sum(not each.ticket.running for each in self.active.values())


def make_request(hub: RequestHub, record: RequestRecord, ticket: Ticket) -> ActiveRequest:
    """Return the active request for a record."""
    if isinstance(record.work, ForwardWork):
        return ForwardedRequest(hub, record, ticket)
    cls = ModelRequest if isinstance(record.work, ModelWork) else PlainRequest
    return cls(hub, record, ticket)


def _relative_cost(record: RequestRecord) -> float:
    """Return the admission cost of a request; 1 for the smallest."""
    work = record.work
    if not isinstance(work, ModelWork):
        return 1.0
    return 1.0 + max(0, work.max_tokens - len(record.tokens)) / TOKENS_PER_COST_UNIT


def _select_candidates(
    candidates: list[Candidate], side: str | None, exclude: frozenset[str]
) -> list[Candidate]:
    """Return the candidates that pass the most rules, never a drained or closed one.

    Notes
    -----
    The exclusions are relaxed first, then the checks of `filter_usable`. The side is relaxed last:
    the other side is used only if the wanted one has no endpoint at all.
    """
    for wanted_side in (side, None):
        on_side = list(filter_usable(candidates, wanted_side, frozenset()))
        fresh = [each for each in on_side if each.endpoint_id not in exclude]
        if fresh or on_side:
            return fresh or on_side
        alive = [
            each
            for each in candidates
            if not each.is_unavailable and (wanted_side is None or each.side == wanted_side)
        ]
        if alive:
            return alive
    return []
