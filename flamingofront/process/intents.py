"""Write-ahead log of requests in the store, versioned while a request may crash endpoints.

What a process knows of its requests is lost when it crashes; what it has recorded is not. A process
that starts later reads the records, finds out which of their endpoints have crashed, and passes
them to its guard as evidence. `flamingofront.decisions.send_intents` decides what is recorded.

A request without known unanswered sends is sent at once, and its record is written concurrently.
Any other request waits for its record, for a bounded time, and not at all while the store does not
respond: it is then sent first and recorded as soon as the store accepts the record.
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

# Longest wait of a request for its record: an eighth of the tightest latency objective (0.3 s). The
# store usually responds in 4 ms.
RECORD_WAIT_SECONDS = 0.04
# Time after which a record that could not be written is given up.
RECORD_TIMEOUT_SECONDS = 2.0
# Rate limits of transactions, of one process and of all together. The smallest store accepts 400 a
# second from all clients.
MAX_PROCESS_WRITES_PER_SECOND = 25.0
MAX_CLUSTER_WRITES_PER_SECOND = 150.0
# Half of the platform's limit on the rows of one transaction, because each row has a condition.
MAX_TRANSACTION_ROWS = 50
# Sends that may be queued for a record; further ones are sent without a record.
MAX_PENDING_SENDS = 256
# Interval between deletions of records that are no longer needed.
CLEANUP_INTERVAL_SECONDS = 1.0
# Time for which a send without a response stays recorded. Its endpoint may have crashed, which is
# noticed at the latest when the row of the endpoint expires.
UNANSWERED_RETENTION_SECONDS = 5.0
# Interval between two searches for records that are too old to be evidence.
EXPIRY_CHECK_SECONDS = 60.0
_BACKOFF = Backoff(0.1, 1.0)


@dataclass(eq=False)
class _SendHandle(IntentHandle):
    """A send whose record is stored or pending.

    Parameters
    ----------
    on_ready : callable or None
        Called with the outcome when the request may be sent; None once it was called.
    requested_at : float
        Time of the request for the record, on the clock of the timer service.
    has_waited : bool
        True if the send was delayed until the outcome of earlier sends of the request was known.
    is_submitted : bool
        True if the record was part of a transaction that was sent to the store.
    is_removed : bool
        True if the record is no longer needed.
    """

    recorder: "IntentRecorder"
    fingerprint: str
    intent: SendIntent
    on_ready: Callable[[RecordOutcome], None] | None
    requested_at: float
    timer: Timer | None = None
    has_waited: bool = False
    is_submitted: bool = False
    is_removed: bool = False

    def resolve(self, outcome: RecordOutcome) -> None:
        """Call `on_ready` with the outcome, unless it was called before."""
        if self.timer is not None:
            self.timer.cancel()
        on_ready, self.on_ready = self.on_ready, None
        if on_ready is not None:
            self.recorder.count_outcome(outcome)
            on_ready(outcome)

    def withdraw(self) -> None:
        """Remove the record because the request was not sent or not run."""
        self.recorder.remove_send(self)

    def close(self) -> None:
        """Record that the attempt is over, as far as this process knows."""
        self.recorder.close_send(self)


class IntentRecorder(IntentLog):
    """Intent log of one process, which also recovers the intents of earlier incarnations.

    Parameters
    ----------
    sender : SenderProcess
        Identity of this process.
    member_share : callable
        Returns the share of the cluster-wide write rate that this process may use, from 0 to 1.
    read_unobserved_removals : callable
        Returns a task that reads which endpoints were removed while no entry process ran.
    """

    def __init__(
        self,
        hub: RequestHost,
        rows: IntentRows,
        services: Services,
        sender: SenderProcess,
        member_share: Callable[[], float],
        read_unobserved_removals: Callable[[], Task] | None = None,
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
        self._rate_limiter = WriteRateLimiter(
            lambda: min(
                MAX_PROCESS_WRITES_PER_SECOND, MAX_CLUSTER_WRITES_PER_SECOND * member_share()
            ),
            at=now,
        )
        self._cache = RecordCache()
        self._recovered = RecoveredIntents(
            hub, rows, services, sender, self._cache, read_unobserved_removals
        )
        self._recovered.on_recovered = lambda: self._timers.once(
            UNANSWERED_RETENTION_SECONDS, self._remove_earlier_sends, relaxed=True
        )
        self._pending: list[_SendHandle] = []
        self._waiting: list[_SendHandle] = []
        # Sends of this process to which no endpoint has responded.
        self._local_sends: dict[SendIntent, _SendHandle] = {}
        self._is_writing = False
        self._is_cleanup_scheduled = False
        self._is_store_responsive = True
        hub.guard.intents = self

    def start(self) -> None:
        """Recover the intents of earlier incarnations and start the removal of expired records."""
        self._timers.every(
            EXPIRY_CHECK_SECONDS, self._mark_expired, first=EXPIRY_CHECK_SECONDS, relaxed=True
        )
        if self._sender.first_start:
            return
        self._recovered.start()

    def count_outcome(self, outcome: RecordOutcome) -> None:
        """Count a request that may be sent, by the state of its record."""
        self._metrics.count("recorded_sends_total", result=outcome.value)

    # Interface of the attempts

    def requires_record(self, fingerprint: str, service: str) -> bool:
        """Return True if a request to a service has to be recorded before it is sent."""
        has_record = (
            fingerprint in self._cache.by_fingerprint and fingerprint not in self._cache.to_delete
        )
        if has_record:
            return True
        if len(self._pending) + len(self._waiting) >= MAX_PENDING_SENDS:
            return False
        return self._policy.must_record(fingerprint, service, self._timers.now())

    def record_send(
        self, details: SendDetails, on_ready: Callable[[RecordOutcome], None]
    ) -> IntentHandle:
        """Record a send and call `on_ready`, always later, when the request may be sent."""
        intent = SendIntent(
            details.endpoint_id,
            details.address,
            details.zone,
            self._sender.vm_id,
            self._sender.incarnation,
            self._guard.wall(),
            details.parts,
        )
        handle = _SendHandle(self, details.fingerprint, intent, on_ready, self._timers.now())
        self._local_sends[intent] = handle
        self._enqueue(handle)
        if handle.has_waited:
            return handle
        if handle.fingerprint in self._cache.by_fingerprint:
            wait = self._get_max_record_wait()
            handle.timer = self._timers.once(wait, lambda: self._on_record_timeout(handle))
        else:
            # No earlier send of the request is known, so it is sent while its record is written.
            handle.timer = self._timers.once(0.0, lambda: handle.resolve(RecordOutcome.CONCURRENT))
        return handle

    def _get_max_record_wait(self) -> float:
        """Return the seconds for which a request may wait for its record.

        This is zero if the store does not respond or the rate limit delays the record for longer.
        """
        is_rate_limited = self._rate_limiter.refill(self._timers.now()) > RECORD_WAIT_SECONDS
        return 0.0 if is_rate_limited or not self._is_store_responsive else RECORD_WAIT_SECONDS

    def _on_record_timeout(self, handle: _SendHandle) -> None:
        """Let a request be sent although its record is not stored yet."""
        if handle.is_submitted and self._is_store_responsive:
            self._is_store_responsive = False
            self._log.info("store unresponsive, sending before recording", work=handle.fingerprint)
        if handle.is_submitted or not self._is_store_responsive:
            handle.resolve(RecordOutcome.TIMED_OUT)
        else:
            handle.resolve(RecordOutcome.RATE_LIMITED)

    def record_response(self, fingerprint: str) -> None:
        """Delete the records of a request to which an endpoint has responded."""
        if not self._local_sends and not self._cache.by_fingerprint:
            return
        self._policy.record_response(fingerprint)
        for handle in [
            each for each in self._local_sends.values() if each.fingerprint == fingerprint
        ]:
            self._stop_tracking(handle)
            handle.resolve(RecordOutcome.NOT_NEEDED)
        if fingerprint in self._cache.by_fingerprint:
            self._cache.to_delete[fingerprint] = None
            self._schedule_cleanup()

    def close_send(self, handle: _SendHandle) -> None:
        """Remove a send that is over, after a delay in which a crash of its endpoint shows."""
        if handle.intent in self._local_sends:
            self._timers.once(
                UNANSWERED_RETENTION_SECONDS,
                lambda: self._remove_unless_crashed(handle),
                relaxed=True,
            )

    def _remove_unless_crashed(self, handle: _SendHandle) -> None:
        """Remove a send from its record if its endpoint has not crashed."""
        if handle.intent.endpoint_id not in self._guard.quarantine.get_crashed_endpoints():
            self.remove_send(handle)

    def remove_send(self, handle: _SendHandle) -> None:
        """Remove a send from its record, because it is no evidence against the request."""
        if handle.intent not in self._local_sends:
            return
        self._stop_tracking(handle)
        if handle.intent in self._cache.get_record(handle.fingerprint).sends:
            self._cache.to_rewrite[handle.fingerprint] = None
            self._schedule_cleanup()

    def _stop_tracking(self, handle: _SendHandle) -> None:
        """Stop tracking a send, and drop its record if that is still queued."""
        handle.is_removed = True
        self._local_sends.pop(handle.intent, None)

    def known_records(self) -> tuple[IntentRecord, ...]:
        """Return the recorded intents that this process knows."""
        return tuple(each.record for each in self._cache.by_fingerprint.values())

    def count_waiting(self, fingerprint: str) -> int:
        """Return the number of requests that wait for their record or for earlier sends."""
        handles = (*self._pending, *self._waiting)
        return sum(
            each.fingerprint == fingerprint and each.on_ready is not None for each in handles
        )

    # Crashes and expiry

    def record_unobserved_crash(self, endpoint_id: str) -> None:
        """Record a crash close to a restart, at which no process knows of a request.

        Any recorded request may have caused it, so this process adds the endpoint to its records.
        """
        service = self._directory.service_of(endpoint_id)
        if self._policy.record_unobserved_crash(endpoint_id, service, self._timers.now()):
            self._log.info("recording of sends enabled", service=service, endpoint=endpoint_id)
        local = {handle.fingerprint for handle in self._local_sends.values()}
        changed = [each for each in self._cache.by_fingerprint if each in local]
        self._cache.to_rewrite.update(dict.fromkeys(changed))
        if changed:
            self._schedule_cleanup()

    def record_crash(self, endpoint_id: str) -> None:
        """Record that an endpoint has crashed, possibly under a recovered intent."""
        self._recovered.handle_crash(endpoint_id)

    def _mark_expired(self) -> None:
        """Mark records for deletion whose sends are too old to be evidence."""
        now = self._guard.wall()
        for fingerprint, versioned in self._cache.by_fingerprint.items():
            if all(is_expired(each.at, now) for each in versioned.record.sends):
                self._cache.to_delete[fingerprint] = None
        if self._cache.to_delete:
            self._schedule_cleanup()

    def rewrite_intents(self) -> None:
        """Record the sends in flight again after the store was restored from an older snapshot.

        Notes
        -----
        The store reuses versions after a restore, so the cached records are dropped and read again.
        """
        self._cache.by_fingerprint.clear()
        for handle in list(self._local_sends.values()):
            if handle not in self._pending:
                self._enqueue(handle)

    # Writes to the store

    def _enqueue(self, handle: _SendHandle) -> None:
        """Queue a record, and start the writer if it does not run."""
        self._pending.append(handle)
        if not self._is_writing:
            self._is_writing = True
            self._tasks.start(self._write_pending())

    def _write_pending(self) -> Task:
        """Write the queued records at a limited rate, until the queue is empty."""
        tries = 0
        while self._pending:
            wait = self._rate_limiter.refill(self._timers.now())
            if wait > 0:
                yield Sleep(wait)
                continue
            batch = self._take_batch()
            if not batch:
                continue
            self._rate_limiter.consume()
            try:
                yield from self._write_batch(batch)
            except PlatformError as exc:
                self._requeue_recent(batch, exc, tries)
                yield Sleep(_BACKOFF.compute_delay(tries, self._rng))
                tries += 1
            else:
                tries = 0
        self._is_writing = False

    def _take_batch(self) -> dict[str, list[_SendHandle]]:
        """Remove the next handles from the queue and return them by fingerprint.

        Sends that have to wait for the outcome of earlier ones are delayed instead.
        """
        pending, self._pending = self._pending, []
        batch: dict[str, list[_SendHandle]] = {}
        for handle in pending:
            if handle.is_removed:
                continue
            if len(batch) >= MAX_TRANSACTION_ROWS and handle.fingerprint not in batch:
                self._pending.append(handle)
            elif self._must_delay(handle, batch.get(handle.fingerprint, [])):
                self._delay_send(handle)
            else:
                batch.setdefault(handle.fingerprint, []).append(handle)
        return batch

    def _must_delay(self, handle: _SendHandle, batched: list[_SendHandle]) -> bool:
        """Return True if the request has too many unanswered sends, with those of this batch."""
        if handle.has_waited or handle.on_ready is None:
            return False
        record = self._cache.get_record(handle.fingerprint)
        record = record.with_sends(tuple(each.intent for each in batched))
        return self._policy.must_wait(record, self._recovered.last_alive)

    def _delay_send(self, handle: _SendHandle) -> None:
        """Delay a send until the outcome of the request's earlier sends is known."""
        handle.has_waited = True
        if handle.timer is not None:
            handle.timer.cancel()
        self._waiting.append(handle)
        self._log.info(
            "send delayed by unanswered earlier sends",
            work=handle.fingerprint,
            endpoints=[
                each.endpoint_id for each in self._cache.get_record(handle.fingerprint).sends
            ],
        )
        handle.timer = self._timers.once(
            UNANSWERED_WAIT_SECONDS, lambda: self._on_delay_over(handle)
        )

    def _on_delay_over(self, handle: _SendHandle) -> None:
        """Queue a delayed send again, unless it was removed meanwhile."""
        self._waiting.remove(handle)
        if handle.is_removed:
            return
        handle.timer = self._timers.once(
            self._get_max_record_wait(), lambda: self._on_record_timeout(handle)
        )
        self._enqueue(handle)

    def _write_batch(self, batch: dict[str, list[_SendHandle]]) -> Task:
        """Write the records of a batch in one transaction, and resolve its handles.

        If another process has changed one of the records, all are reloaded and queued again.
        """
        records = tuple(
            VersionedRecord(
                self._build_record(fingerprint, handles), self._cache.get_version(fingerprint)
            )
            for fingerprint, handles in batch.items()
        )
        for handle in (handle for handles in batch.values() for handle in handles):
            handle.is_submitted = True
        version = yield from self._rows.write(records)
        if not version:
            yield from self._reload_and_requeue(batch)
            return
        self._mark_store_responsive()
        for each in records:
            self._cache.update(VersionedRecord(each.record, version))
        for handle in (handle for handles in batch.values() for handle in handles):
            self._resolve_stored(handle)
            if handle.is_removed:
                self._remove_stored_send(handle)

    def _resolve_stored(self, handle: _SendHandle) -> None:
        try:
            handle.resolve(RecordOutcome.STORED)
        except Exception as exc:  # an exception for one request must not affect the others
            self._tasks.on_fault(exc)

    def _build_record(self, fingerprint: str, handles: list[_SendHandle]) -> IntentRecord:
        """Return the record of a request with further sends and the unobserved crashes."""
        record = self._cache.get_record(fingerprint).with_unobserved(self._policy.get_unobserved())
        return record.with_sends(tuple(each.intent for each in handles))

    def _remove_stored_send(self, handle: _SendHandle) -> None:
        """Schedule the removal of a send that was over before its record was stored."""
        self._cache.to_rewrite[handle.fingerprint] = None
        self._schedule_cleanup()

    def _reload_and_requeue(self, batch: dict[str, list[_SendHandle]]) -> Task:
        """Reload records that another process may have changed, and queue the sends again."""
        for fingerprint in batch:
            self._cache.update((yield from self._rows.read(fingerprint)))
        self._pending += [handle for handles in batch.values() for handle in handles]

    def _requeue_recent(
        self, batch: dict[str, list[_SendHandle]], exc: PlatformError, tries: int
    ) -> None:
        """Queue the sends of a failed batch again, except those that are too old."""
        self._metrics.count("platform_errors_total", operation="record_send")
        if tries == 0:
            self._log.warning("send intents not stored yet", work=list(batch), detail=str(exc))
        since = self._timers.now() - RECORD_TIMEOUT_SECONDS
        handles = [handle for each in batch.values() for handle in each]
        self._pending = [each for each in handles if each.requested_at > since] + self._pending

    def _mark_store_responsive(self) -> None:
        """Record that the store responds, so that requests wait for their records again."""
        if not self._is_store_responsive:
            self._is_store_responsive = True
            self._log.info("store responsive, recording before sending")

    # Deletion from the store

    def _remove_earlier_sends(self) -> None:
        """Remove sends of earlier incarnations of this VM at endpoints that have not crashed."""
        for versioned in list(self._cache.by_fingerprint.values()):
            for send in versioned.record.sends:
                is_earlier = send.vm_id == self._sender.vm_id and not self._recovered.is_local(send)
                if is_earlier and not self._recovered.has_crashed(send.endpoint_id):
                    self._cache.to_rewrite[versioned.record.fingerprint] = None
        if self._cache.to_rewrite:
            self._schedule_cleanup()

    def _schedule_cleanup(self) -> None:
        """Schedule the deletion of records that are no longer needed."""
        if not self._is_cleanup_scheduled:
            self._is_cleanup_scheduled = True
            self._timers.once(
                CLEANUP_INTERVAL_SECONDS, lambda: self._tasks.start(self._clean_up()), relaxed=True
            )

    def _clean_up(self) -> Task:
        """Delete and rewrite records that are no longer needed, one transaction for each.

        Schedules itself again if any are left or the store has failed.
        """
        try:
            yield from self._delete_records()
            yield from self._rewrite_records()
        except PlatformError as exc:
            self._metrics.count("platform_errors_total", operation="remove_recorded_sends")
            self._log.info("send intents not deleted yet", detail=str(exc))
        self._is_cleanup_scheduled = False
        if self._cache.to_delete or self._cache.to_rewrite:
            self._schedule_cleanup()

    def _delete_records(self) -> Task:
        """Delete the records of answered and expired requests, up to the transaction limit."""
        fingerprints = list(self._cache.to_delete)[:MAX_TRANSACTION_ROWS]
        if not fingerprints:
            return
        yield from self._rows.drop(fingerprints)
        for fingerprint in fingerprints:
            self._cache.to_delete.pop(fingerprint, None)
            self._cache.to_rewrite.pop(fingerprint, None)
            self._cache.by_fingerprint.pop(fingerprint, None)

    def _rewrite_records(self) -> Task:
        """Rewrite records without their closed sends; reload them if one of them has changed."""
        fingerprints = [
            each for each in self._cache.to_rewrite if each in self._cache.by_fingerprint
        ][:MAX_TRANSACTION_ROWS]
        if not fingerprints:
            self._cache.to_rewrite.clear()
            return
        records = tuple(
            VersionedRecord(
                self._drop_closed_sends(self._cache.get_record(fingerprint)),
                self._cache.get_version(fingerprint),
            )
            for fingerprint in fingerprints
        )
        version = yield from self._rows.write(records)
        if not version:
            for fingerprint in fingerprints:
                self._cache.update((yield from self._rows.read(fingerprint)))
            return
        for fingerprint, each in zip(fingerprints, records, strict=True):
            self._cache.to_rewrite.pop(fingerprint, None)
            self._cache.update(VersionedRecord(each.record, version))

    def _drop_closed_sends(self, record: IntentRecord) -> IntentRecord:
        """Return a record without the closed sends of this VM, and with unobserved crashes.

        A closed send stays if its endpoint has crashed.
        """
        for send in record.sends:
            is_closed = send not in self._local_sends and not self._recovered.has_crashed(
                send.endpoint_id
            )
            if send.vm_id == self._sender.vm_id and is_closed:
                record = record.without_send(send)
        return record.with_unobserved(self._policy.get_unobserved())
