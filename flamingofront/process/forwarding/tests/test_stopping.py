"""A process that stops while callers keep their connections."""

import math
import random
from types import SimpleNamespace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from flamingofront.decisions.stopping import StreamBound, StreamTimes, can_complete
from flamingofront.errors import ErrorKind
from flamingofront.process.forwarding.shutdown import GracefulShutdown
from flamingofront.standins.forward_endpoint import ForwardFault
from flamingofront.tests.forwarding_world import ready_world


def seen(*streams):
    """Return the bound after complete streams, each (first event, rest, output tokens)."""
    bound = StreamBound()
    for each in streams:
        bound.observe(StreamTimes(*each))
    return bound


class TestEndsInTime:
    @pytest.mark.parametrize(
        ("deadline_left", "bound", "left", "ends"),
        [
            (3.0, math.inf, 3.0, True),
            (3.0, math.inf, 2.9, False),
            (12.0, 2.0, 2.1, True),
            (12.0, 2.0, 1.9, False),
            (12.0, math.inf, math.inf, True),
            (0.1, 0.1, -1.0, False),
        ],
    )
    def test_it_is_ended_by_its_deadline_or_by_its_own_size(self, deadline_left, bound, left, ends):
        assert can_complete(deadline_left, bound, left) is ends


class TestStreamBound:
    short = (0.1, 0.1, 24)

    def test_nothing_is_said_of_a_stream_that_names_no_tokens(self):
        """Any number of short ones says nothing of the next."""
        assert seen(*[self.short] * 100).estimate_max_seconds(0) == math.inf

    def test_few_answers_say_nothing_of_the_next(self):
        assert seen(*[self.short] * 19).estimate_max_seconds(24) == math.inf
        assert seen(*[self.short] * 20).estimate_max_seconds(24) < math.inf

    def test_streams_without_named_tokens_are_not_counted(self):
        assert seen(*[(0.1, 5.0, 0)] * 100).estimate_max_seconds(24) == math.inf

    def test_long_stream_is_expected_after_short_ones_alone(self):
        """At the same pace it takes a hundred times as long."""
        assert seen(*[self.short] * 100).estimate_max_seconds(2400) > 10.0

    @given(st.lists(st.tuples(st.floats(0, 2), st.floats(0, 9), st.integers(1, 900)), min_size=20))
    def test_hardly_any_stream_that_was_seen_lately_is_longer(self, streams):
        bound, lately = seen(*streams), streams[-128:]
        longer = [
            each for each in lately if bound.estimate_max_seconds(each[2]) < each[0] + each[1]
        ]
        assert len(longer) <= len(lately) // 100

    def test_slower_pace_shows_at_the_second_of_a_hundred(self):
        assert seen(*[self.short] * 100, *[(0.1, 4.0, 100)] * 2).estimate_max_seconds(200) > 7.0

    def test_change_of_the_endpoints_is_forgotten(self):
        assert seen((5.0, 9.0, 10), *[self.short] * 128).estimate_max_seconds(24) < 2.0


