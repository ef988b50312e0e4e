"""The leader lease under any interleaving of calls, lost responses, late reports and suspensions.

Several processes run the real `LeaderLease` over a naive store. The fuzzer decides when a call is
carried out, whether its response arrives, which peer reports are received and which processes are
suspended. The oracle checks only acts: a process acts whenever it holds a usable lease.

In `CallMachine` an act is a call that is begun, written and delivered at different times, and the
oracle checks the order in which calls arrive (`lease_model`).
"""

import random
from dataclasses import replace

import orjson
import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from flamingofront.errors import PlatformError
from flamingofront.messages import Sleep
from flamingofront.process.forwarding.duty import TAKEOVER_MARGIN_SECONDS, LeaderLease
from flamingofront.process.forwarding.reports import PeerReport
from flamingofront.process.forwarding.tests.lease_model import LeasePlay, StoreDelays
from flamingofront.process.logs import Log
from flamingofront.process.store import (
    RowRange,
    StoredRow,
    TableStore,
    TransactionOutcome,
)

DURATION = 3.0
PROCESSES = 3
CALL_TIMEOUT = 1.0
NO_ANSWER = object()  # a call whose response never arrives


class _Read:
    pass


class _Write:
    def __init__(self, condition, value):
        self.condition, self.value = condition, value


class NaiveStore(TableStore):
    """A store with one row; calls are yielded to the fuzzer, which carries them out."""

    def __init__(self):
        self.version, self.row = 0, None

    def read(self, table, part="", first=""):
        return (yield _Read())

    def read_changes(self, table, after, wait):
        raise NotImplementedError

    def transact(self, part, conditions, writes):
        return (yield _Write(conditions[0].version, writes[0].value))

    def carry_out(self, call):
        rows = () if self.row is None else (self.row,)
        if isinstance(call, _Read):
            return RowRange(rows, self.version)
        if call.condition != (self.row.version if self.row else 0):
            return TransactionOutcome(False, self.version, rows)
        self.version += 1
        self.row = StoredRow("duties", "duties", "all", call.value, self.version)
        return TransactionOutcome(True, self.version)


class Process:
    """A process under test; the test resumes its lease task step by step."""

    def __init__(self, index, store, clock):
        self.vm, self.clock = f"vm-{index}", clock
        self.lease = LeaderLease(
            store, self.vm, 1, DURATION, lambda: clock.time, random.Random(index), Log("entry")
        )
        self.task = self.lease.run()
        self.call = None
        self.wake_at = 0.0
        self.sent_at = 0.0
        self.step(None)

    def step(self, answer, error=None):
        """Resume the task until its next call or sleep."""
        try:
            wanted = self.task.throw(error) if error else self.task.send(answer)
        except StopIteration:
            self.call, self.wake_at = None, float("inf")
            return
        if isinstance(wanted, Sleep):
            self.call, self.wake_at = None, self.clock.time + wanted.seconds
        else:
            self.call, self.sent_at = wanted, self.clock.time

    def report(self):
        held = self.lease.valid_lease()
        return PeerReport(
            self.vm,
            1,
            0,
            "z",
            "",
            "",
            fencing=held.fencing if held else 0,
            released=self.lease.released_fencing,
            lease_version=self.lease.version if held else 0,
        )


class Clock:
    """Clock that the test advances."""

    def __init__(self):
        self.time = 0.0


class TestRace:
    def test_report_received_during_the_read_resets_the_wait(self):
        """The row read is older than the report of the new holder that arrives during the read."""
        clock, store = Clock(), NaiveStore()
        first, second, third = (Process(index, store, clock) for index in range(3))
        for process in (first, first, second, third):
            process.step(store.carry_out(process.call))
        assert first.lease.usable_lease() is not None
        clock.time += DURATION + 2.0
        second.step(None)
        third.step(None)
        third_read = third.call
        for _ in range(2):
            second.step(store.carry_out(second.call))
        assert second.lease.usable_lease() is not None
        third.lease.observe_report(second.report())
        third.step(store.carry_out(third_read))
        assert not isinstance(third.call, _Write)


