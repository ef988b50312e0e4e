"""Status records: the state that each entry process gossips about itself.

A record is replaced by a later one of the same process (by incarnation, then sequence). Receiving a
new record shows that its process is live; this guides choices and never grants authority.
"""

import random
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any

__all__ = ["StatusRecord", "StatusTable"]

LIVENESS_TIMEOUT_SECONDS = 5.0
MAX_RELAYED_RECORDS = 12


@dataclass(frozen=True)
class StatusRecord:
    """Reported state of one entry process.

    Parameters
    ----------
    revision : int
        Revision of the active configuration there.
    demand : mapping of str to int
        Requests in flight there by workspace.
    loads : mapping of str to float
        Load of the endpoints that it polls, by endpoint id.
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
        """Sort key: the record with the higher rank supersedes others of the same process."""
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
        """Return the record encoded by `to_json`."""
        return cls(*values)


class StatusTable:
    """The latest record of each process, and when it was received."""

    def __init__(self):
        self._records: dict[str, tuple[StatusRecord, float]] = {}

    def merge(self, records: Iterable[StatusRecord], now: float) -> None:
        """Store records received at `now`; a record that is not newer is ignored."""
        for record in records:
            current = self._records.get(record.vm_id)
            if current is None or record.rank > current[0].rank:
                self._records[record.vm_id] = (record, now)

    def forget(self, vm_id: str) -> None:
        """Remove the record of a process that is gone."""
        self._records.pop(vm_id, None)

    def get(self, vm_id: str) -> StatusRecord | None:
        """Return the latest record of a process, None if there is none."""
        current = self._records.get(vm_id)
        return current[0] if current else None

    def all(self) -> tuple[StatusRecord, ...]:
        """Return the latest record of each process."""
        return tuple(record for record, _ in self._records.values())

    def live_records(self, now: float) -> tuple[StatusRecord, ...]:
        """Return the records received within the liveness timeout."""
        return tuple(
            record for record, at in self._records.values() if now - at <= LIVENESS_TIMEOUT_SECONDS
        )

    def age(self, vm_id: str, now: float) -> float | None:
        """Return the seconds since the latest record of a process was received, None if never."""
        current = self._records.get(vm_id)
        return None if current is None else now - current[1]

    def select_for_digest(
        self, local_record: StatusRecord, now: float, rng: random.Random
    ) -> list[StatusRecord]:
        """Return the records for one digest: `local_record` and a random sample of live ones."""
        others = [each for each in self.live_records(now) if each.vm_id != local_record.vm_id]
        if len(others) > MAX_RELAYED_RECORDS:
            others = rng.sample(others, MAX_RELAYED_RECORDS)
        return [local_record, *others]
