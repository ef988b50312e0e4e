"""VMs that have lost their network paths to the endpoints, in the simulated network."""

from collections import Counter

import pytest

from flamingofront.tests.paths_world import (
    ALL_FAULTS,
    FRONTS,
    cut_off,
    offer,
    paths_world,
    runs_of,
    served_share,
)

# Time from the start of a fault until first tries are served like those at other VMs.
REACTION_SECONDS = 3.0


class TestServingWithoutPaths:
    """Callers of VMs that lost their paths get answers like the callers of all others."""

    @pytest.mark.parametrize("cut", [("front-1",), ("front-1", "front-3"), FRONTS[:4]], ids=len)
    @pytest.mark.parametrize("fault", ALL_FAULTS)
    def test_first_tries_are_served_while_paths_are_lost(self, fault, cut):
        # VMs without a path to any endpoint answered 502 and 504 though other VMs had one.
        world = paths_world()
        offer(world, 1.0)
        start = world.clock.now()
        cut_off(world, cut, fault)
        sent = offer(world, 8.0)
        others = served_share(sent, set(FRONTS) - set(cut), start + REACTION_SECONDS)
        assert others == 1.0
        assert served_share(sent, cut, start + REACTION_SECONDS) >= others - 1 / 50
        assert max(Counter(runs_of(world, "/write/")).values()) == 1
