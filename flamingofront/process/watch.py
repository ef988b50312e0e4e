"""Polling of the platform and the endpoints: VM list, reclaim notices, revision, load reports.

Every poll may safely be done by several processes. So that the load on the platform and the
endpoints doesn't grow with the number of entry VMs, a few processes of a zone, chosen by rendezvous
hashing, poll at the full rate and gossip the results; the others poll rarely, in case those few
are unreachable.
"""

import random
from collections import Counter
from collections.abc import Callable

from flamingofront.errors import PlatformError
from flamingofront.messages import STALE_SECONDS, OutboundCall, Sleep
from flamingofront.process.dissemination import Dissemination
from flamingofront.process.documents import DocumentStore
from flamingofront.process.membership import Fact, Role, VmState
from flamingofront.process.metrics import Metrics
from flamingofront.process.rendezvous import rank
from flamingofront.process.tasks import Task, TaskRunner, read_json
from flamingofront.process.timers import TimerService
from flamingofront.process.vm_list import VmList, VmRecord
from flamingofront.version.commit import load_configuration, load_revision
from flamingofront.version.model import Configuration

__all__ = ["EndpointWatch", "PlatformWatch", "convert_vm_list"]

READERS_PER_ZONE = 2
POLLERS_PER_ENDPOINT = 1
# A process that is not assigned a poll does it only every so many rounds.
STANDBY_PERIOD_FACTOR = 10
# Consecutive lists without a VM after which it is gone; a list may lag behind or be incomplete.
MISSING_LISTS_UNTIL_GONE = 3
LOAD_TIMEOUT_SECONDS = 1.0


def convert_vm_list(
    records: tuple[VmRecord, ...], get_fact: Callable[[str], Fact | None]
) -> list[Fact]:
    """Convert a VM list to membership facts.

    Parameters
    ----------
    get_fact : callable
        Returns the current fact about a VM, None if there is none.

    Notes
    -----
    The list has no incarnations. For a VM with a fact, the fact's incarnation and address are kept
    and the list only adds whether the VM is leaving; other VMs get incarnation 0.
    """
    facts = []
    for each in records:
        if not each.address:
            continue  # the VM is still starting
        state = VmState.LEAVING if each.state == "leaving" else VmState.LIVE
        fact = get_fact(each.vm_id)
        incarnation = fact.incarnation if fact is not None else 0
        address = fact.address if fact is not None else each.address
        facts.append(
            Fact(
                each.vm_id,
                incarnation,
                state,
                Role(each.role),
                each.zone,
                address,
                each.service,
                each.side,
                each.vm_class,
                each.reclaimable,
                each.price,
            )
        )
    return facts


class _PollAssignment:
    """Assigns shared polls to processes by rendezvous hashing."""

    def __init__(self, dissemination: Dissemination, timers: TimerService):
        self._gossip = dissemination
        self._timers = timers

    def list_live_members(self, zone: str) -> list[str]:
        """Return the ids of the live processes of a zone, including this one if it is there."""
        live = self._gossip.statuses.live_records(self._timers.now())
        members = {each.vm_id for each in live if each.zone == zone}
        local_fact = self._gossip.facts.get(self._gossip.own_id)
        if local_fact.zone == zone:
            members.add(local_fact.vm_id)
        return sorted(members)

    def list_live_ids(self) -> tuple[str, ...]:
        """Return the sorted ids of all processes with a recent status record."""
        live = self._gossip.statuses.live_records(self._timers.now())
        return tuple(sorted(each.vm_id for each in live))

    def is_assigned(self, key: str, zone: str, count: int) -> bool:
        """Return True if this process is one of the `count` assigned the poll `key` of a zone."""
        members = self.list_live_members(zone)
        if not members:
            members = sorted({self._gossip.own_id, *self.list_live_ids()})
        return self._gossip.own_id in rank(key, members)[:count]


