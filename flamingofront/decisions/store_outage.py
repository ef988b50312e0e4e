"""Decides whether a missing row may have expired in an outage of the store.

Rows of endpoints expire while the store is away, though the endpoints run, and are written again
soon after its return. A process whose own calls fail cannot tell by itself whether the store was
away for the endpoints, too.
"""

import math

__all__ = ["EXPIRY_GRACE_SECONDS", "StoreOutages"]

# The platform states that rows which expired during an outage of the store are written again within
# about two seconds of its recovery. A row that is still missing after that was deleted.
EXPIRY_GRACE_SECONDS = 2.2
# Failures over this time, with answers to other processes between them, show that the store is not
# away: it turns this process away.
MIN_PARTIAL_SECONDS = 0.5


class StoreOutages:
    """The last outage of the store, from failed calls of this process and answers to any process.

    An outage begins with a failed call of this process, and ends with the first answer that any
    process got after its last failed call: this process may notice the end late.

    Attributes
    ----------
    is_failing : bool
        True from the first failed call of this process until its next answer.
    failed_call : str
        The first failed call of the last outage, and how it failed.
    """

    def __init__(self):
        self.is_failing = False
        self.failed_call = ""
        self._first_failure = -math.inf
        self._last_failure = -math.inf
        self._answered_between = False
        self._first_answer_since: float | None = None
        self._ended_at = -math.inf

    def record_failure(self, now: float, call: str = "") -> None:
        """Record a call of this process that failed."""
        if not self.is_failing:
            self.is_failing, self._first_failure = True, now
            self.failed_call = call
            self._answered_between = False
        elif self._first_answer_since is not None:
            self._answered_between = True
        self._last_failure, self._first_answer_since = now, None

    def record_answer_to_any(self, at: float) -> None:
        """Record a time at which the store answered this or another process."""
        if self.is_failing and at >= self._last_failure:
            known = self._first_answer_since
            self._first_answer_since = at if known is None else min(known, at)

    def record_answer(self, now: float) -> None:
        """Record an answer to this process, which ends its failures."""
        self.record_answer_to_any(now)
        if self.is_failing and not self.is_partial:
            self._ended_at = self._first_answer_since
        self.is_failing = False
        self._answered_between = False
        self._first_answer_since = None

    @property
    def is_partial(self) -> bool:
        """True if the store answers other processes while it fails this one."""
        failing_seconds = self._last_failure - self._first_failure
        return self.is_failing and self._answered_between and failing_seconds >= MIN_PARTIAL_SECONDS

    def describe(self, now: float) -> dict[str, object]:
        """Return what is believed of the store and why, for the log; times in milliseconds."""
        if not self.may_have_expired(now):
            return {"store": "failing for this process" if self.is_failing else "available"}
        facts = {
            "store": "away" if self.is_failing else "back from an outage",
            "failed_call": self.failed_call,
            "failed_ago_ms": round((now - self._first_failure) * 1000),
        }
        if not self.is_failing:
            facts["grace_left_ms"] = round((self.grace_end - now) * 1000)
        return facts

    def may_have_expired(self, now: float) -> bool:
        """Return True if a row that is missing now may belong to an endpoint that runs."""
        if self.is_failing:
            return not self.is_partial
        return now < self.grace_end

    @property
    def grace_end(self) -> float:
        """Time until which rows that expired in the last outage may be written again."""
        return self._ended_at + EXPIRY_GRACE_SECONDS
