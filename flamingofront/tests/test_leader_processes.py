"""Real entry processes whose holder of the leader lease ends while a call is on its way."""

import json
import signal
import subprocess
import sys
import time
from pathlib import Path

import pytest

from flamingofront.tests.leader_cloud import CloudCall
from flamingofront.tests.leader_deployment import LeaderDeployment
from flamingofront.tests.leader_record import HolderEnd, LeaderRecord

ROOT = Path(__file__).resolve().parents[2]

# A call that was on its way has come, or never will.
LATE_SECONDS = 1.5


@pytest.fixture(scope="class")
def deployment(tmp_path_factory):
    with LeaderDeployment(tmp_path_factory.mktemp("leaders")) as started:
        yield started


@pytest.fixture
def violations(deployment):
    """Return a function that returns what the cloud may not have seen in this test."""
    known = len(deployment.cloud.calls)

    def find():
        late = deployment.cloud.calls[known:]
        found = deployment.make_record().find_violations()
        return [each.describe() for each in found if each.call in late]

    return find


@pytest.mark.alone
class TestCallsOnTheirWay:
    """ONE: the cloud got a call under a lower fencing token than one that it had seen."""

    def test_holder_that_stood_still_sends_nothing_after_its_successor(
        self, deployment, violations
    ):
        """Stopped when its connection was accepted, it wrote the call as soon as it went on."""
        holder = deployment.freeze_before_first_byte()
        deployment.successor_acts(holder)
        deployment.thaw(holder)
        time.sleep(LATE_SECONDS)
        assert violations() == []

    def test_holder_that_was_told_to_stop_while_it_stood_still_sends_nothing(
        self, deployment, violations
    ):
        """The call was written before the stop was noticed, or after."""
        holder = deployment.freeze_before_first_byte()
        holder.child.send_signal(signal.SIGTERM)
        deployment.successor_acts(holder)
        deployment.thaw(holder)
        assert holder.child.wait(12.0) == 0
        deployment.start(holder.place)
        assert violations() == []

    def test_holder_sends_nothing_once_it_was_told_to_stop(self, deployment):
        """The next process of its VM takes the lease at once, and acts under a higher token."""
        holder = deployment.freeze_before_first_byte()
        holder.child.send_signal(signal.SIGTERM)
        known = len(deployment.cloud.calls)
        deployment.thaw(holder)
        assert holder.child.wait(12.0) == 0
        deployment.start(holder.place)
        late = [each for each in deployment.cloud.calls[known:] if each.process == holder.number]
        assert late == []

    def test_holder_that_was_killed_is_followed_by_its_next_process(self, deployment, violations):
        """The next process of the VM takes the lease at once, without a wait."""
        holder = deployment.freeze_before_first_byte()
        holder.child.kill()
        holder.child.wait()
        deployment.start(holder.place)
        deployment.successor_acts(holder)
        time.sleep(LATE_SECONDS)
        assert violations() == []


@pytest.mark.alone
class TestSoak:
    """A short play of all kinds of end, beside faults of store and cloud."""

    def test_cloud_gets_no_call_that_it_may_not_see(self):
        """ONE: calls of two holders in the wrong order."""
        words = ["5", "--seconds", "9", "--longest", "6", "--calm", "1"]
        command = [sys.executable, ROOT / "scripts/soak_leaders.py", *words]
        done = subprocess.run(command, capture_output=True, text=True, timeout=90)
        assert done.returncode == 0, done.stdout + done.stderr
        summary = json.loads(done.stdout.splitlines()[-1])
        assert summary["excused"] == {}
        assert summary["ended_holders"] >= 1 and summary["calls"] > 10


def make_call(at, process, fencing, subject="usage", body=None, accepted_at=None):
    """Return a call that has arrived."""
    accepted_at = at if accepted_at is None else accepted_at
    body = json.dumps(body or {"window_id": at, "counts": {}})
    return CloudCall(process, accepted_at, at, at, at, f"front-{process}", fencing, subject, body)


class TestRecord:
    """The record itself finds what the cloud may not see."""

    def find(self, *calls, thaws=None, disturbances=(), excused=("thaw", "cloud")):
        record = LeaderRecord(calls, thaws or {}, disturbances)
        return [each.kind for each in record.find_violations(excused)]

    def test_lower_token_is_missed(self):
        calls = make_call(1.0, 1, 3), make_call(5.0, 2, 2)
        assert self.find(*calls) == ["lower token"]

    def test_lower_token_about_another_subject_is_found(self):
        calls = make_call(1.0, 1, 3, "s@a"), make_call(5.0, 2, 2, "s@b")
        assert self.find(*calls) == []

    def test_two_processes_with_one_token_are_missed(self):
        calls = make_call(1.0, 1, 3), make_call(5.0, 2, 3)
        assert self.find(*calls) == ["two holders of a token"]

    @pytest.mark.parametrize("seconds, found", [(2.9, ["holders A, B, A"]), (3.1, [])])
    def test_holder_that_is_back_within_a_lease_is_missed(self, seconds, found):
        calls = make_call(1.0, 1, 1), make_call(1.2, 2, 2), make_call(1.0 + seconds, 1, 3)
        assert self.find(*calls) == found

    def test_two_counts_of_a_window_are_missed(self):
        bodies = [{"window_id": 7, "counts": {"desk": number}} for number in (1, 1, 2)]
        calls = [make_call(1.0 + n, 1, 1, body=each) for n, each in enumerate(bodies)]
        assert self.find(*calls) == ["two counts of a window"]

    @pytest.mark.parametrize(
        "thawed_at, kinds, found",
        [
            (4.8, ("thaw",), []),
            (4.6, ("thaw",), ["lower token"]),
            (5.1, ("thaw",), ["lower token"]),
            (4.8, (), ["lower token"]),
        ],
    )
    def test_only_calls_right_after_a_thaw_are_excused(self, thawed_at, kinds, found):
        calls = make_call(1.0, 1, 3), make_call(5.0, 2, 2)
        assert self.find(*calls, thaws={2: [thawed_at]}, excused=kinds) == found

    @pytest.mark.parametrize(
        "accepted_at, disturbance, found",
        [
            (5.0, (4.9, 6.0), []),
            (4.0, (3.5, 4.5), []),
            (5.0, (3.0, 4.5), []),
            (5.0, (2.0, 3.5), ["lower token"]),
            (5.0, (5.1, 6.0), ["lower token"]),
        ],
    )
    def test_only_calls_beside_a_disturbed_cloud_are_excused(self, accepted_at, disturbance, found):
        calls = make_call(1.0, 1, 3), make_call(5.0, 2, 2, accepted_at=accepted_at)
        assert self.find(*calls, disturbances=[disturbance]) == found

    def test_excused_call_takes_no_part_in_an_order_of_holders(self):
        calls = make_call(1.0, 1, 3), make_call(1.5, 2, 2), make_call(2.0, 1, 3)
        assert self.find(*calls, thaws={2: [1.4]}) == []

    def test_time_without_calls_is_that_until_a_higher_token(self):
        record = LeaderRecord([make_call(1.0, 1, 3), make_call(5.5, 2, 4)], {}, ())
        ends = [HolderEnd("stop", 1, 3, 0.5), HolderEnd("freeze", 1, 3, 0.5)]
        assert record.find_uncalled(ends) == {"stop": [5.0], "freeze": [0.5]}
