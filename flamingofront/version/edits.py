"""Edits of a configuration, and the check of the result as a whole."""

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
    """What an edit does to its object."""

    CREATE = "create"
    CHANGE = "change"
    DELETE = "delete"
    PUT = "put"


@dataclass(frozen=True)
class Edit:
    """One change of one object."""

    action: EditAction
    kind: ObjectKind
    name: str
    values: Mapping[str, Any] = field(default_factory=dict)

    @property
    def key(self) -> str:
        """Key of the object in `Configuration.changes`."""
        return build_object_key(self.kind, self.name)


def build_object_key(kind: ObjectKind, name: str) -> str:
    """Return the key under which changes of an object are noted."""
    return f"{kind.value}/{name}"


def _edited(edit: Edit, current: Mapping[str, Any]) -> Any:
    """Return the new object, None for a deletion."""
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
        With every fault found; `cfg` is unchanged.
    """
    revision = cfg.revision + 1
    objects = {kind: dict(cfg.objects_of(kind)) for kind in ObjectKind}
    changes = dict(cfg.changes)
    faults: list[str] = []
    for edit in edits:
        try:
            item = _edited(edit, objects[edit.kind])
        except ConfigurationError as exc:
            faults += exc.faults
            continue
        if item is None:
            del objects[edit.kind][edit.name]
        else:
            objects[edit.kind][edit.name] = item
        changes[edit.key] = Change(revision, operator)
    if faults:
        raise ConfigurationError(tuple(faults))
    result = Configuration(revision, operator, operation, objects, changes)
    validate(result)
    return result


def validate(cfg: Configuration) -> None:
    """Check what spans several objects.

    Raises
    ------
    ConfigurationError
        With one sentence for each fault.
    """
    faults = [*_route_faults(cfg), *_move_faults(cfg)]
    if faults:
        raise ConfigurationError(tuple(faults))


def _route_faults(cfg: Configuration) -> Iterator[str]:
    for route in cfg.objects_of(ObjectKind.ROUTE).values():
        if cfg.find_service(route.service) is None:
            yield f"route {route.name}: service {route.service!r} does not exist"
        for workspace in route.workspaces:
            if cfg.find_workspace(workspace) is None:
                yield f"route {route.name}: workspace {workspace!r} does not exist"


def _move_faults(cfg: Configuration) -> Iterator[str]:
    seen: dict[str, str] = {}
    for move in cfg.objects_of(ObjectKind.MOVE).values():
        service = cfg.find_service(move.service)
        if service is None:
            yield f"move {move.name}: service {move.service!r} does not exist"
        elif service.kind is ServiceKind.PLAIN and move.key == "request" and service.non_repeatable:
            yield f"move {move.name}: key=request would send keyed calls to both sides"
        if move.service in seen:
            yield f"move {move.name}: {move.service} is moved by {seen[move.service]} already"
        seen[move.service] = move.name
