"""A few processes of a zone watch the store for the others."""

from dataclasses import replace

import pytest
from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from flamingofront.process.forwarding.news import (
    MAX_KEPT_CHANGES,
    EndpointHistory,
    EndpointUpdate,
    decode_endpoint_update,
    encode_endpoint_update,
)
from flamingofront.process.forwarding.readers import (
    MIN_LIVE_WATCHERS,
    WATCHERS_PER_ZONE,
    ZoneWatchers,
)
from flamingofront.process.forwarding.reports import PeerReport
from flamingofront.process.membership import Role, VmState
from flamingofront.standins.table_store import StoreFault
from flamingofront.tests.forwarding_world import ForwardingWorld

ZONES = ("zone-a", "zone-b")
IN_ZONE = 6


def two_zone_world():
    """Return a world with several entry processes in each of two zones."""
    world = ForwardingWorld()
    world.configure_routes()
    world.endpoint("plain-1", "records")
    world.endpoint("plain-2", "records")
    for number in range(IN_ZONE * len(ZONES)):
        world.front(f"front-{number}", ZONES[number % len(ZONES)])
    world.run_until(lambda: all(each.ready for each in world.fronts.values()))
    # Processes go to standby when their first long poll ends.
    world.run(5.0)
    return world


def running_fronts(world):
    return {name: each for name, each in world.fronts.items() if not world.host(name).dead}


def watcher_names(world, zone="zone-a"):
    return [
        name
        for name, each in running_fronts(world).items()
        if each.settings.zone == zone and not each.store_view.is_standby
    ]


def live_endpoints(front):
    return {each.vm_id for each in front.facts.select(Role.ENDPOINT, VmState.LIVE)}


def active_versions(world):
    return {each.configuration.version for each in running_fronts(world).values()}


class TestZoneWatchers:
    def test_each_zone_has_few_watchers(self):
        world = two_zone_world()
        assert [len(watcher_names(world, zone)) for zone in ZONES] == [WATCHERS_PER_ZONE] * 2
        before = world.store.calls
        world.run(20.0)
        # Two long polls of at most 3.5 s per watcher, plus the calls of one lease holder.
        feeds = 2 * WATCHERS_PER_ZONE * len(ZONES) * 20.0 / 3.5
        assert world.store.calls - before <= 1.2 * feeds + 3 * 20.0

    def test_all_processes_of_small_zone_watch(self):
        world = ForwardingWorld()
        world.configure_routes()
        world.endpoint("plain-1", "records")
        for number in range(WATCHERS_PER_ZONE):
            world.front(f"front-{number}")
        world.run(5.0)
        assert len(watcher_names(world)) == WATCHERS_PER_ZONE

    def test_changes_reach_all_processes_soon(self):
        world = two_zone_world()
        world.configure_routes(version=2)
        world.register("plain-1", "records", state="draining", sequence=2)
        world.run(0.5)
        assert active_versions(world) == {2}
        for front in world.fronts.values():
            assert live_endpoints(front) == {"plain-2"}
        world.store.drop("servers", "plain-2")
        world.run(0.3)
        for front in world.fronts.values():
            assert live_endpoints(front) == set()

    @pytest.mark.parametrize("way", ["kill", "pause", "cut"])
    def test_others_take_over_when_all_watchers_are_lost(self, way):
        world = two_zone_world()
        lost = watcher_names(world)
        for name in lost:
            world.lose(name, way)
        world.configure_routes(version=2)
        world.register("plain-1", "records", state="draining", sequence=2)
        # A crashed or frozen watcher is unreachable after 1.6 s; a partitioned one notices at the
        # end of its long poll.
        world.run(6.5 if way == "cut" else 2.3)
        rest = {name: each for name, each in running_fronts(world).items() if name not in lost}
        assert {each.configuration.version for each in rest.values()} == {2}
        for front in rest.values():
            assert live_endpoints(front) == {"plain-2"}

    def test_no_standby_while_all_peers_are_in_standby(self):
        """After a loss of all watchers, standby peers alone must not keep a process in standby."""
        peers = [
            PeerReport(f"vm-{number}", 1, 1, "zone-a", "1.2.3.4", "1.2.3.4:5", watches_store=False)
            for number in range(8)
        ]
        watching = [replace(each, watches_store=True) for each in peers[:MIN_LIVE_WATCHERS]]

        def can_any_stand_by(reports):
            names = [f"vm-{number}" for number in range(20, 40)]
            return [ZoneWatchers(name, "zone-a", lambda: reports).can_stand_by() for name in names]

        assert not any(can_any_stand_by(peers))
        assert any(can_any_stand_by([*watching, *peers[MIN_LIVE_WATCHERS:]]))

    def test_new_watchers_keep_endpoint_that_was_removed_and_returned(self):
        """A peer had sent both changes, and the feed of the store would replay the removal."""
        world = two_zone_world()
        world.store.drop("servers", "plain-1")
        world.run(0.3)
        world.register("plain-1", "records", sequence=2)
        world.run(0.3)
        for name in watcher_names(world):
            world.kill(name)
        world.run(4.0)
        for front in running_fronts(world).values():
            assert live_endpoints(front) == {"plain-1", "plain-2"}

    def test_lost_change_history_causes_reload(self):
        world = two_zone_world()
        world.store.discard_history()
        world.configure_routes(version=2)
        world.register("plain-1", "records", state="draining", sequence=2)
        world.store.discard_history()
        world.run(4.5)
        assert active_versions(world) == {2}
        for front in world.fronts.values():
            assert live_endpoints(front) == {"plain-2"}


