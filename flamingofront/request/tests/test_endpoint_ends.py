"""Which broken connections mean that an endpoint has ended."""

import pytest

from flamingofront.connection.interfaces import Reach
from flamingofront.process.logs import Log
from flamingofront.process.membership import Fact, FactTable, Role, VmState
from flamingofront.process.metrics import Metrics
from flamingofront.process.timers import ManualClock, TimerService
from flamingofront.request.directory import EndpointDirectory
from flamingofront.request.endpoint_ends import MAX_PROBES, CrashDetector

ADDRESS = "10.0.0.1:80"


class Probes:
    """Transport that answers probes as it is told."""

    def __init__(self, timers):
        self.timers = timers
        self.reach = Reach.REFUSED
        self.count = 0

    def probe(self, address, timeout, listener):
        self.count += 1
        assert address == ADDRESS
        self.timers.once(0.002, lambda: listener(self.reach))


class Watch:
    """Ends of endpoints as one process sees them, on a clock that is moved by hand."""

    def __init__(self, state=VmState.LIVE):
        self.clock = ManualClock(100.0)
        self.timers = TimerService(self.clock)
        facts = FactTable()
        facts.merge((Fact("e-1", 1, state, Role.ENDPOINT, "zone-a", ADDRESS, "engines"),))
        self.directory = EndpointDirectory(facts, None)
        self.transport = Probes(self.timers)
        self.metrics = Metrics()
        self.watch = CrashDetector(
            self.transport, self.timers, self.directory, self.metrics, Log("test")
        )
        self.ends = []
        self.watch.on_ended = self.ends.append

    def broke(self, *requests):
        for each in requests:
            self.watch.broke("e-1", ADDRESS, each)

    def run(self, seconds):
        end = self.clock.time + seconds
        while (due := self.timers.next_due()) is not None and due <= end:
            self.clock.time = max(self.clock.time, due)
            self.timers.run_due()
        self.clock.time = end


class TestEndpointEnds:
    def test_refused_connection_after_a_broken_one_is_an_end(self):
        world = Watch()
        world.broke("one", "two")
        world.run(0.1)
        (end,) = world.ends
        assert (end.endpoint_id, end.zone, end.at) == ("e-1", "zone-a", 100.0)
        assert end.requests == ("one", "two")
        assert world.metrics.value("endpoint_ends_total") == 1

    def test_endpoint_that_accepts_connections_has_not_ended(self):
        world = Watch()
        world.transport.reach = Reach.CONNECTED
        world.broke("one")
        world.run(10.0)
        assert not world.ends and world.transport.count == 1

    def test_endpoint_that_still_sends_has_not_ended(self):
        """One at its limit of connections refuses new ones while it serves the others."""
        world = Watch()
        world.broke("one")
        world.run(0.015)
        world.directory.record_contact("e-1", world.clock.now())
        world.run(10.0)
        assert not world.ends

    @pytest.mark.parametrize("state", [VmState.LEAVING, VmState.GONE])
    def test_endpoint_that_leaves_ends_for_its_own_reason(self, state):
        world = Watch(state)
        world.broke("one")
        world.run(10.0)
        assert not world.ends and not world.transport.count

    def test_silent_endpoint_has_ended_once_its_row_goes(self):
        world = Watch()
        world.transport.reach = Reach.UNANSWERED
        world.broke("one")
        world.run(2.5)
        assert not world.ends
        world.watch.gone("e-1")
        assert [each.requests for each in world.ends] == [("one",)]

    def test_silent_endpoint_that_comes_back_has_not_ended(self):
        world = Watch()
        world.transport.reach = Reach.UNANSWERED
        world.broke("one")
        world.run(1.5)
        world.transport.reach = Reach.CONNECTED
        world.run(20.0)
        world.watch.gone("e-1")
        assert not world.ends and world.transport.count < MAX_PROBES

    def test_what_is_noticed_late_is_told_as_part_of_the_same_end(self):
        world = Watch()
        world.broke("one")
        world.run(0.1)
        world.broke("one", "two")
        assert [each.requests for each in world.ends] == [("one",), ("two",)]
        assert {each.at for each in world.ends} == {100.0}

    def test_new_start_of_an_endpoint_shows_the_end_of_the_one_before(self):
        world = Watch()
        world.watch.restarted("e-1", frozenset({"one"}))
        world.watch.restarted("e-1", frozenset({"two"}))
        assert [each.requests for each in world.ends] == [("one",), ("two",)]
