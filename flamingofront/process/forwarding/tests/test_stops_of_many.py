"""Holders of the leader lease that are stopped one after the other, among dozens of processes.

Relays pass on who holds the lease and which lease was released last. What one of them passes on
may be older than what a process has heard from another one.
"""

import logbook
import pytest

from flamingofront.process.forwarding.duty import LeaseEnd
from flamingofront.process.forwarding.tests.test_duties import assert_one_holder_at_a_time
from flamingofront.tests.forwarding_world import ForwardingWorld

ZONES = ("zone-a", "zone-b", "zone-c", "zone-d")
# A stopped process goes on for some seconds, and is started again a second later.
STOP_SECONDS = 2.6
RESTART_SECONDS = 3.6


class SeriesOfStops:
    """Entry processes of four zones; the holder orders endpoints all the time."""

    def __init__(self, seed, fronts):
        self.world = world = ForwardingWorld(seed)
        world.configure_routes()
        for number in (1, 2):
            world.endpoint(f"engine-{number}", "engines")
            world.endpoint(f"plain-{number}", "records")
        for number in range(fronts):
            world.front(f"front-{number + 1}", ZONES[number % len(ZONES)])
        world.run_until(lambda: all(each.ready for each in world.fronts.values()))
        world.run(4.0)
        self.timers = world.host("store").timers
        self._order_again()

    def _order_again(self):
        """Let the holder send its orders once more."""
        for name, node in self.world.fronts.items():
            if not self.world.host(name).dead:
                node.leader_tasks[1]._last_requests.clear()
        self.timers.once(0.2, self._order_again)

    def stop_holder(self):
        world = self.world
        holders = [name for name, each in world.fronts.items() if each.lease.valid_lease()]
        live = [name for name in holders if not world.host(name).dead]
        if not live:
            return
        name, node = live[0], world.fronts[live[0]]
        node.stopping = True
        node.tasks.start(node.lease.release())
        node.peers.broadcast_report()
        self.timers.once(STOP_SECONDS, lambda: world.kill(name))
        zone = world.host(name).zone
        self.timers.once(RESTART_SECONDS, lambda: world.front(name, zone, first_start=False))

    def run(self, stops=6):
        for _ in range(stops):
            self.stop_holder()
            self.world.run(self.world.rng.choice((1.8, 2.5, 4.0, 5.0)))
        self.world.run(5.0)


class TestStopsOfMany:
    @pytest.mark.parametrize("seed", [1, 5, 7])
    def test_lease_of_a_live_holder_is_not_taken(self, seed):
        """ONE: relays repeated an earlier release after the claim of the next holder."""
        series = SeriesOfStops(seed, fronts=40)
        with logbook.TestHandler(level="INFO", bubble=True).applicationbound() as log:
            series.run()
        acquired = [each for each in log.records if each.message == "leader lease acquired"]
        assert {each.kwargs["end"] for each in acquired} == {LeaseEnd.NO_HOLDER}
        assert len({each.fencing for each in series.world.store.leader_calls}) >= 4
        assert_one_holder_at_a_time(series.world)
