"""Tests of the refusal of new connections by an overloaded process."""

import random

from flamingofront.decisions.accept_control import (
    MAX_DELAY_SECONDS,
    MAX_FRACTION,
    MAX_QUEUE_SECONDS,
    WINDOW_SECONDS,
    AcceptControl,
    Transition,
)

LONG = 3 * MAX_DELAY_SECONDS
SHORT = MAX_DELAY_SECONDS / 10


class Case:
    """A control, on a clock of its own."""

    def __init__(self, peers=(SHORT, SHORT, SHORT)):
        self.control = AcceptControl(random.Random(1))
        self.peers = peers
        self.now = 100.0
        self.waiting = 0.0
        self.transitions = []

    def play(self, turn, seconds):
        end = self.now + seconds
        while self.now < end:
            self.now += max(turn, WINDOW_SECONDS / 4)
            self.control.must_refuse(self.waiting)
            found = self.control.record_turn(self.now, turn, lambda: self.peers)
            self.transitions += [found] if found is not None else []

    def refused(self, count=1000, waited=0.0):
        return sum(bool(self.control.must_refuse(waited)) for _ in range(count)) / count


class TestAcceptControl:
    def test_long_turns_while_others_have_room_refuse_new_connections(self):
        case = Case()
        case.play(LONG, 5.0)
        assert case.transitions == [Transition.STARTED]
        assert case.refused() >= MAX_FRACTION - 0.05
        assert case.control.must_close() or case.control.must_close()

    def test_nothing_is_refused_where_all_are_overloaded_or_nobody_is_heard(self):
        """Each caller that tries again elsewhere is one more request there."""
        for peers in ((LONG, LONG, SHORT), ()):
            case = Case(peers)
            case.play(LONG, 5.0)
            assert not case.transitions and case.refused() == 0

    def test_connections_that_wait_over_several_turns_are_refused(self):
        """A process that accepts one a turn has short turns, however many wait."""
        case = Case()
        case.waiting = 1.0
        case.play(SHORT, 2.0)
        assert case.transitions == [Transition.STARTED]

    def test_process_with_most_connections_refuses_while_others_are_busy_too(self):
        """A delay that was counted only up to a bound was never twice that of the others."""
        case = Case(peers=(MAX_QUEUE_SECONDS, MAX_QUEUE_SECONDS, MAX_QUEUE_SECONDS))
        case.waiting = 8 * MAX_QUEUE_SECONDS
        case.play(SHORT, 3.0)
        assert case.refused() >= 0.9

    def test_connections_that_waited_long_are_refused_where_all_are_overloaded(self):
        """All were read when their callers were about to give up, so that nobody was served."""
        for peers in ((1.0, 1.0, 1.0), ()):
            case = Case(peers)
            case.waiting = 1.0
            case.play(SHORT, 2.0)
            assert case.transitions == [Transition.STARTED]
            assert case.refused(waited=0.9 * MAX_QUEUE_SECONDS) == 0
            assert case.refused(waited=1.1 * MAX_QUEUE_SECONDS) == 1

    def test_connections_that_waited_for_a_suspended_process_are_read(self):
        """Their callers still wait, and nothing else is late."""
        case = Case()
        case.play(SHORT, 1.0)
        case.waiting = 3.0
        case.play(3.0, 0.1)
        case.waiting = 0.0
        case.play(SHORT, 1.0)
        assert not case.transitions

    def test_single_long_turns_refuse_nothing(self):
        """Such as the parsing of a large configuration."""
        case = Case()
        for _ in range(5):
            case.play(SHORT, 2.0)
            case.play(1.0, 0.9)
        assert not case.transitions and case.refused() == 0

    def test_refusal_ends_with_the_load(self):
        case = Case()
        case.play(LONG, 3.0)
        case.play(SHORT, 6.0)
        assert case.transitions == [Transition.STARTED, Transition.ENDED]
        assert case.refused() == 0 and not case.control.must_close()


class TestHandOver:
    def test_connections_that_have_waited_are_handed_over_while_others_have_room(self):
        """Callers waited in the queue of one process until the refused fraction had grown."""
        case = Case()
        case.waiting = LONG
        case.play(SHORT, 2.0)
        assert case.control.must_hand_over(LONG)
        assert not case.control.must_hand_over(SHORT)

    def test_connections_stay_where_all_are_overloaded(self):
        case = Case(peers=(LONG, LONG, SHORT))
        case.waiting = LONG
        case.play(SHORT, 2.0)
        assert not case.control.must_hand_over(LONG)

    def test_single_long_turn_hands_nothing_over(self):
        case = Case()
        case.play(LONG, WINDOW_SECONDS / 2)
        case.play(SHORT, 1.0)
        assert not case.control.must_hand_over(LONG) and not case.transitions
