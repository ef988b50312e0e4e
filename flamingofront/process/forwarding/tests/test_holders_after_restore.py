"""Several holders of the leader lease in turn, after the store was restored from a snapshot.

What a holder learns of a restore has to reach its successors: a holder that ended before it had
acted took it with it, and the next one reported windows again that earlier holders had reported.
"""

import random
from dataclasses import replace

import pytest

from flamingofront.process.forwarding.duty import TAKEOVER_MARGIN_SECONDS
from flamingofront.process.forwarding.lease_row import (
    LEADER_KEY,
    LEADER_PARTITION,
    LEADER_TABLE,
)
from flamingofront.process.forwarding.tests.test_duties import (
    assert_one_holder_at_a_time,
    cloud_calls,
    reported_usage,
)
from flamingofront.process.forwarding.tests.test_restored_store import restore
from flamingofront.standins.table_store import StoreFault
from flamingofront.tests.forwarding_world import RULES, ready_world

# Requests that run for longer than a window are counted, after its end, in the window of their
# start, so that a second report of a window differs from the first one.
WORK_SECONDS = 3.0
DUE_SECONDS = 12.0
# A restart of the holder until its successor has been stopped too takes some seconds.
RESTART_SECONDS = 2.0
LONG_LEASE_SECONDS = 8.0


class RestoredDuties:
    """A deployment whose holders of the lease end one after the other."""

    def __init__(self, seed=1, fronts=4, lease_seconds=RULES.lease_seconds):
        self.rng = random.Random(seed)
        self.rules = replace(RULES, lease_seconds=lease_seconds)
        self.world = ready_world(fronts=fronts, plains=4, seed=seed, rules=self.rules)
        for name, each in self.world.endpoints.items():
            if name.startswith("plain"):
                each.gap = WORK_SECONDS
        self.run(16.0)

    def run(self, seconds):
        """Let some seconds pass, with six requests a second."""
        end = self.world.clock.now() + seconds
        while self.world.clock.now() < end:
            running = [
                name
                for name in self.list_live()
                if not self.world.fronts[name].stopping and self.world.fronts[name].ready
            ]
            if running:
                name = self.rng.choice(running)
                self.world.ask(name, "/read/x", X_Flamingofront_Deadline_Ms="4000")
            self.world.run(1.0 / 6.0)

    def list_live(self):
        """Return the VMs whose process runs."""
        return [name for name in self.world.fronts if not self.world.host(name).dead]

    def find_holder(self):
        """Return the VM that holds the lease; None if there is none."""
        for name in self.list_live():
            if self.world.fronts[name].lease.valid_lease() is not None:
                return name
        return None

    def run_until_held(self, limit=12.0):
        end = self.world.clock.now() + limit
        while self.find_holder() is None and self.world.clock.now() < end:
            self.run(0.1)
        return self.find_holder()

    def run_until(self, condition, limit=20.0):
        end = self.world.clock.now() + limit
        while not condition():
            assert self.world.clock.now() < end
            self.run(0.1)

    def end_holder(self, way, restart_after=RESTART_SECONDS):
        """Stop the holder, or kill it, and start it again later."""
        name = self.run_until_held()
        if name is None:
            return
        node = self.world.fronts[name]
        if way == "stop":
            node.stopping = True
            node.tasks.start(node.lease.release())
            node.peers.broadcast_report()
            self.run(1.5)
        self.world.kill(name)
        if restart_after is not None:
            timers = self.world.host("store").timers
            timers.once(restart_after, lambda: self.start(name))

    def start(self, name):
        """Start an entry process again."""
        self.world.front(name, rules=self.rules, first_start=False)

    def restore_while_holder_ends(self, age, way="kill", restart_after=RESTART_SECONDS):
        """Restore the store to a snapshot; the holder before ends while the store is away."""
        self.world.store.fault = StoreFault.RESET
        self.run(0.2)
        self.end_holder(way, restart_after)
        restore(self.world, age, outage=0.2)

    def check(self):
        """Check that no window has two counts and that each token belongs to one holder."""
        reported_usage(self.world)
        assert_one_holder_at_a_time(self.world)
        holders = {}
        for each in self.world.store.leader_calls:
            assert holders.setdefault(each.fencing, each.holder) == each.holder

    def last_window(self):
        """Return the newest window that was reported."""
        return max(each.body["window_id"] for each in cloud_calls(self.world, "/usage"))


