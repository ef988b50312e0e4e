"""Admission: limits, fair queueing and early refusal.

A request is admitted at once, queued for a bounded time, or refused at once with an honest
``Retry-After``. Nothing is held back to keep a caller from asking again.
"""

import heapq
import itertools
import math
import random
from abc import ABC, abstractmethod
from collections.abc import Mapping
from dataclasses import dataclass

from flamingofront.errors import ErrorKind, RequestError

__all__ = [
    "AdmissionPolicy",
    "FairAdmission",
    "FirstComeAdmission",
    "Ticket",
    "WorkspaceShare",
    "compute_limit_share",
]

MIN_RETRY_SECONDS = 0.5
MAX_RETRY_SECONDS = 60.0
RATE_WINDOW_SECONDS = 5.0
# Cost that a slot completes in a second, assumed until the first completions are counted.
PRIOR_RATE_PER_SLOT = 0.33


@dataclass(frozen=True)
class WorkspaceShare:
    """What admission knows of a workspace.

    Parameters
    ----------
    weight : float
        Share of the capacity under overload.
    priority : int
        0 is served first.
    limit : int
        Requests of the workspace that this process may run at the same time.
    """

    name: str
    weight: float = 1.0
    priority: int = 5
    limit: int = 256


@dataclass
class Ticket:
    """One request that waits or runs.

    Parameters
    ----------
    cost : float
        Work of the request relative to a usual one.
    latest_start : float
        Time after which starting it would miss its target or deadline.
    resumed : bool
        True for work that was accepted before and goes first.
    """

    request_id: str
    share: WorkspaceShare
    cost: float
    latest_start: float
    resumed: bool = False
    start_tag: float = 0.0
    running: bool = False
    cancelled: bool = False


def compute_limit_share(
    limit: int, own_demand: float, heard: Mapping[str, float], members: int, unheard: int
) -> int:
    """Return this process's part of a limit that all entry VMs share.

    Parameters
    ----------
    own_demand : float
        Requests of the workspace here.
    heard : mapping of str to float
        Demand at the members that were heard of lately.
    members : int
        All members, this one included.
    unheard : int
        Members out of hearing; each keeps its fixed part of the limit.

    Notes
    -----
    The parts of all processes add up to at most the limit (or to one for each process, if the limit
    is smaller than that), as long as their views agree; out of hearing, both sides fall back to
    fixed parts, so a partition cannot double the limit.
    """
    members = max(1, members)
    fixed = limit / members
    if unheard >= members - 1:
        return max(1, math.floor(fixed))
    # Each member may always run one request; what is left of the pool follows the demand.
    spread = max(0.0, limit - fixed * unheard - (len(heard) + 1))
    total = own_demand + 1.0 + sum(demand + 1.0 for demand in heard.values())
    return 1 + math.floor(spread * (own_demand + 1.0) / total)


class AdmissionPolicy(ABC):
    """Decides which requests run, wait or are refused."""

    @abstractmethod
    def offer(self, ticket: Ticket, now: float) -> None:
        """Take a new request in or raise `RequestError`."""

    @abstractmethod
    def start_next(self, now: float) -> Ticket | None:
        """Return the next request that may start, None if there is none."""

    @abstractmethod
    def expired(self, now: float) -> list[Ticket]:
        """Remove and return the waiting requests that can no longer start in time."""

    @abstractmethod
    def finished(self, ticket: Ticket, now: float) -> None:
        """Note that a request left, whether it ran or waited."""

    @abstractmethod
    def set_capacity(self, slots: float) -> None:
        """Set the number of requests that may run at the same time."""

    @abstractmethod
    def retry_after(self, now: float) -> float:
        """Return the seconds after which a refused caller should come back."""


