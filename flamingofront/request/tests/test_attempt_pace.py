"""Tests of the detection of slow attempts."""

import pytest

from flamingofront.decisions.engine_rates import EngineRates
from flamingofront.request.attempt_pace import AttemptLatency
from flamingofront.tests.forwarding_world import ready_world
from flamingofront.tests.network import PathFault

RATES = EngineRates(pause_seconds=0.02)


class TestAttemptLatency:
    @pytest.mark.parametrize("seconds, expected", [(0.39, False), (0.41, True)])
    def test_late_first_event_is_slow(self, seconds, expected):
        latency = AttemptLatency(sent_at=10.0, expected_seconds=0.1)
        latency.record_start(10.0 + seconds)
        assert latency.is_slow(10.0 + seconds + 0.2, 10, RATES) is expected

    @pytest.mark.parametrize("seconds, expected", [(0.69, False), (0.71, True)])
    def test_long_stream_is_slow(self, seconds, expected):
        latency = AttemptLatency(sent_at=10.0, expected_seconds=0.1)
        latency.record_start(10.1)
        assert latency.is_slow(10.1 + seconds, 10, RATES) is expected

    def test_only_first_event_sets_start(self):
        latency = AttemptLatency(sent_at=10.0, expected_seconds=0.1)
        latency.record_start(10.1)
        latency.record_start(12.0)
        assert not latency.is_slow(10.2, 2, RATES)


class TestOutcomes:
    def test_zone_partition_reports_no_outcome(self):
        world = ready_world(engines=2)
        outcomes = []
        hub = world.fronts["front-1"].hub
        hub.on_outcome = lambda service, endpoint_id, is_bad: outcomes.append(is_bad)
        for each in world.endpoints.values():
            each.events, each.gap = 200, 0.05
        world.ask("front-1", "/stream/again/x")
        world.run(0.5)
        (request,) = hub.active.values()
        world.fail_paths(["front-1"], [request.endpoint_id], PathFault.SILENT)
        hub.failover.fail_over_zone(world.host(request.endpoint_id).zone)
        world.run(0.5)
        assert len(request.endpoints) == 2 and outcomes == []
