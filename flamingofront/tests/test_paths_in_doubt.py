"""Attempts in flight while the paths to their endpoints are checked, in the simulated network."""

from dataclasses import replace

import pytest

from flamingofront.decisions.direct_paths import PathStatus
from flamingofront.tests.forwarding_world import RULES
from flamingofront.tests.paths_world import paths_world

# No data for so long starts a check of the paths, and is longer than attempts on lost ones wait.
SLOW_SECONDS = 1.2
PATHS = ("/read/x", "/stream/again/x", "/stream/once/x", "/write/x")


class TestAttemptsDuringChecks:
    """Attempts were given up as on lost paths when a check began, which found that paths work."""

    @pytest.mark.parametrize("slack", [40.0, 0.0], ids=["retries left", "no retries"])
    def test_slow_endpoints_that_are_reached_are_waited_for(self, slack):
        world = paths_world(rules=replace(RULES, retry_allowance=slack, retry_ratio=0.0))
        world.run(10.0)
        for each in world.endpoints.values():
            each.gap, each.events = SLOW_SECONDS, 1
        callers = [world.ask("front-1", path) for path in PATHS for _ in range(3)]
        world.finish(*callers)
        front = world.fronts["front-1"]
        assert front.metrics.value("path_checks_total", outcome="working") > 0
        assert front.hub.paths.monitor.status is PathStatus.WORKING
        assert [each.status for each in callers if each.broken or each.status != 200] == []
        assert len(world.list_runs()) == len(callers)

    def test_endpoint_that_accepts_connections_is_not_lost(self):
        # The process waited for a response, and its peer was content with a connection.
        world = paths_world()
        world.run(10.0)
        for name in world.endpoints:
            world.host(name).handler = lambda req, exchange: None
        callers = [world.ask("front-1", "/read/1") for _ in range(3)]
        monitor = world.fronts["front-1"].hub.paths.monitor
        world.run_until(lambda: monitor.status is PathStatus.CHECKING)
        monitor.record_failure("plain-1", "connect")
        world.run(1.0)
        assert not monitor.is_known_lost("plain-1")
        world.finish(*callers)
