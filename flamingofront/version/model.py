"""The configuration: what operators create and change.

A configuration is immutable. Each accepted change makes a new one with the next revision. Single
fields are checked when an object is made; what spans objects is checked in
`flamingofront.version.validation`.
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
    """What stands behind a service."""

    MODEL = "model"
    PLAIN = "plain"


class DrainKind(StrEnum):
    """What a drain can be ordered for."""

    VM = "vm"
    ENDPOINT = "endpoint"
    SIDE = "side"
    ZONE = "zone"


def _fault(condition: bool, text: str, faults: list[str]) -> None:
    if condition:
        faults.append(text)


def _number_fault(owner: str, name: str, value: Any, low: float, high: float) -> list[str]:
    if isinstance(value, bool) or not isinstance(value, int | float) or not low <= value <= high:
        return [f"{owner}: {name} must be from {low:g} to {high:g}, got {value!r}"]
    return []


def _name_fault(owner: str, name: str, value: Any) -> list[str]:
    if not isinstance(value, str) or not _NAME.fullmatch(value):
        return [f"{owner}: {name} must be lower-case letters, digits, '.', '_', '-', got {value!r}"]
    return []


def _raise_if_any(faults: list[str]) -> None:
    if faults:
        raise ConfigurationError(tuple(faults))


@dataclass(frozen=True)
class Service:
    """A model or plain service.

    Parameters
    ----------
    kind : ServiceKind
        Model engines or plain endpoints.
    model : str
        Name of the model that engines must hold; empty for plain services.
    non_repeatable : tuple of str
        Calls that may run at most once, each ``METHOD /path-prefix``.
    fencing : bool
        Whether its endpoints refuse orders with an old fencing number.
    first_token_target, token_target : float
        Latency targets in seconds: until the first token, between tokens.
    call_timeout : float
        Seconds of silence after which an attempt counts as lost.
    retry_ratio : float
        Retries allowed for each accepted request, as a long-run ratio.
    slots : int
        Requests that one endpoint runs at the same time within the target.
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
        faults = _name_fault(owner, "name", self.name)
        is_model = self.kind is ServiceKind.MODEL
        _fault(is_model and not self.model, f"{owner}: a model service needs model=NAME", faults)
        _fault(
            is_model and bool(self.non_repeatable),
            f"{owner}: non_repeatable is for kind=plain",
            faults,
        )
        for call in self.non_repeatable:
            bad = not isinstance(call, str) or not _PLAIN_CALL.fullmatch(call)
            _fault(bad, f"{owner}: non_repeatable needs 'METHOD /path', got {call!r}", faults)
        faults += _number_fault(owner, "first_token_target", self.first_token_target, 0.001, 600)
        faults += _number_fault(owner, "token_target", self.token_target, 0.001, 60)
        faults += _number_fault(owner, "call_timeout", self.call_timeout, 0.05, 3600)
        faults += _number_fault(owner, "retry_ratio", self.retry_ratio, 0, 10)
        faults += _number_fault(owner, "slots", self.slots, 1, 4096)
        _raise_if_any(faults)

    def can_repeat(self, method: str, path: str) -> bool:
        """Tell whether a call may be sent a second time."""
        if self.kind is ServiceKind.MODEL:
            return True
        return not any(_matches(call, method, path) for call in self.non_repeatable)


def _matches(call: str, method: str, path: str) -> bool:
    wanted_method, prefix = call.split(" ", 1)
    if method != wanted_method:
        return False
    base = prefix.rstrip("/")
    return path == base or path.startswith(base + "/")


@dataclass(frozen=True)
class Route:
    """Name that callers use (model name or path segment), and the service behind it."""

    name: str
    service: str
    workspaces: tuple[str, ...] = ()

    def __post_init__(self):
        owner = f"route {self.name}"
        faults = _name_fault(owner, "name", self.name)
        faults += _name_fault(owner, "service", self.service)
        for workspace in self.workspaces:
            faults += _name_fault(owner, "workspaces", workspace)
        _raise_if_any(faults)

    def allows(self, workspace: str) -> bool:
        """Tell whether a workspace may use the route; an empty list allows all."""
        return not self.workspaces or workspace in self.workspaces


@dataclass(frozen=True)
class Move:
    """A move of a service from one side (data centre) to another.

    Parameters
    ----------
    share : float
        Percentage of the workspaces' traffic that the new side takes.
    key : str
        What is hashed to pick the side: ``workspace`` or ``request``.
    """

    name: str
    service: str
    old_side: str
    new_side: str
    share: float = 0.0
    key: str = "workspace"

    def __post_init__(self):
        owner = f"move {self.name}"
        faults = _name_fault(owner, "name", self.name)
        faults += _name_fault(owner, "service", self.service)
        faults += _name_fault(owner, "old_side", self.old_side)
        faults += _name_fault(owner, "new_side", self.new_side)
        _fault(self.old_side == self.new_side, f"{owner}: both sides are {self.old_side!r}", faults)
        _fault(
            self.key not in ("workspace", "request"),
            f"{owner}: key must be workspace or request, got {self.key!r}",
            faults,
        )
        faults += _number_fault(owner, "share", self.share, 0, 100)
        _raise_if_any(faults)


