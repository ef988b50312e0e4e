"""Answers of endpoints that fall silent and go on, in the simulated network."""

from collections.abc import Iterable
from dataclasses import replace

import pytest

from flamingofront.tests.forwarding_world import RULES, ForwardingWorld
from flamingofront.tests.network import Caller
from flamingofront.tests.paths_world import FRONTS, PATHS, paths_world

EVENTS, GAP_SECONDS = 20, 0.05
# Requests are at their endpoints for so long before these fall silent.
BEGUN_SECONDS = 0.3
# No retry is left: what is given up is not sent again.
NO_RETRIES = replace(RULES, retry_ratio=0.0, retry_allowance=0.0)
GIVEN_UP_REASONS = ("path lost", "proxy peer does not respond", "zone cut off")


def silent_world(seed: int = 1, rules=NO_RETRIES, **options) -> ForwardingWorld:
    """Return a world in which streams last for a second and calls for 50 ms."""
    world = paths_world(seed=seed, rules=rules, **options)
    for each in world.endpoints.values():
        each.events, each.gap = EVENTS, GAP_SECONDS
    world.run(6.0)
    return world


def ask_all(world: ForwardingWorld, paths: Iterable[str]) -> list[Caller]:
    """Send a request on each path to each entry process."""
    return [world.ask(name, path) for name in world.fronts for path in paths]


def silence(world: ForwardingWorld, names: Iterable[str], seconds: float) -> None:
    """Let endpoints stand still for some seconds, then go on."""
    names = list(names)
    for name in names:
        world.pause(name)
    world.run(seconds)
    for name in names:
        world.resume(name)


def is_whole(caller: Caller) -> bool:
    """Return True if a caller got a complete answer."""
    return caller.done and not caller.broken and caller.status == 200


def count_given_up(world: ForwardingWorld) -> int:
    """Return the number of attempts that were given up while their endpoints worked on them."""
    return sum(
        node.metrics.value("retries_total", reason=reason)
        for node in world.fronts.values()
        for reason in GIVEN_UP_REASONS
    )


class TestSilentEngines:
    """All or some endpoints of a service are silent for a while, and no retry is left."""

    @pytest.mark.parametrize("seconds", [0.5, 0.8, 1.0, 1.2, 1.5, 1.8])
    @pytest.mark.parametrize("count", [1, 2, 4])
    def test_answer_goes_on_after_silence(self, count, seconds):
        # A check of the paths was in progress: attempts were given up, and no retry was left.
        world = silent_world()
        callers = ask_all(world, PATHS)
        world.run(BEGUN_SECONDS)
        silence(world, [f"engine-{number}" for number in range(1, count + 1)], seconds)
        world.run(2.0)
        assert [each.status for each in callers if not is_whole(each)] == []
        assert count_given_up(world) == 0

    @pytest.mark.parametrize("seed", range(1, 7))
    def test_answers_go_on_amid_silences_in_series(self, seed):
        # Silences end between a probe of this process and that of a peer.
        world = silent_world(seed)
        callers = []
        for number in range(6):
            callers += ask_all(world, PATHS)
            world.run(BEGUN_SECONDS)
            silence(world, list(world.endpoints)[: 4 + 4 * (number % 2)], 0.45 + 0.09 * number)
            callers += ask_all(world, PATHS)
            world.run(1.0)
        world.run(3.0)
        assert [each.status for each in callers if not is_whole(each)] == []
        assert count_given_up(world) == 0


class TestSilenceThatEndsDuringACheck:
    """A peer's probe succeeds after that of this process has failed, as the silence has ended."""

    @pytest.mark.parametrize("rules", [NO_RETRIES, RULES], ids=["no-retries", "retries"])
    @pytest.mark.parametrize("seconds", [0.72, 0.8, 0.92])
    def test_path_to_service_is_not_lost(self, seconds, rules):
        # Each process took the paths to the silent service for lost, and gave up its attempts.
        world = silent_world(rules=rules)
        callers = ask_all(world, PATHS)
        world.run(BEGUN_SECONDS)
        names = ["engine-1", "engine-2", "engine-3", "engine-4"]
        for name in names:
            world.pause(name)
        resumed_at = world.clock.now() + seconds
        while world.clock.now() + 0.1 < resumed_at:
            callers += ask_all(world, ("/read/1", "/stream/again/1"))
            world.run(0.1)
        world.run(resumed_at - world.clock.now())
        for name in names:
            world.resume(name)
        world.run(1.0)
        assert [node.hub.paths.monitor.count_lost() for node in world.fronts.values()] == [0] * 5
        world.run(2.0)
        assert [each.status for each in callers if not is_whole(each)] == []
        assert count_given_up(world) == 0

    @pytest.mark.parametrize("seconds", [1.0, 1.06, 1.12, 1.18])
    def test_attempts_are_kept_if_no_peer_reaches_any_endpoint(self, seconds):
        # All endpoints stand still, and no process can tell this from lost paths.
        world = silent_world()
        callers = ask_all(world, PATHS)
        world.run(BEGUN_SECONDS)
        silence(world, world.endpoints, seconds)
        world.run(3.0)
        assert [each.status for each in callers if not is_whole(each)] == []
        assert count_given_up(world) == 0


class TestProcessThatHasJustStarted:
    """The retry budget of a process is small in its first window."""

    @pytest.mark.parametrize("seconds", [1.0, 1.3])
    def test_answer_goes_on_after_silence(self, seconds):
        # After a planned stop: nine requests, three silent attempts, and two retries to be had.
        world = silent_world(rules=RULES)
        world.kill("front-1")
        world.run(0.5)
        world.front("front-1")
        world.run_until(lambda: world.fronts["front-1"].ready)
        callers = [world.ask("front-1", "/stream/again/1") for _ in range(12)]
        world.run(BEGUN_SECONDS)
        silence(world, ["engine-1", "engine-2", "engine-3", "engine-4"], seconds)
        world.run(2.0)
        assert [each.status for each in callers if not is_whole(each)] == []


class TestPathsThatAreLost:
    """Attempts on lost paths, if no retry is left."""

    def test_attempt_is_kept_if_no_retry_is_left(self):
        # The answer may still come: endpoints whose paths fail for a moment go on.
        world = silent_world()
        callers = [world.ask(name, "/stream/again/1") for name in FRONTS]
        world.run(BEGUN_SECONDS)
        for name in FRONTS[:4]:
            for endpoint in world.endpoints:
                world.cut(name, endpoint)
        world.run(1.0)
        world.heal()
        world.run(3.0)
        assert [each.status for each in callers if not is_whole(each)] == []

    def test_kept_attempt_is_logged_once_for_each_reason(self):
        # Two reasons in turn made a line each time, several a second for each attempt.
        world = silent_world()
        caller = world.ask("front-1", "/stream/again/1")
        world.run(BEGUN_SECONDS)
        (request,) = world.fronts["front-1"].hub.active.values()
        lines = []
        request.log.info = lambda event, **fields: lines.append((event, fields["reason"]))
        for _ in range(5):
            request.fail_over("path lost")
            request.fail_over("zone cut off")
        assert sorted(lines) == [("attempt kept", "path lost"), ("attempt kept", "zone cut off")]
        world.finish(caller)
