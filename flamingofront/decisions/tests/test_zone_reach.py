"""Zones that are cut off, and such as only seem to be."""

import pytest

from flamingofront.decisions.zone_reach import CUT_OFF_SECONDS, SPOKE_SECONDS, ZoneReachability
from flamingofront.process.forwarding.reports import PeerReport, PeerTable
from flamingofront.tests.forwarding_world import ForwardingWorld


class TestSigns:
    def silent(self):
        """Return the signs of a zone with silent peers, and an answer that does not come."""
        reach = ZoneReachability()
        reach.set_unresponsive_zones({"b"})
        reach.awaited("b", 10.0 - SPOKE_SECONDS, 10.0)
        return reach

    def test_silent_peers_tell_a_cut(self):
        reach = self.silent()
        assert reach.is_cut_off("b", 10.0) and not reach.is_cut_off("a", 10.0)
        assert not reach.is_cut_off("b", 10.1 + CUT_OFF_SECONDS)
        reach.set_unresponsive_zones(())
        assert not reach.is_cut_off("b", 10.0)

    @pytest.mark.parametrize("sign", ["none", "an answer that is not late yet"])
    def test_silent_peers_alone_tell_nothing(self, sign):
        reach = ZoneReachability()
        reach.set_unresponsive_zones({"b"})
        if sign != "none":
            reach.awaited("b", 9.9, 10.0)
        assert not reach.is_cut_off("b", 10.0)

    def test_one_failed_connection_is_enough_where_peers_are_silent(self):
        reach = ZoneReachability()
        reach.failed("b", "e1", 10.0)
        reach.set_unresponsive_zones({"b"})
        assert reach.is_cut_off("b", 10.0)

    def test_endpoint_that_speaks_outweighs_its_zone_s_silent_peers(self):
        reach = self.silent()
        reach.spoke("b", 10.0)
        assert not reach.is_cut_off("b", 10.0 + 0.9 * SPOKE_SECONDS)
        reach.awaited("b", 10.0, 10.0 + SPOKE_SECONDS)
        assert reach.is_cut_off("b", 10.0 + 1.1 * SPOKE_SECONDS)

    def test_two_endpoints_that_cannot_be_connected_to_tell_a_cut_for_a_while(self):
        reach = ZoneReachability()
        reach.failed("b", "e1", 10.0)
        assert not reach.is_cut_off("b", 10.0)
        reach.failed("b", "e2", 10.5)
        assert reach.is_cut_off("b", 10.5)
        assert not reach.is_cut_off("b", 10.6 + CUT_OFF_SECONDS)

    def test_answer_forgets_failures(self):
        reach = ZoneReachability()
        for endpoint in ("e1", "e2"):
            reach.failed("b", endpoint, 10.0)
        reach.spoke("b", 10.1)
        assert not reach.is_cut_off("b", 10.2 + SPOKE_SECONDS)


class TestSilentPeers:
    def table(self, **heard):
        """Return a table that heard members ``zone_number`` at some times, each 0.25 s."""
        table = PeerTable("own")
        table.set_report_period(0.25)
        for name, at in heard.items():
            zone = name.partition("_")[0]
            table.store_report(
                PeerReport(name, 1, 1, zone, "ip", "ip:1", leaving=name.endswith("x")), at
            )
        return table

    def test_zone_is_silent_when_all_of_its_members_are(self):
        table = self.table(b_1=9.0, b_2=9.1, c_1=9.9, c_2=9.0)
        assert table.unreachable_zones(10.0) == {"b"}

    def test_one_member_alone_may_have_been_killed(self):
        assert self.table(b_1=9.0).unreachable_zones(10.0) == frozenset()

    def test_members_that_were_leaving_or_are_long_gone_count_for_nothing(self):
        assert self.table(b_1=9.0, b_2x=9.0).unreachable_zones(10.0) == frozenset()
        assert self.table(b_1=1.0, b_2=1.0).unreachable_zones(10.0) == frozenset()

    def test_many_members_are_heard_less_often(self):
        table = self.table(b_1=9.0, b_2=9.0)
        table.set_report_period(1.0)
        assert table.unreachable_zones(10.0) == frozenset()


class TestCut:
    def world(self):
        world = ForwardingWorld()
        world.configure_routes()
        for zone in ("zone-a", "zone-b"):
            for number in (1, 2):
                world.endpoint(f"engine-{zone}-{number}", "engines", zone, events=40)
                world.endpoint(f"plain-{zone}-{number}", "records", zone)
                world.front(f"front-{zone}-{number}", zone)
        world.run_until(lambda: all(each.ready for each in world.fronts.values()))
        world.run(4.0)
        return world

    @pytest.mark.parametrize("path", ["/stream/again/x", "/read/x"])
    def test_what_waits_across_the_cut_goes_on_elsewhere_within_a_second(self, path):
        """Connections there fail after two seconds, and callers of streams leave then."""
        world = self.world()
        near = [name for name in world.endpoints if "zone-a" in name]
        for name in near:
            world.endpoints[name].gap = 5.0
        for _ in range(12):
            world.ask("front-zone-a-2", path, "GET")
        world.run(0.1)
        callers = [world.ask("front-zone-a-1", path, "GET") for _ in range(12)]
        world.run(0.01)
        across = [
            each
            for each in world.fronts["front-zone-a-1"].hub.active.values()
            if "zone-b" in each.endpoint_id
        ]
        assert across
        world.cut("zone-a", "zone-b")
        for name in near:
            world.endpoints[name].gap = 0.02
        world.run(1.4)
        assert not [each for each in across if "zone-b" in each.endpoint_id and not each.done]
        assert callers

    def test_cut_is_over_when_peers_are_heard_again(self):
        world = self.world()
        front = world.fronts["front-zone-a-1"]
        world.cut("zone-a", "zone-b")
        front.directory.record_connect_failure("engine-zone-b-1", front.timers.now())
        world.run(1.5)
        assert front.directory.zones.is_partitioned("zone-b", front.timers.now())
        world.heal()
        world.run(0.6)
        assert not front.directory.zones.is_partitioned("zone-b", front.timers.now())

    def test_zone_whose_processes_were_all_killed_is_used_while_its_endpoints_answer(self):
        world = self.world()
        for number in (1, 2):
            world.kill(f"front-zone-b-{number}")
        world.run(1.0)
        callers = []
        for number in (1, 2):
            # Long enough for both zones to be needed, short enough to be heard in between.
            world.endpoints[f"plain-zone-a-{number}"].gap = 1.0
        for _ in range(40):
            callers.append(world.ask("front-zone-a-1", "/read/x", "GET"))
            world.run(0.05)
        world.finish(*callers)
        assert {each.status for each in callers} == {200}
        assert any(world.endpoints[f"plain-zone-b-{number}"].runs for number in (1, 2))
