"""Quarantine of poison requests, which crash the endpoints that run them, in one process.

`flamingofront.decisions.quarantine` decides on requests, by their fingerprints, and
`flamingofront.decisions.part_evidence` on the parts of their prompts. `RequestGuard` provides both
with crashes observed by this process and with gossip from other processes, and enforces their
decisions on the requests.
"""

from collections import OrderedDict, deque
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from flamingofront.decisions.gossip_scope import GossipScope
from flamingofront.decisions.part_facts import (
    InterruptedRequest,
    PartCrash,
    PartTimes,
    PartUpdate,
    RequestIdentity,
    parse_part_key,
    part_key,
)
from flamingofront.decisions.quarantine import (
    CRASHES_TO_PERSIST,
    MAX_ENTRIES,
    MAX_SUSPECTS,
    MAX_UNOBSERVED,
    PROPAGATION_SECONDS,
    Quarantine,
    is_near_restart,
)
from flamingofront.decisions.quarantine_facts import (
    EndpointCrash,
    QuarantineEntry,
    QuarantineStatus,
    QuarantineUpdate,
)
from flamingofront.errors import ErrorKind, Executed, RequestError
from flamingofront.process.logs import Log
from flamingofront.process.metrics import Metrics
from flamingofront.process.timers import TimerService
from flamingofront.request.endpoint_ends import CrashDetector
from flamingofront.request.fingerprint import identify_request
from flamingofront.request.intent_gate import IntentLog, NullIntentLog
from flamingofront.request.part_guard import PartGuard
from flamingofront.request.records import RequestRecord

if TYPE_CHECKING:
    from flamingofront.request.active import ActiveRequest

__all__ = ["Evidence", "RequestGuard"]

Evidence = Mapping[str, tuple[EndpointCrash, ...]]

# Period of the removal of expired entries.
CLEANUP_PERIOD_SECONDS = 10.0
# A caller that comes back sooner than the trial of a part is rejected again.
MIN_RETRY_SECONDS = 1.0
# Received updates are forwarded in batches, because tens of processes report the same crash.
GOSSIP_BATCH_SECONDS = 0.03
# Evidence that was refuted is deleted in batches, since each write costs a call to the store.
REFUTATION_BATCH_SECONDS = 2.0


@dataclass(frozen=True)
class _Source:
    """From whom this process has an entry, and the wall time of that in seconds."""

    name: str
    at: float


def _make_error(
    entry: QuarantineEntry, identity: RequestIdentity, source: _Source, wall: float
) -> RequestError:
    """Return the error for a quarantined request, with the crashes behind it."""
    ago, parts = max(0.0, wall - entry.since), sorted(parse_part_key(entry.fingerprint))
    log_fields = {
        "work": identity.fingerprint,
        "parts": parts,
        "endpoints": entry.endpoints,
        "last_end_age": round(ago, 3),
        "trials": entry.trials,
        "next_trial_in": round(entry.next_trial - wall, 1),
        "known_by": source.name,
        "known_age": round(wall - source.at, 3),
    }
    count = len(entry.endpoints)
    if not parts:
        return RequestError(
            ErrorKind.CRASHES_ENDPOINTS,
            f"{count} endpoints ended while they ran this request, the last one {ago:.1f} s ago; "
            "do not repeat it",
            log_fields=log_fields,
        )
    return RequestError(
        ErrorKind.PROMPT_PART_CRASHES,
        f"{count} endpoints ended under requests whose prompts hold {' and '.join(parts)}, the "
        f"last one {ago:.1f} s ago",
        retry_after=max(MIN_RETRY_SECONDS, entry.next_trial - wall),
        log_fields=log_fields,
    )


