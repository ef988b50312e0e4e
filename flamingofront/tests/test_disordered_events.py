"""Streams of endpoints that send events in a wrong order, before a real entry process."""

import itertools
import re

import pytest

from flamingofront.tests.cut_answers import Answer, chunked, split_answers, with_length
from flamingofront.tests.test_processes_cut_short import (
    EVENT_STREAM,
    RETRY_CREDIT_REQUESTS,
    CutProcesses,
)

LAST = 6
numbers = itertools.count()


def make_events(ids):
    return b"".join(b"id: %d\ndata: word-%d\n\n" % (each, each) for each in ids)


WHOLE = make_events(range(1, LAST + 1))
FIELDS = (EVENT_STREAM, "Connection: close")


@pytest.fixture(scope="class")
def processes(tmp_path_factory):
    """An entry process; requests that are answered pay for the retries of others."""
    started = CutProcesses(tmp_path_factory.mktemp("disordered"))
    started.wait_ready()
    started.partners["engine-1"].answer_to = lambda req: Answer((chunked(WHOLE, *FIELDS),))
    for number in range(RETRY_CREDIT_REQUESTS):
        started.ask(f"/stream/letter/whole-{number}")
    yield started
    started.stop()


@pytest.fixture
def ask(processes):
    """Return a function that plays a stream whose first answer has these events."""

    def play(pieces):
        first = chunked(b"", *FIELDS).removesuffix(b"0\r\n\r\n")
        chunks = [b"%x\r\n%b\r\n" % (len(each), each) for each in map(make_events, pieces)]
        served = itertools.count()

        def answer_to(req):
            if b"/stream/" not in req.partition(b"\r\n")[0]:
                return Answer((with_length(b"{}", "Connection: close"),))
            if not next(served):
                return Answer((first, *chunks, b"0\r\n\r\n"))
            match = re.search(rb"\r\nlast-event-id: *(\d+)", req, re.IGNORECASE)
            rest = range(int(match[1]) + 1 if match else 1, LAST + 1)
            return Answer((chunked(make_events(rest), *FIELDS),))

        processes.partners["engine-1"].answer_to = answer_to
        answers, rest = split_answers(*processes.ask(f"/stream/letter/{next(numbers)}"))
        assert next(served) == 2, "was not sent again"
        return answers, rest

    return play


class TestRepeatedEvents:
    @pytest.mark.parametrize(
        "pieces",
        [
            [(1, 1)],
            [(1, 2, 1)],
            [(1, 2), (3, 3)],
            [(1,), (2,), (3, 4, 2, 5)],
            [(1, 2, 3), (3,)],
            [(1, 2), (2, 3)],
        ],
        ids=str,
    )
    def test_stream_goes_on_after_the_last_event_that_was_passed_on(self, ask, pieces):
        """Guards against events that are missing, and against a request that is never answered."""
        assert ask(pieces) == ([(200, WHOLE)], b"")
