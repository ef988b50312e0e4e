"""Tests of the detection of crashed endpoints after lost connections."""

import logbook
import pytest

from flamingofront.connection.interfaces import ConnectResult
from flamingofront.decisions.part_facts import InterruptedRequest
from flamingofront.process.logs import Log
from flamingofront.process.membership import Fact, FactTable, Role, VmState
from flamingofront.process.metrics import Metrics
from flamingofront.process.timers import ManualClock, TimerService
from flamingofront.request.directory import EndpointDirectory
from flamingofront.request.endpoint_ends import CONFIRM_SECONDS, MAX_PROBES, CrashDetector

ADDRESS = "10.0.0.1:80"
NEIGHBOUR = "10.0.0.2:80"


class ProbeTransport:
    """Transport whose probes return the configured result."""

    def __init__(self, timers):
        self.timers = timers
        self.reach = ConnectResult.REFUSED
        self.neighbour_reach = ConnectResult.CONNECTED
        self.count = 0

    def probe(self, address, timeout, listener):
        self.count += 1
        assert address in (ADDRESS, NEIGHBOUR)
        reach = self.reach if address == ADDRESS else self.neighbour_reach
        self.timers.once(0.002, lambda: listener(reach))


class CrashDetectorHarness:
    """Crash detector of one process with one endpoint, on a manual clock."""

    def __init__(self, state=VmState.LIVE):
        self.clock = ManualClock(100.0)
        self.timers = TimerService(self.clock)
        facts = FactTable()
        facts.merge(
            (
                Fact("e-1", 1, state, Role.ENDPOINT, "zone-a", ADDRESS, "engines"),
                Fact("e-2", 1, VmState.LIVE, Role.ENDPOINT, "zone-a", NEIGHBOUR, "engines"),
            )
        )
        self.directory = EndpointDirectory(facts, None)
        self.transport = ProbeTransport(self.timers)
        self.metrics = Metrics()
        self.detector = CrashDetector(
            self.transport, self.timers, self.directory, self.metrics, Log("test")
        )
        self.crashes = []
        self.detector.on_crash = lambda crash, requests: self.crashes.append(crash)
        self.uncertain = []
        self.detector.on_uncertain_crash = lambda crash, requests: self.uncertain.append(
            (crash.endpoint_id, tuple(each.fingerprint for each in requests))
        )
        self.detector.has_unproven_part = lambda request: bool(request.parts)

    def lose_connections(self, *requests):
        for each in requests:
            self.detector.record_connection_loss("e-1", ADDRESS, InterruptedRequest(each))

    def abandon(self, *requests, parts=("p",)):
        for each in requests:
            self.detector.record_abandoned_attempt("e-1", InterruptedRequest(each, parts))

    def run(self, seconds):
        end = self.clock.time + seconds
        while (due := self.timers.next_due()) is not None and due <= end:
            self.clock.time = max(self.clock.time, due)
            self.timers.run_due()
        self.clock.time = end


