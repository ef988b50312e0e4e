"""Records requests in the store before they are sent, while something speaks for that.

All that a process knows of its requests ends with it. What it has recorded does not: a process that
starts later reads the records, finds out which of their endpoints have ended, and tells its guard.
`flamingofront.decisions.send_intents` decides what is recorded.

A request of which no unanswered send is known is sent at once, its record goes out just before it.
Any other waits for its record, for a bounded time only, and not at all while the store does not
answer: it is sent then, and recorded as soon as the store takes it.
"""

from collections.abc import Callable
from dataclasses import dataclass

from flamingofront.decisions.quarantine_facts import is_expired
from flamingofront.decisions.send_intents import (
    UNANSWERED_WAIT_SECONDS,
    IntentPolicy,
    IntentRecord,
    SendIntent,
)
from flamingofront.errors import PlatformError
from flamingofront.messages import Sleep
from flamingofront.process.backoff import Backoff
from flamingofront.process.former_sends import RecoveredIntents, SenderProcess
from flamingofront.process.intent_rows import IntentRows, VersionedRecord
from flamingofront.process.intent_state import RecordCache, WriteRateLimiter
from flamingofront.process.services import Services
from flamingofront.process.tasks import Task
from flamingofront.process.timers import Timer
from flamingofront.request.host import RequestHost
from flamingofront.request.intent_gate import IntentHandle, IntentLog, RecordOutcome, SendDetails

__all__ = ["IntentRecorder"]

# Longest wait for a record: an eighth of the tightest latency objective (0.3 s); the store usually
# answers in 4 ms.
RECORD_WAIT_SECONDS = 0.04
# A record that could not be made for so long after its request was sent is given up.
GIVE_UP_SECONDS = 2.0
# Transactions a second of one process, and of all together: what the smallest store takes from all
# is 400.
MAX_WRITES_PER_SECOND = 25.0
ALL_WRITES_PER_SECOND = 150.0
# Rows of one transaction: half of what the platform takes, as each has a condition, too.
MAX_ROWS = 50
# Requests that wait for a record: more are not recorded.
MAX_PENDING = 256
# Pause between removals of records that are no longer needed.
REMOVE_SECONDS = 1.0
# A send that ended without an answer stays recorded for so long: its endpoint may have ended, which
# shows at the latest when its row lapses.
KEPT_SECONDS = 5.0
# Pause between two looks at what is too old.
FORGET_SECONDS = 60.0
_BACKOFF = Backoff(0.1, 1.0)


@dataclass(eq=False)
class _Claim(IntentHandle):
    """One send that is recorded, or is to be."""

    recorder: "IntentRecorder"
    fingerprint: str
    intent: SendIntent
    then: Callable[[RecordOutcome], None] | None
    asked_at: float
    timer: Timer | None = None
    waited: bool = False
    asked_store: bool = False
    gone: bool = False

    def decide(self, outcome: RecordOutcome) -> None:
        """Let the request be sent, once."""
        if self.timer is not None:
            self.timer.cancel()
        then, self.then = self.then, None
        if then is not None:
            self.recorder.count(outcome)
            then(outcome)

    def withdraw(self) -> None:
        """Take note that the request was not sent."""
        self.recorder.remove(self)

    def close(self) -> None:
        """Take note that the endpoint has the request no more."""
        self.recorder.send_ended(self)


