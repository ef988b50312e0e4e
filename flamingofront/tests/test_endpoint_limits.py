"""Entry processes in the simulated network, before endpoints that name the rate that they take.

Each process sent such an endpoint what its own choice made of it: two endpoints that took 1.9 and
1.3 requests a second from all got 22 and 15 in four seconds.
"""

import math

import pytest

from flamingofront.standins.forward_endpoint import ForwardFault
from flamingofront.tests.forwarding_world import ForwardingWorld, configuration

ZONES = ("zone-a", "zone-b", "zone-c")
# The endpoint bears one and a half times what its limit allows in any four seconds, and five more.
WINDOW_SECONDS = 4.0
ALLOWED_RATIO, ALLOWED_REQUESTS = 1.5, 5
# From the first answer that names a limit until it has to be kept.
NOTICE_SECONDS = 3.0


def allowed(rate):
    """Return the most requests that an endpoint bears within a window."""
    return math.floor(ALLOWED_RATIO * rate * WINDOW_SECONDS) + ALLOWED_REQUESTS


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
            self.watched_endpoint(f"plain-{number}", "records", rate, ZONES[number % 3])
        for number in range(fronts):
            self.front(f"front-{number}", ZONES[number % 3])
        self.run_until(lambda: all(each.ready for each in self.fronts.values()))
        self.run(3.0)
        self.began = self.clock.now()

    def watched_endpoint(self, name, service, rate, zone="zone-a"):
        """Start an endpoint that names a limit, and note when requests reach it."""
        endpoint = self.endpoint(name, service, zone)
        self.limit(name, rate)
        times = self.arrivals[endpoint.endpoint_id] = []
        inner = endpoint.handle

        def handle(req, exchange):
            times.append(self.clock.now())
            inner(req, exchange)

        self.host(name).handler = handle

    def restart(self, *names):
        """Kill entry processes and start them again."""
        for name in names:
            zone = self.host(name).zone
            self.kill(name)
            self.front(name, zone, first_start=False)

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
        assert world.most("plain-0") <= allowed(rate)

    @pytest.mark.parametrize("fronts", [8, 30])
    def test_all_endpoints_of_a_service_name_limits(self, fronts):
        world = LimitedWorld(fronts, (0.5, 1.9, 20.0))
        world.offer(80, 8.0)
        for name, rate in (("plain-0", 0.5), ("plain-1", 1.9), ("plain-2", 20.0)):
            assert world.most(name) <= allowed(rate)

    def test_limit_is_used_where_more_is_asked_for(self):
        """A bound that is kept by sending next to nothing is half a mend."""
        world = LimitedWorld(8, (0.5, 1.9, 20.0))
        world.offer(20, 2.0)
        before = {name: len(times) for name, times in world.arrivals.items()}
        world.offer(60, 10.0)
        for name, rate in (("plain-1", 1.9), ("plain-2", 20.0)):
            assert len(world.arrivals[name]) - before[name] >= 0.9 * rate * 10.0

    def test_further_attempts_count(self):
        world = LimitedWorld(8, (1.9, 1.9, 1.9))
        for each in world.endpoints.values():
            each.inject_fault(ForwardFault.ERROR)
        world.offer(40, 8.0)
        assert all(world.most(name) <= allowed(1.9) for name in world.endpoints)

    def test_streams_count(self):
        world = LimitedWorld(4, (None,))
        for number in range(2):
            world.watched_endpoint(f"engine-{number}", "engines", 1.9)
        world.run(1.0)
        world.offer(30, 8.0, "/stream/again/x")
        assert all(world.most(f"engine-{number}") <= allowed(1.9) for number in range(2))

    @pytest.mark.parametrize("seed", range(2))
    def test_arbiter_is_killed_and_others_start_again(self, seed):
        world = LimitedWorld(8, (10.0, 10.0, 10.0), seed=seed)
        world.offer(50, 3.0)
        first = world.fronts["front-0"].quota_members.rank_by_hash("plain-0")[0]
        world.restart(*[each.name for each in world.hosts.values() if each.address == first])
        world.offer(50, 2.0)
        world.restart(*world.rng.sample(list(world.fronts), 4))
        world.offer(50, 3.0)
        assert all(world.most(name) <= allowed(10.0) for name in world.endpoints)

    @pytest.mark.parametrize("lost", [0.3, 1.0])
    def test_questions_and_replies_are_lost(self, lost):
        world = LimitedWorld(8, (10.0, 10.0, 10.0))
        world.offer(50, 1.0)
        world.lost_datagrams = lost
        callers = world.offer(50, 7.0)
        world.run(3.0)
        assert all(world.most(name) <= allowed(10.0) for name in world.endpoints)
        assert all(each.done for each in callers)

    def test_process_that_stops_does_not_decide_beside_the_next(self):
        """It served on for seconds, and gave out the limit a second time to its own callers."""
        world = LimitedWorld(4, (10.0, 10.0, 10.0))
        world.offer(60, 3.0)
        first = world.fronts["front-0"].quota_members.rank_by_hash("plain-0")[0]
        next(each for each in world.fronts.values() if each.settings.ip == first).stopping = True
        world.offer(120, 6.0)
        assert all(world.most(name) <= allowed(10.0) for name in world.endpoints)

    def test_zone_that_hears_nobody(self):
        world = LimitedWorld(9, (10.0, 10.0, 10.0))
        world.offer(50, 3.0)
        world.cut("zone-a", "zone-b")
        world.cut("zone-a", "zone-c")
        world.offer(50, 4.0)
        world.heal()
        world.offer(50, 3.0)
        assert all(world.most(name) <= allowed(10.0) for name in world.endpoints)


