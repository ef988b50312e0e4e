"""Roll-outs over whole entry processes: a good version, bad ones, orders that are wrong."""

import random

import orjson
import pytest

from flamingofront.decisions.rollout import (
    IDLE_SECONDS,
    Phase,
    RolloutEvidence,
    RolloutSpec,
    RolloutStatus,
    Tally,
    VersionRule,
    next_phase,
)
from flamingofront.errors import PlatformError
from flamingofront.platform.rollouts import decode_rollout, decode_status, encode_status
from flamingofront.process.forwarding.reports import (
    PeerReport,
    decode_report,
    decode_rollouts,
    encode_report,
)
from flamingofront.process.forwarding.rollouts import Rollouts
from flamingofront.process.logs import Log
from flamingofront.standins.forward_endpoint import ForwardFault
from flamingofront.tests.forwarding_world import ready_world

ORDER = RolloutSpec("records", "v2", 40.0, 7)
FINE, FAILING = Tally(95, 5), Tally(4, 6)


def phase_after(phase, new=FINE, old=FINE, age=10.0, clear=0.0):
    return next_phase(phase, ORDER, RolloutEvidence(new, old, age, clear))


class TestPhases:
    @pytest.mark.parametrize("phase", [Phase.COMPLETED, Phase.ROLLED_BACK])
    def test_verdict_is_final(self, phase):
        for new in (FINE, FAILING):
            assert phase_after(phase, new, age=99.0, clear=99.0) is phase

    @pytest.mark.parametrize("phase", [Phase.ORDERED, Phase.RUNNING, Phase.MOVING])
    def test_bad_answers_or_the_deadline_take_it_back(self, phase):
        assert phase_after(phase, FAILING) is Phase.ROLLED_BACK
        assert phase_after(phase, FINE, age=40.0, clear=99.0) is Phase.ROLLED_BACK

    def test_answers_as_bad_as_those_of_the_old_version_do_not(self):
        assert phase_after(Phase.RUNNING, Tally(90, 10), Tally(900, 100)) is Phase.RUNNING

    def test_it_moves_when_it_was_watched_long_enough(self):
        assert phase_after(Phase.RUNNING, age=19.0) is Phase.RUNNING
        assert phase_after(Phase.RUNNING, age=20.0) is Phase.MOVING

    def test_few_requests_are_watched_longer(self):
        few = Tally(30, 0)
        assert phase_after(Phase.RUNNING, few, age=21.0) is Phase.RUNNING
        assert phase_after(Phase.RUNNING, few, age=26.0) is Phase.MOVING
        assert phase_after(Phase.RUNNING, Tally(5, 0), age=39.0) is Phase.RUNNING

    def test_it_is_complete_only_when_nothing_runs_at_the_old_version(self):
        assert phase_after(Phase.MOVING, age=25.0, clear=IDLE_SECONDS - 0.1) is Phase.MOVING
        assert phase_after(Phase.MOVING, age=25.0, clear=IDLE_SECONDS) is Phase.COMPLETED


class TestKnownRollouts:
    def rollouts(self, order=ORDER):
        known = Rollouts(0.1, lambda: 10.0, random.Random(1), Log("entry"))
        known.take_order(order)
        return known

    def test_nothing_goes_to_the_new_version_before_it_runs_or_after_it_was_taken_back(self):
        known = self.rollouts()
        assert not any(known.rule("records", True).exposed for _ in range(500))
        known.reach("records", 7, Phase.RUNNING, "test")
        assert any(known.rule("records", True).exposed for _ in range(500))
        assert not any(known.rule("records", False).exposed for _ in range(500))
        known.reach("records", 7, Phase.ROLLED_BACK, "test")
        assert not any(known.rule("records", True).exposed for _ in range(500))

    def test_old_word_does_not_revive_it(self):
        known = self.rollouts()
        known.reach("records", 7, Phase.ROLLED_BACK, "test")
        for phase in (Phase.RUNNING, Phase.MOVING, Phase.COMPLETED):
            known.hear({"records": (7, int(phase))})
        assert known.phase("records") is Phase.ROLLED_BACK

    def test_process_stops_by_its_own_evidence(self):
        known = self.rollouts()
        known.reach("records", 7, Phase.RUNNING, "test")
        for _ in range(6):
            known.answered("records", "v2", is_bad=True)
        assert not any(known.rule("records", True).exposed for _ in range(500))

    def test_evidence_of_others_counts_once(self):
        one, other = self.rollouts(), self.rollouts()
        for _ in range(5):
            other.answered("records", "v2", is_bad=True)
        for _ in range(2):
            one.hear_sums("other/1", other.sums(), True)
        assert one.evidence("records", 0.0).new == Tally(0, 5)

    def test_another_order_begins_anew(self):
        known = self.rollouts()
        known.reach("records", 7, Phase.ROLLED_BACK, "test")
        assert known.hear({"records": (9, int(Phase.RUNNING))})
        known.take_order(RolloutSpec("records", "v3", 40.0, 9))
        assert known.phase("records") is Phase.ORDERED
        known.take_order(ORDER)
        assert known.rule("records", True) == VersionRule("v3", False, frozenset({"v2"}))


