"""A forwarded request in flight: bytes pass unchanged, a stream as it arrives."""

from collections.abc import Callable

from flamingofront.connection.interfaces import CallEvent
from flamingofront.decisions.admission import Ticket
from flamingofront.decisions.choice import Candidate
from flamingofront.decisions.engine_rates import ServiceRates
from flamingofront.decisions.lateness import LatencyEstimate, classify_urgency, compute_yield_delay
from flamingofront.decisions.rollout import VersionRule
from flamingofront.decisions.stopping import StreamTimes
from flamingofront.errors import ErrorKind, Executed, RequestError
from flamingofront.messages import (
    CallFailed,
    Fail,
    OutboundCall,
    StartAttempt,
)
from flamingofront.request.active import NOT_CONNECTED, ActiveRequest
from flamingofront.request.answer_reader import FIRST_ERROR_STATUS, ResponseReader
from flamingofront.request.attempt_pace import AttemptLatency
from flamingofront.request.directory import SharedPrefix
from flamingofront.request.event_stream import EventRelay
from flamingofront.request.forward_work import (
    AttemptFacts,
    EndpointResponse,
    EndpointResponseHead,
    ForwardProtocol,
    ForwardWork,
)
from flamingofront.request.host import RequestHost
from flamingofront.request.records import RequestRecord
from flamingofront.request.stop_refusal import make_shutdown_rejection

__all__ = ["ForwardedRequest"]

# An endpoint in reach accepts within a few milliseconds; a lost first packet is sent again after a
# second, too late for the tightest latency objective (0.3 s).
CONNECT_SECONDS = 0.25
# The request's own timer ends an attempt; the call's timer is only a second line.
CALL_MARGIN_SECONDS = 1.0
# How far the wall clock of an endpoint may be off from that of the entry VMs: a few milliseconds
# are usual, and an attempt that is left alone is still ended by its connection.
CLOCK_MARGIN_SECONDS = 0.25


