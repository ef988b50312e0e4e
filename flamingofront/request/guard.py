"""Keeps requests that crash endpoints away from them, for one process.

`flamingofront.decisions.quarantine` decides; here its facts come from the attempts of this process
and the word of others, and its verdicts reach the requests.
"""

from collections import OrderedDict, deque
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import replace
from typing import TYPE_CHECKING

from flamingofront.decisions.quarantine import (
    ENDS_KEPT,
    MAX_SUSPECTS,
    MAX_UNWITNESSED,
    SETTLED_SECONDS,
    Quarantine,
    is_about_restart,
)
from flamingofront.decisions.quarantine_facts import EndpointEnd, Hold, QuarantineWord, Standing
from flamingofront.errors import ErrorKind, Ran, RequestError
from flamingofront.process.logs import Log
from flamingofront.process.metrics import Metrics
from flamingofront.process.timers import TimerService
from flamingofront.request.endpoint_ends import CrashDetector
from flamingofront.request.fingerprint import compute_fingerprint
from flamingofront.request.intent_gate import IntentLog, NullIntentLog
from flamingofront.request.records import RequestRecord

if TYPE_CHECKING:
    from flamingofront.request.active import ActiveRequest

__all__ = ["Evidence", "RequestGuard", "quarantine_error"]

Evidence = Mapping[str, tuple[EndpointEnd, ...]]

# Pause between two looks at what is too old.
CLEANUP_PERIOD_SECONDS = 10.0
# Word of what others saw is told on in bundles: tens of processes tell of one end.
GOSSIP_BATCH_SECONDS = 0.03


def quarantine_error(hold: Hold, wall: float) -> RequestError:
    """Return the error of a request that is not run, with what it has done."""
    ago = max(0.0, wall - hold.since)
    return RequestError(
        ErrorKind.CRASHES_ENDPOINTS,
        f"{len(hold.endpoints)} endpoints ended while they ran this request, the last one "
        f"{ago:.1f} s ago; do not repeat it",
        inputs={
            "work": hold.fingerprint,
            "endpoints": hold.endpoints,
            "last_end_age": round(ago, 3),
            "trials": hold.trials,
            "next_trial_in": round(hold.next_trial - wall, 1),
        },
    )


