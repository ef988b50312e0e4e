"""Tests of the estimated engine rates and of the offered load."""

import random

import pytest

from flamingofront.decisions.choice import BacklogChoice, Candidate, WorkEstimate
from flamingofront.decisions.demand import LoadMeter
from flamingofront.decisions.engine_rates import EngineRates, LearnedRates, LinearFit, ServiceRates


def observe_responses(rates, token_seconds, count, seed=1, base=0.02, noise=0.1):
    """Record first events of an engine with a prefill rate."""
    rng = random.Random(seed)
    for _ in range(count):
        tokens = rng.expovariate(1 / 4000)
        rates.record_first_event(tokens, (base + token_seconds * tokens) * rng.gauss(1.0, noise))


class TestPrefillRate:
    @pytest.mark.parametrize("token_seconds", [2e-6, 9e-6, 2e-5, 1e-4])
    @pytest.mark.parametrize("seed", range(3))
    def test_any_prefill_rate_is_learned_from_sixty_responses(self, token_seconds, seed):
        rates = ServiceRates()
        observe_responses(rates, token_seconds, 60, seed)
        assert rates.estimate().token_seconds == pytest.approx(token_seconds, rel=0.25)
        assert rates.estimate().is_learned

    def test_change_is_learned_within_hundred_responses(self):
        rates = ServiceRates()
        observe_responses(rates, 9e-6, 200)
        observe_responses(rates, 3e-5, 100)
        assert rates.estimate().token_seconds == pytest.approx(3e-5, rel=0.25)

    def test_slow_outliers_have_little_influence(self):
        rates = ServiceRates()
        rng = random.Random(2)
        for number in range(200):
            observe_responses(rates, 9e-6, 1, number)
            if number % 10 == 0:
                rates.record_first_event(rng.expovariate(1 / 4000), 5.0)
        assert 0.5e-5 < rates.estimate().token_seconds < 2e-5
        assert rates.estimate().base_seconds < 0.1

    def test_prior_is_used_without_observations(self):
        rates = ServiceRates()
        assert not rates.estimate().is_learned
        assert rates.estimate().token_seconds == pytest.approx(EngineRates().token_seconds)

    def test_estimate_stays_positive_for_prompts_of_one_size(self):
        rates = ServiceRates()
        for _ in range(300):
            rates.record_first_event(1000.0, 0.05)
        assert rates.estimate().token_seconds > 0
        assert rates.estimate().first_event_seconds(1000.0) == pytest.approx(0.05, rel=0.05)

    def test_negative_slope_is_clipped(self):
        fit = LinearFit(0.02, 1e-5, 3000.0)
        for number in range(100):
            fit.observe(100.0 * number, max(0.0, 1.0 - 0.01 * number))
        assert fit.slope > 0 and fit.offset >= 0


class TestPauses:
    def test_stall_is_clipped_to_a_few_pauses(self):
        rates = ServiceRates()
        for _ in range(200):
            rates.record_pause(0.02)
        rates.record_pause(30.0)
        assert rates.estimate().pause_seconds < 0.025


class TestPlacement:
    """The choice between the same two endpoints depends on the rates of the engines."""

    near = Candidate("near", "zone-a", "", backlog_tokens=2000)
    far = Candidate("far", "zone-b", "")

    def choose(self, token_seconds):
        rates = EngineRates(token_seconds=token_seconds)
        work = WorkEstimate(1000, zone="zone-a", rates=rates)
        return BacklogChoice().choose([self.near, self.far], work, random.Random(1)).endpoint_id

    def test_backlog_outweighs_remote_zone_only_if_engine_is_slow(self):
        assert self.choose(1e-6) == "near"
        assert self.choose(2e-5) == "far"


class TestOfferedLoad:
    def test_both_averages_match_offered_load(self):
        meter, now = LoadMeter(), 0.0
        for _ in range(400):
            meter.add("engines", 0.15, now)
            now += 0.1
        work = meter.get_loads(now)["engines"]
        assert work.fast == pytest.approx(1.5, rel=0.1)
        assert work.slow == pytest.approx(1.5, rel=0.1)

    def test_slow_average_is_unbiased_after_three_seconds(self):
        meter = LoadMeter()
        for number in range(30):
            meter.add("engines", 0.15, number * 0.1)
        assert meter.get_loads(3.0)["engines"].slow == pytest.approx(1.5, rel=0.15)

    def test_fast_average_follows_burst_and_decays(self):
        meter = LoadMeter()
        for number in range(300):
            meter.add("engines", 0.1, number * 0.1)
        for number in range(10):
            meter.add("engines", 0.5, 30.0 + number * 0.1)
        burst = meter.get_loads(31.0)["engines"]
        assert burst.fast > 2.0 > burst.slow > 1.0
        assert meter.get_loads(50.0)["engines"].fast < 0.01

    def test_first_request_is_not_counted_as_burst(self):
        meter = LoadMeter()
        meter.add("engines", 0.1, 5.0)
        assert meter.get_loads(5.0)["engines"].fast <= 0.1

    def test_work_grows_with_prompt_tokens(self):
        rates = LearnedRates().for_service("engines").estimate()
        assert rates.endpoint_seconds(10_000) > 5 * rates.endpoint_seconds(1000)
