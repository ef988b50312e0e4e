"""Arbitration of the rate limits of endpoints: which process decides, and how others ask it."""

import math
from collections.abc import Callable
from dataclasses import dataclass

from flamingofront.decisions.rate_limits import MIN_WAIT_SECONDS, RateClaim, RateLimiter
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
# Priority on the wire that marks a returned permit.
PERMIT_RETURNED = -1


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
    """

    arbiters: ArbiterContext
    live_share: Callable[[], float]
    member_share: Callable[[], float]


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
        self._shared_limiter = RateLimiter()
        self._local_limiter = RateLimiter()
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
        return encode_permit_request(PermitRequest(number, limit, claim.priority, claim.patience))

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
        """Return an unused permit to the arbiter that granted it, unless granted locally."""
        if decision.arbiter:
            self._return_permit(endpoint_id, decision.arbiter)
        elif decision.arbiter is not None:
            self._shared_limiter.return_permit(endpoint_id)

    def _return_permit(self, endpoint_id: str, ip: str) -> None:
        limit = self._limits.limit_of(endpoint_id) or EndpointLimit(endpoint_id, 0, None, 0.0)
        request = PermitRequest(self._client.next_number(), limit, PERMIT_RETURNED)
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
        if request.priority == PERMIT_RETURNED:
            self._shared_limiter.return_permit(request.limit.endpoint_id)
            return
        reply = self._replies.get_or_create(
            ip, request.number, lambda: self._make_reply(request, ip)
        )
        self._metrics.count("limit_replies_total", verdict=reply.verdict.name.lower())
        self._send(encode_permit_reply(reply), ip)

    def _make_reply(self, request: PermitRequest, ip: str) -> PermitReply:
        """Return the decision on a permit request of another process."""
        self._limits.merge((request.limit,))
        endpoint_id = request.limit.endpoint_id
        share = self._arbitrated_share(endpoint_id)
        if share <= 0:
            return PermitReply(request.number, Verdict.NOT_HERE)
        current = self._limits.limit_of(endpoint_id) or request.limit
        if current.rate is None:
            return PermitReply(request.number, Verdict.ALLOWED)
        claim = RateClaim(endpoint_id, current.rate, request.priority, request.patience, ip)
        grant = self._shared_limiter.decide(claim, share, self._timers.now())
        verdict = Verdict.ALLOWED if grant.is_granted else Verdict.REFUSED
        return PermitReply(request.number, verdict, grant.delay, grant.wait)
