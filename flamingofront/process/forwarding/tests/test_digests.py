"""Digests of relays: format, what is refused, who relays, and what counts once."""

import random

import logbook
import pytest
from hypothesis import given
from hypothesis import strategies as st

from flamingofront.process.forwarding.digests import (
    ALL_ZONES,
    MAX_DIGEST_BYTES,
    Claim,
    Digest,
    DigestWriter,
    decode_digest,
    is_digest,
)
from flamingofront.process.forwarding.reports import PeerReport, encode_report
from flamingofront.process.forwarding.streams import SpentLedger, Step, SumStreams
from flamingofront.process.forwarding.tests.test_reports import in_zone, many_world, relays
from flamingofront.process.forwarding.zone_relays import (
    PASSED_OVER_SECONDS,
    PATIENCE_SECONDS,
    RELAYS_PER_ZONE,
    ZoneRelays,
)

RELAY = PeerReport("vm", 7, 3, "zone-a", "1.2.3.4", "1.2.3.4:5", wall=9.5, configuration=4)
DIGEST = Digest(
    relay=RELAY,
    scope=ALL_ZONES,
    wall=9.5,
    members=30,
    heard=29,
    loads={"e": (3, 900)},
    claim=Claim(5, 77, 4, "1.2.3.9"),
    silent=("zone-b",),
    spent={"desk": 40},
    demand={"engines": 3},
    work={"engines": (0.5, 0.25)},
    roster={"vm": "1.2.3.4"},
    relays={"zone-b": ("4.3.2.1",)},
    told_until={"vm/1": 8.25},
)


def datagram(digest=DIGEST, acknowledged=12):
    return DigestWriter(digest).datagram(acknowledged)


