"""Rows that are kept for a stated time are removed after it, and not before."""

from flamingofront.process.expiry import RETENTION_SECONDS, SWEEP_PERIOD_SECONDS
from flamingofront.standins.platform import FaultMode
from flamingofront.tests.world import demo_world

DAY_AND_MORE = RETENTION_SECONDS + 2 * 3600.0


def rows(world, prefix):
    return [key for key in world.platform.rows if key.startswith(prefix)]


def later(world, seconds):
    """Let the clock jump, as if the hosts had been idle, then let a sweep happen."""
    world.clock.time += seconds
    world.run(2 * SWEEP_PERIOD_SECONDS)


class TestSweep:
    def world(self):
        world = demo_world(entry_settings={"list_period": 60.0, "gossip_period": 60.0})
        headers = {"idempotency-key": "k"}
        keyed = world.call("entry-a1", "POST", "/services/records/certificates", b"x", headers)
        job = world.complete("entry-a1", stream=False, headers={"prefer": "respond-async"})
        world.finish(keyed, job)
        world.run(5.0)
        assert rows(world, "claim/") and rows(world, "job/") and rows(world, "config/operation/")
        return world

    def test_nothing_is_removed_before_its_time(self):
        world = self.world()
        before = {key: value for key, value in world.platform.rows.items() if "lease" not in key}
        later(world, RETENTION_SECONDS / 2)
        after = {key: value for key, value in world.platform.rows.items() if "lease" not in key}
        assert after == before

    def test_all_is_removed_after_its_time_but_the_configuration(self):
        world = self.world()
        later(world, DAY_AND_MORE)
        assert rows(world, "claim/") == rows(world, "job/") == []
        assert rows(world, "config/operation/") == rows(world, "expiry/") == []
        assert world.nodes["entry-a1"].gossip.configuration.revision == 1
        assert "config/document" in world.platform.rows

    def test_row_that_was_given_more_time_stays(self):
        world = self.world()
        (key,) = rows(world, "claim/")
        value, _ = world.platform.rows[key]
        world.platform.rows.put(key, {**value, "until": value["until"] + 10 * RETENTION_SECONDS})
        later(world, DAY_AND_MORE)
        assert rows(world, "claim/") == [key]

    def test_outage_only_delays_it(self):
        world = self.world()
        world.platform.inject_fault("table", FaultMode.LOSE_ANSWER)
        later(world, DAY_AND_MORE)
        world.platform.inject_fault("table", FaultMode.UP)
        world.run(3 * SWEEP_PERIOD_SECONDS)
        assert rows(world, "claim/") == rows(world, "expiry/") == []
