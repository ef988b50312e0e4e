"""What an operator sees: `show` of a forwarding process, and the way of one request in the logs."""

import os

import orjson
import pytest

from flamingofront.decisions.quarantine_facts import EndpointCrash
from flamingofront.errors import RequestError
from flamingofront.logview import select_lines
from flamingofront.messages import InboundRequest
from flamingofront.process.forwarding.operators import COLUMNS
from flamingofront.process.logs import MAX_BUFFERED_BYTES, MAX_LINES_PER_SECOND, NonBlockingStream
from flamingofront.standins.forward_endpoint import ForwardFault
from flamingofront.tests.forwarding_world import ready_world
from flamingofront.tests.network import Caller


def operate(world, text, front="front-1"):
    """Send a statement to a process and return the answer."""
    node = world.fronts[front]
    caller = Caller(node, world.host(front))
    body = orjson.dumps({"statements": [text]})
    node.handle_control(InboundRequest("POST", "/operate", {}, {}, body), caller)
    return orjson.loads(caller.body)


class TestShow:
    @pytest.mark.parametrize("subject", COLUMNS)
    def test_each_subject_answers_with_its_columns(self, subject):
        world = ready_world(fronts=2)
        world.ask("front-1", "/read/x")
        guard = world.fronts["front-1"].hub.guard
        guard.load_evidence((EndpointCrash("engine-1", "zone-a", guard.wall() - 2.0, ("f-1",)),))
        answer = operate(world, f"show {subject}")
        assert answer["columns"] == list(COLUMNS[subject])
        assert answer["rows"]

    def test_request_that_waits_for_the_outcome_of_earlier_sends_is_shown(self):
        world = ready_world(fronts=2, engines=6)
        world.kill("front-1")
        world.front("front-1", first_start=False)
        world.run_until(lambda: world.fronts["front-1"].ready)
        for endpoint in world.endpoints.values():
            endpoint.inject_fault(ForwardFault.HANG)
        for _ in range(4):
            world.ask("front-1", "/stream/once/x", body=b"the same")
            world.run(0.02)
        world.run(0.1)
        (row,) = operate(world, "show held")["rows"]
        assert (row["state"], row["recorded_sends"], row["waiting"]) == ("clear", 3, 1)
        world.run(0.2)
        (row,) = operate(world, "show held")["rows"]
        assert (row["recorded_sends"], row["waiting"]) == (4, 0)

    def test_filters_work_as_elsewhere(self):
        world = ready_world(fronts=2)
        rows = operate(world, "show endpoints where service = records fields endpoint")["rows"]
        assert sorted(row["endpoint"] for row in rows) == ["plain-1", "plain-2"]

    @pytest.mark.parametrize("text", ["delete route read", "create service s model=m"])
    def test_change_is_refused_with_its_owner(self, text):
        with pytest.raises(RequestError, match="platform's operator"):
            operate(ready_world(), text)

    def test_unknown_subject_is_named(self):
        with pytest.raises(RequestError, match="moves"):
            operate(ready_world(), "show moves")


class TestLogView:
    LINES = [
        '{"time": "2", "level": "info", "vm": "b", "event": "attempt lost", "request": "r#2"}',
        '{"time": "1", "level": "info", "vm": "a", "event": "attempt", "request": "r#1",'
        ' "load": 3}',
        '{"time": "3", "level": "info", "vm": "a", "event": "attempt", "request": "q#1"}',
        '{"time": "4", "level": "inf',
        "not a line of the log",
    ]

    def test_lines_of_one_request_over_several_vms(self):
        found = list(select_lines(self.LINES, request="r"))
        assert [each.split()[0] for each in found] == ["1", "2"]
        assert "load=3" in found[0]

    def test_by_event_and_time(self):
        assert len(list(select_lines(self.LINES, event="attempt"))) == 2
        assert len(list(select_lines(self.LINES, since="3"))) == 1

    def test_lines_on_one_piece_of_work_under_whatever_id(self):
        lines = [
            '{"time": "1", "event": "attempt", "request": "r#1", "work": "w-1"}',
            '{"time": "2", "event": "endpoint crashed", "work": ["w-1", "w-2"]}',
            '{"time": "3", "event": "refused", "request": "q#1", "work": "w-1"}',
            '{"time": "4", "event": "attempt", "request": "s#1", "work": "w-2"}',
        ]
        found = list(select_lines(lines, work="w-1"))
        assert [each.split()[0] for each in found] == ["1", "2", "3"]


class TestNonBlockingStream:
    def test_reader_that_stands_still_holds_nobody_up(self):
        read_end, write_end = os.pipe()
        clock = [0.0]
        stream = NonBlockingStream(write_end, lambda: clock[0])
        for _ in range(20_000):
            clock[0] += 1.0
            stream.write("x" * 100 + "\n")
        assert stream.dropped > 0
        assert len(stream._buffer) < MAX_BUFFERED_BYTES + 1000
        os.close(read_end)
        os.close(write_end)

    def test_lines_of_one_second_are_bounded_and_the_rest_is_told(self, tmp_path):
        path = tmp_path / "log"
        clock = [0.0]
        with open(path, "wb") as file:
            stream = NonBlockingStream(file.fileno(), lambda: clock[0])
            for number in range(MAX_LINES_PER_SECOND + 5):
                stream.write(f'{{"n": {number}}}\n')
            clock[0] = 1.0
            stream.write('{"n": "next"}\n')
        lines = [orjson.loads(line) for line in path.read_text().splitlines()]
        assert lines[-2] == {"event": "log lines dropped", "count": 5}
        assert lines[-1] == {"n": "next"}
