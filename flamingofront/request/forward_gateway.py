"""The callers' interface of forwarded routes: from an HTTP request to an accepted request."""

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
from flamingofront.request.stop_refusal import make_shutdown_rejection
from flamingofront.request.unknown_gate import AssumedFreshness, ConfigFreshness
from flamingofront.version.forwarding import (
    ForwardedRoute,
    ForwardedWorkspace,
    ForwardingConfiguration,
    RequestKind,
)

__all__ = ["ForwardGateway"]

# The configuration is there some ten milliseconds after the first request can be.
NOT_READY_RETRY_SECONDS = 0.1
# Quotas count requests or tokens; the number in flight is bounded by the endpoints alone.
NO_WORKSPACE_LIMIT = 1_000_000
DEFAULT_PRIORITY = 5
# When to ask again for what may be known by then: a look at the store, or word of a peer.
UNCONFIRMED_RETRY_SECONDS = 0.5
# Refusals that are true only of the newest configuration.
UNKNOWN_KINDS = (ErrorKind.UNKNOWN_SERVICE, ErrorKind.UNKNOWN_WORKSPACE)


@dataclass
class _Waits:
    """Whether the caller of a request that waits is still there."""

    is_gone: bool = False

    def caller_left(self) -> None:
        """Note that nobody waits for the answer any more."""
        self.is_gone = True


@dataclass
class _Offer:
    """A request that is not accepted yet.

    Parameters
    ----------
    units : float
        What it counts against its workspace's quota.
    configuration : int
        Version of the configuration that it was read with.
    """

    req: InboundRequest
    exchange: Exchange
    record: RequestRecord
    route: ForwardedRoute
    workspace: ForwardedWorkspace | None
    units: float
    configuration: int
    is_gone: bool = False

    def caller_left(self) -> None:
        """Note that nobody waits for the answer any more."""
        self.is_gone = True

    def later(self, seconds: float) -> "_Offer":
        """Return the request after some seconds in which it waited."""
        left = self.record.deadline_left - seconds
        if left <= 0:
            raise RequestError(ErrorKind.DEADLINE_EXCEEDED, "no time is left of the deadline")
        return replace(self, record=replace(self.record, deadline_left=left))


