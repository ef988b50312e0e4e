"""A few processes of a zone follow the store for all of it."""

from dataclasses import replace

import pytest
from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from flamingofront.process.forwarding.news import (
    KEPT_CHANGES,
    EndpointHistory,
    EndpointNews,
    decode_news,
    encode_news,
)
from flamingofront.process.forwarding.readers import (
    MIN_LIVE_WATCHERS,
    READERS_PER_ZONE,
    ZoneWatchers,
)
from flamingofront.process.forwarding.reports import PeerReport
from flamingofront.process.membership import Role, VmState
from flamingofront.standins.table_store import StoreFault
from flamingofront.tests.forwarding_world import ForwardingWorld

ZONES = ("zone-a", "zone-b")
IN_ZONE = 6


def zones_world():
    """Return a world with several entry processes in each of two zones."""
    world = ForwardingWorld()
    world.configure_routes()
    world.endpoint("plain-1", "records")
    world.endpoint("plain-2", "records")
    for number in range(IN_ZONE * len(ZONES)):
        world.front(f"front-{number}", ZONES[number % len(ZONES)])
    world.run_until(lambda: all(each.ready for each in world.fronts.values()))
    # Each begins to rest at the end of its first waiting call.
    world.run(5.0)
    return world


def alive(world):
    return {name: each for name, each in world.fronts.items() if not world.host(name).dead}


def readers(world, zone="zone-a"):
    return [
        name
        for name, each in alive(world).items()
        if each.settings.zone == zone and not each.store_view.is_standby
    ]


def live_endpoints(front):
    return {each.vm_id for each in front.facts.select(Role.ENDPOINT, VmState.LIVE)}


def versions(world):
    return {each.configuration.version for each in alive(world).values()}


class TestReaders:
    def test_some_of_each_zone_follow_and_the_others_rest(self):
        world = zones_world()
        assert [len(readers(world, zone)) for zone in ZONES] == [READERS_PER_ZONE] * 2
        before = world.store.calls
        world.run(20.0)
        # Two feeds of at most 3.5 s each for each reader, and the duties of one holder.
        feeds = 2 * READERS_PER_ZONE * len(ZONES) * 20.0 / 3.5
        assert world.store.calls - before <= 1.2 * feeds + 3 * 20.0

    def test_small_zones_follow_all_by_themselves(self):
        world = ForwardingWorld()
        world.configure_routes()
        world.endpoint("plain-1", "records")
        for number in range(READERS_PER_ZONE):
            world.front(f"front-{number}")
        world.run(5.0)
        assert len(readers(world)) == READERS_PER_ZONE

    def test_changes_reach_all_at_once(self):
        world = zones_world()
        world.configure_routes(version=2)
        world.register("plain-1", "records", state="draining", sequence=2)
        world.run(0.5)
        assert versions(world) == {2}
        for front in world.fronts.values():
            assert live_endpoints(front) == {"plain-2"}
        world.store.drop("servers", "plain-2")
        world.run(0.3)
        for front in world.fronts.values():
            assert live_endpoints(front) == set()

    @pytest.mark.parametrize("way", ["kill", "pause", "cut"])
    def test_others_take_over_when_all_readers_are_lost(self, way):
        world = zones_world()
        lost = readers(world)
        for name in lost:
            world.lose(name, way)
        world.configure_routes(version=2)
        world.register("plain-1", "records", state="draining", sequence=2)
        # A dead or frozen reader is out of hearing after 1.6 s; one that is cut off notices at the
        # end of its waiting call.
        world.run(6.5 if way == "cut" else 2.3)
        rest = {name: each for name, each in alive(world).items() if name not in lost}
        assert {each.configuration.version for each in rest.values()} == {2}
        for front in rest.values():
            assert live_endpoints(front) == {"plain-2"}

    def test_nobody_rests_while_all_others_do(self):
        """After a loss of those that followed, peers that rest are no reason to rest."""
        peers = [
            PeerReport(f"vm-{number}", 1, 1, "zone-a", "1.2.3.4", "1.2.3.4:5", watches_store=False)
            for number in range(8)
        ]
        follow = [replace(each, watches_store=True) for each in peers[:MIN_LIVE_WATCHERS]]

        def may_rest(heard):
            names = [f"vm-{number}" for number in range(20, 40)]
            return [ZoneWatchers(name, "zone-a", lambda: heard).may_rest() for name in names]

        assert not any(may_rest(peers))
        assert any(may_rest([*follow, *peers[MIN_LIVE_WATCHERS:]]))

    def test_endpoint_that_went_and_came_back_is_kept_by_those_that_take_over(self):
        """They heard of both from a peer; the store's feed would tell them of the end again."""
        world = zones_world()
        world.store.drop("servers", "plain-1")
        world.run(0.3)
        world.register("plain-1", "records", sequence=2)
        world.run(0.3)
        for name in readers(world):
            world.kill(name)
        world.run(4.0)
        for front in alive(world).values():
            assert live_endpoints(front) == {"plain-1", "plain-2"}

    def test_lost_history_is_no_harm(self):
        world = zones_world()
        world.store.discard_history()
        world.configure_routes(version=2)
        world.register("plain-1", "records", state="draining", sequence=2)
        world.store.discard_history()
        world.run(4.5)
        assert versions(world) == {2}
        for front in world.fronts.values():
            assert live_endpoints(front) == {"plain-2"}


