"""Queries of operators to a forwarding entry process, made with `flamingofront show`.

The results show the local view of this process, with the staleness of its sources. The
configuration of forwarded routes is managed by the platform's operator, so changes are rejected.
"""

from typing import TYPE_CHECKING, Any

import orjson

from flamingofront.connection.interfaces import Exchange
from flamingofront.connection.server import JSON_HEADERS
from flamingofront.errors import CommandError, ErrorKind, RequestError
from flamingofront.messages import InboundRequest
from flamingofront.process.forwarding.reports import PeerReport
from flamingofront.process.held_rows import (
    QUARANTINE_COLUMNS,
    RELEASE_COLUMNS,
    held_rows,
    release_rows,
)
from flamingofront.process.membership import Fact, Role, VmState
from flamingofront.process.path_rows import PATH_COLUMNS, path_rows
from flamingofront.version.language import Query, Release, Statement, parse
from flamingofront.version.query import run_query

if TYPE_CHECKING:
    from flamingofront.process.forwarding.node import ForwardingNode

__all__ = ["COLUMNS", "OperatorQueries"]

Rows = list[dict[str, Any]]

COLUMNS: dict[str, tuple[str, ...]] = {
    "vms": (
        "vm",
        "zone",
        "ip",
        "incarnation",
        "heard",
        "configuration",
        "configuration_age",
        "endpoints_age",
        "store",
        "fencing",
    ),
    "endpoints": (
        "endpoint",
        "service",
        "version",
        "zone",
        "state",
        "address",
        "slots",
        "reclaimable",
        "in_flight",
        "load",
        "backlog",
        "rate_limit",
        "closed_for",
        "withheld",
    ),
    "paths": PATH_COLUMNS,
    "services": ("name", "kind", "max_connections", "slots", "least", "most"),
    "routes": ("name", "host", "prefix", "kind", "services", "timeout", "objective", "attempts"),
    "workspaces": ("name", "keys", "priority", "rate", "burst", "spent"),
    "leases": ("lease", "vm", "holder", "fencing", "held", "past"),
    "configuration": ("vm", "zone", "revision", "table", "version", "age", "source"),
    "requests": ("request", "workspace", "service", "endpoint", "phase", "attempts", "age"),
    "held": QUARANTINE_COLUMNS,
    "counters": ("vm", "counter", "labels", "value"),
}


