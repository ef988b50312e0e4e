"""What is kept of a forwarded request after its end."""

import pytest

from flamingofront.tests.forwarding_world import ready_world


class TestEndedRequests:
    @pytest.mark.parametrize("leaves", [False, True], ids=["answered", "caller gone"])
    def test_bodies_are_not_kept(self, leaves):
        """Ended requests are referred to in cycles, and kept their bodies until a collection."""
        world = ready_world()
        found = []
        hub = world.fronts["front-1"].hub
        accept = hub.accept

        def keep(*args):
            found.append(accept(*args))
            return found[-1]

        hub.accept = keep
        caller = world.ask("front-1", "/read/x", body=b"x" * 1000)
        (request,) = found
        assert request.work.body == b"x" * 1000
        if leaves:
            caller.on_disconnect()
        world.run(5.0)
        assert request.done and caller.done is not leaves
        assert request.work.body == b"" and request.answer is None
