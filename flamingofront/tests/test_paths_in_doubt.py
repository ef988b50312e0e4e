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
