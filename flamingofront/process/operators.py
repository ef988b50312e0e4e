"""Operator interface: executes statements, returns rows or the outcome of a change."""

import random
from collections.abc import Callable, Iterable
from dataclasses import asdict
from typing import Any

import orjson

from flamingofront.connection.interfaces import Exchange
from flamingofront.connection.server import JSON_HEADERS
from flamingofront.errors import CommandError, ErrorKind, RequestError
from flamingofront.messages import InboundRequest
from flamingofront.process.dissemination import Dissemination
from flamingofront.process.documents import DocumentStore
from flamingofront.process.expiry import RETENTION_SECONDS
from flamingofront.process.held_rows import QUARANTINE_COLUMNS, RELEASE_COLUMNS
from flamingofront.process.path_rows import PATH_COLUMNS
from flamingofront.process.peers import PeerLinks
from flamingofront.process.tasks import TaskRunner
from flamingofront.process.timers import TimerService
from flamingofront.version.commit import CommitOutcome, CommitState, commit, settle_operation
from flamingofront.version.edits import Edit
from flamingofront.version.language import EditStatement, Query, Release, Settle, parse
from flamingofront.version.model import Configuration, ObjectKind
from flamingofront.version.query import run_query

__all__ = ["COLUMNS", "OperatorService"]

COLUMNS: dict[str, tuple[str, ...]] = {
    "vms": ("vm", "role", "zone", "state", "address", "incarnation", "heard", "revision", "ready"),
    "endpoints": (
        "endpoint",
        "service",
        "side",
        "zone",
        "state",
        "address",
        "class",
        "price",
        "reclaimable",
        "in_flight",
    ),
    "services": (
        "name",
        "kind",
        "model",
        "non_repeatable",
        "fencing",
        "first_token_target",
        "token_target",
        "call_timeout",
        "retry_ratio",
        "slots",
    ),
    "routes": ("name", "service", "workspaces"),
    "moves": ("name", "service", "old_side", "new_side", "share", "key"),
    "shares": ("service", "side", "share", "requests"),
    "workspaces": ("name", "credential", "max_in_flight", "weight", "priority"),
    "drains": ("name", "kind", "target", "requests"),
    "requests": (
        "request",
        "vm",
        "workspace",
        "service",
        "side",
        "endpoint",
        "phase",
        "offset",
        "attempts",
        "age",
    ),
    "leases": ("lease", "vm", "holder", "fencing", "held"),
    "configuration": ("zone", "vm", "revision", "ready", "heard"),
    "held": QUARANTINE_COLUMNS,
    "paths": PATH_COLUMNS,
    "counters": ("vm", "counter", "labels", "value"),
}
# Subjects whose rows must be collected from all processes.
PER_PROCESS_SUBJECTS = ("requests", "leases", "held", "counters", "drains", "shares", "paths")
_OBJECT_SUBJECTS = {
    "services": ObjectKind.SERVICE,
    "routes": ObjectKind.ROUTE,
    "moves": ObjectKind.MOVE,
    "workspaces": ObjectKind.WORKSPACE,
}
STATUS_OF_STATE = {
    CommitState.ACCEPTED: 200,
    CommitState.CONFLICT: 409,
    CommitState.REFUSED: 422,
    CommitState.ABANDONED: 409,
    CommitState.UNAVAILABLE: 503,
    CommitState.UNKNOWN: 504,
}


