"""Reports of peers that wait in the socket of a process that stands still."""

import socket
import time
from dataclasses import replace

import pytest

from flamingofront.forward_daemon import ForwardDaemon
from flamingofront.platform.settings import read_settings
from flamingofront.process.forwarding.reports import encode_report
from flamingofront.process.forwarding.usage import REPORT_DELAY_SECONDS
from flamingofront.tests.forwarding_world import ready_world

IP = "127.0.0.1"
STILL_SECONDS = 0.3


class TestUsage:
    """A window was reported without requests that a peer had counted, as if all were known."""

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
            time.sleep(STILL_SECONDS)
            poller._serve_ready(0.0)
        until = daemon.node.usage.received_until([report.process])
        assert until[report.process] <= sent_at
