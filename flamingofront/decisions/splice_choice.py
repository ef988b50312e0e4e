"""Choice of the peer that serves connections which an overloaded process hands over.

Delays are reported a few times a second. Until the next report the connections that a peer has not
begun to answer show how busy it is: it gets no more while there are many. Of two peers taken at
random the one with fewer of them is chosen.
"""

import random
from collections.abc import Mapping

from flamingofront.decisions.accept_control import MAX_DELAY_SECONDS, MIN_RATIO_TO_PEERS

__all__ = ["SplicePeers"]

# Time for which a peer that accepted no connection gets no other one.
AVOID_SECONDS = 1.0
# A VM that serves a hundred requests a second answers so many within 0.3 s.
MAX_UNANSWERED = 28


class SplicePeers:
    """Chooses peers, and remembers for a while those that accepted no connection.

    Parameters
    ----------
    rng : random.Random
        Takes the two peers.
    """

    def __init__(self, rng: random.Random):
        self._rng = rng
        self._avoid_until: dict[str, float] = {}

    def choose(
        self,
        now: float,
        own_delay: float,
        delays: Mapping[str, float],
        unanswered: Mapping[str, int],
    ) -> str | None:
        """Return the peer that serves a connection; None if none has room.

        Parameters
        ----------
        own_delay : float
            Seconds until this process reads a new connection.
        delays : mapping of str to float
            The same of the peers, by IP address.
        unanswered : mapping of str to int
            Connections that were handed to each peer, and that it has not begun to answer.
        """
        self._avoid_until = {ip: at for ip, at in self._avoid_until.items() if at > now}
        limit = min(MAX_DELAY_SECONDS, own_delay / MIN_RATIO_TO_PEERS)
        fitting = sorted(
            ip
            for ip, each in delays.items()
            if each < limit
            and unanswered.get(ip, 0) < MAX_UNANSWERED
            and ip not in self._avoid_until
        )
        if not fitting:
            return None
        pair = self._rng.sample(fitting, min(2, len(fitting)))
        return min(pair, key=lambda ip: (unanswered.get(ip, 0), delays[ip], ip))

    def record_failure(self, now: float, ip: str) -> None:
        """Record that a peer accepted no connection."""
        self._avoid_until[ip] = now + AVOID_SECONDS
