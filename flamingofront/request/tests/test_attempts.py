"""Tests of the state machine of a request, also by fuzzing against a simple oracle."""

import random

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from flamingofront.decisions.retry import PacedRetryBudget, UnlimitedRetryBudget
from flamingofront.errors import ErrorKind, Executed
from flamingofront.messages import Complete, Emit, Fail, Frame, ScheduleRetry, StartAttempt
from flamingofront.request.attempts import Phase, RequestFacts, RequestMachine

ANSWER_TOKENS = 8


def make_machine(repeatable=True, deadline=100.0, budget=None):
    facts = RequestFacts("r", repeatable, deadline)
    return RequestMachine(facts, budget or UnlimitedRetryBudget(), random.Random(1))


class TestRetry:
    def test_attempt_that_did_not_run_is_retried_even_if_not_repeatable(self):
        machine = make_machine(repeatable=False)
        (start,) = machine.start()
        actions = machine.handle_attempt_failure(start.attempt_id, "e", Executed.NO, 1.0)
        assert isinstance(actions[0], ScheduleRetry)
        assert machine.ran is Executed.NO

    def test_attempt_that_may_have_run_is_not_retried_if_not_repeatable(self):
        machine = make_machine(repeatable=False)
        (start,) = machine.start()
        machine.record_write(start.attempt_id)
        (fail,) = machine.handle_attempt_failure(start.attempt_id, "e", Executed.UNKNOWN, 1.0)
        assert (fail.kind, fail.ran) == (ErrorKind.OUTCOME_UNKNOWN, Executed.UNKNOWN)

    def test_rejection_after_an_unknown_attempt_leaves_the_outcome_unknown(self):
        machine = make_machine()
        (start,) = machine.start()
        machine.record_write(start.attempt_id)
        machine.handle_attempt_failure(start.attempt_id, "e", Executed.UNKNOWN, 1.0)
        (second,) = machine.start()
        machine.handle_attempt_failure(second.attempt_id, "f", Executed.NO, 1.0)
        (fail,) = machine.expire()
        assert fail.ran is Executed.UNKNOWN

    def test_two_rejected_attempts_are_reported_as_not_run(self):
        machine = make_machine()
        for endpoint in ("e", "f"):
            (start,) = machine.start()
            machine.record_write(start.attempt_id)
            machine.handle_attempt_failure(start.attempt_id, endpoint, Executed.NO, 1.0)
        (fail,) = machine.expire()
        assert fail.ran is Executed.NO

    def test_no_obstacle_means_that_an_attempt_that_fails_is_retried(self):
        # The delay of the retry was left out: an attempt was given up, and the request failed.
        for failures in range(12):
            for left in (0.02, 0.2, 0.9, 1.5, 5.0):
                machine = make_machine(deadline=1.0 + left)
                for _ in range(failures):
                    (start,) = machine.start()
                    machine.handle_attempt_failure(start.attempt_id, "e", Executed.NO, 0.0)
                    machine.phase = Phase.WAITING
                (start,) = machine.start()
                obstacle = machine.find_retry_obstacle(1.0)
                (action,) = machine.handle_attempt_failure(
                    start.attempt_id, "f", Executed.UNKNOWN, 1.0
                )
                assert obstacle or isinstance(action, ScheduleRetry), (failures, left)

    def test_retry_delay_beyond_the_deadline_fails_immediately(self):
        budget = PacedRetryBudget(ratio=0.0, floor_rate=0.1, burst=0.0)
        machine = make_machine(deadline=5.0, budget=budget)
        (start,) = machine.start()
        (fail,) = machine.handle_attempt_failure(start.attempt_id, "e", Executed.UNKNOWN, 1.0)
        assert fail.kind is ErrorKind.RETRY_BUDGET_EXHAUSTED
        assert fail.retry_after == 10.0

    def test_resumed_attempt_starts_at_the_end_of_the_text(self):
        machine = make_machine()
        (start,) = machine.start()
        machine.accept_frame(Frame("r", start.attempt_id, 0, ("x", "y")))
        machine.handle_attempt_failure(start.attempt_id, "e", Executed.UNKNOWN, 1.0)
        (again,) = machine.start()
        assert again.offset == 2
        assert again.exclude == {"e"}


class TestWithdrawal:
    """An attempt of which nothing was sent counted like one that had failed."""

    def test_it_uses_up_neither_attempts_nor_budget(self):
        budget = PacedRetryBudget(ratio=0.0, floor_rate=0.1, burst=0.0)
        facts = RequestFacts("r", False, 100.0, max_attempts=1)
        machine = RequestMachine(facts, budget, random.Random(1))
        for _ in range(20):
            (start,) = machine.start()
            (again,) = machine.withdraw_attempt(start.attempt_id, 1.0)
            assert again.delay <= 0.2
        (start,) = machine.start()
        assert start.exclude == frozenset()
        assert machine.ran is Executed.NO

    def test_request_whose_time_is_up_fails_as_not_run(self):
        machine = make_machine(deadline=5.0)
        (start,) = machine.start()
        (fail,) = machine.withdraw_attempt(start.attempt_id, 5.0)
        assert (fail.kind, fail.ran) == (ErrorKind.DEADLINE_EXCEEDED, Executed.NO)

    def test_it_leaves_the_outcome_of_an_earlier_attempt_unknown(self):
        machine = make_machine()
        (start,) = machine.start()
        machine.record_write(start.attempt_id)
        machine.handle_attempt_failure(start.attempt_id, "e", Executed.UNKNOWN, 1.0)
        (second,) = machine.start()
        machine.withdraw_attempt(second.attempt_id, 1.0)
        assert machine.ran is Executed.UNKNOWN