class TestCrashDetector:
    def test_refused_probe_after_lost_connection_is_a_crash(self):
        world = CrashDetectorHarness()
        world.lose_connections("one", "two")
        world.run(0.1)
        (crash,) = world.crashes
        assert (crash.endpoint_id, crash.zone, crash.at) == ("e-1", "zone-a", 100.0)
        assert crash.requests == ("one", "two")
        assert world.metrics.value("endpoint_ends_total") == 1

    def test_endpoint_that_accepts_probe_has_not_crashed(self):
        world = CrashDetectorHarness()
        world.transport.reach = ConnectResult.CONNECTED
        world.lose_connections("one")
        world.run(10.0)
        assert not world.crashes and world.transport.count == 1 + len(CONFIRM_SECONDS)

    @pytest.mark.parametrize("ending", [0.003, 0.02, 0.2])
    def test_endpoint_that_accepts_a_connection_while_it_ends_has_crashed(self, ending):
        # The kernel closes the connections of a process that ends before its listening sockets.
        world = CrashDetectorHarness()
        world.transport.reach = ConnectResult.CONNECTED
        world.lose_connections("one")
        world.run(ending)
        world.transport.reach = ConnectResult.REFUSED
        world.run(0.2)
        assert [each.requests for each in world.crashes] == [("one",)]

    def test_each_lost_connection_may_be_that_of_an_endpoint_that_ends(self):
        # The first one had been reset by a live endpoint.
        world = CrashDetectorHarness()
        world.transport.reach = ConnectResult.CONNECTED
        world.lose_connections("one")
        world.run(0.12)
        world.directory.record_contact("e-1", world.clock.now())
        world.run(0.12)
        world.lose_connections("two")
        world.run(0.02)
        world.transport.reach = ConnectResult.REFUSED
        world.run(0.3)
        assert [each.requests for each in world.crashes] == [("one", "two")]

    def test_endpoint_that_still_sends_has_not_crashed(self):
        """An endpoint at its connection limit refuses new connections but serves the others."""
        world = CrashDetectorHarness()
        world.lose_connections("one")
        world.run(0.015)
        world.directory.record_contact("e-1", world.clock.now())
        world.run(10.0)
        assert not world.crashes

    @pytest.mark.parametrize("state", [VmState.LEAVING, VmState.GONE])
    def test_leaving_endpoint_is_not_checked(self, state):
        world = CrashDetectorHarness(state)
        world.lose_connections("one")
        world.run(10.0)
        assert not world.crashes and not world.transport.count

    def test_unresponsive_endpoint_crashed_once_row_is_removed(self):
        world = CrashDetectorHarness()
        world.transport.reach = ConnectResult.UNANSWERED
        world.lose_connections("one")
        world.run(2.5)
        assert not world.crashes
        world.detector.record_row_removal("e-1")
        assert [each.requests for each in world.crashes] == [("one",)]

    def test_unresponsive_endpoint_may_recover(self):
        world = CrashDetectorHarness()
        world.transport.reach = ConnectResult.UNANSWERED
        world.lose_connections("one")
        world.run(1.5)
        world.transport.reach = ConnectResult.CONNECTED
        world.run(20.0)
        world.detector.record_row_removal("e-1")
        assert not world.crashes and world.transport.count < MAX_PROBES

    def test_late_connection_loss_belongs_to_same_crash(self):
        world = CrashDetectorHarness()
        world.lose_connections("one")
        world.run(0.1)
        world.lose_connections("one", "two")
        assert [each.requests for each in world.crashes] == [("one",), ("two",)]
        assert {each.at for each in world.crashes} == {100.0}

    def test_restart_of_endpoint_is_a_crash(self):
        world = CrashDetectorHarness()
        world.detector.record_restart("e-1", InterruptedRequest("one"))
        world.detector.record_restart("e-1", InterruptedRequest("two"))
        assert [each.requests for each in world.crashes] == [("one",), ("two",)]

    def test_line_of_a_crash_tells_unanswered_requests_with_their_parts(self):
        """Without it a part, a workspace and a route that requests share look alike."""
        with logbook.TestHandler(bubble=True).applicationbound() as log:
            world = CrashDetectorHarness()
            for each in (
                InterruptedRequest("one", ("a", "b")),
                InterruptedRequest("two", ("a", "c"), is_answered=True),
            ):
                world.detector.record_connection_loss("e-1", ADDRESS, each)
            world.run(0.1)
        (record,) = [each for each in log.records if each.message == "endpoint crashed"]
        assert record.kwargs["unanswered"] == [["one", ("a", "b")]]
        assert record.kwargs["work"] == ["one", "two"]

    def test_line_of_a_crash_tells_answered_and_abandoned_requests_with_their_parts(self):
        """Without them a crash looks as if no request with a part had been there."""
        with logbook.TestHandler(bubble=True).applicationbound() as log:
            world = CrashDetectorHarness()
            world.detector.has_unproven_part = lambda request: False
            world.detector.record_abandoned_attempt("e-1", InterruptedRequest("old", ("z",)))
            world.run(3.0)
            world.detector.record_abandoned_attempt("e-1", InterruptedRequest("one", ("a",)))
            world.detector.record_abandoned_attempt("e-2", InterruptedRequest("other", ("a",)))
            world.run(0.5)
            two = InterruptedRequest("two", ("a", "c"), is_answered=True)
            world.detector.record_connection_loss("e-1", ADDRESS, two)
            world.run(0.1)
        (record,) = [each for each in log.records if each.message == "endpoint crashed"]
        assert record.kwargs["answered"] == [["two", ("a", "c")]]
        ((work, parts, ago),) = record.kwargs["abandoned"]
        assert (work, parts) == ("one", ("a",)) and 0.5 <= ago < 0.6


