"""Control API of a forwarding entry process: operators, peers and metrics scrapes."""

from collections import Counter
from typing import TYPE_CHECKING

from flamingofront.connection.interfaces import Exchange
from flamingofront.decisions.direct_paths import EndpointPath
from flamingofront.messages import InboundRequest
from flamingofront.process.brief_cache import BriefCache
from flamingofront.process.forwarding.document_copies import DeltaPacer
from flamingofront.process.forwarding.exchange import CONFIGURATION_PATH, ENDPOINTS_PATH
from flamingofront.process.forwarding.news import encode_endpoint_update
from flamingofront.process.forwarding.operators import OperatorQueries
from flamingofront.process.membership import Role, VmState
from flamingofront.process.memory import set_memory_gauges
from flamingofront.request.proxy_messages import PROXY_PATH, REACH_PATH, RESPONDS_PATH

if TYPE_CHECKING:
    from flamingofront.process.forwarding.node import ForwardingNode

__all__ = ["ControlHandler"]

# Time for which an update on endpoints is kept: all members of a zone ask for it at once.
KEPT_UPDATE_SECONDS = 0.05


class ControlHandler:
    """Handles requests to the control port."""

    def __init__(self, node: "ForwardingNode"):
        self._node = node
        self._operators = OperatorQueries(node)
        self._pacer = DeltaPacer(node.timers.now)
        self._updates: BriefCache[bytes] = BriefCache(KEPT_UPDATE_SECONDS, node.timers.now)

    def handle(self, req: InboundRequest, exchange: Exchange) -> None:
        """Route a control request by its path."""
        if req.path == "/metrics":
            self._respond_metrics(exchange)
        elif req.path == "/operate":
            self._operators.handle(req, exchange)
        elif req.path == PROXY_PATH:
            self._node.proxy.handle(req, exchange)
        elif req.path == RESPONDS_PATH:
            exchange.respond(200, (), b"")
        elif req.path == REACH_PATH:
            self._node.proxy.handle_question(req, exchange)
        elif req.path == CONFIGURATION_PATH:
            self._respond_configuration(req, exchange)
        elif req.path == ENDPOINTS_PATH:
            after = req.query.get("after", "")
            data = self._updates.get(after, lambda: self._encode_endpoints(after))
            exchange.respond(200, (), data)
        else:
            exchange.respond(404, (), b"")

    def _encode_endpoints(self, after: str) -> bytes:
        """Return the changes of the endpoints after a change number; all if it is no number."""
        store_view = self._node.store_view
        update = store_view.build_endpoint_update(int(after) if after.isdigit() else -1)
        return encode_endpoint_update(update)

    def _respond_configuration(self, req: InboundRequest, exchange: Exchange) -> None:
        """Respond with a delta against the peer's version, or with the whole document."""
        store_view, after = self._node.store_view, req.query.get("after", "")
        if after.isdigit():
            delta = store_view.build_configuration_delta(int(after))
            # Empty if there is nothing newer or the rate limit is reached; the peer tries another.
            exchange.respond(200, (), delta if self._pacer.try_admit(len(delta)) else b"")
        else:
            exchange.respond(200, (), store_view.configuration_data)

    def _respond_metrics(self, exchange: Exchange) -> None:
        """Respond with all metrics in the exposition format."""
        self._set_gauges()
        body, headers = self._node.metrics.render()
        exchange.respond(200, tuple(headers.items()), body)

    def _set_gauges(self) -> None:
        node, gauge = self._node, self._node.metrics.gauge
        gauge("requests_in_flight", len(node.hub.active))
        gauge("requests_waiting", node.hub.count_queued())
        set_memory_gauges(node.memory, node.metrics)
        gauge("requests_suspected", len(node.hub.guard.suspects()))
        gauge("requests_held", len(node.hub.guard.quarantine.list_entries()))
        counts = Counter(map(node.hub.paths.path_to, node.directory.ready_endpoints()))
        for path in EndpointPath:
            gauge("endpoint_paths", counts[path], path=path.value)
        gauge("proxied_attempts", node.proxy.count_active())
        gauge("stream_origins", len(node.origins.local.table))
        gauge("endpoints_limited", len(node.hub.limits.limited_endpoints()))
        gauge("configuration_revision", node.configuration.version)
        gauge("store_era", node.store.era)
        gauge("ready", int(node.ready))
        gauge("peers_heard", node.peers.live_count())
        lease = node.lease.valid_lease()
        gauge("duty_fencing", lease.fencing if lease is not None else 0)
        for watcher in node.store_view.watchers:
            age = watcher.age()
            if age is not None:
                gauge("store_age_seconds", age, table=watcher.table)
        store_view = node.store_view
        ages = {"configuration": store_view.configuration_age()}
        ages["endpoints"] = store_view.endpoints_age()
        for subject, age in ages.items():
            if age is not None:
                gauge("knowledge_age_seconds", age, subject=subject)
        for state in VmState:
            gauge("endpoints", len(node.facts.select(Role.ENDPOINT, state)), state=state.value)
