"""Endpoints shared out among many processes."""

import random

import pytest

from flamingofront.decisions.shares import (
    FIRST_ENDPOINTS,
    NOTED_SECONDS,
    RemotePrompts,
    RingPosition,
    select_preferred_endpoints,
)

ZONES = ("zone-a", "zone-b", "zone-c")
PER_ZONE = 30


def fleet(*counts):
    """Return endpoints by zone, so many in each."""
    return {
        f"{zone}-{number}": zone
        for zone, count in zip(ZONES, counts, strict=True)
        for number in range(count)
    }


def everybody(endpoints, per_zone=PER_ZONE):
    return [
        select_preferred_endpoints(RingPosition(zone, index, per_zone), ZONES, endpoints)
        for zone in ZONES
        for index in range(per_zone)
    ]


class TestFirstEndpoints:
    @pytest.mark.parametrize("counts", [(10, 10, 10), (1, 1, 1), (12, 1, 17), (0, 8, 8), (0, 0, 1)])
    def test_all_endpoints_are_used_evenly(self, counts):
        endpoints = fleet(*counts)
        used = [name for chosen in everybody(endpoints) for name in chosen]
        mean = len(used) / len(endpoints)
        assert set(used) == set(endpoints)
        assert all(abs(used.count(name) - mean) <= 2 for name in endpoints)

    def test_they_are_of_the_own_zone_while_each_has_its_part(self):
        endpoints = fleet(10, 10, 10)
        for zone in ZONES:
            for index in range(PER_ZONE):
                first, *_ = select_preferred_endpoints(
                    RingPosition(zone, index, PER_ZONE), ZONES, endpoints
                )
                assert endpoints[first] == zone

    def test_a_zone_without_endpoints_uses_those_of_others(self):
        assert (
            len(select_preferred_endpoints(RingPosition("zone-a", 3, 9), ZONES, fleet(0, 4, 4)))
            == 2
        )

    @pytest.mark.parametrize("place", [RingPosition("zone-a", 0, 0), RingPosition("new", 0, 5)])
    def test_who_has_no_place_yet_uses_none_first(self, place):
        assert select_preferred_endpoints(place, ZONES, fleet(3, 3, 3)) == ()

    def test_there_are_never_more_than_endpoints(self):
        assert select_preferred_endpoints(RingPosition("zone-a", 0, 5), ZONES, fleet(1, 0, 0)) == (
            "zone-a-0",
        )
        assert select_preferred_endpoints(RingPosition("zone-a", 0, 5), ZONES, {}) == ()


class TestNotedPrompts:
    def test_they_count_for_a_while(self):
        noted = RemotePrompts()
        noted.add("e", 1, 900, 1.0)
        noted.add("e", 1, 100, 1.1)
        assert noted.get_counts("e", 1.2) == (2, 1000)
        assert noted.get_counts("e", 1.05 + NOTED_SECONDS) == (1, 100)
        assert noted.get_counts("e", 1.1 + NOTED_SECONDS) == (0, 0)
        assert noted.get_counts("f", 2.0) == (0, 0)


class TestPlacement:
    """Ninety processes before thirty engines at half of what they read; word comes late."""

    arrivals = 480.0
    seconds = 10.0
    late = 0.3

    def run(self, candidates, knows_at_once, seed=1):
        """Return the part of the prompts that are read later than the objective."""
        rng = random.Random(seed)
        endpoints = fleet(10, 10, 10)
        free_at = dict.fromkeys(endpoints, 0.0)
        seen = dict(free_at)
        seen_at, now, late, count = 0.0, 0.0, 0, 0
        while now < self.seconds:
            now += rng.expovariate(self.arrivals)
            if now - seen_at >= 0.25:
                seen, seen_at = dict(free_at), now
            chosen = candidates(rng, endpoints)
            view = free_at if knows_at_once else seen
            best = min(chosen, key=lambda name: (max(0.0, view[name] - now), rng.random()))
            reading = rng.choices((0.084, 0.03, 0.021, 0.006), (20, 19, 51, 10))[0]
            free_at[best] = max(free_at[best], now) + reading
            late += free_at[best] - now > self.late
            count += 1
        return late / count

    def test_shared_out_endpoints_that_are_known_at_once_leave_none_late(self):
        def local_share(rng, endpoints):
            place = RingPosition(rng.choice(ZONES), rng.randrange(PER_ZONE), PER_ZONE)
            return select_preferred_endpoints(place, ZONES, endpoints)

        assert FIRST_ENDPOINTS == 2
        shared = max(self.run(local_share, knows_at_once=True, seed=seed) for seed in range(3))
        at_random = min(
            self.run(lambda rng, endpoints: rng.sample(sorted(endpoints), 1), False, seed)
            for seed in range(3)
        )
        assert shared <= 0.002 < at_random
