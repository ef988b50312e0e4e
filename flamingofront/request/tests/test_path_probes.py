"""Tests of the probes that ask an endpoint for its state."""

import pytest

from flamingofront.messages import CallFailed, ResponseHead
from flamingofront.platform.requests import PlatformProtocol
from flamingofront.process.membership import Fact, FactTable, Role, VmState
from flamingofront.request.directory import EndpointDirectory
from flamingofront.request.path_probes import ResponseProbe

ENDPOINT_ID = "x-flamingofront-instance-id"


class AnsweringTransport:
    """Transport whose calls get one event."""

    def __init__(self, event):
        self.event = event

    def start(self, call, listener):
        listener(self.event)


class TestResponseProbe:
    @pytest.mark.parametrize(
        "event, is_reached",
        [
            (ResponseHead(503, {ENDPOINT_ID: "e-1"}, (), False), True),
            (ResponseHead(200, {}, (), False), True),
            (ResponseHead(200, {ENDPOINT_ID: "e-2"}, (), False), False),
            (CallFailed("reset", True), False),
        ],
        ids=["own id", "no id", "another id", "reset"],
    )
    def test_only_a_response_of_the_endpoint_itself_is_a_sign_of_life(self, event, is_reached):
        """Guards against a later endpoint at the address that is taken for the one that crashed."""
        facts = FactTable()
        facts.merge((Fact("e-1", 1, VmState.LIVE, Role.ENDPOINT, "zone-a", "10.0.0.1:80", "e"),))
        probe = ResponseProbe(
            AnsweringTransport(event),
            EndpointDirectory(facts, None),
            lambda endpoint_id: "/health",
            is_from=PlatformProtocol().is_from_endpoint,
        )
        results = []
        probe.start("e-1", results.append)
        assert results == [is_reached]
