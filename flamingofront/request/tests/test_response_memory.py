"""Bodies without end from many endpoints at once."""

import gc

import pytest

from flamingofront.request.response_memory import (
    MAX_TOTAL_BYTES,
    MIN_COUNTED_BYTES,
    CollectedResponse,
    ResponseMemory,
)
from flamingofront.tests.forwarding_world import ready_world

MEBIBYTE = 1024 * 1024


class Response(CollectedResponse):
    def __init__(self):
        self.reason = ""

    def give_up(self, reason):
        self.reason = reason


class TestResponseMemory:
    def test_largest_response_is_ended(self):
        memory, small, large = ResponseMemory(), Response(), Response()
        memory.record(large, MAX_TOTAL_BYTES - MIN_COUNTED_BYTES)
        memory.record(small, 2 * MIN_COUNTED_BYTES)
        assert large.reason and not small.reason
        assert memory.total == 2 * MIN_COUNTED_BYTES

    def test_cancelled_responses_do_not_count(self):
        memory, response = ResponseMemory(), Response()
        memory.record(response, MEBIBYTE)
        del response
        gc.collect()
        assert memory.total == 0


class TestBodiesWithoutEnd:
    """Eight MiB for each attempt took processes over their memory."""

    @pytest.mark.parametrize("path", ["/read/x", "/write/x"])
    def test_memory_of_all_attempts_is_bounded(self, path):
        world = ready_world(plains=4)
        memory, most = world.fronts["front-1"].hub.response_memory, []

        def send(exchange, endpoint):
            exchange.send(b"x" * MEBIBYTE)
            most.append(memory.total)
            endpoint._timers.once(0.3, lambda: send(exchange, endpoint))

        def respond(req, exchange, fault, endpoint):
            exchange.begin(200, endpoint._make_headers(req))
            send(exchange, endpoint)

        for each in world.endpoints.values():
            each._respond = lambda *args, each=each: respond(*args, each)
        callers = []
        for _ in range(100):
            callers.append(world.ask("front-1", path))
            world.run(0.02)
        world.run(6.0)
        assert max(most) > MAX_TOTAL_BYTES / 2
        assert max(most) <= MAX_TOTAL_BYTES
        assert all(each.done and each.status in (502, 503, 504) for each in callers)