class TestFreeze:
    def test_frozen_request_ignores_all_events(self):
        """Once a request is offered to a peer, only the peer may extend or end it."""
        machine = make_machine()
        (start,) = machine.start()
        machine.accept_frame(Frame("r", start.attempt_id, 0, ("x",)))
        machine.freeze()
        assert machine.accept_frame(Frame("r", start.attempt_id, 1, ("y",), True)) == []
        assert machine.handle_attempt_failure(start.attempt_id, "e", Executed.UNKNOWN, 1.0) == []
        assert machine.start() == machine.expire() == machine.end_without_answer() == []
        assert machine.assembler.tokens == ["x"]


class RequestMachineFuzz(RuleBasedStateMachine):
    """Any order of events leads to at most one final answer, with a correct `ran`.

    The oracle executes the attempts, so it knows whether a request ran.
    """

    @initialize(repeatable=st.booleans())
    def begin(self, repeatable):
        self.machine = make_machine(repeatable)
        self.repeatable = repeatable
        self.now = 0.0
        self.text = []
        self.final_actions = []
        self.executions = 0
        self.sent_after_execution = False
        self.attempts = {}
        self.written = set()
        self.frozen = False
        self.execute(self.machine.start())

    def execute(self, actions):
        assert not (actions and self.frozen)
        for action in actions:
            if isinstance(action, StartAttempt):
                assert action.offset == len(self.text)
                if self.executions and not self.repeatable:
                    self.sent_after_execution = True
                self.attempts[action.attempt_id] = action.offset
            elif isinstance(action, Emit):
                assert action.offset == len(self.text)
                self.text += action.tokens
            elif isinstance(action, Complete | Fail):
                self.final_actions.append(action)

    def current_attempt(self):
        return self.machine.attempt_id

    @rule()
    def retry_is_due(self):
        self.execute(self.machine.start())

    @rule(
        data=st.data(),
        count=st.integers(0, 3),
        late=st.booleans(),
    )
    def frame_arrives(self, data, count, late):
        attempt_ids = list(self.attempts)
        attempt = data.draw(st.sampled_from(attempt_ids)) if late else self.current_attempt()
        if attempt is None:
            return
        if attempt == self.current_attempt() and self.machine.phase is Phase.RUNNING:
            if not self.repeatable and self.executions and not self.text:
                return
            self.executions = max(1, self.executions)
            self.machine.record_write(attempt)
            self.written.add(attempt)
        start = self.attempts[attempt]
        tokens = tuple(f"{attempt}:{start + n}" for n in range(count))
        final = start + count >= ANSWER_TOKENS
        self.attempts[attempt] = start + count
        self.execute(self.machine.accept_frame(Frame("r", attempt, start, tokens, final)))

    @rule(kind=st.sampled_from(["refused", "not connected", "reset before", "reset after"]))
    def attempt_fails(self, kind):
        attempt = self.current_attempt()
        if attempt is None or self.machine.phase is not Phase.RUNNING:
            return
        executed = Executed.NO
        if kind == "refused":
            self.machine.record_write(attempt)
        elif kind.startswith("reset"):
            self.machine.record_write(attempt)
            executed = Executed.UNKNOWN
            self.executions += kind == "reset after"
        if self.text and executed is Executed.NO:
            executed = Executed.UNKNOWN
        self.execute(self.machine.handle_attempt_failure(attempt, "e", executed, self.now))

    @rule()
    def attempt_is_withdrawn(self):
        attempt = self.current_attempt()
        if attempt is not None and attempt not in self.written:
            self.execute(self.machine.withdraw_attempt(attempt, self.now))

    @rule(seconds=st.floats(0.0, 5.0))
    def time_passes(self, seconds):
        self.now += seconds

    @rule()
    def attempt_is_replaced(self):
        if self.current_attempt() is not None and self.repeatable:
            self.execute(self.machine.replace_attempt(self.current_attempt()))

    @rule(end=st.sampled_from(["deadline", "gone", "freeze"]))
    def request_ends(self, end):
        ends = {
            "deadline": self.machine.expire,
            "gone": self.machine.end_without_answer,
            "freeze": self.machine.freeze,
        }
        if self.now > 20:
            self.execute(ends[end]())
            self.frozen = self.frozen or self.machine.phase is Phase.FROZEN

    @invariant()
    def at_most_one_final_answer(self):
        if hasattr(self, "final_actions"):
            assert len(self.final_actions) <= 1

    @invariant()
    def executed_request_is_never_reported_as_not_run(self):
        for final in getattr(self, "final_actions", ()):
            if isinstance(final, Fail) and final.ran is Executed.NO:
                assert self.executions == 0

    @invariant()
    def unrepeatable_request_is_not_sent_after_it_ran(self):
        assert not getattr(self, "sent_after_execution", False)

    @invariant()
    def each_position_has_exactly_one_token(self):
        for index, token in enumerate(getattr(self, "text", ())):
            assert int(token.rpartition(":")[2]) == index


TestRequestMachineFuzz = RequestMachineFuzz.TestCase