class TestReleaseOfAnEarlierHolder:
    """Guards against a process that takes the lease of a live holder, both of whom then act.

    A process reports for seconds that it has released the lease, and reports of the next holder do
    not arrive everywhere in the order in which they were sent.
    """

    def setup_method(self):
        self.clock, self.store = Clock(), NaiveStore()
        self.first, self.second, self.third = (
            Process(index, self.store, self.clock) for index in range(3)
        )
        for process in (self.first, self.first, self.third):
            process.step(self.store.carry_out(process.call))
        self.claim_of_first, self.row_of_first = self.first.report(), self.store.row
        release = self.first.lease.release()
        self.clock.time += next(release).seconds
        with pytest.raises(StopIteration):
            release.send(self.store.carry_out(release.send(None)))
        self.release_of_first = self.first.report()
        assert self.release_of_first.released == 1
        for _ in range(2):
            self.second.step(self.store.carry_out(self.second.call))
        assert self.second.lease.usable_lease().fencing == 2

    def poll(self):
        """Let the third process read the row if it wants to; return the call it makes then."""
        self.clock.time = max(self.clock.time, self.third.wake_at)
        self.third.step(None)
        if self.third.call is not None:
            self.third.step(self.store.carry_out(self.third.call))
        return self.third.call

    def test_claim_of_the_earlier_holder_that_arrives_late(self):
        """It made the process forget that the new holder had been heard."""
        for report in (self.second.report(), self.claim_of_first, self.release_of_first):
            self.third.lease.observe_report(report)
        assert not isinstance(self.poll(), _Write)

    def test_relay_that_reports_the_release_and_the_new_holder_at_once(self):
        """The new holder was not noticed beside the release of the earlier one."""
        both = replace(self.second.report(), released=1)
        for report in (self.second.report(), self.claim_of_first, both):
            self.third.lease.observe_report(report)
        assert not isinstance(self.poll(), _Write)

    def test_late_claims_of_an_earlier_holder_do_not_postpone_the_takeover(self):
        self.third.lease.observe_report(self.second.report())
        end = self.clock.time + DURATION + TAKEOVER_MARGIN_SECONDS
        while self.clock.time < end:
            self.clock.time += 0.5
            self.third.lease.observe_report(self.claim_of_first)
        assert isinstance(self.poll(), _Write)

    def test_release_is_used_while_no_new_holder_is_known(self):
        self.store.row = self.row_of_first
        self.third.lease.observe_report(self.release_of_first)
        assert isinstance(self.poll(), _Write)


class TestStoredReports:
    def setup_method(self):
        self.clock, self.store = Clock(), NaiveStore()
        self.holder = Process(0, self.store, self.clock)
        for _ in range(2):
            self.holder.step(self.store.carry_out(self.holder.call))
        assert self.holder.lease.usable_lease() is not None

    def stored_reports(self):
        return orjson.loads(self.store.row.value)["reports"]

    def start_renewal(self):
        """Run the holder until it sends its next renewal."""
        self.clock.time = max(self.clock.time, self.holder.wake_at)
        self.holder.step(None)
        assert isinstance(self.holder.call, _Write)

    def store_reports(self, reports):
        """Start to store reports; return the task and its call, or the outcome and None."""
        task = self.holder.lease.renew(reports)
        try:
            return task, next(task)
        except StopIteration as exc:
            return exc.value, None

    def test_renewal_in_flight_does_not_undo_reports(self):
        self.start_renewal()
        task, call = self.store_reports({"7": {"desk": 3}})
        if call is None:
            assert task is False
        else:
            answer = self.store.carry_out(call)
            try:
                task.send(answer)
            except StopIteration as exc:
                assert exc.value is True
        while isinstance(self.holder.call, _Write):
            self.holder.step(self.store.carry_out(self.holder.call))
        if call is not None:
            assert self.stored_reports() == {"7": {"desk": 3}}
        else:
            task, call = self.store_reports({"7": {"desk": 3}})
            with pytest.raises(StopIteration):
                task.send(self.store.carry_out(call))
            assert self.stored_reports() == {"7": {"desk": 3}}

    def test_stored_reports_stay_after_a_lost_response(self):
        task, call = self.store_reports({"7": {"desk": 3}})
        self.store.carry_out(call)
        with pytest.raises(PlatformError):
            task.throw(PlatformError("timeout", maybe_applied=True))
        task, call = self.store_reports({"7": {"desk": 4}})
        with pytest.raises(StopIteration):
            while True:
                call = task.send(self.store.carry_out(call))
        assert self.stored_reports() == {"7": {"desk": 3}}
        assert self.holder.lease.state.reports == {"7": {"desk": 3}}
        assert self.holder.lease.usable_lease() is not None


