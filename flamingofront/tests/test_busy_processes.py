"""Word of endpoints that leave, among processes whose event loops are busy."""

import pytest

from flamingofront.tests.busy_world import BusyWorld


class TestBusyRelays:
    """Relays that send more digests than their event loops have turns for."""

    @pytest.mark.parametrize(
        ("seed", "processes", "turn_seconds"),
        [(1, 24, 0.08), (3, 24, 0.08), (1, 48, 0.05)],
    )
    def test_departures_are_known_in_time(self, seed, processes, turn_seconds):
        """Guards against word that waits in a relay's queue behind older digests."""
        world = BusyWorld(seed, processes)
        world.make_busy(turn_seconds)
        world.offer(1.5, 100)
        world.release(10, 0.5, 100)
        world.offer(4.0, 50)
        assert world.late() == []
