"""Leader leases in the document store, for tasks that only one process at a time may do.

No clocks are compared between processes. A holder counts its lease from the time at which it sent
the renewal, on its own clock. Another process acquires the lease only after it has itself seen the
row unchanged for the whole duration, and for as long as a call that was sent at its end may take to
arrive. Each change of holder increments the fencing token.
"""

import contextlib
import random
from collections.abc import Callable
from dataclasses import dataclass

from flamingofront.connection.call_guard import MAX_DELIVERY_SECONDS, CallGuard
from flamingofront.errors import PlatformError
from flamingofront.messages import Sleep
from flamingofront.process.documents import Document, DocumentStore
from flamingofront.process.tasks import Task

__all__ = ["Lease", "LeaseCall", "LeaseKeeper", "LeaseView"]

LEASE_PREFIX = "lease/"
RENEWALS_PER_DURATION = 3
# A renewal that was under way changes the row once.
RELEASE_ATTEMPTS = 2
# For late timers and time in the network.
TAKEOVER_RESERVE_SECONDS = 0.4


@dataclass(frozen=True)
class LeaseView:
    """Last known state of a lease.

    Parameters
    ----------
    holder : str
        Identity of the process that holds the lease; empty if the lease is free.
    fencing : int
        Fencing token; 0 if there was no holder yet.
    is_holder : bool
        True if this process holds a valid lease.
    """

    name: str
    holder: str
    fencing: int
    is_holder: bool


@dataclass(frozen=True)
class Lease:
    """A lease that this process holds.

    Parameters
    ----------
    fencing : int
        Fencing token.
    valid_until : float
        Time of expiry on the clock of this process, in seconds.
    """

    name: str
    fencing: int
    valid_until: float


class LeaseCall(CallGuard):
    """A call that only the holder of a lease may make, checked again before bytes are sent.

    Parameters
    ----------
    fencing : int
        Fencing token of the lease.
    confirm_send : callable
        Returns True while the lease with a fencing token is valid.
    """

    def __init__(self, fencing: int, confirm_send: Callable[[int], bool]):
        self.fencing = fencing
        self._confirm_send = confirm_send

    def may_send(self) -> bool:
        """Return True while the lease of this call is valid."""
        return self._confirm_send(self.fencing)


class LeaseKeeper:
    """Acquires and renews one lease.

    Parameters
    ----------
    name : str
        Leader task and zone, for example ``models/zone-a``.
    holder : str
        Identity of this process: VM id and incarnation.
    duration : float
        Lifetime of a lease in seconds without renewal.
    takeover_delay : float
        Seconds that another process waits beyond the duration. A call that the last holder sent at
        its end arrives by then; some endpoints ignore fencing tokens.
    """

    def __init__(
        self,
        documents: DocumentStore,
        name: str,
        holder: str,
        now: Callable[[], float],
        rng: random.Random,
        duration: float = 6.0,
        takeover_delay: float = MAX_DELIVERY_SECONDS + TAKEOVER_RESERVE_SECONDS,
    ):
        self.name = name
        self.takeover_delay = takeover_delay
        self._documents = documents
        self._holder = holder
        self._now = now
        self._rng = rng
        self._duration = duration
        self._lease: Lease | None = None
        # Time at which bytes of a call may last have been sent.
        self._last_sent_at: float | None = None
        self._released = False
        self._last_row: Document | None = None
        self._unchanged_since = 0.0

    @property
    def renewal_period(self) -> float:
        """Seconds between two renewals."""
        return self._duration / RENEWALS_PER_DURATION

    def valid_lease(self) -> Lease | None:
        """Return the lease if it is valid now, else None."""
        lease = self._lease
        if lease is None or self._released or self._now() >= lease.valid_until:
            return None
        return lease

    def start_call(self) -> LeaseCall | None:
        """Return the guard of a call under the lease, to be started now; None without a lease.

        Notes
        -----
        The call needs an `ack_timeout` of `ACK_TIMEOUT_SECONDS`.
        """
        lease = self.valid_lease()
        return None if lease is None else LeaseCall(lease.fencing, self._confirm_send)

    def _confirm_send(self, fencing: int) -> bool:
        """Return True if bytes of a call under a fencing token may be sent now."""
        lease = self.valid_lease()
        if lease is None or lease.fencing != fencing:
            return False
        self._last_sent_at = self._now()
        return True

    def seconds_in_flight(self) -> float:
        """Return the seconds until the calls that were sent have arrived, 0 if they have."""
        if self._last_sent_at is None:
            return 0.0
        return max(0.0, self._last_sent_at + MAX_DELIVERY_SECONDS - self._now())

    def get_view(self) -> LeaseView:
        """Return the last known state of the lease."""
        value = self._last_row.value if self._last_row is not None else None
        holder = value["holder"] if value else ""
        fencing = value["fencing"] if value else 0
        return LeaseView(self.name, holder, fencing, self.valid_lease() is not None)

    def run(self) -> Task:
        """Renew the lease, or try to acquire it while it is free, until it is released."""
        while not self._released:
            # An unconfirmed renewal does not count: the lease then expires on the local clock.
            with contextlib.suppress(PlatformError):
                yield from self.renew_or_acquire()
            yield Sleep(self.renewal_period * (0.9 + 0.2 * self._rng.random()))

    def renew_or_acquire(self) -> Task:
        """Read the row of the lease, then renew the lease or acquire it if it is free."""
        (row,) = yield from self._documents.read([LEASE_PREFIX + self.name])
        self._track_row(row)
        if row.value is not None and row.value["holder"] == self._holder:
            if self._lease is not None and row.value["fencing"] == self._lease.fencing:
                yield from self._write_lease(row, row.value["fencing"])
                return
            # The row names this process, but the write was never confirmed: a new token is needed.
            yield from self._write_lease(row, row.value["fencing"] + 1)
            return
        self._lease = None
        if self._is_free(row):
            fencing = row.value["fencing"] + 1 if row.value else 1
            yield from self._write_lease(row, fencing)

    def _track_row(self, row: Document) -> None:
        """Remember the row and, if it has changed, the time at which it was first seen."""
        if self._last_row is None or row.revision != self._last_row.revision:
            self._last_row = row
            self._unchanged_since = self._now()

    def _is_free(self, row: Document) -> bool:
        """Return True if the lease has no holder or was not renewed for its whole duration."""
        if row.value is None or row.value["holder"] == "":
            return True
        return self._now() - self._unchanged_since >= self._duration + self.takeover_delay

    def _write_lease(self, row: Document, fencing: int) -> Task:
        """Write this process as the holder, if the row has not changed since it was read."""
        if self._released:
            return
        sent_at = self._now()
        value = {"holder": self._holder, "fencing": fencing}
        if (yield from self._documents.replace(row, value)):
            self._lease = Lease(self.name, fencing, sent_at + self._duration)
        else:
            self._lease = None

    def release(self) -> Task:
        """Release the lease once its calls have arrived, so that a successor can acquire it.

        Notes
        -----
        This process neither acts under the lease nor acquires it again from now on. A renewal that
        is under way may still change the row.
        """
        self._released = True
        if self._lease is None:
            return
        seconds = self.seconds_in_flight()
        if seconds > 0:
            yield Sleep(seconds)
        for _ in range(RELEASE_ATTEMPTS):
            try:
                (row,) = yield from self._documents.read([LEASE_PREFIX + self.name])
                if row.value is None or row.value["holder"] != self._holder:
                    return
                value = {"holder": "", "fencing": row.value["fencing"]}
                if (yield from self._documents.replace(row, value)):
                    return
            except PlatformError:
                return  # The lease expires by itself.
