"""Tests of what tells common prompt parts from poison parts before whole answers."""

import pytest

from flamingofront.decisions.part_evidence import MAX_CHANCE, MIN_COMMON_ANSWERS, PartEvidence
from flamingofront.decisions.part_exposure import (
    MAX_PARTS_WITH_SURVIVORS,
    SURVIVOR_LIFETIME_SECONDS,
    PartExposure,
    compute_chance,
)
from flamingofront.decisions.part_facts import (
    InterruptedRequest,
    PartAnswer,
    PartCrash,
    PartSurvivor,
    PartTimes,
)


class Case:
    """Evidence of one process before twenty endpoints, on a clock of its own."""

    def __init__(self):
        self.now = 1000.0
        self.count = 0
        self.evidence = PartEvidence()
        self.evidence.endpoint_count = lambda: 20
        for _ in range(8):
            self.evidence.record_answer(("s",), self.now)

    def crash(self, *requests, seconds=0.1, apart=0.5, **options):
        """Record a crash of a new endpoint under requests with some parts, all different."""
        self.now += apart
        self.count += 1
        interrupted = tuple(
            InterruptedRequest(
                f"f-{self.count}-{number}",
                tuple(parts),
                seconds=seconds,
                active_seconds=seconds,
                **options,
            )
            for number, parts in enumerate(requests)
        )
        crash = PartCrash(f"e-{self.count}", f"z-{self.count % 4}", self.now, interrupted)
        self.evidence.record_crash(crash, self.now)

    def survive(self, part, *endpoints, seconds):
        """Record requests with a part that go on."""
        found = [PartSurvivor(part, each, seconds, self.now) for each in endpoints]
        return self.evidence.exposure.record_survivors(found)

    def blamed(self):
        return [set(each.parts) for each in self.evidence.find_hypotheses((), self.now)]


class TestChance:
    def test_probability_of_many_crashes_where_few_are_expected(self):
        assert compute_chance(1, 0.01) == pytest.approx(0.00995, rel=1e-3)
        assert compute_chance(4, 1.0) == pytest.approx(0.01899, rel=1e-3)
        assert compute_chance(4, 100.0) <= 1.0

    def test_long_streams_among_random_crashes_are_not_blamed(self):
        """A rare part was at four of many crashes, since its requests take so long."""
        case = Case()
        for number in range(40):
            case.crash({"s", "r"} if number % 10 == 0 else {"s", f"x{number}"}, seconds=5.0)
        assert case.blamed() == []

    def test_short_requests_that_end_in_crashes_are_blamed_beside_random_ones(self):
        case = Case()
        for number in range(16):
            is_poison = number % 3 == 0
            case.crash(
                {"s", "p"} if is_poison else {"s", f"x{number}"}, seconds=0.1 if is_poison else 5.0
            )
        assert case.blamed() == [{"p"}]

    def test_simultaneous_crashes_in_several_zones_have_one_cause(self):
        case = Case()
        for _ in range(6):
            case.crash({"s", "q"}, apart=0.001)
        assert case.blamed() == []
        assert compute_chance(1, 0.001) > MAX_CHANCE

    def test_quick_succession_of_crashes_is_not_one_cause(self):
        """Guards against a hundred poison requests a second that are never found out."""
        case = Case()
        for _ in range(30):
            case.crash({"s", "q"}, apart=0.01)
        assert case.blamed() == [{"q"}]


class TestAnswersThatBegin:
    """A first event is no answer: an endpoint may crash after it."""

    def test_requests_with_events_count_at_crashes(self):
        case = Case()
        for _ in range(4):
            case.crash({"s", "p"}, is_answered=True)
        assert case.blamed() == [{"p"}]

    def test_whole_answer_refutes_earlier_crashes(self):
        case = Case()
        for _ in range(4):
            case.crash({"s", "p"})
        case.evidence.merge_answer(PartAnswer("p", case.now + 0.1))
        assert case.blamed() == []


