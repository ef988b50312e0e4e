"""Attempts whose bytes leave later than they were decided on, in the simulated network."""

from dataclasses import replace

import pytest

from flamingofront.platform.endpoints import ENDPOINT_TABLE
from flamingofront.tests.forwarding_world import RULES, ready_world
from flamingofront.tests.network import PathFault
from flamingofront.tests.paths_world import cut_off, offer, paths_world

DEADLINE_SECONDS = 3.0
# Difference between the deadline that an endpoint is told and that of the caller.
MAX_EXCESS_SECONDS = 0.5
PATHS = ("/read/x", "/write/x", "/stream/again/x", "/stream/once/x")
NO_RETRIES = replace(RULES, retry_ratio=0.0, retry_allowance=0.0)


def delay_connections(world, seconds, sources=("front-1",)):
    """Delay the connections from some processes to all endpoints."""
    for source in sources:
        for name in world.endpoints:
            world.path_connect_delays[source, name] = seconds


def list_excesses(world, asked_at):
    """Return how much longer than the caller's each endpoint's deadline was, in seconds."""
    return [
        req.head_received_at
        + int(req.header("x-flamingofront-deadline-ms")) / 1000
        - (asked_at + DEADLINE_SECONDS)
        for each in world.endpoints.values()
        for req in each.runs
    ]


def stand_still(world, name, seconds):
    """Let a process stand still; what came due meanwhile is done in order when it goes on."""
    world.run(0.05)
    world.pause(name)
    world.run(seconds)
    world.resume(name)


class TestDeadlineHeader:
    """An endpoint was told a deadline that had been computed long before the request was sent."""

    @pytest.mark.parametrize("path", PATHS)
    @pytest.mark.parametrize("seconds", [0.6, 1.5])
    def test_process_that_stands_still_while_it_connects(self, path, seconds):
        """The request is served by the only endpoint, without a retry from the budget."""
        world = ready_world(engines=1, plains=1, rules=NO_RETRIES)
        delay_connections(world, 0.2)
        asked_at = world.clock.now()
        caller = world.ask("front-1", path)
        stand_still(world, "front-1", seconds)
        world.finish(caller)
        (excess,) = list_excesses(world, asked_at)
        assert excess <= MAX_EXCESS_SECONDS
        assert caller.status == 200

    @pytest.mark.parametrize("path", PATHS)
    @pytest.mark.parametrize("seconds", [0.4, 0.7])
    def test_process_that_notices_each_connection_late(self, path, seconds):
        """A request is sent with a true deadline in time, rather than withdrawn until it ends."""
        world = ready_world(engines=1, plains=1, rules=NO_RETRIES)
        delay_connections(world, seconds)
        asked_at = world.clock.now()
        caller = world.ask("front-1", path)
        world.finish(caller)
        (excess,) = list_excesses(world, asked_at)
        assert excess <= MAX_EXCESS_SECONDS
        assert caller.status == 200
        assert world.clock.now() - asked_at < 2 * seconds + 0.4


class TestEndpointThatLeaves:
    """An endpoint that had left while the connection was established got a new request."""

    @pytest.mark.parametrize("path", PATHS)
    @pytest.mark.parametrize("is_removed", [False, True])
    def test_request_goes_to_another_endpoint(self, path, is_removed):
        world = ready_world(rules=NO_RETRIES)
        delay_connections(world, 0.2)
        caller = world.ask("front-1", path)
        world.run(0.05)
        (request,) = world.fronts["front-1"].hub.active.values()
        name = request.endpoint_id
        if is_removed:
            world.store.drop(ENDPOINT_TABLE, name)
        else:
            service = request.record.service.name
            world.register(name, service, world.host(name).zone, state="draining", sequence=2)
        world.finish(caller)
        assert world.endpoints[name].runs == []
        assert caller.status == 200

    def test_request_that_has_begun_goes_on(self):
        """An endpoint that leaves answers what it has received."""
        world = ready_world(rules=NO_RETRIES)
        caller = world.ask("front-1", "/write/x")
        world.run(0.004)
        (request,) = world.fronts["front-1"].hub.active.values()
        world.register(request.endpoint_id, "records", state="draining", sequence=2)
        world.finish(caller)
        assert caller.status == 200
        assert [endpoint for _, endpoint in world.list_runs()] == [request.endpoint_id]


