"""Tests of stored quarantine entries, and of the quarantine updates between processes."""

import random

import orjson
import pytest
from hypothesis import given
from hypothesis import strategies as st

from flamingofront.decisions.part_facts import (
    InterruptedRequest,
    PartAnswer,
    PartCrash,
    PartUpdate,
    RequestIdentity,
)
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
    decode_part_update,
    decode_quarantine_entry,
    decode_quarantine_update,
    encode_evidence,
    encode_part_update,
    encode_quarantine_entry,
    encode_quarantine_update,
)
from flamingofront.standins.table_store import StoreFault
from flamingofront.tests.forwarding_world import ready_world

UPDATE = QuarantineUpdate(
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


PART_UPDATE = PartUpdate(
    (PartCrash("e-1", "zone-a", 12.5, (InterruptedRequest("f-1", ("a", "b")),)),),
    (PartAnswer("a", 11.0),),
)


class TestCodec:
    def test_part_update_round_trip(self):
        values = orjson.loads(orjson.dumps(encode_part_update(PART_UPDATE)))
        assert decode_part_update(values) == PART_UPDATE
        assert decode_part_update(encode_part_update(None)) is None

    @given(JSON)
    def test_malformed_part_update_raises_a_value_error(self, value):
        try:
            found = decode_part_update(value)
        except ValueError as exc:
            assert "malformed update on prompt parts" in str(exc)
        else:
            assert found is None or isinstance(found, PartUpdate)

    def test_evidence_against_a_part_keeps_the_requests(self):
        """Repeats of one request would count as several after a restart."""
        evidence = (EndpointCrash("e-1", "zone-a", 12.5, ("f-1", "f-2"), 1),)
        stored = orjson.dumps(encode_evidence(evidence, with_requests=True))
        assert decode_evidence("part/a", stored) == evidence

    def test_update_round_trip(self):
        assert (
            decode_quarantine_update(orjson.loads(orjson.dumps(encode_quarantine_update(UPDATE))))
            == UPDATE
        )
        assert decode_quarantine_update(encode_quarantine_update(None)) is None

    @given(JSON)
    def test_malformed_update_raises_a_value_error(self, value):
        try:
            found = decode_quarantine_update(value)
        except ValueError as exc:
            assert "malformed" in str(exc)
        else:
            assert found is None or isinstance(found, QuarantineUpdate)

    @given(JSON)
    def test_malformed_entry_raises_an_error_with_its_key(self, value):
        try:
            assert isinstance(decode_quarantine_entry("f-1", value), QuarantineEntry)
        except PlatformError as exc:
            assert "f-1" in str(exc)

    def test_entry_round_trip(self):
        (entry,) = UPDATE.entries
        assert decode_quarantine_entry("f-1", orjson.dumps(encode_quarantine_entry(entry))) == entry


class TestStore:
    def build_entry(self, world, fingerprint="f-1", **changes):
        """Return a new entry whose first trial is due in 20 s, with some fields changed."""
        now = world.clock.now()
        values = {"endpoints": ("e-1",), "since": now, "next_trial": now + 20.0, **changes}
        return QuarantineEntry(fingerprint, **values)

    def read_stored_entries(self, world):
        """Return the quarantine entries in the store by key."""
        return {
            key: decode_quarantine_entry(key, row[0])
            for key, row in world.store.get_rows(QUARANTINE_TABLE).items()
        }

    def test_entry_is_stored_after_an_outage_of_the_store(self):
        world = ready_world(fronts=3)
        world.store.fault = StoreFault.BUSY
        node = world.fronts["front-1"]
        node.hub.guard.on_quarantine_change(self.build_entry(world), True)
        world.run(5.0)
        assert not self.read_stored_entries(world)
        world.store.fault = StoreFault.NONE
        world.run(3.0)
        assert set(self.read_stored_entries(world)) == {"f-1"}
        assert all(each.hub.guard.quarantine.get_entry("f-1") for each in world.fronts.values())

    def test_entry_that_all_processes_found_is_written_once(self):
        world = ready_world(fronts=8)
        entry = self.build_entry(world)
        before = world.store.version
        for number, node in enumerate(world.fronts.values()):
            node.hub.guard.on_quarantine_change(entry, number == 0)
        world.run(4.0)
        assert set(self.read_stored_entries(world)) == {"f-1"}
        lease_writes = (
            sum(each.lease.valid_lease() is not None for each in world.fronts.values()) * 5
        )
        assert world.store.version - before <= 1 + lease_writes

    @pytest.mark.parametrize("seed", range(10))
    def test_one_of_several_concurrent_trial_claims_is_granted(self, seed):
        world = ready_world(fronts=5, seed=seed)
        entry = self.build_entry(world, next_trial=world.clock.now())
        world.fronts["front-1"].hub.guard.on_quarantine_change(entry, True)
        world.run(1.0)
        rng, outcomes = random.Random(seed), []
        for node in world.fronts.values():
            node.hub.guard.claim_trial(RequestIdentity("f-1"), outcomes.append)
            world.run(rng.choice((0.0, 0.001, 0.003)))
        world.run(3.0)
        assert sorted(outcomes) == [False] * 4 + [True]

    def test_malformed_row_is_skipped_and_counted(self):
        world = ready_world()
        world.store.put(QUARANTINE_TABLE, "f-1", {"fingerprint": 3})
        world.run(1.0)
        node = world.fronts["front-1"]
        assert not node.hub.guard.quarantine
        assert node.metrics.value("platform_errors_total", operation="hold") == 1

    def test_expired_rows_are_deleted(self):
        world = ready_world()
        old = world.clock.now() - EVIDENCE_LIFETIME_SECONDS - 1
        evidence = (EndpointCrash("e-1", "zone-a", old, ("f-2",), 1),)
        world.store.put(QUARANTINE_TABLE, EVIDENCE_PREFIX + "f-2", encode_evidence(evidence))
        entry = self.build_entry(world, since=world.clock.now() - ENTRY_LIFETIME_SECONDS - 1)
        world.store.put(QUARANTINE_TABLE, "f-1", encode_quarantine_entry(entry))
        world.run(1.0)
        assert not world.store.get_rows(QUARANTINE_TABLE)
        assert not world.fronts["front-1"].hub.guard.quarantine

    def test_stored_evidence_counts_with_the_next_crash(self):
        world = ready_world()
        guard = world.fronts["front-1"].hub.guard
        now = world.clock.now()
        evidence = [
            EndpointCrash(f"e-{each}", f"zone-{each}", now, ("f-2",), 1) for each in range(2)
        ]
        world.store.put(QUARANTINE_TABLE, EVIDENCE_PREFIX + "f-2", encode_evidence(tuple(evidence)))
        world.run(5.0)
        assert guard.quarantine_status(RequestIdentity("f-2")) is QuarantineStatus.SUSPECTED
        guard.load_evidence((EndpointCrash("e-9", "zone-9", now + 5.0, ("f-2",)),))
        assert guard.quarantine_status(RequestIdentity("f-2")) is QuarantineStatus.QUARANTINED

    @given(JSON)
    def test_malformed_evidence_raises_an_error_with_its_fingerprint(self, value):
        try:
            decode_evidence("f-1", value)
        except PlatformError as exc:
            assert "f-1" in str(exc)