class TestRows:
    @pytest.mark.parametrize(
        "data",
        [
            b"",
            b"[]",
            b"{}",
            b'{"to": "v2"}',
            b'{"to": "", "duration_s": 30}',
            b'{"to": 2, "duration_s": 30}',
            b'{"to": "v2", "duration_s": 0}',
            b'{"to": "v2", "duration_s": "30"}',
            b'{"to": "v2", "duration_s": 30, "service": "another"}',
        ],
    )
    def test_malformed_order_is_refused(self, data):
        with pytest.raises(PlatformError):
            decode_rollout("records", data, 7)

    def test_status_is_read_as_it_was_written(self):
        for phase in Phase:
            if phase is not Phase.ORDERED:
                status = RolloutStatus(7, "v2", phase, 1234.5, frozenset({"v1"}))
                assert decode_status(encode_status("records", status)) == status

    @pytest.mark.parametrize("word", [[1], {"s": 3}, {"s": [1]}, {"s": [1, 77]}])
    def test_malformed_word_is_refused(self, word):
        with pytest.raises(ValueError):
            decode_rollouts(word)
        report = orjson.loads(encode_report(PeerReport("vm", 1, 1, "zone-a", "1.2.3.4", "a:1")))
        with pytest.raises(ValueError):
            decode_report(orjson.dumps([*report[:-1], word]))


class Rollout:
    """A world with traffic in which a service is rolled out to new endpoints."""

    def __init__(self, fault=ForwardFault.NONE, fronts=3, seconds=40.0, gap=0.02):
        self.world = ready_world(fronts=fronts, plains=2)
        self.world.run(4.0)
        self.callers = []
        self.seconds = seconds
        self.order = {"service": "records", "to": "v2", "duration_s": seconds}
        self.ordered_at = self.world.clock.now()
        self.world.store.put("op", "rollout/records", self.order)
        self.serve(2.0)
        for name in ("new-1", "new-2"):
            self.world.endpoint(name, "records", version="v2", gap=gap)
            self.world.endpoints[name].inject_fault(fault)

    def serve(self, seconds):
        """Send callers' requests, forty a second."""
        for _ in range(int(seconds * 40)):
            front = self.world.rng.choice(sorted(self.world.fronts))
            self.callers.append(self.world.ask(front, "/read/x", "GET"))
            self.world.run(0.025)

    def serve_until(self, state, seconds):
        """Go on until the status says so; return the seconds since the order."""
        while self.state() != state and self.age() < seconds:
            self.serve(0.5)
        assert self.state() == state
        return self.age()

    def age(self):
        return self.world.clock.now() - self.ordered_at

    def state(self):
        status = self.world.store.get_value("status", "rollout/records")
        return status["state"] if status is not None else None

    def runs(self, prefix):
        found = self.world.endpoints.items()
        return sum(len(each.runs) for name, each in found if name.startswith(prefix))


