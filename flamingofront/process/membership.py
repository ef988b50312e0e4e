"""Membership facts: which VMs are live, leaving or gone.

A fact about a VM only ever grows, in the order of its incarnation and then live, leaving, gone.
Facts from any source (platform, notice, peer) merge in any order to the same result, and a stale
list cannot revive a VM.
"""

import hashlib
from collections.abc import Iterable
from dataclasses import dataclass, replace
from enum import StrEnum
from typing import Any

__all__ = ["BUCKETS", "Fact", "FactTable", "Role", "VmState"]

BUCKETS = 16
HASH_BYTES = 4


class Role(StrEnum):
    """What a VM is for."""

    ENTRY = "entry"
    ENDPOINT = "endpoint"


class VmState(StrEnum):
    """State of one incarnation of a VM; it never goes back."""

    LIVE = "live"
    LEAVING = "leaving"
    GONE = "gone"


_STATE_RANK = {VmState.LIVE: 0, VmState.LEAVING: 1, VmState.GONE: 2}


@dataclass(frozen=True)
class Fact:
    """What is known about one VM.

    Parameters
    ----------
    incarnation : int
        Start of its process; 0 for VMs that run no process of this system.
    address : str
        ``IP:PORT`` of an endpoint, or of the control server of an entry VM.
    slots : int
        Requests that an endpoint says it runs at once; 0 if it says nothing.
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
        """Order in which facts about the same VM supersede each other."""
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
        """Return the fact that `to_json` was called on."""
        vm_id, incarnation, state, role, *rest = values
        return cls(vm_id, incarnation, VmState(state), Role(role), *rest)


def _bucket_of(vm_id: str) -> int:
    return hashlib.blake2b(vm_id.encode(), digest_size=1).digest()[0] % BUCKETS


def _fact_hash(fact: Fact) -> int:
    text = f"{fact.vm_id}/{fact.incarnation}/{fact.state}"
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=HASH_BYTES).digest(), "big")


class FactTable:
    """All facts that a process knows.

    Notes
    -----
    The hash of a bucket is the exclusive-or of its facts' hashes, kept up to date with each change,
    so that making a digest costs the same for 8 and for 410 members.
    """

    def __init__(self):
        self._facts: dict[str, Fact] = {}
        self._hashes = [0] * BUCKETS
        self.changes = 0

    def __len__(self) -> int:
        return len(self._facts)

    def clear(self) -> None:
        """Forget all facts."""
        self._facts.clear()
        self._hashes = [0] * BUCKETS
        self.changes += 1

    def get(self, vm_id: str) -> Fact | None:
        """Return the fact about a VM."""
        return self._facts.get(vm_id)

    def all(self) -> tuple[Fact, ...]:
        """Return all facts."""
        return tuple(self._facts.values())

    def select(self, role: Role, state: VmState = VmState.LIVE) -> tuple[Fact, ...]:
        """Return the facts of one role and state."""
        return tuple(
            each for each in self._facts.values() if each.role is role and each.state is state
        )

    def merge(self, facts: Iterable[Fact]) -> tuple[Fact, ...]:
        """Take facts in and return those that were news."""
        return tuple(fact for fact in facts if self._merge_one(fact))

    def _merge_one(self, fact: Fact) -> bool:
        known = self._facts.get(fact.vm_id)
        if known is not None and known.rank >= fact.rank:
            return False
        bucket = _bucket_of(fact.vm_id)
        if known is not None:
            self._hashes[bucket] ^= _fact_hash(known)
        self._hashes[bucket] ^= _fact_hash(fact)
        self._facts[fact.vm_id] = fact
        self.changes += 1
        return True

    def mark(self, vm_id: str, state: VmState) -> tuple[Fact, ...]:
        """Move a known VM to a later state and return the fact if that was news."""
        known = self._facts.get(vm_id)
        return () if known is None else self.merge((replace(known, state=state),))

    def hashes(self) -> tuple[int, ...]:
        """Return the hash of each bucket."""
        return tuple(self._hashes)

    def differing(self, hashes: Iterable[int]) -> tuple[int, ...]:
        """Return the buckets whose hash is not the given one."""
        pairs = zip(self._hashes, hashes, strict=True)
        return tuple(index for index, (own, other) in enumerate(pairs) if own != other)

    def in_buckets(self, buckets: Iterable[int]) -> tuple[Fact, ...]:
        """Return the facts in some buckets."""
        wanted = frozenset(buckets)
        if not wanted:
            return ()
        return tuple(each for each in self._facts.values() if _bucket_of(each.vm_id) in wanted)