class TestLimitThatChanges:
    def test_lower_limit_is_kept_and_a_higher_one_is_used(self):
        world = LimitedWorld(8, (20.0, 20.0, 20.0))
        world.offer(80, 3.0)
        world.limit("plain-0", 1.9)
        fell = world.clock.now()
        world.offer(80, 7.0)
        assert most_in_window(world.arrivals["plain-0"], fell + NOTICE_SECONDS) <= allowed(1.9)
        world.limit("plain-0", 20.0)
        world.offer(80, 3.0)
        before = len(world.arrivals["plain-0"])
        world.offer(80, 3.0)
        assert len(world.arrivals["plain-0"]) - before >= 0.9 * 20.0 * 3.0

    def test_endpoint_that_names_none_any_more_is_used_like_the_others(self):
        world = LimitedWorld(8, (1.9, None, None))
        world.offer(60, 4.0)
        world.limit("plain-0", None)
        world.offer(60, 3.0)
        before = len(world.arrivals["plain-0"])
        world.offer(60, 3.0)
        assert len(world.arrivals["plain-0"]) - before >= 30
        assert not any(each.hub.limits.rates_by_endpoint() for each in world.fronts.values())

    def test_limit_of_an_earlier_start_does_not_bind_the_next(self):
        world = LimitedWorld(8, (1.9, None, None))
        world.offer(60, 3.0)
        world.limit("plain-0", None)
        world.register("plain-0", "records", ZONES[0], born=1_000, sequence=1)
        world.run(1.0)
        assert not any(each.hub.limits.rates_by_endpoint() for each in world.fronts.values())


class TestCallers:
    def test_other_endpoints_take_the_rest(self):
        world = LimitedWorld(8, (0.5, None, None))
        callers = world.offer(60, 6.0)
        world.run(1.0)
        assert {each.status for each in callers} == {200}

    def test_what_is_within_the_limits_is_served(self):
        world = LimitedWorld(8, (10.0, 10.0, 10.0))
        world.offer(20, 2.0)
        callers = world.offer(22, 8.0)
        world.run(1.0)
        assert [each.status for each in callers].count(200) >= 0.98 * len(callers)

    def test_what_is_beyond_is_refused_at_once_with_the_time_to_come_back(self):
        world = LimitedWorld(4, (0.5, 0.5, 0.5))
        world.offer(30, 4.0)
        caller = world.ask("front-0", "/read/x", "GET")
        world.run(0.1)
        assert caller.status == 503
        after = float(caller.headers["retry-after"])
        front = world.fronts["front-0"]
        assert after <= 3 / 0.5
        assert after >= front.hub.permits.wait_seconds(world.endpoints) - 0.1

    def test_urgent_work_goes_first(self):
        routes = configuration()["routes"]
        urgent = {**routes[0], "name": "urgent", "prefix": "/urgent/", "priority": 0}
        later = {**routes[0], "priority": 3}
        world = LimitedWorld(4, (5.0, 5.0, 5.0))
        tenants = [{"name": "desk", "api_keys": ["key-1"]}]
        world.configure_routes(version=2, routes=[urgent, later], tenants=tenants)
        world.run(1.0)
        callers = {"/urgent/x": [], "/read/x": []}
        end = world.clock.now() + 8.0
        while world.clock.now() < end:
            path = world.rng.choice(list(callers))
            callers[path] += world.offer(40, 0.01, path)
        world.run(1.0)
        served = {
            path: [each.status for each in sent].count(200) / len(sent)
            for path, sent in callers.items()
        }
        assert served["/urgent/x"] > 3 * served["/read/x"] > 0

    def test_caller_that_leaves_before_its_turn_is_not_sent(self):
        world = LimitedWorld(1, (10.0,))
        world.offer(40, 3.0)
        # Those that were promised a turn before are sent.
        world.run(0.2)
        for _ in range(40):
            caller = world.ask("front-0", "/read/x", "GET")
            caller.leave()
        world.run(0.02)
        before = len(world.arrivals["plain-0"])
        world.run(1.0)
        assert len(world.arrivals["plain-0"]) == before


class TestWord:
    @pytest.mark.parametrize("fronts", [4, 30])
    def test_processes_that_were_not_told_by_the_endpoint_hear_of_it(self, fronts):
        """Each of many would have sent its first requests without knowing of the limit."""
        world = LimitedWorld(fronts, (1.9,))
        world.finish(world.ask("front-0", "/read/x", "GET"))
        world.run(2.5)
        known = [each.hub.limits.rate_of("plain-0") for each in world.fronts.values()]
        assert known == [1.9] * fronts
