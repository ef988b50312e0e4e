"""Watching of one table: answers that confirm the local copy, lost ones and failed ones."""

import random

import pytest

from flamingofront.errors import PlatformError, PlatformRateLimitError, PlatformTimeoutError
from flamingofront.messages import Sleep
from flamingofront.process.forwarding.follower import (
    RECENT_ANSWER_SECONDS,
    TableListener,
    TableWatcher,
)
from flamingofront.process.logs import Log
from flamingofront.process.store import HistoryLostError, RowChanges, RowRange, TableStore
from flamingofront.process.timers import ManualClock


class ScriptedStore(TableStore):
    """Store whose answers a test sets."""

    def __init__(self):
        self.version = 10
        self.failure = None
        self.reads = 0

    def read(self, table, part="", first="", end="", limit=0):
        """Return no rows."""
        yield from ()
        self.reads += 1
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
        self.answers = 0
        listener = TableListener(
            lambda rows, version: None,
            lambda rows: None,
            self._count_failure,
            on_answer=self._count_answer,
        )
        self.watcher = TableWatcher(
            self.store,
            "servers",
            listener,
            self.clock.now,
            random.Random(1),
            Log("entry"),
            answer_age=lambda: self.answer_age,
            reads_after_failure=True,
        )
        self.run(self.watcher.step())

    def _count_failure(self, call):
        self.failures += 1

    def _count_answer(self, asked_at, time):
        self.answers += 1

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
        harness.watcher.record_failed_check(PlatformTimeoutError("no answer"), 0.0)
        assert not harness.failures and not harness.watcher.is_unreachable

    @pytest.mark.parametrize("answer_age", [None, 2 * RECENT_ANSWER_SECONDS])
    def test_timeout_of_a_store_that_answers_nobody_is_a_failure(self, harness, answer_age):
        harness.answer_age = answer_age
        harness.watcher.record_failed_check(PlatformTimeoutError("no answer"), 0.0)
        assert harness.failures == 1 and harness.watcher.is_unreachable

    def test_rejection_is_a_failure_whoever_is_answered(self, harness):
        harness.answer_age = 0.0
        harness.watcher.record_failed_check(PlatformError("status 503"), 0.0)
        assert harness.failures == 1

    def test_rejection_over_the_rate_is_an_answer(self, harness):
        """Guards against a rate limit of the store that is taken for an outage."""
        harness.answers = 0
        harness.watcher.record_failed_check(PlatformRateLimitError("status 429"), 0.0)
        assert not harness.failures and harness.answers == 1 and harness.watcher.is_unreachable


class TestFailedPolls:
    """Polls of the change feed that fail, and the calls that follow."""

    def _run_for(self, harness, steps):
        """Return the sleeps of the watcher in so many steps."""
        task, sleeps = harness.watcher.run(), []
        for _ in range(steps):
            request = next(task)
            assert isinstance(request, Sleep)
            sleeps.append(request.seconds)
            harness.clock.time += request.seconds
        return sleeps

    def test_table_is_read_at_once_after_a_poll_that_failed(self, harness):
        """Guards against a failed poll that no other call confirms."""
        harness.store.failure = PlatformError("reset")
        reads_before = harness.store.reads
        sleeps = self._run_for(harness, 2)
        assert sleeps[0] == 0.0 and sleeps[1] > 0.0
        assert harness.store.reads == reads_before + 1

    def test_calls_over_the_rate_are_not_repeated_at_once(self, harness):
        harness.store.failure = PlatformRateLimitError("status 429")
        assert all(each > 0.0 for each in self._run_for(harness, 3))

    def test_history_that_is_lost_again_and_again_is_not_asked_for_without_pause(self, harness):
        """Guards against a watcher that reads and polls as fast as the store answers."""
        harness.store.failure = HistoryLostError("gone")
        sleeps = self._run_for(harness, 6)
        assert all(each > 0.0 for each in sleeps) and max(sleeps) <= 0.3