class RequestGuard:
    """What this process knows of requests that crash endpoints.

    Parameters
    ----------
    active : callable
        Returns the requests that this process holds.

    Attributes
    ----------
    wall : callable
        Returns the wall clock that the processes agree on.
    on_news : callable
        Called when others have to be told.
    on_hold : callable
        Gets each hold that is new or was lifted, and whether this process found it out itself.
    on_evidence : callable
        Gets the ends by request that are to outlast this process; no ends where an answer has
        cleared it.
    on_end : callable
        Gets each endpoint that has ended, as this process saw it or was told.
    restarts : callable
        Returns when the entry processes that are known began, on the wall clock.
    claim : callable
        Claims a trial for this process alone: gets the hold, and what to call with the outcome.
    intents : IntentLog
        Records requests before they are sent; nothing unless it is set.
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
        crash_detector.on_unobserved_crash = self._on_unobserved_crash
        crash_detector.on_crash_found = self._on_crash_found
        self.quarantine = Quarantine()
        self.wall: Callable[[], float] = timers.wall
        self.on_update: Callable[[], None] = lambda: None
        self.on_quarantine_change: Callable[[Hold, bool], None] = lambda hold, is_local: None
        self.on_evidence: Callable[[Evidence], None] = lambda evidence: None
        self.on_endpoint_crash: Callable[[str], None] = lambda endpoint_id: None
        self.entry_start_times: Callable[[], Sequence[float]] = lambda: ()
        self.acquire_trial: Callable[[Hold, Callable[[bool], None]], None] = (
            lambda hold, done: done(False)
        )
        self.intents: IntentLog = NullIntentLog()
        self._timers = timers
        self._metrics = metrics
        self._log = log
        self._active = active
        # Endpoints that ended with no witness.
        self._unobserved: deque[str] = deque(maxlen=MAX_UNWITNESSED)
        # Requests at whose ends this process was a witness, until word of others has come.
        self._observed_fingerprints: set[str] = set()
        # Requests whose ends are in the store, as far as this process knows.
        self._persisted: OrderedDict[str, None] = OrderedDict()
        self._gossip_scheduled = False
        self._evaluation_scheduled = False
        timers.every(
            CLEANUP_PERIOD_SECONDS, self._remove_expired, first=CLEANUP_PERIOD_SECONDS, relaxed=True
        )

    # Verdicts

    def quarantine_status(self, fingerprint: str) -> Standing:
        """Return what is known of a request."""
        if not self.quarantine:
            return Standing.CLEAR
        return self.quarantine.standing(fingerprint, self.wall())

    def quarantine_entry(self, fingerprint: str) -> Hold | None:
        """Return the hold of a request that is not run; None if it is run."""
        return self.quarantine.hold(fingerprint)

    def suspects(self) -> frozenset[str]:
        """Return the requests that are suspected, and run."""
        return self.quarantine.suspects(self.wall())

    def reject_quarantined(self, record: RequestRecord) -> None:
        """Refuse a request that is not run.

        Raises
        ------
        RequestError
            At once, with the endpoints that ended under it.
        """
        if not self.quarantine:
            return
        fingerprint = compute_fingerprint(record)
        if self.quarantine_status(fingerprint) is Standing.HELD:
            raise quarantine_error(self.quarantine_entry(fingerprint), self.wall())

    def endpoints_to_avoid(self, request: "ActiveRequest") -> frozenset[str]:
        """Return the endpoints that a suspect is kept away from while there are others.

        Notes
        -----
        Two suspects at one endpoint cannot be told apart by its end. What is tried once more is
        kept from all that runs here.
        """
        if not self.quarantine:
            return frozenset()
        if (
            not request.is_trial
            and self.quarantine_status(request.fingerprint) is not Standing.SUSPECTED
        ):
            return frozenset()
        return frozenset(
            each.endpoint_id
            for each in self._active()
            if each is not request and each.is_sent and self._must_separate(request, each)
        )

    def _must_separate(self, request: "ActiveRequest", other: "ActiveRequest") -> bool:
        if other.fingerprint == request.fingerprint:
            return True
        return request.is_trial or self.quarantine_status(other.fingerprint) is not Standing.CLEAR

    # Facts

    def _on_crash(self, end: EndpointEnd) -> None:
        """Take note of an end that this process has seen."""
        at = self.wall() - (self._timers.now() - end.at)
        self.on_endpoint_crash(end.endpoint_id)
        if self.quarantine.ended(replace(end, at=at), self.wall()):
            self._observed_fingerprints.update(end.requests)
            self._evaluate(is_local=True)
            self._persist_evidence(end.requests, ENDS_KEPT)
            self.on_update()
        self.intents.record_crash(end.endpoint_id)

    def _is_recorded(self, endpoint_id: str) -> bool:
        return endpoint_id in self.quarantine.ended_endpoints() or endpoint_id in self._unobserved

    def _on_unobserved_crash(self, endpoint_id: str) -> None:
        """Take note of a row that went, with no request of this process there, nor word of one."""
        if self._is_recorded(endpoint_id):
            return
        if is_about_restart(self.wall(), self.entry_start_times()):
            self.crash_detector.confirm_crash(
                endpoint_id, lambda: self._record_unobserved(endpoint_id, "row")
            )
        else:
            self._record_unobserved(endpoint_id, "row")

    def _record_unobserved(self, endpoint_id: str, source: str) -> None:
        """Record requests from now on if whoever was a witness of an end may be gone."""
        if endpoint_id in self._unobserved:
            return
        now, start_times = self.wall(), self.entry_start_times()
        self._unobserved.append(endpoint_id)
        self.quarantine.unwitnessed(endpoint_id, now)
        self._log.info("endpoint ended unseen", endpoint=endpoint_id, source=source)
        if is_about_restart(now, start_times):
            self.intents.record_unobserved_crash(endpoint_id)
        self.intents.record_crash(endpoint_id)

    def _on_crash_found(self, endpoint_id: str) -> None:
        """Tell others of an end with no witness that this process was the first to find."""
        if self._is_recorded(endpoint_id):
            return
        self._record_unobserved(endpoint_id, "probe")
        zone, now = self.crash_detector.zone_of(endpoint_id), self.wall()
        self.quarantine.ended(EndpointEnd(endpoint_id, zone, now, ()), now)
        self._schedule_gossip()

    def _persist_evidence(self, fingerprints: Iterable[str], least: int) -> None:
        """Keep the ends of requests that have so many in the store."""
        evidence = self.quarantine.evidence(fingerprints, least)
        if evidence:
            self._mark_persisted(evidence)
            self.on_evidence(evidence)

    def _mark_persisted(self, fingerprints: Iterable[str]) -> None:
        self._persisted.update(dict.fromkeys(fingerprints))
        while len(self._persisted) > MAX_SUSPECTS:
            self._persisted.popitem(last=False)

    def load_evidence(self, ends: Iterable[EndpointEnd]) -> None:
        """Take ends as the store has them."""
        news = []
        for each in ends:
            self._mark_persisted(each.requests)
            news.append(self.quarantine.ended(each, self.wall()))
        if any(news):
            self._evaluate(is_local=False)

    def record_response(self, fingerprint: str) -> None:
        """Take note that an endpoint has answered a request."""
        self.intents.record_response(fingerprint)
        if not self.quarantine:
            return
        hold, now = self.quarantine.hold(fingerprint), self.wall()
        ends = self.quarantine.ends_under(fingerprint)
        if not self.quarantine.answered(fingerprint, now):
            return
        if hold is not None or fingerprint in self._persisted:
            self._persisted.pop(fingerprint, None)
            self.on_evidence({fingerprint: ()})
        if hold is not None:
            self._log_release(hold, "answered")
            self.on_quarantine_change(replace(hold, lifted=True), True)
        else:
            self._log.info(
                "suspicion dropped",
                work=fingerprint,
                reason="answered",
                endpoints=[each.endpoint_id for each in ends],
            )
        self.on_update()

    def merge_update(self, update: QuarantineWord | None) -> None:
        """Take what another process tells."""
        if update is None:
            return
        before = {each.fingerprint: each for each in self.quarantine.holds()}
        known = self.quarantine.ended_endpoints()
        if not self.quarantine.hear(update, self.wall()):
            return
        for endpoint_id in self.quarantine.ended_endpoints() - known:
            self.on_endpoint_crash(endpoint_id)
            if self.quarantine.is_unexplained(endpoint_id):
                self._record_unobserved(endpoint_id, "peer")
            else:
                self.intents.record_crash(endpoint_id)
        self._apply_changes(before, "peer")
        self._evaluate(is_local=False)
        self._schedule_gossip()

    def load_entry(self, hold: Hold) -> None:
        """Take a hold as the store has it."""
        before = {each.fingerprint: each for each in self.quarantine.holds()}
        if self.quarantine.take_hold(hold, self.wall()):
            self._apply_changes(before, "store")
            self._schedule_gossip()

    def build_update(self) -> QuarantineWord | None:
        """Return what others have to be told; None if that is nothing."""
        return self.quarantine.word(self.wall())

    def _schedule_gossip(self) -> None:
        """Tell others soon of what was heard: some of them cannot hear its source."""
        if not self._gossip_scheduled:
            self._gossip_scheduled = True
            self._timers.once(GOSSIP_BATCH_SECONDS, self._send_gossip)

    def _send_gossip(self) -> None:
        self._gossip_scheduled = False
        self.on_update()

    # What follows

    def _apply_changes(self, before: dict[str, Hold], source: str) -> None:
        """Act on holds that came or went by word of others."""
        after = {each.fingerprint: each for each in self.quarantine.holds()}
        for fingerprint, hold in after.items():
            if fingerprint not in before:
                self._enforce_quarantine(hold, source)
        for fingerprint, hold in before.items():
            if fingerprint not in after:
                self._log_release(hold, f"answered, says {source}")

    def _evaluate(self, is_local: bool) -> None:
        for hold in self.quarantine.judge(self.wall(), self.entry_start_times()):
            self._enforce_quarantine(hold, "own" if is_local else "ends")
            self.on_quarantine_change(hold, is_local)
        if not self._evaluation_scheduled:
            self._evaluation_scheduled = True
            self._timers.once(SETTLED_SECONDS, self._evaluate_settled)

    def _evaluate_settled(self) -> None:
        """Look again once word of all processes has come."""
        self._evaluation_scheduled = False
        self._persist_evidence(self._observed_fingerprints, least=1)
        self._observed_fingerprints.clear()
        for hold in self.quarantine.judge(self.wall(), self.entry_start_times()):
            self._enforce_quarantine(hold, "settled")
            self.on_quarantine_change(hold, False)

    def _enforce_quarantine(self, hold: Hold, source: str) -> None:
        """Stop a request wherever this process has it."""
        self._metrics.count("requests_held_total", source=source)
        self._log.warning(
            "request held",
            work=hold.fingerprint,
            source=source,
            endpoints=hold.endpoints,
            last_end_age=round(self.wall() - hold.since, 3),
            trials=hold.trials,
            next_trial_in=round(hold.next_trial - self.wall(), 1),
        )
        for request in self._active():
            is_begun = request.machine.ran is Ran.YES
            if request.fingerprint == hold.fingerprint and not (is_begun or request.is_trial):
                request.held_back()

    def _log_release(self, hold: Hold, reason: str) -> None:
        self._metrics.count("requests_released_total", reason=reason)
        self._log.info(
            "request served again",
            work=hold.fingerprint,
            reason=reason,
            endpoints=hold.endpoints,
            held_for=round(self.wall() - hold.since, 1),
            trials=hold.trials,
        )

    def claim_trial(self, fingerprint: str, on_done: Callable[[bool], None]) -> None:
        """Claim a trial of a request that is held back, for this process alone."""
        hold = self.quarantine_entry(fingerprint)
        if hold is None or self.quarantine_status(fingerprint) is not Standing.TRIAL_DUE:
            on_done(hold is None)
            return
        self.acquire_trial(hold, lambda granted: self._on_trial_claim(hold, granted, on_done))

    def _on_trial_claim(self, hold: Hold, granted: bool, on_done: Callable[[bool], None]) -> None:
        result = "granted" if granted else "denied"
        self._metrics.count("request_trials_total", result=result)
        self._log.info(
            "request trial",
            work=hold.fingerprint,
            result=result,
            trials=hold.trials,
            held_for=round(self.wall() - hold.since, 1),
        )
        on_done(granted)

    def _remove_expired(self) -> None:
        before = {each.fingerprint: each for each in self.quarantine.holds()}
        for fingerprint in self.quarantine.forget(self.wall()):
            self._log_release(before[fingerprint], "forgotten")
