"""Which process decides on the quota of a workspace, and how the others ask it.

Each process ranks those that it knows by rendezvous hash and asks the first one; nothing is agreed
on. A process that does not know what was taken before its start passes the question on to the next.
Views that differ for a moment are borne by `SharedQuota`, which takes an arbiter that has just
become one for one of two.
"""

import itertools
from collections import OrderedDict
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from flamingofront.decisions.quota import SharedQuota
from flamingofront.decisions.quota_facts import QuotaState
from flamingofront.process.forwarding.quota_messages import (
    QuotaQuestion,
    QuotaReply,
    Verdict,
    decode_question,
    decode_reply,
    encode_question,
    encode_reply,
)
from flamingofront.process.logs import Log
from flamingofront.process.metrics import Metrics
from flamingofront.process.timers import Timer, TimerService
from flamingofront.request.quota_gate import QuotaDecision, QuotaGate
from flamingofront.version.forwarding import ForwardedWorkspace

__all__ = ["QuotaArbiters", "QuotaView"]

# Time for a reply: many times the way there and back between two zones, and a small part of the
# tightest latency objective.
REPLY_SECONDS = 0.03
# A process that did not reply twice, or does not decide, is left out for so long.
AVOIDED_SECONDS = 1.0
# Processes that may stay silent to a question; the first one is asked twice, since a datagram may
# be lost. One that does not decide says so at once, and does not count.
MAX_SILENT = 3
# A process that has been the first in rank for so long knows all that was taken without it.
SETTLED_SECONDS = 2.0
LOOK_SECONDS = 0.5
# Questions and replies that are remembered, for datagrams that come twice or late: some seconds of
# the busiest process.
MAX_REMEMBERED = 4096
# Questions that a process may ask in each millisecond of its life, before the next one's numbers.
NUMBERS_A_MILLISECOND = 1 << 20


@dataclass(frozen=True)
class QuotaView:
    """What the arbitration needs to know of its process.

    Parameters
    ----------
    own_ip : str
        IP number of this process.
    incarnation : int
        Start of this process, in milliseconds.
    ranked : callable
        Returns, for the name of a workspace, the IP numbers of the processes in their order.
    workspaces : callable
        Returns the workspaces of the configuration in force, by name.
    knows_less : callable
        Returns True if other processes are to decide: they may know what was taken before this one
        began.
    lost_memory : callable
        Returns True if a process has begun anew within the window, so that what was decided lately
        may not be known to anyone.
    sides : callable
        Returns, for the name of a workspace, into how many sides a partition may have divided the
        processes; 1 if there seems to be none.
    """

    own_ip: str
    incarnation: int
    ranked: Callable[[str], list[str]]
    workspaces: Callable[[], Mapping[str, ForwardedWorkspace]]
    knows_less: Callable[[], bool]
    lost_memory: Callable[[], bool]
    sides: Callable[[str], int]


@dataclass(eq=False)
class _Pending:
    number: int
    workspace: ForwardedWorkspace
    units: float
    then: Callable[[QuotaDecision], None]
    left: list[str]
    asked: str = ""
    silent: set[str] = field(default_factory=set)
    timer: Timer | None = None


