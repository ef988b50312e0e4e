"""Which process decides on the quota of a workspace, and how the others ask it.

Each process ranks those that it knows by rendezvous hash and asks the first one; nothing is agreed
on. A process that does not know what was taken before its start passes the question on to the next.
Views that differ for a moment are borne by `SharedQuota`, which takes an arbiter that has just
become one for one of two.
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

# A process that has been the first in rank for so long knows all that was taken without it.
SETTLED_SECONDS = 2.0
LOOK_SECONDS = 0.5


@dataclass(frozen=True)
class QuotaContext:
    """What the arbitration needs to know of its process.

    Parameters
    ----------
    local_ip : str
        IP number of this process.
    incarnation : int
        Start of this process, in milliseconds.
    ranked : callable
        Returns, for the name of a workspace, the IP numbers of the processes in their order.
    workspaces : callable
        Returns the workspaces of the configuration in force, by name.
    should_defer : callable
        Returns True if other processes are to decide: they may know what was taken before this one
        began.
    lost_memory : callable
        Returns True if a process has begun anew within the window, so that what was decided lately
        may not be known to anyone.
    sides : callable
        Returns, for the name of a workspace, into how many sides a partition may have divided the
        processes; 1 if there seems to be none.
    """

    local_ip: str
    incarnation: int
    ranked: Callable[[str], list[str]]
    workspaces: Callable[[], Mapping[str, ForwardedWorkspace]]
    should_defer: Callable[[], bool]
    lost_memory: Callable[[], bool]
    sides: Callable[[str], int]


@dataclass(frozen=True)
class _QuotaRequest(DecisionRequest):
    """A request of a workspace that waits for the decision on its quota."""

    workspace: ForwardedWorkspace
    units: float
    then: Callable[[QuotaDecision], None]

    @property
    def key(self) -> str:
        """Name of the workspace: it ranks who decides."""
        return self.workspace.name


class QuotaArbiters(QuotaGate, ArbiterProtocol[_QuotaRequest]):
    """Has requests of workspaces with a quota decided on, here or at another process.

    Parameters
    ----------
    send : callable
        Sends a datagram to an IP number.
    """

    def __init__(
        self,
        quota: SharedQuota,
        view: QuotaContext,
        send: Callable[[bytes, str], None],
        timers: TimerService,
        metrics: Metrics,
        log: Log,
    ):
        self._quota = quota
        self._view = view
        self._send = send
        self._timers = timers
        self._metrics = metrics
        self._log = log
        inquirer = ArbiterContext(view.local_ip, view.incarnation, view.ranked)
        self._inquiries: ArbiterClient[_QuotaRequest] = ArbiterClient(
            "quota", self, inquirer, send, timers, metrics, log
        )
        self._sent: ReplyCache[QuotaReply] = ReplyCache()
        self._first_since: dict[str, float] = {}
        self._settled: set[str] = set()

    def start(self) -> None:
        """Begin to follow which workspaces this process decides on."""
        self._timers.every(LOOK_SECONDS, self._look, first=0.0, relaxed=True)

    def _look(self) -> None:
        """Take note since when this process is the first in rank, by workspace."""
        now = self._timers.now()
        limited = [each.name for each in self._view.workspaces().values() if each.rate > 0]
        own = [
            name for name in limited if self._view.rank_arbiters(name)[:1] == [self._view.local_ip]
        ]
        known = self._first_since
        self._first_since = {name: known.get(name, now) for name in own}
        self._settle(now)
        if self._first_since.keys() != known.keys():
            self._log.info("decides on quotas", workspaces=sorted(own))

    def _settle(self, now: float) -> None:
        """Begin to decide alone where this process has been the first for long enough."""
        settled = {
            name for name, since in self._first_since.items() if now - since >= SETTLED_SECONDS
        }
        workspaces = self._view.workspaces()
        if self._view.lost_memory():
            for name in settled - self._settled:
                self._quota.start_as_arbiter(workspaces[name], now)
        self._settled = settled

    # Asking

    def decide(
        self,
        workspace: ForwardedWorkspace,
        units: float,
        then: Callable[[QuotaDecision], None],
    ) -> None:
        """Have a request decided on, and pass the decision on; at once if it is made here."""
        if workspace.rate <= 0:
            then(QuotaDecision(0.0))
            return
        self._inquiries.ask(_QuotaRequest(workspace, units, then))

    def question(self, number: int, request: _QuotaRequest) -> bytes:
        """Return the datagram that asks whether a request may pass."""
        return encode_quota_request(QuotaRequest(number, request.workspace.name, request.units))

    def decide_here(self, request: _QuotaRequest) -> bool:
        """Decide on a request for all processes; False if others are to."""
        if self._view.should_defer():
            return False
        request.then(QuotaDecision(self._wait(request.workspace, request.units)))
        return True

    def decide_alone(self, request: _QuotaRequest) -> None:
        """Decide by the own part of what is left, since nobody who decides for all is reached."""
        is_newcomer = self._view.should_defer()
        wait_of = self._quota.get_wait_as_newcomer if is_newcomer else self._quota.get_wait
        request.then(QuotaDecision(wait_of(request.workspace, request.units, self._timers.now())))

    def unused(self, workspace: ForwardedWorkspace, units: float, decision: QuotaDecision) -> None:
        """Give back what was allowed to a request that was not taken in the end."""
        if decision.arbiter:
            self._give_back(workspace.name, units, decision.arbiter)

    def _give_back(self, name: str, units: float, ip: str) -> None:
        question = QuotaRequest(self._inquiries.next_number(), name, -units)
        self._send(encode_quota_request(question), ip)

    def take_reply(self, data: bytes, ip: str) -> None:
        """Take the reply of an arbiter.

        Raises
        ------
        ValueError
            If it is malformed.
        """
        reply = decode_quota_reply(data)
        if reply.verdict is Verdict.NOT_HERE:
            self._inquiries.declined(reply.number, ip)
            return
        request = self._inquiries.replied(reply.number, ip)
        if request is None:
            self._take_late(reply, ip)
            return
        request.then(QuotaDecision(reply.wait, ip, reply.state))

    def _take_late(self, reply: QuotaReply, ip: str) -> None:
        """Give a permission back that came when another process had been asked already."""
        request = self._inquiries.unused(reply.number, ip)
        if request is not None and reply.verdict is Verdict.ALLOWED:
            self._give_back(request.workspace.name, request.units, ip)

    # Deciding

    def take_question(self, data: bytes, ip: str) -> None:
        """Decide on the question of another process and reply.

        Raises
        ------
        ValueError
            If it is malformed.
        """
        question = decode_quota_request(data)
        workspace = self._view.workspaces().get(question.workspace)
        if question.units < 0:
            if workspace is not None:
                self._quota.refund_grant(workspace, -question.units, self._timers.now())
            return
        reply = self._sent.once(ip, question.number, lambda: self._reply(question, workspace))
        self._metrics.count("quota_replies_total", verdict=reply.verdict.name.lower())
        self._send(encode_quota_reply(reply), ip)

    def _reply(self, question: QuotaRequest, workspace: ForwardedWorkspace | None) -> QuotaReply:
        if workspace is None or not self._may_decide(workspace.name):
            return QuotaReply(question.number, Verdict.NOT_HERE)
        now = self._timers.now()
        wait = self._wait(workspace, question.units)
        if wait <= 0:
            is_alone = workspace.name in self._settled or not self._view.lost_memory()
            self._quota.charge_grant(workspace, question.units, is_alone, now)
        verdict = Verdict.REFUSED if wait > 0 else Verdict.ALLOWED
        state = self._quota.get_state(workspace, now)
        return QuotaReply(question.number, verdict, max(0.0, wait), state)

    def _may_decide(self, name: str) -> bool:
        """Tell whether this process is among those that it would ask itself."""
        return (
            self._view.local_ip in self._view.rank_arbiters(name) and not self._view.should_defer()
        )

    def _wait(self, workspace: ForwardedWorkspace, units: float) -> float:
        now = self._timers.now()
        if workspace.name in self._settled:
            return self._quota.get_wait_as_arbiter(workspace, units, now)
        sides = self._view.sides(workspace.name)
        return self._quota.get_wait_as_new_arbiter(workspace, units, sides, now)
