"""One accepted request in this process: carries out the orders of its state machine."""

from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import replace

from flamingofront.connection.interfaces import CallEvent, CallHandle
from flamingofront.decisions.admission import Ticket
from flamingofront.decisions.choice import Candidate
from flamingofront.decisions.quarantine_facts import QuarantineStatus
from flamingofront.decisions.rollout import VersionRule
from flamingofront.errors import ErrorKind, Executed, RequestError
from flamingofront.messages import (
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
from flamingofront.request.fingerprint import compute_fingerprint
from flamingofront.request.guard import quarantine_error
from flamingofront.request.host import RequestHost
from flamingofront.request.intent_gate import AttemptIntents
from flamingofront.request.permit_claims import PermitClaims
from flamingofront.request.records import RequestRecord
from flamingofront.request.stored_answer import StoredAnswer

__all__ = ["NOT_CONNECTED", "ActiveRequest"]

# Reasons for which a call failed that never had a connection.
NOT_CONNECTED = frozenset({"connect", "refused"})
# A kept connection that is reset so soon after it was used again had been closed before: the way
# there and back, also to another region. Without this, four of 53,500 harmless requests were held
# on days on which endpoints ended for other reasons; requests crash them after 40 ms and more.
STALE_SECONDS = 0.03


class ActiveRequest(ABC):
    """What is common to model and plain requests.

    Parameters
    ----------
    record : RequestRecord
        The request as it was accepted or handed over.
    ticket : Ticket
        Its place in the admission.
    """

    # True if callers may come back for the answer.
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
        self._launched_at = 0.0
        self.fingerprint = compute_fingerprint(record)
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
        )
        self._handle: CallHandle | None = None
        self._retry_timer: Timer | None = None
        self._deadline_timer = hub.timers.once(record.deadline_left, self._on_deadline)
        self._grace_timer: Timer | None = None
        self._held_back = False
        self._is_due = False
        self._permit_claims = PermitClaims(self)
        self._attempt_intents = AttemptIntents(self)
        # True for the one attempt that may show that a request which is held back is harmless.
        self.is_trial = False

    @property
    def request_id(self) -> str:
        """Id of the request."""
        return self.record.request_id

    @property
    def done(self) -> bool:
        """True if the request has its final answer or went elsewhere."""
        return self.machine.phase in (Phase.DONE, Phase.FROZEN)

    @property
    def has_attempt_in_flight(self) -> bool:
        """True while an endpoint works on it, as far as is known here."""
        return self._handle is not None

    @property
    def can_hand_over(self) -> bool:
        """True if the request may be handed over now."""
        return not self.done and not self._held_back

    @property
    def needs_fresh_connection(self) -> bool:
        """True if a reset must tell whether the endpoint had the request."""
        if not self.record.may_repeat:
            return True
        return self.hub.guard.quarantine_status(self.fingerprint) is not QuarantineStatus.CLEAR

    @abstractmethod
    def _call(self, action: StartAttempt, chosen: Candidate) -> OutboundCall:
        """Return the call that starts an attempt."""

    @abstractmethod
    def _listener(self, attempt_id: str, chosen: Candidate) -> Callable[[CallEvent], None]:
        """Return what takes the events of an attempt."""

    @abstractmethod
    def prefix_blocks(self) -> tuple[str, ...]:
        """Return the prefix blocks of the request."""

    def shared_prefix(self) -> SharedPrefix | None:
        """Return the part of the prompt that other requests have too, if that is known."""
        return None

    def version_rule(self) -> VersionRule | None:
        """Return which versions the next attempt may go to; None if that makes no difference."""
        return None

    def defer_start(self) -> None:
        """Don't start before `allow_start`: something must be written first."""
        self._held_back = True

    def allow_start(self) -> None:
        """Start now if admission has let the request through meanwhile."""
        self._held_back = False
        if self._is_due:
            self.execute(self.machine.start())

    def start_first_attempt(self) -> None:
        """Start the first attempt, unless it is held back."""
        self._is_due = True
        if not self._held_back:
            self.execute(self.machine.start())

    def attach(self, attachment: Attachment) -> None:
        """Add a reader."""
        if self._grace_timer is not None:
            self._grace_timer.cancel()
            self._grace_timer = None
        attachment.on_gone = self._reader_gone
        self.attachments.append(attachment)

    def start_reattach_timer(self, seconds: float) -> None:
        """End the request if no reader comes within some seconds."""
        if self.record.job or self.attachments:
            return
        self._grace_timer = self.hub.timers.once(seconds, self._nobody_waits)

    def _reader_gone(self, attachment: Attachment) -> None:
        self.attachments.remove(attachment)
        if self.attachments or self.record.job or self.record.key or self.done:
            return
        if attachment.wants_tokens:
            self.start_reattach_timer(self.hub.settings.reattach_grace)
        else:
            self._nobody_waits()

    def _nobody_waits(self) -> None:
        if self.attachments or self.done:
            return
        self.hub.metrics.count("refusals_total", kind="caller_gone")
        self._sync_wrote()
        self.execute(self.machine.end_without_answer())
        self._end()
        self.hub.remove_request(self)

    def _on_deadline(self) -> None:
        self._sync_wrote()
        self.execute(self.machine.expire())

    def reject_unstarted(self, exc: RequestError) -> None:
        """End a request that never started with an error."""
        self.machine.end_without_answer()
        self._settle(None, exc)

    def replay_answer(self, answer: StoredAnswer) -> None:
        """End a request that never started with the answer of an earlier one."""
        self.machine.end_without_answer()
        readers, self.attachments = self.attachments, []
        for each in readers:
            each.detach()
            each.repeat(answer)
        self.cancel_unstarted()

    def cancel_unstarted(self) -> None:
        """End a request that never started; its reader is answered elsewhere."""
        self.machine.end_without_answer()
        self._end()
        self.hub.remove_request(self)

    def _sync_wrote(self) -> None:
        if self._handle is not None and self._handle.wrote and self.machine.attempt_id:
            self.machine.record_write(self.machine.attempt_id)

    def execute(self, actions: list[Action]) -> None:
        """Carry out the orders of the machine."""
        for action in actions:
            if isinstance(action, StartAttempt):
                self._start_attempt(action)
            elif isinstance(action, Emit):
                self._emit(action)
            elif isinstance(action, ScheduleRetry):
                self._retry_timer = self.hub.timers.once(action.delay, self._retry)
            elif isinstance(action, CancelAttempt):
                self._release()
            elif isinstance(action, Complete):
                self._complete()
            elif isinstance(action, Fail):
                self._fail(action)

    def _retry(self) -> None:
        self._retry_timer = None
        self.execute(self.machine.start())

    def _start_attempt(self, action: StartAttempt) -> None:
        """Start an attempt, unless the request has crashed the endpoints that ran it."""
        standing = self.hub.guard.quarantine_status(self.fingerprint)
        if standing is QuarantineStatus.QUARANTINED:
            self.fail_quarantined()
        elif standing is QuarantineStatus.TRIAL_DUE:
            self.hub.guard.claim_trial(
                self.fingerprint, lambda granted: self._trial_claimed(action, granted)
            )
        else:
            self.dispatch_attempt(action)

    def _trial_claimed(self, action: StartAttempt, granted: bool) -> None:
        if self.done or self.machine.attempt_id != action.attempt_id:
            return
        if granted:
            self.is_trial = True
            self.dispatch_attempt(action)
        else:
            self.fail_quarantined()

    @property
    def is_quarantined(self) -> bool:
        """True if it is not run any more; its own trial is."""
        standing = self.hub.guard.quarantine_status(self.fingerprint)
        return not self.is_trial and standing in (
            QuarantineStatus.QUARANTINED,
            QuarantineStatus.TRIAL_DUE,
        )

    def fail_quarantined(self) -> None:
        """End the request at once, also while an endpoint has it: it crashes what runs it."""
        hold = self.hub.guard.quarantine_entry(self.fingerprint)
        if hold is not None:
            exc = quarantine_error(hold, self.hub.guard.wall())
            self.execute(self.machine.fail(exc.kind, exc.detail))

    def dispatch_attempt(self, action: StartAttempt) -> None:
        """Choose an endpoint for an attempt and send it there."""
        chosen = self.hub.choose_endpoint(
            self, action.exclude, self._permit_claims.is_exhausted(action)
        )
        if chosen is None:
            self._no_endpoint(action)
            return
        delay = self._postponement(chosen)
        if delay > 0:
            self.hub.metrics.count("retries_total", reason="postponed")
            self.execute(self.machine.postpone(action.attempt_id, self.hub.now(), delay))
        elif self.hub.permits.is_required(chosen.endpoint_id):
            self._permit_claims.claim_permit(action, chosen)
        else:
            self.record_and_send(action, chosen)

    def _no_endpoint(self, action: StartAttempt) -> None:
        """Wait for an endpoint, or refuse the request if that takes too long."""
        delay = self.hub.choice_retry_delay(self.record.service.name, self.ticket.share.priority)
        self.hub.metrics.count("retries_total", reason="no_endpoint")
        self.execute(self.machine.defer_without_endpoint(action.attempt_id, self.hub.now(), delay))

    def _postponement(self, chosen: Candidate) -> float:
        """Return the seconds for which an attempt stands back for more urgent work; 0 for none."""
        return 0.0

    def record_and_send(self, action: StartAttempt, chosen: Candidate) -> None:
        """Send an attempt to an endpoint, after a record of it where one is needed."""
        if self._attempt_intents.requires_record():
            self._attempt_intents.record_attempt(action, chosen)
        else:
            self.send_attempt(action, chosen)

    def send_attempt(self, action: StartAttempt, chosen: Candidate) -> None:
        """Send an attempt to an endpoint."""
        self.hub.metrics.count("attempts_total", service=self.record.service.name)
        self.log.debug("attempt", attempt=action.attempt_id, endpoint=chosen.endpoint_id)
        self.endpoint_id = chosen.endpoint_id
        self.endpoint_address = chosen.address
        self._launched_at = self.hub.now()
        self.hub.backoffs.record_send(chosen.endpoint_id)
        self.hub.directory.record_attempt_start(chosen.endpoint_id)
        listener = self._listener(action.attempt_id, chosen)
        self._handle = self.hub.transport.start(self._call(action, chosen), listener)

    def _release(self, cancel: bool = True) -> None:
        """Note that the endpoint is free of the call in flight; give the call up if told so."""
        handle, self._handle = self._handle, None
        if handle is None:
            return
        self._attempt_intents.close_current()
        if cancel:
            handle.cancel()
        self.hub.directory.record_attempt_end(self.endpoint_id)

    def fail_attempt(
        self, attempt_id: str, executed: Executed, reason: str, sent: bool = True
    ) -> None:
        """An attempt ended without its answer; `sent` is False if nothing can have arrived."""
        if self.done or attempt_id != self.machine.attempt_id:
            return
        now = self.hub.now()
        if not sent or executed is Executed.NO:
            self._attempt_intents.withdraw()
        self._release()
        self.hub.record_attempt_loss(self.record.service, self.endpoint_id, executed, reason, now)
        self.log.info(
            "attempt lost",
            attempt=attempt_id,
            endpoint=self.endpoint_id,
            reason=reason,
            ran=executed.value,
        )
        self.execute(
            self.machine.handle_attempt_failure(
                attempt_id, self.endpoint_id, executed, now, reason, sent
            )
        )

    def handle_call_failure(self, attempt_id: str, event: CallFailed) -> None:
        """Judge a call that ended without a response."""
        if event.reason in NOT_CONNECTED:
            refused = event.reason == "refused"
            self.hub.directory.record_connect_failure(self.endpoint_id, self.hub.now(), refused)
        elif event.reason == "reset" and event.wrote and not self._was_stale(event):
            self.report_connection_loss(attempt_id)
        executed = Executed.UNKNOWN if event.wrote else Executed.NO
        self.fail_attempt(attempt_id, executed, event.reason, sent=event.wrote)

    def _was_stale(self, event: CallFailed) -> bool:
        """Tell whether an attempt went out on a connection whose endpoint had ended before."""
        return event.reused and self.hub.now() - self._launched_at < STALE_SECONDS

    def report_connection_loss(self, attempt_id: str) -> None:
        """Take note that the current attempt's connection ended before its answer did."""
        if not self.done and attempt_id == self.machine.attempt_id:
            self.hub.guard.crash_detector.record_connection_loss(
                self.endpoint_id, self.endpoint_address, self.fingerprint
            )

    def _emit(self, action: Emit) -> None:
        for each in list(self.attachments):
            if each.wants_tokens and not each.tokens(action.offset, action.tokens):
                self._drop_slow(each)

    def _drop_slow(self, attachment: Attachment) -> None:
        """Cut off a reader that is too far behind; it may come back for the rest."""
        self.hub.metrics.count("refusals_total", kind=ErrorKind.SLOW_READER.value)
        attachment.abort()
        self._reader_gone(attachment)

    @abstractmethod
    def _complete(self) -> None:
        """Make the final answer."""

    def _fail(self, action: Fail) -> None:
        ran = Executed.YES if action.kind is ErrorKind.CRASHES_ENDPOINTS else action.ran
        exc = RequestError(action.kind, action.detail, ran, self._retry_after(action))
        self.log.info(
            "request failed",
            kind=action.kind.value,
            ran=action.ran.value,
            retry_after=exc.retry_after,
        )
        self._settle(None, exc)

    def _retry_after(self, action: Fail) -> float | None:
        """Return when to come back: not before an endpoint takes the request, if none does now."""
        service, priority = self.record.service.name, self.ticket.share.priority
        if self.hub.seconds_until_open(service, priority) <= 0:
            return action.retry_after
        return max(action.retry_after or 0.0, self.hub.choice_retry_delay(service, priority))

    def _settle(self, answer: StoredAnswer | None, exc: RequestError | None) -> None:
        """Give the final answer to all readers, once."""
        self._end()
        self.answer = answer
        if exc is not None:
            self.hub.metrics.count("refusals_total", kind=exc.kind.value)
        readers, self.attachments = self.attachments, []
        for each in readers:
            each.detach()
            if answer is not None:
                each.complete(answer)
            else:
                each.failed(exc)
        if self.on_finished is not None:
            self.on_finished(answer, exc)
        self.hub.remove_request(self)

    def _end(self) -> None:
        self._release()
        for timer in (self._deadline_timer, self._retry_timer, self._grace_timer):
            if timer is not None:
                timer.cancel()

    def freeze(self) -> RequestRecord:
        """Stop the text for good and return the record to hand over."""
        self._sync_wrote()
        self.execute(self.machine.freeze())
        self._end()
        return self.to_record()

    def adopt_attachments(self, frozen: "ActiveRequest") -> None:
        """Take the readers of the frozen request that this one continues."""
        self.accepted_at = frozen.accepted_at
        self.on_finished = frozen.on_finished
        readers, frozen.attachments = frozen.attachments, []
        for each in readers:
            self.attach(each)

    def to_record(self) -> RequestRecord:
        """Return the record as it stands now."""
        left = self.machine.facts.deadline - self.hub.now()
        return replace(
            self.record,
            tokens=tuple(self.machine.assembler.tokens),
            ran=self.machine.ran,
            epoch=self.record.epoch + 1,
            deadline_left=max(0.0, left),
        )

    def moved(self) -> None:
        """Tell all readers that the request goes on at another entry VM."""
        readers, self.attachments = self.attachments, []
        for each in readers:
            each.detach()
            each.moved(self.machine.assembler.offset)
        self.hub.remove_request(self)
