"""An accepted request in this process; executes the actions of its state machine."""

from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import replace

from flamingofront.connection.interfaces import CallEvent, CallHandle
from flamingofront.decisions.admission import Ticket
from flamingofront.decisions.choice import Candidate
from flamingofront.decisions.endpoint_rule import EndpointRule
from flamingofront.decisions.part_facts import InterruptedRequest
from flamingofront.decisions.quarantine_facts import QuarantineStatus
from flamingofront.errors import ErrorKind, Executed, RequestError
from flamingofront.messages import (
    NO_IDLE_CONNECTION,
    SEND_WITHDRAWN,
    STALE_ATTEMPT_SECONDS,
    CallFailed,
    CancelAttempt,
    Complete,
    Emit,
    Fail,
    OutboundCall,
    ScheduleRetry,
    StartAttempt,
)
from flamingofront.process.timers import Timer
from flamingofront.request.attachments import Attachment
from flamingofront.request.attempts import Action, Phase, RequestFacts, RequestMachine
from flamingofront.request.directory import SharedPrefix
from flamingofront.request.endpoint_paths import PathRequest
from flamingofront.request.fingerprint import identify_request
from flamingofront.request.host import RequestHost
from flamingofront.request.intent_gate import AttemptIntents
from flamingofront.request.permit_claims import PermitClaims
from flamingofront.request.records import RequestRecord
from flamingofront.request.stored_answer import StoredAnswer

__all__ = ["NO_CONNECTION_REASONS", "ActiveRequest"]

# Interval of the choices of a request that waits until the endpoints are known again.
OUTDATED_RETRY_SECONDS = 0.05
# Failure reasons of calls for which no connection was established.
NO_CONNECTION_REASONS = frozenset({"connect", "refused"})


