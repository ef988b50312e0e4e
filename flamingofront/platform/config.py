"""Decoding of the operator's configuration document."""

from typing import Any

import orjson

from flamingofront.errors import ConfigurationError
from flamingofront.version.forwarding import (
    Backend,
    CallerLimits,
    ForwardedRoute,
    ForwardedService,
    ForwardedWorkspace,
    ForwardingConfiguration,
    RequestKind,
    ScalingLimits,
)

__all__ = ["CONFIG_KEY", "CONFIG_TABLE", "decode_configuration"]

CONFIG_TABLE = "op"
CONFIG_KEY = "config"


def decode_configuration(data: bytes) -> ForwardingConfiguration:
    """Return the configuration decoded from a JSON document.

    Raises
    ------
    ConfigurationError
        If the document is malformed; the last valid configuration then stays active.
    """
    try:
        doc = orjson.loads(data)
        services = tuple(_decode_service(each) for each in doc.get("services", ()))
        return ForwardingConfiguration(
            version=int(doc["version"]),
            routes=tuple(_decode_route(each) for each in doc.get("routes", ())),
            services={each.name: each for each in services},
            workspaces=tuple(_decode_workspace(each) for each in doc.get("tenants", ())),
            limits=_decode_limits(doc.get("limits", {})),
        )
    except (KeyError, TypeError, ValueError, AttributeError) as exc:
        raise ConfigurationError((f"malformed configuration document: {exc!r}",)) from exc


def _decode_route(data: dict[str, Any]) -> ForwardedRoute:
    return ForwardedRoute(
        name=data["name"],
        host=data["host"],
        prefix=data["prefix"],
        kind=RequestKind(data["kind"]),
        backends=_decode_backends(data),
        timeout=data["timeout_ms"] / 1000,
        latency_objective=data.get("latency_goal_ms", 1000) / 1000,
        gap_objective=(data.get("gap_aim_ms") or 0) / 1000,
        priority=data.get("priority", 5),
        max_attempts=max(1, data.get("max_attempts", 1)),
        needs_key=not data.get("anonymous", False),
        # Requests on a "sticky" route list the parts of their prompt in a header.
        prefix_cached=bool(data.get("sticky", False)),
        resumable=bool(data.get("resumable", False)),
    )


def _decode_backends(data: dict[str, Any]) -> tuple[Backend, ...]:
    """Return the backends of a route: one service, or several with weights."""
    weighted = data.get("backends")
    if weighted:
        return tuple(Backend(each["service"], float(each["weight"])) for each in weighted)
    return (Backend(data["service"]),)


def _decode_service(data: dict[str, Any]) -> ForwardedService:
    engine = data.get("engine") or {}
    return ForwardedService(
        name=data["name"],
        max_connections=data.get("max_conns", 0),
        slots=engine.get("slots", 0),
        cache_tokens=engine.get("kv_capacity_tokens", 0),
        scaling=_decode_scaling(data.get("scaling")),
        health_path=data.get("health_path", "/"),
    )


def _decode_scaling(data: dict[str, Any] | None) -> ScalingLimits | None:
    if not data:
        return None
    return ScalingLimits(
        # "min" and "max" apply to each zone separately.
        least=data["min"],
        most=data["max"],
        start_seconds=data.get("boot_time_s", 0.0),
        # Relative to the price of an on-demand endpoint in the same zone.
        reclaimable_price=data.get("spot_price", 1.0),
        zone_prices=dict(data.get("zone_prices", {})),
    )


def _decode_workspace(data: dict[str, Any]) -> ForwardedWorkspace:
    return ForwardedWorkspace(
        name=data["name"],
        keys=tuple(data.get("api_keys", ())),
        priority=data.get("priority"),
        rate=float(data.get("rate_per_s") or 0),
        burst=float(data.get("burst") or 0),
        counts_tokens=data.get("unit") == "tokens",
        plain_tokens=float(data.get("plain_tokens") or 1),
    )


def _decode_limits(data: dict[str, Any]) -> CallerLimits:
    default = CallerLimits()
    return CallerLimits(
        max_head=data.get("max_header_bytes", default.max_head),
        max_body=data.get("max_body_bytes", default.max_body),
        head_timeout=data.get("header_timeout_ms", default.head_timeout * 1000) / 1000,
        idle_timeout=data.get("idle_timeout_ms", default.idle_timeout * 1000) / 1000,
    )
