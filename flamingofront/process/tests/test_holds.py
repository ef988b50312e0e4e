"""Holds in the store, and the words on them that processes exchange."""

import random

import orjson
import pytest
from hypothesis import given
from hypothesis import strategies as st

from flamingofront.decisions.quarantine_facts import (
    ENTRY_LIFETIME_SECONDS,
    EVIDENCE_LIFETIME_SECONDS,
    EndpointCrash,
    QuarantineEntry,
    QuarantineStatus,
    QuarantineUpdate,
    Release,
)
from flamingofront.errors import PlatformError
from flamingofront.process.holds import EVIDENCE_PREFIX, QUARANTINE_TABLE
from flamingofront.process.quarantine_codec import (
    decode_evidence,
    decode_quarantine_entry,
    decode_quarantine_update,
    encode_evidence,
    encode_quarantine_entry,
    encode_quarantine_update,
)
from flamingofront.standins.table_store import StoreFault
from flamingofront.tests.forwarding_world import ready_world

WORD = QuarantineUpdate(
    (EndpointCrash("e-1", "zone-a", 12.5, ("f-1", "f-2"), 3),),
    (QuarantineEntry("f-1", ("e-1", "e-2"), 12.5, 1, 32.5, False),),
    (Release("f-3", 11.0),),
)
JSON = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-5, 5)
    | st.floats(allow_nan=False)
    | st.text(max_size=3),
    lambda inner: st.lists(inner, max_size=6) | st.dictionaries(st.text(max_size=3), inner),
    max_leaves=12,
)


class TestWord:
    def test_it_is_told_whole(self):
        assert (
            decode_quarantine_update(orjson.loads(orjson.dumps(encode_quarantine_update(WORD))))
            == WORD
        )
        assert decode_quarantine_update(encode_quarantine_update(None)) is None

    @given(JSON)
    def test_malformed_word_is_named_as_such(self, value):
        try:
            found = decode_quarantine_update(value)
        except ValueError as exc:
            assert "malformed" in str(exc)
        else:
            assert found is None or isinstance(found, QuarantineUpdate)

    @given(JSON)
    def test_malformed_hold_is_refused(self, value):
        try:
            assert isinstance(decode_quarantine_entry("f-1", value), QuarantineEntry)
        except PlatformError as exc:
            assert "f-1" in str(exc)

    def test_hold_is_kept_whole(self):
        (hold,) = WORD.entries
        assert decode_quarantine_entry("f-1", orjson.dumps(encode_quarantine_entry(hold))) == hold


class TestKeeping:
    def hold(self, world, fingerprint="f-1", **changes):
        now = world.clock.now()
        values = {"endpoints": ("e-1",), "since": now, "next_trial": now + 20.0, **changes}
        return QuarantineEntry(fingerprint, **values)

    def kept(self, world):
        return {
            key: decode_quarantine_entry(key, row[0])
            for key, row in world.store.get_rows(QUARANTINE_TABLE).items()
        }

    def test_hold_outlasts_an_outage_of_the_store(self):
        world = ready_world(fronts=3)
        world.store.fault = StoreFault.BUSY
        node = world.fronts["front-1"]
        node.hub.guard.on_quarantine_change(self.hold(world), True)
        world.run(5.0)
        assert not self.kept(world)
        world.store.fault = StoreFault.NONE
        world.run(3.0)
        assert set(self.kept(world)) == {"f-1"}
        assert all(each.hub.guard.quarantine_entry("f-1") for each in world.fronts.values())

    def test_one_of_many_writes_a_hold_that_all_have_found(self):
        world = ready_world(fronts=8)
        hold = self.hold(world)
        before = world.store.version
        for number, node in enumerate(world.fronts.values()):
            node.hub.guard.on_quarantine_change(hold, number == 0)
        world.run(4.0)
        assert set(self.kept(world)) == {"f-1"}
        duty_writes = (
            sum(each.lease.valid_lease() is not None for each in world.fronts.values()) * 5
        )
        assert world.store.version - before <= 1 + duty_writes

    @pytest.mark.parametrize("seed", range(10))
    def test_of_trials_claimed_at_once_one_is_granted(self, seed):
        world = ready_world(fronts=5, seed=seed)
        hold = self.hold(world, next_trial=world.clock.now())
        world.fronts["front-1"].hub.guard.on_quarantine_change(hold, True)
        world.run(1.0)
        rng, outcomes = random.Random(seed), []
        for node in world.fronts.values():
            node.hub.guard.claim_trial("f-1", outcomes.append)
            world.run(rng.choice((0.0, 0.001, 0.003)))
        world.run(3.0)
        assert sorted(outcomes) == [False] * 4 + [True]

    def test_row_of_another_writer_is_left_out_and_told(self):
        world = ready_world()
        world.store.put(QUARANTINE_TABLE, "f-1", {"fingerprint": 3})
        world.run(1.0)
        node = world.fronts["front-1"]
        assert not node.hub.guard.quarantine
        assert node.metrics.value("platform_errors_total", operation="hold") == 1

    def test_old_rows_are_removed(self):
        world = ready_world()
        old = world.clock.now() - EVIDENCE_LIFETIME_SECONDS - 1
        ends = (EndpointCrash("e-1", "zone-a", old, ("f-2",), 1),)
        world.store.put(QUARANTINE_TABLE, EVIDENCE_PREFIX + "f-2", encode_evidence(ends))
        hold = self.hold(world, since=world.clock.now() - ENTRY_LIFETIME_SECONDS - 1)
        world.store.put(QUARANTINE_TABLE, "f-1", encode_quarantine_entry(hold))
        world.run(1.0)
        assert not world.store.get_rows(QUARANTINE_TABLE)
        assert not world.fronts["front-1"].hub.guard.quarantine

    def test_kept_ends_of_a_request_count_with_the_next_one(self):
        world = ready_world()
        guard = world.fronts["front-1"].hub.guard
        now = world.clock.now()
        ends = [EndpointCrash(f"e-{each}", f"zone-{each}", now, ("f-2",), 1) for each in range(2)]
        world.store.put(QUARANTINE_TABLE, EVIDENCE_PREFIX + "f-2", encode_evidence(tuple(ends)))
        world.run(5.0)
        assert guard.quarantine_status("f-2") is QuarantineStatus.SUSPECTED
        guard.load_evidence((EndpointCrash("e-9", "zone-9", now + 5.0, ("f-2",)),))
        assert guard.quarantine_status("f-2") is QuarantineStatus.QUARANTINED

    @given(JSON)
    def test_malformed_ends_are_refused(self, value):
        try:
            decode_evidence("f-1", value)
        except PlatformError as exc:
            assert "f-1" in str(exc)
