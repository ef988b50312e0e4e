"""Random faults of paths, processes and endpoints at once; seeds by hand: see `paths_soak`."""

import pytest

from flamingofront.tests.paths_soak import PathsSoak
from flamingofront.tests.paths_world import ACCEPTING_FAULTS, CONNECT_FAULTS


class TestPathsSoak:
    @pytest.mark.parametrize("seed", range(1, 7))
    def test_each_request_is_answered_once_and_truly(self, seed):
        # Lost, refused and silent paths in series, overlapping with kills, pauses and cuts.
        soak = PathsSoak(seed).play(20.0)
        statuses = {each.status for each in soak.serve_calmly()}
        assert soak.violations() == []
        assert statuses == {200}

    @pytest.mark.parametrize("seed", [101, 102])
    def test_connections_that_are_established_and_lead_nowhere(self, seed):
        # Forwarders that reach no endpoint, beside lost, refused and silent paths.
        soak = PathsSoak(seed, [*ACCEPTING_FAULTS, *CONNECT_FAULTS[:2]]).play(20.0)
        statuses = {each.status for each in soak.serve_calmly()}
        assert soak.violations() == []
        assert statuses == {200}
