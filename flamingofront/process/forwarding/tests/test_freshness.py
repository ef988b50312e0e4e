"""Refusals of unknown routes by processes that may not have the newest configuration."""

import orjson
import pytest

from flamingofront.messages import InboundRequest
from flamingofront.platform.config import CONFIG_KEY, CONFIG_TABLE
from flamingofront.process.forwarding.freshness import (
    CURRENT_SECONDS,
    FAILED_PAUSE_SECONDS,
    LONGEST_WAIT_SECONDS,
)
from flamingofront.standins.table_store import StoreFault
from flamingofront.tests.forwarding_world import ForwardingWorld, configuration, ready_world
from flamingofront.tests.network import Caller

FEW = configuration()["routes"][:1]
PROCESSES = 24


def many_world():
    """Return a world of many processes, most of which rest on others."""
    world = ForwardingWorld()
    world.configure_routes(routes=FEW)
    world.endpoint("plain-1", "records")
    world.endpoint("engine-1", "engines")
    for number in range(PROCESSES):
        world.front(f"front-{number}", ("zone-a", "zone-b")[number % 2])
    world.run_until(lambda: all(each.ready for each in world.fronts.values()))
    world.run(6.0)
    return world


def settle(world, caller):
    """Return the status of a request, which waits for a look at most."""
    world.finish(caller, limit=LONGEST_WAIT_SECONDS + 0.5)
    return caller.status


def looks(world, name):
    """Return how often a process has asked the store for changes of the configuration."""
    metrics = world.fronts[name].metrics
    return metrics.value("platform_calls_total", operation="changes", table=CONFIG_TABLE)


class TestUnknownRoutes:
    def test_route_is_not_refused_as_unknown_by_processes_that_have_not_heard_of_it(self):
        """A confirmed route was refused with 404 by a process that was behind."""
        world = many_world()
        for name in list(world.fronts)[1:]:
            world.cut(name, "front-0")
        world.run(2.0)
        world.configure_routes(version=2)
        assert settle(world, world.ask("front-0", "/write/x")) == 200

    @pytest.mark.parametrize("key", ["key-1", "unknown"])
    def test_refusal_is_503_while_a_newer_configuration_is_known_of(self, key):
        world = many_world()
        front = world.fronts["front-0"]
        front.store_view.hear_of_configuration(2, "front-1")
        world.cut("front-0", "store")
        path = "/write/x" if key == "key-1" else "/read/x"
        caller = world.ask("front-0", path, key=key)
        assert settle(world, caller) == 503
        assert 0 < float(caller.headers["retry-after"]) <= 1.0

    def test_unknown_route_is_refused_as_such_after_a_look(self):
        world = many_world()
        assert settle(world, world.ask("front-0", "/nowhere/x")) == 404

    def test_many_unknown_routes_cost_one_look_a_second(self):
        world = many_world()
        name = next(name for name, each in world.fronts.items() if each.store_view.is_standby)
        before = looks(world, name)
        for _ in range(60):
            world.finish(world.ask(name, "/nowhere/x"))
            world.run(0.05)
        assert looks(world, name) - before <= 3.0 / CURRENT_SECONDS + 1

    def test_many_unknown_routes_are_few_looks_at_a_store_that_turns_the_process_away(self):
        """Each refusal of the store would bring the next question."""
        world = many_world()
        name = next(name for name, each in world.fronts.items() if each.store_view.is_standby)
        world.store.fault = StoreFault.BUSY
        world.run(3.0)
        before = looks(world, name)
        callers = [world.ask(name, "/nowhere/x") for _ in range(20)]
        for _ in range(60):
            callers.append(world.ask(name, "/nowhere/x"))
            world.run(0.05)
        assert {each.status for each in callers} == {503}
        # Those of the process itself, a second apart at a store that does not answer, besides.
        assert looks(world, name) - before <= 3.0 / FAILED_PAUSE_SECONDS + 3.0 + 2

    def test_looks_do_not_read_again_what_a_peer_has_told(self):
        """Each process that rests would read the whole configuration for each look."""
        world = many_world()
        written_at = world.store.put(CONFIG_TABLE, CONFIG_KEY, configuration(version=2))
        world.run(2.0)
        for front in world.fronts.values():
            assert front.store_view.configuration_position() >= written_at

    def test_caller_that_has_left_is_not_answered(self):
        world = many_world()
        caller = world.ask("front-0", "/nowhere/x")
        caller.leave()
        world.run(1.0)
        assert not caller.done


class TestAges:
    def test_processes_that_rest_know_how_old_their_knowledge_is(self):
        world = many_world()
        for _ in range(20):
            world.run(0.3)
            for front in world.fronts.values():
                assert front.store_view.configuration_age() < 4.0
                assert front.store_view.endpoints_age() < 4.0

    def test_operators_see_them_for_each_process(self):
        world = many_world()
        relay = next(each for each in world.fronts.values() if each.peers.relaying.is_relay)
        for statement in ("show vms", "show configuration"):
            body = orjson.dumps({"statements": [statement]})
            caller = Caller(relay, world.host(relay.settings.vm_id))
            relay.handle_control(InboundRequest("POST", "/operate", {}, {}, body), caller)
            # A relay hears those of its own zone only.
            rows = [each for each in caller.data["rows"] if each.get("heard", 0.0) <= 1.0]
            ages = [each["age"] if "age" in each else each["configuration_age"] for each in rows]
            assert len(ages) > 1 and max(ages) < 5.0

    def test_zone_whose_relays_froze_has_a_change_soon(self):
        """Those that rest on relays must not wait until these are back."""
        world = many_world()
        for name, front in list(world.fronts.items()):
            if front.settings.zone == "zone-a" and front.peers.relaying.is_relay:
                world.pause(name)
        world.run(0.05)
        world.configure_routes(version=2)
        world.run(1.6)
        late = [
            name
            for name, front in world.fronts.items()
            if front.configuration.version != 2 and not world.host(name).paused
        ]
        assert late == []


def test_first_process_of_a_small_deployment_refuses_after_a_look():
    world = ready_world()
    assert settle(world, world.ask("front-1", "/nowhere/x")) == 404
