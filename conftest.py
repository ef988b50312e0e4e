"""Settings of the test suite: the same examples in every run, and no fault left in a log."""

import sys

import logbook
import pytest
from hypothesis import HealthCheck, settings

from flamingofront.process.logs import RESERVED_FIELDS
from flamingofront.tests.promises import check_promises

settings.register_profile(
    "fixed",
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=150,
    suppress_health_check=[HealthCheck.too_slow, HealthCheck.data_too_large],
)
settings.load_profile("fixed")


class _LogWatch(logbook.Handler):
    """Keeps what no test may leave in the log: errors, and fields with reserved names."""

    def __init__(self):
        super().__init__(level=logbook.DEBUG, bubble=True)
        self.errors: list[str] = []
        self.misnamed: set[str] = set()

    def emit(self, record: logbook.LogRecord) -> None:
        """Look at one record."""
        self.misnamed |= RESERVED_FIELDS & record.kwargs.keys()
        if record.level >= logbook.ERROR:
            self.errors.append(
                f"{record.message} {record.kwargs} {record.formatted_exception or ''}"
            )


@pytest.fixture(autouse=True)
def log_watch(request):
    """Fail a test that left an error in the log which its mark ``logs_error`` does not name."""
    watch = _LogWatch()
    with watch.applicationbound():
        yield watch
    marks = request.node.iter_markers("logs_error")
    expected = tuple(text for mark in marks for text in mark.args)
    unexpected = [each for each in watch.errors if not each.startswith(expected or ("\0",))]
    assert not unexpected, f"errors in the log: {unexpected[:3]}"
    assert not watch.misnamed, f"reserved names as fields: {watch.misnamed}"


@pytest.fixture(autouse=True)
def checked_promises():
    """Check the promises to callers in each simulated deployment of a test, at its end."""
    yield
    module = sys.modules.get("flamingofront.tests.forwarding_world")
    if module is not None:
        worlds = module.created_worlds[:]
        module.created_worlds.clear()
        check_promises(worlds)
