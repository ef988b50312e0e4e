"""Which process decides what is sent to an endpoint with a limit, and how the others ask it."""

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

# Part of a limit that the second process in rank decides on, for those that do not reach the first.
# With it both together stay well within the one and a half times that an endpoint bears.
SECOND_PART = 0.25
# An arbiter that has replied within so long may have let through what it could: datagrams were
# lost, and the own part comes on top of it. In seconds.
RECENT_REPLY_SECONDS = 0.5
# Longest pause after a refusal by the own part, in seconds: an arbiter may be reached again.
ASKED_AGAIN_SECONDS = 1.0
# Priority in a question by which a permit is given back.
GIVEN_BACK = -1


@dataclass(frozen=True)
class LimitContext:
    """What the arbitration needs to know of its process.

    Parameters
    ----------
    inquirer : Inquirer
        This process, and who may decide on an endpoint.
    heard_part : callable
        Returns the part of all processes that may ask here: less than 1 while a zone is silent.
    member_part : callable
        Returns this process's part of all, by their number.
    """

    inquirer: ArbiterContext
    heard_part: Callable[[], float]
    member_part: Callable[[], float]


@dataclass(frozen=True)
class _PermitRequest(DecisionRequest):
    """An attempt that waits for a permit."""

    claim: RateClaim
    then: Callable[[RateDecision], None]

    @property
    def key(self) -> str:
        """Id of the endpoint: it ranks who decides."""
        return self.claim.endpoint_id


class LimitArbiters(RateGate, ArbiterProtocol[_PermitRequest]):
    """Has attempts at endpoints with a limit decided on, here or at another process.

    Parameters
    ----------
    send : callable
        Sends a datagram to an IP number.
    """

    def __init__(
        self,
        limits: EndpointLimits,
        view: LimitContext,
        send: Callable[[bytes, str], None],
        timers: TimerService,
        metrics: Metrics,
        log: Log,
    ):
        self._limits = limits
        self._view = view
        self._send = send
        self._timers = timers
        self._metrics = metrics
        # What is decided for all, and what only for this process.
        self._for_all = RateLimiter()
        self._alone = RateLimiter()
        self._inquiries: ArbiterClient[_PermitRequest] = ArbiterClient(
            "limit", self, view.inquirer, send, timers, metrics, log
        )
        self._sent: ReplyCache[PermitReply] = ReplyCache()
        self._replied_at: dict[str, float] = {}

    # Asking

    def decide(self, claim: RateClaim, then: Callable[[RateDecision], None]) -> None:
        """Have an attempt decided on; at once if that is done here."""
        self._inquiries.ask(_PermitRequest(claim, then))

    def question(self, number: int, request: _PermitRequest) -> bytes:
        """Return the datagram that asks for a permit."""
        claim = request.claim
        known = self._limits.limit_of(claim.endpoint_id)
        limit = known or EndpointLimit(claim.endpoint_id, 0, claim.rate, 0.0)
        return encode_permit_request(PermitRequest(number, limit, claim.priority, claim.patience))

    def decide_here(self, request: _PermitRequest) -> bool:
        """Decide on an attempt for all processes; False if others are to."""
        part = self._part(request.claim.endpoint_id)
        if part <= 0:
            return False
        verdict = self._for_all.decide(request.claim, part, self._timers.now())
        request.then(RateDecision(verdict.delay, verdict.wait, ""))
        return True

    def decide_alone(self, request: _PermitRequest) -> None:
        """Decide by the own part, since nobody who decides for all is reached."""
        now = self._timers.now()
        if now - self._replied_at.get(request.claim.endpoint_id, -math.inf) < RECENT_REPLY_SECONDS:
            request.then(RateDecision(0.0, MIN_WAIT_SECONDS))
            return
        part = self._view.member_part()
        verdict = self._alone.decide(request.claim, part, now)
        request.then(RateDecision(verdict.delay, min(ASKED_AGAIN_SECONDS, verdict.wait)))

    def _part(self, endpoint_id: str) -> float:
        """Return the part of a limit that this process decides on for all; 0 if it does not."""
        ranked = self._view.inquirer.ranked(endpoint_id)[:2]
        local_ip = self._view.inquirer.local_ip
        if local_ip not in ranked:
            return 0.0
        part = 1.0 if ranked[0] == local_ip else SECOND_PART
        return part * self._view.heard_part()

    def unused(self, endpoint_id: str, decision: RateDecision) -> None:
        """Give a permit back that was not used; one of the own part is not worth a word."""
        if decision.arbiter:
            self._give_back(endpoint_id, decision.arbiter)
        elif decision.arbiter is not None:
            self._for_all.return_permit(endpoint_id)

    def _give_back(self, endpoint_id: str, ip: str) -> None:
        limit = self._limits.limit_of(endpoint_id) or EndpointLimit(endpoint_id, 0, None, 0.0)
        question = PermitRequest(self._inquiries.next_number(), limit, GIVEN_BACK)
        self._send(encode_permit_request(question), ip)

    def forget(self, endpoint_id: str) -> None:
        """Forget what was let through to an endpoint."""
        for each in (self._for_all, self._alone):
            each.forget(endpoint_id)
        self._replied_at.pop(endpoint_id, None)

    def take_reply(self, data: bytes, ip: str) -> None:
        """Take the reply of an arbiter.

        Raises
        ------
        ValueError
            If it is malformed.
        """
        reply = decode_permit_reply(data)
        if reply.verdict is Verdict.NOT_HERE:
            self._inquiries.declined(reply.number, ip)
            return
        request = self._inquiries.replied(reply.number, ip)
        if request is not None:
            self._replied_at[request.claim.endpoint_id] = self._timers.now()
            self._alone.forget(request.claim.endpoint_id)
            request.then(RateDecision(reply.delay, reply.wait, ip))
            return
        late = self._inquiries.unused(reply.number, ip)
        if late is not None and reply.verdict is Verdict.ALLOWED:
            self._give_back(late.claim.endpoint_id, ip)

    # Deciding

    def take_question(self, data: bytes, ip: str) -> None:
        """Decide on the attempt of another process and reply.

        Raises
        ------
        ValueError
            If it is malformed.
        """
        question = decode_permit_request(data)
        if question.priority == GIVEN_BACK:
            self._for_all.return_permit(question.limit.endpoint_id)
            return
        reply = self._sent.once(ip, question.number, lambda: self._reply(question, ip))
        self._metrics.count("limit_replies_total", verdict=reply.verdict.name.lower())
        self._send(encode_permit_reply(reply), ip)

    def _reply(self, question: PermitRequest, ip: str) -> PermitReply:
        self._limits.merge((question.limit,))
        endpoint_id = question.limit.endpoint_id
        part = self._part(endpoint_id)
        if part <= 0:
            return PermitReply(question.number, Verdict.NOT_HERE)
        known = self._limits.limit_of(endpoint_id) or question.limit
        if known.rate is None:
            return PermitReply(question.number, Verdict.ALLOWED)
        claim = RateClaim(endpoint_id, known.rate, question.priority, question.patience, ip)
        decided = self._for_all.decide(claim, part, self._timers.now())
        verdict = Verdict.ALLOWED if decided.is_granted else Verdict.REFUSED
        return PermitReply(question.number, verdict, decided.delay, decided.wait)
