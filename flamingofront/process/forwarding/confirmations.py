"""Times at which the store confirmed cached tables, and answered calls, to any process.

Processes pass these times on as times of the store's own clock, which no hop changes.
"""

from collections.abc import Callable

from flamingofront.process.store_clock import StoreClock

__all__ = ["StoreConfirmations"]

# Difference between clocks up to which a time of the store is not taken for one in the future.
MAX_CLOCK_ERROR_SECONDS = 0.5
# Calls that are answered within this time were accepted just before.
SHORT_CALL_SECONDS = 1.0


class StoreConfirmations:
    """What peers have told of the store, beside the calls of this process.

    Parameters
    ----------
    now : callable
        Time of the timer service.
    on_answer : callable
        Called with the time of each answer of the store to a short call of any process.

    Attributes
    ----------
    clock : StoreClock
        Relation of the store's clock to the local clock.
    """

    def __init__(self, now: Callable[[], float], on_answer: Callable[[float], None]):
        self.clock = StoreClock()
        self._now = now
        self._on_answer = on_answer
        # By table, on the local clock and on the clock of the store.
        self._confirmed_at: dict[str, float] = {}
        self._confirmed_time: dict[str, float] = {}
        # A long poll may be answered while the store accepts no calls, so only short calls count.
        self._answered_at: float | None = None
        # Time of the last answer to any call of this process; None before the first.
        self.own_answer_at: float | None = None
        self._answered_time: float | None = None

    def record_answer(self, asked_at: float, store_time: float | None) -> None:
        """Record an answer to a call of this process."""
        now = self.own_answer_at = self._now()
        if now - asked_at <= SHORT_CALL_SECONDS:
            self._record_answer_at(now, store_time)

    def merge_answer(self, store_time: float | None) -> None:
        """Merge the store's time of an answer to another process."""
        at = self._to_local(store_time)
        if at is not None:
            self._record_answer_at(at, store_time)

    def _record_answer_at(self, at: float, store_time: float | None) -> None:
        self._answered_at = at if self._answered_at is None else max(self._answered_at, at)
        self._answered_time = self._find_latest(store_time, self._answered_time)
        self._on_answer(at)

    def answer_age(self) -> float | None:
        """Return the seconds since the store answered a short call of any process."""
        return None if self._answered_at is None else self._now() - self._answered_at

    def answered_time(self) -> float | None:
        """Return the store's time of its last answer to a short call of any process."""
        return self._find_latest(self._answered_time)

    def record(self, table: str, at: float) -> None:
        """Record a time at which a table was confirmed, on the local clock."""
        self._confirmed_at[table] = max(at, self._confirmed_at.get(table, at))

    def merge(self, table: str, age: float | None, store_time: float | None) -> None:
        """Merge when the store confirmed a table to a peer.

        Notes
        -----
        The time of the store is preferred to the age, which is that at the time of sending.
        """
        at = self._to_local(store_time)
        if at is None and age is not None:
            at = self._now() - age
        if at is not None:
            self.record(table, at)
        latest = self._find_latest(store_time, self._confirmed_time.get(table))
        if latest is not None:
            self._confirmed_time[table] = latest

    def age(self, table: str, own_at: float | None) -> float | None:
        """Return the seconds since a table was confirmed to any process; None if never.

        Parameters
        ----------
        own_at : float or None
            Time at which it was last confirmed to this process.
        """
        times = [each for each in (own_at, self._confirmed_at.get(table)) if each is not None]
        return self._now() - max(times) if times else None

    def latest_time(self, table: str, own_time: float | None) -> float | None:
        """Return the store's time up to which a table is known to be current; None if unknown."""
        return self._find_latest(own_time, self._confirmed_time.get(table))

    def _find_latest(self, *store_times: float | None) -> float | None:
        """Return the latest of some times of the store, without those of an earlier clock."""
        possible = (each for each in store_times if each is not None and self._is_possible(each))
        return max(possible, default=None)

    def _is_possible(self, store_time: float) -> bool:
        """Return False for a time in the future: the clock of the store has begun anew since."""
        local = self.clock.to_local(store_time)
        return local is None or local <= self._now() + MAX_CLOCK_ERROR_SECONDS

    def _to_local(self, store_time: float | None) -> float | None:
        """Return a time of the store on the local clock; None if that is not known."""
        if store_time is None or not self._is_possible(store_time):
            return None
        local = self.clock.to_local(store_time)
        return None if local is None else min(local, self._now())
