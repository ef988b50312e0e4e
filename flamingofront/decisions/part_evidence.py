"""Detection of prompt parts that crash the endpoints which begin to answer requests with them.

Load pattern: requests that differ in everything but one part of their prompts crash one endpoint
after the other. Each has a fingerprint of its own, so that counting by fingerprint never adds up.

Evidence against a part is a crash of an endpoint that had a request with it, whether or not it had
begun to answer that request, or from which such a request had been withdrawn a moment before: an
endpoint may crash after some events, and after its caller has left. Only a whole response to a
request with the part refutes all earlier evidence. Parts that many requests share are present at
most crashes too. They are told apart by such responses, and before there are any by the time that
requests with them spend at endpoints (`flamingofront.decisions.part_exposure`).

A hypothesis is a set of parts: those that all interrupted requests with a suspect part have in
common and that no request is known to have been answered with. Only requests that hold the whole
set are rejected, so that companions of a poison part are not blamed before an answer tells them
apart. A crash at which a request held a quarantined set is explained, and is no evidence against
other parts.
"""

import math
from collections import Counter, OrderedDict, deque
from collections.abc import Callable, Collection, Iterable, Mapping
from dataclasses import dataclass, field

from flamingofront.decisions.gossip_scope import GossipedCrash, GossipScope
from flamingofront.decisions.part_exposure import (
    MAX_COMMON_SHARE,
    MIN_OTHER_REQUESTS,
    PartExposure,
    compute_chance,
)
from flamingofront.decisions.part_facts import (
    InterruptedRequest,
    PartAnswer,
    PartCrash,
    PartTimes,
    PartUpdate,
)
from flamingofront.decisions.quarantine_facts import EVIDENCE_LIFETIME_SECONDS

__all__ = ["Hypothesis", "PartEvidence"]

# Answers of one process by which a part counts as common.
MIN_COMMON_ANSWERS = 4
# Crashes that are sufficient against a part that no request is known to have been answered with.
# One fewer than the five after which all processes have to know a part, since gossip takes time.
CRASHES_TO_BLAME = 4
# Requests that have to be involved. Repeats of a single request are left to its fingerprint.
REQUESTS_TO_BLAME = 2
# Answers that a process must have seen before it blames a part for the lack of answers, unless it
# knows that few requests have the part: after a restart, parts that all requests share have not
# been answered either.
MIN_ANSWERS = 4
# Largest probability that as many crashes come by chance while requests with a part are there. An
# hour of random crashes tests thousands of parts that few requests share.
MAX_CHANCE = 1e-5
# The rate of other crashes is taken over at least so long before the first one with a part; half a
# crash is added, since none in a short time does not show that there are none.
BASE_SECONDS = 10.0
PRIOR_CRASHES = 0.5
MIN_EXPOSURE_SECONDS = 0.05
# A part counts as absent from a tenth of the requests at least, so that answers to others count.
MAX_SHARE = 0.9
# If answers to other requests let so many be expected to requests with a part and there are none,
# this outweighs its requests that go on elsewhere.
EXPECTED_ANSWERS = 8.0
# The same for a part that has been answered, and may have begun to crash a new model version.
PROVEN_CRASHES_TO_BLAME = 6
PROVEN_REQUESTS_TO_BLAME = 4
PROVEN_MIN_ANSWERS = 6
# Crashes by which a part has to be ahead of all others if too few answers are known.
MIN_LEAD = 2
# Crashes that it then has to be at for each one without it.
CRASHES_PER_OTHER = 8
# Longest time from the sending of its requests to the crashes. Requests that run for longer are
# interrupted by crashes of any cause.
MAX_EARLY_SECONDS = 0.5
# Largest number of parts in a hypothesis; prompts may hold hundreds that come together.
MAX_HYPOTHESIS_PARTS = 8
# Time after a crash until gossip about answers has arrived.
PROPAGATION_SECONDS = 1.0
# Reports on an endpoint within this time describe one crash.
SAME_CRASH_SECONDS = 3.0
# Crashes with a common cause, such as a power loss in a zone, occur within this time.
COMMON_CAUSE_SECONDS = 0.2
# Crashes in several zones so close to each other have a common cause.
SIMULTANEOUS_SECONDS = 0.02
MAX_CRASHES = 128
# Parts with the most crashes that are considered, and hypotheses found, in one evaluation.
MAX_CANDIDATES = 48
MAX_HYPOTHESES = 4
MAX_REQUESTS_PER_CRASH = 128
MAX_ANSWERED_PARTS = 4096
MAX_RECENT_ANSWERS = 256
# Largest number of parts in one message, counted once for each request: a report to 16 peers must
# stay small enough to be sent to all of them at once.
MAX_GOSSIPED_PARTS = 64
MAX_GOSSIPED_SURVIVORS = 32
# Survivors decide on parts with `CRASHES_TO_BLAME` crashes, and are gossiped from half as many on.
CRASHES_TO_GOSSIP_SURVIVORS = CRASHES_TO_BLAME // 2


