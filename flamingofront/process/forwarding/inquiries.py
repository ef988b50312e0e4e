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
REPLY_TIMEOUT_SECONDS = 0.03
# A process that did not reply twice, or does not decide, is left out for so long.
EXCLUSION_SECONDS = 1.0
# Processes that may stay silent to a question; the first one is asked twice, since a datagram may
# be lost. One that does not decide says so at once, and does not count.
MAX_UNRESPONSIVE = 3
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
    def encode_request(self, number: int, request: RequestT) -> bytes:
        """Return the datagram that asks for a decision."""

    @abstractmethod
    def decide_as_arbiter(self, request: RequestT) -> bool:
        """Decide in this process for all; False if others are to."""

    @abstractmethod
    def decide_locally(self, request: RequestT) -> None:
        """Decide by this process's part, since nobody who decides for all is reached."""


@dataclass(eq=False)
class _PendingRequest(Generic[RequestT]):
    number: int
    request: RequestT
    candidates: list[str]
    arbiter: str = ""
    unresponsive: set[str] = field(default_factory=set)
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
    rank_arbiters: Callable[[str], list[str]]


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
        protocol: ArbiterProtocol[RequestT],
        context: ArbiterContext,
        send: Callable[[bytes, str], None],
        timers: TimerService,
        metrics: Metrics,
        log: Log,
    ):
        self._name = name
        self._protocol = protocol
        self._context = context
        self._send = send
        self._timers = timers
        self._metrics = metrics
        self._log = log
        # A process that starts again goes on with other numbers: replies are remembered by them.
        self._numbers = itertools.count(context.incarnation * NUMBERS_PER_MILLISECOND + 1)
        self._pending: dict[int, _PendingRequest[RequestT]] = {}
        self._excluded_until: dict[str, float] = {}
        # Matters that were decided, with the IP number of who decided; empty for this process.
        self._decided: OrderedDict[int, tuple[RequestT, str]] = OrderedDict()

    def next_number(self) -> int:
        """Return a number that no question of this process had."""
        return next(self._numbers)

    def submit(self, request: RequestT) -> None:
        """Have a request decided on; at once if that is done here."""
        candidates = self._candidates(request.key)
        self._try_next(_PendingRequest(self.next_number(), request, candidates))

    def _candidates(self, key: str) -> list[str]:
        """Return whom to ask in turn: the first one twice."""
        now = self._timers.now()
        self._excluded_until = {
            ip: until for ip, until in self._excluded_until.items() if until > now
        }
        ranked = [
            each for each in self._context.rank_arbiters(key) if each not in self._excluded_until
        ]
        return [*ranked[:1], *ranked]

    def _try_next(self, pending: _PendingRequest[RequestT]) -> None:
        if not pending.candidates or len(pending.unresponsive) >= MAX_UNRESPONSIVE:
            self._metrics.count(f"{self._name}_decisions_alone_total")
            self._finish(pending, "")
            self._protocol.decide_locally(pending.request)
            return
        pending.arbiter = pending.candidates.pop(0)
        if pending.arbiter == self._context.local_ip:
            self._finish(pending, "")
            if not self._protocol.decide_as_arbiter(pending.request):
                self._try_next(pending)
            return
        self._pending[pending.number] = pending
        pending.timer = self._timers.once(REPLY_TIMEOUT_SECONDS, lambda: self._on_timeout(pending))
        self._metrics.count(f"{self._name}_questions_total")
        self._send(self._protocol.encode_request(pending.number, pending.request), pending.arbiter)

    def _on_timeout(self, pending: _PendingRequest[RequestT]) -> None:
        self._metrics.count(f"{self._name}_questions_unanswered_total")
        if pending.arbiter in pending.unresponsive:
            self._exclude(pending.arbiter, "no reply")
        pending.unresponsive.add(pending.arbiter)
        self._try_next(pending)

    def _exclude(self, ip: str, reason: str) -> None:
        self._excluded_until[ip] = self._timers.now() + EXCLUSION_SECONDS
        self._log.info(f"{self._name} arbiter left out", arbiter=ip, reason=reason)

    def _finish(self, pending: _PendingRequest[RequestT], arbiter: str) -> None:
        self._pending.pop(pending.number, None)
        self._decided[pending.number] = (pending.request, arbiter)
        while len(self._decided) > MAX_REMEMBERED:
            self._decided.popitem(last=False)

    def accept_reply(self, number: int, ip: str) -> RequestT | None:
        """Take a reply that decides; None if it is not awaited from there."""
        pending = self._match_reply(number, ip)
        if pending is None:
            return None
        self._finish(pending, ip)
        return pending.request

    def handle_decline(self, number: int, ip: str) -> None:
        """Take the reply of a process that does not decide: the next one is asked."""
        pending = self._match_reply(number, ip)
        if pending is None:
            return
        self._exclude(ip, "does not decide")
        pending.candidates = [each for each in pending.candidates if each != ip]
        self._try_next(pending)

    def _match_reply(self, number: int, ip: str) -> _PendingRequest[RequestT] | None:
        pending = self._pending.get(number)
        if pending is None or ip != pending.arbiter:
            return None
        pending.timer.cancel()
        return pending

    def late_request(self, number: int, ip: str) -> RequestT | None:
        """Return the request of a late permission that is not used: another process decided."""
        pending = self._pending.get(number)
        if pending is not None:
            return pending.request
        request, arbiter = self._decided.get(number, (None, ip))
        return None if arbiter == ip else request


ReplyT = TypeVar("ReplyT")


class ReplyCache(Generic[ReplyT]):
    """Replies that were made, so that a question which comes twice has the same one."""

    def __init__(self):
        self._replies: OrderedDict[tuple[str, int], ReplyT] = OrderedDict()

    def get_or_create(self, ip: str, number: int, make: Callable[[], ReplyT]) -> ReplyT:
        """Return the reply to a question, made at the first time."""
        reply = self._replies.get((ip, number)) or make()
        self._replies[ip, number] = reply
        while len(self._replies) > MAX_REMEMBERED:
            self._replies.popitem(last=False)
        return reply
