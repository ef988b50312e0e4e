"""Tests of common prompt parts that outlast a restart of all processes."""

import logbook

from flamingofront.process.answered_parts import ANSWERED_PARTS_KEY, PERIOD_SECONDS
from flamingofront.process.holds import QUARANTINE_TABLE
from flamingofront.standins.table_store import StoreFault
from flamingofront.tests.crashing_world import crashing_world
from flamingofront.tests.part_load import SHARED_PART, PartLoad


def play(seconds=8.0, **options):
    load = PartLoad(crashing_world(fronts=4, engines=6, **options))
    return load.play(seconds, poison_from=90.0)


def count_writes(world):
    """Return the number of writes of the row that the store remembers."""
    return sum(
        (table, key) == (QUARANTINE_TABLE, ANSWERED_PARTS_KEY)
        for _, table, _, key, _ in world.store._history
    )


class TestAnsweredParts:
    def test_fresh_processes_know_the_common_parts(self):
        """They took parts that most requests share for poison parts, or blamed nothing."""
        world = play().world
        world.restart()
        world.run(2.0)
        for node in world.fronts.values():
            assert node.hub.guard.parts.evidence.last_answer(SHARED_PART) is not None

    def test_row_is_written_seldom(self):
        world = play(seconds=20.0).world
        assert 1 <= count_writes(world) <= 4

    def test_row_is_written_once_the_store_is_back(self):
        load = PartLoad(crashing_world(fronts=4, engines=6))
        store = load.world.store
        load.at(0.0, lambda: setattr(store, "fault", StoreFault.BUSY))
        load.at(5.0, lambda: setattr(store, "fault", StoreFault.NONE))
        load.play(6.0, poison_from=90.0)
        load.world.run(2 * PERIOD_SECONDS)
        assert count_writes(load.world)

    def test_malformed_row_is_logged_and_skipped(self):
        world = play().world
        with logbook.TestHandler(bubble=True).applicationbound() as log:
            world.store.put(QUARANTINE_TABLE, ANSWERED_PARTS_KEY, {"parts": [1]})
            world.run(1.0)
        assert any(each.message == "quarantine row rejected" for each in log.records)
