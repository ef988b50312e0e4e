"""Edits of a configuration, and validation of the result as a whole."""

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import asdict, dataclass, field
from enum import StrEnum
from typing import Any

from flamingofront.errors import ConfigurationError
from flamingofront.version.model import (
    Change,
    Configuration,
    ObjectKind,
    ServiceKind,
    make_object,
)

__all__ = ["Edit", "EditAction", "apply_edits", "build_object_key", "validate"]


class EditAction(StrEnum):
    """Kind of an edit; ``put`` creates the object or replaces it."""

    CREATE = "create"
    CHANGE = "change"
    DELETE = "delete"
    PUT = "put"


@dataclass(frozen=True)
class Edit:
    """One change of one configuration object."""

    action: EditAction
    kind: ObjectKind
    name: str
    values: Mapping[str, Any] = field(default_factory=dict)

    @property
    def key(self) -> str:
        """Key of the edited object in `Configuration.changes`."""
        return build_object_key(self.kind, self.name)


def build_object_key(kind: ObjectKind, name: str) -> str:
    """Return the key of an object in `Configuration.changes`."""
    return f"{kind.value}/{name}"


def _apply_edit(edit: Edit, current: Mapping[str, Any]) -> Any:
    """Return the object after an edit, None for a deletion."""
    existing = current.get(edit.name)
    label = f"{edit.kind.value} {edit.name}"
    if edit.action is EditAction.CREATE and existing is not None:
        raise ConfigurationError((f"{label} exists already",))
    if edit.action in (EditAction.CHANGE, EditAction.DELETE) and existing is None:
        raise ConfigurationError((f"{label} does not exist",))
    if edit.action is EditAction.DELETE:
        return None
    base = asdict(existing) if edit.action is EditAction.CHANGE else {}
    return make_object(edit.kind, {**base, **edit.values, "name": edit.name})


def apply_edits(
    cfg: Configuration, edits: Iterable[Edit], operator: str, operation: str
) -> Configuration:
    """Return the configuration of the next revision.

    Raises
    ------
    ConfigurationError
        With all errors found; `cfg` is unchanged.
    """
    revision = cfg.revision + 1
    objects = {kind: dict(cfg.objects_of(kind)) for kind in ObjectKind}
    changes = dict(cfg.changes)
    errors: list[str] = []
    for edit in edits:
        try:
            item = _apply_edit(edit, objects[edit.kind])
        except ConfigurationError as exc:
            errors += exc.faults
            continue
        if item is None:
            del objects[edit.kind][edit.name]
        else:
            objects[edit.kind][edit.name] = item
        changes[edit.key] = Change(revision, operator)
    if errors:
        raise ConfigurationError(tuple(errors))
    result = Configuration(revision, operator, operation, objects, changes)
    validate(result)
    return result


def validate(cfg: Configuration) -> None:
    """Check the references and constraints between objects.

    Raises
    ------
    ConfigurationError
        With one message for each error.
    """
    errors = [*_find_route_errors(cfg), *_find_move_errors(cfg)]
    if errors:
        raise ConfigurationError(tuple(errors))


def _find_route_errors(cfg: Configuration) -> Iterator[str]:
    for route in cfg.objects_of(ObjectKind.ROUTE).values():
        if cfg.find_service(route.service) is None:
            yield f"route {route.name}: service {route.service!r} does not exist"
        for workspace in route.workspaces:
            if cfg.find_workspace(workspace) is None:
                yield f"route {route.name}: workspace {workspace!r} does not exist"


def _find_move_errors(cfg: Configuration) -> Iterator[str]:
    move_names: dict[str, str] = {}
    for move in cfg.objects_of(ObjectKind.MOVE).values():
        service = cfg.find_service(move.service)
        if service is None:
            yield f"move {move.name}: service {move.service!r} does not exist"
        elif service.kind is ServiceKind.PLAIN and move.key == "request" and service.non_repeatable:
            yield f"move {move.name}: key=request would send keyed calls to both sides"
        if move.service in move_names:
            yield f"move {move.name}: {move.service} is moved by {move_names[move.service]} already"
        move_names[move.service] = move.name
