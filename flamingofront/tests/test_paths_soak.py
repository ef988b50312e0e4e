"""Random faults of paths, processes and endpoints at once; seeds by hand: see `paths_soak`."""

import pytest

from flamingofront.tests.paths_soak import PathsSoak


class TestPathsSoak:
    @pytest.mark.parametrize("seed", range(1, 7))
    def test_each_request_is_answered_once_and_truly(self, seed):
        # Lost, refused and silent paths in series, overlapping with kills, pauses and cuts.
        soak = PathsSoak(seed).play(20.0)
        statuses = {each.status for each in soak.serve_calmly()}
        assert soak.violations() == []
        assert statuses == {200}
