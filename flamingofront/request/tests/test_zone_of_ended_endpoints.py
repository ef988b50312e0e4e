"""Endpoints that ended, and the availability zone that they stood in.

Eight engines had ended within 1.3 seconds, in all four zones. For eight seconds processes took
whole zones for cut off, with everybody there in hearing, and left the plain endpoints out that
served on there:

    9.340 zone cut off  hraun-1   of_zone=heida-hall  silent=[]
    9.447 zone cut off  hraun-2   of_zone=hafnar-hall silent=[]
    ...                                               30 lines until second 15

A refused connection counted like one that nobody answers. It shows that the VM is reached.
"""

from flamingofront.tests.forwarding_world import ForwardingWorld


class TestRefusedConnections:
    def test_zone_of_engines_that_ended_is_not_taken_for_cut_off(self):
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
