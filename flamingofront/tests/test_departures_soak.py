"""Soak of endpoints that leave: nothing reaches them too late, and none stays unused."""

import pytest

from flamingofront.tests.departures_soak import DeparturesSoak


class TestDeparturesSoak:
    # Seeds 3 and 12 showed requests at removed endpoints, 5 and 6 endpoints that stayed unused.
    @pytest.mark.parametrize("seed", [3, 5, 6, 12])
    def test_departures_beside_faults_of_the_store(self, seed):
        assert DeparturesSoak(seed).play(4).violations() == []

    def test_departures_in_a_deployment_with_relays(self):
        assert DeparturesSoak(1, fronts=20).play(2).violations() == []
