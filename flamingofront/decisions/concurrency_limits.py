"""Limits on the requests in flight at endpoints that crash if they reject too many.

An endpoint that is brittle advertises how many rejections per second it survives, over all entry
processes together. One process, the arbiter, therefore grants no more requests than the endpoint
runs at once, so that none waits there and none is rejected. The limit shrinks after each rejection
and grows back slowly. A permit that is not released in time, because a datagram or its process was
lost, expires.
"""

import math
from dataclasses import dataclass, field

from flamingofront.decisions.rate_limits import MIN_WAIT_SECONDS, RateVerdict

__all__ = ["ConcurrencyClaim", "ConcurrencyLimiter"]

# Factor of the limit after a rejection, and the time in which it grows back from zero.
DECREASE_FACTOR = 0.75
RECOVERY_SECONDS = 10.0
# No request is granted for the rest of a second in which this fraction of the rejections that the
# endpoint survives was reported: others may be on their way.
MAX_REJECTED_FRACTION = 0.5
REJECTION_WINDOW_SECONDS = 1.0
# Requests that were sent before the first claim are assumed to have ended after this time.
EARLIER_REQUEST_SECONDS = 2.0


@dataclass(frozen=True)
class ConcurrencyClaim:
    """Claim for one of the places of a brittle endpoint.

    Parameters
    ----------
    claimant : str
        Process that sends the request.
    places : float
        Requests that the endpoint runs at once, as far as the deciding process may grant them.
    max_rejections : int
        Rejections per second that the endpoint survives.
    hold_seconds : float
        Longest time for which the place is used.
    """

    endpoint_id: str
    claimant: str
    places: float
    max_rejections: int
    hold_seconds: float


@dataclass
class _EndpointState:
    """Permits in use at one endpoint, by the times at which they expire, and its rejections."""

    expiries: dict[str, list[float]] = field(default_factory=dict)
    rejected_at: list[float] = field(default_factory=list)
    fraction: float = 1.0
    updated_at: float = -math.inf

    def count_in_use(self, now: float) -> int:
        """Return the number of permits in use, without expired ones."""
        for name in list(self.expiries):
            self.expiries[name] = [each for each in self.expiries[name] if each > now]
            if not self.expiries[name]:
                del self.expiries[name]
        return sum(len(each) for each in self.expiries.values())

    def grow(self, now: float) -> None:
        """Let the limit grow back by the time since the last call."""
        if self.updated_at > -math.inf:
            elapsed = now - self.updated_at
            self.fraction = min(1.0, self.fraction + elapsed / RECOVERY_SECONDS)
        self.updated_at = now

    def count_rejections(self, now: float) -> int:
        """Return the number of rejections within the last second."""
        since = now - REJECTION_WINDOW_SECONDS
        self.rejected_at = [each for each in self.rejected_at if each > since]
        return len(self.rejected_at)


class ConcurrencyLimiter:
    """Grants places at brittle endpoints; times in seconds."""

    def __init__(self):
        self._endpoints: dict[str, _EndpointState] = {}

    def decide(self, claim: ConcurrencyClaim, earlier_requests: int, now: float) -> RateVerdict:
        """Return whether a request may be sent now.

        Parameters
        ----------
        earlier_requests : int
            Requests in flight at the endpoint, used only at its first claim.
        """
        endpoint = self._endpoints.get(claim.endpoint_id)
        if endpoint is None:
            endpoint = self._endpoints[claim.endpoint_id] = _EndpointState()
            expiry = now + EARLIER_REQUEST_SECONDS
            endpoint.expiries[""] = [expiry] * earlier_requests
        endpoint.grow(now)
        rejected = endpoint.count_rejections(now)
        if rejected and rejected >= MAX_REJECTED_FRACTION * claim.max_rejections:
            return RateVerdict(wait=endpoint.rejected_at[0] + REJECTION_WINDOW_SECONDS - now)
        if endpoint.count_in_use(now) >= max(1.0, math.floor(claim.places * endpoint.fraction)):
            return RateVerdict(wait=MIN_WAIT_SECONDS)
        endpoint.expiries.setdefault(claim.claimant, []).append(now + claim.hold_seconds)
        return RateVerdict()

    def release(self, endpoint_id: str, claimant: str, was_rejected: bool, now: float) -> None:
        """Take back the permit of a request that has ended.

        Parameters
        ----------
        was_rejected : bool
            True if the endpoint rejected the request for want of room.
        """
        endpoint = self._endpoints.get(endpoint_id)
        if endpoint is None:
            return
        held = endpoint.expiries.get(claimant)
        if held:
            held.remove(min(held))
        if was_rejected:
            endpoint.grow(now)
            endpoint.fraction *= DECREASE_FACTOR
            endpoint.rejected_at.append(now)

    def forget(self, endpoint_id: str) -> None:
        """Drop the state of an endpoint that was removed, restarted or is not brittle any more."""
        self._endpoints.pop(endpoint_id, None)
