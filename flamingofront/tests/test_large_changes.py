"""Large changes of the configuration over links that they fill for a second."""

import pytest

from flamingofront.platform.config import CONFIG_KEY, CONFIG_TABLE
from flamingofront.tests.narrow_links import (
    LARGE_CHANGE_ROUTES,
    NarrowLinksWorld,
    with_more_routes,
)

# From the store's confirmation of a change until it is in force at each process.
APPLY_SECONDS = 3.0
ZONES = ("zone-a", "zone-b")
PROCESSES = 24


def started_world(wide=0, seed=1, processes=PROCESSES):
    """Return a world in which `wide` of eight processes have one of the larger links."""
    world = NarrowLinksWorld(seed, lambda name: int(name.split("-")[1]) % 8 < wide)
    world.configure_routes()
    for number in range(4):
        world.endpoint(f"plain-{number}", "records", ZONES[number % 2])
    world.endpoint("engine-1", "engines")
    for number in range(processes):
        world.front(f"front-{number}", ZONES[number % 2])
    world.run_until(lambda: all(each.ready for each in world.fronts.values()))
    world.run(6.0)
    return world


def change(world, version, routes):
    """Let the operator write a configuration with more routes; return when it was confirmed."""
    world.store.put(CONFIG_TABLE, CONFIG_KEY, with_more_routes(version, routes))
    return world.clock.now()


def late(world, version, confirmed_at):
    """Return the processes that had neither a version nor a later one in force in time."""
    due = confirmed_at + APPLY_SECONDS
    return sorted(
        name
        for name, times in world.in_force.items()
        if not world.host(name).dead
        and not any(each >= version and at <= due for each, at in times.items())
    )


class TestLargeChanges:
    @pytest.mark.parametrize("wide", [0, 2])
    @pytest.mark.parametrize("store_delay", [0.0, 0.08])
    def test_large_change_and_a_small_one_behind_it_are_in_force_in_time(self, wide, store_delay):
        """Reads were given up by the second and begun again, so that some never came to an end."""
        world = started_world(wide)
        world.store_delay = store_delay
        first = change(world, 2, LARGE_CHANGE_ROUTES)
        world.run(1.0)
        second = change(world, 3, LARGE_CHANGE_ROUTES + 1)
        world.run(6.0)
        assert (late(world, 2, first), late(world, 3, second)) == ([], [])

    def test_two_large_changes_in_a_row_are_in_force_in_time(self):
        world = started_world(wide=2)
        first = change(world, 2, LARGE_CHANGE_ROUTES)
        world.run(0.5)
        second = change(world, 3, 2 * LARGE_CHANGE_ROUTES)
        world.run(6.0)
        assert (late(world, 2, first), late(world, 3, second)) == ([], [])

    @pytest.mark.parametrize("phase", [0.0, 0.9, 1.8, 2.7])
    def test_process_that_nobody_can_help_reads_a_large_change_over_a_small_link(self, phase):
        """Its reads were given up by the second: a change that took longer never came."""
        world = started_world(processes=1)
        # A call that has waited for a change has less time left for it.
        world.run(phase)
        confirmed = change(world, 2, 2 * LARGE_CHANGE_ROUTES)
        world.run(4.0)
        assert late(world, 2, confirmed) == []

    @pytest.mark.parametrize("way", ["kill", "pause", "cut"])
    def test_change_is_in_force_in_time_though_the_relays_of_a_zone_are_lost(self, way):
        """The others rest on them, and have to find another way while the change spreads."""
        world = started_world(wide=2)
        confirmed = change(world, 2, LARGE_CHANGE_ROUTES)
        world.run(0.01)
        relays = world.relays(ZONES[0])
        for name in relays:
            world.lose(name, way)
        world.run(6.0)
        assert set(late(world, 2, confirmed)) <= set(relays)

    @pytest.mark.parametrize(("frozen_after", "seed"), [(0.5, 2), (0.9, 1), (0.9, 2)])
    def test_relays_freeze_while_a_change_spreads_over_small_links(self, frozen_after, seed):
        """The others waited for new relays, and for these to read it over a small link."""
        world = started_world(wide=0, seed=seed)
        # Where the relays stand between two questions to the store differs.
        world.run(0.37 * seed)
        world.store_delay = 0.08
        first = change(world, 2, LARGE_CHANGE_ROUTES)
        world.run(frozen_after)
        relays = world.relays(ZONES[0])
        for name in relays:
            world.pause(name)
        second = change(world, 3, LARGE_CHANGE_ROUTES + 1)
        world.run(8.0)
        behind = {*late(world, 2, first), *late(world, 3, second)}
        assert behind <= set(relays)

    @pytest.mark.parametrize("processes", [60, 120])
    def test_large_change_reaches_zones_of_many_processes_over_small_links(self, processes):
        """One relay sent copies to all of its zone at once, and all of them arrived late."""
        world = started_world(processes=processes)
        world.store_delay = 0.2
        confirmed = change(world, 2, LARGE_CHANGE_ROUTES)
        world.run(4.0)
        assert late(world, 2, confirmed) == []

    def test_large_change_is_not_read_by_each_process_again_later(self):
        """The age of knowledge grew while the change was read, until each looked for itself."""
        world = started_world()
        change(world, 2, LARGE_CHANGE_ROUTES)
        world.run(4.0)
        before = sum(world.bytes_of("in").values())
        world.run(8.0)
        # Reports and digests alone.
        assert sum(world.bytes_of("in").values()) - before < 200_000 * PROCESSES
