"""What is learned of engines: many speeds, outliers, changes, few observations."""

import random

import pytest

from flamingofront.decisions.choice import BacklogChoice, Candidate, WorkEstimate
from flamingofront.decisions.demand import LoadMeter
from flamingofront.decisions.engine_rates import EngineRates, LearnedRates, LinearFit, ServiceRates


def answers(rates, token_seconds, count, seed=1, base=0.02, noise=0.1):
    """Let rates see answers of an engine that reads at a rate."""
    rng = random.Random(seed)
    for _ in range(count):
        tokens = rng.expovariate(1 / 4000)
        rates.first_event(tokens, (base + token_seconds * tokens) * rng.gauss(1.0, noise))


class TestReading:
    @pytest.mark.parametrize("token_seconds", [2e-6, 9e-6, 2e-5, 1e-4])
    @pytest.mark.parametrize("seed", range(3))
    def test_engines_of_any_speed_are_learned_from_sixty_answers(self, token_seconds, seed):
        rates = ServiceRates()
        answers(rates, token_seconds, 60, seed)
        assert rates.estimate().token_seconds == pytest.approx(token_seconds, rel=0.25)
        assert rates.estimate().is_learned

    def test_change_shows_within_a_hundred_answers(self):
        rates = ServiceRates()
        answers(rates, 9e-6, 200)
        answers(rates, 3e-5, 100)
        assert rates.estimate().token_seconds == pytest.approx(3e-5, rel=0.25)

    def test_one_answer_in_ten_that_takes_seconds_moves_it_little(self):
        rates = ServiceRates()
        rng = random.Random(2)
        for number in range(200):
            answers(rates, 9e-6, 1, number)
            if number % 10 == 0:
                rates.first_event(rng.expovariate(1 / 4000), 5.0)
        assert 0.5e-5 < rates.estimate().token_seconds < 2e-5
        assert rates.estimate().base_seconds < 0.1

    def test_prior_holds_until_there_are_answers(self):
        rates = ServiceRates()
        assert not rates.estimate().is_learned
        assert rates.estimate().token_seconds == pytest.approx(EngineRates().token_seconds)

    def test_answers_of_one_size_leave_the_estimate_positive(self):
        rates = ServiceRates()
        for _ in range(300):
            rates.first_event(1000.0, 0.05)
        assert rates.estimate().token_seconds > 0
        assert rates.estimate().first_event(1000.0) == pytest.approx(0.05, rel=0.05)

    def test_falling_line_is_bounded(self):
        fit = LinearFit(0.02, 1e-5, 3000.0)
        for number in range(100):
            fit.observe(100.0 * number, max(0.0, 1.0 - 0.01 * number))
        assert fit.slope > 0 and fit.offset >= 0


class TestPauses:
    def test_stall_counts_as_a_few_usual_pauses(self):
        rates = ServiceRates()
        for _ in range(200):
            rates.pause(0.02)
        rates.pause(30.0)
        assert rates.estimate().pause_seconds < 0.025


class TestPlacement:
    """The same choice, by what the engines can do."""

    near = Candidate("near", "zone-a", "", backlog_tokens=2000)
    far = Candidate("far", "zone-b", "")

    def choose(self, token_seconds):
        rates = EngineRates(token_seconds=token_seconds)
        work = WorkEstimate(1000, zone="zone-a", rates=rates)
        return BacklogChoice().choose([self.near, self.far], work, random.Random(1)).endpoint_id

    def test_queue_of_fast_engines_weighs_less_than_the_way(self):
        assert self.choose(1e-6) == "near"
        assert self.choose(2e-5) == "far"


class TestWork:
    def test_means_tell_the_busy_endpoints(self):
        meter, now = LoadMeter(), 0.0
        for _ in range(400):
            meter.add("engines", 0.15, now)
            now += 0.1
        work = meter.work(now)["engines"]
        assert work.fast == pytest.approx(1.5, rel=0.1)
        assert work.slow == pytest.approx(1.5, rel=0.1)

    def test_slow_mean_tells_the_work_after_three_seconds(self):
        meter = LoadMeter()
        for number in range(30):
            meter.add("engines", 0.15, number * 0.1)
        assert meter.work(3.0)["engines"].slow == pytest.approx(1.5, rel=0.15)

    def test_burst_shows_in_the_fast_mean_first_and_is_forgotten(self):
        meter = LoadMeter()
        for number in range(300):
            meter.add("engines", 0.1, number * 0.1)
        for number in range(10):
            meter.add("engines", 0.5, 30.0 + number * 0.1)
        burst = meter.work(31.0)["engines"]
        assert burst.fast > 2.0 > burst.slow > 1.0
        assert meter.work(50.0)["engines"].fast < 0.01

    def test_first_request_is_no_flood(self):
        meter = LoadMeter()
        meter.add("engines", 0.1, 5.0)
        assert meter.work(5.0)["engines"].fast <= 0.1

    def test_work_counts_what_is_to_be_read(self):
        rates = LearnedRates().of("engines").now()
        assert rates.work(10_000) > 5 * rates.work(1000)
