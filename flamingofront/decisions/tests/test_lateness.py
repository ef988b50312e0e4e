"""Work that is late in any case, and work that can be in time: who goes first."""

import heapq
import itertools
import random
from dataclasses import dataclass

import pytest

from flamingofront.decisions.lateness import (
    IDLE_SECONDS,
    MAX_YIELD_FRACTION,
    LatencyEstimate,
    Urgency,
    compute_yield_delay,
    urgency,
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
    def test_it_follows_from_what_is_expected(self, first_event, left, resumed, expected):
        assert urgency(LatencyEstimate(first_event, left, resumed)) is expected

    @pytest.mark.parametrize(("each", "sent"), [(Urgency.LATE, ["8"]), (Urgency.IN_TIME, [])])
    def test_engines_are_told_what_is_not_usual(self, each, sent):
        work = ForwardWork("POST", "/x", "h", (), b"", True, True, True, 2)
        fields = PlatformProtocol().encode_attempt_headers(
            work, AttemptFacts("e", 1.0, urgency=each)
        )
        found = [value for name, value in fields if name == "X-Flamingofront-Request-Urgency"]
        assert found == sent


class TestPostponement:
    late = LatencyEstimate(2.0, OBJECTIVE)

    def test_late_work_stands_back_while_others_wait_to_be_read(self):
        assert compute_yield_delay(self.late, 1.0, 0.0, DEADLINE) > 0

    def test_it_goes_at_once_where_nothing_waits(self):
        assert compute_yield_delay(self.late, IDLE_SECONDS, 0.0, DEADLINE) == 0

    def test_it_goes_at_once_when_it_can_be_in_time(self):
        assert compute_yield_delay(LatencyEstimate(0.3, OBJECTIVE), 0.25, 0.0, DEADLINE) == 0

    def test_stream_that_has_begun_never_stands_back(self):
        assert compute_yield_delay(LatencyEstimate(2.0, -1.0, True), 1.0, 0.0, DEADLINE) == 0

    def test_it_goes_before_the_deadline_is_lost(self):
        assert compute_yield_delay(self.late, 1.0, MAX_YIELD_FRACTION * DEADLINE, DEADLINE) == 0


@dataclass
class Served:
    """When a request came and when its first event did."""

    came: float
    first: float


class Reading:
    """Engines that read prompts one after another, on a virtual clock."""

    BASE = 0.02
    TOKEN_SECONDS = 1e-5

    def __init__(self, engines, stands_back, seed):
        self._free_at = [0.0] * engines
        self._stands_back = stands_back
        self._rng = random.Random(seed)

    def play(self, arrivals):
        """Return what was served of arrivals (time, tokens)."""
        order = itertools.count()
        looks = [(time, next(order), time, tokens) for time, tokens in arrivals]
        heapq.heapify(looks)
        served = []
        while looks:
            now, _, came, tokens = heapq.heappop(looks)
            engine = min(range(len(self._free_at)), key=lambda each: self._free_at[each])
            ahead = max(0.0, self._free_at[engine] - now)
            reading = tokens * self.TOKEN_SECONDS
            expected = LatencyEstimate(self.BASE + ahead + reading, OBJECTIVE - (now - came))
            wait = compute_yield_delay(expected, ahead, now - came, DEADLINE)
            if wait > 0 and self._stands_back:
                later = now + wait * (0.5 + self._rng.random())
                heapq.heappush(looks, (later, next(order), came, tokens))
                continue
            self._free_at[engine] = now + ahead + reading
            served.append(Served(came, self.BASE + now + ahead + reading))
        return served


def burst(rng, calm=15.0, factor=6.0, begins=4.0, lasts=4.0, ends=20.0):
    """Return arrivals: a calm rate, and for some seconds a multiple of it."""
    now, found = 0.0, []
    while now < ends:
        rate = calm * (factor if begins <= now < begins + lasts else 1.0)
        now += rng.expovariate(rate)
        found.append((now, rng.uniform(500, 7500)))
    return found


class TestBurst:
    """Two engines, of which the calm load takes 0.3 and the burst 1.8 of what they can read."""

    def play(self, stands_back, seed):
        served = Reading(2, stands_back, seed).play(burst(random.Random(seed)))
        in_burst = [each for each in served if 4.0 <= each.came < 9.0]
        in_time = sum(each.first - each.came <= OBJECTIVE for each in in_burst)
        longest = max(each.first - each.came for each in served)
        return in_time / len(in_burst), longest, len(served)

    @pytest.mark.parametrize("seed", range(5))
    def test_more_are_in_time_and_all_are_served(self, seed):
        naive, _, count = self.play(False, seed)
        share, longest, served = self.play(True, seed)
        assert share >= naive + 0.2
        assert served == count
        assert longest < DEADLINE


class TestForwarding:
    def test_request_that_stands_back_is_served_when_the_prompt_before_it_was_read(self):
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

    def test_caller_that_leaves_takes_it_out_of_the_line(self):
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
