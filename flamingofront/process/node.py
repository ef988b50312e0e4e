"""One entry process, without its sockets: wires the decisions together.

The daemon gives it a transport and a timer service over circuits; tests give it fakes.
"""

import random
from collections.abc import Callable
from dataclasses import replace

from flamingofront.connection.interfaces import Exchange, Transport
from flamingofront.errors import ErrorKind, PlatformError
from flamingofront.messages import InboundRequest, Sleep
from flamingofront.process.control import ControlInterface, respond_json
from flamingofront.process.dissemination import Dissemination, Push
from flamingofront.process.documents import DocumentStore
from flamingofront.process.drain import DrainController, DrainState
from flamingofront.process.expiry import Sweeper
from flamingofront.process.former_sends import SenderProcess
from flamingofront.process.holds import DocumentQuarantine, QuarantineStore
from flamingofront.process.intent_rows import DocumentIntents
from flamingofront.process.intents import IntentRecorder
from flamingofront.process.leases import LeaseKeeper
from flamingofront.process.limits import SharedLimits
from flamingofront.process.logs import Log
from flamingofront.process.members import Members
from flamingofront.process.membership import Fact, Role, VmState
from flamingofront.process.metrics import Metrics
from flamingofront.process.operators import OperatorService
from flamingofront.process.orders import EndpointOrders
from flamingofront.process.peers import PeerLinks
from flamingofront.process.rows import LocalRows, LocalState
from flamingofront.process.services import Services
from flamingofront.process.settings import EntrySettings
from flamingofront.process.status import StatusRecord
from flamingofront.process.tasks import Task, TaskRunner
from flamingofront.process.timers import SLACK_SECONDS, TimerService
from flamingofront.process.vm_list import VmList
from flamingofront.process.watch import EndpointWatch, PlatformWatch
from flamingofront.request.directory import EndpointDirectory
from flamingofront.request.gateway import Gateway
from flamingofront.request.hub import HubSettings, RequestHub
from flamingofront.request.inheritance import RequestAdopter
from flamingofront.request.keyed import KeyedRequests
from flamingofront.request.migration import StreamMigrator
from flamingofront.request.reattach import Reattachment
from flamingofront.version.model import Configuration, DrainKind

__all__ = ["EntryNode"]

NOTICE_MARGIN_SECONDS = 4.0
DEFAULT_NOTICE_SECONDS = 10.0
MIN_READY_EXCHANGES = 1
# Pause between two looks at the requests that are held back. Peers tell of them at once; a process
# that hears none of them has to know before three seconds are over.
HOLDS_SECONDS = 2.0
# Pause after a failed try to write again what a copy of the store lacks.
WRITE_AGAIN_SECONDS = 0.2


