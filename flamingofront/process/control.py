"""Control interface of a process, for peers, operators and metrics."""

from collections.abc import Callable
from typing import Any

import orjson

from flamingofront.connection.interfaces import Exchange
from flamingofront.connection.server import JSON_HEADERS
from flamingofront.errors import ErrorKind, RequestError
from flamingofront.messages import InboundRequest
from flamingofront.process.metrics import Metrics
from flamingofront.process.operators import OperatorService
from flamingofront.process.peers import PeerLinks
from flamingofront.process.rows import LocalRows
from flamingofront.request.attachments import respond_error
from flamingofront.request.inheritance import RequestAdopter
from flamingofront.request.keyed import KeyedRequests
from flamingofront.request.reattach import Reattachment

__all__ = ["ControlInterface", "respond_json"]


def respond_json(exchange: Exchange, data: Any, status: int = 200) -> None:
    """Send `data` as a JSON response."""
    exchange.respond(status, JSON_HEADERS, orjson.dumps(data))


class ControlInterface:
    """Dispatches calls on the control address by path.

    Parameters
    ----------
    token : str
        Bearer token that each call must carry; empty if none is required.
    accepts_work : callable
        Returns True if this process accepts requests handed over by peers.
    """

    def __init__(
        self,
        token: str,
        metrics: Metrics,
        operators: OperatorService,
        links: PeerLinks,
        rows: LocalRows,
        keyed: KeyedRequests,
        inheritance: RequestAdopter,
        reattachment: Reattachment,
        accepts_work: Callable[[], bool],
    ):
        self._token = token
        self._metrics = metrics
        self._links = links
        self._rows = rows
        self._keyed = keyed
        self._inheritance = inheritance
        self._reattachment = reattachment
        self._accepts_work = accepts_work
        self._by_path = {
            "/operate": operators.handle,
            "/peer/digest": self._handle_digest,
            "/peer/push": self._handle_push,
            "/peer/rows": self._handle_peer_rows,
            "/peer/handover": self._handle_handover,
        }
        self._by_prefix = {
            "/peer/claims/": self._handle_claim_query,
            "/peer/requests/": self._handle_relay,
        }

    def handle(self, req: InboundRequest, exchange: Exchange) -> None:
        """Handle one call; errors get the response that the error table defines."""
        if req.path == "/metrics":
            body, headers = self._metrics.render()
            exchange.respond(200, tuple(headers.items()), body)
            return
        try:
            self._authorize(req)
            self._find_handler(req.path)(req, exchange)
        except RequestError as exc:
            self._metrics.count("refusals_total", kind=exc.kind.value)
            respond_error(exchange, exc)

    def _authorize(self, req: InboundRequest) -> None:
        if self._token and req.header("authorization") != f"Bearer {self._token}":
            raise RequestError(ErrorKind.UNKNOWN_WORKSPACE, "the control token is missing or wrong")

    def _find_handler(self, path: str) -> Callable[[InboundRequest, Exchange], None]:
        handler = self._by_path.get(path)
        if handler is not None:
            return handler
        for prefix, handler in self._by_prefix.items():
            if path.startswith(prefix):
                return handler
        raise RequestError(ErrorKind.NOT_FOUND, f"no such path {path[:80]!r}")

    def _handle_digest(self, req: InboundRequest, exchange: Exchange) -> None:
        respond_json(exchange, self._links.handle_digest(_parse_object(req)))

    def _handle_push(self, req: InboundRequest, exchange: Exchange) -> None:
        self._links.handle_push(_parse_object(req))
        respond_json(exchange, {})

    def _handle_peer_rows(self, req: InboundRequest, exchange: Exchange) -> None:
        respond_json(exchange, {"rows": self._rows.build_rows(_parse_object(req)["subject"])})

    def _handle_handover(self, req: InboundRequest, exchange: Exchange) -> None:
        if not self._accepts_work():
            raise RequestError(ErrorKind.DRAINING)
        data = _parse_object(req)
        self._inheritance.accept_handover(data["record"], data["sender"])
        respond_json(exchange, {"taken": True})

    def _handle_claim_query(self, req: InboundRequest, exchange: Exchange) -> None:
        request_id = req.path.rsplit("/", 1)[1]
        respond_json(exchange, {"not_run": self._keyed.was_not_run(request_id)})

    def _handle_relay(self, req: InboundRequest, exchange: Exchange) -> None:
        request_id = req.path.rsplit("/", 1)[1]
        offset = req.query.get("offset", "")
        if not offset.isdigit():
            raise RequestError(ErrorKind.MALFORMED_REQUEST, f"bad offset {offset[:40]!r}")
        workspace, stream = req.query.get("workspace", ""), req.query.get("stream") == "1"
        if not self._reattachment.attach_peer(request_id, workspace, int(offset), stream, exchange):
            raise RequestError(ErrorKind.UNKNOWN_REQUEST)


def _parse_object(req: InboundRequest) -> dict[str, Any]:
    try:
        data = orjson.loads(req.body)
    except orjson.JSONDecodeError as exc:
        raise RequestError(ErrorKind.MALFORMED_REQUEST, f"not valid JSON: {exc}") from None
    if not isinstance(data, dict):
        raise RequestError(ErrorKind.MALFORMED_REQUEST, "the body must be a JSON object")
    return data
