"""One call that only the holder of the leader lease may make."""

from collections.abc import Callable

from flamingofront.connection.call_guard import CallGuard, CallStep

__all__ = ["LeaderCall"]

_MS_PER_SECOND = 1000


class LeaderCall(CallGuard):
    """A call under the leader lease, which is checked again before bytes are sent.

    Parameters
    ----------
    fencing : int
        Fencing token of the lease.
    valid_until : float
        Time until which the lease is valid, as known at the first check.
    is_usable : callable
        Returns True while this process may act under a fencing token.
    now : callable
        Monotonic clock in seconds.

    Notes
    -----
    To be created when the lease is checked. Between that and the first byte lie turns of the event
    loop and a new connection, and the process may stand still.
    """

    def __init__(
        self,
        fencing: int,
        valid_until: float,
        is_usable: Callable[[int], bool],
        now: Callable[[], float],
    ):
        self.fencing = fencing
        self._is_usable = is_usable
        self._now = now
        self._checked_at = now()
        self._lease_left = valid_until - self._checked_at
        self._reached_at: dict[CallStep, float] = {}

    def may_send(self) -> bool:
        """Return True while this process may act under the lease of this call."""
        return self._is_usable(self.fencing)

    def record(self, step: CallStep) -> None:
        """Record that the call has reached a step."""
        self._reached_at[step] = self._now()

    def log_fields(self) -> dict[str, int]:
        """Return the times of the steps for a log line, in milliseconds after the check.

        Notes
        -----
        The call ends now: its response has arrived, or it has failed.
        """
        steps = {f"{step}_ms": at - self._checked_at for step, at in self._reached_at.items()}
        seconds = {
            "lease_left_ms": self._lease_left,
            **steps,
            "ended_ms": self._now() - self._checked_at,
        }
        return {name: round(each * _MS_PER_SECOND) for name, each in seconds.items()}
