"""No request that may run once is answered as not executed once an endpoint may have it.

A request in flight whose prompt part was quarantined was answered 503 with a Retry-After, so that
its caller sent it again while an endpoint ran it. `promises` checks each play at its end; the plays
here end requests in flight in each way that a process knows.
"""

import random
from types import SimpleNamespace

import logbook
import pytest

from flamingofront.errors import ErrorKind, Executed, RequestError
from flamingofront.process.forwarding.shutdown import GracefulShutdown
from flamingofront.standins.forward_endpoint import CrashAnswer
from flamingofront.tests.crashing_world import crashing_world
from flamingofront.tests.forwarding_world import RUN_ONCE, configuration, ready_world
from flamingofront.tests.network import PathFault
from flamingofront.tests.part_load import PartLoad, PartTrouble
from flamingofront.tests.paths_world import paths_world
from flamingofront.tests.promises import (
    AskedRequest,
    list_broken_refusals,
    list_repeated_runs,
)

ONCE = ("/stream/once/x", "/write/x")


def play_parts(seed, engines=16, fronts=7, setup=lambda load: None, **options):
    """Play requests that may run once and share a part which crashes endpoints."""
    world = crashing_world(fronts=fronts, engines=engines, plains=8, seed=seed)
    load = PartLoad(world, paths=ONCE, poison_period=0.1, **options)
    setup(load)
    load.play(seconds=12.0, poison_from=2.0)
    assert world.crashes
    return world, load


def refused(load):
    """Return the requests with the part that were refused."""
    return [each for each in load.poison if each.status == 503]


class TestQuarantineOfRequestsInFlight:
    """The part is quarantined while other requests with it are at endpoints."""

    @pytest.mark.parametrize("seed", range(3))
    @pytest.mark.parametrize("crash_seconds", [0.09, 0.6, 2.0])
    def test_request_at_an_endpoint_is_not_answered_as_not_executed(self, crash_seconds, seed):
        def setup(load):
            load.world.set_crash_options(crash_seconds=crash_seconds)

        world, load = play_parts(seed, setup=setup)
        assert not list_broken_refusals(world.asked, world.list_runs())
        # What was never sent is still refused, with the time of the next trial.
        assert refused(load) and all("retry-after" in each.headers for each in refused(load))

    @pytest.mark.parametrize("answer", [CrashAnswer.HEAD, CrashAnswer.EVENTS])
    def test_endpoints_that_begin_to_answer(self, answer):
        play_parts(
            1, setup=lambda load: load.world.set_crash_options(crash_answer=answer, crash_seconds=1)
        )

    @pytest.mark.parametrize("engines", [4, 8])
    def test_few_engines(self, engines):
        play_parts(2, engines=engines)

    @pytest.mark.parametrize("way", ["restart", "pause", "lossy", "cut", "store"])
    def test_disturbed_processes(self, way):
        def setup(load):
            world, names = load.world, list(load.world.fronts)
            for number, name in enumerate(names[:4]):
                at = 2.2 + 0.5 * number
                if way == "restart":
                    load.at(at, lambda name=name: world.restart(name))
                elif way == "pause":
                    load.at(at, lambda name=name: world.pause(name))
                    load.at(at + 1.5, lambda name=name: world.resume(name))
            if way == "lossy":
                load.at(2.0, lambda: setattr(world, "lost_datagrams", 0.3))
            elif way == "cut":
                load.at(2.5, lambda: world.cut("zone-a", "zone-b"))
                load.at(6.0, world.heal)
            elif way == "store":
                load.at(2.0, lambda: world.cut("store", "zone-a"))
                load.at(6.0, world.heal)
            world.set_crash_options(crash_seconds=0.5)

        play_parts(3, setup=setup)

    @pytest.mark.parametrize("seed", range(6))
    def test_any_trouble(self, seed):
        PartTrouble(100 + seed).play(10.0)