class TestHoldersInTurn:
    @pytest.mark.parametrize("way", ["stop", "kill"])
    @pytest.mark.parametrize("holders", [1, 2, 3])
    @pytest.mark.parametrize("age", [4.0, 8.0])
    def test_windows_lost_in_a_restore_are_not_reported_by_later_holders(self, age, holders, way):
        """The second holder after a restore reported a window again, with another count."""
        duties = RestoredDuties()
        duties.restore_while_holder_ends(age, way)
        for _ in range(holders):
            duties.end_holder(way)
        duties.run(DUE_SECONDS)
        duties.check()
        now = duties.world.fronts["front-1"].usage.window_at(duties.world.clock.now())
        assert duties.last_window() >= now - 3

    @pytest.mark.parametrize("age", [6.0, 10.0])
    def test_restore_while_nobody_holds_the_lease(self, age):
        """Nobody saw the restore as holder, and the first one after it ended at once."""
        duties = RestoredDuties()
        duties.world.kill(duties.find_holder())
        duties.run(1.0)
        restore(duties.world, age)
        assert duties.find_holder() is None
        duties.end_holder("kill")
        duties.run(DUE_SECONDS)
        duties.check()

    def test_snapshot_older_than_the_lease(self):
        """The row of the lease is missing in the snapshot, as if there had been no holder."""
        duties = RestoredDuties()
        duties.end_holder("kill")
        restore(duties.world, 1000.0)
        for each in ("stop", "kill"):
            duties.end_holder(each)
        duties.run(DUE_SECONDS)
        duties.check()

    def test_process_that_knows_nothing_of_the_restored_holder_uses_another_token(self):
        """Two restores within seconds led two holders to the same fencing token."""
        duties = RestoredDuties()
        for _ in range(3):
            last = duties.find_holder()
            for name in duties.list_live():
                duties.world.kill(name)
            # Older than the lease that was acquired since the restore before.
            restore(duties.world, 12.0)
            for name in list(duties.world.fronts):
                if name != last:
                    duties.start(name)
            assert duties.run_until_held()
            duties.run(4.0)
        duties.run(DUE_SECONDS)
        duties.check()

    def test_holder_that_the_snapshot_lacks_waits_as_if_it_were_known(self):
        """A VM acted, another one, and the first one again, within the duration of a lease.

        The restore had taken the first one out of the previous holders that the row lists.
        """
        duties = RestoredDuties(lease_seconds=LONG_LEASE_SECONDS)
        duties.end_holder("stop")
        duties.run_until_held()
        lost = duties.find_holder()
        duties.run(1.0)
        duties.restore_while_holder_ends(5.0, "stop", restart_after=None)
        duties.end_holder("stop", restart_after=None)
        duties.run_until(lambda: duties.find_holder() is not None)
        duties.start(lost)
        duties.run(0.5)
        for name in duties.list_live():
            if name not in (lost, duties.find_holder()):
                duties.world.kill(name)
        duties.end_holder("stop", restart_after=None)
        duties.run(DUE_SECONDS)
        assert_one_holder_at_a_time(duties.world, LONG_LEASE_SECONDS)

    @pytest.mark.parametrize("seed", range(10))
    def test_restores_amid_any_series_of_holders(self, seed):
        duties = RestoredDuties(seed)
        for _ in range(4):
            for _ in range(duties.rng.randrange(3)):
                duties.end_holder(duties.rng.choice(("stop", "kill")))
                duties.run(2.0 * duties.rng.random())
            if duties.rng.random() < 0.3:
                for name in duties.list_live():
                    duties.world.kill(name)
                    again = duties.world.host("store").timers
                    again.once(1.0, lambda name=name: duties.start(name))
            age = 10.0 * duties.rng.random()
            if duties.rng.random() < 0.5:
                duties.restore_while_holder_ends(age, duties.rng.choice(("stop", "kill")))
            else:
                restore(duties.world, age, 2.0 * duties.rng.random(), duties.rng)
        duties.run(DUE_SECONDS)
        duties.check()
        assert duties.world.store.leader_calls[-1].at > duties.world.clock.now() - 6.0


class TestStoredRestore:
    def test_row_holds_what_the_next_holder_needs(self):
        """The lease row is all that outlasts its holder."""
        duties = RestoredDuties()
        duties.world.kill(duties.find_holder())
        restore(duties.world, 6.0)
        duties.run_until_held()
        row = duties.world.store.get_value(LEADER_TABLE, LEADER_KEY, LEADER_PARTITION)
        window = duties.world.fronts["front-1"].usage.window_at(duties.world.clock.now())
        assert window - 1 <= row["reports_from"] <= window
        assert row["holders_unknown"] is True
        duties.run(3.5)
        row = duties.world.store.get_value(LEADER_TABLE, LEADER_KEY, LEADER_PARTITION)
        assert row["holders_unknown"] is True
        duties.run(1.5 + TAKEOVER_MARGIN_SECONDS)
        row = duties.world.store.get_value(LEADER_TABLE, LEADER_KEY, LEADER_PARTITION)
        assert row["holders_unknown"] is False
