"""What answers say of leaving and of pauses, and what a process knows of pauses."""

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


def judged(status, **headers):
    fields = tuple((name.replace("_", "-"), value) for name, value in headers.items())
    names = {name.lower(): value for name, value in fields}
    return PlatformProtocol().judge("r", ResponseHead(status, names, fields))


class TestDecoding:
    @pytest.mark.parametrize(
        "text, pause",
        [("3", 3.0), ("0.6", 0.6), (" 30 ", 30.0), ("86400", 86400.0)]
        + [(text, None) for text in ("", "0", "-3", "soon", "1e3", "nan", DATE)],
    )
    def test_only_seconds_are_pauses(self, text, pause):
        assert judged(503, Retry_After=text).pause == pause

    @pytest.mark.parametrize("status", [200, 429, 500])
    def test_other_answers_ask_for_no_pause(self, status):
        assert judged(status, Retry_After="3").pause is None

    @pytest.mark.parametrize("text, leaving", [("1", True), ("0", False), ("", False)])
    def test_one_says_that_the_endpoint_leaves(self, text, leaving):
        assert judged(200, Server_Leaving=text).leaving is leaving


class TestPauses:
    def setup_method(self):
        self.clock = ManualClock()
        rng = random.Random(1)
        self.pauses = EndpointBackoffs(TimerService(self.clock), Metrics(), Log("test"), rng)

    def test_shorter_time_does_not_shorten_a_pause(self):
        """Answers on several connections come in any order."""
        self.pauses.start("e", 3.0, "r")
        self.clock.time += 1.0
        self.pauses.start("e", 0.6, "r")
        assert 2.0 <= self.pauses.remaining_seconds("e") <= 2.75

    def test_success_of_a_request_sent_before_does_not_end_a_pause(self):
        self.pauses.start("e", 3.0, "r")
        self.clock.time += 0.1
        self.pauses.record_response("e", self.clock.now() - 0.2)
        assert self.pauses.remaining_seconds("e") > 2.0

    def test_time_that_is_too_long_to_be_meant_is_cut(self):
        self.pauses.start("e", 86400.0, "r")
        assert self.pauses.remaining_seconds("e") <= 1.25 * MAX_BACKOFF_SECONDS

    def test_next_start_of_the_endpoint_has_none(self):
        self.pauses.start("e", 3.0, "r")
        self.pauses.forget("e")
        assert self.pauses.remaining_seconds("e") == 0.0


class TestAfterAPause:
    def setup_method(self):
        self.clock = ManualClock()
        rng = random.Random(1)
        self.pauses = EndpointBackoffs(TimerService(self.clock), Metrics(), Log("test"), rng)
        self.pauses.start("e", 3.0, "r")
        self.clock.time += 4.0

    def test_one_request_goes_first(self):
        """All processes would come back with all that they held."""
        assert self.pauses.endpoints_in_backoff() == frozenset()
        self.pauses.record_send("e")
        assert self.pauses.endpoints_in_backoff() == {"e"}

    def test_others_follow_once_it_is_answered(self):
        self.pauses.record_send("e")
        self.pauses.record_response("e", self.clock.now())
        assert self.pauses.endpoints_in_backoff() == frozenset()

    def test_others_follow_if_its_answer_takes_long(self):
        self.pauses.record_send("e")
        self.clock.time += 1.1
        assert self.pauses.endpoints_in_backoff() == frozenset()

    def test_answer_to_an_earlier_request_does_not_count(self):
        self.pauses.record_send("e")
        self.pauses.record_response("e", self.clock.now() - 4.5)
        assert self.pauses.endpoints_in_backoff() == {"e"}


class TestCounters:
    def test_what_an_answer_says_is_counted(self):
        world = ready_world(plains=1)
        world.endpoints["plain-1"].fail(ForwardFault.REJECT, 1)
        world.finish(world.ask("front-1", "/write/x"))
        world.run(4.0)
        world.endpoints["plain-1"].leaving = True
        world.finish(world.ask("front-1", "/write/x"))
        metrics = world.fronts["front-1"].metrics
        assert metrics.value("endpoint_pauses_total") == 1
        assert metrics.value("endpoint_leaving_total", source="answer") == 1
