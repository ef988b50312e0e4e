"""Arbitration of the rate limits of endpoints: which process decides, and how others ask it."""

import math
from collections.abc import Callable
from dataclasses import dataclass

from flamingofront.decisions.concurrency_limits import ConcurrencyClaim, ConcurrencyLimiter
from flamingofront.decisions.rate_limits import (
    MIN_WAIT_SECONDS,
    RateClaim,
    RateLimiter,
    RateVerdict,
)
from flamingofront.process.forwarding.inquiries import (
    ArbiterClient,
    ArbiterContext,
    ArbiterProtocol,
    DecisionRequest,
    ReplyCache,
)
from flamingofront.process.forwarding.limit_messages import (
    PermitReply,
    PermitRequest,
    decode_permit_reply,
    decode_permit_request,
    encode_permit_reply,
    encode_permit_request,
)
from flamingofront.process.forwarding.quota_messages import Verdict
from flamingofront.process.logs import Log
from flamingofront.process.metrics import Metrics
from flamingofront.process.timers import TimerService
from flamingofront.request.endpoint_limits import EndpointLimit, EndpointLimits
from flamingofront.request.rate_gate import RateDecision, RateGate

__all__ = ["LimitArbiters", "LimitContext"]

# Share of a limit granted by the second-ranked arbiter, for processes that cannot reach the first.
# Both together stay well within the 1.5 times of its limit that an endpoint tolerates.
SECOND_RANK_SHARE = 0.25
# If an arbiter has replied this recently, only datagrams were lost: it may have granted the whole
# limit, and a local share in addition would exceed it.
RECENT_REPLY_SECONDS = 0.5
# Longest wait after a local rejection: an arbiter may be reachable again by then.
MAX_LOCAL_WAIT_SECONDS = 1.0
# Priorities on the wire that mark a returned permit: unused, after its request has ended, and after
# the endpoint rejected the request.
PERMIT_RETURNED = -1
PERMIT_RELEASED = -2
PERMIT_REJECTED = -3


@dataclass(frozen=True)
class LimitContext:
    """Identity of this process and callbacks for the arbitration of limits.

    Parameters
    ----------
    arbiters : ArbiterContext
        This process, and the ranking of arbiters by endpoint.
    live_share : callable
        Returns the fraction of all processes that can reach this one; below 1 while a zone is
        unreachable.
    member_share : callable
        Returns one process's share: 1 divided by the number of processes.
    places_of : callable
        Returns how many requests an endpoint runs at once.
    load_of : callable
        Returns the requests of all processes in flight at an endpoint, by their reports.
    """

    arbiters: ArbiterContext
    live_share: Callable[[], float]
    member_share: Callable[[], float]
    places_of: Callable[[str], int] = lambda endpoint_id: 1
    load_of: Callable[[str], float] = lambda endpoint_id: 0.0


class _Limiters:
    """Limiters of one scope of decision: for all processes, or for this one alone."""

    def __init__(self, limits: EndpointLimits, context: LimitContext):
        self._limits = limits
        self._context = context
        self._rates = RateLimiter()
        self._places = ConcurrencyLimiter()

    def decide(self, claim: RateClaim, share: float, now: float) -> RateVerdict:
        """Return whether and when a request may be sent, within a share of each limit."""
        place = self._claim_place(claim, share, now)
        if place is not None and not place.is_granted:
            return place
        verdict = self._rates.decide(claim, share, now)
        if place is not None and not verdict.is_granted:
            self._places.release(claim.endpoint_id, claim.claimant, False, now)
        return verdict

    def _claim_place(self, claim: RateClaim, share: float, now: float) -> RateVerdict | None:
        limit = self._limits.limit_of(claim.endpoint_id)
        if limit is None or limit.max_rejections is None:
            return None
        place = ConcurrencyClaim(
            claim.endpoint_id,
            claim.claimant,
            self._context.places_of(claim.endpoint_id) * share,
            limit.max_rejections,
            claim.hold_seconds,
        )
        return self._places.decide(place, round(self._context.load_of(claim.endpoint_id)), now)

    def return_unused(self, endpoint_id: str, claimant: str, now: float) -> None:
        """Take back a permit that was not used."""
        self._rates.return_permit(endpoint_id)
        self._places.release(endpoint_id, claimant, False, now)

    def release(self, endpoint_id: str, claimant: str, was_rejected: bool, now: float) -> None:
        """Take back the place of a request that has ended."""
        self._places.release(endpoint_id, claimant, was_rejected, now)

    def forget(self, endpoint_id: str) -> None:
        """Drop the state of an endpoint."""
        self._rates.forget(endpoint_id)
        self._places.forget(endpoint_id)


