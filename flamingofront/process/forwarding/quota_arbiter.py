"""Arbitration of the quotas of workspaces: which process decides, and how others ask it.

Each process ranks the processes that it can reach by rendezvous hashing and asks the first one;
there is no agreement protocol. A process that does not know what was consumed before its start
declines, and the next one is asked. `SharedQuota` tolerates views that differ for a moment: it
treats an arbiter that has just become first in rank as one of two.
"""

from collections.abc import Callable, Mapping
from dataclasses import dataclass

from flamingofront.decisions.quota import SharedQuota
from flamingofront.process.forwarding.inquiries import (
    ArbiterClient,
    ArbiterContext,
    ArbiterProtocol,
    DecisionRequest,
    ReplyCache,
)
from flamingofront.process.forwarding.quota_messages import (
    QuotaReply,
    QuotaRequest,
    Verdict,
    decode_quota_reply,
    decode_quota_request,
    encode_quota_reply,
    encode_quota_request,
)
from flamingofront.process.logs import Log
from flamingofront.process.metrics import Metrics
from flamingofront.process.timers import TimerService
from flamingofront.request.quota_gate import QuotaDecision, QuotaGate
from flamingofront.version.forwarding import ForwardedWorkspace

__all__ = ["QuotaArbiters", "QuotaContext"]

# A process that has ranked first for this long has received the usage counts of all others.
SETTLED_SECONDS = 2.0
ROLE_CHECK_SECONDS = 0.5


@dataclass(frozen=True)
class QuotaContext:
    """Identity of this process and callbacks for the arbitration of quotas.

    Parameters
    ----------
    local_ip : str
        IP address of this process.
    incarnation : int
        Start of this process, in milliseconds.
    rank_arbiters : callable
        Returns, for a workspace name, the IP addresses of the candidate arbiters, best first.
    workspaces : callable
        Returns the workspaces of the active configuration, by name.
    should_defer : callable
        Returns True if other processes are to decide, since they may know what was consumed before
        this one started.
    has_recent_restart : callable
        Returns True if a process has started within the quota window, so that recent decisions may
        be lost.
    partition_count : callable
        Returns, for a workspace name, into how many groups a network partition may have divided the
        processes; 1 if there is no sign of one.
    """

    local_ip: str
    incarnation: int
    rank_arbiters: Callable[[str], list[str]]
    workspaces: Callable[[], Mapping[str, ForwardedWorkspace]]
    should_defer: Callable[[], bool]
    has_recent_restart: Callable[[], bool]
    partition_count: Callable[[str], int]


@dataclass(frozen=True)
class _PendingCharge(DecisionRequest):
    """A request of a workspace that waits for the decision on its quota."""

    workspace: ForwardedWorkspace
    units: float
    then: Callable[[QuotaDecision], None]

    @property
    def key(self) -> str:
        """Name of the workspace, by which the candidate arbiters are ranked."""
        return self.workspace.name


