"""Detection and quarantine of poison requests, which crash the endpoints that run them.

Load pattern: a caller repeats one request under new request ids at any entry process, and each
endpoint that starts to run it crashes together with everything else running there. Attempt limits
count one request id at one process, and health checks count one endpoint, so neither detects this.
Here crashes are counted per request fingerprint over all processes.

Evidence against a request is that endpoints crashed while it was running on them. Requests running
beside it collect the same evidence, so a single crash is not sufficient. A request is quarantined
after three crashes, or after two if no other request was present at both. A crash explained by an
already quarantined request is not evidence against others. Several crashes in one availability
zone at the same moment, some of them without the request, have a common cause and count once. Any
response to a request clears it.

A quarantined request may be innocent, so it gets trial requests after a delay, as in a half-open
circuit breaker: at most three over all processes, each claimed by one process. A successful trial
releases the request.

A killed process loses its in-memory evidence, and any of its requests may have caused the endpoint
crashes around that time. A request confirmed later may therefore have caused three crashes before,
so every crash beyond the third is counted as a used trial.
"""

import itertools
from collections import OrderedDict, deque
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field, replace

from flamingofront.decisions.gossip_scope import (
    GOSSIP_SECONDS,
    RECENT_SECONDS,
    GossipedCrash,
    GossipScope,
)
from flamingofront.decisions.part_facts import parse_part_key
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

# Crashes after which a request is quarantined. Nine crashes within 1.3 s lose a whole fleet, and an
# innocent retried stream was present at two crashes of a poison request in 50 observed cases.
CRASHES_TO_QUARANTINE = 3
# Crashes that are sufficient even if quarantined requests explain some of them: two poison requests
# may have run on the same endpoints, and the one confirmed first must not hide the other.
MIXED_CRASHES_TO_QUARANTINE = CRASHES_TO_QUARANTINE + 1
# Crashes that are sufficient if no other request was present at every one of them.
LONE_CRASHES_TO_QUARANTINE = 2
# Crashes of one request at which its evidence is stored immediately, so that one more crash is
# enough after all processes restart. A single crash is stored if the request is not cleared within
# `PROPAGATION_SECONDS`.
CRASHES_TO_PERSIST = 2
# Time after a crash until gossip has arrived, also through relays, about the requests that other
# processes had on the endpoint.
PROPAGATION_SECONDS = 1.0
# Reports on an endpoint within this time describe one crash: processes have different clocks, and
# an endpoint takes longer than this to restart.
SAME_CRASH_SECONDS = 3.0
# Crashes with a common cause, such as a power loss in a zone, occur within this time.
COMMON_CAUSE_SECONDS = 0.2
# A process that started this close to a crash may have had unknown requests there in its previous
# incarnation: a killed process restarts within seconds, and an endpoint row expires after four.
RESTART_SECONDS = 8.0
MAX_UNOBSERVED = 64
NO_INTENTS = IntentSummary()
PartEntry = tuple[frozenset[str], QuarantineEntry]
# These bounds limit memory to 1.6 MB when all suspects are present at 512 crashes.
MAX_SUSPECTS = 4096
MAX_CRASHES = 512
MAX_ENTRIES = 1024
MAX_RELEASES = 1024
# Maximum number of requests and entries in one message: a report to 16 peers must stay small enough
# to be sent to all of them at once.
MAX_GOSSIPED_REQUESTS = 96
MAX_GOSSIPED_ENTRIES = 48


@dataclass(eq=False)
class _Crash(GossipedCrash):
    """Crash of an endpoint, with the requests that were running on it."""

    requests: set[str] = field(default_factory=set)
    omitted: int = 0
    explained_by: set[str] = field(default_factory=set)

    def is_explained_for(self, fingerprint: str) -> bool:
        """Return True if only other, quarantined requests explain the crash."""
        return bool(self.explained_by) and fingerprint not in self.explained_by


