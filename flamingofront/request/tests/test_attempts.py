"""The state machine of a request against a simple oracle."""

import random

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from flamingofront.decisions.retry import PacedRetryBudget, UnlimitedRetryBudget
from flamingofront.errors import ErrorKind, Executed
from flamingofront.messages import Complete, Emit, Fail, Frame, ScheduleRetry, StartAttempt
from flamingofront.request.attempts import Phase, RequestFacts, RequestMachine

LENGTH = 8


def machine_of(repeatable=True, deadline=100.0, budget=None):
    facts = RequestFacts("r", repeatable, deadline)
    return RequestMachine(facts, budget or UnlimitedRetryBudget(), random.Random(1))


class TestRetry:
    def test_loss_with_evidence_is_retried_even_if_not_repeatable(self):
        machine = machine_of(repeatable=False)
        (start,) = machine.start()
        actions = machine.handle_attempt_failure(start.attempt_id, "e", Executed.NO, 1.0)
        assert isinstance(actions[0], ScheduleRetry)
        assert machine.ran is Executed.NO

    def test_loss_without_evidence_is_final_if_not_repeatable(self):
        machine = machine_of(repeatable=False)
        (start,) = machine.start()
        machine.record_write(start.attempt_id)
        (fail,) = machine.handle_attempt_failure(start.attempt_id, "e", Executed.UNKNOWN, 1.0)
        assert (fail.kind, fail.ran) == (ErrorKind.OUTCOME_UNKNOWN, Executed.UNKNOWN)

    def test_refusal_after_an_unknown_attempt_does_not_become_not_run(self):
        machine = machine_of()
        (start,) = machine.start()
        machine.record_write(start.attempt_id)
        machine.handle_attempt_failure(start.attempt_id, "e", Executed.UNKNOWN, 1.0)
        (second,) = machine.start()
        machine.handle_attempt_failure(second.attempt_id, "f", Executed.NO, 1.0)
        (fail,) = machine.expire()
        assert fail.ran is Executed.UNKNOWN

    def test_refusal_after_a_refusal_stays_not_run(self):
        machine = machine_of()
        for endpoint in ("e", "f"):
            (start,) = machine.start()
            machine.record_write(start.attempt_id)
            machine.handle_attempt_failure(start.attempt_id, endpoint, Executed.NO, 1.0)
        (fail,) = machine.expire()
        assert fail.ran is Executed.NO

    def test_wait_beyond_the_deadline_is_told_at_once(self):
        budget = PacedRetryBudget(ratio=0.0, floor_rate=0.1, burst=0.0)
        machine = machine_of(deadline=5.0, budget=budget)
        (start,) = machine.start()
        (fail,) = machine.handle_attempt_failure(start.attempt_id, "e", Executed.UNKNOWN, 1.0)
        assert fail.kind is ErrorKind.RETRY_BUDGET_EXHAUSTED
        assert fail.retry_after == 10.0

    def test_resume_starts_behind_the_text(self):
        machine = machine_of()
        (start,) = machine.start()
        machine.accept_frame(Frame("r", start.attempt_id, 0, ("x", "y")))
        machine.handle_attempt_failure(start.attempt_id, "e", Executed.UNKNOWN, 1.0)
        (again,) = machine.start()
        assert again.offset == 2
        assert again.exclude == {"e"}


class TestFreeze:
    def test_frozen_text_says_nothing_more_whatever_comes(self):
        """From the offer on, only the peer may extend the text or end the request."""
        machine = machine_of()
        (start,) = machine.start()
        machine.accept_frame(Frame("r", start.attempt_id, 0, ("x",)))
        machine.freeze()
        assert machine.accept_frame(Frame("r", start.attempt_id, 1, ("y",), True)) == []
        assert machine.handle_attempt_failure(start.attempt_id, "e", Executed.UNKNOWN, 1.0) == []
        assert machine.start() == machine.expire() == machine.end_without_answer() == []
        assert machine.assembler.tokens == ["x"]


class RequestMachineFuzz(RuleBasedStateMachine):
    """Any order of facts gives at most one final answer, and a true one.

    The oracle executes attempts itself: it knows whether work ran, so that `ran` can be checked.
    """

    @initialize(repeatable=st.booleans())
    def begin(self, repeatable):
        self.machine = machine_of(repeatable)
        self.repeatable = repeatable
        self.now = 0.0
        self.text = []
        self.finals = []
        self.executions = 0
        self.sent_after_execution = False
        self.attempts = {}
        self.frozen = False
        self.carry(self.machine.start())

    def carry(self, actions):
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
                self.finals.append(action)

    def current(self):
        return self.machine.attempt_id

    @rule()
    def retry_is_due(self):
        self.carry(self.machine.start())

    @rule(
        data=st.data(),
        count=st.integers(0, 3),
        late=st.booleans(),
    )
    def frame(self, data, count, late):
        known = list(self.attempts)
        attempt = data.draw(st.sampled_from(known)) if late else self.current()
        if attempt is None:
            return
        if attempt == self.current() and self.machine.phase is Phase.RUNNING:
            if not self.repeatable and self.executions and not self.text:
                return
            self.executions = max(1, self.executions)
            self.machine.record_write(attempt)
        start = self.attempts[attempt]
        tokens = tuple(f"{attempt}:{start + n}" for n in range(count))
        final = start + count >= LENGTH
        self.attempts[attempt] = start + count
        self.carry(self.machine.accept_frame(Frame("r", attempt, start, tokens, final)))

    @rule(kind=st.sampled_from(["refused", "not connected", "reset before", "reset after"]))
    def lost(self, kind):
        attempt = self.current()
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
        self.carry(self.machine.handle_attempt_failure(attempt, "e", executed, self.now))

    @rule(seconds=st.floats(0.0, 5.0))
    def time_passes(self, seconds):
        self.now += seconds

    @rule()
    def replaced(self):
        if self.current() is not None and self.repeatable:
            self.carry(self.machine.replace_attempt(self.current()))

    @rule(end=st.sampled_from(["deadline", "gone", "freeze"]))
    def ended(self, end):
        ends = {
            "deadline": self.machine.expire,
            "gone": self.machine.end_without_answer,
            "freeze": self.machine.freeze,
        }
        if self.now > 20:
            self.carry(ends[end]())
            self.frozen = self.frozen or self.machine.phase is Phase.FROZEN

    @invariant()
    def at_most_one_final_answer(self):
        if hasattr(self, "finals"):
            assert len(self.finals) <= 1

    @invariant()
    def not_run_is_never_said_of_work_that_ran(self):
        for final in getattr(self, "finals", ()):
            if isinstance(final, Fail) and final.ran is Executed.NO:
                assert self.executions == 0

    @invariant()
    def work_that_must_not_repeat_is_not_sent_after_it_ran(self):
        assert not getattr(self, "sent_after_execution", False)

    @invariant()
    def text_is_never_spliced_within_a_position(self):
        for index, token in enumerate(getattr(self, "text", ())):
            assert int(token.rpartition(":")[2]) == index


TestRequestMachineFuzz = RequestMachineFuzz.TestCase
