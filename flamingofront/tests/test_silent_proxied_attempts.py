"""Proxied attempts whose endpoints are silent for some seconds, in the simulated network."""

from dataclasses import replace

import pytest

from flamingofront.standins.forward_endpoint import ForwardFault
from flamingofront.tests.forwarding_world import RULES
from flamingofront.tests.network import PathFault
from flamingofront.tests.paths_world import cut_off, offer, paths_world

# Longer than a peer may be silent, and short enough for two events and a deadline of 3 s.
SILENT_SECONDS = 1.4
PATHS = ("/read/x", "/stream/again/x", "/stream/once/x", "/write/x")


def proxied_world(**options):
    """Return a world in which a process reaches endpoints through its peers only."""
    world = paths_world(**options)
    offer(world, 0.5)
    cut_off(world, ("front-1",), PathFault.SILENT)
    offer(world, 1.5)
    world.run(10.0)
    return world


def ask_silent_endpoints(world, seconds=SILENT_SECONDS):
    """Send requests through peers to endpoints that make an event each few seconds."""
    for each in world.endpoints.values():
        each.gap, each.events = seconds, 1
        each.runs.clear()
    return [world.ask("front-1", path) for path in PATHS for _ in range(3)]


class TestSilentEndpointsBehindPeers:
    """Peers that waited for a silent endpoint were taken to be stopped."""

    @pytest.mark.parametrize("slack", [40.0, 0.0], ids=["retries left", "no retries"])
    def test_attempts_go_on_and_all_are_answered(self, slack):
        world = proxied_world(rules=replace(RULES, retry_allowance=slack, retry_ratio=0.0))
        callers = ask_silent_endpoints(world)
        world.finish(*callers)
        runs = len(world.list_runs())
        assert [each.status for each in callers if each.broken or each.status != 200] == []
        assert runs == len(callers)

    def test_other_attempts_use_the_peer_meanwhile(self):
        # The peer was in back-off for two seconds, for all endpoints.
        world = proxied_world(fronts=2)
        callers = ask_silent_endpoints(world)
        world.run(SILENT_SECONDS - 0.2)
        assert world.fronts["front-1"].hub.paths.peers.is_available
        world.finish(*callers)

    def test_peer_that_stands_still_is_noticed_as_soon_as_before(self):
        world = proxied_world()
        callers = ask_silent_endpoints(world, seconds=0.9)
        world.run(0.05)
        name = next(name for name, node in world.fronts.items() if node.proxy.count_active())
        front = world.fronts["front-1"]
        peer = world.host(name).address
        before = sum(each.proxy_address == peer for each in front.hub.active.values())
        world.pause(name)
        world.run(1.4)
        assert before
        assert not any(
            each.proxy_address == peer and each.work.repeatable
            for each in front.hub.active.values()
        )
        world.resume(name)
        world.finish(*callers)

    def test_decisions_are_logged_with_their_inputs(self):
        world = proxied_world()
        lines = []
        log = world.fronts["front-1"].hub.paths._log
        log.info = log.warning = lambda event, **fields: lines.append((event, fields))
        callers = ask_silent_endpoints(world)
        world.finish(*callers)
        kept = [fields for event, fields in lines if event == "proxy peer responds"]
        assert kept and all(each["silent_for"] > 0.5 for each in kept)
        assert len(kept) <= 8


class TestPeerThatStandsStill:
    """A peer stands still while the only endpoint of a service works on its attempts."""

    def test_attempt_at_the_only_endpoint_goes_to_another_peer(self):
        # The way through another peer was taken for the same path, and the attempt was kept.
        world = proxied_world(engines=1, plains=1)
        world.endpoints["plain-1"].gap = 0.5
        callers = [world.ask("front-1", "/read/x") for _ in range(6)]
        world.run(0.05)
        name = next(name for name, node in world.fronts.items() if node.proxy.count_active())
        front, peer = world.fronts["front-1"], world.host(name).address
        waiting = [each for each in front.hub.active.values() if each.proxy_address == peer]
        world.pause(name)
        world.run(2.5)
        assert waiting
        assert [each.proxy_address for each in waiting if not each.done] == []
        world.resume(name)
        world.finish(*callers)

    def test_lines_on_a_peer_are_rare_while_attempts_are_kept(self):
        # Two lines a second and peer, as long as the attempts that may not run twice were kept.
        world = proxied_world()
        for each in world.endpoints.values():
            each.gap = 0.5
        lines = []
        log = world.fronts["front-1"].hub.paths._log
        log.warning = lambda event, **fields: lines.append((event, fields))
        callers = [world.ask("front-1", "/write/x") for _ in range(6)]
        world.run(0.05)
        name = next(name for name, node in world.fronts.items() if node.proxy.count_active())
        world.pause(name)
        world.run(3.5)
        event = "proxy peer does not respond"
        stopped = [fields["peer"] for each, fields in lines if each == event]
        world.resume(name)
        world.finish(*callers)
        assert stopped
        assert len(stopped) == len(set(stopped))


class TestRefusalsThroughPeers:
    """Responses through a peer tell nothing about the paths of this process."""

    def test_refusal_is_no_sign_of_the_direct_paths(self):
        # The attempt had ended, so that its response counted as direct.
        world = proxied_world()
        directory = world.fronts["front-1"].directory
        for each in world.endpoints.values():
            each.inject_fault(ForwardFault.REFUSE)
        before = directory.last_contact_of_any()
        callers = [world.ask("front-1", path) for path in PATHS]
        world.finish(*callers)
        assert any(each.rejected for each in world.endpoints.values())
        assert directory.last_contact_of_any() == before
