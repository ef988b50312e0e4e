"""Places of brittle endpoints, granted by one process for all."""

import pytest

from flamingofront.decisions.concurrency_limits import ConcurrencyClaim, ConcurrencyLimiter


def claim(places=4.0, hold=3.0, claimant="a", max_rejections=5):
    return ConcurrencyClaim("e", claimant, places, max_rejections, hold)


class TestConcurrencyLimiter:
    def grant(self, limiter, count, now, **options):
        return sum(limiter.decide(claim(**options), 0, now).is_granted for _ in range(count))

    def test_no_more_than_the_places_are_granted(self):
        limiter = ConcurrencyLimiter()
        assert self.grant(limiter, 10, 0.0) == 4
        limiter.release("e", "a", False, 0.1)
        assert self.grant(limiter, 10, 0.1) == 1

    def test_lost_release_expires_with_the_request(self):
        limiter = ConcurrencyLimiter()
        assert self.grant(limiter, 4, 0.0, hold=3.0) == 4
        assert self.grant(limiter, 4, 2.9) == 0
        assert self.grant(limiter, 4, 3.1) == 4

    def test_release_of_one_process_frees_no_place_of_another(self):
        limiter = ConcurrencyLimiter()
        assert self.grant(limiter, 4, 0.0, claimant="a") == 4
        limiter.release("e", "b", False, 0.1)
        assert self.grant(limiter, 4, 0.1, claimant="b") == 0

    def test_requests_sent_before_the_first_claim_hold_places(self):
        limiter = ConcurrencyLimiter()
        assert not limiter.decide(claim(), 4, 0.0).is_granted
        assert self.grant(limiter, 4, 2.1) == 4

    def test_rejections_stop_further_requests_within_a_second(self):
        limiter = ConcurrencyLimiter()
        self.grant(limiter, 4, 0.0)
        for _ in range(3):
            limiter.release("e", "a", True, 0.1)
        verdict = limiter.decide(claim(), 0, 0.2)
        assert not verdict.is_granted and verdict.wait == pytest.approx(0.9)

    def test_limit_shrinks_after_a_rejection_and_grows_back(self):
        limiter = ConcurrencyLimiter()
        self.grant(limiter, 4, 0.0, hold=0.5)
        limiter.release("e", "a", True, 0.1)
        assert self.grant(limiter, 8, 1.2, hold=0.5) == 3
        assert self.grant(limiter, 8, 12.0, hold=0.5) == 4

    def test_share_below_one_place_grants_one(self):
        assert self.grant(ConcurrencyLimiter(), 5, 0.0, places=0.05) == 1

    def test_endpoint_that_survives_no_rejection_gets_requests(self):
        assert self.grant(ConcurrencyLimiter(), 5, 0.0, max_rejections=0) == 4