class QuotaArbiters(QuotaGate, ArbiterProtocol[_PendingCharge]):
    """Decides on requests of workspaces with a quota, as arbiter or by asking one.

    Parameters
    ----------
    send : callable
        Sends a datagram to an IP address.
    """

    def __init__(
        self,
        quota: SharedQuota,
        context: QuotaContext,
        send: Callable[[bytes, str], None],
        timers: TimerService,
        metrics: Metrics,
        log: Log,
    ):
        self._quota = quota
        self._context = context
        self._send = send
        self._timers = timers
        self._metrics = metrics
        self._log = log
        arbiters = ArbiterContext(context.local_ip, context.incarnation, context.rank_arbiters)
        self._client: ArbiterClient[_PendingCharge] = ArbiterClient(
            "quota", self, arbiters, send, timers, metrics, log
        )
        self._replies: ReplyCache[QuotaReply] = ReplyCache()
        self._first_rank_since: dict[str, float] = {}
        self._settled: set[str] = set()

    def start(self) -> None:
        """Start to check periodically for which workspaces this process is the arbiter."""
        self._timers.every(ROLE_CHECK_SECONDS, self._update_role, first=0.0, relaxed=True)

    def _update_role(self) -> None:
        """Record since when this process is first in rank, by workspace."""
        now = self._timers.now()
        limited = [each.name for each in self._context.workspaces().values() if each.rate > 0]
        local = [
            name
            for name in limited
            if self._context.rank_arbiters(name)[:1] == [self._context.local_ip]
        ]
        previous = self._first_rank_since
        self._first_rank_since = {name: previous.get(name, now) for name in local}
        self._update_settled(now)
        if self._first_rank_since.keys() != previous.keys():
            self._log.info("quota arbiter role changed", workspaces=sorted(local))

    def _update_settled(self, now: float) -> None:
        """Become sole arbiter of workspaces after ranking first for long enough."""
        settled = {
            name for name, since in self._first_rank_since.items() if now - since >= SETTLED_SECONDS
        }
        workspaces = self._context.workspaces()
        if self._context.has_recent_restart():
            for name in settled - self._settled:
                self._quota.start_as_arbiter(workspaces[name], now)
        self._settled = settled

    # Requests to arbiters

    def decide(
        self,
        workspace: ForwardedWorkspace,
        units: float,
        then: Callable[[QuotaDecision], None],
    ) -> None:
        """Pass the decision on a request to `then`; at once if this process decides."""
        if workspace.rate <= 0:
            then(QuotaDecision(0.0))
            return
        self._client.submit(_PendingCharge(workspace, units, then))

    def encode_request(self, number: int, request: _PendingCharge) -> bytes:
        """Return the datagram that asks whether a request is within its quota."""
        return encode_quota_request(QuotaRequest(number, request.workspace.name, request.units))

    def decide_as_arbiter(self, request: _PendingCharge) -> bool:
        """Decide on a request for all processes; return False if others are to decide."""
        if self._context.should_defer():
            return False
        request.then(QuotaDecision(self._wait_seconds(request.workspace, request.units)))
        return True

    def decide_locally(self, request: _PendingCharge) -> None:
        """Decide within this process's share of the quota, since no arbiter can be reached."""
        is_newcomer = self._context.should_defer()
        wait_of = self._quota.get_wait_as_newcomer if is_newcomer else self._quota.get_wait
        request.then(QuotaDecision(wait_of(request.workspace, request.units, self._timers.now())))

    def return_unused(
        self, workspace: ForwardedWorkspace, units: float, decision: QuotaDecision
    ) -> None:
        """Return the units granted to a request that was not sent to an endpoint."""
        if decision.arbiter:
            self._return_units(workspace.name, units, decision.arbiter)

    def _return_units(self, name: str, units: float, ip: str) -> None:
        request = QuotaRequest(self._client.next_number(), name, -units)
        self._send(encode_quota_request(request), ip)

    def handle_reply(self, data: bytes, ip: str) -> None:
        """Handle the reply of an arbiter.

        Raises
        ------
        ValueError
            If the reply is malformed.
        """
        reply = decode_quota_reply(data)
        if reply.verdict is Verdict.NOT_HERE:
            self._client.handle_decline(reply.number, ip)
            return
        request = self._client.accept_reply(reply.number, ip)
        if request is None:
            self._return_late_grant(reply, ip)
            return
        request.then(QuotaDecision(reply.wait, ip, reply.state))

    def _return_late_grant(self, reply: QuotaReply, ip: str) -> None:
        """Return the units of a grant that arrived after another process was asked."""
        request = self._client.late_request(reply.number, ip)
        if request is not None and reply.verdict is Verdict.ALLOWED:
            self._return_units(request.workspace.name, request.units, ip)

    # Requests from other processes

    def handle_request(self, data: bytes, ip: str) -> None:
        """Decide on the quota request of another process and reply.

        Raises
        ------
        ValueError
            If the request is malformed.
        """
        request = decode_quota_request(data)
        workspace = self._context.workspaces().get(request.workspace)
        if request.units < 0:
            if workspace is not None:
                self._quota.refund_grant(workspace, -request.units, self._timers.now())
            return
        reply = self._replies.get_or_create(
            ip, request.number, lambda: self._make_reply(request, workspace)
        )
        self._metrics.count("quota_replies_total", verdict=reply.verdict.name.lower())
        self._send(encode_quota_reply(reply), ip)

    def _make_reply(
        self, request: QuotaRequest, workspace: ForwardedWorkspace | None
    ) -> QuotaReply:
        """Return the decision on a quota request of another process."""
        if workspace is None or not self._is_candidate(workspace.name):
            return QuotaReply(request.number, Verdict.NOT_HERE)
        now = self._timers.now()
        wait = self._wait_seconds(workspace, request.units)
        if wait <= 0:
            is_alone = workspace.name in self._settled or not self._context.has_recent_restart()
            self._quota.charge_grant(workspace, request.units, is_alone, now)
        verdict = Verdict.REFUSED if wait > 0 else Verdict.ALLOWED
        state = self._quota.get_state(workspace, now)
        return QuotaReply(request.number, verdict, max(0.0, wait), state)

    def _is_candidate(self, name: str) -> bool:
        """Return True if this process ranks itself among the arbiters and need not defer."""
        return (
            self._context.local_ip in self._context.rank_arbiters(name)
            and not self._context.should_defer()
        )

    def _wait_seconds(self, workspace: ForwardedWorkspace, units: float) -> float:
        """Return the seconds until the units are within the quota; 0 or less if they are now."""
        now = self._timers.now()
        if workspace.name in self._settled:
            return self._quota.get_wait_as_arbiter(workspace, units, now)
        partitions = self._context.partition_count(workspace.name)
        return self._quota.get_wait_as_new_arbiter(workspace, units, partitions, now)
