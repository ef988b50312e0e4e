"""Log lines by which the calls of two holders of the leader lease can be told apart afterwards."""

import logbook
import pytest

from flamingofront.process.forwarding.lease_row import LEADER_KEY, LEADER_PARTITION, LEADER_TABLE
from flamingofront.process.forwarding.tests.test_duties import find_holder
from flamingofront.standins.table_store import StoreFault
from flamingofront.tests.forwarding_world import ready_world


@pytest.fixture
def lines():
    """Return a function that lists the log lines of one event."""
    with logbook.TestHandler(level="INFO", bubble=True).applicationbound() as log:
        yield lambda event: [each.kwargs for each in log.records if each.message == event]


def stop_holder(world):
    """Stop the holder of the lease, and let it report its release."""
    node = world.fronts[find_holder(world)]
    node.stopping = True
    node.tasks.start(node.lease.release())
    world.run(1.2)
    node.peers.broadcast_report()


def end_lease(world, way):
    """End the lease of the current holder in one of four ways."""
    holder = find_holder(world)
    if way == "expired":
        world.kill(holder)
    elif way == "own VM":
        world.kill(holder)
        world.front(holder, first_start=False)
    elif way == "release reported":
        stop_holder(world)
    else:
        row = world.store.get_value(LEADER_TABLE, LEADER_KEY, LEADER_PARTITION)
        world.kill(holder)
        world.store.put(LEADER_TABLE, LEADER_KEY, {**row, "holder": ""}, LEADER_PARTITION)


class TestLinesOfCalls:
    """The line of an order did not tell when its lease was checked and when it was written."""

    STEPS = ("connecting_ms", "connected_ms", "written_ms", "ended_ms")

    @pytest.mark.parametrize("event", ["scaling request sent", "usage reported"])
    def test_times_of_an_answered_call(self, lines, event):
        ready_world(fronts=2).run(12.0)
        found = lines(event)
        assert found
        for each in found:
            times = [each[name] for name in self.STEPS if name in each]
            assert times == sorted(times)
            assert 300 <= each["lease_left_ms"] <= 3000
            assert each["fencing"] == 1

    @pytest.mark.parametrize("event", ["scaling request failed", "usage report failed"])
    def test_times_of_a_call_without_an_answer(self, lines, event):
        world = ready_world()
        world.store.cloud_fault = StoreFault.SILENT
        world.run(14.0)
        found = lines(event)
        assert found
        for each in found:
            assert each["ended_ms"] == 1000
            assert each["written_ms"] < 10
            assert each["maybe_applied"]


class TestLinesOfAcquisitions:
    """The line of a new holder did not tell why the lease of the last one had ended."""

    @pytest.mark.parametrize("way", ["expired", "own VM", "no holder"])
    def test_evidence_of_the_end(self, lines, way):
        world = ready_world(fronts=3)
        world.run(5.0)
        end_lease(world, way)
        world.run(8.0)
        acquired = lines("leader lease acquired")[-1]
        assert acquired["end"] == way
        assert acquired["fencing"] == 2
        assert acquired["acts_in_ms"] == 0
        assert acquired["read_ago_ms"] >= acquired["write_ago_ms"] >= 0
        assert (acquired["sign_ago_ms"] >= 4200) is (way == "expired")

    def test_release_that_was_reported(self, lines):
        world = ready_world(fronts=3)
        world.run(5.0)
        end_lease(world, "release reported")
        world.run(3.0)
        acquired = lines("leader lease acquired")[-1]
        assert acquired["end"] == "no holder"
        assert acquired["release_ago_ms"] < 1000
