"""Documents in the platform's store: ranges, conditions, and what is too large for a row."""

import pytest

from flamingofront.daemon import open_document_store
from flamingofront.errors import PlatformError
from flamingofront.process.documents import DOCUMENT_TABLE, ROW_BYTES, Condition, Write
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

LARGE = "x" * (2 * ROW_BYTES)


class Store:
    """One process's documents, in a world with the stand-in of the platform."""

    def __init__(self):
        self.world = World()
        host = self.world._host("process", "zone-a")
        self.documents = open_document_store(
            self.world.host("platform").address, 1.0, self.world.clock.now, Log("test")
        )
        self.tasks = TaskRunner(FakeTransport(self.world, host), host.timers, self.fail)
        self.platform = self.world.platform

    @staticmethod
    def fail(exc):
        raise exc

    def run(self, task):
        """Run a task to its end; return its result, or raise what it raised."""
        results = []

        def caught():
            try:
                return (yield from task)
            except PlatformError as exc:
                return exc

        self.tasks.start(caught(), results.append)
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
    return Store()


class TestTransactions:
    def test_documents_are_read_as_written_and_missing_ones_have_revision_0(self, store):
        assert store.write(Write("a/1", {"n": 1}), Write("a/2", [2]))
        first, second, missing = store.read("a/1", "a/2", "a/3")
        assert (first.value, second.value) == ({"n": 1}, [2])
        assert (missing.value, missing.revision) == (None, 0)

    def test_all_or_nothing_is_written(self, store):
        store.write(Write("a", 1))
        (row,) = store.read("a")
        stale = Condition("a", row.revision + 1)
        assert not store.write(Write("a", 2), Write("b", 2), conditions=[stale])
        assert [each.value for each in store.read("a", "b")] == [1, None]
        assert store.write(Write("a", 3), conditions=[Condition("a", row.revision)])

    def test_none_deletes(self, store):
        store.write(Write("a", 1), Write("b", 2))
        store.write(Write("a", None))
        assert [each.value for each in store.read("a", "b")] == [None, 2]

    def test_scan_finds_a_prefix_and_no_neighbours(self, store):
        store.write(*(Write(key, {}) for key in ("a", "a/", "a/1", "a/~", "a0", "b/1")))
        assert [each.key for each in store.run(store.documents.scan("a/"))] == ["a/", "a/1", "a/~"]

    def test_scan_goes_on_where_the_store_stops(self, store):
        for number in range(MAX_RANGE_ROWS + 3):
            store.platform.rows.put(f"many/{number:04d}", {})
        assert len(store.run(store.documents.scan("many/"))) == MAX_RANGE_ROWS + 3


class TestLargeDocuments:
    def test_one_that_is_too_large_for_a_row_is_kept_as_an_object(self, store):
        store.write(Write("large", LARGE), Write("small", 1))
        large, small = store.read("large", "small")
        assert (large.value, small.value) == (LARGE, 1)
        assert list(store.platform.store.objects) == [large.object_name]
        assert not small.object_name
        assert all(
            len(row[0]) <= ROW_BYTES
            for row in store.platform.store.get_rows(DOCUMENT_TABLE).values()
        )

    def test_object_store_that_is_down_writes_nothing(self, store):
        store.platform.inject_fault("objects", FaultMode.LOSE_ANSWER)
        with pytest.raises(PlatformError) as caught:
            store.write(Write("large", LARGE))
        assert not caught.value.maybe_applied
        store.platform.inject_fault("objects", FaultMode.UP)
        assert store.read("large")[0].revision == 0

    def test_object_of_a_removed_document_can_be_dropped(self, store):
        store.write(Write("large", LARGE))
        (large,) = store.read("large")
        store.write(Write("large", None))
        store.run(store.documents.drop_object(large))
        store.run(store.documents.drop_object(large))
        assert store.platform.store.objects == {}

    def test_object_of_a_replaced_document_goes_and_a_failed_one_leaves_all_as_it_was(self, store):
        store.write(Write("large", LARGE))
        (old,) = store.read("large")
        assert store.run(store.documents.replace(old, LARGE + "y", Write("other", 1)))
        (new,) = store.read("large")
        assert list(store.platform.store.objects) == [new.object_name]
        assert not store.run(store.documents.replace(old, LARGE + "z"))
        assert store.read("large")[0].value == LARGE + "y"

    def test_writing_the_same_again_keeps_its_object(self, store):
        store.write(Write("large", LARGE))
        (row,) = store.read("large")
        assert store.run(store.documents.replace(row, LARGE))
        assert store.read("large")[0].value == LARGE

    def test_row_whose_object_is_gone_is_an_error_and_not_an_empty_document(self, store):
        store.write(Write("large", LARGE))
        store.platform.store.objects.clear()
        with pytest.raises(PlatformError, match="large is gone"):
            store.read("large")


class TestMalformedRows:
    @pytest.mark.parametrize("data", [[1], "text", 7])
    def test_row_that_is_no_document_is_an_error_that_names_it(self, store, data):
        store.platform.store.put(DOCUMENT_TABLE, "odd", data)
        with pytest.raises(PlatformError, match="document odd is malformed"):
            store.read("odd")


class TestRecentWrites:
    """What of its own a process writes again after the store's return from a copy."""

    @pytest.mark.parametrize(
        "mark, version, newer",
        [
            (WriteStamp(0), 10, True),
            (WriteStamp(0), 20, False),
            (WriteStamp(0), 30, False),
            (WriteStamp(0, make_revision(0, 10)), 99, True),
            (WriteStamp(0, make_revision(0, 30)), 1, False),
            (WriteStamp(1), 5, False),
        ],
    )
    def test_it_is_written_again_only_over_what_is_older(self, mark, version, newer):
        write = WrittenDocument("key", "value", make_revision(0, 20), 0.0)
        assert is_newer(write, mark, version, 1) is newer

    def test_row_of_a_later_era_is_newer_whatever_its_number(self):
        write = WrittenDocument("key", "value", make_revision(0, 2000), 0.0)
        assert not is_newer(write, WriteStamp(1), 100, 2)
        assert is_newer(
            WrittenDocument("key", "value", make_revision(1, 3), 0.0), WriteStamp(0), 900, 2
        )

    def test_old_writes_are_not_kept(self):
        now = [0.0]
        recent = RecentDocuments(lambda: now[0])
        recent.record_write("old", 1, 1)
        now[0] = 40.0
        recent.record_write("key", 1, 2)
        recent.record_write("key", 2, 3)
        assert [each.value for each in recent.last_writes()] == [2]
