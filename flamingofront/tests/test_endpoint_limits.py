"""Entry processes in the simulated network, before endpoints that name the rate that they take.

Each process sent such an endpoint what its own choice made of it: two endpoints that took 1.9 and
1.3 requests a second from all got 22 and 15 in four seconds.
"""

import math

import pytest

from flamingofront.tests.forwarding_world import ForwardingWorld

ZONES = ("zone-a", "zone-b", "zone-c")
# The endpoint bears one and a half times what its limit allows in any four seconds, and five more.
WINDOW_SECONDS = 4.0
BORNE_RATIO, BORNE_REQUESTS = 1.5, 5
# From the first answer that names a limit until it has to be kept.
NOTICE_SECONDS = 3.0


def borne(rate):
    """Return the most requests that an endpoint bears within a window."""
    return math.floor(BORNE_RATIO * rate * WINDOW_SECONDS) + BORNE_REQUESTS


def most_in_window(times, since):
    """Return the most arrivals within a window that begins after a time."""
    late = [at for at in times if at >= since]
    return max((sum(at <= each < at + WINDOW_SECONDS for each in late) for at in late), default=0)


class LimitedWorld(ForwardingWorld):
    """Entry processes, and endpoints that name limits.

    Parameters
    ----------
    rates : sequence of float or None
        Limit of each endpoint of the plain service from the begin on; None for no limit.
    """

    def __init__(self, fronts=8, rates=(1.9, None, None), seed=1):
        super().__init__(seed)
        self.configure_routes()
        self.arrivals = {}
        for number, rate in enumerate(rates):
            endpoint = self.endpoint(f"plain-{number}", "records", ZONES[number % 3])
            self._watch(endpoint)
            self.limit(f"plain-{number}", rate)
        for number in range(fronts):
            self.front(f"front-{number}", ZONES[number % 3])
        self.run_until(lambda: all(each.ready for each in self.fronts.values()))
        self.run(3.0)
        self.began = self.clock.now()

    def _watch(self, endpoint):
        times = self.arrivals[endpoint.endpoint_id] = []
        inner = endpoint.handle

        def handle(req, exchange):
            times.append(self.clock.now())
            inner(req, exchange)

        self.host(endpoint.endpoint_id).handler = handle

    def limit(self, name, rate):
        """Let an endpoint name a limit from now on, or none any more."""
        self.endpoints[name].rate_limit = None if rate is None else f"{rate:g}"

    def offer(self, rate, seconds, path="/read/x"):
        """Send requests at random times to random processes; return their callers."""
        callers = []
        end = self.clock.now() + seconds
        while self.clock.now() < end:
            self.run(self.rng.expovariate(rate))
            running = [each for each in self.fronts if not self.host(each).dead]
            callers.append(self.ask(self.rng.choice(running), path, "GET"))
        return callers

    def most(self, name):
        """Return the most that an endpoint got in a window once its limit has to be kept."""
        return most_in_window(self.arrivals[name], self.began + NOTICE_SECONDS)


class TestLimitIsKeptByAllTogether:
    @pytest.mark.parametrize("fronts, rate", [(1, 1.9), (8, 0.5), (8, 20.0), (30, 1.9)])
    def test_endpoint_gets_no_more_than_it_takes(self, fronts, rate):
        """Each process sent what it chose, whatever the endpoint had named."""
        world = LimitedWorld(fronts, (rate, None, None))
        world.offer(60 + 6 * rate, 8.0)
        assert world.most("plain-0") <= borne(rate)

    @pytest.mark.parametrize("fronts", [8, 30])
    def test_all_endpoints_of_a_service_name_limits(self, fronts):
        world = LimitedWorld(fronts, (0.5, 1.9, 20.0))
        world.offer(80, 8.0)
        for name, rate in (("plain-0", 0.5), ("plain-1", 1.9), ("plain-2", 20.0)):
            assert world.most(name) <= borne(rate)
