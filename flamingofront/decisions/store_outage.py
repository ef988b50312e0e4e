"""Decides whether a missing row may have expired in an outage of the store.

Rows of endpoints expire while the store is away, though the endpoints run, and are written again
soon after its return. A failed call alone is no outage: it may have met a connection that was
closed, a rate limit, a lost answer, or a change feed that is reset. Two calls that fail one after
the other are, not both of a change feed, unless the store answered any process between them.
"""

import math
from dataclasses import dataclass

__all__ = ["EXPIRY_GRACE_SECONDS", "FailedCall", "StoreOutages"]

# The platform states that rows which expired during an outage of the store are written again within
# about two seconds of its recovery. A row that is still missing after that was deleted.
EXPIRY_GRACE_SECONDS = 2.2
# Failures over this time, with answers to other processes between them, show that the store is not
# away: it turns this process away.
MIN_PARTIAL_SECONDS = 0.5
# Failed calls that are kept of one outage; later ones show nothing new.
MAX_KEPT_FAILURES = 8


@dataclass(frozen=True)
class FailedCall:
    """A call of this process to the store that failed.

    Parameters
    ----------
    description : str
        The call and how it failed, for the log.
    sent_at : float
        Time at which it was sent.
    since : float
        Time from which it shows that the store did not answer: of the failure, or of sending if
        there was no answer.
    is_feed : bool
        True for a call of a change feed, which may fail while the store serves other calls.
    """

    description: str
    sent_at: float
    since: float
    is_feed: bool = False

    def is_confirmed_by(self, later: "FailedCall") -> bool:
        """Return True if a later call shows that this one did not fail alone."""
        return later.sent_at >= self.since and not (self.is_feed and later.is_feed)


@dataclass(frozen=True)
class _Outage:
    """An outage that has ended: its failed calls, and the first answer to any process after it."""

    failures: tuple[FailedCall, ...]
    ended_at: float


def _find_outage(failures: tuple[FailedCall, ...]) -> tuple[FailedCall, ...]:
    """Return the failures from the first one on that a later call confirms; empty if none does."""
    for number, first in enumerate(failures):
        if any(first.is_confirmed_by(each) for each in failures[number + 1 :]):
            return failures[number:]
    return ()


class StoreOutages:
    """The last outage of the store, from failed calls of this process and answers to any process.

    An outage ends with the first answer that any process got after its last failed call: this
    process may notice the end late.

    Attributes
    ----------
    is_failing : bool
        True from the first failed call of this process until its next answer.
    """

    def __init__(self):
        self.is_failing = False
        self._first_failure_at = self._last_failure_at = -math.inf
        self._answered_between = False
        self._answered_at = -math.inf
        # Failed calls since the last answer to any process.
        self._failures: tuple[FailedCall, ...] = ()
        self._outage: _Outage | None = None

    def record_failure(self, now: float, call: FailedCall) -> None:
        """Record a call of this process that failed."""
        if not self.is_failing:
            self.is_failing, self._first_failure_at = True, now
            self._answered_between = False
        elif self._first_failure_at < self._answered_at <= call.since:
            self._answered_between = True
        self._last_failure_at = now
        self.record_unanswered(call)

    def record_unanswered(self, call: FailedCall) -> None:
        """Record a call that has failed, or has not been answered for a while."""
        if call.since > self._answered_at and len(self._failures) < MAX_KEPT_FAILURES:
            others = (each for each in self._failures if each.sent_at != call.sent_at)
            self._failures = (*others, call)

    def record_answer_to_any(self, at: float) -> None:
        """Record a time at which the store answered this or another process."""
        if at > self._answered_at:
            before = tuple(each for each in self._failures if each.since <= at)
            if found := _find_outage(before):
                self._outage = _Outage(found, at)
            self._failures = tuple(each for each in self._failures if each.since > at)
            self._answered_at = at
        elif self._outage is not None and at < self._outage.ended_at:
            self._split_outage(at)

    def _split_outage(self, at: float) -> None:
        """Take into account an answer between the failed calls of the last outage."""
        failures, ended_at = self._outage.failures, self._outage.ended_at
        later = _find_outage(tuple(each for each in failures if each.since > at))
        earlier = _find_outage(tuple(each for each in failures if each.since <= at))
        if later:
            self._outage = _Outage(later, ended_at)
        else:
            self._outage = _Outage(earlier, at) if earlier else None

    def record_answer(self, now: float) -> None:
        """Record an answer to this process, which ends its failures."""
        was_partial = self.is_partial
        self.record_answer_to_any(now)
        if was_partial:
            self._outage = None
        self.is_failing = False
        self._answered_between = False

    @property
    def is_partial(self) -> bool:
        """True if the store answers other processes while it fails this one."""
        failing_seconds = self._last_failure_at - self._first_failure_at
        return self.is_failing and self._answered_between and failing_seconds >= MIN_PARTIAL_SECONDS

    @property
    def is_away(self) -> bool:
        """True if the store answers no process, as far as this one knows."""
        return not self.is_partial and bool(_find_outage(self._failures))

    def may_have_expired(self, now: float) -> bool:
        """Return True if a row that is missing now may belong to an endpoint that runs."""
        return self.is_away or (not self.is_partial and now < self.grace_end)

    @property
    def grace_end(self) -> float:
        """Time until which rows that expired in the last outage may be written again."""
        return -math.inf if self._outage is None else self._outage.ended_at + EXPIRY_GRACE_SECONDS

    def describe(self, now: float) -> dict[str, object]:
        """Return what is believed of the store and why, for the log; times in milliseconds."""
        if not self.may_have_expired(now):
            return {"store": "failing for this process" if self.is_failing else "available"}
        first = (_find_outage(self._failures) if self.is_away else self._outage.failures)[0]
        facts = {
            "store": "away" if self.is_away else "back from an outage",
            "failed_call": first.description,
            "failed_ago_ms": round((now - first.since) * 1000),
        }
        if not self.is_away:
            facts["grace_left_ms"] = round((self.grace_end - now) * 1000)
        return facts
