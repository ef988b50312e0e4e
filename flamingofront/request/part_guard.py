"""Quarantine of prompt parts that crash endpoints, in one process.

`flamingofront.decisions.part_evidence` decides which parts are at fault. Their entries are kept
with those of poison requests, under a key in place of a fingerprint, so that word of them, their
rows in the store and their trials are the same.
"""

from collections.abc import Callable, Collection, Iterable
from dataclasses import replace

from flamingofront.decisions.part_evidence import PartEvidence
from flamingofront.decisions.part_facts import (
    InterruptedRequest,
    PartCrash,
    PartSurvivor,
    PartTimes,
    PartUpdate,
    RequestIdentity,
    parse_part_key,
    part_key,
)
from flamingofront.decisions.quarantine import Quarantine
from flamingofront.decisions.quarantine_facts import (
    TRIAL_SECONDS,
    EndpointCrash,
    QuarantineEntry,
)
from flamingofront.process.logs import Log
from flamingofront.process.metrics import Metrics

__all__ = ["PartGuard"]

MAX_LOGGED_PARTS = 16
# Crashes after which all processes have to know a part, and the time for that. Each later crash
# uses up a trial.
ALLOWED_CRASHES = 5
CONTACT_SECONDS = 3.0


class PartGuard:
    """Evidence against prompt parts and their entries in a quarantine.

    `RequestGuard` passes it the crashes and answers of its process and word of others, and enforces
    and gossips the entries that it returns.

    Parameters
    ----------
    quarantine : Quarantine
        Keeps the entries, together with those of poison requests.
    wall : callable
        Returns the wall time on which the entry processes agree, in seconds.

    Attributes
    ----------
    evidence : PartEvidence
        Crashes and answers by part.
    list_running : callable
        Returns the endpoint of each request in flight in this process, and the request.
    """

    def __init__(
        self, quarantine: Quarantine, wall: Callable[[], float], metrics: Metrics, log: Log
    ):
        self.evidence = PartEvidence()
        self._quarantine = quarantine
        self._wall = wall
        self._metrics = metrics
        self._log = log
        self.list_running: Callable[[], Iterable[tuple[str, InterruptedRequest]]] = lambda: ()

    # Entries

    def match(self, parts: tuple[str, ...]) -> list[QuarantineEntry]:
        """Return the entries that reject a request with some parts."""
        entries = self._quarantine.part_entries()
        if not entries or not parts:
            return []
        held = frozenset(parts)
        return [entry for blamed, entry in entries if blamed <= held]

    # Evidence

    def record_crash(
        self, crash: EndpointCrash, requests: tuple[InterruptedRequest, ...], at: float
    ) -> bool:
        """Record a crash that this process has observed; return True if it is news."""
        part_crash = PartCrash(crash.endpoint_id, crash.zone, at, requests)
        is_new = self.evidence.record_crash(part_crash, self._wall(), is_own=True)
        if is_new:
            self._log_suspects(crash.endpoint_id, requests)
            for entry in self._find_culprits(requests):
                self._metrics.count("part_crashes_total", part=entry.fingerprint)
        return is_new

    def _find_culprits(self, requests: tuple[InterruptedRequest, ...]) -> list[QuarantineEntry]:
        """Return the entries of quarantined parts that requests at a crash held."""
        return [
            entry
            for blamed, entry in self._quarantine.part_entries()
            if any(blamed.issubset(each.parts) for each in requests)
        ]

    def _log_suspects(self, endpoint_id: str, requests: tuple[InterruptedRequest, ...]) -> None:
        """Log the parts of requests at a crash that no request was answered with in full."""
        parts = {part for each in requests for part in each.parts}
        counts = {
            each: self.evidence.count_crashes(each)
            for each in parts
            if self.evidence.last_answer(each) is None
        }
        if counts:
            worst = sorted(counts.items(), key=lambda each: (-each[1], each[0]))
            self._log.info(
                "prompt parts suspected",
                endpoint=endpoint_id,
                crashes_by_part=dict(worst[:MAX_LOGGED_PARTS]),
                suspects=len(counts),
            )

    def load_evidence(self, key: str, crashes: Iterable[EndpointCrash]) -> bool:
        """Merge crashes that were read from the store; return True if any is news."""
        parts = tuple(parse_part_key(key))
        changes = [
            self.evidence.record_crash(
                PartCrash(
                    each.endpoint_id,
                    each.zone,
                    each.at,
                    tuple(
                        InterruptedRequest(name, parts, seconds=each.seconds)
                        for name in each.requests
                    ),
                ),
                self._wall(),
            )
            for each in crashes
        ]
        return any(changes)

    def load_crash(self, crash: PartCrash) -> bool:
        """Merge a crash that was found by recorded sends; return True if it is news."""
        return self.evidence.record_crash(crash, self._wall())

    def collect_evidence(
        self, parts: Iterable[str], min_crashes: int
    ) -> dict[str, tuple[EndpointCrash, ...]]:
        """Return the crashes to persist by key, of parts that are not quarantined."""
        found = self.evidence.collect_evidence(parts, min_crashes)
        return {
            part_key((part,)): tuple(
                EndpointCrash(
                    each.endpoint_id,
                    each.zone,
                    each.at,
                    tuple(request.fingerprint for request in each.requests),
                    omitted=1,
                    seconds=max((request.seconds for request in each.requests), default=0.0),
                )
                for each in crashes
            )
            for part, crashes in found.items()
            if not self.match((part,))
        }

    def merge_update(self, update: PartUpdate, times: PartTimes | None = None) -> bool:
        """Merge an update of another process; return True if it changed any evidence."""
        now = self._wall()
        changes = [self.evidence.merge_answer(each) for each in update.answers]
        changes += [self.evidence.record_crash(each, now) for each in update.crashes]
        if times is not None:
            self.evidence.merge_times(times)
        listed = {
            part for crash in update.crashes for each in crash.requests for part in each.parts
        }
        changes.append(self.evidence.exposure.record_survivors(self._find_survivors(listed)))
        return any(changes)

    def build_times(self, update: PartUpdate) -> PartTimes:
        """Return how long the requests in an update of this process were at endpoints."""
        return self.evidence.build_times(update, self._wall())

    def is_unproven(self, parts: Iterable[str]) -> bool:
        """Return True if no request with one of some parts is known to have been answered."""
        return any(self.evidence.last_answer(each) is None for each in parts)

    def _find_survivors(self, parts: Collection[str]) -> list[PartSurvivor]:
        """Return the requests of this process with some parts that receive events."""
        now = self._wall()
        return [
            PartSurvivor(part, endpoint_id, each.active_seconds, now)
            for endpoint_id, each in self.list_running()
            if each.is_answered
            for part in each.parts
            if part in parts
        ]

    def mark_unreported_answers(self, update: PartUpdate) -> bool:
        """Gossip the answers that the sender of an update does not know; False if there is none."""
        reported = {each.part for each in update.answers}
        listed = {
            part for crash in update.crashes for each in crash.requests for part in each.parts
        }
        unreported = [
            each for each in listed - reported if self.evidence.last_answer(each) is not None
        ]
        self.evidence.mark_own_news(unreported, self._wall())
        return bool(unreported)

    # Verdicts

    def evaluate(self) -> list[QuarantineEntry]:
        """Quarantine all parts with sufficient evidence and return their new entries."""
        blamed = [each for each, _ in self._quarantine.part_entries()]
        suspects = self.evidence.list_crashed_parts()
        self.evidence.exposure.record_survivors(self._find_survivors(suspects))
        entries = []
        for each in self.evidence.find_hypotheses(blamed, self._wall()):
            entry = QuarantineEntry(
                part_key(each.parts),
                each.endpoints,
                each.since,
                next_trial=each.since + TRIAL_SECONDS[0],
            )
            entries.append(self._charge_late_crashes(entry))
        entries += self._recharge_entries()
        for entry in entries:
            self._quarantine.store_entry(entry)
        self._explain_crashes()
        return entries

    def _recharge_entries(self) -> list[QuarantineEntry]:
        """Return the entries that have used up more trials than was known."""
        found = []
        for _, entry in self._quarantine.part_entries():
            charged = self._charge_late_crashes(entry)
            if charged.trials > entry.trials:
                found.append(charged)
        return found

    def _charge_late_crashes(self, entry: QuarantineEntry) -> QuarantineEntry:
        """Return the entry with a trial used for each crash after all had to know of the part."""
        times = self.evidence.crash_times(parse_part_key(entry.fingerprint))
        if len(times) <= ALLOWED_CRASHES:
            return entry
        known_at = times[ALLOWED_CRASHES - 1] + CONTACT_SECONDS
        late = sum(each > known_at for each in times)
        return entry.with_trials(late) if late > entry.trials else entry

    def _explain_crashes(self) -> None:
        """Mark crashes under quarantined parts, which are no evidence against other requests."""
        for parts, entry in self._quarantine.part_entries():
            self._quarantine.explain_crashes(entry.fingerprint, self.evidence.find_explained(parts))

    def record_answer(
        self, identity: RequestIdentity, evidence: str
    ) -> tuple[list[QuarantineEntry], list[QuarantineEntry], tuple[str, ...]]:
        """Record that an endpoint has answered a request in full.

        Parameters
        ----------
        evidence : str
            What was received of the answer, for the log.

        Returns
        -------
        released : list of QuarantineEntry
            Entries that the answer refutes: the request held all of their parts.
        reduced : list of QuarantineEntry
            New entries without the answered parts, in place of larger ones.
        cleared : tuple of str
            Parts that the answer frees from suspicion.
        """
        parts = identity.parts
        before = {each: self.evidence.count_crashes(each) for each in parts}
        cleared = self.evidence.record_answer(parts, self._wall())
        self._log_cleared(identity, evidence, {each: before[each] for each in cleared})
        held = frozenset(parts)
        released, reduced = [], []
        for blamed, entry in self._quarantine.all_part_entries():
            if blamed <= held:
                released.append(entry)
            elif blamed & held:
                reduced.append(replace(entry, fingerprint=part_key(blamed - held)))
        fresh = [each for each in reduced if self._quarantine.get_entry(each.fingerprint) is None]
        for entry in fresh:
            self._quarantine.store_entry(entry)
        return released, fresh, cleared

    def _log_cleared(
        self, identity: RequestIdentity, evidence: str, crashes_by_part: dict[str, int]
    ) -> None:
        """Log which request refuted the crashes that parts were suspected of."""
        if not crashes_by_part:
            return
        self._metrics.count("part_evidence_cleared_total", evidence=evidence)
        worst = sorted(crashes_by_part.items(), key=lambda each: (-each[1], each[0]))
        self._log.info(
            "prompt parts cleared",
            work=identity.fingerprint,
            evidence=evidence,
            crashes_by_part=dict(worst[:MAX_LOGGED_PARTS]),
        )

    def forget(self, key: str) -> list[QuarantineEntry]:
        """Drop the evidence against the parts of a released entry.

        Returns
        -------
        list of QuarantineEntry
            Entries of larger sets of parts, which are refuted too. None if the key is that of a
            request, of which every set of parts would be a larger one.
        """
        parts = parse_part_key(key)
        if not parts:
            return []
        for each in parts:
            self.evidence.clear(each, self._wall())
        return [entry for blamed, entry in self._quarantine.all_part_entries() if blamed > parts]
