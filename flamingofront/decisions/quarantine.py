"""Requests that crash the endpoints that run them: who is suspected, and what is not run any more.

Load pattern: one request, repeated by its caller under new ids at any entry process, ends each
endpoint that begins to run it, and with it all that ran there. Limits on attempts count a request
id at one process, and health counts an endpoint, so neither sees it. Here the request itself is
counted, by its fingerprint, over all processes.

The evidence against a request is that endpoints ended while it was there. All that ran beside it
has the same, so that one end proves nothing: three ends of a request are enough, or two if nothing
else was at both. An end that a held request explains is no evidence against others. Several ends in
one availability zone at the same moment, of which some were without the request, have a common
cause and count once. Any answer clears a request.

A request that is held back may be innocent, so that it is tried again after a while: three times in
all over all processes, each claimed by one of them, and served again when a trial is answered.

A process that is killed takes with it what it knew of its requests. Endpoints that ended about then
may have ended under any of them, so that a request which is found out later may have had its three
ends before: each that it then had beyond them counts as a trial.
"""

import itertools
from collections import OrderedDict, deque
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field, replace

from flamingofront.decisions.quarantine_facts import (
    EVIDENCE_LIFETIME_SECONDS,
    TRIAL_SECONDS,
    EndpointCrash,
    IntentSummary,
    QuarantineEntry,
    QuarantineStatus,
    QuarantineUpdate,
    Release,
    is_entry_expired,
    is_expired,
)

__all__ = [
    "ENDS_TO_HOLD",
    "MAX_ENTRIES",
    "Quarantine",
    "is_near_restart",
]

# Ends under a request from which on it is not run any more. A fleet is lost at nine ends within
# 1.3 s, and a retried stream that ran beside such a request was seen at two of its ends, 50 times.
ENDS_TO_HOLD = 3
# Ends that are enough even if held requests explain some of them: two requests that crash endpoints
# may have met, and the one that was found first must not hide the other.
ENDS_IN_ANY_CASE = ENDS_TO_HOLD + 1
# Ends that are enough if no other request was at all of them.
ENDS_ALONE = 2
# Ends of one request that are kept in the store at once: with them one more is enough after a
# restart of all. A single end is kept if nothing has cleared the request once word has settled.
CRASHES_TO_PERSIST = 2
# Word of what ran beside it at other processes has come by then, also through relays.
SETTLED_SECONDS = 1.0
# Tellings of one end by several processes, whose clocks differ; an endpoint takes longer to start.
SAME_END_SECONDS = 3.0
# Ends with a common cause, as a zone's loss of power, come within this time.
TOGETHER_SECONDS = 0.2
# A process that began so shortly before or after an end may have had requests there in the life
# before, of which nobody knows: a killed one is back within seconds, and a row lapses after four.
RESTART_SECONDS = 8.0
MAX_UNOBSERVED = 64
NOT_RECORDED = IntentSummary()
# Memory: 1.6 MB with all suspects at 512 ends (traced).
MAX_SUSPECTS = 4096
MAX_ENDS = 512
MAX_ENTRIES = 1024
MAX_RELEASED = 1024
# How long what is new is told to others, and at most how much of it: a report to 16 peers stays
# small enough to be sent to all of them at once.
TOLD_SECONDS = 3.0
MAX_TOLD_REQUESTS = 96
MAX_TOLD_HOLDS = 48


@dataclass(eq=False)
class _End:
    endpoint_id: str
    zone: str
    at: float
    requests: set[str] = field(default_factory=set)
    omitted: int = 0
    explained_by: set[str] = field(default_factory=set)

    def explained_for(self, fingerprint: str) -> bool:
        """Tell whether other requests explain the end."""
        return bool(self.explained_by) and fingerprint not in self.explained_by


