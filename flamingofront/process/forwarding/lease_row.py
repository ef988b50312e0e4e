"""Row of the store with the holder of the leader lease."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

import orjson

from flamingofront.errors import PlatformError
from flamingofront.process.store import StoredRow

__all__ = [
    "LEADER_KEY",
    "LEADER_PARTITION",
    "LEADER_TABLE",
    "LeaseState",
    "decode_state",
    "encode_state",
    "find_lease_row",
]

LEADER_TABLE = "duties"
LEADER_PARTITION = "duties"
LEADER_KEY = "all"


@dataclass(frozen=True)
class LeaseState:
    """Contents of the lease row.

    Parameters
    ----------
    holder : str
        VM of the lease holder, empty if nobody holds the lease.
    incarnation : int
        Incarnation of the holder's process.
    fencing : int
        Fencing token; grows with each change of holder.
    reports : mapping
        Usage counts by window that were, or are about to be, reported.
    past : tuple of str
        VMs that held the lease before, the most recent first.
    era : int
        Era of the store in which the row was written.
    reports_from : int
        First usage window of which `reports` tells whether it was reported. A restore of the store
        has removed what earlier holders recorded of the windows before it.
    holders_unknown : bool
        True from a restore on until a holder has waited for a whole lease: VMs that have just held
        the lease may be missing in `past`.
    """

    holder: str = ""
    incarnation: int = 0
    fencing: int = 0
    reports: Mapping[str, Mapping[str, int]] = field(default_factory=dict)
    past: tuple[str, ...] = ()
    era: int = 0
    reports_from: int = 0
    holders_unknown: bool = False


def find_lease_row(rows: Iterable[StoredRow]) -> StoredRow | None:
    """Return the row of the lease among rows of its partition; None if there is none."""
    return next((each for each in rows if each.key == LEADER_KEY), None)


def encode_state(state: LeaseState) -> bytes:
    """Return the value of the row."""
    return orjson.dumps(state)


def decode_state(row: StoredRow | None) -> LeaseState:
    """Return the state in a row, or an empty state if there is no row.

    Raises
    ------
    PlatformError
        If the row is malformed.
    """
    if row is None or row.value is None:
        return LeaseState()
    try:
        values = orjson.loads(row.value)
        return LeaseState(**{**values, "past": tuple(values.get("past", ()))})
    except (TypeError, orjson.JSONDecodeError) as exc:
        raise PlatformError(f"malformed leader lease row: {exc}") from exc