class ForwardGateway:
    """Turns callers' HTTP requests on forwarded routes into accepted requests or refusals.

    Parameters
    ----------
    quota : QuotaPolicy
        Quotas of the workspaces over all entry processes.
    on_running : callable
        Gets each request when an endpoint begins to answer it.

    Attributes
    ----------
    quota_gate : QuotaGate
        Decides whether a request is within its quota; by the own copy if nothing else is set.
    unknown_gate : ConfigFreshness
        Tells whether what is not known here is unknown in the newest configuration.
    """

    def __init__(
        self,
        hub: RequestHub,
        protocol: ForwardProtocol,
        quota: QuotaPolicy,
        log: Log,
        on_running: Callable[[ForwardedRequest], None] = lambda request: None,
    ):
        self.configuration = ForwardingConfiguration()
        # Returns, by service and whether it is a first attempt, which versions it may go to.
        self.version_rule: Callable[[str, bool], VersionRule | None] = lambda service, first: None
        self._hub = hub
        self._protocol = protocol
        self._quota = quota
        self.quota_gate: QuotaGate = LocalQuotaGate(quota, hub.timers)
        self.config_freshness: ConfigFreshness = AssumedFreshness()
        self._log = log
        self._on_running = on_running
        self._numbers = itertools.count(1)

    def handle(self, req: InboundRequest, exchange: Exchange) -> None:
        """Take one request; every error is answered from the table."""
        try:
            self._forward(req, exchange)
        except RequestError as exc:
            if exc.kind in UNKNOWN_KINDS and not self.config_freshness.is_current():
                self._verify(req, exchange)
            else:
                self._refuse(exc, req, exchange)

    def _refuse(self, exc: RequestError, req: InboundRequest, exchange: Exchange) -> None:
        self.refused(exc, req)
        exchange.respond(*self._protocol.render_error(exc))

    def _verify(self, req: InboundRequest, exchange: Exchange) -> None:
        """Let a request wait until it is known whether a newer configuration knows its route."""
        waits = _Waits()
        exchange.on_disconnect = waits.caller_left
        self.config_freshness.verify(
            lambda is_current: waits.is_gone or self._verified(req, exchange, is_current)
        )

    def _verified(self, req: InboundRequest, exchange: Exchange, is_current: bool) -> None:
        try:
            self._forward(req, exchange)
        except RequestError as exc:
            if exc.kind in UNKNOWN_KINDS and not is_current:
                exc = RequestError(
                    ErrorKind.NOT_READY,
                    f"{exc.detail}, and a newer configuration may be in force",
                    retry_after=UNCONFIRMED_RETRY_SECONDS,
                )
            self._refuse(exc, req, exchange)

    def refused(self, exc: RequestError, req: InboundRequest | None = None) -> None:
        """Count and log a refusal."""
        self._hub.metrics.count("refusals_total", kind=exc.kind.value)
        self._log.info(
            "refused",
            request=self._protocol.request_id(req) if req is not None else "",
            kind=exc.kind.value,
            detail=exc.detail,
            status=self._protocol.render_error(exc)[0],
            retry_after=exc.retry_after,
            configuration=self.configuration.version,
            **exc.log_fields,
        )

    def _forward(self, req: InboundRequest, exchange: Exchange) -> None:
        cfg = self.configuration
        if not cfg.version:
            raise RequestError(ErrorKind.NOT_READY, retry_after=NOT_READY_RETRY_SECONDS)
        caller = self._protocol.decode(req)
        route = cfg.find_route(caller.host, caller.path)
        if route is None:
            raise RequestError(ErrorKind.UNKNOWN_SERVICE, f"no route for {caller.path[:80]!r}")
        workspace = self._workspace(caller, route)
        record = self._record(req, caller, route, workspace)
        # Before the quota: a refusal for that would ask the caller to come back.
        self._hub.guard.reject_quarantined(record)
        units = _units(caller, workspace)
        offer = _Offer(req, exchange, record, route, workspace, units, cfg.version)
        if workspace is None:
            self._accept(offer)
            return
        # Before the question: its reply could come after the end of this process.
        self._check_stop(record)
        asked_at = self._hub.now()
        exchange.on_disconnect = offer.caller_left
        self.quota_gate.decide(
            workspace, units, lambda decision: self._decided(offer, decision, asked_at)
        )

    def _decided(self, offer: "_Offer", decision: QuotaDecision, asked_at: float) -> None:
        """Take a request in whose quota was decided on, or refuse it."""
        try:
            self._refuse_over_quota(offer, decision)
            if not offer.is_gone:
                self._accept(offer.later(self._hub.now() - asked_at))
                return
            self._hub.metrics.count("refusals_total", kind="caller_gone")
        except RequestError as exc:
            self.refused(exc, offer.req)
            offer.exchange.respond(*self._protocol.render_error(exc))
        if decision.wait <= 0:
            self.quota_gate.unused(offer.workspace, offer.units, decision)

    def _accept(self, offer: "_Offer") -> None:
        """Take a request in, unless this process or its endpoints have no time for it."""
        self._check_stop(offer.record)
        request = self._hub.accept(offer.record, _share(offer.route, offer.workspace))
        if offer.workspace is not None:
            self._quota.consume(offer.workspace, offer.units, self._hub.now())
        request.on_response_start = self._on_running
        request.version_rule_of = self._version_rule
        request.on_end = lambda ended: self._ended(ended, offer)
        caller_id = offer.record.work.caller_id
        request.attach(ForwardAttachment(offer.exchange, caller_id, self._protocol))
        self._hub.start_ready_requests()

    def _version_rule(self, request: ForwardedRequest) -> VersionRule | None:
        return self.version_rule(request.record.service.name, not request.endpoints)

    def _workspace(self, caller: CallerRequest, route: ForwardedRoute) -> ForwardedWorkspace | None:
        cfg = self.configuration
        workspace = cfg.find_workspace_by_key(caller.key) if caller.key else None
        if workspace is None and route.needs_key and cfg.workspaces:
            raise RequestError(ErrorKind.UNKNOWN_WORKSPACE, "the API key is not known")
        return workspace

    def _refuse_over_quota(self, offer: "_Offer", decision: QuotaDecision) -> None:
        if decision.wait <= 0:
            return
        workspace = offer.workspace
        state = decision.state or self._quota.get_state(workspace, self._hub.now())
        log_fields = {
            "workspace": workspace.name,
            "units": offer.units,
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

    def _check_stop(self, record: RequestRecord) -> None:
        """Refuse what would be broken off by the end of this process; another one can serve it."""
        refusal = make_shutdown_rejection(self._hub, record, record.deadline_left)
        if refusal is not None:
            raise refusal

    def _record(
        self,
        req: InboundRequest,
        caller: CallerRequest,
        route: ForwardedRoute,
        workspace: ForwardedWorkspace | None,
    ) -> RequestRecord:
        spent = self._hub.now() - req.head_received_at
        left = route.timeout - spent
        if caller.deadline is not None:
            left = min(left, caller.deadline - spent)
        if left <= 0:
            raise RequestError(ErrorKind.DEADLINE_EXCEEDED, "no time is left of the deadline")
        name = route.select_backend(caller.request_id)
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
        )
        return RequestRecord(
            request_id=f"{caller.request_id}#{next(self._numbers)}",
            workspace=work.workspace,
            route=route.name,
            service=self.configuration.build_service(route, name, slots),
            work=work,
            deadline_left=left,
        )

    def _ended(self, request: ForwardedRequest, offer: "_Offer") -> None:
        now = self._hub.now()
        if offer.workspace is not None and request.first_response_at is None:
            self._quota.refund(offer.workspace, offer.units, now)
        first = request.first_response_at
        self._log.info(
            "request ended",
            request=request.request_id,
            work=request.fingerprint,
            route=offer.route.name,
            service=request.record.service.name,
            workspace=request.record.workspace,
            configuration=offer.configuration,
            status=request.status,
            failure=request.failure,
            ran=request.machine.ran.value,
            endpoints=request.endpoints,
            events=request.relay.count,
            output=request.work.output_tokens,
            first_ms=None if first is None else round((first - request.accepted_at) * 1000),
            total_ms=round((now - request.accepted_at) * 1000),
        )


def _units(caller: CallerRequest, workspace: ForwardedWorkspace | None) -> float:
    """Return what a request counts against its workspace's quota."""
    if workspace is None or not workspace.counts_tokens:
        return 1.0
    if not caller.counts_tokens:
        return workspace.plain_tokens
    return float(caller.prompt_tokens + caller.output_tokens)


def _share(route: ForwardedRoute, workspace: ForwardedWorkspace | None) -> WorkspaceShare:
    """Return how admission sees the request: the workspace's priority goes before the route's."""
    priority = route.priority
    if workspace is not None and workspace.priority is not None:
        priority = workspace.priority
    name = workspace.name if workspace is not None else ""
    return WorkspaceShare(name, 1.0, priority, NO_WORKSPACE_LIMIT)
