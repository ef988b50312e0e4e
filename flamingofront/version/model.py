"""Configuration objects that operators create and change.

A configuration is immutable; each accepted change creates a new one with the next revision number.
An object validates its own fields when it is created; references between objects are validated by
`flamingofront.version.edits.validate`.
"""

import dataclasses
import re
from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum, StrEnum
from functools import cached_property
from typing import Any

from flamingofront.errors import ConfigurationError

__all__ = [
    "Change",
    "Configuration",
    "Drain",
    "DrainKind",
    "Move",
    "ObjectKind",
    "Route",
    "Service",
    "ServiceKind",
    "Workspace",
    "configuration_from_json",
    "configuration_to_json",
    "make_object",
]

_NAME = re.compile(r"[a-z0-9][a-z0-9._-]{0,62}")
_PLAIN_CALL = re.compile(r"[A-Z]+ /\S*")
MAX_PRIORITY = 9


class ObjectKind(StrEnum):
    """Kinds of configuration objects."""

    SERVICE = "service"
    ROUTE = "route"
    MOVE = "move"
    WORKSPACE = "workspace"
    DRAIN = "drain"


class ServiceKind(StrEnum):
    """Kind of the endpoints of a service: model engines or plain endpoints."""

    MODEL = "model"
    PLAIN = "plain"


class DrainKind(StrEnum):
    """Kind of the target of a drain."""

    VM = "vm"
    ENDPOINT = "endpoint"
    SIDE = "side"
    ZONE = "zone"


def _add_error_if(condition: bool, text: str, errors: list[str]) -> None:
    if condition:
        errors.append(text)


def _check_number(owner: str, name: str, value: Any, low: float, high: float) -> list[str]:
    if isinstance(value, bool) or not isinstance(value, int | float) or not low <= value <= high:
        return [f"{owner}: {name} must be from {low:g} to {high:g}, got {value!r}"]
    return []


def _check_name(owner: str, name: str, value: Any) -> list[str]:
    if not isinstance(value, str) or not _NAME.fullmatch(value):
        return [f"{owner}: {name} must be lower-case letters, digits, '.', '_', '-', got {value!r}"]
    return []


def _raise_if_invalid(errors: list[str]) -> None:
    if errors:
        raise ConfigurationError(tuple(errors))


@dataclass(frozen=True)
class Service:
    """A model service or a plain service.

    Parameters
    ----------
    kind : ServiceKind
        Kind of the endpoints.
    model : str
        Name of the model that the engines must have loaded; empty for plain services.
    non_repeatable : tuple of str
        Calls that may run at most once, each as ``METHOD /path-prefix``.
    fencing : bool
        True if the endpoints reject requests with an outdated fencing token.
    first_token_target, token_target : float
        Latency targets in seconds: time to first token, time between tokens.
    call_timeout : float
        Seconds without data after which an attempt is considered lost.
    retry_ratio : float
        Long-run ratio of retries to accepted requests that is allowed.
    slots : int
        Requests that one endpoint can run concurrently within the latency targets.
    """

    name: str
    kind: ServiceKind = ServiceKind.MODEL
    model: str = ""
    non_repeatable: tuple[str, ...] = ()
    fencing: bool = False
    first_token_target: float = 1.6
    token_target: float = 0.068
    call_timeout: float = 10.0
    retry_ratio: float = 0.2
    slots: int = 16

    def __post_init__(self):
        owner = f"service {self.name}"
        errors = _check_name(owner, "name", self.name)
        is_model = self.kind is ServiceKind.MODEL
        _add_error_if(
            is_model and not self.model, f"{owner}: a model service needs model=NAME", errors
        )
        _add_error_if(
            is_model and bool(self.non_repeatable),
            f"{owner}: non_repeatable is for kind=plain",
            errors,
        )
        for call in self.non_repeatable:
            bad = not isinstance(call, str) or not _PLAIN_CALL.fullmatch(call)
            _add_error_if(
                bad, f"{owner}: non_repeatable needs 'METHOD /path', got {call!r}", errors
            )
        errors += _check_number(owner, "first_token_target", self.first_token_target, 0.001, 600)
        errors += _check_number(owner, "token_target", self.token_target, 0.001, 60)
        errors += _check_number(owner, "call_timeout", self.call_timeout, 0.05, 3600)
        errors += _check_number(owner, "retry_ratio", self.retry_ratio, 0, 10)
        errors += _check_number(owner, "slots", self.slots, 1, 4096)
        _raise_if_invalid(errors)

    def can_repeat(self, method: str, path: str) -> bool:
        """Return True if a call may be sent more than once."""
        if self.kind is ServiceKind.MODEL:
            return True
        return not any(_matches_call(call, method, path) for call in self.non_repeatable)