class TestOutage:
    def test_row_that_vanished_during_an_outage_is_gone_for_those_that_rest(self):
        """It has grace after the outage, and nothing changes in the store when that ends."""
        world = zones_world()
        world.store.fault = StoreFault.SILENT
        world.store.drop("servers", "plain-1")
        world.run(1.0)
        world.store.fault = StoreFault.NONE
        world.run(12.0)
        for front in world.fronts.values():
            assert live_endpoints(front) == {"plain-2"}


class TestOwnOutage:
    """One VM was out of touch, and took a row that went after its return for a lapsed one."""

    # From the moment at which the row vanished until nothing more is sent.
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

    def test_row_that_went_before_its_first_read_is_gone_in_time(self):
        world = self.small_world()
        for other in ("store", "front-1", "front-2", "front-3"):
            world.cut("front-0", other)
        world.run(8.0)
        # The store is there before word of the others.
        world.cuts.discard(frozenset(("front-0", "store")))
        world.store.drop("servers", "plain-1")
        went_at = world.clock.now()
        front = world.fronts["front-0"]
        world.run_until(lambda: not front.store_view.is_store_unreachable)
        world.run(0.5)
        world.heal()
        world.run(went_at + self.DRAIN_SECONDS - world.clock.now())
        assert live_endpoints(front) == {"plain-2"}

    def test_row_that_lapsed_for_all_keeps_its_grace(self):
        world = self.small_world()
        world.store.fault = StoreFault.SILENT
        world.run(6.0)
        world.store.drop("servers", "plain-1")
        world.store.fault = StoreFault.NONE
        world.run(1.0)
        assert live_endpoints(world.fronts["front-0"]) == {"plain-1", "plain-2"}


class ReadersFuzz(RuleBasedStateMachine):
    """Any process may be lost, replaced, cut or frozen: in the end all know what stands."""

    @initialize()
    def begin(self):
        self.world = zones_world()
        self.version = 1
        self.sequence = 1

    @rule(number=st.integers(0, IN_ZONE * len(ZONES) - 1))
    def process_is_replaced(self, number):
        name = f"front-{number}"
        self.world.kill(name)
        self.world.run(0.5)
        self.world.front(name, ZONES[number % len(ZONES)])

    @rule(number=st.integers(0, IN_ZONE * len(ZONES) - 1))
    def process_is_cut_off_from_the_store(self, number):
        self.world.cut(f"front-{number}", "store")

    @rule(number=st.integers(0, IN_ZONE * len(ZONES) - 1))
    def process_freezes(self, number):
        self.world.pause(f"front-{number}")

    @rule(number=st.integers(0, IN_ZONE * len(ZONES) - 1))
    def process_wakes(self, number):
        self.world.resume(f"front-{number}")

    @rule(fault=st.sampled_from(list(StoreFault)))
    def store_changes(self, fault):
        self.world.store.fault = fault

    @rule()
    def store_forgets(self):
        self.world.store.discard_history()

    @rule(name=st.sampled_from(["plain-1", "plain-2"]), ready=st.booleans())
    def endpoint_is_started_anew(self, name, ready):
        self.sequence += 1
        state = "ready" if ready else "draining"
        row_id = f"{name}-{self.sequence}"
        self.world._host(row_id, "zone-a")
        self.world.register(row_id, "records", state=state, sequence=self.sequence)

    @rule(index=st.integers(0, 50))
    def endpoint_vanishes(self, index):
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
        assert versions(world) == {self.version}
        stands = {
            key
            for key in world.store.get_rows("servers")
            if world.store.get_value("servers", key)["state"] == "ready"
        }
        for front in alive(world).values():
            assert live_endpoints(front) == stands


TestReadersFuzz = ReadersFuzz.TestCase
# Shrinking an example of twelve processes takes minutes; the steps of the failing one are printed.
TestReadersFuzz.settings = settings(
    max_examples=10, stateful_step_count=15, deadline=None, phases=(Phase.explicit, Phase.generate)
)


class TestNews:
    def test_it_is_decoded_as_it_was_encoded(self):
        news = EndpointNews(7, False, (), ("a", "b"))
        assert decode_news(encode_news(news)) == news

    @pytest.mark.parametrize("data", [b"", b"[]", b"{}", b'{"mark":1,"whole":true}'])
    def test_malformed_news_is_refused(self, data):
        with pytest.raises(ValueError):
            decode_news(data)

    def test_what_is_no_longer_remembered_is_told_whole(self):
        history = EndpointHistory()
        history.restart(10)
        assert history.since(9) is None
        for mark in range(11, 11 + KEPT_CHANGES + 5):
            history.changed(f"e{mark}", mark)
        assert history.since(12) is None
        newest = 10 + KEPT_CHANGES + 5
        assert history.since(newest - 1) == {f"e{newest}"}
        assert history.since(newest) == frozenset()
