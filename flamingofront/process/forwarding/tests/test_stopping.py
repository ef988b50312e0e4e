"""A process that stops while callers keep their connections."""

import math
from types import SimpleNamespace

import pytest

from flamingofront.decisions.engine_rates import EngineRates
from flamingofront.decisions.stopping import ends_in_time
from flamingofront.process.forwarding.shutdown import GracefulStop
from flamingofront.tests.forwarding_world import ready_world


class TestEndsInTime:
    rates = EngineRates(token_seconds=1e-4, base_seconds=0.1, pause_seconds=0.2, events=10.0)

    @pytest.mark.parametrize(
        ("tokens", "stream", "left", "ends"),
        [
            (1000, True, 7.0, True),
            (1000, True, 6.0, False),
            (1000, False, 0.7, True),
            (1000, False, 0.5, False),
            (1000, True, math.inf, True),
            (0, False, -1.0, False),
        ],
    )
    def test_streams_need_the_time_of_their_events(self, tokens, stream, left, ends):
        assert ends_in_time(self.rates, tokens, stream, left) is ends


class TestGracefulStop:
    @pytest.mark.parametrize("seed", range(3))
    def test_streams_that_would_outlast_the_process_are_refused_as_not_run(self, seed):
        """One was broken off 7.6 s after the signal: it had been taken long after it."""
        world = ready_world(engines=2, seed=seed)
        for each in world.endpoints.values():
            each.gap = 0.3
        for _ in range(6):
            world.finish(world.ask("front-1", "/stream/once/x"))
        front = world.fronts["front-1"]
        left_at_exit = []
        callers = SimpleNamespace(closing=False, connections=1, close_idle=lambda: 0)
        stop = GracefulStop(front, callers, 8.0, lambda: left_at_exit.append(len(front.hub.active)))
        stop.begin()
        asked = []
        while not left_at_exit:
            if len(asked) < 200:
                asked.append(world.ask("front-1", "/stream/once/x"))
            world.run(0.2)
        assert left_at_exit == [0]
        refused = [each for each in asked if each.status == 503]
        whole = [each for each in asked if each.status == 200]
        assert refused and whole and len(refused) + len(whole) == len(asked)

    def test_stream_many_times_longer_than_usual_is_not_broken_off(self):
        """A chat of 93 events shares its engines with answers of 8 and 17.

        Four seconds after the signal it was taken, since the mean of all its service's streams
        ends in time, and it was broken off 3.6 s later, when the process ended.
        """
        world = ready_world(engines=1)
        engine = world.endpoints["engine-1"]
        engine.gap = 0.03
        for _ in range(60):
            world.finish(world.ask("front-1", "/stream/once/x"))
        front = world.fronts["front-1"]
        left_at_exit = []
        callers = SimpleNamespace(closing=False, connections=1, close_idle=lambda: 0)
        stop = GracefulStop(front, callers, 8.0, lambda: left_at_exit.append(len(front.hub.active)))
        stop.begin()
        # One that runs all the while keeps the process until its end.
        engine.events = 400
        world.ask("front-1", "/stream/once/x", X_Flamingofront_Deadline_Ms="9000")
        world.run(4.0)
        engine.events = 160
        caller = world.ask("front-1", "/stream/once/x", X_Flamingofront_Deadline_Ms="9000")
        world.run_until(lambda: left_at_exit)
        assert caller.done and not caller.broken
