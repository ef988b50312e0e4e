"""Rows of other writers that no endpoint has, and what they leave in messages to peers."""

import logbook
import pytest

from flamingofront.platform.endpoints import ENDPOINT_TABLE
from flamingofront.process.forwarding.message_size import MAX_MESSAGE_BYTES, encode_within
from flamingofront.tests.forwarding_world import ForwardingWorld, ready_world

LONG = 60_000


def write_row(world: ForwardingWorld, key: str, **changes) -> None:
    """Write the row of an endpoint at an address where nothing listens."""
    address = world.host("plain-2").address.replace("127.0.0.1", "127.0.0.9")
    world.register("plain-2", "records", sequence=2)
    row = {"service": "records", "address": address, "zone": "zone-a", "version": "v1"}
    row |= {"slots": 8, "state": "ready", "cold_left_ms": 0, "sequence": 1}
    world.store.put(ENDPOINT_TABLE, key, {**row, **changes})


def ask_all(world: ForwardingWorld) -> list[int]:
    """Send calls to all processes, and return the statuses of the answers."""
    callers = [world.ask(name, "/read/x", "GET") for name in world.fronts for _ in range(8)]
    world.finish(*callers)
    return [each.status for each in callers]


class TestLongRows:
    """Rows whose key or texts are longer than a datagram."""

    @pytest.mark.parametrize("processes", [3, 20])
    @pytest.mark.parametrize("field", ["key", "service", "zone", "version"])
    def test_processes_hear_their_peers(self, processes, field):
        """Guards against messages that are too long to be sent, for as long as a row is known."""
        world = ready_world(processes)
        # Datagrams are bounded by their length alone.
        world.burst_bytes = 10**9
        heard = {name: front.peers.live_count() for name, front in world.fronts.items()}
        text = "k" * LONG
        with logbook.TestHandler(bubble=True) as lines:
            write_row(
                world, text if field == "key" else "odd", **{field: text} if field != "key" else {}
            )
            world.run(1.0)
            statuses = ask_all(world)
            world.run(1.0)
            world.store.drop(ENDPOINT_TABLE, text if field == "key" else "odd")
            for _ in range(12):
                world.run(0.5)
                found = {name: each.peers.live_count() for name, each in world.fronts.items()}
                assert found == heard
        assert set(statuses) == {200}
        rejected = [each for each in lines.records if each.message == "endpoint row rejected"]
        # Only relays read the store among many processes.
        senders = [each.kwargs["vm"] for each in rejected]
        assert len(senders) == len(set(senders)) == (processes if processes == 3 else 2)
        assert max(len(str(each.kwargs)) for each in lines.records) < 2000


class TestMessageSize:
    def test_largest_parts_are_left_out_first(self):
        data, omitted = encode_within([1, "a" * 50, "b" * 90, "c" * 20], {1: "", 2: "", 3: ""}, 90)
        assert (len(data) <= 90, omitted) == (True, (2,))

    def test_report_with_parts_that_are_too_long_is_still_heard(self):
        """Guards against a process that falls silent by what callers or operators named."""
        world = ready_world(2)
        world.burst_bytes = 10**9
        directory = world.fronts["front-1"].directory
        directory.add_backlog("e" * LONG, 5)
        world.run(5.0)
        assert world.fronts["front-2"].peers.live_count() == 1

    def test_digest_of_a_relay_is_still_heard(self):
        """Guards against a zone that loses its relays by one long name."""
        world = ready_world(20)
        world.burst_bytes = 10**9
        heard = {name: front.peers.live_count() for name, front in world.fronts.items()}
        for front in world.fronts.values():
            front.directory.add_backlog("e" * (MAX_MESSAGE_BYTES // 2), 5)
            front.directory.add_backlog("f" * (MAX_MESSAGE_BYTES // 2), 5)
        world.run(5.0)
        assert {name: each.peers.live_count() for name, each in world.fronts.items()} == heard
