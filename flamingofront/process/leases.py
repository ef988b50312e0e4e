"""Leases in the table service, for duties that only one process may do at a time.

No clocks are compared between processes. A holder counts its lease from before it sent the
renewal, on its own clock. A waiter takes over only after it has itself seen the row unchanged for
the whole duration. Each change of holder raises the fencing number.
"""

import contextlib
import random
from collections.abc import Callable
from dataclasses import dataclass

from flamingofront.errors import PlatformError
from flamingofront.messages import Sleep
from flamingofront.process.documents import Document, DocumentStore
from flamingofront.process.tasks import Task

__all__ = ["Lease", "LeaseKeeper", "LeaseView"]

LEASE_PREFIX = "lease/"
RENEWALS_PER_DURATION = 3


@dataclass(frozen=True)
class LeaseView:
    """What a process knows of one lease."""

    name: str
    holder: str
    fencing: int
    is_holder: bool


@dataclass(frozen=True)
class Lease:
    """A lease held by this process until `valid_until` on its own clock."""

    name: str
    fencing: int
    valid_until: float


class LeaseKeeper:
    """Acquires and renews one lease.

    Parameters
    ----------
    name : str
        Duty and zone, for example ``models/zone-a``.
    holder : str
        Identity of this process: VM id and incarnation.
    duration : float
        Seconds that a lease lasts without renewal.
    wait_extra : float
        Seconds that a taker waits beyond the duration: the longest order that the last holder may
        still have in flight, for endpoints that ignore fencing numbers.
    """

    def __init__(
        self,
        documents: DocumentStore,
        name: str,
        holder: str,
        now: Callable[[], float],
        rng: random.Random,
        duration: float = 6.0,
        wait_extra: float = 2.0,
    ):
        self.name = name
        self._documents = documents
        self._holder = holder
        self._now = now
        self._rng = rng
        self._duration = duration
        self._wait_extra = wait_extra
        self._lease: Lease | None = None
        self._seen: Document | None = None
        self._seen_since = 0.0

    @property
    def period(self) -> float:
        """Seconds between two renewals."""
        return self._duration / RENEWALS_PER_DURATION

    def valid_lease(self) -> Lease | None:
        """Return the lease if it is valid now; to be called right before each order."""
        lease = self._lease
        if lease is None or self._now() >= lease.valid_until:
            return None
        return lease

    def get_view(self) -> LeaseView:
        """Return what is known of the lease."""
        value = self._seen.value if self._seen is not None else None
        holder = value["holder"] if value else ""
        fencing = value["fencing"] if value else 0
        return LeaseView(self.name, holder, fencing, self.valid_lease() is not None)

    def run(self) -> Task:
        """Keep the lease, or watch it until it is free; never returns."""
        while True:
            # An unconfirmed renewal is no renewal: the lease then runs out on the clock.
            with contextlib.suppress(PlatformError):
                yield from self.step()
            yield Sleep(self.period * (0.9 + 0.2 * self._rng.random()))

    def step(self) -> Task:
        """Read the row and renew or take the lease if that is right."""
        (row,) = yield from self._documents.read([LEASE_PREFIX + self.name])
        self._observe(row)
        if row.value is not None and row.value["holder"] == self._holder:
            if self._lease is not None and row.value["fencing"] == self._lease.fencing:
                yield from self._write(row, row.value["fencing"])
                return
            # The row is ours but its write was never confirmed: only a new number is sure.
            yield from self._write(row, row.value["fencing"] + 1)
            return
        self._lease = None
        if self._is_free(row):
            fencing = row.value["fencing"] + 1 if row.value else 1
            yield from self._write(row, fencing)

    def _observe(self, row: Document) -> None:
        if self._seen is None or row.revision != self._seen.revision:
            self._seen = row
            self._seen_since = self._now()

    def _is_free(self, row: Document) -> bool:
        if row.value is None or row.value["holder"] == "":
            return True
        return self._now() - self._seen_since >= self._duration + self._wait_extra

    def _write(self, row: Document, fencing: int) -> Task:
        sent_at = self._now()
        value = {"holder": self._holder, "fencing": fencing}
        if (yield from self._documents.replace(row, value)):
            self._lease = Lease(self.name, fencing, sent_at + self._duration)
        else:
            self._lease = None

    def release(self) -> Task:
        """Give the lease back, so that a successor need not wait."""
        lease, self._lease = self._lease, None
        if lease is None:
            return
        try:
            (row,) = yield from self._documents.read([LEASE_PREFIX + self.name])
            if row.value is None or row.value["holder"] != self._holder:
                return
            value = {"holder": "", "fencing": row.value["fencing"]}
            yield from self._documents.replace(row, value)
        except PlatformError:
            return  # the lease runs out by itself
