"""One entry process that forwards along routes from the store, without its sockets."""

import math
import random
from collections.abc import Callable
from dataclasses import dataclass, replace

from flamingofront.connection.client import MAX_IDLE_CONNECTIONS_PER_ADDRESS
from flamingofront.connection.interfaces import Exchange, Transport
from flamingofront.decisions.choice import BacklogChoice
from flamingofront.decisions.gossip_scope import GossipScope
from flamingofront.decisions.memory_account import MemoryAccount
from flamingofront.decisions.quota import SharedQuota
from flamingofront.decisions.quota_facts import QuotaLimits
from flamingofront.decisions.retry import RetryBudget
from flamingofront.decisions.shared_retry import SharedRetryBudget
from flamingofront.messages import InboundRequest
from flamingofront.process.answered_store import AnsweredTableStore
from flamingofront.process.backoff import Backoff
from flamingofront.process.counted_store import CountedTableStore
from flamingofront.process.former_sends import SenderProcess
from flamingofront.process.forwarding.change_reports import ChangeReports
from flamingofront.process.forwarding.control import ControlHandler
from flamingofront.process.forwarding.delays import DelayMonitor
from flamingofront.process.forwarding.duty import LeaderLease
from flamingofront.process.forwarding.endpoint_knowledge import EndpointKnowledge
from flamingofront.process.forwarding.endpoint_row import EndpointRow
from flamingofront.process.forwarding.endpoints import EndpointView
from flamingofront.process.forwarding.exchange import STALENESS_CHECK_SECONDS, PeerSync
from flamingofront.process.forwarding.feed_check import FeedCheck
from flamingofront.process.forwarding.follower import BACKOFF, STANDBY_BACKOFF
from flamingofront.process.forwarding.freshness import FreshnessCheck
from flamingofront.process.forwarding.held_requests import QuarantineSync
from flamingofront.process.forwarding.inquiries import ArbiterContext
from flamingofront.process.forwarding.knowledge import SharedTables, StoreView
from flamingofront.process.forwarding.leader_tasks import build_leader_tasks
from flamingofront.process.forwarding.limit_arbiter import LimitArbiters, LimitContext
from flamingofront.process.forwarding.limit_members import LimitMembers
from flamingofront.process.forwarding.message_delays import MessageDelays
from flamingofront.process.forwarding.observations import Observations
from flamingofront.process.forwarding.origin_members import OriginMembers
from flamingofront.process.forwarding.own_report import LocalReport, ReportSources
from flamingofront.process.forwarding.peer_addresses import PeerAddresses
from flamingofront.process.forwarding.peer_word import PeerDispatcher, UpdateReceivers
from flamingofront.process.forwarding.peers import Peers
from flamingofront.process.forwarding.provenance import FROM_ANSWER
from flamingofront.process.forwarding.proxy import AttemptProxy
from flamingofront.process.forwarding.quota_arbiter import QuotaArbiters, QuotaContext
from flamingofront.process.forwarding.quota_members import QuotaMembers
from flamingofront.process.forwarding.readers import ZoneWatchers
from flamingofront.process.forwarding.relaying import RelayListener
from flamingofront.process.forwarding.reports import PeerReport
from flamingofront.process.forwarding.rollouts import Rollouts
from flamingofront.process.forwarding.settings import DeploymentSettings
from flamingofront.process.forwarding.shared_origins import SharedOrigins
from flamingofront.process.forwarding.stored_versions import StoredVersions, VersionRules
from flamingofront.process.forwarding.usage import UsageBook
from flamingofront.process.forwarding.vanished import UnobservedRemovals
from flamingofront.process.intent_rows import IntentRows
from flamingofront.process.intents import IntentRecorder
from flamingofront.process.logs import Log
from flamingofront.process.membership import FactTable
from flamingofront.process.memory import LoggedMemory, compute_account_size
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
from flamingofront.request.stream_origins import RESUME_SECONDS
from flamingofront.version.forwarding import ForwardingConfiguration
from flamingofront.version.model import Service

__all__ = ["Dependencies", "ForwardingNode"]