class ForwardedRequest(ActiveRequest):
    """A request on a forwarded route."""

    retains_answer = False

    def __init__(self, hub: RequestHost, record: RequestRecord, ticket: Ticket):
        super().__init__(hub, record, ticket)
        self.relay = EventRelay()
        self.status = 0
        self.endpoints: list[str] = []
        self.sent_at = 0.0
        self.first_response_at: float | None = None
        self.failure = ""
        self.version_rule_of: Callable[[ForwardedRequest], VersionRule | None] = (
            lambda request: None
        )
        self._pace = AttemptLatency()
        self._passed_before = 0
        self.on_response_start: Callable[[ForwardedRequest], None] = lambda request: None
        self.on_end: Callable[[ForwardedRequest], None] = lambda request: None
        self._fallback: EndpointResponse | None = None
        self._unread = 0
        self._unread_at = ""
        self._ahead = 0
        self._asked_work = False
        self._stood_back = False
        self._events_seen = 0
        self._event_at = 0.0

    @property
    def work(self) -> ForwardWork:
        """What the endpoint is asked for."""
        return self.record.work

    @property
    def protocol(self) -> ForwardProtocol:
        """Header names and formats."""
        return self.hub.protocol

    @property
    def _rates(self) -> ServiceRates:
        """What is learned of the service's endpoints."""
        return self.hub.rates.for_service(self.record.service.name)

    def version_rule(self) -> VersionRule | None:
        """Return which versions the next attempt may go to; None if that makes no difference."""
        return self.version_rule_of(self)

    def prefix_blocks(self) -> tuple[str, ...]:
        """Return the ids of the prompt's parts."""
        return tuple(each.part_id for each in self.work.prompt)

    def shared_prefix(self) -> SharedPrefix | None:
        """Return all parts of the prompt but the last, which is the request's own."""
        shared = self.work.prompt[:-1]
        if not shared:
            return None
        return SharedPrefix(shared[-1].part_id, sum(each.tokens for each in shared))

    def _queue(self, chosen: Candidate) -> None:
        """Count the prompt tokens that the endpoint has to read."""
        self._unread = max(0, self.work.prompt_tokens - chosen.cached_tokens)
        self._unread_at = chosen.endpoint_id
        self.hub.directory.add_backlog(self._unread_at, self._unread)

    def _expected(self, chosen: Candidate) -> LatencyEstimate:
        """Return when the endpoint is expected to begin its answer."""
        first = self._rates.estimate().first_event_seconds(self._ahead) * chosen.slowness
        objective = self.record.service.first_token_target
        left = objective - (self.hub.now() - self.accepted_at)
        return LatencyEstimate(first, left, self.has_sent_events)

    def _postponement(self, chosen: Candidate) -> float:
        """Stand back while the request will be late in any case and others wait to be read."""
        new_tokens = max(0, self.work.prompt_tokens - chosen.cached_tokens)
        self._ahead = chosen.backlog_tokens + new_tokens
        if not self._asked_work:
            self._asked_work = True
            self.hub.record_load(self.record.service.name, new_tokens)
        rates, now = self._rates.estimate(), self.hub.now()
        wait = compute_yield_delay(
            self._expected(chosen),
            rates.token_seconds * chosen.backlog_tokens * chosen.slowness,
            now - self.accepted_at,
            self.record.deadline_left,
        )
        if wait > 0 and not self._stood_back:
            self._stood_back = True
            self.log.info(
                "request stands back",
                endpoint=chosen.endpoint_id,
                backlog=chosen.backlog_tokens,
                prompt=self.work.prompt_tokens,
                expected_ms=round(self._expected(chosen).first_event_seconds * 1000),
                loads_age=self.hub.directory.load_report_age(now),
            )
        return wait * (0.5 + self.hub.rng.random())

    def _dequeue(self) -> None:
        """The prompt was read, or the attempt is over."""
        if self._unread:
            self.hub.directory.remove_backlog(self._unread_at, self._unread)
            self._unread = 0

    def _release(self, cancel: bool = True) -> None:
        self._dequeue()
        super()._release(cancel)

    def _note_cached(self) -> None:
        """Note the prompt's parts as held by the endpoint that has read them."""
        sizes = tuple(each.tokens for each in self.work.prompt)
        capacity = self.hub.cache_tokens(self.record.service.name)
        self.hub.directory.prefixes.add_blocks(
            self.endpoint_id, self.prefix_blocks(), sizes, capacity
        )

    def _log_choice(self, action: StartAttempt, chosen: Candidate) -> None:
        """Tell which endpoint was chosen, and by what."""
        directory = self.hub.directory
        self.log.info(
            "attempt",
            attempt=action.attempt_id,
            service=self.record.service.name,
            endpoint=chosen.endpoint_id,
            zone_of_endpoint=chosen.zone,
            load=round(chosen.load, 1),
            slots=chosen.slots,
            backlog=chosen.backlog_tokens,
            prompt=self.work.prompt_tokens,
            cached=chosen.cached_tokens,
            slowness=round(chosen.slowness, 2),
            loads_age=directory.load_report_age(self.hub.now()),
            rate_limit=self.hub.limits.rate_of(chosen.endpoint_id),
            excluded=sorted(action.exclude),
            left_ms=round((self.machine.facts.deadline - self.hub.now()) * 1000),
        )

    def _call(self, action: StartAttempt, chosen: Candidate) -> OutboundCall:
        self._log_choice(action, chosen)
        self._queue(chosen)
        left = self.machine.facts.deadline - self.hub.now()
        facts = AttemptFacts(
            chosen.endpoint_id, left, self.relay.last_id, classify_urgency(self._expected(chosen))
        )
        work = self.work
        self.endpoints.append(chosen.endpoint_id)
        self.sent_at = self.hub.now()
        ahead = self._ahead if work.stream else 0
        self._pace = AttemptLatency(self.sent_at, self._rates.estimate().first_event_seconds(ahead))
        self._passed_before = self.relay.count
        return OutboundCall(
            chosen.address,
            work.method,
            work.target,
            work.body,
            self.protocol.encode_attempt_headers(work, facts),
            timeout=left + CALL_MARGIN_SECONDS,
            stream=True,
            # A reset on a kept connection leaves open whether the request ran.
            new_connection=self.needs_fresh_connection,
            host=work.host,
            connect_timeout=CONNECT_SECONDS,
        )

    def _listener(self, attempt_id: str, chosen: Candidate) -> Callable[[CallEvent], None]:
        return ResponseReader(self, attempt_id)

    def estimate_execution_start(self) -> float:
        """Return when an endpoint began to run the request, as far as can be told from here.

        Notes
        -----
        A stream begins with its first event; any other request at once when it is sent.
        """
        return self.first_response_at if self.work.stream else self.sent_at

    def record_response_start(self) -> None:
        """Note that an endpoint has begun to answer."""
        self._pace.record_start(self.hub.now())
        if self._unread:
            if self.work.stream and self.endpoint_id == self._unread_at:
                self._rates.record_first_event(self._ahead, self.hub.now() - self.sent_at)
            self._dequeue()
            self._note_cached()
        if self.first_response_at is None:
            self.first_response_at = self.hub.now()
            self.hub.metrics.observe(
                "first_token_seconds", self.first_response_at - self.accepted_at
            )
            self.on_response_start(self)

    def forward_events(self, attempt_id: str, answer: EndpointResponseHead, data: bytes) -> None:
        """Pass whole events on to the caller."""
        if self.machine.attempt_id != attempt_id:
            return
        self.hub.directory.record_contact(self.endpoint_id, self.hub.now())
        self._observe_events()
        self.record_response_start()
        self.machine.record_progress(attempt_id)
        self.status = answer.status
        for each in list(self.attachments):
            each.begin(answer.status, answer.fields)
            if not each.events(data):
                self._drop_slow(each)

    def _observe_events(self) -> None:
        """Note the pause before events, so that a slow endpoint shows."""
        now = self.hub.now()
        count = self.relay.count - self._events_seen
        if self.first_response_at is not None and count > 0:
            pause = (now - self._event_at) / count
            self.hub.directory.record_token_time(self.endpoint_id, pause)
            self._rates.record_pause(pause)
        self._events_seen, self._event_at = self.relay.count, now

    def _tell_outcome(self, is_bad: bool) -> None:
        self.hub.on_outcome(self.record.service.name, self.endpoint_id, is_bad)

    def fail_attempt(
        self, attempt_id: str, executed: Executed, reason: str, sent: bool = True
    ) -> None:
        """Take note of an attempt that ended without its answer."""
        is_current = not self.done and attempt_id == self.machine.attempt_id
        if is_current and sent and executed is not Executed.NO:
            self._tell_outcome(is_bad=True)
        super().fail_attempt(attempt_id, executed, reason, sent)

    def _judge_endpoint(self, answer: EndpointResponse) -> None:
        """Tell the directory how the endpoint did."""
        directory, now = self.hub.directory, self.hub.now()
        events = self.relay.count - self._passed_before
        is_slow = self._pace.is_slow(now, events, self._rates.estimate())
        self._tell_outcome(is_slow or answer.status >= FIRST_ERROR_STATUS)
        if answer.status >= FIRST_ERROR_STATUS:
            self.hub.record_endpoint_failure(self.record.service, self.endpoint_id, now)
            return
        directory.health.record_success(self.endpoint_id)
        if not self.work.stream:
            directory.record_token_time(self.endpoint_id, now - self.sent_at)
            self._rates.record_call(now - self.sent_at)
        elif self.relay.count:
            self._rates.record_event_count(self.relay.count)
            self._observe_times(now)

    def _observe_times(self, now: float) -> None:
        """Note how long a stream has taken, for what a process that stops still begins."""
        times = StreamTimes(
            self.first_response_at - self.accepted_at,
            now - self.first_response_at,
            self.work.output_tokens,
        )
        self.hub.completion.for_service(self.record.service.name).observe(times)

    def complete_response(self, attempt_id: str, answer: EndpointResponse) -> None:
        """Give the endpoint's complete answer to the caller."""
        if not self.machine.accept_response(attempt_id):
            return
        self.status = answer.status
        self.hub.guard.record_response(self.fingerprint)
        self.record_response_start()
        self._judge_endpoint(answer)
        self._release(cancel=False)
        self._settle(answer, None)

    def handle_endpoint_error(self, attempt_id: str, answer: EndpointResponse) -> None:
        """Try again after an endpoint's own error; if that is not possible, pass the error on."""
        if self.work.repeatable and self.machine.attempt_id == attempt_id:
            self._fallback = answer
            self.record_response_start()
            self.fail_attempt(attempt_id, Executed.UNKNOWN, f"status {answer.status}")
        else:
            self.complete_response(attempt_id, answer)

    def compute_last_activity(self) -> float:
        """Return when the endpoint last sent something, or else when it was asked."""
        return max(self.sent_at, self._event_at)

    def fail_over(self) -> None:
        """Go on at another endpoint, if that is allowed: this one cannot be heard any more."""
        if self.work.repeatable and self.machine.attempt_id and self._may_try_again():
            # Nothing is known of the answer: it says nothing of the endpoint's version.
            super().fail_attempt(self.machine.attempt_id, Executed.UNKNOWN, "zone cut off")

    def fail_if_restarted(self, at: float) -> None:
        """Give an attempt up that its endpoint has lost by starting again.

        Notes
        -----
        Without this it would be waited for until the connection is reset, two seconds for a silent
        one. Clocks of VMs differ, so an attempt that was sent close to the start is left alone.
        """
        if self.has_attempt_in_flight and self.sent_at < at - CLOCK_MARGIN_SECONDS:
            self.hub.guard.crash_detector.record_restart(
                self.endpoint_id, frozenset((self.fingerprint,))
            )
            self.fail_attempt(self.machine.attempt_id, Executed.UNKNOWN, "endpoint started again")

    def _may_try_again(self) -> bool:
        most = self.machine.facts.max_attempts
        return most is None or self.machine.attempts < most

    def _complete(self) -> None:
        raise AssertionError("a forwarded request is completed by its answer")

    def handle_call_failure(self, attempt_id: str, event: CallFailed) -> None:
        """Judge a call that ended without an answer; what was sent has most likely run."""
        if event.wrote and event.reason not in NOT_CONNECTED and not self.work.stream:
            self.record_response_start()
        super().handle_call_failure(attempt_id, event)

    def _start_attempt(self, action: StartAttempt) -> None:
        """Start an attempt, unless it has waited so long that it may outlast this process."""
        left = self.machine.facts.deadline - self.hub.now()
        refusal = make_shutdown_rejection(self.hub, self.record, left)
        if refusal is None or self.machine.ran is not Executed.NO:
            super()._start_attempt(action)
            return
        self.log.info("refused for the stop", **refusal.log_fields)
        self.execute(self.machine.fail(refusal.kind, refusal.detail, refusal.retry_after))

    def fail_for_shutdown(self) -> None:
        """Tell the caller that this process ends, unless a part of a stream was sent already."""
        if self.done or self.has_sent_events:
            return
        self._sync_wrote()
        kind = ErrorKind.DRAINING
        if self.machine.ran is not Executed.NO:
            # No 503: that would state that the request has not run.
            repeatable = self.work.repeatable
            kind = ErrorKind.ENDPOINT_FAILED if repeatable else ErrorKind.OUTCOME_UNKNOWN
        self.execute(self.machine.fail(kind, "the process that held the request stops"))

    @property
    def has_sent_events(self) -> bool:
        """True once a part of a stream was sent to the caller."""
        return self.relay.count > 0

    def _fail(self, action: Fail) -> None:
        if self._fallback is not None and not self.has_sent_events:
            self.status = self._fallback.status
            self._settle(self._fallback, None)
            return
        super()._fail(action)

    def _settle(self, answer, exc: RequestError | None) -> None:
        if exc is not None:
            self.failure = exc.kind.value
            self.status = 0 if self.has_sent_events else self.protocol.render_error(exc)[0]
        super()._settle(answer, exc)

    def _end(self) -> None:
        super()._end()
        on_end, self.on_end = self.on_end, lambda request: None
        on_end(self)
