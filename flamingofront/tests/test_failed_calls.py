"""Endpoints that leave while single calls to the store fail, and rows that expire in outages."""

import logbook
import pytest

from flamingofront.process.membership import VmState
from flamingofront.tests.departures_world import DRAIN_SECONDS
from flamingofront.tests.failed_calls_world import CallFault, FailedCallsWorld, Outage

# The users' target: half of the time that they allow.
TARGET_SECONDS = DRAIN_SECONDS / 2
# Feeds that hear nothing for a second cannot tell a change sooner.
QUIET_TARGET_SECONDS = DRAIN_SECONDS
PROCESSES = (5, 24)
WAYS = ("removed", "draining", "both", "between writes")
# Seconds from the departure to the fault; negative if the fault comes first.
TIMINGS = (-0.6, -0.05, 0.0, 0.05)
OUTAGE_SECONDS = (0.3, 0.7, 1.5, 3.0, 6.0)


def leave(world, way, *endpoints):
    """Let endpoints leave in one of the ways."""
    for name in endpoints:
        if way == "between writes":
            world.write_row(name)
        world.leave(name, "draining" if way in ("draining", "both") else "removed")
        if way == "between writes":
            world.write_row(world.serving()[-1])
        if way == "both":
            world.host("engine-1").timers.once(
                world.rng.random(), lambda name=name: world.store.drop("servers", name)
            )


def play(world, fault, way, timing, count):
    """Let endpoints leave around the begin of a fault; return when the last process knew."""
    world.learned_after.clear()
    names = world.serving()[:count]
    if timing < 0:
        world.begin(fault)
        world.watch(-timing)
    leave(world, way, *names)
    if timing >= 0:
        world.watch(timing)
        world.begin(fault)
    for _ in range(30):
        world.ask(world.rng.choice(list(world.fronts)), "/read/x", "GET")
        world.watch(0.1)
    pairs = [(front, name) for front in world.fronts for name in names]
    return max(world.learned_after.get(each, float("inf")) for each in pairs)


@pytest.mark.parametrize("processes", PROCESSES)
@pytest.mark.parametrize("fault", [each for each in CallFault if each is not CallFault.NONE])
class TestSingleCalls:
    """Calls to the store fail while the store serves, around the time at which endpoints leave."""

    @pytest.mark.parametrize("way", WAYS)
    def test_departure_is_known_in_time(self, fault, way, processes):
        """Guards against one failed call that is taken for an outage of the store."""
        target = QUIET_TARGET_SECONDS if fault is CallFault.QUIET else TARGET_SECONDS
        world = FailedCallsWorld(seed=processes, fronts=processes)
        slowest = {timing: play(world, fault, way, timing, 1) for timing in TIMINGS}
        assert max(slowest.values()) <= target, slowest
        assert world.late_arrivals == []

    def test_ten_departures_at_once_are_known_in_time(self, fault, processes):
        """Guards against one failed call that is taken for an outage of the store."""
        target = QUIET_TARGET_SECONDS if fault is CallFault.QUIET else TARGET_SECONDS
        world = FailedCallsWorld(seed=processes, fronts=processes)
        assert play(world, fault, "removed", -0.05, 10) <= target
        assert world.late_arrivals == []


@pytest.mark.parametrize("processes", PROCESSES)
@pytest.mark.parametrize("outage", list(Outage))
class TestOutages:
    """The store is away for all processes, and rows of endpoints that run expire meanwhile."""

    def test_endpoints_whose_rows_expired_stay_in_use(self, outage, processes):
        """Guards against a mend that takes expired rows for removed endpoints."""
        lost = {}
        for seconds in OUTAGE_SECONDS:
            world = FailedCallsWorld(seed=processes, fronts=processes)
            rows = tuple(world.serving()[:6])
            world.begin_outage(outage, seconds, rows)
            unused = set()
            for _ in range(int((seconds + 2.1) / 0.05)):
                world.watch(0.05)
                unused |= {(f, name) for f in world.fronts for name in rows if world.knows(f, name)}
            lost[seconds] = len(unused) / (len(rows) * len(world.fronts))
        assert not any(lost.values()), lost


@pytest.mark.parametrize("way", ["removed", "draining"])
@pytest.mark.parametrize("loss", ["kill", "pause"])
@pytest.mark.parametrize("step", [1, 2], ids=["all", "half"])
class TestWatchersLost:
    """Processes that watch the store for others are lost when endpoints leave."""

    def test_departure_is_known_in_time(self, step, loss, way):
        """Guards against processes on standby that wait for word of watchers that are gone."""
        slowest = {timing: self.play(step, loss, way, timing) for timing in TIMINGS}
        assert max(slowest.values()) <= TARGET_SECONDS, slowest

    def play(self, step, loss, way, timing):
        """Return when the last of the other processes knew."""
        world = FailedCallsWorld(seed=24, fronts=24)
        lost = world.watchers()[::step]
        assert 0 < len(lost) < len(world.fronts) / 2
        names = world.serving()[:3]
        if timing >= 0:
            leave(world, way, *names)
        world.watch(abs(timing))
        for each in lost:
            world.disturb(each)
            world.lose(each, loss)
        if timing < 0:
            leave(world, way, *names)
        others = [each for each in world.fronts if each not in lost]
        for _ in range(30):
            world.ask(world.rng.choice(others), "/read/x", "GET")
            world.watch(0.1)
        assert world.late_arrivals == []
        pairs = [(front, name) for front in others for name in names]
        return max(world.learned_after.get(each, float("inf")) for each in pairs)


class TestLogOfLateArrival:
    """A request reaches an endpoint that has left, and the log of its sender tells why."""

    def test_lines_name_the_failed_call_and_the_grace_period(self):
        """Guards against late arrivals whose log tells no hypothesis from another."""
        log = logbook.TestHandler(level=logbook.DEBUG, bubble=True)
        with log.applicationbound():
            world = FailedCallsWorld()
            name = world.serving()[0]
            world.begin_outage(Outage.RESET, 1.0, ())
            world.watch(0.5)
            world.store.drop("servers", name)
            world.run_until(lambda: world.fronts["front-0"].store_view.endpoints.missing_ids())
            for _ in range(40):
                world.ask("front-0", "/read/x", "GET")
            world.watch(0.2)
        kept = next(each for each in log.records if each.message == "missing endpoint row kept")
        assert kept.kwargs["endpoint"] == name
        assert "rows-feed: reset" in kept.kwargs["failed_call"]
        assert kept.kwargs["store"] == "back from an outage"
        assert 0 < kept.kwargs["grace_left_ms"] <= 2200
        late = [
            each.kwargs
            for each in log.records
            if each.message == "attempt started" and each.kwargs["endpoint"] == name
        ]
        assert late, "no request was sent to the endpoint"
        assert late[-1]["row_missing_ms"] >= 0 and late[-1]["missing_by"] in ("feed", "read")
        assert late[-1]["failed_call"] == kept.kwargs["failed_call"]

    def test_state_of_endpoint_after_its_grace_period_is_logged_with_the_reason(self):
        log = logbook.TestHandler(level=logbook.DEBUG, bubble=True)
        with log.applicationbound():
            world = FailedCallsWorld()
            name = world.serving()[0]
            world.begin_outage(Outage.RESET, 1.0, ())
            world.store.drop("servers", name)
            world.watch(5.0)
        assert world.fronts["front-0"].facts.get(name).state is VmState.GONE
        gone = [
            each.kwargs
            for each in log.records
            if each.message == "endpoint state changed" and each.kwargs["endpoint"] == name
        ]
        assert any(each["waited_ms"] > 1000 for each in gone)
