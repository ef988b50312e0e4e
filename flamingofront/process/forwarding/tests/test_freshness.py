"""Rejections of unknown routes by processes that may have an outdated configuration."""

import orjson
import pytest

from flamingofront.messages import InboundRequest
from flamingofront.platform.config import CONFIG_KEY, CONFIG_TABLE
from flamingofront.process.forwarding.freshness import (
    FAILED_POLL_PAUSE_SECONDS,
    MAX_CURRENT_AGE_SECONDS,
    MAX_WAIT_SECONDS,
)
from flamingofront.process.forwarding.reports import PeerReport
from flamingofront.process.store import RowChanges
from flamingofront.standins.table_store import StoreFault
from flamingofront.tests.forwarding_world import ForwardingWorld, configuration, ready_world
from flamingofront.tests.narrow_links import NarrowLinksWorld
from flamingofront.tests.network import Caller

ONE_ROUTE = configuration()["routes"][:1]
PROCESS_COUNT = 24


class StaleStore:
    """Store that answers each poll at once with the same changes."""

    def __init__(self, answer):
        self.answer = answer

    def read_changes(self, table, after, wait):
        yield from ()
        return self.answer


def large_world():
    """Return a world of many processes, most of them in standby."""
    world = ForwardingWorld()
    world.configure_routes(routes=ONE_ROUTE)
    world.endpoint("plain-1", "records")
    world.endpoint("engine-1", "engines")
    for number in range(PROCESS_COUNT):
        world.front(f"front-{number}", ("zone-a", "zone-b")[number % 2])
    world.run_until(lambda: all(each.ready for each in world.fronts.values()))
    world.run(6.0)
    return world


def finish_status(world, caller):
    """Return the status of a request, which waits for at most one poll of the store."""
    world.finish(caller, limit=MAX_WAIT_SECONDS + 0.5)
    return caller.status


def count_polls(world, name):
    """Return how often a process has polled the store for configuration changes."""
    metrics = world.fronts[name].metrics
    return metrics.value("platform_calls_total", operation="changes", table=CONFIG_TABLE)


class TestUnknownRoutes:
    def test_new_route_is_served_by_partitioned_process(self):
        """Guards against a 404 for a committed route from an outdated configuration."""
        world = large_world()
        for name in list(world.fronts)[1:]:
            world.cut(name, "front-0")
        world.run(2.0)
        world.configure_routes(version=2)
        assert finish_status(world, world.ask("front-0", "/write/x")) == 200

    @pytest.mark.parametrize("key", ["key-1", "unknown"])
    def test_rejection_is_503_while_newer_configuration_is_missing(self, key):
        world = large_world()
        front = world.fronts["front-0"]
        front.store_view.record_peer_version(2, "front-1")
        world.cut("front-0", "store")
        path = "/write/x" if key == "key-1" else "/read/x"
        caller = world.ask("front-0", path, key=key)
        assert finish_status(world, caller) == 503
        assert 0 < float(caller.headers["retry-after"]) <= 1.0

    def test_unknown_route_is_rejected_with_404_after_poll(self):
        world = large_world()
        assert finish_status(world, world.ask("front-0", "/nowhere/x")) == 404

    def test_unknown_routes_cost_one_poll_per_second(self):
        world = large_world()
        name = next(name for name, each in world.fronts.items() if each.store_view.is_standby)
        before = count_polls(world, name)
        for _ in range(60):
            world.finish(world.ask(name, "/nowhere/x"))
            world.run(0.05)
        assert count_polls(world, name) - before <= 3.0 / MAX_CURRENT_AGE_SECONDS + 1

    def test_polls_are_limited_while_store_rejects_them(self):
        """Guards against polls in a tight loop: a pause follows each rejected poll."""
        world = large_world()
        name = next(name for name, each in world.fronts.items() if each.store_view.is_standby)
        world.store.fault = StoreFault.BUSY
        world.run(3.0)
        before = count_polls(world, name)
        callers = [world.ask(name, "/nowhere/x") for _ in range(20)]
        for _ in range(60):
            callers.append(world.ask(name, "/nowhere/x"))
            world.run(0.05)
        assert {each.status for each in callers} == {503}
        # The watcher polls too, once per second while the store does not answer.
        assert count_polls(world, name) - before <= 3.0 / FAILED_POLL_PAUSE_SECONDS + 3.0 + 2

    def test_polls_start_after_feed_position_from_peer(self):
        """Guards against standby processes that read the whole configuration on each poll."""
        world = large_world()
        written_at = world.store.put(CONFIG_TABLE, CONFIG_KEY, configuration(version=2))
        world.run(2.0)
        for front in world.fronts.values():
            assert front.store_view.configuration_position() >= written_at

    def test_disconnected_caller_gets_no_response(self):
        world = large_world()
        caller = world.ask("front-0", "/nowhere/x")
        caller.leave()
        world.run(1.0)
        assert not caller.done


