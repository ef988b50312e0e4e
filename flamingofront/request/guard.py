"""Keeps requests that crash endpoints away from them, for one process.

`flamingofront.decisions.quarantine` decides; here its facts come from the attempts of this process
and the word of others, and its verdicts reach the requests.
"""

from collections import OrderedDict, deque
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import replace
from typing import TYPE_CHECKING

from flamingofront.decisions.quarantine import (
    CRASHES_TO_PERSIST,
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

Evidence = Mapping[str, tuple[EndpointCrash, ...]]

# Pause between two looks at what is too old.
FORGET_SECONDS = 10.0
# Word of what others saw is told on in bundles: tens of processes tell of one end.
BUNDLE_SECONDS = 0.03


def quarantine_error(hold: QuarantineEntry, wall: float) -> RequestError:
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
        ends: CrashDetector,
        timers: TimerService,
        metrics: Metrics,
        log: Log,
        active: Callable[[], Iterable["ActiveRequest"]],
    ):
        self.ends = ends
        ends.on_ended = self._ended
        ends.on_unobserved_crash = self._unwitnessed
        ends.on_crash_found = self._found_ended
        self.quarantine = Quarantine()
        self.wall: Callable[[], float] = timers.wall
        self.on_news: Callable[[], None] = lambda: None
        self.on_hold: Callable[[QuarantineEntry, bool], None] = lambda hold, is_own: None
        self.on_evidence: Callable[[Evidence], None] = lambda evidence: None
        self.on_end: Callable[[str], None] = lambda endpoint_id: None
        self.restarts: Callable[[], Sequence[float]] = lambda: ()
        self.claim: Callable[[QuarantineEntry, Callable[[bool], None]], None] = (
            lambda hold, done: done(False)
        )
        self.intents: IntentLog = NullIntentLog()
        self._timers = timers
        self._metrics = metrics
        self._log = log
        self._active = active
        # Endpoints that ended with no witness.
        self._unseen: deque[str] = deque(maxlen=MAX_UNOBSERVED)
        # Requests at whose ends this process was a witness, until word of others has come.
        self._witnessed: set[str] = set()
        # Requests whose ends are in the store, as far as this process knows.
        self._kept: OrderedDict[str, None] = OrderedDict()
        self._telling = False
        self._settling = False
        timers.every(FORGET_SECONDS, self._forget, first=FORGET_SECONDS, relaxed=True)

    # Verdicts

    def standing(self, fingerprint: str) -> QuarantineStatus:
        """Return what is known of a request."""
        if not self.quarantine:
            return QuarantineStatus.CLEAR
        return self.quarantine.get_status(fingerprint, self.wall())

    def hold(self, fingerprint: str) -> QuarantineEntry | None:
        """Return the hold of a request that is not run; None if it is run."""
        return self.quarantine.get_entry(fingerprint)

    def suspects(self) -> frozenset[str]:
        """Return the requests that are suspected, and run."""
        return self.quarantine.list_suspects(self.wall())

    def check(self, record: RequestRecord) -> None:
        """Refuse a request that is not run.

        Raises
        ------
        RequestError
            At once, with the endpoints that ended under it.
        """
        if not self.quarantine:
            return
        fingerprint = compute_fingerprint(record)
        if self.standing(fingerprint) is QuarantineStatus.QUARANTINED:
            raise quarantine_error(self.hold(fingerprint), self.wall())

    def keep_away(self, request: "ActiveRequest") -> frozenset[str]:
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
            and self.standing(request.fingerprint) is not QuarantineStatus.SUSPECTED
        ):
            return frozenset()
        return frozenset(
            each.endpoint_id
            for each in self._active()
            if each is not request and each.is_sent and self._keeps_away(request, each)
        )

    def _keeps_away(self, request: "ActiveRequest", other: "ActiveRequest") -> bool:
        if other.fingerprint == request.fingerprint:
            return True
        return request.is_trial or self.standing(other.fingerprint) is not QuarantineStatus.CLEAR

    # Facts

    def _ended(self, end: EndpointCrash) -> None:
        """Take note of an end that this process has seen."""
        at = self.wall() - (self._timers.now() - end.at)
        self.on_end(end.endpoint_id)
        if self.quarantine.record_crash(replace(end, at=at), self.wall()):
            self._witnessed.update(end.requests)
            self._judge(is_own=True)
            self._keep_evidence(end.requests, CRASHES_TO_PERSIST)
            self.on_news()
        self.intents.record_crash(end.endpoint_id)

    def _is_noted(self, endpoint_id: str) -> bool:
        return endpoint_id in self.quarantine.get_crashed_endpoints() or endpoint_id in self._unseen

    def _unwitnessed(self, endpoint_id: str) -> None:
        """Take note of a row that went, with no request of this process there, nor word of one."""
        if self._is_noted(endpoint_id):
            return
        if is_near_restart(self.wall(), self.restarts()):
            self.ends.confirm_crash(endpoint_id, lambda: self._note_unseen(endpoint_id, "row"))
        else:
            self._note_unseen(endpoint_id, "row")

    def _note_unseen(self, endpoint_id: str, source: str) -> None:
        """Record requests from now on if whoever was a witness of an end may be gone."""
        if endpoint_id in self._unseen:
            return
        now, restarts = self.wall(), self.restarts()
        self._unseen.append(endpoint_id)
        self.quarantine.add_unobserved_crash(endpoint_id, now)
        self._log.info("endpoint ended unseen", endpoint=endpoint_id, source=source)
        if is_near_restart(now, restarts):
            self.intents.record_unobserved_crash(endpoint_id)
        self.intents.record_crash(endpoint_id)

    def _found_ended(self, endpoint_id: str) -> None:
        """Tell others of an end with no witness that this process was the first to find."""
        if self._is_noted(endpoint_id):
            return
        self._note_unseen(endpoint_id, "probe")
        zone, now = self.ends.zone_of(endpoint_id), self.wall()
        self.quarantine.record_crash(EndpointCrash(endpoint_id, zone, now, ()), now)
        self._tell_on()

    def _keep_evidence(self, fingerprints: Iterable[str], least: int) -> None:
        """Keep the ends of requests that have so many in the store."""
        evidence = self.quarantine.collect_evidence(fingerprints, least)
        if evidence:
            self._note_kept(evidence)
            self.on_evidence(evidence)

    def _note_kept(self, fingerprints: Iterable[str]) -> None:
        self._kept.update(dict.fromkeys(fingerprints))
        while len(self._kept) > MAX_SUSPECTS:
            self._kept.popitem(last=False)

    def take_evidence(self, ends: Iterable[EndpointCrash]) -> None:
        """Take ends as the store has them."""
        news = []
        for each in ends:
            self._note_kept(each.requests)
            news.append(self.quarantine.record_crash(each, self.wall()))
        if any(news):
            self._judge(is_own=False)

    def answered(self, fingerprint: str) -> None:
        """Take note that an endpoint has answered a request."""
        self.intents.record_response(fingerprint)
        if not self.quarantine:
            return
        hold, now = self.quarantine.get_entry(fingerprint), self.wall()
        ends = self.quarantine.get_crashes(fingerprint)
        if not self.quarantine.clear_request(fingerprint, now):
            return
        if hold is not None or fingerprint in self._kept:
            self._kept.pop(fingerprint, None)
            self.on_evidence({fingerprint: ()})
        if hold is not None:
            self._released(hold, "answered")
            self.on_hold(replace(hold, is_released=True), True)
        else:
            self._log.info(
                "suspicion dropped",
                work=fingerprint,
                reason="answered",
                endpoints=[each.endpoint_id for each in ends],
            )
        self.on_news()

    def hear(self, word: QuarantineUpdate | None) -> None:
        """Take what another process tells."""
        if word is None:
            return
        before = {each.fingerprint: each for each in self.quarantine.list_entries()}
        known = self.quarantine.get_crashed_endpoints()
        if not self.quarantine.merge_update(word, self.wall()):
            return
        for endpoint_id in self.quarantine.get_crashed_endpoints() - known:
            self.on_end(endpoint_id)
            if self.quarantine.is_unattributed(endpoint_id):
                self._note_unseen(endpoint_id, "peer")
            else:
                self.intents.record_crash(endpoint_id)
        self._compare(before, "peer")
        self._judge(is_own=False)
        self._tell_on()

    def load_entry(self, hold: QuarantineEntry) -> None:
        """Take a hold as the store has it."""
        before = {each.fingerprint: each for each in self.quarantine.list_entries()}
        if self.quarantine.merge_entry(hold, self.wall()):
            self._compare(before, "store")
            self._tell_on()

    def word(self) -> QuarantineUpdate | None:
        """Return what others have to be told; None if that is nothing."""
        return self.quarantine.build_update(self.wall())

    def _tell_on(self) -> None:
        """Tell others soon of what was heard: some of them cannot hear its source."""
        if not self._telling:
            self._telling = True
            self._timers.once(BUNDLE_SECONDS, self._told_on)

    def _told_on(self) -> None:
        self._telling = False
        self.on_news()

    # What follows

    def _compare(self, before: dict[str, QuarantineEntry], source: str) -> None:
        """Act on holds that came or went by word of others."""
        after = {each.fingerprint: each for each in self.quarantine.list_entries()}
        for fingerprint, hold in after.items():
            if fingerprint not in before:
                self._held(hold, source)
        for fingerprint, hold in before.items():
            if fingerprint not in after:
                self._released(hold, f"answered, says {source}")

    def _judge(self, is_own: bool) -> None:
        for hold in self.quarantine.evaluate(self.wall(), self.restarts()):
            self._held(hold, "own" if is_own else "ends")
            self.on_hold(hold, is_own)
        if not self._settling:
            self._settling = True
            self._timers.once(PROPAGATION_SECONDS, self._settled)

    def _settled(self) -> None:
        """Look again once word of all processes has come."""
        self._settling = False
        self._keep_evidence(self._witnessed, least=1)
        self._witnessed.clear()
        for hold in self.quarantine.evaluate(self.wall(), self.restarts()):
            self._held(hold, "settled")
            self.on_hold(hold, False)

    def _held(self, hold: QuarantineEntry, source: str) -> None:
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

    def _released(self, hold: QuarantineEntry, reason: str) -> None:
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
        hold = self.hold(fingerprint)
        if hold is None or self.standing(fingerprint) is not QuarantineStatus.TRIAL_DUE:
            on_done(hold is None)
            return
        self.claim(hold, lambda granted: self._trial_claimed(hold, granted, on_done))

    def _trial_claimed(
        self, hold: QuarantineEntry, granted: bool, on_done: Callable[[bool], None]
    ) -> None:
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

    def _forget(self) -> None:
        before = {each.fingerprint: each for each in self.quarantine.list_entries()}
        for fingerprint in self.quarantine.drop_expired(self.wall()):
            self._released(before[fingerprint], "forgotten")