class IntentRecorder(IntentLog):
    """Records what one process sends, and reads what those before it had recorded.

    Parameters
    ----------
    sender : Sender
        This process.
    member_share : callable
        Returns this process's part of all entry processes.
    vanished : callable
        Returns a task that reads which endpoints vanished while no entry process ran.
    """

    def __init__(
        self,
        hub: RequestHost,
        rows: IntentRows,
        services: Services,
        sender: SenderProcess,
        member_share: Callable[[], float],
        vanished: Callable[[], Task] | None = None,
    ):
        self._guard = hub.guard
        self._rows = rows
        self._tasks = services.tasks
        self._timers = services.timers
        self._rng = services.rng
        self._metrics = services.metrics
        self._log = services.log
        self._sender = sender
        self._directory = hub.directory
        now = services.timers.now()
        self._policy = IntentPolicy() if sender.first_start else IntentPolicy(now)
        self._pace = WriteRateLimiter(
            lambda: min(MAX_WRITES_PER_SECOND, ALL_WRITES_PER_SECOND * member_share()), at=now
        )
        self._known = RecordCache()
        self._former = RecoveredIntents(hub, rows, services, sender, self._known, vanished)
        self._former.on_read = lambda: self._timers.once(
            KEPT_SECONDS, self._drop_former, relaxed=True
        )
        self._pending: list[_Claim] = []
        self._waiting: list[_Claim] = []
        # Sends of this process that no answer has cleared.
        self._own: dict[SendIntent, _Claim] = {}
        self._writing = False
        self._removing = False
        self._store_answers = True
        hub.guard.intents = self

    def start(self) -> None:
        """Read what was recorded before, and look for endpoints that ended with it."""
        self._timers.every(FORGET_SECONDS, self._forget_old, first=FORGET_SECONDS, relaxed=True)
        if self._sender.first_start:
            return
        self._former.start()

    def count(self, outcome: RecordOutcome) -> None:
        """Count a request that may be sent."""
        self._metrics.count("recorded_sends_total", result=outcome.value)

    # Asked by the attempts

    def requires_record(self, fingerprint: str, service: str) -> bool:
        """Tell whether a request to a service has to be recorded."""
        is_known = fingerprint in self._known.kept and fingerprint not in self._known.answered
        if is_known:
            return True
        if len(self._pending) + len(self._waiting) >= MAX_PENDING:
            return False
        return self._policy.must_record(fingerprint, service, self._timers.now())

    def record_send(
        self, facts: SendDetails, then: Callable[[RecordOutcome], None]
    ) -> IntentHandle:
        """Record a request; `then` is called, later, when it may be sent."""
        intent = SendIntent(
            facts.endpoint_id,
            facts.address,
            facts.zone,
            self._sender.vm_id,
            self._sender.incarnation,
            self._guard.wall(),
        )
        claim = _Claim(self, facts.fingerprint, intent, then, self._timers.now())
        self._own[intent] = claim
        self._queue(claim)
        if claim.waited:
            return claim
        if claim.fingerprint in self._known.kept:
            wait = self._longest_wait()
            claim.timer = self._timers.once(wait, lambda: self._not_in_time(claim))
        else:
            # Nothing speaks against it: its record, already on its way, is not waited for.
            claim.timer = self._timers.once(0.0, lambda: claim.decide(RecordOutcome.CONCURRENT))
        return claim

    def _longest_wait(self) -> float:
        """Return for how long a request may wait: not at all if it would wait in vain."""
        is_paced = self._pace.wait(self._timers.now()) > RECORD_WAIT_SECONDS
        return 0.0 if is_paced or not self._store_answers else RECORD_WAIT_SECONDS

    def _not_in_time(self, claim: _Claim) -> None:
        """Let a request be sent without its record."""
        if claim.asked_store and self._store_answers:
            self._store_answers = False
            self._log.info("requests are sent before they are recorded", work=claim.fingerprint)
        if claim.asked_store or not self._store_answers:
            claim.decide(RecordOutcome.TIMED_OUT)
        else:
            claim.decide(RecordOutcome.RATE_LIMITED)

    def record_response(self, fingerprint: str) -> None:
        """Take note that an endpoint has answered a request."""
        if not self._own and not self._known.kept:
            return
        self._policy.record_response(fingerprint)
        for claim in [each for each in self._own.values() if each.fingerprint == fingerprint]:
            self._forget(claim)
            claim.decide(RecordOutcome.NOT_NEEDED)
        if fingerprint in self._known.kept:
            self._known.answered[fingerprint] = None
            self._remove_soon()

    def send_ended(self, claim: _Claim) -> None:
        """Take note that a send has ended; its endpoint may have, too."""
        if claim.intent in self._own:
            self._timers.once(KEPT_SECONDS, lambda: self._settle(claim), relaxed=True)

    def _settle(self, claim: _Claim) -> None:
        if claim.intent.endpoint_id not in self._guard.quarantine.get_crashed_endpoints():
            self.remove(claim)

    def remove(self, claim: _Claim) -> None:
        """Remove a send from its record: nothing came of it."""
        if claim.intent not in self._own:
            return
        self._forget(claim)
        if claim.intent in self._known.record(claim.fingerprint).sends:
            self._known.changed[claim.fingerprint] = None
            self._remove_soon()

    def _forget(self, claim: _Claim) -> None:
        claim.gone = True
        self._own.pop(claim.intent, None)

    def known_records(self) -> tuple[IntentRecord, ...]:
        """Return what is known to be recorded."""
        return tuple(each.record for each in self._known.kept.values())

    def count_waiting(self, fingerprint: str) -> int:
        """Return how many requests wait for a record, or for the outcome of earlier sends."""
        claims = (*self._pending, *self._waiting)
        return sum(each.fingerprint == fingerprint and each.then is not None for each in claims)

    # What ended with no witness

    def record_unobserved_crash(self, endpoint_id: str) -> None:
        """Take note of an end about a restart at which nobody knows of a request."""
        service = self._directory.service_of(endpoint_id)
        if self._policy.record_unobserved_crash(endpoint_id, service, self._timers.now()):
            self._log.info(
                "requests are recorded before they are sent", service=service, endpoint=endpoint_id
            )
        own = {claim.fingerprint for claim in self._own.values()}
        changed = [each for each in self._known.kept if each in own]
        self._known.changed.update(dict.fromkeys(changed))
        if changed:
            self._remove_soon()

    def record_crash(self, endpoint_id: str) -> None:
        """Take note of an end: what was recorded there before may have caused it."""
        self._former.endpoint_ended(endpoint_id)

    def _forget_old(self) -> None:
        """Remove records whose sends are so old that they are no evidence any more."""
        now = self._guard.wall()
        for fingerprint, kept in self._known.kept.items():
            if all(is_expired(each.at, now) for each in kept.record.sends):
                self._known.answered[fingerprint] = None
        if self._known.answered:
            self._remove_soon()

    def rewrite_intents(self) -> None:
        """Record what is under way again: the store may have lost it with its return from a copy.

        Notes
        -----
        Versions of the time before stand for other content now, so all are read again.
        """
        self._known.kept.clear()
        for claim in list(self._own.values()):
            if claim not in self._pending:
                self._queue(claim)

    # Writing

    def _queue(self, claim: _Claim) -> None:
        self._pending.append(claim)
        if not self._writing:
            self._writing = True
            self._tasks.start(self._write())

    def _write(self) -> Task:
        """Record what is pending, at a bounded pace."""
        tries = 0
        while self._pending:
            wait = self._pace.wait(self._timers.now())
            if wait > 0:
                yield Sleep(wait)
                continue
            batch = self._next_batch()
            if not batch:
                continue
            self._pace.take()
            try:
                yield from self._write_batch(batch)
            except PlatformError as exc:
                self._not_written(batch, exc, tries)
                yield Sleep(_BACKOFF.compute_delay(tries, self._rng))
                tries += 1
            else:
                tries = 0
        self._writing = False

    def _next_batch(self) -> dict[str, list[_Claim]]:
        """Take what is pending, but for requests that have to wait for their earlier sends."""
        pending, self._pending = self._pending, []
        batch: dict[str, list[_Claim]] = {}
        for claim in pending:
            if claim.gone:
                continue
            if len(batch) >= MAX_ROWS and claim.fingerprint not in batch:
                self._pending.append(claim)
            elif self._must_wait(claim, batch.get(claim.fingerprint, [])):
                self._wait(claim)
            else:
                batch.setdefault(claim.fingerprint, []).append(claim)
        return batch

    def _must_wait(self, claim: _Claim, beside: list[_Claim]) -> bool:
        if claim.waited or claim.then is None:
            return False
        record = self._known.record(claim.fingerprint)
        record = record.with_sends(tuple(each.intent for each in beside))
        return self._policy.must_wait(record, self._former.last_alive)

    def _wait(self, claim: _Claim) -> None:
        """Let a request wait until it is known what its earlier sends did."""
        claim.waited = True
        if claim.timer is not None:
            claim.timer.cancel()
        self._waiting.append(claim)
        self._log.info(
            "send waits for earlier ones",
            work=claim.fingerprint,
            endpoints=[each.endpoint_id for each in self._known.record(claim.fingerprint).sends],
        )
        claim.timer = self._timers.once(UNANSWERED_WAIT_SECONDS, lambda: self._waited(claim))

    def _waited(self, claim: _Claim) -> None:
        self._waiting.remove(claim)
        if claim.gone:
            return
        claim.timer = self._timers.once(self._longest_wait(), lambda: self._not_in_time(claim))
        self._queue(claim)

    def _write_batch(self, batch: dict[str, list[_Claim]]) -> Task:
        """Write the records of some requests, all or none."""
        kept = tuple(
            VersionedRecord(self._next_record(name, claims), self._known.version(name))
            for name, claims in batch.items()
        )
        for claim in (claim for claims in batch.values() for claim in claims):
            claim.asked_store = True
        version = yield from self._rows.write(kept)
        if not version:
            yield from self._read_changed(batch)
            return
        self._store_is_back()
        for each in kept:
            self._known.take(VersionedRecord(each.record, version))
        for claim in (claim for claims in batch.values() for claim in claims):
            claim.decide(RecordOutcome.STORED)
            if claim.gone:
                self._removed_meanwhile(claim)

    def _next_record(self, fingerprint: str, claims: list[_Claim]) -> IntentRecord:
        record = self._known.record(fingerprint).with_unobserved(self._policy.get_unobserved())
        return record.with_sends(tuple(each.intent for each in claims))

    def _removed_meanwhile(self, claim: _Claim) -> None:
        """Remove the record of a send that was over before the store had it."""
        self._known.changed[claim.fingerprint] = None
        self._remove_soon()

    def _read_changed(self, batch: dict[str, list[_Claim]]) -> Task:
        """Read records that another process has changed, and try those sends again."""
        for fingerprint in batch:
            self._known.take((yield from self._rows.read(fingerprint)))
        self._pending += [claim for claims in batch.values() for claim in claims]

    def _not_written(self, batch: dict[str, list[_Claim]], exc: PlatformError, tries: int) -> None:
        """Try again later, but for what is too old."""
        self._metrics.count("platform_errors_total", operation="record_send")
        if tries == 0:
            self._log.warning("sends not recorded yet", work=list(batch), detail=str(exc))
        since = self._timers.now() - GIVE_UP_SECONDS
        claims = [claim for each in batch.values() for claim in each]
        self._pending = [each for each in claims if each.asked_at > since] + self._pending

    def _store_is_back(self) -> None:
        if not self._store_answers:
            self._store_answers = True
            self._log.info("requests are recorded in time again")

    # Removal

    def _drop_former(self) -> None:
        """Remove what this VM's process before has recorded at endpoints that are still there."""
        for kept in list(self._known.kept.values()):
            for send in kept.record.sends:
                is_former = send.vm_id == self._sender.vm_id and not self._former.is_own(send)
                if is_former and not self._former.has_ended(send.endpoint_id):
                    self._known.changed[kept.record.fingerprint] = None
        if self._known.changed:
            self._remove_soon()

    def _remove_soon(self) -> None:
        if not self._removing:
            self._removing = True
            self._timers.once(
                REMOVE_SECONDS, lambda: self._tasks.start(self._remove()), relaxed=True
            )

    def _remove(self) -> Task:
        """Remove what is no longer needed from the store, as far as one transaction goes."""
        try:
            yield from self._drop_answered()
            yield from self._rewrite_changed()
        except PlatformError as exc:
            self._metrics.count("platform_errors_total", operation="remove_recorded_sends")
            self._log.info("recorded sends not removed yet", detail=str(exc))
        self._removing = False
        if self._known.answered or self._known.changed:
            self._remove_soon()

    def _drop_answered(self) -> Task:
        names = list(self._known.answered)[:MAX_ROWS]
        if not names:
            return
        yield from self._rows.drop(names)
        for name in names:
            self._known.answered.pop(name, None)
            self._known.changed.pop(name, None)
            self._known.kept.pop(name, None)

    def _rewrite_changed(self) -> Task:
        names = [each for each in self._known.changed if each in self._known.kept][:MAX_ROWS]
        if not names:
            self._known.changed.clear()
            return
        kept = tuple(
            VersionedRecord(
                self._without_ended(self._known.record(name)), self._known.version(name)
            )
            for name in names
        )
        version = yield from self._rows.write(kept)
        if not version:
            for name in names:
                self._known.take((yield from self._rows.read(name)))
            return
        for name, each in zip(names, kept, strict=True):
            self._known.changed.pop(name, None)
            self._known.take(VersionedRecord(each.record, version))

    def _without_ended(self, record: IntentRecord) -> IntentRecord:
        """Return a record without the sends of this VM that are over."""
        for send in record.sends:
            is_expired = send not in self._own and not self._former.has_ended(send.endpoint_id)
            if send.vm_id == self._sender.vm_id and is_expired:
                record = record.without_send(send)
        return record.with_unobserved(self._policy.get_unobserved())
