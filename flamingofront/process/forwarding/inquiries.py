"""Asking the one process that decides on something for all, or the next one if it is silent.

Each process ranks those that it knows by rendezvous hash and asks the first one; nothing is agreed
on. Views that differ for a moment have to be borne by what decides.
"""

import itertools
from abc import ABC, abstractmethod
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Generic, TypeVar

from flamingofront.process.logs import Log
from flamingofront.process.metrics import Metrics
from flamingofront.process.timers import Timer, TimerService

__all__ = ["ArbiterProtocol", "DecisionRequest", "ArbiterContext", "ArbiterClient", "ReplyCache"]

# Time for a reply: many times the way there and back between two zones, and a small part of the
# tightest latency objective.
REPLY_SECONDS = 0.03
# A process that did not reply twice, or does not decide, is left out for so long.
AVOIDED_SECONDS = 1.0
# Processes that may stay silent to a question; the first one is asked twice, since a datagram may
# be lost. One that does not decide says so at once, and does not count.
MAX_SILENT = 3
# Questions and replies that are remembered, for datagrams that come twice or late: some seconds of
# the busiest process.
MAX_REMEMBERED = 4096
# Questions that a process may ask in each millisecond of its life, before the next one's numbers.
NUMBERS_PER_MILLISECOND = 1 << 20


class DecisionRequest(ABC):
    """Something that one process decides on for all."""

    @property
    @abstractmethod
    def key(self) -> str:
        """Ranks the processes that may decide on it."""


RequestT = TypeVar("RequestT", bound=DecisionRequest)


class ArbiterProtocol(ABC, Generic[RequestT]):
    """Decides on requests of one kind, and words the question to other processes."""

    @abstractmethod
    def question(self, number: int, request: RequestT) -> bytes:
        """Return the datagram that asks for a decision."""

    @abstractmethod
    def decide_here(self, request: RequestT) -> bool:
        """Decide in this process for all; False if others are to."""

    @abstractmethod
    def decide_alone(self, request: RequestT) -> None:
        """Decide by this process's part, since nobody who decides for all is reached."""


@dataclass(eq=False)
class _Inquiry(Generic[RequestT]):
    number: int
    request: RequestT
    left: list[str]
    asked: str = ""
    silent: set[str] = field(default_factory=set)
    timer: Timer | None = None


@dataclass(frozen=True)
class ArbiterContext:
    """Who asks.

    Parameters
    ----------
    local_ip : str
        IP number of this process.
    incarnation : int
        Start of this process, in milliseconds.
    ranked : callable
        Returns, for a key, the IP numbers of the processes that may decide, in their order.
    """

    local_ip: str
    incarnation: int
    ranked: Callable[[str], list[str]]


