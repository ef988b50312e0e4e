"""Choice of the peers that proxy attempts to endpoints which this VM does not reach."""

import math
import random
from collections.abc import Callable, Collection, Sequence

from flamingofront.process.timers import TimerService
from flamingofront.request.proxy_messages import ProxyRefusal

__all__ = ["ProxyPeers"]

# Seconds for which a peer is not asked again, by the reason of its refusal. Peers may lose their
# paths together with this VM, for some seconds.
REFUSAL_BACKOFF_SECONDS = {
    ProxyRefusal.NO_PATH: 2.0,
    ProxyRefusal.NO_PATH_TO_ENDPOINT: 2.0,
    ProxyRefusal.NO_IDLE_CONNECTION: 0.1,
    ProxyRefusal.UNKNOWN_ENDPOINT: 0.2,
    ProxyRefusal.BUSY: 0.2,
    ProxyRefusal.STOPPING: 10.0,
}
# Same for a peer that is not reached or does not respond.
FAILURE_BACKOFF_SECONDS = 2.0
JITTER_FRACTION = 0.25
# Pairs of peer and endpoint without a path that are kept before expired ones are dropped.
MAX_NO_PATHS = 1024
# Same for pairs of a peer and an endpoint that it reaches.
MAX_REACHED = 1024
# Time for which a peer counts as proven after a response through it, or its word that it reaches
# an endpoint.
PROVEN_SECONDS = 5.0


