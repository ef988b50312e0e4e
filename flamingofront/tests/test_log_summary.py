"""Summaries of requests in logs: where requests that were not in time were lost."""

import json

import pytest

from flamingofront.cli import ExitCode, logs
from flamingofront.log_summary import classify_request, format_summary, summarize_requests


def make_line(time="2026-01-01T00:00:01.000Z", event="request ended", **fields):
    data = {
        "event": event,
        "zone": "a",
        "status": 200,
        "failure": "",
        "endpoints": ["e1"],
        "objective_ms": 300,
        "sent_ms": 0,
        "first_ms": 100,
    }
    return {"time": time, **data, **fields}


class TestOutcomes:
    @pytest.mark.parametrize(
        "fields, expected",
        [
            ({}, "in time"),
            ({"first_ms": 300}, "in time"),
            ({"first_ms": 301}, "late at endpoint"),
            ({"first_ms": 500, "sent_ms": 200}, "late, waited"),
            ({"first_ms": 500, "endpoints": ["e1", "e2"]}, "late, sent again"),
            ({"status": 503, "failure": "no_endpoint", "sent_ms": None}, "no_endpoint, not sent"),
            ({"status": 504, "failure": "deadline_exceeded"}, "deadline_exceeded"),
            ({"status": 500}, "status 500"),
            ({"status": 0}, "cut off"),
            ({"event": "request rejected", "kind": "overloaded"}, "overloaded, not sent"),
        ],
    )
    def test_outcome_tells_where_a_request_was_lost(self, fields, expected):
        assert classify_request(make_line(**fields)) == expected


class TestSummaries:
    LINES = [
        json.dumps(make_line()),
        json.dumps(make_line("2026-01-01T00:00:01.900Z", zone="b", first_ms=900)),
        json.dumps(make_line("2026-01-01T00:00:01.999Z")),
        json.dumps(make_line("2026-01-01T00:00:02.000Z", status=0)),
        '{"event": "request ended", "ti',
    ]

    def test_requests_are_counted_by_window_and_zone(self):
        found = [format_summary(each) for each in summarize_requests(self.LINES, 2)]
        assert found == [
            "2026-01-01T00:00:00.000Z a in time 2",
            "2026-01-01T00:00:00.000Z b late at endpoint 1",
            "2026-01-01T00:00:02.000Z a cut off 1",
        ]

    def test_command_prints_the_summary(self, tmp_path, capsys):
        path = tmp_path / "front.log"
        path.write_text("\n".join(self.LINES))
        logs(str(path), summary=2.0)
        assert capsys.readouterr().out.count("\n") == 3

    def test_negative_window_is_an_error(self, capsys):
        with pytest.raises(SystemExit) as exc:
            logs(summary=-1.0)
        assert exc.value.code == ExitCode.BAD_COMMAND
        assert "must be positive" in capsys.readouterr().err
