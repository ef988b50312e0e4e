"""Permits to send to an endpoint that takes a limited rate from all."""

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from flamingofront.decisions.rate_limits import MIN_RATE_PER_SECOND, RateClaim, RateLimiter

WINDOW_SECONDS = 4.0


def claim_of(rate, priority=1, patience=0.0, claimant="a"):
    return RateClaim("e", rate, priority, patience, claimant)


def sent(limiter, claims, part=1.0):
    """Return when the requests of some claims (time, claim) are sent, in order."""
    found = []
    for at, claim in claims:
        verdict = limiter.decide(claim, part, at)
        if verdict.is_granted:
            found.append(at + verdict.delay)
    return sorted(found)


class TestBound:
    @given(
        st.floats(0.5, 200.0),
        st.floats(0.1, 5.0),
        st.floats(0.0, 0.3),
        st.integers(0, 10_000),
    )
    def test_any_four_seconds_keep_the_limit(self, rate, press, patience, seed):
        """The endpoint bears one and a half times its rate and five requests more."""
        rng = random.Random(seed)
        now, claims = 0.0, []
        for _ in range(400):
            now += rng.expovariate(press * rate)
            priority = rng.choice((0, 1, 3))
            claims.append((now, claim_of(rate, priority, patience)))
        times = sent(RateLimiter(), claims)
        sums = (sum(at <= each < at + WINDOW_SECONDS for each in times) for at in times)
        most = max(sums, default=0)
        assert most <= 1.5 * rate * WINDOW_SECONDS + 5

    def test_new_decider_begins_with_nothing(self):
        """What the one before it let through a moment ago is not known to it."""
        assert not RateLimiter().decide(claim_of(20.0), 1.0, 100.0).is_granted

    def test_part_of_a_limit_is_kept(self):
        claims = [(0.01 * number, claim_of(20.0)) for number in range(1000)]
        assert len(sent(RateLimiter(), claims, part=0.25)) <= 0.25 * 20.0 * 10 + 2


class TestUse:
    @pytest.mark.parametrize("rate", [0.5, 1.9, 50.0])
    def test_all_of_the_rate_is_given_out(self, rate):
        claims = [(0.01 * number, claim_of(rate, patience=0.1)) for number in range(4000)]
        assert len(sent(RateLimiter(), claims)) >= 0.95 * rate * 40

    def test_pause_that_is_told_is_true(self):
        limiter = RateLimiter()
        limiter.decide(claim_of(2.0), 1.0, 0.0)
        wait = limiter.decide(claim_of(2.0), 1.0, 0.1).wait
        assert limiter.decide(claim_of(2.0), 1.0, 0.1 + wait + 1e-6).is_granted

    def test_endpoint_that_takes_none_is_tried_now_and_then(self):
        """Only an answer tells that it takes some again."""
        claims = [(0.5 * number, claim_of(0.0)) for number in range(400)]
        assert 10 <= len(sent(RateLimiter(), claims)) <= 200 * MIN_RATE_PER_SECOND + 2

    def test_urgent_requests_are_kept_a_part(self):
        limiter = RateLimiter()
        given = {0: 0, 3: 0}
        for number in range(4000):
            priority = 3 * (number % 2)
            given[priority] += limiter.decide(
                claim_of(5.0, priority), 1.0, number * 0.01
            ).is_granted
        assert given[0] > 3 * given[3]

    def test_less_urgent_requests_get_all_while_nothing_else_is_asked_for(self):
        claims = [(0.01 * number, claim_of(5.0, priority=3)) for number in range(4000)]
        assert len(sent(RateLimiter(), claims)) >= 0.95 * 5.0 * 40

    def test_many_processes_are_told_to_pause_for_longer(self):
        """300 that asked anew each 50 ms would keep the one that decides busy."""
        limiter = RateLimiter()
        waits = [
            limiter.decide(claim_of(200.0, claimant=f"p{number}"), 0.001, 0.5).wait
            for number in range(300)
        ]
        assert waits[-1] >= 1.0

    def test_permit_that_is_given_back_can_be_used(self):
        limiter = RateLimiter()
        limiter.decide(claim_of(2.0), 1.0, 0.0)
        assert limiter.decide(claim_of(2.0), 1.0, 0.5).is_granted
        limiter.return_permit("e")
        assert limiter.decide(claim_of(2.0), 1.0, 0.51).is_granted
