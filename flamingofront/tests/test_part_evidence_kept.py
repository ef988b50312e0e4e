"""Crashes under prompt parts that looked refuted, or that nobody was left to see.

The requests are those of `test_poison_prompt_parts`: no two are alike but for one part.
"""

import pytest

from flamingofront.standins.forward_endpoint import CrashAnswer
from flamingofront.standins.table_store import StoreFault
from flamingofront.tests.crashing_world import ZONES, crashing_world
from flamingofront.tests.forwarding_world import configuration
from flamingofront.tests.part_load import POISON_PART, LongStreamLoad, PartLoad

MAX_SENT_LATE = 3
# Endpoints that may crash before a part is found out.
MAX_CRASHES = 8
MIN_SERVED = 0.9
LEAVE_SECONDS = (0.04, 0.08)
LATE_CLOSE_SECONDS = 1.2
EVENTS = {"crash_answer": CrashAnswer.EVENTS}
STREAMS = ("/stream/again/x", "/stream/once/x")


def make_load(fronts: int = 7, engines: int = 16, seed: int = 61, **options) -> PartLoad:
    """Return a load before a new world, which is not played yet."""
    return PartLoad(crashing_world(fronts=fronts, engines=engines, seed=seed), **options)


def make_long_load(seed: int, events: int) -> LongStreamLoad:
    """Return a load of sound streams with an event each 0.1 s, which may be sent four times."""
    routes = [
        {**each, "timeout_ms": 30_000, "max_attempts": 4} for each in configuration()["routes"]
    ]
    world = crashing_world(fronts=7, engines=16, seed=seed, routes=routes)
    world.set_crash_options(events=events, gap=0.1)
    return LongStreamLoad(world, deadline_ms=30_000)


def check(load: PartLoad, max_crashes: int | None = MAX_CRASHES) -> None:
    """Assert that few requests with the part are sent late, and that sound ones are served."""
    assert len(load.world.crashes_with_part(POISON_PART)) >= 4
    assert load.world.sent_late_with_part(POISON_PART) <= MAX_SENT_LATE
    if max_crashes is not None:
        assert len(load.world.crashes_with_part(POISON_PART)) <= max_crashes
    _, after = load.served_share()
    assert after >= MIN_SERVED
    assert not any(b"prompt_part" in each.caller.body for each in load.sound)


class TestEndpointsThatBeginToAnswer:
    """A first event cleared the part, so that no crash was held against it."""

    @pytest.mark.parametrize("events", [1, 3])
    @pytest.mark.parametrize("paths", [STREAMS[:1], STREAMS[1:]])
    def test_bound_holds_for_streams_with_events_before_the_crash(self, paths, events):
        load = make_load(paths=paths)
        load.world.set_crash_options(events_before_crash=events, **EVENTS)
        check(load.play(seconds=16.0, poison_from=4.0))

    def test_bound_holds_for_calls_with_half_of_their_answer(self):
        load = make_load(paths=("/read/x", STREAMS[0]))
        load.world.set_crash_options(**EVENTS)
        check(load.play(seconds=16.0, poison_from=4.0))

    def test_bound_holds_at_24_processes(self):
        load = make_load(fronts=24)
        load.world.set_crash_options(**EVENTS)
        check(load.play(seconds=14.0, poison_from=4.0))

    def test_bound_holds_for_crashes_two_seconds_after_the_arrival(self):
        """More requests than eight are on their way by then, so that only the bound is asked."""
        load = make_load()
        load.world.set_crash_options(crash_seconds=2.0, **EVENTS)
        check(load.play(seconds=18.0, poison_from=4.0), max_crashes=None)


class TestCallersThatLeave:
    """Their attempts were forgotten, so that nobody had a request at the crash a moment later."""

    @pytest.mark.parametrize("front", [None, "front-2"])
    def test_bound_holds_where_all_callers_leave(self, front):
        load = make_load(leave_seconds=LEAVE_SECONDS, poison_front=front)
        check(load.play(seconds=16.0, poison_from=4.0))

    def test_bound_holds_where_most_callers_leave(self):
        load = make_load(leave_seconds=LEAVE_SECONDS, leaving_share=0.85)
        check(load.play(seconds=16.0, poison_from=4.0))

    def test_bound_holds_where_callers_leave_after_an_event(self):
        load = make_load(leave_seconds=(0.06, 0.088))
        load.world.set_crash_options(**EVENTS)
        check(load.play(seconds=16.0, poison_from=4.0))

    def test_bound_holds_where_the_crash_comes_later(self):
        load = make_load(leave_seconds=(0.04, 0.5))
        load.world.set_crash_options(crash_seconds=0.6)
        check(load.play(seconds=16.0, poison_from=4.0), max_crashes=None)


