"""Tests of commits: races, lost responses and delayed writes, checked against a simple oracle."""

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


def make_document_store():
    return open_document_store("127.0.0.1:1", 1.0, lambda: 0.0, Log("test"))


class RecordingExchange(Exchange):
    """Records the response to one call."""

    def respond(self, status, headers, body):
        self.response = BufferedResponse(status, {}, body)

    def begin(self, status, headers):
        raise AssertionError("the store does not stream responses")

    send = finish = abort = begin


class Table:
    """Table service stand-in that is called without a network."""

    def __init__(self):
        self.clock = ManualClock()
        self.standin = PlatformStandIn(TimerService(self.clock))

    def serve(self, call: OutboundCall) -> BufferedResponse:
        self.clock.time += 1.0  # refills the rate limit, so that it does not affect these tests
        path, _, query = call.path.partition("?")
        exchange = RecordingExchange()
        req = InboundRequest(call.method, path, dict(parse_qsl(query)), {}, call.body)
        self.standin.handle(req, exchange)
        return exchange.response

    def operation_row(self, operation):
        row = self.standin.rows.get(f"config/operation/{operation}")
        return None if row is None else row[0]

    def configuration(self):
        row = self.standin.rows.get("config/document")
        return Configuration() if row is None else configuration_from_json(row[0])


def commit_task(text, operation, base, operator="ops", budget=3.0, clock=None):
    edits = parse(text).edits
    now = clock or (lambda: 0.0)
    return commit(
        make_document_store(),
        edits,
        base,
        operator,
        operation,
        now,
        random.Random(1),
        budget,
    )


def run_task(table, task, lost_writes=()):
    """Run a task to its end; the responses of `lost_writes` (numbers from 1) are lost."""
    reply, writes = None, 0
    try:
        while True:
            call = task.send(reply)
            if isinstance(call, Sleep):
                reply = None
                continue
            reply = table.serve(call)
            if call.path == TRANSACTION_PATH:
                writes += 1
                if writes in lost_writes:
                    reply = CallFailed("reset", True)
    except StopIteration as exc:
        return exc.value


class TestCommit:
    def test_revisions_are_consecutive(self):
        table = Table()
        for number in range(1, 4):
            text = f"create workspace w{number}"
            outcome = run_task(table, commit_task(text, f"op{number}", number - 1))
            assert (outcome.state, outcome.revision) == (CommitState.ACCEPTED, number)

    def test_outcome_is_read_by_operation_id_after_a_lost_response(self):
        table = Table()
        outcome = run_task(table, commit_task("create workspace w", "op", 0), lost_writes={1})
        assert (outcome.state, outcome.revision) == (CommitState.ACCEPTED, 1)
        assert table.configuration().revision == 1

    @pytest.mark.parametrize("reads", range(4))
    def test_own_delayed_write_is_not_reported_as_a_conflict(self, reads):
        """A delayed write takes effect between two reads of the next attempt."""
        table = Table()
        run_task(table, commit_task("create workspace w", "op0", 0))
        task = commit_task("change workspace w weight=2", "op1", 1)
        delayed = task.send(None)
        while delayed.path != TRANSACTION_PATH:
            delayed = task.send(table.serve(delayed))
        call = task.send(CallFailed("timeout", True))
        assert isinstance(call, Sleep)
        call = task.send(None)
        for _ in range(reads):
            call = task.send(table.serve(call))
        assert table.serve(delayed).status == 200
        with pytest.raises(StopIteration) as ended:
            while True:
                reply = None if isinstance(call, Sleep) else table.serve(call)
                call = task.send(reply)
        outcome = ended.value.value
        assert (outcome.state, outcome.revision) == (CommitState.ACCEPTED, 2)

    def test_conflict_reports_the_committed_change(self):
        table = Table()
        run_task(table, commit_task("create workspace w", "op0", 0))
        run_task(table, commit_task("change workspace w weight=2", "op1", 1, operator="anna"))
        outcome = run_task(table, commit_task("change workspace w weight=3", "op2", 1))
        assert outcome.state is CommitState.CONFLICT
        assert (outcome.revision, outcome.operator) == (2, "anna")

    def test_changes_of_different_objects_do_not_conflict(self):
        table = Table()
        for name in ("v", "w"):
            run_task(table, commit_task(f"create workspace {name}", f"op{name}", 1))
        assert table.configuration().revision == 2

    def test_rejected_change_lists_errors_and_changes_nothing(self):
        table = Table()
        outcome = run_task(table, commit_task("create route r service=missing", "op", 0))
        assert outcome.state is CommitState.REFUSED
        assert outcome.faults == ("route r: service 'missing' does not exist",)
        assert table.configuration().revision == 0

    def test_repeated_operation_is_applied_once(self):
        table = Table()
        for _ in range(2):
            outcome = run_task(table, commit_task("create workspace w", "op", 0))
            assert (outcome.state, outcome.revision) == (CommitState.ACCEPTED, 1)

    def test_abandoned_operation_never_takes_effect(self):
        table = Table()
        task = commit_task("create workspace w", "op", 0)
        delayed = task.send(None)
        while delayed.path != TRANSACTION_PATH:
            delayed = task.send(table.serve(delayed))
        outcome = run_task(
            table, settle_operation(make_document_store(), "op", "ops", random.Random(1))
        )
        assert outcome.state is CommitState.ABANDONED
        assert table.serve(delayed).status == 412
        assert table.configuration().revision == 0


