"""Attempts on open connections whose retry would reach no endpoint, in the simulated network."""

import pytest

from flamingofront.tests.forwarding_world import ForwardingWorld
from flamingofront.tests.network import PathFault

SLOW_SECONDS = 1.2


def far_endpoints_world() -> ForwardingWorld:
    """Return a world whose endpoints are all in another zone than one of its processes."""
    world = ForwardingWorld()
    world.configure_routes()
    for number in (1, 2):
        world.endpoint(f"engine-{number}", "engines", "zone-b", events=1)
        world.endpoint(f"plain-{number}", "records", "zone-b")
    world.front("front-a", "zone-a")
    for number in (1, 2):
        world.front(f"front-b-{number}", "zone-b")
    world.run_until(lambda: all(each.ready for each in world.fronts.values()))
    world.run(12.0)
    return world


class TestZoneThatAcceptsNoConnections:
    """Attempts were given up for endpoints of the same zone, which were not reached either."""

    @pytest.mark.parametrize("path", ["/read/x", "/stream/again/x"])
    def test_attempts_on_open_connections_go_on(self, path):
        world = far_endpoints_world()
        for each in world.endpoints.values():
            each.gap = SLOW_SECONDS
        callers = [world.ask("front-a", path, "GET") for _ in range(8)]
        world.run(0.05)
        world.fail_paths(["front-a"], list(world.endpoints), PathFault.NEW_SILENT)
        for number in (1, 2):
            world.kill(f"front-b-{number}", dark=True, silent=True)
        world.finish(*callers)
        assert [each.status for each in callers if each.broken or each.status != 200] == []
        assert len(world.list_runs()) == len(callers)
