"""The row of the store that holds the versions of each service."""

import logbook
import pytest

from flamingofront.process.forwarding.stored_versions import VERSION_KEY, VERSION_TABLE
from flamingofront.request.stream_origins import RESUME_SECONDS
from flamingofront.standins.table_store import StoreFault
from flamingofront.tests.test_versions_after_restarts import kill_all, start_all
from flamingofront.tests.versions_world import versions_world

# Timeout of the routes, and the time after it in which a stream can be resumed.
RESUMABLE_SECONDS = 4.0 + RESUME_SECONDS


def stored(world, service="engines"):
    """Return the stored versions of a service; None without a row."""
    row = world.store.get_value(VERSION_TABLE, VERSION_KEY)
    return None if row is None else row["services"].get(service)


def read(world, name="front-1"):
    """Return what a process passes on for a lookup."""
    found = []
    world.fronts[name].stored_versions.read(found.append)
    world.run(0.2)
    (versions,) = found
    return versions


def count_calls(world, seconds):
    """Return the number of calls about the row in some seconds."""
    calls, inner = [], world.store._serve

    def serve(req, exchange, respond):
        if VERSION_TABLE in (req.query.get("table"),) or b'"versions"' in req.body:
            calls.append(req)
        inner(req, exchange, respond)

    world.store._serve = serve
    world.run(seconds)
    world.store._serve = inner
    return len(calls)


class TestUpkeep:
    def test_versions_are_stored_when_they_are_first_seen(self):
        world = versions_world()
        assert stored(world) == ["v1", "v1.2"]
        world.versioned_engine("v2-1", "v2")
        world.run(0.2)
        assert stored(world) == ["v1", "v1.2", "v2"]

    @pytest.mark.parametrize("fronts", [5, 24])
    def test_calls_are_few(self, fronts):
        world = versions_world(fronts)
        assert count_calls(world, 30.0) == 0
        world.versioned_engine("v2-1", "v2")
        # Each process reads the row; few write at the same time.
        assert count_calls(world, 2.0) <= 3 * fronts

    def test_version_stays_for_as_long_as_its_streams_can_be_resumed(self):
        world = versions_world()
        world.remove_version("v1")
        world.run(RESUMABLE_SECONDS - 0.5)
        assert stored(world) == ["v1", "v1.2"]
        world.run(15.0)
        assert stored(world) == ["v1.2"]

    def test_version_whose_endpoints_come_back_stays(self):
        world = versions_world()
        world.remove_version("v1")
        world.run(RESUMABLE_SECONDS - 2.0)
        world.versioned_engine("v1-9", "v1")
        world.run(RESUMABLE_SECONDS)
        assert stored(world) == ["v1", "v1.2"]

    @pytest.mark.parametrize("fault", [StoreFault.BUSY, StoreFault.RESET, StoreFault.LOSE_ANSWERS])
    def test_version_is_stored_once_the_store_answers(self, fault):
        world = versions_world()
        world.versioned_engine("v2-1", "v2")
        world.run(0.003)
        world.store.fault = fault
        world.run(3.0)
        world.store.fault = StoreFault.NONE
        world.run(8.0)
        assert stored(world) == ["v1", "v1.2", "v2"]

    def test_malformed_row_is_replaced(self):
        world = versions_world()
        world.store.put(VERSION_TABLE, VERSION_KEY, {"services": 7})
        with logbook.TestHandler(bubble=False).applicationbound():
            world.versioned_engine("v2-1", "v2")
            world.run(6.0)
        assert stored(world) == ["v1", "v1.2", "v2"]


class TestTrust:
    """A row from which a restore may have taken versions tells nothing."""

    def test_row_is_written_again_by_a_process_that_ran_through_the_restore(self):
        world = versions_world()
        world.store.restore(3.0)
        world.run(6.0)
        assert read(world) == {"engines": {"v1", "v1.2"}}

    def test_row_of_an_earlier_era_does_not_count(self):
        world = versions_world()
        names = kill_all(world)
        world.store.restore(3.0)
        start_all(world, names)
        assert read(world) is None
        world.run(RESUMABLE_SECONDS + 10.0)
        assert read(world) == {"engines": {"v1", "v1.2"}}

    def test_missing_row_counts_only_at_the_first_start(self):
        world = versions_world()
        names = kill_all(world)
        world.store.drop(VERSION_TABLE, VERSION_KEY)
        start_all(world, names)
        world.run(1.0)
        assert read(world) is None

    def test_store_that_does_not_answer_tells_nothing(self):
        world = versions_world()
        world.store.fault = StoreFault.BUSY
        world.run(1.0)
        assert read(world) is None
