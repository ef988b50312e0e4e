"""All requests in flight in this process, and what they share."""

import math
import random
from collections import Counter, OrderedDict
from collections.abc import Callable

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
from flamingofront.decisions.stopping import CompletionBounds
from flamingofront.errors import ErrorKind, Ran, RequestError
from flamingofront.process.logs import Log
from flamingofront.process.metrics import Metrics
from flamingofront.process.timers import Timer, TimerService
from flamingofront.request.active import ActiveRequest
from flamingofront.request.directory import EndpointDirectory
from flamingofront.request.endpoint_ends import CrashDetector
from flamingofront.request.endpoint_limits import EndpointLimits
from flamingofront.request.endpoint_pauses import EndpointBackoffs
from flamingofront.request.finished import FinishedAnswer, FinishedAnswers
from flamingofront.request.forward_work import ForwardProtocol, ForwardWork
from flamingofront.request.forwarded_request import ForwardedRequest
from flamingofront.request.guard import RequestGuard
from flamingofront.request.host import HubSettings, RequestHost
from flamingofront.request.model_request import ModelRequest
from flamingofront.request.permits import Permits
from flamingofront.request.plain_request import PlainRequest
from flamingofront.request.records import ModelWork, RequestRecord
from flamingofront.version.model import Service

__all__ = ["HubSettings", "RequestHub"]

# Part of the slots that admission fills: entry VMs cannot balance perfectly.
FILLED_SHARE = 0.9
EXPIRY_SECONDS = 0.1
SECONDS_BETWEEN_CHOICES = 0.2
# Random part by which callers are told to come back later than the first endpoint opens.
COMEBACK_JITTER = 0.1
TOKENS_PER_COST = 64.0


def paced_budget(service: Service) -> RetryBudget:
    """Return the retry budget of a service that this process paces on its own."""
    return PacedRetryBudget(service.retry_ratio)