@dataclass(frozen=True)
class Hypothesis:
    """Parts of which at least one is thought to crash endpoints.

    Parameters
    ----------
    parts : frozenset of str
        Parts that all requests involved hold.
    endpoints : tuple of str
        Endpoints that crashed, in the order of their crashes.
    since : float
        Time of the last of these crashes, in seconds of the wall clock.
    request_count : int
        Number of different requests involved.
    """

    parts: frozenset[str]
    endpoints: tuple[str, ...]
    since: float
    request_count: int

    @property
    def rank(self) -> tuple[int, int, list[str]]:
        """Sort key: the hypothesis with the most evidence comes first."""
        return -len(self.endpoints), -self.request_count, sorted(self.parts)


@dataclass(eq=False)
class _Crash(GossipedCrash):
    """Crash of an endpoint, with the parts of each request and the seconds that it was there."""

    requests: dict[str, frozenset[str]] = field(default_factory=dict)
    parts: set[str] = field(default_factory=set)
    seconds: dict[str, float] = field(default_factory=dict)
    active_seconds: dict[str, float] = field(default_factory=dict)

    def add(self, request: InterruptedRequest) -> bool:
        """Add a request; return True if it brought anything new."""
        known = self.requests.get(request.fingerprint)
        if known is None and len(self.requests) >= MAX_REQUESTS_PER_CRASH:
            return False
        merged = (known or frozenset()).union(request.parts)
        self.requests[request.fingerprint] = merged
        self.parts |= merged
        self.add_times(request.fingerprint, request.seconds, request.active_seconds)
        return merged != known

    def add_times(self, fingerprint: str, seconds: float, active_seconds: float) -> None:
        """Keep the longest times of a request."""
        for known, added in ((self.seconds, seconds), (self.active_seconds, active_seconds)):
            known[fingerprint] = max(added, known.get(fingerprint, 0.0))

    def seconds_with(self, part: str) -> float:
        """Return the longest time for which a request with a part had been there."""
        return max(self.seconds[name] for name, held in self.requests.items() if part in held)

    def active_seconds_with(self, part: str) -> float:
        """Return the longest time until the last event of a request with a part."""
        found = (name for name, held in self.requests.items() if part in held)
        return max(self.active_seconds[name] for name in found)

    def is_explained(self, blamed: Collection[frozenset[str]]) -> bool:
        """Return True if a request held a quarantined set of parts."""
        return any(held <= parts for parts in self.requests.values() for held in blamed)


