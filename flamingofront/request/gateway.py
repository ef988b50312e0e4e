"""Gateway of callers: checks their HTTP requests and accepts or rejects them.

Paths: ``POST /v1/chat/completions``, ``POST /v1/completions``, ``ANY /services/ROUTE/...``,
``GET /v1/requests/ID`` for re-attachment and asynchronous answers, ``GET /v1/models``.
"""

import hashlib
import random
from collections.abc import Callable
from urllib.parse import quote, urlencode

import orjson

from flamingofront.connection.events import parse_event_id
from flamingofront.connection.interfaces import Exchange
from flamingofront.connection.server import JSON_HEADERS
from flamingofront.decisions.admission import WorkspaceShare
from flamingofront.errors import ErrorKind, Executed, PlatformError, RequestError
from flamingofront.messages import InboundRequest
from flamingofront.process.documents import DocumentStore
from flamingofront.process.tasks import Task, TaskRunner
from flamingofront.request.active import ActiveRequest
from flamingofront.request.attachments import (
    Attachment,
    ResponseAttachment,
    StreamAttachment,
    respond_accepted,
    respond_error,
)
from flamingofront.request.completion import (
    CallerOptions,
    parse_completion,
    parse_options,
)
from flamingofront.request.hub import RequestHub
from flamingofront.request.jobs import create_job
from flamingofront.request.keyed import KeyedRequests
from flamingofront.request.reattach import Reattachment
from flamingofront.request.records import ModelWork, PlainWork, RequestRecord
from flamingofront.version.model import Configuration, ObjectKind, Service, ServiceKind, Workspace
from flamingofront.version.routing import select_side

__all__ = ["Gateway"]

COMPLETION_PATHS = {"/v1/chat/completions": True, "/v1/completions": False}
SERVICES_PREFIX = "/services/"
REQUESTS_PREFIX = "/v1/requests/"
NOT_READY_RETRY_SECONDS = 1.0
STORE_RETRY_SECONDS = 2.0
# Hop-by-hop headers and headers that only this system interprets.
DROPPED_HEADERS = frozenset(
    {
        "connection",
        "keep-alive",
        "transfer-encoding",
        "content-length",
        "te",
        "trailer",
        "upgrade",
        "host",
        "expect",
        "authorization",
        "x-workspace",
        "x-deadline",
        "x-request-id",
        "idempotency-key",
        "prefer",
    }
)


