"""Detection of lost network paths to the endpoints, in the simulated network."""

import pytest

from flamingofront.decisions.direct_paths import PathStatus
from flamingofront.standins.forward_endpoint import ForwardFault
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

    @pytest.mark.parametrize("count", [4, 8])
    def test_endpoints_that_stand_still_are_no_lost_paths(self, count):
        # Endpoints that respond to nobody accept connections, as lost paths do behind a forwarder.
        world = paths_world()
        world.run(10.0)
        names = list(world.endpoints)[-count:]
        callers = [world.ask(name, "/read/1") for name in world.fronts]
        for name in names:
            world.pause(name)
        callers += [world.ask(name, "/read/1") for name in world.fronts for _ in range(3)]
        world.run(1.2)
        lost = [node.hub.paths.monitor.count_lost() for node in world.fronts.values()]
        for name in names:
            world.resume(name)
        world.finish(*callers)
        assert lost == [0] * 5
        assert all(each.status == 200 for each in callers)

    def test_check_by_responses_is_rare_while_endpoints_crash(self):
        # Each reset on a new connection asked four endpoints for their state.
        world = paths_world()
        world.run(2.0)
        node = world.fronts["front-1"]
        before = node.metrics.value("endpoint_probes_total")
        for _ in range(40):
            world.endpoints["plain-1"].inject_fault(ForwardFault.LOSE_ANSWER, 1)
            world.ask("front-1", "/write/1")
            world.run(0.1)
        crash_probes = 2 * 40
        assert node.metrics.value("endpoint_probes_total") - before <= crash_probes + 4 * 7 * 2

    def test_process_without_peers_notices_that_its_paths_are_lost(self):
        # No peer could be asked, which counted as one that reaches no endpoint either.
        world = paths_world(fronts=1)
        cut_off(world, ["front-1"], PathFault.HANGING)
        world.ask("front-1", "/write/1")
        world.run(0.02)
        node = world.fronts["front-1"]
        assert node.hub.paths.monitor.status is PathStatus.LOST
        assert node.metrics.value("ejections_total", service="records") == 0

    def test_each_change_of_belief_is_counted(self):
        world = paths_world()
        metrics = world.fronts["front-1"].metrics
        cut_off(world, ["front-1"], PathFault.REFUSED)
        world.ask("front-1", "/write/1")
        world.run(1.0)
        assert metrics.value("path_checks_total", outcome="lost") == 1
