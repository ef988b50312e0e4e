"""Entry processes before endpoints that refuse requests and want none for a while.

The time that they named was read by nobody: up to 62 requests of one process came in a pause of
three seconds where other answers succeeded.
"""

import pytest

from flamingofront.tests.watched_world import WatchedWorld

# Requests that an endpoint bears from a process in a pause that it has asked it for, and the time
# after which they count.
BORNE_IN_PAUSE = 2
NOTICE_SECONDS = 0.5


def most_in_a_pause(world, name, seconds):
    """Return the most requests from one process in a pause that it was asked for."""
    arrivals = world.arrivals[name]
    return max(
        (
            sum(
                each.front == asked.front
                and asked.at + NOTICE_SECONDS < each.at <= asked.at + seconds
                for each in arrivals
            )
            for asked in arrivals
            if asked.turned_away
        ),
        default=0,
    )


class TestPause:
    @pytest.mark.parametrize("share", [1.0, 0.25])
    @pytest.mark.parametrize("seconds", ["3", "0.6", "2.5"])
    def test_endpoint_is_left_alone_for_as_long_as_it_asks(self, seconds, share):
        """Others of its answers succeed meanwhile, which ended what counts errors in a row."""
        world = WatchedWorld()
        world.turn_away("plain-0", share, seconds)
        world.offer(60, 10.0)
        assert most_in_a_pause(world, "plain-0", float(seconds)) <= BORNE_IN_PAUSE

    def test_all_endpoints_of_a_service_ask_at_once(self):
        world = WatchedWorld()
        for number in range(3):
            world.turn_away(f"plain-{number}", 1.0)
        callers = world.offer(60, 8.0)
        world.run(1.0)
        for number in range(3):
            assert most_in_a_pause(world, f"plain-{number}", 3.0) <= BORNE_IN_PAUSE
        assert all(each.done for each in callers)
