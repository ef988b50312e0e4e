"""Who is suspected of crashing endpoints, who is held back, and how both are cleared."""

import random

import pytest

from flamingofront.decisions.quarantine import (
    ENDS_IN_ANY_CASE,
    ENDS_TO_HOLD,
    MAX_ENDS,
    MAX_ENTRIES,
    MAX_SUSPECTS,
    MAX_TOLD_REQUESTS,
    SETTLED_SECONDS,
    Quarantine,
)
from flamingofront.decisions.quarantine_facts import (
    ENTRY_LIFETIME_SECONDS,
    EVIDENCE_LIFETIME_SECONDS,
    TRIAL_SECONDS,
    EndpointCrash,
    QuarantineEntry,
    QuarantineStatus,
    Release,
)

LATER = 100.0


class Case:
    """A quarantine that is told of ends, one a second, each of another zone."""

    def __init__(self):
        self.quarantine = Quarantine()
        self.now = 1000.0
        self.count = 0

    def end(self, *requests, zone=None, endpoint=None, after=1.0):
        self.now += after
        self.count += 1
        name = endpoint or f"e-{self.count}"
        end = EndpointCrash(name, zone or f"zone-{self.count}", self.now, requests)
        self.quarantine.record_crash(end, self.now)
        return end

    def judge(self, after=0.0):
        self.now += after
        return [each.fingerprint for each in self.quarantine.evaluate(self.now)]

    def standing(self, request):
        return self.quarantine.get_status(request, self.now)


class TestHolding:
    def test_one_end_proves_nothing(self):
        case = Case()
        case.end("bad")
        assert case.judge(LATER) == []
        assert case.standing("bad") is QuarantineStatus.SUSPECTED

    def test_three_ends_are_enough_at_once(self):
        case = Case()
        for _ in range(ENDS_TO_HOLD):
            case.end("bad", f"beside-{case.count}", "often beside")
            if case.count == 1:
                assert case.judge() == []
        assert set(case.judge()) == {"bad", "often beside"}

    def test_two_ends_are_enough_where_nothing_else_was_at_both(self):
        case = Case()
        case.end("bad", "beside")
        case.end("bad", "another")
        assert case.judge() == []
        assert case.judge(SETTLED_SECONDS) == ["bad"]
        assert case.standing("bad") is QuarantineStatus.QUARANTINED

    def test_two_ends_are_not_where_something_else_was_at_both(self):
        case = Case()
        case.end("bad", "beside")
        case.end("bad", "beside")
        assert case.judge(LATER) == []

    def test_two_ends_are_not_where_what_was_there_is_known_in_part(self):
        case = Case()
        case.end("bad")
        end = EndpointCrash("e-x", "zone-x", case.now + 1, ("bad",), omitted=1)
        case.quarantine.record_crash(end, case.now + 1)
        assert case.judge(LATER) == []

    def test_an_end_that_several_processes_tell_counts_once(self):
        case = Case()
        for offset in (0.0, 0.4, -0.3):
            end = EndpointCrash("e-1", "zone-1", case.now + offset, ("bad",))
            case.quarantine.record_crash(end, case.now + 1)
        assert len(case.quarantine.get_crashes("bad")) == 1

    def test_endpoint_that_started_again_under_its_id_counts_again(self):
        case = Case()
        for _ in range(ENDS_TO_HOLD):
            case.end("bad", endpoint="e-same", zone="zone-1", after=5.0)
        assert case.judge() == ["bad"]


