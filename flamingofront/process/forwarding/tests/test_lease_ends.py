"""Each way in which a lease ends, in series, while calls of its holder are on their way.

A call arrives up to a second after it was written, whatever has become of its sender.
"""

import random

import pytest

from flamingofront.process.forwarding.tests.lease_model import LeasePlay, StoreDelays, is_write

# Longer than the longest wait of a successor.
LONG_SECONDS = 15.0


class SeriesOfEnds:
    """A play whose holders end one after the other, with a slow and lossy store."""

    RESTARTS = (0.05, 0.3, 1.0, 3.0, 8.0)

    def __init__(self, seed, late=0.1):
        self.rng = random.Random(seed)
        self.late = late
        self.play = LeasePlay(seed, vms=4, killed_delivery_seconds=0.0)
        self.play.draw_delays = self._draw_delays
        self.play.draw_report_delay = lambda: self.rng.choice((0.05, 0.05, 0.05, 0.3, 1.5, None))
        self._cut_until = {}
        self.play.run(5.0)

    def _draw_delays(self, process):
        if self._cut_until.get(process, 0.0) > self.play.time:
            return StoreDelays(request=None)
        if self.rng.random() < self.late:
            return StoreDelays(6.0 * self.rng.random(), self.rng.choice((None, 0.0, 0.5)))
        if self.rng.random() < self.late:
            return StoreDelays(response=None)
        return StoreDelays(self.rng.choice((0.0, 0.05, 0.2)), self.rng.choice((0.0, 0.05, 0.3)))

    def end(self, way):
        """Let the holder end, or another process if there is none."""
        rng, play = self.rng, self.play
        others = play.live()
        if not others:
            return
        process = play.holder() if rng.random() < 0.75 else None
        process = process or rng.choice(others)
        if way == "kill":
            play.kill(process, rng.choice(self.RESTARTS))
        elif way == "stop":
            play.stop(process, rng.choice(self.RESTARTS))
        elif way == "stop and kill":
            play.stop(process, rng.choice(self.RESTARTS), grace=rng.choice((0.1, 1.0, 1.15)))
        elif way == "freeze":
            play.freeze(process, rng.choice((0.3, 1.0, 2.0, 3.0, 5.0, 8.0)))
        elif way == "cut":
            self._cut_until[process] = play.time + rng.choice((1.0, 2.0, 4.0, 7.0))
        else:
            play.restore(rng.choice((0.3, 1.0, 2.0, 4.0, 7.0)))

    def run(self, ways, ends=12):
        """Play a series of ends; return what must not have arrived."""
        for _ in range(ends):
            self.end(self.rng.choice(ways))
            self.play.run(self.rng.choice((0.05, 0.3, 1.0, 2.0, 3.2, 4.5, 6.0)))
        self.play.run(LONG_SECONDS)
        return self.play.breaches()


WAYS = ("kill", "stop", "stop and kill", "freeze", "cut", "restore")


class TestSeriesOfEnds:
    @pytest.mark.parametrize("seed", range(12))
    def test_calls_arrive_in_the_order_of_their_holders(self, seed):
        assert SeriesOfEnds(seed).run(WAYS) == []

    @pytest.mark.parametrize("way", WAYS)
    def test_series_of_one_way(self, way):
        assert SeriesOfEnds(1, late=0.0).run((way,)) == []

    def test_lease_is_held_again_after_a_series(self):
        series = SeriesOfEnds(3, late=0.0)
        series.run(WAYS)
        assert series.play.holder() is not None
        assert series.play.arrivals[-1].at > series.play.time - 1.0

    @pytest.mark.parametrize("way", ["freeze", "stop"])
    def test_model_notices_calls_that_are_sent_unchecked(self, way):
        """The model, not the lease: a client that does not ask before it writes breaks the rule."""
        play = LeasePlay(must_ask=False)
        play.run(5.0)
        if way == "freeze":
            play.freeze(play.holder(), 6.0)
        else:
            play.stop(play.holder())
        play.run(LONG_SECONDS)
        assert play.breaches()


