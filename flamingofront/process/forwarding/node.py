"""One entry process that forwards routes, without its sockets."""

import random
from collections.abc import Callable
from dataclasses import dataclass

from flamingofront.connection.interfaces import Exchange, Transport
from flamingofront.errors import ConfigurationError, PlatformError
from flamingofront.messages import InboundRequest
from flamingofront.process.forwarding.endpoints import EndpointRow, EndpointView
from flamingofront.process.forwarding.follower import TableFollower, TableListener
from flamingofront.process.forwarding.settings import DeploymentSettings
from flamingofront.process.logs import Log
from flamingofront.process.membership import FactTable
from flamingofront.process.metrics import Metrics
from flamingofront.process.store import Cloud, StoredRow, TableStore
from flamingofront.process.tasks import TaskRunner
from flamingofront.process.timers import TimerService
from flamingofront.request.choice import CostChoice, CostWeights
from flamingofront.request.directory import EndpointDirectory
from flamingofront.request.forward_gateway import ForwardGateway
from flamingofront.request.forward_work import ForwardProtocol
from flamingofront.request.hub import HubSettings, RequestHub
from flamingofront.request.quota import SharedQuota
from flamingofront.request.retry import RetryBudget
from flamingofront.request.shared_retry import SharedRetryBudget
from flamingofront.version.forwarding import ForwardingConfiguration
from flamingofront.version.model import Service

__all__ = ["Dependencies", "ForwardingNode", "SharedTables"]

# A request is refused early in its objective, while another entry VM can still serve it in time.
REFUSE_WITHIN = 0.2


@dataclass(frozen=True)
class SharedTables:
    """Where the store keeps the configuration and the endpoints, and how rows are decoded.

    Parameters
    ----------
    decode_configuration : callable
        Returns the `ForwardingConfiguration` in a row's value.
    decode_endpoint : callable
        Returns the `EndpointRow` in a row's key and value.
    """

    configuration: str
    configuration_key: str
    endpoints: str
    decode_configuration: Callable[[bytes], ForwardingConfiguration]
    decode_endpoint: Callable[[str, bytes], EndpointRow]


@dataclass(frozen=True)
class Dependencies:
    """What a node needs from outside: sockets, time, and the platform."""

    transport: Transport
    timers: TimerService
    store: TableStore
    cloud: Cloud | None
    protocol: ForwardProtocol
    tables: SharedTables