class Gateway:
    """Accepts or rejects callers' HTTP requests.

    Parameters
    ----------
    vm_id : str
        Id of this entry VM, with which request ids start.
    default_deadline : float
        Seconds for requests without a deadline of their own.
    workspace_limit : callable
        Returns the maximum number of requests of a workspace in flight in this process.
    rejection_kind : callable
        Returns the error kind with which all new requests are rejected; None to accept them.
    """

    def __init__(
        self,
        vm_id: str,
        hub: RequestHub,
        documents: DocumentStore,
        tasks: TaskRunner,
        keyed: KeyedRequests,
        reattachment: Reattachment,
        rng: random.Random,
        default_deadline: float,
        workspace_limit: Callable[[Workspace], int],
        rejection_kind: Callable[[], ErrorKind | None],
    ):
        self.configuration = Configuration()
        self._vm_id = vm_id
        self._hub = hub
        self._documents = documents
        self._tasks = tasks
        self._keyed = keyed
        self._reattachment = reattachment
        self._rng = rng
        self._default_deadline = default_deadline
        self._workspace_limit = workspace_limit
        self._rejection_kind = rejection_kind

    def handle(self, req: InboundRequest, exchange: Exchange) -> None:
        """Handle a request; a `RequestError` is sent as an error response."""
        request_id = self._new_id()
        try:
            self._dispatch(req, exchange, request_id)
        except RequestError as exc:
            self._hub.metrics.count("refusals_total", kind=exc.kind.value)
            respond_error(exchange, exc, request_id)

    def _new_id(self) -> str:
        return f"{self._vm_id}~{self._rng.getrandbits(64):016x}"

    def _dispatch(self, req: InboundRequest, exchange: Exchange, request_id: str) -> None:
        if req.path in COMPLETION_PATHS:
            self._require_method(req, "POST")
            self._handle_completion(req, exchange, request_id, COMPLETION_PATHS[req.path])
        elif req.path.startswith(SERVICES_PREFIX):
            self._handle_plain_call(req, exchange, request_id)
        elif req.path.startswith(REQUESTS_PREFIX):
            self._require_method(req, "GET")
            self._reattach(req, exchange)
        elif req.path == "/v1/models":
            self._require_method(req, "GET")
            self._list_models(req, exchange)
        else:
            raise RequestError(ErrorKind.NOT_FOUND, f"no such path {req.path[:80]!r}")

    def _require_method(self, req: InboundRequest, method: str) -> None:
        if req.method != method:
            raise RequestError(
                ErrorKind.METHOD_NOT_ALLOWED, f"{req.path} takes {method}, got {req.method}"
            )

    def _require_open(self) -> None:
        kind = self._rejection_kind()
        if kind is not None:
            raise RequestError(kind, retry_after=NOT_READY_RETRY_SECONDS)

    def _find_workspace(self, req: InboundRequest) -> Workspace:
        """Return the workspace that the credential or the header names."""
        if self._rejection_kind() is ErrorKind.NOT_READY:
            self._require_open()  # without a configuration every workspace would be unknown
        authorization = req.header("authorization")
        if authorization.startswith("Bearer "):
            digest = hashlib.sha256(authorization[len("Bearer ") :].strip().encode()).hexdigest()
            for each in self.configuration.objects_of(ObjectKind.WORKSPACE).values():
                if each.credential == digest:
                    return each
            raise RequestError(ErrorKind.UNKNOWN_WORKSPACE, "the credential is not known")
        name = req.header("x-workspace")
        workspace = self.configuration.find_workspace(name)
        if workspace is None or workspace.credential:
            raise RequestError(
                ErrorKind.UNKNOWN_WORKSPACE,
                f"workspace {name[:80]!r} needs a known credential",
            )
        return workspace

    def _find_service(self, route_name: str, workspace: Workspace, kind: ServiceKind) -> Service:
        route = self.configuration.find_route(route_name)
        service = self.configuration.find_service(route.service) if route is not None else None
        is_known = route is not None and service is not None and route.allows(workspace.name)
        if not is_known or service.kind is not kind:
            raise RequestError(
                ErrorKind.UNKNOWN_SERVICE, f"no {kind.value} named {route_name[:80]!r}"
            )
        return service

    def _list_models(self, req: InboundRequest, exchange: Exchange) -> None:
        workspace = self._find_workspace(req)
        cfg = self.configuration
        names = [
            route.name
            for route in cfg.objects_of(ObjectKind.ROUTE).values()
            if route.allows(workspace.name)
            and cfg.find_service(route.service).kind is ServiceKind.MODEL
        ]
        data = {"object": "list", "data": [{"id": name, "object": "model"} for name in names]}
        exchange.respond(200, JSON_HEADERS, orjson.dumps(data))

    def _handle_completion(
        self, req: InboundRequest, exchange: Exchange, request_id: str, chat: bool
    ) -> None:
        self._require_open()
        workspace = self._find_workspace(req)
        options = parse_options(req)
        parsed = parse_completion(req.body, chat)
        service = self._find_service(parsed.model, workspace, ServiceKind.MODEL)
        work = ModelWork(parsed.model, parsed.prompt, parsed.max_tokens, chat, parsed.stream)
        record = self._build_record(request_id, workspace, parsed.model, service, work, options)
        attachment: Attachment
        if parsed.stream and not options.respond_async:
            attachment = StreamAttachment(exchange, request_id, work)
        else:
            attachment = ResponseAttachment(exchange, request_id)
        self._accept(req, record, workspace, options, attachment, exchange)

    def _handle_plain_call(self, req: InboundRequest, exchange: Exchange, request_id: str) -> None:
        self._require_open()
        workspace = self._find_workspace(req)
        options = parse_options(req)
        route, slash, rest = req.path[len(SERVICES_PREFIX) :].partition("/")
        service = self._find_service(route, workspace, ServiceKind.PLAIN)
        headers = tuple(
            (name, value) for name, value in req.headers.items() if name not in DROPPED_HEADERS
        )
        path = _join_query("/" + rest, req)
        work = PlainWork(req.method, path, headers, req.body)
        record = self._build_record(request_id, workspace, route, service, work, options)
        attachment = ResponseAttachment(exchange, request_id)
        self._accept(req, record, workspace, options, attachment, exchange)

    def _build_record(
        self,
        request_id: str,
        workspace: Workspace,
        route: str,
        service: Service,
        work: ModelWork | PlainWork,
        options: CallerOptions,
    ) -> RequestRecord:
        return RequestRecord(
            request_id=request_id,
            workspace=workspace.name,
            route=route,
            service=service,
            work=work,
            side=select_side(self.configuration, service.name, workspace.name, request_id),
            deadline_left=options.deadline or self._default_deadline,
            job=options.respond_async,
            key=options.key,
        )

    def _accept(
        self,
        req: InboundRequest,
        record: RequestRecord,
        workspace: Workspace,
        options: CallerOptions,
        attachment: Attachment,
        exchange: Exchange,
    ) -> None:
        if options.key:
            self._keyed.handle(
                req, record, self._make_admission_share(workspace), attachment, exchange
            )
        elif options.respond_async:
            attachment.detach()
            self._accept_job(record, self._make_admission_share(workspace), exchange)
        else:
            request = self._hub.accept(record, self._make_admission_share(workspace))
            request.attach(attachment)
            self._hub.start_ready_requests()

    def _make_admission_share(self, workspace: Workspace) -> WorkspaceShare:
        limit = self._workspace_limit(workspace)
        return WorkspaceShare(workspace.name, workspace.weight, workspace.priority, limit)

    def _accept_job(self, record: RequestRecord, share: WorkspaceShare, exchange: Exchange) -> None:
        request = self._hub.accept(record, share)
        request.defer_start()

        def on_created(outcome: PlatformError | None) -> None:
            if outcome is None:
                self._accept_created_job(request, exchange)
            else:
                self._reject_job(request, outcome, exchange)

        task = create_job(self._documents, record, self._vm_id, self._rng)
        self._tasks.start(_catch_platform_error(task), on_created)

    def _accept_created_job(self, request: ActiveRequest, exchange: Exchange) -> None:
        """Respond with the location of the future answer and start the job."""
        respond_accepted(exchange, request.request_id)
        self._keyed.start_job(request)

    def _reject_job(self, request: ActiveRequest, error: PlatformError, exchange: Exchange) -> None:
        ran = Executed.UNKNOWN if error.maybe_applied else Executed.NO
        exc = RequestError(
            ErrorKind.STORE_UNAVAILABLE, str(error), ran, retry_after=STORE_RETRY_SECONDS
        )
        if not request.done:
            request.reject_unstarted(exc)
        respond_error(exchange, exc, request.request_id)

    def _reattach(self, req: InboundRequest, exchange: Exchange) -> None:
        workspace = self._find_workspace(req)
        request_id = req.path[len(REQUESTS_PREFIX) :]
        offset, stream = _parse_position(req, request_id)
        self._reattachment.attach_caller(request_id, workspace.name, offset, stream, exchange)


def _catch_platform_error(task: Task) -> Task:
    """Run a task; return its `PlatformError`, or None if it succeeds."""
    try:
        yield from task
    except PlatformError as exc:
        return exc
    return None


def _join_query(path: str, req: InboundRequest) -> str:
    encoded = quote(path, safe="/:@!$&'()*+,;=~-._")
    return f"{encoded}?{urlencode(req.query)}" if req.query else encoded


def _parse_position(req: InboundRequest, request_id: str) -> tuple[int, bool]:
    """Return the token offset at which the caller reattaches, and whether it wants a stream."""
    last = req.headers.get("last-event-id")
    if last is not None:
        position = parse_event_id(last)
        if position.request_id != request_id:
            raise RequestError(
                ErrorKind.MALFORMED_REQUEST,
                f"Last-Event-ID {last[:80]!r} is of another request",
            )
        return position.offset, True
    text = req.query.get("offset")
    if text is None:
        return 0, "text/event-stream" in req.header("accept")
    if not text.isdigit() or len(text) > 9:
        raise RequestError(
            ErrorKind.MALFORMED_REQUEST,
            f"offset must be a whole number, got {text[:40]!r}",
        )
    return int(text), True
