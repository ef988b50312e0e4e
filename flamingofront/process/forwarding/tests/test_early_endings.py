"""Graceful shutdown beside streams that end before they have used the tokens that they may.

A caller allows more tokens than most of its streams generate. A stopping process that took the
duration of those for that of the longest stream broke off a stream that used all of its allowance.
"""

import random
from types import SimpleNamespace

import pytest

from flamingofront.decisions.stopping import StreamBound, StreamTimes
from flamingofront.process.forwarding.shutdown import GracefulShutdown
from flamingofront.tests.forwarding_world import configuration, ready_world

TOKENS_PER_EVENT = 6
GRACE_SECONDS = 8.0
# Streams that were sent sooner after the signal may be broken off at the end of the process.
EXCUSED_SECONDS = 3.0
TIMEOUT_MS = 12000


def patient_routes():
    """Return the usual routes, with a long timeout."""
    return [{**each, "timeout_ms": TIMEOUT_MS} for each in configuration()["routes"]]


class AllowedTokens:
    """A process before engines whose streams generate fewer tokens than they may."""

    def __init__(self, seed=1, gap=0.06, has_hints=True, hint_error=0.0):
        self.rng = random.Random(seed)
        self.world = ready_world(engines=3, seed=seed, routes=patient_routes())
        self.front = self.world.fronts["front-1"]
        self.has_hints, self.hint_error = has_hints, hint_error
        self.generated = {}
        self.asked = []
        self.signalled_at = None
        self.exits = []
        for each in self.world.endpoints.values():
            each.gap = gap
            self._size_streams(each)

    def _size_streams(self, endpoint):
        """Let each stream of an endpoint have as many events as its request is to generate."""

        def respond(req, exchange, fault):
            tokens = self.generated.get(req.header("x-flamingofront-request-id"), 6)
            seal = ("X-Flamingofront-Response-Seal", endpoint.endpoint_id)
            content_type = ("Content-Type", "text/event-stream")
            exchange.begin(200, (*endpoint._make_headers(req), seal, content_type))
            send(exchange, 1, max(1, tokens // TOKENS_PER_EVENT))

        def send(exchange, number, count):
            if number > count:
                exchange.finish()
                return
            exchange.send(b"id: %d\ndata: x\n\n" % number)
            endpoint._timers.once(endpoint.gap, lambda: send(exchange, number + 1, count))

        endpoint._respond = respond

    def ask(self, allowed, generated):
        """Send a stream that may generate so many tokens, and does generate some of them."""
        request_id = f"r-{len(self.generated)}"
        self.generated[request_id] = generated
        headers = {
            "X_Flamingofront_Token_Counts": f"100,{allowed}",
            "X_Flamingofront_Deadline_Ms": str(TIMEOUT_MS),
        }
        if self.has_hints:
            factor = self.rng.lognormvariate(0.0, self.hint_error)
            headers["X_Flamingofront_Length_Hint"] = str(max(1, round(generated * factor)))
        caller = self.world.ask("front-1", "/stream/once/x", request_id=request_id, **headers)
        self.asked.append((self.world.clock.now(), caller))
        return caller

    def warm_up(self, count, allowed, generated):
        """Let some streams run to their end, a few at a time."""
        for start in range(0, count, 6):
            callers = [self.ask(allowed, generated) for _ in range(min(6, count - start))]
            self.world.run_until(lambda callers=callers: all(each.done for each in callers))

    def stop(self):
        """Begin the graceful shutdown."""
        callers = SimpleNamespace(closing=False, connections=1, close_idle=lambda: 0)
        self.signalled_at = self.world.clock.now()
        GracefulShutdown(
            self.front, callers, GRACE_SECONDS, lambda: self.exits.append(self.world.clock.now())
        ).begin()

    def run_to_exit(self, period, allowed, generated):
        """Send streams until the process exits."""
        while not self.exits:
            self.ask(allowed, generated)
            self.world.run(period)

    def list_cut_off(self):
        """Return the times after the signal of the streams that were sent late and cut off."""
        return [
            round(at - self.signalled_at, 2)
            for at, each in self.asked
            if at - self.signalled_at > EXCUSED_SECONDS
            and (each.broken or not each.done)
            and each.status != 503
        ]

    def count_taken(self):
        """Return the number of streams sent after the signal that were served."""
        return sum(each.status == 200 for at, each in self.asked if at >= self.signalled_at)


class TestStreamBound:
    """The bound is that of a stream which uses its allowance, at the pace of those observed."""

    # Ten events of six tokens in 0.9 s, out of 600 tokens that its caller allowed.
    early = StreamTimes(0.1, 0.9, 600, events=10, expected_tokens=60)

    def bound(self, *streams, tokens=600, **more):
        found = StreamBound()
        for each in streams:
            found.observe(each)
        return found.estimate_max_seconds(tokens, **more)

    def test_streams_that_end_early_do_not_bound_one_that_does_not(self):
        assert self.bound(*[self.early] * 100) >= 9.1

    def test_events_count_as_one_token_without_estimates_of_callers(self):
        blind = StreamTimes(0.1, 0.9, 600, events=10)
        assert self.bound(*[blind] * 100) >= 54.0

    def test_estimates_that_are_too_long_do_not_shorten_the_bound(self):
        wrong = [StreamTimes(0.1, 0.9, 600, events=10, expected_tokens=6000)] * 60
        assert self.bound(*[self.early] * 60, *wrong) >= 9.1

    def test_short_allowance_is_told_apart_from_long_streams(self):
        """All streams of a service were taken for as long as its longest one."""
        long = StreamTimes(0.1, 5.0, 600, events=100, expected_tokens=600)
        assert self.bound(*[long] * 100, tokens=24) < 1.0

    def test_longest_pause_counts_once(self):
        paused = StreamTimes(0.1, 0.9, 600, events=10, expected_tokens=60, longest_pause=0.4)
        assert self.bound(*[paused] * 100, tokens=6) >= 0.5

    def test_slower_stream_in_progress_raises_the_bound(self):
        slow = StreamTimes(0.1, 0.9, 600, events=2)
        assert self.bound(*[self.early] * 100, running=(slow,)) >= 27.0

    def test_stream_that_waits_for_its_first_event_raises_the_bound(self):
        waiting = StreamTimes(4.0, 0.0, 600)
        assert self.bound(*[self.early] * 100, tokens=6, running=(waiting,)) >= 4.0


class TestStopping:
    @pytest.mark.parametrize("usual", [60, 240])
    @pytest.mark.parametrize("seed", range(3))
    def test_stream_that_uses_its_allowance_is_not_cut_off(self, seed, usual):
        """Usual streams of 250 of 700 tokens; one of 700 was taken 4 s before the exit."""
        stopping = AllowedTokens(seed)
        stopping.warm_up(60, 720, usual)
        stopping.stop()
        stopping.run_to_exit(0.15, 720, 720)
        assert stopping.list_cut_off() == []

    @pytest.mark.parametrize("count", [0, 10, 21])
    def test_few_streams_seen_yet(self, count):
        stopping = AllowedTokens()
        stopping.warm_up(count, 720, 60)
        stopping.stop()
        stopping.run_to_exit(0.15, 720, 720)
        assert stopping.list_cut_off() == []

    @pytest.mark.parametrize("options", [{"has_hints": False}, {"hint_error": 1.5}])
    def test_estimates_of_callers_are_missing_or_far_off(self, options):
        stopping = AllowedTokens(**options)
        stopping.warm_up(60, 360, 60)
        stopping.stop()
        stopping.run_to_exit(0.15, 360, 360)
        assert stopping.list_cut_off() == []

    @pytest.mark.parametrize("slowdown", [2.0, 3.0])
    @pytest.mark.parametrize("at", [1.0, 3.5, 4.5])
    def test_endpoints_become_slower_during_the_shutdown(self, at, slowdown):
        """A pace observed before the signal does not bound what comes after it."""
        stopping = AllowedTokens(gap=0.03)
        stopping.warm_up(60, 180, 90)
        stopping.stop()
        stopping.world.run(at)
        for each in stopping.world.endpoints.values():
            each.gap *= slowdown
        stopping.run_to_exit(0.1, 180, 180)
        assert stopping.list_cut_off() == []

    @pytest.mark.parametrize("at", [5.6, 6.0, 6.4, 6.8])
    def test_endpoints_become_slower_after_a_stream_was_taken(self, at):
        """No stream in progress tells of it yet, so there is time in reserve."""
        stopping = AllowedTokens(gap=0.03)
        stopping.warm_up(60, 180, 90)
        stopping.stop()
        # Keeps the process running.
        stopping.ask(3000, 3000)
        stopping.world.run(at - 0.5)
        for _ in range(10):
            stopping.ask(180, 180)
            stopping.world.run(0.05)
        for each in stopping.world.endpoints.values():
            each.gap *= 2.0
        stopping.run_to_exit(0.1, 180, 180)
        assert stopping.list_cut_off() == []

    def test_first_events_come_late(self):
        """Streams wait for an endpoint for longer than any stream before."""
        stopping = AllowedTokens(gap=0.02)
        stopping.warm_up(60, 120, 60)
        stopping.stop()
        stopping.world.run(2.0)
        for each in stopping.world.endpoints.values():
            inner = each._respond
            each._respond = lambda *args, inner=inner, each=each: each._timers.once(
                2.0, lambda: inner(*args)
            )
        stopping.run_to_exit(0.1, 120, 120)
        assert stopping.list_cut_off() == []

    def test_short_streams_beside_long_ones_are_taken(self):
        """Refusing a stream that certainly ends in time costs its caller a new connection."""
        stopping = AllowedTokens(gap=0.03)
        for _ in range(10):
            stopping.warm_up(4, 720, 480)
            stopping.warm_up(4, 60, 42)
        stopping.stop()
        stopping.ask(1200, 1200)
        stopping.world.run(4.5)
        caller = stopping.ask(60, 60)
        stopping.world.run_until(lambda: caller.done)
        assert caller.status == 200

    @pytest.mark.parametrize("seed", range(8))
    def test_kinds_of_very_different_length(self, seed):
        stopping = AllowedTokens(seed, gap=0.01 + 0.05 * random.Random(seed).random())
        kinds = [(stopping.rng.choice((30, 120, 400, 900)), stopping.rng.random()) for _ in "123"]
        for _ in range(12):
            for allowed, share in kinds:
                stopping.warm_up(3, allowed, max(6, int(allowed * share)))
        stopping.stop()
        while not stopping.exits:
            allowed, share = stopping.rng.choice(kinds)
            used = 1.0 if stopping.rng.random() < 0.3 else share
            stopping.ask(allowed, max(6, int(allowed * used)))
            stopping.world.run(0.2 * stopping.rng.random())
        assert stopping.list_cut_off() == []
