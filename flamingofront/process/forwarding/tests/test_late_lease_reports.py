"""Reports of earlier holders of the leader lease that arrive behind those of the present one."""

from dataclasses import replace

import orjson
import pytest

from flamingofront.process.forwarding.tests.test_lease_fuzz import (
    DURATION,
    Clock,
    NaiveStore,
    Process,
)


class TestLateReports:
    """A process took the lease of a holder that had just renewed it."""

    def setup_method(self):
        self.clock, self.store = Clock(), NaiveStore()
        self.first, self.second, self.third = (
            Process(index, self.store, self.clock) for index in range(3)
        )
        # The first one acquires the lease; the others read its row.
        for process in (self.first, self.first, self.second, self.third):
            process.step(self.store.carry_out(process.call))
        assert self.first.lease.usable_lease().fencing == 1
        self.early_report = self.first.report()
        self.third.lease.observe_report(self.early_report)

    def release_first(self):
        """Let the first process stop and release the lease; return its report of that."""
        release = self.first.lease.release()
        self.clock.time += next(release).seconds
        with pytest.raises(StopIteration):
            release.send(self.store.carry_out(release.send(None)))
        return replace(self.first.report(), released=self.first.lease.released_fencing)

    def test_late_report_of_an_earlier_holder_does_not_end_the_lease_of_the_present_one(self):
        """A late report set the known fencing token back, so that an old release seemed new."""
        released = self.release_first()
        self.second.lease.observe_report(released)
        self.clock.time = self.second.wake_at
        self.second.step(None)
        for _ in range(2):
            self.second.step(self.store.carry_out(self.second.call))
        assert self.second.lease.usable_lease().fencing == 2
        # In a deployment with relays each of these may come by another way.
        for report in (self.second.report(), self.early_report, released):
            self.third.lease.observe_report(report)
        self.clock.time = max(self.clock.time, self.third.wake_at)
        for _ in range(3):
            call = self.third.call
            self.third.step(None if call is None else self.store.carry_out(call))
            assert self.clock.time < DURATION
            holders = [
                each.lease.usable_lease().fencing
                for each in (self.first, self.second, self.third)
                if each.lease.usable_lease() is not None
            ]
            assert holders == [2]


class TestStopDuringAcquisition:
    """A stopping process became holder, so that nobody else could act for a whole lease."""

    def test_row_names_no_stopped_process(self):
        clock, store = Clock(), NaiveStore()
        process = Process(0, store, clock)
        process.step(store.carry_out(process.call))
        acquisition = process.call
        release = process.lease.release()
        assert next(release, None) is None
        process.step(store.carry_out(acquisition))
        while process.call is not None:
            process.step(store.carry_out(process.call))
        assert orjson.loads(store.row.value)["holder"] == ""
        assert process.lease.valid_lease() is None
        assert process.lease.released_fencing == 1