class TestSurvivors:
    def test_part_that_goes_on_elsewhere_for_longer_is_not_blamed(self):
        case = Case()
        for _ in range(5):
            case.crash({"s", "q"}, seconds=1.0)
        assert case.survive("q", "live-1", "live-2", seconds=4.0)
        assert case.blamed() == []

    @pytest.mark.parametrize(
        "endpoints, seconds",
        [(("live-1",), 4.0), (("live-1", "live-2"), 3.0), (("e-4", "e-5"), 4.0)],
    )
    def test_few_short_or_crashed_survivors_do_not_count(self, endpoints, seconds):
        case = Case()
        for _ in range(5):
            case.crash({"s", "q"}, seconds=1.0)
        case.survive("q", *endpoints, seconds=seconds)
        assert case.blamed() == [{"q"}]

    def test_streams_that_random_crashes_interrupt_at_any_age_are_not_blamed(self):
        """All endpoints have requests with the part, and few crashes come without it."""
        case = Case()
        for seconds in (1.0, 7.5, 2.0, 9.0, 0.5, 5.0):
            case.crash({"s", "q"}, seconds=seconds)
        assert case.blamed() == []

    def test_silence_before_a_crash_is_found_is_no_survival(self):
        case = Case()
        for seconds in (0.5, 3.0, 0.6, 3.6):
            case.now += 0.5
            case.count += 1
            request = InterruptedRequest(f"f-{case.count}", ("p", "s"), seconds=seconds)
            crash = PartCrash(f"e-{case.count}", f"z-{case.count}", case.now, (request,))
            case.evidence.record_crash(crash, case.now)
        assert case.blamed() == [{"p"}]

    def test_survivors_are_forgotten(self):
        case = Case()
        for _ in range(5):
            case.crash({"s", "q"}, seconds=1.0)
        case.survive("q", "live-1", "live-2", seconds=4.0)
        case.now += SURVIVOR_LIFETIME_SECONDS + 0.1
        assert case.blamed() == [{"q"}]
        assert case.evidence.exposure.list_survivors(case.now) == []

    def test_missing_answers_outweigh_survivors(self):
        """Poison requests that run for long before each crash."""
        case = Case()
        exposure = case.evidence.exposure
        for number in range(40):
            exposure.record_request({"s", "p"} if number % 2 else {"s"})
        for _ in range(8):
            case.crash({"s", "p"}, seconds=1.0)
        case.survive("p", "live-1", "live-2", seconds=4.0)
        assert case.blamed() == []
        for _ in range(10):
            case.evidence.record_answer(("s",), case.now)
        assert case.blamed() == [{"p"}]

    def test_number_of_parts_is_bounded(self):
        exposure = PartExposure()
        for number in range(MAX_PARTS_WITH_SURVIVORS + 10):
            exposure.record_survivors([PartSurvivor(f"x{number}", "e", 1.0, 5.0)])
        assert len(exposure.list_survivors(5.0)) == MAX_PARTS_WITH_SURVIVORS


class TestTimes:
    def test_times_and_survivors_reach_another_process(self):
        case, other = Case(), Case()
        for _ in range(4):
            case.crash({"s", "q"}, seconds=2.0)
        case.survive("q", "live-1", "live-2", seconds=9.0)
        update = case.evidence.build_update(case.now)
        times = case.evidence.build_times(update, case.now)
        for each in update.crashes:
            other.evidence.record_crash(each, case.now)
        other.now = case.now
        assert other.blamed() == [{"q"}]
        assert other.evidence.merge_times(times)
        assert other.blamed() == []
        assert not other.evidence.merge_times(PartTimes())


class TestFreshProcesses:
    """They have seen no answers, and common parts were at most crashes."""

    def crash_without_answers(self, with_rows):
        case = Case()
        case.evidence = PartEvidence()
        case.evidence.endpoint_count = lambda: 20
        if with_rows:
            case.evidence.load_answers({"s": 900.0, "c": 900.0})
        for number in range(20):
            case.evidence.exposure.record_request({"s", "c" if number % 3 else "p"})
        for _ in range(5):
            case.crash({"s", "p"}, {"s", "c"})
        return case

    def test_part_that_was_not_common_before_is_blamed(self):
        assert self.crash_without_answers(True).blamed() == [{"p"}]

    def test_nothing_is_blamed_without_word_of_common_parts(self):
        assert self.crash_without_answers(False).blamed() == []

    def test_only_parts_of_many_requests_with_several_answers_are_common(self):
        """Guards against a row that is written for each session."""
        case = Case()
        for number in range(100):
            parts = {"s", "c", f"x{number}"} | ({"r"} if number < 4 else set())
            case.evidence.exposure.record_request(parts)
        for number in range(MIN_COMMON_ANSWERS):
            case.evidence.record_answer(("c", "r", f"x{number}"), case.now)
        assert set(case.evidence.list_common_answers(9)) == {"s", "c"}
        assert set(case.evidence.list_common_answers(1)) == {"s"}
