"""Tests that documents are removed after their retention time, and not before."""

from flamingofront.process.expiry import RETENTION_SECONDS, SWEEP_PERIOD_SECONDS
from flamingofront.standins.platform import FaultMode
from flamingofront.tests.world import demo_world

AFTER_EXPIRY_SECONDS = RETENTION_SECONDS + 2 * 3600.0


def list_keys(world, prefix):
    """Return the keys with a prefix in the store."""
    return [key for key in world.platform.rows if key.startswith(prefix)]


def advance(world, seconds):
    """Advance the clock without running the hosts, then run them long enough for a sweep."""
    world.clock.time += seconds
    world.run(2 * SWEEP_PERIOD_SECONDS)


class TestSweep:
    def build_world(self):
        """Return a world with a claim, a job and a configuration operation in the store."""
        world = demo_world(entry_settings={"list_period": 60.0, "gossip_period": 60.0})
        headers = {"idempotency-key": "k"}
        keyed = world.call("entry-a1", "POST", "/services/records/certificates", b"x", headers)
        job = world.complete("entry-a1", stream=False, headers={"prefer": "respond-async"})
        world.finish(keyed, job)
        world.run(5.0)
        assert (
            list_keys(world, "claim/")
            and list_keys(world, "job/")
            and list_keys(world, "config/operation/")
        )
        return world

    def test_nothing_is_removed_before_it_expires(self):
        world = self.build_world()
        before = {key: value for key, value in world.platform.rows.items() if "lease" not in key}
        advance(world, RETENTION_SECONDS / 2)
        after = {key: value for key, value in world.platform.rows.items() if "lease" not in key}
        assert after == before

    def test_all_but_the_configuration_is_removed_after_it_expires(self):
        world = self.build_world()
        advance(world, AFTER_EXPIRY_SECONDS)
        assert list_keys(world, "claim/") == list_keys(world, "job/") == []
        assert list_keys(world, "config/operation/") == list_keys(world, "expiry/") == []
        assert world.nodes["entry-a1"].gossip.configuration.revision == 1
        assert "config/document" in world.platform.rows

    def test_document_with_extended_time_stays(self):
        world = self.build_world()
        (key,) = list_keys(world, "claim/")
        value, _ = world.platform.rows[key]
        world.platform.rows.put(key, {**value, "until": value["until"] + 10 * RETENTION_SECONDS})
        advance(world, AFTER_EXPIRY_SECONDS)
        assert list_keys(world, "claim/") == [key]

    def test_store_outage_only_delays_the_removal(self):
        world = self.build_world()
        world.platform.inject_fault("table", FaultMode.LOSE_ANSWER)
        advance(world, AFTER_EXPIRY_SECONDS)
        world.platform.inject_fault("table", FaultMode.UP)
        world.run(3 * SWEEP_PERIOD_SECONDS)
        assert list_keys(world, "claim/") == list_keys(world, "expiry/") == []