class ArbiterClient(Generic[RequestT]):
    """Questions of this process that wait for a reply.

    Parameters
    ----------
    name : str
        Begin of the names of its counters: `NAME_questions_total`,
        `NAME_questions_unanswered_total` and `NAME_decisions_alone_total`.
    send : callable
        Sends a datagram to an IP number.
    """

    def __init__(
        self,
        name: str,
        decider: ArbiterProtocol[RequestT],
        inquirer: ArbiterContext,
        send: Callable[[bytes, str], None],
        timers: TimerService,
        metrics: Metrics,
        log: Log,
    ):
        self._name = name
        self._decider = decider
        self._inquirer = inquirer
        self._send = send
        self._timers = timers
        self._metrics = metrics
        self._log = log
        # A process that starts again goes on with other numbers: replies are remembered by them.
        self._numbers = itertools.count(inquirer.incarnation * NUMBERS_PER_MILLISECOND + 1)
        self._pending: dict[int, _Inquiry[RequestT]] = {}
        self._avoided: dict[str, float] = {}
        # Matters that were decided, with the IP number of who decided; empty for this process.
        self._decided: OrderedDict[int, tuple[RequestT, str]] = OrderedDict()

    def next_number(self) -> int:
        """Return a number that no question of this process had."""
        return next(self._numbers)

    def ask(self, request: RequestT) -> None:
        """Have a request decided on; at once if that is done here."""
        left = self._candidates(request.key)
        self._ask_next(_Inquiry(self.next_number(), request, left))

    def _candidates(self, key: str) -> list[str]:
        """Return whom to ask in turn: the first one twice."""
        now = self._timers.now()
        self._avoided = {ip: until for ip, until in self._avoided.items() if until > now}
        ranked = [each for each in self._inquirer.ranked(key) if each not in self._avoided]
        return [*ranked[:1], *ranked]

    def _ask_next(self, inquiry: _Inquiry[RequestT]) -> None:
        if not inquiry.left or len(inquiry.silent) >= MAX_SILENT:
            self._metrics.count(f"{self._name}_decisions_alone_total")
            self._end(inquiry, "")
            self._decider.decide_alone(inquiry.request)
            return
        inquiry.asked = inquiry.left.pop(0)
        if inquiry.asked == self._inquirer.local_ip:
            self._end(inquiry, "")
            if not self._decider.decide_here(inquiry.request):
                self._ask_next(inquiry)
            return
        self._pending[inquiry.number] = inquiry
        inquiry.timer = self._timers.once(REPLY_SECONDS, lambda: self._no_reply(inquiry))
        self._metrics.count(f"{self._name}_questions_total")
        self._send(self._decider.question(inquiry.number, inquiry.request), inquiry.asked)

    def _no_reply(self, inquiry: _Inquiry[RequestT]) -> None:
        self._metrics.count(f"{self._name}_questions_unanswered_total")
        if inquiry.asked in inquiry.silent:
            self._avoid(inquiry.asked, "no reply")
        inquiry.silent.add(inquiry.asked)
        self._ask_next(inquiry)

    def _avoid(self, ip: str, reason: str) -> None:
        self._avoided[ip] = self._timers.now() + AVOIDED_SECONDS
        self._log.info(f"{self._name} arbiter left out", arbiter=ip, reason=reason)

    def _end(self, inquiry: _Inquiry[RequestT], arbiter: str) -> None:
        self._pending.pop(inquiry.number, None)
        self._decided[inquiry.number] = (inquiry.request, arbiter)
        while len(self._decided) > MAX_REMEMBERED:
            self._decided.popitem(last=False)

    def replied(self, number: int, ip: str) -> RequestT | None:
        """Take a reply that decides; None if it is not awaited from there."""
        inquiry = self._awaited(number, ip)
        if inquiry is None:
            return None
        self._end(inquiry, ip)
        return inquiry.request

    def declined(self, number: int, ip: str) -> None:
        """Take the reply of a process that does not decide: the next one is asked."""
        inquiry = self._awaited(number, ip)
        if inquiry is None:
            return
        self._avoid(ip, "does not decide")
        inquiry.left = [each for each in inquiry.left if each != ip]
        self._ask_next(inquiry)

    def _awaited(self, number: int, ip: str) -> _Inquiry[RequestT] | None:
        inquiry = self._pending.get(number)
        if inquiry is None or ip != inquiry.asked:
            return None
        inquiry.timer.cancel()
        return inquiry

    def unused(self, number: int, ip: str) -> RequestT | None:
        """Return the request of a late permission that is not used: another process decided."""
        inquiry = self._pending.get(number)
        if inquiry is not None:
            return inquiry.request
        request, arbiter = self._decided.get(number, (None, ip))
        return None if arbiter == ip else request


ReplyT = TypeVar("ReplyT")


class ReplyCache(Generic[ReplyT]):
    """Replies that were made, so that a question which comes twice has the same one."""

    def __init__(self):
        self._replies: OrderedDict[tuple[str, int], ReplyT] = OrderedDict()

    def once(self, ip: str, number: int, make: Callable[[], ReplyT]) -> ReplyT:
        """Return the reply to a question, made at the first time."""
        reply = self._replies.get((ip, number)) or make()
        self._replies[ip, number] = reply
        while len(self._replies) > MAX_REMEMBERED:
            self._replies.popitem(last=False)
        return reply
