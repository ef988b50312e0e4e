"""Acceptance of changes: races, lost answers and late writes against a simple oracle."""

import random
from dataclasses import dataclass, field
from urllib.parse import parse_qsl

import orjson
import pytest
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from flamingofront.connection.interfaces import Exchange
from flamingofront.daemon import open_document_store
from flamingofront.messages import BufferedResponse, CallFailed, InboundRequest, OutboundCall, Sleep
from flamingofront.process.logs import Log
from flamingofront.process.timers import ManualClock, TimerService
from flamingofront.standins.platform import TRANSACTION_PATH, PlatformStandIn
from flamingofront.version.commit import CommitState, commit, settle_operation
from flamingofront.version.language import parse
from flamingofront.version.model import Configuration, configuration_from_json


def documents():
    return open_document_store("127.0.0.1:1", 1.0, lambda: 0.0, Log("test"))


class Answer(Exchange):
    """Keeps the answer to one call."""

    def respond(self, status, headers, body):
        self.response = BufferedResponse(status, {}, body)

    def begin(self, status, headers):
        raise AssertionError("the store does not stream")

    send = finish = abort = begin


class Table:
    """The table service, called directly."""

    def __init__(self):
        self.clock = ManualClock()
        self.standin = PlatformStandIn(TimerService(self.clock))

    def serve(self, call: OutboundCall) -> BufferedResponse:
        self.clock.time += 1.0  # keeps the rate limit out of these tests
        path, _, query = call.path.partition("?")
        answer = Answer()
        req = InboundRequest(call.method, path, dict(parse_qsl(query)), {}, call.body)
        self.standin.handle(req, answer)
        return answer.response

    def operation(self, operation):
        row = self.standin.rows.get(f"config/operation/{operation}")
        return None if row is None else row[0]

    def configuration(self):
        row = self.standin.rows.get("config/document")
        return Configuration() if row is None else configuration_from_json(row[0])


def task_of(text, operation, base, operator="ops", budget=3.0, clock=None):
    edits = parse(text).edits
    now = clock or (lambda: 0.0)
    return commit(
        documents(),
        edits,
        base,
        operator,
        operation,
        now,
        random.Random(1),
        budget,
    )


def run_task(table, task, lose=()):
    """Run a task to its end; `lose` holds numbers of writes whose answer is lost."""
    reply, writes = None, 0
    try:
        while True:
            wanted = task.send(reply)
            if isinstance(wanted, Sleep):
                reply = None
                continue
            reply = table.serve(wanted)
            if wanted.path == TRANSACTION_PATH:
                writes += 1
                if writes in lose:
                    reply = CallFailed("reset", True)
    except StopIteration as exc:
        return exc.value


class TestCommit:
    def test_revisions_follow_one_another(self):
        table = Table()
        for number in range(1, 4):
            text = f"create workspace w{number}"
            outcome = run_task(table, task_of(text, f"op{number}", number - 1))
            assert (outcome.state, outcome.revision) == (CommitState.ACCEPTED, number)

    def test_lost_answer_is_settled_by_the_operation_id(self):
        table = Table()
        outcome = run_task(table, task_of("create workspace w", "op", 0), lose={1})
        assert (outcome.state, outcome.revision) == (CommitState.ACCEPTED, 1)
        assert table.configuration().revision == 1

    @pytest.mark.parametrize("reads", range(4))
    def test_own_late_write_is_not_taken_for_another_operators(self, reads):
        """The write takes effect between two reads of the next try."""
        table = Table()
        run_task(table, task_of("create workspace w", "op0", 0))
        task = task_of("change workspace w weight=2", "op1", 1)
        late = task.send(None)
        while late.path != TRANSACTION_PATH:
            late = task.send(table.serve(late))
        wanted = task.send(CallFailed("timeout", True))
        assert isinstance(wanted, Sleep)
        wanted = task.send(None)
        for _ in range(reads):
            wanted = task.send(table.serve(wanted))
        assert table.serve(late).status == 200
        with pytest.raises(StopIteration) as ended:
            while True:
                reply = None if isinstance(wanted, Sleep) else table.serve(wanted)
                wanted = task.send(reply)
        outcome = ended.value.value
        assert (outcome.state, outcome.revision) == (CommitState.ACCEPTED, 2)

    def test_loser_of_a_race_is_told_the_winner(self):
        table = Table()
        run_task(table, task_of("create workspace w", "op0", 0))
        run_task(table, task_of("change workspace w weight=2", "op1", 1, operator="anna"))
        outcome = run_task(table, task_of("change workspace w weight=3", "op2", 1))
        assert outcome.state is CommitState.CONFLICT
        assert (outcome.revision, outcome.operator) == (2, "anna")

    def test_changes_of_different_objects_do_not_conflict(self):
        table = Table()
        for name in ("v", "w"):
            run_task(table, task_of(f"create workspace {name}", f"op{name}", 1))
        assert table.configuration().revision == 2

    def test_refused_change_names_each_fault_and_changes_nothing(self):
        table = Table()
        outcome = run_task(table, task_of("create route r service=missing", "op", 0))
        assert outcome.state is CommitState.REFUSED
        assert outcome.faults == ("route r: service 'missing' does not exist",)
        assert table.configuration().revision == 0

    def test_repeated_operation_is_applied_once(self):
        table = Table()
        for _ in range(2):
            outcome = run_task(table, task_of("create workspace w", "op", 0))
            assert (outcome.state, outcome.revision) == (CommitState.ACCEPTED, 1)

    def test_settled_as_abandoned_never_takes_effect(self):
        table = Table()
        task = task_of("create workspace w", "op", 0)
        late = task.send(None)
        while late.path != TRANSACTION_PATH:
            late = task.send(table.serve(late))
        outcome = run_task(table, settle_operation(documents(), "op", "ops", random.Random(1)))
        assert outcome.state is CommitState.ABANDONED
        assert table.serve(late).status == 412
        assert table.configuration().revision == 0