class OperatorQueries:
    """Runs the queries of operators."""

    def __init__(self, node: "ForwardingNode"):
        self._node = node

    def handle(self, req: InboundRequest, exchange: Exchange) -> None:
        """Run the query of one request and respond with its result.

        Raises
        ------
        RequestError
            If the request is malformed, or its statement is invalid or not a query.
        """
        try:
            statements = [parse(text) for text in orjson.loads(req.body)["statements"]]
            self._run_statements(statements, exchange)
        except (orjson.JSONDecodeError, KeyError, TypeError) as exc:
            detail = f"the body must name statements: {exc!r}"
            raise RequestError(ErrorKind.MALFORMED_REQUEST, detail) from None
        except CommandError as exc:
            raise RequestError(ErrorKind.INVALID_COMMAND, str(exc)) from exc

    def _run_statements(self, statements: list[Statement], exchange: Exchange) -> None:
        query = statements[0]
        if len(statements) == 1 and isinstance(query, Release):
            vm_id, guard = self._node.settings.vm_id, self._node.hub.guard
            rows = release_rows(vm_id, guard, query.work)
            body = {"columns": RELEASE_COLUMNS, "rows": rows, "missing": []}
            exchange.respond(200, JSON_HEADERS, orjson.dumps(body))
            return
        if len(statements) != 1 or not isinstance(query, Query):
            raise CommandError(
                "the configuration of forwarded routes belongs to the platform's operator and is "
                "read-only here; only show and release are possible"
            )
        columns = COLUMNS.get(query.subject)
        if columns is None:
            subjects = ", ".join(COLUMNS)
            raise CommandError(f"no {query.subject} are kept here; subjects are {subjects}")
        rows = run_query(query, getattr(self, f"_{query.subject}")(), columns)
        body = {"columns": list(query.fields or columns), "rows": rows, "missing": []}
        exchange.respond(200, JSON_HEADERS, orjson.dumps(body))

    def _vms(self) -> Rows:
        node = self._node
        now = node.timers.now()
        reports = [node.build_report(), *node.peers.table.members(now)]
        return [
            {
                "vm": each.vm_id,
                "zone": each.zone,
                "ip": each.ip,
                "incarnation": each.incarnation,
                "heard": round(node.peers.table.seconds_since_report(each.vm_id, now) or 0.0, 2),
                "configuration": each.configuration,
                "configuration_age": self._current_age(each, each.ages[0]),
                "endpoints_age": self._current_age(each, each.ages[1]),
                "store": _describe_store_access(each),
                "fencing": each.fencing,
            }
            for each in reports
        ]

    def _current_age(self, report: PeerReport, reported_age: float | None) -> float | None:
        """Return a staleness from a report plus the time since that report, in seconds."""
        gap = (
            self._node.peers.table.seconds_since_report(report.vm_id, self._node.timers.now())
            or 0.0
        )
        return None if reported_age is None else round(reported_age + gap, 2)

    def _held(self) -> Rows:
        return held_rows(self._node.settings.vm_id, self._node.hub.guard)

    def _endpoints(self) -> Rows:
        directory = self._node.directory
        backlog = directory.backlog_by_endpoint()
        return [
            {
                "endpoint": fact.vm_id,
                "service": fact.service,
                "version": fact.side,
                "zone": fact.zone,
                "state": fact.state.value,
                "address": fact.address,
                "slots": fact.slots,
                "reclaimable": fact.reclaimable,
                "in_flight": directory.in_flight_at(fact.vm_id),
                "load": directory.load_of(fact.vm_id),
                "backlog": backlog.get(fact.vm_id, 0),
                "rate_limit": self._node.hub.limits.rate_of(fact.vm_id),
                **self._describe_unavailability(fact),
            }
            for fact in self._node.facts.all()
            if fact.role is Role.ENDPOINT
        ]

    def _describe_unavailability(self, fact: Fact) -> dict[str, Any]:
        """Return why this process sends no requests to an endpoint, and for how many seconds."""
        hub = self._node.hub
        pause, permit = hub.backoffs.remaining_seconds(fact.vm_id), hub.permits.wait_seconds(
            (fact.vm_id,)
        )
        reason = None
        if hub.directory.is_unavailable(fact.vm_id):
            reason = "leaves" if fact.state is VmState.LEAVING else "gone"
        elif pause > 0:
            reason = "requested a pause"
        elif permit > 0:
            reason = "no permit"
        elif not hub.directory.is_reachable(fact.vm_id, hub.now()):
            reason = "not reached"
        elif hub.directory.health.list_ejected((fact.vm_id,), hub.now()):
            reason = "errors"
        return {"closed_for": round(max(pause, permit), 3) or None, "withheld": reason}

    def _paths(self) -> Rows:
        return path_rows(self._node.hub)

    def _services(self) -> Rows:
        return [
            {
                "name": each.name,
                "kind": "model" if each.is_model else "plain",
                "max_connections": each.max_connections,
                "slots": each.slots or self._node.directory.advertised_slots(each.name),
                "least": each.scaling.least if each.scaling else None,
                "most": each.scaling.most if each.scaling else None,
            }
            for each in self._node.configuration.services.values()
        ]

    def _routes(self) -> Rows:
        return [
            {
                "name": each.name,
                "host": each.host,
                "prefix": each.prefix,
                "kind": each.kind.value,
                "services": ",".join(f"{b.service}:{b.weight:g}" for b in each.backends),
                "timeout": each.timeout,
                "objective": each.latency_objective,
                "attempts": each.max_attempts,
            }
            for each in self._node.configuration.routes
        ]

    def _workspaces(self) -> Rows:
        spent = self._node.quota.get_consumed()
        return [
            {
                "name": each.name,
                "keys": len(each.keys),
                "priority": each.priority,
                "rate": each.rate,
                "burst": each.burst,
                "spent": spent.get(each.name, 0.0),
            }
            for each in self._node.configuration.workspaces
        ]

    def _leases(self) -> Rows:
        lease = self._node.lease
        return [
            {
                "lease": "duties",
                "vm": self._node.settings.vm_id,
                "holder": lease.state.holder,
                "fencing": lease.state.fencing,
                "held": lease.valid_lease() is not None,
                "past": ",".join(lease.state.past),
            }
        ]

    def _configuration(self) -> Rows:
        node = self._node
        ages = (node.store_view.configuration_age(), node.store_view.endpoints_age())
        return [
            {
                "vm": node.settings.vm_id,
                "zone": node.settings.zone,
                "revision": node.configuration.version,
                "table": each.table,
                "version": each.version,
                "age": None if age is None else round(age, 3),
                "source": "others" if each.is_standby else "store",
            }
            for each, age in zip(node.store_view.watchers, ages, strict=True)
        ]

    def _requests(self) -> Rows:
        now = self._node.timers.now()
        return [
            {
                "request": each.request_id,
                "workspace": each.record.workspace,
                "service": each.record.service.name,
                "endpoint": each.endpoint_id or None,
                "phase": each.machine.phase.value,
                "attempts": each.machine.attempts,
                "age": round(now - each.accepted_at, 3),
            }
            for each in self._node.hub.active.values()
        ]

    def _counters(self) -> Rows:
        vm = self._node.settings.vm_id
        return [{"vm": vm, **each} for each in self._node.metrics.rows()]


def _describe_store_access(report: PeerReport) -> str:
    """Return how a process receives changes of the store, as shown to operators."""
    if report.store_unreachable:
        return "cut off"
    return "reached" if report.watches_store else "by others"
