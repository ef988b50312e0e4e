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
        "self._ended_at = self._first_answer_since",
        "self._ended_at = now",
        OUTAGES,
    ),
)
