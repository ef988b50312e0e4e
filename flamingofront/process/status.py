"""Status records: what each entry process tells the others about itself.

A record is replaced by a later one of the same process (incarnation, then sequence). Hearing a new
record is the sign of life of its process; it guides choices and never gives authority.
"""

import random
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any

__all__ = ["StatusRecord", "StatusTable"]

HEARD_SECONDS = 5.0
MAX_RELAYED = 12


@dataclass(frozen=True)
class StatusRecord:
    """State of one entry process.

    Parameters
    ----------
    revision : int
        Configuration in force there.
    demand : mapping of str to int
        Requests held there by workspace.
    loads : mapping of str to float
        Load reports that it has read from endpoints.
    """

    vm_id: str
    incarnation: int
    sequence: int
    zone: str
    revision: int
    ready: bool
    in_flight: int = 0
    demand: Mapping[str, int] = field(default_factory=dict)
    loads: Mapping[str, float] = field(default_factory=dict)

    @property
    def rank(self) -> tuple[int, int]:
        """Order in which records of the same process supersede each other."""
        return self.incarnation, self.sequence

    def to_json(self) -> list[Any]:
        """Return the record as a list of JSON values."""
        return [
            self.vm_id,
            self.incarnation,
            self.sequence,
            self.zone,
            self.revision,
            self.ready,
            self.in_flight,
            dict(self.demand),
            dict(self.loads),
        ]

    @classmethod
    def from_json(cls, values: list[Any]) -> "StatusRecord":
        """Return the record that `to_json` was called on."""
        return cls(*values)


class StatusTable:
    """The latest record of each process, and when it was heard."""

    def __init__(self):
        self._records: dict[str, tuple[StatusRecord, float]] = {}

    def merge(self, records: Iterable[StatusRecord], now: float) -> None:
        """Take records in; one that is not newer is ignored."""
        for record in records:
            known = self._records.get(record.vm_id)
            if known is None or record.rank > known[0].rank:
                self._records[record.vm_id] = (record, now)

    def forget(self, vm_id: str) -> None:
        """Drop the record of a process that is gone."""
        self._records.pop(vm_id, None)

    def get(self, vm_id: str) -> StatusRecord | None:
        """Return the latest record of a process."""
        known = self._records.get(vm_id)
        return known[0] if known else None

    def all(self) -> tuple[StatusRecord, ...]:
        """Return the latest record of each process."""
        return tuple(record for record, _ in self._records.values())

    def heard(self, now: float) -> tuple[StatusRecord, ...]:
        """Return the records that were heard lately."""
        return tuple(record for record, at in self._records.values() if now - at <= HEARD_SECONDS)

    def age(self, vm_id: str, now: float) -> float | None:
        """Return the seconds since a process was heard of."""
        known = self._records.get(vm_id)
        return None if known is None else now - known[1]

    def relay(self, own: StatusRecord, now: float, rng: random.Random) -> list[StatusRecord]:
        """Return the records for one digest: the own one and some that were heard lately."""
        others = [each for each in self.heard(now) if each.vm_id != own.vm_id]
        if len(others) > MAX_RELAYED:
            others = rng.sample(others, MAX_RELAYED)
        return [own, *others]
