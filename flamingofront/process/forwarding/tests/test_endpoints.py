"""Endpoints as their rows tell: late and missing rows, outages of the store."""

from dataclasses import replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from flamingofront.process.forwarding.endpoint_row import EndpointRow
from flamingofront.process.forwarding.endpoints import LAPSE_GRACE_SECONDS, EndpointView
from flamingofront.process.logs import Log
from flamingofront.process.membership import FactTable, VmState
from flamingofront.process.metrics import Metrics
from flamingofront.process.timers import ManualClock, TimerService
from flamingofront.standins.forward_endpoint import ForwardFault
from flamingofront.tests.forwarding_world import ready_world

ROW = EndpointRow("i-1", "records", "127.0.0.1:1", "zone-a", 4, True, sequence=5)


class View:
    """A view with its facts and a clock that the test moves."""

    def __init__(self):
        self.clock = ManualClock()
        self.facts = FactTable()
        self.timers = TimerService(self.clock)
        self.gone = []
        self.restarted = []
        self.view = EndpointView(
            self.facts,
            self.timers,
            Metrics(),
            Log("entry"),
            on_gone=lambda row: self.gone.append(row.endpoint_id),
            on_restarted=lambda row, before: self.restarted.append((row.born, before.address)),
        )

    def state(self):
        fact = self.facts.get("i-1")
        return fact.state if fact is not None else None

    def pass_time(self, seconds):
        self.clock.time += seconds
        self.timers.run_due()


@pytest.fixture
def seen():
    started = View()
    started.view.put(ROW)
    return started


class TestRows:
    def test_leaving_is_final_for_one_start_of_an_endpoint(self, seen):
        seen.view.put(replace(ROW, ready=False, sequence=6))
        seen.view.put(replace(ROW, sequence=7))
        assert seen.state() is VmState.LEAVING
        assert not seen.view.rows()[0].ready

    def test_older_row_changes_nothing(self, seen):
        seen.view.put(replace(ROW, ready=False, sequence=4))
        assert seen.state() is VmState.LIVE
        assert seen.view.rows() == (ROW,)

    def test_vanished_row_ends_new_work_at_once(self, seen):
        seen.view.remove("i-1")
        assert seen.state() is VmState.GONE
        assert seen.gone == ["i-1"] and not seen.view.rows()

    def test_only_a_newer_row_brings_an_endpoint_back(self, seen):
        seen.view.remove("i-1")
        seen.view.put(ROW)
        assert seen.state() is VmState.GONE
        seen.view.put(replace(ROW, sequence=6))
        assert seen.state() is VmState.LIVE


class TestWordOfLeaving:
    LEAVING = replace(ROW, ready=False, sequence=6)

    def test_row_that_says_so_is_told_to_others(self, seen):
        """Others asked for each change: with a link of that chain lost they knew after 3.4 s."""
        seen.view.put(self.LEAVING)
        assert seen.view.recently_leaving() == (("i-1", 0),)

    def test_what_was_asked_for_is_not_told_on(self, seen):
        seen.view.put(self.LEAVING, from_peer=True)
        assert seen.view.recently_leaving() == ()

    def test_word_of_it_goes_before_the_row(self, seen):
        seen.view.merge_leaving((("i-1", 0),))
        assert seen.state() is VmState.LEAVING

    def test_row_that_follows_the_word_tells_when_it_leaves(self, seen):
        seen.view.merge_leaving((("i-1", 0),))
        seen.view.put(replace(self.LEAVING, leaves_in=2.0))
        assert seen.view.rows()[0].leaves_in == 2.0


class TestOutage:
    def test_missing_row_has_grace_after_the_outage(self, seen):
        seen.view.store_lost()
        seen.view.remove("i-1")
        seen.pass_time(60.0)
        assert seen.state() is VmState.LIVE
        seen.view.store_back()
        seen.pass_time(LAPSE_GRACE_SECONDS - 0.1)
        assert seen.state() is VmState.LIVE
        seen.pass_time(0.2)
        assert seen.state() is VmState.GONE

    def test_row_that_comes_back_in_time_stays(self, seen):
        seen.view.store_lost()
        seen.view.remove("i-1")
        seen.view.store_back()
        seen.view.put(replace(ROW, sequence=6))
        seen.pass_time(60.0)
        assert seen.state() is VmState.LIVE

    def test_row_that_is_missing_in_the_first_answer_has_the_whole_grace(self, seen):
        seen.view.store_lost()
        seen.view.store_back()
        seen.view.remove("i-1")
        seen.pass_time(LAPSE_GRACE_SECONDS - 0.1)
        seen.view.put(replace(ROW, sequence=6))
        seen.pass_time(60.0)
        assert seen.state() is VmState.LIVE

    def test_row_that_vanishes_after_the_return_is_bound_by_the_time_of_a_leaving(self, seen):
        seen.view.store_lost()
        seen.pass_time(9.0)
        seen.view.store_back()
        seen.pass_time(0.024)
        seen.view.remove("i-1")
        seen.pass_time(1.0)
        assert seen.state() is VmState.LIVE  # it may be back: the store was away
        seen.pass_time(0.6)
        assert seen.state() is VmState.GONE

    def test_peer_that_the_store_answers_is_believed_at_once(self, seen):
        seen.view.store_lost()
        seen.view.replace_all((), confirmed=True)
        assert seen.state() is VmState.GONE


