"""Tests of documents: ranges, conditions, and values that are too large for a row."""

import pytest

from flamingofront.daemon import open_document_store
from flamingofront.errors import PlatformError
from flamingofront.process.documents import DOCUMENT_TABLE, MAX_ROW_BYTES, Condition, Write
from flamingofront.process.logs import Log
from flamingofront.process.recent_documents import (
    RecentDocuments,
    WriteStamp,
    WrittenDocument,
    is_newer,
)
from flamingofront.process.store import make_revision
from flamingofront.process.tasks import TaskRunner
from flamingofront.standins.platform import FaultMode
from flamingofront.standins.table_store import MAX_RANGE_ROWS
from flamingofront.tests.network import FakeTransport
from flamingofront.tests.world import World

LARGE_VALUE = "x" * (2 * MAX_ROW_BYTES)


class DocumentClient:
    """Documents of one process in a simulated world with a stand-in for the platform."""

    def __init__(self):
        self.world = World()
        host = self.world._host("process", "zone-a")
        self.documents = open_document_store(
            self.world.host("platform").address, 1.0, self.world.clock.now, Log("test")
        )
        self.tasks = TaskRunner(FakeTransport(self.world, host), host.timers, self.raise_error)
        self.platform = self.world.platform

    @staticmethod
    def raise_error(exc):
        raise exc

    def run(self, task):
        """Run a task to its end; return its result, or raise the `PlatformError` that it raised."""
        results = []

        def catch_errors():
            try:
                return (yield from task)
            except PlatformError as exc:
                return exc

        self.tasks.start(catch_errors(), results.append)
        self.world.run_until(lambda: results)
        if isinstance(results[0], PlatformError):
            raise results[0]
        return results[0]

    def write(self, *writes, conditions=()):
        return self.run(self.documents.transact(conditions, writes)).ok

    def read(self, *keys):
        return self.run(self.documents.read(keys))


@pytest.fixture
def store():
    return DocumentClient()


class TestTransactions:
    def test_documents_are_read_as_written_and_missing_ones_have_revision_0(self, store):
        assert store.write(Write("a/1", {"n": 1}), Write("a/2", [2]))
        first, second, missing = store.read("a/1", "a/2", "a/3")
        assert (first.value, second.value) == ({"n": 1}, [2])
        assert (missing.value, missing.revision) == (None, 0)

    def test_transaction_is_atomic(self, store):
        store.write(Write("a", 1))
        (row,) = store.read("a")
        stale = Condition("a", row.revision + 1)
        assert not store.write(Write("a", 2), Write("b", 2), conditions=[stale])
        assert [each.value for each in store.read("a", "b")] == [1, None]
        assert store.write(Write("a", 3), conditions=[Condition("a", row.revision)])

    def test_writing_none_deletes_a_document(self, store):
        store.write(Write("a", 1), Write("b", 2))
        store.write(Write("a", None))
        assert [each.value for each in store.read("a", "b")] == [None, 2]

    def test_scan_returns_only_keys_with_the_prefix(self, store):
        store.write(*(Write(key, {}) for key in ("a", "a/", "a/1", "a/~", "a0", "b/1")))
        assert [each.key for each in store.run(store.documents.scan("a/"))] == ["a/", "a/1", "a/~"]

    def test_scan_continues_after_a_truncated_range(self, store):
        for number in range(MAX_RANGE_ROWS + 3):
            store.platform.rows.put(f"many/{number:04d}", {})
        assert len(store.run(store.documents.scan("many/"))) == MAX_RANGE_ROWS + 3


class TestLargeDocuments:
    def test_value_that_is_too_large_for_a_row_is_stored_as_an_object(self, store):
        store.write(Write("large", LARGE_VALUE), Write("small", 1))
        large, small = store.read("large", "small")
        assert (large.value, small.value) == (LARGE_VALUE, 1)
        assert list(store.platform.store.objects) == [large.object_name]
        assert not small.object_name
        assert all(
            len(row[0]) <= MAX_ROW_BYTES
            for row in store.platform.store.get_rows(DOCUMENT_TABLE).values()
        )

    def test_failure_of_the_object_store_writes_no_document(self, store):
        store.platform.inject_fault("objects", FaultMode.LOSE_ANSWER)
        with pytest.raises(PlatformError) as caught:
            store.write(Write("large", LARGE_VALUE))
        assert not caught.value.maybe_applied
        store.platform.inject_fault("objects", FaultMode.UP)
        assert store.read("large")[0].revision == 0

    def test_object_of_a_deleted_document_can_be_dropped_repeatedly(self, store):
        store.write(Write("large", LARGE_VALUE))
        (large,) = store.read("large")
        store.write(Write("large", None))
        store.run(store.documents.drop_object(large))
        store.run(store.documents.drop_object(large))
        assert store.platform.store.objects == {}

    def test_replacing_deletes_the_old_object_and_a_failed_replace_changes_nothing(self, store):
        store.write(Write("large", LARGE_VALUE))
        (old,) = store.read("large")
        assert store.run(store.documents.replace(old, LARGE_VALUE + "y", Write("other", 1)))
        (new,) = store.read("large")
        assert list(store.platform.store.objects) == [new.object_name]
        assert not store.run(store.documents.replace(old, LARGE_VALUE + "z"))
        assert store.read("large")[0].value == LARGE_VALUE + "y"

    def test_replacing_a_value_by_itself_keeps_its_object(self, store):
        store.write(Write("large", LARGE_VALUE))
        (row,) = store.read("large")
        assert store.run(store.documents.replace(row, LARGE_VALUE))
        assert store.read("large")[0].value == LARGE_VALUE

    def test_missing_object_is_an_error_and_not_an_empty_document(self, store):
        store.write(Write("large", LARGE_VALUE))
        store.platform.store.objects.clear()
        with pytest.raises(PlatformError, match="object of document large not found"):
            store.read("large")


class TestMalformedRows:
    @pytest.mark.parametrize("data", [[1], "text", 7])
    def test_malformed_row_raises_an_error_with_its_key(self, store, data):
        store.platform.store.put(DOCUMENT_TABLE, "odd", data)
        with pytest.raises(PlatformError, match="document odd is malformed"):
            store.read("odd")


class TestRecentWrites:
    """Writes that a process repeats after the store was restored from an older snapshot."""

    @pytest.mark.parametrize(
        "stamp, version, expected",
        [
            (WriteStamp(0), 10, True),
            (WriteStamp(0), 20, False),
            (WriteStamp(0), 30, False),
            (WriteStamp(0, make_revision(0, 10)), 99, True),
            (WriteStamp(0, make_revision(0, 30)), 1, False),
            (WriteStamp(1), 5, False),
        ],
    )
    def test_write_is_repeated_only_over_an_older_document(self, stamp, version, expected):
        write = WrittenDocument("key", "value", make_revision(0, 20), 0.0)
        assert is_newer(write, stamp, version, 1) is expected

    def test_era_takes_precedence_over_the_version(self):
        write = WrittenDocument("key", "value", make_revision(0, 2000), 0.0)
        assert not is_newer(write, WriteStamp(1), 100, 2)
        assert is_newer(
            WrittenDocument("key", "value", make_revision(1, 3), 0.0), WriteStamp(0), 900, 2
        )

    def test_writes_older_than_any_snapshot_are_dropped(self):
        now = [0.0]
        recent = RecentDocuments(lambda: now[0])
        recent.record_write("old", 1, 1)
        now[0] = 40.0
        recent.record_write("key", 1, 2)
        recent.record_write("key", 2, 3)
        assert [each.value for each in recent.list_last_writes()] == [2]
