"""What the cloud may see of the holders of the leader lease, and what it has seen."""

import json
from collections import Counter
from collections.abc import Collection, Iterable, Mapping, Sequence
from dataclasses import dataclass

from flamingofront.tests.leader_cloud import CloudCall

__all__ = ["HolderEnd", "LeaderRecord", "Violation"]

LEASE_SECONDS = 3.0
THAW_SECONDS = 0.3
# A cloud that was disturbed until now may serve older connections first.
DISTURBED_SECONDS = 1.0
# A call at whose stage a process was stopped arrives within this time.
CALL_SECONDS = 0.05
# Ends after which the same process may go on.
SLOW_KINDS = ("freeze", "throttle")


@dataclass(frozen=True)
class Violation:
    """A call that the cloud may not see.

    Parameters
    ----------
    kind : str
        Rule that is broken.
    call, earlier : CloudCall
        The call, and the one that it may not follow.
    excuses : frozenset of str
        Why the call does not count.
    """

    kind: str
    call: CloudCall
    earlier: CloudCall
    excuses: frozenset[str]

    def describe(self) -> dict:
        """Return the case for a report."""
        late, earlier = self.call, self.earlier
        return {
            "kind": self.kind,
            "subject": late.subject,
            "calls": [[each.process, each.holder, each.fencing] for each in (earlier, late)],
            "apart_ms": round(1000 * (late.arrived_at - earlier.arrived_at)),
            "open_ms": round(1000 * (late.first_byte_at - late.accepted_at)),
            "arrived_at": round(late.arrived_at, 3),
            "excuses": sorted(self.excuses),
        }


@dataclass(frozen=True)
class HolderEnd:
    """The end of a holder.

    Parameters
    ----------
    kind : str
        How it ended.
    process : int
        Number of the process.
    fencing : int
        Last fencing token that the cloud had seen.
    """

    kind: str
    process: int
    fencing: int
    at: float


class LeaderRecord:
    """Checks the calls that the cloud has got.

    Parameters
    ----------
    calls : iterable of CloudCall
        Calls that have arrived.
    thaws : mapping of int to sequence of float
        Times at which processes went on after they had been stopped, by number.
    disturbances : sequence of tuple of (float, float)
        Times in which the cloud was disturbed.
    """

    def __init__(
        self,
        calls: Iterable[CloudCall],
        thaws: Mapping[int, Sequence[float]],
        disturbances: Sequence[tuple[float, float]],
    ):
        self.calls = sorted(calls, key=lambda each: each.arrived_at)
        self._thaws = thaws
        self._disturbances = disturbances

    def find_violations(self, excused: Collection[str] = ()) -> list[Violation]:
        """Return the violations, except those with an excuse of the given kinds.

        Parameters
        ----------
        excused : collection of str
            Of "thaw" and "cloud". A call that is excused counts as if it had not come.
        """
        subjects = {each.subject: [] for each in self.calls}
        for each in self.calls:
            subjects[each.subject].append(each)
        found = [case for calls in subjects.values() for case in self._check(calls, set(excused))]
        return found + self._check_counts(subjects.get("usage", []))

    def _check(self, calls: Sequence[CloudCall], excused: set[str]) -> Iterable[Violation]:
        """Yield the violations among the calls about one subject."""
        seen: list[CloudCall] = []
        for each in calls:
            excuses = self._find_excuses(each)
            found = [
                Violation(kind, each, earlier, excuses)
                for kind, earlier in _find_conflicts(each, seen)
            ]
            if found and excuses & excused:
                continue
            yield from found
            seen.append(each)

    def _check_counts(self, calls: Sequence[CloudCall]) -> list[Violation]:
        """Return reports of one usage window with different counts; nothing excuses them."""
        found, first_of = [], {}
        for each in calls:
            body = json.loads(each.body)
            first = first_of.setdefault(body["window_id"], each)
            if json.loads(first.body)["counts"] != body["counts"]:
                found.append(Violation("two counts of a window", each, first, frozenset()))
        return found

    def _find_excuses(self, call: CloudCall) -> frozenset[str]:
        """Return what may excuse a call."""
        excuses = set()
        thaws = self._thaws.get(call.process, ())
        if any(0 <= call.arrived_at - each <= THAW_SECONDS for each in thaws):
            excuses.add("thaw")
        if any(
            began <= call.arrived_at and call.accepted_at <= ended + DISTURBED_SECONDS
            for began, ended in self._disturbances
        ):
            excuses.add("cloud")
        return frozenset(excuses)

    def find_uncalled(self, ends: Iterable[HolderEnd]) -> dict[str, list[float]]:
        """Return the seconds from each end to the next call of a holder, by kind of end.

        Notes
        -----
        A process that stood still or was slow may go on as the holder.
        """
        found: dict[str, list[float]] = {}
        for end in ends:
            least = end.fencing + (end.kind not in SLOW_KINDS)
            times = (
                each.arrived_at - end.at
                for each in self.calls
                if each.arrived_at > end.at + CALL_SECONDS and each.fencing >= least
            )
            if (seconds := next(times, None)) is not None:
                found.setdefault(end.kind, []).append(seconds)
        return found

    def summarize(self) -> dict:
        """Return counts for a report."""
        cases = {
            "strict": self.find_violations(),
            "strict, cloud sound": self.find_violations({"cloud"}),
            "excused": self.find_violations({"cloud", "thaw"}),
        }
        return {
            "calls": len(self.calls),
            "subjects": len({each.subject for each in self.calls}),
            "holders": len({each.holder for each in self.calls}),
            "tokens": len({each.fencing for each in self.calls}),
            **{name: dict(Counter(each.kind for each in found)) for name, found in cases.items()},
        }


def _find_conflicts(call: CloudCall, seen: Sequence[CloudCall]) -> Iterable[tuple[str, CloudCall]]:
    """Yield each rule that a call breaks after the calls that were seen about its subject."""
    if not seen:
        return
    highest = max(seen, key=lambda each: each.fencing)
    if call.fencing < highest.fencing:
        yield "lower token", highest
    other = next((e for e in seen if e.fencing == call.fencing and e.process != call.process), None)
    if other is not None:
        yield "two holders of a token", other
    own = [index for index, each in enumerate(seen) if each.holder == call.holder]
    is_back = bool(own) and own[-1] < len(seen) - 1
    if is_back and call.arrived_at - seen[own[-1]].arrived_at < LEASE_SECONDS:
        yield "holders A, B, A", seen[-1]
