"""Tests of permits for endpoints with a rate limit over all processes."""

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from flamingofront.decisions.rate_limits import MIN_RATE_PER_SECOND, RateClaim, RateLimiter

WINDOW_SECONDS = 4.0


def make_claim(rate, priority=1, patience=0.0, claimant="a"):
    return RateClaim("e", rate, priority, patience, claimant)


def compute_send_times(limiter, claims, share=1.0):
    """Return the sorted send times of claims, which are pairs of time and claim."""
    found = []
    for at, claim in claims:
        verdict = limiter.decide(claim, share, at)
        if verdict.is_granted:
            found.append(at + verdict.delay)
    return sorted(found)


class TestLimit:
    @given(
        st.floats(0.5, 200.0),
        st.floats(0.1, 5.0),
        st.floats(0.0, 0.3),
        st.integers(0, 10_000),
    )
    def test_limit_holds_in_any_four_seconds(self, rate, load_factor, patience, seed):
        """The endpoint tolerates 1.5 times its rate plus five requests."""
        rng = random.Random(seed)
        now, claims = 0.0, []
        for _ in range(400):
            now += rng.expovariate(load_factor * rate)
            priority = rng.choice((0, 1, 3))
            claims.append((now, make_claim(rate, priority, patience)))
        times = compute_send_times(RateLimiter(), claims)
        sums = (sum(at <= each < at + WINDOW_SECONDS for each in times) for at in times)
        max_sent = max(sums, default=0)
        assert max_sent <= 1.5 * rate * WINDOW_SECONDS + 5

    def test_new_arbiter_starts_with_empty_bucket(self):
        """Permits that the previous arbiter granted a moment ago are unknown to it."""
        assert not RateLimiter().decide(make_claim(20.0), 1.0, 100.0).is_granted

    def test_share_of_limit_holds(self):
        claims = [(0.01 * number, make_claim(20.0)) for number in range(1000)]
        assert len(compute_send_times(RateLimiter(), claims, share=0.25)) <= 0.25 * 20.0 * 10 + 2


class TestGrants:
    @pytest.mark.parametrize("rate", [0.5, 1.9, 50.0])
    def test_full_rate_is_granted(self, rate):
        claims = [(0.01 * number, make_claim(rate, patience=0.1)) for number in range(4000)]
        assert len(compute_send_times(RateLimiter(), claims)) >= 0.95 * rate * 40

    def test_returned_wait_is_accurate(self):
        limiter = RateLimiter()
        limiter.decide(make_claim(2.0), 1.0, 0.0)
        wait = limiter.decide(make_claim(2.0), 1.0, 0.1).wait
        assert limiter.decide(make_claim(2.0), 1.0, 0.1 + wait + 1e-6).is_granted

    def test_endpoint_with_zero_rate_is_probed(self):
        """Only a response shows that the endpoint accepts requests again."""
        claims = [(0.5 * number, make_claim(0.0)) for number in range(400)]
        assert 10 <= len(compute_send_times(RateLimiter(), claims)) <= 200 * MIN_RATE_PER_SECOND + 2

    def test_tokens_are_reserved_for_urgent_requests(self):
        limiter = RateLimiter()
        granted = {0: 0, 3: 0}
        for number in range(4000):
            priority = 3 * (number % 2)
            granted[priority] += limiter.decide(
                make_claim(5.0, priority), 1.0, number * 0.01
            ).is_granted
        assert granted[0] > 3 * granted[3]

    def test_less_urgent_requests_get_full_rate_without_urgent_ones(self):
        claims = [(0.01 * number, make_claim(5.0, priority=3)) for number in range(4000)]
        assert len(compute_send_times(RateLimiter(), claims)) >= 0.95 * 5.0 * 40

    def test_wait_grows_with_number_of_claimants(self):
        """Claims of 300 processes every 50 ms would overload the arbiter."""
        limiter = RateLimiter()
        waits = [
            limiter.decide(make_claim(200.0, claimant=f"p{number}"), 0.001, 0.5).wait
            for number in range(300)
        ]
        assert waits[-1] >= 1.0

    def test_returned_permit_can_be_granted_again(self):
        limiter = RateLimiter()
        limiter.decide(make_claim(2.0), 1.0, 0.0)
        assert limiter.decide(make_claim(2.0), 1.0, 0.5).is_granted
        limiter.return_permit("e")
        assert limiter.decide(make_claim(2.0), 1.0, 0.51).is_granted