class TestGracefulStop:
    @pytest.mark.parametrize("seed", range(3))
    def test_streams_that_would_outlast_the_process_are_refused_as_not_run(self, seed):
        """One was broken off 7.6 s after the signal: it had been taken long after it."""
        world = ready_world(engines=2, seed=seed)
        for each in world.endpoints.values():
            each.gap = 0.3
        for _ in range(6):
            world.finish(world.ask("front-1", "/stream/once/x"))
        front = world.fronts["front-1"]
        left_at_exit = []
        callers = SimpleNamespace(closing=False, connections=1, close_idle=lambda: 0)
        stop = GracefulShutdown(
            front, callers, 8.0, lambda: left_at_exit.append(len(front.hub.active))
        )
        stop.begin()
        asked = []
        while not left_at_exit:
            if len(asked) < 200:
                asked.append(world.ask("front-1", "/stream/once/x"))
            world.run(0.2)
        assert left_at_exit == [0]
        refused = [each for each in asked if each.status == 503]
        whole = [each for each in asked if each.status == 200]
        assert refused and whole and len(refused) + len(whole) == len(asked)

    def test_stream_many_times_longer_than_usual_is_not_broken_off(self):
        """A chat of 93 events shares its engines with answers of 8 and 17.

        Four seconds after the signal it was taken, since the mean of all its service's streams
        ends in time, and it was broken off 3.6 s later, when the process ended.
        """
        world = ready_world(engines=1)
        engine = world.endpoints["engine-1"]
        engine.gap = 0.03
        for _ in range(60):
            world.finish(world.ask("front-1", "/stream/once/x"))
        front = world.fronts["front-1"]
        left_at_exit = []
        callers = SimpleNamespace(closing=False, connections=1, close_idle=lambda: 0)
        stop = GracefulShutdown(
            front, callers, 8.0, lambda: left_at_exit.append(len(front.hub.active))
        )
        stop.begin()
        # One that runs all the while keeps the process until its end.
        engine.events = 400
        world.ask("front-1", "/stream/once/x", X_Flamingofront_Deadline_Ms="9000")
        world.run(4.0)
        engine.events = 160
        caller = world.ask("front-1", "/stream/once/x", X_Flamingofront_Deadline_Ms="9000")
        world.run_until(lambda: left_at_exit)
        assert caller.done and not caller.broken


class StoppingProcess:
    """A process that is asked for anything while it stops, on connections that stay open.

    The tokens that a request names decide how many events its stream has, as an engine would.
    """

    GAP = 0.03
    GRACE = 8.0
    TOKENS_PER_EVENT = 6

    def __init__(self, seed, learned):
        self.rng = random.Random(seed)
        self.count = 0
        self.world = ready_world(engines=3, plains=2, seed=seed)
        self.front = self.world.fronts["front-1"]
        for name, each in self.world.endpoints.items():
            each.gap = self.GAP if name.startswith("engine") else 0.2
            self._answer_by_size(each)
        for _ in range(learned):
            self.world.finish(self.ask(events=self.rng.randrange(1, 6)))
        self.left_at_exit = []
        self.asked = []
        callers = SimpleNamespace(closing=False, connections=1, close_idle=lambda: 0)
        self.stop = GracefulShutdown(self.front, callers, self.GRACE, self._exited)

    def _exited(self):
        self.left_at_exit.append(len(self.front.hub.active))
        self.cut_off = [at for at, each in self.asked if not each.done]

    @staticmethod
    def _answer_by_size(endpoint):
        inner = endpoint._respond

        def answer(req, exchange, fault):
            named = req.header("x-flamingofront-token-counts")
            if named:
                endpoint.events = int(named.split(",")[1]) // StoppingProcess.TOKENS_PER_EVENT
            inner(req, exchange, fault)

        endpoint._respond = answer

    def ask(self, events=0, path="/stream/once/x", deadline=9000):
        self.count += 1
        headers = {
            "X_Flamingofront_Deadline_Ms": str(deadline),
            "X_Flamingofront_Request_Id": f"r-{self.count}",
        }
        if events:
            tokens = f"100,{events * self.TOKENS_PER_EVENT}"
            headers["X_Flamingofront_Token_Counts"] = tokens
        caller = self.world.ask("front-1", path, **headers)
        caller.request_id = f"r-{self.count}"
        return caller

    def ask_anything(self):
        path = self.rng.choice(["/stream/once/x", "/stream/again/x", "/read/x", "/write/x"])
        is_stream = path.startswith("/stream")
        events = self.rng.choice([0, 2, 4, 20, 120]) if is_stream else 0
        deadline = self.rng.choice([500, 2000, 9000])
        self.asked.append((self.world.clock.now(), self.ask(events, path, deadline)))

    def play(self, begin=0.0, pause=0.1):
        """Stop, and ask from some seconds after the signal on until the process has ended."""
        self.stop.begin()
        # One that runs all the while keeps the process until its end.
        self.world.ask("front-1", "/stream/once/x", X_Flamingofront_Deadline_Ms="9000")
        self.world.run(begin)
        while not self.left_at_exit:
            self.ask_anything()
            self.world.run(pause * 2 * self.rng.random())
        return self


