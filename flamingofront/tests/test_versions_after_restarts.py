"""Streams that are resumed after the processes that knew their versions have ended.

What serves now does not tell which versions served when a stream began. After all entry processes
had been killed at once, streams of a version that had just left went on at the one that was left.
"""

import pytest

from flamingofront.standins.table_store import StoreFault
from flamingofront.tests.test_streams_of_versions import (
    AMID_STREAM,
    REFUSAL_SECONDS,
    WHOLE_STREAM,
    assert_true_ends,
    count_mixed,
    start_streams,
)
from flamingofront.tests.versions_world import ZONES, StreamCaller, VersionsWorld, versions_world

OLD, NEW = "v1", "v1.2"
DOWN_SECONDS = 0.5


def remove_rows(world: VersionsWorld, version: str = OLD) -> None:
    """Let the endpoints of a version end, without rows that are left."""
    world.remove_version(version)


def replace_endpoints(world: VersionsWorld, same_id: bool = False) -> None:
    """Replace each endpoint of the old version by one of the new version."""
    ended = [name for name, found in world.versions.items() if found == OLD]
    for name in ended:
        world.kill(name)
        if not same_id:
            world.store.drop("servers", name)
    # Endpoints take a moment to start.
    world.run(0.3)
    for number, name in enumerate(ended):
        zone = world.host(name).zone
        again = name if same_id else f"{NEW}-again-{number}"
        world.versioned_engine(again, NEW, zone)


def kill_all(world: VersionsWorld, names: list[str] | None = None) -> list[str]:
    """Kill entry processes at once, all by default."""
    names = list(world.fronts) if names is None else names
    for name in names:
        world.kill(name)
    return names


def start_all(world: VersionsWorld, names: list[str]) -> None:
    """Start entry processes again, and wait until they are ready."""
    for name in names:
        world.front(name, world.host(name).zone, first_start=False)
    world.run_until(lambda: all(world.fronts[name].ready for name in names))


def resume(world: VersionsWorld, callers: list[StreamCaller]) -> list[StreamCaller]:
    """Let the callers with events resume their broken streams; return them."""
    broken = [
        each
        for each in callers
        if each.origin_id
        and not each.looks_complete
        and (each.caller.done or each.caller.node is not world.fronts[each.tries[-1][1]])
    ]
    for each in broken:
        each.call(world.live_fronts()[each.number % len(world.live_fronts())])
        world.run(0.005)
    return broken


def play(world: VersionsWorld, steps, count: int = 40) -> list[StreamCaller]:
    """Start streams, let something happen, and let their callers resume them twice."""
    callers = start_streams(world, count, world.live_fronts())
    world.run(AMID_STREAM)
    steps()
    lost = resume(world, callers)
    assert len(lost) >= 10
    world.run(REFUSAL_SECONDS)
    resume(world, lost)
    world.run(WHOLE_STREAM)
    check(world, callers)
    return lost


def check(world: VersionsWorld, callers: list[StreamCaller]) -> None:
    """No stream holds two versions, and none comes twice or falsely ends."""
    assert count_mixed(callers) == 0
    assert_true_ends(callers)


def count_resumed(callers: list[StreamCaller]) -> int:
    """Return the number of streams that went on after their first try."""
    return sum(each.is_whole for each in callers)


