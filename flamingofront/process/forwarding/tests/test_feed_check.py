"""Watching of one table: answers that confirm the local copy, lost ones and failed ones."""

import random

import pytest

from flamingofront.errors import PlatformError, PlatformTimeoutError
from flamingofront.process.forwarding.follower import (
    RECENT_ANSWER_SECONDS,
    TableListener,
    TableWatcher,
)
from flamingofront.process.logs import Log
from flamingofront.process.store import RowChanges, RowRange, TableStore
from flamingofront.process.timers import ManualClock


class ScriptedStore(TableStore):
    """Store whose answers a test sets."""

    def __init__(self):
        self.version = 10
        self.failure = None

    def read(self, table, part="", first="", end="", limit=0):
        """Return no rows."""
        yield from ()
        return RowRange((), self.version)

    def read_changes(self, table, after, wait):
        """Return no changes, or fail."""
        yield from ()
        if self.failure is not None:
            raise self.failure
        return RowChanges((), self.version)

    def transact(self, part, conditions, writes):
        """Refuse to write."""
        raise NotImplementedError


class Harness:
    """A `TableWatcher` on a manual clock, after its first read."""

    def __init__(self):
        self.clock = ManualClock()
        self.store = ScriptedStore()
        self.answer_age = None
        self.failures = 0
        listener = TableListener(lambda rows, version: None, lambda rows: None, self._count_failure)
        self.watcher = TableWatcher(
            self.store,
            "servers",
            listener,
            self.clock.now,
            random.Random(1),
            Log("entry"),
            answer_age=lambda: self.answer_age,
        )
        self.run(self.watcher.step())

    def _count_failure(self, exc):
        self.failures += 1

    def run(self, task):
        """Run a task that makes no calls, and return its result."""
        try:
            while True:
                next(task)
        except StopIteration as exc:
            return exc.value


@pytest.fixture
def harness():
    return Harness()


class TestConfirmation:
    def test_answer_confirms_the_local_copy(self, harness):
        harness.clock.time += 5.0
        harness.run(harness.watcher.step())
        assert harness.watcher.confirmed_at == harness.clock.time

    def test_stale_read_does_not_confirm_the_local_copy(self, harness):
        """Guards against a store that answers from a state that is seconds old."""
        before = harness.watcher.confirmed_at
        harness.clock.time += 5.0
        harness.store.version = 7
        harness.run(harness.watcher.step())
        harness.run(harness.watcher.poll_beside())
        assert harness.watcher.confirmed_at == before


class TestFailedChecks:
    def test_timeout_while_the_store_answers_others_is_a_lost_answer(self, harness):
        harness.answer_age = RECENT_ANSWER_SECONDS / 2
        assert not harness.watcher.record_failed_check(PlatformTimeoutError("no answer"))
        assert not harness.failures and not harness.watcher.is_unreachable

    @pytest.mark.parametrize("answer_age", [None, 2 * RECENT_ANSWER_SECONDS])
    def test_timeout_of_a_store_that_answers_nobody_is_a_failure(self, harness, answer_age):
        harness.answer_age = answer_age
        assert harness.watcher.record_failed_check(PlatformTimeoutError("no answer"))
        assert harness.failures == 1 and harness.watcher.is_unreachable

    def test_rejection_is_a_failure_whoever_is_answered(self, harness):
        harness.answer_age = 0.0
        assert harness.watcher.record_failed_check(PlatformError("status 503"))
        assert harness.failures == 1