class PartEvidence:
    """Crashes and answers by prompt part; times are shared wall clock seconds.

    Attributes
    ----------
    exposure : PartExposure
        Requests with parts that did not end in crashes.
    endpoint_count : callable
        Returns the number of live endpoints.
    """

    def __init__(self):
        self.exposure = PartExposure()
        self.endpoint_count: Callable[[], int] = lambda: 1
        self._crashes: list[_Crash] = []
        self._by_part: dict[str, list[_Crash]] = {}
        self._answered: OrderedDict[str, float] = OrderedDict()
        # Number of answers of this process, by part.
        self._answer_counts: Counter[str] = Counter()
        self._has_loaded_answers = False
        # Times and parts of the latest answers of this process.
        self._recent: deque[tuple[float, frozenset[str]]] = deque(maxlen=MAX_RECENT_ANSWERS)

    def __bool__(self) -> bool:
        """Return True while any crash is known."""
        return bool(self._crashes)

    # Crashes

    def record_crash(self, crash: PartCrash, now: float, is_own: bool = False) -> bool:
        """Record a crash; return True if it brought anything new.

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
            existing = _Crash(crash.endpoint_id, crash.zone, crash.at)
            self._crashes.append(existing)
        is_changed = any([existing.add(each) for each in crash.requests]) or is_new
        if not is_changed:
            return False
        existing.mark_changed(now, is_own)
        for part in existing.parts:
            crashes = self._by_part.setdefault(part, [])
            if existing not in crashes:
                crashes.append(existing)
        if len(self._crashes) > MAX_CRASHES:
            self._keep(self._crashes[-MAX_CRASHES:])
        return True

    def _keep(self, crashes: list[_Crash]) -> None:
        """Drop all other crashes."""
        self._crashes = crashes
        self._by_part = {}
        for crash in crashes:
            for part in crash.parts:
                self._by_part.setdefault(part, []).append(crash)

    def _find_crash(self, crash: PartCrash) -> _Crash | None:
        for each in reversed(self._crashes):
            is_same_time = abs(each.at - crash.at) < SAME_CRASH_SECONDS
            if each.endpoint_id == crash.endpoint_id and is_same_time:
                return each
        return None

    def drop_expired(self, now: float) -> None:
        """Drop crashes that are too old to be evidence."""
        fresh = [each for each in self._crashes if now - each.at <= EVIDENCE_LIFETIME_SECONDS]
        if len(fresh) < len(self._crashes):
            self._keep(fresh)

    # Answers

    def record_answer(self, parts: Collection[str], now: float) -> tuple[str, ...]:
        """Record that an endpoint has answered a request of this process in full.

        Returns
        -------
        tuple of str
            Parts that this answer frees from suspicion.
        """
        self._recent.append((now, frozenset(parts)))
        cleared = tuple(each for each in parts if self._crashes and self._find_evidence(each))
        for each in parts:
            self._store_answer(each, now)
            self._answer_counts[each] += 1
        return cleared

    def list_common_answers(self, limit: int) -> dict[str, float]:
        """Return the times of the last answers to common parts with several, up to a limit."""
        common = self.exposure.list_common()
        counts = {each: count for each in common if (count := self._answer_counts[each])}
        most = sorted(counts, key=lambda each: (-counts[each], each))[:limit]
        return {each: self._answered[each] for each in most if counts[each] >= MIN_COMMON_ANSWERS}

    def load_answers(self, answers: Mapping[str, float]) -> None:
        """Merge answers to common parts from the store, where earlier processes have left them."""
        self._has_loaded_answers = True
        for part, at in answers.items():
            if self._answered.get(part, -math.inf) < at:
                self._store_answer(part, at)

    def merge_answer(self, answer: PartAnswer) -> bool:
        """Merge an answer that another process has seen; return True if it is new evidence."""
        if self._answered.get(answer.part, float("-inf")) >= answer.at:
            return False
        has_evidence = bool(self._find_evidence(answer.part))
        self._store_answer(answer.part, answer.at)
        return has_evidence

    def _store_answer(self, part: str, at: float) -> None:
        self._answered[part] = at
        self._answered.move_to_end(part)
        if len(self._answered) > MAX_ANSWERED_PARTS:
            part, _ = self._answered.popitem(last=False)
            self._answer_counts.pop(part, None)

    def clear(self, part: str, now: float) -> None:
        """Take a part as refuted, because another process or an operator has released it."""
        self._store_answer(part, now)

    def last_answer(self, part: str) -> float | None:
        """Return the time of the last known answer to a request with a part; None if none."""
        return self._answered.get(part)

    # Hypotheses

    def _find_evidence(self, part: str) -> list[_Crash]:
        """Return the crashes of requests with a part since its last answer."""
        answered_at = self._answered.get(part, float("-inf"))
        return [each for each in self._by_part.get(part, ()) if each.at > answered_at]

    def count_crashes(self, part: str) -> int:
        """Return the number of crashes of requests with a part since its last answer."""
        return len(self._find_evidence(part))

    def list_crashed_parts(self) -> frozenset[str]:
        """Return the parts of requests at crashes since their last answers."""
        answered = self._answered
        return frozenset(
            part
            for part, crashes in self._by_part.items()
            if any(each.at > answered.get(part, -math.inf) for each in crashes)
        )

    def list_suspects(self) -> dict[str, list[PartCrash]]:
        """Return the crashes since the last answer, by part, for all parts that have any."""
        found = ((part, self._find_evidence(part)) for part in sorted(self._by_part))
        return {
            part: [_select_part(each, part) for each in crashes]
            for part, crashes in found
            if crashes
        }

    def collect_evidence(
        self, parts: Iterable[str], min_crashes: int
    ) -> dict[str, list[PartCrash]]:
        """Return the evidence to persist, by part, for parts without any known answer."""
        found = {}
        for part in parts:
            crashes = self._find_evidence(part)
            if len(crashes) >= min_crashes and part not in self._answered:
                found[part] = [_select_part(each, part) for each in crashes]
        return found

    def find_hypotheses(self, blamed: Collection[frozenset[str]], now: float) -> list[Hypothesis]:
        """Return the hypotheses with sufficient evidence, those with the most evidence first.

        Parameters
        ----------
        blamed : collection of frozenset of str
            Sets of parts that are quarantined already; crashes that they explain do not count.

        Notes
        -----
        If one hypothesis is a part of another one, the larger set is returned in its place: it
        rejects fewer requests, and an answer to one of them shrinks it.
        """
        suspects = self._select_suspects()
        found: list[Hypothesis] = []
        while suspects and len(found) < MAX_HYPOTHESES:
            explained = [*blamed, *(each.parts for each in found)]
            is_open = {id(each) for each in self._crashes if not each.is_explained(explained)}
            candidates = [
                each
                for part in suspects
                if (each := self._build_hypothesis(part, is_open, now)) is not None
            ]
            if not candidates:
                break
            best = min(candidates, key=lambda each: each.rank)
            more_specific = [each for each in candidates if each.parts > best.parts]
            found.append(max(more_specific, key=lambda each: len(each.parts), default=best))
        return found

    def _select_suspects(self) -> list[str]:
        """Return the parts with enough crashes, those with the most first, up to a limit."""
        counts = {
            part: len(crashes)
            for part, crashes in self._by_part.items()
            if len(crashes) >= CRASHES_TO_BLAME
        }
        return sorted(counts, key=lambda each: (-counts[each], each))[:MAX_CANDIDATES]

    def _build_hypothesis(self, part: str, is_open: set[int], now: float) -> Hypothesis | None:
        """Return the hypothesis that a part is involved, None without sufficient evidence.

        Parameters
        ----------
        is_open : set of int
            Identities of the crashes that no quarantined set of parts explains.
        """
        answered_at = self._answered.get(part)
        crashes = [each for each in self._find_evidence(part) if id(each) in is_open]
        if len(crashes) < CRASHES_TO_BLAME:
            return None
        holders = {
            name: held for crash in crashes for name, held in crash.requests.items() if part in held
        }
        if answered_at is None:
            is_sufficient = self._is_sufficient(part, crashes, len(holders), is_open)
        else:
            is_sufficient = self._is_sufficient_despite_answers(part, crashes, len(holders), now)
        if not is_sufficient or self._is_contested(part, crashes, now):
            return None
        if self._compute_chance(part, crashes, is_open, now) > MAX_CHANCE:
            return None
        common = frozenset.intersection(*holders.values())
        parts = sorted(each for each in common if each == part or each not in self._answered)
        crashes.sort(key=lambda each: each.at)
        return Hypothesis(
            frozenset(parts[:MAX_HYPOTHESIS_PARTS]),
            tuple(each.endpoint_id for each in crashes),
            crashes[-1].at,
            len(holders),
        )

    def _is_sufficient(
        self, part: str, crashes: list[_Crash], request_count: int, is_open: set[int]
    ) -> bool:
        return (
            request_count >= REQUESTS_TO_BLAME
            and self._count_causes(part, crashes) >= CRASHES_TO_BLAME
            and (
                len(self._recent) >= MIN_ANSWERS
                or self._is_known_to_be_uncommon(part)
                or self._stands_out(part, crashes, is_open)
            )
        )

    def _stands_out(self, part: str, crashes: list[_Crash], is_open: set[int]) -> bool:
        """Return True if a part is at nearly all crashes, and each other unanswered one is not.

        Notes
        -----
        Endpoints that crash soon after their start answer hardly any request, so that answers tell
        nothing. Parts that most requests hold, or that come with others, do not stand out, nor do
        those of long requests that any crash interrupts.
        """
        since = min(each.at for each in crashes)
        without = sum(
            id(each) in is_open and bool(each.parts) and part not in each.parts and each.at >= since
            for each in self._crashes
        )
        if without > len(crashes) // CRASHES_PER_OTHER:
            return False
        if max(each.seconds_with(part) for each in crashes) > MAX_EARLY_SECONDS:
            return False
        requests = {name: held for each in crashes for name, held in each.requests.items()}
        holders = [held for held in requests.values() if part in held]
        other_count = len(requests) - len(holders)
        if len(crashes) < PROVEN_CRASHES_TO_BLAME or len(holders) < PROVEN_REQUESTS_TO_BLAME:
            return False
        if other_count < MIN_OTHER_REQUESTS or len(holders) > MAX_COMMON_SHARE * len(requests):
            return False
        companions = frozenset.intersection(*holders)
        rivals = Counter(
            other
            for each in crashes
            for other in each.parts
            if other not in companions and other not in self._answered
        )
        return max(rivals.values(), default=0) <= len(crashes) - MIN_LEAD

    def _is_known_to_be_uncommon(self, part: str) -> bool:
        """Return True if earlier processes have not counted a part among those often answered."""
        return self._has_loaded_answers and self.exposure.is_known_to_be_uncommon(part)

    def _is_sufficient_despite_answers(
        self, part: str, crashes: list[_Crash], request_count: int, now: float
    ) -> bool:
        """Return True if a part that was answered has begun to crash endpoints.

        Notes
        -----
        Meanwhile other requests must be answered and none with the part. Only crashes count after
        which gossip has had time to tell of answers at other processes.
        """
        settled = [each for each in crashes if now - each.at >= PROPAGATION_SECONDS]
        if not settled or request_count < PROVEN_REQUESTS_TO_BLAME:
            return False
        first = min(each.at for each in settled)
        others = sum(at > first and part not in held for at, held in self._recent)
        return (
            others >= PROVEN_MIN_ANSWERS
            and self._count_causes(part, settled) >= PROVEN_CRASHES_TO_BLAME
        )

    def _is_contested(self, part: str, crashes: list[_Crash], now: float) -> bool:
        """Return True if requests with a part went on for much longer than before most crashes.

        Notes
        -----
        Poison requests may run for long too. The lack of answers decides once those to other
        requests show that many to requests with the part would have to be expected.
        """
        seconds = {each.endpoint_id: each.active_seconds_with(part) for each in crashes}
        crashed = {each.endpoint_id for each in self._crashes}
        if not self.exposure.is_outlasted(part, seconds, crashed, now):
            return False
        first = min(each.at for each in crashes)
        others = sum(at > first and part not in held for at, held in self._recent)
        share = min(self.exposure.compute_share(part), MAX_SHARE)
        is_expected = others * share / (1.0 - share) >= EXPECTED_ANSWERS
        return len(crashes) < PROVEN_CRASHES_TO_BLAME or not is_expected

    def _compute_chance(
        self, part: str, crashes: list[_Crash], is_open: set[int], now: float
    ) -> float:
        """Return the probability that as many crashes came by chance while a part was there."""
        start = min(each.at for each in crashes) - BASE_SECONDS
        others = sum(
            id(each) in is_open and part not in each.parts and each.at >= start
            for each in self._crashes
        )
        endpoint_seconds = max(1, self.endpoint_count()) * (now - start)
        exposed = sum(max(MIN_EXPOSURE_SECONDS, each.seconds_with(part)) for each in crashes)
        expected = (others + PRIOR_CRASHES) / endpoint_seconds * exposed
        return compute_chance(self._count_causes(part, crashes), expected)

    def _count_causes(self, part: str, crashes: list[_Crash]) -> int:
        """Count crashes; simultaneous ones count once, also those of a zone if one lacks the part.

        Crashes of a zone are simultaneous within a longer time than those of several zones.
        """
        without = [each for each in self._crashes if part not in each.parts]
        causes = set()
        first_at = -math.inf
        for crash in sorted(crashes, key=lambda each: each.at):
            if crash.at - first_at <= SIMULTANEOUS_SECONDS:
                continue
            first_at = crash.at
            has_other_cause = any(
                each.zone == crash.zone and abs(each.at - crash.at) <= COMMON_CAUSE_SECONDS
                for each in without
            )
            slot = int(crash.at / COMMON_CAUSE_SECONDS)
            causes.add((crash.zone, slot) if has_other_cause else id(crash))
        return len(causes)

    def crash_times(self, parts: frozenset[str]) -> list[float]:
        """Return the times of all crashes under requests that held all of some parts, in order."""
        return sorted(each.at for each in self._crashes if each.is_explained((parts,)))

    def find_explained(self, parts: frozenset[str]) -> tuple[str, ...]:
        """Return the endpoints that crashed under requests that held all of some parts."""
        return tuple(each.endpoint_id for each in self._crashes if each.is_explained((parts,)))

    # Gossip

    def mark_own_news(self, parts: Collection[str], now: float) -> None:
        """Gossip the crashes with some parts, on which this process knows what others do not."""
        for part in parts:
            for crash in self._by_part.get(part, ()):
                if crash.is_in_scope(GossipScope.ALL, now):
                    crash.mark_changed(now, is_own=True)

    def build_update(self, now: float, scope: GossipScope = GossipScope.ALL) -> PartUpdate | None:
        """Return the gossip message for peers, None if there is nothing to send."""
        recent = [each for each in self._crashes if each.is_in_scope(scope, now)]
        if not recent:
            return None
        listed = self._select_gossip(recent)
        crashes = tuple(
            PartCrash(
                each.endpoint_id,
                each.zone,
                each.at,
                tuple(
                    InterruptedRequest(name, tuple(sorted(parts)))
                    for name, parts in listed.get(id(each), {}).items()
                ),
            )
            for each in recent
        )
        parts = {part for held in listed.values() for each in held.values() for part in each}
        answers = tuple(
            PartAnswer(each, self._answered[each])
            for each in sorted(parts)
            if each in self._answered
        )
        return PartUpdate(crashes, answers)

    def build_times(self, update: PartUpdate, now: float) -> PartTimes:
        """Return the gossip message on the times of the requests in an update.

        Notes
        -----
        Requests all of whose parts have been answered since are left out: times decide on suspects.
        """
        parts = {part for crash in update.crashes for each in crash.requests for part in each.parts}
        suspects = {each for each in parts if self._find_evidence(each)}
        listed = {
            (crash.endpoint_id, each.fingerprint)
            for crash in update.crashes
            for each in crash.requests
            if not suspects.isdisjoint(each.parts)
        }
        at_crashes = {
            (crash.endpoint_id, name): (seconds, crash.active_seconds[name])
            for crash in self._crashes
            for name, seconds in crash.seconds.items()
            if (crash.endpoint_id, name) in listed
        }
        repeated = {
            each for each in suspects if self.count_crashes(each) >= CRASHES_TO_GOSSIP_SURVIVORS
        }
        survivors = [each for each in self.exposure.list_survivors(now) if each.part in repeated]
        return PartTimes(
            tuple((*key, *found) for key, found in at_crashes.items()),
            tuple(survivors[:MAX_GOSSIPED_SURVIVORS]),
        )

    def merge_times(self, times: PartTimes) -> bool:
        """Merge times that another process has sent; return True if a survivor is news."""
        found: dict[str, list[tuple[str, float, float]]] = {}
        for endpoint_id, *times_of_work in times.at_crashes:
            found.setdefault(endpoint_id, []).append(tuple(times_of_work))
        for crash in self._crashes:
            for work, seconds, active_seconds in found.get(crash.endpoint_id, ()):
                if work in crash.requests:
                    crash.add_times(work, seconds, active_seconds)
        return self.exposure.record_survivors(times.survivors)

    def _select_gossip(self, crashes: list[_Crash]) -> dict[int, dict[str, list[str]]]:
        """Return the most suspect parts, by crash and request, up to the message limit."""
        listings = [
            (crash, name, part)
            for crash in crashes
            for name, held in crash.requests.items()
            for part in held
        ]
        listings.sort(
            key=lambda each: (each[2] in self._answered, -len(self._by_part[each[2]]), each[2])
        )
        selected: dict[int, dict[str, list[str]]] = {}
        for crash, name, part in listings[:MAX_GOSSIPED_PARTS]:
            selected.setdefault(id(crash), {}).setdefault(name, []).append(part)
        return selected


def _select_part(crash: _Crash, part: str) -> PartCrash:
    """Return a crash with the requests that held a part, without their other parts."""
    requests = tuple(
        InterruptedRequest(name, (part,), seconds=crash.seconds[name])
        for name, held in crash.requests.items()
        if part in held
    )
    return PartCrash(crash.endpoint_id, crash.zone, crash.at, requests)
