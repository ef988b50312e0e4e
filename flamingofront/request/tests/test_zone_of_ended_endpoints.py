"""Test that crashed endpoints do not make their availability zone count as partitioned.

After eight engines in four zones crashed within 1.3 seconds, processes treated zones as partitioned
30 times in eight seconds and excluded the healthy endpoints there. Refused connections were counted
like unanswered ones, although they show that the VM is reachable.
"""

from flamingofront.tests.forwarding_world import ForwardingWorld


class TestRefusedConnections:
    def test_zone_of_crashed_engines_is_not_partitioned(self):
        world = ForwardingWorld()
        world.configure_routes()
        for number in range(6):
            zone = "zone-b" if number < 3 else "zone-a"
            world.endpoint(f"engine-{number}", "engines", zone)
        world.endpoint("plain-b", "records", "zone-b")
        world.front("front-0", "zone-a")
        world.run_until(lambda: world.fronts["front-0"].ready)
        world.run(3.0)
        for number in range(3):
            world.kill(f"engine-{number}")
        callers = []
        zones = world.fronts["front-0"].directory.zones
        for _ in range(20):
            callers += [world.ask("front-0", "/stream/again/x") for _ in range(4)]
            world.run(0.1)
            assert not zones.is_partitioned("zone-b", world.clock.now())
        world.finish(*callers)
        assert {each.status for each in callers} == {200}
