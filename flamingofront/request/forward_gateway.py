"""Gateway of forwarded routes: checks callers' HTTP requests and accepts or rejects them."""

import itertools
from collections.abc import Callable
from dataclasses import asdict, dataclass, replace

from flamingofront.connection.interfaces import Exchange
from flamingofront.decisions.admission import WorkspaceShare
from flamingofront.decisions.quota import QuotaPolicy
from flamingofront.decisions.rollout import VersionRule
from flamingofront.errors import ErrorKind, RequestError
from flamingofront.messages import InboundRequest
from flamingofront.process.logs import Log
from flamingofront.request.forward_attachment import ForwardAttachment
from flamingofront.request.forward_work import CallerRequest, ForwardProtocol, ForwardWork
from flamingofront.request.forwarded_request import ForwardedRequest
from flamingofront.request.hub import RequestHub
from flamingofront.request.quota_gate import LocalQuotaGate, QuotaDecision, QuotaGate
from flamingofront.request.records import RequestRecord
from flamingofront.request.resumption import Resumption
from flamingofront.request.stop_refusal import make_shutdown_rejection, reject_at_end
from flamingofront.request.stream_origins import OriginLookup, OriginQuery, compute_origin_key
from flamingofront.request.unknown_gate import AssumedFreshness, ConfigFreshness
from flamingofront.version.forwarding import (
    ForwardedRoute,
    ForwardedWorkspace,
    ForwardingConfiguration,
    RequestKind,
)

__all__ = ["ForwardGateway"]

# The configuration is loaded some 10 ms after the first request can arrive.
NOT_READY_RETRY_SECONDS = 0.1
# Quotas limit requests or tokens per second; only the endpoints limit the number in flight.
MAX_WORKSPACE_IN_FLIGHT = 1_000_000
DEFAULT_PRIORITY = 5
# Time for the store or a peer to deliver a newer configuration.
UNCONFIRMED_RETRY_SECONDS = 0.5
# Errors that are valid only if the local configuration is the newest one.
UNKNOWN_KINDS = (ErrorKind.UNKNOWN_SERVICE, ErrorKind.UNKNOWN_WORKSPACE)


@dataclass
class _CallerPresence:
    """Whether the caller of a waiting request is still connected."""

    is_disconnected: bool = False

    def mark_disconnected(self) -> None:
        """Record that the caller has disconnected."""
        self.is_disconnected = True


@dataclass
class _PendingRequest:
    """A request that is not accepted yet.

    Parameters
    ----------
    units : float
        Quota units of its workspace that it consumes, in requests or tokens.
    configuration : int
        Version of the configuration that it was decoded with.
    """

    req: InboundRequest
    exchange: Exchange
    record: RequestRecord
    route: ForwardedRoute
    workspace: ForwardedWorkspace | None
    units: float
    configuration: int
    is_disconnected: bool = False

    def mark_disconnected(self) -> None:
        """Record that the caller has disconnected."""
        self.is_disconnected = True

    def after_wait(self, seconds: float) -> "_PendingRequest":
        """Return a copy whose deadline is reduced by the seconds that the request waited."""
        seconds_left = self.record.deadline_left - seconds
        if seconds_left <= 0:
            raise RequestError(ErrorKind.DEADLINE_EXCEEDED, "no time is left of the deadline")
        return replace(self, record=replace(self.record, deadline_left=seconds_left))


