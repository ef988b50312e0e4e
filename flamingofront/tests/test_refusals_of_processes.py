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


class TestPlayOfProcesses:
    @pytest.mark.alone
    def test_refused_request_runs_beside_killed_processes_and_crashes(self):
        words = ("1", "--seconds", str(PLAY_SECONDS), "--processes", "4", "--endpoints", "8")
        words += ("--only", "kill most", "--lanes", "1", "--network", NETWORK)
        code, summary, output = play(*words)
        assert code == 0, output
        assert summary["once"] > MIN_REQUESTS and summary["ended_endpoints"]
        assert any(each.endswith("not written") for each in summary["failures"])


@pytest.mark.usefixtures("scripts")
class TestRecordOfPlay:
    """The record itself finds a promise that is broken."""

    def record(self, status, *arrivals, kind=0):
        from refusal_callers import KINDS, Answer, Attempt
        from refusal_record import RefusalRecord

        attempt = Attempt("a1", "r-1", KINDS[kind], 0, 1.0, answer=Answer(status))
        again = Attempt("a2", "r-1", KINDS[kind], 1, 1.5, answer=Answer(200))
        return RefusalRecord([attempt, again], arrivals)

    def arrival(self, attempt="a1", **more):
        from refusing_endpoint import Arrival

        return Arrival(attempt, "r-1", "e-1", "127.0.0.1", 1.2, **more)

    @pytest.mark.parametrize("status", [408, 421, 429, 503])
    def test_refused_request_that_ran_is_missed(self, status):
        assert len(self.record(status, self.arrival()).broken()) == 1

    def test_request_that_runs_twice_is_missed(self):
        record = self.record(200, self.arrival(), self.arrival())
        assert [each.name for each in record.repeated()] == ["a1"]

    def test_rejection_of_an_endpoint_counts_as_run(self):
        assert not self.record(503, self.arrival(is_rejected=True)).broken()

    def test_another_attempt_with_the_same_id_counts(self):
        assert not self.record(503, self.arrival("a2")).broken()

    def test_request_that_may_be_repeated_counts(self):
        record = self.record(503, self.arrival(), self.arrival(), kind=-1)
        assert not record.broken() and not record.repeated()

    def test_answer_to_another_request_is_missed(self):
        from refusal_callers import KINDS, Answer, Attempt
        from refusal_record import RefusalRecord

        answer = Answer(200, {"x-flamingofront-request-id": "r-2"})
        attempt = Attempt("a1", "r-1", KINDS[0], 0, 1.0, answer=answer)
        assert RefusalRecord([attempt], ()).mismatched() == [attempt]
