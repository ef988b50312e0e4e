"""Gossip of facts, status and configuration between entry processes.

A change is pushed at once to a few peers, which forward it if it is new to them; a periodic
anti-entropy exchange of digests with random peers repairs lost pushes. The classes here do no I/O:
they take and return messages.
"""

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace
from typing import Any

from flamingofront.decisions.quarantine_facts import QuarantineUpdate
from flamingofront.process.membership import Fact, FactTable, Role, VmState
from flamingofront.process.quarantine_codec import (
    decode_quarantine_update,
    encode_quarantine_update,
)
from flamingofront.process.status import StatusRecord, StatusTable
from flamingofront.version.model import (
    Configuration,
    configuration_from_json,
    configuration_to_json,
)

__all__ = ["Digest", "DigestReply", "Dissemination", "Push"]

# Number of peers that each change is pushed to.
PUSH_FANOUT = 4


@dataclass(frozen=True)
class Digest:
    """Summary of a process's state, sent in the periodic anti-entropy exchange.

    Parameters
    ----------
    sender : str
        VM id of the sending process.
    revision : int
        Revision of the sender's active configuration.
    hashes : tuple of int
        Hash of each bucket of the sender's facts.
    records : tuple of StatusRecord
        The sender's own status record and some that it received.
    quarantine : QuarantineUpdate or None
        Quarantine update, None if there is nothing to send.
    """

    sender: str
    revision: int
    hashes: tuple[int, ...]
    records: tuple[StatusRecord, ...]
    quarantine: QuarantineUpdate | None = None

    def to_json(self) -> dict[str, Any]:
        """Return the digest as JSON values."""
        return {
            "sender": self.sender,
            "revision": self.revision,
            "hashes": list(self.hashes),
            "records": [each.to_json() for each in self.records],
            "quarantine": encode_quarantine_update(self.quarantine),
        }

    @classmethod
    def from_json(cls, data: dict[str, Any]) -> "Digest":
        """Return the digest encoded by `to_json`."""
        records = tuple(StatusRecord.from_json(each) for each in data["records"])
        update = decode_quarantine_update(data.get("quarantine"))
        return cls(data["sender"], data["revision"], tuple(data["hashes"]), records, update)


@dataclass(frozen=True)
class Push:
    """Changed facts, a new configuration or a quarantine update, sent without being requested."""

    facts: tuple[Fact, ...] = ()
    configuration: Configuration | None = None
    quarantine: QuarantineUpdate | None = None

    def to_json(self) -> dict[str, Any]:
        """Return the push as JSON values."""
        cfg = self.configuration
        return {
            "facts": [each.to_json() for each in self.facts],
            "configuration": None if cfg is None else configuration_to_json(cfg),
            "quarantine": encode_quarantine_update(self.quarantine),
        }

    @classmethod
    def from_json(cls, data: dict[str, Any]) -> "Push":
        """Return the push encoded by `to_json`."""
        cfg = data["configuration"]
        return cls(
            tuple(Fact.from_json(each) for each in data["facts"]),
            None if cfg is None else configuration_from_json(cfg),
            decode_quarantine_update(data.get("quarantine")),
        )


@dataclass(frozen=True)
class DigestReply:
    """Reply to a digest.

    Parameters
    ----------
    digest : Digest
        Digest of the replying process.
    push : Push
        Facts and configuration that the sender of the first digest may lack.
    wanted_buckets : tuple of int
        Buckets whose facts the replying process requests.
    """

    digest: Digest
    push: Push
    wanted_buckets: tuple[int, ...]

    def to_json(self) -> dict[str, Any]:
        """Return the reply as JSON values."""
        return {
            "digest": self.digest.to_json(),
            "push": self.push.to_json(),
            "wanted": list(self.wanted_buckets),
        }

    @classmethod
    def from_json(cls, data: dict[str, Any]) -> "DigestReply":
        """Return the reply encoded by `to_json`."""
        return cls(
            Digest.from_json(data["digest"]), Push.from_json(data["push"]), tuple(data["wanted"])
        )


