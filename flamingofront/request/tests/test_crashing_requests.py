"""Requests that crash their endpoints, through the product's own interface.

The limit on attempts of a completion is twelve losses without a token, in one process, and a job or
a keyed call begins anew wherever it is taken up: one completion that no engine survives ended all
six engines of two zones and those that replaced them, while its caller asked again under new ids.
What is owed is the same as on forwarded routes: three sends at most over all processes, later than
three seconds after its third end.
"""

import pytest

from flamingofront.process.membership import VmState
from flamingofront.tests.crashing_world import CONTACT_SECONDS
from flamingofront.tests.world import demo_world

MAX_SENT_LATE = 3
BACK_SECONDS = 3.0
POISON = b"no endpoint survives this"


class CrashingProduct:
    """Six engines and four plain endpoints of two zones, and what ends them."""

    def __init__(self, seed=1):
        self.world = demo_world(
            ("zone-a", "zone-b"),
            engines_per_zone=3,
            plains_per_zone=2,
            entries_per_zone=2,
            seed=seed,
        )
        self.sent = []
        self.ends = []
        for name in [*self.world.engines, *self.world.plains]:
            self._watch(name)

    def _watch(self, name):
        host = self.world.host(name)
        inner = host.handler

        def handle(req, exchange):
            if POISON in req.body or b"poison" in req.body:
                self.sent.append(self.world.clock.now())
                host.timers.once(0.05, lambda: self._crash(name))
                if name in self.world.plains:
                    return
            inner(req, exchange)

        host.handler = handle

    def _crash(self, name):
        if self.world.host(name).dead:
            return
        self.ends.append(self.world.clock.now())
        zone = self.world.host(name).zone
        self.world.kill(name)
        self.world.platform.remove_vm(name)
        again = f"{name}+"
        start = self.world.engine if name in self.world.engines else self.world.plain
        timers = self.world.host("platform").timers

        def back():
            start(again, zone)
            self._watch(again)

        timers.once(BACK_SECONDS, back)

    def ask(self, mode):
        """Send the request in one of its forms to any process."""
        name = self.world.rng.choice([name for name in self.world.nodes])
        headers = {}
        if "keyed" in mode:
            headers["idempotency-key"] = f"k{self.world.rng.getrandbits(40)}"
        if "async" in mode:
            headers["prefer"] = "respond-async"
        if "plain" in mode:
            path = "/services/records/certificates" if "once" in mode else "/services/records/x"
            return self.world.call(name, "POST", path, POISON, headers)
        stream = "stream" in mode
        return self.world.complete(name, "the poison", stream=stream, headers=headers)

    def sent_late(self):
        """Return the sends later than word of the third end is owed."""
        if len(self.ends) < 3:
            return 0
        return sum(at > self.ends[2] + CONTACT_SECONDS for at in self.sent)


MODES = [
    "stream",
    "whole",
    "keyed",
    "async",
    "keyed async",
    "plain",
    "plain once",
    "plain keyed once",
    "plain async",
]


