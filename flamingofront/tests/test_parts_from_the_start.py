"""Prompt parts that crash endpoints from the first second of a deployment on, before few of them.

No endpoint is up for long enough to answer several requests of one process.
"""

import pytest

from flamingofront.standins.forward_endpoint import CrashAnswer
from flamingofront.tests.crashing_world import crashing_world
from flamingofront.tests.part_load import POISON_PART, PartLoad

MAX_SENT_LATE = 3
MIN_SERVED = 0.9
STREAMS = ("/stream/again/x", "/stream/once/x")


class TestFewEndpoints:
    """Processes that knew hardly any answers blamed no part, whatever crashed under it."""

    @pytest.mark.parametrize("period", [0.04, 1 / 12])
    @pytest.mark.parametrize("path", STREAMS)
    @pytest.mark.parametrize("answer", [CrashAnswer.NOTHING, CrashAnswer.EVENTS])
    def test_part_is_found_out_though_hardly_a_request_is_answered(self, path, period, answer):
        world = crashing_world(fronts=7, engines=4, seed=63)
        world.set_crash_options(crash_answer=answer)
        load = PartLoad(world, paths=(path,), poison_period=period)
        load.play(seconds=16.0, poison_from=0.0)
        assert world.sent_late_with_part(POISON_PART) <= MAX_SENT_LATE
        late = load.sound[-100:]
        assert sum(each.is_served for each in late) >= MIN_SERVED * len(late)
        assert not any(b"prompt_part" in each.caller.body for each in load.sound)

    @pytest.mark.parametrize("engines, path", [(4, STREAMS[0]), (2, STREAMS[1])])
    def test_part_is_found_out_though_another_one_is_at_all_crashes_too(self, engines, path):
        world = crashing_world(fronts=7, engines=engines, seed=64)
        world.set_crash_options(crash_answer=CrashAnswer.EVENTS)
        PartLoad(world, paths=(path,), poison_period=0.04).play(seconds=16.0, poison_from=0.0)
        assert world.sent_late_with_part(POISON_PART) <= MAX_SENT_LATE

    @pytest.mark.parametrize("seed", range(4))
    def test_endpoints_that_end_soon_after_each_start_blame_no_part(self, seed):
        world = crashing_world(fronts=7, engines=4, seed=seed)
        load, ends_at = PartLoad(world), {}

        def end_some() -> None:
            for name in world.alive("engines"):
                due = ends_at.setdefault(name, load.elapsed + 0.05 + 0.5 * world.rng.random())
                if load.elapsed >= due:
                    world.end_endpoint(name, "engines", world.host(name).zone)
            load.at(load.elapsed + 0.05, end_some)

        load.at(0.0, end_some).play(seconds=16.0, poison_from=60.0)
        guards = [each.hub.guard for each in world.fronts.values()]
        entries = [entry for each in guards for entry in each.quarantine.list_entries()]
        assert not any(each.fingerprint.startswith("part/") for each in entries)
        assert not any(b"prompt_part" in each.caller.body for each in load.sound)