@dataclass(frozen=True)
class _PendingPermit(DecisionRequest):
    """An attempt that waits for a permit."""

    claim: RateClaim
    then: Callable[[RateDecision], None]

    @property
    def key(self) -> str:
        """Id of the endpoint, by which the candidate arbiters are ranked."""
        return self.claim.endpoint_id


class LimitArbiters(RateGate, ArbiterProtocol[_PendingPermit]):
    """Decides on attempts at rate-limited endpoints, as arbiter or by asking one.

    Parameters
    ----------
    send : callable
        Sends a datagram to an IP address.
    """

    def __init__(
        self,
        limits: EndpointLimits,
        context: LimitContext,
        send: Callable[[bytes, str], None],
        timers: TimerService,
        metrics: Metrics,
        log: Log,
    ):
        self._limits = limits
        self._context = context
        self._send = send
        self._timers = timers
        self._metrics = metrics
        # Decisions for all processes, and for this process alone.
        self._shared_limiter = _Limiters(limits, context)
        self._local_limiter = _Limiters(limits, context)
        self._client: ArbiterClient[_PendingPermit] = ArbiterClient(
            "limit", self, context.arbiters, send, timers, metrics, log
        )
        self._replies: ReplyCache[PermitReply] = ReplyCache()
        self._replied_at: dict[str, float] = {}

    # Requests to arbiters

    def decide(self, claim: RateClaim, then: Callable[[RateDecision], None]) -> None:
        """Pass the decision on an attempt to `then`; at once if this process decides."""
        self._client.submit(_PendingPermit(claim, then))

    def encode_request(self, number: int, request: _PendingPermit) -> bytes:
        """Return the datagram that asks for a permit."""
        claim = request.claim
        current = self._limits.limit_of(claim.endpoint_id)
        limit = current or EndpointLimit(claim.endpoint_id, 0, claim.rate, 0.0)
        return encode_permit_request(
            PermitRequest(number, limit, claim.priority, claim.patience, claim.hold_seconds)
        )

    def decide_as_arbiter(self, request: _PendingPermit) -> bool:
        """Decide on an attempt for all processes; return False if not an arbiter."""
        share = self._arbitrated_share(request.claim.endpoint_id)
        if share <= 0:
            return False
        verdict = self._shared_limiter.decide(request.claim, share, self._timers.now())
        request.then(RateDecision(verdict.delay, verdict.wait, ""))
        return True

    def decide_locally(self, request: _PendingPermit) -> None:
        """Decide within this process's own share, since no arbiter can be reached."""
        now = self._timers.now()
        if now - self._replied_at.get(request.claim.endpoint_id, -math.inf) < RECENT_REPLY_SECONDS:
            request.then(RateDecision(0.0, MIN_WAIT_SECONDS))
            return
        share = self._context.member_share()
        verdict = self._local_limiter.decide(request.claim, share, now)
        request.then(RateDecision(verdict.delay, min(MAX_LOCAL_WAIT_SECONDS, verdict.wait)))

    def _arbitrated_share(self, endpoint_id: str) -> float:
        """Return the share of a limit that this process arbitrates; 0 if none."""
        ranked = self._context.arbiters.rank_arbiters(endpoint_id)[:2]
        local_ip = self._context.arbiters.local_ip
        if local_ip not in ranked:
            return 0.0
        share = 1.0 if ranked[0] == local_ip else SECOND_RANK_SHARE
        return share * self._context.live_share()

    def return_unused(self, endpoint_id: str, decision: RateDecision) -> None:
        """Return an unused permit to the arbiter, or to the local share, that granted it."""
        if decision.arbiter:
            self._return_permit(endpoint_id, decision.arbiter)
        else:
            limiter = self._local_limiter if decision.arbiter is None else self._shared_limiter
            limiter.return_unused(endpoint_id, self._context.arbiters.local_ip, self._timers.now())

    def release(self, endpoint_id: str, decision: RateDecision, was_rejected: bool) -> None:
        """Return the place of a request that has ended to the arbiter that granted it."""
        if decision.arbiter:
            kind = PERMIT_REJECTED if was_rejected else PERMIT_RELEASED
            self._return_permit(endpoint_id, decision.arbiter, kind)
            return
        limiter = self._local_limiter if decision.arbiter is None else self._shared_limiter
        limiter.release(
            endpoint_id, self._context.arbiters.local_ip, was_rejected, self._timers.now()
        )

    def _return_permit(self, endpoint_id: str, ip: str, kind: int = PERMIT_RETURNED) -> None:
        limit = self._limits.limit_of(endpoint_id) or EndpointLimit(endpoint_id, 0, None, 0.0)
        request = PermitRequest(self._client.next_number(), limit, kind)
        self._send(encode_permit_request(request), ip)

    def forget(self, endpoint_id: str) -> None:
        """Drop the state of an endpoint."""
        for each in (self._shared_limiter, self._local_limiter):
            each.forget(endpoint_id)
        self._replied_at.pop(endpoint_id, None)

    def handle_reply(self, data: bytes, ip: str) -> None:
        """Handle the reply of an arbiter.

        Raises
        ------
        ValueError
            If the reply is malformed.
        """
        reply = decode_permit_reply(data)
        if reply.verdict is Verdict.NOT_HERE:
            self._client.handle_decline(reply.number, ip)
            return
        request = self._client.accept_reply(reply.number, ip)
        if request is not None:
            self._replied_at[request.claim.endpoint_id] = self._timers.now()
            self._local_limiter.forget(request.claim.endpoint_id)
            request.then(RateDecision(reply.delay, reply.wait, ip))
            return
        late = self._client.late_request(reply.number, ip)
        if late is not None and reply.verdict is Verdict.ALLOWED:
            self._return_permit(late.claim.endpoint_id, ip)

    # Requests from other processes

    def handle_request(self, data: bytes, ip: str) -> None:
        """Decide on the attempt of another process and reply.

        Raises
        ------
        ValueError
            If the request is malformed.
        """
        request = decode_permit_request(data)
        if request.priority < 0:
            self._take_back(request, ip)
            return
        reply = self._replies.get_or_create(
            ip, request.number, lambda: self._make_reply(request, ip)
        )
        self._metrics.count("limit_replies_total", verdict=reply.verdict.name.lower())
        self._send(encode_permit_reply(reply), ip)

    def _take_back(self, request: PermitRequest, ip: str) -> None:
        """Take back a permit of another process."""
        endpoint_id, now = request.limit.endpoint_id, self._timers.now()
        if request.priority == PERMIT_RETURNED:
            self._shared_limiter.return_unused(endpoint_id, ip, now)
        else:
            was_rejected = request.priority == PERMIT_REJECTED
            self._shared_limiter.release(endpoint_id, ip, was_rejected, now)

    def _make_reply(self, request: PermitRequest, ip: str) -> PermitReply:
        """Return the decision on a permit request of another process."""
        self._limits.merge((request.limit,))
        endpoint_id = request.limit.endpoint_id
        share = self._arbitrated_share(endpoint_id)
        if share <= 0:
            return PermitReply(request.number, Verdict.NOT_HERE)
        current = self._limits.limit_of(endpoint_id) or request.limit
        if not current.is_limited:
            return PermitReply(request.number, Verdict.ALLOWED)
        claim = RateClaim(
            endpoint_id, current.rate, request.priority, request.patience, ip, request.hold_seconds
        )
        grant = self._shared_limiter.decide(claim, share, self._timers.now())
        verdict = Verdict.ALLOWED if grant.is_granted else Verdict.REFUSED
        return PermitReply(request.number, verdict, grant.delay, grant.wait)
