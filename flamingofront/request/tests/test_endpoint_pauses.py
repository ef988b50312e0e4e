"""Tests of back-off and leaving headers in responses, and of back-off periods."""

import random

import pytest

from flamingofront.messages import ResponseHead
from flamingofront.platform.requests import PlatformProtocol
from flamingofront.process.logs import Log
from flamingofront.process.metrics import Metrics
from flamingofront.process.timers import ManualClock, TimerService
from flamingofront.request.endpoint_pauses import MAX_BACKOFF_SECONDS, EndpointBackoffs
from flamingofront.standins.forward_endpoint import ForwardFault
from flamingofront.tests.forwarding_world import ready_world

DATE = "Thu, 03 Dec 2026 12:00:00 GMT"


def decode_head(status, **headers):
    fields = tuple((name.replace("_", "-"), value) for name, value in headers.items())
    names = {name.lower(): value for name, value in fields}
    return PlatformProtocol().decode_response_head("r", ResponseHead(status, names, fields))


class TestDecoding:
    @pytest.mark.parametrize(
        "text, pause",
        [("3", 3.0), ("0.6", 0.6), (" 30 ", 30.0), ("86400", 86400.0)]
        + [(text, None) for text in ("", "0", "-3", "soon", "1e3", "nan", DATE)],
    )
    def test_only_seconds_are_accepted(self, text, pause):
        assert decode_head(503, Retry_After=text).backoff_seconds == pause

    @pytest.mark.parametrize("status", [200, 429, 500])
    def test_only_status_503_requests_backoff(self, status):
        assert decode_head(status, Retry_After="3").backoff_seconds is None

    @pytest.mark.parametrize("text, leaving", [("1", True), ("0", False), ("", False)])
    def test_leaving_header_must_be_one(self, text, leaving):
        assert decode_head(200, Server_Leaving=text).leaving is leaving


class TestBackoffs:
    def setup_method(self):
        self.clock = ManualClock()
        rng = random.Random(1)
        self.backoffs = EndpointBackoffs(TimerService(self.clock), Metrics(), Log("test"), rng)

    def test_shorter_retry_after_does_not_shorten_backoff(self):
        """Responses on several connections can arrive in any order."""
        self.backoffs.start("e", 3.0, "r")
        self.clock.time += 1.0
        self.backoffs.start("e", 0.6, "r")
        assert 2.0 <= self.backoffs.remaining_seconds("e") <= 2.75

    def test_success_of_earlier_request_does_not_end_backoff(self):
        self.backoffs.start("e", 3.0, "r")
        self.clock.time += 0.1
        self.backoffs.record_response("e", self.clock.now() - 0.2)
        assert self.backoffs.remaining_seconds("e") > 2.0

    def test_long_backoff_is_capped(self):
        self.backoffs.start("e", 86400.0, "r")
        assert self.backoffs.remaining_seconds("e") <= 1.25 * MAX_BACKOFF_SECONDS

    def test_restarted_endpoint_has_no_backoff(self):
        self.backoffs.start("e", 3.0, "r")
        self.backoffs.forget("e")
        assert self.backoffs.remaining_seconds("e") == 0.0


class TestTrialAfterBackoff:
    def setup_method(self):
        self.clock = ManualClock()
        rng = random.Random(1)
        self.backoffs = EndpointBackoffs(TimerService(self.clock), Metrics(), Log("test"), rng)
        self.backoffs.start("e", 3.0, "r")
        self.clock.time += 4.0

    def test_trial_request_closes_endpoint(self):
        """Without a trial, all processes would send all their queued requests at once."""
        assert self.backoffs.endpoints_in_backoff() == frozenset()
        self.backoffs.record_send("e")
        assert self.backoffs.endpoints_in_backoff() == {"e"}

    def test_response_to_trial_reopens_endpoint(self):
        self.backoffs.record_send("e")
        self.backoffs.record_response("e", self.clock.now())
        assert self.backoffs.endpoints_in_backoff() == frozenset()

    def test_slow_trial_reopens_endpoint(self):
        self.backoffs.record_send("e")
        self.clock.time += 1.1
        assert self.backoffs.endpoints_in_backoff() == frozenset()

    def test_response_to_earlier_request_keeps_endpoint_closed(self):
        self.backoffs.record_send("e")
        self.backoffs.record_response("e", self.clock.now() - 4.5)
        assert self.backoffs.endpoints_in_backoff() == {"e"}


class TestCounters:
    def test_backoff_and_leaving_are_counted(self):
        world = ready_world(plains=1)
        world.endpoints["plain-1"].inject_fault(ForwardFault.REJECT, 1)
        world.finish(world.ask("front-1", "/write/x"))
        world.run(4.0)
        world.endpoints["plain-1"].leaving = True
        world.finish(world.ask("front-1", "/write/x"))
        metrics = world.fronts["front-1"].metrics
        assert metrics.value("endpoint_pauses_total") == 1
        assert metrics.value("endpoint_leaving_total", source="answer") == 1