class TestAnythingThatComesInAStop:
    """Answers were cut off at the exit: what a request takes was judged by the mean."""

    @pytest.mark.parametrize("learned", [0, 30])
    @pytest.mark.parametrize("seed", range(6))
    def test_no_answer_is_cut_off(self, seed, learned):
        played = StoppingProcess(seed, learned).play()
        assert len(played.asked) > 30
        assert played.cut_off == []

    @pytest.mark.parametrize("seed", range(4))
    def test_none_is_cut_off_that_comes_in_the_last_moments(self, seed):
        played = StoppingProcess(seed, 30).play(begin=7.6, pause=0.01)
        assert played.cut_off == []

    @pytest.mark.parametrize("seed", range(4))
    def test_what_is_refused_has_not_run(self, seed):
        played = StoppingProcess(seed, 30).play()
        ran = {
            req.header("x-flamingofront-request-id")
            for each in played.world.endpoints.values()
            for req in each.runs
        }
        refused = [each for _, each in played.asked if each.status == 503]
        assert refused and all("retry-after" in each.headers for each in refused)
        assert not ran & {each.request_id for each in refused}

    def test_what_ends_in_time_is_taken_until_shortly_before_the_end(self):
        """Refusing all from the signal on would keep the promise and fail the callers."""
        stopping = StoppingProcess(1, 30)
        stopping.stop.begin()
        for moment in (0.5, 2.0, 4.0, 5.5):
            stopping.world.run(moment - stopping.world.clock.now() + stopping.stop._begun_at)
            short = stopping.ask(events=4)
            plain = stopping.ask(path="/write/x", deadline=1500)
            stopping.world.finish(short, plain)
            assert (short.status, plain.status) == (200, 200)

    def test_request_that_waits_for_an_endpoint_is_refused_as_not_run(self):
        """Taken in time, it found no endpoint until it could not end any more."""
        stopping = StoppingProcess(1, 30)
        stopping.stop.begin()
        stopping.world.run(5.0)
        caller = stopping.ask(events=4)
        request = next(iter(stopping.front.hub.active.values()))
        assert not request.done
        request.execute(request.machine.postpone(request.machine.attempt_id, 0.0, 2.5))
        stopping.world.run_until(lambda: stopping.left_at_exit)
        assert caller.done and not caller.broken and caller.status == 503


class TestLastAnswers:
    @pytest.mark.parametrize(
        ("path", "kind"),
        [("/read/x", "endpoint_failed"), ("/write/x", "outcome_unknown")],
    )
    def test_request_that_outlasts_the_process_is_told_so(self, path, kind):
        """Its caller saw a connection that closed without an answer."""
        world = ready_world()
        for each in world.endpoints.values():
            each.inject_fault(ForwardFault.HANG)
        caller = world.ask("front-1", path)
        world.run(0.1)
        callers = SimpleNamespace(closing=False, connections=1, close_idle=lambda: 0)
        exits = []
        GracefulShutdown(world.fronts["front-1"], callers, 1.0, lambda: exits.append(1)).begin()
        world.run_until(lambda: exits)
        assert caller.done and caller.status == 502
        assert (caller.error["kind"], caller.error["ran"]) == (kind, "unknown")


class TestRequestThatIsStillComing:
    def test_it_is_refused_before_the_process_ends(self):
        """Its caller saw a reset, which leaves open whether the request was taken."""
        world = ready_world()
        front = world.fronts["front-1"]
        callers = SimpleNamespace(closing=False, connections=1, close_idle=lambda: 0)
        refused, exits = [], []
        stop = GracefulShutdown(front, callers, 8.0, lambda: exits.append(1), refused.append)
        began = world.clock.now()
        stop.begin()
        world.run_until(lambda: exits)
        assert [each.kind for each in refused] == [ErrorKind.DRAINING]
        assert 7.0 < world.clock.now() - began < 8.0