@dataclass
class CommitRun:
    task: object
    operation: str
    object_name: str
    base: int
    call: object = None
    outcome: object = None
    late: list = field(default_factory=list)


class CommitFuzz(RuleBasedStateMachine):
    """Concurrent operators; any response may be lost and any write may be delayed.

    The oracle is the list of committed operations in the table.
    """

    @initialize()
    def create_table(self):
        self.table = Table()
        self.now = 0.0
        self.running: list[CommitRun] = []
        self.delayed_writes = []
        self.count = 0

    @rule(name=st.sampled_from(["v", "w"]), stale=st.integers(0, 2))
    def start_commit(self, name, stale):
        self.count += 1
        operation = f"op{self.count}"
        base = max(0, self.table.configuration().revision - stale)
        text = f"put workspace {name} max_in_flight={self.count}"
        task = commit_task(text, operation, base, operation, 3.0, lambda: self.now)
        run = CommitRun(task, operation, name, base)
        self.running.append(run)
        self.send_reply(run, None)

    def send_reply(self, run, reply):
        try:
            run.call = run.task.send(reply)
        except StopIteration as exc:
            run.outcome = exc.value

    @rule(
        index=st.integers(0, 5),
        fate=st.sampled_from(["served", "served", "served", "lost", "answer lost", "late"]),
    )
    def process_next_call(self, index, fate):
        open_runs = [each for each in self.running if each.outcome is None]
        if not open_runs:
            return
        run = open_runs[index % len(open_runs)]
        if isinstance(run.call, Sleep):
            self.now += run.call.seconds
            self.send_reply(run, None)
        elif fate == "served":
            self.send_reply(run, self.table.serve(run.call))
        else:
            if fate == "answer lost":
                self.table.serve(run.call)
            elif fate == "late" and run.call.path == TRANSACTION_PATH:
                self.delayed_writes.append(run.call)
            self.send_reply(run, CallFailed("timeout", True))

    @rule()
    def deliver_delayed_write(self):
        if self.delayed_writes:
            self.table.serve(self.delayed_writes.pop(0))

    @rule(seconds=st.floats(0.1, 4.0))
    def advance_time(self, seconds):
        self.now += seconds

    @rule(index=st.integers(0, 5))
    def settle_unknown_outcome(self, index):
        unknown = [
            each
            for each in self.running
            if each.outcome is not None and each.outcome.state is CommitState.UNKNOWN
        ]
        if unknown:
            run = unknown[index % len(unknown)]
            task = settle_operation(make_document_store(), run.operation, "ops", random.Random(1))
            run.outcome = run_task(self.table, task)

    def is_committed(self, run):
        row = self.table.operation_row(run.operation)
        return row is not None and row["state"] == "accepted"

    @invariant()
    def reported_outcomes_are_correct(self):
        for run in getattr(self, "running", ()):
            if run.outcome is None or run.outcome.state is CommitState.UNKNOWN:
                continue
            accepted = run.outcome.state is CommitState.ACCEPTED
            assert accepted == self.is_committed(run), (run.operation, run.outcome)
            if accepted:
                assert run.outcome.revision == self.table.operation_row(run.operation)["revision"]

    @invariant()
    def each_revision_has_one_operation(self):
        revisions = [
            value["revision"]
            for key, (value, _) in getattr(self, "table", Table()).standin.rows.items()
            if key.startswith("config/operation/") and value["state"] == "accepted"
        ]
        revision = getattr(self, "table", Table()).configuration().revision
        assert sorted(revisions) == list(range(1, revision + 1))

    @invariant()
    def at_most_one_commit_per_base_revision_of_an_object(self):
        accepted = {}
        for run in getattr(self, "running", ()):
            if run.outcome is not None and run.outcome.state is CommitState.ACCEPTED:
                accepted.setdefault(run.object_name, []).append((run.base, run.outcome.revision))
        for pairs in accepted.values():
            pairs.sort(key=lambda pair: pair[1])
            for (_, earlier), (base, _) in zip(pairs, pairs[1:], strict=False):
                assert base >= earlier


TestCommitFuzz = CommitFuzz.TestCase


class TestStoredFormat:
    def test_configuration_is_unchanged_by_a_json_round_trip(self):
        table = Table()
        texts = (
            "create service s kind=plain 'non_repeatable=POST /c,PUT /d' slots=3",
            "create workspace w weight=2.5",
            "create route r service=s workspaces=w",
            "create move m service=s old_side=a new_side=b share=12.5",
            "drain zone z",
        )
        for number, text in enumerate(texts):
            outcome = run_task(table, commit_task(text, f"op{number}", number))
            assert outcome.state is CommitState.ACCEPTED, outcome.faults
        assert table.configuration() == outcome.configuration
        orjson.dumps(table.standin.rows["config/document"][0])
