"""Admission control: concurrency limits, fair queueing and early rejection.

A request is admitted immediately, queued for a bounded time, or rejected immediately with an
accurate ``Retry-After``. Responses are never delayed in order to slow callers down.
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
# Cost that one slot completes per second, assumed until completions have been counted.
PRIOR_COST_PER_SLOT_SECOND = 0.33


@dataclass(frozen=True)
class WorkspaceShare:
    """Weight, priority and limit of a workspace in admission.

    Parameters
    ----------
    weight : float
        Share of the capacity under overload.
    priority : int
        Priority class; 0 is the most urgent.
    limit : int
        Maximum number of queued and running requests of the workspace at this process.
    """

    name: str
    weight: float = 1.0
    priority: int = 5
    limit: int = 256


@dataclass
class Ticket:
    """A queued or running request.

    Parameters
    ----------
    cost : float
        Work of the request relative to a typical one.
    latest_start : float
        Latest start time that meets its latency target and deadline.
    resumed : bool
        True for a request that was accepted before and is started first.
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
    limit: int,
    local_demand: float,
    live_demands: Mapping[str, float],
    members: int,
    unreachable: int,
) -> int:
    """Return this process's share of a concurrency limit over all entry VMs.

    Parameters
    ----------
    limit : int
        Limit over all entry VMs.
    local_demand : float
        Requests of the workspace at this process.
    live_demands : mapping of str to float
        Demand at the other live members, by member.
    members : int
        Number of all members, including this one.
    unreachable : int
        Number of unreachable members, each of which keeps a fixed share of the limit.

    Notes
    -----
    The shares add up to at most the limit (or to one per process if the limit is smaller) as long
    as the processes have the same view. Both sides of a partition reserve fixed shares for the
    other one, so a partition cannot double the limit.
    """
    members = max(1, members)
    fixed = limit / members
    if unreachable >= members - 1:
        return max(1, math.floor(fixed))
    # Each member may always run one request; the rest of the pool is divided by demand.
    spread = max(0.0, limit - fixed * unreachable - (len(live_demands) + 1))
    total = local_demand + 1.0 + sum(demand + 1.0 for demand in live_demands.values())
    return 1 + math.floor(spread * (local_demand + 1.0) / total)


class AdmissionPolicy(ABC):
    """Policy that decides which requests run, wait or are rejected."""

    @abstractmethod
    def offer(self, ticket: Ticket, now: float) -> None:
        """Queue a new request, or raise `RequestError` to reject it."""

    @abstractmethod
    def start_next(self, now: float) -> Ticket | None:
        """Start the next request and return it, None if none may start."""

    @abstractmethod
    def drop_expired(self, now: float) -> list[Ticket]:
        """Remove and return the queued requests that can no longer start in time."""

    @abstractmethod
    def release(self, ticket: Ticket, now: float) -> None:
        """Remove a queued or running request and free its resources."""

    @abstractmethod
    def set_capacity(self, slots: float) -> None:
        """Set the number of concurrent slots."""

    @abstractmethod
    def retry_after(self, now: float) -> float:
        """Return the seconds after which a rejected caller should retry."""


class _CompletionRate:
    """Moving average of the completed cost per second."""

    def __init__(self):
        self._value = 0.0
        self._since = -math.inf
        self._sum = 0.0

    def add(self, cost: float, now: float) -> None:
        """Add the cost of a completed request."""
        if self._since == -math.inf:
            self._since = now
        self._sum += cost
        self._roll_window(now)

    def _roll_window(self, now: float) -> None:
        elapsed = now - self._since
        if elapsed < RATE_WINDOW_SECONDS:
            return
        recent = self._sum / elapsed
        self._value = recent if not self._value else 0.5 * (self._value + recent)
        self._sum = 0.0
        self._since = now

    def get(self) -> float:
        """Return the average, 0 before the first window is complete."""
        return self._value


