"""Control addresses of the peers that a process calls for different purposes."""

import random
from collections.abc import Callable, Iterable

from flamingofront.process.forwarding.peers import Peers
from flamingofront.process.forwarding.reports import PeerReport

__all__ = ["PeerAddresses"]


class PeerAddresses:
    """Lists control addresses of peers; all entry processes use the same control port.

    Parameters
    ----------
    identity : PeerReport
        Identity of this process.
    now : callable
        Time of the timer service.
    """

    def __init__(
        self, identity: PeerReport, peers: Peers, now: Callable[[], float], rng: random.Random
    ):
        self._identity = identity
        self._peers = peers
        self._now = now
        self._rng = rng

    def remote_relays(self) -> list[str]:
        """Return the addresses of the other zones' relays, in random order."""
        return self._shuffle(self._peers.relaying.remote_relays() if self._peers.is_relayed else [])

    def zone_peers(self) -> list[str]:
        """Return the addresses of the other processes in the zone, in random order."""
        members = self._peers.relaying.zone_members() if self._peers.is_relayed else {}
        return self._shuffle({*members.values()} - {self._identity.ip})

    def proxies(self) -> list[str]:
        """Return the addresses of the peers that may proxy attempts."""
        if not self._peers.is_relayed:
            live = self._peers.table.live_reports(self._now())
            return [each.address for each in live if not each.leaving]
        return self._convert(sorted(self._peers.relaying.known_ips() - {self._identity.ip}))

    def _shuffle(self, ips: Iterable[str]) -> list[str]:
        ordered = sorted(ips)
        return self._convert(self._rng.sample(ordered, len(ordered)))

    def _convert(self, ips: Iterable[str]) -> list[str]:
        address, local_ip = self._identity.address, self._identity.ip
        return [address.replace(local_ip, each, 1) for each in ips]