class PlatformWatch:
    """Polls the VM list, the reclaim notices of the local zone and the configuration revision.

    Parameters
    ----------
    on_notice : callable
        Called with the id of a VM that will be reclaimed and the seconds left.
    on_configuration : callable
        Called with a newer configuration read from the store.
    on_facts : callable
        Called with the facts of each VM list.
    on_gone : callable
        Called with the id of a VM that disappeared from the list.

    Attributes
    ----------
    revision_was_read : bool
        True once the newest revision was read from the store.
    revision_read_failed : bool
        True once an attempt to read it failed.
    """

    def __init__(
        self,
        documents: DocumentStore,
        vm_list: VmList,
        dissemination: Dissemination,
        tasks: TaskRunner,
        timers: TimerService,
        metrics: Metrics,
        rng: random.Random,
        zone: str,
        period: float,
        on_notice: Callable[[str, float], None],
        on_configuration: Callable[[Configuration], None],
        on_facts: Callable[[list[Fact]], None],
        on_gone: Callable[[str], None],
    ):
        self._documents = documents
        self._vm_list = vm_list
        self._gossip = dissemination
        self._tasks = tasks
        self._timers = timers
        self._metrics = metrics
        self._rng = rng
        self._zone = zone
        self._period = period
        self._on_notice = on_notice
        self._on_configuration = on_configuration
        self._on_facts = on_facts
        self._on_gone = on_gone
        self._assignment = _PollAssignment(dissemination, timers)
        self._missing_counts: Counter[str] = Counter()
        self._listed: set[str] = set()
        self.revision_was_read = False
        self.revision_read_failed = False

    def start(self) -> None:
        """Start the periodic polls."""
        for step in (self._list_step, self._notice_step, self._revision_step):
            self._tasks.start(self._run_periodically(step))

    def _run_periodically(self, step: Callable[[], Task]) -> Task:
        rounds = 0
        while True:
            if rounds % STANDBY_PERIOD_FACTOR == 0 or self._assignment.is_assigned(
                step.__name__, self._zone, READERS_PER_ZONE
            ):
                try:
                    yield from step()
                except PlatformError:
                    self._metrics.count("platform_errors_total", operation=step.__name__[1:-5])
            rounds += 1
            yield Sleep(self._period * (0.9 + 0.2 * self._rng.random()))

    def _list_step(self) -> Task:
        records = yield from self._vm_list.list_vms()
        self._on_facts(convert_vm_list(records, self._gossip.facts.get))
        self._count_missing({each.vm_id for each in records})

    def _count_missing(self, listed: set[str]) -> None:
        """Report listed VMs as gone that are missing from several consecutive lists."""
        self._listed |= listed
        for vm_id in list(self._listed - listed):
            self._missing_counts[vm_id] += 1
            if self._missing_counts[vm_id] >= MISSING_LISTS_UNTIL_GONE:
                self._listed.discard(vm_id)
                del self._missing_counts[vm_id]
                self._on_gone(vm_id)
        for vm_id in listed & set(self._missing_counts):
            del self._missing_counts[vm_id]

    def _notice_step(self) -> Task:
        yield from self.read_notices(self._zone)

    def read_notices(self, zone: str) -> Task:
        """Read the reclaim notices of a zone and report each."""
        notices = yield from self._vm_list.fetch_notices(zone)
        for vm_id, seconds in notices.items():
            self._on_notice(vm_id, seconds)

    def _revision_step(self) -> Task:
        try:
            revision = yield from load_revision(self._documents)
            if revision > self._gossip.configuration.revision:
                cfg = yield from load_configuration(self._documents)
                self._on_configuration(cfg)
        except PlatformError:
            self.revision_read_failed = True
            raise
        self.revision_was_read = True


class EndpointWatch:
    """Polls load reports and cache events of the endpoints assigned to this process.

    Parameters
    ----------
    on_load : callable
        Called with the id and load of an endpoint.
    on_cache_events : callable
        Called with the id of an endpoint, its stored and evicted prefix blocks, and True if events
        were missed.
    """

    def __init__(
        self,
        dissemination: Dissemination,
        tasks: TaskRunner,
        timers: TimerService,
        on_load: Callable[[str, float], None],
        on_cache_events: Callable[[str, list[str], list[str], bool], None],
    ):
        self._gossip = dissemination
        self._tasks = tasks
        self._assignment = _PollAssignment(dissemination, timers)
        self._on_load = on_load
        self._on_cache_events = on_cache_events
        self._next_event: dict[str, int] = {}
        self._pending: set[str] = set()
        self._assignment_key: tuple[int, tuple[str, ...]] | None = None
        self._assigned_endpoints: tuple[Fact, ...] = ()

    def poll(self) -> None:
        """Request load and cache events from each assigned endpoint without a pending request."""
        for fact in self._list_assigned_endpoints():
            if fact.vm_id not in self._pending:
                self._pending.add(fact.vm_id)
                self._tasks.start(
                    self._read_load(fact), lambda _, vm_id=fact.vm_id: self._pending.discard(vm_id)
                )

    def _list_assigned_endpoints(self) -> tuple[Fact, ...]:
        """Return the endpoints assigned to this process, cached until facts or members change."""
        assignment_key = (self._gossip.facts.changes, self._assignment.list_live_ids())
        if assignment_key != self._assignment_key:
            self._assignment_key = assignment_key
            self._assigned_endpoints = tuple(
                fact
                for fact in self._gossip.facts.select(Role.ENDPOINT)
                if self._assignment.is_assigned(fact.vm_id, fact.zone, POLLERS_PER_ENDPOINT)
            )
        return self._assigned_endpoints

    def _read_load(self, fact: Fact) -> Task:
        since = self._next_event.get(fact.vm_id, 0)
        reply = yield OutboundCall(
            fact.address,
            "GET",
            f"/load?since={since}",
            timeout=LOAD_TIMEOUT_SECONDS,
            stale_seconds=STALE_SECONDS,
        )
        data = read_json(reply)
        if data is None:
            return
        self._on_load(fact.vm_id, float(data["load"]))
        events = data.get("events", {})
        if events:
            self._next_event[fact.vm_id] = events["next"]
            self._on_cache_events(fact.vm_id, events["stored"], events["evicted"], events["gap"])