class TestRequestsInFlight:
    """Each way in which a process ends a request that an endpoint has."""

    def ask_running(self, world, path="/stream/once/x", **headers):
        """Return a caller whose request is at an endpoint, and the request."""
        for each in world.endpoints.values():
            each.gap = 2.0
        caller = world.ask("front-1", path, X_Flamingofront_Deadline_Ms="3500", **headers)
        world.run(0.2)
        request = next(iter(world.fronts["front-1"].hub.active.values()))
        assert request.has_attempt_in_flight
        return caller, request

    @pytest.mark.parametrize("kind", [each for each in ErrorKind if each is not ErrorKind.INTERNAL])
    @pytest.mark.parametrize("path", ONCE)
    def test_no_kind_of_error_states_that_it_was_not_executed(self, path, kind):
        """The statement was left to whoever ends a request; one of them had forgotten it."""
        world = ready_world()
        caller, request = self.ask_running(world, path)
        request.execute(request.machine.fail(kind, "", 1.0))
        assert caller.done and caller.status not in (408, 421, 429, 503)
        assert caller.error["ran"] != "no"

    @pytest.mark.parametrize("path", ONCE)
    def test_rejection_of_a_request_taken_for_unstarted(self, path):
        world = ready_world()
        caller, request = self.ask_running(world, path)
        request.reject_unstarted(
            RequestError(ErrorKind.OVERLOADED, ran=Executed.NO, retry_after=1.0)
        )
        assert (caller.status, caller.error["ran"]) == (502, "unknown")

    def test_request_that_was_not_sent_is_refused(self):
        """The other side: certainty is not given away."""
        world = ready_world()
        for each in world.endpoints:
            world.fail_paths(("front-1",), [each], PathFault.HANGING)
        caller = world.ask("front-1", "/stream/once/x")
        world.run(0.05)
        request = next(iter(world.fronts["front-1"].hub.active.values()))
        request.execute(request.machine.fail(ErrorKind.PROMPT_PART_CRASHES, "", 1.0))
        assert (caller.status, caller.error["ran"]) == (503, "no")
        assert caller.headers["retry-after"] == "1.000"

    @pytest.mark.parametrize("status", [408, 429, 503])
    @pytest.mark.parametrize("path", ONCE)
    def test_refusal_of_an_endpoint_that_does_not_state_that_it_did_not_run(self, path, status):
        """Its answer was passed on, though it had begun to run the request."""
        world = ready_world()
        for each in world.endpoints.values():
            each._respond = lambda req, exchange, fault, each=each: exchange.respond(
                status, each._make_headers(req), b"busy"
            )
        caller = world.ask("front-1", path)
        world.finish(caller)
        assert (caller.status, caller.error["ran"]) == (502, "unknown")

    def test_log_tells_what_was_written_of_a_cancelled_attempt(self):
        world = ready_world()
        with logbook.TestHandler(level="INFO", bubble=True).applicationbound() as log:
            _, request = self.ask_running(world)
            request.execute(request.machine.fail(ErrorKind.PROMPT_PART_CRASHES, "", 1.0))
        line = next(each for each in log.records if each.message == "attempt cancelled")
        assert line.kwargs["wrote"] is True and line.kwargs["endpoint"] in world.endpoints
        assert line.kwargs["sent_age"] >= 0.2 and line.kwargs["proxy"] == ""

    def test_replaced_attempt_counts_as_written(self):
        world = ready_world()
        _, request = self.ask_running(world, "/stream/again/x")
        request.machine.replace_attempt(request.machine.attempt_id)
        assert request.machine.ran is Executed.UNKNOWN

    @pytest.mark.parametrize("fault", list(PathFault))
    def test_attempts_through_peers(self, fault):
        """Bytes that were written to a peer may be at an endpoint."""
        world = paths_world()
        for each in world.endpoints.values():
            each.gap = 0.6
        world.fail_paths(("front-1", "front-2"), list(world.endpoints), fault)
        for step in range(40):
            for name in ("front-1", "front-2"):
                world.ask(name, ONCE[step % 2])
            world.run(0.1)
            if step % 10 == 9:
                for request in list(world.fronts["front-1"].hub.active.values()):
                    kind = ErrorKind.PROMPT_PART_CRASHES
                    request.execute(request.machine.fail(kind, "", 1.0))
        world.run(5.0)
        assert not list_broken_refusals(world.asked, world.list_runs())

    @pytest.mark.parametrize("seed", range(4))
    def test_process_stops_while_callers_leave(self, seed):
        rng = random.Random(seed)
        world = ready_world(fronts=3, engines=3, plains=3, seed=seed)
        for each in world.endpoints.values():
            each.gap = 0.4
        front, exits = world.fronts["front-1"], []
        callers = SimpleNamespace(closing=False, connections=1, close_idle=lambda: 0)
        stop = GracefulShutdown(front, callers, 3.0, lambda: exits.append(1))
        for step in range(60):
            caller = world.ask("front-1", rng.choice(ONCE))
            if rng.random() < 0.2:
                world.host("store").timers.once(rng.random(), caller.leave)
            if step == 20:
                stop.begin()
            world.run(0.05)
        world.run(4.0)
        assert exits

    @pytest.mark.parametrize("seed", range(4))
    def test_quota_and_permits_are_lost(self, seed):
        """Arbiters end while requests wait for them, and others run."""
        limited = {"name": "desk", "api_keys": ["key-1"], "rate_per_s": 60, "burst": 20}
        world = ready_world(fronts=5, engines=4, plains=4, seed=seed, tenants=[limited])
        rng = random.Random(seed)
        for each in world.endpoints.values():
            each.gap, each.rate_limit = 0.2, "8"
        for step in range(80):
            running = [name for name in world.fronts if not world.host(name).dead]
            for _ in range(4):
                world.ask(rng.choice(running), rng.choice(ONCE))
            if step % 20 == 10:
                name = rng.choice(running)
                world.kill(name)
                timers = world.host("store").timers
                timers.once(0.6, lambda name=name: world.front(name, first_start=False))
            world.lost_datagrams = 0.3 if step % 20 < 5 else 0.0
            world.run(0.1)
        world.run(5.0)
        assert any(each.caller.status == 200 for each in world.asked)


