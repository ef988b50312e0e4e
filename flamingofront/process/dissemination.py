"""Spread facts, status and configuration among the entry processes.

News is pushed at once to a few peers, which push it on when it was news to them; a periodic
exchange of digests with random peers repairs what the pushes missed. Decisions only: messages go
in and out.
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

PUSH_FANOUT = 4


@dataclass(frozen=True)
class Digest:
    """What one process tells another in the periodic exchange."""

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
        """Return the digest that `to_json` was called on."""
        records = tuple(StatusRecord.from_json(each) for each in data["records"])
        word = decode_quarantine_update(data.get("quarantine"))
        return cls(data["sender"], data["revision"], tuple(data["hashes"]), records, word)


@dataclass(frozen=True)
class Push:
    """Facts, a configuration or word of what crashes endpoints, sent because they are news."""

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
        """Return the push that `to_json` was called on."""
        cfg = data["configuration"]
        return cls(
            tuple(Fact.from_json(each) for each in data["facts"]),
            None if cfg is None else configuration_from_json(cfg),
            decode_quarantine_update(data.get("quarantine")),
        )


@dataclass(frozen=True)
class DigestReply:
    """Answer to a digest: what the sender lacks, and what this process would like to have."""

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
        """Return the reply that `to_json` was called on."""
        return cls(
            Digest.from_json(data["digest"]), Push.from_json(data["push"]), tuple(data["wanted"])
        )


class Dissemination:
    """The gossip decisions of one process.

    Parameters
    ----------
    own : Fact
        The fact about this process.
    on_configuration : callable
        Gets each configuration with a higher revision than the one before.
    on_facts : callable
        Gets the facts that were news.
    own_record : callable
        Returns the current status record of this process.

    Attributes
    ----------
    word : callable
        Returns what is to be told of requests that crash endpoints.
    on_quarantine_update : callable
        Gets what others tell of them.
    """

    def __init__(
        self,
        own: Fact,
        rng: random.Random,
        on_configuration: Callable[[Configuration], None],
        on_facts: Callable[[tuple[Fact, ...]], None],
        own_record: Callable[[], StatusRecord],
    ):
        self.own_id = own.vm_id
        self.facts = FactTable()
        self.statuses = StatusTable()
        self.configuration = Configuration()
        self.build_quarantine_update: Callable[[], QuarantineUpdate | None] = lambda: None
        self.on_quarantine_update: Callable[[QuarantineUpdate | None], None] = lambda word: None
        self._rng = rng
        self._on_configuration = on_configuration
        self._on_facts = on_facts
        self._own_record = own_record
        self.facts.merge((own,))

    def set_address(self, address: str) -> None:
        """Change the address of this process, before anybody was told of it."""
        own = self.facts.get(self.own_id)
        self.facts.clear()
        self.facts.merge((replace(own, address=address),))

    def peers(self) -> tuple[Fact, ...]:
        """Return the other entry processes that are not gone."""
        members = self.facts.select(Role.ENTRY) + self.facts.select(Role.ENTRY, VmState.LEAVING)
        return tuple(each for each in members if each.vm_id != self.own_id)

    def pick_peers(self, count: int) -> list[Fact]:
        """Return random peers, at least one of them in another zone where there is one."""
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
        """Merge facts; return the push to send on if any was news."""
        news = self.facts.merge(facts)
        if not news:
            return None
        for fact in news:
            if fact.state is VmState.GONE:
                self.statuses.forget(fact.vm_id)
        self._on_facts(news)
        return Push(facts=news)

    def apply_configuration(self, cfg: Configuration) -> Push | None:
        """Put a configuration in force if it is newer; return the push to send on."""
        if cfg.revision <= self.configuration.revision:
            return None
        self.configuration = cfg
        self._on_configuration(cfg)
        return Push(configuration=cfg)

    def apply_push(self, push: Push) -> Push | None:
        """Take a peer's push; return what of it was news and should be pushed on."""
        self.on_quarantine_update(push.quarantine)
        facts = self.merge_facts(push.facts)
        cfg = None if push.configuration is None else self.apply_configuration(push.configuration)
        if facts is None and cfg is None:
            return None
        return Push(facts.facts if facts else (), cfg.configuration if cfg else None)

    def make_digest(self, now: float) -> Digest:
        """Return the digest for a periodic exchange."""
        records = self.statuses.select_for_digest(self._own_record(), now, self._rng)
        return Digest(
            self.own_id,
            self.configuration.revision,
            self.facts.hashes(),
            tuple(records),
            self.build_quarantine_update(),
        )

    def answer_digest(self, digest: Digest, now: float) -> DigestReply:
        """Take a peer's digest and answer it."""
        self.statuses.merge(digest.records, now)
        self.on_quarantine_update(digest.quarantine)
        differing = self.facts.differing(digest.hashes)
        newer = self.configuration.revision > digest.revision
        push = Push(self.facts.in_buckets(differing), self.configuration if newer else None)
        return DigestReply(self.make_digest(now), push, differing)

    def apply_reply(self, reply: DigestReply, now: float) -> tuple[Push | None, Push | None]:
        """Take the answer to an own digest.

        Returns
        -------
        to_peer : Push or None
            What the peer lacks.
        onward : Push or None
            What was news here and should be pushed to others.
        """
        self.statuses.merge(reply.digest.records, now)
        self.on_quarantine_update(reply.digest.quarantine)
        missing = self.facts.in_buckets(reply.wanted_buckets)
        newer = self.configuration.revision > reply.digest.revision
        onward = self.apply_push(reply.push)
        known = frozenset(reply.push.facts)
        lacking = tuple(each for each in missing if each not in known)
        to_peer = None
        if lacking or newer:
            to_peer = Push(lacking, self.configuration if newer else None)
        return to_peer, onward
