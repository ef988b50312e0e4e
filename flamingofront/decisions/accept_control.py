"""Refusal of new connections by a process that cannot serve all that it gets.

Load pattern: the balancer hands most new connections to one of several processes for some seconds.
That process goes on accepting and reading what it cannot answer in time, while the others have
room. A connection that is refused is handed over to one of these unread, or closed, so that its
caller tries again; a caller whose request was read waits for its answer.

The delay until a new connection is read shows an overload: a turn of the event loop serves all
sockets that became ready during the one before, and connections wait in the queue of the listening
socket. While the delay is too long, and much longer than that of other processes, the fraction of
new connections that is refused rises; otherwise it falls. If all processes are overloaded, this
fraction is zero: a caller that tries again elsewhere is one more request there.

Connections that have waited too long while others have room are handed over, too, and stay if no
process takes them. A long queue is cut short in any case: callers that have waited long give up
soon after their requests are read, so that a process that reads these first serves nobody in time.
"""

import random
import statistics
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from enum import Enum

__all__ = ["AcceptControl", "AcceptState", "Transition"]

# Period over which turns are evaluated.
WINDOW_SECONDS = 0.1
# Weight of the last window in the mean delay. A single long turn, such as the parsing of a large
# configuration, is no overload.
MEAN_WEIGHT = 0.2
# A request takes several turns, so that its answer comes after some times this delay.
MAX_DELAY_SECONDS = 0.1
# A window counts for no more than this beyond twice the mean of those before.
MAX_JUMP_SECONDS = 0.4
# While connections wait longer than this on average, those that have waited longer are refused.
MAX_QUEUE_SECONDS = 0.25
# A delay that is so many times longer than that of most others shows that these have room.
MIN_RATIO_TO_PEERS = 2.0
INCREASE = 0.1
DECREASE_FACTOR = 0.8
# A smaller fraction is taken for none.
MIN_FRACTION = 0.02
MAX_FRACTION = 0.95
# From this fraction on, kept connections are closed too, after the answer to their request.
CLOSE_FRACTION = 0.5


class Transition(Enum):
    """Change of state that is worth a line in the log."""

    STARTED = "started"
    ENDED = "ended"


@dataclass(frozen=True)
class AcceptState:
    """State of the control, for the log.

    Parameters
    ----------
    turn_seconds : float
        Mean length of the turns of the last window, weighted by their length.
    waiting_seconds : float
        Mean time for which the new connections of the last window have waited to be accepted.
    peer_delay_seconds : float
        Median delay of other processes.
    fraction : float
        Fraction of the new connections that are refused.
    """

    turn_seconds: float = 0.0
    waiting_seconds: float = 0.0
    peer_delay_seconds: float = 0.0
    fraction: float = 0.0


class AcceptControl:
    """Decides which new connections are refused; times are seconds of a steady clock.

    Parameters
    ----------
    rng : random.Random
        Chooses the connections.
    """

    def __init__(self, rng: random.Random):
        self._rng = rng
        self._window_end = 0.0
        self._busy = 0.0
        self._weighted = 0.0
        self._turn_seconds = 0.0
        self._waited = 0.0
        self._waited_count = 0
        self._waiting_seconds = 0.0
        self._mean_waiting_seconds = 0.0
        self._peer_delay_seconds = 0.0
        self._mean_seconds = 0.0
        self._fraction = 0.0
        self._has_room_elsewhere = False

    @property
    def state(self) -> AcceptState:
        """Current state."""
        return AcceptState(
            self._turn_seconds,
            self._waiting_seconds,
            self._peer_delay_seconds,
            self._fraction,
        )

    @property
    def mean_delay_seconds(self) -> float:
        """Mean delay over the last second or so, for other processes."""
        return self._mean_seconds

    @property
    def is_refusing(self) -> bool:
        """True while some new connections are refused or handed over."""
        return self._fraction > 0 or self._is_queue_long or self._is_queue_slow

    @property
    def _is_queue_long(self) -> bool:
        return min(self._waiting_seconds, self._mean_waiting_seconds) > MAX_QUEUE_SECONDS

    @property
    def _is_queue_slow(self) -> bool:
        """True if connections wait too long while other processes have room."""
        waiting = min(self._waiting_seconds, self._mean_waiting_seconds)
        return self._has_room_elsewhere and waiting > MAX_DELAY_SECONDS

    def record_turn(
        self, now: float, busy: float, peer_delays: Callable[[], Sequence[float]]
    ) -> Transition | None:
        """Record that a turn of the event loop has ended; return a change of state.

        Parameters
        ----------
        busy : float
            Seconds from the end of the wait for events until now.
        peer_delays : callable
            Returns the delays that other processes report, in seconds.
        """
        self._busy += busy
        self._weighted += busy * busy
        if now < self._window_end:
            return None
        self._window_end = now + WINDOW_SECONDS
        was_refusing = self.is_refusing
        self._turn_seconds = self._weighted / self._busy if self._busy > 0 else 0.0
        self._waiting_seconds = self._waited / self._waited_count if self._waited_count else 0.0
        self._busy = self._weighted = self._waited = 0.0
        self._waited_count = 0
        delay = max(self._turn_seconds, self._waiting_seconds)
        self._mean_seconds = _update_mean(self._mean_seconds, delay)
        self._mean_waiting_seconds = _update_mean(self._mean_waiting_seconds, self._waiting_seconds)
        self._adjust_fraction(delay, peer_delays)
        if self.is_refusing == was_refusing:
            return None
        return Transition.STARTED if self.is_refusing else Transition.ENDED

    def _adjust_fraction(self, delay: float, peer_delays: Callable[[], Sequence[float]]) -> None:
        is_overloaded = min(delay, self._mean_seconds) > MAX_DELAY_SECONDS
        self._has_room_elsewhere = is_overloaded and self._have_peers_room(peer_delays())
        if self._has_room_elsewhere:
            self._fraction = min(MAX_FRACTION, self._fraction + INCREASE)
        else:
            self._fraction *= DECREASE_FACTOR
            if self._fraction < MIN_FRACTION:
                self._fraction = 0.0

    def _have_peers_room(self, peer_delays: Sequence[float]) -> bool:
        self._peer_delay_seconds = statistics.median(peer_delays) if peer_delays else 0.0
        limit = MIN_RATIO_TO_PEERS * self._peer_delay_seconds
        return bool(peer_delays) and self._mean_seconds > limit

    def must_refuse(self, waited: float) -> bool | None:
        """Record a new connection; return True if it is refused, None while none is.

        Parameters
        ----------
        waited : float
            Seconds for which the connection has waited to be accepted.
        """
        self._waited += waited
        self._waited_count += 1
        if not self.is_refusing:
            return None
        has_waited_long = self._is_queue_long and waited > MAX_QUEUE_SECONDS
        return has_waited_long or self._rng.random() < self._fraction

    def must_hand_over(self, waited: float) -> bool:
        """Return True if a connection that is not refused is better served by a peer with room.

        Parameters
        ----------
        waited : float
            Seconds for which the connection has waited to be accepted.
        """
        return self._is_queue_slow and waited > MAX_DELAY_SECONDS

    def must_close(self) -> bool:
        """Return True if a kept connection is closed after its answer."""
        return self._fraction >= CLOSE_FRACTION and self._rng.random() < self._fraction


def _update_mean(mean: float, value: float) -> float:
    counted = min(value, MAX_JUMP_SECONDS + 2 * mean)
    return mean + (counted - mean) * MEAN_WEIGHT