class ActiveRequest(ABC):
    """Base class of accepted requests.

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
    retains_answer : bool
        True if the answer is kept for callers that reattach.
    on_finished : callable or None
        Called once with the final answer or error, one of which is None.
    proxy_address : str
        Peer that proxies the attempt in flight; empty if there is none or it is sent directly.
    has_response : bool
        True once the endpoint of the current attempt has begun to respond.
    is_trial : bool
        True if this is the trial request that tests whether a quarantined request is harmless.
    """

    retains_answer = True

    def __init__(self, hub: RequestHost, record: RequestRecord, ticket: Ticket):
        self.hub = hub
        self.record = record
        self.ticket = ticket
        self.accepted_at = hub.now()
        self.attachments: list[Attachment] = []
        self.answer: StoredAnswer | None = None
        self.endpoint_id = ""
        self.endpoint_address = ""
        self._sent_at = 0.0
        self.proxy_address = ""
        self.identity = identify_request(record)
        self.on_finished: Callable[[StoredAnswer | None, RequestError | None], None] | None = None
        self.log = hub.log.bind(
            request=record.request_id, workspace=record.workspace, work=self.fingerprint
        )
        facts = RequestFacts(
            record.request_id,
            record.may_repeat,
            self.accepted_at + record.deadline_left,
            record.max_attempts,
            self.accepted_at + hub.choice_timeout(record),
        )
        self.machine = RequestMachine(
            facts,
            hub.retry_budget(record.service),
            hub.rng,
            tokens=record.tokens,
            ran=record.ran,
            was_written=lambda: self._handle is not None and self._handle.wrote,
        )
        self._handle: CallHandle | None = None
        self._retry_timer: Timer | None = None
        self._deadline_timer = hub.timers.once(record.deadline_left, self._on_deadline)
        self._grace_timer: Timer | None = None
        self._is_start_deferred = False
        self._is_start_due = False
        self._permit_claims = PermitClaims(self)
        self._attempt_intents = AttemptIntents(self)
        self.is_trial = False
        self.has_response = False

    @property
    def request_id(self) -> str:
        """Id of the request."""
        return self.record.request_id

    @property
    def fingerprint(self) -> str:
        """Digest that is the same for repeats of the request."""
        return self.identity.fingerprint

    @property
    def done(self) -> bool:
        """True if the request is answered, cancelled or handed over."""
        return self.machine.phase in (Phase.DONE, Phase.FROZEN)

    def is_current(self, attempt_id: str) -> bool:
        """Return True if the request has not ended and its current attempt is this one."""
        return not self.done and attempt_id == self.machine.attempt_id

    @property
    def has_attempt_in_flight(self) -> bool:
        """True while an attempt is in flight."""
        return self._handle is not None

    @property
    def has_direct_attempt(self) -> bool:
        """True while an attempt is in flight on a connection of this VM to the endpoint."""
        return self.has_attempt_in_flight and not self.proxy_address

    @property
    def can_hand_over(self) -> bool:
        """True if the request can be handed over to another entry process now."""
        return not self.done and not self._is_start_deferred

    @property
    def needs_fresh_connection(self) -> bool:
        """True if calls must not reuse a connection.

        Notes
        -----
        After a reset of a reused connection it is unknown whether the endpoint received the
        request. This matters for requests that must not run twice or are suspected of crashes.
        """
        if not self.record.may_repeat:
            return True
        return self.hub.guard.quarantine_status(self.identity) is not QuarantineStatus.CLEAR

    @abstractmethod
    def _build_call(self, action: StartAttempt, chosen: Candidate) -> OutboundCall:
        """Return the HTTP call of an attempt."""

    @abstractmethod
    def _make_listener(self, attempt_id: str, chosen: Candidate) -> Callable[[CallEvent], None]:
        """Return the callback that receives the call events of an attempt."""

    @abstractmethod
    def prefix_blocks(self) -> tuple[str, ...]:
        """Return the ids of the prompt's prefix blocks, for cache-aware placement."""

    def shared_prefix(self) -> SharedPrefix | None:
        """Return the prompt prefix that is shared with other requests; None if unknown."""
        return None

    def version_rule(self) -> EndpointRule | None:
        """Return the rule for the endpoints of the next attempt; None for any endpoint."""
        return None

    def defer_start(self) -> None:
        """Defer the start until `allow_start`, after the store has confirmed a write."""
        self._is_start_deferred = True

    def allow_start(self) -> None:
        """Lift the deferral and start the request if it is already admitted."""
        self._is_start_deferred = False
        if self._is_start_due:
            self.execute(self.machine.start())

    def start_first_attempt(self) -> None:
        """Start the first attempt, unless the start is deferred."""
        self._is_start_due = True
        if not self._is_start_deferred:
            self.execute(self.machine.start())

    def attach(self, attachment: Attachment) -> None:
        """Add a consumer of the answer."""
        if self._grace_timer is not None:
            self._grace_timer.cancel()
            self._grace_timer = None
        attachment.on_disconnect = self._on_disconnect
        self.attachments.append(attachment)

    def start_reattach_timer(self, seconds: float) -> None:
        """Cancel the request unless a consumer attaches within some seconds."""
        if self.record.job or self.attachments:
            return
        self._grace_timer = self.hub.timers.once(seconds, self._cancel_if_unattached)

    def _on_disconnect(self, attachment: Attachment) -> None:
        self.attachments.remove(attachment)
        if self.attachments or self.record.job or self.record.key or self.done:
            return
        if attachment.wants_tokens:
            self.start_reattach_timer(self.hub.settings.reattach_grace)
        else:
            self._cancel_if_unattached()

    def _cancel_if_unattached(self) -> None:
        if self.attachments or self.done:
            return
        self.hub.metrics.count("refusals_total", kind="caller_gone")
        self.execute(self.machine.end_without_answer())
        self._clean_up()
        self.hub.remove_request(self)

    def _on_deadline(self) -> None:
        self.execute(self.machine.expire())

    def reject_unstarted(self, exc: RequestError) -> None:
        """Reject a request that has not started, with an error."""
        self.machine.end_without_answer()
        self._finish(None, exc)

    def replay_answer(self, answer: StoredAnswer) -> None:
        """Send the answer of an earlier request to a request that has not started."""
        self.machine.end_without_answer()
        detached, self.attachments = self.attachments, []
        for each in detached:
            each.detach()
            each.replay(answer)
        self.cancel_unstarted()

    def cancel_unstarted(self) -> None:
        """Remove a request that has not started, without sending an answer."""
        self.machine.end_without_answer()
        self._clean_up()
        self.hub.remove_request(self)

    def execute(self, actions: list[Action]) -> None:
        """Execute the actions of the state machine."""
        for action in actions:
            if isinstance(action, StartAttempt):
                # The actions before it may have ended the request.
                if self.is_current(action.attempt_id):
                    self._start_attempt(action)
            elif isinstance(action, Emit):
                self._send_tokens(action)
            elif isinstance(action, ScheduleRetry):
                self._retry_timer = self.hub.timers.once(action.delay, self._start_retry)
            elif isinstance(action, CancelAttempt):
                self._cancel_attempt(action)
            elif isinstance(action, Complete):
                self._complete_answer()
            elif isinstance(action, Fail):
                self._fail_request(action)

    def _cancel_attempt(self, action: CancelAttempt) -> None:
        """Give up the attempt in flight, if any."""
        if self._handle is not None:
            self.log.info(
                "attempt cancelled",
                attempt=action.attempt_id,
                endpoint=self.endpoint_id,
                proxy=self.proxy_address,
                wrote=self._handle.wrote,
                sent_age=round(self.hub.now() - self._sent_at, 3),
            )
        self.record_abandoned()
        self._end_call()

    def _start_retry(self) -> None:
        self._retry_timer = None
        self.execute(self.machine.start())

    def _start_attempt(self, action: StartAttempt) -> None:
        """Start an attempt, unless the request is quarantined for crashing endpoints."""
        status = self.hub.guard.quarantine_status(self.identity)
        if status is QuarantineStatus.QUARANTINED:
            self.fail_quarantined()
        elif status is QuarantineStatus.TRIAL_DUE:
            self.hub.guard.claim_trial(
                self.identity, lambda is_granted: self._on_trial_reply(action, is_granted)
            )
        else:
            self.dispatch_attempt(action)

    def _on_trial_reply(self, action: StartAttempt, is_granted: bool) -> None:
        if not self.is_current(action.attempt_id):
            return
        if is_granted:
            self.is_trial = True
            self.dispatch_attempt(action)
        elif self.is_quarantined:
            self.fail_quarantined()
        else:
            self.dispatch_attempt(action)

    @property
    def is_quarantined(self) -> bool:
        """True if the request is quarantined and is not the trial request."""
        status = self.hub.guard.quarantine_status(self.identity)
        return not self.is_trial and status in (
            QuarantineStatus.QUARANTINED,
            QuarantineStatus.TRIAL_DUE,
        )

    def fail_quarantined(self) -> None:
        """Fail a quarantined request, cancelling an attempt in flight."""
        exc = self.hub.guard.find_rejection(self.identity)
        if exc is not None:
            self.log.info("request stopped by the quarantine", **exc.log_fields)
            self.execute(self.machine.fail(exc.kind, exc.detail, exc.retry_after))

    def dispatch_attempt(self, action: StartAttempt) -> None:
        """Choose an endpoint for an attempt and send it there."""
        if not self.hub.directory.is_current():
            self._defer_outdated(action)
            return
        chosen = self.hub.choose_endpoint(
            self, action.exclude, self._permit_claims.is_exhausted(action)
        )
        if chosen is None:
            self._defer_without_endpoint(action)
            return
        delay = self._compute_postponement(chosen)
        if delay > 0:
            self.hub.metrics.count("retries_total", reason="postponed")
            self.execute(self.machine.postpone(action.attempt_id, self.hub.now(), delay))
        elif self.hub.permits.is_required(chosen.endpoint_id):
            self._permit_claims.claim_permit(action, chosen)
        else:
            self.record_and_send(action, chosen)

    def _defer_outdated(self, action: StartAttempt) -> None:
        """Reject a request that was not sent yet; let another one wait until endpoints are known.

        Notes
        -----
        What has run can't be repeated elsewhere by its caller without loss.
        """
        if self.machine.ran is Executed.NO:
            kind, retry_after = ErrorKind.ENDPOINTS_OUTDATED, self.hub.outdated_retry_after()
            self.execute(self.machine.fail(kind, "", retry_after))
            return
        self.hub.metrics.count("retries_total", reason="endpoints_outdated")
        delay = OUTDATED_RETRY_SECONDS * (1 + self.hub.rng.random())
        self.execute(self.machine.postpone(action.attempt_id, self.hub.now(), delay))

    def _defer_without_endpoint(self, action: StartAttempt) -> None:
        """Schedule another choice of an endpoint, or reject the request if that takes too long."""
        delay = self.hub.choice_retry_delay(self.record.service.name, self.ticket.share.priority)
        self.hub.metrics.count("retries_total", reason="no_endpoint")
        self.execute(self.machine.defer_without_endpoint(action.attempt_id, self.hub.now(), delay))

    def _compute_postponement(self, chosen: Candidate) -> float:
        """Return the seconds for which an attempt yields to more urgent requests; 0 for none."""
        return 0.0

    def record_and_send(self, action: StartAttempt, chosen: Candidate) -> None:
        """Send an attempt, after its write-ahead intent record if the request is suspect."""
        if self._attempt_intents.requires_record():
            self._attempt_intents.record_attempt(action, chosen)
        else:
            self.send_attempt(action, chosen)

    def send_attempt(self, action: StartAttempt, chosen: Candidate) -> None:
        """Send an attempt to an endpoint."""
        self.hub.metrics.count("attempts_total", service=self.record.service.name)
        self.log.debug("attempt started", attempt=action.attempt_id, endpoint=chosen.endpoint_id)
        self.endpoint_id = chosen.endpoint_id
        self.endpoint_address = chosen.address
        self._sent_at = self.hub.now()
        self.has_response = False
        self.hub.backoffs.record_send(chosen.endpoint_id)
        self.hub.directory.record_attempt_start(chosen.endpoint_id)
        self.hub.guard.record_send(chosen.endpoint_id, self.identity)
        listener = self._make_listener(action.attempt_id, chosen)
        self._handle, self.proxy_address = self.hub.paths.start(
            PathRequest(
                chosen.endpoint_id, self.request_id, self._build_call(action, chosen), listener
            )
        )

    def _end_call(self, cancel: bool = True) -> None:
        """Stop tracking the call in flight, if any.

        Parameters
        ----------
        cancel : bool
            False if the call has ended or its remaining data should still be read.
        """
        handle, self._handle = self._handle, None
        self.proxy_address = ""
        self._permit_claims.release()
        if handle is None:
            return
        if handle.wrote:
            self.machine.record_write(self.machine.attempt_id)
        self._attempt_intents.close_current()
        if cancel:
            handle.cancel()
        self.hub.directory.record_attempt_end(self.endpoint_id)

    def fail_attempt(
        self,
        attempt_id: str,
        executed: Executed,
        reason: str,
        sent: bool = True,
        is_endpoint_failure: bool = True,
    ) -> None:
        """Handle an attempt that ended without a response.

        Parameters
        ----------
        executed : Ran
            Whether the endpoint ran the request.
        sent : bool
            False if no byte of the attempt can have reached the endpoint.
        is_endpoint_failure : bool
            False if the path to the endpoint failed.
        """
        if not self.is_current(attempt_id):
            return
        now = self.hub.now()
        if sent and is_endpoint_failure and self._counts_against_version(executed):
            self.hub.on_outcome(self.record.service.name, self.endpoint_id, True)
        if not sent or executed is Executed.NO:
            self._attempt_intents.withdraw()
        proxy_address = self.proxy_address
        was_written = self._handle is not None and self._handle.wrote
        self._end_call()
        self.hub.record_attempt_loss(
            self.record.service, self.endpoint_id, reason, is_endpoint_failure
        )
        self.log.info(
            "attempt failed",
            attempt=attempt_id,
            endpoint=self.endpoint_id,
            proxy=proxy_address,
            reason=reason,
            wrote=was_written,
            ran=executed.value,
        )
        self.execute(
            self.machine.handle_attempt_failure(
                attempt_id, self.endpoint_id, executed, now, reason, sent
            )
        )

    def _counts_against_version(self, executed: Executed) -> bool:
        """Return True if a failed attempt counts against the version of its endpoint."""
        return False

    def handle_call_failure(self, attempt_id: str, event: CallFailed) -> None:
        """Handle a call that ended without a response."""
        if event.reason == SEND_WITHDRAWN and not event.wrote:
            self._withdraw_attempt(attempt_id)
            return
        if event.detail:
            self.log.info(
                "malformed response",
                attempt=attempt_id,
                endpoint=self.endpoint_id,
                proxy=self.proxy_address,
                detail=event.detail,
            )
        executed = Executed.UNKNOWN if event.wrote else Executed.NO
        if event.by_proxy:
            if event.wrote:
                self.record_abandoned()
            reason = f"proxy: {event.reason}"
            self.fail_attempt(
                attempt_id, executed, reason, sent=event.wrote, is_endpoint_failure=False
            )
            return
        is_endpoint_failure = event.reason != NO_IDLE_CONNECTION
        if event.reason in NO_CONNECTION_REASONS:
            is_endpoint_failure = self._record_no_connection(event.reason)
        elif event.reason in ("timeout", "framing", "too large"):
            self.record_abandoned()
        elif event.reason == "reset" and event.wrote and not self._is_stale_connection(event):
            self.report_connection_loss(attempt_id)
            if not event.reused and not self.proxy_address and not self.has_response:
                self.hub.paths.monitor.record_unanswered(self.endpoint_id)
        self.fail_attempt(attempt_id, executed, event.reason, event.wrote, is_endpoint_failure)

    def _withdraw_attempt(self, attempt_id: str) -> None:
        """Choose again for an attempt that was not sent, which tells nothing about its endpoint."""
        if not self.is_current(attempt_id):
            return
        self._attempt_intents.withdraw()
        self._permit_claims.return_unused()
        self.log.info(
            "attempt withdrawn",
            attempt=attempt_id,
            endpoint=self.endpoint_id,
            proxy=self.proxy_address,
            started_age=round(self.hub.now() - self._sent_at, 3),
        )
        self._end_call()
        self.hub.metrics.count("retries_total", reason=SEND_WITHDRAWN)
        self.execute(self.machine.withdraw_attempt(attempt_id, self.hub.now()))

    def _record_no_connection(self, reason: str) -> bool:
        """Record that no connection was established; return False if the path may be lost."""
        paths, endpoint_id = self.hub.paths, self.endpoint_id
        if self.proxy_address:
            paths.record_unreached(endpoint_id, self.proxy_address)
            return True
        self.hub.directory.record_connect_failure(endpoint_id, self.hub.now(), reason == "refused")
        paths.monitor.record_failure(endpoint_id, reason)
        if reason == "refused":
            self.hub.guard.crash_detector.record_refused_attempt(endpoint_id)
        return not paths.monitor.is_lost(endpoint_id)

    def _is_stale_connection(self, event: CallFailed) -> bool:
        """Return True if the attempt used a connection that was already closed by the endpoint."""
        return event.reused and self.hub.now() - self._sent_at < STALE_ATTEMPT_SECONDS

    def report_connection_loss(self, attempt_id: str) -> None:
        """Report that the connection of the current attempt was lost before the response ended."""
        if self.is_current(attempt_id):
            self.hub.guard.crash_detector.record_connection_loss(
                self.endpoint_id, self.endpoint_address, self.describe_interruption()
            )

    def record_abandoned(self) -> None:
        """Record that the attempt in flight is given up, if its endpoint may run it."""
        if self._handle is not None and self._handle.wrote and self.endpoint_id:
            self.hub.guard.crash_detector.record_abandoned_attempt(
                self.endpoint_id, self.describe_interruption()
            )

    def describe_interruption(self) -> InterruptedRequest:
        """Return what the loss of the current attempt's connection tells about the request."""
        return InterruptedRequest(
            self.fingerprint, self.identity.parts, seconds=self.hub.now() - self._sent_at
        )

    def _send_tokens(self, action: Emit) -> None:
        for each in list(self.attachments):
            if each.wants_tokens and not each.send_tokens(action.offset, action.tokens):
                self._abort_slow_consumer(each)

    def _abort_slow_consumer(self, attachment: Attachment) -> None:
        """Disconnect a consumer that reads too slowly; it can reattach for the rest."""
        self.hub.metrics.count("refusals_total", kind=ErrorKind.SLOW_READER.value)
        attachment.abort()
        self._on_disconnect(attachment)

    @abstractmethod
    def _complete_answer(self) -> None:
        """Build the final answer and finish the request."""

    def _fail_request(self, action: Fail) -> None:
        ran = Executed.YES if action.kind is ErrorKind.CRASHES_ENDPOINTS else action.ran
        exc = RequestError(action.kind, action.detail, ran, self._compute_retry_after(action))
        self.log.info(
            "request failed",
            kind=action.kind.value,
            ran=action.ran.value,
            retry_after=exc.retry_after,
        )
        self._finish(None, exc)

    def _compute_retry_after(self, action: Fail) -> float | None:
        """Return the seconds for Retry-After, at least until an endpoint accepts requests again."""
        service, priority = self.record.service.name, self.ticket.share.priority
        if self.hub.seconds_until_open(service, priority) <= 0:
            return action.retry_after
        return max(action.retry_after or 0.0, self.hub.choice_retry_delay(service, priority))

    def _finish(self, answer: StoredAnswer | None, exc: RequestError | None) -> None:
        """Send the final answer or error to all consumers.

        Notes
        -----
        No error states that the request was not executed unless the state machine says so.
        """
        if exc is not None and exc.ran is Executed.NO:
            exc = exc.with_execution(self.machine.ran)
        if exc is not None:
            self._record_error(exc)
        self._clean_up()
        self.answer = answer
        if exc is not None:
            self.hub.metrics.count("refusals_total", kind=exc.kind.value)
        detached, self.attachments = self.attachments, []
        for each in detached:
            each.detach()
            if answer is not None:
                each.send_answer(answer)
            else:
                each.send_error(exc)
        if self.on_finished is not None:
            self.on_finished(answer, exc)
        self.hub.remove_request(self)

    def _record_error(self, exc: RequestError) -> None:  # noqa: B027
        """Record the error with which the request ends; does nothing by default."""

    def _clean_up(self) -> None:
        self._end_call()
        for timer in (self._deadline_timer, self._retry_timer, self._grace_timer):
            if timer is not None:
                timer.cancel()

    def freeze(self) -> RequestRecord:
        """Stop extending the answer permanently and return the record to hand over."""
        self.execute(self.machine.freeze())
        self._clean_up()
        return self.to_record()

    def adopt_attachments(self, frozen: "ActiveRequest") -> None:
        """Take over the consumers and callback of the frozen request that this one resumes."""
        self.accepted_at = frozen.accepted_at
        self.on_finished = frozen.on_finished
        detached, frozen.attachments = frozen.attachments, []
        for each in detached:
            self.attach(each)

    def to_record(self) -> RequestRecord:
        """Return a record of the current progress, with the next hand-over number."""
        seconds_left = self.machine.facts.deadline - self.hub.now()
        return replace(
            self.record,
            tokens=tuple(self.machine.assembler.tokens),
            ran=self.machine.ran,
            epoch=self.record.epoch + 1,
            deadline_left=max(0.0, seconds_left),
        )

    def notify_moved(self) -> None:
        """Tell all consumers that the request continues at another entry VM."""
        detached, self.attachments = self.attachments, []
        for each in detached:
            each.detach()
            each.send_moved(self.machine.assembler.offset)
        self.hub.remove_request(self)