class RequestHub(RequestHost):
    """Admits, starts and keeps track of requests.

    Parameters
    ----------
    on_idle : callable
        Called whenever a request has ended.
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
        self.finished = FinishedAnswers()
        self.moved_to: OrderedDict[str, str] = OrderedDict()
        self.on_idle: Callable[[], None] = lambda: None
        self.capacity_share: Callable[[], float] = lambda: 1.0
        # Gets service, endpoint, and whether what came of an attempt there was bad.
        self.on_outcome: Callable[[str, str, bool], None] = lambda service, endpoint_id, bad: None
        # Prompt tokens that an endpoint of a service can hold in its cache.
        self.cache_tokens: Callable[[str], float] = lambda service: math.inf
        self.rates = LearnedRates()
        self.completion = CompletionBounds()
        self.stop_left: Callable[[], float] = lambda: math.inf
        ends = CrashDetector(transport, timers, directory, metrics, log)
        self.guard = RequestGuard(ends, timers, metrics, log, lambda: tuple(self.active.values()))
        self.guard.on_endpoint_crash = self._endpoint_ended
        self.limits = EndpointLimits(timers, metrics, log)
        self.permits = Permits(self.limits, timers, metrics, rng)
        self.pauses = EndpointBackoffs(timers, metrics, log, rng)
        self.on_leaving: Callable[[str, str], None] = lambda endpoint_id, request: None
        self.work = LoadMeter()
        self._policy = policy or CostChoice()
        self._admissions: dict[str, FairAdmission] = {}
        self._budgets: dict[str, RetryBudget] = {}
        self._held: dict[str, int] = {}
        self._expiry: Timer | None = None

    def now(self) -> float:
        """Return the time of the timer service."""
        return self.timers.now()

    def budget(self, service: Service) -> RetryBudget:
        """Return the retry budget of a service."""
        budget = self._budgets.get(service.name)
        if budget is None:
            budget = self._budgets[service.name] = self._make_budget(service)
        return budget

    def admission(self, service: Service) -> FairAdmission:
        """Return the admission of a service."""
        admission = self._admissions.get(service.name)
        if admission is None:
            admission = self._admissions[service.name] = FairAdmission(self.rng)
        share = self.capacity_share()
        admission.set_capacity(max(1.0, self.directory.capacity(service) * share * FILLED_SHARE))
        return admission

    def demand(self) -> dict[str, int]:
        """Return the requests held here by workspace."""
        return dict(self._held)

    def accept(
        self, record: RequestRecord, share: WorkspaceShare, resumed: bool = False
    ) -> ActiveRequest:
        """Take a request in.

        Raises
        ------
        RequestError
            At once, if the request is over a limit or could not start in time.
        """
        service = record.service
        if not resumed:
            self.guard.reject_quarantined(record)
        if not resumed and self.directory.capacity(service) == 0:
            raise RequestError(ErrorKind.NO_ENDPOINT, retry_after=self._no_endpoint_delay())
        now = self.now()
        patience = record.deadline_left
        if not record.job and not resumed:
            patience = min(patience, service.first_token_target * self.settings.queue_wait_fraction)
        ticket = Ticket(record.request_id, share, _cost(record), now + patience, resumed)
        self.admission(service).offer(ticket, now)
        request = make_request(self, record, ticket)
        self.active[record.request_id] = request
        self._held[record.workspace] = self._held.get(record.workspace, 0) + 1
        self.metrics.count("requests_accepted_total", service=service.name)
        if not resumed:
            self.budget(service).record_request(now)
        return request

    def choice_patience(self, record: RequestRecord) -> float:
        """Return the seconds during which an endpoint is looked for when there is none."""
        part = self.settings.choice_patience
        return math.inf if part is None else record.service.first_token_target * part

    def _no_endpoint_delay(self) -> float:
        return 1.0 + self.rng.random()

    def pump(self) -> None:
        """Start the requests that may start now."""
        for name in list(self._admissions):
            self._pump_service(name)
        self._watch_queue()

    def _pump_service(self, name: str) -> None:
        admission = self._admissions[name]
        while True:
            ticket = admission.start_next(self.now())
            if ticket is None:
                return
            request = self.active.get(ticket.request_id)
            if request is not None and not request.done:
                request.begin()
            else:
                admission.release(ticket, self.now())

    def _expire(self) -> None:
        """Refuse at once what waited for too long, then start what fits."""
        self._expiry = None
        for admission in self._admissions.values():
            for ticket in admission.drop_expired(self.now()):
                request = self.active.get(ticket.request_id)
                if request is not None and not request.done:
                    retry_after = admission.retry_after(self.now())
                    request.refuse(
                        RequestError(ErrorKind.OVERLOADED, ran=Ran.NO, retry_after=retry_after)
                    )
        self.refresh_capacity()
        self.pump()

    def _watch_queue(self) -> None:
        """Look at the queue again soon, as long as a request waits in it."""
        if self._expiry is None and self.waiting():
            self._expiry = self.timers.once(EXPIRY_SECONDS, self._expire)

    def refresh_capacity(self) -> None:
        """Fit the capacity of each admission to the endpoints that are there."""
        services = {each.record.service.name: each.record.service for each in self.active.values()}
        for service in services.values():
            self.admission(service)

    def choose(
        self, request: ActiveRequest, exclude: frozenset[str], without_limits: bool = False
    ) -> Candidate | None:
        """Return the endpoint for an attempt, None if there is none with room."""
        service, record = request.record.service, request.record
        exclude |= self.guard.endpoints_to_avoid(request)
        rule = request.version_rule()
        closed = (
            self.permits.closed_endpoints(request.ticket.share.priority)
            | self.pauses.endpoints_in_backoff()
        )
        if without_limits:
            closed |= self.limits.rates_by_endpoint().keys()
        for whole in (False, True):
            candidates = self.directory.candidates(
                service,
                request.hashes(),
                self.now(),
                self.rng,
                request.shared_prefix(),
                whole,
                rule,
                closed,
            )
            pool = _relaxed(candidates, record.side, exclude)
            chosen = self._policy.choose(pool, self._estimate(record), self.rng)
            if chosen is not None:
                return chosen
        return None

    def accepts_work(self, endpoint_id: str) -> bool:
        """Tell whether an endpoint that was chosen a moment ago still takes new work."""
        return not self.directory.is_unavailable(endpoint_id) and not self.pauses.remaining_seconds(
            endpoint_id
        )

    def seconds_until_open(self, service: str, priority: float = math.inf) -> float:
        """Return the seconds until the first endpoint of a service takes a request again."""
        waits = (
            max(self.pauses.remaining_seconds(name), self.permits.wait_seconds((name,), priority))
            for name in self.directory.zones_of(service)
        )
        return min(waits, default=0.0)

    def choice_retry_delay(self, service: str, priority: float) -> float:
        """Return the seconds after which an endpoint may be found where there is none now."""
        closed_for = self.seconds_until_open(service, priority)
        if closed_for > 0:
            return closed_for * (1 + COMEBACK_JITTER * self.rng.random())
        return SECONDS_BETWEEN_CHOICES * (1 + self.rng.random())

    def _estimate(self, record: RequestRecord) -> WorkEstimate:
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

    def record_load(self, service: str, tokens: int) -> None:
        """Count the work of a request, by the prompt tokens that its endpoint has to read."""
        self.work.add(
            service, self.rates.for_service(service).estimate().endpoint_seconds(tokens), self.now()
        )

    def record_attempt_loss(
        self, service: Service, endpoint_id: str, executed: Ran, reason: str, now: float
    ) -> None:
        """Count a lost attempt and judge its endpoint."""
        self.metrics.count("retries_total", reason=reason)
        self.endpoint_failed(service, endpoint_id, now)

    def endpoint_failed(self, service: Service, endpoint_id: str, now: float) -> None:
        """Note a failure of an endpoint, which may eject it for a while."""
        if self.directory.health.record_failure(endpoint_id, now):
            self.metrics.count("ejections_total", service=service.name)
            self.log.warning("endpoint ejected", service=service.name, endpoint=endpoint_id)

    def _endpoint_ended(self, endpoint_id: str) -> None:
        """Leave an endpoint out that has ended, and give up what was kept open to it.

        Notes
        -----
        Each process found out by itself before: of a fleet that had ended within 1.3 s, 298 further
        attempts were refused and some were reset on kept connections, which leaves open whether
        they ran.
        """
        self.directory.record_connect_failure(endpoint_id, self.now(), refused=True)
        address = self.directory.address_of(endpoint_id)
        if address:
            self.transport.drop_idle(address)

    def _waiting_for(self, zone: str) -> list[ForwardedRequest]:
        """Return the forwarded requests that endpoints of a zone work on."""
        return [
            each
            for each in self.active.values()
            if isinstance(each, ForwardedRequest)
            and each.is_sent
            and self.directory.zone_of(each.endpoint_id) == zone
        ]

    def silent_since(self, zone: str) -> float:
        """Return the earliest time since which an answer from a zone is awaited."""
        return min((each.silent_since() for each in self._waiting_for(zone)), default=math.inf)

    def zone_cut_off(self, zone: str) -> None:
        """Let what waits for an endpoint of a zone that cannot be heard go on elsewhere."""
        for request in self._waiting_for(zone):
            request.zone_cut_off()

    def endpoint_restarted(self, endpoint_id: str, at: float) -> None:
        """Let what ran at an endpoint before its new start go on elsewhere, or fail.

        Parameters
        ----------
        at : float
            Time of the new start on the own clock.
        """
        for request in list(self.active.values()):
            if isinstance(request, ForwardedRequest) and request.endpoint_id == endpoint_id:
                request.endpoint_restarted(at)

    def remove_request(self, request: ActiveRequest) -> None:
        """Forget a request that has its answer or went elsewhere, and start the next one."""
        if self.active.get(request.request_id) is not request:
            return
        del self.active[request.request_id]
        now = self.now()
        record = request.record
        self._admissions[record.service.name].release(request.ticket, now)
        left = self._held.get(record.workspace, 0) - 1
        if left > 0:
            self._held[record.workspace] = left
        else:
            self._held.pop(record.workspace, None)
        if request.answer is not None:
            self.metrics.count("requests_completed_total", service=record.service.name)
            self.metrics.observe("request_seconds", now - request.accepted_at)
            if request.retains_answer:
                self._retain(request, now)
        self.on_idle()
        self._pump_service(record.service.name)

    def _retain(self, request: ActiveRequest, now: float) -> None:
        """Keep the answer for a caller who comes back."""
        record = request.record
        tokens = tuple(request.machine.assembler.tokens)
        until = now + self.settings.answer_retention
        finished = FinishedAnswer(record.workspace, request.answer, record, tokens, until)
        self.finished.put(request.request_id, finished)

    def thaw(self, frozen: ActiveRequest) -> None:
        """Go on with a frozen request that certainly nobody else has taken."""
        if self.active.get(frozen.request_id) is not frozen:
            return
        record = frozen.to_record()
        request = make_request(self, record, frozen.ticket)
        request.take_over(frozen)
        self.active[record.request_id] = request
        request.begin()

    def note_moved(self, request_id: str, vm_id: str) -> None:
        """Remember where a request went."""
        self.moved_to[request_id] = vm_id
        while len(self.moved_to) > 10_000:
            self.moved_to.popitem(last=False)

    def count_in_flight(self, service: str) -> int:
        """Return the requests for a service that are held here."""
        return sum(each.record.service.name == service for each in self.active.values())

    def in_flight_by_service(self) -> dict[str, int]:
        """Return the requests held here, by service."""
        return dict(Counter(each.record.service.name for each in self.active.values()))

    def waiting(self) -> int:
        """Return the requests that wait for their first attempt."""
        return sum(not each.ticket.running for each in self.active.values())


def make_request(hub: RequestHub, record: RequestRecord, ticket: Ticket) -> ActiveRequest:
    """Return the active request for a record."""
    if isinstance(record.work, ForwardWork):
        return ForwardedRequest(hub, record, ticket)
    cls = ModelRequest if isinstance(record.work, ModelWork) else PlainRequest
    return cls(hub, record, ticket)


def _cost(record: RequestRecord) -> float:
    """Return the work of a request relative to a usual one."""
    work = record.work
    if not isinstance(work, ModelWork):
        return 1.0
    return 1.0 + max(0, work.max_tokens - len(record.tokens)) / TOKENS_PER_COST


def _relaxed(
    candidates: list[Candidate], side: str | None, exclude: frozenset[str]
) -> list[Candidate]:
    """Return the best non-empty selection: rules are relaxed one by one, but for barred endpoints.

    Notes
    -----
    The side of a move goes last: only when it has no endpoint at all does the other side answer.
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
