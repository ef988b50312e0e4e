"""Tests of rate limits that endpoints advertise in their responses."""

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


class LimitsHarness:
    """`EndpointLimits` on a manual clock."""

    def __init__(self):
        self.clock = ManualClock()
        self.metrics = Metrics()
        self.limits = EndpointLimits(TimerService(self.clock), self.metrics, Log("test"))

    def receive_response(self, rate, sent_ago=0.01):
        self.limits.record_response("e", rate, self.clock.now() - sent_ago, "r")

    def count_changes(self, change):
        return self.metrics.value("endpoint_limits_total", change=change)


def show_limit(world, name):
    """Return the rate limit and the reason for sending no requests, as operators see them."""
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
        response = PlatformProtocol().decode_response_head("r", head)
        assert (response.has_rate_limit_header, response.rate_limit) == (True, rate)

    def test_missing_header_is_no_limit(self):
        response = PlatformProtocol().decode_response_head("r", ResponseHead(200, {}, ()))
        assert (response.has_rate_limit_header, response.rate_limit) == (False, None)


class TestLimitChanges:
    def test_response_without_limit_ends_limit(self):
        harness = LimitsHarness()
        harness.receive_response(2.0)
        harness.clock.time += 1.0
        harness.receive_response(None)
        assert harness.limits.rate_of("e") is None
        assert harness.count_changes("ended") == 1

    def test_response_to_earlier_request_keeps_limit(self):
        """A long response that started before the limit can end after it on another connection."""
        harness = LimitsHarness()
        harness.receive_response(2.0)
        harness.clock.time += 1.0
        harness.receive_response(None, sent_ago=1.1)
        assert harness.limits.rate_of("e") == 2.0

    def test_restart_of_endpoint_ends_limit(self):
        harness = LimitsHarness()
        harness.receive_response(2.0)
        harness.limits.forget("e")
        assert harness.limits.rates_by_endpoint() == {}

    def test_response_of_unknown_endpoint_is_ignored(self):
        """Guards against a limit that is kept, and counted, until the process exits."""
        harness = LimitsHarness()
        harness.limits.start_ms_of = lambda endpoint_id: None
        harness.receive_response(2.0)
        assert harness.limits.rates_by_endpoint() == {}

    def test_rate_changes_are_stored(self):
        harness = LimitsHarness()
        for rate in (2.0, 0.5, 0.5, 20.0):
            harness.receive_response(rate)
        assert harness.limits.rate_of("e") == 20.0
        assert (harness.count_changes("named"), harness.count_changes("changed")) == (1, 2)


class TestPermits:
    def test_denied_low_priority_does_not_delay_urgent_requests(self):
        """Guards against computing the Retry-After of urgent requests from less urgent ones."""
        harness = LimitsHarness()
        harness.receive_response(0.5)
        timers = TimerService(harness.clock)
        permits = Permits(harness.limits, timers, harness.metrics, random.Random(1))
        permits.claim("e", 3, 0.0, lambda permit: None)
        assert permits.wait_seconds(("e",), 3) > 0
        assert permits.wait_seconds(("e",), 0) == 0.0


class TestResponsesOfEveryKind:
    @pytest.mark.parametrize("fault", [ForwardFault.NONE, ForwardFault.ERROR, ForwardFault.REFUSE])
    @pytest.mark.parametrize("path", ["/read/x", "/write/x"])
    def test_limit_is_read_from_success_error_and_rejection(self, path, fault):
        world = ready_world(plains=1)
        world.endpoints["plain-1"].rate_limit = "2.5"
        world.endpoints["plain-1"].inject_fault(fault)
        world.finish(world.ask("front-1", path))
        assert world.fronts["front-1"].hub.limits.rates_by_endpoint() == {"plain-1": 2.5}

    def test_limit_is_read_from_the_head_of_a_stream(self):
        world = ready_world(engines=1)
        world.endpoints["engine-1"].rate_limit = "2.5"
        world.ask("front-1", "/stream/once/x")
        world.run(0.05)
        assert world.fronts["front-1"].hub.limits.rates_by_endpoint() == {"engine-1": 2.5}

    def test_limit_is_shown_to_operators(self):
        world = ready_world(plains=1)
        world.endpoints["plain-1"].rate_limit = "2.5"
        world.finish(world.ask("front-1", "/read/x"))
        front = world.fronts["front-1"]
        assert front.metrics.value("endpoint_limits_total", change="named") == 1
        world.finish(world.ask("front-1", "/read/x"))
        assert show_limit(world, "plain-1") == (2.5, "no permit")


class TestShow:
    """`flamingofront show endpoints` shows why an endpoint gets no requests."""

    def test_backoff_is_shown(self):
        world = ready_world(plains=1)
        world.endpoints["plain-1"].inject_fault(ForwardFault.REJECT)
        world.finish(world.ask("front-1", "/write/x"))
        assert show_limit(world, "plain-1") == (None, "requested a pause")

    def test_leaving_is_shown(self):
        world = ready_world(plains=1)
        world.endpoints["plain-1"].leaving = True
        world.finish(world.ask("front-1", "/write/x"))
        assert show_limit(world, "plain-1") == (None, "leaves")

    def test_usable_endpoint_shows_no_reason(self):
        assert show_limit(ready_world(plains=1), "plain-1") == (None, None)
