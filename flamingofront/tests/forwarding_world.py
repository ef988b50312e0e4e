"""The fake network of `world`, with the users' platform and entry processes that forward."""

import random

from flamingofront.connection.datagrams import MAX_DATAGRAM_BYTES
from flamingofront.messages import InboundRequest
from flamingofront.platform.cloud import PlatformCloud
from flamingofront.platform.config import CONFIG_KEY, CONFIG_TABLE, decode_configuration
from flamingofront.platform.endpoints import ENDPOINT_TABLE, decode_endpoint
from flamingofront.platform.requests import PlatformProtocol
from flamingofront.platform.rollouts import ROLLOUT_ROWS
from flamingofront.platform.store import PlatformTableStore
from flamingofront.process.forwarding.knowledge import SharedTables
from flamingofront.process.forwarding.node import Dependencies, ForwardingNode
from flamingofront.process.forwarding.settings import DeploymentSettings, SharedRules
from flamingofront.process.logs import Log
from flamingofront.process.settings import parse_address
from flamingofront.standins.forward_endpoint import ForwardEndpointStandIn
from flamingofront.standins.table_store import TableStoreStandIn
from flamingofront.tests.network import LATENCY, Caller, FakeTransport
from flamingofront.tests.promises import AskedRequest
from flamingofront.tests.world import World

__all__ = ["ForwardingWorld", "RULES", "configuration", "created_worlds", "ready_world"]

TIMEOUT = 1.0
# Largest datagram of IPv4.
MAX_SENT_BYTES = 65_507
LATE_DATAGRAMS = 0.25
# Paths of the routes whose requests may run once only.
RUN_ONCE = ("/write/", "/stream/once/")
# Worlds of the current test, whose promises are checked at its end.
created_worlds: list["ForwardingWorld"] = []
RULES = SharedRules(
    retry_ratio=0.2,
    retry_window=10.0,
    retry_allowance=40.0,
    lease_seconds=3.0,
    usage_window=5.0,
    usage_due=10.0,
    quota_window=8.0,
)
TABLES = SharedTables(
    CONFIG_TABLE, CONFIG_KEY, ENDPOINT_TABLE, decode_configuration, decode_endpoint, ROLLOUT_ROWS
)
ENGINE = {"slots": 8, "kv_capacity_tokens": 100_000}
SCALING = {
    "min": 1,
    "max": 3,
    "boot_time_s": 4.0,
    "spot_price": 0.2,
    "zone_prices": {"zone-a": 1.0, "zone-b": 0.8},
}


def _route(name: str, prefix: str, service: str, kind: str, **more) -> dict:
    return {
        "name": name,
        "host": "desk.example",
        "prefix": prefix,
        "service": service,
        "kind": kind,
        "timeout_ms": 4000,
        "latency_goal_ms": 400,
        "priority": 1,
        "max_attempts": 2,
        **more,
    }


def configuration(version: int = 1, **changes) -> dict:
    """Return a configuration document as the operator writes it."""
    doc = {
        "version": version,
        "routes": [
            _route("read", "/read/", "records", "idempotent"),
            _route("write", "/write/", "records", "non_idempotent"),
            _route("once", "/stream/once/", "engines", "stream", sticky=True),
            _route("again", "/stream/again/", "engines", "stream", resumable=True, sticky=True),
            _route("open", "/open/", "records", "idempotent", anonymous=True),
        ],
        "services": [
            {"name": "records", "max_conns": 100, "health_path": "/health"},
            {"name": "engines", "max_conns": 100, "engine": ENGINE, "scaling": SCALING},
        ],
        "tenants": [{"name": "desk", "api_keys": ["key-1", "key-2"], "priority": 1}],
        "limits": {},
    }
    return {**doc, **changes}