class ForwardingNode:
    """All parts of one entry process that forwards routes."""

    def __init__(
        self, settings: DeploymentSettings, needs: Dependencies, rng: random.Random, log: Log
    ):
        self.settings = settings
        self.timers = needs.timers
        self.log = log
        self.metrics = Metrics({"vm": settings.vm_id, "zone": settings.zone})
        self.configuration = ForwardingConfiguration()
        self.configuration_data = b""
        self.on_configuration: Callable[[ForwardingConfiguration], None] = lambda cfg: None
        self.stopping = False
        self._needs = needs
        self._rng = rng
        self.tasks = TaskRunner(needs.transport, needs.timers, self.fault)
        self._build_requests()
        self._build_followers()

    def _build_requests(self) -> None:
        settings, needs = self.settings, self._needs
        self.facts = FactTable()
        self.directory = EndpointDirectory(self.facts, self._rng)
        self.endpoints = EndpointView(
            self.facts, self.timers, self.log, on_gone=self.directory.forget
        )
        self.hub = RequestHub(
            HubSettings(
                settings.vm_id,
                settings.zone,
                queue_patience=REFUSE_WITHIN,
                choice_patience=REFUSE_WITHIN,
            ),
            needs.transport,
            self.timers,
            self.directory,
            self.metrics,
            self.log,
            self._rng,
            CostChoice(CostWeights(prefill_rate=100_000.0)),
            needs.protocol,
            self._retry_budget,
        )
        self.quota = SharedQuota(self.heard_share, self.member_share)
        self.gateway = ForwardGateway(self.hub, needs.protocol, self.quota, self.log)

    def _build_followers(self) -> None:
        tables = self._needs.tables
        self.configuration_follower = self._follower(
            tables.configuration,
            TableListener(self._configuration_rows, self._configuration_rows),
        )
        self.endpoint_follower = self._follower(
            tables.endpoints,
            TableListener(
                self._endpoints_replaced,
                self._endpoints_changed,
                self.endpoints.store_lost,
                self.endpoints.store_back,
            ),
        )

    def _follower(self, table: str, listener: TableListener) -> TableFollower:
        return TableFollower(
            self._needs.store, table, listener, self.timers.now, self._rng, self.log
        )

    def _retry_budget(self, service: Service) -> RetryBudget:
        rules = self.settings.rules
        return SharedRetryBudget(
            rules.retry_ratio, rules.retry_allowance, rules.retry_window, self.member_share
        )

    def member_share(self) -> float:
        """Return one process's part of all entry processes, by their number."""
        return 1.0 / 8

    def heard_share(self) -> float:
        """Return the part of the entry processes that is heard, this one included."""
        return 1.0 / 8

    def start(self) -> None:
        """Begin all periodic work."""
        self.tasks.start(self.configuration_follower.run())
        self.tasks.start(self.endpoint_follower.run())
        self.log.info("started", zone=self.settings.zone, first=self.settings.first_start)

    def fault(self, exc: BaseException) -> None:
        """Log a fault of the program."""
        self.metrics.count("faults_total")
        self.log.error("fault", exc=exc)

    @property
    def ready(self) -> bool:
        """True if the balancer may send new connections here."""
        known = bool(self.configuration.version) and bool(len(self.facts))
        return known and not self.stopping

    # Configuration

    def _configuration_rows(self, rows: tuple[StoredRow, ...]) -> None:
        for row in rows:
            if row.key == self._needs.tables.configuration_key and row.value is not None:
                self.take_configuration(row.value, "store")

    def take_configuration(self, data: bytes, source: str) -> None:
        """Put a configuration in force if it is well formed and newer than the last one."""
        try:
            cfg = self._needs.tables.decode_configuration(data)
        except ConfigurationError as exc:
            self.metrics.count("platform_errors_total", operation="configuration")
            self.log.error("configuration refused", detail=str(exc), source=source)
            return
        if cfg.version <= self.configuration.version:
            return
        self.configuration = cfg
        self.configuration_data = data
        self.gateway.configuration = cfg
        self.metrics.count("configurations_total")
        self.log.info(
            "configuration in force",
            version=cfg.version,
            source=source,
            routes=len(cfg.routes),
            workspaces=len(cfg.workspaces),
        )
        self.on_configuration(cfg)

    # Endpoints

    def _decoded(self, rows: tuple[StoredRow, ...]) -> list[EndpointRow]:
        found = []
        for row in rows:
            try:
                found.append(self._needs.tables.decode_endpoint(row.key, row.value))
            except PlatformError as exc:
                self.metrics.count("platform_errors_total", operation="endpoint")
                self.log.error("endpoint row refused", detail=str(exc))
        return found

    def _endpoints_replaced(self, rows: tuple[StoredRow, ...]) -> None:
        present = tuple(each for each in rows if each.value is not None)
        self.endpoints.replace_all(self._decoded(present))

    def _endpoints_changed(self, rows: tuple[StoredRow, ...]) -> None:
        for row in rows:
            if row.value is None:
                self.endpoints.remove(row.key)
            else:
                for each in self._decoded((row,)):
                    self.endpoints.put(each)

    # Inbound calls

    def handle_caller(self, req: InboundRequest, exchange: Exchange) -> None:
        """Take a request that came to the callers' address."""
        self.gateway.handle(req, exchange)

    def handle_ready(self, req: InboundRequest, exchange: Exchange) -> None:
        """Answer the balancer whether new connections may come here."""
        exchange.respond(200 if self.ready else 503, (), b"")

    def handle_control(self, req: InboundRequest, exchange: Exchange) -> None:
        """Take a request of an operator or a peer."""
        if req.path == "/metrics":
            self.respond_metrics(exchange)
        else:
            exchange.respond(404, (), b"")

    def respond_metrics(self, exchange: Exchange) -> None:
        """Answer with the exposition text of all metrics."""
        body, headers = self.metrics.render()
        exchange.respond(200, tuple(headers.items()), body)