class TestRestarts:
    FIRST = replace(ROW, born=1_000, sequence=50)
    SECOND = replace(ROW, born=9_000, sequence=1, address="127.0.0.1:2")

    def test_later_start_is_used_whatever_its_number(self):
        seen = View()
        seen.view.put(self.FIRST)
        seen.view.put(self.SECOND)
        assert seen.facts.get("i-1").address == "127.0.0.1:2"
        assert seen.restarted == [(9_000, "127.0.0.1:1")]

    def test_it_comes_back_after_its_row_had_vanished(self):
        seen = View()
        seen.view.put(self.FIRST)
        seen.view.remove("i-1")
        seen.view.put(self.SECOND)
        assert seen.state() is VmState.LIVE
        assert seen.restarted == [(9_000, "127.0.0.1:1")]

    def test_leaving_of_the_earlier_start_is_not_that_of_the_later_one(self):
        seen = View()
        seen.view.put(replace(self.FIRST, ready=False))
        seen.view.put(self.SECOND)
        assert seen.state() is VmState.LIVE
        seen.view.put(replace(self.FIRST, ready=False, sequence=51))
        assert seen.state() is VmState.LIVE
        assert seen.facts.get("i-1").address == "127.0.0.1:2"

    def test_address_that_another_endpoint_has_says_nothing_of_a_later_start(self):
        seen = View()
        seen.view.put(self.FIRST)
        seen.facts.advance_state("i-1", VmState.GONE)
        seen.view.put(self.SECOND)
        assert seen.state() is VmState.LIVE


class TestUnreadableRows:
    def test_endpoint_is_left_out_until_its_next_good_row(self, seen):
        seen.view.put_unreadable("i-1")
        assert seen.state() is VmState.GONE and not seen.view.rows()
        seen.view.put(replace(ROW, sequence=4))
        assert seen.state() is VmState.GONE
        seen.view.put(ROW)
        assert seen.state() is VmState.LIVE

    def test_grace_after_an_outage_is_for_missing_rows_only(self, seen):
        seen.view.store_lost()
        seen.view.put_unreadable("i-1")
        assert seen.state() is VmState.GONE


def _rows():
    """Return rows of three starts under one id, some of them leaving at their end."""
    return [
        replace(
            ROW,
            born=born,
            sequence=sequence,
            address=f"127.0.0.1:{born}",
            ready=sequence < 3 or born == 2,
        )
        for born in (1, 2, 3)
        for sequence in (1, 2, 3)
    ]


class TestAnyOrder:
    """Rows of three starts come late, twice, in any order or not at all, from the store and peers.

    What is believed at the end is what the newest row of those that came says.
    """

    @settings(max_examples=300, deadline=None)
    @given(
        st.lists(
            st.one_of(
                st.tuples(st.just("put"), st.integers(0, 8)),
                st.tuples(st.just("peer"), st.integers(0, 8)),
                st.tuples(st.just("gone"), st.just(0)),
                st.tuples(st.just("unreadable"), st.just(0)),
            ),
            min_size=1,
            max_size=14,
        )
    )
    def test_newest_row_decides(self, steps):
        rows, seen = _rows(), View()
        newest, standing, unreadable, left = None, None, False, False
        for step, index in steps:
            if step in ("put", "peer"):
                row = rows[index]
                seen.view.put(row, from_peer=step == "peer")
                is_newer = newest is None or row.order_key > newest.position
                same = newest is not None and row.order_key == newest.position
                if newest is not None and row.born > newest.born:
                    left = False
                if is_newer and not left or (same and unreadable and standing is None):
                    newest, standing, unreadable = row, row, False
                    left = not row.ready
            elif step == "gone":
                seen.view.remove("i-1")
                standing, left = None, False
            else:
                seen.view.put_unreadable("i-1")
                standing, unreadable, left = None, newest is not None, False
            self.compare(seen, standing, newest)

    @staticmethod
    def compare(seen, standing, newest):
        if newest is None:
            assert seen.state() is None
        elif standing is None:
            assert seen.state() is VmState.GONE
        else:
            assert seen.state() is (VmState.LIVE if standing.ready else VmState.LEAVING)
            assert seen.facts.get("i-1").address == standing.address


class TestRestartsOfAnEndpoint:
    """An endpoint crashes behind a cut and starts again under its id, at another address."""

    def world(self):
        world = ready_world(engines=0, plains=1)
        world.endpoint("engine-1", "engines", events=200)
        self.born = int(world.clock.now() * 1000) - 60_000
        world.register("engine-1", "engines", born=self.born, sequence=40)
        world.run(1.0)
        return world

    def start_again(self, world, sequence=1):
        world.host("engine-1").dead = True
        world.endpoint("engine-1", "engines")
        born = int(world.clock.now() * 1000)
        world.register("engine-1", "engines", born=born, sequence=sequence)

    @pytest.mark.parametrize("vanishes", [False, True])
    def test_it_is_used_within_a_second_of_its_row(self, vanishes):
        world = self.world()
        if vanishes:
            world.store.drop("servers", "engine-1")
            world.run(0.5)
        self.start_again(world)
        world.run(1.0)
        caller = world.ask("front-1", "/stream/once/x")
        world.finish(caller)
        assert caller.status == 200
        assert len(world.endpoints["engine-1"].runs) == 1

    def asked_before_the_start(self, path):
        """Return a world, and a caller whose endpoint has started again without an answer."""
        world = self.world()
        world.endpoints["engine-1"].inject_fault(ForwardFault.HANG)
        caller = world.ask("front-1", path)
        world.run(0.6)
        self.start_again(world)
        world.run(0.6)
        return world, caller

    def test_stream_that_ran_there_goes_on_at_the_new_start(self):
        world, caller = self.asked_before_the_start("/stream/again/x")
        assert len(world.endpoints["engine-1"].runs) == 1
        world.finish(caller)
        assert caller.status == 200

    def test_call_that_may_run_once_fails_at_once_and_is_not_said_to_have_not_run(self):
        world, caller = self.asked_before_the_start("/stream/once/x")
        assert caller.status == 502
        assert not world.endpoints["engine-1"].runs
