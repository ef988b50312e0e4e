"""What a process knows of the rates that endpoints name in their answers."""

import random

import orjson
import pytest

from flamingofront.messages import InboundRequest, ResponseHead
from flamingofront.platform.requests import PlatformProtocol
from flamingofront.process.logs import Log
from flamingofront.process.metrics import Metrics
from flamingofront.process.timers import ManualClock, TimerService
from flamingofront.request.endpoint_limits import EndpointLimits
from flamingofront.request.permits import Permits
from flamingofront.standins.forward_endpoint import ForwardFault
from flamingofront.tests.forwarding_world import ready_world
from flamingofront.tests.network import Caller


class Observer:
    """`EndpointLimits` on a clock that a test moves."""

    def __init__(self):
        self.clock = ManualClock()
        self.metrics = Metrics()
        self.limits = EndpointLimits(TimerService(self.clock), self.metrics, Log("test"))

    def answer(self, rate, sent_ago=0.01):
        self.limits.record_response("e", rate, self.clock.now() - sent_ago, "r")

    def changes(self, change):
        return self.metrics.value("endpoint_limits_total", change=change)


def shown(world, name):
    """Return what an operator is told of an endpoint."""
    caller = Caller(world.fronts["front-1"], world.host("front-1"))
    body = orjson.dumps({"statements": ["show endpoints"]})
    req = InboundRequest("POST", "/operate", {}, {}, body, "/operate", (), world.clock.now())
    world.fronts["front-1"].handle_control(req, caller)
    row = next(each for each in caller.data["rows"] if each["endpoint"] == name)
    return row["rate_limit"], row["withheld"]


class TestDecoding:
    @pytest.mark.parametrize(
        "text, rate",
        [("2.1", 2.1), ("1", 1.0), (" 200 ", 200.0), ("0", 0.0), ("0.5", 0.5)]
        + [(text, None) for text in ("", "-1", "nan", "inf", "1e3", "two", "1,5", "١", "9" * 40)],
    )
    def test_only_decimal_numbers_are_limits(self, text, rate):
        head = ResponseHead(200, {"server-limit": text}, (("Server-Limit", text),))
        answer = PlatformProtocol().judge("r", head)
        assert (answer.names_limit, answer.rate_limit) == (True, rate)

    def test_answer_without_the_header_names_no_limit(self):
        answer = PlatformProtocol().judge("r", ResponseHead(200, {}, ()))
        assert (answer.names_limit, answer.rate_limit) == (False, None)


class TestEndOfALimit:
    def test_answer_without_a_limit_ends_it(self):
        observer = Observer()
        observer.answer(2.0)
        observer.clock.time += 1.0
        observer.answer(None)
        assert observer.limits.rate_of("e") is None
        assert observer.changes("ended") == 1

    def test_answer_to_an_earlier_request_does_not_end_it(self):
        """A long answer that began before the limit comes after it on another connection."""
        observer = Observer()
        observer.answer(2.0)
        observer.clock.time += 1.0
        observer.answer(None, sent_ago=1.1)
        assert observer.limits.rate_of("e") == 2.0

    def test_new_start_of_the_endpoint_ends_it(self):
        observer = Observer()
        observer.answer(2.0)
        observer.limits.forget("e")
        assert observer.limits.rates_by_endpoint() == {}

    def test_late_answer_of_an_endpoint_that_is_gone_names_none(self):
        """It was kept until the process ended, and counted among the limited ones."""
        observer = Observer()
        observer.limits.start_ms_of = lambda endpoint_id: None
        observer.answer(2.0)
        assert observer.limits.rates_by_endpoint() == {}

    def test_rate_that_falls_and_rises_is_followed(self):
        observer = Observer()
        for rate in (2.0, 0.5, 0.5, 20.0):
            observer.answer(rate)
        assert observer.limits.rate_of("e") == 20.0
        assert (observer.changes("named"), observer.changes("changed")) == (1, 2)


class TestPermits:
    def test_refusal_of_less_urgent_work_does_not_put_off_urgent_callers(self):
        """They were told the time at which the less urgent ones may come back."""
        observer = Observer()
        observer.answer(0.5)
        timers = TimerService(observer.clock)
        permits = Permits(observer.limits, timers, observer.metrics, random.Random(1))
        permits.claim("e", 3, 0.0, lambda permit: None)
        assert permits.wait_seconds(("e",), 3) > 0
        assert permits.wait_seconds(("e",), 0) == 0.0


class TestAnswersOfEveryKind:
    @pytest.mark.parametrize("fault", [ForwardFault.NONE, ForwardFault.ERROR, ForwardFault.REFUSE])
    @pytest.mark.parametrize("path", ["/read/x", "/write/x"])
    def test_limit_is_read_from_success_failure_and_refusal(self, path, fault):
        world = ready_world(plains=1)
        world.endpoints["plain-1"].rate_limit = "2.5"
        world.endpoints["plain-1"].fail(fault)
        world.finish(world.ask("front-1", path))
        assert world.fronts["front-1"].hub.limits.rates_by_endpoint() == {"plain-1": 2.5}

    def test_limit_is_read_from_the_head_of_a_stream(self):
        world = ready_world(engines=1)
        world.endpoints["engine-1"].rate_limit = "2.5"
        world.ask("front-1", "/stream/once/x")
        world.run(0.05)
        assert world.fronts["front-1"].hub.limits.rates_by_endpoint() == {"engine-1": 2.5}

    def test_operators_see_it(self):
        world = ready_world(plains=1)
        world.endpoints["plain-1"].rate_limit = "2.5"
        world.finish(world.ask("front-1", "/read/x"))
        front = world.fronts["front-1"]
        assert front.metrics.value("endpoint_limits_total", change="named") == 1
        world.finish(world.ask("front-1", "/read/x"))
        assert shown(world, "plain-1") == (2.5, "no permit")


class TestShow:
    """`flamingofront show endpoints` tells why an endpoint gets nothing."""

    def test_pause(self):
        world = ready_world(plains=1)
        world.endpoints["plain-1"].fail(ForwardFault.REJECT)
        world.finish(world.ask("front-1", "/write/x"))
        assert shown(world, "plain-1") == (None, "requested a pause")

    def test_leaving(self):
        world = ready_world(plains=1)
        world.endpoints["plain-1"].leaving = True
        world.finish(world.ask("front-1", "/write/x"))
        assert shown(world, "plain-1") == (None, "leaves")

    def test_nothing(self):
        assert shown(ready_world(plains=1), "plain-1") == (None, None)
