"""Calls of a lease holder that the cloud receives late, in the simulated network.

They arrive up to the longest delivery after they were written, whatever the holder does meanwhile.
"""

import pytest

from flamingofront.process.forwarding.duty import MAX_DELIVERY_SECONDS
from flamingofront.process.forwarding.tests.test_duties import (
    assert_one_holder_at_a_time,
    find_holder,
)
from flamingofront.tests.forwarding_world import ready_world
from flamingofront.tests.network import LATENCY

# A process that is stopped goes on for some seconds.
STOP_SECONDS = 2.6
ORDER_SECONDS = 0.1


class LateDeliveries:
    """Entry processes that order endpoints all the time, and whose calls arrive late."""

    def __init__(self, seed, delay):
        self.world = world = ready_world(fronts=4, seed=seed)
        world.run(3.0)
        self.timers = world.host("store").timers
        self.delay = delay
        self._order_again()
        world.run(1.0 + world.rng.random())

    def _order_again(self):
        for name, node in self.world.fronts.items():
            if not self.world.host(name).dead:
                node.leader_tasks[1]._last_requests.clear()
        self.timers.once(ORDER_SECONDS, self._order_again)

    def end_holder(self, way):
        """End the lease of the holder, whose last calls arrive late."""
        world = self.world
        name = find_holder(world)
        world.delivery_delays = {name: self.delay}
        world.run(MAX_DELIVERY_SECONDS + world.rng.random())
        if way == "stop":
            node = world.fronts[name]
            node.stopping = True
            node.tasks.start(node.lease.release())
            node.peers.broadcast_report()
            self.timers.once(STOP_SECONDS, lambda: self.restart(name))
        elif way == "restart":
            self.restart(name)
        elif way == "pause":
            world.pause(name)
            self.timers.once(8.0, lambda: world.resume(name))
        else:
            world.cut(name, "store")
            self.timers.once(8.0, world.heal)
        return name

    def restart(self, name):
        """Kill a process and start it again at once."""
        self.world.kill(name)
        self.world.front(name, first_start=False)


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("delay", [0.4, MAX_DELIVERY_SECONDS - LATENCY])
@pytest.mark.parametrize("way", ["stop", "restart", "pause", "cut"])
class TestLateDeliveries:
    def test_calls_arrive_before_those_of_the_next_holder(self, way, delay, seed):
        """ONE: a call that was written in time arrived beside those of the next holder."""
        play = LateDeliveries(seed, delay)
        for _ in range(2):
            play.end_holder(way)
            play.world.run(10.0)
            play.world.delivery_delays = {}
            play.world.run(2.0)
        calls = play.world.store.leader_calls
        assert len({each.fencing for each in calls}) >= 2
        assert_one_holder_at_a_time(play.world)
