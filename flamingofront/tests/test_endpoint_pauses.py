"""Entry processes before endpoints that refuse requests and want none for a while.

The time that they named was read by nobody: up to 62 requests of one process came in a pause of
three seconds where other answers succeeded.
"""

import pytest

from flamingofront.tests.forwarding_world import configuration
from flamingofront.tests.watched_world import WatchedWorld

# Requests that an endpoint bears from a process in a pause that it has asked it for, and the time
# after which they count.
ALLOWED_DURING_PAUSE = 2
NOTICE_SECONDS = 0.5


def most_during_pause(world, name, seconds):
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
            if asked.rejected
        ),
        default=0,
    )


class TestPause:
    @pytest.mark.parametrize("share", [1.0, 0.25])
    @pytest.mark.parametrize("seconds", ["3", "0.6", "2.5"])
    def test_endpoint_is_left_alone_for_as_long_as_it_asks(self, seconds, share):
        """Others of its answers succeed meanwhile, which ended what counts errors in a row."""
        world = WatchedWorld()
        world.reject("plain-0", share, seconds)
        world.offer(60, 10.0)
        assert most_during_pause(world, "plain-0", float(seconds)) <= ALLOWED_DURING_PAUSE

    def test_all_endpoints_of_a_service_ask_at_once(self):
        world = WatchedWorld()
        for number in range(3):
            world.reject(f"plain-{number}", 1.0)
        callers = world.offer(60, 8.0)
        world.run(1.0)
        for number in range(3):
            assert most_during_pause(world, f"plain-{number}", 3.0) <= ALLOWED_DURING_PAUSE
        assert all(each.done for each in callers)

    def test_caller_is_told_when_an_endpoint_takes_it(self):
        """A time before the first pause ends would bring the caller back for nothing."""
        world = WatchedWorld(fronts=1)
        for number in range(3):
            world.reject(f"plain-{number}", 1.0, "8")
        world.offer(40, 1.0)
        caller = world.ask("front-0", "/read/x", "GET")
        asked = world.clock.now()
        world.run(0.2)
        hub = world.fronts["front-0"].hub
        opens_at = world.clock.now() + hub.seconds_until_open("records")
        assert caller.status == 503
        assert asked + float(caller.headers["retry-after"]) >= opens_at - 0.01

    def test_refusal_that_asks_for_the_pause_counts_for_its_own_caller(self):
        """The request was ended before the time that the endpoint had named was known."""
        world = WatchedWorld(fronts=1, plains=1)
        world.reject("plain-0", 1.0, "8")
        caller = world.ask("front-0", "/write/x")
        world.finish(caller)
        assert caller.status == 503 and float(caller.headers["retry-after"]) >= 8.0

    def test_request_without_further_attempts_is_told_of_the_pause_too(self):
        """It was told one second, the usual time, by the only endpoint that had asked for eight."""
        world = WatchedWorld(fronts=1, plains=1)
        routes = [{**each, "max_attempts": 1} for each in configuration()["routes"]]
        world.configure_routes(version=2, routes=routes)
        world.run(1.0)
        world.reject("plain-0", 1.0, "8")
        caller = world.ask("front-0", "/write/x")
        world.finish(caller)
        assert caller.status == 503 and float(caller.headers["retry-after"]) >= 8.0

    @pytest.mark.parametrize("text", ["-3", "soon", "Thu, 03 Dec 2026 12:00:00 GMT"])
    def test_time_that_is_none_asks_for_no_pause(self, text):
        world = WatchedWorld(fronts=1, plains=1)
        world.reject("plain-0", 0.2, text)
        callers = world.offer(20, 4.0, "/write/x")
        world.run(1.0)
        assert [each.status for each in callers].count(200) >= 0.5 * len(callers)

    def test_only_the_process_that_was_asked_stays_away(self):
        world = WatchedWorld(fronts=2, plains=1)
        world.reject("plain-0", 1.0, "5")
        world.finish(world.ask("front-0", "/write/x"))
        world.reject("plain-0", 0.0)
        caller = world.ask("front-1", "/write/x")
        world.finish(caller)
        assert caller.status == 200

    def test_others_take_what_it_refuses(self):
        world = WatchedWorld()
        world.reject("plain-0", 1.0)
        callers = world.offer(40, 6.0)
        world.run(1.0)
        assert {each.status for each in callers} == {200}
