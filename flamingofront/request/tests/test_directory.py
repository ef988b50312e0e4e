"""Which endpoints are looked at for a choice where there are many."""

import random

import pytest

from flamingofront.decisions.choice import BacklogChoice, WorkEstimate
from flamingofront.process.membership import Fact, FactTable, Role, VmState
from flamingofront.process.rendezvous import rank
from flamingofront.request.directory import EndpointDirectory, SharedPrefix
from flamingofront.version.model import Service

ZONES = ("zone-a", "zone-b", "zone-c", "zone-d")
MANY = 92
FEW = 6
SERVICE = Service("engines", model="m", slots=16)


def names_of(candidates):
    return [each.endpoint_id for each in candidates]


class Many:
    """A directory of many endpoints, as a process of zone a sees it."""

    def __init__(self, seed=1, zone="zone-a"):
        self.facts = FactTable()
        for number in range(MANY):
            self.put(f"e{number}", ZONES[number % len(ZONES)])
        self.rng = random.Random(seed)
        self.directory = EndpointDirectory(self.facts, self.rng, zone)
        self.directory.sample_size = lambda: FEW

    def put(self, name, zone, state=VmState.LIVE):
        fact = Fact(name, 0, state, Role.ENDPOINT, zone, "127.0.0.1:1", "engines")
        self.facts.merge((fact,))

    def candidates(self, **options):
        return self.directory.candidates(SERVICE, (), 0.0, self.rng, **options)


@pytest.fixture
def many():
    return Many()


class TestSample:
    def test_few_are_looked_at_and_half_of_them_are_near(self, many):
        for _ in range(50):
            found = many.candidates()
            assert len(found) == len(set(names_of(found))) <= FEW
            assert sum(each.zone == "zone-a" for each in found) >= FEW // 2

    def test_all_are_looked_at_in_the_end(self, many):
        seen = {name for _ in range(600) for name in names_of(many.candidates())}
        assert len(seen) == MANY

    def test_endpoint_that_is_expected_to_hold_the_prompt_is_among_them(self, many):
        shared = SharedPrefix("p1", 4000)
        home = rank("p1", [f"e{number}" for number in range(MANY)])[0]
        for _ in range(20):
            (found,) = (each for each in many.candidates(shared=shared) if each.cached_tokens)
            assert (found.endpoint_id, found.cached_tokens) == (home, 4000)

    def test_own_zone_may_have_none(self, many):
        for number in range(0, MANY, len(ZONES)):
            many.put(f"e{number}", "zone-a", VmState.LEAVING)
        found = many.candidates()
        assert len(found) == FEW
        assert all(each.zone != "zone-a" for each in found)

    def test_endpoints_that_cannot_be_reached_take_no_place(self, many):
        for number in range(MANY):
            if number % len(ZONES) == 1:
                many.directory.record_connect_failure(f"e{number}", 0.0)
        for _ in range(20):
            assert all(each.zone != "zone-b" for each in many.candidates())

    def test_all_are_returned_on_request(self, many):
        assert len(many.candidates(whole=True)) == MANY


class TestHerd:
    def worst(self, size):
        """Let 60 processes with the same old word choose once; return the longest queue."""
        chosen = []
        for seed in range(60):
            zone = ZONES[seed % len(ZONES)]
            one = Many(seed, zone)
            one.directory.sample_size = lambda: size
            loads = {f"e{number}": float(number >= 6) for number in range(MANY)}
            one.directory.apply_load_reports(loads, 0.0)
            work = WorkEstimate(6000, 380, 0.6, 0.05, zone)
            chosen.append(BacklogChoice().choose(one.candidates(), work, one.rng).endpoint_id)
        return max(chosen.count(name) for name in set(chosen))

    def test_processes_with_the_same_late_word_do_not_all_choose_the_same(self):
        """Six of 92 endpoints seem idle to all of them."""
        all_looked_at, few_looked_at = self.worst(MANY), self.worst(FEW)
        assert all_looked_at >= 15
        assert few_looked_at <= all_looked_at / 2
