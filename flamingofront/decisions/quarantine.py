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
    "CRASHES_TO_QUARANTINE",
    "MAX_ENTRIES",
    "Quarantine",
    "is_near_restart",
]

# Ends under a request from which on it is not run any more. A fleet is lost at nine ends within
# 1.3 s, and a retried stream that ran beside such a request was seen at two of its ends, 50 times.
CRASHES_TO_QUARANTINE = 3
# Ends that are enough even if held requests explain some of them: two requests that crash endpoints
# may have met, and the one that was found first must not hide the other.
MIXED_CRASHES_TO_QUARANTINE = CRASHES_TO_QUARANTINE + 1
# Ends that are enough if no other request was at all of them.
LONE_CRASHES_TO_QUARANTINE = 2
# Ends of one request that are kept in the store at once: with them one more is enough after a
# restart of all. A single end is kept if nothing has cleared the request once word has settled.
CRASHES_TO_PERSIST = 2
# Word of what ran beside it at other processes has come by then, also through relays.
PROPAGATION_SECONDS = 1.0
# Tellings of one end by several processes, whose clocks differ; an endpoint takes longer to start.
SAME_CRASH_SECONDS = 3.0
# Ends with a common cause, as a zone's loss of power, come within this time.
COMMON_CAUSE_SECONDS = 0.2
# A process that began so shortly before or after an end may have had requests there in the life
# before, of which nobody knows: a killed one is back within seconds, and a row lapses after four.
RESTART_SECONDS = 8.0
MAX_UNOBSERVED = 64
NO_INTENTS = IntentSummary()
# Memory: 1.6 MB with all suspects at 512 ends (traced).
MAX_SUSPECTS = 4096
MAX_CRASHES = 512
MAX_ENTRIES = 1024
MAX_RELEASES = 1024
# How long what is new is told to others, and at most how much of it: a report to 16 peers stays
# small enough to be sent to all of them at once.
GOSSIP_SECONDS = 3.0
MAX_GOSSIPED_REQUESTS = 96
MAX_GOSSIPED_ENTRIES = 48


@dataclass(eq=False)
class _Crash:
    endpoint_id: str
    zone: str
    at: float
    requests: set[str] = field(default_factory=set)
    omitted: int = 0
    explained_by: set[str] = field(default_factory=set)

    def is_explained_for(self, fingerprint: str) -> bool:
        """Tell whether other requests explain the end."""
        return bool(self.explained_by) and fingerprint not in self.explained_by


