"""Which entry processes may decide on the limits of endpoints, as this process hears them."""

from collections.abc import Callable

from flamingofront.process.forwarding.peers import Peers
from flamingofront.process.forwarding.quota_members import QuotaMembers

__all__ = ["LimitMembers"]


class LimitMembers:
    """Ranks the processes that may decide on the limit of an endpoint.

    Parameters
    ----------
    local_ip : str
        IP number of this process.
    is_stopping : callable
        Returns True once this process stops.
    """

    def __init__(
        self, local_ip: str, members: QuotaMembers, peers: Peers, is_stopping: Callable[[], bool]
    ):
        self._local_ip = local_ip
        self._members = members
        self._peers = peers
        self._is_stopping = is_stopping

    def ranked(self, key: str) -> list[str]:
        """Return the IP numbers of the processes that may decide, the first one first.

        Notes
        -----
        A process that stops leaves it to the others, who do not ask it any more: two deciders would
        give out the limit twice.
        """
        ranked = self._members.rank_by_hash(key)
        return [ip for ip in ranked if not (self._is_stopping() and ip == self._local_ip)]

    def heard_part(self) -> float:
        """Return the part of the processes that is heard, if a zone is silent; else 1."""
        return self._peers.live_share() if self._peers.unreachable_zones() else 1.0
