"""Reports of peers that wait in the socket of a process that stands still."""

import socket
import time
from dataclasses import replace

import pytest

from flamingofront.forward_daemon import ForwardDaemon
from flamingofront.platform.settings import read_settings
from flamingofront.process.forwarding.reports import encode_report
from flamingofront.process.forwarding.streams import SourceSelector, SumAction
from flamingofront.process.forwarding.tests.test_duties import find_holder, reported_usage
from flamingofront.process.forwarding.tests.test_quota_arbiter import QuotaWorld
from flamingofront.process.forwarding.usage import REPORT_DELAY_SECONDS, SETTLE_SECONDS
from flamingofront.tests.forwarding_world import RULES, ready_world

IP = "127.0.0.1"
WAIT_SECONDS = 0.3
# Datagrams that fit into the buffer of the socket; the later ones are lost.
ROOM = 2
# Less than what is left of a lease that has just been renewed.
STILL_SECONDS = 2.55
PERIOD = 0.05


class StillHolder:
    """Entry processes whose lease holder stands still around the end of a usage window."""

    def __init__(self, fronts=3):
        self.world = world = ready_world(fronts=fronts)
        world.run(4.0)
        self.holder = find_holder(world)
        self.node = world.fronts[self.holder]
        self.others = [each for name, each in world.fronts.items() if name != self.holder]
        self.started = {}
        self.waiting, self.room = [], ROOM
        self._send, world._datagram = world._datagram, self._send_or_keep

    def _send_or_keep(self, source, address, data):
        """Keep the datagrams to a process that stands still, as far as there is room."""
        target = self.world.hosts.get(address)
        if target is not self.world.host(self.holder) or not target.paused:
            self._send(source, address, data)
        elif len(self.waiting) < self.room:
            self.waiting.append((data, source.address))

    def read_waiting(self):
        """Read the datagrams that waited, as the poller does before it serves late timers."""
        peers = self.node.peers
        peers.seconds_unread = lambda: STILL_SECONDS
        for each in self.waiting:
            peers.receive_datagram(*each)
        peers.seconds_unread = lambda: 0.0

    def start_requests(self, seconds):
        """Let the other processes start requests, evenly."""
        end = self.world.clock.time + seconds
        while self.world.clock.time < end:
            for each in self.others:
                wall = self.world.clock.time
                window = each.usage.window_at(wall)
                self.started[window] = self.started.get(window, 0) + 1
                each.usage.count_started("desk", wall)
            self.world.run(min(PERIOD, end - self.world.clock.time))

    def stand_still_at(self, window_end):
        """Stand still from a renewal until the window that has ended may be reported."""
        still_from = window_end + SETTLE_SECONDS + 0.01 - STILL_SECONDS
        self.start_requests(still_from - 0.05 - self.world.clock.time)
        self.node.tasks.start(self.node.lease.renew())
        self.start_requests(still_from - self.world.clock.time)
        self.world.pause(self.holder)
        self.start_requests(STILL_SECONDS)
        self.read_waiting()
        self.world.resume(self.holder)
        self.start_requests(6.0)


class TestUsage:
    """A window was reported without requests that a peer had counted, as if all were known."""

    def test_window_that_ended_while_the_holder_stood_still_is_reported_in_full(self):
        play = StillHolder()
        length = RULES.usage_window
        window = play.node.usage.window_at(play.world.clock.time) + 1
        play.stand_still_at((window + 1) * length)
        assert play.world.store.leader_calls[-1].holder == play.holder
        assert reported_usage(play.world)[window] == {"desk": play.started[window]}

    @pytest.mark.parametrize("waited", [0.0, 3.0])
    def test_counts_are_known_as_of_when_they_may_have_been_sent(self, waited):
        world = ready_world(fronts=2)
        world.run(2.0)
        node, peer = world.fronts.values()
        node.peers.seconds_unread = lambda: waited
        report = peer.peers._build_report()
        now = world.clock.time
        node.usage._received_until.clear()
        node.peers._on_report(report, 0.25)
        until = node.usage.received_until([report.process])[report.process]
        assert until == pytest.approx(now - REPORT_DELAY_SECONDS - waited, abs=0.01)

    def test_report_that_waited_in_a_real_socket_counts_as_older(self, tmp_path):
        path = tmp_path / "front.conf"
        path.write_text(
            f"node_name=front-1\nzone=zone-a\nip={IP}\nlisten.front={IP}:0\nlisten.ready={IP}:0\n"
            f"port_range=0,0\nplatform.address={IP}:1\n"
        )
        daemon = ForwardDaemon(read_settings(str(path)), str(path), 0)
        while len(daemon.runtime):
            daemon.runtime.flush()
        report = replace(daemon.node.peers._build_report(), vm_id="front-2")
        poller = daemon.runtime.poller
        poller._serve_ready(0.0)
        sent_at = time.time()
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
            sock.bind((IP, 0))
            daemon.node.peers._port = sock.getsockname()[1]
            sock.sendto(encode_report(report), daemon._datagrams.address)
            time.sleep(WAIT_SECONDS)
            poller._serve_ready(0.0)
        until = daemon.node.usage.received_until([report.process])
        assert until[report.process] <= sent_at


class TestClocks:
    """The clocks of the others seemed slow by the time for which their reports had waited."""

    @pytest.mark.parametrize("fronts, room", [(3, 2), (20, 4)])
    def test_messages_that_waited_do_not_move_the_clock_of_all(self, fronts, room):
        play = StillHolder(fronts)
        play.room = room
        if play.node.peers.is_relayed:
            # Reports of the time before there were relays.
            play.node.peers.table._reports.clear()
        play.world.run(0.5)
        play.world.pause(play.holder)
        play.world.run(STILL_SECONDS)
        play.read_waiting()
        assert play.node.peers.cluster_time() == pytest.approx(play.world.clock.time, abs=0.05)

    def test_clock_that_is_set_meanwhile_is_noticed(self):
        play = StillHolder()
        for each in play.others:
            each.timers.wall = lambda: play.world.clock.time + 100.0
        play.world.run(1.0)
        assert play.node.peers.cluster_time() == pytest.approx(
            play.world.clock.time + 100.0, abs=0.05
        )


class TestConsumption:
    """QUOTA: what others consumed while an arbiter stood still did not count for its decisions."""

    @pytest.mark.parametrize("fronts", [4, 30])
    @pytest.mark.parametrize("seconds", [2.5, 4.0])
    def test_arbiter_that_stood_still_knows_what_others_consumed(self, fronts, seconds):
        world = QuotaWorld(fronts)
        ip = next(iter(world.fronts.values())).quota_members.rank_arbiters("desk")[0]
        name = next(each.name for each in world.hosts.values() if each.address == ip)
        world.pause(name)
        before = len(world.ran_at)
        world.send_requests(1.0, seconds, [each for each in world.fronts if each != name])
        world.resume(name)
        world.run(1.2)
        now, quota = world.clock.now(), world.fronts[name].quota
        assert quota._sum_window("desk", now) >= 0.9 * (len(world.ran_at) - before)

    @pytest.mark.parametrize("waited, action", [(0.0, SumAction.RECORD), (4.0, SumAction.COUNT)])
    def test_totals_that_waited_are_counted(self, waited, action):
        selector = SourceSelector()
        selector.select_action("zone-b", "relay", 0.5, 100.0)
        assert selector.select_action("zone-b", "relay", 0.5, 104.5, waited) is action
