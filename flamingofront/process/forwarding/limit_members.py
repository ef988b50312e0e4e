"""Ranking of the entry processes that may arbitrate the limits of endpoints."""

from collections.abc import Callable

from flamingofront.process.forwarding.peers import Peers
from flamingofront.process.forwarding.quota_members import QuotaMembers

__all__ = ["LimitMembers"]


class LimitMembers:
    """Ranks the processes that may decide on the limit of an endpoint.

    Parameters
    ----------
    local_ip : str
        IP address of this process.
    is_stopping : callable
        Returns True once this process shuts down.
    """

    def __init__(
        self, local_ip: str, members: QuotaMembers, peers: Peers, is_stopping: Callable[[], bool]
    ):
        self._local_ip = local_ip
        self._members = members
        self._peers = peers
        self._is_stopping = is_stopping

    def rank_arbiters(self, key: str) -> list[str]:
        """Return the IP addresses of the processes that may decide, best first.

        Notes
        -----
        A process that shuts down leaves the decision to others, which no longer ask it: two
        arbiters would grant the limit twice.
        """
        ranked = self._members.rank_by_hash(key)
        return [ip for ip in ranked if not (self._is_stopping() and ip == self._local_ip)]

    def live_share(self) -> float:
        """Return the live fraction of all processes if a zone is unreachable, otherwise 1."""
        return self._peers.live_share() if self._peers.unreachable_zones() else 1.0