class TestRestoredStore:
    """ONE: a holder whose lease a restore removed had a call on its way beside the next one's."""

    def setup_method(self):
        self.play = LeasePlay(killed_delivery_seconds=0.0)
        self.cut_off = set()
        self.play.draw_delays = lambda process: StoreDelays(
            request=None if process in self.cut_off else 0.0
        )
        self.play.run(6.0)

    def wait_for_renewal(self):
        """Run until the holder has just renewed its lease; return it."""
        holder = self.play.holder()
        before = holder.lease.valid_lease().valid_until
        self.play.run_until(lambda: holder.lease.valid_lease().valid_until != before)
        return holder

    def other(self, *processes):
        return next(each for each in self.play.live() if each not in processes)

    @pytest.mark.parametrize("restart_after", [0.05, 0.1, 0.5])
    def test_row_without_a_holder_is_restored(self, restart_after):
        holder = self.wait_for_renewal()
        self.cut_off.add(holder)
        self.play.restore(100.0)
        self.play.kill(self.other(holder), restart_after)
        self.play.run(LONG_SECONDS)
        assert len({each.fencing for each in self.play.arrivals}) == 2
        assert self.play.breaches() == []

    @pytest.mark.parametrize("restart_after", [0.05, 0.1, 0.5])
    def test_row_of_an_earlier_holder_is_restored(self, restart_after):
        """Its VM takes the lease to be that of its own process, which has ended."""
        first = self.play.holder()
        self.play.stop(first, 4.0)
        is_next = lambda: self.play.holder() not in (None, first)  # noqa: E731
        self.play.run_until(is_next)
        acquired_at = self.play.time
        self.play.run(5.0)
        holder = self.wait_for_renewal()
        self.cut_off.add(holder)
        self.play.restore(self.play.time - acquired_at + 1.6)
        again = next(each for each in self.play.live() if each.vm == first.vm)
        self.play.kill(again, restart_after)
        self.play.run(LONG_SECONDS)
        assert len({each.fencing for each in self.play.arrivals}) == 3
        assert self.play.breaches() == []

    def test_expired_lease_is_not_renewed_after_another_holder_was_seen(self):
        """The row was read and its holder ignored; then a restore let the renewal succeed."""
        holder = self.play.holder()
        self.cut_off.add(holder)
        self.play.run_until(lambda: self.play.holder() not in (None, holder))
        acquired_at = self.play.time
        calls = []

        def draw_delays(process):
            if process is not holder or len(calls) == 2:
                return StoreDelays()
            calls.append(self.play.time)
            return StoreDelays(request=0.0 if len(calls) == 1 else 0.3)

        self.play.draw_delays = draw_delays
        self.play.run_until(lambda: calls)
        # The read shows the other holder; if a write follows, it is on its way.
        self.play.run(0.1)
        self.play.restore(self.play.time - acquired_at + 0.2)
        self.play.run(LONG_SECONDS)
        assert self.play.breaches() == []

    def test_renewal_that_a_restore_lets_succeed_late_does_not_keep_the_lease(self):
        """It was sent in time and carried out seconds later, behind those of another holder."""
        holder = self.wait_for_renewal()
        sent_at = []

        def draw_delays(process):
            if process is holder and not sent_at:
                sent_at.append(self.play.time)
                return StoreDelays(request=None)
            return StoreDelays(request=None if process in self.cut_off else 0.0)

        self.play.draw_delays = draw_delays
        self.play.run_until(lambda: sent_at)
        (job,) = [each for each in holder.jobs if each.call is not None]
        holder.frozen = True
        self.play.run_until(lambda: self.play.holder() not in (None, holder))
        acquired_at = self.play.time
        self.play.run(0.3)
        self.play.restore(self.play.time - acquired_at + 0.2)
        job.answer, job.answer_at = self.play.store.carry_out(job.call), self.play.time
        holder.frozen = False
        self.cut_off.add(self.play.holder())
        self.play.run(LONG_SECONDS)
        assert self.play.breaches() == []

    def test_acquisition_that_a_restore_lets_succeed_has_no_token_of_another_holder(self):
        """The row was read, another process acquired the lease, and a restore undid that."""
        holder = self.play.holder()
        writers = []

        def draw_delays(process):
            if process is holder:
                return StoreDelays(request=None)
            (job,) = [each for each in process.jobs if each.call is not None]
            is_first_write = is_write(job.call) and not writers
            if is_write(job.call):
                writers.append(process)
            return StoreDelays(request=0.6 if is_first_write else 0.0)

        self.play.draw_delays = draw_delays
        self.play.run_until(lambda: self.play.holder() not in (None, holder))
        self.play.run(0.2)
        self.play.restore(0.4)
        self.play.run(LONG_SECONDS)
        assert len(set(writers)) == 2
        assert self.play.breaches() == []


class TestOldReports:
    """ONE: a process took the lease of a live holder, who acted until its next renewal failed."""

    def test_release_of_an_earlier_lease_does_not_end_that_of_a_live_holder(self):
        """A late report of the earlier holder let its release count after a newer holder's."""
        play = LeasePlay()
        play.run(6.0)
        first = play.holder()
        listener = next(each for each in play.live() if each is not first)
        while_held = first.report()
        play.deaf.add(listener)
        play.stop(first)
        play.run_until(lambda: play.holder() not in (None, first))
        holder = play.holder()
        version = holder.lease.version
        play.run_until(lambda: holder.lease.version > version)
        for report in (holder.report(), while_held, first.report()):
            listener.lease.observe_report(report)
        play.run(LONG_SECONDS)
        assert play.breaches() == []
