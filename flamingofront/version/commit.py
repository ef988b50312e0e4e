"""Commit changes of the configuration: compare-and-swap with an operation id.

The head row holds the revision of the active configuration. A change writes the head, the
configuration and a row for its operation id in one transaction. A writer that did not receive the
response can therefore read the outcome, and a repeated change is not applied twice.
"""

import contextlib
import random
from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum

from flamingofront.errors import ConfigurationError, PlatformError
from flamingofront.messages import Sleep
from flamingofront.process.backoff import Backoff
from flamingofront.process.documents import Condition, Document, DocumentStore, Write
from flamingofront.process.expiry import RETENTION_SECONDS, build_expiry_write
from flamingofront.process.tasks import Task
from flamingofront.version.edits import Edit, apply_edits
from flamingofront.version.model import (
    Configuration,
    configuration_from_json,
    configuration_to_json,
)

__all__ = [
    "CommitOutcome",
    "CommitState",
    "commit",
    "load_configuration",
    "load_revision",
    "settle_operation",
]

HEAD_KEY = "config/head"
DOCUMENT_KEY = "config/document"
OPERATION_PREFIX = "config/operation/"
DEFAULT_BACKOFF = Backoff(0.05, 0.5)
_ACCEPTED = "accepted"
_ABANDONED = "abandoned"


class CommitState(StrEnum):
    """Outcome of a change as reported to the operator."""

    ACCEPTED = "accepted"
    CONFLICT = "conflict"
    REFUSED = "refused"
    UNAVAILABLE = "unavailable"
    UNKNOWN = "unknown"
    ABANDONED = "abandoned"


@dataclass(frozen=True)
class CommitOutcome:
    """Result of a change.

    Parameters
    ----------
    revision : int
        Revision of the change, or of the conflicting change that was committed first.
    operator : str
        Operator who made that revision.
    configuration : Configuration, optional
        The new configuration, if this call committed it.
    faults : tuple of str
        Reasons why the change was not accepted; in a conflict, the key of the object.
    """

    state: CommitState
    operation: str
    revision: int = 0
    operator: str = ""
    configuration: Configuration | None = None
    faults: tuple[str, ...] = ()


def _parse_configuration(row: Document) -> Configuration:
    return Configuration() if row.value is None else configuration_from_json(row.value)


def load_configuration(documents: DocumentStore) -> Task:
    """Return the active configuration from the table service."""
    (row,) = yield from documents.read([DOCUMENT_KEY])
    return _parse_configuration(row)


def load_revision(documents: DocumentStore) -> Task:
    """Return the revision of the active configuration without reading the whole configuration."""
    (row,) = yield from documents.read([HEAD_KEY])
    return 0 if row.value is None else int(row.value["revision"])


def _parse_operation_outcome(operation: str, row: Document) -> CommitOutcome:
    state = CommitState(row.value["state"])
    return CommitOutcome(state, operation, row.value["revision"], row.value["operator"])


def _find_conflict(
    cfg: Configuration, edits: tuple[Edit, ...], base: int, operation: str
) -> CommitOutcome | None:
    """Return the outcome if an edited object was changed after revision `base`, otherwise None."""
    for edit in edits:
        change = cfg.changes.get(edit.key)
        if change is not None and change.revision > base:
            return CommitOutcome(
                CommitState.CONFLICT,
                operation,
                change.revision,
                change.operator,
                faults=(edit.key,),
            )
    return None