class TestFormat:
    def test_it_is_decoded_as_it_was_encoded(self):
        found = decode_digest(datagram())
        assert found.relay == RELAY and found.acknowledged == 12
        assert (found.loads, found.claim, found.silent) == (
            DIGEST.loads,
            DIGEST.claim,
            DIGEST.silent,
        )
        assert found.work == {"engines": [0.5, 0.25]} and found.relays == DIGEST.relays
        assert found.told_until == {"vm/1": 8.25}

    def test_it_is_told_apart_from_reports(self):
        assert is_digest(datagram()) and not is_digest(encode_report(RELAY))

    @pytest.mark.parametrize(
        "data",
        [
            b"D",
            b"D1 ",
            b"D1 x\n[]",
            b"D1 1\n[]",
            b"D1 1\n{}",
            datagram()[:-1],
            datagram()[: len(datagram()) // 2],
            datagram().replace(b"[30,29]", b"[30]"),
            datagram().replace(b'{"e":[3,900]}', b'{"e":[3]}'),
        ],
    )
    def test_what_is_cut_or_malformed_is_refused(self, data):
        with pytest.raises(ValueError, match="digest"):
            decode_digest(data)

    def test_another_version_is_refused(self):
        with pytest.raises(ValueError, match="another version"):
            decode_digest(b"D1" + datagram()[2:])

    def test_what_is_too_long_is_refused(self):
        with pytest.raises(ValueError, match="at most"):
            decode_digest(datagram() + b" " * MAX_DIGEST_BYTES)

    @given(st.binary(max_size=200))
    def test_any_bytes_are_taken_or_refused(self, junk):
        with pytest.raises(ValueError):
            decode_digest(b"D1 " + junk)

    def test_size_at_six_hundred_endpoints_is_within_the_cap(self):
        loads = {f"i-{number:010x}": (12, 100000) for number in range(600)}
        roster = {f"front-some-zone-{number}": "10.200.30.40" for number in range(41)}
        spent = {f"workspace-{number}": 10**9 for number in range(64)}
        digest = Digest(RELAY, ALL_ZONES, 9.5, 410, 410, loads, spent=spent, roster=roster)
        assert len(datagram(digest)) < MAX_DIGEST_BYTES


class TestRefusedDatagrams:
    @pytest.mark.parametrize(
        "data",
        [
            b"D2 0\n[]",
            b"[1,2]",
            datagram(),
            encode_report(RELAY),
        ],
        ids=["version", "malformed", "another's digest", "another's report"],
    )
    def test_they_are_counted_and_told_once(self, data):
        world = many_world()
        front = world.fronts["front-0"]
        with logbook.TestHandler(level="WARNING", bubble=True).applicationbound() as log:
            for _ in range(3):
                front.peers.receive_datagram(data, "9.9.9.9")
        assert [each.message for each in log.records] == ["datagram refused"]
        assert front.metrics.value("peer_datagrams_refused_total") == 3

    def test_a_digest_that_comes_again_changes_nothing(self):
        """The units that it tells of must not count twice."""
        tenant = {"name": "desk", "api_keys": ["key-1"], "rate_per_s": 1e-6, "burst": 1e6}
        world = many_world(tenants=[tenant])
        kept = []
        inner = world._datagram

        def send(source, address, data):
            kept.append((source, address, data))
            inner(source, address, data)

        world._datagram = send
        front = world.fronts["front-0"]
        for _ in range(10):
            front.quota.consume(front.configuration.workspaces[0], 1000.0, front.timers.now())
            world.run(0.1)
        world.run(2.0)
        world._datagram = inner
        for each in kept:
            inner(*each)
        world.run(0.1)
        for each in world.fronts.values():
            state = each.quota.get_state(each.configuration.workspaces[0], each.timers.now())
            assert state.taken == 10_000


class TestZoneRelays:
    members = {f"vm-{number}": f"1.1.1.{number}" for number in range(9)}

    def test_all_choose_the_same(self):
        chosen = {
            ZoneRelays(own).choose({k: v for k, v in self.members.items() if k != own}, {}, 0.0)
            for own in self.members
        }
        assert len(chosen) == 1 and len(chosen.pop()) == RELAYS_PER_ZONE

    def test_one_that_stays_silent_is_passed_over_and_tried_again(self):
        relays = ZoneRelays("own")
        first = next(each for each in relays.choose(self.members, {}, 0.0) if each != "own")
        heard = dict.fromkeys(self.members, 0.0)
        soon = PATIENCE_SECONDS + 0.1
        heard.update({name: soon for name in self.members if name != first})
        assert first not in relays.choose(self.members, heard, soon)
        later = soon + PASSED_OVER_SECONDS + 0.1
        assert first in relays.choose(self.members, dict.fromkeys(self.members, later), later)

    def test_one_that_is_heard_stays(self):
        relays = ZoneRelays("own")
        chosen = relays.choose(self.members, {}, 0.0)
        for step in range(20):
            now = step * 0.5
            assert relays.choose(self.members, dict.fromkeys(self.members, now), now) == chosen


class TestSums:
    """Two tellers of the same sums, either of which may be lost at any time."""

    def count(self, events, period=0.25):
        """Return what a listener counts of (time, teller, sum)."""
        streams, ledger = SumStreams(), SpentLedger()
        for now, teller, total in events:
            step = streams.step("zone", teller, period, now)
            if step is not Step.HOLD:
                ledger.take(teller, {"desk": total}, step is Step.COUNT)
        return ledger.total["desk"]

    def test_both_together_count_once(self):
        events = []
        for step in range(40):
            events += [(step * 0.25, "a", step * 10), (step * 0.25 + 0.1, "b", 5000 + step * 10)]
        assert self.count(events) == 390

    def test_other_one_goes_on_where_one_is_lost(self):
        events = [(step * 0.25, "a", step * 10) for step in range(20)]
        events += [(step * 0.25 + 0.1, "b", 7 + step * 10) for step in range(40)]
        counted = self.count(sorted(events))
        # What the other one has added since its last sums that were noted counts in full.
        assert 385 <= counted <= 400

    def test_a_late_digest_loses_nothing(self):
        events = []
        for step in range(40):
            if step not in (10, 20):
                events.append((step * 0.25, "a", step * 10))
            events.append((step * 0.25 + 0.1, "b", 3 + step * 10))
        assert 370 <= self.count(sorted(events)) <= 400

    def test_what_a_new_teller_knew_before_does_not_count(self):
        assert self.count([(0.0, "a", 900), (0.25, "a", 910)]) == 10

    @pytest.mark.parametrize("seed", range(5))
    def test_lost_digests_change_little(self, seed):
        rng = random.Random(seed)
        events = []
        for step in range(400):
            for teller, offset in (("a", 0.0), ("b", 0.1)):
                if rng.random() > 0.05:
                    events.append((step * 0.25 + offset, teller, step * 10))
        assert 0.95 * 4000 <= self.count(sorted(events)) <= 1.05 * 4000


class TestRelaysOfTheStore:
    def test_only_relays_follow_the_store_and_ask_once_a_second_at_most(self):
        world = many_world()
        world.run(6.0)
        following = {name for name, each in world.fronts.items() if not each.store_view.is_standby}
        assert following == relays(world)
        before = world.store.calls
        for step in range(50):
            world.register("plain-1", "records", sequence=2 + step)
            world.run(0.2)
        # Endpoints once a second, the configuration each 3.5 s, and the duties of one holder.
        assert world.store.calls - before <= len(relays(world)) * 10 * (1.1 + 0.3) + 10 * 4

    @pytest.mark.parametrize("way", ["kill", "pause", "cut"])
    def test_zone_learns_of_changes_when_its_relays_are_lost(self, way):
        world = many_world()
        world.endpoint("plain-2", "records")
        world.run(6.0)
        lost = relays(world) & set(in_zone(world, "zone-a"))
        for name in lost:
            world.lose(name, way)
        world.configure_routes(version=2)
        world.register("plain-1", "records", state="draining", sequence=90)
        world.run(3.0)
        for name, each in world.fronts.items():
            if name not in lost:
                assert each.configuration.version == 2, name
                live = {fact.vm_id for fact in each.facts.all() if fact.state.value == "live"}
                assert "plain-1" not in live, name
