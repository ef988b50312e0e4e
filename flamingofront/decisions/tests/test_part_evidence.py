"""Tests of the evidence against prompt parts that crash endpoints."""

from flamingofront.decisions.part_evidence import (
    CRASHES_TO_BLAME,
    MAX_CRASHES,
    MAX_GOSSIPED_PARTS,
    MAX_HYPOTHESIS_PARTS,
    PROVEN_CRASHES_TO_BLAME,
    PartEvidence,
)
from flamingofront.decisions.part_facts import (
    InterruptedRequest,
    PartAnswer,
    PartCrash,
    parse_part_key,
    part_key,
    shared_parts,
)


class Case:
    """Evidence of one process that has seen answers, on a clock of its own."""

    def __init__(self, answers=("s",) * 8):
        self.now = 1000.0
        self.count = 0
        self.evidence = PartEvidence()
        for each in answers:
            self.evidence.record_answer((each,), self.now)
            self.now += 0.1

    def crash(self, *requests, zone=None, apart=0.3):
        """Record a crash of a new endpoint under requests with some parts, all different."""
        self.now += apart
        self.count += 1
        interrupted = tuple(
            InterruptedRequest(f"f-{self.count}-{number}", tuple(sorted(parts)))
            for number, parts in enumerate(requests)
        )
        crash = PartCrash(f"e-{self.count}", zone or f"z-{self.count % 3}", self.now, interrupted)
        return self.evidence.record_crash(crash, self.now)

    def blamed(self, known=()):
        found = self.evidence.find_hypotheses(known, self.now)
        return [set(each.parts) for each in found]


class TestPartsWithoutAnswers:
    def test_part_of_several_requests_at_enough_crashes_is_blamed(self):
        case = Case()
        for _ in range(CRASHES_TO_BLAME - 1):
            case.crash({"s", "p"})
        assert case.blamed() == []
        case.crash({"s", "p"})
        assert case.blamed() == [{"p"}]

    def test_repeats_of_one_request_blame_no_part(self):
        """Its fingerprint is quarantined in place of a part that others may hold."""
        case = Case()
        for number in range(8):
            crash = PartCrash(
                f"e-{number}", "z", case.now + number, (InterruptedRequest("f", ("p", "s")),)
            )
            case.evidence.record_crash(crash, case.now + 8)
        assert case.blamed() == []

    def test_nothing_is_blamed_before_this_process_has_seen_answers(self):
        """After a restart, parts that all requests share have not been answered either."""
        case = Case(answers=())
        for _ in range(8):
            case.crash({"s", "p"})
        assert case.blamed() == []

    def test_answer_refutes_earlier_crashes(self):
        case = Case()
        for _ in range(6):
            case.crash({"q"})
        case.evidence.merge_answer(PartAnswer("q", case.now + 0.01))
        assert case.blamed() == []

    def test_companions_are_blamed_together_until_an_answer_tells_them_apart(self):
        case = Case()
        for _ in range(4):
            case.crash({"s", "a", "p"})
        assert case.blamed() == [{"a", "p"}]
        case.evidence.record_answer(("a", "s"), case.now)
        assert case.blamed() == [{"p"}]

    def test_parts_present_only_beside_the_poison_part_are_not_blamed(self):
        case = Case()
        for number in range(6):
            case.crash({"s", "p"}, {"s", "q"} if number < 5 else {"s"})
        assert case.blamed() == [{"p"}]

    def test_two_parts_that_share_a_companion_are_blamed_and_not_the_companion(self):
        case = Case()
        for part in ("p", "r") * 4:
            case.crash({"c", part})
        assert case.blamed() == [{"c", "p"}, {"c", "r"}]

    def test_crashes_of_a_zone_at_one_moment_count_once_if_some_lack_the_part(self):
        case = Case()
        for _ in range(5):
            case.crash({"q"}, zone="z", apart=0.01)
        case.crash(zone="z", apart=0.01)
        assert case.blamed() == []

    def test_hypotheses_on_prompts_with_many_parts_are_bounded(self):
        case = Case()
        for _ in range(4):
            case.crash({f"m{each}" for each in range(200)})
        (found,) = case.blamed()
        assert len(found) == MAX_HYPOTHESIS_PARTS


