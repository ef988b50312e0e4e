"""Stops of lease holders in series, among so many processes that relays pass reports on."""

import random

import logbook
import pytest

from flamingofront.process.forwarding.tests.test_duties import (
    assert_one_holder_at_a_time,
    find_holder,
)
from flamingofront.tests.forwarding_world import ForwardingWorld

FRONTS = 24
ZONES = 4
STOPS = 3


def many_fronts(seed, lost):
    """Return a world of entry processes in several zones, whose datagrams are lost in part."""
    world = ForwardingWorld(seed)
    world.configure_routes()
    for number in range(1, ZONES + 1):
        zone = f"zone-{number % ZONES}"
        world.endpoint(f"engine-{number}", "engines", zone)
        world.endpoint(f"plain-{number}", "records", zone)
    for number in range(1, FRONTS + 1):
        world.front(f"front-{number}", f"zone-{number % ZONES}")
    world.run_until(lambda: all(each.ready for each in world.fronts.values()))
    world.run(4.0)
    world.lost_datagrams = lost
    return world


def stop_and_restart(world, name, seconds):
    """Stop an entry process, which goes on reporting for some seconds, and start it again."""
    node = world.fronts[name]
    node.stopping = True
    node.tasks.start(node.lease.release())
    node.peers.broadcast_report()
    world.run(seconds)
    world.kill(name)
    world.front(name, world.host(name).zone, first_start=False)


class TestStops:
    """ONE: a process took the lease of a live holder, whose next calls had the lower token.

    It had heard of the new holder, then late of the earlier one, then that this one had released
    the lease.
    """

    @pytest.mark.parametrize("seed, lost", [(7, 0.2), (8, 0.0)])
    def test_each_stop_changes_the_holder_once(self, seed, lost):
        world, rng = many_fronts(seed, lost), random.Random(seed)
        with logbook.TestHandler(level="INFO", bubble=True).applicationbound() as log:
            for _ in range(STOPS):
                stop_and_restart(world, find_holder(world), 6.0 + 2 * rng.random())
                world.run(2.0 + 2 * rng.random())
        acquired = [
            each.kwargs["fencing"]
            for each in log.records
            if each.message == "leader lease acquired"
        ]
        assert acquired == list(range(2, 2 + STOPS))
        assert_one_holder_at_a_time(world)