class TestWholeProcesses:
    def test_good_version_is_completed_in_time_and_no_request_is_lost(self):
        rollout = Rollout()
        assert rollout.serve_until("completed", 40.0) <= 36.0
        old = rollout.runs("plain")
        for name in ("plain-1", "plain-2"):
            rollout.world.host(name).dead = True
            rollout.world.store.drop("servers", name)
        rollout.serve(5.0)
        rollout.world.run(1.0)
        assert rollout.runs("plain") == old
        assert {each.status for each in rollout.callers} == {200}

    @pytest.mark.parametrize("fault", [ForwardFault.ERROR, ForwardFault.LOSE_ANSWER])
    def test_bad_version_gets_little_and_is_taken_back(self, fault):
        rollout = Rollout(fault)
        assert rollout.serve_until("rolled_back", 40.0) <= 25.0
        exposed = rollout.runs("new")
        assert 6 <= exposed <= 0.1 * len(rollout.callers) + 10
        rollout.serve(10.0)
        assert rollout.runs("new") == exposed
        assert rollout.state() == "rolled_back"

    def test_version_that_is_several_times_slower_is_taken_back(self):
        rollout = Rollout(gap=0.25)
        rollout.serve_until("rolled_back", 25.0)
        assert rollout.runs("new") <= 0.1 * len(rollout.callers) + 10

    def test_order_to_go_back_takes_the_traffic_from_the_new_version_at_once(self):
        rollout = Rollout()
        rollout.serve(8.0)
        rollout.world.store.put("op", "rollout/records", {**rollout.order, "to": "v1"})
        rollout.world.run(1.0)
        exposed = rollout.runs("new")
        rollout.callers.clear()
        rollout.serve(4.0)
        rollout.world.run(1.0)
        assert rollout.runs("new") == exposed
        assert {each.status for each in rollout.callers} == {200}

    @pytest.mark.parametrize("restart", [False, True])
    def test_version_whose_order_was_replaced_gets_nothing(self, restart):
        rollout = Rollout()
        rollout.serve(8.0)
        rollout.world.store.put("op", "rollout/records", {**rollout.order, "to": "v3"})
        if restart:
            for name in list(rollout.world.fronts):
                rollout.world.kill(name)
                rollout.world.front(name, first_start=False)
        rollout.world.run(1.0)
        exposed = rollout.runs("new")
        rollout.serve(4.0)
        assert rollout.runs("new") == exposed

    def test_version_that_turns_bad_later_is_taken_back(self):
        rollout = Rollout()
        rollout.serve(12.0)
        assert rollout.state() == "running"
        for name in ("new-1", "new-2"):
            rollout.world.endpoints[name].inject_fault(ForwardFault.ERROR)
        rollout.serve_until("rolled_back", 40.0)

    def test_verdict_outlives_its_holder_and_a_restart_of_all(self):
        rollout = Rollout(ForwardFault.ERROR)
        rollout.serve_until("rolled_back", 40.0)
        exposed = rollout.runs("new")
        for name in list(rollout.world.fronts):
            rollout.world.kill(name)
            rollout.world.front(name, first_start=False)
        fronts = rollout.world.fronts
        rollout.world.run_until(lambda: all(each.ready for each in fronts.values()))
        rollout.serve(10.0)
        assert rollout.runs("new") == exposed
        assert rollout.state() == "rolled_back"

    def test_new_version_serves_at_once_after_a_restart_of_all(self):
        """Nobody knows by then that the roll-out is over, and no other endpoints are there."""
        rollout = Rollout()
        rollout.serve_until("completed", 40.0)
        for name in ("plain-1", "plain-2"):
            rollout.world.host(name).dead = True
            rollout.world.store.drop("servers", name)
        for name in list(rollout.world.fronts):
            rollout.world.kill(name)
            rollout.world.front(name, first_start=False)
        fronts = rollout.world.fronts
        rollout.world.run_until(lambda: all(each.ready for each in fronts.values()))
        rollout.world.run(0.1)
        rollout.callers.clear()
        rollout.serve(2.0)
        rollout.world.run(1.0)
        assert {each.status for each in rollout.callers} == {200}

    def test_next_holder_keeps_the_time_of_the_order(self):
        rollout = Rollout(seconds=20.0)
        rollout.serve(8.0)
        for name in list(rollout.world.fronts):
            rollout.world.kill(name)
            rollout.world.front(name, first_start=False)
        rollout.serve_until("rolled_back", 22.0)

    def test_order_for_a_version_that_never_comes_moves_nothing(self):
        rollout = Rollout(seconds=20.0)
        rollout.world.store.put("op", "rollout/records", {**rollout.order, "to": "v9"})
        rollout.serve(23.0)
        assert rollout.state() == "rolled_back"
        assert {each.status for each in rollout.callers} == {200}

    def test_malformed_order_moves_nothing(self):
        world = ready_world(fronts=2)
        world.store.put("op", "rollout/records", {"to": "v2"})
        world.run(5.0)
        assert world.store.get_value("status", "rollout/records") is None
        assert not any(each.rollouts.list_orders() for each in world.fronts.values())
