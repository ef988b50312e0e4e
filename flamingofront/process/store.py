"""What the product needs of the platform, as abstract classes: table store, object store, cloud.

An implementation translates to a platform's own names and formats and decides nothing. Each
operation is a generator for `flamingofront.process.tasks`.
"""

from abc import ABC, abstractmethod
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from flamingofront.errors import PlatformError
from flamingofront.process.tasks import Task

__all__ = [
    "Cloud",
    "ScalingRequest",
    "HistoryLostError",
    "ObjectStore",
    "RowChanges",
    "RowCondition",
    "RowRange",
    "RowWrite",
    "StoredRow",
    "TableStore",
    "TransactionOutcome",
    "UsageReport",
    "get_era",
    "make_revision",
    "get_era_version",
]

# Versions of one era: a counter of transactions, at 1,200 a second for 464 years.
VERSION_BITS = 44


def make_revision(era: int, version: int) -> int:
    """Return a number that grows with each change of the store, also across its eras.

    Notes
    -----
    A store that comes back from an older copy gives versions out again, in its next era. Everything
    here that compares, keeps or tells a version means this number.
    """
    return era << VERSION_BITS | version


def get_era(make_revision: int) -> int:
    """Return the era of the store in which a change was made."""
    return make_revision >> VERSION_BITS


def get_era_version(make_revision: int) -> int:
    """Return the store's own number of a change within its era."""
    return make_revision & ((1 << VERSION_BITS) - 1)


class HistoryLostError(PlatformError):
    """Changes since the given version are no longer kept: the table must be read anew."""


@dataclass(frozen=True)
class StoredRow:
    """One row; `value` is None if it was deleted, `version` the `make_revision` of its last write."""

    table: str
    part: str
    key: str
    value: bytes | None
    version: int


@dataclass(frozen=True)
class RowRange:
    """Rows of one table and part as of one moment; `version` is the newest of the store."""

    rows: tuple[StoredRow, ...]
    version: int
    truncated: bool = False


@dataclass(frozen=True)
class RowChanges:
    """Rows changed since the asked version, in order; go on from `version`."""

    rows: tuple[StoredRow, ...]
    version: int


@dataclass(frozen=True)
class RowCondition:
    """Requirement that a row has this version; 0 requires its absence."""

    table: str
    key: str
    version: int


@dataclass(frozen=True)
class RowWrite:
    """New value of a row; None deletes it."""

    table: str
    key: str
    value: bytes | None


@dataclass(frozen=True)
class TransactionOutcome:
    """Answer to a transaction: `version` of the store, and the rows as they are if it failed."""

    ok: bool
    version: int
    rows: tuple[StoredRow, ...] = ()


class TableStore(ABC):
    """Rows in tables, with conditional writes and a feed of changes."""

    @abstractmethod
    def read(
        self, table: str, part: str = "", first: str = "", end: str = "", limit: int = 0
    ) -> Task:
        """Return the `RowRange` of a table's part from key `first` on.

        Parameters
        ----------
        end : str
            First key that is left out; empty for none.
        limit : int
            Largest number of rows; 0 for as many as the store returns at once.
        """

    @abstractmethod
    def read_changes(self, table: str, after: int, wait: float) -> Task:
        """Return the `RowChanges` after a version, waiting some seconds for the first.

        Raises
        ------
        HistoryLostError
            If the store no longer knows what changed since then.
        """

    @abstractmethod
    def transact(
        self, part: str, conditions: Sequence[RowCondition], writes: Sequence[RowWrite]
    ) -> Task:
        """Write all rows if all conditions hold; return the `TransactionOutcome`."""


class ObjectStore(ABC):
    """Named objects, too large for a row."""

    @abstractmethod
    def put(self, name: str, data: bytes) -> Task:
        """Store an object; the same bytes under the same name again have no further effect."""

    @abstractmethod
    def get(self, name: str) -> Task:
        """Return the bytes of an object, None if there is none."""

    @abstractmethod
    def drop(self, name: str) -> Task:
        """Remove an object; without effect if there is none."""


@dataclass(frozen=True)
class UsageReport:
    """Requests of each workspace that began to run in one window of the wall clock."""

    window: int
    counts: Mapping[str, int]


@dataclass(frozen=True)
class ScalingRequest:
    """Order for a number of endpoints of one service in one zone."""

    service: str
    zone: str
    count: int
    reclaimable: bool


class Cloud(ABC):
    """Calls that only the holder of a duty may make; each carries its fencing number."""

    @abstractmethod
    def report_usage(self, holder: str, fencing: int, report: UsageReport) -> Task:
        """Send a usage report; raises `PlatformError` if it was not accepted."""

    @abstractmethod
    def request_endpoints(self, holder: str, fencing: int, order: ScalingRequest) -> Task:
        """Send an order; return False if there are no such endpoints to be had now."""
