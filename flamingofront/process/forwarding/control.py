"""Calls of operators, of peers, and for metrics, to a forwarding entry process."""

from typing import TYPE_CHECKING

from flamingofront.connection.interfaces import Exchange
from flamingofront.messages import InboundRequest
from flamingofront.process.forwarding.document_copies import CopyPacer
from flamingofront.process.forwarding.exchange import CONFIGURATION_PATH, ENDPOINTS_PATH
from flamingofront.process.forwarding.news import encode_news
from flamingofront.process.forwarding.operators import ForwardingOperators
from flamingofront.process.membership import Role, VmState

if TYPE_CHECKING:
    from flamingofront.process.forwarding.node import ForwardingNode

__all__ = ["ControlHandler"]


class ControlHandler:
    """Answers what does not come from callers."""

    def __init__(self, node: "ForwardingNode"):
        self._node = node
        self._operators = ForwardingOperators(node)
        self._pacer = CopyPacer(node.timers.now)

    def handle(self, req: InboundRequest, exchange: Exchange) -> None:
        """Take a request of an operator or a peer."""
        knowledge = self._node.store_view
        if req.path == "/metrics":
            self._respond_metrics(exchange)
        elif req.path == "/operate":
            self._operators.handle(req, exchange)
        elif req.path == CONFIGURATION_PATH:
            self._respond_configuration(req, exchange)
        elif req.path == ENDPOINTS_PATH:
            after = req.query.get("after", "")
            news = knowledge.endpoint_news(int(after) if after.isdigit() else -1)
            exchange.respond(200, (), encode_news(news))
        else:
            exchange.respond(404, (), b"")

    def _respond_configuration(self, req: InboundRequest, exchange: Exchange) -> None:
        """Answer with a copy for the version that the peer has, or with the whole document."""
        knowledge, after = self._node.store_view, req.query.get("after", "")
        if after.isdigit():
            copy = knowledge.configuration_copy(int(after))
            # Nothing, if this process has no more or is busy: the peer asks another one.
            exchange.respond(200, (), copy if self._pacer.takes(len(copy)) else b"")
        else:
            exchange.respond(200, (), knowledge.configuration_data)

    def _respond_metrics(self, exchange: Exchange) -> None:
        """Answer with the exposition text of all metrics."""
        self._set_gauges()
        body, headers = self._node.metrics.render()
        exchange.respond(200, tuple(headers.items()), body)

    def _set_gauges(self) -> None:
        node, gauge = self._node, self._node.metrics.gauge
        gauge("requests_in_flight", len(node.hub.active))
        gauge("requests_waiting", node.hub.count_queued())
        gauge("requests_suspected", len(node.hub.guard.suspects()))
        gauge("requests_held", len(node.hub.guard.quarantine.list_entries()))
        gauge("endpoints_limited", len(node.hub.limits.rates_by_endpoint()))
        gauge("configuration_revision", node.configuration.version)
        gauge("store_era", node.store.era)
        gauge("ready", int(node.ready))
        gauge("peers_heard", node.peers.live_count())
        lease = node.lease.valid_lease()
        gauge("duty_fencing", lease.fencing if lease is not None else 0)
        for follower in node.store_view.watchers:
            age = follower.age()
            if age is not None:
                gauge("store_age_seconds", age, table=follower.table)
        knowledge = node.store_view
        ages = {"configuration": knowledge.configuration_age()}
        ages["endpoints"] = knowledge.endpoints_age()
        for subject, age in ages.items():
            if age is not None:
                gauge("knowledge_age_seconds", age, subject=subject)
        for state in VmState:
            gauge("endpoints", len(node.facts.select(Role.ENDPOINT, state)), state=state.value)