@dataclass
class Running:
    task: object
    operation: str
    object_name: str
    base: int
    wanted: object = None
    outcome: object = None
    late: list = field(default_factory=list)


class CommitFuzz(RuleBasedStateMachine):
    """Several operators at once; any answer may be lost, any write may arrive late.

    The oracle is the table's own list of operations that took effect.
    """

    @initialize()
    def begin(self):
        self.table = Table()
        self.now = 0.0
        self.running: list[Running] = []
        self.late = []
        self.count = 0

    @rule(name=st.sampled_from(["v", "w"]), stale=st.integers(0, 2))
    def operator_gives_a_command(self, name, stale):
        self.count += 1
        operation = f"op{self.count}"
        base = max(0, self.table.configuration().revision - stale)
        text = f"put workspace {name} max_in_flight={self.count}"
        task = task_of(text, operation, base, operation, 3.0, lambda: self.now)
        run = Running(task, operation, name, base)
        self.running.append(run)
        self.advance(run, None)

    def advance(self, run, reply):
        try:
            run.wanted = run.task.send(reply)
        except StopIteration as exc:
            run.outcome = exc.value

    @rule(
        index=st.integers(0, 5),
        fate=st.sampled_from(["served", "served", "served", "lost", "answer lost", "late"]),
    )
    def step(self, index, fate):
        open_runs = [each for each in self.running if each.outcome is None]
        if not open_runs:
            return
        run = open_runs[index % len(open_runs)]
        if isinstance(run.wanted, Sleep):
            self.now += run.wanted.seconds
            self.advance(run, None)
        elif fate == "served":
            self.advance(run, self.table.serve(run.wanted))
        else:
            if fate == "answer lost":
                self.table.serve(run.wanted)
            elif fate == "late" and run.wanted.path == TRANSACTION_PATH:
                self.late.append(run.wanted)
            self.advance(run, CallFailed("timeout", True))

    @rule()
    def late_write_arrives(self):
        if self.late:
            self.table.serve(self.late.pop(0))

    @rule(seconds=st.floats(0.1, 4.0))
    def time_passes(self, seconds):
        self.now += seconds

    @rule(index=st.integers(0, 5))
    def operator_settles(self, index):
        unknown = [
            each
            for each in self.running
            if each.outcome is not None and each.outcome.state is CommitState.UNKNOWN
        ]
        if unknown:
            run = unknown[index % len(unknown)]
            task = settle_operation(documents(), run.operation, "ops", random.Random(1))
            run.outcome = run_task(self.table, task)

    def took_effect(self, run):
        note = self.table.operation(run.operation)
        return note is not None and note["state"] == "accepted"

    @invariant()
    def operators_are_told_the_truth(self):
        for run in getattr(self, "running", ()):
            if run.outcome is None or run.outcome.state is CommitState.UNKNOWN:
                continue
            accepted = run.outcome.state is CommitState.ACCEPTED
            assert accepted == self.took_effect(run), (run.operation, run.outcome)
            if accepted:
                assert run.outcome.revision == self.table.operation(run.operation)["revision"]

    @invariant()
    def each_revision_has_one_operation(self):
        notes = [
            value["revision"]
            for key, (value, _) in getattr(self, "table", Table()).standin.rows.items()
            if key.startswith("config/operation/") and value["state"] == "accepted"
        ]
        revision = getattr(self, "table", Table()).configuration().revision
        assert sorted(notes) == list(range(1, revision + 1))

    @invariant()
    def one_of_two_with_the_same_view_of_an_object_wins(self):
        wins = {}
        for run in getattr(self, "running", ()):
            if run.outcome is not None and run.outcome.state is CommitState.ACCEPTED:
                wins.setdefault(run.object_name, []).append((run.base, run.outcome.revision))
        for pairs in wins.values():
            pairs.sort(key=lambda pair: pair[1])
            for (_, earlier), (base, _) in zip(pairs, pairs[1:], strict=False):
                assert base >= earlier


TestCommitFuzz = CommitFuzz.TestCase


class TestStoredForm:
    def test_configuration_survives_its_json_form(self):
        table = Table()
        texts = (
            "create service s kind=plain 'non_repeatable=POST /c,PUT /d' slots=3",
            "create workspace w weight=2.5",
            "create route r service=s workspaces=w",
            "create move m service=s old_side=a new_side=b share=12.5",
            "drain zone z",
        )
        for number, text in enumerate(texts):
            outcome = run_task(table, task_of(text, f"op{number}", number))
            assert outcome.state is CommitState.ACCEPTED, outcome.faults
        assert table.configuration() == outcome.configuration
        orjson.dumps(table.standin.rows["config/document"][0])