class TestCheck:
    """The check itself fails where a promise is broken."""

    def ask(self, status, is_repeatable=False):
        caller = SimpleNamespace(status=status, body=b"")
        return AskedRequest("r-1", "/write/x", caller, is_repeatable)

    @pytest.mark.parametrize("status", [408, 421, 429, 503])
    def test_refused_request_that_ran_is_found(self, status):
        found = list_broken_refusals([self.ask(status)], [("r-1", "plain-1")])
        assert [each.endpoints for each in found] == [("plain-1",)]

    def test_other_answers_and_requests_are_allowed(self):
        assert not list_broken_refusals([self.ask(502)], [("r-1", "plain-1")])
        assert not list_broken_refusals([self.ask(503)], [("r-2", "plain-1")])
        assert not list_broken_refusals([self.ask(503, True)], [("r-1", "plain-1")])

    def test_request_that_ran_twice_is_found(self):
        runs = [("r-1", "plain-1"), ("r-1", "plain-2"), ("r-2", "plain-1")]
        assert list_repeated_runs([self.ask(200)], runs) == [("r-1", ("plain-1", "plain-2"))]
        assert not list_repeated_runs([self.ask(200, True)], runs)
        assert not list_repeated_runs([self.ask(200)], runs[1:])

    def test_play_of_a_world_is_checked(self):
        world = ready_world()
        caller = world.ask("front-1", "/write/x")
        world.finish(caller)
        caller.status = 503
        assert list_broken_refusals(world.asked, world.list_runs())
        caller.status = 200

    def test_requests_that_may_run_once_are_known_by_their_paths(self):
        once = [
            each["prefix"]
            for each in configuration()["routes"]
            if each["kind"] != "idempotent" and not each.get("resumable", False)
        ]
        assert once == list(RUN_ONCE)
