"""Watch the platform and the endpoints: VM list, reclaim notices, revision, load reports.

Each duty here is safe to do twice. To keep the cost for the platform and the endpoints flat as the
number of entry VMs grows, a few processes of a zone, picked by rendezvous hash, do it at full rate
and tell the others; the rest look rarely, in case those few are out of hearing.
"""

import random
from collections import Counter
from collections.abc import Callable

import orjson

from flamingofront.errors import PlatformError
from flamingofront.messages import CallFailed, OutboundCall, Sleep
from flamingofront.process.dissemination import Dissemination
from flamingofront.process.documents import DocumentStore
from flamingofront.process.membership import Fact, Role, VmState
from flamingofront.process.metrics import Metrics
from flamingofront.process.rendezvous import rank
from flamingofront.process.tasks import Task, TaskRunner
from flamingofront.process.timers import TimerService
from flamingofront.process.vm_list import VmList, VmRecord
from flamingofront.version.commit import load_configuration, load_revision
from flamingofront.version.model import Configuration

__all__ = ["EndpointWatch", "PlatformWatch", "facts_of_list"]

READERS_PER_ZONE = 2
POLLERS_PER_ENDPOINT = 1
RARE_FACTOR = 10
MISSING_READS = 3
LOAD_TIMEOUT_SECONDS = 1.0


def facts_of_list(records: tuple[VmRecord, ...], known: Callable[[str], Fact | None]) -> list[Fact]:
    """Return the facts that a VM list states.

    Notes
    -----
    The list knows no incarnations. Of an entry VM that has told its own it only says whether the VM
    is leaving; for all others incarnation 0 is used.
    """
    facts = []
    for each in records:
        if not each.address:
            continue  # still starting
        state = VmState.LEAVING if each.state == "leaving" else VmState.LIVE
        fact = known(each.vm_id)
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


class _Duty:
    """Tells whether this process does a shared duty at full rate."""

    def __init__(self, dissemination: Dissemination, timers: TimerService):
        self._gossip = dissemination
        self._timers = timers

    def members(self, zone: str) -> list[str]:
        """Return the processes of a zone that were heard lately, this one included if it is."""
        heard = self._gossip.statuses.live_records(self._timers.now())
        members = {each.vm_id for each in heard if each.zone == zone}
        own = self._gossip.facts.get(self._gossip.own_id)
        if own.zone == zone:
            members.add(own.vm_id)
        return sorted(members)

    def heard_ids(self) -> tuple[str, ...]:
        """Return the ids of all processes that were heard lately."""
        heard = self._gossip.statuses.live_records(self._timers.now())
        return tuple(sorted(each.vm_id for each in heard))

    def is_mine(self, key: str, zone: str, count: int) -> bool:
        """Tell whether this process is one of the `count` that do the duty `key` for a zone."""
        members = self.members(zone)
        if not members:
            members = sorted({self._gossip.own_id, *self.heard_ids()})
        return self._gossip.own_id in rank(key, members)[:count]


class PlatformWatch:
    """Reads the VM list, the notices of the own zone and the revision in force.

    Parameters
    ----------
    on_notice : callable
        Gets the id of a VM that will be reclaimed and the seconds that are left.
    on_configuration : callable
        Gets a configuration read from the platform.
    on_facts : callable
        Gets the facts that a VM list states.
    on_gone : callable
        Gets the id of a VM that has vanished from the list.
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
        self._duty = _Duty(dissemination, timers)
        self._missing: Counter[str] = Counter()
        self._listed: set[str] = set()
        self.revision_was_read = False
        self.revision_read_failed = False

    def start(self) -> None:
        """Begin to watch."""
        for watch in (self._list_step, self._notice_step, self._revision_step):
            self._tasks.start(self._loop(watch))

    def _loop(self, step: Callable[[], Task]) -> Task:
        rounds = 0
        while True:
            if rounds % RARE_FACTOR == 0 or self._duty.is_mine(
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
        self._on_facts(facts_of_list(records, self._gossip.facts.get))
        self._note_missing({each.vm_id for each in records})

    def _note_missing(self, listed: set[str]) -> None:
        """Count a VM as gone when several lists in a row lack it that this process saw listed."""
        self._listed |= listed
        for vm_id in list(self._listed - listed):
            self._missing[vm_id] += 1
            if self._missing[vm_id] >= MISSING_READS:
                self._listed.discard(vm_id)
                del self._missing[vm_id]
                self._on_gone(vm_id)
        for vm_id in listed & set(self._missing):
            del self._missing[vm_id]

    def _notice_step(self) -> Task:
        yield from self.read_notices(self._zone)

    def read_notices(self, zone: str) -> Task:
        """Read the reclaim notices of a zone."""
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
    """Reads the load reports and cache events of the endpoints that this process polls.

    Parameters
    ----------
    on_load : callable
        Gets the id and load of an endpoint.
    on_cache_events : callable
        Gets the id of an endpoint, stored blocks, evicted blocks, and whether events were missed.
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
        self._duty = _Duty(dissemination, timers)
        self._on_load = on_load
        self._on_cache_events = on_cache_events
        self._seen: dict[str, int] = {}
        self._busy: set[str] = set()
        self._basis: tuple[int, tuple[str, ...]] | None = None
        self._mine: tuple[Fact, ...] = ()

    def poll(self) -> None:
        """Ask each endpoint that falls to this process for its load and its cache events."""
        for fact in self._assigned():
            if fact.vm_id not in self._busy:
                self._busy.add(fact.vm_id)
                self._tasks.start(
                    self._ask(fact), lambda _, vm_id=fact.vm_id: self._busy.discard(vm_id)
                )

    def _assigned(self) -> tuple[Fact, ...]:
        """Return the endpoints that fall to this process; worked out anew only after a change."""
        basis = (self._gossip.facts.changes, self._duty.heard_ids())
        if basis != self._basis:
            self._basis = basis
            self._mine = tuple(
                fact
                for fact in self._gossip.facts.select(Role.ENDPOINT)
                if self._duty.is_mine(fact.vm_id, fact.zone, POLLERS_PER_ENDPOINT)
            )
        return self._mine

    def _ask(self, fact: Fact) -> Task:
        since = self._seen.get(fact.vm_id, 0)
        reply = yield OutboundCall(
            fact.address, "GET", f"/load?since={since}", timeout=LOAD_TIMEOUT_SECONDS
        )
        if isinstance(reply, CallFailed) or reply.status != 200:
            return
        data = orjson.loads(reply.body)
        self._on_load(fact.vm_id, float(data["load"]))
        events = data.get("events", {})
        if events:
            self._seen[fact.vm_id] = events["next"]
            self._on_cache_events(fact.vm_id, events["stored"], events["evicted"], events["gap"])
