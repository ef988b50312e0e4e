"""First lines of callers that break the protocol, before a real entry process."""

import pytest

from flamingofront.tests.cut_answers import (
    HEAD_END,
    Answer,
    read_to_end,
    split_answers,
    with_length,
)
from flamingofront.tests.test_processes_cut_short import BODY, CALL, CutProcesses


@pytest.fixture(scope="class")
def processes(tmp_path_factory):
    started = CutProcesses(tmp_path_factory.mktemp("lines"))
    started.partners["plain-1"].answer_to = lambda req: Answer((with_length(BODY),))
    started.wait_ready()
    yield started
    started.stop()


class TestBlanks:
    @pytest.mark.parametrize("blank", ["\t", "\x85", "\xa0", "  "], ids=ascii)
    @pytest.mark.parametrize("line", ["GET_/_HTTP/1.1", "GET_/ HTTP/1.1", "GET /lookup/1_HTTP/1.1"])
    def test_lines_of_the_head_are_not_sent_as_a_target(self, processes, line, blank):
        """Guards against headers that a caller sends to an endpoint past the checks of names."""
        partner = processes.partners["plain-1"]
        partner.requests.clear()
        fields = {"A": "/lookup/2\r\nX-Flamingofront-Tenant:other\r\nB: c", **CALL}
        head = [line.replace("_", blank), *(f"{name}: {text}" for name, text in fields.items())]
        with processes.connect() as sock:
            sock.sendall("\r\n".join(head).encode("latin-1") + HEAD_END)
            answers, _ = split_answers(*read_to_end(sock))
        assert [status for status, _ in answers] == [400]
        assert not [each for each in partner.requests if b"tenant:other" in each.lower()]