class TestOutage:
    def test_row_deleted_during_outage_is_removed_by_standby_processes(self):
        """The grace period after the outage ends without a change in the store."""
        world = two_zone_world()
        world.store.fault = StoreFault.SILENT
        world.store.drop("servers", "plain-1")
        world.run(1.0)
        world.store.fault = StoreFault.NONE
        world.run(12.0)
        for front in world.fronts.values():
            assert live_endpoints(front) == {"plain-2"}


class TestLocalPartition:
    """A VM that alone was partitioned took a row deleted after its return for an expired one."""

    # From the deletion of the row until no more requests may be sent.
    DRAIN_SECONDS = 2.0

    def small_world(self):
        world = ForwardingWorld()
        world.configure_routes()
        world.endpoint("plain-1", "records")
        world.endpoint("plain-2", "records")
        for number in range(4):
            world.front(f"front-{number}", ZONES[number % 2])
        world.run(5.0)
        return world

    def test_row_deleted_before_first_read_is_removed_in_time(self):
        world = self.small_world()
        for other in ("store", "front-1", "front-2", "front-3"):
            world.cut("front-0", other)
        world.run(8.0)
        # The store is reachable again before reports of the peers arrive.
        world.cuts.discard(frozenset(("front-0", "store")))
        world.store.drop("servers", "plain-1")
        deleted_at = world.clock.now()
        front = world.fronts["front-0"]
        world.run_until(lambda: not front.store_view.is_store_unreachable)
        world.run(0.5)
        world.heal()
        world.run(deleted_at + self.DRAIN_SECONDS - world.clock.now())
        assert live_endpoints(front) == {"plain-2"}

    def test_row_expired_for_all_processes_keeps_grace_period(self):
        world = self.small_world()
        world.store.fault = StoreFault.SILENT
        world.run(6.0)
        world.store.drop("servers", "plain-1")
        world.store.fault = StoreFault.NONE
        world.run(1.0)
        assert live_endpoints(world.fronts["front-0"]) == {"plain-1", "plain-2"}


