"""Rollouts over whole entry processes: good versions, bad ones, malformed orders."""

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
    def test_bad_responses_or_the_deadline_roll_it_back(self, phase):
        assert phase_after(phase, FAILING) is Phase.ROLLED_BACK
        assert phase_after(phase, FINE, age=40.0, clear=99.0) is Phase.ROLLED_BACK

    def test_responses_as_bad_as_the_old_version_keep_it_running(self):
        assert phase_after(Phase.RUNNING, Tally(90, 10), Tally(900, 100)) is Phase.RUNNING

    def test_it_moves_when_observed_long_enough(self):
        assert phase_after(Phase.RUNNING, age=19.0) is Phase.RUNNING
        assert phase_after(Phase.RUNNING, age=20.0) is Phase.MOVING

    def test_few_requests_are_observed_longer(self):
        few = Tally(30, 0)
        assert phase_after(Phase.RUNNING, few, age=21.0) is Phase.RUNNING
        assert phase_after(Phase.RUNNING, few, age=26.0) is Phase.MOVING
        assert phase_after(Phase.RUNNING, Tally(5, 0), age=39.0) is Phase.RUNNING

    def test_it_completes_only_when_the_old_version_is_idle(self):
        assert phase_after(Phase.MOVING, age=25.0, clear=IDLE_SECONDS - 0.1) is Phase.MOVING
        assert phase_after(Phase.MOVING, age=25.0, clear=IDLE_SECONDS) is Phase.COMPLETED


class TestTrackedRollouts:
    def make_rollouts(self, order=ORDER):
        known = Rollouts(0.1, lambda: 10.0, random.Random(1), Log("entry"))
        known.apply_order(order)
        return known

    def test_new_version_gets_requests_only_while_running(self):
        known = self.make_rollouts()
        assert not any(known.version_rule("records", True).exposed for _ in range(500))
        known.advance_phase("records", 7, Phase.RUNNING, "test")
        assert any(known.version_rule("records", True).exposed for _ in range(500))
        assert not any(known.version_rule("records", False).exposed for _ in range(500))
        known.advance_phase("records", 7, Phase.ROLLED_BACK, "test")
        assert not any(known.version_rule("records", True).exposed for _ in range(500))

    def test_late_update_does_not_reopen_it(self):
        known = self.make_rollouts()
        known.advance_phase("records", 7, Phase.ROLLED_BACK, "test")
        for phase in (Phase.RUNNING, Phase.MOVING, Phase.COMPLETED):
            known.merge_update({"records": (7, int(phase))})
        assert known.get_phase("records") is Phase.ROLLED_BACK

    def test_process_stops_by_local_evidence(self):
        known = self.make_rollouts()
        known.advance_phase("records", 7, Phase.RUNNING, "test")
        for _ in range(6):
            known.record_response("records", "v2", is_bad=True)
        assert not any(known.version_rule("records", True).exposed for _ in range(500))

    def test_counts_of_peers_are_added_once(self):
        one, other = self.make_rollouts(), self.make_rollouts()
        for _ in range(5):
            other.record_response("records", "v2", is_bad=True)
        for _ in range(2):
            one.merge_counts("other/1", other.local_counts(), True)
        assert one.collect_evidence("records", 0.0).new == Tally(0, 5)

    def test_another_order_starts_a_new_rollout(self):
        known = self.make_rollouts()
        known.advance_phase("records", 7, Phase.ROLLED_BACK, "test")
        assert known.merge_update({"records": (9, int(Phase.RUNNING))})
        known.apply_order(RolloutSpec("records", "v3", 40.0, 9))
        assert known.get_phase("records") is Phase.ORDERED
        known.apply_order(ORDER)
        assert known.version_rule("records", True) == VersionRule("v3", False, frozenset({"v2"}))


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
    def test_malformed_order_is_rejected(self, data):
        with pytest.raises(PlatformError):
            decode_rollout("records", data, 7)

    def test_status_round_trips(self):
        for phase in Phase:
            if phase is not Phase.ORDERED:
                status = RolloutStatus(7, "v2", phase, 1234.5, frozenset({"v1"}))
                assert decode_status(encode_status("records", status)) == status

    @pytest.mark.parametrize("word", [[1], {"s": 3}, {"s": [1]}, {"s": [1, 77]}])
    def test_malformed_update_is_rejected(self, word):
        with pytest.raises(ValueError):
            decode_rollouts(word)
        report = orjson.loads(encode_report(PeerReport("vm", 1, 1, "zone-a", "1.2.3.4", "a:1")))
        with pytest.raises(ValueError):
            decode_report(orjson.dumps([*report[:-1], word]))


class Rollout:
    """A simulated deployment with traffic in which a service is rolled out to new endpoints."""

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
        """Send requests of callers, 40 per second."""
        for _ in range(int(seconds * 40)):
            front = self.world.rng.choice(sorted(self.world.fronts))
            self.callers.append(self.world.ask(front, "/read/x", "GET"))
            self.world.run(0.025)

    def serve_until(self, state, seconds):
        """Send requests until the status is `state`; return the seconds since the order."""
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
    def test_bad_version_gets_little_and_is_rolled_back(self, fault):
        rollout = Rollout(fault)
        assert rollout.serve_until("rolled_back", 40.0) <= 25.0
        exposed = rollout.runs("new")
        assert 6 <= exposed <= 0.1 * len(rollout.callers) + 10
        rollout.serve(10.0)
        assert rollout.runs("new") == exposed
        assert rollout.state() == "rolled_back"

    def test_much_slower_version_is_rolled_back(self):
        rollout = Rollout(gap=0.25)
        rollout.serve_until("rolled_back", 25.0)
        assert rollout.runs("new") <= 0.1 * len(rollout.callers) + 10

    def test_reverse_order_stops_traffic_to_the_new_version_at_once(self):
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
    def test_version_of_a_replaced_order_gets_nothing(self, restart):
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

    def test_version_that_turns_bad_later_is_rolled_back(self):
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
        """No process remembers that the rollout is complete, and there are no other endpoints."""
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

    def test_next_holder_keeps_the_start_of_the_order(self):
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
