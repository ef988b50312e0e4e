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
    ProxyRefusal.UNKNOWN_ENDPOINT: 0.2,
    ProxyRefusal.BUSY: 0.2,
    ProxyRefusal.STOPPING: 10.0,
}
# Same for a peer that is not reached or does not respond.
FAILURE_BACKOFF_SECONDS = 2.0
JITTER_FRACTION = 0.25
# Time for which a peer counts as proven after a response through it.
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
        self._responded_at: dict[str, float] = {}

    def choose(self, other_than: Collection[str] = ()) -> str | None:
        """Return the address of a peer, at random to spread the load; None if there is none.

        Parameters
        ----------
        other_than : collection of str
            Peers that are not to be chosen.

        Notes
        -----
        If most peers are in backoff, those that have just proxied an attempt are preferred, so that
        a request does not ask one peer without a path after the other.
        """
        now, addresses = self._timers.now(), self.addresses()
        usable = [
            each
            for each in addresses
            if each not in other_than and not self._is_in_backoff(each, now)
        ]
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

    def wait_seconds(self) -> float:
        """Return the seconds until a peer may be asked; 0 if one may be asked now."""
        now = self._timers.now()
        waits = (self._backoff_until.get(each, now) - now for each in self.addresses())
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

    def record_response(self, address: str) -> None:
        """Record that the response of an endpoint came through a peer."""
        self._responded_at[address] = self._timers.now()
        self._backoff_until.pop(address, None)

    def record_refusal(self, address: str, reason: str, next_peer: str) -> None:
        """Record that a peer did not try to reach the endpoint.

        Parameters
        ----------
        next_peer : str
            Peer with a path according to the refusing one; empty if it knows none.
        """
        self._back_off(address, REFUSAL_BACKOFF_SECONDS.get(reason, FAILURE_BACKOFF_SECONDS))
        if next_peer in self.addresses() and next_peer != address:
            self.record_response(next_peer)

    def record_failure(self, address: str) -> None:
        """Record that a peer was not reached, or lost the connection before a response."""
        self._back_off(address, FAILURE_BACKOFF_SECONDS)

    def _back_off(self, address: str, seconds: float) -> None:
        jitter = 1.0 + JITTER_FRACTION * self._rng.random()
        self._backoff_until[address] = self._timers.now() + seconds * jitter
        self._responded_at.pop(address, None)

    def _is_in_backoff(self, address: str, now: float) -> bool:
        return self._backoff_until.get(address, -math.inf) > now