class _BaseAdmission(AdmissionPolicy):
    """Base of both policies, with the request counts, completion rate and retry time."""

    def __init__(self, rng: random.Random, slots: float):
        self._rng = rng
        self._slots = slots
        self._running = 0
        self._waiting_cost = 0.0
        self._rate = _CompletionRate()
        self._sequence = itertools.count()

    def set_capacity(self, slots: float) -> None:
        """Set the number of concurrent slots."""
        self._slots = slots

    @property
    def running(self) -> int:
        """Number of running requests."""
        return self._running

    def estimate_wait(self, cost_ahead: float) -> float:
        """Return the expected seconds until queued work of cost `cost_ahead` has started."""
        rate = self._rate.get() or self._slots * PRIOR_COST_PER_SLOT_SECOND
        return cost_ahead / rate if cost_ahead > 0 and rate > 0 else 0.0

    def retry_after(self, now: float) -> float:
        """Return the expected queueing time in seconds, spread by jitter."""
        wait = max(MIN_RETRY_SECONDS, self.estimate_wait(self._waiting_cost))
        return min(MAX_RETRY_SECONDS, wait * (1.0 + self._rng.random()))

    def _build_rejection(self, kind: ErrorKind, now: float, detail: str = "") -> RequestError:
        return RequestError(kind, detail, retry_after=self.retry_after(now))


class FirstComeAdmission(_BaseAdmission):
    """Baseline policy: one unbounded queue in order of arrival."""

    def __init__(self, rng: random.Random, slots: float = 16):
        super().__init__(rng, slots)
        self._queue: list[Ticket] = []

    def offer(self, ticket: Ticket, now: float) -> None:
        """Queue the request."""
        self._queue.append(ticket)
        self._waiting_cost += ticket.cost

    def start_next(self, now: float) -> Ticket | None:
        """Start the oldest request and return it, None if no slot is free."""
        if self._running >= self._slots or not self._queue:
            return None
        ticket = self._queue.pop(0)
        self._waiting_cost -= ticket.cost
        ticket.running = True
        self._running += 1
        return ticket

    def drop_expired(self, now: float) -> list[Ticket]:
        """Return an empty list: this policy lets requests wait past their latest start."""
        return []

    def release(self, ticket: Ticket, now: float) -> None:
        """Free the slot of a request, or remove it from the queue."""
        if ticket.running:
            self._running -= 1
            self._rate.add(ticket.cost, now)
        elif ticket in self._queue:
            self._queue.remove(ticket)
            self._waiting_cost -= ticket.cost


