"""One entry process that forwards routes, without its sockets."""

import math
import random
from collections.abc import Callable
from dataclasses import dataclass, replace

from flamingofront.connection.client import MAX_IDLE_CONNECTIONS_PER_ADDRESS
from flamingofront.connection.interfaces import Exchange, Transport
from flamingofront.decisions.choice import BacklogChoice
from flamingofront.decisions.fleet_plan import CheapestSafeFleet
from flamingofront.decisions.quota import SharedQuota
from flamingofront.decisions.quota_facts import QuotaLimits
from flamingofront.decisions.retry import RetryBudget
from flamingofront.decisions.shared_retry import SharedRetryBudget
from flamingofront.messages import InboundRequest
from flamingofront.process.counted_store import CountedTableStore
from flamingofront.process.former_sends import SenderProcess
from flamingofront.process.forwarding.control import ControlHandler
from flamingofront.process.forwarding.duty import LeaderLease
from flamingofront.process.forwarding.endpoint_row import EndpointRow
from flamingofront.process.forwarding.endpoints import EndpointView
from flamingofront.process.forwarding.exchange import STALENESS_CHECK_SECONDS, PeerSync
from flamingofront.process.forwarding.freshness import FreshnessCheck
from flamingofront.process.forwarding.held_requests import QuarantineSync
from flamingofront.process.forwarding.inquiries import ArbiterContext
from flamingofront.process.forwarding.knowledge import SharedTables, StoreView
from flamingofront.process.forwarding.limit_arbiter import LimitArbiters, LimitContext
from flamingofront.process.forwarding.limit_members import LimitMembers
from flamingofront.process.forwarding.observations import Observations
from flamingofront.process.forwarding.own_report import LocalReport, ReportSources
from flamingofront.process.forwarding.peer_word import PeerDispatcher, UpdateReceivers
from flamingofront.process.forwarding.peers import Peers
from flamingofront.process.forwarding.quota_arbiter import QuotaArbiters, QuotaContext
from flamingofront.process.forwarding.quota_members import QuotaMembers
from flamingofront.process.forwarding.readers import ZoneWatchers
from flamingofront.process.forwarding.relaying import RelayListener
from flamingofront.process.forwarding.reports import PeerReport
from flamingofront.process.forwarding.rollouts import RolloutController, Rollouts
from flamingofront.process.forwarding.scaling import ScalingController
from flamingofront.process.forwarding.settings import DeploymentSettings
from flamingofront.process.forwarding.usage import UsageBook, UsageCoverage, UsageReporter
from flamingofront.process.forwarding.vanished import UnobservedRemovals
from flamingofront.process.forwarding.whole_load import ClusterLoad
from flamingofront.process.intent_rows import IntentRows
from flamingofront.process.intents import IntentRecorder
from flamingofront.process.logs import Log
from flamingofront.process.membership import FactTable
from flamingofront.process.metrics import Metrics
from flamingofront.process.services import Services
from flamingofront.process.store import Cloud, TableStore
from flamingofront.process.store_eras import EraStore
from flamingofront.process.tasks import TaskRunner
from flamingofront.process.timers import TimerService
from flamingofront.request.directory import MAX_CANDIDATES, EndpointDirectory
from flamingofront.request.forward_gateway import ForwardGateway
from flamingofront.request.forward_work import ForwardProtocol
from flamingofront.request.forwarded_request import ForwardedRequest
from flamingofront.request.hub import HubSettings, RequestHub
from flamingofront.version.forwarding import ForwardingConfiguration
from flamingofront.version.model import Service

__all__ = ["Dependencies", "ForwardingNode"]

# A request is refused early in its objective, while another entry VM can still serve it in time.
REFUSE_WITHIN = 0.2
# Endpoints looked at for one choice where word of the loads is late: of the few that seem idle many
# processes would each pick the same ones. Two are those that a process uses first.
FEW_CANDIDATES = 3
# Mean age of that word from which on it counts as late, in seconds: more than sixteen peers.
LATE_WORD_SECONDS = 0.2
# Pause of a relay between two questions for changes, so that many come in one answer: each question
# has its price. The two relays of a zone ask in turn, so a change is known 0.3 s later in the mean.
FEED_PAUSE_SECONDS = 0.8
# What an endpoint answered before it started again may still be on its way for so long.
LAST_ANSWERS_SECONDS = 0.05
# Part of an endpoint's connections that may be idle ones.
IDLE_PART = 0.5
USAGE = "usage"
SCALING = "scaling"


