"""Entry processes that are killed again and again while a request that crashes endpoints is sent.

What a process knows of its requests ends with it, and so do its sends: the endpoints that they end
have no witness. In the first trials the sends later than word of the third end is owed grew with
the number of lives (times in seconds; each life ended 0.05 after its sends, 4 between them):

    lives  sends in each  late sends
    2      3              6
    3      3              9
    6      1              6

Three are allowed, over all lives.
"""

import logbook
import pytest

from flamingofront.process.intent_rows import INTENT_TABLE
from flamingofront.standins.table_store import StoreFault
from flamingofront.tests.crashing_world import CONTACT_SECONDS, ZONES, crashing_world
from flamingofront.tests.test_crashing_requests import MAX_SENT_LATE, POISON, repeat

PATHS = ("/stream/once/x", "/write/x", "/stream/again/x", "/read/x")
QUIET = {"seconds": 25.0}


def series_world(seed=1, fronts=7):
    world = crashing_world(fronts=fronts, engines=16, plains=16, seed=seed)
    world.poison.add(POISON)
    return world


def send_and_wait(world, path, sends, after):
    """Let a request come to some processes at once, and wait as long as their lives last."""
    names = world.live_fronts()
    for number in range(sends):
        world.ask(names[number % len(names)], path, body=POISON)
    world.run(after)


def play_lives(world, path, lives, sends, after, between):
    """Play lives that all end while the request is on its way, and one that goes on."""
    for _ in range(lives):
        send_and_wait(world, path, sends, after)
        world.restart()
        world.run(between)
    repeat(world, path, **QUIET)


class TestLivesThatEndWhileItIsOnItsWay:
    @pytest.mark.parametrize("path", PATHS)
    @pytest.mark.parametrize(
        ("lives", "sends", "after", "between"),
        [(2, 3, 0.05, 4.0), (3, 3, 0.12, 4.0), (6, 1, 0.05, 4.0), (6, 3, 0.03, 12.0)],
    )
    def test_late_sends_do_not_grow_with_the_number_of_lives(
        self, path, lives, sends, after, between
    ):
        world = series_world()
        play_lives(world, path, lives, sends, after, between)
        assert world.sent_late(POISON) <= MAX_SENT_LATE

    @pytest.mark.parametrize("seed", range(24))
    def test_lives_that_end_at_any_moment(self, seed):
        world = series_world(seed)
        rng = world.rng
        path, lives, sends = rng.choice(PATHS), rng.randint(2, 6), rng.randint(1, 3)
        play_lives(world, path, lives, sends, rng.uniform(0.03, 0.15), rng.uniform(4.0, 12.0))
        assert world.sent_late(POISON) <= MAX_SENT_LATE

    @pytest.mark.parametrize(("fronts", "lives"), [(30, 4), (64, 2)])
    def test_many_processes(self, fronts, lives):
        world = series_world(fronts=fronts)
        for _ in range(lives):
            send_and_wait(world, "/stream/once/x", 3, 0.07)
            world.restart()
            world.run(CONTACT_SECONDS + 1.0)
        repeat(world, "/stream/once/x", seconds=5.0)
        assert world.sent_late(POISON) <= MAX_SENT_LATE

    @pytest.mark.parametrize("seed", range(4))
    def test_repeats_that_come_before_the_rows_of_ended_endpoints_lapse(self, seed):
        """A repeat came before anybody could know that endpoints had ended."""
        world = series_world(seed)
        for _ in range(5):
            send_and_wait(world, "/stream/once/x", 1 + seed % 3, 0.06)
            for name in world.fronts:
                world.kill(name)
            world.run(0.4)
            for name in world.fronts:
                world.front(name, world.host(name).zone, first_start=False)
            world.run(0.05 + 1.5 * world.rng.random())
        repeat(world, "/stream/once/x", **QUIET)
        assert world.sent_late(POISON) <= MAX_SENT_LATE

    @pytest.mark.parametrize("seed", range(4))
    def test_rows_of_ended_endpoints_lapse_while_no_process_runs(self, seed):
        """Nobody saw the rows go: 19 late sends in six lives of three sends."""
        world = series_world(seed)
        for _ in range(5):
            send_and_wait(world, PATHS[seed], 3, 0.08)
            for name in world.fronts:
                world.kill(name)
            world.run(6.0)
            for name in world.fronts:
                world.front(name, world.host(name).zone, first_start=False)
            world.run(CONTACT_SECONDS + 1.0)
        repeat(world, PATHS[seed], **QUIET)
        assert world.sent_late(POISON) <= MAX_SENT_LATE