class WatchersFuzz(RuleBasedStateMachine):
    """Processes are replaced, partitioned or frozen; at the end all views match the store."""

    @initialize()
    def set_up(self):
        self.world = two_zone_world()
        self.version = 1
        self.sequence = 1

    @rule(number=st.integers(0, IN_ZONE * len(ZONES) - 1))
    def process_is_replaced(self, number):
        name = f"front-{number}"
        self.world.kill(name)
        self.world.run(0.5)
        self.world.front(name, ZONES[number % len(ZONES)])

    @rule(number=st.integers(0, IN_ZONE * len(ZONES) - 1))
    def process_is_partitioned_from_store(self, number):
        self.world.cut(f"front-{number}", "store")

    @rule(number=st.integers(0, IN_ZONE * len(ZONES) - 1))
    def process_freezes(self, number):
        self.world.pause(f"front-{number}")

    @rule(number=st.integers(0, IN_ZONE * len(ZONES) - 1))
    def process_resumes(self, number):
        self.world.resume(f"front-{number}")

    @rule(fault=st.sampled_from(list(StoreFault)))
    def store_changes(self, fault):
        self.world.store.fault = fault

    @rule()
    def store_loses_history(self):
        self.world.store.discard_history()

    @rule(name=st.sampled_from(["plain-1", "plain-2"]), ready=st.booleans())
    def endpoint_starts(self, name, ready):
        self.sequence += 1
        state = "ready" if ready else "draining"
        row_id = f"{name}-{self.sequence}"
        self.world._host(row_id, "zone-a")
        self.world.register(row_id, "records", state=state, sequence=self.sequence)

    @rule(index=st.integers(0, 50))
    def endpoint_row_is_deleted(self, index):
        keys = sorted(self.world.store.get_rows("servers"))
        if keys:
            self.world.store.drop("servers", keys[index % len(keys)])

    @rule()
    def configuration_changes(self):
        self.version += 1
        self.world.configure_routes(version=self.version)

    @rule(seconds=st.floats(0.05, 5.0))
    def time_passes(self, seconds):
        self.world.run(seconds)

    @rule(share=st.sampled_from([0.0, 0.2]))
    def datagrams_are_lost(self, share):
        self.world.lost_datagrams = share

    def teardown(self):
        if not hasattr(self, "world"):
            return
        world = self.world
        world.heal()
        world.store.fault = StoreFault.NONE
        world.lost_datagrams = 0.0
        for name in world.fronts:
            world.resume(name)
        world.run(12.0)
        assert active_versions(world) == {self.version}
        expected = {
            key
            for key in world.store.get_rows("servers")
            if world.store.get_value("servers", key)["state"] == "ready"
        }
        for front in running_fronts(world).values():
            assert live_endpoints(front) == expected


TestWatchersFuzz = WatchersFuzz.TestCase
# No shrinking: it takes minutes with twelve processes. The steps of a failing example are printed.
TestWatchersFuzz.settings = settings(
    max_examples=10, stateful_step_count=15, deadline=None, phases=(Phase.explicit, Phase.generate)
)


class TestEndpointUpdates:
    def test_round_trip(self):
        update = EndpointUpdate(7, False, (), ("a", "b"))
        assert decode_endpoint_update(encode_endpoint_update(update)) == update

    @pytest.mark.parametrize("data", [b"", b"[]", b"{}", b'{"mark":1,"whole":true}'])
    def test_malformed_update_is_rejected(self, data):
        with pytest.raises(ValueError):
            decode_endpoint_update(data)

    def test_history_covers_only_the_last_changes(self):
        history = EndpointHistory()
        history.reset(10)
        assert history.changes_since(9) is None
        for number in range(11, 11 + MAX_KEPT_CHANGES + 5):
            history.record_change(f"e{number}", number)
        assert history.changes_since(12) is None
        newest = 10 + MAX_KEPT_CHANGES + 5
        assert history.changes_since(newest - 1) == {f"e{newest}"}
        assert history.changes_since(newest) == frozenset()
