"""Tests of recovery plans for the streams of a leaving endpoint."""

from hypothesis import given
from hypothesis import strategies as st

from flamingofront.request.recovery import (
    CostRecovery,
    RecoveryAction,
    RecoveryRates,
    StreamState,
)

RATES = RecoveryRates(token_seconds=0.05, transfer_setup=0.1, transfer_token_seconds=0.001)


def plan(streams, notice, rates=RATES):
    states = [StreamState(f"r{n}", *each) for n, each in enumerate(streams)]
    return {each.request_id: each for each in CostRecovery().plan(states, notice, rates)}


class TestCostRecovery:
    def test_short_streams_finish_and_long_contexts_are_transferred_first(self):
        plans = plan([(100, 10), (2000, 1000), (500, 1000)], notice=3.0)
        assert [plans[f"r{n}"].action for n in range(3)] == [
            RecoveryAction.FINISH,
            RecoveryAction.TRANSFER,
            RecoveryAction.RECOMPUTE,
        ]

    def test_transfers_start_late_but_in_time(self):
        alone = plan([(1000, 9999)], notice=10.0)["r0"]
        assert alone.start_in + 1.1 < 9.5
        assert alone.start_in > 5.0
        contended = RecoveryRates(0.05, 0.1, 0.001, contention=8.0)
        assert plan([(1000, 9999)], 10.0, contended)["r0"].start_in == 0.0

    @given(
        st.lists(st.tuples(st.integers(1, 5000), st.integers(1, 2000)), max_size=20),
        st.floats(0.0, 60.0),
    )
    def test_each_stream_has_one_plan_and_transfers_fit_the_notice(self, streams, notice):
        plans = plan(streams, notice)
        assert len(plans) == len(streams)
        transfer_ends = [
            each.start_in + 0.1 + streams[int(name[1:])][0] * 0.001
            for name, each in plans.items()
            if each.action is RecoveryAction.TRANSFER
        ]
        assert all(end <= max(0.0, notice - RATES.margin) + 1e-6 for end in transfer_ends)
        assert all(0.0 <= each.start_in <= notice for each in plans.values())