@dataclass(frozen=True)
class Dependencies:
    """What a node needs from outside: sockets, time, and the platform."""

    transport: Transport
    timers: TimerService
    store: TableStore
    cloud: Cloud | None
    protocol: ForwardProtocol
    tables: SharedTables
    send: Callable[[bytes, tuple[str, int]], None]
    incarnation: int


class ForwardingNode:
    """All parts of one entry process that forwards routes."""

    def __init__(
        self, settings: DeploymentSettings, needs: Dependencies, rng: random.Random, log: Log
    ):
        self.settings = settings
        self.timers = needs.timers
        self.log = log
        self.metrics = Metrics({"vm": settings.vm_id, "zone": settings.zone})
        self.on_configuration: Callable[[ForwardingConfiguration], None] = lambda cfg: None
        self.stopping = False
        self._leaving_untold = False
        self._began = needs.timers.now()
        self.store = EraStore(CountedTableStore(needs.store, self.metrics), log)
        self._needs = replace(needs, store=self.store)
        self._rng = rng
        self.tasks = TaskRunner(needs.transport, needs.timers, self.fault)
        own = PeerReport(
            settings.vm_id,
            needs.incarnation,
            0,
            settings.zone,
            settings.ip,
            str(settings.control_bind or settings.ready_bind),
        )
        self._report = LocalReport(own, needs.timers, rng)
        self.usage = UsageBook(own.process, settings.rules.usage_window)
        self.rollouts = Rollouts(settings.rules.expose_share, self.timers.now, rng, log)
        self._build_requests()
        self._build_peers()
        self._build_duties()
        self.store.add_restore_listener(self.peers.register_again)
        services = Services(self.tasks, self.timers, rng, self.metrics, log)
        self.held = QuarantineSync(
            self.hub.guard,
            self.peers,
            self.store,
            services,
            self._may_rest,
            self._recorder,
            needs.incarnation / 1000 if settings.first_start else None,
        )
        reported = ReportSources(
            self.hub, self.store_view, self.lease, self.peers, self.rollouts, self.usage
        )
        parts = UpdateReceivers(reported, self.quota, self.exchange)
        self._word = PeerDispatcher(self._report, parts, self.timers, self.metrics)
        self.handle_control = ControlHandler(self).handle

    def _recorder(self, rows: IntentRows, services: Services) -> IntentRecorder:
        """Return what records requests before they are sent."""
        settings = self.settings
        sender = SenderProcess(settings.vm_id, self._needs.incarnation, settings.first_start)
        vanished = UnobservedRemovals(self.store, self._needs.tables)
        return IntentRecorder(self.hub, rows, services, sender, self.member_share, vanished.read)

    def _build_requests(self) -> None:
        settings, needs = self.settings, self._needs
        self.facts = FactTable()
        self.directory = EndpointDirectory(self.facts, self._rng, settings.zone)
        self.store_view = StoreView(
            needs.store,
            needs.tables,
            EndpointView(
                self.facts,
                self.timers,
                self.metrics,
                self.log,
                on_leaving=self._row_leaves,
                on_removed=self._endpoint_gone,
                on_restarted=self._endpoint_restarted,
            ),
            self._configuration_changed,
            self.timers.now,
            self._rng,
            self.metrics,
            self.log,
            self._may_rest,
            lambda: FEED_PAUSE_SECONDS if self.peers.is_relayed else 0.0,
        )
        self.hub = RequestHub(
            HubSettings(
                settings.vm_id,
                settings.zone,
                queue_wait_fraction=REFUSE_WITHIN,
                choice_wait_fraction=REFUSE_WITHIN,
            ),
            needs.transport,
            self.timers,
            self.directory,
            self.metrics,
            self.log,
            self._rng,
            BacklogChoice(),
            needs.protocol,
            self._retry_budget,
        )
        self.store_view.on_rollout = self.rollouts.apply_order
        self.hub.on_endpoint_leaving = self._endpoint_leaves
        self.hub.on_outcome = self._outcome
        self.hub.cache_tokens = self._cache_tokens
        self.directory.sample_size = self._sample_size
        rules = settings.rules
        self.quota = SharedQuota(
            lambda: self.peers.live_share(),
            QuotaLimits(rules.quota_window, rules.quota_over, rules.quota_allowance),
            lambda: self.peers.propagation_delay(),
            self._rng,
            lambda: self.peers.member_count(),
        )
        self.gateway = ForwardGateway(
            self.hub, needs.protocol, self.quota, self.log, self._began_to_run
        )
        self.gateway.version_rule = self.rollouts.version_rule

    def _outcome(self, service: str, endpoint_id: str, is_bad: bool) -> None:
        """Count an answer for the roll-out of a service, if there is one."""
        self.rollouts.record_response(service, self.directory.version_of(endpoint_id), is_bad)

    def _sample_size(self) -> int:
        return (
            FEW_CANDIDATES if self.peers.propagation_delay() > LATE_WORD_SECONDS else MAX_CANDIDATES
        )

    def _endpoint_gone(self, row: EndpointRow) -> None:
        self.hub.guard.crash_detector.record_row_removal(row.endpoint_id, announced=not row.ready)
        self.directory.forget(row.endpoint_id)
        self.hub.limits.forget(row.endpoint_id)
        self.hub.backoffs.forget(row.endpoint_id)
        self._needs.transport.drop_idle(row.address)
        self.store_view.record_removed_endpoint(row.endpoint_id)

    def _endpoint_leaves(self, endpoint_id: str, request: str) -> None:
        """Take word of an endpoint itself that it leaves."""
        self.store_view.endpoints.mark_leaving(endpoint_id, "answer", request)

    def _endpoint_restarted(self, row: EndpointRow, before: EndpointRow) -> None:
        """Forget the earlier start of an endpoint, and what ran there."""
        self.directory.forget(row.endpoint_id)
        self.hub.limits.forget(row.endpoint_id)
        self.hub.backoffs.forget(row.endpoint_id)
        self.observations.discard_earlier_loads(row.endpoint_id)
        for address in {row.address, before.address}:
            self._needs.transport.drop_idle(address)
        ago = self.peers.cluster_time() - row.born / 1000
        at = self.timers.now() - ago
        # What has arrived of its last answers is read first.
        self.timers.once(
            LAST_ANSWERS_SECONDS, lambda: self.hub.handle_endpoint_restart(row.endpoint_id, at)
        )

    def _retry_budget(self, service: Service) -> RetryBudget:
        rules = self.settings.rules
        return SharedRetryBudget(
            rules.retry_ratio,
            rules.retry_allowance,
            rules.retry_window,
            self.member_share,
            self._began,
        )

    def _build_peers(self) -> None:
        self.peers = Peers(
            self._report.identity,
            self.settings.peer_port,
            self.settings.seeds,
            self.own_report,
            self._needs.send,
            lambda report, gap: self._word.apply_report(report, gap),
            lambda note: self.observations.apply_load_delta(note),
            RelayListener(
                self.own_report,
                lambda relay, claim: self._word.apply_relay_state(relay, claim),
                lambda process, sums, counts: self._word.apply_sums(process, sums, counts),
                lambda: self.observations.mark_loads_stale(),
                lambda counts, told_until: self.usage.merge_counts(counts, told_until),
                lambda processes, windows: self.usage.collect_recent_counts(
                    processes, self.peers.cluster_time(), windows
                ),
                lambda processes: self.usage.received_until(processes),
                lambda: self.peers.cluster_time(),
            ),
            self._needs.store,
            self.tasks,
            self.timers,
            self._rng,
            self.metrics,
            self.log,
        )
        self.observations = Observations(
            self.hub,
            self.peers,
            self.facts,
            self.settings.vm_id,
            self.settings.zone,
            lambda: self._report.sequence,
            self.timers,
            self.metrics,
            self.log,
        )
        self.quota_members = QuotaMembers(
            self._report.identity, self.peers, self.settings.rules.quota_window, self.timers
        )
        self.arbiters = QuotaArbiters(
            self.quota,
            QuotaContext(
                self.settings.ip,
                self._needs.incarnation,
                self.quota_members.rank_arbiters,
                lambda: self.configuration.workspaces_by_name,
                self._knows_less_of_quotas,
                self.quota_members.has_recent_restart,
                self.quota_members.partition_count,
            ),
            self.peers.send,
            self.timers,
            self.metrics,
            self.log,
        )
        self.gateway.quota_gate = self.arbiters
        self.peers.on_quota_request = self.arbiters.take_question
        self.peers.on_quota_reply = self.arbiters.take_reply
        self._build_limits()
        self.exchange = PeerSync(self.store_view, self.tasks, self.timers.now, self._rng, self.log)
        self.exchange.remote_watchers = self._distant
        self.exchange.zone_peers = self._near
        self.gateway.config_freshness = FreshnessCheck(
            self.store_view, self.tasks, self.timers, self.log
        )
        self.readers = ZoneWatchers(
            self.settings.vm_id,
            self.settings.zone,
            lambda: self.peers.table.live_reports(self.timers.now()),
        )
        self.store_view.on_change = self._store_changed

    def _distant(self) -> list[str]:
        """Return the control addresses of the other zones' relays, in random order."""
        return self._addresses(self.peers.relaying.remote_relays() if self.peers.is_relayed else [])

    def _near(self) -> list[str]:
        """Return the control addresses of the other processes of the zone, in random order."""
        near = self.peers.relaying.zone_members() if self.peers.is_relayed else {}
        return self._addresses(sorted({*near.values()} - {self._report.identity.ip}))

    def _addresses(self, ips: list[str]) -> list[str]:
        own = self._report.identity
        return [own.address.replace(own.ip, ip, 1) for ip in self._rng.sample(ips, len(ips))]

    def _build_limits(self) -> None:
        """Let one process decide on each endpoint that names the rate that it takes from all."""
        limits, permits = self.hub.limits, self.hub.permits
        limits.wall = self.peers.cluster_time
        limits.start_ms_of = self.store_view.endpoints.start_time_ms
        local_ip = self.settings.ip
        members = LimitMembers(local_ip, self.quota_members, self.peers, lambda: self.stopping)
        inquirer = ArbiterContext(local_ip, self._needs.incarnation, members.rank_arbiters)
        self.limit_arbiters = LimitArbiters(
            limits,
            LimitContext(inquirer, members.live_share, self.member_share),
            self.peers.send,
            self.timers,
            self.metrics,
            self.log,
        )
        permits.gate = self.limit_arbiters
        permits.process_name = local_ip
        self.peers.on_permit_request = self.limit_arbiters.take_question
        self.peers.on_permit_reply = self.limit_arbiters.take_reply

    def _knows_less_of_quotas(self) -> bool:
        """Tell whether others are to decide on quotas: they know more, or stay longer."""
        return self.stopping or self.quota_members.is_newcomer()

    def _may_rest(self) -> bool:
        """Tell whether others follow the store for this process."""
        if self.peers.is_relayed:
            return self.peers.relaying.has_watching_relay()
        return self.readers.can_stand_by()

    def _store_changed(self) -> None:
        """Tell the zone, if others may rest because this process follows the store."""
        self.peers.notify_zone()
        if self._leaving_untold:
            self._leaving_untold = False
            self.peers.broadcast_leaving()

    def _row_leaves(self, row: EndpointRow) -> None:
        """Tell of a leaving endpoint once all that came with its row is taken in."""
        self._leaving_untold = True

    def _build_duties(self) -> None:
        settings, needs = self.settings, self._needs
        self.lease = LeaderLease(
            needs.store,
            settings.vm_id,
            needs.incarnation,
            settings.rules.lease_seconds,
            self.timers.now,
            self._rng,
            self.log,
        )
        load = ClusterLoad(self.hub, self.peers, self.facts, self.timers)
        self.duties: list[UsageReporter | ScalingController | RolloutController] = []
        if needs.cloud is None:
            return
        if USAGE in settings.duties:
            self.duties.append(
                UsageReporter(
                    self.lease,
                    needs.cloud,
                    self.usage,
                    settings.rules,
                    settings.vm_id,
                    UsageCoverage(
                        self.peers.cluster_time,
                        self.peers.usage_sync_delay,
                        lambda: self.peers.live_count() + 1,
                    ),
                    self.timers.now,
                    self.metrics,
                    self.log,
                )
            )
        if SCALING in settings.duties:
            self.duties.append(
                ScalingController(
                    self.lease,
                    needs.cloud,
                    CheapestSafeFleet(),
                    settings.vm_id,
                    self.timers.now,
                    lambda: self.configuration,
                    self.store_view.endpoints.rows,
                    load.compute_demand,
                    self.metrics,
                    self.log,
                    settings.first_start,
                )
            )
        self.rollouts.on_verdict = self.peers.broadcast_report
        rollout_controller = RolloutController(
            self.lease,
            needs.store,
            needs.tables.rollouts,
            self.rollouts,
            load.count_at_other_versions,
            self.timers.now,
            self.peers.cluster_time,
            self.log,
        )
        self.store.add_restore_listener(rollout_controller.invalidate_rows)
        self.rollouts.on_order = lambda: self.tasks.start(rollout_controller.load_status())
        self.duties.append(rollout_controller)

    def _cache_tokens(self, service: str) -> float:
        known = self.configuration.services.get(service)
        return known.cache_tokens if known is not None and known.cache_tokens else math.inf

    def member_share(self) -> float:
        """Return one process's part of all entry processes, by their number."""
        return 1.0 / self.peers.member_count()

    def _began_to_run(self, request: ForwardedRequest) -> None:
        """Count a request in the window in which an endpoint began it."""
        if not request.work.workspace:
            return
        ago = self.timers.now() - request.estimate_execution_start()
        self.usage.count_started(request.work.workspace, self.peers.cluster_time() - ago)

    # Peers

    def own_report(self) -> PeerReport:
        """Return this process's report as it is now."""
        self._report.leaving = self.stopping
        return self._word.build_report()

    def max_idle(self, address: str) -> int:
        """Return how many idle connections to an address this process may keep.

        Notes
        -----
        An endpoint limits its connections over all callers, so each process's part shrinks as the
        processes grow in number. Half of it is left for connections in use.
        """
        row = next(
            (each for each in self.store_view.endpoints.rows() if each.address == address), None
        )
        service = self.configuration.services.get(row.service) if row is not None else None
        if service is None or not service.max_connections:
            return MAX_IDLE_CONNECTIONS_PER_ADDRESS
        part = service.max_connections * IDLE_PART * self.member_share()
        return max(1, min(MAX_IDLE_CONNECTIONS_PER_ADDRESS, int(part)))

    def start(self) -> None:
        """Begin all periodic work."""
        self.peers.start()
        self.observations.start()
        self.arbiters.start()
        if self.duties:
            self.tasks.start(self.lease.run())
        for duty in self.duties:
            self.tasks.start(duty.run())
        for follower in self.store_view.watchers:
            self.tasks.start(follower.run())
        self.tasks.start(self.held.run())
        self.timers.every(
            STALENESS_CHECK_SECONDS,
            self.exchange.check_staleness,
            STALENESS_CHECK_SECONDS,
            relaxed=True,
        )
        self.log.info("started", zone=self.settings.zone, first=self.settings.first_start)

    def fault(self, exc: BaseException) -> None:
        """Log a fault of the program."""
        self.metrics.count("faults_total")
        self.log.error("fault", exc=exc)

    @property
    def configuration(self) -> ForwardingConfiguration:
        """Configuration in force."""
        return self.store_view.configuration

    def _configuration_changed(self, cfg: ForwardingConfiguration) -> None:
        self.gateway.configuration = cfg
        self.quota.start_buckets(cfg.workspaces, self.timers.now())
        self.on_configuration(cfg)

    @property
    def ready(self) -> bool:
        """True if the balancer may send new connections here."""
        known = bool(self.configuration.version) and bool(len(self.facts))
        return known and not self.stopping

    # Inbound calls

    def handle_caller(self, req: InboundRequest, exchange: Exchange) -> None:
        """Take a request that came to the callers' address."""
        self.gateway.handle(req, exchange)

    def handle_ready(self, req: InboundRequest, exchange: Exchange) -> None:
        """Answer the balancer whether new connections may come here."""
        exchange.respond(200 if self.ready else 503, (), b"")
