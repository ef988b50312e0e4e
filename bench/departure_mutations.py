"""Mutations of what processes learn of endpoints that leave; see `bench.mutations`."""

from bench.mutation import Mutation

__all__ = ["DEPARTURE_MUTATIONS"]

DEPARTURES = "tests/test_departures.py"
ENDPOINTS = "process/forwarding/tests/test_endpoints.py"
OUTAGES = "decisions/tests/test_store_outage.py"

DEPARTURE_MUTATIONS = (
    Mutation(
        "Depart: a dead long poll is noticed",
        "process/forwarding/feed_check.py",
        "if self._is_stale() or self._is_lagging():",
        "if False:",
        DEPARTURES,
    ),
    Mutation(
        "Depart: removals are reported",
        "process/forwarding/own_report.py",
        "removed_endpoints=knowledge.endpoints.recently_removed(),",
        "removed_endpoints=(),",
        DEPARTURES,
    ),
    Mutation(
        "Depart: an old removal leaves a later row",
        "process/forwarding/endpoints.py",
        "if row is not None and 0 < revision < row.revision:",
        "if False:",
        ENDPOINTS,
    ),
    Mutation(
        "Depart: a row that the store has brings an endpoint back",
        "process/forwarding/removals.py",
        "return is_same_era and (is_written_after or 0 < read_version >= removed)",
        "return False",
        ENDPOINTS,
    ),
    Mutation(
        "Depart: a restored row does not bring an endpoint back",
        "process/forwarding/removals.py",
        "return is_same_era and (is_written_after or 0 < read_version >= removed)",
        "return is_written_after or 0 < read_version >= removed",
        ENDPOINTS,
    ),
    Mutation(
        "Depart: a store that turns one process away is not away",
        "decisions/store_outage.py",
        "return not self.is_partial",
        "return True",
        OUTAGES,
    ),
    Mutation(
        "Depart: the grace period begins at the first answer to any process",
        "decisions/store_outage.py",
        "self._outage = _Outage(found, at)",
        "self._outage = _Outage(found, at + 0.5)",
        OUTAGES,
    ),
    Mutation(
        "Depart: a call that failed alone is no outage",
        "decisions/store_outage.py",
        "if any(first.is_confirmed_by(each) for each in failures[number + 1 :]):",
        "if True:",
        OUTAGES,
    ),
    Mutation(
        "Depart: a change feed does not confirm the failure of a change feed",
        "decisions/store_outage.py",
        " and not (self.is_feed and later.is_feed)",
        "",
        OUTAGES,
    ),
    Mutation(
        "Depart: an answer that is told late ends a grace period",
        "decisions/store_outage.py",
        "            self._split_outage(at)",
        "            pass",
        OUTAGES,
    ),
    Mutation(
        "Depart: the table is read after a poll that failed",
        "process/forwarding/follower.py",
        "self._needs_reload |= self._reads_after_failure",
        "pass",
        "process/forwarding/tests/test_feed_check.py",
    ),
    Mutation(
        "Depart: a call over the rate is an answer",
        "process/forwarding/follower.py",
        "        if isinstance(exc, PlatformRateLimitError):",
        "        if False:",
        "process/forwarding/tests/test_feed_check.py",
    ),
    Mutation(
        "Depart: a repeatable call is sent again on a closed connection",
        "connection/client.py",
        "        if was_stale:",
        "        if False:",
        "connection/tests/test_client.py",
    ),
    Mutation(
        "Depart: answers to all calls count",
        "process/answered_store.py",
        "        self.on_answer(asked_at, result.time)",
        "        pass",
        "process/tests/test_answered_store.py",
    ),
)