class ForwardGateway:
    """Accepts or rejects callers' HTTP requests on forwarded routes.

    Parameters
    ----------
    hub : RequestHub
        Runs the accepted requests.
    protocol : ForwardProtocol
        Header names and formats of forwarded requests.
    quota : QuotaPolicy
        Quotas of the workspaces over all entry processes.
    log : Log
        Log of rejections and finished requests.
    on_response_start : callable
        Called with each request when its endpoint starts to respond.

    Attributes
    ----------
    quota_gate : QuotaGate
        Decides whether a request is within its quota; by local state by default.
    config_freshness : ConfigFreshness
        Checks whether the local configuration is the newest one.
    version_rule : callable
        Returns the endpoint versions that an attempt may use, by service name and whether it is
        the first attempt; None for any version.
    """

    def __init__(
        self,
        hub: RequestHub,
        protocol: ForwardProtocol,
        quota: QuotaPolicy,
        log: Log,
        on_response_start: Callable[[ForwardedRequest], None] = lambda request: None,
    ):
        self.configuration = ForwardingConfiguration()
        self.version_rule: Callable[[str, bool], VersionRule | None] = lambda service, first: None
        self._hub = hub
        self._protocol = protocol
        self._quota = quota
        self.quota_gate: QuotaGate = LocalQuotaGate(quota, hub.timers)
        self.config_freshness: ConfigFreshness = AssumedFreshness()
        self._log = log
        self._on_response_start = on_response_start
        self._numbers = itertools.count(1)
        self._resumption = Resumption(hub)

    def handle(self, req: InboundRequest, exchange: Exchange) -> None:
        """Accept or reject a request; a `RequestError` is sent as an error response."""
        self._accept_or_reject(req, exchange)

    def _accept_or_reject(
        self, req: InboundRequest, exchange: Exchange, resumed: OriginLookup | None = None
    ) -> None:
        try:
            self._accept_or_raise(req, exchange, resumed)
        except RequestError as exc:
            if exc.kind in UNKNOWN_KINDS and not self.config_freshness.is_current():
                self._recheck_route(req, exchange)
            else:
                self._reject(exc, req, exchange)

    def _reject(self, exc: RequestError, req: InboundRequest, exchange: Exchange) -> None:
        self.record_rejection(exc, req)
        exchange.respond(*self._protocol.render_error(exc))

    def _recheck_route(self, req: InboundRequest, exchange: Exchange) -> None:
        """Check for a newer configuration, then look up the route or workspace again."""
        caller_presence = _CallerPresence()
        exchange.on_disconnect = caller_presence.mark_disconnected
        self.config_freshness.verify(
            lambda is_current: caller_presence.is_disconnected
            or self._on_config_checked(req, exchange, is_current)
        )

    def _on_config_checked(self, req: InboundRequest, exchange: Exchange, is_current: bool) -> None:
        try:
            self._accept_or_raise(req, exchange)
        except RequestError as exc:
            if exc.kind in UNKNOWN_KINDS and not is_current:
                exc = RequestError(
                    ErrorKind.NOT_READY,
                    f"{exc.detail}, and a newer configuration may be in force",
                    retry_after=UNCONFIRMED_RETRY_SECONDS,
                )
            self._reject(exc, req, exchange)

    def record_rejection(self, exc: RequestError, req: InboundRequest | None = None) -> None:
        """Count and log a rejection."""
        self._hub.metrics.count("refusals_total", kind=exc.kind.value)
        self._log.info(
            "request rejected",
            request=self._protocol.request_id(req) if req is not None else "",
            kind=exc.kind.value,
            detail=exc.detail,
            status=self._protocol.render_error(exc)[0],
            retry_after=exc.retry_after,
            configuration=self.configuration.version,
            **exc.log_fields,
        )

    def _look_up_origin(
        self,
        req: InboundRequest,
        exchange: Exchange,
        caller: CallerRequest,
        route: ForwardedRoute,
        workspace: ForwardedWorkspace | None,
    ) -> None:
        """Find out where a stream began that its caller resumes, then accept or reject it."""
        name = workspace.name if workspace is not None else ""
        query = OriginQuery(
            compute_origin_key(name, route.name, caller.origin_id) if caller.origin_id else "",
            tuple(each.service for each in route.backends),
            route.timeout,
        )
        caller_presence = _CallerPresence()
        exchange.on_disconnect = caller_presence.mark_disconnected

        def accept(found: OriginLookup) -> None:
            if not caller_presence.is_disconnected:
                self._accept_or_reject(req, exchange, found)

        self._hub.origins.look_up(query, accept)

    def _accept_or_raise(
        self, req: InboundRequest, exchange: Exchange, resumed: OriginLookup | None = None
    ) -> None:
        """Accept a request, or raise a `RequestError`.

        Parameters
        ----------
        resumed : OriginLookup, optional
            Where the stream began that the caller resumes; it is looked up first if not given.
        """
        cfg = self.configuration
        if not cfg.version:
            raise RequestError(ErrorKind.NOT_READY, retry_after=NOT_READY_RETRY_SECONDS)
        # Before all lookups: the process could exit while a request waits for them.
        reject_at_end(self._hub)
        caller = self._protocol.decode(req)
        route = cfg.find_route(caller.host, caller.path)
        if route is None:
            raise RequestError(ErrorKind.UNKNOWN_SERVICE, f"no route for {caller.path[:80]!r}")
        workspace = self._find_workspace(caller, route)
        if route.resumable and (caller.origin_id or caller.last_event) and resumed is None:
            self._look_up_origin(req, exchange, caller, route, workspace)
            return
        record = self._build_record(req, caller, route, workspace, resumed)
        # Before the quota: a quota rejection would ask the caller to retry.
        self._hub.guard.reject_quarantined(record)
        # Before the arbiter request, whose reply would have to be read, too.
        self._hub.reject_if_outdated()
        units = _count_quota_units(caller, workspace)
        pending = _PendingRequest(req, exchange, record, route, workspace, units, cfg.version)
        if workspace is None:
            self._accept(pending)
            return
        # Before the arbiter request: its reply could arrive after this process exits.
        self._check_shutdown(record)
        requested_at = self._hub.now()
        exchange.on_disconnect = pending.mark_disconnected
        self.quota_gate.decide(
            workspace,
            units,
            lambda decision: self._on_quota_decision(pending, decision, requested_at),
        )

    def _on_quota_decision(
        self, pending: "_PendingRequest", decision: QuotaDecision, requested_at: float
    ) -> None:
        """Accept or reject a request by its quota decision."""
        try:
            self._check_quota(pending, decision)
            if not pending.is_disconnected:
                self._accept(pending.after_wait(self._hub.now() - requested_at))
                return
            self._hub.metrics.count("refusals_total", kind="caller_gone")
        except RequestError as exc:
            self.record_rejection(exc, pending.req)
            pending.exchange.respond(*self._protocol.render_error(exc))
        if decision.wait <= 0:
            self.quota_gate.return_unused(pending.workspace, pending.units, decision)

    def _accept(self, pending: "_PendingRequest") -> None:
        """Accept a request, unless this process may shut down first or admission rejects it."""
        self._check_shutdown(pending.record)
        request = self._hub.accept(
            pending.record, _make_admission_share(pending.route, pending.workspace)
        )
        if pending.workspace is not None:
            self._quota.consume(pending.workspace, pending.units, self._hub.now())
        request.on_response_start = self._on_response_start
        request.version_rule_of = self._version_rule
        request.on_end = lambda finished: self._on_request_end(finished, pending)
        caller_id = pending.record.work.caller_id
        request.attach(ForwardAttachment(pending.exchange, caller_id, self._protocol))
        try:
            self._hub.start_ready_requests()
        except RequestError as exc:
            # As a rejection it would be sent to a caller whose request goes on.
            raise RuntimeError("an accepted request was not started") from exc

    def _version_rule(self, request: ForwardedRequest) -> VersionRule | None:
        return self.version_rule(request.record.service.name, not request.endpoints)

    def _find_workspace(
        self, caller: CallerRequest, route: ForwardedRoute
    ) -> ForwardedWorkspace | None:
        cfg = self.configuration
        workspace = cfg.find_workspace_by_key(caller.key) if caller.key else None
        if workspace is None and route.needs_key and cfg.workspaces:
            raise RequestError(ErrorKind.UNKNOWN_WORKSPACE, "the API key is not known")
        return workspace

    def _check_quota(self, pending: "_PendingRequest", decision: QuotaDecision) -> None:
        if decision.wait <= 0:
            return
        workspace = pending.workspace
        state = decision.state or self._quota.get_state(workspace, self._hub.now())
        log_fields = {
            "workspace": workspace.name,
            "units": pending.units,
            "rate": workspace.rate,
            "burst": workspace.burst,
            "arbiter": decision.arbiter,
            **asdict(state),
        }
        raise RequestError(
            ErrorKind.LIMIT_EXCEEDED,
            f"workspace {workspace.name} is over its quota of {workspace.rate:g} a second",
            retry_after=decision.wait,
            log_fields=log_fields,
        )

    def _check_shutdown(self, record: RequestRecord) -> None:
        """Raise if the request may outlast this process, so that another process serves it."""
        rejection = make_shutdown_rejection(self._hub, record, record.deadline_left)
        if rejection is not None:
            raise rejection

    def _build_record(
        self,
        req: InboundRequest,
        caller: CallerRequest,
        route: ForwardedRoute,
        workspace: ForwardedWorkspace | None,
        resumed: OriginLookup | None = None,
    ) -> RequestRecord:
        spent = self._hub.now() - req.head_received_at
        seconds_left = route.timeout - spent
        if caller.deadline is not None:
            seconds_left = min(seconds_left, caller.deadline - spent)
        if seconds_left <= 0:
            raise RequestError(ErrorKind.DEADLINE_EXCEEDED, "no time is left of the deadline")
        name = route.select_backend(caller.request_id)
        if resumed is not None:
            name = self._resumption.check(caller, route, resumed)
        slots = self._hub.directory.advertised_slots(name)
        work = ForwardWork(
            method=req.method,
            target=req.target,
            host=caller.host,
            fields=caller.fields,
            body=req.body,
            stream=route.kind is RequestKind.STREAM,
            repeatable=route.can_repeat,
            resumable=route.resumable,
            max_attempts=route.max_attempts,
            caller_id=caller.request_id,
            workspace=workspace.name if workspace is not None else "",
            prompt=caller.prompt,
            prompt_tokens=caller.prompt_tokens,
            output_tokens=caller.output_tokens,
            origin_id=caller.origin_id if route.resumable else "",
            last_event=caller.last_event if route.resumable else "",
            resumed=resumed,
            expected_tokens=caller.expected_tokens,
        )
        return RequestRecord(
            request_id=f"{caller.request_id}#{next(self._numbers)}",
            workspace=work.workspace,
            route=route.name,
            service=self.configuration.build_service(route, name, slots),
            work=work,
            deadline_left=seconds_left,
        )

    def _on_request_end(self, request: ForwardedRequest, pending: "_PendingRequest") -> None:
        now = self._hub.now()
        if pending.workspace is not None and request.first_response_at is None:
            self._quota.refund(pending.workspace, pending.units, now)
        sent, first = request.first_sent_at, request.first_response_at
        self._log.info(
            "request ended",
            request=request.request_id,
            work=request.fingerprint,
            route=pending.route.name,
            service=request.record.service.name,
            workspace=request.record.workspace,
            configuration=pending.configuration,
            status=request.status,
            failure=request.failure,
            ran=request.machine.ran.value,
            endpoints=request.endpoints,
            events=request.relay.count,
            output=request.work.output_tokens,
            objective_ms=round(request.record.service.first_token_target * 1000),
            zone_of_endpoint=self._hub.directory.zone_of(request.endpoint_id),
            sent_ms=None if sent is None else round((sent - request.accepted_at) * 1000),
            first_ms=None if first is None else round((first - request.accepted_at) * 1000),
            total_ms=round((now - request.accepted_at) * 1000),
        )


def _count_quota_units(caller: CallerRequest, workspace: ForwardedWorkspace | None) -> float:
    """Return the quota units that a request consumes, in requests or tokens."""
    if workspace is None or not workspace.counts_tokens:
        return 1.0
    if not caller.counts_tokens:
        return workspace.plain_tokens
    return float(caller.prompt_tokens + caller.output_tokens)


def _make_admission_share(
    route: ForwardedRoute, workspace: ForwardedWorkspace | None
) -> WorkspaceShare:
    """Return the admission share; a workspace's priority overrides the route's."""
    priority = route.priority
    if workspace is not None and workspace.priority is not None:
        priority = workspace.priority
    name = workspace.name if workspace is not None else ""
    return WorkspaceShare(name, 1.0, priority, MAX_WORKSPACE_IN_FLIGHT)
