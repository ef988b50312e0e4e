"""Tests of the choice of the peer that serves connections which are handed over."""

import random
from collections import Counter

import pytest

from flamingofront.decisions.accept_control import MAX_DELAY_SECONDS
from flamingofront.decisions.splice_choice import AVOID_SECONDS, MAX_UNANSWERED, SplicePeers

SHORT = MAX_DELAY_SECONDS / 10
OWN = 4 * MAX_DELAY_SECONDS
DELAYS = {"10.0.0.1": SHORT, "10.0.0.2": SHORT, "10.0.0.3": SHORT}


@pytest.fixture
def peers():
    return SplicePeers(random.Random(1))


class TestSplicePeers:
    def test_burst_is_spread_and_ends_at_the_bound_of_each_peer(self, peers):
        # All connections of a burst went to peers which then had no time for their own callers.
        unanswered = Counter()
        for _ in range(MAX_UNANSWERED * len(DELAYS)):
            unanswered[peers.choose(0.0, OWN, DELAYS, unanswered)] += 1
        assert set(unanswered.values()) == {MAX_UNANSWERED}
        assert peers.choose(0.0, OWN, DELAYS, unanswered) is None

    @pytest.mark.parametrize("delay", [MAX_DELAY_SECONDS, OWN / 2])
    def test_peer_that_is_busy_itself_gets_none(self, peers, delay):
        assert peers.choose(0.0, OWN, {"10.0.0.1": delay}, {}) is None

    def test_process_that_is_not_slower_than_its_peers_keeps_its_connections(self, peers):
        assert peers.choose(0.0, SHORT, DELAYS, {}) is None

    def test_peer_that_accepted_no_connection_is_left_for_a_while(self, peers):
        delays = {"10.0.0.1": SHORT}
        peers.record_failure(5.0, "10.0.0.1")
        assert peers.choose(5.0 + AVOID_SECONDS / 2, OWN, delays, {}) is None
        assert peers.choose(5.0 + AVOID_SECONDS, OWN, delays, {}) == "10.0.0.1"

    def test_nobody_to_choose(self, peers):
        assert peers.choose(0.0, OWN, {}, {}) is None
