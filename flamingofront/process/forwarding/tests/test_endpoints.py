"""Endpoints as their rows tell: late and missing rows, outages of the store."""

from dataclasses import replace

import pytest

from flamingofront.process.forwarding.endpoints import (
    LAPSE_GRACE_SECONDS,
    EndpointRow,
    EndpointView,
)
from flamingofront.process.logs import Log
from flamingofront.process.membership import FactTable, VmState
from flamingofront.process.timers import ManualClock, TimerService

ROW = EndpointRow("i-1", "records", "127.0.0.1:1", "zone-a", 4, True, sequence=5)


class View:
    """A view with its facts and a clock that the test moves."""

    def __init__(self):
        self.clock = ManualClock()
        self.facts = FactTable()
        self.timers = TimerService(self.clock)
        self.gone = []
        self.view = EndpointView(self.facts, self.timers, Log("entry"), on_gone=self.gone.append)

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

    def test_peer_that_the_store_answers_is_believed_at_once(self, seen):
        seen.view.store_lost()
        seen.view.replace_all((), confirmed=True)
        assert seen.state() is VmState.GONE
