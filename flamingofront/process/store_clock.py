"""Relation of the steady clock of the store to the clock of this process."""

__all__ = ["StoreClock"]

# The offset between both clocks is taken from the fastest answers of so long: clocks drift apart.
WINDOW_SECONDS = 60.0
# A clock that is off by more than this has begun anew, as after a restore of the store.
MAX_ERROR_SECONDS = 1.0


class StoreClock:
    """Converts times of the store's steady clock to the local clock.

    Notes
    -----
    Times of the store are the same for all processes, so that they can be passed on any number of
    times. An age that is passed on loses the transit time of each hop.
    """

    def __init__(self):
        self._offset: float | None = None
        # Smallest offset of the current window, and when the window began.
        self._window_offset: float | None = None
        self._window_began_at = 0.0

    def record_answer(self, store_time: float, asked_at: float, received_at: float) -> None:
        """Record the store's time in an answer, and the local times of the call.

        Parameters
        ----------
        store_time : float
            Time of the store at the answer, in seconds of its steady clock.
        """
        offset = received_at - store_time
        if self._offset is not None and not self._is_possible(store_time, asked_at, received_at):
            self._offset = self._window_offset = None
        if self._window_offset is None or received_at - self._window_began_at > WINDOW_SECONDS:
            self._offset = offset if self._window_offset is None else self._window_offset
            self._window_offset, self._window_began_at = offset, received_at
        self._window_offset = min(self._window_offset, offset)
        self._offset = min(self._offset, self._window_offset)

    def _is_possible(self, store_time: float, asked_at: float, received_at: float) -> bool:
        local = store_time + self._offset
        return asked_at - MAX_ERROR_SECONDS <= local <= received_at + MAX_ERROR_SECONDS

    def to_local(self, store_time: float) -> float | None:
        """Return the local time of a time of the store; None before its first answer."""
        return None if self._offset is None else store_time + self._offset
