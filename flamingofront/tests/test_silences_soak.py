"""A short play of real processes whose endpoints fall silent beside planned work."""

import json
import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parents[2]
# Third number of the loopback addresses, which no play by hand has.
NETWORK = "248"
STOPPED_AT = 100.0
GRACE_SECONDS = 8.0


@pytest.fixture
def scripts(monkeypatch):
    """Let the parts of the play be imported."""
    monkeypatch.syspath_prepend(ROOT / "scripts")


def play(*words):
    """Return exit code, summary and output of a play."""
    command = [sys.executable, ROOT / "scripts/soak_silences.py", *words]
    done = subprocess.run(command, capture_output=True, text=True, timeout=120)
    assert done.stdout, done.stderr
    return done.returncode, json.loads(done.stdout.splitlines()[-1]), done.stdout


def make_attempt(sent_at, seconds, answer, events=0):
    """Return a stream that got an answer."""
    from silence_callers import KINDS, StreamAttempt

    attempt = StreamAttempt("a1", "r-1", KINDS[0], 0, sent_at, answer=answer, events=events)
    attempt.ended_at = sent_at + seconds
    return attempt


def make_cut(sent_at, seconds):
    """Return a stream whose connection ended without a whole answer."""
    from refusal_callers import Answer

    return make_attempt(sent_at, seconds, Answer(detail="IncompleteReadError"))


def make_work(at, seconds=None, **more):
    """Return the work of an endpoint on the stream; without an end if no length is given."""
    from silent_endpoint import Work

    ended_at = None if seconds is None else at + seconds
    return Work("a1", "r-1", "e-1", "127.0.0.1", at, ended_at=ended_at, **more)


def make_record(folder, attempt, *arrivals, is_named=False):
    """Return the record of a request beside one stop of its process."""
    from refusal_record import LogLines
    from silence_faults import PlannedWork
    from silence_record import SilenceRecord

    if is_named:
        line = {"time": "2026-01-01T00:00:00.000Z", "event": "request ended", "request": "r-1#1"}
        (folder / "front-0.log").write_text(json.dumps(line, separators=(",", ":")))
    planned = PlannedWork()
    planned.stops[0].append(STOPPED_AT)
    return SilenceRecord([attempt], arrivals, planned, [], LogLines(folder))


class TestPlayOfProcesses:
    @pytest.mark.alone
    def test_request_at_a_silent_endpoint_is_lost_beside_stops_and_changes(self):
        words = ("11", "--seconds", "16", "--callers", "40", "--network", NETWORK)
        code, summary, output = play(*words, "--shortest", "2", "--longest", "2.6")
        assert summary["faults"]["silence"] and summary["requests"]["letter"]
        assert any(each.startswith("stop ") for each in summary["faults"])
        assert "lost" not in summary["found"], output
        assert code == 0, output


@pytest.mark.usefixtures("scripts")
class TestRecordOfPlay:
    """The record itself finds a request that is lost, and excuses what may end."""

    def test_cut_request_that_an_endpoint_had_is_missed(self, tmp_path):
        record = make_record(tmp_path, make_cut(90.0, 5.0), make_work(90.1))
        assert len(record.lost()) == 1

    def test_cut_request_whose_endpoint_had_ended_is_missed(self, tmp_path):
        record = make_record(tmp_path, make_cut(101.0, 6.9), make_work(101.1, 5.0))
        assert len(record.lost()) == 1

    def test_request_that_was_read_and_never_sent_is_missed(self, tmp_path):
        record = make_record(tmp_path, make_cut(90.0, 0.3), is_named=True)
        assert len(record.lost()) == 1

    def test_request_sent_late_after_sigterm_is_missed(self, tmp_path):
        record = make_record(tmp_path, make_cut(STOPPED_AT + 3.1, 4.8), make_work(103.2))
        assert len(record.lost()) == 1

    def test_request_that_ends_before_the_last_sixth_is_missed(self, tmp_path):
        record = make_record(tmp_path, make_cut(STOPPED_AT, 6.5), make_work(100.1))
        assert len(record.lost()) == 1

    def test_request_at_work_in_the_last_sixth_is_taken_for_lost(self, tmp_path):
        record = make_record(
            tmp_path, make_cut(STOPPED_AT + 2.9, GRACE_SECONDS - 3), make_work(103.0)
        )
        assert not record.lost() and record.excused() == {"last sixth of the grace": 1}

    def test_request_at_its_deadline_is_taken_for_lost(self, tmp_path):
        record = make_record(tmp_path, make_cut(50.0, 12.0), make_work(50.1))
        assert not record.lost() and record.excused() == {"deadline": 1}

    def test_request_that_crosses_the_close_is_taken_for_lost(self, tmp_path):
        record = make_record(tmp_path, make_cut(90.0, 0.01))
        assert not record.lost() and len(record.unread()) == 1

    def test_failure_while_an_endpoint_is_at_work_is_missed(self, tmp_path):
        from refusal_callers import Answer

        record = make_record(tmp_path, make_attempt(90.0, 2.0, Answer(502)), make_work(90.1))
        assert len(record.ended_early()) == 1 and not record.lost()

    @pytest.mark.parametrize("numbers", [(1, 3), (1, 2, 2, 3), (1, 2), ()])
    def test_stream_that_only_looks_whole_is_missed(self, tmp_path, numbers):
        from refusal_callers import Answer

        body = b"".join(b"id: %d\ndata: x\n\n" % each for each in numbers)
        attempt = make_attempt(90.0, 1.0, Answer(200, body=body), events=3)
        assert len(make_record(tmp_path, attempt, make_work(90.1, 0.9)).incomplete()) == 1

    def test_whole_stream_counts_as_incomplete(self, tmp_path):
        from refusal_callers import Answer

        attempt = make_attempt(90.0, 1.0, Answer(200, body=b"id: 1\n\nid: 2\n\n"), events=2)
        assert not make_record(tmp_path, attempt, make_work(90.1, 0.9)).incomplete()
