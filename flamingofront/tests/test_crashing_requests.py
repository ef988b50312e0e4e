"""Requests that crash the endpoints that run them.

One request ended eight engines of a deployment within 1.3 seconds, and those that replaced them
too, 31 in all. It came again and again, with the same path, caller and body but another id, at
seven entry processes. Each process sent it to as many engines as its route allows, since attempts
were counted by request id and failures by endpoint: nobody remembered what was asked. Lines of four
processes show it, times in seconds:

    8.391 attempt lost  heida-2   reason=reset ran=unknown    a first engine
    8.481 attempt lost  heida-2   reason=reset ran=unknown    the second attempt, another engine
    8.481 request ended heida-2   failure=endpoint_failed     502, no event
    8.661 attempt lost  heida-1   reason=reset ran=unknown    the same work under another id
    8.854 attempt lost  heida-1   reason=reset ran=unknown
    ...
    9.637 request ended hraun-2   failure=endpoint_failed     the eighth engine, of eight

What is owed is that all processes together send such a request at most three times more, from the
moment on at which word of its third end can have come to all (three seconds later).
"""

import pytest

from flamingofront.tests.crashing_world import crashing_world

POISON = b"a prompt that no engine survives"
MAX_SENT_LATE = 3


def repeat(world, path, seconds=14.0, pause=0.3, body=POISON):
    """Let a request come again at any process, beside others, and return its answers."""
    callers = []
    end = world.clock.now() + seconds
    number = 0
    while world.clock.now() < end:
        callers.append(world.ask_one(path, body))
        for _ in range(2):
            number += 1
            world.ask_one(path, b"another prompt, number %d" % number)
        world.run(pause * (0.5 + world.rng.random()))
    world.run(4.0)
    return callers


class TestRepeatedRequest:
    @pytest.mark.parametrize("path", ["/stream/again/x", "/stream/once/x", "/read/x", "/write/x"])
    def test_request_that_ended_three_endpoints_is_hardly_sent_again(self, path):
        world = crashing_world()
        world.poison.add(POISON)
        repeat(world, path)
        assert world.sent_late(POISON) <= MAX_SENT_LATE