class OperatorService:
    """Executes operators' queries and changes.

    Parameters
    ----------
    local_rows : callable
        Returns this process's rows of a subject.
    on_configuration : callable
        Called with each configuration committed by this process.
    release : callable
        Releases a quarantined request and returns the rows of the response.
    """

    def __init__(
        self,
        dissemination: Dissemination,
        documents: DocumentStore,
        tasks: TaskRunner,
        timers: TimerService,
        links: PeerLinks,
        rng: random.Random,
        local_rows: Callable[[str], list[dict[str, Any]]],
        on_configuration: Callable[[Configuration], None],
        release: Callable[[str], list[dict[str, Any]]],
    ):
        self._gossip = dissemination
        self._documents = documents
        self._tasks = tasks
        self._timers = timers
        self._links = links
        self._rng = rng
        self._local_rows = local_rows
        self._release = release
        self._on_configuration = on_configuration

    def handle(self, req: InboundRequest, exchange: Exchange) -> None:
        """Execute the statements of one call; several changes are committed atomically."""
        data = _parse_body(req.body)
        try:
            statements = [parse(text) for text in data["statements"]]
            self._execute(statements, data, exchange)
        except CommandError as exc:
            raise RequestError(ErrorKind.INVALID_COMMAND, str(exc)) from exc

    def _execute(self, statements: list, data: dict, exchange: Exchange) -> None:
        if all(isinstance(each, EditStatement) for each in statements):
            edits = tuple(edit for each in statements for edit in each.edits)
            self._commit_edits(edits, data, exchange)
        elif len(statements) > 1:
            raise CommandError("only changes can be given together in one call")
        elif isinstance(statements[0], Query):
            self._respond_query(statements[0], exchange)
        elif isinstance(statements[0], Release):
            rows = self._release(statements[0].work)
            body = {"columns": RELEASE_COLUMNS, "rows": rows, "missing": []}
            exchange.respond(200, JSON_HEADERS, orjson.dumps(body))
        else:
            self._settle(statements[0], data["operator"], exchange)

    def _commit_edits(self, edits: tuple[Edit, ...], data: dict, exchange: Exchange) -> None:
        operation = data.get("operation") or f"op-{self._rng.getrandbits(64):016x}"
        base = data.get("base")
        if base is None:
            base = self._gossip.configuration.revision
        task = commit(
            self._documents,
            edits,
            base,
            data["operator"],
            operation,
            self._timers.now,
            self._rng,
            until=self._timers.wall() + RETENTION_SECONDS,
        )
        self._tasks.start(task, lambda outcome: self._handle_commit(outcome, exchange))

    def _handle_commit(self, outcome: CommitOutcome, exchange: Exchange) -> None:
        if outcome.configuration is not None:
            self._on_configuration(outcome.configuration)
        _respond_outcome(outcome, exchange)

    def _settle(self, statement: Settle, operator: str, exchange: Exchange) -> None:
        task = settle_operation(self._documents, statement.operation, operator, self._rng)
        self._tasks.start(task, lambda outcome: _respond_outcome(outcome, exchange))

    def _respond_query(self, query: Query, exchange: Exchange) -> None:
        columns = COLUMNS[query.subject]
        run_query(query, (), columns)  # rejects an unknown field before any peer is queried
        if query.subject in PER_PROCESS_SUBJECTS:
            self._links.collect_rows(
                query.subject,
                lambda rows, missing: self._handle_collected_rows(query, rows, missing, exchange),
            )
        else:
            self._respond_rows(query, self._build_rows(query.subject), [], exchange)

    def _handle_collected_rows(
        self, query: Query, rows: list[dict], missing: list[str], exchange: Exchange
    ) -> None:
        rows = rows + self._local_rows(query.subject)
        if query.subject in ("drains", "shares"):
            rows = _sum_requests(rows, COLUMNS[query.subject])
        self._respond_rows(query, rows, missing, exchange)

    def _respond_rows(
        self, query: Query, rows: Iterable[dict], missing: list[str], exchange: Exchange
    ) -> None:
        columns = query.fields or COLUMNS[query.subject]
        found = run_query(query, rows, COLUMNS[query.subject])
        body = {"columns": list(columns), "rows": found, "missing": missing}
        exchange.respond(200, JSON_HEADERS, orjson.dumps(body))

    def _build_rows(self, subject: str) -> list[dict[str, Any]]:
        kind = _OBJECT_SUBJECTS.get(subject)
        if kind is not None:
            objects = self._gossip.configuration.objects_of(kind).values()
            return [asdict(each) for each in objects]
        return self._local_rows(subject)


def _sum_requests(rows: list[dict], columns: tuple[str, ...]) -> list[dict]:
    """Sum the request counts of rows that agree in all other columns."""
    totals: dict[tuple, int] = {}
    names = [each for each in columns if each != "requests"]
    for row in rows:
        key = tuple(row[name] for name in names)
        totals[key] = totals.get(key, 0) + row["requests"]
    return [{**dict(zip(names, key, strict=True)), "requests": n} for key, n in totals.items()]


def _parse_body(body: bytes) -> dict:
    try:
        data = orjson.loads(body)
    except orjson.JSONDecodeError as exc:
        raise RequestError(ErrorKind.MALFORMED_REQUEST, f"not valid JSON: {exc}") from None
    if not isinstance(data, dict) or not isinstance(data.get("statements"), list):
        raise RequestError(ErrorKind.MALFORMED_REQUEST, "statements must be a list of texts")
    if not data["statements"] or not all(isinstance(each, str) for each in data["statements"]):
        raise RequestError(ErrorKind.MALFORMED_REQUEST, "statements must be a list of texts")
    if not isinstance(data.get("operator"), str) or not data["operator"]:
        raise RequestError(ErrorKind.MALFORMED_REQUEST, "operator must be a name")
    base = data.get("base")
    if base is not None and (not isinstance(base, int) or base < 0):
        raise RequestError(ErrorKind.MALFORMED_REQUEST, f"base must be a revision, got {base!r}")
    return data


def _respond_outcome(outcome: CommitOutcome, exchange: Exchange) -> None:
    body = {
        "state": outcome.state.value,
        "operation": outcome.operation,
        "revision": outcome.revision,
        "operator": outcome.operator,
        "faults": list(outcome.faults),
    }
    exchange.respond(STATUS_OF_STATE[outcome.state], JSON_HEADERS, orjson.dumps(body))