class Quarantine:
    """Counts ends by request; times are seconds of the wall clock that the processes agree on."""

    def __init__(self):
        self._crashes: OrderedDict[tuple[str, float], _Crash] = OrderedDict()
        self._suspects: OrderedDict[str, list[_Crash]] = OrderedDict()
        self._entries: OrderedDict[str, QuarantineEntry] = OrderedDict()
        self._released: OrderedDict[str, float] = OrderedDict()
        self._unobserved: deque[tuple[str, float]] = deque(maxlen=MAX_UNOBSERVED)
        # What the records of a request tell, which outlast the processes that sent it.
        self._intents: OrderedDict[str, IntentSummary] = OrderedDict()

    def __bool__(self) -> bool:
        """True while there is evidence against any request, or a record of its sends."""
        return bool(self._suspects or self._entries or self._intents)

    # Evidence

    def record_crash(self, end: EndpointCrash, now: float) -> bool:
        """Take note of an end; True if it told anything new."""
        if now - end.at > EVIDENCE_LIFETIME_SECONDS:
            return False
        known = self._find_crash(end)
        is_new = known is None
        if known is None:
            known = self._crashes[end.endpoint_id, end.at] = _Crash(
                end.endpoint_id, end.zone, end.at
            )
        known.omitted = max(known.omitted, end.omitted)
        for fingerprint in end.requests:
            if fingerprint in known.requests or self._is_cleared_since(fingerprint, known.at):
                continue
            is_new = True
            known.requests.add(fingerprint)
            self._suspects.setdefault(fingerprint, []).append(known)
            self._suspects.move_to_end(fingerprint)
            if fingerprint in self._entries and not self._entries[fingerprint].is_released:
                known.explained_by.add(fingerprint)
        self._evict_oldest()
        return is_new

    def _find_crash(self, end: EndpointCrash) -> _Crash | None:
        for known in reversed(self._crashes.values()):
            if known.endpoint_id == end.endpoint_id and abs(known.at - end.at) < SAME_CRASH_SECONDS:
                return known
        return None

    def _is_cleared_since(self, fingerprint: str, at: float) -> bool:
        return self._released.get(fingerprint, at - 1.0) >= at

    def _evict_oldest(self) -> None:
        while len(self._suspects) > MAX_SUSPECTS:
            self._drop_suspect(next(iter(self._suspects)))
        while len(self._crashes) > MAX_CRASHES:
            self._drop_crash(next(iter(self._crashes)))
        while len(self._entries) > MAX_ENTRIES:
            self._entries.popitem(last=False)
        while len(self._released) > MAX_RELEASES:
            self._released.popitem(last=False)

    def _drop_suspect(self, fingerprint: str) -> None:
        for end in self._suspects.pop(fingerprint, ()):
            end.requests.discard(fingerprint)

    def _drop_crash(self, key: tuple[str, float]) -> None:
        end = self._crashes.pop(key)
        for fingerprint in end.requests:
            ends = self._suspects[fingerprint]
            ends.remove(end)
            if not ends:
                del self._suspects[fingerprint]

    def add_unobserved_crash(self, endpoint_id: str, at: float) -> None:
        """Take note of an endpoint that ended while no request of a known process was there."""
        self._unobserved.append((endpoint_id, at))

    def merge_intents(self, fingerprint: str, recorded: IntentSummary) -> None:
        """Take what is recorded of a request that no endpoint has answered."""
        self._intents[fingerprint] = recorded
        self._intents.move_to_end(fingerprint)
        while len(self._intents) > MAX_ENTRIES:
            self._intents.popitem(last=False)

    def crashed_endpoints(self) -> frozenset[str]:
        """Return the endpoints of which ends are known."""
        return frozenset(endpoint_id for endpoint_id, _ in self._crashes)

    def is_unattributed(self, endpoint_id: str) -> bool:
        """Tell whether all that is known of an endpoint's end is that nobody knows of a request."""
        ends = [each for (name, _), each in self._crashes.items() if name == endpoint_id]
        return bool(ends) and not any(each.requests or each.omitted for each in ends)

    def collect_evidence(
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
            if len(ends) >= least and self.get_entry(fingerprint) is None:
                found[fingerprint] = tuple(
                    EndpointCrash(each.endpoint_id, each.zone, each.at, (fingerprint,), omitted=1)
                    for each in ends
                )
        return found

    def get_crashes(self, fingerprint: str) -> tuple[EndpointCrash, ...]:
        """Return the ends that are evidence against a request, in the order of their telling."""
        return tuple(
            EndpointCrash(each.endpoint_id, each.zone, each.at, (fingerprint,))
            for each in self._unexplained_crashes(fingerprint)
        )

    def _unexplained_crashes(self, fingerprint: str) -> list[_Crash]:
        found = self._suspects.get(fingerprint, ())
        return [each for each in found if not each.is_explained_for(fingerprint)]

    def _count_causes(self, fingerprint: str, ends: list[_Crash]) -> int:
        """Return how many causes a request's ends have; ends with a common cause are one."""
        count = 0
        for _, of_zone in itertools.groupby(
            sorted(ends, key=lambda each: (each.zone, each.at)), lambda each: each.zone
        ):
            count += sum(
                self._count_cluster_causes(fingerprint, each) for each in _group_by_time(of_zone)
            )
        return count

    def _count_cluster_causes(self, fingerprint: str, cluster: list[_Crash]) -> int:
        if len(cluster) == 1:
            return 1
        first, last = cluster[0].at - COMMON_CAUSE_SECONDS, cluster[-1].at + COMMON_CAUSE_SECONDS
        without = any(
            each.zone == cluster[0].zone
            and first <= each.at <= last
            and fingerprint not in each.requests
            for each in self._crashes.values()
        )
        return 1 if without else len(cluster)

    def _is_confirmed(self, fingerprint: str, now: float) -> bool:
        if (
            self._count_causes(fingerprint, self._suspects[fingerprint])
            >= MIXED_CRASHES_TO_QUARANTINE
        ):
            return True
        ends = self._unexplained_crashes(fingerprint)
        count = self._count_causes(fingerprint, ends)
        if count >= CRASHES_TO_QUARANTINE:
            return True
        # Ends with a common cause are no evidence by themselves.
        if count < max(LONE_CRASHES_TO_QUARANTINE, len(ends)):
            return False
        if self._has_only_unanswered_sends(fingerprint):
            return True
        if now - max(each.at for each in ends) < PROPAGATION_SECONDS:
            return False
        others = set.intersection(*(each.requests for each in ends))
        return others == {fingerprint} and not any(each.omitted for each in ends)

    def _has_only_unanswered_sends(self, fingerprint: str) -> bool:
        """Tell whether no recorded send was ever answered, and earlier ends had no witness.

        Notes
        -----
        A send that its process took with it a moment after may not have begun, so that its endpoint
        is still there. Of three sends of a life that ended 0.03 s later one was such, each time.
        """
        recorded = self._intents.get(fingerprint, NO_INTENTS)
        return recorded.sends >= CRASHES_TO_QUARANTINE and bool(recorded.unobserved)

    def get_status(self, fingerprint: str, now: float) -> QuarantineStatus:
        """Return what is known of a request, by holds and by the evidence against it."""
        hold = self._entries.get(fingerprint)
        if hold is not None and not hold.is_released:
            return (
                QuarantineStatus.TRIAL_DUE
                if self._is_trial_due(hold, now)
                else QuarantineStatus.QUARANTINED
            )
        return (
            QuarantineStatus.SUSPECTED
            if self._unexplained_crashes(fingerprint)
            else QuarantineStatus.CLEAR
        )

    @staticmethod
    def _is_trial_due(hold: QuarantineEntry, now: float) -> bool:
        return hold.trials < len(TRIAL_SECONDS) and now >= hold.next_trial

    # Verdicts

    def evaluate(self, now: float, restarts: Sequence[float] = ()) -> tuple[QuarantineEntry, ...]:
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
        while proved := self._confirmed(now):
            most = max(len(self._suspects[each]) for each in proved)
            worst = sorted(each for each in proved if len(self._suspects[each]) == most)
            holds = [self._create_entry(each, restarts) for each in worst]
            for hold in holds:
                self._store_entry(hold)
            found += holds
        return tuple(found)

    def _confirmed(self, now: float) -> list[str]:
        return [
            each
            for each, ends in self._suspects.items()
            if len(ends) >= LONE_CRASHES_TO_QUARANTINE
            and self.get_entry(each) is None
            and self._is_confirmed(each, now)
        ]

    def _create_entry(self, fingerprint: str, restarts: Sequence[float]) -> QuarantineEntry:
        ends = self._suspects[fingerprint]
        since = max(each.at for each in ends)
        names = tuple(dict.fromkeys(each.endpoint_id for each in ends))
        hold = QuarantineEntry(fingerprint, names, since, next_trial=since + TRIAL_SECONDS[0])
        # Each end later than the third one has used up a trial, and so has a send without answer.
        recorded = self._intents.get(fingerprint, NO_INTENTS)
        unobserved = self._count_unobserved_crashes(recorded.unobserved, names, restarts)
        late = max(len(names), recorded.sends) + unobserved - CRASHES_TO_QUARANTINE
        return hold.with_trials(late) if late > 0 else hold

    def _count_unobserved_crashes(
        self, recorded: frozenset[str], names: tuple[str, ...], restarts: Sequence[float]
    ) -> int:
        """Return how many other endpoints may have ended under a request that nobody remembers."""
        ends = [
            *self._unobserved,
            *((each.endpoint_id, each.at) for each in self._crashes.values()),
        ]
        near = {endpoint_id for endpoint_id, at in ends if is_near_restart(at, restarts)}
        return len(near.union(recorded).difference(names))

    def _store_entry(self, hold: QuarantineEntry) -> None:
        self._entries[hold.fingerprint] = hold
        self._entries.move_to_end(hold.fingerprint)
        if not hold.is_released:
            for end in self._suspects.get(hold.fingerprint, ()):
                end.explained_by.add(hold.fingerprint)
        self._evict_oldest()

    def get_entry(self, fingerprint: str) -> QuarantineEntry | None:
        """Return the hold of a request that is not run; None if it is run."""
        hold = self._entries.get(fingerprint)
        return None if hold is None or hold.is_released else hold

    def list_entries(self) -> tuple[QuarantineEntry, ...]:
        """Return all holds, the oldest first."""
        return tuple(each for each in self._entries.values() if not each.is_released)

    def merge_entry(self, hold: QuarantineEntry, now: float) -> bool:
        """Take a hold that another process told or that was kept; True if it is news."""
        known = self._entries.get(hold.fingerprint)
        if is_entry_expired(hold, now):
            return False
        if known is not None and hold.rank <= known.rank:
            return False
        self._store_entry(hold)
        if hold.is_released:
            self.clear_request(hold.fingerprint, hold.since)
        return True

    def list_suspects(self, now: float) -> frozenset[str]:
        """Return the requests that are suspected, and run."""
        return frozenset(
            each
            for each in self._suspects
            if self.get_status(each, now) is QuarantineStatus.SUSPECTED
        )

    # What clears a request

    def clear_request(self, fingerprint: str, now: float) -> bool:
        """Clear a request that an endpoint has answered; True if there was evidence against it."""
        self._intents.pop(fingerprint, None)
        if fingerprint not in self._suspects and self.get_entry(fingerprint) is None:
            return False
        hold = self.get_entry(fingerprint)
        if hold is not None:
            self._entries[fingerprint] = replace(hold, is_released=True)
        for end in self._suspects.get(fingerprint, ()):
            end.explained_by.discard(fingerprint)
        self._drop_suspect(fingerprint)
        self._released[fingerprint] = now
        self._released.move_to_end(fingerprint)
        self._evict_oldest()
        return True

    def merge_release(self, release: Release) -> bool:
        """Take word that a request was answered elsewhere; True if that is news."""
        ends = self._suspects.get(release.fingerprint, ())
        hold = self.get_entry(release.fingerprint)
        is_later = hold is not None and hold.since > release.at
        if is_later or any(each.at > release.at for each in ends):
            return False
        return self.clear_request(release.fingerprint, release.at)

    def drop_expired(self, now: float) -> tuple[str, ...]:
        """Drop what is too old, and return the requests that were held back until now."""
        for key in [key for key, end in self._crashes.items() if is_expired(end.at, now)]:
            self._drop_crash(key)
        old = [each for each in self._entries.values() if is_entry_expired(each, now)]
        for hold in old:
            del self._entries[hold.fingerprint]
        for name in [name for name, at in self._released.items() if is_expired(at, now)]:
            del self._released[name]
        while self._unobserved and is_expired(self._unobserved[0][1], now):
            self._unobserved.popleft()
        return tuple(each.fingerprint for each in old if not each.is_released)

    # Word between processes

    def build_update(self, now: float) -> QuarantineUpdate | None:
        """Return what others have to be told; None if that is nothing."""
        fresh = [each for each in self._crashes.values() if now - each.at <= GOSSIP_SECONDS]
        holds = tuple(self._entries.values())[-MAX_GOSSIPED_ENTRIES:]
        released = tuple(
            Release(name, at) for name, at in self._released.items() if now - at <= GOSSIP_SECONDS
        )
        if not fresh and not holds and not released:
            return None
        return QuarantineUpdate(
            self._select_gossip(fresh), holds, released[-MAX_GOSSIPED_REQUESTS:]
        )

    def _select_gossip(self, ends: list[_Crash]) -> tuple[EndpointCrash, ...]:
        """Return ends with as many of their requests as may be told: the most suspected ones."""
        ranked = sorted(
            {each for end in ends for each in end.requests},
            key=lambda each: (-len(self._suspects[each]), each),
        )
        told = frozenset(ranked[:MAX_GOSSIPED_REQUESTS])
        return tuple(_to_message(each, told) for each in ends)

    def merge_update(self, word: QuarantineUpdate, now: float) -> bool:
        """Take what another process tells; True if anything was news."""
        news = [self.record_crash(each, now) for each in word.crashes]
        news += [self.merge_entry(each, now) for each in word.entries]
        news += [self.merge_release(each) for each in word.releases]
        return any(news)


def is_near_restart(at: float, restarts: Sequence[float]) -> bool:
    """Tell whether something happened so close to a restart that its witness may be gone."""
    return any(abs(at - began) <= RESTART_SECONDS for began in restarts)


def _to_message(end: _Crash, told: frozenset[str]) -> EndpointCrash:
    requests = tuple(sorted(end.requests & told))
    omitted = max(end.omitted, len(end.requests) - len(requests))
    return EndpointCrash(end.endpoint_id, end.zone, end.at, requests, omitted)


def _group_by_time(ends: Iterable[_Crash]) -> list[list[_Crash]]:
    """Return ends of one zone in groups that came at the same moment; they are sorted by time."""
    found: list[list[_Crash]] = []
    for end in ends:
        if found and end.at - found[-1][-1].at <= COMMON_CAUSE_SECONDS:
            found[-1].append(end)
        else:
            found.append([end])
    return found