class ForwardingWorld(World):
    """World with the platform's table store in place of the project's own platform."""

    def __init__(self, seed: int = 1):
        super().__init__(seed)
        created_worlds.append(self)
        self.store = TableStoreStandIn(self._host("store", "store").timers)
        self.host("store").handler = self.store.handle
        self.fronts: dict[str, ForwardingNode] = {}
        self.endpoints: dict[str, ForwardEndpointStandIn] = {}
        # All endpoints, also those that others of the same name have replaced.
        self.started_endpoints: list[ForwardEndpointStandIn] = []
        self.asked: list[AskedRequest] = []
        self.lost_datagrams = 0.0
        # Largest delay in seconds of one in four datagrams, which others then overtake.
        self.max_datagram_delay = 0.0
        self.burst_bytes = 24_000
        self._bursts: dict[str, tuple[float, int]] = {}
        # By host: since when it stands still, and when it last did so and went on.
        self._paused_at: dict[str, float] = {}
        self._resumed: dict[str, tuple[float, float]] = {}

    def endpoint(
        self, name: str, service: str, zone: str = "zone-a", version: str = "v1", **options
    ):
        """Start an endpoint and register it."""
        host = self._host(name, zone)
        endpoint = ForwardEndpointStandIn(name, host.timers, **options)
        host.handler = endpoint.handle
        self.endpoints[name] = endpoint
        self.started_endpoints.append(endpoint)
        self.register(name, service, zone, version=version)
        return endpoint

    def register(self, name: str, service: str, zone: str = "zone-a", **changes) -> None:
        """Write an endpoint's row."""
        row = {
            "service": service,
            "address": self.host(name).address,
            "zone": zone,
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "cold_left_ms": 0,
            "sequence": 1,
        }
        self.store.put(ENDPOINT_TABLE, name, {**row, **changes})

    def configure_routes(self, **changes) -> None:
        """Let the operator write a configuration."""
        self.store.put(CONFIG_TABLE, CONFIG_KEY, configuration(**changes))

    def front(
        self,
        name: str,
        zone: str = "zone-a",
        rules: SharedRules = RULES,
        first_start: bool = True,
    ) -> ForwardingNode:
        """Start an entry process; starting one of the same name again replaces it."""
        host = self._host(name, zone)
        address = parse_address(host.address)
        store = self.host("store").address
        settings = DeploymentSettings(
            vm_id=name,
            zone=zone,
            ip=host.address,
            caller_bind=address,
            ready_bind=address,
            control_bind=address,
            peer_port=1,
            seeds=(),
            first_start=first_start,
            store=parse_address(store),
            cloud=parse_address(store),
            duties=("usage", "scaling"),
            stop_grace=8.0,
            rules=rules,
        )
        needs = Dependencies(
            FakeTransport(self, host),
            host.timers,
            PlatformTableStore(store, TIMEOUT),
            PlatformCloud(store, TIMEOUT),
            PlatformProtocol(),
            TABLES,
            lambda data, target: self._datagram(host, target[0], data),
            int(self.clock.now() * 1000) + len(self.hosts),
        )
        node = ForwardingNode(
            settings, needs, random.Random(self.rng.random()), Log("entry", vm=name)
        )
        host.handler = node.handle_control
        self.fronts[name] = node
        node.peers.seconds_unread = lambda: self.seconds_unread(name)
        node.start()
        return node

    def pause(self, name: str) -> None:
        """Let a host stand still; what is sent to it waits."""
        super().pause(name)
        self._paused_at.setdefault(name, self.clock.now())

    def resume(self, name: str) -> None:
        """Let a host go on, which reads at once what has waited."""
        super().resume(name)
        if name in self._paused_at:
            self._resumed[name] = (self._paused_at.pop(name), self.clock.now())

    def seconds_unread(self, name: str) -> float:
        """Return the longest time for which what a process reads now may have waited."""
        paused_at, resumed_at = self._resumed.get(name, (0.0, -1.0))
        return self.clock.now() - paused_at if self.clock.now() == resumed_at else 0.0

    def lose(self, name: str, way: str) -> None:
        """Kill an entry process, freeze it, or cut it off from the store."""
        if way == "kill":
            self.kill(name)
        elif way == "pause":
            self.pause(name)
        else:
            self.cut(name, "store")

    def _datagram(self, source, address: str, data: bytes) -> None:
        target = self.hosts.get(address)
        if target is None or target.dead or source.dead or self.is_cut(source, target):
            return
        if self.rng.random() < self.lost_datagrams or not self._link_takes(source, len(data)):
            return
        if len(data) > MAX_SENT_BYTES:
            return
        node, data = self.fronts[target.name], data[:MAX_DATAGRAM_BYTES]
        delay = LATENCY
        if self.max_datagram_delay and self.rng.random() < LATE_DATAGRAMS:
            delay += self.max_datagram_delay * self.rng.random()
        target.timers.once(
            delay, lambda: target.dead or node.peers.receive_datagram(data, source.address)
        )

    def _link_takes(self, source, size: int) -> bool:
        """Tell whether a VM's link takes so many bytes now: what comes at once is bounded."""
        at, sent = self._bursts.get(source.name, (-1.0, 0))
        sent = sent + size if at == self.clock.now() else size
        self._bursts[source.name] = (self.clock.now(), sent)
        return sent <= self.burst_bytes

    def list_runs(self) -> list[tuple[str, str]]:
        """Return request id and endpoint of each request that an endpoint did not reject."""
        return [
            (req.header("x-flamingofront-request-id"), each.endpoint_id)
            for each in self.started_endpoints
            for req in each.runs
        ]

    def refusal(self, front: str, path: str, version: int) -> int:
        """Return the status of a request that a version refuses, which has to be in force now.

        Notes
        -----
        What is not known is looked up for a moment before it is refused as unknown.
        """
        assert self.fronts[front].configuration.version == version
        caller = self.ask(front, path)
        self.finish(caller, limit=0.3)
        return caller.status

    def ask(
        self,
        front: str,
        path: str,
        method: str = "POST",
        body: bytes = b"body",
        key: str | None = "key-1",
        request_id: str | None = None,
        **headers: str,
    ) -> Caller:
        """Send a caller's request to an entry process without waiting."""
        host = self.host(front)
        caller = Caller(self.fronts[front], host)
        request_id = request_id or f"r-{self.rng.getrandbits(48):012x}"
        self.asked.append(AskedRequest(request_id, path, caller, not path.startswith(RUN_ONCE)))
        fields = [
            ("Host", "desk.example"),
            ("X-Flamingofront-Request-Id", request_id),
            ("X-Flamingofront-Deadline-Ms", "3000"),
        ]
        if key is not None:
            fields.append(("Authorization", f"Bearer {key}"))
        fields += [(name.replace("_", "-"), value) for name, value in headers.items()]
        names = {name.lower(): value for name, value in fields}
        req = InboundRequest(method, path, {}, names, body, path, tuple(fields), self.clock.now())
        self.fronts[front].handle_caller(req, caller)
        return caller


def ready_world(
    fronts: int = 1,
    engines: int = 2,
    plains: int = 2,
    seed: int = 1,
    rules: SharedRules = RULES,
    **changes,
) -> ForwardingWorld:
    """Return a world whose entry processes are ready, `front-1` first."""
    world = ForwardingWorld(seed)
    world.configure_routes(**changes)
    for number in range(1, engines + 1):
        world.endpoint(f"engine-{number}", "engines", "zone-a" if number % 2 else "zone-b")
    for number in range(1, plains + 1):
        world.endpoint(f"plain-{number}", "records")
    for number in range(1, fronts + 1):
        world.front(f"front-{number}", rules=rules)
    world.run_until(lambda: all(each.ready for each in world.fronts.values()))
    world.run(3.0)
    return world