class TestHostsThatAreGone:
    """Nothing is reset or refused, so that crashes were known when rows had expired, or never."""

    @pytest.mark.parametrize("is_answering", [False, True])
    def test_bound_holds_where_connections_fall_silent(self, is_answering):
        load = make_load()
        load.world.is_host_lost = True
        if is_answering:
            load.world.set_crash_options(**EVENTS)
        check(load.play(seconds=18.0, poison_from=4.0), max_crashes=None)

    def test_bound_holds_where_the_store_is_away_too(self):
        load = make_load()
        world = load.world
        world.is_host_lost = True
        load.at(4.2, lambda: setattr(world.store, "fault", StoreFault.BUSY))
        load.at(10.2, lambda: setattr(world.store, "fault", StoreFault.NONE))
        load.play(seconds=20.0, poison_from=4.0)
        assert world.sent_late_with_part(POISON_PART) <= MAX_SENT_LATE


class TestListeningSockets:
    """Endpoints that accepted connections after their crash were taken for alive."""

    @pytest.mark.parametrize("is_answering", [False, True])
    def test_bound_holds_where_they_are_closed_later(self, is_answering):
        load = make_load()
        load.world.ending_seconds = LATE_CLOSE_SECONDS
        if is_answering:
            load.world.set_crash_options(**EVENTS)
        check(load.play(seconds=16.0, poison_from=4.0))


class TestKilledProcesses:
    """Fresh processes blamed nothing before an endpoint had answered them, and none did."""

    @pytest.mark.parametrize("is_answering", [False, True])
    def test_bound_holds_where_all_are_killed_again_and_again(self, is_answering):
        load = make_load(engines=4, poison_period=1 / 12)
        world, counts = load.world, [1, 3, 5]
        if is_answering:
            world.set_crash_options(**EVENTS)

        def kill_all() -> None:
            if len(world.crashes) >= counts[0]:
                counts.pop(0)
                world.restart()
            if counts:
                load.at(load.elapsed + 0.05, kill_all)

        load.at(2.0, kill_all).play(seconds=20.0, poison_from=4.0)
        assert world.sent_late_with_part(POISON_PART) <= MAX_SENT_LATE


class TestSoundParts:
    """Long streams are interrupted again and again, so that few requests are answered in full."""

    def held(self, load: PartLoad) -> set[str]:
        """Return the keys of quarantined parts at all processes."""
        guards = [each.hub.guard for each in load.world.fronts.values()]
        keys = {entry.fingerprint for each in guards for entry in each.quarantine.list_entries()}
        return {each for each in keys if each.startswith("part/")}

    @pytest.mark.parametrize(
        "events, share, period", [(40, 0.06, 0.7), (100, 0.06, 0.7), (100, 0.33, 3.0)]
    )
    @pytest.mark.parametrize("seed", [1, 2])
    def test_endpoints_that_end_for_other_reasons_blame_no_part(self, events, share, period, seed):
        load = make_long_load(seed, events)
        world = load.world

        def end_some() -> None:
            for name in world.alive("engines"):
                if world.rng.random() < share:
                    world.end_endpoint(name, "engines", world.host(name).zone)
            load.at(load.elapsed + period, end_some)

        load.at(1.0, end_some).play(seconds=22.0, poison_from=60.0)
        assert not self.held(load)
        assert not any(b"prompt_part" in each.caller.body for each in load.sound)

    def test_zones_that_lose_power_again_and_again_blame_no_part(self):
        load = make_long_load(3, 100)
        world = load.world

        def end_zone(number: int) -> None:
            for name in world.alive("engines"):
                if world.host(name).zone == ZONES[number % len(ZONES)]:
                    world.end_endpoint(name, "engines", world.host(name).zone)

        for number in range(8):
            load.at(1.0 + 2.5 * number, lambda number=number: end_zone(number))
        load.play(seconds=22.0, poison_from=60.0)
        assert not self.held(load)
        assert not any(b"prompt_part" in each.caller.body for each in load.sound)
