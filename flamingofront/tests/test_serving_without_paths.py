"""VMs that have lost their network paths to the endpoints, in the simulated network."""

import random
from collections import Counter
from types import SimpleNamespace

import pytest

from flamingofront.process.forwarding.shutdown import GracefulShutdown
from flamingofront.standins.forward_endpoint import ForwardFault
from flamingofront.tests.crashing_world import crashing_world
from flamingofront.tests.network import PathFault
from flamingofront.tests.paths_world import (
    ALL_FAULTS,
    FRONTS,
    cut_off,
    offer,
    offer_for,
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

    @pytest.mark.parametrize("fault", ALL_FAULTS)
    def test_series_of_faults_at_different_vms(self, fault):
        # The next VMs lose their paths as those of the first ones return.
        world = paths_world()
        offer(world, 1.0)
        shares = []
        for cut in (FRONTS[:2], FRONTS[2:4], FRONTS[1:3]):
            start = world.clock.now()
            world.heal()
            cut_off(world, cut, fault)
            sent = offer(world, 5.0)
            shares.append(served_share(sent, cut, start + REACTION_SECONDS))
        assert min(shares) >= 1 - 1 / 50

    @pytest.mark.parametrize("fault", ALL_FAULTS)
    @pytest.mark.parametrize("prefix", ["plain", "engine"])
    def test_paths_to_one_service_only_are_lost(self, prefix, fault):
        # The process reaches other endpoints, so its paths as a whole work.
        world = paths_world()
        offer(world, 1.0)
        start = world.clock.now()
        lost = [name for name in world.endpoints if name.startswith(prefix)]
        world.fail_paths(("front-1",), lost, fault)
        sent = offer(world, 6.0)
        assert served_share(sent, ("front-1",), start + REACTION_SECONDS) >= 1 - 1 / 50
        world.heal()
        world.run(2.0)
        assert not world.fronts["front-1"].hub.paths.monitor.count_lost()

    @pytest.mark.parametrize("fault", [PathFault.REFUSED, PathFault.SILENT, PathFault.NEW_REFUSED])
    def test_paths_to_most_endpoints_of_a_service_are_lost(self, fault):
        # VMs that reached one endpoint of a service sent all they had there, and refused the rest.
        world = paths_world()
        for each in world.endpoints.values():
            each.gap = 0.4  # one endpoint of a service alone has no room for all requests
        offer(world, 1.0)
        start = world.clock.now()
        lost = [name for name in world.endpoints if name not in ("plain-1", "engine-1")]
        world.fail_paths(FRONTS[:4], lost, fault)
        offer_for(world, 3.0)
        runs = {name: len(each.runs) for name, each in world.endpoints.items()}
        sent = offer(world, 6.0)
        assert served_share(sent, FRONTS, start + REACTION_SECONDS) >= 1 - 1 / 50
        added = {name: len(each.runs) - runs[name] for name, each in world.endpoints.items()}
        # Three in four of the endpoints are among those that only one VM reaches directly.
        assert sum(added[name] for name in lost) >= 0.5 * sum(added.values())
        assert max(Counter(runs_of(world, "/write/")).values()) == 1
        world.heal()
        world.run(3.0)
        assert not any(each.hub.paths.monitor.count_lost() for each in world.fronts.values())

    @pytest.mark.parametrize("gap", [None, 0.4], ids=["short", "long"])
    @pytest.mark.parametrize("fault", [PathFault.REFUSED, PathFault.SILENT])
    def test_overlapping_cuts_leave_each_vm_other_endpoints(self, fault, gap):
        # A peer that did not reach one endpoint was not asked for any other.
        world = paths_world()
        for each in world.endpoints.values():
            # With long answers, the endpoints that a VM reaches have no room for all its requests.
            each.gap = gap or each.gap
        offer(world, 1.0)
        start = world.clock.now()
        names = sorted(world.endpoints)
        for number, front in enumerate(FRONTS):
            kept = {names[number % 4], names[4 + (number + 1) % 4]}
            world.fail_paths((front,), [each for each in names if each not in kept], fault)
        sent = offer(world, 8.0)
        assert served_share(sent, FRONTS, start + REACTION_SECONDS) >= 1 - 1 / 50
        assert max(Counter(runs_of(world, "/write/")).values()) == 1

    @pytest.mark.parametrize("gap", [None, 0.4], ids=["short", "long"])
    @pytest.mark.parametrize("seed", [1, 2, 3])
    def test_each_endpoint_is_reached_by_one_vm_only(self, seed, gap):
        # Requests went again and again to endpoints whose connections this VM had just refused.
        rng = random.Random(seed)
        world = paths_world(fronts=7, engines=10, plains=5)
        for each in world.endpoints.values():
            each.gap = gap or each.gap
        offer(world, 1.0)
        names, fronts = sorted(world.endpoints), sorted(world.fronts)
        keeps = {name: rng.choice(fronts) for name in names}
        for _ in range(3):
            for front in rng.sample(fronts, 5):
                lost = [each for each in names if keeps[each] != front]
                world.fail_paths((front,), lost, PathFault.REFUSED)
            offer_for(world, 1.0)
        for front in fronts:
            lost = [each for each in names if keeps[each] != front]
            world.fail_paths((front,), lost, PathFault.REFUSED)
        start = world.clock.now()
        sent = offer(world, 8.0)
        assert served_share(sent, fronts, start + REACTION_SECONDS) >= 1 - 1 / 50
        assert max(Counter(runs_of(world, "/write/")).values()) == 1

    def test_most_processes_among_many_lose_their_paths(self):
        # With more than 17 processes, a process hears of the others only through relays.
        world = paths_world(fronts=20)
        cut = tuple(world.fronts)[:15]
        offer(world, 0.5)
        start = world.clock.now()
        cut_off(world, cut, PathFault.REFUSED)
        sent = offer(world, 5.0)
        assert served_share(sent, cut, start + REACTION_SECONDS) >= 1 - 1 / 50
        assert served_share(sent, set(world.fronts) - set(cut), start + REACTION_SECONDS) == 1.0

    def test_process_that_starts_without_any_path(self):
        # It has never reached an endpoint, so nothing it knows tells it that they work.
        world = paths_world()
        world.path_faults.update({("front-6", name): PathFault.SILENT for name in world.endpoints})
        node = world.front("front-6")
        world.run_until(lambda: node.ready)
        start = world.clock.now()
        sent = offer(world, 5.0)
        assert served_share(sent, ("front-6",), start + REACTION_SECONDS) == 1.0

    @pytest.mark.parametrize("way", ["kill", "pause"])
    def test_peer_that_proxies_is_lost(self, way):
        world = paths_world()
        offer(world, 1.0)
        cut_off(world, ("front-1",), PathFault.SILENT)
        offer(world, 1.0)
        world.lose("front-2", way)
        start = world.clock.now()
        sent = [each for each in offer(world, 5.0) if each[0] != "front-2"]
        assert served_share(sent, ("front-1",), start + REACTION_SECONDS) >= 1 - 1 / 50
        assert max(Counter(runs_of(world, "/write/")).values()) == 1

    def test_streams_that_received_data_just_before_are_resumed(self):
        # Paths were found to be lost within milliseconds, and nobody looked at open streams again.
        world = paths_world()
        world.run(10.0)  # a new process has a smaller retry budget
        for each in world.endpoints.values():
            each.events, each.gap = 30, 0.05
        callers = [world.ask("front-1", "/stream/again/1") for _ in range(4)]
        world.run(0.4)
        cut_off(world, ("front-1",), PathFault.HANGING)
        world.ask("front-1", "/write/1")
        start = world.clock.now()
        world.finish(*callers)
        assert all(each.status == 200 and not each.broken for each in callers)
        assert world.clock.now() - start < 3.0


class TestOpenConnections:
    @pytest.mark.parametrize(
        "fault", [PathFault.NEW_REFUSED, PathFault.NEW_SILENT], ids=["refused", "silent"]
    )
    def test_open_connections_are_used_where_nobody_opens_new_ones(self, fault):
        # Idle connections that worked were closed, and requests refused.
        world = paths_world()
        offer(world, 1.0)
        cut_off(world, FRONTS, fault)
        offer_for(world, 3.0)
        runs = len(runs_of(world, "/"))
        start = world.clock.now()
        sent = offer(world, 6.0)
        assert served_share(sent, FRONTS, start) >= 1 - 1 / 50
        assert len(runs_of(world, "/")) - runs >= 0.9 * len(sent)
        assert max(Counter(runs_of(world, "/write/")).values()) == 1

    @pytest.mark.parametrize("prefix", ["engine", "plain"])
    @pytest.mark.parametrize(
        "fault", [PathFault.NEW_REFUSED, PathFault.NEW_SILENT], ids=["refused", "silent"]
    )
    @pytest.mark.parametrize("seed", [1, 2, 3])
    def test_open_connections_to_one_service_are_used(self, prefix, fault, seed):
        # Other services were reached, so that paths counted as working while attempts were refused.
        world = paths_world(seed=seed)
        offer(world, 1.0)
        world.fail_paths(
            FRONTS, [each for each in world.endpoints if each.startswith(prefix)], fault
        )
        offer_for(world, 3.0)
        start = world.clock.now()
        sent = offer(world, 6.0)
        assert served_share(sent, FRONTS, start) >= 1 - 1 / 50
        assert max(Counter(runs_of(world, "/write/")).values()) == 1

    def test_open_connections_that_are_silent_are_not_used(self):
        # Each request on one would wait until it moves to a peer, also once new ones are refused.
        world = paths_world()
        offer(world, 1.0)
        cut_off(world, FRONTS[:2], PathFault.HANGING)
        offer_for(world, 1.0)
        addresses = {world.host(each).address for each in world.endpoints}
        assert not [each for each in world.idle if each[0] in FRONTS[:2] and each[1] in addresses]
        start = world.clock.now()
        sent = offer(world, 4.0)
        assert served_share(sent, FRONTS[:2], start) >= 1 - 1 / 50


class TestNoPathAnywhere:
    def test_requests_are_refused_at_once(self):
        # Nobody reaches an endpoint: a true refusal, not a deadline that passes.
        world = paths_world()
        offer(world, 1.0)
        cut_off(world, FRONTS, PathFault.SILENT)
        offer(world, 1.0)
        runs = len(runs_of(world, "/"))
        caller = world.ask("front-1", "/write/1")
        seconds = world.run_until(lambda: caller.done)
        assert caller.status == 503 and caller.error["ran"] == "no"
        assert float(caller.headers["retry-after"]) > 0
        assert seconds < 0.1
        assert len(runs_of(world, "/")) == runs

    def test_attempts_do_not_circulate(self):
        world = paths_world(fronts=2)
        offer(world, 1.0)
        cut_off(world, ("front-1", "front-2"), PathFault.REFUSED)
        offer(world, 3.0)
        sent = [
            node.metrics.value("proxied_attempts_total", role="sender")
            for node in world.fronts.values()
        ]
        proxied = [
            node.metrics.value("proxied_attempts_total", role="proxy")
            for node in world.fronts.values()
        ]
        # Within the first check of its paths a process may try for its peer.
        assert sum(proxied) <= 4
        assert max(sent) <= 10


class TestProxiedAttempts:
    def proxied_world(self, fault=PathFault.SILENT):
        world = paths_world()
        offer(world, 0.5)
        cut_off(world, ("front-1",), fault)
        offer(world, 1.0)
        return world

    def test_caller_that_leaves_ends_the_work_at_the_endpoint(self):
        world = self.proxied_world()
        for each in world.endpoints.values():
            each.gap = 0.5
        caller = world.ask("front-1", "/stream/once/1")
        world.run(0.3)
        caller.leave()
        world.run(0.1)
        assert sum(each.abandoned for each in world.endpoints.values()) == 1
        assert sum(node.proxy.count_active() for node in world.fronts.values()) == 0

    def test_broken_stream_is_visibly_broken(self):
        world = self.proxied_world()
        for each in world.endpoints.values():
            each.inject_fault(ForwardFault.CUT)
        caller = world.ask("front-1", "/stream/once/1")
        world.finish(caller)
        assert caller.broken

    def test_write_is_not_sent_again_after_its_peer_is_killed(self):
        # Whether the endpoint ran it is not known, so its caller gets 502 and not 503.
        world = self.proxied_world()
        for each in world.endpoints.values():
            each.gap = 0.5
        caller = world.ask("front-1", "/write/7")
        world.run(0.1)
        peers = [name for name, node in world.fronts.items() if node.proxy.count_active()]
        world.kill(peers[0])
        world.finish(caller)
        assert caller.status == 502
        assert len(runs_of(world, "/write/7")) == 1

    def test_proxy_logs_the_id_of_the_request(self):
        # On-call follows a request by one id through the logs of both processes.
        world = self.proxied_world()
        lines = []
        for node in world.fronts.values():
            node.log.info = lambda event, **fields: lines.append((event, fields.get("request")))
        caller = world.ask("front-1", "/write/9", X_Flamingofront_Request_Id="r-traced")
        world.finish(caller)
        world.run(0.1)
        ended = [request for event, request in lines if event == "proxied attempt ended"]
        assert len(ended) == 1 and ended[0].startswith("r-traced#")

    def test_stopping_process_finishes_what_it_proxies(self):
        world = self.proxied_world()
        for each in world.endpoints.values():
            each.gap = 1.0
        caller = world.ask("front-1", "/write/1")
        world.run(0.1)
        name = next(name for name, node in world.fronts.items() if node.proxy.count_active())
        exits = []
        callers = SimpleNamespace(closing=False, connections=0, close_idle=lambda: 0)
        GracefulShutdown(
            world.fronts[name], callers, 8.0, lambda: exits.append(world.clock.now())
        ).begin()
        start = world.clock.now()
        world.run_until(lambda: bool(exits))
        assert caller.status == 200
        assert exits[0] - start < 3.5


class TestWorkingPaths:
    def test_endpoint_that_is_silent_for_a_second_is_used_again(self):
        # A sound endpoint pauses for 1.2 s: nothing is cut off and nothing runs twice.
        world = paths_world()
        offer(world, 0.5)
        world.pause("plain-1")
        start = world.clock.now()
        sent = offer_for(world, 1.2)
        world.resume("plain-1")
        sent += offer(world, 2.0)
        assert served_share(sent, FRONTS, start) == 1.0
        assert max(Counter(runs_of(world, "/write/")).values()) == 1
        assert all(not node.hub.paths.monitor.count_lost() for node in world.fronts.values())

    @pytest.mark.parametrize("prefix", ["plain", "engine"])
    def test_service_without_endpoints_is_no_lost_path(self, prefix):
        world = paths_world()
        for name in list(world.endpoints):
            if name.startswith(prefix):
                world.kill(name, dark=True)
        offer(world, 3.0)
        assert all(not node.hub.paths.monitor.count_lost() for node in world.fronts.values())
        assert all(
            not node.metrics.value("proxied_attempts_total", role="sender") > 20
            for node in world.fronts.values()
        )


class LostForAll(dict):
    """Faulty paths from some entry processes to all endpoints, also those that start later."""

    def __init__(self, fronts, fault):
        super().__init__()
        self._fronts, self._fault = fronts, fault

    def get(self, pair, default=None):
        is_endpoint = pair[1].startswith(("engine", "plain"))
        return self._fault if pair[0] in self._fronts and is_endpoint else default


class TestRulesThatSpanProcesses:
    @pytest.mark.parametrize("path", ["/stream/again/x", "/write/x"])
    @pytest.mark.parametrize("fault", [PathFault.SILENT, PathFault.REFUSED])
    def test_requests_that_crash_endpoints_are_quarantined(self, fault, path):
        # A probe from a VM without paths says "refused" of each endpoint, crashed or not.
        world = crashing_world(fronts=6, engines=9, plains=8)
        world.path_faults = LostForAll(("front-0", "front-1"), fault)
        world.poison.add(b"poison")
        harmless = []
        for turn in range(150):
            if turn % 3 == 0:
                world.ask_one(path, b"poison")
            harmless.append(world.ask_one("/read/x", b"prompt %d" % turn))
            harmless.append(world.ask_one("/stream/again/x", b"prompt %d" % turn))
            world.run(0.1)
        assert len(world.ends_under(b"poison")) >= 3
        assert world.sent_late(b"poison") <= 3
        assert not any(b"crashes_endpoints" in each.body for each in harmless)

    def test_usage_is_counted_once(self):
        world = paths_world()
        offer(world, 0.5)
        cut_off(world, ("front-1",), PathFault.SILENT)
        offer(world, 1.0)
        before = len(runs_of(world, "/"))
        counted = Counter()
        for node in world.fronts.values():
            node.usage.count_started = lambda workspace, at: counted.update([workspace])
        sent = [world.ask("front-1", "/read/1") for _ in range(20)]
        world.finish(*sent)
        assert len(runs_of(world, "/")) - before == counted["desk"] == 20


class TestSinglePaths:
    def test_refused_path_is_no_crash_of_the_endpoint(self):
        # Requests on a path that was reset were quarantined as if they had crashed endpoints.
        world = paths_world()
        offer(world, 0.5)
        for name in ("plain-1", "plain-2", "plain-3", "plain-4"):
            for each in world.endpoints.values():
                each.gap = 0.3
            callers = [world.ask("front-1", "/read/same") for _ in range(8)]
            world.run(0.1)
            world.fail_paths(("front-1",), (name,), PathFault.REFUSED)
            world.finish(*callers)
            world.run(1.0)
            world.heal()
            world.run(2.0)
        again = [world.ask(front, "/read/same") for front in FRONTS for _ in range(4)]
        world.finish(*again)
        assert {each.status for each in again} == {200}
        nodes = world.fronts.values()
        assert not any(node.hub.guard.quarantine.list_entries() for node in nodes)
        assert not any(node.metrics.value("endpoint_ends_total") for node in nodes)