class TestRepeatedRequest:
    @pytest.mark.parametrize("mode", MODES)
    def test_request_that_ended_three_endpoints_is_hardly_sent_again(self, mode):
        product = CrashingProduct()
        for _ in range(25):
            product.ask(mode)
            product.world.run(0.4)
        product.world.run(5.0)
        assert len(product.ends) >= 2
        assert product.sent_late() <= MAX_SENT_LATE

    def test_all_processes_are_killed_and_start_again(self):
        product = CrashingProduct()
        for _ in range(6):
            product.ask("stream")
            product.world.run(0.4)
        world = product.world
        zones = {name: world.host(name).zone for name in world.nodes}
        for name in zones:
            world.kill(name)
        for name, zone in zones.items():
            world.entry(name, zone)
        world.run(CONTACT_SECONDS)
        ends = len(product.ends)
        for _ in range(10):
            product.ask("stream")
            world.run(0.4)
        assert len(product.ends) == ends

    def test_all_processes_learn_of_it_at_once(self):
        """Word of the ends comes by push; the store is read each two seconds only."""
        product = CrashingProduct()
        nodes = product.world.nodes.values()
        product.ask("stream")
        product.world.run_until(
            lambda: any(each.hub.guard.quarantine.list_entries() for each in nodes), limit=5.0
        )
        product.world.run(0.2)
        assert all(each.hub.guard.quarantine.list_entries() for each in nodes)

    def test_caller_is_told_what_happened(self):
        product = CrashingProduct()
        for _ in range(6):
            product.ask("whole")
            product.world.run(0.4)
        caller = product.ask("whole")
        assert caller.done and caller.status == 502
        assert (caller.error["kind"], caller.error["ran"]) == ("crashes_endpoints", "yes")

    def test_job_ends_with_the_reason_as_its_answer(self):
        product = CrashingProduct()
        caller = product.ask("async")
        product.world.run(20.0)
        later = product.world.call(
            next(iter(product.world.nodes)), "GET", caller.headers["location"]
        )
        product.world.finish(later)
        assert later.error["kind"] == "crashes_endpoints"


class TestSeriesOfKills:
    """Each life ended while the request was on its way: 4 to 6 late sends in all but the jobs."""

    @pytest.mark.parametrize("mode", MODES)
    @pytest.mark.parametrize(("lives", "sends"), [(4, 1), (3, 2)])
    def test_late_sends_do_not_grow_with_the_number_of_lives(self, mode, lives, sends):
        product = CrashingProduct()
        world = product.world
        for _ in range(lives):
            for _ in range(sends):
                product.ask(mode)
            world.run(0.04)
            for name in list(world.nodes):
                zone = world.host(name).zone
                world.kill(name)
                world.entry(name, zone)
            world.run(6.0)
        for _ in range(20):
            product.ask(mode)
            world.run(0.5)
        assert product.sent_late() <= MAX_SENT_LATE

    def test_request_that_is_found_out_while_it_waits_for_its_record_is_not_sent(self):
        """A job went to one more engine after three had ended under it and it was held."""
        product = CrashingProduct()
        product.ask("async")
        product.world.run(0.04)
        for name in list(product.world.nodes):
            zone = product.world.host(name).zone
            product.world.kill(name)
            product.world.entry(name, zone)
        nodes = product.world.nodes.values()
        product.world.run_until(
            lambda: any(each.hub.guard.quarantine.list_entries() for each in nodes), limit=10.0
        )
        sent = len(product.sent)
        product.world.run(5.0)
        assert len(product.sent) == sent


class TestOthers:
    def test_engines_that_end_for_other_reasons_hold_nothing_back(self):
        world = demo_world(("zone-a", "zone-b"), engines_per_zone=4, entries_per_zone=2)
        callers = []
        for turn in range(5):
            for number in range(12):
                name = world.rng.choice(list(world.nodes))
                callers.append(world.complete(name, f"prompt {turn} {number}", tokens=40))
                world.run(0.03)
            world.kill(f"engine-{'ab'[turn % 2]}{turn // 2 + 1}")
            world.run(1.0)
        world.finish(*callers)
        assert not any(each.hub.guard.quarantine.list_entries() for each in world.nodes.values())
        assert all(b"crashes_endpoints" not in each.body for each in callers)

    def test_engine_of_a_reclaimed_vm_is_no_evidence(self):
        world = demo_world(engines_per_zone=2)
        caller = world.complete("entry-a1", tokens=400)
        world.run(0.5)
        node = world.nodes["entry-a1"]
        engine = node.hub.active[next(iter(node.hub.active))].endpoint_id
        node.mark(engine, VmState.LEAVING)
        world.run(0.1)
        world.kill(engine)
        world.finish(caller)
        assert not node.hub.guard.quarantine
