"""Most new connections go to one of several entry processes, which can't serve them all."""

import pytest

from flamingofront.tests.skewed_connections import Deployment, SkewedLoad

# Of those served before, as the users allow.
MIN_SHARE = 0.75
CONTACT_SECONDS = 3.0
CALM_SECONDS = 5.0
SKEWED_SECONDS = 7.0


class TestSkewedConnections:
    @pytest.mark.parametrize("pause", [0.0, 0.8])
    def test_first_tries_are_served_while_one_process_gets_most_connections(self, tmp_path, pause):
        """That process read more than it could serve, while the others had room."""
        with Deployment(tmp_path, network=92 + int(pause > 0), pause=pause) as deployment:
            load = SkewedLoad(deployment, rate=250.0)
            load.play(CALM_SECONDS, SKEWED_SECONDS)
        before = load.share(2.0, CALM_SECONDS)
        start, end = CALM_SECONDS + CONTACT_SECONDS, CALM_SECONDS + SKEWED_SECONDS
        assert load.share(start, end) >= MIN_SHARE * before
        assert load.never_served(start, end) <= 0.05 * 250.0 * (end - start)
