"""A short play of real processes: what was refused as not executed never runs."""

import json
import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parents[2]
PLAY_SECONDS = 5
MIN_REQUESTS = 100
# Third number of the loopback addresses, which no play by hand has.
NETWORK = "249"


@pytest.fixture
def scripts(monkeypatch):
    """Let the parts of the play be imported."""
    monkeypatch.syspath_prepend(ROOT / "scripts")


def play(*words):
    """Return exit code, summary and output of a play."""
    command = [sys.executable, ROOT / "scripts/soak_refusals.py", *words]
    done = subprocess.run(command, capture_output=True, text=True, timeout=120)
    assert done.stdout, done.stderr
    return done.returncode, json.loads(done.stdout.splitlines()[-1]), done.stdout


def make_record(status, *arrivals, kind=0):
    """Return the record of a request that got a status, and of another one with its id."""
    from refusal_callers import KINDS, Answer, Attempt
    from refusal_record import RefusalRecord

    attempt = Attempt("a1", "r-1", KINDS[kind], 0, 1.0, answer=Answer(status))
    again = Attempt("a2", "r-1", KINDS[kind], 1, 1.5, answer=Answer(200))
    return RefusalRecord([attempt, again], arrivals)


def make_arrival(attempt="a1", **more):
    """Return the arrival of an attempt at an endpoint."""
    from refusing_endpoint import Arrival

    return Arrival(attempt, "r-1", "e-1", "127.0.0.1", 1.2, **more)


class TestPlayOfProcesses:
    @pytest.mark.alone
    def test_refused_request_runs_beside_killed_processes_and_crashes(self):
        words = ("1", "--seconds", str(PLAY_SECONDS), "--processes", "4", "--endpoints", "8")
        words += ("--only", "kill most", "--lanes", "1", "--network", NETWORK)
        code, summary, output = play(*words)
        assert code == 0, output
        assert summary["once"] > MIN_REQUESTS and summary["ended_endpoints"]
        assert any(each.startswith("503 ") for each in summary["failures"])


@pytest.mark.usefixtures("scripts")
class TestRecordOfPlay:
    """The record itself finds a promise that is broken."""

    @pytest.mark.parametrize("status", [408, 421, 429, 503])
    def test_refused_request_that_ran_is_missed(self, status):
        assert len(make_record(status, make_arrival()).broken()) == 1

    def test_request_that_runs_twice_is_missed(self):
        record = make_record(200, make_arrival(), make_arrival())
        assert [each.name for each in record.repeated()] == ["a1"]

    def test_rejection_of_an_endpoint_counts_as_run(self):
        assert not make_record(503, make_arrival(is_rejected=True)).broken()

    def test_another_attempt_with_the_same_id_counts(self):
        assert not make_record(503, make_arrival("a2")).broken()

    def test_request_that_may_be_repeated_counts(self):
        record = make_record(503, make_arrival(), make_arrival(), kind=-1)
        assert not record.broken() and not record.repeated()

    def test_answer_to_another_request_is_missed(self):
        from refusal_callers import KINDS, Answer, Attempt
        from refusal_record import RefusalRecord

        answer = Answer(200, {"x-flamingofront-request-id": "r-2"})
        attempt = Attempt("a1", "r-1", KINDS[0], 0, 1.0, answer=answer)
        assert RefusalRecord([attempt], ()).mismatched() == [attempt]


class TestCausesOfCases:
    """What the record names as the cause of a case."""

    @pytest.mark.parametrize(
        ("events", "cause"),
        [
            (("request stopped by the quarantine", "request ended"), "stopped by a quarantine"),
            (("attempt started", "request ended", "attempt started"), "sent after its end"),
            (("attempt started", "request ended"), "answer of another request"),
            (("attempt started", "request failed", "request ended"), "unknown"),
        ],
    )
    def test_lines_of_a_case_are_taken_for_another_cause(self, scripts, tmp_path, events, cause):
        from refusal_record import LogLines

        fields = {"time": "2026-01-01T00:00:00.000Z", "request": "r-1#1"}
        lines = [json.dumps({**fields, "event": each}, separators=(",", ":")) for each in events]
        (tmp_path / "front-0.log").write_text("\n".join(lines))
        record = make_record(503, make_arrival())
        assert record.explain(record.broken()[0], LogLines(tmp_path))["cause"] == cause

    def test_answer_of_an_endpoint_is_taken_for_one_of_the_process(self, scripts, tmp_path):
        from refusal_record import LogLines

        record = make_record(503, make_arrival(answered=503))
        cause = record.explain(record.broken()[0], LogLines(tmp_path))["cause"]
        assert cause == "answer of an endpoint passed on"
