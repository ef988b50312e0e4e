"""Membership facts: which VMs are live, leaving or gone.

Facts about a VM are ordered by incarnation, then by state (live, leaving, gone), and only a higher
one replaces another. So facts from any source (platform, notice, peer) merge to the same result in
any order, and a stale list cannot revive a VM.
"""

import hashlib
from collections.abc import Iterable
from dataclasses import dataclass, replace
from enum import StrEnum
from typing import Any

__all__ = ["BUCKETS", "Fact", "FactTable", "Role", "VmState"]

# Number of hash buckets that facts are compared by.
BUCKETS = 16
HASH_BYTES = 4


class Role(StrEnum):
    """Purpose of a VM."""

    ENTRY = "entry"
    ENDPOINT = "endpoint"


class VmState(StrEnum):
    """State of one incarnation of a VM; it only advances."""

    LIVE = "live"
    LEAVING = "leaving"
    GONE = "gone"


_STATE_RANK = {VmState.LIVE: 0, VmState.LEAVING: 1, VmState.GONE: 2}


@dataclass(frozen=True)
class Fact:
    """Membership entry of one VM.

    Parameters
    ----------
    incarnation : int
        Start time of its process in milliseconds since the epoch; 0 for VMs that run no process of
        this system, or if unknown.
    address : str
        ``IP:PORT`` of an endpoint, or of the control server of an entry VM.
    slots : int
        Concurrent requests that an endpoint advertises; 0 if it advertises no number.
    """

    vm_id: str
    incarnation: int
    state: VmState
    role: Role
    zone: str
    address: str
    service: str = ""
    side: str = ""
    vm_class: str = "standard"
    reclaimable: bool = True
    price: float = 1.0
    model: str = ""
    slots: int = 0

    @property
    def rank(self) -> tuple[int, int]:
        """Sort key: the fact with the higher rank supersedes others about the same VM."""
        return self.incarnation, _STATE_RANK[self.state]

    def to_json(self) -> list[Any]:
        """Return the fact as a list of JSON values."""
        return [
            self.vm_id,
            self.incarnation,
            self.state.value,
            self.role.value,
            self.zone,
            self.address,
            self.service,
            self.side,
            self.vm_class,
            self.reclaimable,
            self.price,
            self.model,
            self.slots,
        ]

    @classmethod
    def from_json(cls, values: list[Any]) -> "Fact":
        """Return the fact encoded by `to_json`."""
        vm_id, incarnation, state, role, *rest = values
        return cls(vm_id, incarnation, VmState(state), Role(role), *rest)


def _get_bucket(vm_id: str) -> int:
    return hashlib.blake2b(vm_id.encode(), digest_size=1).digest()[0] % BUCKETS


def _hash_fact(fact: Fact) -> int:
    text = f"{fact.vm_id}/{fact.incarnation}/{fact.state}"
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=HASH_BYTES).digest(), "big")


class FactTable:
    """Facts about all VMs, the latest of each.

    Attributes
    ----------
    changes : int
        Number of changes so far, for caches that depend on the table.

    Notes
    -----
    The hash of a bucket is the exclusive-or of its facts' hashes, updated with each change, so that
    building a digest costs the same for 8 and for 410 members.
    """

    def __init__(self):
        self._facts: dict[str, Fact] = {}
        self._hashes = [0] * BUCKETS
        self.changes = 0

    def __len__(self) -> int:
        return len(self._facts)

    def clear(self) -> None:
        """Remove all facts."""
        self._facts.clear()
        self._hashes = [0] * BUCKETS
        self.changes += 1

    def get(self, vm_id: str) -> Fact | None:
        """Return the fact about a VM, None if there is none."""
        return self._facts.get(vm_id)

    def all(self) -> tuple[Fact, ...]:
        """Return the facts about all VMs."""
        return tuple(self._facts.values())

    def select(self, role: Role, state: VmState = VmState.LIVE) -> tuple[Fact, ...]:
        """Return the facts of one role and state."""
        return tuple(
            each for each in self._facts.values() if each.role is role and each.state is state
        )

    def merge(self, facts: Iterable[Fact]) -> tuple[Fact, ...]:
        """Merge facts and return those that superseded an older one or are about a new VM."""
        return tuple(fact for fact in facts if self._merge_fact(fact))

    def _merge_fact(self, fact: Fact) -> bool:
        current = self._facts.get(fact.vm_id)
        if current is not None and current.rank >= fact.rank:
            return False
        bucket = _get_bucket(fact.vm_id)
        if current is not None:
            self._hashes[bucket] ^= _hash_fact(current)
        self._hashes[bucket] ^= _hash_fact(fact)
        self._facts[fact.vm_id] = fact
        self.changes += 1
        return True

    def advance_state(self, vm_id: str, state: VmState) -> tuple[Fact, ...]:
        """Move a VM to a later state; return the changed fact, empty if nothing changed."""
        current = self._facts.get(vm_id)
        return () if current is None else self.merge((replace(current, state=state),))

    def hashes(self) -> tuple[int, ...]:
        """Return the hash of each bucket."""
        return tuple(self._hashes)

    def find_differing_buckets(self, hashes: Iterable[int]) -> tuple[int, ...]:
        """Return the indices of the buckets whose hash differs from the given one."""
        pairs = zip(self._hashes, hashes, strict=True)
        return tuple(index for index, (local, remote) in enumerate(pairs) if local != remote)

    def list_facts_in_buckets(self, buckets: Iterable[int]) -> tuple[Fact, ...]:
        """Return the facts in the given buckets."""
        indices = frozenset(buckets)
        if not indices:
            return ()
        return tuple(each for each in self._facts.values() if _get_bucket(each.vm_id) in indices)
