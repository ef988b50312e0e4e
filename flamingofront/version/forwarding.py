"""The configuration of forwarded routes: what an outside operator keeps for this system.

It lies beside the configuration that flamingofront's own operators edit: it is read from the
platform's store in full, with a version that only grows, and is read-only here.
"""

import zlib
from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum
from functools import cached_property

from flamingofront.version.model import Service, ServiceKind

__all__ = [
    "DEFAULT_SLOTS",
    "Backend",
    "CallerLimits",
    "ForwardedRoute",
    "ForwardedService",
    "ForwardedWorkspace",
    "ForwardingConfiguration",
    "RequestKind",
    "ScalingLimits",
]

DEFAULT_SLOTS = 16
SPLIT_POINTS = 10_000


class RequestKind(StrEnum):
    """What may be repeated."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"


@dataclass(frozen=True)
class Backend:
    """One service behind a route and its weight in the split."""

    service: str
    weight: float = 1.0


@dataclass(frozen=True)
class ForwardedRoute:
    """Requests to a host and path prefix, and how they are to be served.

    Parameters
    ----------
    prefix : str
        Begin of the path; begins and ends with a slash.
    timeout : float
        Longest time in seconds that a caller is kept waiting.
    latency_objective : float
        Seconds within which an answer has its full value.
    gap_objective : float
        Longest pause in seconds between two events of a stream.
    priority : int
        0 is the highest.
    max_attempts : int
        Endpoints that one request may be sent to.
    needs_key : bool
        False if callers need no API key.
    prefix_cached : bool
        True if requests name the cached parts of their prompt.
    resumable : bool
        True if a stream may go on at another endpoint.
    """

    name: str
    host: str
    prefix: str
    kind: RequestKind
    backends: tuple[Backend, ...]
    timeout: float = 60.0
    latency_objective: float = 1.0
    gap_objective: float = 0.0
    priority: int = 5
    max_attempts: int = 1
    needs_key: bool = True
    prefix_cached: bool = False
    resumable: bool = False

    @property
    def can_repeat(self) -> bool:
        """Tell whether a request may run more than once."""
        return self.kind is RequestKind.IDEMPOTENT or self.resumable

    def select_backend(self, key: str) -> str:
        """Return the service that the request with this key goes to, by the weights."""
        if len(self.backends) == 1:
            return self.backends[0].service
        total = sum(each.weight for each in self.backends)
        point = zlib.crc32(key.encode()) % SPLIT_POINTS / SPLIT_POINTS * total
        for each in self.backends:
            point -= each.weight
            if point < 0:
                return each.service
        return self.backends[-1].service


@dataclass(frozen=True)
class ScalingLimits:
    """How many endpoints of a service may be ordered in each zone, and what they cost.

    Parameters
    ----------
    start_seconds : float
        Time from an order until the endpoint serves.
    reclaimable_price : float
        Price of a reclaimable endpoint relative to another one.
    zone_prices : mapping of str to float
        Price of an endpoint for a second, by zone.
    """

    least: int
    most: int
    start_seconds: float
    reclaimable_price: float
    zone_prices: Mapping[str, float]


@dataclass(frozen=True)
class ForwardedService:
    """A service that routes lead to.

    Parameters
    ----------
    max_connections : int
        Connections that one endpoint accepts from all callers together.
    slots : int
        Requests that one endpoint runs at the same time; 0 if only the endpoints tell.
    cache_tokens : int
        Tokens that one model engine can hold; 0 for a plain service.
    """

    name: str
    max_connections: int
    slots: int = 0
    cache_tokens: int = 0
    scaling: ScalingLimits | None = None

    @property
    def is_model(self) -> bool:
        """True if model engines stand behind the service."""
        return self.cache_tokens > 0


@dataclass(frozen=True)
class CallerLimits:
    """What a caller may send and how long it may take; sizes in bytes, times in seconds."""

    max_head: int = 16384
    max_body: int = 4 * 1024 * 1024
    head_timeout: float = 3.0
    idle_timeout: float = 15.0


@dataclass(frozen=True)
class ForwardedWorkspace:
    """A workspace with its API keys and quota.

    Parameters
    ----------
    rate, burst : float
        Quota: units a second and the most that can be saved up; rate 0 means no limit.
    counts_tokens : bool
        True if the unit is a token, False if it is a request.
    plain_tokens : float
        Units of a request that names no tokens.
    """

    name: str
    keys: tuple[str, ...]
    priority: int | None = None
    rate: float = 0.0
    burst: float = 0.0
    counts_tokens: bool = False
    plain_tokens: float = 1.0


@dataclass(frozen=True)
class ForwardingConfiguration:
    """One version of the forwarded routes, complete.

    Parameters
    ----------
    version : int
        Grows with each change; 0 before the first one was read.
    """

    version: int = 0
    routes: tuple[ForwardedRoute, ...] = ()
    services: Mapping[str, ForwardedService] = field(default_factory=dict)
    workspaces: tuple[ForwardedWorkspace, ...] = ()
    limits: CallerLimits = CallerLimits()

    @cached_property
    def _routes_by_host(self) -> dict[str, dict[str, ForwardedRoute]]:
        found: dict[str, dict[str, ForwardedRoute]] = {}
        for each in self.routes:
            found.setdefault(each.host.lower(), {})[each.prefix] = each
        return found

    @cached_property
    def workspaces_by_name(self) -> Mapping[str, ForwardedWorkspace]:
        """Workspaces by their names."""
        return {each.name: each for each in self.workspaces}

    @cached_property
    def _workspaces_by_key(self) -> dict[str, ForwardedWorkspace]:
        return {key: each for each in self.workspaces for key in each.keys}

    def find_route(self, host: str, path: str) -> ForwardedRoute | None:
        """Return the route with the longest prefix that begins the path.

        Notes
        -----
        Prefixes end with a slash, so only the path's own prefixes are looked up: the time does not
        grow with the number of routes.
        """
        routes = self._routes_by_host.get(host.lower())
        if routes is None:
            return None
        end = path.rfind("/") + 1
        while end > 0:
            route = routes.get(path[:end])
            if route is not None:
                return route
            end = path.rfind("/", 0, end - 1) + 1
        return None

    def find_workspace_by_key(self, key: str) -> ForwardedWorkspace | None:
        """Return the workspace that an API key belongs to."""
        return self._workspaces_by_key.get(key)

    def workspace(self, name: str) -> ForwardedWorkspace | None:
        """Return a workspace by its name."""
        return next((each for each in self.workspaces if each.name == name), None)

    def build_service(self, route: ForwardedRoute, name: str, slots: int) -> Service:
        """Return a service as admission and choice of the product see it.

        Parameters
        ----------
        slots : int
            Requests that an endpoint runs at once, by what the endpoints tell; 0 if not known.
        """
        known = self.services.get(name)
        is_model = known is not None and known.is_model
        configured = known.slots if known is not None else 0
        return Service(
            name=name,
            kind=ServiceKind.MODEL if is_model else ServiceKind.PLAIN,
            model="forwarded" if is_model else "",
            first_token_target=max(0.001, route.latency_objective),
            call_timeout=max(0.05, route.timeout),
            slots=slots or configured or DEFAULT_SLOTS,
        )