class FairAdmission(_BaseAdmission):
    """Start-time fair queueing over workspaces by priority class, with early rejection.

    Notes
    -----
    The order is: resumed requests first, then by priority, then by start tag. The start tag of a
    request is the virtual finish time of the previous one of its workspace, so a workspace with
    many requests cannot delay another one that uses less than its share [1]_.

    A request is rejected on arrival if the work ahead of it is expected to take longer than the
    request can wait.

    References
    ----------
    .. [1] P. Goyal, H. M. Vin, H. Cheng, "Start-time Fair Queueing", SIGCOMM 1996.
    """

    def __init__(self, rng: random.Random, slots: float = 16, max_waiting: int = 512):
        super().__init__(rng, slots)
        self._max_waiting = max_waiting
        self._heap: list[tuple[tuple[bool, int, float, int], Ticket]] = []
        self._deadlines: list[tuple[float, int, Ticket]] = []
        self._virtual_time = 0.0
        self._last_finish: dict[str, float] = {}
        self._in_flight: dict[str, int] = {}
        self._waiting = 0
        self._waiting_by_workspace: dict[str, float] = {}

    def offer(self, ticket: Ticket, now: float) -> None:
        """Queue a new request, or raise `RequestError` to reject it."""
        name = ticket.share.name
        in_flight = self._in_flight.get(name, 0)
        if in_flight >= ticket.share.limit and not ticket.resumed:
            detail = (
                f"workspace {name} has {in_flight} requests here, its limit is {ticket.share.limit}"
            )
            raise self._build_rejection(ErrorKind.LIMIT_EXCEEDED, now, detail)
        if not ticket.resumed:
            self._reject_if_too_late(ticket, now)
        self._enqueue(ticket)
        self._in_flight[name] = in_flight + 1

    def _reject_if_too_late(self, ticket: Ticket, now: float) -> None:
        if self._running < self._slots and not self._waiting:
            return
        cost_ahead = self._estimate_cost_ahead(ticket)
        if self._waiting >= self._max_waiting:
            raise self._build_rejection(ErrorKind.OVERLOADED, now, "the queue is full")
        if now + self.estimate_wait(cost_ahead) > ticket.latest_start:
            raise self._build_rejection(
                ErrorKind.OVERLOADED, now, "the queue is too long for the target"
            )

    def _estimate_cost_ahead(self, ticket: Ticket) -> float:
        """Estimate the cost that starts before this request under fair queueing."""
        share = ticket.share
        local_cost = self._waiting_by_workspace.get(share.name, 0.0)
        cost_ahead = local_cost + ticket.cost
        for name, waiting in self._waiting_by_workspace.items():
            if name != share.name:
                cost_ahead += min(waiting, (local_cost + ticket.cost) / share.weight)
        return min(cost_ahead, self._waiting_cost + ticket.cost)

    def _enqueue(self, ticket: Ticket) -> None:
        name = ticket.share.name
        ticket.start_tag = max(self._virtual_time, self._last_finish.get(name, 0.0))
        self._last_finish[name] = ticket.start_tag + ticket.cost / ticket.share.weight
        number = next(self._sequence)
        rank = (not ticket.resumed, ticket.share.priority, ticket.start_tag, number)
        heapq.heappush(self._heap, (rank, ticket))
        heapq.heappush(self._deadlines, (ticket.latest_start, number, ticket))
        self._update_waiting(ticket, +1)

    def _update_waiting(self, ticket: Ticket, sign: int) -> None:
        name = ticket.share.name
        self._waiting += sign
        self._waiting_cost = max(0.0, self._waiting_cost + sign * ticket.cost)
        remaining = self._waiting_by_workspace.get(name, 0.0) + sign * ticket.cost
        if remaining > 1e-9:
            self._waiting_by_workspace[name] = remaining
        else:
            self._waiting_by_workspace.pop(name, None)

    def start_next(self, now: float) -> Ticket | None:
        """Start the next request and return it, None if no slot is free."""
        while self._heap and self._running < self._slots:
            _, ticket = heapq.heappop(self._heap)
            if ticket.cancelled:
                continue
            self._virtual_time = max(self._virtual_time, ticket.start_tag)
            self._update_waiting(ticket, -1)
            ticket.running = True
            self._running += 1
            return ticket
        return None

    def drop_expired(self, now: float) -> list[Ticket]:
        """Remove and return the queued requests that can no longer start in time."""
        late = []
        while self._deadlines and self._deadlines[0][0] < now:
            ticket = heapq.heappop(self._deadlines)[2]
            if not ticket.running and not ticket.cancelled:
                late.append(ticket)
                self.release(ticket, now)
        return late

    def release(self, ticket: Ticket, now: float) -> None:
        """Remove a queued or running request and free its resources."""
        if ticket.cancelled:
            return
        ticket.cancelled = True
        if ticket.running:
            self._running -= 1
            self._rate.add(ticket.cost, now)
        else:
            self._update_waiting(ticket, -1)
        remaining = self._in_flight.get(ticket.share.name, 0) - 1
        if remaining > 0:
            self._in_flight[ticket.share.name] = remaining
        else:
            self._in_flight.pop(ticket.share.name, None)

    def get_in_flight(self) -> Mapping[str, int]:
        """Return the number of queued and running requests by workspace."""
        return dict(self._in_flight)
