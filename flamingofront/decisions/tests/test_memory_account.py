"""Tests of the account of the memory that connections hold."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from flamingofront.decisions.memory_account import (
    MAX_SMALL_BYTES,
    ROOM_SHARE,
    SMALL_SHARE,
    STALL_SECONDS,
    MemoryAccount,
    MemoryKind,
    MemoryObserver,
)

SIZE = 8 * 1024 * 1024
LARGE = 1024 * 1024
LARGE_LIMIT = int(SIZE * (1 - SMALL_SHARE))
RECEIVING, REQUEST, UNSENT = MemoryKind.RECEIVING, MemoryKind.REQUEST, MemoryKind.UNSENT


class Events(MemoryObserver):
    """Decisions of an account, in order."""

    def __init__(self):
        self.seen = []

    def record_refusal(self, kind):
        self.seen.append(("refused", kind))

    def record_eviction(self, kind):
        self.seen.append(("evicted", kind))

    def record_full(self, state):
        self.seen.append("full")

    def record_room(self, state):
        self.seen.append("room")


class Connection:
    """A connection that gives its memory back when it is ended."""

    def __init__(self, account):
        self.is_ended = False
        self.memory = account.open(self.end)

    def end(self):
        self.is_ended = True
        self.memory.close()


@pytest.fixture
def account():
    return MemoryAccount(SIZE, Events())


def fill(account, now=0.0):
    """Open connections that wait for large bodies, until there is no room for another one."""
    found = []
    while True:
        conn = Connection(account)
        if not conn.memory.reserve(RECEIVING, LARGE, now):
            return found
        found.append(conn)


class TestReservations:
    def test_large_bodies_leave_room_for_small_requests(self, account):
        fill(account)
        assert LARGE_LIMIT - LARGE < account.state.used <= LARGE_LIMIT
        assert Connection(account).memory.reserve(RECEIVING, MAX_SMALL_BYTES, 0.0)

    def test_refused_reservation_changes_nothing(self, account):
        fill(account)
        conn, before = Connection(account), account.state
        assert conn.memory.reserve(RECEIVING, 10, 0.0)
        assert not conn.memory.reserve(RECEIVING, LARGE, 0.0)
        assert conn.memory.sizes == {RECEIVING: 10}
        assert account.state.used == before.used + 10

    def test_largest_body_is_received_alone(self, account):
        conn = Connection(account)
        assert conn.memory.reserve(RECEIVING, LARGE_LIMIT, 0.0)
        conn.memory.move(RECEIVING, REQUEST, LARGE_LIMIT)
        assert account.state.by_kind[REQUEST] == account.state.used == LARGE_LIMIT

    def test_memory_is_free_once_a_connection_has_closed(self, account):
        for each in fill(account):
            each.memory.close()
        assert account.state.used == 0
        assert set(account.state.by_kind.values()) == {0}


class TestEvictions:
    def test_longest_without_progress_is_ended_first(self, account):
        conns = fill(account)
        for each in conns[:2]:
            each.memory.record_progress(0.5)
        new = Connection(account)
        assert new.memory.reserve(RECEIVING, LARGE, STALL_SECONDS)
        assert [each.is_ended for each in conns] == [False, False, True] + [False] * (
            len(conns) - 3
        )

    def test_none_is_ended_that_has_just_made_progress(self, account):
        conns = fill(account)
        for each in conns:
            each.memory.record_progress(1.0)
        assert not Connection(account).memory.reserve(RECEIVING, LARGE, 1.0 + STALL_SECONDS / 2)
        assert not any(each.is_ended for each in conns)

    def test_complete_request_is_never_ended(self, account):
        conns = fill(account)
        for each in conns:
            each.memory.move(RECEIVING, REQUEST, LARGE)
        assert not Connection(account).memory.reserve(RECEIVING, LARGE, 100.0)
        assert not any(each.is_ended for each in conns)

    def test_no_more_are_ended_than_needed(self, account):
        conns = fill(account)
        assert Connection(account).memory.reserve(RECEIVING, LARGE, 10.0)
        assert sum(each.is_ended for each in conns) == 1

    def test_growing_connection_does_not_end_itself(self, account):
        conns = fill(account)
        assert conns[0].memory.reserve(RECEIVING, 2 * LARGE, 10.0)
        assert [each.is_ended for each in conns[:2]] == [False, True]

    def test_unread_responses_are_ended_before_memory_runs_out(self, account):
        """They are there already, so that they cannot be refused."""
        conns = [Connection(account) for _ in range(20)]
        for each in conns:
            each.memory.record(UNSENT, LARGE, 0.0)
        assert account.state.used <= SIZE
        assert [each.is_ended for each in conns] == [True] * 12 + [False] * 8

    def test_callers_that_read_are_kept(self, account):
        conns = [Connection(account) for _ in range(8)]
        for each in conns:
            each.memory.record(UNSENT, LARGE, 0.0)
        conns[0].memory.record_progress(0.1)
        Connection(account).memory.record(UNSENT, LARGE, 0.2)
        assert [each.is_ended for each in conns[:2]] == [False, True]


class TestTransitions:
    def test_one_event_when_full_and_one_with_room_again(self, account):
        conns = fill(account)
        for _ in range(50):
            assert not Connection(account).memory.reserve(RECEIVING, LARGE, 0.0)
        for each in conns:
            each.memory.close()
        seen = account.observer.seen
        assert seen.count("full") == 1 and seen.count("room") == 1
        assert seen.count(("refused", RECEIVING)) == 51
        assert account.state.refused == 0

    def test_little_room_ends_no_fullness(self, account):
        conns = fill(account)
        conns[0].memory.close()
        assert account.state.used > ROOM_SHARE * SIZE
        assert "room" not in account.observer.seen


@given(
    st.lists(
        st.tuples(
            st.integers(0, 5),
            st.sampled_from(["reserve", "record", "progress", "move", "close"]),
            st.integers(0, 3 * LARGE),
            st.floats(0.0, 2.0),
        ),
        max_size=60,
    )
)
def test_sums_agree_and_reservations_stay_within_the_account(steps):
    account = MemoryAccount(SIZE)
    conns = [Connection(account) for _ in range(6)]
    now = 0.0
    for number, action, size, seconds in steps:
        memory, now = conns[number].memory, now + seconds
        if action == "reserve":
            before = account.state.used
            if memory.reserve(RECEIVING, size, now):
                assert account.state.used <= max(SIZE, before)
        elif action == "record":
            memory.record(UNSENT, size, now)
            assert account.state.used <= SIZE + 6 * MAX_SMALL_BYTES + account.state.by_kind[REQUEST]
        elif action == "progress":
            memory.record_progress(now)
        elif action == "move":
            memory.move(RECEIVING, REQUEST, min(size, memory.sizes.get(RECEIVING, 0)))
        else:
            memory.close()
        assert account.state.used == sum(account.state.by_kind.values())
        assert account.state.used == sum(each.memory.total for each in conns)
        assert all(each.memory.total == sum(each.memory.sizes.values()) for each in conns)