# Fraction of its latency objective for which a request may wait here: it is rejected while another
# entry VM can still serve it in time.
QUEUE_PATIENCE_SHARE = 0.2
# Endpoints compared for one choice when load reports are late: with more, many processes would all
# pick the same few endpoints that seem idle. Two of the three are those that a process prefers.
LATE_LOAD_CANDIDATES = 3
# Mean age from which load reports count as late, in seconds: reached with more than sixteen peers.
LATE_LOAD_SECONDS = 0.2
# Pause of a relay between two polls of the change feed, so that several changes come in one
# response: each poll has a cost. The two relays of a zone poll in turn, so the mean delay of a
# change is 0.3 s.
FEED_PAUSE_SECONDS = 0.8
# Age of the endpoints at which a process polls beside its long poll: all processes are to know
# within a second that an endpoint leaves.
MAX_ENDPOINTS_AGE_SECONDS = 0.6
# A change that a peer reported arrives within this time if the own long poll is alive.
MAX_FEED_LAG_SECONDS = 0.3
# Responses that an endpoint sent before its restart may be in transit for this long.
LAST_RESPONSES_SECONDS = 0.05
# Fraction of an endpoint's connections that may be idle.
IDLE_SHARE = 0.5
# Age up to which the known endpoints count as current; reports that confirm them come each 0.25 s.
CURRENT_ENDPOINTS_SECONDS = 3.0
# Name of the store among the senders of messages; no VM has it.
STORE_SENDER = ""


@dataclass(frozen=True)
class Dependencies:
    """External dependencies of a node: sockets, time, and the platform."""

    transport: Transport
    timers: TimerService
    store: TableStore
    cloud: Cloud | None
    protocol: ForwardProtocol
    tables: SharedTables
    send: Callable[[bytes, tuple[str, int]], None]
    incarnation: int


