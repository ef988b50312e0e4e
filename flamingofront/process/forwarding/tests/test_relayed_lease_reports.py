"""Holders of the leader lease that stop one after the other, in a deployment with relays."""

import random

import pytest

from flamingofront.process.forwarding.duty import LeaderLease
from flamingofront.tests.forwarding_world import ForwardingWorld
from flamingofront.tests.network import LATENCY

VMS = 24
ZONES = ("zone-a", "zone-b", "zone-c")
SECONDS = 60.0
# Datagrams are late by up to this time, and some are lost.
LATE_SECONDS = 0.15
LOST_FRACTION = 0.02
# Time from the begin of a stop until the end of the process, and until it has started again.
STOP_SECONDS = 2.6
START_SECONDS = 0.3


class RollingStops:
    """Entry processes of which holders and others are stopped and started again, in turn."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.world = ForwardingWorld(seed)
        self.world._datagram = self.send_late
        self.world.configure_routes()
        self.world.endpoint("engine-1", "engines")
        self.world.endpoint("plain-1", "records")
        self.zones = {f"front-{each}": ZONES[each % len(ZONES)] for each in range(VMS)}
        for name, zone in self.zones.items():
            self.world.front(name, zone)
        self.world.run(5.0)

    def send_late(self, source, address, data):
        target = self.world.hosts.get(address)
        if target is None or target.dead or source.dead:
            return
        if self.rng.random() < LOST_FRACTION:
            return
        node = self.world.fronts[target.name]
        target.timers.once(
            LATENCY + self.rng.random() * LATE_SECONDS,
            lambda: target.dead or node.peers.receive_datagram(data, source.address),
        )

    def acting(self):
        """Return the processes that may act under the lease."""
        return [
            name
            for name, each in self.world.fronts.items()
            if not self.world.host(name).dead and each.lease.usable_lease() is not None
        ]

    def stop(self, name):
        node = self.world.fronts[name]
        if not node.stopping:
            node.stopping = True
            node.tasks.start(node.lease.release())
            node.peers.broadcast_report()
            self.ends.append((self.world.clock.now() + STOP_SECONDS, name))

    def play(self):
        self.ends = []
        until = self.world.clock.now() + SECONDS
        while self.world.clock.now() < until:
            if self.rng.random() < 0.6:
                for name in self.acting():
                    self.stop(name)
            if self.rng.random() < 0.5:
                self.stop(self.rng.choice(list(self.zones)))
            self.world.run(self.rng.choice([0.3, 0.7, 1.1]))
            for at, name in list(self.ends):
                if self.world.clock.now() >= at:
                    self.ends.remove((at, name))
                    self.world.kill(name)
                    self.world.run(START_SECONDS)
                    self.world.front(name, self.zones[name], first_start=False)


class TestRollingStops:
    """Two processes held the lease at once, with no process slow and the store well."""

    @pytest.mark.parametrize("seed", [41])
    def test_no_process_acquires_the_lease_beside_a_holder(self, seed, monkeypatch):
        """Late reports of earlier holders made an old release pass for the present holder's."""
        play, beside = RollingStops(seed), []
        acquire = LeaderLease._acquire

        def watch(lease, *args):
            yield from acquire(lease, *args)
            others = [each for each in play.acting() if play.world.fronts[each].lease is not lease]
            if lease.valid_lease() is not None and others:
                beside.append((round(play.world.clock.now(), 3), lease.state.holder, others))

        monkeypatch.setattr(LeaderLease, "_acquire", watch)
        play.play()
        fencing = [each.fencing for each in play.world.store.leader_calls]
        assert beside == []
        assert fencing == sorted(fencing)
