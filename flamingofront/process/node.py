"""Composition root of an entry process, independent of sockets and clocks.

The daemon injects a transport and a timer service that are based on circuits; tests inject fakes.
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
from flamingofront.process.held_rows import release_rows
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
from flamingofront.process.orders import EngineReconciler
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

# The handover of requests starts this long before the VM is reclaimed.
RECLAIM_MARGIN_SECONDS = 4.0
# Remaining lifetime assumed for a leaving endpoint whose reclaim notice cannot be read.
DEFAULT_NOTICE_SECONDS = 10.0
MIN_READY_EXCHANGES = 1
# Interval between two reads of the quarantine from the store. Peers send updates at once; a process
# that can reach no peer must learn of a quarantined request within three seconds.
QUARANTINE_POLL_SECONDS = 2.0
# Delay before retrying to rewrite documents that a restored snapshot of the store lacks.
REWRITE_RETRY_SECONDS = 0.2


class EntryNode:
    """Builds and connects the components of one entry process.

    Parameters
    ----------
    settings : EntrySettings
        Validated settings.
    documents : DocumentStore
        Documents that all entry processes share in the platform's store.
    incarnation : int
        Start time of the process in milliseconds since the epoch; higher than that of any earlier
        process on this VM.
    on_exit : callable
        Called when the process has drained for shutdown and may exit.
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
        self._exchange_count = 0
        self.documents = documents
        self.tasks = TaskRunner(transport, timers, self._log_unhandled)
        documents.add_restore_listener(lambda: self.tasks.start(self._rewrite_lost_documents()))
        self._headers = _peer_headers(settings.control_token)
        self._build_membership(incarnation)
        self._build_requests(transport, incarnation)
        self._build_watches()
        self._build_leader_tasks(incarnation)
        self._build_operators()

    def _build_membership(self, incarnation: int) -> None:
        settings = self.settings
        local_fact = Fact(
            settings.vm_id,
            incarnation,
            VmState.LIVE,
            Role.ENTRY,
            settings.zone,
            str(settings.advertise or settings.control_bind),
        )
        self.gossip = Dissemination(
            local_fact,
            self._rng,
            self._handle_configuration,
            self._handle_facts,
            self.build_status_record,
        )
        self.links = PeerLinks(
            self.gossip,
            self.tasks,
            self.timers,
            self.metrics,
            self._rng,
            self._headers,
            tuple(str(each) for each in settings.peers),
            self._count_exchange,
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
        self._build_quarantine(incarnation)
        self.limits = SharedLimits(self.gossip, self.hub, self.timers)
        self.hub.capacity_share = self.limits.compute_capacity_share
        self.directory.local_share = self.limits.compute_capacity_share
        self.keyed = KeyedRequests(
            settings.vm_id,
            self.hub,
            self.documents,
            self.tasks,
            self._rng,
            self.members.is_gone,
            self.links.query_not_run,
        )
        self.reattachment = Reattachment(
            self.hub,
            self.documents,
            self.tasks,
            transport,
            lambda request_id: self.members.rank_holders(
                request_id, self.hub.moved_to.get(request_id)
            ),
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
            self.limits.compute_workspace_limit,
            self._get_rejection,
        )
        self.inheritance = RequestAdopter(
            settings.vm_id,
            self.hub,
            self.documents,
            self.tasks,
            self.keyed,
            self.limits.get_admission_share,
        )
        self.migrations = StreamMigrator(self.hub, self.tasks, self.members.address_of)
        self.drain = DrainController(
            settings.vm_id,
            settings.zone,
            self.hub,
            self.tasks,
            self.timers,
            self.metrics,
            self.members.list_handover_targets,
            self._headers,
            self._handle_drained,
        )
        self.hub.on_request_end = self.drain.finish_if_idle

    def _rewrite_lost_documents(self) -> Task:
        """Rewrite the documents that a restored snapshot of the store lacks; retry until done."""
        while True:
            try:
                count = yield from self.documents.rewrite_recent()
            except PlatformError as exc:
                self.metrics.count("platform_errors_total", operation="write_again")
                self.log.info("rewriting lost documents failed", detail=str(exc))
                yield Sleep(REWRITE_RETRY_SECONDS)
            else:
                self.log.info("lost documents rewritten", count=count)
                return

    def _build_quarantine(self, incarnation: int) -> None:
        """Build the quarantine of poison requests, shared through gossip and the store."""
        guard = self.hub.guard
        self.gossip.build_quarantine_update = guard.build_update
        self.gossip.on_quarantine_update = guard.merge_update
        guard.on_update = lambda: self.links.push(Push(quarantine=guard.build_update()))
        guard.entry_start_times = self._list_entry_start_times
        self._quarantine_rows = DocumentQuarantine(self.documents)
        services = Services(self.tasks, self.timers, self._rng, self.metrics, self.log)
        self.quarantine_sync = QuarantineStore(
            guard, self._quarantine_rows, services, QUARANTINE_POLL_SECONDS + SLACK_SECONDS
        )
        self._recorder = IntentRecorder(
            self.hub,
            DocumentIntents(self.documents),
            services,
            SenderProcess(self.settings.vm_id, incarnation),
            lambda: self.limits.compute_capacity_share(),
        )
        self.documents.add_restore_listener(self._recorder.rewrite_intents)

    def _list_entry_start_times(self) -> list[float]:
        """Return the start times of all known entry processes, in seconds since the epoch."""
        entries = [each for each in self.gossip.facts.all() if each.role is Role.ENTRY]
        return [each.incarnation / 1000 for each in entries if each.incarnation]

    def _poll_quarantine(self) -> Task:
        """Reload the quarantine from the store forever, for zones that can reach no peer."""
        while True:
            try:
                for each in (yield from self._quarantine_rows.read_all()):
                    self.quarantine_sync.merge_entry(each)
                evidence = yield from self._quarantine_rows.read_evidence()
                for fingerprint, crashes in evidence.items():
                    self.quarantine_sync.merge_evidence(fingerprint, crashes)
            except PlatformError as exc:
                self.metrics.count("platform_errors_total", operation="holds")
                self.log.info("reading the quarantine failed", detail=str(exc))
            yield Sleep(QUARANTINE_POLL_SECONDS, relaxed=True)

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
            self._handle_reclaim_notice,
            self.activate_configuration,
            self._handle_vm_list,
            self._handle_vm_gone,
        )
        self.endpoint_watch = EndpointWatch(
            self.gossip, self.tasks, self.timers, self._handle_load, self._handle_cache_events
        )
        self._local_loads: dict[str, float] = {}

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
                self.build_status_record,
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
            lambda work: release_rows(self.settings.vm_id, self.hub.guard, work),
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

    def _build_leader_tasks(self, incarnation: int) -> None:
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
        self.engine_reconciler = EngineReconciler(self.lease, self.gossip, self.tasks, self.metrics)
        self.sweeper = Sweeper(
            self.documents,
            self.timers.wall,
            lambda: self.lease.valid_lease() is not None,
            self._rng,
        )

    def advertise(self, address: str) -> None:
        """Set the control address sent to peers; must be called before `start`."""
        self.gossip.set_address(address)

    def start(self) -> None:
        """Start all periodic tasks."""
        self.watch.start()
        self.inheritance.adopt_own_jobs()
        self.timers.every(self.settings.gossip_period, self._run_gossip_round)
        self.timers.every(self.settings.load_period, self.endpoint_watch.poll)
        self.tasks.start(self.lease.run())
        self.tasks.start(self.sweeper.run())
        self.tasks.start(self._poll_quarantine())
        self._recorder.start()
        self.timers.every(self.settings.lease_duration / 2, self.engine_reconciler.reconcile)
        self.log.info("started", zone=self.settings.zone)

    def _log_unhandled(self, exc: Exception) -> None:
        """Count and log an exception that no task handled."""
        self.metrics.count("faults_total")
        self.log.error("fault", exc=exc)

    # Readiness and shutdown

    @property
    def ready(self) -> bool:
        """True if the load balancer may send new requests here.

        Notes
        -----
        A new process becomes ready once it has the newest reachable configuration revision: from
        the platform, or from a peer during a platform outage.
        """
        return self.drain.is_open and self._is_current()

    def _is_current(self) -> bool:
        if self.watch.revision_was_read:
            return True
        has_exchanged = self._exchange_count >= MIN_READY_EXCHANGES
        has_configuration = self.gossip.configuration.revision > 0
        return self.watch.revision_read_failed and has_exchanged and has_configuration

    def _get_rejection(self) -> ErrorKind | None:
        if not self.drain.is_open:
            return ErrorKind.DRAINING
        return None if self._is_current() else ErrorKind.NOT_READY

    def shut_down(self) -> None:
        """Start a graceful shutdown; `on_exit` is called when it is complete."""
        self._exiting = True
        self.log.info("shutting down", requests=len(self.hub.active))
        self._announce_leaving()
        self.drain.begin(self.settings.drain_timeout)
        if self.drain.state is DrainState.DRAINED:
            self._release_and_exit()

    def _announce_leaving(self) -> None:
        facts = self.gossip.facts.advance_state(self.settings.vm_id, VmState.LEAVING)
        if facts:
            self.links.push(Push(facts=facts))

    def _handle_drained(self) -> None:
        self.log.info("drained")
        if self._exiting:
            self._release_and_exit()

    def _release_and_exit(self) -> None:
        self.tasks.start(self.lease.release())
        # Leaves time to release the lease, push the last updates and flush responses to callers.
        self.timers.once(self.lease.seconds_in_flight() + 0.3, self._on_exit)

    # Membership

    def build_status_record(self) -> StatusRecord:
        """Return a new status record of this process, with the next sequence number."""
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
            dict(self._local_loads),
        )

    def _run_gossip_round(self) -> None:
        self.links.exchange_digests()
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

    def _count_exchange(self) -> None:
        self._exchange_count += 1

    def _handle_vm_list(self, facts: list[Fact]) -> None:
        self.links.push(self.gossip.merge_facts(facts))

    def _handle_vm_gone(self, vm_id: str) -> None:
        if vm_id != self.settings.vm_id:
            self.set_vm_state(vm_id, VmState.GONE)

    def set_vm_state(self, vm_id: str, state: VmState) -> None:
        """Record that a VM is leaving or gone, and push the change to peers."""
        fact = self.gossip.facts.get(vm_id)
        if fact is not None:
            self.links.push(self.gossip.merge_facts([replace(fact, state=state)]))

    def _handle_reclaim_notice(self, vm_id: str, seconds: float) -> None:
        """Drain this VM, or migrate streams off another one that is being reclaimed."""
        if vm_id == self.settings.vm_id:
            self._handle_own_notice(seconds)
            return
        self.set_vm_state(vm_id, VmState.LEAVING)
        self.migrations.migrate_streams(vm_id, seconds)

    def _handle_own_notice(self, seconds: float) -> None:
        if not self._exiting:
            self.log.warning("reclaim notice", seconds=seconds)
            self._exiting = True
            self._announce_leaving()
        zone_is_leaving = self.members.is_zone_leaving()
        self.drain.begin(max(0.0, seconds - RECLAIM_MARGIN_SECONDS), zone_is_leaving)

    def _handle_facts(self, facts: tuple[Fact, ...]) -> None:
        for fact in facts:
            if fact.role is Role.ENDPOINT:
                self._handle_endpoint_fact(fact)
            elif fact.state is VmState.GONE and fact.vm_id != self.settings.vm_id:
                self.inheritance.adopt_jobs_of(fact.vm_id, self.gossip.peers())

    def _handle_endpoint_fact(self, fact: Fact) -> None:
        if fact.state is VmState.LEAVING and self.directory.in_flight_at(fact.vm_id):
            self.tasks.start(self._read_endpoint_notice(fact))
        elif fact.state is VmState.GONE:
            self.hub.guard.crash_detector.record_row_removal(fact.vm_id)
            self.directory.forget(fact.vm_id)
            self.migrations.forget_endpoint(fact.vm_id)
            self._local_loads.pop(fact.vm_id, None)

    def _read_endpoint_notice(self, fact: Fact) -> Task:
        """Read the notices of an endpoint's zone; if that fails, migrate its streams now."""
        try:
            yield from self.watch.read_notices(fact.zone)
        except PlatformError:
            self.migrations.migrate_streams(fact.vm_id, DEFAULT_NOTICE_SECONDS)

    # Configuration

    def activate_configuration(self, cfg: Configuration) -> None:
        """Activate a configuration if it is newer, and push it to peers."""
        self.links.push(self.gossip.apply_configuration(cfg))

    def _handle_configuration(self, cfg: Configuration) -> None:
        self.metrics.count("configurations_total")
        self.log.info("configuration activated", revision=cfg.revision, operator=cfg.operator)
        self.directory.configuration = cfg
        self.gateway.configuration = cfg
        self._apply_drains(cfg)

    def _apply_drains(self, cfg: Configuration) -> None:
        drained = self.settings.vm_id in cfg.drained_targets(
            DrainKind.VM
        ) or self.settings.zone in cfg.drained_targets(DrainKind.ZONE)
        if drained and self.drain.is_open:
            self.drain.begin(self.settings.drain_timeout)
        elif not drained and not self._exiting:
            self.drain.reopen()

    # Endpoints

    def _handle_load(self, endpoint_id: str, load: float) -> None:
        self._local_loads[endpoint_id] = load
        self.directory.apply_load_reports({endpoint_id: load}, self.timers.now())

    def _handle_cache_events(
        self, endpoint_id: str, stored: list[str], evicted: list[str], gap: bool
    ) -> None:
        if gap:
            self.directory.prefixes.forget(endpoint_id)
        self.directory.prefixes.add_blocks(endpoint_id, stored)
        self.directory.prefixes.remove_blocks(endpoint_id, evicted)

    # Inbound calls

    def handle_caller(self, req: InboundRequest, exchange: Exchange) -> None:
        """Handle a request received on the callers' address."""
        if not self._handle_health(req, exchange):
            self.gateway.handle(req, exchange)

    def handle_control(self, req: InboundRequest, exchange: Exchange) -> None:
        """Handle a request received on the control address."""
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