class TestOthers:
    def test_what_ran_beside_it_is_cleared_once_it_is_held(self):
        case = Case()
        case.end("bad", "beside")
        case.end("bad", "beside")
        case.end("bad")
        assert case.judge() == ["bad"]
        assert case.standing("beside") is QuarantineStatus.CLEAR

    def test_worst_goes_first_and_clears_one_that_has_enough_ends_too(self):
        case = Case()
        for _ in range(ENDS_TO_HOLD):
            case.end("bad", "beside")
        case.end("bad")
        assert case.judge() == ["bad"]
        assert case.standing("beside") is QuarantineStatus.CLEAR

    def test_ends_of_a_zone_at_one_moment_count_once_if_others_were_not_under_it(self):
        case = Case()
        for number in range(4):
            requests = ("common",) if number else ("other",)
            case.end(*requests, zone="zone-a", after=0.01)
        assert case.judge(LATER) == []
        assert case.standing("common") is QuarantineStatus.SUSPECTED

    def test_ends_of_a_zone_at_one_moment_count_each_if_all_were_under_it(self):
        case = Case()
        for _ in range(ENDS_TO_HOLD):
            case.end("bad", f"beside-{case.count}", zone="zone-a", after=0.01)
        assert case.judge() == ["bad"]

    def test_zones_lost_one_after_another_count_each_loss_once(self):
        case = Case()
        for zone in ("zone-a", "zone-b"):
            for number in range(5):
                case.end(*(("common",) if number < 3 else ("other",)), zone=zone, after=0.01)
            case.now += 10.0
        case.end("third")
        assert case.standing("common") is QuarantineStatus.SUSPECTED
        assert "common" not in case.judge()

    def test_request_that_is_held_first_does_not_hide_another_one(self):
        case = Case()
        for _ in range(3):
            case.end("bad", "worse")
        case.end("worse")
        assert case.judge() == ["worse"]
        case.end("bad")
        assert case.judge() == ["bad"]


class TestClearing:
    def test_answer_clears_a_suspect(self):
        case = Case()
        case.end("fine")
        case.end("fine", "beside")
        assert case.quarantine.clear_request("fine", case.now)
        assert case.standing("fine") is QuarantineStatus.CLEAR
        case.end("fine")
        assert case.judge(LATER) == []

    def test_answer_lifts_a_hold_and_late_word_of_old_ends_does_not_bring_it_back(self):
        case = Case()
        ends = [case.end("fine") for _ in range(ENDS_TO_HOLD)]
        case.judge()
        case.quarantine.clear_request("fine", case.now + 1)
        for each in ends:
            case.quarantine.record_crash(each, case.now + 2)
        assert case.judge(LATER) == []
        assert case.standing("fine") is QuarantineStatus.CLEAR

    def test_answer_told_by_another_process_clears_but_not_of_later_ends(self):
        here, there = Case(), Case()
        end = here.end("fine")
        there.quarantine.record_crash(end, here.now)
        there.quarantine.clear_request("fine", here.now + 0.1)
        word = there.quarantine.build_update(here.now + 0.2)
        assert here.quarantine.merge_update(word, here.now + 0.2)
        assert here.standing("fine") is QuarantineStatus.CLEAR
        here.end("fine")
        assert not here.quarantine.merge_update(word, here.now)
        assert here.standing("fine") is QuarantineStatus.SUSPECTED

    def test_old_word_of_an_answer_does_not_lift_a_later_hold(self):
        quarantine = Quarantine()
        quarantine.merge_entry(QuarantineEntry("bad", ("e-1", "e-2", "e-3"), 100.0), 101.0)
        assert not quarantine.merge_release(Release("bad", 99.0))
        assert quarantine.get_entry("bad")
        assert quarantine.merge_release(Release("bad", 101.0))

    def test_suspicion_is_dropped_after_a_while(self):
        case = Case()
        case.end("fine")
        case.quarantine.drop_expired(case.now + EVIDENCE_LIFETIME_SECONDS + 1)
        assert case.standing("fine") is QuarantineStatus.CLEAR and not case.quarantine

    def test_three_trials_and_then_none_until_it_is_forgotten(self):
        hold = QuarantineEntry("bad", ("e-1",), 0.0, next_trial=TRIAL_SECONDS[0])
        now, trials = 0.0, 0
        quarantine = Quarantine()
        quarantine.merge_entry(hold, now)
        while now < ENTRY_LIFETIME_SECONDS - 60:
            now += 10.0
            if quarantine.get_status("bad", now) is QuarantineStatus.TRIAL_DUE:
                trials += 1
                quarantine.merge_entry(quarantine.get_entry("bad").with_claimed_trial(now), now)
        assert trials == len(TRIAL_SECONDS)
        assert quarantine.drop_expired(ENTRY_LIFETIME_SECONDS + 1) == ("bad",)
        assert quarantine.get_status("bad", now) is QuarantineStatus.CLEAR


