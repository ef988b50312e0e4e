"""Answers of the store to any call, which show that it serves."""

import pytest

from flamingofront.errors import PlatformError, PlatformRateLimitError
from flamingofront.process.answered_store import AnsweredTableStore
from flamingofront.process.store import (
    HistoryLostError,
    RowChanges,
    RowRange,
    TableStore,
    TransactionOutcome,
)


class ScriptedStore(TableStore):
    """Store whose calls return or raise what a test sets."""

    def __init__(self, result):
        self.result = result

    def _answer(self):
        yield from ()
        if isinstance(self.result, Exception):
            raise self.result
        return self.result

    def read(self, table, part="", first="", end="", limit=0):
        """Return the result."""
        return self._answer()

    def read_changes(self, table, after, wait):
        """Return the result."""
        return self._answer()

    def transact(self, part, conditions, writes):
        """Return the result."""
        return self._answer()


def observe(result, call):
    """Make a call and return the answers that were reported."""
    answers = []
    store = AnsweredTableStore(ScriptedStore(result), lambda: 5.0)
    store.on_answer = lambda asked_at, time: answers.append((asked_at, time))
    try:
        for _ in call(store):
            pass
    except PlatformError:
        pass
    return answers


def read(store):
    return store.read("servers")


def poll(store):
    return store.read_changes("servers", 1, 0.0)


def write(store):
    return store.transact("", (), ())


class TestAnsweredTableStore:
    @pytest.mark.parametrize(
        ("result", "call"),
        [
            (RowRange((), 1, time=7.0), read),
            (RowChanges((), 1, 7.0), poll),
            (TransactionOutcome(True, 1, (), 7.0), write),
            (TransactionOutcome(False, 1, (), 7.0), write),
        ],
    )
    def test_answer_to_any_call_is_reported(self, result, call):
        """Guards against an outage that is assumed while the store answers other calls."""
        assert observe(result, call) == [(5.0, 7.0)]

    @pytest.mark.parametrize("error", [HistoryLostError("gone"), PlatformRateLimitError("429")])
    def test_refusal_of_a_store_that_serves_is_an_answer(self, error):
        assert observe(error, poll) == [(5.0, None)]

    def test_failed_call_is_no_answer(self):
        assert observe(PlatformError("reset"), poll) == []
