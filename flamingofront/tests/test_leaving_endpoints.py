"""Entry processes before endpoints that say in their answers that they leave.

Answers were not asked for it: a process whose store was away sent to a leaving endpoint for seven
seconds.
"""

import pytest

from flamingofront.platform.endpoints import ENDPOINT_TABLE
from flamingofront.tests.watched_world import ZONES, WatchedWorld

# From an answer that says so until the last request that may reach a leaving endpoint.
LEAVE_SECONDS = 2.0


def late_at(world, name, since):
    """Return the requests that reached an endpoint later than one that leaves may get them."""
    return [each for each in world.arrivals[name] if each.at > since + LEAVE_SECONDS]


class TestLeaving:
    @pytest.mark.parametrize("away", [True, False])
    def test_endpoint_gets_nothing_though_its_row_says_ready(self, away):
        """With the store away nobody hears of a leaving endpoint but by its own answers."""
        world = WatchedWorld()
        if away:
            for name in world.fronts:
                world.cut(name, "store")
        world.endpoints["plain-0"].leaving = True
        callers = world.offer(40, 1.0)
        told = world.clock.now()
        callers += world.offer(40, 6.0)
        world.run(1.0)
        assert late_at(world, "plain-0", told) == []
        assert {each.status for each in callers} == {200}

    @pytest.mark.parametrize("path", ["/stream/again/x", "/stream/once/x", "/write/x"])
    def test_streams_and_calls_that_run_once_go_elsewhere(self, path):
        world = WatchedWorld()
        name = "plain-0" if path == "/write/x" else "engine-0"
        world.endpoints[name].leaving = True
        world.offer(30, 1.0, path)
        told = world.clock.now()
        world.offer(30, 5.0, path)
        assert late_at(world, name, told) == []

    def test_later_rows_that_say_ready_do_not_bring_it_back(self):
        world = WatchedWorld(fronts=1)
        world.endpoints["plain-0"].leaving = True
        world.offer(40, 1.0)
        told = world.clock.now()
        for sequence in range(2, 6):
            world.register("plain-0", "records", ZONES[0], sequence=sequence)
            world.offer(40, 1.0)
        assert late_at(world, "plain-0", told) == []

    def test_row_that_vanishes_and_comes_back_does_not_either(self):
        """The store may have come back from a copy in which the endpoint was ready."""
        world = WatchedWorld(fronts=1)
        world.endpoints["plain-0"].leaving = True
        world.offer(40, 1.0)
        told = world.clock.now()
        world.store.drop(ENDPOINT_TABLE, "plain-0")
        world.run(LEAVE_SECONDS)
        world.register("plain-0", "records", ZONES[0], sequence=9)
        world.offer(40, 4.0)
        assert late_at(world, "plain-0", told) == []

    def test_next_start_of_the_endpoint_serves(self):
        world = WatchedWorld(fronts=1)
        world.endpoints["plain-0"].leaving = True
        world.offer(40, 2.0)
        world.endpoints["plain-0"].leaving = False
        world.register("plain-0", "records", ZONES[0], sequence=1, born=5_000)
        world.run(1.0)
        before = len(world.arrivals["plain-0"])
        world.offer(40, 3.0)
        assert len(world.arrivals["plain-0"]) - before >= 20

    def test_all_endpoints_leave_at_once(self):
        """What cannot be served is refused at once, with a time to come back."""
        world = WatchedWorld(fronts=1)
        for number in range(3):
            world.endpoints[f"plain-{number}"].leaving = True
        world.offer(40, 2.0)
        caller = world.ask("front-0", "/read/x", "GET")
        world.run(0.2)
        assert caller.status == 503 and float(caller.headers["retry-after"]) > 0

    @pytest.mark.parametrize("fronts", [4, 20])
    def test_other_processes_hear_of_it(self, fronts):
        world = WatchedWorld(fronts)
        world.endpoints["plain-0"].leaving = True
        while not world.arrivals["plain-0"]:
            world.finish(world.ask("front-0", "/read/x", "GET"))
        world.run(2.0)
        told = world.clock.now()
        world.offer(60, 3.0)
        assert [each for each in world.arrivals["plain-0"] if each.at > told] == []
