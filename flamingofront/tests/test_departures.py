"""Endpoints whose row was removed: how soon each process knows, whatever happened before."""

import pytest

from flamingofront.tests.departures_world import DRAIN_SECONDS, DeparturesWorld

# The users' target: half of the time that they allow.
TARGET_SECONDS = DRAIN_SECONDS / 2
PROCESSES = (5, 24)


class TestLostAnswers:
    """Answers of the store were lost on open connections, some seconds before endpoints left."""

    @pytest.mark.parametrize("processes", PROCESSES)
    @pytest.mark.parametrize("seconds_before", [3.05, 3.3])
    def test_removal_is_known_in_time_after_all_change_feeds_died(self, processes, seconds_before):
        """Guards against feeds that are dead until their timeout, and against a grace after it."""
        world = DeparturesWorld(processes, processes)
        world.lose_one_answer()
        world.watch(seconds_before)
        world.leave("plain-1")
        world.leave("plain-2", "draining")
        world.watch(6.0)
        assert world.slowest() <= TARGET_SECONDS

    @pytest.mark.parametrize("processes", PROCESSES)
    def test_requests_do_not_reach_endpoints_that_were_removed(self, processes):
        world = DeparturesWorld(seed=3, fronts=processes)
        for _ in range(3):
            world.lose_one_answer()
            world.watch(3.3)
            world.leave(world.serving()[1])
            for _ in range(30):
                world.ask(world.rng.choice(list(world.fronts)), "/read/x", "GET")
                world.watch(0.1)
        assert world.late_arrivals == []

    @pytest.mark.parametrize("processes", PROCESSES)
    def test_removal_is_known_in_time_after_open_connections_went_silent(self, processes):
        """Guards against dead feeds that no change reveals: nothing was lost but the connection."""
        for seed in range(1, 5):
            world = DeparturesWorld(seed, processes)
            world.lose_answers(0.1)
            world.watch(3.1)
            world.leave("plain-1")
            world.leave("plain-2", "draining")
            world.watch(6.0)
            assert world.slowest() <= TARGET_SECONDS