class _PendingCommit:
    """A change that is being committed to the table service."""

    def __init__(
        self,
        documents: DocumentStore,
        edits: tuple[Edit, ...],
        base: int,
        operator: str,
        operation: str,
        until: float,
    ):
        self._until = until
        self._documents = documents
        self._edits = edits
        self._base = base
        self._operator = operator
        self._operation = operation
        self.maybe_written = False

    def attempt(self) -> Task:
        """Try to commit once; return the outcome, None if the head changed meanwhile."""
        operation_key = OPERATION_PREFIX + self._operation
        # The operation's row is read last. If an earlier write of this change takes effect between
        # the reads, the new document must not be mistaken for a change by another operator.
        rows = yield from self._documents.read([HEAD_KEY, DOCUMENT_KEY, operation_key])
        head, document, outcome_row = rows
        if outcome_row.value is not None:
            return _parse_operation_outcome(self._operation, outcome_row)
        cfg = _parse_configuration(document)
        conflict = _find_conflict(cfg, self._edits, self._base, self._operation)
        if conflict is not None:
            return conflict
        try:
            new = apply_edits(cfg, self._edits, self._operator, self._operation)
        except ConfigurationError as exc:
            return CommitOutcome(CommitState.REFUSED, self._operation, faults=exc.faults)
        outcome = yield from self._write_change(head, operation_key, new)
        if outcome is not None:
            yield from self._delete_replaced_object(document)
        return outcome

    def _delete_replaced_object(self, document: Document) -> Task:
        """Delete the stored object of the replaced configuration, if it had one."""
        # The change is committed already; an object that is left over only takes up space.
        with contextlib.suppress(PlatformError):
            yield from self._documents.drop_object(document)

    def _write_change(self, head: Document, operation_key: str, new: Configuration) -> Task:
        outcome_row = {
            "state": _ACCEPTED,
            "revision": new.revision,
            "operator": self._operator,
            "until": self._until,
        }
        conditions = (Condition(HEAD_KEY, head.revision), Condition(operation_key, 0))
        writes = (
            Write(HEAD_KEY, {"revision": new.revision}),
            Write(DOCUMENT_KEY, configuration_to_json(new)),
            Write(operation_key, outcome_row),
            build_expiry_write(operation_key, self._until),
        )
        try:
            result = yield from self._documents.transact(conditions, writes)
        except PlatformError as exc:
            self.maybe_written = self.maybe_written or exc.maybe_applied
            raise
        if not result.ok:
            return None
        return CommitOutcome(
            CommitState.ACCEPTED, self._operation, new.revision, self._operator, new
        )


def commit(
    documents: DocumentStore,
    edits: tuple[Edit, ...],
    base: int,
    operator: str,
    operation: str,
    now: Callable[[], float],
    rng: random.Random,
    budget: float = 6.0,
    backoff: Backoff = DEFAULT_BACKOFF,
    until: float = RETENTION_SECONDS,
) -> Task:
    """Commit a change to the table service, retrying until the time budget is used up.

    Parameters
    ----------
    base : int
        Revision that the operator's view was based on; a later change of the same object is
        reported as a conflict.
    operation : str
        Unique id of the change; a repeated change with the same id is applied only once.
    budget : float
        Seconds after which the call stops retrying and reports that the outcome is not known.
    until : float
        Seconds since the epoch at which the operation's row may be removed.

    Returns
    -------
    CommitOutcome
        The state is ``UNKNOWN`` only if a write was sent and its effect could not be read back.

    Notes
    -----
    A retry after a lost response is safe: the earlier write and the new one both require that the
    operation's row is absent. A conflict or rejection found after a lost response is final: the
    earlier write required a head revision that is no longer current.
    """
    pending = _PendingCommit(documents, edits, base, operator, operation, until)
    deadline = now() + budget
    attempts = 0
    while True:
        try:
            outcome = yield from pending.attempt()
        except PlatformError as exc:
            outcome = None
            error = str(exc)
        else:
            error = "the configuration kept changing"
        if outcome is not None:
            return outcome
        if now() >= deadline:
            state = CommitState.UNKNOWN if pending.maybe_written else CommitState.UNAVAILABLE
            return CommitOutcome(state, operation, faults=(error,))
        yield Sleep(backoff.compute_delay(attempts, rng))
        attempts += 1


def settle_operation(
    documents: DocumentStore, operation: str, operator: str, rng: random.Random, attempts: int = 4
) -> Task:
    """Read the outcome of an operation; if it has none, abandon it for good.

    Notes
    -----
    A write of an operation without a row may still be in transit. Writing an ``abandoned`` row on
    the condition that no row exists makes that write fail, so the reported outcome stays correct.
    """
    key = OPERATION_PREFIX + operation
    outcome_row = {"state": _ABANDONED, "revision": 0, "operator": operator}
    error = ""
    for count in range(attempts):
        try:
            (row,) = yield from documents.read([key])
            if row.value is not None:
                return _parse_operation_outcome(operation, row)
            yield from documents.transact((Condition(key, 0),), (Write(key, outcome_row),))
        except PlatformError as exc:
            error = str(exc)
            yield Sleep(DEFAULT_BACKOFF.compute_delay(count, rng))
    return CommitOutcome(CommitState.UNKNOWN, operation, faults=(error,))