class TestUnseenEnds:
    """A process that is killed takes with it what it ran: ends about then may belong to any."""

    def held(self, case, restarts):
        (hold,) = case.quarantine.evaluate(case.now, restarts)
        return hold

    @pytest.mark.parametrize(("unseen", "trials"), [(0, 0), (1, 1), (2, 2), (3, 3), (9, 3)])
    def test_each_unseen_end_near_a_restart_takes_a_trial(self, unseen, trials):
        case = Case()
        restart = case.now
        for number in range(unseen):
            case.quarantine.add_unobserved_crash(f"unseen-{number}", case.now + 3.0)
        for _ in range(3):
            case.end("bad")
        hold = self.held(case, [restart])
        assert hold.trials == trials
        if trials == len(TRIAL_SECONDS):
            assert (
                case.quarantine.get_status("bad", case.now + 80_000) is QuarantineStatus.QUARANTINED
            )

    def test_ends_far_from_any_restart_take_none(self):
        case = Case()
        case.quarantine.add_unobserved_crash("unseen", case.now)
        for _ in range(3):
            case.end("bad", after=5.0)
        assert self.held(case, [case.now + 60.0, case.now - 600.0]).trials == 0

    def test_ends_under_others_count_if_a_process_began_about_then(self):
        """What the killed process had at that endpoint is in nobody's list."""
        case = Case()
        case.end("other")
        for _ in range(3):
            case.end("bad")
        assert self.held(case, [case.now]).trials == 1

    def test_own_ends_are_not_counted_twice(self):
        case = Case()
        ends = [case.end("bad") for _ in range(3)]
        case.quarantine.add_unobserved_crash(ends[0].endpoint_id, case.now)
        assert self.held(case, [case.now]).trials == 0


class TestMemory:
    def test_it_is_bounded_under_many_different_requests(self):
        case = Case()
        for number in range(2 * MAX_ENDS):
            case.end(*(f"r-{number}-{each}" for each in range(12)), after=0.01)
            case.judge()
        for number in range(2 * MAX_ENTRIES):
            case.quarantine.merge_entry(QuarantineEntry(f"h-{number}", ("e",), case.now), case.now)
        inner = case.quarantine
        assert len(inner._suspects) <= MAX_SUSPECTS and len(inner._ends) <= MAX_ENDS
        assert len(inner._holds) <= MAX_ENTRIES
        assert all(each.requests for each in list(inner._ends.values())[-300:])

    def test_what_is_told_is_bounded_and_names_the_most_suspected(self):
        case = Case()
        for _ in range(2):
            case.end("bad", *(f"r-{case.count}-{each}" for each in range(200)), after=0.5)
        word = case.quarantine.build_update(case.now)
        assert len({name for end in word.ends for name in end.requests}) <= MAX_TOLD_REQUESTS
        assert all("bad" in end.requests and end.omitted for end in word.ends)


class TestWordInAnyOrder:
    @pytest.mark.parametrize("seed", range(40))
    def test_processes_that_heard_all_agree(self, seed):
        """Ends, some of them under one request, told in any order, more than once."""
        rng = random.Random(seed)
        ends = []
        for number in range(rng.randrange(2, 9)):
            others = rng.sample([f"r-{each}" for each in range(30)], rng.randrange(0, 8))
            bad = ("bad",) if rng.random() < 0.7 else ()
            requests = tuple(sorted({*others, *bad}))
            ends.append(EndpointCrash(f"e-{number}", f"z-{number % 3}", 1000.0 + number, requests))
        verdicts = set()
        for _ in range(5):
            told = [*ends, *rng.choices(ends, k=3)]
            rng.shuffle(told)
            quarantine = Quarantine()
            for each in told:
                quarantine.record_crash(each, 1010.0)
            quarantine.evaluate(1015.0)
            verdicts.add(tuple(sorted(each.fingerprint for each in quarantine.list_entries())))
        assert len(verdicts) == 1
        if sum("bad" in each.requests for each in ends) >= ENDS_IN_ANY_CASE:
            assert "bad" in verdicts.pop()
