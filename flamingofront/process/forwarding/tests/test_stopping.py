"""Graceful shutdown while callers keep their connections."""

import math
import random
from types import SimpleNamespace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from flamingofront.decisions.stopping import StreamBound, StreamTimes, can_complete
from flamingofront.errors import ErrorKind
from flamingofront.process.forwarding.shutdown import GracefulShutdown
from flamingofront.request.forwarded_request import ForwardedRequest
from flamingofront.standins.forward_endpoint import ForwardFault
from flamingofront.tests.forwarding_world import ready_world


def bound_after(*streams):
    """Return the bound after complete streams, each (first event, rest, output tokens)."""
    bound = StreamBound()
    for each in streams:
        bound.observe(StreamTimes(*each))
    return bound


class TestCanComplete:
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
    def test_request_ends_by_its_deadline_or_by_its_size(self, deadline_left, bound, left, ends):
        assert can_complete(deadline_left, bound, left) is ends


class TestStreamBound:
    short = (0.1, 0.1, 24)

    def test_stream_without_a_token_count_is_unbounded(self):
        """Short streams observed before must not bound a stream of unknown size."""
        assert bound_after(*[self.short] * 100).estimate_max_seconds(0) == math.inf

    def test_few_responses_give_no_bound(self):
        assert bound_after(*[self.short] * 19).estimate_max_seconds(24) == math.inf
        assert bound_after(*[self.short] * 20).estimate_max_seconds(24) < math.inf

    def test_streams_without_a_token_count_are_not_observed(self):
        assert bound_after(*[(0.1, 5.0, 0)] * 100).estimate_max_seconds(24) == math.inf

    def test_bound_grows_with_the_token_count(self):
        """At the same token rate, a hundred times the tokens take a hundred times as long."""
        assert bound_after(*[self.short] * 100).estimate_max_seconds(2400) > 10.0

    @given(st.lists(st.tuples(st.floats(0, 2), st.floats(0, 9), st.integers(1, 900)), min_size=20))
    def test_bound_covers_recent_streams(self, streams):
        bound, lately = bound_after(*streams), streams[-128:]
        longer = [
            each for each in lately if bound.estimate_max_seconds(each[2]) < each[0] + each[1]
        ]
        assert len(longer) <= len(lately) // 100

    def test_two_slow_streams_after_a_hundred_raise_the_bound(self):
        assert (
            bound_after(*[self.short] * 100, *[(0.1, 4.0, 100)] * 2).estimate_max_seconds(200) > 7.0
        )

    def test_old_observations_expire(self):
        assert bound_after((5.0, 9.0, 10), *[self.short] * 128).estimate_max_seconds(24) < 2.0


class TestGracefulShutdown:
    @pytest.mark.parametrize("seed", range(3))
    def test_streams_that_would_outlast_the_process_are_rejected(self, seed):
        """A stream admitted late in the shutdown was cut off 7.6 s after the signal."""
        world = ready_world(engines=2, seed=seed)
        for each in world.endpoints.values():
            each.gap = 0.3
        for _ in range(6):
            world.finish(world.ask("front-1", "/stream/once/x"))
        front = world.fronts["front-1"]
        active_at_exit = []
        callers = SimpleNamespace(closing=False, connections=1, close_idle=lambda: 0)
        stop = GracefulShutdown(
            front, callers, 8.0, lambda: active_at_exit.append(len(front.hub.active))
        )
        stop.begin()
        asked = []
        while not active_at_exit:
            if len(asked) < 200:
                asked.append(world.ask("front-1", "/stream/once/x"))
            world.run(0.2)
        assert active_at_exit == [0]
        refused = [each for each in asked if each.status == 503]
        complete = [each for each in asked if each.status == 200]
        assert refused and complete and len(refused) + len(complete) == len(asked)

    def test_unusually_long_stream_is_not_cut_off(self):
        """Streams of one service differ: 93 events beside streams of 8 and 17.

        One was admitted four seconds after the signal, since the mean of its service's streams ends
        in time, and was cut off 3.6 s later, when the process ended.
        """
        world = ready_world(engines=1)
        engine = world.endpoints["engine-1"]
        engine.gap = 0.03
        for _ in range(60):
            world.finish(world.ask("front-1", "/stream/once/x"))
        front = world.fronts["front-1"]
        active_at_exit = []
        callers = SimpleNamespace(closing=False, connections=1, close_idle=lambda: 0)
        stop = GracefulShutdown(
            front, callers, 8.0, lambda: active_at_exit.append(len(front.hub.active))
        )
        stop.begin()
        # A long stream keeps the process running until its deadline.
        engine.events = 400
        world.ask("front-1", "/stream/once/x", X_Flamingofront_Deadline_Ms="9000")
        world.run(4.0)
        engine.events = 160
        caller = world.ask("front-1", "/stream/once/x", X_Flamingofront_Deadline_Ms="9000")
        world.run_until(lambda: active_at_exit)
        assert caller.done and not caller.broken