def _matches_call(call: str, method: str, path: str) -> bool:
    call_method, prefix = call.split(" ", 1)
    if method != call_method:
        return False
    base = prefix.rstrip("/")
    return path == base or path.startswith(base + "/")


@dataclass(frozen=True)
class Route:
    """Mapping from the name that callers use (model name or path segment) to a service."""

    name: str
    service: str
    workspaces: tuple[str, ...] = ()

    def __post_init__(self):
        owner = f"route {self.name}"
        errors = _check_name(owner, "name", self.name)
        errors += _check_name(owner, "service", self.service)
        for workspace in self.workspaces:
            errors += _check_name(owner, "workspaces", workspace)
        _raise_if_invalid(errors)

    def allows(self, workspace: str) -> bool:
        """Return True if a workspace may use the route; an empty list allows all workspaces."""
        return not self.workspaces or workspace in self.workspaces


@dataclass(frozen=True)
class Move:
    """A move of a service from one side (data centre) to another.

    Parameters
    ----------
    share : float
        Percentage of the traffic that goes to the new side.
    key : str
        Hash key that selects the side: ``workspace`` or ``request``.
    """

    name: str
    service: str
    old_side: str
    new_side: str
    share: float = 0.0
    key: str = "workspace"

    def __post_init__(self):
        owner = f"move {self.name}"
        errors = _check_name(owner, "name", self.name)
        errors += _check_name(owner, "service", self.service)
        errors += _check_name(owner, "old_side", self.old_side)
        errors += _check_name(owner, "new_side", self.new_side)
        _add_error_if(
            self.old_side == self.new_side, f"{owner}: both sides are {self.old_side!r}", errors
        )
        _add_error_if(
            self.key not in ("workspace", "request"),
            f"{owner}: key must be workspace or request, got {self.key!r}",
            errors,
        )
        errors += _check_number(owner, "share", self.share, 0, 100)
        _raise_if_invalid(errors)


@dataclass(frozen=True)
class Workspace:
    """A workspace of callers and its limits.

    Parameters
    ----------
    credential : str
        SHA-256 hex digest of the bearer token; empty if the header ``X-Workspace`` is enough.
    max_in_flight : int
        Maximum number of concurrent requests over all entry VMs.
    weight : float
        Weight of this workspace's share of the capacity under overload.
    priority : int
        From 0 (served first) to 9 (served last).
    """

    name: str
    credential: str = ""
    max_in_flight: int = 256
    weight: float = 1.0
    priority: int = 5

    def __post_init__(self):
        owner = f"workspace {self.name}"
        errors = _check_name(owner, "name", self.name)
        digest_ok = not self.credential or re.fullmatch(r"[0-9a-f]{64}", str(self.credential))
        _add_error_if(not digest_ok, f"{owner}: credential must be a SHA-256 hex digest", errors)
        errors += _check_number(owner, "max_in_flight", self.max_in_flight, 1, 1_000_000)
        errors += _check_number(owner, "weight", self.weight, 0.01, 1000)
        errors += _check_number(owner, "priority", self.priority, 0, MAX_PRIORITY)
        _raise_if_invalid(errors)


@dataclass(frozen=True)
class Drain:
    """A drain: the target receives no new requests."""

    name: str
    kind: DrainKind
    target: str

    def __post_init__(self):
        errors = [] if self.target else [f"drain {self.name}: target is empty"]
        _raise_if_invalid(errors)


OBJECT_TYPES: dict[ObjectKind, type] = {
    ObjectKind.SERVICE: Service,
    ObjectKind.ROUTE: Route,
    ObjectKind.MOVE: Move,
    ObjectKind.WORKSPACE: Workspace,
    ObjectKind.DRAIN: Drain,
}
ConfigurationObject = Service | Route | Move | Workspace | Drain


@dataclass(frozen=True)
class Change:
    """Last change of an object: its revision and the operator who made it."""

    revision: int
    operator: str