class LeaseMachine(RuleBasedStateMachine):
    """Processes that acquire, renew and lose one lease."""

    def __init__(self):
        super().__init__()
        self.clock, self.store = Clock(), NaiveStore()
        self.processes = [Process(index, self.store, self.clock) for index in range(PROCESSES)]
        self.frozen = set()
        self.acts = []
        self.sent_reports = []

    @rule(index=st.integers(0, PROCESSES - 1), answered=st.sampled_from([True, True, True, False]))
    def carry_out(self, index, answered):
        """Carry a call out; a lost response leads to a timeout."""
        process = self.processes[index]
        if process.call in (None, NO_ANSWER) or index in self.frozen:
            return
        call, process.call = process.call, NO_ANSWER
        result = self.store.carry_out(call)
        if answered:
            process.step(result)

    @rule(seconds=st.sampled_from([0.05, 0.3, 1.0, 2.0, 5.0]))
    def advance(self, seconds):
        self._advance(seconds)

    def _advance(self, seconds):
        end = self.clock.time + seconds
        while self.clock.time < end:
            self.clock.time = min(end, self.clock.time + 0.05)
            for index, process in enumerate(self.processes):
                if index in self.frozen:
                    continue
                if process.call is None and process.wake_at <= self.clock.time:
                    process.step(None)
                elif process.call and self.clock.time - process.sent_at >= CALL_TIMEOUT:
                    process.step(None, PlatformError("timeout", maybe_applied=True))
                self._record_act(process)

    @rule(source=st.integers(0, PROCESSES - 1))
    def send_report(self, source):
        """Send a report to all others; it arrives later, or never."""
        if source not in self.frozen:
            self.sent_reports.append(self.processes[source].report())

    @rule(listener=st.integers(0, PROCESSES - 1), pick=st.integers(0, 1000))
    def receive_report(self, listener, pick):
        if self.sent_reports and listener not in self.frozen:
            report = self.sent_reports[pick % len(self.sent_reports)]
            if report.vm_id != self.processes[listener].vm:
                self.processes[listener].lease.observe_report(replace(report))

    @rule(index=st.integers(0, PROCESSES - 1))
    def toggle_frozen(self, index):
        self.frozen ^= {index}

    @rule()
    def freeze_holder(self):
        """Suspend the holder for longer than its lease, so that all others read the row."""
        for index, process in enumerate(self.processes):
            if process.lease.valid_lease() is not None:
                self.frozen = {index}
                self._advance(DURATION + 1.5)
                return

    @rule()
    def deliver_all(self):
        """Carry out all pending calls, one after another."""
        for index in range(PROCESSES):
            for _ in range(3):
                self.carry_out(index, True)
        self._advance(0.05)

    def _record_act(self, process):
        held = process.lease.usable_lease()
        if held is not None:
            self.acts.append((self.clock.time, process.vm, held.fencing))

    @invariant()
    def fencing_is_monotonic_and_acts_are_a_lease_apart(self):
        last, last_acts = None, {}
        for at, vm, fencing in self.acts:
            if last is not None:
                assert fencing >= last[2], (last, (at, vm, fencing))
                if vm != last[1]:
                    assert fencing > last[2], (last, (at, vm, fencing))
                    assert vm not in last_acts or at - last_acts[vm] >= DURATION
            last, last_acts[vm] = (at, vm, fencing), at
        del self.acts[:-400]