class StoppingProcess:
    """A stopping process that gets random requests on connections that stay open.

    The token count of a request determines the number of events of its stream.
    """

    GAP = 0.03
    GRACE = 8.0
    TOKENS_PER_EVENT = 6

    def __init__(self, seed, warmup_requests):
        self.rng = random.Random(seed)
        self.count = 0
        self.world = ready_world(engines=3, plains=2, seed=seed)
        self.front = self.world.fronts["front-1"]
        for name, each in self.world.endpoints.items():
            each.gap = self.GAP if name.startswith("engine") else 0.2
            self._size_streams_by_tokens(each)
        for _ in range(warmup_requests):
            self.world.finish(self.ask(events=self.rng.randrange(1, 6)))
        self.active_at_exit = []
        self.asked = []
        callers = SimpleNamespace(closing=False, connections=1, close_idle=lambda: 0)
        self.stop = GracefulShutdown(self.front, callers, self.GRACE, self._record_exit)

    def _record_exit(self):
        self.active_at_exit.append(len(self.front.hub.active))
        self.cut_off = [at for at, each in self.asked if not each.done]

    @staticmethod
    def _size_streams_by_tokens(endpoint):
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

    def send_random_request(self):
        path = self.rng.choice(["/stream/once/x", "/stream/again/x", "/read/x", "/write/x"])
        is_stream = path.startswith("/stream")
        events = self.rng.choice([0, 2, 4, 20, 120]) if is_stream else 0
        deadline = self.rng.choice([500, 2000, 9000])
        self.asked.append((self.world.clock.now(), self.ask(events, path, deadline)))

    def run_to_exit(self, begin=0.0, pause=0.1):
        """Stop, and send requests from `begin` seconds after the signal until the exit."""
        self.stop.begin()
        # A long stream keeps the process running until its deadline.
        self.world.ask("front-1", "/stream/once/x", X_Flamingofront_Deadline_Ms="9000")
        self.world.run(begin)
        while not self.active_at_exit:
            self.send_random_request()
            self.world.run(pause * 2 * self.rng.random())
        return self


class TestRequestsDuringShutdown:
    """Estimating request durations by the mean of the service let the exit cut off responses."""

    @pytest.mark.parametrize("warmup_requests", [0, 30])
    @pytest.mark.parametrize("seed", range(6))
    def test_no_response_is_cut_off(self, seed, warmup_requests):
        process = StoppingProcess(seed, warmup_requests).run_to_exit()
        assert len(process.asked) > 30
        assert process.cut_off == []

    @pytest.mark.parametrize("seed", range(4))
    def test_no_late_response_is_cut_off(self, seed):
        process = StoppingProcess(seed, 30).run_to_exit(begin=7.6, pause=0.01)
        assert process.cut_off == []

    @pytest.mark.parametrize("seed", range(4))
    def test_rejected_requests_have_not_run(self, seed):
        process = StoppingProcess(seed, 30).run_to_exit()
        ran = {
            req.header("x-flamingofront-request-id")
            for each in process.world.endpoints.values()
            for req in each.runs
        }
        refused = [each for _, each in process.asked if each.status == 503]
        assert refused and all("retry-after" in each.headers for each in refused)
        assert not ran & {each.request_id for each in refused}

    def test_requests_that_end_in_time_are_admitted_until_near_the_exit(self):
        """Rejecting all requests after the signal would fail callers without need."""
        stopping = StoppingProcess(1, 30)
        stopping.stop.begin()
        for moment in (0.5, 2.0, 4.0, 5.5):
            stopping.world.run(moment - stopping.world.clock.now() + stopping.stop._started_at)
            short = stopping.ask(events=4)
            plain = stopping.ask(path="/write/x", deadline=1500)
            stopping.world.finish(short, plain)
            assert (short.status, plain.status) == (200, 200)

    def test_request_waiting_for_an_endpoint_is_rejected(self, monkeypatch):
        """A request admitted in time may find an endpoint only when it is too late to complete."""
        stopping = StoppingProcess(1, 30)
        stopping.stop.begin()
        stopping.world.run(5.0)
        waits = iter([2.5])
        monkeypatch.setattr(
            ForwardedRequest, "_compute_postponement", lambda request, chosen: next(waits, 0.0)
        )
        caller = stopping.ask(events=4)
        request = next(iter(stopping.front.hub.active.values()))
        assert not request.done and not request.has_attempt_in_flight
        stopping.world.run_until(lambda: stopping.active_at_exit)
        assert caller.done and not caller.broken and caller.status == 503
        assert caller.request_id not in {name for name, _ in stopping.world.list_runs()}


class TestFinalErrors:
    @pytest.mark.parametrize(
        ("path", "kind"),
        [("/read/x", "endpoint_failed"), ("/write/x", "outcome_unknown")],
    )
    def test_request_that_outlasts_the_process_gets_an_error(self, path, kind):
        """Without it, the caller would see a connection that closes without a response."""
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


class TestUnreadRequest:
    def test_unread_request_is_rejected_before_the_exit(self):
        """The caller would otherwise see a reset, which leaves open whether the request ran."""
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
