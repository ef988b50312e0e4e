"""A request that ends while an attempt of it ends is not refused if the attempt was written."""

import pytest

from flamingofront.errors import ErrorKind
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
