"""Format of log lines."""

import io

import logbook
import orjson
import pytest

from flamingofront.process.logs import RESERVED_FIELDS, JsonLinesHandler, Log


class TestLogLine:
    @pytest.fixture
    def lines(self):
        stream = io.StringIO()
        with JsonLinesHandler(stream, level="DEBUG", bubble=True).applicationbound():
            yield lambda: [orjson.loads(each) for each in stream.getvalue().splitlines()]

    @pytest.mark.parametrize("name", sorted(RESERVED_FIELDS))
    def test_event_field_does_not_overwrite_reserved_field(self, lines, name, log_watch):
        """An event field ``level`` once replaced the severity of the line."""
        logger = logbook.Logger("entry")
        logger.info("refused", **{name: -210483})
        (line,) = lines()
        assert (line["level"], line["part"], line["event"]) == ("info", "entry", "refused")
        assert line[f"{name}_"] == -210483
        log_watch.misnamed.clear()

    def test_error_includes_traceback(self, lines, log_watch):
        try:
            raise RuntimeError("broken")
        except RuntimeError as exc:
            Log("entry", vm="vm-1").error("fault", exc=exc)
        (line,) = lines()
        assert "RuntimeError: broken" in line["exception"] and line["vm"] == "vm-1"
        assert len(log_watch.errors) == 1
        log_watch.errors.clear()
