"""Endpoints that crash if they have to reject too many requests, in the simulated network."""

import pytest

from flamingofront.platform.endpoints import ENDPOINT_TABLE
from flamingofront.standins.brittle_endpoint import BrittleEndpointStandIn
from flamingofront.tests.forwarding_world import ForwardingWorld

PLACES = 4
RUN_SECONDS = 0.15
# From the first response that says so until the endpoint lets fewer requests wait.
NOTICE_SECONDS = 3.0
DOWN_SECONDS = 3.0
MAX_REJECTIONS = 5
ENDPOINTS = 4
# Requests per second that all endpoints together have places for.
CAPACITY = ENDPOINTS * PLACES / RUN_SECONDS
MIN_USED_FRACTION = 0.6


class BrittleWorld(ForwardingWorld):
    """Entry processes before plain endpoints that become brittle."""

    def __init__(self, fronts: int, seed: int = 1):
        super().__init__(seed)
        self.configure_routes()
        self.falls = 0
        self.brittle = False
        self._starts = 0
        for number in range(ENDPOINTS):
            self.start_brittle(f"plain-{number}")
        for number in range(fronts):
            self.front(f"front-{number}", f"zone-{'abc'[number % 3]}")
        self.run_until(lambda: all(each.ready for each in self.fronts.values()))
        self.run(3.0)

    def start_brittle(self, name: str) -> BrittleEndpointStandIn:
        host = self._host(name, "zone-a")
        endpoint = BrittleEndpointStandIn(name, host.timers, RUN_SECONDS, PLACES)
        endpoint.on_fall = lambda: self._fall(name)
        host.handler = endpoint.handle
        self.endpoints[name] = endpoint
        self.register(name, "records", slots=PLACES)
        if self.brittle:
            self._make_brittle(endpoint, room=0)
        return endpoint

    def _make_brittle(self, endpoint: BrittleEndpointStandIn, room: int) -> None:
        endpoint.max_rejections = MAX_REJECTIONS
        endpoint.room = room

    def become_brittle(self) -> None:
        """Let all endpoints say that they are brittle, and have no room for waiting later."""
        self.brittle = True
        for each in self.endpoints.values():
            self._make_brittle(each, each.room)
        timers = self.host("store").timers
        for each in self.endpoints.values():
            timers.once(NOTICE_SECONDS, lambda each=each: self._make_brittle(each, 0))

    def recover(self) -> None:
        """Let all endpoints say no more that they are brittle."""
        self.brittle = False
        for each in self.endpoints.values():
            each.max_rejections, each.room = None, 20

    def _fall(self, name: str) -> None:
        self.falls += 1
        self.host("store").timers.once(0.0, lambda: self._restart(name))

    def _restart(self, name: str) -> None:
        self.kill(name)
        self.store.drop(ENDPOINT_TABLE, name)
        self._starts += 1
        again = f"{name.partition('+')[0]}+{self._starts}"
        self.host("store").timers.once(DOWN_SECONDS, lambda: self.start_brittle(again))

    def offer(self, rate: float, seconds: float) -> list:
        """Send requests at random times to random processes."""
        callers, end = [], self.clock.now() + seconds
        while self.clock.now() < end:
            self.run(self.rng.expovariate(rate))
            running = [each for each in self.fronts if not self.host(each).dead]
            callers.append((self.clock.now(), self.ask(self.rng.choice(running), "/read/x", "GET")))
        return callers

    def completed(self) -> int:
        return sum(each.completed for each in self.endpoints.values())


class TestBrittleEndpoints:
    @pytest.mark.parametrize("load", [0.8, 1.5, 3.0])
    @pytest.mark.parametrize("fronts", [1, 5, 20])
    def test_they_do_not_fall_and_their_places_are_used(self, fronts, load):
        # Processes offered more than the endpoints had room for, until they fell one by one.
        world = BrittleWorld(fronts)
        world.offer(load * CAPACITY, 2.0)
        world.become_brittle()
        world.offer(load * CAPACITY, 4.0)
        before = world.completed()
        callers = world.offer(load * CAPACITY, 6.0)
        world.run(2.0)
        assert world.falls <= 2 + ENDPOINTS // 10
        owed = min(1.0, load) * CAPACITY * 6.0
        assert world.completed() - before >= MIN_USED_FRACTION * owed
        refused = [each for _, each in callers if each.status == 503]
        assert all(float(each.headers["retry-after"]) > 0 for each in refused)
        assert {each.status for _, each in callers} <= {200, 503}

    def test_burst_as_they_become_brittle(self):
        world = BrittleWorld(5)
        world.offer(0.5 * CAPACITY, 2.0)
        world.become_brittle()
        world.offer(0.5 * CAPACITY, 2.9)
        world.offer(4 * CAPACITY, 4.0)
        assert world.falls <= 2

    def test_processes_are_killed_meanwhile(self):
        world = BrittleWorld(8)
        world.offer(1.5 * CAPACITY, 2.0)
        world.become_brittle()
        world.offer(1.5 * CAPACITY, 4.0)
        for number in (0, 3, 5):
            world.kill(f"front-{number}")
            world.offer(1.5 * CAPACITY, 1.0)
        world.offer(1.5 * CAPACITY, 3.0)
        assert world.falls <= 2

    def test_limit_ends_with_the_announcement(self):
        world = BrittleWorld(5)
        world.become_brittle()
        world.offer(CAPACITY, 5.0)
        hubs = [node.hub for node in world.fronts.values()]
        assert all(hub.permits.is_required(name) for hub in hubs for name in world.endpoints)
        world.recover()
        world.offer(CAPACITY, 2.0)
        assert not any(hub.permits.is_required(name) for hub in hubs for name in world.endpoints)
