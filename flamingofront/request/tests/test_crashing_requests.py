"""Tests of poison requests, which crash their endpoints, through the completion and service API.

Attempt limits (twelve losses without a token) hold per process, and a job or a keyed call starts
anew in each process that resumes it. Without a quarantine, one completion that was repeated under
new ids crashed all six engines of two zones and their replacements. As on forwarded routes, at most
three sends over all processes are allowed later than three seconds after the third crash.
"""

import pytest

from flamingofront.process.membership import VmState
from flamingofront.tests.crashing_world import CONTACT_SECONDS
from flamingofront.tests.world import demo_world

MAX_LATE_SENDS = 3
RESTART_SECONDS = 3.0
POISON = b"no endpoint survives this"


class CrashingWorld:
    """World with six engines and four plain endpoints in two zones, which crash on the poison."""

    def __init__(self, seed=1):
        self.world = demo_world(
            ("zone-a", "zone-b"),
            engines_per_zone=3,
            plains_per_zone=2,
            entries_per_zone=2,
            seed=seed,
        )
        self.sent_at = []
        self.crashed_at = []
        for name in [*self.world.engines, *self.world.plains]:
            self._install_handler(name)

    def _install_handler(self, name):
        host = self.world.host(name)
        inner = host.handler

        def handle(req, exchange):
            if POISON in req.body or b"poison" in req.body:
                self.sent_at.append(self.world.clock.now())
                host.timers.once(0.05, lambda: self._crash(name))
                if name in self.world.plains:
                    return
            inner(req, exchange)

        host.handler = handle

    def _crash(self, name):
        if self.world.host(name).dead:
            return
        self.crashed_at.append(self.world.clock.now())
        zone = self.world.host(name).zone
        self.world.kill(name)
        self.world.platform.remove_vm(name)
        replacement = f"{name}+"
        start_endpoint = self.world.engine if name in self.world.engines else self.world.plain
        timers = self.world.host("platform").timers

        def restart():
            start_endpoint(replacement, zone)
            self._install_handler(replacement)

        timers.once(RESTART_SECONDS, restart)

    def send_poison(self, mode):
        """Send the poison request, in the form that `mode` names, to a random process."""
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

    def count_late_sends(self):
        """Return the number of sends later than CONTACT_SECONDS after the third crash."""
        if len(self.crashed_at) < 3:
            return 0
        return sum(at > self.crashed_at[2] + CONTACT_SECONDS for at in self.sent_at)


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


class TestRepeatedPoison:
    @pytest.mark.parametrize("mode", MODES)
    def test_request_is_quarantined_after_three_crashes(self, mode):
        crashing = CrashingWorld()
        for _ in range(25):
            crashing.send_poison(mode)
            crashing.world.run(0.4)
        crashing.world.run(5.0)
        assert len(crashing.crashed_at) >= 2
        assert crashing.count_late_sends() <= MAX_LATE_SENDS

    def test_quarantine_outlasts_restart_of_all_processes(self):
        crashing = CrashingWorld()
        for _ in range(6):
            crashing.send_poison("stream")
            crashing.world.run(0.4)
        world = crashing.world
        zones = {name: world.host(name).zone for name in world.nodes}
        for name in zones:
            world.kill(name)
        for name, zone in zones.items():
            world.entry(name, zone)
        world.run(CONTACT_SECONDS)
        crash_count = len(crashing.crashed_at)
        for _ in range(10):
            crashing.send_poison("stream")
            world.run(0.4)
        assert len(crashing.crashed_at) == crash_count

    def test_quarantine_reaches_all_processes_by_push(self):
        """Crashes are reported by push, because the store is polled only every two seconds."""
        crashing = CrashingWorld()
        nodes = crashing.world.nodes.values()
        crashing.send_poison("stream")
        crashing.world.run_until(
            lambda: any(each.hub.guard.quarantine.list_entries() for each in nodes), limit=5.0
        )
        crashing.world.run(0.2)
        assert all(each.hub.guard.quarantine.list_entries() for each in nodes)

    def test_caller_gets_crashes_endpoints_error(self):
        crashing = CrashingWorld()
        for _ in range(6):
            crashing.send_poison("whole")
            crashing.world.run(0.4)
        caller = crashing.send_poison("whole")
        assert caller.done and caller.status == 502
        assert (caller.error["kind"], caller.error["ran"]) == ("crashes_endpoints", "yes")

    def test_job_fails_with_crashes_endpoints_error(self):
        crashing = CrashingWorld()
        caller = crashing.send_poison("async")
        crashing.world.run(20.0)
        later = crashing.world.call(
            next(iter(crashing.world.nodes)), "GET", caller.headers["location"]
        )
        crashing.world.finish(later)
        assert later.error["kind"] == "crashes_endpoints"


class TestRepeatedProcessKills:
    """Guards against late sends when all processes are killed with the request in flight.

    There were 4 to 6 of them in all modes but jobs.
    """

    @pytest.mark.parametrize("mode", MODES)
    @pytest.mark.parametrize(("restarts", "sends"), [(4, 1), (3, 2)])
    def test_late_sends_do_not_grow_with_restarts(self, mode, restarts, sends):
        crashing = CrashingWorld()
        world = crashing.world
        for _ in range(restarts):
            for _ in range(sends):
                crashing.send_poison(mode)
            world.run(0.04)
            for name in list(world.nodes):
                zone = world.host(name).zone
                world.kill(name)
                world.entry(name, zone)
            world.run(6.0)
        for _ in range(20):
            crashing.send_poison(mode)
            world.run(0.5)
        assert crashing.count_late_sends() <= MAX_LATE_SENDS

    def test_request_quarantined_while_recording_is_not_sent(self):
        """Guards against one more send of a job that was quarantined while it waited."""
        crashing = CrashingWorld()
        crashing.send_poison("async")
        crashing.world.run(0.04)
        for name in list(crashing.world.nodes):
            zone = crashing.world.host(name).zone
            crashing.world.kill(name)
            crashing.world.entry(name, zone)
        nodes = crashing.world.nodes.values()
        crashing.world.run_until(
            lambda: any(each.hub.guard.quarantine.list_entries() for each in nodes), limit=10.0
        )
        sent_count = len(crashing.sent_at)
        crashing.world.run(5.0)
        assert len(crashing.sent_at) == sent_count


class TestHarmlessRequests:
    def test_unrelated_engine_crashes_quarantine_nothing(self):
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

    def test_reclaimed_engine_is_not_evidence(self):
        world = demo_world(engines_per_zone=2)
        caller = world.complete("entry-a1", tokens=400)
        world.run(0.5)
        node = world.nodes["entry-a1"]
        engine = node.hub.active[next(iter(node.hub.active))].endpoint_id
        node.set_vm_state(engine, VmState.LEAVING)
        world.run(0.1)
        world.kill(engine)
        world.finish(caller)
        assert not node.hub.guard.quarantine
