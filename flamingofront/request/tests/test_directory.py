"""Tests of the endpoint sample for a choice in a large fleet."""

import random

import pytest

from flamingofront.decisions.choice import BacklogChoice, WorkEstimate
from flamingofront.process.membership import Fact, FactTable, Role, VmState
from flamingofront.process.rendezvous import rank
from flamingofront.request.directory import EndpointDirectory, SharedPrefix
from flamingofront.version.model import Service

ZONES = ("zone-a", "zone-b", "zone-c", "zone-d")
ENDPOINT_COUNT = 92
SAMPLE_SIZE = 6
SERVICE = Service("engines", model="m", slots=16)


def candidate_ids(candidates):
    return [each.endpoint_id for each in candidates]


class LargeFleet:
    """Directory of 92 endpoints in four zones, of a process in one of them."""

    def __init__(self, seed=1, zone="zone-a"):
        self.facts = FactTable()
        for number in range(ENDPOINT_COUNT):
            self.set_endpoint(f"e{number}", ZONES[number % len(ZONES)])
        self.rng = random.Random(seed)
        self.directory = EndpointDirectory(self.facts, self.rng, zone)
        self.directory.sample_size = lambda: SAMPLE_SIZE

    def set_endpoint(self, name, zone, state=VmState.LIVE):
        fact = Fact(name, 0, state, Role.ENDPOINT, zone, "127.0.0.1:1", "engines")
        self.facts.merge((fact,))

    def candidates(self, **options):
        return self.directory.candidates(SERVICE, (), 0.0, self.rng, **options)


@pytest.fixture
def fleet():
    return LargeFleet()


class TestSample:
    def test_sample_is_small_and_half_local(self, fleet):
        for _ in range(50):
            found = fleet.candidates()
            assert len(found) == len(set(candidate_ids(found))) <= SAMPLE_SIZE
            assert sum(each.zone == "zone-a" for each in found) >= SAMPLE_SIZE // 2

    def test_every_endpoint_is_sampled_eventually(self, fleet):
        seen = {name for _ in range(600) for name in candidate_ids(fleet.candidates())}
        assert len(seen) == ENDPOINT_COUNT

    def test_sample_contains_prefix_owner(self, fleet):
        shared = SharedPrefix("p1", 4000)
        prefix_owner = rank("p1", [f"e{number}" for number in range(ENDPOINT_COUNT)])[0]
        for _ in range(20):
            (found,) = (each for each in fleet.candidates(shared=shared) if each.cached_tokens)
            assert (found.endpoint_id, found.cached_tokens) == (prefix_owner, 4000)

    def test_sample_without_endpoints_in_local_zone(self, fleet):
        for number in range(0, ENDPOINT_COUNT, len(ZONES)):
            fleet.set_endpoint(f"e{number}", "zone-a", VmState.LEAVING)
        found = fleet.candidates()
        assert len(found) == SAMPLE_SIZE
        assert all(each.zone != "zone-a" for each in found)

    def test_unreachable_endpoints_are_not_sampled(self, fleet):
        for number in range(ENDPOINT_COUNT):
            if number % len(ZONES) == 1:
                fleet.directory.record_connect_failure(f"e{number}", 0.0)
        for _ in range(20):
            assert all(each.zone != "zone-b" for each in fleet.candidates())

    def test_include_all_returns_all_endpoints(self, fleet):
        assert len(fleet.candidates(include_all=True)) == ENDPOINT_COUNT


class TestThunderingHerd:
    def count_most_chosen(self, max_sample):
        """Return how many of 60 processes with equal load reports choose the same endpoint."""
        chosen = []
        for seed in range(60):
            zone = ZONES[seed % len(ZONES)]
            fleet = LargeFleet(seed, zone)
            fleet.directory.sample_size = lambda: max_sample
            loads = {f"e{number}": float(number >= 6) for number in range(ENDPOINT_COUNT)}
            fleet.directory.apply_load_reports(loads, 0.0)
            work = WorkEstimate(6000, 380, 0.6, 0.05, zone)
            chosen.append(BacklogChoice().choose(fleet.candidates(), work, fleet.rng).endpoint_id)
        return max(chosen.count(name) for name in set(chosen))

    def test_stale_loads_do_not_cause_herding(self):
        """The stale reports show the same six of 92 endpoints as idle to all processes."""
        full_count, sample_count = self.count_most_chosen(ENDPOINT_COUNT), self.count_most_chosen(
            SAMPLE_SIZE
        )
        assert full_count >= 15
        assert sample_count <= full_count / 2