class Dissemination:
    """Gossip state and protocol of one process.

    Parameters
    ----------
    own : Fact
        Membership fact about this process.
    on_configuration : callable
        Called with each configuration of a higher revision than the last.
    on_facts : callable
        Called with the facts that changed.
    build_status_record : callable
        Returns a current status record of this process.

    Attributes
    ----------
    build_quarantine_update : callable
        Returns the quarantine update to send, None if there is nothing to send.
    on_quarantine_update : callable
        Called with each quarantine update received, None if a message had none.
    """

    def __init__(
        self,
        local_fact: Fact,
        rng: random.Random,
        on_configuration: Callable[[Configuration], None],
        on_facts: Callable[[tuple[Fact, ...]], None],
        build_status_record: Callable[[], StatusRecord],
    ):
        self.own_id = local_fact.vm_id
        self.facts = FactTable()
        self.statuses = StatusTable()
        self.configuration = Configuration()
        self.build_quarantine_update: Callable[[], QuarantineUpdate | None] = lambda: None
        self.on_quarantine_update: Callable[[QuarantineUpdate | None], None] = lambda update: None
        self._rng = rng
        self._on_configuration = on_configuration
        self._on_facts = on_facts
        self._build_status_record = build_status_record
        self.facts.merge((local_fact,))

    def set_address(self, address: str) -> None:
        """Set the address of this process; must be called before the first message is sent."""
        local_fact = self.facts.get(self.own_id)
        self.facts.clear()
        self.facts.merge((replace(local_fact, address=address),))

    def peers(self) -> tuple[Fact, ...]:
        """Return the facts of all other entry processes, live or leaving."""
        members = self.facts.select(Role.ENTRY) + self.facts.select(Role.ENTRY, VmState.LEAVING)
        return tuple(each for each in members if each.vm_id != self.own_id)

    def pick_peers(self, count: int) -> list[Fact]:
        """Return up to `count` random peers, at least one of them in another zone if possible."""
        peers = self.peers()
        if len(peers) <= count:
            return list(peers)
        zone = self.facts.get(self.own_id).zone
        picked = self._rng.sample(peers, count)
        if all(each.zone == zone for each in picked):
            elsewhere = [each for each in peers if each.zone != zone]
            if elsewhere:
                picked[0] = self._rng.choice(elsewhere)
        return picked

    def merge_facts(self, facts: Iterable[Fact]) -> Push | None:
        """Merge facts; return the changed ones as a push to forward, None if none changed."""
        changed = self.facts.merge(facts)
        if not changed:
            return None
        for fact in changed:
            if fact.state is VmState.GONE:
                self.statuses.forget(fact.vm_id)
        self._on_facts(changed)
        return Push(facts=changed)

    def apply_configuration(self, cfg: Configuration) -> Push | None:
        """Activate a configuration if it is newer; return the push to forward, else None."""
        if cfg.revision <= self.configuration.revision:
            return None
        self.configuration = cfg
        self._on_configuration(cfg)
        return Push(configuration=cfg)

    def apply_push(self, push: Push) -> Push | None:
        """Apply a peer's push; return its new content to forward, None if nothing was new."""
        self.on_quarantine_update(push.quarantine)
        facts = self.merge_facts(push.facts)
        cfg = None if push.configuration is None else self.apply_configuration(push.configuration)
        if facts is None and cfg is None:
            return None
        return Push(facts.facts if facts else (), cfg.configuration if cfg else None)

    def make_digest(self, now: float) -> Digest:
        """Return a digest of the current state for a periodic exchange."""
        records = self.statuses.select_for_digest(self._build_status_record(), now, self._rng)
        return Digest(
            self.own_id,
            self.configuration.revision,
            self.facts.hashes(),
            tuple(records),
            self.build_quarantine_update(),
        )

    def answer_digest(self, digest: Digest, now: float) -> DigestReply:
        """Merge a peer's digest and return the reply."""
        self.statuses.merge(digest.records, now)
        self.on_quarantine_update(digest.quarantine)
        differing = self.facts.find_differing_buckets(digest.hashes)
        newer = self.configuration.revision > digest.revision
        push = Push(
            self.facts.list_facts_in_buckets(differing), self.configuration if newer else None
        )
        return DigestReply(self.make_digest(now), push, differing)

    def apply_reply(self, reply: DigestReply, now: float) -> tuple[Push | None, Push | None]:
        """Apply a peer's reply to a digest of this process.

        Returns
        -------
        to_peer : Push or None
            Facts and configuration that the peer lacks.
        onward : Push or None
            Content that was new here, to forward to other peers.
        """
        self.statuses.merge(reply.digest.records, now)
        self.on_quarantine_update(reply.digest.quarantine)
        requested = self.facts.list_facts_in_buckets(reply.wanted_buckets)
        newer = self.configuration.revision > reply.digest.revision
        onward = self.apply_push(reply.push)
        received = frozenset(reply.push.facts)
        lacking = tuple(each for each in requested if each not in received)
        to_peer = None
        if lacking or newer:
            to_peer = Push(lacking, self.configuration if newer else None)
        return to_peer, onward