class TestFewAnswers:
    """Endpoints that crash soon after each start answer hardly anybody."""

    def play(self, *requests, crashes=PROVEN_CRASHES_TO_BLAME, answers=()):
        case = Case(answers=answers)
        for number in range(crashes):
            case.crash(*(each[number % len(each)] for each in requests))
        return case.blamed()

    def test_part_that_stands_out_is_blamed_together_with_its_companion(self):
        """Without an answer nothing tells them apart."""
        requests = [{"s", "p"}], [{"s", "c"}, {"s", "d"}]
        assert self.play(*requests) == [{"s", "p"}]
        assert self.play(*requests, answers=("s",)) == [{"p"}]
        assert self.play(*requests, crashes=PROVEN_CRASHES_TO_BLAME - 1) == []

    def test_nothing_is_blamed_while_another_part_is_at_nearly_all_of_the_crashes(self):
        poison = [{"s", "p"}]
        assert self.play(poison, [{"s", "c"}]) == []
        assert self.play(poison, [{"s", "c"}] * 5 + [{"s", "d"}]) == []
        assert self.play(poison, [{"s", "c"}] * 4 + [{"s", "d"}] * 2) == [{"s", "p"}]

    def test_part_that_most_requests_hold_is_not_blamed(self):
        poison, others = [{"s", "p"}], [{"s", "c"}, {"s", "d"}]
        assert self.play(poison, poison, poison, others) == [{"s", "p"}]
        assert self.play(poison, poison, poison, poison, others) == []


class TestPartsWithAnswers:
    """A part may begin to crash endpoints with a new version of the model."""

    def crash_often(self, case, count=10):
        for _ in range(count):
            case.crash({"s", "p"})

    def test_part_without_answers_since_is_blamed_while_others_are_answered(self):
        case = Case(answers=("s", "p") * 6)
        self.crash_often(case)
        for _ in range(6):
            case.evidence.record_answer(("s",), case.now)
        assert case.blamed() == [{"p"}]

    def test_part_that_all_requests_share_is_not_blamed_without_other_answers(self):
        case = Case(answers=("s", "p") * 6)
        self.crash_often(case)
        assert case.blamed() == []

    def test_nothing_is_blamed_before_word_of_answers_can_have_arrived(self):
        case = Case(answers=("s", "p") * 6)
        for _ in range(6):
            case.crash({"p"}, apart=0.05)
            case.evidence.record_answer(("s",), case.now)
        assert case.blamed() == []


class TestGossip:
    def test_update_brings_the_same_verdict_to_another_process(self):
        case, other = Case(), Case()
        for _ in range(4):
            case.crash({"s", "p"}, apart=0.1)
        update = case.evidence.build_update(case.now)
        for each in update.crashes:
            assert other.evidence.record_crash(each, case.now)
            assert not other.evidence.record_crash(each, case.now)
        other.now = case.now
        assert other.blamed() == [{"p"}]

    def test_message_has_the_most_suspect_parts_and_is_bounded(self):
        case = Case()
        for number in range(5):
            sound = [{"s", f"x{number}{each}"} for each in range(60)]
            case.crash({"s", "p"}, *sound, apart=0.1)
        update = case.evidence.build_update(case.now)
        listed = [
            part for crash in update.crashes for each in crash.requests for part in each.parts
        ]
        assert len(listed) == MAX_GOSSIPED_PARTS
        assert listed.count("p") == 5

    def test_old_crashes_are_not_sent_and_all_are_bounded(self):
        case = Case()
        for _ in range(MAX_CRASHES + 10):
            case.crash({"q"})
        assert len(case.evidence.list_suspects()["q"]) == MAX_CRASHES
        assert case.evidence.build_update(case.now + 10.0) is None
        case.evidence.drop_expired(case.now + 10_000.0)
        assert not case.evidence and not case.evidence.list_suspects()


class TestKeys:
    def test_last_part_is_left_out_and_a_prompt_of_one_part_has_none(self):
        assert shared_parts(["b", "A", "b", "last"]) == ("a", "b")
        assert shared_parts(["last"]) == shared_parts([]) == ()

    def test_key_tells_its_parts_whatever_their_ids(self):
        parts = shared_parts(["a+b", "part/c", "", "x" * 500, "last"])
        assert parse_part_key(part_key(parts)) == frozenset(parts)
        assert len(part_key(parts)) < 120
        assert not parse_part_key("0f3c9a2b1d4e5f60")
