"""Tests of the detection, quarantine and release of requests that crash endpoints."""

import random

import pytest

from flamingofront.decisions.quarantine import (
    CRASHES_TO_QUARANTINE,
    MAX_CRASHES,
    MAX_ENTRIES,
    MAX_GOSSIPED_REQUESTS,
    MAX_SUSPECTS,
    MIXED_CRASHES_TO_QUARANTINE,
    PROPAGATION_SECONDS,
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

LATER_SECONDS = 100.0


class QuarantineCase:
    """Quarantine that records crashes, by default one per second, each in another zone."""

    def __init__(self):
        self.quarantine = Quarantine()
        self.now = 1000.0
        self.count = 0

    def crash(self, *requests, zone=None, endpoint=None, after=1.0):
        self.now += after
        self.count += 1
        name = endpoint or f"e-{self.count}"
        crash = EndpointCrash(name, zone or f"zone-{self.count}", self.now, requests)
        self.quarantine.record_crash(crash, self.now)
        return crash

    def evaluate(self, after=0.0):
        self.now += after
        return [each.fingerprint for each in self.quarantine.evaluate(self.now)]

    def get_status(self, request):
        return self.quarantine.get_status(request, self.now)


class TestEvidence:
    def test_one_crash_only_makes_a_suspect(self):
        case = QuarantineCase()
        case.crash("bad")
        assert case.evaluate(LATER_SECONDS) == []
        assert case.get_status("bad") is QuarantineStatus.SUSPECTED

    def test_three_crashes_quarantine_at_once(self):
        case = QuarantineCase()
        for _ in range(CRASHES_TO_QUARANTINE):
            case.crash("bad", f"beside-{case.count}", "often beside")
            if case.count == 1:
                assert case.evaluate() == []
        assert set(case.evaluate()) == {"bad", "often beside"}

    def test_two_crashes_suffice_without_other_common_request(self):
        case = QuarantineCase()
        case.crash("bad", "beside")
        case.crash("bad", "another")
        assert case.evaluate() == []
        assert case.evaluate(PROPAGATION_SECONDS) == ["bad"]
        assert case.get_status("bad") is QuarantineStatus.QUARANTINED

    def test_two_crashes_do_not_suffice_with_other_common_request(self):
        case = QuarantineCase()
        case.crash("bad", "beside")
        case.crash("bad", "beside")
        assert case.evaluate(LATER_SECONDS) == []

    def test_two_crashes_do_not_suffice_with_omitted_requests(self):
        case = QuarantineCase()
        case.crash("bad")
        crash = EndpointCrash("e-x", "zone-x", case.now + 1, ("bad",), omitted=1)
        case.quarantine.record_crash(crash, case.now + 1)
        assert case.evaluate(LATER_SECONDS) == []

    def test_crash_reported_by_several_processes_counts_once(self):
        case = QuarantineCase()
        for offset in (0.0, 0.4, -0.3):
            crash = EndpointCrash("e-1", "zone-1", case.now + offset, ("bad",))
            case.quarantine.record_crash(crash, case.now + 1)
        assert len(case.quarantine.get_crashes("bad")) == 1

    def test_crashes_of_restarted_endpoint_count_separately(self):
        case = QuarantineCase()
        for _ in range(CRASHES_TO_QUARANTINE):
            case.crash("bad", endpoint="e-same", zone="zone-1", after=5.0)
        assert case.evaluate() == ["bad"]


class TestInnocentRequests:
    def test_quarantine_clears_requests_beside_it(self):
        case = QuarantineCase()
        case.crash("bad", "beside")
        case.crash("bad", "beside")
        case.crash("bad")
        assert case.evaluate() == ["bad"]
        assert case.get_status("beside") is QuarantineStatus.CLEAR

    def test_request_with_most_crashes_explains_others(self):
        case = QuarantineCase()
        for _ in range(CRASHES_TO_QUARANTINE):
            case.crash("bad", "beside")
        case.crash("bad")
        assert case.evaluate() == ["bad"]
        assert case.get_status("beside") is QuarantineStatus.CLEAR

    def test_simultaneous_crashes_in_zone_count_once_if_some_lack_the_request(self):
        case = QuarantineCase()
        for number in range(4):
            requests = ("common",) if number else ("other",)
            case.crash(*requests, zone="zone-a", after=0.01)
        assert case.evaluate(LATER_SECONDS) == []
        assert case.get_status("common") is QuarantineStatus.SUSPECTED

    def test_simultaneous_crashes_in_zone_count_each_if_all_have_the_request(self):
        case = QuarantineCase()
        for _ in range(CRASHES_TO_QUARANTINE):
            case.crash("bad", f"beside-{case.count}", zone="zone-a", after=0.01)
        assert case.evaluate() == ["bad"]

    def test_each_zone_failure_counts_once(self):
        case = QuarantineCase()
        for zone in ("zone-a", "zone-b"):
            for number in range(5):
                case.crash(*(("common",) if number < 3 else ("other",)), zone=zone, after=0.01)
            case.now += 10.0
        case.crash("third")
        assert case.get_status("common") is QuarantineStatus.SUSPECTED
        assert "common" not in case.evaluate()

    def test_quarantined_request_does_not_hide_another_one(self):
        case = QuarantineCase()
        for _ in range(3):
            case.crash("bad", "worse")
        case.crash("worse")
        assert case.evaluate() == ["worse"]
        case.crash("bad")
        assert case.evaluate() == ["bad"]


class TestRelease:
    def test_response_clears_suspect(self):
        case = QuarantineCase()
        case.crash("fine")
        case.crash("fine", "beside")
        assert case.quarantine.clear_request("fine", case.now)
        assert case.get_status("fine") is QuarantineStatus.CLEAR
        case.crash("fine")
        assert case.evaluate(LATER_SECONDS) == []

    def test_late_report_of_old_crashes_does_not_undo_release(self):
        case = QuarantineCase()
        crashes = [case.crash("fine") for _ in range(CRASHES_TO_QUARANTINE)]
        case.evaluate()
        case.quarantine.clear_request("fine", case.now + 1)
        for each in crashes:
            case.quarantine.record_crash(each, case.now + 2)
        assert case.evaluate(LATER_SECONDS) == []
        assert case.get_status("fine") is QuarantineStatus.CLEAR

    def test_release_from_peer_does_not_clear_later_crashes(self):
        local, remote = QuarantineCase(), QuarantineCase()
        crash = local.crash("fine")
        remote.quarantine.record_crash(crash, local.now)
        remote.quarantine.clear_request("fine", local.now + 0.1)
        update = remote.quarantine.build_update(local.now + 0.2)
        assert local.quarantine.merge_update(update, local.now + 0.2)
        assert local.get_status("fine") is QuarantineStatus.CLEAR
        local.crash("fine")
        assert not local.quarantine.merge_update(update, local.now)
        assert local.get_status("fine") is QuarantineStatus.SUSPECTED

    def test_old_release_does_not_remove_later_entry(self):
        quarantine = Quarantine()
        quarantine.merge_entry(QuarantineEntry("bad", ("e-1", "e-2", "e-3"), 100.0), 101.0)
        assert not quarantine.merge_release(Release("bad", 99.0))
        assert quarantine.get_entry("bad")
        assert quarantine.merge_release(Release("bad", 101.0))

    def test_evidence_expires(self):
        case = QuarantineCase()
        case.crash("fine")
        case.quarantine.drop_expired(case.now + EVIDENCE_LIFETIME_SECONDS + 1)
        assert case.get_status("fine") is QuarantineStatus.CLEAR and not case.quarantine

    def test_three_trials_then_none_until_entry_expires(self):
        entry = QuarantineEntry("bad", ("e-1",), 0.0, next_trial=TRIAL_SECONDS[0])
        now, trials = 0.0, 0
        quarantine = Quarantine()
        quarantine.merge_entry(entry, now)
        while now < ENTRY_LIFETIME_SECONDS - 60:
            now += 10.0
            if quarantine.get_status("bad", now) is QuarantineStatus.TRIAL_DUE:
                trials += 1
                quarantine.merge_entry(quarantine.get_entry("bad").with_claimed_trial(now), now)
        assert trials == len(TRIAL_SECONDS)
        assert quarantine.drop_expired(ENTRY_LIFETIME_SECONDS + 1) == ("bad",)
        assert quarantine.get_status("bad", now) is QuarantineStatus.CLEAR


class TestUnobservedCrashes:
    """Any request of a killed process may have caused the unobserved crashes around that time."""

    def quarantine_request(self, case, restarts):
        (entry,) = case.quarantine.evaluate(case.now, restarts)
        return entry

    @pytest.mark.parametrize(("unobserved", "trials"), [(0, 0), (1, 1), (2, 2), (3, 3), (9, 3)])
    def test_each_unobserved_crash_near_restart_uses_a_trial(self, unobserved, trials):
        case = QuarantineCase()
        restart = case.now
        for number in range(unobserved):
            case.quarantine.add_unobserved_crash(f"unseen-{number}", case.now + 3.0)
        for _ in range(3):
            case.crash("bad")
        entry = self.quarantine_request(case, [restart])
        assert entry.trials == trials
        if trials == len(TRIAL_SECONDS):
            assert (
                case.quarantine.get_status("bad", case.now + 80_000) is QuarantineStatus.QUARANTINED
            )

    def test_crashes_far_from_restarts_use_no_trial(self):
        case = QuarantineCase()
        case.quarantine.add_unobserved_crash("unseen", case.now)
        for _ in range(3):
            case.crash("bad", after=5.0)
        assert self.quarantine_request(case, [case.now + 60.0, case.now - 600.0]).trials == 0

    def test_crashes_of_other_requests_near_restart_use_a_trial(self):
        """The requests of the killed process at that endpoint are missing from the crash."""
        case = QuarantineCase()
        case.crash("other")
        for _ in range(3):
            case.crash("bad")
        assert self.quarantine_request(case, [case.now]).trials == 1

    def test_own_crashes_are_not_counted_twice(self):
        case = QuarantineCase()
        crashes = [case.crash("bad") for _ in range(3)]
        case.quarantine.add_unobserved_crash(crashes[0].endpoint_id, case.now)
        assert self.quarantine_request(case, [case.now]).trials == 0


class TestMemory:
    def test_memory_is_bounded_with_many_requests(self):
        case = QuarantineCase()
        for number in range(2 * MAX_CRASHES):
            case.crash(*(f"r-{number}-{each}" for each in range(12)), after=0.01)
            case.evaluate()
        for number in range(2 * MAX_ENTRIES):
            case.quarantine.merge_entry(QuarantineEntry(f"h-{number}", ("e",), case.now), case.now)
        inner = case.quarantine
        assert len(inner._suspects) <= MAX_SUSPECTS and len(inner._crashes) <= MAX_CRASHES
        assert len(inner._entries) <= MAX_ENTRIES
        assert all(each.requests for each in list(inner._crashes.values())[-300:])

    def test_update_is_bounded_and_contains_most_suspected(self):
        case = QuarantineCase()
        for _ in range(2):
            case.crash("bad", *(f"r-{case.count}-{each}" for each in range(200)), after=0.5)
        update = case.quarantine.build_update(case.now)
        assert (
            len({name for crash in update.crashes for name in crash.requests})
            <= MAX_GOSSIPED_REQUESTS
        )
        assert all("bad" in crash.requests and crash.omitted for crash in update.crashes)


class TestUpdateOrder:
    @pytest.mark.parametrize("seed", range(40))
    def test_update_order_does_not_change_result(self, seed):
        """Processes agree if they get the same crashes in any order and some more than once."""
        rng = random.Random(seed)
        crashes = []
        for number in range(rng.randrange(2, 9)):
            others = rng.sample([f"r-{each}" for each in range(30)], rng.randrange(0, 8))
            bad = ("bad",) if rng.random() < 0.7 else ()
            requests = tuple(sorted({*others, *bad}))
            crashes.append(
                EndpointCrash(f"e-{number}", f"z-{number % 3}", 1000.0 + number, requests)
            )
        verdicts = set()
        for _ in range(5):
            shuffled = [*crashes, *rng.choices(crashes, k=3)]
            rng.shuffle(shuffled)
            quarantine = Quarantine()
            for each in shuffled:
                quarantine.record_crash(each, 1010.0)
            quarantine.evaluate(1015.0)
            verdicts.add(tuple(sorted(each.fingerprint for each in quarantine.list_entries())))
        assert len(verdicts) == 1
        if sum("bad" in each.requests for each in crashes) >= MIXED_CRASHES_TO_QUARANTINE:
            assert "bad" in verdicts.pop()