class _Rate:
    """Completed cost per second, averaged over a few seconds."""

    def __init__(self):
        self._value = 0.0
        self._since = -math.inf
        self._sum = 0.0

    def add(self, cost: float, now: float) -> None:
        """Count completed work."""
        if self._since == -math.inf:
            self._since = now
        self._sum += cost
        self._roll(now)

    def _roll(self, now: float) -> None:
        elapsed = now - self._since
        if elapsed < RATE_WINDOW_SECONDS:
            return
        fresh = self._sum / elapsed
        self._value = fresh if not self._value else 0.5 * (self._value + fresh)
        self._sum = 0.0
        self._since = now

    def get(self) -> float:
        """Return the average, 0 while nothing is known."""
        return self._value


class _Base(AdmissionPolicy):
    """What both policies share: counts, the completion rate and the honest retry time."""

    def __init__(self, rng: random.Random, slots: float):
        self._rng = rng
        self._slots = slots
        self._running = 0
        self._waiting_cost = 0.0
        self._rate = _Rate()
        self._sequence = itertools.count()

    def set_capacity(self, slots: float) -> None:
        """Set the number of requests that may run at the same time."""
        self._slots = slots

    @property
    def running(self) -> int:
        """Requests that run now."""
        return self._running

    def expected_wait(self, cost_ahead: float) -> float:
        """Return the seconds until work worth `cost_ahead` has been started."""
        rate = self._rate.get() or self._slots * PRIOR_RATE_PER_SLOT
        return cost_ahead / rate if cost_ahead > 0 and rate > 0 else 0.0

    def retry_after(self, now: float) -> float:
        """Return a time that grows with the queue and is spread by jitter."""
        wait = max(MIN_RETRY_SECONDS, self.expected_wait(self._waiting_cost))
        return min(MAX_RETRY_SECONDS, wait * (1.0 + self._rng.random()))

    def _refuse(self, kind: ErrorKind, now: float, detail: str = "") -> RequestError:
        return RequestError(kind, detail, retry_after=self.retry_after(now))


class FirstComeAdmission(_Base):
    """The naive version: one queue in order of arrival, no limit on its length."""

    def __init__(self, rng: random.Random, slots: float = 16):
        super().__init__(rng, slots)
        self._queue: list[Ticket] = []

    def offer(self, ticket: Ticket, now: float) -> None:
        """Queue the request."""
        self._queue.append(ticket)
        self._waiting_cost += ticket.cost

    def start_next(self, now: float) -> Ticket | None:
        """Return the oldest request if a slot is free."""
        if self._running >= self._slots or not self._queue:
            return None
        ticket = self._queue.pop(0)
        self._waiting_cost -= ticket.cost
        ticket.running = True
        self._running += 1
        return ticket

    def expired(self, now: float) -> list[Ticket]:
        """Return nothing: this policy lets requests wait past their time."""
        return []

    def finished(self, ticket: Ticket, now: float) -> None:
        """Free the slot."""
        if ticket.running:
            self._running -= 1
            self._rate.add(ticket.cost, now)
        elif ticket in self._queue:
            self._queue.remove(ticket)
            self._waiting_cost -= ticket.cost