@dataclass(frozen=True)
class Workspace:
    """A caller's workspace and its limits.

    Parameters
    ----------
    credential : str
        SHA-256 hex digest of the bearer token; empty if the header ``X-Workspace`` is enough.
    max_in_flight : int
        Requests at the same time over all entry VMs.
    weight : float
        Share of the capacity under overload, relative to the other workspaces.
    priority : int
        0 is served first, 9 last.
    """

    name: str
    credential: str = ""
    max_in_flight: int = 256
    weight: float = 1.0
    priority: int = 5

    def __post_init__(self):
        owner = f"workspace {self.name}"
        faults = _name_fault(owner, "name", self.name)
        digest_ok = not self.credential or re.fullmatch(r"[0-9a-f]{64}", str(self.credential))
        _fault(not digest_ok, f"{owner}: credential must be a SHA-256 hex digest", faults)
        faults += _number_fault(owner, "max_in_flight", self.max_in_flight, 1, 1_000_000)
        faults += _number_fault(owner, "weight", self.weight, 0.01, 1000)
        faults += _number_fault(owner, "priority", self.priority, 0, MAX_PRIORITY)
        _raise_if_any(faults)


@dataclass(frozen=True)
class Drain:
    """An order that something gets no new work."""

    name: str
    kind: DrainKind
    target: str

    def __post_init__(self):
        _fault_if_empty = [] if self.target else [f"drain {self.name}: target is empty"]
        _raise_if_any(_fault_if_empty)


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
    """Who changed an object last, and in which revision."""

    revision: int
    operator: str


@dataclass(frozen=True)
class Configuration:
    """All objects in force at one revision.

    Parameters
    ----------
    objects : mapping of ObjectKind to mapping of str to object
        The objects by kind and name.
    changes : mapping of str to Change
        Last change for each ``kind/name``, kept for deleted objects too.
    """

    revision: int = 0
    operator: str = ""
    operation: str = ""
    objects: Mapping[ObjectKind, Mapping[str, ConfigurationObject]] = field(default_factory=dict)
    changes: Mapping[str, Change] = field(default_factory=dict)

    def objects_of(self, kind: ObjectKind) -> Mapping[str, ConfigurationObject]:
        """Return the objects of one kind by name."""
        return self.objects.get(kind, {})

    def service(self, name: str) -> Service | None:
        """Return a service by name."""
        return self.objects_of(ObjectKind.SERVICE).get(name)

    def route(self, name: str) -> Route | None:
        """Return a route by name."""
        return self.objects_of(ObjectKind.ROUTE).get(name)

    def workspace(self, name: str) -> Workspace | None:
        """Return a workspace by name."""
        return self.objects_of(ObjectKind.WORKSPACE).get(name)

    def find_move(self, service: str) -> Move | None:
        """Return the move of a service, if one is under way."""
        moves = self.objects_of(ObjectKind.MOVE).values()
        return next((move for move in moves if move.service == service), None)

    def drained_targets(self, kind: DrainKind) -> frozenset[str]:
        """Return the targets of one kind that are being drained."""
        return self._drained_targets[kind]

    @cached_property
    def _drained_targets(self) -> dict[DrainKind, frozenset[str]]:
        drains = self.objects_of(ObjectKind.DRAIN).values()
        return {
            kind: frozenset(drain.target for drain in drains if drain.kind is kind)
            for kind in DrainKind
        }


def _field_names(cls: type) -> dict[str, dataclasses.Field]:
    return {each.name: each for each in dataclasses.fields(cls)}


def _coerce(owner: str, each: dataclasses.Field, value: Any) -> Any:
    """Turn a JSON value into the field's type."""
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
    """Make and check one object.

    Parameters
    ----------
    kind : ObjectKind
        What to make.
    values : mapping
        Field values as they come from JSON or the command language.

    Raises
    ------
    ConfigurationError
        If a field is unknown, missing or out of range.
    """
    cls = OBJECT_TYPES[kind]
    fields = _field_names(cls)
    owner = f"{kind.value} {values.get('name', '?')}"
    unknown = sorted(set(values) - set(fields))
    if unknown:
        known = ", ".join(sorted(set(fields) - {"name"}))
        raise ConfigurationError((f"{owner}: no field {unknown[0]!r}; fields are {known}",))
    missing = [
        each.name
        for each in fields.values()
        if each.default is dataclasses.MISSING and each.name not in values
    ]
    if missing:
        raise ConfigurationError((f"{owner}: {missing[0]} is missing",))
    return cls(**{name: _coerce(owner, fields[name], value) for name, value in values.items()})


def _object_to_json(item: ConfigurationObject) -> dict[str, Any]:
    return dataclasses.asdict(item)


def configuration_to_json(cfg: Configuration) -> dict[str, Any]:
    """Return a configuration as JSON values."""
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
    """Return the configuration that `configuration_to_json` was given."""
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
