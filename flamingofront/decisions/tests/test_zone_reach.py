"""Tests of the detection of partitioned zones."""

import pytest

from flamingofront.decisions.zone_reach import (
    PARTITION_SECONDS,
    RESPONSE_RECENT_SECONDS,
    ZoneReachability,
)
from flamingofront.process.forwarding.reports import PeerReport, PeerTable
from flamingofront.tests.forwarding_world import ForwardingWorld


class TestEvidence:
    def make_unresponsive_zone(self):
        """Return the evidence of a zone with unresponsive peers and a pending response."""
        reach = ZoneReachability()
        reach.set_unresponsive_zones({"b"})
        reach.record_pending("b", 10.0 - RESPONSE_RECENT_SECONDS, 10.0)
        return reach

    def test_unresponsive_peers_and_pending_response_show_partition(self):
        reach = self.make_unresponsive_zone()
        assert reach.is_partitioned("b", 10.0) and not reach.is_partitioned("a", 10.0)
        assert not reach.is_partitioned("b", 10.1 + PARTITION_SECONDS)
        reach.set_unresponsive_zones(())
        assert not reach.is_partitioned("b", 10.0)

    @pytest.mark.parametrize("evidence_kind", ["none", "response pending for a short time"])
    def test_unresponsive_peers_alone_are_not_sufficient(self, evidence_kind):
        reach = ZoneReachability()
        reach.set_unresponsive_zones({"b"})
        if evidence_kind != "none":
            reach.record_pending("b", 9.9, 10.0)
        assert not reach.is_partitioned("b", 10.0)

    def test_one_connect_failure_suffices_with_unresponsive_peers(self):
        reach = ZoneReachability()
        reach.record_connect_failure("b", "e1", 10.0)
        reach.set_unresponsive_zones({"b"})
        assert reach.is_partitioned("b", 10.0)

    def test_received_data_overrides_unresponsive_peers(self):
        reach = self.make_unresponsive_zone()
        reach.record_response("b", 10.0)
        assert not reach.is_partitioned("b", 10.0 + 0.9 * RESPONSE_RECENT_SECONDS)
        reach.record_pending("b", 10.0, 10.0 + RESPONSE_RECENT_SECONDS)
        assert reach.is_partitioned("b", 10.0 + 1.1 * RESPONSE_RECENT_SECONDS)

    def test_two_connect_failures_show_partition_temporarily(self):
        reach = ZoneReachability()
        reach.record_connect_failure("b", "e1", 10.0)
        assert not reach.is_partitioned("b", 10.0)
        reach.record_connect_failure("b", "e2", 10.5)
        assert reach.is_partitioned("b", 10.5)
        assert not reach.is_partitioned("b", 10.6 + PARTITION_SECONDS)

    def test_received_data_resets_connect_failures(self):
        reach = ZoneReachability()
        for endpoint in ("e1", "e2"):
            reach.record_connect_failure("b", endpoint, 10.0)
        reach.record_response("b", 10.1)
        assert not reach.is_partitioned("b", 10.2 + RESPONSE_RECENT_SECONDS)


class TestUnresponsivePeers:
    def make_table(self, **received_at):
        """Return a table with the last reports of members ``zone_number``, expected each 0.25 s."""
        table = PeerTable("own")
        table.set_report_period(0.25)
        for name, at in received_at.items():
            zone = name.partition("_")[0]
            table.store_report(
                PeerReport(name, 1, 1, zone, "ip", "ip:1", leaving=name.endswith("x")), at
            )
        return table

    def test_zone_is_unresponsive_if_all_members_are(self):
        table = self.make_table(b_1=9.0, b_2=9.1, c_1=9.9, c_2=9.0)
        assert table.unreachable_zones(10.0) == {"b"}

    def test_zone_with_one_unresponsive_member_is_not_reported(self):
        assert self.make_table(b_1=9.0).unreachable_zones(10.0) == frozenset()

    def test_leaving_and_expired_members_are_ignored(self):
        assert self.make_table(b_1=9.0, b_2x=9.0).unreachable_zones(10.0) == frozenset()
        assert self.make_table(b_1=1.0, b_2=1.0).unreachable_zones(10.0) == frozenset()

    def test_timeout_grows_with_report_interval(self):
        table = self.make_table(b_1=9.0, b_2=9.0)
        table.set_report_period(1.0)
        assert table.unreachable_zones(10.0) == frozenset()


class TestPartition:
    def make_world(self):
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
    def test_requests_to_partitioned_zone_move_within_a_second(self, path):
        """Connections would fail only after two seconds, when callers of streams disconnect."""
        world = self.make_world()
        # In the first window of a process most of these requests would have no retry.
        world.run(8.0)
        local = [name for name in world.endpoints if "zone-a" in name]
        for name in local:
            world.endpoints[name].gap = 5.0
        for _ in range(12):
            world.ask("front-zone-a-2", path, "GET")
        world.run(0.1)
        callers = [world.ask("front-zone-a-1", path, "GET") for _ in range(12)]
        world.run(0.01)
        remote = [
            each
            for each in world.fronts["front-zone-a-1"].hub.active.values()
            if "zone-b" in each.endpoint_id
        ]
        assert remote
        world.cut("zone-a", "zone-b")
        for name in local:
            world.endpoints[name].gap = 0.02
        world.run(1.4)
        assert not [each for each in remote if "zone-b" in each.endpoint_id and not each.done]
        assert not [each.failure for each in remote if each.failure]
        assert callers

    def test_partition_ends_when_peers_report_again(self):
        world = self.make_world()
        front = world.fronts["front-zone-a-1"]
        world.cut("zone-a", "zone-b")
        front.directory.record_connect_failure("engine-zone-b-1", front.timers.now())
        world.run(1.5)
        assert front.directory.zones.is_partitioned("zone-b", front.timers.now())
        world.heal()
        world.run(0.6)
        assert not front.directory.zones.is_partitioned("zone-b", front.timers.now())

    def test_zone_with_killed_processes_is_used_while_endpoints_respond(self):
        world = self.make_world()
        for number in (1, 2):
            world.kill(f"front-zone-b-{number}")
        world.run(1.0)
        callers = []
        for number in (1, 2):
            # Long enough for both zones to be needed, short enough for responses in between.
            world.endpoints[f"plain-zone-a-{number}"].gap = 1.0
        for _ in range(40):
            callers.append(world.ask("front-zone-a-1", "/read/x", "GET"))
            world.run(0.05)
        world.finish(*callers)
        assert {each.status for each in callers} == {200}
        assert any(world.endpoints[f"plain-zone-b-{number}"].runs for number in (1, 2))
