"""Tests of the preferred endpoints of many processes."""

import random

import pytest

from flamingofront.decisions.shares import (
    PREFERRED_ENDPOINTS,
    REMOTE_PROMPT_SECONDS,
    RemotePrompts,
    RingPosition,
    select_preferred_endpoints,
)

ZONES = ("zone-a", "zone-b", "zone-c")
PER_ZONE = 30


def make_endpoints(*counts):
    """Return the zone by endpoint, for a number of endpoints in each zone."""
    return {
        f"{zone}-{number}": zone
        for zone, count in zip(ZONES, counts, strict=True)
        for number in range(count)
    }


def assign_all(endpoints, per_zone=PER_ZONE):
    """Return the preferred endpoints of each process, with `per_zone` processes in each zone."""
    return [
        select_preferred_endpoints(RingPosition(zone, index, per_zone), ZONES, endpoints)
        for zone in ZONES
        for index in range(per_zone)
    ]


class TestPreferredEndpoints:
    @pytest.mark.parametrize("counts", [(10, 10, 10), (1, 1, 1), (12, 1, 17), (0, 8, 8), (0, 0, 1)])
    def test_endpoints_are_assigned_evenly(self, counts):
        endpoints = make_endpoints(*counts)
        used = [name for chosen in assign_all(endpoints) for name in chosen]
        mean = len(used) / len(endpoints)
        assert set(used) == set(endpoints)
        assert all(abs(used.count(name) - mean) <= 2 for name in endpoints)

    def test_own_zone_is_preferred_if_zones_are_equal(self):
        endpoints = make_endpoints(10, 10, 10)
        for zone in ZONES:
            for index in range(PER_ZONE):
                first, *_ = select_preferred_endpoints(
                    RingPosition(zone, index, PER_ZONE), ZONES, endpoints
                )
                assert endpoints[first] == zone

    def test_zone_without_endpoints_uses_other_zones(self):
        assert (
            len(
                select_preferred_endpoints(
                    RingPosition("zone-a", 3, 9), ZONES, make_endpoints(0, 4, 4)
                )
            )
            == 2
        )

    @pytest.mark.parametrize("place", [RingPosition("zone-a", 0, 0), RingPosition("new", 0, 5)])
    def test_process_without_position_has_no_preferred_endpoints(self, place):
        assert select_preferred_endpoints(place, ZONES, make_endpoints(3, 3, 3)) == ()

    def test_preferred_endpoints_are_distinct(self):
        assert select_preferred_endpoints(
            RingPosition("zone-a", 0, 5), ZONES, make_endpoints(1, 0, 0)
        ) == ("zone-a-0",)
        assert select_preferred_endpoints(RingPosition("zone-a", 0, 5), ZONES, {}) == ()


class TestRemotePrompts:
    def test_prompts_expire(self):
        prompts = RemotePrompts()
        prompts.add("e", 1, 900, 1.0)
        prompts.add("e", 1, 100, 1.1)
        assert prompts.get_counts("e", 1.2) == (2, 1000)
        assert prompts.get_counts("e", 1.05 + REMOTE_PROMPT_SECONDS) == (1, 100)
        assert prompts.get_counts("e", 1.1 + REMOTE_PROMPT_SECONDS) == (0, 0)
        assert prompts.get_counts("f", 2.0) == (0, 0)


class TestPlacement:
    """Ninety processes and thirty engines at half of their prefill capacity; late reports."""

    arrivals_per_second = 480.0
    simulated_seconds = 10.0
    objective_seconds = 0.3

    def simulate(self, pick_candidates, has_exact_load, seed=1):
        """Return the fraction of prompts whose prefill ends after the objective."""
        rng = random.Random(seed)
        endpoints = make_endpoints(10, 10, 10)
        free_at = dict.fromkeys(endpoints, 0.0)
        reported = dict(free_at)
        reported_at, now, late_count, count = 0.0, 0.0, 0, 0
        while now < self.simulated_seconds:
            now += rng.expovariate(self.arrivals_per_second)
            if now - reported_at >= 0.25:
                reported, reported_at = dict(free_at), now
            chosen = pick_candidates(rng, endpoints)
            loads = free_at if has_exact_load else reported
            best = min(chosen, key=lambda name: (max(0.0, loads[name] - now), rng.random()))
            prefill_seconds = rng.choices((0.084, 0.03, 0.021, 0.006), (20, 19, 51, 10))[0]
            free_at[best] = max(free_at[best], now) + prefill_seconds
            late_count += free_at[best] - now > self.objective_seconds
            count += 1
        return late_count / count

    def test_preferred_endpoints_with_exact_load_leave_no_request_late(self):
        def pick_preferred(rng, endpoints):
            place = RingPosition(rng.choice(ZONES), rng.randrange(PER_ZONE), PER_ZONE)
            return select_preferred_endpoints(place, ZONES, endpoints)

        assert PREFERRED_ENDPOINTS == 2
        late_preferred = max(
            self.simulate(pick_preferred, has_exact_load=True, seed=seed) for seed in range(3)
        )
        late_random = min(
            self.simulate(lambda rng, endpoints: rng.sample(sorted(endpoints), 1), False, seed)
            for seed in range(3)
        )
        assert late_preferred <= 0.002 < late_random