class ForwardingNode:
    """All components of one entry process that forwards along routes."""

    def __init__(
        self, settings: DeploymentSettings, dependencies: Dependencies, rng: random.Random, log: Log
    ):
        self.settings = settings
        self.timers = dependencies.timers
        self.log = log
        self.metrics = Metrics({"vm": settings.vm_id, "zone": settings.zone})
        self.memory = MemoryAccount(
            compute_account_size(settings.resources.memory, 0), LoggedMemory(self.metrics, log)
        )
        self.on_configuration: Callable[[ForwardingConfiguration], None] = lambda cfg: None
        # Mean delay until a new connection is read, if it is measured.
        self.delay_ms: Callable[[], int | None] = lambda: None
        self.stopping = False
        self.message_delays = MessageDelays()
        self._started_at = dependencies.timers.now()
        self._answered_store = AnsweredTableStore(
            CountedTableStore(dependencies.store, self.metrics), self.timers.now
        )
        self.store = EraStore(self._answered_store, log)
        self._dependencies = replace(dependencies, store=self.store)
        self._rng = rng
        self.tasks = TaskRunner(dependencies.transport, dependencies.timers, self.fault)
        identity = PeerReport(
            settings.vm_id,
            dependencies.incarnation,
            0,
            settings.zone,
            settings.ip,
            str(settings.control_bind or settings.ready_bind),
        )
        self._report_builder = LocalReport(identity, dependencies.timers, rng)
        self._report_builder.delay_ms = lambda: self.delay_ms()
        self.usage = UsageBook(identity.process, settings.rules.usage_window)
        self.rollouts = Rollouts(settings.rules.expose_share, self.timers.now, rng, log)
        self._build_requests()
        self._build_peers()
        self._build_leader_tasks()
        self.store.add_restore_listener(self.peers.register_again)
        services = Services(self.tasks, self.timers, rng, self.metrics, log)
        self.quarantine_sync = QuarantineSync(
            self.hub.guard,
            self.peers,
            self.store,
            services,
            self._is_standby,
            self._make_recorder,
            dependencies.incarnation / 1000 if settings.first_start else None,
        )
        reported = ReportSources(
            self.hub, self.store_view, self.lease, self.peers, self.rollouts, self.usage
        )
        parts = UpdateReceivers(reported, self.quota, self.exchange)
        self._gossip = PeerDispatcher(self._report_builder, parts, self.timers, self.metrics)
        self._gossip.on_message = self._record_message
        self.proxy = AttemptProxy(self)
        self.handle_control = ControlHandler(self).handle

    def _make_recorder(self, rows: IntentRows, services: Services) -> IntentRecorder:
        """Return the recorder of send intents, which are written before each send."""
        settings = self.settings
        sender = SenderProcess(settings.vm_id, self._dependencies.incarnation, settings.first_start)
        vanished = UnobservedRemovals(self.store, self._dependencies.tables)
        return IntentRecorder(self.hub, rows, services, sender, self.member_share, vanished.read)

    def _build_requests(self) -> None:
        """Build the request handling: endpoints, routing, quotas and the gateway."""
        settings, dependencies = self.settings, self._dependencies
        self.facts = FactTable()
        self.directory = EndpointDirectory(self.facts, self._rng, settings.zone)
        self.directory.describe_knowledge = self._describe_endpoint_knowledge
        self.store_view = StoreView(
            dependencies.store,
            dependencies.tables,
            EndpointView(
                self.facts,
                self.timers,
                self.metrics,
                self.log,
                on_leaving=lambda row: self.change_reports.record_departure(),
                on_removed=self._on_endpoint_removed,
                on_restarted=self._on_endpoint_restarted,
            ),
            self._on_configuration_change,
            self.timers.now,
            self._rng,
            self.metrics,
            self.log,
            self._is_standby,
            self._feed_pause,
            self._store_backoff,
        )
        self.endpoint_knowledge = EndpointKnowledge(
            settings.rules.drain_seconds,
            self.store_view,
            self.message_delays,
            self.timers.now,
            self.metrics,
            self.log,
        )
        self.directory.is_current = self.endpoint_knowledge.is_current
        self._answered_store.on_answer = self._on_store_answer
        self.hub = RequestHub(
            HubSettings(
                settings.vm_id,
                settings.zone,
                queue_wait_fraction=QUEUE_PATIENCE_SHARE,
                choice_wait_fraction=QUEUE_PATIENCE_SHARE,
            ),
            dependencies.transport,
            self.timers,
            self.directory,
            self.metrics,
            self.log,
            self._rng,
            BacklogChoice(),
            dependencies.protocol,
            self._retry_budget,
        )
        self.hub.response_memory.use_account(self.memory, self.timers.now)
        self.store_view.on_rollout = self.rollouts.apply_order
        self.hub.on_endpoint_leaving = self._on_endpoint_leaving
        self.hub.paths.monitor.enabled = True
        self.hub.paths.monitor.probe_target_of = self._probe_target_of
        self.hub.on_outcome = self._record_outcome
        self.hub.outdated_retry_after = self.endpoint_knowledge.retry_after
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
            self.hub, dependencies.protocol, self.quota, self.log, self._count_started
        )
        self.gateway.version_rule = self.rollouts.version_rule

    def _describe_endpoint_knowledge(self, endpoint_id: str) -> dict[str, object]:
        """Return the age of what this process knows of an endpoint and its origin, for the log."""
        age = self.store_view.endpoints_age()
        return {
            "known_age": None if age is None else round(age, 3),
            "message_age": self._newest_message_age(),
            **self.store_view.endpoints.describe(endpoint_id),
        }

    def _newest_message_age(self) -> float | None:
        """Return the seconds since the newest message that was read was sent; None without any."""
        age = self.message_delays.newest_age(self.timers.now())
        return None if math.isinf(age) else round(age, 3)

    def _probe_target_of(self, endpoint_id: str) -> str:
        """Return the target of a request for the state of an endpoint."""
        service = self.configuration.services.get(self.directory.service_of(endpoint_id))
        return self._dependencies.protocol.probe_target(service)

    def _record_outcome(self, service: str, endpoint_id: str, is_bad: bool) -> None:
        """Count a response for the rollout of its service, if there is one."""
        self.rollouts.record_response(service, self.directory.version_of(endpoint_id), is_bad)

    def _sample_size(self) -> int:
        """Return the number of endpoints to compare for one choice."""
        return (
            LATE_LOAD_CANDIDATES
            if self.peers.propagation_delay() > LATE_LOAD_SECONDS
            else MAX_CANDIDATES
        )

    def _on_endpoint_removed(self, row: EndpointRow) -> None:
        """Drop all state of an endpoint whose row was deleted or expired."""
        self.hub.guard.crash_detector.record_row_removal(row.endpoint_id, announced=not row.ready)
        self._forget_endpoint(row.endpoint_id)
        self._dependencies.transport.drop_idle(row.address)
        self.change_reports.record_departure()
        self.store_view.record_removed_endpoint(row.endpoint_id)

    def _forget_endpoint(self, endpoint_id: str) -> None:
        """Drop what was observed of an endpoint that was removed or has restarted."""
        self.directory.forget(endpoint_id)
        self.hub.limits.forget(endpoint_id)
        self.hub.backoffs.forget(endpoint_id)
        self.hub.paths.forget(endpoint_id)

    def _on_endpoint_leaving(self, endpoint_id: str, request: str) -> None:
        """Record that an endpoint has announced in a response that it leaves."""
        self.store_view.endpoints.mark_leaving(endpoint_id, FROM_ANSWER, request)

    def _on_endpoint_restarted(self, row: EndpointRow, previous: EndpointRow) -> None:
        """Drop the state and the requests of an endpoint's earlier incarnation."""
        self._forget_endpoint(row.endpoint_id)
        self.observations.discard_earlier_loads(row.endpoint_id)
        for address in {row.address, previous.address}:
            self._dependencies.transport.drop_idle(address)
        ago = self.peers.cluster_time() - row.born / 1000
        # What is sent from now on reaches the new start, even if its clock is ahead.
        at = self.timers.now() - max(0.0, ago)
        # Responses in transit from the earlier incarnation are read first.
        self.timers.once(
            LAST_RESPONSES_SECONDS, lambda: self.hub.handle_endpoint_restart(row.endpoint_id, at)
        )

    def _retry_budget(self, service: Service) -> RetryBudget:
        """Return the budget for retries and hedges of a service."""
        rules = self.settings.rules
        return SharedRetryBudget(
            rules.retry_ratio,
            rules.retry_allowance,
            rules.retry_window,
            self.member_share,
            self._started_at,
        )

    def _build_peers(self) -> None:
        """Build the communication with peers: reports, arbitration and anti-entropy."""
        self.peers = Peers(
            self._report_builder.identity,
            self.settings.peer_port,
            self.settings.seeds,
            self.build_report,
            self._dependencies.send,
            lambda report, gap: self._gossip.apply_report(report, gap),
            lambda note: self.observations.apply_load_delta(note),
            RelayListener(
                self.build_report,
                lambda relay, claim: self._gossip.apply_relay_state(relay, claim),
                lambda process, sums, counts: self._gossip.apply_sums(process, sums, counts),
                lambda: self.observations.mark_loads_stale(),
                lambda counts, received_until: self.usage.merge_counts(counts, received_until),
                lambda processes, windows: self.usage.collect_recent_counts(
                    processes, self.peers.cluster_time(), windows
                ),
                lambda processes: self.usage.received_until(processes),
                lambda: self.peers.cluster_time(),
            ),
            self._dependencies.store,
            self.tasks,
            self.timers,
            self._rng,
            self.metrics,
            self.log,
        )
        self.delays = DelayMonitor(self.timers, self.metrics, self.log)
        self.peers.relaying.sender.on_sent = self._record_queued
        self.observations = Observations(
            self.hub,
            self.peers,
            self.facts,
            self.settings.vm_id,
            self.settings.zone,
            lambda: self._report_builder.sequence,
            self.timers,
            self.metrics,
            self.log,
        )
        self.quota_members = QuotaMembers(
            self._report_builder.identity, self.peers, self.settings.rules.quota_window, self.timers
        )
        self.arbiters = QuotaArbiters(
            self.quota,
            QuotaContext(
                self.settings.ip,
                self._dependencies.incarnation,
                self.quota_members.rank_arbiters,
                lambda: self.configuration.workspaces_by_name,
                self._defers_quota_decisions,
                self.quota_members.has_recent_restart,
                self.quota_members.partition_count,
            ),
            self.peers.send,
            self.timers,
            self.metrics,
            self.log,
        )
        self.gateway.quota_gate = self.arbiters
        self.peers.on_quota_request = self.arbiters.handle_request
        self.peers.on_quota_reply = self.arbiters.handle_reply
        self._build_limits()
        self._build_origins()
        identity = self._report_builder.identity
        addresses = PeerAddresses(identity, self.peers, self.timers.now, self._rng)
        self.hub.paths.peers.addresses = addresses.proxies
        self.exchange = PeerSync(self.store_view, self.tasks, self.timers.now, self._rng, self.log)
        self.exchange.remote_watchers = addresses.remote_relays
        self.exchange.zone_peers = addresses.zone_peers
        self.gateway.config_freshness = FreshnessCheck(
            self.store_view, self.tasks, self.timers, self.log
        )
        self.readers = ZoneWatchers(
            self.settings.vm_id,
            self.settings.zone,
            lambda: self.peers.table.live_reports(self.timers.now()),
        )
        self.change_reports = ChangeReports(self.peers, self.timers)
        self.store_view.on_change = self.change_reports.record_change
        self.feed_check = FeedCheck(
            self.store_view.endpoint_watcher,
            self.tasks,
            self.timers,
            self.store_view.endpoints_age,
            self.peers.rank_as_watcher,
            MAX_ENDPOINTS_AGE_SECONDS,
            self.exchange.endpoints_lag,
            lambda: MAX_FEED_LAG_SECONDS + self._feed_pause(),
            self.peers.broadcast_report,
        )
        self.store_view.endpoints.on_store_away = self.peers.broadcast_report
        self.exchange.on_peer_cut_off = self.feed_check.check_now

    def _on_store_answer(self, asked_at: float, store_time: float | None) -> None:
        """Record an answer of the store to a call of this process, and when it was sent."""
        self.store_view.confirmations.record_answer(asked_at, store_time)
        if store_time is not None:
            self.message_delays.record(STORE_SENDER, 0, store_time, self.timers.now())

    def _record_message(self, report: PeerReport) -> None:
        """Record how long after its sending a message of another process is read."""
        now = self.timers.now()
        delay = self.message_delays.record(report.vm_id, report.incarnation, report.wall, now)
        self.delays.record_message(delay, report.vm_id, self.peers.seconds_unread())

    def _record_queued(self, seconds: float) -> None:
        """Record the time for which a datagram was queued until it was sent."""
        sender = self.peers.relaying.sender
        self.delays.record_queued(seconds, len(sender), sender.dropped)

    def _store_backoff(self) -> Backoff:
        """Return the delays between failed polls of the store."""
        relaying = self.peers.relaying
        return STANDBY_BACKOFF if self.peers.is_relayed and not relaying.is_relay else BACKOFF

    def _feed_pause(self) -> float:
        """Return the mean pause in seconds after a poll that found changes."""
        return FEED_PAUSE_SECONDS if self.peers.is_relayed else 0.0

    def _build_limits(self) -> None:
        """Build the arbitration of the rate limits that endpoints advertise."""
        limits, permits = self.hub.limits, self.hub.permits
        limits.wall = self.peers.cluster_time
        limits.start_ms_of = self.store_view.endpoints.start_time_ms
        local_ip = self.settings.ip
        members = LimitMembers(local_ip, self.quota_members, self.peers, lambda: self.stopping)
        context = ArbiterContext(local_ip, self._dependencies.incarnation, members.rank_arbiters)
        self.limit_arbiters = LimitArbiters(
            limits,
            LimitContext(
                context,
                members.live_share,
                self.member_share,
                self.directory.slots_of,
                self.directory.load_of,
            ),
            self.peers.send,
            self.timers,
            self.metrics,
            self.log,
        )
        permits.gate = self.limit_arbiters
        permits.process_name = local_ip
        self.peers.on_permit_request = self.limit_arbiters.handle_request
        self.peers.on_permit_reply = self.limit_arbiters.handle_reply

    def _build_origins(self) -> None:
        """Build the announcement and lookup of the versions that began streams."""
        history = self.store_view.endpoints.versions
        self.stored_versions = StoredVersions(
            self._dependencies.store,
            history,
            VersionRules(
                self._longest_resume_seconds,
                self.peers.member_count,
                self._has_current_endpoints,
                lambda: self.lease.usable_lease() is not None,
                self.settings.first_start,
            ),
            self.tasks,
            self.timers,
            random.Random(self._report_builder.identity.process),
            self.log,
        )
        self.store.add_restore_listener(self.stored_versions.reload)
        self.hub.origins = self.origins = SharedOrigins(
            OriginMembers(self._report_builder.identity, self.peers, self.timers),
            history,
            self._has_current_endpoints,
            self.stored_versions,
            self.peers.send,
            self.timers,
            self.metrics,
        )
        self.peers.on_origin_datagram = self.origins.receive

    def _longest_resume_seconds(self) -> float:
        """Return the longest time after its begin in which a stream can be resumed."""
        routes = self.configuration.routes
        return max((each.timeout for each in routes), default=0.0) + RESUME_SECONDS

    def _has_current_endpoints(self) -> bool:
        """Return True if the known endpoints were confirmed a moment ago."""
        age = self.store_view.endpoints_age()
        return age is not None and age <= CURRENT_ENDPOINTS_SECONDS

    def _defers_quota_decisions(self) -> bool:
        """Return True if this process is stopping or new, so that others decide on quotas."""
        return self.stopping or self.quota_members.is_newcomer()

    def _is_standby(self) -> bool:
        """Return True if other processes watch the store for this one."""
        if self.peers.is_relayed:
            return self.peers.relaying.has_watching_relay()
        return self.readers.can_stand_by()

    def _build_leader_tasks(self) -> None:
        """Build the leader lease and the leader tasks that this deployment needs."""
        settings, dependencies = self.settings, self._dependencies
        self.lease = LeaderLease(
            dependencies.store,
            settings.vm_id,
            dependencies.incarnation,
            settings.rules.lease_seconds,
            self.timers.now,
            self._rng,
            self.log,
        )
        self.leader_tasks = build_leader_tasks(self, dependencies)

    def _cache_tokens(self, service: str) -> float:
        """Return the tokens that an endpoint of a service can cache; infinite if not configured."""
        config = self.configuration.services.get(service)
        return config.cache_tokens if config is not None and config.cache_tokens else math.inf

    def member_share(self) -> float:
        """Return one process's share of all entry processes: 1 divided by their number."""
        return 1.0 / self.peers.member_count()

    def _count_started(self, request: ForwardedRequest) -> None:
        """Count a request in the usage window in which it started to run."""
        if not request.work.workspace:
            return
        ago = self.timers.now() - request.estimate_execution_start()
        self.usage.count_started(request.work.workspace, self.peers.cluster_time() - ago)

    # Peers

    def build_report(self, scope: GossipScope = GossipScope.ALL) -> PeerReport:
        """Return this process's current report, with evidence on crashes of a scope."""
        self._report_builder.leaving = self.stopping
        return self._gossip.build_report(scope)

    def max_idle(self, address: str) -> int:
        """Return how many idle connections to an address this process may keep.

        Notes
        -----
        An endpoint limits its connections over all entry processes, so the share of one process
        shrinks as their number grows. Half of the share is left for connections in use.
        """
        row = next(
            (each for each in self.store_view.endpoints.rows() if each.address == address), None
        )
        service = self.configuration.services.get(row.service) if row is not None else None
        if service is None or not service.max_connections:
            return MAX_IDLE_CONNECTIONS_PER_ADDRESS
        part = service.max_connections * IDLE_SHARE * self.member_share()
        return max(1, min(MAX_IDLE_CONNECTIONS_PER_ADDRESS, int(part)))

    def start(self) -> None:
        """Start all periodic work."""
        self.peers.start()
        self.observations.start()
        self.arbiters.start()
        if self.leader_tasks:
            self.tasks.start(self.lease.run())
        for task in self.leader_tasks:
            self.tasks.start(task.run())
        self.tasks.start(self.store_view.configuration_watcher.run())
        self.feed_check.start()
        self.stored_versions.start()
        self.tasks.start(self.quarantine_sync.run())
        self.timers.every(
            STALENESS_CHECK_SECONDS,
            self.exchange.check_staleness,
            STALENESS_CHECK_SECONDS,
            relaxed=True,
        )
        self.log.info("started", zone=self.settings.zone, first=self.settings.first_start)

    def fault(self, exc: BaseException) -> None:
        """Log an unhandled exception."""
        self.metrics.count("faults_total")
        self.log.error("fault", exc=exc)

    @property
    def configuration(self) -> ForwardingConfiguration:
        """Active configuration."""
        return self.store_view.configuration

    def _on_configuration_change(self, cfg: ForwardingConfiguration) -> None:
        """Apply a new active configuration."""
        self.gateway.configuration = cfg
        self.quota.start_buckets(cfg.workspaces, self.timers.now())
        self.apply_memory_limit()
        self.on_configuration(cfg)

    def apply_memory_limit(self) -> None:
        """Set the size of the memory account by the settings and the active configuration."""
        self.memory.size = compute_account_size(
            self.settings.resources.memory, self.gateway.configuration.limits.max_body
        )

    @property
    def ready(self) -> bool:
        """True if the balancer may send new connections to this process."""
        has_routes = bool(self.configuration.version) and bool(len(self.facts))
        return has_routes and not self.stopping

    # Inbound calls

    def handle_caller(self, req: InboundRequest, exchange: Exchange) -> None:
        """Handle a request that arrived at the callers' address."""
        self.gateway.handle(req, exchange)

    def handle_ready(self, req: InboundRequest, exchange: Exchange) -> None:
        """Respond to the balancer's readiness check."""
        exchange.respond(200 if self.ready else 503, (), b"")
