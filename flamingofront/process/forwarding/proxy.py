"""Proxying of attempts for peers that have no direct path to an endpoint.

The process of the caller keeps the request: its deadline, retries, quotas and limits. This process
only opens the connection to the endpoint and passes the response on. It never asks another peer, so
an attempt cannot circulate.
"""

from typing import TYPE_CHECKING

from flamingofront.connection.framing import HOP_BY_HOP_FIELDS, get_connection_options
from flamingofront.connection.interfaces import CallEvent, CallHandle, Exchange
from flamingofront.connection.server import RenderedError
from flamingofront.decisions.direct_paths import PathStatus
from flamingofront.errors import ErrorKind, RequestError
from flamingofront.messages import (
    SEND_WITHDRAWN,
    CallFailed,
    InboundRequest,
    OutboundCall,
    ResponseData,
    ResponseEnd,
    ResponseHead,
)
from flamingofront.request.active import NO_CONNECTION_REASONS
from flamingofront.request.attempt_guard import MAX_HOP_EXCESS_SECONDS, AttemptGuard
from flamingofront.request.proxy_messages import (
    BY_RESPONSE,
    STATUS_NOT_REACHED,
    STATUS_REACHED,
    STATUS_UNKNOWN,
    ProxiedCall,
    ProxyFailure,
    ProxyRefusal,
    decode_proxied_call,
    encode_endpoint_response,
    encode_proxy_failure,
)

if TYPE_CHECKING:
    from flamingofront.process.forwarding.node import ForwardingNode

__all__ = ["AttemptProxy", "render_peer_error"]

# Attempts proxied at once; beyond it peers ask another process, so that one VM is not overloaded
# by the callers of many.
MAX_PROXIED_ATTEMPTS = 256
STATUS_BAD_REQUEST = 400
STATUS_NOT_PROXIED = 502
BODILESS_STATUSES = frozenset({204, 304})


class AttemptProxy:
    """Sends the attempts of peers to endpoints."""

    def __init__(self, node: "ForwardingNode"):
        self.node = node
        self._attempts: set[_ProxiedAttempt] = set()

    def count_active(self) -> int:
        """Return the number of attempts in flight for peers."""
        return len(self._attempts)

    def handle(self, req: InboundRequest, exchange: Exchange) -> None:
        """Send the attempt in a peer's call to its endpoint, or refuse it at once."""
        try:
            call = decode_proxied_call(req.query)
        except ValueError as exc:
            self.node.log.warning("malformed call to the proxy", detail=str(exc))
            exchange.respond(STATUS_BAD_REQUEST, (), str(exc).encode())
            return
        refusal = self._find_refusal(call)
        if refusal is not None:
            self._refuse(call, exchange, refusal)
            return
        self.node.metrics.count("proxied_attempts_total", role="proxy")
        attempt = _ProxiedAttempt(self, call, exchange)
        self._attempts.add(attempt)
        attempt.start(req)

    def handle_question(self, req: InboundRequest, exchange: Exchange) -> None:
        """Respond whether this process reaches an endpoint."""
        endpoint_id = req.query.get("endpoint", "")
        address = self.node.directory.address_of(endpoint_id)
        if not address or self._is_lost(endpoint_id):
            exchange.respond(STATUS_UNKNOWN, (), b"")
            return
        self.node.metrics.count("endpoint_probes_total")
        self.node.hub.paths.probe_for_peer(
            endpoint_id,
            req.query.get("by") == BY_RESPONSE,
            lambda is_reached: exchange.respond(
                STATUS_REACHED if is_reached else STATUS_NOT_REACHED, (), b""
            ),
        )

    def _find_refusal(self, call: ProxiedCall) -> ProxyRefusal | None:
        node = self.node
        if node.stopping:
            return ProxyRefusal.STOPPING
        unknown = self.find_unknown(call.endpoint_id)
        if unknown is not None:
            return unknown
        monitor = node.hub.paths.monitor
        is_certain = monitor.status is not PathStatus.CHECKING
        if is_certain and self._is_lost(call.endpoint_id):
            is_partial = monitor.status is PathStatus.WORKING or monitor.reaches_any
            return ProxyRefusal.NO_PATH_TO_ENDPOINT if is_partial else ProxyRefusal.NO_PATH
        return ProxyRefusal.BUSY if len(self._attempts) >= MAX_PROXIED_ATTEMPTS else None

    def find_unknown(self, endpoint_id: str) -> ProxyRefusal | None:
        """Return why nothing may be sent to an endpoint by what is known of it, if anything."""
        directory = self.node.directory
        if not directory.is_current():
            return ProxyRefusal.BUSY
        return ProxyRefusal.UNKNOWN_ENDPOINT if directory.is_unavailable(endpoint_id) else None

    def _is_lost(self, endpoint_id: str) -> bool:
        paths = self.node.hub.paths
        return paths.monitor.is_lost(endpoint_id) and not paths.has_open_connection(endpoint_id)

    def _refuse(self, call: ProxiedCall, exchange: Exchange, refusal: ProxyRefusal) -> None:
        next_peer = ""
        if refusal is ProxyRefusal.NO_PATH:
            next_peer = self.node.hub.paths.peers.proven_peer()
        self.node.metrics.count("proxy_refusals_total", reason=refusal.value)
        self.node.log.info(
            "proxied attempt refused",
            request=call.request_id,
            sender=call.sender,
            endpoint=call.endpoint_id,
            reason=refusal.value,
            next_peer=next_peer,
        )
        respond_failure(exchange, ProxyFailure(refusal.value, next_peer=next_peer))

    def remove(self, attempt: "_ProxiedAttempt") -> None:
        """Remove an attempt that has ended."""
        self._attempts.discard(attempt)