class Quarantine:
    """Evidence and quarantine entries by fingerprint; times are shared wall clock seconds."""

    def __init__(self):
        self._crashes: OrderedDict[tuple[str, float], _Crash] = OrderedDict()
        self._suspects: OrderedDict[str, list[_Crash]] = OrderedDict()
        self._entries: OrderedDict[str, QuarantineEntry] = OrderedDict()
        self._released: OrderedDict[str, float] = OrderedDict()
        self._unobserved: deque[tuple[str, float]] = deque(maxlen=MAX_UNOBSERVED)
        # Intents in the store outlive the processes that sent the request.
        self._intents: OrderedDict[str, IntentSummary] = OrderedDict()
        # Entries of prompt parts, all and the smallest sets; None after a change of the entries.
        self._part_entries: tuple[list[PartEntry], list[PartEntry]] | None = None

    def __bool__(self) -> bool:
        """Return True while there is evidence against any request, or an intent for it."""
        return bool(self._suspects or self._entries or self._intents)

    # Evidence

    def record_crash(self, crash: EndpointCrash, now: float, is_own: bool = False) -> bool:
        """Record a crash and return True if it added a crash or a request.

        Parameters
        ----------
        is_own : bool
            True if this process has observed the crash.
        """
        if now - crash.at > EVIDENCE_LIFETIME_SECONDS:
            return False
        existing = self._find_crash(crash)
        is_new = existing is None
        if existing is None:
            existing = self._crashes[crash.endpoint_id, crash.at] = _Crash(
                crash.endpoint_id, crash.zone, crash.at
            )
        existing.omitted = max(existing.omitted, crash.omitted)
        for fingerprint in crash.requests:
            if fingerprint in existing.requests or self._is_cleared_since(fingerprint, existing.at):
                continue
            is_new = True
            existing.requests.add(fingerprint)
            self._suspects.setdefault(fingerprint, []).append(existing)
            self._suspects.move_to_end(fingerprint)
            if fingerprint in self._entries and not self._entries[fingerprint].is_released:
                existing.explained_by.add(fingerprint)
        if is_new:
            existing.mark_changed(now, is_own)
        self._evict_oldest()
        return is_new

    def _find_crash(self, crash: EndpointCrash) -> _Crash | None:
        for existing in reversed(self._crashes.values()):
            if (
                existing.endpoint_id == crash.endpoint_id
                and abs(existing.at - crash.at) < SAME_CRASH_SECONDS
            ):
                return existing
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
            self._part_entries = None
        while len(self._released) > MAX_RELEASES:
            self._released.popitem(last=False)

    def _drop_suspect(self, fingerprint: str) -> None:
        for crash in self._suspects.pop(fingerprint, ()):
            crash.requests.discard(fingerprint)

    def _drop_crash(self, key: tuple[str, float]) -> None:
        crash = self._crashes.pop(key)
        for fingerprint in crash.requests:
            crashes = self._suspects[fingerprint]
            crashes.remove(crash)
            if not crashes:
                del self._suspects[fingerprint]

    def add_unobserved_crash(self, endpoint_id: str, at: float) -> None:
        """Record a crash at which no running process had a request on the endpoint."""
        self._unobserved.append((endpoint_id, at))

    def merge_intents(self, fingerprint: str, intents: IntentSummary) -> None:
        """Store the summary of the recorded intents of an unanswered request."""
        self._intents[fingerprint] = intents
        self._intents.move_to_end(fingerprint)
        while len(self._intents) > MAX_ENTRIES:
            self._intents.popitem(last=False)

    def get_crashed_endpoints(self) -> frozenset[str]:
        """Return the ids of endpoints with recorded crashes."""
        return frozenset(endpoint_id for endpoint_id, _ in self._crashes)

    def last_crash_at(self, endpoint_id: str) -> float | None:
        """Return the time of the last recorded crash of an endpoint, None if there is none."""
        times = [each.at for (name, _), each in self._crashes.items() if name == endpoint_id]
        return max(times, default=None)

    def is_unattributed(self, endpoint_id: str) -> bool:
        """Return True if an endpoint crashed and no request is known to have been running on it."""
        crashes = [each for (name, _), each in self._crashes.items() if name == endpoint_id]
        return bool(crashes) and not any(each.requests or each.omitted for each in crashes)

    def collect_evidence(
        self, fingerprints: Iterable[str], min_crashes: int
    ) -> dict[str, tuple[EndpointCrash, ...]]:
        """Return the crashes, by fingerprint, of unquarantined requests that have enough of them.

        Parameters
        ----------
        min_crashes : int
            Crashes that a request needs to be included.

        Notes
        -----
        Every crash is marked as incomplete, because the other requests at it are left out.
        """
        found = {}
        for fingerprint in fingerprints:
            crashes = self._suspects.get(fingerprint, ())
            if len(crashes) >= min_crashes and self.get_entry(fingerprint) is None:
                found[fingerprint] = tuple(
                    EndpointCrash(each.endpoint_id, each.zone, each.at, (fingerprint,), omitted=1)
                    for each in crashes
                )
        return found

    def get_crashes(self, fingerprint: str) -> tuple[EndpointCrash, ...]:
        """Return the crashes that are evidence against a request, in the order of arrival."""
        return tuple(
            EndpointCrash(each.endpoint_id, each.zone, each.at, (fingerprint,))
            for each in self._get_unexplained_crashes(fingerprint)
        )

    def _get_unexplained_crashes(self, fingerprint: str) -> list[_Crash]:
        found = self._suspects.get(fingerprint, ())
        return [each for each in found if not each.is_explained_for(fingerprint)]

    def _count_causes(self, fingerprint: str, crashes: list[_Crash]) -> int:
        """Count crashes of a request; those with a common cause count as one."""
        count = 0
        for _, zone_crashes in itertools.groupby(
            sorted(crashes, key=lambda each: (each.zone, each.at)), lambda each: each.zone
        ):
            count += sum(
                self._count_cluster_causes(fingerprint, each)
                for each in _group_by_time(zone_crashes)
            )
        return count

    def _count_cluster_causes(self, fingerprint: str, cluster: list[_Crash]) -> int:
        """Count the causes of simultaneous crashes of one zone; 1 if the request missed any."""
        if len(cluster) == 1:
            return 1
        first, last = cluster[0].at - COMMON_CAUSE_SECONDS, cluster[-1].at + COMMON_CAUSE_SECONDS
        has_crash_without = any(
            each.zone == cluster[0].zone
            and first <= each.at <= last
            and fingerprint not in each.requests
            for each in self._crashes.values()
        )
        return 1 if has_crash_without else len(cluster)

    def _is_confirmed(self, fingerprint: str, now: float) -> bool:
        if (
            self._count_causes(fingerprint, self._suspects[fingerprint])
            >= MIXED_CRASHES_TO_QUARANTINE
        ):
            return True
        crashes = self._get_unexplained_crashes(fingerprint)
        count = self._count_causes(fingerprint, crashes)
        if count >= CRASHES_TO_QUARANTINE:
            return True
        # Crashes with a common cause are not sufficient evidence.
        if count < max(LONE_CRASHES_TO_QUARANTINE, len(crashes)):
            return False
        if self._has_only_unanswered_sends(fingerprint):
            return True
        if now - max(each.at for each in crashes) < PROPAGATION_SECONDS:
            return False
        others = set.intersection(*(each.requests for each in crashes))
        return others == {fingerprint} and not any(each.omitted for each in crashes)

    def _has_only_unanswered_sends(self, fingerprint: str) -> bool:
        """Return True if enough sends got no response and earlier crashes were unobserved.

        Notes
        -----
        A process killed just after it recorded a send may not have sent the request, so that the
        endpoint is still running. In each run, one of three sends recorded 0.03 s before a kill had
        not been sent.
        """
        intents = self._intents.get(fingerprint, NO_INTENTS)
        return intents.sends >= CRASHES_TO_QUARANTINE and bool(intents.unobserved)

    def get_status(self, fingerprint: str, now: float) -> QuarantineStatus:
        """Return the quarantine status of a request."""
        entry = self._entries.get(fingerprint)
        if entry is not None and not entry.is_released:
            return (
                QuarantineStatus.TRIAL_DUE
                if self._is_trial_due(entry, now)
                else QuarantineStatus.QUARANTINED
            )
        return (
            QuarantineStatus.SUSPECTED
            if self._get_unexplained_crashes(fingerprint)
            else QuarantineStatus.CLEAR
        )

    @staticmethod
    def _is_trial_due(entry: QuarantineEntry, now: float) -> bool:
        return entry.trials < len(TRIAL_SECONDS) and now >= entry.next_trial

    # Quarantine entries

    def evaluate(self, now: float, restarts: Sequence[float] = ()) -> tuple[QuarantineEntry, ...]:
        """Quarantine all requests with sufficient evidence and return their new entries.

        Parameters
        ----------
        restarts : sequence of float
            Start times of the entry processes; the requests of earlier incarnations are unknown.

        Notes
        -----
        Requests with the most crashes are quarantined first, so that these crashes are explained
        and no longer count against the requests that ran beside them. Requests with equally many
        crashes are quarantined together.
        """
        found: list[QuarantineEntry] = []
        while confirmed := self._find_confirmed(now):
            most = max(len(self._suspects[each]) for each in confirmed)
            worst = sorted(each for each in confirmed if len(self._suspects[each]) == most)
            entries = [self._create_entry(each, restarts) for each in worst]
            for entry in entries:
                self.store_entry(entry)
            found += entries
        return tuple(found)

    def _find_confirmed(self, now: float) -> list[str]:
        return [
            each
            for each, crashes in self._suspects.items()
            if len(crashes) >= LONE_CRASHES_TO_QUARANTINE
            and self.get_entry(each) is None
            and self._is_confirmed(each, now)
        ]

    def _create_entry(self, fingerprint: str, restarts: Sequence[float]) -> QuarantineEntry:
        crashes = self._suspects[fingerprint]
        since = max(each.at for each in crashes)
        endpoint_ids = tuple(dict.fromkeys(each.endpoint_id for each in crashes))
        entry = QuarantineEntry(
            fingerprint, endpoint_ids, since, next_trial=since + TRIAL_SECONDS[0]
        )
        # Every crash or unanswered send beyond the third one uses up a trial.
        intents = self._intents.get(fingerprint, NO_INTENTS)
        unobserved = self._count_unobserved_crashes(intents.unobserved, endpoint_ids, restarts)
        used_trials = max(len(endpoint_ids), intents.sends) + unobserved - CRASHES_TO_QUARANTINE
        return entry.with_trials(used_trials) if used_trials > 0 else entry

    def _count_unobserved_crashes(
        self, unobserved: frozenset[str], endpoint_ids: tuple[str, ...], restarts: Sequence[float]
    ) -> int:
        """Count further endpoints whose unattributed crashes the request may have caused."""
        crashes = [
            *self._unobserved,
            *((each.endpoint_id, each.at) for each in self._crashes.values()),
        ]
        crashed_near_restart = {
            endpoint_id for endpoint_id, at in crashes if is_near_restart(at, restarts)
        }
        return len(crashed_near_restart.union(unobserved).difference(endpoint_ids))

    def store_entry(self, entry: QuarantineEntry) -> None:
        """Store an entry in place of an older one with its fingerprint or key."""
        self._part_entries = None
        self._entries[entry.fingerprint] = entry
        self._entries.move_to_end(entry.fingerprint)
        if entry.is_released:
            for crash in self._crashes.values():
                crash.explained_by.discard(entry.fingerprint)
        else:
            for crash in self._suspects.get(entry.fingerprint, ()):
                crash.explained_by.add(entry.fingerprint)
        self._evict_oldest()

    def get_entry(self, fingerprint: str) -> QuarantineEntry | None:
        """Return the entry of a quarantined request, None if it is not quarantined."""
        entry = self._entries.get(fingerprint)
        return None if entry is None or entry.is_released else entry

    def list_entries(self) -> tuple[QuarantineEntry, ...]:
        """Return the entries of all quarantined requests, oldest first."""
        return tuple(each for each in self._entries.values() if not each.is_released)

    def merge_entry(self, entry: QuarantineEntry, now: float) -> bool:
        """Merge an entry from a peer or from the store; return True if it changed anything."""
        existing = self._entries.get(entry.fingerprint)
        if is_entry_expired(entry, now):
            return False
        if existing is not None and entry.rank <= existing.rank:
            return False
        self.store_entry(entry)
        if entry.is_released:
            self.clear_request(entry.fingerprint, entry.since)
        return True

    def all_part_entries(self) -> list[PartEntry]:
        """Return the parts and the entry of each quarantined set of prompt parts."""
        return self._index_part_entries()[0]

    def part_entries(self) -> list[PartEntry]:
        """Return the sets of prompt parts without those that contain another one."""
        return self._index_part_entries()[1]

    def _index_part_entries(self) -> tuple[list[PartEntry], list[PartEntry]]:
        if self._part_entries is None:
            found = ((parse_part_key(each.fingerprint), each) for each in self.list_entries())
            entries = [(parts, entry) for parts, entry in found if parts]
            smallest = [
                each for each in entries if not any(other < each[0] for other, _ in entries)
            ]
            self._part_entries = entries, smallest
        return self._part_entries

    def explain_crashes(self, key: str, endpoint_ids: Iterable[str]) -> None:
        """Mark the crashes of some endpoints as explained by a quarantined set of parts."""
        explained = frozenset(endpoint_ids)
        for crash in self._crashes.values():
            if crash.endpoint_id in explained:
                crash.explained_by.add(key)

    def list_suspects(self, now: float) -> frozenset[str]:
        """Return the fingerprints of suspected requests, which are still run."""
        return frozenset(
            each
            for each in self._suspects
            if self.get_status(each, now) is QuarantineStatus.SUSPECTED
        )

    # Release

    def clear_request(self, fingerprint: str, now: float) -> bool:
        """Clear a request after a response; return True if there was evidence against it."""
        self._intents.pop(fingerprint, None)
        if fingerprint not in self._suspects and self.get_entry(fingerprint) is None:
            return False
        entry = self.get_entry(fingerprint)
        if entry is not None:
            self.store_entry(replace(entry, is_released=True))
        for crash in self._suspects.get(fingerprint, ()):
            crash.explained_by.discard(fingerprint)
        self._drop_suspect(fingerprint)
        self._released[fingerprint] = now
        self._released.move_to_end(fingerprint)
        self._evict_oldest()
        return True

    def merge_release(self, release: Release) -> bool:
        """Merge a release by another process; return True if it cleared the request."""
        crashes = self._suspects.get(release.fingerprint, ())
        entry = self.get_entry(release.fingerprint)
        is_later = entry is not None and entry.since > release.at
        if is_later or any(each.at > release.at for each in crashes):
            return False
        return self.clear_request(release.fingerprint, release.at)

    def drop_expired(self, now: float) -> tuple[str, ...]:
        """Drop expired crashes, entries and releases; return requests whose quarantine expired."""
        for key in [key for key, crash in self._crashes.items() if is_expired(crash.at, now)]:
            self._drop_crash(key)
        expired = [each for each in self._entries.values() if is_entry_expired(each, now)]
        for entry in expired:
            del self._entries[entry.fingerprint]
            self._part_entries = None
        for name in [name for name, at in self._released.items() if is_expired(at, now)]:
            del self._released[name]
        while self._unobserved and is_expired(self._unobserved[0][1], now):
            self._unobserved.popleft()
        return tuple(each.fingerprint for each in expired if not each.is_released)

    # Gossip

    def build_update(
        self, now: float, scope: GossipScope = GossipScope.ALL
    ) -> QuarantineUpdate | None:
        """Return the gossip message for peers, None if there is nothing to send."""
        if scope is GossipScope.NONE:
            return None
        crashes = [each for each in self._crashes.values() if each.is_in_scope(scope, now)]
        entries = self._entries.values()
        seconds = GOSSIP_SECONDS
        if scope is not GossipScope.ALL:
            entries = [each for each in entries if now - each.since <= GOSSIP_SECONDS]
            seconds = RECENT_SECONDS
        released = tuple(
            Release(name, at) for name, at in self._released.items() if now - at <= seconds
        )
        if not crashes and not entries and not released:
            return None
        return QuarantineUpdate(
            self._select_gossip(crashes),
            tuple(entries)[-MAX_GOSSIPED_ENTRIES:],
            released[-MAX_GOSSIPED_REQUESTS:],
        )

    def _select_gossip(self, crashes: list[_Crash]) -> tuple[EndpointCrash, ...]:
        """Return crashes with the most suspected of their requests, up to the message limit."""
        ranked = sorted(
            {each for crash in crashes for each in crash.requests},
            key=lambda each: (-len(self._suspects[each]), each),
        )
        included = frozenset(ranked[:MAX_GOSSIPED_REQUESTS])
        return tuple(_build_crash_message(each, included) for each in crashes)

    def merge_update(self, update: QuarantineUpdate, now: float) -> bool:
        """Merge a gossip message from a peer; return True if it changed anything."""
        changes = [self.record_crash(each, now) for each in update.crashes]
        changes += [self.merge_entry(each, now) for each in update.entries]
        changes += [self.merge_release(each) for each in update.releases]
        return any(changes)


def is_near_restart(at: float, restarts: Sequence[float]) -> bool:
    """Return True if a restart close to a time may have lost the evidence of that time."""
    return any(abs(at - started_at) <= RESTART_SECONDS for started_at in restarts)


def _build_crash_message(crash: _Crash, included: frozenset[str]) -> EndpointCrash:
    requests = tuple(sorted(crash.requests & included))
    omitted = max(crash.omitted, len(crash.requests) - len(requests))
    return EndpointCrash(crash.endpoint_id, crash.zone, crash.at, requests, omitted)


def _group_by_time(crashes: Iterable[_Crash]) -> list[list[_Crash]]:
    """Group the crashes of one zone, sorted by time, into clusters of simultaneous crashes."""
    found: list[list[_Crash]] = []
    for crash in crashes:
        if found and crash.at - found[-1][-1].at <= COMMON_CAUSE_SECONDS:
            found[-1].append(crash)
        else:
            found.append([crash])
    return found
