"""How old the messages of other processes are when this process reads them.

The age that a message states is the one at which it was sent. It may have waited since, in the
sender's queue, on a link that is full, or unread in the socket of this process.
"""

import math
from dataclasses import dataclass

__all__ = ["MessageDelays"]

# Period after which the fastest message of a sender is forgotten, at least: its clock may have been
# set unseen. A process that is behind for longer takes the least delay of this period for none.
BASELINE_SECONDS = 120.0
# A clock that goes back further than this was set. Less may be the difference of two medians.
MIN_CLOCK_STEP_SECONDS = 0.25
# Senders that are not heard for this long are forgotten.
SENDER_EXPIRY_SECONDS = 240.0


@dataclass
class _Sender:
    """Clock of one sender, as its messages show it.

    Parameters
    ----------
    incarnation : int
        Start time of the sender's process.
    wall : float
        Its clock in the last message.
    read_at : float
        When that was read, on the local clock.
    offset, previous : float
        Largest difference of its clock to the local one in this period, and in the previous one.
    period_start : float
        Begin of this period, on the local clock.
    """

    incarnation: int
    wall: float
    read_at: float
    offset: float
    previous: float
    period_start: float


class MessageDelays:
    """Estimates when messages were sent, on the local clock, by the fastest ones of each sender.

    Notes
    -----
    A message that is read late shows a smaller difference of the clocks than one that is read at
    once. The delay grows by no more than the time between two messages, so that a clock that was
    set is told from a delay.
    """

    def __init__(self):
        self._senders: dict[str, _Sender] = {}
        self._sent_at = -math.inf
        self._read_at = -math.inf

    def record(self, sender: str, incarnation: int, wall: float, now: float) -> float:
        """Record a message that is read now, and return its delay in seconds.

        Parameters
        ----------
        sender : str
            VM of the sender.
        incarnation : int
            Start time of its process.
        wall : float
            Its clock at the time of sending.
        now : float
            Local time.
        """
        known = self._senders.get(sender)
        offset = wall - now
        if known is None or known.incarnation != incarnation or _was_set(known, wall):
            self._drop_expired(now)
            known = self._senders[sender] = _Sender(incarnation, wall, now, offset, -math.inf, now)
        if now - known.period_start > BASELINE_SECONDS:
            known.previous, known.offset, known.period_start = known.offset, offset, now
        known.offset = max(known.offset, offset)
        known.wall, known.read_at = max(known.wall, wall), now
        delay = max(known.offset, known.previous) - offset
        self._sent_at = max(self._sent_at, now - delay)
        self._read_at = now
        return delay

    def _drop_expired(self, now: float) -> None:
        for name in [
            name
            for name, each in self._senders.items()
            if now - each.read_at > SENDER_EXPIRY_SECONDS
        ]:
            del self._senders[name]

    def newest_age(self, now: float) -> float:
        """Return the seconds since the newest message was sent; infinite if none was read."""
        return now - self._sent_at

    @property
    def last_delay(self) -> float:
        """Seconds from the sending of the newest message until one was last read; 0 without any."""
        return 0.0 if math.isinf(self._read_at) else self._read_at - self._sent_at

    def seconds_unheard(self, now: float) -> float:
        """Return the seconds since a message was read; infinite if none was."""
        return now - self._read_at


def _was_set(known: _Sender, wall: float) -> bool:
    return wall < known.wall - MIN_CLOCK_STEP_SECONDS
