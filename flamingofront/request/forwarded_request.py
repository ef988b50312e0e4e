"""A forwarded request in flight: the body is relayed unchanged, a stream as it arrives."""

from collections.abc import Callable
from dataclasses import replace

from flamingofront.connection.interfaces import CallEvent
from flamingofront.decisions.admission import Ticket
from flamingofront.decisions.choice import Candidate
from flamingofront.decisions.direct_paths import EndpointPath
from flamingofront.decisions.endpoint_rule import EndpointRule
from flamingofront.decisions.engine_rates import ServiceRates
from flamingofront.decisions.lateness import LatencyEstimate, classify_urgency, compute_yield_delay
from flamingofront.decisions.part_facts import InterruptedRequest
from flamingofront.decisions.quarantine_facts import QuarantineStatus
from flamingofront.decisions.stopping import StreamTimes
from flamingofront.errors import ErrorKind, Executed, RequestError
from flamingofront.messages import (
    CallFailed,
    Fail,
    OutboundCall,
    ResponseHead,
    StartAttempt,
)
from flamingofront.request.active import NO_CONNECTION_REASONS, ActiveRequest
from flamingofront.request.answer_reader import FIRST_ERROR_STATUS, ResponseReader
from flamingofront.request.attempt_guard import (
    MAX_EXCESS_SECONDS,
    MAX_HOP_EXCESS_SECONDS,
    AttemptGuard,
)
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
from flamingofront.request.origin_tracker import OriginTracker
from flamingofront.request.records import RequestRecord
from flamingofront.request.resumption import MAX_LOGGED_ID, log_continuation
from flamingofront.request.retry_obstacles import RetryObstacle
from flamingofront.request.stop_refusal import make_shutdown_rejection

__all__ = ["ForwardedRequest"]

# A reachable endpoint accepts within a few milliseconds. A lost SYN is retransmitted after 1 s, too
# late for the tightest latency objective (0.3 s).
CONNECT_TIMEOUT_SECONDS = 0.25
# The request's deadline timer cancels an attempt; the call timeout is only a safeguard.
CALL_MARGIN_SECONDS = 1.0
# Tolerated difference between the wall clocks of an endpoint and an entry VM, usually a few
# milliseconds. An attempt within the margin still ends when its connection is reset.
CLOCK_MARGIN_SECONDS = 0.25