class Quarantine:
    """Counts ends by request; times are seconds of the wall clock that the processes agree on."""

    def __init__(self):
        self._ends: OrderedDict[tuple[str, float], _End] = OrderedDict()
        self._suspects: OrderedDict[str, list[_End]] = OrderedDict()
        self._holds: OrderedDict[str, QuarantineEntry] = OrderedDict()
        self._released: OrderedDict[str, float] = OrderedDict()
        self._unwitnessed: deque[tuple[str, float]] = deque(maxlen=MAX_UNOBSERVED)
        # What the records of a request tell, which outlast the processes that sent it.
        self._recorded: OrderedDict[str, IntentSummary] = OrderedDict()

    def __bool__(self) -> bool:
        """True while there is evidence against any request, or a record of its sends."""
        return bool(self._suspects or self._holds or self._recorded)

    # Evidence

    def ended(self, end: EndpointCrash, now: float) -> bool:
        """Take note of an end; True if it told anything new."""
        if now - end.at > EVIDENCE_LIFETIME_SECONDS:
            return False
        known = self._same_end(end)
        is_new = known is None
        if known is None:
            known = self._ends[end.endpoint_id, end.at] = _End(end.endpoint_id, end.zone, end.at)
        known.omitted = max(known.omitted, end.omitted)
        for fingerprint in end.requests:
            if fingerprint in known.requests or self._answered_since(fingerprint, known.at):
                continue
            is_new = True
            known.requests.add(fingerprint)
            self._suspects.setdefault(fingerprint, []).append(known)
            self._suspects.move_to_end(fingerprint)
            if fingerprint in self._holds and not self._holds[fingerprint].is_released:
                known.explained_by.add(fingerprint)
        self._bound()
        return is_new

    def _same_end(self, end: EndpointCrash) -> _End | None:
        for known in reversed(self._ends.values()):
            if known.endpoint_id == end.endpoint_id and abs(known.at - end.at) < SAME_END_SECONDS:
                return known
        return None

    def _answered_since(self, fingerprint: str, at: float) -> bool:
        return self._released.get(fingerprint, at - 1.0) >= at

    def _bound(self) -> None:
        while len(self._suspects) > MAX_SUSPECTS:
            self._drop_suspect(next(iter(self._suspects)))
        while len(self._ends) > MAX_ENDS:
            self._drop_end(next(iter(self._ends)))
        while len(self._holds) > MAX_ENTRIES:
            self._holds.popitem(last=False)
        while len(self._released) > MAX_RELEASED:
            self._released.popitem(last=False)

    def _drop_suspect(self, fingerprint: str) -> None:
        for end in self._suspects.pop(fingerprint, ()):
            end.requests.discard(fingerprint)

    def _drop_end(self, key: tuple[str, float]) -> None:
        end = self._ends.pop(key)
        for fingerprint in end.requests:
            ends = self._suspects[fingerprint]
            ends.remove(end)
            if not ends:
                del self._suspects[fingerprint]

    def unwitnessed(self, endpoint_id: str, at: float) -> None:
        """Take note of an endpoint that ended while no request of a known process was there."""
        self._unwitnessed.append((endpoint_id, at))

    def take_record(self, fingerprint: str, recorded: IntentSummary) -> None:
        """Take what is recorded of a request that no endpoint has answered."""
        self._recorded[fingerprint] = recorded
        self._recorded.move_to_end(fingerprint)
        while len(self._recorded) > MAX_ENTRIES:
            self._recorded.popitem(last=False)

    def ended_endpoints(self) -> frozenset[str]:
        """Return the endpoints of which ends are known."""
        return frozenset(endpoint_id for endpoint_id, _ in self._ends)

    def is_unexplained(self, endpoint_id: str) -> bool:
        """Tell whether all that is known of an endpoint's end is that nobody knows of a request."""
        ends = [each for (name, _), each in self._ends.items() if name == endpoint_id]
        return bool(ends) and not any(each.requests or each.omitted for each in ends)

    def evidence(
        self, fingerprints: Iterable[str], least: int
    ) -> dict[str, tuple[EndpointCrash, ...]]:
        """Return the ends of those requests that have so many, or more, and are not held yet.

        Notes
        -----
        Each is told as known in part: that nothing else was there cannot be seen from it.
        """
        found = {}
        for fingerprint in fingerprints:
            ends = self._suspects.get(fingerprint, ())
            if len(ends) >= least and self.hold(fingerprint) is None:
                found[fingerprint] = tuple(
                    EndpointCrash(each.endpoint_id, each.zone, each.at, (fingerprint,), omitted=1)
                    for each in ends
                )
        return found

    def ends_under(self, fingerprint: str) -> tuple[EndpointCrash, ...]:
        """Return the ends that are evidence against a request, in the order of their telling."""
        return tuple(
            EndpointCrash(each.endpoint_id, each.zone, each.at, (fingerprint,))
            for each in self._unexplained(fingerprint)
        )

    def _unexplained(self, fingerprint: str) -> list[_End]:
        found = self._suspects.get(fingerprint, ())
        return [each for each in found if not each.explained_for(fingerprint)]

    def _count(self, fingerprint: str, ends: list[_End]) -> int:
        """Return how many causes a request's ends have; ends with a common cause are one."""
        count = 0
        for _, of_zone in itertools.groupby(
            sorted(ends, key=lambda each: (each.zone, each.at)), lambda each: each.zone
        ):
            count += sum(self._causes(fingerprint, each) for each in _clusters(of_zone))
        return count

    def _causes(self, fingerprint: str, cluster: list[_End]) -> int:
        if len(cluster) == 1:
            return 1
        first, last = cluster[0].at - TOGETHER_SECONDS, cluster[-1].at + TOGETHER_SECONDS
        without = any(
            each.zone == cluster[0].zone
            and first <= each.at <= last
            and fingerprint not in each.requests
            for each in self._ends.values()
        )
        return 1 if without else len(cluster)

    def _is_proved(self, fingerprint: str, now: float) -> bool:
        if self._count(fingerprint, self._suspects[fingerprint]) >= ENDS_IN_ANY_CASE:
            return True
        ends = self._unexplained(fingerprint)
        count = self._count(fingerprint, ends)
        if count >= ENDS_TO_HOLD:
            return True
        # Ends with a common cause are no evidence by themselves.
        if count < max(ENDS_ALONE, len(ends)):
            return False
        if self._is_unanswered(fingerprint):
            return True
        if now - max(each.at for each in ends) < SETTLED_SECONDS:
            return False
        others = set.intersection(*(each.requests for each in ends))
        return others == {fingerprint} and not any(each.omitted for each in ends)

    def _is_unanswered(self, fingerprint: str) -> bool:
        """Tell whether no recorded send was ever answered, and earlier ends had no witness.

        Notes
        -----
        A send that its process took with it a moment after may not have begun, so that its endpoint
        is still there. Of three sends of a life that ended 0.03 s later one was such, each time.
        """
        recorded = self._recorded.get(fingerprint, NOT_RECORDED)
        return recorded.sends >= ENDS_TO_HOLD and bool(recorded.unseen)

    def standing(self, fingerprint: str, now: float) -> QuarantineStatus:
        """Return what is known of a request, by holds and by the evidence against it."""
        hold = self._holds.get(fingerprint)
        if hold is not None and not hold.is_released:
            return (
                QuarantineStatus.TRIAL_DUE
                if self._trial_due(hold, now)
                else QuarantineStatus.QUARANTINED
            )
        return (
            QuarantineStatus.SUSPECTED if self._unexplained(fingerprint) else QuarantineStatus.CLEAR
        )

    @staticmethod
    def _trial_due(hold: QuarantineEntry, now: float) -> bool:
        return hold.trials < len(TRIAL_SECONDS) and now >= hold.next_trial

    # Verdicts

    def judge(self, now: float, restarts: Sequence[float] = ()) -> tuple[QuarantineEntry, ...]:
        """Hold back what is proved by now and return it; the rest of what ran there is cleared.

        Parameters
        ----------
        restarts : sequence of float
            When the entry processes began; what they ran before is not known.

        Notes
        -----
        Those with the most ends go first: what ran beside one of them at fewer ends was there by
        chance. Of several with equally many none is cleared by the others.
        """
        found: list[QuarantineEntry] = []
        while proved := self._proved(now):
            most = max(len(self._suspects[each]) for each in proved)
            worst = sorted(each for each in proved if len(self._suspects[each]) == most)
            holds = [self._new_hold(each, restarts) for each in worst]
            for hold in holds:
                self._put(hold)
            found += holds
        return tuple(found)

    def _proved(self, now: float) -> list[str]:
        return [
            each
            for each, ends in self._suspects.items()
            if len(ends) >= ENDS_ALONE and self.hold(each) is None and self._is_proved(each, now)
        ]

    def _new_hold(self, fingerprint: str, restarts: Sequence[float]) -> QuarantineEntry:
        ends = self._suspects[fingerprint]
        since = max(each.at for each in ends)
        names = tuple(dict.fromkeys(each.endpoint_id for each in ends))
        hold = QuarantineEntry(fingerprint, names, since, next_trial=since + TRIAL_SECONDS[0])
        # Each end later than the third one has used up a trial, and so has a send without answer.
        recorded = self._recorded.get(fingerprint, NOT_RECORDED)
        unseen = self._unseen_ends(recorded.unseen, names, restarts)
        late = max(len(names), recorded.sends) + unseen - ENDS_TO_HOLD
        return hold.with_trials(late) if late > 0 else hold

    def _unseen_ends(
        self, recorded: frozenset[str], names: tuple[str, ...], restarts: Sequence[float]
    ) -> int:
        """Return how many other endpoints may have ended under a request that nobody remembers."""
        ends = [*self._unwitnessed, *((each.endpoint_id, each.at) for each in self._ends.values())]
        near = {endpoint_id for endpoint_id, at in ends if is_near_restart(at, restarts)}
        return len(near.union(recorded).difference(names))

    def _put(self, hold: QuarantineEntry) -> None:
        self._holds[hold.fingerprint] = hold
        self._holds.move_to_end(hold.fingerprint)
        if not hold.is_released:
            for end in self._suspects.get(hold.fingerprint, ()):
                end.explained_by.add(hold.fingerprint)
        self._bound()

    def hold(self, fingerprint: str) -> QuarantineEntry | None:
        """Return the hold of a request that is not run; None if it is run."""
        hold = self._holds.get(fingerprint)
        return None if hold is None or hold.is_released else hold

    def holds(self) -> tuple[QuarantineEntry, ...]:
        """Return all holds, the oldest first."""
        return tuple(each for each in self._holds.values() if not each.is_released)

    def take_hold(self, hold: QuarantineEntry, now: float) -> bool:
        """Take a hold that another process told or that was kept; True if it is news."""
        known = self._holds.get(hold.fingerprint)
        if is_entry_expired(hold, now):
            return False
        if known is not None and hold.rank <= known.rank:
            return False
        self._put(hold)
        if hold.is_released:
            self.answered(hold.fingerprint, hold.since)
        return True

    def suspects(self, now: float) -> frozenset[str]:
        """Return the requests that are suspected, and run."""
        return frozenset(
            each
            for each in self._suspects
            if self.standing(each, now) is QuarantineStatus.SUSPECTED
        )

    # What clears a request

    def answered(self, fingerprint: str, now: float) -> bool:
        """Clear a request that an endpoint has answered; True if there was evidence against it."""
        self._recorded.pop(fingerprint, None)
        if fingerprint not in self._suspects and self.hold(fingerprint) is None:
            return False
        hold = self.hold(fingerprint)
        if hold is not None:
            self._holds[fingerprint] = replace(hold, is_released=True)
        for end in self._suspects.get(fingerprint, ()):
            end.explained_by.discard(fingerprint)
        self._drop_suspect(fingerprint)
        self._released[fingerprint] = now
        self._released.move_to_end(fingerprint)
        self._bound()
        return True

    def released(self, release: Release) -> bool:
        """Take word that a request was answered elsewhere; True if that is news."""
        ends = self._suspects.get(release.fingerprint, ())
        hold = self.hold(release.fingerprint)
        is_later = hold is not None and hold.since > release.at
        if is_later or any(each.at > release.at for each in ends):
            return False
        return self.answered(release.fingerprint, release.at)

    def forget(self, now: float) -> tuple[str, ...]:
        """Drop what is too old, and return the requests that were held back until now."""
        for key in [key for key, end in self._ends.items() if is_expired(end.at, now)]:
            self._drop_end(key)
        old = [each for each in self._holds.values() if is_entry_expired(each, now)]
        for hold in old:
            del self._holds[hold.fingerprint]
        for name in [name for name, at in self._released.items() if is_expired(at, now)]:
            del self._released[name]
        while self._unwitnessed and is_expired(self._unwitnessed[0][1], now):
            self._unwitnessed.popleft()
        return tuple(each.fingerprint for each in old if not each.is_released)

    # Word between processes

    def word(self, now: float) -> QuarantineUpdate | None:
        """Return what others have to be told; None if that is nothing."""
        fresh = [each for each in self._ends.values() if now - each.at <= TOLD_SECONDS]
        holds = tuple(self._holds.values())[-MAX_TOLD_HOLDS:]
        released = tuple(
            Release(name, at) for name, at in self._released.items() if now - at <= TOLD_SECONDS
        )
        if not fresh and not holds and not released:
            return None
        return QuarantineUpdate(self._told(fresh), holds, released[-MAX_TOLD_REQUESTS:])

    def _told(self, ends: list[_End]) -> tuple[EndpointCrash, ...]:
        """Return ends with as many of their requests as may be told: the most suspected ones."""
        ranked = sorted(
            {each for end in ends for each in end.requests},
            key=lambda each: (-len(self._suspects[each]), each),
        )
        told = frozenset(ranked[:MAX_TOLD_REQUESTS])
        return tuple(_message(each, told) for each in ends)

    def hear(self, word: QuarantineUpdate, now: float) -> bool:
        """Take what another process tells; True if anything was news."""
        news = [self.ended(each, now) for each in word.ends]
        news += [self.take_hold(each, now) for each in word.holds]
        news += [self.released(each) for each in word.released]
        return any(news)


def is_near_restart(at: float, restarts: Sequence[float]) -> bool:
    """Tell whether something happened so close to a restart that its witness may be gone."""
    return any(abs(at - began) <= RESTART_SECONDS for began in restarts)


def _message(end: _End, told: frozenset[str]) -> EndpointCrash:
    requests = tuple(sorted(end.requests & told))
    omitted = max(end.omitted, len(end.requests) - len(requests))
    return EndpointCrash(end.endpoint_id, end.zone, end.at, requests, omitted)


def _clusters(ends: Iterable[_End]) -> list[list[_End]]:
    """Return ends of one zone in groups that came at the same moment; they are sorted by time."""
    found: list[list[_End]] = []
    for end in ends:
        if found and end.at - found[-1][-1].at <= TOGETHER_SECONDS:
            found[-1].append(end)
        else:
            found.append([end])
    return found