class TestAllProcessesKilled:
    @pytest.mark.parametrize("fronts", [5, 24])
    @pytest.mark.parametrize("before", [0.05, 2.0, 8.0])
    def test_rows_of_a_version_removed_before_the_kill(self, before, fronts):
        world = versions_world(fronts)
        callers = [StreamCaller(world, 1000 + number) for number in range(20)]
        for each in callers:
            each.call(world.live_fronts()[each.number % fronts])
        world.run(AMID_STREAM)

        def steps():
            remove_rows(world)
            world.run(before)
            start_all(world, kill_all(world))

        play(world, steps)
        resume(world, callers)
        world.run(WHOLE_STREAM)
        check(world, callers)

    def test_rows_removed_while_all_are_down(self):
        world = versions_world()

        def steps():
            names = kill_all(world)
            world.run(0.1)
            remove_rows(world)
            world.run(DOWN_SECONDS)
            start_all(world, names)

        play(world, steps)

    @pytest.mark.parametrize("same_id", [False, True])
    @pytest.mark.parametrize("while_down", [False, True])
    def test_endpoints_replaced_by_those_of_the_new_version(self, while_down, same_id):
        world = versions_world()

        def steps():
            if while_down:
                names = kill_all(world)
                replace_endpoints(world, same_id)
                world.run(DOWN_SECONDS)
            else:
                replace_endpoints(world, same_id)
                world.run(0.1)
                names = kill_all(world)
            start_all(world, names)

        play(world, steps)

    def test_two_kills_in_a_row(self):
        world = versions_world()

        def steps():
            start_all(world, kill_all(world))
            remove_rows(world)
            world.run(0.05)
            start_all(world, kill_all(world))

        play(world, steps)

    def test_version_that_came_between_two_kills(self):
        """It serves for a moment only, and is gone at the second kill."""
        world = versions_world(versions=(OLD,))
        start_all(world, kill_all(world))
        for number in range(3):
            world.versioned_engine(f"{NEW}-{number}", NEW, ZONES[number % 2])
        world.run(0.4)

        def steps():
            remove_rows(world, NEW)
            world.run(0.05)
            start_all(world, kill_all(world))

        play(world, steps)

    @pytest.mark.parametrize("same_zone", [False, True])
    def test_one_zone_is_left_alive(self, same_zone):
        world = versions_world()

        def steps():
            remove_rows(world)
            world.run(0.05)
            lost = [name for name in world.fronts if world.host(name).zone == ZONES[0]]
            kill_all(world, lost)
            if same_zone:
                start_all(world, lost)

        play(world, steps)

    def test_process_that_was_cut_off_is_the_only_one_left(self):
        """Its view of the versions was as old as the cut."""
        world = versions_world(versions=(OLD,))
        for each in [name for name in world.hosts_by_name() if name != "front-1"]:
            world.cut("front-1", each)
        for number in range(3):
            world.versioned_engine(f"{NEW}-{number}", NEW, ZONES[number % 2])
        world.run(4.0)
        callers = start_streams(world, 40, ["front-2", "front-3", "front-4", "front-5"])
        world.run(AMID_STREAM)
        remove_rows(world, NEW)
        world.run(0.05)
        kill_all(world, ["front-2", "front-3", "front-4", "front-5"])
        world.heal()
        world.run(1.0)
        resume(world, callers)
        world.run(WHOLE_STREAM)
        check(world, callers)

    @pytest.mark.parametrize("age", [2.0, 6.0])
    @pytest.mark.parametrize("is_new", [False, True])
    def test_store_comes_back_from_a_snapshot(self, is_new, age):
        """The snapshot may lack a version that has come since, or has been and gone."""
        world = versions_world(versions=(OLD,) if is_new else (OLD, NEW))
        if is_new:
            for number in range(3):
                world.versioned_engine(f"{NEW}-{number}", NEW, ZONES[number % 2])
            world.run(1.0)

        def steps():
            remove_rows(world, NEW)
            world.run(0.2)
            names = kill_all(world)
            world.store.fault = StoreFault.RESET
            world.run(DOWN_SECONDS)
            world.store.fault = StoreFault.NONE
            for each in world.store.restore(age):
                if each.table in ("servers", "op"):
                    world.store.rewrite_row(each)
            start_all(world, names)

        play(world, steps)

    @pytest.mark.parametrize("fault", [StoreFault.BUSY, StoreFault.RESET, StoreFault.SILENT])
    def test_store_is_away_before_the_kill(self, fault):
        world = versions_world()

        def steps():
            world.store.fault = fault
            world.run(0.3)
            names = kill_all(world)
            world.store.fault = StoreFault.NONE
            remove_rows(world)
            start_all(world, names)

        play(world, steps)


class TestSlowStore:
    @pytest.mark.parametrize("delay", [0.02, 0.05, 0.15, 0.6])
    @pytest.mark.parametrize("versions", [(OLD,), (OLD, NEW)])
    def test_each_lookup_has_one_result_in_time(self, versions, delay):
        """A read that outlasts a timer of the lookup would let the request be accepted twice."""
        world = versions_world(versions=versions)
        inner = world.store._serve

        def serve(req, exchange, respond):
            timers = world.host("store").timers
            timers.once(delay, lambda: inner(req, exchange, respond))

        callers = start_streams(world, 20, world.live_fronts())
        world.run(AMID_STREAM)
        start_all(world, kill_all(world))
        # Until the row has to be read again.
        world.run(1.0)
        world.store._serve = serve
        lost = resume(world, callers)
        assert len(lost) >= 10
        world.run(REFUSAL_SECONDS + 0.2)
        assert all(each.caller.answers == 1 for each in lost)
        world.run(WHOLE_STREAM)
        check(world, callers)
        runs = [request_id for request_id, _ in world.list_runs()]
        assert len(runs) == len(set(runs))


class TestOneVersion:
    """Streams go on where no other version can have begun them."""

    @pytest.mark.parametrize("fronts", [5, 24])
    def test_nothing_but_the_kill(self, fronts):
        world = versions_world(fronts, versions=(OLD,), each=6)
        lost = play(world, lambda: start_all(world, kill_all(world)))
        assert count_resumed(lost) >= 0.95 * len(lost)

    def test_long_after_another_version_has_left(self):
        world = versions_world()
        remove_rows(world)
        world.run(60.0)
        lost = play(world, lambda: start_all(world, kill_all(world)))
        assert count_resumed(lost) >= 0.95 * len(lost)

    def test_store_comes_back_from_a_snapshot_while_processes_run(self):
        world = versions_world(versions=(OLD,), each=6)
        world.run(30.0)
        for each in world.store.restore(3.0):
            if each.table in ("servers", "op"):
                world.store.rewrite_row(each)
        world.run(2.0)
        lost = play(world, lambda: start_all(world, kill_all(world)))
        assert count_resumed(lost) >= 0.95 * len(lost)

    def test_rows_of_both_versions_still_there(self):
        world = versions_world()
        lost = play(world, lambda: start_all(world, kill_all(world)))
        assert count_resumed(lost) == 0
        assert all(each.caller.status == 503 for each in lost)