class FairAdmission(_Base):
    """Start-time fair queueing over workspaces, by class, with refusal at the door.

    Notes
    -----
    The order is: resumed work first, then by priority, then by start tag. The start tag of a
    workspace's request is the virtual finish of its last one, so a workspace with many requests
    cannot push back another that asks for less than its share [1]_.

    A request is refused at once if the work ahead of it is expected to take longer than it can
    wait.

    References
    ----------
    .. [1] P. Goyal, H. M. Vin, H. Cheng, "Start-time Fair Queueing", SIGCOMM 1996.
    """

    def __init__(self, rng: random.Random, slots: float = 16, max_waiting: int = 512):
        super().__init__(rng, slots)
        self._max_waiting = max_waiting
        self._heap: list[tuple[tuple[bool, int, float, int], Ticket]] = []
        self._deadlines: list[tuple[float, int, Ticket]] = []
        self._virtual = 0.0
        self._last_finish: dict[str, float] = {}
        self._held: dict[str, int] = {}
        self._waiting = 0
        self._waiting_by_workspace: dict[str, float] = {}

    def offer(self, ticket: Ticket, now: float) -> None:
        """Take the request in, or raise at once."""
        name = ticket.share.name
        held = self._held.get(name, 0)
        if held >= ticket.share.limit and not ticket.resumed:
            detail = f"workspace {name} has {held} requests here, its limit is {ticket.share.limit}"
            raise self._refuse(ErrorKind.LIMIT_EXCEEDED, now, detail)
        if not ticket.resumed:
            self._refuse_if_hopeless(ticket, now)
        self._push(ticket)
        self._held[name] = held + 1

    def _refuse_if_hopeless(self, ticket: Ticket, now: float) -> None:
        if self._running < self._slots and not self._waiting:
            return
        ahead = self._cost_ahead(ticket)
        if self._waiting >= self._max_waiting:
            raise self._refuse(ErrorKind.OVERLOADED, now, "the queue is full")
        if now + self.expected_wait(ahead) > ticket.latest_start:
            raise self._refuse(ErrorKind.OVERLOADED, now, "the queue is too long for the target")

    def _cost_ahead(self, ticket: Ticket) -> float:
        """Estimate the work that will start before this request, by fair shares."""
        share = ticket.share
        own = self._waiting_by_workspace.get(share.name, 0.0)
        ahead = own + ticket.cost
        for name, waiting in self._waiting_by_workspace.items():
            if name != share.name:
                ahead += min(waiting, (own + ticket.cost) / share.weight)
        return min(ahead, self._waiting_cost + ticket.cost)

    def _push(self, ticket: Ticket) -> None:
        name = ticket.share.name
        ticket.start_tag = max(self._virtual, self._last_finish.get(name, 0.0))
        self._last_finish[name] = ticket.start_tag + ticket.cost / ticket.share.weight
        number = next(self._sequence)
        rank = (not ticket.resumed, ticket.share.priority, ticket.start_tag, number)
        heapq.heappush(self._heap, (rank, ticket))
        heapq.heappush(self._deadlines, (ticket.latest_start, number, ticket))
        self._count_waiting(ticket, +1)

    def _count_waiting(self, ticket: Ticket, sign: int) -> None:
        name = ticket.share.name
        self._waiting += sign
        self._waiting_cost = max(0.0, self._waiting_cost + sign * ticket.cost)
        left = self._waiting_by_workspace.get(name, 0.0) + sign * ticket.cost
        if left > 1e-9:
            self._waiting_by_workspace[name] = left
        else:
            self._waiting_by_workspace.pop(name, None)

    def start_next(self, now: float) -> Ticket | None:
        """Return the request that comes next if a slot is free."""
        while self._heap and self._running < self._slots:
            _, ticket = heapq.heappop(self._heap)
            if ticket.cancelled:
                continue
            self._virtual = max(self._virtual, ticket.start_tag)
            self._count_waiting(ticket, -1)
            ticket.running = True
            self._running += 1
            return ticket
        return None

    def expired(self, now: float) -> list[Ticket]:
        """Remove and return the waiting requests that would miss their target."""
        late = []
        while self._deadlines and self._deadlines[0][0] < now:
            ticket = heapq.heappop(self._deadlines)[2]
            if not ticket.running and not ticket.cancelled:
                late.append(ticket)
                self.finished(ticket, now)
        return late

    def finished(self, ticket: Ticket, now: float) -> None:
        """Free what the request held."""
        if ticket.cancelled:
            return
        ticket.cancelled = True
        if ticket.running:
            self._running -= 1
            self._rate.add(ticket.cost, now)
        else:
            self._count_waiting(ticket, -1)
        left = self._held.get(ticket.share.name, 0) - 1
        if left > 0:
            self._held[ticket.share.name] = left
        else:
            self._held.pop(ticket.share.name, None)

    def held(self) -> Mapping[str, int]:
        """Return the requests held here by workspace."""
        return dict(self._held)