class TestAbandonedAttempts:
    """Nobody waits for their outcome, and the endpoint crashes a moment later."""

    def test_silent_endpoint_is_probed_and_its_crash_attributed(self):
        world = CrashDetectorHarness()
        world.abandon("one")
        world.run(0.4)
        assert [each.requests for each in world.crashes] == [("one",)]
        assert world.crashes[0].omitted == 1

    def test_endpoint_that_sends_data_is_not_probed(self):
        world = CrashDetectorHarness()
        world.abandon("one")
        for _ in range(30):
            world.directory.record_contact("e-1", world.clock.now())
            world.run(0.1)
        assert not world.transport.count

    def test_endpoint_with_proven_requests_only_is_not_probed(self):
        world = CrashDetectorHarness()
        world.abandon("one", parts=())
        world.run(3.0)
        assert not world.transport.count

    def test_crash_that_a_lost_connection_shows_is_attributed_too(self):
        world = CrashDetectorHarness()
        world.abandon("one")
        world.run(0.05)
        world.lose_connections("two")
        world.run(0.1)
        assert [each.requests for each in world.crashes] == [("one", "two")]

    def test_crash_that_a_peer_reports_is_attributed_once(self):
        world = CrashDetectorHarness()
        world.abandon("one")
        for _ in range(2):
            world.detector.record_known_crash("e-1", world.clock.now())
        assert [each.requests for each in world.crashes] == [("one",)]

    def test_attempt_that_is_abandoned_after_the_crash_is_attributed(self):
        world = CrashDetectorHarness()
        world.detector.record_known_crash("e-1", world.clock.now())
        world.run(1.0)
        world.abandon("one")
        assert [each.requests for each in world.crashes] == [("one",)]

    def test_attempt_that_was_abandoned_long_before_is_not_attributed(self):
        world = CrashDetectorHarness()
        world.transport.reach = ConnectResult.CONNECTED
        world.abandon("one")
        world.run(4.0)
        world.directory.record_contact("e-1", world.clock.now())
        world.run(0.1)
        world.detector.record_known_crash("e-1", world.clock.now())
        assert not world.crashes

    def test_refused_attempt_at_the_endpoint_starts_a_check(self):
        world = CrashDetectorHarness()
        world.abandon("one", parts=())
        world.detector.record_refused_attempt("e-1")
        world.run(0.1)
        assert [each.requests for each in world.crashes] == [("one",)]

    def test_second_crash_under_the_same_id_is_found(self):
        """Guards against an endpoint that starts again under its id and crashes once more."""
        world = CrashDetectorHarness()
        world.abandon("one")
        world.run(0.4)
        world.run(3.5)
        world.lose_connections("two")
        world.run(0.1)
        assert [each.requests for each in world.crashes] == [("one",), ("two",)]

    def test_requests_in_flight_at_a_crash_leave_it_complete(self):
        """Guards against a lone poison request for which others seem to be left out."""
        world = CrashDetectorHarness()
        world.detector.list_running = lambda endpoint_id: (InterruptedRequest("two"),)
        world.lose_connections("one")
        world.run(0.1)
        (crash,) = world.crashes
        assert (crash.requests, crash.omitted) == (("one", "two"), 0)


class TestUncertainCrashes:
    def test_host_that_nobody_reaches_beside_one_that_is_reached(self):
        """Its connections are never reset, and its row expires seconds later."""
        world = CrashDetectorHarness()
        world.transport.reach = ConnectResult.UNANSWERED
        world.abandon("one")
        world.run(1.0)
        assert world.uncertain == [("e-1", ("one",))] and not world.crashes

    @pytest.mark.parametrize("neighbour, is_reached", [("unanswered", False), ("connected", True)])
    def test_partitioned_zone_or_endpoint_that_a_peer_reaches(self, neighbour, is_reached):
        world = CrashDetectorHarness()
        world.transport.reach = ConnectResult.UNANSWERED
        world.transport.neighbour_reach = ConnectResult(neighbour)
        world.detector.ask_peer = lambda endpoint_id, on_answer: on_answer(is_reached)
        world.abandon("one")
        world.run(1.0)
        assert not world.uncertain

    def test_endpoint_that_accepts_connections_and_does_not_respond(self):
        """Its listening sockets are closed a second after its connections."""
        world = CrashDetectorHarness()
        world.transport.reach = ConnectResult.CONNECTED
        world.detector.probe_response = lambda endpoint_id, on_result: on_result(False)
        world.lose_connections("one")
        world.run(0.4)
        assert world.uncertain == [("e-1", ("one",))]
        world.transport.reach = ConnectResult.REFUSED
        world.run(1.5)
        assert [each.requests for each in world.crashes] == [("one",)]

    def test_endpoint_that_responds_lives(self):
        world = CrashDetectorHarness()
        world.transport.reach = ConnectResult.CONNECTED
        world.lose_connections("one")
        world.run(10.0)
        assert not world.uncertain and not world.crashes

    def test_data_that_a_busy_process_reads_late_is_no_sign_of_life(self):
        world = CrashDetectorHarness()
        world.lose_connections("one")
        world.run(0.015)
        world.directory.record_contact("e-1", world.clock.now())
        world.run(0.5)
        assert world.uncertain == [("e-1", ("one",))]

    def test_request_in_flight_at_a_silent_host_counts(self):
        world = CrashDetectorHarness()
        world.transport.reach = ConnectResult.UNANSWERED
        request = InterruptedRequest("one", ("p",))
        world.detector.list_running = lambda endpoint_id: (request,)
        world.detector.record_attempt("e-1", request)
        world.run(1.2)
        assert world.uncertain[0] == ("e-1", ("one",))
