"""Which attempts count as slow, by what is usual."""

import pytest

from flamingofront.decisions.engine_rates import EngineRates
from flamingofront.request.attempt_pace import AttemptLatency
from flamingofront.tests.forwarding_world import ready_world

RATES = EngineRates(pause_seconds=0.02)


class TestAttemptPace:
    @pytest.mark.parametrize("took, slow", [(0.39, False), (0.41, True)])
    def test_first_event_is_judged_by_what_was_expected(self, took, slow):
        pace = AttemptLatency(sent_at=10.0, expected=0.1)
        pace.record_start(10.0 + took)
        assert pace.is_slow(10.0 + took + 0.2, 10, RATES) is slow

    @pytest.mark.parametrize("took, slow", [(0.69, False), (0.71, True)])
    def test_events_are_judged_by_the_usual_pause(self, took, slow):
        pace = AttemptLatency(sent_at=10.0, expected=0.1)
        pace.record_start(10.1)
        assert pace.is_slow(10.1 + took, 10, RATES) is slow

    def test_later_events_do_not_move_the_first_one(self):
        pace = AttemptLatency(sent_at=10.0, expected=0.1)
        pace.record_start(10.1)
        pace.record_start(12.0)
        assert not pace.is_slow(10.2, 2, RATES)


class TestOutcomes:
    def test_zone_that_is_cut_off_says_nothing_of_a_version(self):
        world = ready_world(engines=2)
        told = []
        hub = world.fronts["front-1"].hub
        hub.on_outcome = lambda service, endpoint_id, is_bad: told.append(is_bad)
        for each in world.endpoints.values():
            each.events, each.gap = 200, 0.05
        world.ask("front-1", "/stream/again/x")
        world.run(0.5)
        (request,) = hub.active.values()
        hub.fail_over_zone(world.host(request.endpoint_id).zone)
        world.run(0.5)
        assert len(request.endpoints) == 2 and told == []