class ForwardedRequest(ActiveRequest):
    """A request on a forwarded route.

    Parameters
    ----------
    hub : RequestHost
        Components of the process that its requests share.
    record : RequestRecord
        The request as it was accepted or handed over.
    ticket : Ticket
        The request's entry in the admission queue.

    Attributes
    ----------
    relay : EventRelay
        Parser of the events that endpoints stream.
    status : int
        HTTP status sent to the caller; 0 if none, or if a stream was aborted.
    endpoints : list of str
        Endpoints that the request was sent to, in order.
    sent_at : float
        Time at which the current attempt was sent.
    first_sent_at : float or None
        Time at which the first attempt was sent; None if none was.
    first_response_at : float or None
        Time at which the response first started.
    failure : str
        Error kind of a failed request.
    stream_origin : OriginTracker
        Where the stream began.
    version_rule_of : callable
        Returns the rule for the endpoints of an attempt that begins a stream; None for any.
    on_response_start : callable
        Called once when the response first starts.
    on_end : callable
        Called once when the request ends.
    """

    retains_answer = False

    def __init__(self, hub: RequestHost, record: RequestRecord, ticket: Ticket):
        super().__init__(hub, record, ticket)
        self.relay = EventRelay()
        self.status = 0
        self.endpoints: list[str] = []
        self.sent_at = 0.0
        self.first_sent_at: float | None = None
        self.first_response_at: float | None = None
        self.failure = ""
        self.stream_origin = OriginTracker(self)
        # The endpoint is not to send events that the caller has.
        self.relay.last_id = self.work.last_event
        self.version_rule_of: Callable[[ForwardedRequest], EndpointRule | None] = (
            lambda request: None
        )
        # Time that the last attempt would have taken until it was sent, if it was withdrawn.
        self._send_delay = 0.0
        self._latency = AttemptLatency()
        self._events_before_attempt = 0
        self.on_response_start: Callable[[ForwardedRequest], None] = lambda request: None
        self.on_end: Callable[[ForwardedRequest], None] = lambda request: None
        self._error_response: EndpointResponse | None = None
        self._rejecting_endpoints: set[str] = set()
        self._backlog_tokens = 0
        self._backlog_endpoint = ""
        self._tokens_ahead = 0
        self._is_load_recorded = False
        self._was_postponed = False
        self._event_count = 0
        self._last_event_at = 0.0
        self._last_data_at = 0.0
        self._longest_pause = 0.0
        # Attempts that were not given up, with the failures of their paths and what is in the way
        # of a retry.
        self._kept_attempts: set[tuple[str, str, str]] = set()
        self._pause_count = 0

    @property
    def work(self) -> ForwardWork:
        """The call to forward and its retry rules."""
        return self.record.work

    @property
    def protocol(self) -> ForwardProtocol:
        """Header names and formats of forwarded requests."""
        return self.hub.protocol

    @property
    def _rates(self) -> ServiceRates:
        """Processing rates of the service's endpoints, learned from their responses."""
        return self.hub.rates.for_service(self.record.service.name)

    def version_rule(self) -> EndpointRule | None:
        """Return the rule for the endpoints of the next attempt; None for any endpoint."""
        if self.stream_origin.origin is not None:
            return self.stream_origin.rule
        return self.version_rule_of(self)

    def prefix_blocks(self) -> tuple[str, ...]:
        """Return the ids of the prompt parts."""
        return tuple(each.part_id for each in self.work.prompt)

    def shared_prefix(self) -> SharedPrefix | None:
        """Return the prompt without its last part, which is specific to the request."""
        shared = self.work.prompt[:-1]
        if not shared:
            return None
        return SharedPrefix(shared[-1].part_id, sum(each.tokens for each in shared))

    def _add_backlog(self, chosen: Candidate) -> None:
        """Add the uncached prompt tokens to the prefill backlog of the endpoint."""
        self._backlog_tokens = max(0, self.work.prompt_tokens - chosen.cached_tokens)
        self._backlog_endpoint = chosen.endpoint_id
        self.hub.directory.add_backlog(self._backlog_endpoint, self._backlog_tokens)

    def _make_expectation(self, chosen: Candidate) -> LatencyEstimate:
        """Return the expected time to first event and the time left of the latency objective."""
        first = self._rates.estimate().first_event_seconds(self._tokens_ahead) * chosen.slowness
        objective = self.record.service.first_token_target
        seconds_left = objective - (self.hub.now() - self.accepted_at)
        return LatencyEstimate(first, seconds_left, self.has_sent_events)

    def _compute_postponement(self, chosen: Candidate) -> float:
        """Return the seconds to postpone a request that cannot meet its latency objective.

        Notes
        -----
        The request yields while the endpoint has other prompts to prefill. The delay is randomized.
        """
        new_tokens = max(0, self.work.prompt_tokens - chosen.cached_tokens)
        self._tokens_ahead = chosen.backlog_tokens + new_tokens
        if not self._is_load_recorded:
            self._is_load_recorded = True
            self.hub.record_load(self.record.service.name, new_tokens)
        rates, now = self._rates.estimate(), self.hub.now()
        wait = compute_yield_delay(
            self._make_expectation(chosen),
            rates.token_seconds * chosen.backlog_tokens * chosen.slowness,
            now - self.accepted_at,
            self.record.deadline_left,
        )
        if wait > 0 and not self._was_postponed:
            self._was_postponed = True
            self.log.info(
                "request postponed",
                endpoint=chosen.endpoint_id,
                backlog=chosen.backlog_tokens,
                prompt=self.work.prompt_tokens,
                expected_ms=round(self._make_expectation(chosen).first_event_seconds * 1000),
                loads_age=self.hub.directory.load_report_age(now),
            )
        return wait * (0.5 + self.hub.rng.random())

    def _clear_backlog(self) -> None:
        """Remove the request's prompt tokens from the prefill backlog of its endpoint."""
        if self._backlog_tokens:
            self.hub.directory.remove_backlog(self._backlog_endpoint, self._backlog_tokens)
            self._backlog_tokens = 0

    def _end_call(self, cancel: bool = True) -> None:
        self._clear_backlog()
        super()._end_call(cancel)

    def _record_cached_prefix(self) -> None:
        """Record that the endpoint's cache now holds the parts of the prompt."""
        sizes = tuple(each.tokens for each in self.work.prompt)
        capacity = self.hub.cache_tokens(self.record.service.name)
        self.hub.directory.prefixes.add_blocks(
            self.endpoint_id, self.prefix_blocks(), sizes, capacity
        )

    def _log_attempt(self, action: StartAttempt, chosen: Candidate) -> None:
        """Log the chosen endpoint and the inputs of the choice."""
        directory = self.hub.directory
        self.log.info(
            "attempt started",
            attempt=action.attempt_id,
            service=self.record.service.name,
            endpoint=chosen.endpoint_id,
            zone_of_endpoint=chosen.zone,
            version=chosen.side,
            origin=self.work.origin_id[:MAX_LOGGED_ID],
            last_event=(self.relay.last_id or self.work.last_event)[:MAX_LOGGED_ID],
            load=round(chosen.load, 1),
            slots=chosen.slots,
            backlog=chosen.backlog_tokens,
            prompt=self.work.prompt_tokens,
            cached=chosen.cached_tokens,
            slowness=round(chosen.slowness, 2),
            loads_age=directory.load_report_age(self.hub.now()),
            path=chosen.path.value,
            rate_limit=self.hub.limits.rate_of(chosen.endpoint_id),
            **directory.describe_knowledge(chosen.endpoint_id),
            excluded=sorted(action.exclude),
            left_ms=round((self.machine.facts.deadline - self.hub.now()) * 1000),
        )

    def _build_call(self, action: StartAttempt, chosen: Candidate) -> OutboundCall:
        self._log_attempt(action, chosen)
        self._add_backlog(chosen)
        seconds_left = self.machine.facts.deadline - self.hub.now()
        expected_delay, self._send_delay = min(self._send_delay, seconds_left / 2), 0.0
        facts = AttemptFacts(
            chosen.endpoint_id,
            seconds_left - expected_delay,
            self.relay.last_id,
            classify_urgency(self._make_expectation(chosen)),
        )
        work = self.work
        self.endpoints.append(chosen.endpoint_id)
        self.stream_origin.record_attempt(chosen, len(self.endpoints))
        if self.has_sent_events:
            log_continuation(self, "resumed")
        self.sent_at = self.hub.now()
        if self.first_sent_at is None:
            self.first_sent_at = self.sent_at
        tokens_ahead = self._tokens_ahead if work.stream else 0
        self._latency = AttemptLatency(
            self.sent_at, self._rates.estimate().first_event_seconds(tokens_ahead)
        )
        self._events_before_attempt = self.relay.count
        is_proxied = chosen.path is EndpointPath.PROXIED
        max_excess = MAX_HOP_EXCESS_SECONDS if is_proxied else MAX_EXCESS_SECONDS
        return OutboundCall(
            chosen.address,
            work.method,
            work.target,
            work.body,
            self.protocol.encode_attempt_headers(work, facts),
            timeout=seconds_left + CALL_MARGIN_SECONDS,
            stream=True,
            # After a reset of a reused connection it is unknown whether the request ran.
            new_connection=self.needs_fresh_connection,
            host=work.host,
            connect_timeout=CONNECT_TIMEOUT_SECONDS,
            guard=AttemptGuard(
                self.hub, chosen.endpoint_id, self.sent_at + expected_delay + max_excess
            ),
        )

    def _withdraw_attempt(self, attempt_id: str) -> None:
        """Let the next attempt state a deadline that is true if it is sent as late as this one."""
        if self.is_current(attempt_id):
            self._send_delay = self.hub.now() - self.sent_at
            self.endpoints.pop()
        super()._withdraw_attempt(attempt_id)

    def _make_listener(self, attempt_id: str, chosen: Candidate) -> Callable[[CallEvent], None]:
        return ResponseReader(self, attempt_id)

    def estimate_execution_start(self) -> float:
        """Return the time at which an endpoint started to run the request.

        Notes
        -----
        For a stream, the time of its first event; for any other request, the time of sending.
        """
        return self.first_response_at if self.work.stream else self.sent_at

    def record_response_start(self) -> None:
        """Record that the endpoint has started its response."""
        self._latency.record_start(self.hub.now())
        if self._backlog_tokens:
            if self.work.stream and self.endpoint_id == self._backlog_endpoint:
                self._rates.record_first_event(self._tokens_ahead, self.hub.now() - self.sent_at)
            self._clear_backlog()
            self._record_cached_prefix()
        if self.first_response_at is None:
            self.first_response_at = self.hub.now()
            self.hub.metrics.observe(
                "first_token_seconds", self.first_response_at - self.accepted_at
            )
            self.on_response_start(self)

    def forward_events(self, attempt_id: str, answer: EndpointResponseHead, data: bytes) -> None:
        """Forward complete events to the caller."""
        if self.machine.attempt_id != attempt_id:
            return
        self.stream_origin.fix()
        self._record_event_interval()
        self.record_response_start()
        self.machine.record_progress(attempt_id)
        self.status = answer.status
        for each in list(self.attachments):
            each.send_head(answer.status, answer.fields)
            if not each.send_events(data):
                self._abort_slow_consumer(each)

    def record_contact(self, is_direct: bool) -> None:
        """Record that data from the endpoint has been received, directly or through a peer."""
        self._last_data_at = self.hub.now()
        self.hub.directory.record_contact(self.endpoint_id, self.hub.now(), is_direct)

    def record_rejection(self) -> None:
        """Record that the endpoint rejected the current attempt."""
        self._rejecting_endpoints.add(self.endpoint_id)
        self._permit_claims.record_rejection()

    def may_be_repeated_rejection(self, head: ResponseHead) -> bool:
        """Return True if a rejection may be a late copy of that of an earlier attempt.

        Notes
        -----
        A peer keeps the connection of a rejected attempt. Only requests that must not run twice
        need the distinction.
        """
        is_repeated = self.endpoint_id in self._rejecting_endpoints
        return is_repeated and head.reused and not self.work.repeatable

    def _record_event_interval(self) -> None:
        """Record the mean interval between events, which shows a slow endpoint."""
        now = self.hub.now()
        count = self.relay.count - self._event_count
        if self.first_response_at is not None and count > 0:
            interval = (now - self._last_event_at) / count
            self._longest_pause = max(self._longest_pause, now - self._last_event_at)
            self._pause_count += 1
            self.hub.directory.record_token_time(self.endpoint_id, interval)
            self._rates.record_pause(interval)
        self._event_count, self._last_event_at = self.relay.count, now

    def _report_outcome(self, is_failure: bool) -> None:
        self.hub.on_outcome(self.record.service.name, self.endpoint_id, is_failure)

    def _counts_against_version(self, executed: Executed) -> bool:
        return executed is not Executed.NO

    def _record_endpoint_result(self, answer: EndpointResponse) -> None:
        """Record the endpoint's health and processing rates from a complete response."""
        directory, now = self.hub.directory, self.hub.now()
        events = self.relay.count - self._events_before_attempt
        is_slow = self._latency.is_slow(now, events, self._rates.estimate())
        self._report_outcome(is_slow or answer.status >= FIRST_ERROR_STATUS)
        if answer.status >= FIRST_ERROR_STATUS:
            self.hub.record_endpoint_failure(self.record.service, self.endpoint_id, now)
            return
        directory.health.record_success(self.endpoint_id)
        if not self.work.stream:
            directory.record_token_time(self.endpoint_id, now - self.sent_at)
            self._rates.record_call(now - self.sent_at)
        elif self.relay.count:
            self._rates.record_event_count(self.relay.count)
            # The duration bounds that of later streams during a shutdown.
            bound = self.hub.completion.for_service(self.record.service.name)
            bound.observe(self.measure_stream())

    def measure_stream(self) -> StreamTimes:
        """Return what the stream has taken until now."""
        now, work = self.hub.now(), self.work
        first = now if self.first_response_at is None else self.first_response_at
        return StreamTimes(
            first - self.accepted_at,
            now - first,
            work.output_tokens,
            self.relay.count,
            # The caller of a resumed stream expects the events that it has as well.
            work.expected_tokens if work.resumed is None else 0,
            self._longest_pause,
            now - max(first, self._last_event_at),
            self._pause_count,
        )

    def complete_response(self, attempt_id: str, answer: EndpointResponse) -> None:
        """Send the endpoint's complete response to the caller."""
        if not self.machine.accept_response(attempt_id):
            return
        self.status = answer.status
        self.hub.guard.record_response(self.fingerprint)
        if answer.status < FIRST_ERROR_STATUS:
            self.hub.guard.record_parts_answered(self.identity, "whole response")
        self.record_response_start()
        self._record_endpoint_result(answer)
        self._end_call(cancel=False)
        self._finish(answer, None)

    def handle_endpoint_error(self, attempt_id: str, answer: EndpointResponse) -> None:
        """Retry after an error response of the endpoint if allowed, else forward the response."""
        if self.work.repeatable and self.machine.attempt_id == attempt_id:
            self._error_response = answer
            self.record_response_start()
            self.fail_attempt(attempt_id, Executed.UNKNOWN, f"status {answer.status}")
        else:
            self.complete_response(attempt_id, answer)

    def compute_last_activity(self) -> float:
        """Return the time of the endpoint's last data, or of the attempt if that is later."""
        return max(self.sent_at, self._last_data_at)

    def fail_over(self, reason: str) -> None:
        """Retry on another path, if that is certain to be possible.

        Parameters
        ----------
        reason : str
            Failure of the path, for the log.

        Notes
        -----
        The endpoint may still work on the attempt, and a silent one may go on: what is given up
        without a retry is an answer lost.
        """
        attempt_id = self.machine.attempt_id
        if not attempt_id or not self.has_attempt_in_flight:
            return
        if not self._handle.wrote:
            self.fail_attempt(
                attempt_id, Executed.NO, reason, sent=False, is_endpoint_failure=False
            )
            return
        obstacle = self.machine.find_retry_obstacle(self.hub.now()) or self._find_path_obstacle()
        if obstacle is not None:
            self._log_kept(attempt_id, reason, obstacle)
            return
        self._log_given_up(attempt_id, reason)
        self.record_abandoned()
        # The outcome is unknown, so it must not count against the endpoint's version.
        self.fail_attempt(attempt_id, Executed.UNKNOWN, reason, is_endpoint_failure=False)

    def _find_path_obstacle(self) -> RetryObstacle | None:
        """Return why no other endpoint or path is certain to take the request; None if one is."""
        if self.hub.guard.quarantine_status(self.identity) is not QuarantineStatus.CLEAR:
            return RetryObstacle.QUARANTINED
        chosen = self.hub.choose_endpoint(self, frozenset((self.endpoint_id,)))
        if chosen is None or not chosen.reachable:
            return RetryObstacle.NO_ENDPOINT
        if chosen.endpoint_id == self.endpoint_id and not self._has_other_path(chosen):
            return RetryObstacle.NO_OTHER_PATH
        is_limited = self.hub.permits.is_required(chosen.endpoint_id)
        return RetryObstacle.NEEDS_PERMIT if is_limited else None

    def _has_other_path(self, chosen: Candidate) -> bool:
        """Return True if an attempt at the same endpoint would take another path."""
        if chosen.path is EndpointPath.DIRECT:
            return bool(self.proxy_address)
        return self.hub.paths.peers.may_reach(self.endpoint_id, (self.proxy_address,))

    def _log_kept(self, attempt_id: str, reason: str, obstacle: RetryObstacle) -> None:
        """Log once for each reason and obstacle that an attempt goes on."""
        kept = (attempt_id, reason, obstacle)
        if kept in self._kept_attempts:
            return
        self._kept_attempts.add(kept)
        self.hub.metrics.count("attempts_kept_total", reason=reason)
        self.log.info(
            "attempt kept",
            attempt=attempt_id,
            endpoint=self.endpoint_id,
            proxy=self.proxy_address,
            reason=reason,
            obstacle=obstacle.value,
            silent_ms=round((self.hub.now() - self.compute_last_activity()) * 1000),
        )

    def _log_given_up(self, attempt_id: str, reason: str) -> None:
        """Log an attempt that is given up while its endpoint may work on it, with the evidence."""
        now, monitor = self.hub.now(), self.hub.paths.monitor
        connected_age, failed_age = monitor.get_evidence_age(self.endpoint_id)
        self.log.info(
            "attempt given up",
            attempt=attempt_id,
            endpoint=self.endpoint_id,
            proxy=self.proxy_address,
            reason=reason,
            silent_ms=round((now - self.compute_last_activity()) * 1000),
            events=self.relay.count,
            paths=monitor.status.value,
            connected_age=connected_age,
            failed_age=failed_age,
        )

    def leave_lost_path(self, waiting_since: float) -> None:
        """Retry through a peer, if allowed, unless data came after a time."""
        if not self._handle.wrote or self.compute_last_activity() <= waiting_since:
            self.fail_over("path lost")

    def fail_if_restarted(self, started_at: float) -> None:
        """Fail the current attempt if it was sent, and got its last data, before a restart.

        Notes
        -----
        Without this the attempt would wait until its connection is reset, 2 s for an unresponsive
        one. Clocks of VMs differ, so an attempt that was sent close to the restart is left alone.
        One that has received data since is answered by the endpoint that runs now.
        """
        is_older = self.compute_last_activity() < started_at - CLOCK_MARGIN_SECONDS
        if self.has_attempt_in_flight and is_older:
            self.log.info(
                "endpoint of attempt started again",
                endpoint=self.endpoint_id,
                sent_age=round(self.hub.now() - self.sent_at, 3),
                data_age=round(self.hub.now() - self.compute_last_activity(), 3),
                started_age=round(self.hub.now() - started_at, 3),
            )
            self.hub.guard.crash_detector.record_restart(
                self.endpoint_id, self.describe_interruption()
            )
            self.fail_attempt(self.machine.attempt_id, Executed.UNKNOWN, "endpoint started again")

    def describe_interruption(self) -> InterruptedRequest:
        """Return what the loss of the current attempt's connection tells about the request."""
        is_answered = self.relay.count > self._events_before_attempt
        return InterruptedRequest(
            self.fingerprint,
            self.identity.parts,
            is_answered,
            seconds=self.hub.now() - self._sent_at,
            active_seconds=self._last_event_at - self._sent_at if is_answered else 0.0,
        )

    def _complete_answer(self) -> None:
        raise AssertionError("a forwarded request is completed by its response")

    def handle_call_failure(self, attempt_id: str, event: CallFailed) -> None:
        """Handle a call that ended without a response; a request that was sent has likely run."""
        if event.wrote and event.reason not in NO_CONNECTION_REASONS and not self.work.stream:
            self.record_response_start()
        super().handle_call_failure(attempt_id, event)

    def _start_attempt(self, action: StartAttempt) -> None:
        """Start an attempt, unless it might not finish before this process shuts down."""
        seconds_left = self.machine.facts.deadline - self.hub.now()
        rejection = make_shutdown_rejection(self.hub, self.record, seconds_left)
        if rejection is None or self.machine.ran is not Executed.NO:
            super()._start_attempt(action)
            return
        self.log.info("request rejected during shutdown", **rejection.log_fields)
        self.execute(self.machine.fail(rejection.kind, rejection.detail, rejection.retry_after))

    def _defer_without_endpoint(self, action: StartAttempt) -> None:
        """Schedule another choice, or fail at once if no endpoint can continue the stream."""
        if not self.stream_origin.is_stuck:
            super()._defer_without_endpoint(action)
            return
        is_certain = self.stream_origin.is_certain
        log_continuation(self, "version_gone" if is_certain else "version_unknown")
        self.execute(
            self.machine.fail(
                ErrorKind.STREAM_NOT_RESUMABLE,
                "no endpoint of the version that began the stream serves",
                self.hub.no_endpoint_delay(),
            )
        )

    def fail_for_shutdown(self) -> None:
        """Fail the request because this process exits, unless a stream was partly sent."""
        if self.done or self.has_sent_events:
            return
        kind = ErrorKind.DRAINING
        if self.machine.ran is not Executed.NO:
            # A 503 would state that the request has not run.
            repeatable = self.work.repeatable
            kind = ErrorKind.ENDPOINT_FAILED if repeatable else ErrorKind.OUTCOME_UNKNOWN
        self.execute(self.machine.fail(kind, "the process that held the request stops"))

    @property
    def has_sent_events(self) -> bool:
        """True once events were sent to the caller."""
        return self.relay.count > 0

    @property
    def has_any_event(self) -> bool:
        """True once the caller has an event of the stream, from this or an earlier request."""
        return self.has_sent_events or self.work.resumed is not None

    def _fail_request(self, action: Fail) -> None:
        if self._error_response is not None and not self.has_sent_events:
            self.status = self._error_response.status
            self._finish(self._error_response, None)
            return
        super()._fail_request(action)

    def _finish(self, answer: EndpointResponse | None, exc: RequestError | None) -> None:
        super()._finish(answer, exc)
        # Like the body of the request.
        self.answer = self._error_response = None

    def _record_error(self, exc: RequestError) -> None:
        self.failure = exc.kind.value
        self.status = 0 if self.has_sent_events else self.protocol.render_error(exc)[0]

    def _clean_up(self) -> None:
        super()._clean_up()
        # An ended request is referred to in cycles until they are collected.
        self.record = replace(self.record, work=replace(self.work, body=b""))
        self.relay.discard_partial_event()
        on_end, self.on_end = self.on_end, lambda request: None
        on_end(self)