@dataclass(frozen=True)
class Configuration:
    """All configuration objects of one revision.

    Parameters
    ----------
    objects : mapping of ObjectKind to mapping of str to object
        The objects by kind and name.
    changes : mapping of str to Change
        Last change by ``kind/name``; entries of deleted objects are kept.
    """

    revision: int = 0
    operator: str = ""
    operation: str = ""
    objects: Mapping[ObjectKind, Mapping[str, ConfigurationObject]] = field(default_factory=dict)
    changes: Mapping[str, Change] = field(default_factory=dict)

    def objects_of(self, kind: ObjectKind) -> Mapping[str, ConfigurationObject]:
        """Return the objects of one kind by name."""
        return self.objects.get(kind, {})

    def find_service(self, name: str) -> Service | None:
        """Return the service with this name, or None."""
        return self.objects_of(ObjectKind.SERVICE).get(name)

    def find_route(self, name: str) -> Route | None:
        """Return the route with this name, or None."""
        return self.objects_of(ObjectKind.ROUTE).get(name)

    def find_workspace(self, name: str) -> Workspace | None:
        """Return the workspace with this name, or None."""
        return self.objects_of(ObjectKind.WORKSPACE).get(name)

    def find_move(self, service: str) -> Move | None:
        """Return the move of a service, or None if it is not being moved."""
        moves = self.objects_of(ObjectKind.MOVE).values()
        return next((move for move in moves if move.service == service), None)

    def drained_targets(self, kind: DrainKind) -> frozenset[str]:
        """Return the targets of one kind that have a drain."""
        return self._targets_by_drain_kind[kind]

    @cached_property
    def _targets_by_drain_kind(self) -> dict[DrainKind, frozenset[str]]:
        drains = self.objects_of(ObjectKind.DRAIN).values()
        return {
            kind: frozenset(drain.target for drain in drains if drain.kind is kind)
            for kind in DrainKind
        }


def _fields_by_name(cls: type) -> dict[str, dataclasses.Field]:
    return {each.name: each for each in dataclasses.fields(cls)}


def _convert_value(owner: str, each: dataclasses.Field, value: Any) -> Any:
    """Return a JSON value converted to the type of the field."""
    if isinstance(each.type, type) and issubclass(each.type, Enum):
        try:
            return each.type(value)
        except ValueError:
            allowed = ", ".join(item.value for item in each.type)
            text = f"{owner}: {each.name} must be one of {allowed}, got {value!r}"
            raise ConfigurationError((text,)) from None
    if each.type == tuple[str, ...]:
        if not isinstance(value, list | tuple):
            raise ConfigurationError((f"{owner}: {each.name} must be a list, got {value!r}",))
        return tuple(value)
    if each.type is bool and not isinstance(value, bool):
        raise ConfigurationError((f"{owner}: {each.name} must be true or false, got {value!r}",))
    if each.type is str and not isinstance(value, str):
        raise ConfigurationError((f"{owner}: {each.name} must be a string, got {value!r}",))
    if each.type is int and (isinstance(value, bool) or not isinstance(value, int)):
        raise ConfigurationError((f"{owner}: {each.name} must be a whole number, got {value!r}",))
    return value


def make_object(kind: ObjectKind, values: Mapping[str, Any]) -> ConfigurationObject:
    """Create and validate one configuration object.

    Parameters
    ----------
    kind : ObjectKind
        Kind of the object.
    values : mapping
        Field values as read from JSON or parsed from the command language.

    Raises
    ------
    ConfigurationError
        If a field is unknown, missing or out of range.
    """
    cls = OBJECT_TYPES[kind]
    fields = _fields_by_name(cls)
    owner = f"{kind.value} {values.get('name', '?')}"
    unknown = sorted(set(values) - set(fields))
    if unknown:
        allowed = ", ".join(sorted(set(fields) - {"name"}))
        raise ConfigurationError((f"{owner}: no field {unknown[0]!r}; fields are {allowed}",))
    missing = [
        each.name
        for each in fields.values()
        if each.default is dataclasses.MISSING and each.name not in values
    ]
    if missing:
        raise ConfigurationError((f"{owner}: {missing[0]} is missing",))
    return cls(
        **{name: _convert_value(owner, fields[name], value) for name, value in values.items()}
    )


def _object_to_json(item: ConfigurationObject) -> dict[str, Any]:
    return dataclasses.asdict(item)


def configuration_to_json(cfg: Configuration) -> dict[str, Any]:
    """Return a configuration as JSON-serializable values."""
    return {
        "revision": cfg.revision,
        "operator": cfg.operator,
        "operation": cfg.operation,
        "objects": {
            kind.value: [_object_to_json(item) for item in cfg.objects_of(kind).values()]
            for kind in ObjectKind
        },
        "changes": {key: [item.revision, item.operator] for key, item in cfg.changes.items()},
    }


def configuration_from_json(data: Mapping[str, Any]) -> Configuration:
    """Return the configuration from the output of `configuration_to_json`."""
    objects = {
        kind: {
            values["name"]: make_object(kind, values)
            for values in data.get("objects", {}).get(kind.value, ())
        }
        for kind in ObjectKind
    }
    changes = {key: Change(*item) for key, item in data.get("changes", {}).items()}
    return Configuration(
        revision=int(data["revision"]),
        operator=data.get("operator", ""),
        operation=data.get("operation", ""),
        objects=objects,
        changes=changes,
    )
