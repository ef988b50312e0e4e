"""Detection of lost network paths to the endpoints, in the simulated network."""

import pytest

from flamingofront.decisions.direct_paths import PathStatus
from flamingofront.tests.network import PathFault
from flamingofront.tests.paths_world import ALL_FAULTS, cut_off, paths_world


class TestPathMonitor:
    """Whether a process knows that it lost its paths, as opposed to endpoints that failed."""

    @pytest.mark.parametrize("fault", ALL_FAULTS)
    def test_lost_paths_are_noticed_and_restored(self, fault):
        world = paths_world()
        node = world.fronts["front-1"]
        cut_off(world, ["front-1"], fault)
        world.ask("front-1", "/write/1")
        world.run(1.0)
        assert node.hub.paths.monitor.status is PathStatus.LOST
        assert node.hub.paths.monitor.count_lost() == 8
        world.heal()
        seconds = world.run_until(lambda: node.hub.paths.monitor.status is PathStatus.WORKING)
        assert seconds < 1.5

    @pytest.mark.parametrize("dead", [["plain-1"], ["plain-1", "plain-2", "plain-3", "plain-4"]])
    @pytest.mark.parametrize("dark", [False, True])
    def test_failed_endpoints_are_no_lost_paths(self, dead, dark):
        # All endpoints of a service fail at once, or one of them.
        world = paths_world()
        for name in dead:
            world.kill(name, dark)
        for _ in range(4):
            world.ask("front-1", "/write/1")
            world.run(0.5)
        assert world.fronts["front-1"].hub.paths.monitor.status is PathStatus.WORKING

    def test_each_change_of_belief_is_counted(self):
        world = paths_world()
        metrics = world.fronts["front-1"].metrics
        cut_off(world, ["front-1"], PathFault.REFUSED)
        world.ask("front-1", "/write/1")
        world.run(1.0)
        assert metrics.value("path_checks_total", outcome="lost") == 1
