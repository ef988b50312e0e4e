"""The pages name what the program has, and the answer table is complete."""

import dataclasses
from pathlib import Path

import pytest

from flamingofront.connection.server import build_error_headers
from flamingofront.errors import ERROR_RESPONSES, ErrorKind, Executed, RequestError
from flamingofront.process.metrics import COUNTERS, GAUGES, HISTOGRAMS, PREFIX
from flamingofront.process.operators import COLUMNS
from flamingofront.process.settings import EntrySettings
from flamingofront.version.language import SUBJECTS

DOCS = Path(__file__).resolve().parents[2] / "docs"
OPERATIONS = (DOCS / "OPERATIONS.md").read_text()
CALLERS = (DOCS / "CALLERS.md").read_text()
FOR_OPERATORS = {
    ErrorKind.CONFLICT,
    ErrorKind.INVALID_COMMAND,
    ErrorKind.INVALID_CONFIGURATION,
    ErrorKind.OPERATION_UNKNOWN,
    ErrorKind.SLOW_READER,
}


class TestAnswerTable:
    @pytest.mark.parametrize("kind", list(ErrorKind))
    def test_each_kind_has_a_row_and_is_on_the_callers_page(self, kind):
        assert 400 <= ERROR_RESPONSES[kind].status < 600
        if kind not in FOR_OPERATORS:
            assert f"`{kind.value}`" in CALLERS

    @pytest.mark.parametrize("kind", list(ErrorKind))
    def test_table_decides_whether_a_time_to_come_back_is_told(self, kind):
        names = [name for name, _ in build_error_headers(RequestError(kind))]
        assert ("Retry-After" in names) == ERROR_RESPONSES[kind].allows_retry
        assert RequestError(kind, retry_after=7.0).retry_after == (
            7.0 if ERROR_RESPONSES[kind].allows_retry else None
        )

    def test_error_keeps_better_evidence_than_the_table(self):
        exc = RequestError(ErrorKind.DEADLINE_EXCEEDED, ran=Executed.NO)
        assert exc.ran is Executed.NO
        assert RequestError(ErrorKind.DEADLINE_EXCEEDED).ran is Executed.UNKNOWN


class TestOperationsPage:
    @pytest.mark.parametrize("name", [*COUNTERS, *GAUGES, *HISTOGRAMS])
    def test_each_metric_is_listed(self, name):
        assert f"`{PREFIX}{name}`" in OPERATIONS

    @pytest.mark.parametrize("each", dataclasses.fields(EntrySettings), ids=lambda each: each.name)
    def test_each_flag_is_listed(self, each):
        assert f"`--{each.name.replace('_', '-')}`" in OPERATIONS

    def test_each_subject_is_listed(self):
        assert set(SUBJECTS) == set(COLUMNS)
        for subject in SUBJECTS:
            assert f"`{subject}`" in OPERATIONS
