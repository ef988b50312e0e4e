"""Streams while endpoints of several software versions serve, in the simulated network."""

import logbook
import pytest

from flamingofront.tests.versions_world import (
    EVENTS,
    GAP_SECONDS,
    StreamCaller,
    VersionsWorld,
    versions_world,
)

# Time in which a request is refused that cannot be served.
REFUSAL_SECONDS = 0.3
BEFORE_FIRST_EVENT = 0.01
AMID_STREAM = 10 * GAP_SECONDS
WHOLE_STREAM = EVENTS * GAP_SECONDS + 1.0
# Streams of two versions that the stated target tolerates.
MAX_MIXED = 2


def start_streams(world: VersionsWorld, count: int, fronts: list[str]) -> list[StreamCaller]:
    """Start streams at entry processes in turn."""
    callers = [StreamCaller(world, number) for number in range(count)]
    for each in callers:
        each.call(fronts[each.number % len(fronts)])
        world.run(0.005)
    return callers


def resume_elsewhere(world: VersionsWorld, callers: list[StreamCaller]) -> list[StreamCaller]:
    """Let callers with events resume broken streams at other entry processes; return them."""
    broken = [each for each in callers if each.origin_id and not each.looks_complete]
    for each in broken:
        others = [name for name in world.live_fronts() if name != each.tries[-1][1]]
        each.call(others[each.number % len(others)])
    return broken


def count_mixed(callers: list[StreamCaller]) -> int:
    return sum(len(each.seen_versions) > 1 for each in callers)


def assert_true_ends(callers: list[StreamCaller]) -> None:
    """Each event came once and in order, and a stream that looks complete is."""
    for each in callers:
        numbers = [number for number, _ in each.events]
        assert numbers == list(range(1, len(numbers) + 1))
        assert each.is_whole or not each.looks_complete


class TestWithinOneAnswer:
    """An answer goes on only at endpoints of the version that began it."""

    @pytest.mark.parametrize("seed", [1, 2, 3])
    def test_endpoint_of_another_version_does_not_go_on(self, seed):
        # Endpoints broke off streams, which went on at an endpoint of another version.
        world = versions_world(seed=seed)
        callers = start_streams(world, 40, world.live_fronts())
        world.run(0.2)
        world.kill("v1-1")
        world.kill("v1.2-1")
        world.run(WHOLE_STREAM)
        assert count_mixed(callers) <= MAX_MIXED
        assert_true_ends(callers)
        # Two endpoints of each version still serve.
        assert sum(each.is_whole for each in callers) >= 0.95 * len(callers)

    def test_version_without_endpoints_breaks_its_answers_at_once(self):
        # All endpoints of a version went, and its answers went on at another version.
        world = versions_world()
        callers = start_streams(world, 30, world.live_fronts())
        world.run(AMID_STREAM)
        begun = [each for each in callers if each.seen_versions == {"v1"}]
        assert len(begun) >= 5
        world.remove_version("v1")
        world.run(REFUSAL_SECONDS)
        assert count_mixed(callers) <= MAX_MIXED
        assert all(each.caller.broken for each in begun)
        world.run(WHOLE_STREAM)
        assert_true_ends(callers)
        assert all(each.is_whole for each in callers if each not in begun)

    @pytest.mark.parametrize("fronts", [5, 24])
    @pytest.mark.parametrize("is_dark", [False, True])
    @pytest.mark.parametrize("seed", [1, 2, 3])
    def test_new_streams_begin_at_the_other_version_when_one_has_just_died(
        self, seed, is_dark, fronts
    ):
        # Retries before the first event stayed at the version of the first attempt: 502.
        world = versions_world(fronts, seed=seed)
        for name in [each for each, version in world.versions.items() if version == "v1"]:
            world.kill(name, is_dark)
        callers = start_streams(world, 30, world.live_fronts())
        world.run(WHOLE_STREAM)
        assert all(each.seen_versions == {"v1.2"} and each.is_whole for each in callers)


