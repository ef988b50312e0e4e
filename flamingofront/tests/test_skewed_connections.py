"""Most new connections go to one of several entry processes, which can't serve them all."""

import pytest

from flamingofront.tests.skewed_connections import Deployment, SkewedLoad

# Of those served before, as the users allow.
MIN_SHARE = 0.75
CONTACT_SECONDS = 3.0
CALM_SECONDS = 5.0
SKEWED_SECONDS = 7.0
# The rates are tried in turn until the machine serves one without skew.
RATES = (250.0, 125.0, 62.5)
CALM_SHARE = 0.95


def find_rate(deployment) -> float:
    """Return a rate that the processes serve without skew on this machine."""
    for rate in RATES:
        load = SkewedLoad(deployment, rate)
        load.play(CALM_SECONDS, 0.0)
        if load.share(2.0, CALM_SECONDS) >= CALM_SHARE:
            return rate
    raise AssertionError(f"the machine does not serve {RATES[-1]} requests a second without skew")


@pytest.mark.alone
class TestSkewedConnections:
    @pytest.mark.parametrize("pause", [0.0, 0.8])
    def test_first_tries_are_served_while_one_process_gets_most_connections(self, tmp_path, pause):
        """That process read more than it could serve, while the others had room."""
        with Deployment(tmp_path, network=92 + int(pause > 0), pause=pause) as deployment:
            rate = find_rate(deployment)
            load = SkewedLoad(deployment, rate)
            load.play(CALM_SECONDS, SKEWED_SECONDS)
        before = load.share(2.0, CALM_SECONDS)
        start, end = CALM_SECONDS + CONTACT_SECONDS, CALM_SECONDS + SKEWED_SECONDS
        assert load.share(start, end) >= MIN_SHARE * before
        assert load.never_served(start, end) <= 0.05 * rate * (end - start)
