"""A request is not refused by an error that comes after it was accepted, sent or given up."""

import pytest

from flamingofront.errors import ErrorKind, RequestError
from flamingofront.standins.forward_endpoint import ForwardFault
from flamingofront.tests.forwarding_world import ready_world


class TestAttemptsThatEnd:
    @pytest.mark.parametrize("path", ["/write/x", "/stream/once/x"])
    def test_request_that_ends_with_its_attempt_is_not_refused(self, path):
        """What was written was known from the call in flight only, which had just been dropped."""
        world = ready_world()
        for each in world.endpoints.values():
            each.gap = 0.3
            each.inject_fault(ForwardFault.LOSE_ANSWER, 1)
        caller = world.ask("front-1", path)
        world.run(0.1)
        hub = world.fronts["front-1"].hub
        (request,) = hub.active.values()
        hub.record_attempt_loss = lambda *facts: request.execute(
            request.machine.fail(ErrorKind.PROMPT_PART_CRASHES, "", 1.0)
        )
        world.finish(caller)
        assert (caller.status, caller.error["ran"]) == (502, "unknown")


class TestErrorsAfterAcceptance:
    @pytest.mark.parametrize("path", ["/write/x", "/stream/once/x"])
    def test_error_of_the_start_does_not_refuse_an_accepted_request(self, path):
        """It was taken for a rejection of the request, which went on at its endpoint."""
        world = ready_world()
        hub = world.fronts["front-1"].hub
        start = hub.start_ready_requests

        def start_and_fail():
            hub.start_ready_requests = start
            start()
            raise RequestError(ErrorKind.OVERLOADED, retry_after=1.0)

        hub.start_ready_requests = start_and_fail
        with pytest.raises(RuntimeError):
            world.ask("front-1", path)
            world.run(0.01)
        caller = world.asked[-1].caller
        assert caller.answers == 0
        world.finish(caller)
        assert (caller.status, caller.answers) == (200, 1)