class ProxyPeers:
    """Tracks which peers have proxied attempts and which could not.

    Attributes
    ----------
    addresses : callable
        Returns the control addresses of the peers that may be live.
    """

    def __init__(self, timers: TimerService, rng: random.Random):
        self.addresses: Callable[[], Sequence[str]] = lambda: ()
        self._timers = timers
        self._rng = rng
        self._backoff_until: dict[str, float] = {}
        # Until when a peer is not asked for an endpoint that it does not reach.
        self._no_path_until: dict[tuple[str, str], float] = {}
        self._responded_at: dict[str, float] = {}
        # When a peer was last known to reach an endpoint.
        self._reached_at: dict[tuple[str, str], float] = {}

    def choose(self, other_than: Collection[str] = (), endpoint_id: str = "") -> str | None:
        """Return the address of a peer, at random to spread the load; None if there is none.

        Parameters
        ----------
        other_than : collection of str
            Peers that are not to be chosen.
        endpoint_id : str
            Endpoint that the peer has to reach.

        Notes
        -----
        A peer that has just reached the endpoint is preferred: if each VM reaches a few endpoints
        only, most other peers have no path to it. If most peers are in backoff, those that have
        just proxied any attempt are preferred.
        """
        now, addresses = self._timers.now(), self.addresses()
        usable = [
            each
            for each in addresses
            if each not in other_than and self._may_ask(each, endpoint_id, now)
        ]
        reaching = [each for each in usable if self._has_reached(each, endpoint_id, now)]
        if reaching:
            return self._rng.choice(reaching)
        proven = [each for each in usable if now - self.responded_at(each) < PROVEN_SECONDS]
        if proven and 2 * len(usable) < len(addresses):
            usable = proven
        return self._rng.choice(usable) if usable else None

    @property
    def has_any(self) -> bool:
        """True if this process knows a live peer, in backoff or not."""
        return bool(self.addresses())

    @property
    def is_available(self) -> bool:
        """True if a peer may be asked now."""
        now = self._timers.now()
        return any(not self._is_in_backoff(each, now) for each in self.addresses())

    def may_reach(self, endpoint_id: str, other_than: Collection[str] = ()) -> bool:
        """Return True if a peer may be asked now to reach an endpoint.

        Parameters
        ----------
        other_than : collection of str
            Peers that do not count.
        """
        now = self._timers.now()
        return any(
            each not in other_than and self._may_ask(each, endpoint_id, now)
            for each in self.addresses()
        )

    def wait_seconds(self, endpoint_id: str = "") -> float:
        """Return the seconds until a peer may be asked; 0 if one may be asked now."""
        now = self._timers.now()
        waits = (
            max(
                self._backoff_until.get(each, now),
                self._no_path_until.get((each, endpoint_id), now),
            )
            - now
            for each in self.addresses()
        )
        return max(0.0, min(waits, default=0.0))

    def responded_at(self, address: str) -> float:
        """Return the time of the last response through a peer; minus infinity if none came."""
        return self._responded_at.get(address, -math.inf)

    def proven_peer(self) -> str:
        """Return a peer through which a response came recently; empty if there is none."""
        now = self._timers.now()
        return next(
            (name for name, at in self._responded_at.items() if now - at < PROVEN_SECONDS), ""
        )

    @property
    def reaches_any(self) -> bool:
        """True if a peer has just reached some endpoint."""
        now, addresses = self._timers.now(), self.addresses()
        return any(
            now - at < PROVEN_SECONDS and address in addresses
            for (address, _), at in self._reached_at.items()
        )

    def is_reached(self, endpoint_id: str) -> bool:
        """Return True if a peer has just reached an endpoint."""
        now = self._timers.now()
        return any(self._has_reached(each, endpoint_id, now) for each in self.addresses())

    def _has_reached(self, address: str, endpoint_id: str, now: float) -> bool:
        return now - self._reached_at.get((address, endpoint_id), -math.inf) < PROVEN_SECONDS

    def record_response(self, address: str, endpoint_id: str = "") -> None:
        """Record that the response of an endpoint came through a peer.

        Parameters
        ----------
        endpoint_id : str
            The endpoint; empty if it is not known.
        """
        now = self._timers.now()
        self._responded_at[address] = now
        self._backoff_until.pop(address, None)
        if endpoint_id:
            self.record_reached(address, endpoint_id)

    def record_reached(self, address: str, endpoint_id: str) -> None:
        """Record that a peer reaches an endpoint."""
        now = self._timers.now()
        self._no_path_until.pop((address, endpoint_id), None)
        if len(self._reached_at) >= MAX_REACHED:
            self._reached_at = {
                key: at for key, at in self._reached_at.items() if now - at < PROVEN_SECONDS
            }
        self._reached_at[address, endpoint_id] = now

    def record_no_path(self, address: str, endpoint_id: str, seconds: float) -> None:
        """Record that a peer does not reach an endpoint; it is asked for others."""
        now = self._timers.now()
        self._reached_at.pop((address, endpoint_id), None)
        if len(self._no_path_until) >= MAX_NO_PATHS:
            self._no_path_until = {
                key: until for key, until in self._no_path_until.items() if until > now
            }
        self._no_path_until[address, endpoint_id] = now + self._extend(seconds)

    def count_without_path(self, endpoint_id: str) -> int:
        """Return the number of peers that are not asked for an endpoint now."""
        now = self._timers.now()
        return sum(
            until > now for (_, name), until in self._no_path_until.items() if name == endpoint_id
        )

    def record_refusal(
        self, address: str, reason: str, next_peer: str, endpoint_id: str = ""
    ) -> None:
        """Record that a peer did not try to reach the endpoint.

        Parameters
        ----------
        next_peer : str
            Peer with a path according to the refusing one; empty if it knows none.
        """
        seconds = REFUSAL_BACKOFF_SECONDS.get(reason, FAILURE_BACKOFF_SECONDS)
        if reason in (ProxyRefusal.NO_PATH_TO_ENDPOINT, ProxyRefusal.NO_IDLE_CONNECTION):
            self.record_no_path(address, endpoint_id, seconds)
        else:
            self._back_off(address, seconds)
        if next_peer in self.addresses() and next_peer != address:
            self.record_response(next_peer)

    def record_failure(self, address: str) -> None:
        """Record that a peer was not reached, or lost the connection before a response."""
        self._back_off(address, FAILURE_BACKOFF_SECONDS)

    def _back_off(self, address: str, seconds: float) -> None:
        self._backoff_until[address] = self._timers.now() + self._extend(seconds)
        self._responded_at.pop(address, None)

    def _extend(self, seconds: float) -> float:
        return seconds * (1.0 + JITTER_FRACTION * self._rng.random())

    def _may_ask(self, address: str, endpoint_id: str, now: float) -> bool:
        has_path = self._no_path_until.get((address, endpoint_id), -math.inf) <= now
        return has_path and not self._is_in_backoff(address, now)

    def _is_in_backoff(self, address: str, now: float) -> bool:
        return self._backoff_until.get(address, -math.inf) > now
