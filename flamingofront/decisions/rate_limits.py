"""Permits for requests to endpoints that advertise a rate limit over all entry processes.

Load pattern: an overloaded endpoint advertises the requests per second that it accepts, 0.5 to 200,
to up to a few hundred processes that offer more. One process, the arbiter, decides on an endpoint
for all and keeps a token bucket for it. The bucket starts empty, so that permits of an earlier
arbiter are not granted again. It holds the requests of half a second plus two, so that at most 4.5
times the rate plus two requests are sent in any four seconds. An arbiter that may not be the only
one uses a share of the rate.
"""

from dataclasses import dataclass

__all__ = ["MIN_WAIT_SECONDS", "RateBucket", "RateClaim", "RateLimiter", "RateVerdict"]

# Depth of a bucket: bursts use tokens that were left over just before.
DEPTH_SECONDS = 0.5
DEPTH_EXTRA_REQUESTS = 2.0
# Minimum rate even if an endpoint advertises a lower one or zero, because only a response shows
# that it accepts more requests again.
MIN_RATE_PER_SECOND = 0.1
# A priority claimed within this time has tokens reserved against less urgent ones.
PRIORITY_MEMORY_SECONDS = 2.0
# Maximum number of more urgent priorities that count in the reservation.
MAX_RANKS = 2
# Claims per second that an arbiter answers; with more processes each has to pause for longer.
MAX_CLAIMS_PER_SECOND = 200.0
# Minimum pause of a process whose claim was rejected: several round trips.
MIN_WAIT_SECONDS = 0.05
# Time over which claiming processes are counted.
CLAIMANT_SECONDS = 1.0


@dataclass(frozen=True)
class RateClaim:
    """Claim for a permit to send a request to a rate-limited endpoint.

    Parameters
    ----------
    rate : float or None
        Requests per second that the endpoint accepts from all processes; None if it is not limited.
    priority : int
        Priority of the request; 0 is the most urgent.
    patience : float
        Maximum delay of the request in seconds.
    claimant : str
        Process that sends the request.
    hold_seconds : float
        Longest time for which the request may run.
    """

    endpoint_id: str
    rate: float | None
    priority: int
    patience: float = 0.0
    claimant: str = ""
    hold_seconds: float = 0.0


@dataclass(frozen=True)
class RateVerdict:
    """Decision on a claim.

    Parameters
    ----------
    delay : float
        Seconds after which the request may be sent if the claim is granted.
    wait : float
        0 if the claim is granted, else the seconds until the next claim.
    """

    delay: float = 0.0
    wait: float = 0.0

    @property
    def is_granted(self) -> bool:
        """True if the request may be sent, after the delay."""
        return self.wait <= 0


class RateBucket:
    """Token bucket that starts empty; tokens for delayed requests are charged in advance."""

    def __init__(self, now: float):
        self.level = 0.0
        self._updated = now

    def fill(self, rate: float, depth: float, now: float) -> None:
        """Add the tokens earned since the last call, at most up to the depth."""
        self.level = min(depth, self.level + (now - self._updated) * rate)
        self._updated = now


class _EndpointState:
    """Token bucket and recent claims of one endpoint."""

    def __init__(self, now: float):
        self.bucket = RateBucket(now)
        self.claimed_at: dict[int, float] = {}
        self.claimants: dict[str, float] = {}

    def record_claim(self, claim: RateClaim, now: float) -> None:
        """Record the claimant and the priority of a claim."""
        self.claimed_at[claim.priority] = now
        self.claimants[claim.claimant] = now

    def count_urgent(self, priority: int, now: float) -> int:
        """Return the number of more urgent priorities with recent claims, up to `MAX_RANKS`."""
        urgent = sum(
            each < priority and now - at <= PRIORITY_MEMORY_SECONDS
            for each, at in self.claimed_at.items()
        )
        return min(MAX_RANKS, urgent)

    def count_claimants(self, now: float) -> int:
        """Return the number of processes with recent claims."""
        self.claimants = {
            name: at for name, at in self.claimants.items() if now - at <= CLAIMANT_SECONDS
        }
        return len(self.claimants)


class RateLimiter:
    """Rate limiter for requests to endpoints that advertise a limit; times in seconds."""

    def __init__(self):
        self._endpoints: dict[str, _EndpointState] = {}

    def decide(self, claim: RateClaim, share: float, now: float) -> RateVerdict:
        """Return whether and when the request may be sent.

        Parameters
        ----------
        claim : RateClaim
            Claim of a process.
        share : float
            Fraction of the rate that this process may grant, 0 to 1.
        now : float
            Current time.
        """
        if claim.rate is None:
            return RateVerdict()
        endpoint = self._endpoints.get(claim.endpoint_id)
        if endpoint is None:
            endpoint = self._endpoints[claim.endpoint_id] = _EndpointState(now)
        endpoint.record_claim(claim, now)
        rate = max(MIN_RATE_PER_SECOND, claim.rate) * share
        depth = DEPTH_EXTRA_REQUESTS + DEPTH_SECONDS * rate
        endpoint.bucket.fill(rate, depth, now)
        # Less urgent requests leave some tokens to the more urgent ones.
        needed = 1.0 + endpoint.count_urgent(claim.priority, now) * (depth - 1.0) / MAX_RANKS
        delay = max(0.0, (needed - endpoint.bucket.level) / rate)
        if delay <= claim.patience:
            endpoint.bucket.level -= 1.0
            return RateVerdict(delay=delay)
        pause = endpoint.count_claimants(now) / MAX_CLAIMS_PER_SECOND
        return RateVerdict(wait=max(MIN_WAIT_SECONDS, delay - claim.patience, pause))

    def return_permit(self, endpoint_id: str) -> None:
        """Return the token of an unused permit."""
        endpoint = self._endpoints.get(endpoint_id)
        if endpoint is not None:
            endpoint.bucket.level += 1.0

    def forget(self, endpoint_id: str) -> None:
        """Drop the state of an endpoint that was removed, restarted or advertises no limit."""
        self._endpoints.pop(endpoint_id, None)
