"""Configuration of forwarded routes, maintained outside this system by the platform's operators.

It is separate from the configuration that flamingofront's own operators edit. It is read from the
platform's store as a whole, its version only increases, and it is read-only here.
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
    """Kind of the requests of a route; determines whether a request may be repeated."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"


@dataclass(frozen=True)
class Backend:
    """One service of a route and its weight in the traffic split."""

    service: str
    weight: float = 1.0


@dataclass(frozen=True)
class ForwardedRoute:
    """How requests to a host and path prefix are served.

    Parameters
    ----------
    prefix : str
        Path prefix; starts and ends with a slash.
    timeout : float
        Maximum time in seconds that a caller waits for a response.
    latency_objective : float
        Response time objective in seconds.
    gap_objective : float
        Objective for the time in seconds between two events of a stream.
    priority : int
        0 is the highest.
    max_attempts : int
        Maximum number of endpoints that one request is sent to.
    needs_key : bool
        True if callers must send an API key.
    prefix_cached : bool
        True if requests identify the prefixes of their prompt that a KV cache may hold.
    resumable : bool
        True if a stream may be continued on another endpoint.
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
        """True if a request may run more than once."""
        return self.kind is RequestKind.IDEMPOTENT or self.resumable

    def select_backend(self, key: str) -> str:
        """Return the service for a request key, chosen by a stable hash and the weights."""
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
    """Limits for the number of endpoints of a service in each zone, and their prices.

    Parameters
    ----------
    start_seconds : float
        Time from a scaling request until the new endpoint is ready.
    reclaimable_price : float
        Price of a reclaimable endpoint relative to an on-demand one.
    zone_prices : mapping of str to float
        Price of an endpoint per second, by zone.
    """

    least: int
    most: int
    start_seconds: float
    reclaimable_price: float
    zone_prices: Mapping[str, float]


@dataclass(frozen=True)
class ForwardedService:
    """A service that forwarded routes send requests to.

    Parameters
    ----------
    max_connections : int
        Connections that one endpoint accepts in total, over all entry processes.
    slots : int
        Requests that one endpoint can run concurrently; 0 if only the endpoints report it.
    cache_tokens : int
        KV cache capacity of one model engine in tokens; 0 for a plain service.
    health_path : str
        Path at which an endpoint tells whether it is healthy.
    """

    name: str
    max_connections: int
    slots: int = 0
    cache_tokens: int = 0
    scaling: ScalingLimits | None = None
    health_path: str = "/"

    @property
    def is_model(self) -> bool:
        """True if the endpoints are model engines."""
        return self.cache_tokens > 0


@dataclass(frozen=True)
class CallerLimits:
    """Limits for requests of callers; sizes in bytes, times in seconds."""

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
        Token bucket of the quota: units per second and bucket size; rate 0 means no limit.
    counts_tokens : bool
        True if the quota counts LLM tokens, False if it counts requests.
    plain_tokens : float
        Units charged for a request without a token count.
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
    """One complete version of the configuration of forwarded routes.

    Parameters
    ----------
    version : int
        Increases with each change; 0 before the first version was read.
    """

    version: int = 0
    routes: tuple[ForwardedRoute, ...] = ()
    services: Mapping[str, ForwardedService] = field(default_factory=dict)
    workspaces: tuple[ForwardedWorkspace, ...] = ()
    limits: CallerLimits = CallerLimits()

    @cached_property
    def _routes_by_host(self) -> dict[str, dict[str, ForwardedRoute]]:
        by_host: dict[str, dict[str, ForwardedRoute]] = {}
        for each in self.routes:
            by_host.setdefault(each.host.lower(), {})[each.prefix] = each
        return by_host

    @cached_property
    def workspaces_by_name(self) -> Mapping[str, ForwardedWorkspace]:
        """Workspaces by name."""
        return {each.name: each for each in self.workspaces}

    @cached_property
    def _workspaces_by_key(self) -> dict[str, ForwardedWorkspace]:
        return {key: each for each in self.workspaces for key in each.keys}

    def find_route(self, host: str, path: str) -> ForwardedRoute | None:
        """Return the route with the longest matching path prefix, or None.

        Notes
        -----
        Prefixes end with a slash, so only the prefixes of the path up to a slash are looked up: the
        time does not grow with the number of routes.
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
        """Return the workspace that an API key belongs to, or None."""
        return self._workspaces_by_key.get(key)

    def find_workspace(self, name: str) -> ForwardedWorkspace | None:
        """Return the workspace with this name, or None."""
        return next((each for each in self.workspaces if each.name == name), None)

    def build_service(self, route: ForwardedRoute, name: str, slots: int) -> Service:
        """Return the `Service` that admission control and endpoint selection use for a route.

        Parameters
        ----------
        slots : int
            Concurrent requests per endpoint as reported by the endpoints; 0 if not reported.
        """
        forwarded = self.services.get(name)
        is_model = forwarded is not None and forwarded.is_model
        configured = forwarded.slots if forwarded is not None else 0
        return Service(
            name=name,
            kind=ServiceKind.MODEL if is_model else ServiceKind.PLAIN,
            model="forwarded" if is_model else "",
            first_token_target=max(0.001, route.latency_objective),
            call_timeout=max(0.05, route.timeout),
            slots=slots or configured or DEFAULT_SLOTS,
        )
