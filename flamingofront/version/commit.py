"""Accept a change of the configuration: compare-and-swap with an operation id.

The head row holds the configuration in force. A change writes the head and a row for its operation
id in one transaction, so a writer that lost the answer can find out what happened, and sending the
same change again cannot apply it twice.
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
    """What an operator is told about a change."""

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
        Revision of the change, or of the winner of a conflict.
    operator : str
        Who made that revision.
    configuration : Configuration, optional
        The new configuration, if this process made it.
    faults : tuple of str
        Why the change was refused.
    """

    state: CommitState
    operation: str
    revision: int = 0
    operator: str = ""
    configuration: Configuration | None = None
    faults: tuple[str, ...] = ()


def _configuration_in(row: Document) -> Configuration:
    return Configuration() if row.value is None else configuration_from_json(row.value)


def load_configuration(documents: DocumentStore) -> Task:
    """Return the configuration in the table service."""
    (row,) = yield from documents.read([DOCUMENT_KEY])
    return _configuration_in(row)


def load_revision(documents: DocumentStore) -> Task:
    """Return the revision in force, without reading the whole configuration."""
    (row,) = yield from documents.read([HEAD_KEY])
    return 0 if row.value is None else int(row.value["revision"])


def _operation_outcome(operation: str, row: Document) -> CommitOutcome:
    state = CommitState(row.value["state"])
    return CommitOutcome(state, operation, row.value["revision"], row.value["operator"])


def _conflict(
    cfg: Configuration, edits: tuple[Edit, ...], base: int, operation: str
) -> CommitOutcome | None:
    """Return the outcome if an object was changed after the revision that the operator saw."""
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


class _Commit:
    """One change on its way into the table service."""

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
        """Try once; return the outcome, None if the head moved meanwhile."""
        operation_key = OPERATION_PREFIX + self._operation
        # The operation's row is read last: a document that shows this change, by a write whose
        # answer was lost, must not be taken for another operator's.
        rows = yield from self._documents.read([HEAD_KEY, DOCUMENT_KEY, operation_key])
        head, document, done = rows
        if done.value is not None:
            return _operation_outcome(self._operation, done)
        cfg = _configuration_in(document)
        conflict = _conflict(cfg, self._edits, self._base, self._operation)
        if conflict is not None:
            return conflict
        try:
            new = apply_edits(cfg, self._edits, self._operator, self._operation)
        except ConfigurationError as exc:
            return CommitOutcome(CommitState.REFUSED, self._operation, faults=exc.faults)
        outcome = yield from self._write(head, operation_key, new)
        if outcome is not None:
            yield from self._drop_replaced(document)
        return outcome

    def _drop_replaced(self, document: Document) -> Task:
        """Remove the object of the configuration before, if it had one."""
        # The change stands; an object that is left behind only takes room.
        with contextlib.suppress(PlatformError):
            yield from self._documents.drop_object(document)

    def _write(self, head: Document, operation_key: str, new: Configuration) -> Task:
        note = {
            "state": _ACCEPTED,
            "revision": new.revision,
            "operator": self._operator,
            "until": self._until,
        }
        conditions = (Condition(HEAD_KEY, head.revision), Condition(operation_key, 0))
        writes = (
            Write(HEAD_KEY, {"revision": new.revision}),
            Write(DOCUMENT_KEY, configuration_to_json(new)),
            Write(operation_key, note),
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
    """Bring a change into force in the table service.

    Parameters
    ----------
    base : int
        Revision that the operator's view was based on; a later change of the same object is a
        conflict.
    operation : str
        Unique id; a repetition with the same id is applied once.
    budget : float
        Seconds after which an outcome that is still open is reported as such.
    until : float
        Seconds since the epoch at which the operation's row may be removed.

    Returns
    -------
    CommitOutcome
        ``UNKNOWN`` only if a write was sent whose effect could not be read back.

    Notes
    -----
    Trying again after a lost answer is safe: the lost write and the new one both require the
    absence of the operation's row. A conflict or refusal found after a lost answer is final: the
    lost write required a head revision that has passed.
    """
    work = _Commit(documents, edits, base, operator, operation, until)
    deadline = now() + budget
    tries = 0
    while True:
        try:
            outcome = yield from work.attempt()
        except PlatformError as exc:
            outcome = None
            fault = str(exc)
        else:
            fault = "the configuration kept changing"
        if outcome is not None:
            return outcome
        if now() >= deadline:
            state = CommitState.UNKNOWN if work.maybe_written else CommitState.UNAVAILABLE
            return CommitOutcome(state, operation, faults=(fault,))
        yield Sleep(backoff.compute_delay(tries, rng))
        tries += 1


def settle_operation(
    documents: DocumentStore, operation: str, operator: str, rng: random.Random, tries: int = 4
) -> Task:
    """Find out, and make final, what became of an operation.

    Notes
    -----
    An operation without a row may still have a write on its way. Writing an ``abandoned`` row on
    condition of absence makes that write fail, so the answer cannot become wrong later.
    """
    key = OPERATION_PREFIX + operation
    note = {"state": _ABANDONED, "revision": 0, "operator": operator}
    fault = ""
    for count in range(tries):
        try:
            (row,) = yield from documents.read([key])
            if row.value is not None:
                return _operation_outcome(operation, row)
            yield from documents.transact((Condition(key, 0),), (Write(key, note),))
        except PlatformError as exc:
            fault = str(exc)
            yield Sleep(DEFAULT_BACKOFF.compute_delay(count, rng))
    return CommitOutcome(CommitState.UNKNOWN, operation, faults=(fault,))