class TestStaleness:
    def test_standby_processes_track_staleness(self):
        world = large_world()
        for _ in range(20):
            world.run(0.3)
            for front in world.fronts.values():
                assert front.store_view.configuration_age() < 4.0
                assert front.store_view.endpoints_age() < 4.0

    @pytest.mark.parametrize("behind", [0, 1])
    def test_poll_that_an_older_copy_answers_confirms_nothing(self, behind):
        """Guards against 404s from a configuration that a stale read seems to confirm."""
        world = large_world()
        view = world.fronts["front-0"].store_view
        world.run(0.3)
        age = view.configuration_age()
        answer = RowChanges((), view.configuration_position() - behind)
        view._store = StaleStore(answer)
        assert list(view.refresh_configuration()) == []
        assert view.configuration_age() == (age if behind else 0.0)

    @pytest.mark.parametrize("processes", [5, 24])
    def test_age_that_processes_pass_on_does_not_shrink(self, processes):
        """Guards against copies that seem current because peers confirm them to one another."""
        world = NarrowLinksWorld(wide=lambda name: True)
        world.configure_routes()
        world.endpoint("plain-1", "records")
        world.endpoint("engine-1", "engines")
        for number in range(processes):
            world.front(f"front-{number}", ("zone-a", "zone-b")[number % 2])
        world.run_until(lambda: all(each.ready for each in world.fronts.values()))
        world.run(6.0)
        world.busy_seconds = 0.25
        for name in world.fronts:
            world.cut(name, "store")
        world.run(4.0)
        for front in world.fronts.values():
            assert front.store_view.configuration_age() >= 4.0
            assert front.store_view.endpoints_age() >= 4.0

    def test_age_grows_after_the_clock_of_the_store_began_anew(self):
        """Guards against times of the earlier clock, which lie in the future of the new one."""
        world = ready_world(fronts=3)
        for front in world.fronts.values():
            front.store_view.merge_peer_ages(
                PeerReport("vm", 1, 1, "z", "1.2.3.4", "1.2.3.4:5", confirmed=(1e6, 1e6))
            )
        for name in world.fronts:
            world.cut(name, "store")
        world.run(4.0)
        for front in world.fronts.values():
            assert front.store_view.endpoints_age() >= 4.0
            assert max(front.store_view.confirmed_times()) < 1e6

    def test_show_lists_staleness_of_each_process(self):
        world = large_world()
        relay = next(each for each in world.fronts.values() if each.peers.relaying.is_relay)
        for statement in ("show vms", "show configuration"):
            body = orjson.dumps({"statements": [statement]})
            caller = Caller(relay, world.host(relay.settings.vm_id))
            relay.handle_control(InboundRequest("POST", "/operate", {}, {}, body), caller)
            # A relay receives reports from its own zone only.
            rows = [each for each in caller.data["rows"] if each.get("heard", 0.0) <= 1.0]
            ages = [each["age"] if "age" in each else each["configuration_age"] for each in rows]
            assert len(ages) > 1 and max(ages) < 5.0

    def test_zone_with_frozen_relays_receives_change(self):
        """Guards against standby processes that wait for frozen relays to recover."""
        world = large_world()
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


def test_first_process_of_small_deployment_rejects_after_poll():
    world = ready_world()
    assert finish_status(world, world.ask("front-1", "/nowhere/x")) == 404
