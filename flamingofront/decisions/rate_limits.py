"""Who may send to an endpoint that takes a limited rate from all entry processes together.

Load pattern: an overloaded endpoint names the requests a second that it accepts, 0.5 to 200, before
up to some hundred processes that offer more. One process decides on an endpoint for all and keeps a
token bucket for it. Limits: a bucket begins empty, so that what an earlier decider has let through
is not let through again; it holds half a second's requests and two more, so that any four seconds
bring at most 4.5 times the rate and two; a decider that may not be the only one has a part.
"""

from dataclasses import dataclass

__all__ = ["MIN_WAIT_SECONDS", "RateBucket", "RateClaim", "RateLimiter", "RateVerdict"]

# Tokens that a bucket holds: requests that come in clumps use what was left over just before.
DEPTH_SECONDS = 0.5
DEPTH_EXTRA_REQUESTS = 2.0
# An endpoint that names a lower rate, or none at all, is still tried now and then: only an answer
# tells that it takes more again. In requests a second.
MIN_RATE_PER_SECOND = 0.1
# Priorities that were asked for within so long, in seconds, are kept some tokens from less urgent
# ones.
PRIORITY_MEMORY_SECONDS = 2.0
# Priorities before which a less urgent request stands back; further ones make no difference.
MAX_RANKS = 2
# Claims a second that a decider answers; more processes than that are told to pause for longer.
MAX_CLAIMS_PER_SECOND = 200.0
# Shortest pause of a process whose claim was refused, in seconds: some ways there and back.
MIN_WAIT_SECONDS = 0.05
# Time over which the processes that claim are counted, in seconds.
CLAIMANT_SECONDS = 1.0


@dataclass(frozen=True)
class RateClaim:
    """A request that is to be sent to an endpoint with a limit.

    Parameters
    ----------
    rate : float
        Requests a second that the endpoint takes from all.
    priority : int
        Rank of the request, 0 is the most urgent.
    patience : float
        Seconds for which it can wait for its turn.
    claimant : str
        Process that wants to send it.
    """

    endpoint_id: str
    rate: float
    priority: int
    patience: float = 0.0
    claimant: str = ""


@dataclass(frozen=True)
class RateVerdict:
    """What is decided on a claim.

    Parameters
    ----------
    delay : float
        Seconds after which the request may be sent, if it may.
    wait : float
        0 if it may, else the seconds until a further claim makes sense.
    """

    delay: float = 0.0
    wait: float = 0.0

    @property
    def is_granted(self) -> bool:
        """True if the request may be sent."""
        return self.wait <= 0


class RateBucket:
    """Token bucket that begins empty; tokens that are promised for later are taken out already."""

    def __init__(self, now: float):
        self.level = 0.0
        self._updated = now

    def fill(self, rate: float, depth: float, now: float) -> None:
        """Add what was earned since the last time."""
        self.level = min(depth, self.level + (now - self._updated) * rate)
        self._updated = now


class _EndpointState:
    """What is kept of one endpoint."""

    def __init__(self, now: float):
        self.bucket = RateBucket(now)
        self.asked_at: dict[int, float] = {}
        self.claimants: dict[str, float] = {}

    def note(self, claim: RateClaim, now: float) -> None:
        """Note who asks, and how urgently."""
        self.asked_at[claim.priority] = now
        self.claimants[claim.claimant] = now

    def rank(self, priority: int, now: float) -> int:
        """Return the number of more urgent priorities that were asked for lately."""
        urgent = sum(
            each < priority and now - at <= PRIORITY_MEMORY_SECONDS
            for each, at in self.asked_at.items()
        )
        return min(MAX_RANKS, urgent)

    def claimant_count(self, now: float) -> int:
        """Return the number of processes that asked lately."""
        self.claimants = {
            name: at for name, at in self.claimants.items() if now - at <= CLAIMANT_SECONDS
        }
        return len(self.claimants)


class RateLimiter:
    """Decides on requests to endpoints with a limit; times in seconds."""

    def __init__(self):
        self._endpoints: dict[str, _EndpointState] = {}

    def decide(self, claim: RateClaim, part: float, now: float) -> RateVerdict:
        """Return whether and when the request may be sent.

        Parameters
        ----------
        part : float
            Part of the rate that is decided on here, 0 to 1.
        """
        known = self._endpoints.get(claim.endpoint_id)
        if known is None:
            known = self._endpoints[claim.endpoint_id] = _EndpointState(now)
        known.note(claim, now)
        rate = max(MIN_RATE_PER_SECOND, claim.rate) * part
        depth = DEPTH_EXTRA_REQUESTS + DEPTH_SECONDS * rate
        known.bucket.fill(rate, depth, now)
        # Less urgent requests leave a part of the bucket to the more urgent ones.
        needed = 1.0 + known.rank(claim.priority, now) * (depth - 1.0) / MAX_RANKS
        delay = max(0.0, (needed - known.bucket.level) / rate)
        if delay <= claim.patience:
            known.bucket.level -= 1.0
            return RateVerdict(delay=delay)
        pause = known.claimant_count(now) / MAX_CLAIMS_PER_SECOND
        return RateVerdict(wait=max(MIN_WAIT_SECONDS, delay - claim.patience, pause))

    def return_permit(self, endpoint_id: str) -> None:
        """Take a permit back that was not used."""
        known = self._endpoints.get(endpoint_id)
        if known is not None:
            known.bucket.level += 1.0

    def forget(self, endpoint_id: str) -> None:
        """Forget an endpoint that is gone, has started again, or names no limit any more."""
        self._endpoints.pop(endpoint_id, None)