class TestOtherSeriesOfKills:
    @pytest.mark.parametrize("seed", range(4))
    def test_all_but_one_are_killed(self, seed):
        world = series_world(seed)
        for _ in range(5):
            send_and_wait(world, PATHS[seed], 2, 0.08)
            names = list(world.fronts)
            world.restart(*world.rng.sample(names, len(names) - 1))
            world.run(CONTACT_SECONDS + 1.0)
        repeat(world, PATHS[seed], **QUIET)
        assert world.sent_late(POISON) <= MAX_SENT_LATE

    @pytest.mark.parametrize("seed", range(4))
    def test_one_after_the_other(self, seed):
        world = series_world(seed)
        for _ in range(4):
            send_and_wait(world, PATHS[seed], 2, 0.05)
            for name in list(world.fronts):
                world.restart(name)
                world.run(0.1)
            world.run(CONTACT_SECONDS + 1.0)
        repeat(world, PATHS[seed], **QUIET)
        assert world.sent_late(POISON) <= MAX_SENT_LATE

    @pytest.mark.parametrize("seed", range(4))
    def test_killed_again_before_they_are_ready(self, seed):
        world = series_world(seed)
        for _ in range(4):
            send_and_wait(world, PATHS[seed], 2, 0.1)
            for pause in (0.003, 0.2, CONTACT_SECONDS + 1.0):
                world.restart()
                world.run(pause)
        repeat(world, PATHS[seed], **QUIET)
        assert world.sent_late(POISON) <= MAX_SENT_LATE

    @pytest.mark.parametrize("seed", range(4))
    def test_zones_that_hear_nobody(self, seed):
        world = series_world(seed)
        for number, zone in enumerate(ZONES):
            for other in ZONES[number + 1 :]:
                world.cut(zone, other)
        world.run(2.0)
        play_lives(world, PATHS[seed], 4, 2, 0.08, 5.0)
        assert world.sent_late(POISON) <= MAX_SENT_LATE

    @pytest.mark.parametrize("fault", [StoreFault.SILENT, StoreFault.BUSY, StoreFault.RESET])
    def test_store_is_away_for_a_second_after_each_kill(self, fault):
        world = series_world()
        for _ in range(4):
            send_and_wait(world, "/stream/once/x", 2, 0.08)
            world.restart()
            world.store.fault = fault
            world.run(1.0)
            world.store.fault = StoreFault.NONE
            world.store_disturbed = world.clock.now()
            world.run(CONTACT_SECONDS + 1.0)
        repeat(world, "/stream/once/x", **QUIET)
        assert world.sent_late(POISON) <= MAX_SENT_LATE


class TestWhatOthersPay:
    def test_without_ends_nothing_is_recorded_but_in_the_first_half_second(self):
        world = series_world()
        world.poison.clear()
        world.restart()
        world.run_until(lambda: all(each.ready for each in world.fronts.values()))
        with logbook.TestHandler(level="INFO", bubble=True).applicationbound() as log:
            callers = []
            for number in range(200):
                callers.append(world.ask_one(PATHS[number % 4], b"prompt %d" % number))
                world.run(0.02)
            world.run(5.0)
        recorded = [each for each in log.records if each.message == "send recorded"]
        assert all(each.done and each.status == 200 for each in callers)
        assert 0 < len(recorded) <= 40
        assert not world.store.get_rows(INTENT_TABLE)

    def test_first_start_and_calm_hours_record_nothing(self):
        world = series_world()
        world.poison.clear()
        callers = [world.ask_one(PATHS[number % 4], b"%d" % number) for number in range(100)]
        world.run(5.0)
        assert all(each.status == 200 for each in callers)
        metrics = [each.metrics for each in world.fronts.values()]
        assert not any(each.value("recorded_sends_total", result="done") for each in metrics)

    @pytest.mark.parametrize("seed", range(3))
    def test_harmless_requests_after_kills_are_answered_and_their_records_removed(self, seed):
        """Both those that were under way with it and those that are new, with one body for many."""
        world = series_world(seed)
        callers = []
        for _ in range(3):
            for number in range(20):
                world.ask_one("/stream/again/x", b"under way %d" % number)
            send_and_wait(world, "/stream/again/x", 3, 0.07)
            world.restart()
            world.run(1.0)
            for number in range(60):
                body = b"" if number % 3 == 0 else b"under way %d" % (number % 20)
                path = "/read/x" if number % 3 == 0 else "/stream/again/x"
                callers.append(world.ask_one(path, body))
                world.run(0.02)
            world.run(CONTACT_SECONDS)
        world.run(10.0)
        assert not any(b"crashes_endpoints" in each.body for each in callers)
        assert all(each.done and each.status == 200 for each in callers)
        rows = world.store.get_rows(INTENT_TABLE)
        assert len(rows) <= 3

    @pytest.mark.parametrize("fault", [StoreFault.SILENT, StoreFault.BUSY, StoreFault.RESET])
    def test_store_that_does_not_answer_makes_no_request_wait_long(self, fault):
        world = series_world()
        world.poison.clear()
        world.restart()
        world.run_until(lambda: all(each.ready for each in world.fronts.values()))
        world.store.fault = fault
        with logbook.TestHandler(level="INFO", bubble=True).applicationbound() as log:
            callers = [world.ask_one(PATHS[each % 4], b"prompt %d" % each) for each in range(40)]
            world.run(3.0)
        world.store.fault = StoreFault.NONE
        waits = [each.kwargs["wait_ms"] for each in log.records if each.message == "send recorded"]
        assert len(waits) == 40 and max(waits) <= 50.0
        assert all(each.status == 200 for each in callers)

    def test_one_body_of_many_callers_waits_at_most_once(self):
        world = series_world()
        world.poison.clear()
        world.restart()
        world.run_until(lambda: all(each.ready for each in world.fronts.values()))
        with logbook.TestHandler(level="INFO", bubble=True).applicationbound() as log:
            callers = [world.ask_one("/read/the-same", b"") for _ in range(30)]
            world.run(2.0)
        waits = [each.kwargs["wait_ms"] for each in log.records if each.message == "send recorded"]
        assert all(each.status == 200 for each in callers)
        assert max(waits) <= 300.0