TestLeaseMachine = LeaseMachine.TestCase
TestLeaseMachine.settings = settings(max_examples=200, stateful_step_count=50)


class CallMachine(RuleBasedStateMachine):
    """Holders that end in any way while their calls are on their way to the cloud."""

    def __init__(self):
        super().__init__()
        self.play = LeasePlay(killed_delivery_seconds=0.0)
        self.play.draw_delays = self._draw_delays
        self.play.draw_report_delay = lambda: self.report_delay
        self.delays = []
        self.report_delay = 0.05
        self.cut_off = set()
        self.play.run(2.0)

    def _draw_delays(self, process):
        if process in self.cut_off:
            return StoreDelays(request=None)
        return self.delays.pop() if self.delays else StoreDelays()

    def _choose(self, index):
        """Return a process: the holder for 0 if there is one."""
        live = self.play.live()
        holder = self.play.holder() if index == 0 else None
        return holder or (live[index % len(live)] if live else None)

    @rule(seconds=st.sampled_from([0.05, 0.3, 1.0, 2.5, 5.0]))
    def advance(self, seconds):
        self.play.run(seconds)

    @rule(
        request=st.sampled_from([None, 0.0, 0.5, 1.5, 3.0, 6.0]),
        response=st.sampled_from([None, 0.0, 0.5]),
    )
    def delay_next_call(self, request, response):
        """Let the next call to the store be carried out late, or not, or without a response."""
        self.delays.append(StoreDelays(request, response))

    @rule(seconds=st.sampled_from([0.05, 1.5, None]))
    def delay_reports(self, seconds):
        self.report_delay = seconds

    @rule(index=st.integers(0, 2), restart_after=st.sampled_from([0.05, 0.3, 1.0, 4.0]))
    def kill(self, index, restart_after):
        process = self._choose(index)
        if process is not None:
            self.play.kill(process, restart_after)

    @rule(
        index=st.integers(0, 2),
        restart_after=st.sampled_from([0.05, 1.0, 4.0]),
        grace=st.sampled_from([None, 0.5, 1.1]),
    )
    def stop(self, index, restart_after, grace):
        process = self._choose(index)
        if process is not None:
            self.play.stop(process, restart_after, grace)

    @rule(index=st.integers(0, 2), seconds=st.sampled_from([0.3, 1.0, 3.0, 6.0]))
    def freeze(self, index, seconds):
        process = self._choose(index)
        if process is not None:
            self.play.freeze(process, seconds)

    @rule(index=st.integers(0, 2))
    def toggle_cut_off(self, index):
        """Cut a process off from the store, or connect it again."""
        process = self._choose(index)
        if process is not None:
            self.cut_off ^= {process}

    @rule(age=st.sampled_from([0.3, 1.0, 3.0, 8.0]))
    def restore(self, age):
        self.play.restore(age)

    @rule(seconds=st.sampled_from([0.3, 1.0, 4.5]))
    def resume_all(self, seconds):
        """Let all run and reach the store, so that one of them acts."""
        self.cut_off.clear()
        self.delays.clear()
        self.report_delay = 0.05
        self.play.run(seconds)

    @invariant()
    def calls_arrive_in_the_order_of_their_holders(self):
        assert self.play.breaches() == []


TestCallMachine = CallMachine.TestCase
TestCallMachine.settings = settings(max_examples=150, stateful_step_count=40)
