"""Word of endpoints whose rows say that they leave, on its way to each process."""

import pytest

from flamingofront.process.membership import VmState
from flamingofront.tests.busy_world import BusyWorld
from flamingofront.tests.narrow_links import NarrowLinksWorld

# From the store's confirmation that an endpoint leaves until no process sends it anything.
DRAIN_SECONDS = 3.0
ZONES = ("zone-a", "zone-b", "zone-c")
PROCESSES = 60
ENDPOINTS = 16


class LeavingWorld(NarrowLinksWorld):
    """World that notes when each process learns that an endpoint leaves.

    Attributes
    ----------
    left_at : dict
        When the store confirmed that an endpoint leaves.
    heard_after : dict
        Seconds from then until a process knew it, by process and endpoint.
    """

    def __init__(self, seed=1, processes=PROCESSES):
        super().__init__(seed, lambda name: int(name.split("-")[1]) % 8 < 2)
        self.left_at = {}
        self.heard_after = {}
        self.configure_routes()
        for number in range(ENDPOINTS):
            self.endpoint(f"plain-{number}", "records", ZONES[number % len(ZONES)])
        self.endpoint("engine-1", "engines")
        for number in range(processes):
            self.front(f"front-{number}", ZONES[number % len(ZONES)])
        self.run_until(lambda: all(each.ready for each in self.fronts.values()))
        self.run(6.0)

    def leave(self, *endpoints):
        """Let endpoints say in their rows that they leave."""
        for name in endpoints:
            self.register(name, "records", state="draining", sequence=2)
            self.left_at[name] = self.clock.now()

    def watch(self, seconds):
        """Let time pass, and note what processes learn meanwhile."""
        self.run_until(self._note, seconds, must=False)

    def _note(self):
        for endpoint, at in self.left_at.items():
            for name, front in self.fronts.items():
                if (name, endpoint) not in self.heard_after:
                    fact = front.facts.get(endpoint)
                    if fact is not None and fact.state is not VmState.LIVE:
                        self.heard_after[name, endpoint] = self.clock.now() - at
        return False

    def late(self, lost=()):
        """Return processes and endpoints of which they had not heard in time."""
        known = {each for each, seconds in self.heard_after.items() if seconds <= DRAIN_SECONDS}
        due = {(name, endpoint) for name in self.fronts for endpoint in self.left_at}
        return sorted(each for each in due - known if each[0] not in lost)


class TestRelaysCutOff:
    """The others rested on relays that did not know yet that the store was out of reach."""

    @pytest.mark.parametrize("seed", [1, 2, 3, 4])
    def test_endpoints_that_leave_one_after_the_other_are_known_in_time(self, seed):
        world = LeavingWorld(seed)
        # Where the relays stand between two questions to the store differs.
        world.run(0.31 * seed)
        world.store_delay, world.busy_seconds = 0.2, 0.25
        lost = world.relays(ZONES[0])
        for name in lost:
            world.lose(name, "cut")
        for number in range(6):
            world.leave(f"plain-{number}")
            world.watch(0.3)
        world.watch(8.0)
        assert world.late(lost) == []


class TestRelaysWithoutStore:
    """All relays lost the store at once, and the others heard them as before."""

    @pytest.mark.parametrize(
        ("seed", "turn_seconds", "seconds_before"), [(1, 0.0, 1.5), (4, 0.05, 1.0), (6, 0.08, 2.0)]
    )
    def test_departures_are_known_in_time_to_all_that_reach_the_store(
        self, seed, turn_seconds, seconds_before
    ):
        """Guards against a copy that nobody confirms and that is used though its age is known."""
        world = BusyWorld(seed)
        world.make_busy(turn_seconds)
        world.offer(1.5, 50)
        lost = [name for zone in ZONES[:2] for name in world.relays(zone)]
        for name in lost:
            world.lose(name, "cut")
        world.offer(seconds_before, 50)
        world.release(8, 0.5, 50)
        world.offer(4.0, 25)
        assert [each for each in world.late() if each[1] not in lost] == []

    @pytest.mark.parametrize("seed", [1, 2, 3])
    def test_relay_tells_that_it_has_lost_the_store(self, seed):
        """Guards against lost answers that pass for single ones while others are answered."""
        world = BusyWorld(seed)
        world.run(0.3 * seed)
        lost = world.relays(ZONES[0])
        for name in lost:
            world.lose(name, "cut")
        world.run(4.0)
        assert [world.fronts[name].build_report().store_unreachable for name in lost] == [True] * 2
        world.heal()
        world.run(3.0)
        assert not any(world.fronts[name].build_report().store_unreachable for name in lost)

    @pytest.mark.parametrize("seed", [1, 2, 3])
    def test_one_lost_answer_is_no_loss_of_the_store(self, seed):
        """Guards against relays that are left for one lost answer."""
        world = BusyWorld(seed)
        relay = world.relays(ZONES[0])[0]
        reports = []
        world.lose(relay, "cut")
        world.run(0.3)
        world.heal()
        for _ in range(30):
            world.run(0.1)
            reports.append(world.fronts[relay].build_report().store_unreachable)
        assert not any(reports)