def render_peer_error(exc: RequestError, rendered: RenderedError) -> RenderedError:
    """Return the response to a peer for an error, given the response that a caller would get.

    Notes
    -----
    The peer takes a response without a failure for that of the endpoint. A request that this
    process has no memory for was refused before it was read.
    """
    if exc.kind is not ErrorKind.MEMORY_EXHAUSTED:
        return rendered
    status, headers, body = rendered
    return status, (*headers, encode_proxy_failure(ProxyFailure(ProxyRefusal.BUSY.value))), body


def respond_failure(exchange: Exchange, failure: ProxyFailure) -> None:
    """Tell the peer that its attempt failed before a response started."""
    exchange.respond(STATUS_NOT_PROXIED, (encode_proxy_failure(failure),), b"")


class _ProxiedAttempt:
    """One attempt between a peer and an endpoint."""

    def __init__(self, proxy: AttemptProxy, call: ProxiedCall, exchange: Exchange):
        self._proxy = proxy
        self._node = proxy.node
        self._call = call
        self._exchange = exchange
        self._handle: CallHandle | None = None
        self._started_at = self._node.timers.now()
        self._sent_at = self._started_at
        # The peer's request until it is sent on.
        self._unsent: InboundRequest | None = None
        self._has_begun = False
        self._is_done = False

    def start(self, req: InboundRequest) -> None:
        """Send the attempt to the endpoint."""
        self._exchange.on_disconnect = self._on_disconnect
        self._unsent = req
        self._send()

    def _send(self, expected_delay: float = 0.0) -> None:
        """Send the attempt with a deadline that is true after an expected delay."""
        call, req = self._call, self._unsent
        self._sent_at = self._node.timers.now()
        fields = tuple(
            each for each in req.fields if each[0].lower() not in HOP_BY_HOP_FIELDS | {"host"}
        )
        # Since the peer computed the deadline: a large body may take long.
        spent = self._sent_at - req.head_received_at + expected_delay
        fields = self._node.hub.protocol.shorten_deadline(fields, spent)
        outbound = OutboundCall(
            self._node.directory.address_of(call.endpoint_id),
            call.method,
            call.target,
            req.body,
            fields,
            timeout=call.timeout,
            stream=True,
            new_connection=call.new_connection,
            host=req.header("host"),
            connect_timeout=call.connect_timeout,
            guard=AttemptGuard(
                self._node.hub,
                call.endpoint_id,
                self._sent_at + expected_delay + MAX_HOP_EXCESS_SECONDS,
            ),
        )
        limited = self._node.hub.paths.limit_to_open(call.endpoint_id, outbound)
        self._handle = self._node.hub.transport.start(limited, self._on_event)

    def _on_event(self, event: CallEvent) -> None:
        if self._is_done:
            return
        if isinstance(event, ResponseHead):
            self._on_head(event)
        elif isinstance(event, ResponseData):
            if not self._exchange.send(event.data):
                self._handle.cancel()
                self._exchange.abort()
                self._end("the peer reads too slowly")
        elif isinstance(event, ResponseEnd):
            self._exchange.finish()
            self._end("complete")
        else:
            self._on_failure(event)

    def _on_head(self, head: ResponseHead) -> None:
        endpoint_id = self._call.endpoint_id
        self._node.directory.record_contact(endpoint_id, self._node.timers.now())
        if not head.reused:
            self._node.hub.paths.monitor.record_connected(endpoint_id)
        self._has_begun = True
        self._unsent = None
        if head.status in BODILESS_STATUSES:
            self._exchange.respond(head.status, _encode_fields(head), b"")
            self._end("complete")
        else:
            self._exchange.begin(head.status, _encode_fields(head))

    def _on_withdrawn(self) -> None:
        """Send the attempt again with a true deadline, unless its endpoint has left meanwhile."""
        refusal = self._proxy.find_unknown(self._call.endpoint_id)
        if refusal is not None:
            respond_failure(self._exchange, ProxyFailure(refusal.value))
            self._end(SEND_WITHDRAWN)
            return
        # What comes at the same time, such as the end of the peer's call, is handled first.
        delay = self._node.timers.now() - self._sent_at
        self._node.timers.once(0.0, lambda: self._is_done or self._send(delay))

    def _on_failure(self, event: CallFailed) -> None:
        if event.reason == SEND_WITHDRAWN and not event.wrote:
            self._on_withdrawn()
            return
        if event.reason in NO_CONNECTION_REASONS:
            self._node.hub.paths.monitor.record_failure(self._call.endpoint_id, event.reason)
        if self._has_begun:
            self._exchange.abort()
        else:
            respond_failure(self._exchange, ProxyFailure(event.reason, event.wrote, event.reused))
        self._end(event.reason, event.detail)

    def _on_disconnect(self) -> None:
        """Cancel the attempt: the peer's caller has left, or the peer is gone."""
        if not self._is_done:
            self._handle.cancel()
            self._end("the peer disconnected")

    def _end(self, outcome: str, detail: str = "") -> None:
        self._is_done = True
        self._unsent = None
        self._proxy.remove(self)
        self._node.log.info(
            "proxied attempt ended",
            request=self._call.request_id,
            sender=self._call.sender,
            endpoint=self._call.endpoint_id,
            outcome=outcome,
            detail=detail,
            wrote=self._handle is not None and self._handle.wrote,
            total_ms=round((self._node.timers.now() - self._started_at) * 1000),
        )


def _encode_fields(head: ResponseHead) -> tuple[tuple[str, str], ...]:
    """Return the headers for the sender, without those that concern one connection only."""
    return encode_endpoint_response(head, HOP_BY_HOP_FIELDS | get_connection_options(head.fields))