class RequestGuard:
    """Local state of the quarantine of poison requests and prompt parts.

    Parameters
    ----------
    active : callable
        Returns the requests in flight in this process.

    Attributes
    ----------
    quarantine : Quarantine
        Evidence against requests, and the entries of requests and parts.
    parts : PartGuard
        Evidence against prompt parts.
    wall : callable
        Returns the wall time on which the entry processes agree, in seconds.
    on_update : callable
        Called when this process has found something that the other processes need to know, which
        `build_update` and `build_part_update` return.
    on_received : callable
        Called when it has learned something from others, some of which cannot reach each other.
    on_quarantine_change : callable
        Called with each quarantine entry that is new or cleared, and True if this process detected
        the change itself.
    on_evidence : callable
        Called with the crashes to persist, by fingerprint or key of a part; the tuple is empty for
        a request or part that a response has cleared.
    on_endpoint_crash : callable
        Called with each endpoint that has crashed, whether observed here or reported.
    entry_start_times : callable
        Returns the start times of the known entry processes, as wall times in seconds.
    acquire_trial : callable
        Claims a trial exclusively for this process; gets the quarantine entry and a callback for
        the outcome.
    intents : IntentLog
        Write-ahead log of sends; a `NullIntentLog` by default.
    """

    def __init__(
        self,
        crash_detector: CrashDetector,
        timers: TimerService,
        metrics: Metrics,
        log: Log,
        active: Callable[[], Iterable["ActiveRequest"]],
    ):
        self.crash_detector = crash_detector
        crash_detector.on_crash = self._on_crash
        crash_detector.on_uncertain_crash = self._on_uncertain_crash
        crash_detector.has_unproven_part = lambda request: self.parts.is_unproven(request.parts)
        crash_detector.on_unobserved_crash = self._on_unobserved_crash
        crash_detector.on_crash_found = self._on_crash_found
        self.quarantine = Quarantine()
        self.wall: Callable[[], float] = timers.wall
        self.parts = PartGuard(self.quarantine, lambda: self.wall(), metrics, log)
        self.parts.list_running = self._list_running
        crash_detector.list_running = lambda endpoint_id: tuple(
            each for name, each in self._list_running() if name == endpoint_id
        )
        self.on_update: Callable[[], None] = lambda: None
        self.on_received: Callable[[], None] = lambda: self.on_update()
        self.on_quarantine_change: Callable[[QuarantineEntry, bool], None] = (
            lambda entry, is_local: None
        )
        self.on_evidence: Callable[[Evidence], None] = lambda evidence: None
        self.on_endpoint_crash: Callable[[str], None] = lambda endpoint_id: None
        self.entry_start_times: Callable[[], Sequence[float]] = lambda: ()
        self.acquire_trial: Callable[[QuarantineEntry, Callable[[bool], None]], None] = (
            lambda entry, done: done(False)
        )
        self.intents: IntentLog = NullIntentLog()
        self._timers = timers
        self._metrics = metrics
        self._log = log
        self._active = active
        # Endpoints that crashed while no process had a request there, as far as this process knows.
        self._unobserved: deque[str] = deque(maxlen=MAX_UNOBSERVED)
        # Fingerprints of requests whose connections were lost in crashes observed here, until the
        # reports of all processes have been received.
        self._observed_fingerprints: set[str] = set()
        # Fingerprints of requests whose crashes are in the store, as far as this process knows.
        self._persisted: OrderedDict[str, None] = OrderedDict()
        self._observed_parts: set[str] = set()
        # Keys of parts whose evidence in the store is to be deleted.
        self._refuted: set[str] = set()
        self._sources: OrderedDict[str, _Source] = OrderedDict()
        self._gossip_scheduled = False
        self._evaluation_scheduled = False
        self._is_load_pending = False
        timers.every(
            CLEANUP_PERIOD_SECONDS, self._remove_expired, first=CLEANUP_PERIOD_SECONDS, relaxed=True
        )

    # Quarantine status

    def quarantine_status(self, identity: RequestIdentity) -> QuarantineStatus:
        """Return the quarantine status of a request, by its fingerprint and its prompt parts."""
        if not self.quarantine:
            return QuarantineStatus.CLEAR
        now = self.wall()
        entries = self._find_entries(identity)
        if not entries:
            return self.quarantine.get_status(identity.fingerprint, now)
        statuses = {self.quarantine.get_status(each.fingerprint, now) for each in entries}
        if QuarantineStatus.QUARANTINED in statuses:
            return QuarantineStatus.QUARANTINED
        return QuarantineStatus.TRIAL_DUE

    def _find_entries(self, identity: RequestIdentity) -> list[QuarantineEntry]:
        """Return the entries that reject a request, those of its prompt parts first."""
        entry = self.quarantine.get_entry(identity.fingerprint)
        found = self.parts.match(identity.parts)
        return found if entry is None else [*found, entry]

    def find_rejection(self, identity: RequestIdentity) -> RequestError | None:
        """Return the error for a request that is quarantined; None if it is not."""
        now = self.wall()
        entries = self._find_entries(identity)
        if not entries:
            return None
        entry = max(entries, key=lambda each: each.next_trial)
        if parse_part_key(entry.fingerprint):
            self._metrics.count("part_refusals_total", part=entry.fingerprint)
        source = self._sources.get(entry.fingerprint, _Source("unknown", now))
        return _make_error(entry, identity, source, now)

    def suspects(self) -> frozenset[str]:
        """Return the fingerprints of requests that are suspect but not quarantined."""
        return self.quarantine.list_suspects(self.wall())

    def reject_quarantined(self, record: RequestRecord) -> None:
        """Reject a request that is quarantined.

        Raises
        ------
        RequestError
            If the request is quarantined; with the endpoints that it crashed.
        """
        if not self.quarantine:
            return
        identity = identify_request(record)
        if self.quarantine_status(identity) is QuarantineStatus.QUARANTINED:
            raise self.find_rejection(identity)

    def endpoints_to_avoid(self, request: "ActiveRequest") -> frozenset[str]:
        """Return the endpoints that a suspect request should avoid while there are others.

        Notes
        -----
        If two suspects run at one endpoint, its crash does not show which of them caused it. A
        trial request avoids the endpoints of all other requests of this process.
        """
        if not self.quarantine:
            return frozenset()
        if (
            not request.is_trial
            and self.quarantine_status(request.identity) is not QuarantineStatus.SUSPECTED
        ):
            return frozenset()
        return frozenset(
            each.endpoint_id
            for each in self._active()
            if each is not request
            and each.has_attempt_in_flight
            and self._must_separate(request, each)
        )

    def _must_separate(self, request: "ActiveRequest", other: "ActiveRequest") -> bool:
        if other.fingerprint == request.fingerprint:
            return True
        return (
            request.is_trial or self.quarantine_status(other.identity) is not QuarantineStatus.CLEAR
        )

    # Crashes and responses

    def _on_crash(self, crash: EndpointCrash, requests: tuple[InterruptedRequest, ...]) -> None:
        """Record a crash that this process has observed."""
        at = self.wall() - (self._timers.now() - crash.at)
        self.on_endpoint_crash(crash.endpoint_id)
        is_new = self.quarantine.record_crash(replace(crash, at=at), self.wall(), is_own=True)
        if self.parts.record_crash(crash, requests, at) or is_new:
            parts = {part for each in requests for part in each.parts}
            self._observed_fingerprints.update(crash.requests)
            # Parts of requests with events are stored once they were at two crashes.
            self._observed_parts.update(
                part for each in requests if not each.is_answered for part in each.parts
            )
            self._evaluate(is_local=True)
            self._persist_evidence(crash.requests, parts, CRASHES_TO_PERSIST)
            self.on_update()
        self.intents.record_crash(crash.endpoint_id)

    def _list_running(self) -> Iterable[tuple[str, InterruptedRequest]]:
        """Return the endpoint of each request in flight here, and what its loss would tell."""
        return (
            (each.endpoint_id, each.describe_interruption())
            for each in self._active()
            if each.has_attempt_in_flight
        )

    def _on_uncertain_crash(
        self, crash: EndpointCrash, requests: tuple[InterruptedRequest, ...]
    ) -> None:
        """Record that an endpoint has probably crashed.

        Notes
        -----
        If all endpoints of a VM crash, its paths seem to be lost, and peers cannot tell either.
        Parts may be blamed all the same, because an answer refutes such evidence.
        """
        at = self.wall() - (self._timers.now() - crash.at)
        if self.parts.record_crash(crash, requests, at):
            self._evaluate(is_local=True)
            self.on_update()

    def _is_recorded(self, endpoint_id: str) -> bool:
        return (
            endpoint_id in self.quarantine.get_crashed_endpoints()
            or endpoint_id in self._unobserved
        )

    def _on_unobserved_crash(self, endpoint_id: str) -> None:
        """Record a crash of an endpoint whose row was deleted while it had no local requests.

        The endpoint is probed first near a restart of an entry process, whose requests are not
        known, and if attempts were abandoned there: its row may be deleted while it serves on.
        """
        if self._is_recorded(endpoint_id):
            return
        is_doubtful = is_near_restart(self.wall(), self.entry_start_times())
        if is_doubtful or self.crash_detector.has_abandoned(endpoint_id):
            self.crash_detector.confirm_crash(
                endpoint_id, lambda: self._record_unobserved(endpoint_id, "row")
            )
        else:
            self._record_unobserved(endpoint_id, "row")

    def _record_unobserved(self, endpoint_id: str, source: str) -> None:
        """Record an unobserved crash; near a restart of an entry process, also in `intents`.

        The restarted process may be the one that had a request at the endpoint, so requests are
        recorded before they are sent from then on.
        """
        if endpoint_id in self._unobserved:
            return
        now, start_times = self.wall(), self.entry_start_times()
        self._unobserved.append(endpoint_id)
        self.quarantine.add_unobserved_crash(endpoint_id, now)
        self._log.info(
            "unobserved endpoint crash",
            endpoint=endpoint_id,
            source=source,
            **self.crash_detector.describe_abandoned(endpoint_id, since=0.0),
        )
        if is_near_restart(now, start_times):
            self.intents.record_unobserved_crash(endpoint_id)
        self.intents.record_crash(endpoint_id)
        self.crash_detector.record_known_crash(endpoint_id, self._timers.now())

    def _on_crash_found(self, endpoint_id: str) -> None:
        """Record and gossip an unobserved crash that this process is the first to find."""
        if self._is_recorded(endpoint_id):
            return
        self._record_unobserved(endpoint_id, "probe")
        zone, now = self.crash_detector.zone_of(endpoint_id), self.wall()
        self.quarantine.record_crash(EndpointCrash(endpoint_id, zone, now, ()), now, is_own=True)
        self.on_update()

    def _persist_evidence(
        self, fingerprints: Iterable[str], parts: Iterable[str], min_crashes: int
    ) -> None:
        """Persist the crashes of requests and parts that have at least `min_crashes` of them."""
        evidence = self.quarantine.collect_evidence(fingerprints, min_crashes)
        evidence |= self.parts.collect_evidence(parts, min_crashes)
        if evidence:
            self._mark_persisted(evidence)
            self.on_evidence(evidence)

    def _mark_persisted(self, fingerprints: Iterable[str]) -> None:
        self._persisted.update(dict.fromkeys(fingerprints))
        self._refuted.difference_update(fingerprints)
        while len(self._persisted) > MAX_SUSPECTS:
            self._persisted.popitem(last=False)

    def load_evidence(self, crashes: Iterable[EndpointCrash]) -> None:
        """Merge crashes under requests that were read from the store."""
        changes = []
        for each in crashes:
            self._mark_persisted(each.requests)
            changes.append(self.quarantine.record_crash(each, self.wall()))
        if any(changes):
            self._evaluate(is_local=False)

    def load_part_crashes(self, crashes: Iterable[PartCrash]) -> None:
        """Merge crashes with the prompt parts of the requests that were recorded there."""
        if any([self.parts.load_crash(each) for each in crashes]):
            self._evaluate_soon()

    def load_part_evidence(self, key: str, crashes: Iterable[EndpointCrash]) -> None:
        """Merge crashes under requests with a prompt part, given by its key, from the store."""
        self._mark_persisted((key,))
        if self.parts.load_evidence(key, crashes):
            self._evaluate_soon()

    def _evaluate_soon(self) -> None:
        """Schedule an evaluation: rows on the same crashes are read in the same moment."""
        if not self._is_load_pending:
            self._is_load_pending = True
            self._timers.once(GOSSIP_BATCH_SECONDS, self._evaluate_loaded)

    def _evaluate_loaded(self) -> None:
        self._is_load_pending = False
        self._evaluate(is_local=False)

    def record_response(self, fingerprint: str) -> None:
        """Record that an endpoint has responded to a request, which clears it."""
        self.intents.record_response(fingerprint)
        if not self.quarantine:
            return
        entry, now = self.quarantine.get_entry(fingerprint), self.wall()
        crashes = self.quarantine.get_crashes(fingerprint)
        if not self.quarantine.clear_request(fingerprint, now):
            return
        if entry is not None or fingerprint in self._persisted:
            self._persisted.pop(fingerprint, None)
            self.on_evidence({fingerprint: ()})
        if entry is not None:
            self._log_release(entry, "answered")
            self.on_quarantine_change(replace(entry, is_released=True), True)
        else:
            self._log.info(
                "request no longer suspect",
                work=fingerprint,
                reason="answered",
                endpoints=[each.endpoint_id for each in crashes],
            )
        self.on_update()

    def record_send(self, endpoint_id: str, identity: RequestIdentity) -> None:
        """Record that a request is sent to an endpoint."""
        if identity.parts:
            self.parts.evidence.exposure.record_request(identity.parts)
            self.crash_detector.record_attempt(
                endpoint_id, InterruptedRequest(identity.fingerprint, identity.parts)
            )

    def record_parts_answered(self, identity: RequestIdentity, evidence: str) -> None:
        """Record that an endpoint has answered a request in full, which no poison part survives.

        Parameters
        ----------
        evidence : str
            What was received of the answer, for the log.
        """
        if not identity.parts:
            return
        released, reduced, cleared = self.parts.record_answer(identity, evidence)
        for entry in released:
            self.release(entry, "answered")
        for entry in reduced:
            self._enforce_quarantine(entry, "reduced")
            self.on_quarantine_change(entry, True)
        for key in map(part_key, ((each,) for each in cleared)):
            if self._persisted.pop(key, self) is None:
                self._refute_stored(key)
        # Told with the next periodic message: many processes get answers with a common part.
        self.parts.evidence.mark_own_news(cleared, self.wall())
        if reduced:
            self.on_update()

    def _refute_stored(self, key: str) -> None:
        """Delete the stored evidence against a part, together with that against others."""
        if not self._refuted:
            self._timers.once(REFUTATION_BATCH_SECONDS, self._delete_refuted)
        self._refuted.add(key)

    def _delete_refuted(self) -> None:
        refuted, self._refuted = self._refuted, set()
        if refuted:
            self.on_evidence({key: () for key in sorted(refuted)})

    def release_work(self, work: str) -> bool:
        """Release a request or prompt part for an operator; return False if it is not quarantined.

        Parameters
        ----------
        work : str
            Fingerprint of the request, or key of the part.
        """
        entry = self.quarantine.get_entry(work)
        if entry is not None:
            self.release(entry, "operator")
        return entry is not None

    def release(self, entry: QuarantineEntry, reason: str) -> None:
        """Release a quarantined request or set of prompt parts everywhere."""
        if not self.quarantine.clear_request(entry.fingerprint, self.wall()):
            return
        self._log_release(entry, reason)
        self.on_quarantine_change(replace(entry, is_released=True), True)
        for larger in self.parts.forget(entry.fingerprint):
            self.release(larger, reason)
        self.on_update()

    def merge_updates(
        self,
        update: QuarantineUpdate | None,
        part_update: PartUpdate | None,
        part_times: PartTimes | None = None,
    ) -> None:
        """Merge the updates of another process on requests and on prompt parts."""
        if part_update is not None and self.parts.merge_update(part_update, part_times):
            self._evaluate(is_local=False)
            self._schedule_gossip()
        for crash in part_update.crashes if part_update is not None else ():
            self._attribute_crash(crash.endpoint_id, crash.at)
        if part_update is not None and self.parts.mark_unreported_answers(part_update):
            self.on_update()
        self.merge_update(update)

    def _attribute_crash(self, endpoint_id: str, at: float) -> None:
        """Attribute a crash that a peer reports to attempts that were abandoned here."""
        if self.crash_detector.has_abandoned(endpoint_id):
            now = self._timers.now()
            self.crash_detector.record_known_crash(endpoint_id, now - (self.wall() - at))

    def merge_update(self, update: QuarantineUpdate | None) -> None:
        """Merge an update from another process; None is ignored."""
        if update is None:
            return
        previous = {each.fingerprint: each for each in self.quarantine.list_entries()}
        previous_crashes = self.quarantine.get_crashed_endpoints()
        if not self.quarantine.merge_update(update, self.wall()):
            return
        for endpoint_id in self.quarantine.get_crashed_endpoints() - previous_crashes:
            self.on_endpoint_crash(endpoint_id)
            self._attribute_crash(endpoint_id, self._find_crash_time(endpoint_id))
            if self.quarantine.is_unattributed(endpoint_id):
                self._record_unobserved(endpoint_id, "peer")
            else:
                self.intents.record_crash(endpoint_id)
        self._apply_changes(previous, "peer")
        self._evaluate(is_local=False)
        self._schedule_gossip()

    def _find_crash_time(self, endpoint_id: str) -> float:
        """Return the time of the last known crash of an endpoint, now if there is none."""
        return self.quarantine.last_crash_at(endpoint_id) or self.wall()

    def load_entry(self, entry: QuarantineEntry) -> None:
        """Merge a quarantine entry that was read from the store."""
        previous = {each.fingerprint: each for each in self.quarantine.list_entries()}
        if self.quarantine.merge_entry(entry, self.wall()):
            self._apply_changes(previous, "store")
            self._schedule_gossip()

    def build_update(self, scope: GossipScope = GossipScope.ALL) -> QuarantineUpdate | None:
        """Return the update for other processes; None if there is nothing to send."""
        return self.quarantine.build_update(self.wall(), scope)

    def build_part_update(self, scope: GossipScope = GossipScope.ALL) -> PartUpdate | None:
        """Return the update on prompt parts for other processes; None if there is none."""
        return self.parts.evidence.build_update(self.wall(), scope)

    def build_part_times(self, update: PartUpdate | None) -> PartTimes | None:
        """Return the times of the requests in an update; None if there is no update."""
        return None if update is None else self.parts.build_times(update)

    def _schedule_gossip(self) -> None:
        """Schedule the forwarding of an update: some processes cannot reach its source."""
        if not self._gossip_scheduled:
            self._gossip_scheduled = True
            self._timers.once(GOSSIP_BATCH_SECONDS, self._send_gossip)

    def _send_gossip(self) -> None:
        self._gossip_scheduled = False
        self.on_received()

    # Enforcement

    def _apply_changes(self, previous: dict[str, QuarantineEntry], source: str) -> None:
        """Enforce entries that an update added, and log those that it removed."""
        after = {each.fingerprint: each for each in self.quarantine.list_entries()}
        for fingerprint, entry in after.items():
            if fingerprint not in previous:
                self._enforce_quarantine(entry, source)
        for fingerprint, entry in previous.items():
            if fingerprint not in after:
                self._log_release(entry, f"answered, says {source}")
                for larger in self.parts.forget(fingerprint):
                    self.release(larger, f"answered, says {source}")

    def _evaluate(self, is_local: bool) -> None:
        self._evaluate_parts("own" if is_local else "ends", is_local)
        for entry in self.quarantine.evaluate(self.wall(), self.entry_start_times()):
            self._enforce_quarantine(entry, "own" if is_local else "ends")
            self.on_quarantine_change(entry, is_local)
        if not self._evaluation_scheduled:
            self._evaluation_scheduled = True
            self._timers.once(PROPAGATION_SECONDS, self._evaluate_settled)

    def _evaluate_parts(self, source: str, is_local: bool) -> None:
        """Quarantine prompt parts, whose crashes then are no evidence against requests."""
        for entry in self.parts.evaluate():
            self._enforce_quarantine(entry, source)
            self.on_quarantine_change(entry, is_local)

    def _evaluate_settled(self) -> None:
        """Evaluate again once the reports of all processes have been received."""
        self._evaluation_scheduled = False
        self._persist_evidence(self._observed_fingerprints, self._observed_parts, min_crashes=1)
        self._observed_fingerprints.clear()
        self._observed_parts.clear()
        self._evaluate_parts("settled", False)
        for entry in self.quarantine.evaluate(self.wall(), self.entry_start_times()):
            self._enforce_quarantine(entry, "settled")
            self.on_quarantine_change(entry, False)

    def _enforce_quarantine(self, entry: QuarantineEntry, source: str) -> None:
        """Log a new quarantine entry and quarantine the matching requests in flight here."""
        parts = parse_part_key(entry.fingerprint)
        self._record_source(entry.fingerprint, source)
        if parts:
            count = len(entry.endpoints)
            self._metrics.count("part_crashes_total", count, part=entry.fingerprint)
        self._metrics.count("requests_held_total", source=source)
        self._log.warning(
            "prompt part quarantined" if parts else "request quarantined",
            work=entry.fingerprint,
            parts=sorted(parts),
            source=source,
            endpoints=entry.endpoints,
            last_end_age=round(self.wall() - entry.since, 3),
            trials=entry.trials,
            next_trial_in=round(entry.next_trial - self.wall(), 1),
        )
        for request in self._active():
            has_started = request.machine.ran is Executed.YES
            is_same = request.fingerprint == entry.fingerprint
            is_match = is_same or (parts and parts.issubset(request.identity.parts))
            if is_match and not (has_started or request.is_trial):
                request.fail_quarantined()

    def _record_source(self, key: str, source: str) -> None:
        self._sources[key] = _Source(source, self.wall())
        while len(self._sources) > MAX_ENTRIES:
            self._sources.popitem(last=False)

    def _log_release(self, entry: QuarantineEntry, reason: str) -> None:
        self._metrics.count("requests_released_total", reason=reason)
        is_part = bool(parse_part_key(entry.fingerprint))
        self._log.info(
            (
                "prompt part released from quarantine"
                if is_part
                else "request released from quarantine"
            ),
            work=entry.fingerprint,
            reason=reason,
            endpoints=entry.endpoints,
            held_for=round(self.wall() - entry.since, 1),
            trials=entry.trials,
        )

    def claim_trial(self, identity: RequestIdentity, on_done: Callable[[bool], None]) -> None:
        """Claim a trial of a quarantined request, exclusively for this process.

        Parameters
        ----------
        on_done : callable
            Called with True if the request may be sent: the trial was granted, or the request is no
            longer quarantined.
        """
        entry = next(iter(self._find_entries(identity)), None)
        if entry is None or self.quarantine_status(identity) is not QuarantineStatus.TRIAL_DUE:
            on_done(entry is None)
            return
        self.acquire_trial(entry, lambda granted: self._on_trial_claim(entry, granted, on_done))

    def _on_trial_claim(
        self, entry: QuarantineEntry, granted: bool, on_done: Callable[[bool], None]
    ) -> None:
        result = "granted" if granted else "denied"
        self._metrics.count("request_trials_total", result=result)
        self._log.info(
            "trial claim decided",
            work=entry.fingerprint,
            result=result,
            trials=entry.trials,
            held_for=round(self.wall() - entry.since, 1),
        )
        on_done(granted)

    def _remove_expired(self) -> None:
        self.parts.evidence.drop_expired(self.wall())
        previous = {each.fingerprint: each for each in self.quarantine.list_entries()}
        for fingerprint in self.quarantine.drop_expired(self.wall()):
            self._log_release(previous[fingerprint], "forgotten")