class TestOverTries:
    """A stream that its caller resumes goes on only at the version that began it."""

    @pytest.mark.parametrize("fronts", [5, 24])
    @pytest.mark.parametrize("seed", [1, 2])
    @pytest.mark.parametrize("way", ["kill", "pause", "cut_off"])
    def test_entry_process_is_lost_amid_the_streams(self, way, seed, fronts):
        # Another entry process knew nothing of the version that began the stream.
        world = versions_world(fronts, seed=seed)
        callers = start_streams(world, 40, ["front-1", "front-2"])
        world.run(0.3)
        for name in ("front-1", "front-2"):
            if way == "cut_off":
                for other in [each for each in world.hosts_by_name() if each != name]:
                    world.cut(name, other)
            else:
                world.lose(name, way)
        lost = [each for each in callers if each.origin_id]
        for each in lost:
            others = [name for name in world.live_fronts() if name not in ("front-1", "front-2")]
            each.call(others[each.number % len(others)])
        world.run(WHOLE_STREAM)
        assert len(lost) >= 30
        assert count_mixed(lost) <= MAX_MIXED
        assert_true_ends(lost)
        assert sum(each.is_whole for each in lost) >= 0.95 * len(lost)

    def test_entry_process_that_has_just_started_again(self):
        # The process that the caller reaches has forgotten all it knew.
        world = versions_world()
        callers = start_streams(world, 30, ["front-1"])
        world.run(0.3)
        world.kill("front-1")
        node = world.front("front-1", first_start=False)
        world.run_until(lambda: node.ready)
        resumed = [each for each in callers if each.origin_id]
        for each in resumed:
            each.call("front-1")
        world.run(WHOLE_STREAM)
        assert len(resumed) >= 20
        assert count_mixed(resumed) <= MAX_MIXED
        assert_true_ends(resumed)
        assert sum(each.is_whole for each in resumed) >= 0.95 * len(resumed)

    def test_chain_of_tries_names_the_first_one(self):
        # Two entry processes are lost after one another, and some tries bring no event.
        world = versions_world()
        callers = start_streams(world, 20, ["front-1"])
        for lost in ("front-1", "front-2"):
            world.run(0.4)
            world.kill(lost)
            following = f"front-{int(lost[-1]) + 1}"
            for each in [each for each in callers if each.origin_id and not each.looks_complete]:
                each.call(following)
                if each.number % 3 == 0:
                    each.caller.leave()
                    each.call(following)
        world.run(WHOLE_STREAM)
        assert count_mixed(callers) <= MAX_MIXED
        assert_true_ends(callers)
        assert sum(each.is_whole for each in callers) >= 0.95 * len(callers)

    def test_version_without_endpoints_is_refused_at_once(self):
        # A stream of a version that is gone went on at another one.
        world = versions_world()
        callers = start_streams(world, 30, ["front-1"])
        world.run(AMID_STREAM)
        begun = [each for each in callers if each.seen_versions == {"v1"}]
        world.remove_version("v1")
        world.run(REFUSAL_SECONDS)
        for each in begun:
            each.call("front-2")
        world.run(REFUSAL_SECONDS)
        refusals = [each.caller for each in begun]
        assert all(each.done and each.status == 503 for each in refusals)
        assert all(each.error["ran"] == "no" for each in refusals)
        assert all(float(each.headers["retry-after"]) > 0 for each in refusals)
        assert count_mixed(callers) <= MAX_MIXED


class TestProcessOutOfStep:
    """Streams are taken up at a process that missed how endpoints of a new version joined."""

    @pytest.mark.parametrize("ended", ["all", "some", "none"])
    @pytest.mark.parametrize("way", ["pause", "cut off", "store", "peers", "restart"])
    def test_streams_go_on_at_their_version_or_are_refused(self, way, ended):
        """Guards against a process that continues streams at the version that it knows alone."""
        world = versions_world(versions=("v1",))
        if way == "restart":
            world.kill("front-5")
        elif way == "pause":
            world.pause("front-5")
        else:
            others = {"store": ["store"], "peers": [f"front-{each}" for each in range(1, 5)]}
            for name in others.get(way, [each for each in world.hosts_by_name()]):
                world.cut(name, "front-5")
        world.run(1.6)
        for number in range(1, 4):
            world.versioned_engine(f"v2-{number}", "v2", "zone-b")
        world.run(0.3)
        callers = start_streams(world, 30, ["front-1", "front-2"])
        world.run(AMID_STREAM)
        begun = [each for each in callers if each.seen_versions == {"v2"}]
        for number in {"all": (1, 2, 3), "some": (1, 2), "none": ()}[ended]:
            world.kill(f"v2-{number}")
            world.store.drop("servers", f"v2-{number}")
        for name in ("front-1", "front-2"):
            world.kill(name)
        if way == "restart":
            world.front("front-5", first_start=False)
        elif way == "pause":
            world.resume("front-5")
        else:
            world.heal()
        for each in begun:
            each.call("front-5")
        world.run(WHOLE_STREAM)
        assert len(begun) >= 10
        assert count_mixed(begun) == 0
        assert_true_ends(begun)


class TestUnknownOrigin:
    def test_stream_of_unknown_origin_is_refused_at_once(self):
        # Any endpoint went on, whichever version had begun the stream.
        world = versions_world()
        callers = [StreamCaller(world, number) for number in range(8)]
        for each in callers:
            each.call(f"front-{1 + each.number % 5}", Resumes="never-seen", Last_Event_Id="3")
        world.run(REFUSAL_SECONDS)
        assert all(each.caller.done and each.caller.status == 503 for each in callers)
        assert all(each.caller.error["ran"] == "no" for each in callers)


class TestLog:
    def test_line_of_an_attempt_names_version_origin_and_last_event(self):
        # Nothing told the version of an attempt, and that a caller resumed its stream.
        world = versions_world(fronts=1, versions=("v1",))
        world.run(8.0)  # until the only version is known to be the only one
        with logbook.TestHandler(level="INFO", bubble=True).applicationbound() as log:
            caller = world.ask("front-1", "/stream/again/1", Resumes="r-first", Last_Event_Id="2")
            world.finish(caller)
        line = next(each for each in log.records if each.message == "attempt started")
        assert line.kwargs["origin"] == "r-first" and line.kwargs["last_event"] == "2"
        assert line.kwargs["version"] == world.versions[line.kwargs["endpoint"]]
