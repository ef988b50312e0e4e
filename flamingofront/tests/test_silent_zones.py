"""Answers of zones that seem partitioned, in the simulated network."""

from dataclasses import replace

import pytest

from flamingofront.tests.forwarding_world import RULES, ForwardingWorld

ZONES = ("zone-a", "zone-b")
LONG_SECONDS = 1.2


def two_zones_world(rules=RULES):
    """Return a world with endpoints in two zones and entry processes in both."""
    world = ForwardingWorld()
    world.configure_routes()
    for zone in ZONES:
        for number in (1, 2):
            world.endpoint(f"engine-{zone}-{number}", "engines", zone, events=1)
            world.endpoint(f"plain-{zone}-{number}", "records", zone)
            world.front(f"front-{zone}-{number}", zone, rules=rules)
    world.run_until(lambda: all(each.ready for each in world.fronts.values()))
    world.run(12.0)
    return world


def ask_slow_endpoints(world, path, seconds=LONG_SECONDS):
    """Send requests to endpoints that make an event each few seconds."""
    for each in world.endpoints.values():
        each.gap = seconds
    return [world.ask("front-zone-a-1", path, "GET") for _ in range(8)]


def remote_requests(world):
    front = world.fronts["front-zone-a-1"]
    return [each for each in front.hub.active.values() if "zone-b" in each.endpoint_id]


def fail_connections(world):
    """Let the process find that two endpoints of the other zone accept no connections."""
    front = world.fronts["front-zone-a-1"]
    for kind in ("engine", "plain"):
        front.directory.record_connect_failure(f"{kind}-zone-b-2", front.timers.now())


class TestZonesThatSeemPartitioned:
    """Answers of reachable endpoints were given up, since their zone seemed partitioned."""

    @pytest.mark.parametrize("slack", [40.0, 0.0], ids=["retries left", "no retries"])
    @pytest.mark.parametrize("path", ["/read/x", "/stream/again/x"])
    @pytest.mark.parametrize("sign", ["processes", "connections"])
    def test_slow_endpoints_are_waited_for(self, sign, path, slack):
        world = two_zones_world(replace(RULES, retry_allowance=slack, retry_ratio=0.0))
        callers = ask_slow_endpoints(world, path)
        world.run(0.05)
        remote = remote_requests(world)
        if sign == "processes":
            for number in (1, 2):
                world.kill(f"front-zone-b-{number}", dark=True, silent=True)
        else:
            world.run(0.5)
            fail_connections(world)
        world.finish(*callers)
        assert remote
        assert [each.status for each in callers if each.broken or each.status != 200] == []
        assert len(world.list_runs()) == len(callers)

    def test_only_endpoints_that_are_not_reached_are_left(self):
        # The whole zone was left when two of its VMs were gone.
        world = two_zones_world()
        callers = ask_slow_endpoints(world, "/read/x")
        world.run(0.05)
        assert {each.endpoint_id for each in remote_requests(world)} >= {"plain-zone-b-1"}
        world.kill("plain-zone-b-2", dark=True, silent=True)
        world.kill("engine-zone-b-2", dark=True, silent=True)
        world.run(0.5)
        fail_connections(world)
        world.finish(*callers)
        runs = [endpoint for _, endpoint in world.list_runs()]
        again = len(runs) - len(callers)
        assert again == runs.count("plain-zone-b-2")
        assert all(each.status == 200 for each in callers)
