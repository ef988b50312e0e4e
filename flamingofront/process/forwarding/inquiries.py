"""Requests to the arbiter of a key, with fallback to the next one if it is unresponsive.

Each process ranks the processes that it can reach by rendezvous hashing and asks the first one;
there is no agreement protocol. Implementations of `ArbiterProtocol` must tolerate rankings that
differ between processes for a moment.
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

# Many times the round trip between two zones, and a small part of the tightest latency objective.
REPLY_TIMEOUT_SECONDS = 0.03
# Time for which a process that missed two replies, or does not decide, is excluded.
EXCLUSION_SECONDS = 1.0
# Processes that may leave a request unanswered before this process decides locally; the first
# one is asked twice, since a datagram may be lost. One that does not decide replies so at once, and
# does not count.
MAX_UNRESPONSIVE = 3
# Requests and replies that are kept for duplicate or late datagrams: some seconds of the busiest
# process.
MAX_REMEMBERED = 4096
# Range of request numbers reserved per millisecond of start time, so that a restarted process never
# reuses numbers.
NUMBERS_PER_MILLISECOND = 1 << 20


class DecisionRequest(ABC):
    """A request on which one process, the arbiter, decides for all processes."""

    @property
    @abstractmethod
    def key(self) -> str:
        """Key by which the candidate arbiters are ranked."""


RequestT = TypeVar("RequestT", bound=DecisionRequest)


class ArbiterProtocol(ABC, Generic[RequestT]):
    """Decides on requests of one kind, and encodes them for other processes."""

    @abstractmethod
    def encode_request(self, number: int, request: RequestT) -> bytes:
        """Return the datagram that asks another process for a decision."""

    @abstractmethod
    def decide_as_arbiter(self, request: RequestT) -> bool:
        """Decide for all processes; return False if this process is not to decide."""

    @abstractmethod
    def decide_locally(self, request: RequestT) -> None:
        """Decide within this process's own share, since no arbiter can be reached."""


@dataclass(eq=False)
class _PendingRequest(Generic[RequestT]):
    """A request that waits for a decision, and the processes that were asked."""

    number: int
    request: RequestT
    candidates: list[str]
    arbiter: str = ""
    unresponsive: set[str] = field(default_factory=set)
    timer: Timer | None = None


@dataclass(frozen=True)
class ArbiterContext:
    """Identity of the asking process, and its ranking of arbiters.

    Parameters
    ----------
    local_ip : str
        IP address of this process.
    incarnation : int
        Start of this process, in milliseconds.
    rank_arbiters : callable
        Returns, for a key, the IP addresses of the processes that may decide, best first.
    """

    local_ip: str
    incarnation: int
    rank_arbiters: Callable[[str], list[str]]


class ArbiterClient(Generic[RequestT]):
    """Requests of this process to arbiters, from submission to decision.

    Parameters
    ----------
    name : str
        Prefix of the counters `NAME_questions_total`, `NAME_questions_unanswered_total` and
        `NAME_decisions_alone_total`.
    send : callable
        Sends a datagram to an IP address.
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
        # Replies are cached by number, so a restarted process must use different numbers.
        self._numbers = itertools.count(context.incarnation * NUMBERS_PER_MILLISECOND + 1)
        self._pending: dict[int, _PendingRequest[RequestT]] = {}
        self._excluded_until: dict[str, float] = {}
        # Decided requests, with the IP address of the arbiter; empty for this process.
        self._decided: OrderedDict[int, tuple[RequestT, str]] = OrderedDict()

    def next_number(self) -> int:
        """Return a request number that this process has not used."""
        return next(self._numbers)

    def submit(self, request: RequestT) -> None:
        """Submit a request for a decision; returns after the decision if this process makes it."""
        candidates = self._candidates(request.key)
        self._try_next(_PendingRequest(self.next_number(), request, candidates))

    def _candidates(self, key: str) -> list[str]:
        """Return the processes to ask in turn; the best one is listed twice."""
        now = self._timers.now()
        self._excluded_until = {
            ip: until for ip, until in self._excluded_until.items() if until > now
        }
        ranked = [
            each for each in self._context.rank_arbiters(key) if each not in self._excluded_until
        ]
        return [*ranked[:1], *ranked]

    def _try_next(self, pending: _PendingRequest[RequestT]) -> None:
        """Ask the next candidate, or decide locally if none is left."""
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
        """Ask the next candidate; one that missed two replies is excluded for a while."""
        self._metrics.count(f"{self._name}_questions_unanswered_total")
        if pending.arbiter in pending.unresponsive:
            self._exclude(pending.arbiter, "no reply")
        pending.unresponsive.add(pending.arbiter)
        self._try_next(pending)

    def _exclude(self, ip: str, reason: str) -> None:
        """Leave a process out of the candidates for a while."""
        self._excluded_until[ip] = self._timers.now() + EXCLUSION_SECONDS
        self._log.info(f"{self._name} arbiter excluded", arbiter=ip, reason=reason)

    def _finish(self, pending: _PendingRequest[RequestT], arbiter: str) -> None:
        """End a pending request, remembering its arbiter for late replies."""
        self._pending.pop(pending.number, None)
        self._decided[pending.number] = (pending.request, arbiter)
        while len(self._decided) > MAX_REMEMBERED:
            self._decided.popitem(last=False)

    def accept_reply(self, number: int, ip: str) -> RequestT | None:
        """Return the request that a reply decides; None if no reply is expected from `ip`."""
        pending = self._match_reply(number, ip)
        if pending is None:
            return None
        self._finish(pending, ip)
        return pending.request

    def handle_decline(self, number: int, ip: str) -> None:
        """Ask the next candidate after `ip` replied that it does not decide."""
        pending = self._match_reply(number, ip)
        if pending is None:
            return
        self._exclude(ip, "does not decide")
        pending.candidates = [each for each in pending.candidates if each != ip]
        self._try_next(pending)

    def _match_reply(self, number: int, ip: str) -> _PendingRequest[RequestT] | None:
        """Return the pending request for a reply and cancel its timeout; None if there is none."""
        pending = self._pending.get(number)
        if pending is None or ip != pending.arbiter:
            return None
        pending.timer.cancel()
        return pending

    def late_request(self, number: int, ip: str) -> RequestT | None:
        """Return the request of a late reply from `ip`, whose grant must be returned; else None."""
        pending = self._pending.get(number)
        if pending is not None:
            return pending.request
        request, arbiter = self._decided.get(number, (None, ip))
        return None if arbiter == ip else request


ReplyT = TypeVar("ReplyT")


class ReplyCache(Generic[ReplyT]):
    """Replies already made, so that a duplicate request gets the same reply."""

    def __init__(self):
        self._replies: OrderedDict[tuple[str, int], ReplyT] = OrderedDict()

    def get_or_create(self, ip: str, number: int, make: Callable[[], ReplyT]) -> ReplyT:
        """Return the reply to a request, calling `make` only for the first copy of it."""
        reply = self._replies.get((ip, number)) or make()
        self._replies[ip, number] = reply
        while len(self._replies) > MAX_REMEMBERED:
            self._replies.popitem(last=False)
        return reply