class EntryNode:
    """All parts of one entry process.

    Parameters
    ----------
    settings : EntrySettings
        Checked settings.
    documents : DocumentStore
        What all entry processes keep in the platform's store.
    incarnation : int
        Start of the process; higher than that of any earlier process on this VM.
    on_exit : callable
        Called when a drain that ends the process is complete.
    """

    def __init__(
        self,
        settings: EntrySettings,
        documents: DocumentStore,
        transport: Transport,
        timers: TimerService,
        rng: random.Random,
        incarnation: int,
        log: Log,
        metrics: Metrics | None = None,
        on_exit: Callable[[], None] = lambda: None,
    ):
        self.settings = settings
        self.timers = timers
        self.log = log
        self.metrics = metrics or Metrics({"vm": settings.vm_id, "zone": settings.zone})
        self._rng = rng
        self._on_exit = on_exit
        self._exiting = False
        self._sequence = 0
        self._exchanges = 0
        self.documents = documents
        self.tasks = TaskRunner(transport, timers, self._fault)
        documents.add_restore_listener(lambda: self.tasks.start(self._write_again()))
        self._headers = _peer_headers(settings.control_token)
        self._build_membership(incarnation)
        self._build_requests(transport, incarnation)
        self._build_watches()
        self._build_duties(incarnation)
        self._build_operators()

    def _build_membership(self, incarnation: int) -> None:
        settings = self.settings
        own = Fact(
            settings.vm_id,
            incarnation,
            VmState.LIVE,
            Role.ENTRY,
            settings.zone,
            str(settings.advertise or settings.control_bind),
        )
        self.gossip = Dissemination(
            own, self._rng, self._configuration_changed, self._facts_changed, self.own_record
        )
        self.links = PeerLinks(
            self.gossip,
            self.tasks,
            self.timers,
            self.metrics,
            self._rng,
            self._headers,
            tuple(str(each) for each in settings.peers),
            self._exchanged,
        )
        self.members = Members(settings.zone, self.gossip, self.links)

    def _build_requests(self, transport: Transport, incarnation: int) -> None:
        settings = self.settings
        self.directory = EndpointDirectory(self.gossip.facts, self._rng)
        self.hub = RequestHub(
            HubSettings(
                settings.vm_id,
                settings.zone,
                settings.reattach_grace,
                settings.answer_retention,
            ),
            transport,
            self.timers,
            self.directory,
            self.metrics,
            self.log,
            self._rng,
        )
        self._guard_endpoints(incarnation)
        self.limits = SharedLimits(self.gossip, self.hub, self.timers)
        self.hub.capacity_share = self.limits.capacity_share
        self.directory.local_share = self.limits.capacity_share
        self.keyed = KeyedRequests(
            settings.vm_id,
            self.hub,
            self.documents,
            self.tasks,
            self._rng,
            self.members.is_gone,
            self.links.ask_not_run,
        )
        self.reattachment = Reattachment(
            self.hub,
            self.documents,
            self.tasks,
            transport,
            lambda request_id: self.members.holders(request_id, self.hub.moved_to.get(request_id)),
            self._headers,
        )
        self.gateway = Gateway(
            settings.vm_id,
            self.hub,
            self.documents,
            self.tasks,
            self.keyed,
            self.reattachment,
            self._rng,
            settings.default_deadline,
            self.limits.workspace_limit,
            self._refusal,
        )
        self.inheritance = RequestAdopter(
            settings.vm_id, self.hub, self.documents, self.tasks, self.keyed, self.limits.share_of
        )
        self.migrations = StreamMigrator(self.hub, self.tasks, self.members.address_of)
        self.drain = DrainController(
            settings.vm_id,
            settings.zone,
            self.hub,
            self.tasks,
            self.timers,
            self.metrics,
            self.members.takers,
            self._headers,
            self._drained,
        )
        self.hub.on_request_end = self.drain.check

    def _write_again(self) -> Task:
        """Write what the store has lost by coming back from a copy, until that is done."""
        while True:
            try:
                count = yield from self.documents.rewrite_recent()
            except PlatformError as exc:
                self.metrics.count("platform_errors_total", operation="write_again")
                self.log.info("lost documents not written yet", detail=str(exc))
                yield Sleep(WRITE_AGAIN_SECONDS)
            else:
                self.log.info("lost documents written again", count=count)
                return

    def _guard_endpoints(self, incarnation: int) -> None:
        """Tell the others what crashes endpoints, and keep it in the store."""
        guard = self.hub.guard
        self.gossip.build_quarantine_update = guard.build_update
        self.gossip.on_quarantine_update = guard.merge_update
        guard.on_update = lambda: self.links.push(Push(quarantine=guard.build_update()))
        guard.entry_start_times = self._starts
        self._hold_rows = DocumentQuarantine(self.documents)
        services = Services(self.tasks, self.timers, self._rng, self.metrics, self.log)
        self.holds = QuarantineStore(
            guard, self._hold_rows, services, HOLDS_SECONDS + SLACK_SECONDS
        )
        self._recorder = IntentRecorder(
            self.hub,
            DocumentIntents(self.documents),
            services,
            SenderProcess(self.settings.vm_id, incarnation),
            lambda: self.limits.capacity_share(),
        )
        self.documents.add_restore_listener(self._recorder.rewrite_intents)

    def _starts(self) -> list[float]:
        """Return when the entry processes that are known began, on the wall clock."""
        entries = [each for each in self.gossip.facts.all() if each.role is Role.ENTRY]
        return [each.incarnation / 1000 for each in entries if each.incarnation]

    def _read_holds(self) -> Task:
        """Read the requests that are held back, for zones that hear nobody; never returns."""
        while True:
            try:
                for each in (yield from self._hold_rows.read_all()):
                    self.holds.merge_entry(each)
                kept = yield from self._hold_rows.read_evidence()
                for fingerprint, ends in kept.items():
                    self.holds.merge_evidence(fingerprint, ends)
            except PlatformError as exc:
                self.metrics.count("platform_errors_total", operation="holds")
                self.log.info("holds not read", detail=str(exc))
            yield Sleep(HOLDS_SECONDS, relaxed=True)

    def _build_watches(self) -> None:
        settings = self.settings
        self.watch = PlatformWatch(
            self.documents,
            VmList(str(settings.platform), settings.platform_timeout),
            self.gossip,
            self.tasks,
            self.timers,
            self.metrics,
            self._rng,
            settings.zone,
            settings.list_period,
            self._notice,
            self.activate_configuration,
            self._listed,
            self._vanished,
        )
        self.endpoint_watch = EndpointWatch(
            self.gossip, self.tasks, self.timers, self._load_read, self._cache_events
        )
        self._own_loads: dict[str, float] = {}

    def _build_operators(self) -> None:
        self.rows = LocalRows(
            LocalState(
                self.settings.vm_id,
                self.settings.zone,
                self.gossip,
                self.timers,
                self.directory,
                self.hub,
                self.lease,
                self.metrics,
                self.own_record,
            )
        )
        self.operators = OperatorService(
            self.gossip,
            self.documents,
            self.tasks,
            self.timers,
            self.links,
            self._rng,
            self.rows.build_rows,
            self.activate_configuration,
        )
        self.control = ControlInterface(
            self.settings.control_token,
            self.metrics,
            self.operators,
            self.links,
            self.rows,
            self.keyed,
            self.inheritance,
            self.reattachment,
            lambda: self.drain.is_open,
        )

    def _build_duties(self, incarnation: int) -> None:
        settings = self.settings
        holder = f"{settings.vm_id}/{incarnation}"
        self.lease = LeaseKeeper(
            self.documents,
            f"models/{settings.zone}",
            holder,
            self.timers.now,
            self._rng,
            settings.lease_duration,
        )
        self.orders = EndpointOrders(self.lease, self.gossip, self.tasks, self.metrics)
        self.sweeper = Sweeper(
            self.documents,
            self.timers.wall,
            lambda: self.lease.valid_lease() is not None,
            self._rng,
        )

    def advertise(self, address: str) -> None:
        """Tell peers another control address; to be called before `start`."""
        self.gossip.set_address(address)

    def start(self) -> None:
        """Begin all periodic work."""
        self.watch.start()
        self.inheritance.adopt_own_jobs()
        self.timers.every(self.settings.gossip_period, self._gossip_round)
        self.timers.every(self.settings.load_period, self.endpoint_watch.poll)
        self.tasks.start(self.lease.run())
        self.tasks.start(self.sweeper.run())
        self.tasks.start(self._read_holds())
        self._recorder.start()
        self.timers.every(self.settings.lease_duration / 2, self.orders.step)
        self.log.info("started", zone=self.settings.zone)

    def _fault(self, exc: Exception) -> None:
        """Log a fault of the program."""
        self.metrics.count("faults_total")
        self.log.error("fault", exc=exc)

    # Readiness and shutdown

    @property
    def ready(self) -> bool:
        """True if the balancer may send new work here.

        Notes
        -----
        A new process must have the highest revision that it can hear of: from the platform, or
        while that is out, from a peer.
        """
        return self.drain.is_open and self._is_current()

    def _is_current(self) -> bool:
        if self.watch.revision_was_read:
            return True
        heard_peer = self._exchanges >= MIN_READY_EXCHANGES
        known = self.gossip.configuration.revision > 0
        return self.watch.revision_read_failed and heard_peer and known

    def _refusal(self) -> ErrorKind | None:
        if not self.drain.is_open:
            return ErrorKind.DRAINING
        return None if self._is_current() else ErrorKind.NOT_READY

    def shut_down(self) -> None:
        """Begin a graceful shutdown; `on_exit` is called at its end."""
        self._exiting = True
        self.log.info("shutting down", requests=len(self.hub.active))
        self._tell_leaving()
        self.drain.begin(self.settings.drain_timeout)
        if self.drain.state is DrainState.DRAINED:
            self._leave()

    def _tell_leaving(self) -> None:
        facts = self.gossip.facts.advance_state(self.settings.vm_id, VmState.LEAVING)
        if facts:
            self.links.push(Push(facts=facts))

    def _drained(self) -> None:
        self.log.info("drained")
        if self._exiting:
            self._leave()

    def _leave(self) -> None:
        self.tasks.start(self.lease.release())
        # Time for the releases, the last pushes and the last bytes to callers.
        self.timers.once(0.3, self._on_exit)

    # Membership

    def own_record(self) -> StatusRecord:
        """Return the status record of this process as it is now."""
        self._sequence += 1
        return StatusRecord(
            self.settings.vm_id,
            self.gossip.facts.get(self.settings.vm_id).incarnation,
            self._sequence,
            self.settings.zone,
            self.gossip.configuration.revision,
            self.ready,
            len(self.hub.active),
            self.hub.in_flight_by_workspace(),
            dict(self._own_loads),
        )

    def _gossip_round(self) -> None:
        self.links.exchange()
        now = self.timers.now()
        for record in self.gossip.statuses.live_records(now):
            if record.vm_id != self.settings.vm_id:
                self.directory.apply_load_reports(record.loads, now)
        self._set_gauges()

    def _set_gauges(self) -> None:
        self.metrics.gauge("requests_in_flight", len(self.hub.active))
        self.metrics.gauge("requests_waiting", self.hub.count_queued())
        self.metrics.gauge("requests_suspected", len(self.hub.guard.suspects()))
        self.metrics.gauge("requests_held", len(self.hub.guard.quarantine.list_entries()))
        self.metrics.gauge("configuration_revision", self.gossip.configuration.revision)
        self.metrics.gauge("ready", int(self.ready))
        for state in VmState:
            facts = self.gossip.facts
            self.metrics.gauge("members", len(facts.select(Role.ENTRY, state)), state=state.value)
            endpoints = len(facts.select(Role.ENDPOINT, state))
            self.metrics.gauge("endpoints", endpoints, state=state.value)

    def _exchanged(self) -> None:
        self._exchanges += 1

    def _listed(self, facts: list[Fact]) -> None:
        self.links.push(self.gossip.merge_facts(facts))

    def _vanished(self, vm_id: str) -> None:
        if vm_id != self.settings.vm_id:
            self.mark(vm_id, VmState.GONE)

    def mark(self, vm_id: str, state: VmState) -> None:
        """Take note that a VM leaves or is gone, and tell the peers."""
        fact = self.gossip.facts.get(vm_id)
        if fact is not None:
            self.links.push(self.gossip.merge_facts([replace(fact, state=state)]))

    def _notice(self, vm_id: str, seconds: float) -> None:
        """Take a reclaim notice."""
        if vm_id == self.settings.vm_id:
            self._own_notice(seconds)
            return
        self.mark(vm_id, VmState.LEAVING)
        self.migrations.migrate_streams(vm_id, seconds)

    def _own_notice(self, seconds: float) -> None:
        if not self._exiting:
            self.log.warning("reclaim notice", seconds=seconds)
            self._exiting = True
            self._tell_leaving()
        zone_is_going = self.members.zone_is_going()
        self.drain.begin(max(0.0, seconds - NOTICE_MARGIN_SECONDS), zone_is_going)

    def _facts_changed(self, facts: tuple[Fact, ...]) -> None:
        for fact in facts:
            if fact.role is Role.ENDPOINT:
                self._endpoint_changed(fact)
            elif fact.state is VmState.GONE and fact.vm_id != self.settings.vm_id:
                self.inheritance.adopt_jobs_of(fact.vm_id, self.gossip.peers())

    def _endpoint_changed(self, fact: Fact) -> None:
        if fact.state is VmState.LEAVING and self.directory.in_flight_at(fact.vm_id):
            self.tasks.start(self._ask_notice(fact))
        elif fact.state is VmState.GONE:
            self.hub.guard.crash_detector.record_row_removal(fact.vm_id)
            self.directory.forget(fact.vm_id)
            self.migrations.forget_endpoint(fact.vm_id)
            self._own_loads.pop(fact.vm_id, None)

    def _ask_notice(self, fact: Fact) -> Task:
        """Find out how long an endpoint of another zone stays, and plan for its streams."""
        try:
            yield from self.watch.read_notices(fact.zone)
        except PlatformError:
            self.migrations.migrate_streams(fact.vm_id, DEFAULT_NOTICE_SECONDS)

    # Configuration

    def activate_configuration(self, cfg: Configuration) -> None:
        """Put a configuration in force here and push it to the peers."""
        self.links.push(self.gossip.apply_configuration(cfg))

    def _configuration_changed(self, cfg: Configuration) -> None:
        self.metrics.count("configurations_total")
        self.log.info("configuration in force", revision=cfg.revision, operator=cfg.operator)
        self.directory.configuration = cfg
        self.gateway.configuration = cfg
        self._follow_drains(cfg)

    def _follow_drains(self, cfg: Configuration) -> None:
        drained = self.settings.vm_id in cfg.drained_targets(
            DrainKind.VM
        ) or self.settings.zone in cfg.drained_targets(DrainKind.ZONE)
        if drained and self.drain.is_open:
            self.drain.begin(self.settings.drain_timeout)
        elif not drained and not self._exiting:
            self.drain.reopen()

    # Endpoints

    def _load_read(self, endpoint_id: str, load: float) -> None:
        self._own_loads[endpoint_id] = load
        self.directory.apply_load_reports({endpoint_id: load}, self.timers.now())

    def _cache_events(
        self, endpoint_id: str, stored: list[str], evicted: list[str], gap: bool
    ) -> None:
        if gap:
            self.directory.prefixes.forget(endpoint_id)
        self.directory.prefixes.add_blocks(endpoint_id, stored)
        self.directory.prefixes.remove_blocks(endpoint_id, evicted)

    # Inbound calls

    def handle_caller(self, req: InboundRequest, exchange: Exchange) -> None:
        """Take a request that came to the callers' address."""
        if not self._handle_health(req, exchange):
            self.gateway.handle(req, exchange)

    def handle_control(self, req: InboundRequest, exchange: Exchange) -> None:
        """Take a request that came to the control address."""
        if not self._handle_health(req, exchange):
            self.control.handle(req, exchange)

    def _handle_health(self, req: InboundRequest, exchange: Exchange) -> bool:
        if req.path == "/healthz":
            respond_json(exchange, {"alive": True})
        elif req.path == "/readyz":
            body = {"ready": self.ready, "revision": self.gossip.configuration.revision}
            respond_json(exchange, body, 200 if self.ready else 503)
        else:
            return False
        return True


def _peer_headers(token: str) -> tuple[tuple[str, str], ...]:
    return (("Authorization", f"Bearer {token}"),) if token else ()