class QuotaArbiters(QuotaGate):
    """Has requests of workspaces with a quota decided on, here or at another process.

    Parameters
    ----------
    send : callable
        Sends a datagram to an IP number.
    """

    def __init__(
        self,
        quota: SharedQuota,
        view: QuotaView,
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
        # A process that starts again goes on with other numbers: replies are remembered by them.
        self._numbers = itertools.count(view.incarnation * NUMBERS_A_MILLISECOND + 1)
        self._pending: dict[int, _Pending] = {}
        self._avoided: dict[str, float] = {}
        self._first_since: dict[str, float] = {}
        self._settled: set[str] = set()
        self._replied: OrderedDict[tuple[str, int], QuotaReply] = OrderedDict()
        # Questions that were decided, with who decided: a late permission is given back.
        self._decided: OrderedDict[int, tuple[str, float, str]] = OrderedDict()

    def start(self) -> None:
        """Begin to follow which workspaces this process decides on."""
        self._timers.every(LOOK_SECONDS, self._look, first=0.0, relaxed=True)

    def _look(self) -> None:
        """Take note since when this process is the first in rank, by workspace."""
        now = self._timers.now()
        limited = [each.name for each in self._view.workspaces().values() if each.rate > 0]
        own = [name for name in limited if self._view.ranked(name)[:1] == [self._view.own_ip]]
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
                self._quota.begin_as_arbiter(workspaces[name], now)
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
        left = self._candidates(workspace.name)
        pending = _Pending(next(self._numbers), workspace, units, then, left)
        self._ask_next(pending)

    def _candidates(self, name: str) -> list[str]:
        """Return whom to ask in turn: the first one twice."""
        now = self._timers.now()
        self._avoided = {ip: until for ip, until in self._avoided.items() if until > now}
        ranked = [each for each in self._view.ranked(name) if each not in self._avoided]
        return [*ranked[:1], *ranked]

    def _ask_next(self, pending: _Pending) -> None:
        if not pending.left or len(pending.silent) >= MAX_SILENT:
            self._decide_alone(pending)
            return
        pending.asked = pending.left.pop(0)
        if pending.asked == self._view.own_ip:
            self._decide_as_arbiter(pending)
            return
        self._pending[pending.number] = pending
        pending.timer = self._timers.once(REPLY_SECONDS, lambda: self._no_reply(pending))
        question = QuotaQuestion(pending.number, pending.workspace.name, pending.units)
        self._metrics.count("quota_questions_total")
        self._send(encode_question(question), pending.asked)

    def _no_reply(self, pending: _Pending) -> None:
        self._metrics.count("quota_questions_unanswered_total")
        if pending.asked in pending.silent:
            self._avoid(pending.asked, "no reply")
        pending.silent.add(pending.asked)
        self._ask_next(pending)

    def _avoid(self, ip: str, reason: str) -> None:
        self._avoided[ip] = self._timers.now() + AVOIDED_SECONDS
        self._log.info("quota arbiter left out", arbiter=ip, reason=reason)

    def _decide_as_arbiter(self, pending: _Pending) -> None:
        if self._view.knows_less():
            self._ask_next(pending)
            return
        wait = self._wait(pending.workspace, pending.units)
        self._finish(pending, QuotaDecision(wait))

    def _decide_alone(self, pending: _Pending) -> None:
        """Decide by the own part of what is left, since nobody who decides for all is reached."""
        self._metrics.count("quota_decisions_alone_total")
        is_newcomer = self._view.knows_less()
        wait_of = self._quota.wait_as_newcomer if is_newcomer else self._quota.wait
        wait = wait_of(pending.workspace, pending.units, self._timers.now())
        self._finish(pending, QuotaDecision(wait))

    def _finish(self, pending: _Pending, decision: QuotaDecision) -> None:
        self._pending.pop(pending.number, None)
        self._decided[pending.number] = (pending.workspace.name, pending.units, decision.arbiter)
        while len(self._decided) > MAX_REMEMBERED:
            self._decided.popitem(last=False)
        pending.then(decision)

    def unused(self, workspace: ForwardedWorkspace, units: float, decision: QuotaDecision) -> None:
        """Give back what was allowed to a request that was not taken in the end."""
        if decision.arbiter:
            self._give_back(workspace.name, units, decision.arbiter)

    def _give_back(self, name: str, units: float, ip: str) -> None:
        question = QuotaQuestion(next(self._numbers), name, -units)
        self._send(encode_question(question), ip)

    def take_reply(self, data: bytes, ip: str) -> None:
        """Take the reply of an arbiter.

        Raises
        ------
        ValueError
            If it is malformed.
        """
        reply = decode_reply(data)
        pending = self._pending.get(reply.number)
        if pending is None or ip != pending.asked:
            self._take_late(reply, ip)
            return
        pending.timer.cancel()
        if reply.verdict is Verdict.NOT_HERE:
            self._avoid(ip, "does not decide")
            pending.left = [each for each in pending.left if each != ip]
            self._ask_next(pending)
            return
        state = QuotaState(reply.bucket, reply.taken, reply.limit)
        self._finish(pending, QuotaDecision(reply.wait, ip, state))

    def _take_late(self, reply: QuotaReply, ip: str) -> None:
        """Give a permission back that came when another process had been asked already."""
        if reply.verdict is not Verdict.ALLOWED:
            return
        pending = self._pending.get(reply.number)
        name, units, arbiter = self._decided.get(reply.number, ("", 0.0, ip))
        if pending is not None:
            name, units, arbiter = pending.workspace.name, pending.units, ""
        if arbiter != ip:
            self._give_back(name, units, ip)

    # Deciding

    def take_question(self, data: bytes, ip: str) -> None:
        """Decide on the question of another process and reply.

        Raises
        ------
        ValueError
            If it is malformed.
        """
        question = decode_question(data)
        workspace = self._view.workspaces().get(question.workspace)
        if question.units < 0:
            if workspace is not None:
                self._quota.give_back(workspace, -question.units, self._timers.now())
            return
        known = self._replied.get((ip, question.number))
        reply = known or self._reply(question, workspace)
        self._replied[ip, question.number] = reply
        while len(self._replied) > MAX_REMEMBERED:
            self._replied.popitem(last=False)
        self._metrics.count("quota_replies_total", verdict=reply.verdict.name.lower())
        self._send(encode_reply(reply), ip)

    def _reply(self, question: QuotaQuestion, workspace: ForwardedWorkspace | None) -> QuotaReply:
        if workspace is None or not self._may_decide(workspace.name):
            return QuotaReply(question.number, Verdict.NOT_HERE)
        now = self._timers.now()
        wait = self._wait(workspace, question.units)
        if wait <= 0:
            is_alone = workspace.name in self._settled or not self._view.lost_memory()
            self._quota.charge_ahead(workspace, question.units, is_alone, now)
        verdict = Verdict.REFUSED if wait > 0 else Verdict.ALLOWED
        state = self._quota.state(workspace, now)
        return QuotaReply(
            question.number, verdict, max(0.0, wait), state.bucket, state.taken, state.limit
        )

    def _may_decide(self, name: str) -> bool:
        """Tell whether this process is among those that it would ask itself."""
        return self._view.own_ip in self._view.ranked(name) and not self._view.knows_less()

    def _wait(self, workspace: ForwardedWorkspace, units: float) -> float:
        now = self._timers.now()
        if workspace.name in self._settled:
            return self._quota.wait_as_arbiter(workspace, units, now)
        sides = self._view.sides(workspace.name)
        return self._quota.wait_as_new_arbiter(workspace, units, sides, now)