class TestCallerThatLeaves:
    """A process that had stood still sent a request before it noticed that its caller had left."""

    @pytest.mark.parametrize("path", PATHS)
    def test_nothing_is_sent_for_a_caller_that_has_left(self, path):
        world = ready_world()
        delay_connections(world, 0.2)
        caller = world.ask("front-1", path)
        stand_still(world, "front-1", 1.0)
        world.host("front-1").timers.once(0.01, caller.leave)
        world.run(3.0)
        assert world.list_runs() == []


def proxied_world():
    """Return a world in which `front-1` reaches the two endpoints through `front-2` only."""
    world = paths_world(fronts=2, engines=1, plains=1, rules=NO_RETRIES)
    offer(world, 0.5)
    cut_off(world, ("front-1",), PathFault.SILENT)
    offer(world, 1.5)
    world.run(10.0)
    for each in world.endpoints.values():
        each.runs.clear()
    world.idle.clear()
    return world


class TestProxiedAttempts:
    """An endpoint was told a deadline that had been computed at another process, long before."""

    @pytest.mark.parametrize("path", PATHS)
    def test_process_that_stands_still_while_it_connects_to_its_peer(self, path):
        """The peer that was not asked is asked at once, and not left alone for a while."""
        world = proxied_world()
        world.path_connect_delays["front-1", "front-2"] = 0.2
        asked_at = world.clock.now()
        caller = world.ask("front-1", path)
        stand_still(world, "front-1", 0.7)
        world.finish(caller)
        (excess,) = list_excesses(world, asked_at)
        assert excess <= MAX_EXCESS_SECONDS
        assert caller.status == 200

    @pytest.mark.parametrize("path", PATHS)
    def test_peer_that_stands_still_while_it_connects(self, path):
        world = proxied_world()
        delay_connections(world, 0.2, ("front-2",))
        asked_at = world.clock.now()
        caller = world.ask("front-1", path)
        stand_still(world, "front-2", 0.7)
        world.finish(caller)
        (excess,) = list_excesses(world, asked_at)
        assert excess <= MAX_EXCESS_SECONDS
        assert caller.status == 200

    @pytest.mark.parametrize("path", PATHS)
    def test_peer_that_notices_each_connection_late(self, path):
        """The attempt is sent with a true deadline, rather than withdrawn until it ends."""
        world = proxied_world()
        delay_connections(world, 0.7, ("front-2",))
        asked_at = world.clock.now()
        caller = world.ask("front-1", path)
        world.finish(caller)
        (excess,) = list_excesses(world, asked_at)
        assert excess <= MAX_EXCESS_SECONDS
        assert caller.status == 200
        assert world.clock.now() - asked_at < 1.7

    @pytest.mark.parametrize("path", ["/read/x", "/write/x"])
    def test_body_that_takes_long_to_the_peer(self, path):
        world = proxied_world()
        world.upload_seconds["front-1", "front-2"] = 0.8
        asked_at = world.clock.now()
        caller = world.ask("front-1", path)
        world.finish(caller)
        (excess,) = list_excesses(world, asked_at)
        assert excess <= MAX_EXCESS_SECONDS
        assert caller.status == 200

    @pytest.mark.parametrize("path", PATHS)
    def test_endpoint_that_leaves_while_the_peer_connects(self, path):
        """The caller is refused, as no other endpoint is left, and the request never runs."""
        world = proxied_world()
        delay_connections(world, 0.2, ("front-2",))
        caller = world.ask("front-1", path)
        world.run(0.05)
        (request,) = world.fronts["front-1"].hub.active.values()
        name = request.endpoint_id
        world.register(name, request.record.service.name, state="draining", sequence=2)
        world.finish(caller)
        assert request.endpoints == [name]
        assert world.endpoints[name].runs == []
        assert caller.status == 503
