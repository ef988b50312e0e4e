"""Tests of the priority of requests by whether they can meet their latency objective."""

import heapq
import itertools
import random
from dataclasses import dataclass

import pytest

from flamingofront.decisions.lateness import (
    IDLE_BACKLOG_SECONDS,
    MAX_YIELD_FRACTION,
    LatencyEstimate,
    Urgency,
    classify_urgency,
    compute_yield_delay,
)
from flamingofront.platform.requests import PlatformProtocol
from flamingofront.request.forward_work import AttemptFacts, ForwardWork
from flamingofront.tests.forwarding_world import ready_world

OBJECTIVE = 0.4
DEADLINE = 6.0


class TestUrgency:
    @pytest.mark.parametrize(
        ("first_event", "left", "resumed", "expected"),
        [
            (0.1, 0.4, False, Urgency.IN_TIME),
            (0.5, 0.4, False, Urgency.LATE),
            (0.1, -1.0, False, Urgency.LATE),
            (9.0, -1.0, True, Urgency.RESUMED),
        ],
    )
    def test_urgency_follows_from_expected_latency(self, first_event, left, resumed, expected):
        assert classify_urgency(LatencyEstimate(first_event, left, resumed)) is expected

    @pytest.mark.parametrize(("each", "sent"), [(Urgency.LATE, ["8"]), (Urgency.IN_TIME, [])])
    def test_urgency_header_is_sent_unless_default(self, each, sent):
        work = ForwardWork("POST", "/x", "h", (), b"", True, True, True, 2)
        fields = PlatformProtocol().encode_attempt_headers(
            work, AttemptFacts("e", 1.0, urgency=each)
        )
        found = [value for name, value in fields if name == "X-Flamingofront-Request-Urgency"]
        assert found == sent


class TestYieldDelay:
    late = LatencyEstimate(2.0, OBJECTIVE)

    def test_late_request_yields_to_queued_prompts(self):
        assert compute_yield_delay(self.late, 1.0, 0.0, DEADLINE) > 0

    def test_late_request_is_sent_to_idle_engine(self):
        assert compute_yield_delay(self.late, IDLE_BACKLOG_SECONDS, 0.0, DEADLINE) == 0

    def test_request_in_time_is_sent_at_once(self):
        assert compute_yield_delay(LatencyEstimate(0.3, OBJECTIVE), 0.25, 0.0, DEADLINE) == 0

    def test_resumed_stream_never_yields(self):
        assert compute_yield_delay(LatencyEstimate(2.0, -1.0, True), 1.0, 0.0, DEADLINE) == 0

    def test_late_request_is_sent_before_its_deadline(self):
        assert compute_yield_delay(self.late, 1.0, MAX_YIELD_FRACTION * DEADLINE, DEADLINE) == 0


@dataclass
class Served:
    """Arrival time of a request and time of its first event."""

    arrived: float
    first: float


class PrefillQueue:
    """Simulated engines that prefill prompts one after another, on a virtual clock."""

    BASE = 0.02
    TOKEN_SECONDS = 1e-5

    def __init__(self, engines, yields, seed):
        self._free_at = [0.0] * engines
        self._yields = yields
        self._rng = random.Random(seed)

    def simulate(self, arrivals):
        """Return the served requests of arrivals, which are pairs of time and tokens."""
        order = itertools.count()
        checks = [(time, next(order), time, tokens) for time, tokens in arrivals]
        heapq.heapify(checks)
        served = []
        while checks:
            now, _, arrived, tokens = heapq.heappop(checks)
            engine = min(range(len(self._free_at)), key=lambda each: self._free_at[each])
            ahead = max(0.0, self._free_at[engine] - now)
            reading = tokens * self.TOKEN_SECONDS
            expected = LatencyEstimate(self.BASE + ahead + reading, OBJECTIVE - (now - arrived))
            wait = compute_yield_delay(expected, ahead, now - arrived, DEADLINE)
            if wait > 0 and self._yields:
                later = now + wait * (0.5 + self._rng.random())
                heapq.heappush(checks, (later, next(order), arrived, tokens))
                continue
            self._free_at[engine] = now + ahead + reading
            served.append(Served(arrived, self.BASE + now + ahead + reading))
        return served


def burst(rng, base_rate=15.0, factor=6.0, start=4.0, duration=4.0, end=20.0):
    """Return arrivals at a base rate, and at a multiple of it during a burst."""
    now, found = 0.0, []
    while now < end:
        rate = base_rate * (factor if start <= now < start + duration else 1.0)
        now += rng.expovariate(rate)
        found.append((now, rng.uniform(500, 7500)))
    return found


class TestBurst:
    """Two engines with a base load of 0.3 and a burst of 1.8 of their prefill capacity."""

    def simulate(self, yields, seed):
        served = PrefillQueue(2, yields, seed).simulate(burst(random.Random(seed)))
        in_burst = [each for each in served if 4.0 <= each.arrived < 9.0]
        in_time = sum(each.first - each.arrived <= OBJECTIVE for each in in_burst)
        longest = max(each.first - each.arrived for each in served)
        return in_time / len(in_burst), longest, len(served)

    @pytest.mark.parametrize("seed", range(5))
    def test_yielding_serves_more_requests_in_time(self, seed):
        naive, _, count = self.simulate(False, seed)
        share, longest, served = self.simulate(True, seed)
        assert share >= naive + 0.2
        assert served == count
        assert longest < DEADLINE


class TestForwarding:
    def test_yielding_requests_are_served_after_earlier_prompt(self):
        world = ready_world(engines=1)
        world.endpoints["engine-1"].gap = 0.3
        large = {"X_Flamingofront_Token_Counts": "60000,4"}
        callers = []
        for _ in range(3):
            callers.append(world.ask("front-1", "/stream/again/x", **large))
            world.run(0.01)
        world.run(0.1)
        assert len(world.endpoints["engine-1"].runs) == 1
        world.finish(*callers)
        assert {each.status for each in callers} == {200}
        assert len(world.endpoints["engine-1"].runs) == 3

    def test_disconnected_caller_cancels_yielding_request(self):
        world = ready_world(engines=1)
        world.endpoints["engine-1"].gap = 0.3
        large = {"X_Flamingofront_Token_Counts": "60000,4"}
        first = world.ask("front-1", "/stream/again/x", **large)
        second = world.ask("front-1", "/stream/again/x", **large)
        world.run(0.05)
        second.leave()
        world.finish(first)
        world.run(1.0)
        assert len(world.endpoints["engine-1"].runs) == 1
