"""The operators' manifest, decoded into a route table."""

from __future__ import annotations

import json
from collections.abc import Iterable
from typing import Any

from rattanpier._internal.exceptions import ConfigurationError
from rattanpier._internal.models.route_table import (
    CallerLimits,
    EngineSpec,
    ModelCost,
    Route,
    RouteTable,
    Service,
    ServiceShare,
    Workspace,
)

KEY = "config"
MS = 1000.0
NO_TIMEOUT_S = 60.0  # Where the operator states none.
DEFAULT_PRIORITY = 5


def decode_manifest(value: bytes) -> RouteTable:
    """Returns the route table that a manifest holds.

    Raises:
      ConfigurationError: It can't be read.
    """
    try:
        return decode_document(json.loads(value))
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        raise ConfigurationError(
            f"manifest can't be read: {error!r}"
        ) from error


def decode_document(document: dict[str, Any]) -> RouteTable:
    """Returns the route table that a decoded manifest holds."""
    tenants = document.get("tenants") or []
    return RouteTable(
        version=document["version"],
        routes=tuple(map(decode_route, document.get("routes") or [])),
        services={
            service["name"]: decode_service(service)
            for service in document.get("services") or []
        },
        workspaces=decode_keys(tenants),
        limits=decode_limits(document.get("limits") or {}),
        keyed=bool(tenants),
    )


def decode_route(route: dict[str, Any]) -> Route:
    """Returns one route."""
    kind = route["routeType"]
    return Route(
        name=route["name"],
        host=route["hostname"].lower(),
        prefix=route["prefix"],
        shares=decode_shares(route),
        idempotent=kind == "safe",
        streaming=kind == "streaming",
        resumable=bool(route.get("resumable")),
        timeout_s=seconds(route.get("timeoutMs"), NO_TIMEOUT_S),
        objective_s=seconds(route.get("targetLatencyMs"), NO_TIMEOUT_S),
        event_gap_s=seconds(route.get("targetGapMs"), 0.0),
        max_workers=max(1, route.get("maxAttempts") or 1),
        priority=number(route.get("priority"), DEFAULT_PRIORITY),
        public=bool(route.get("public")),
        models=tuple(route.get("sizes") or ()),
    )


def decode_shares(route: dict[str, Any]) -> tuple[ServiceShare, ...]:
    """Returns the services of a route; one alone has all of it."""
    shares = route.get("backends")
    if shares:
        return tuple(
            ServiceShare(share["service"], float(share["weight"]))
            for share in shares
        )
    return (ServiceShare(route["service"], 1.0),)


def decode_service(service: dict[str, Any]) -> Service:
    """Returns one service."""
    engine = service.get("engine")
    return Service(
        name=service["name"],
        max_connections=service.get("maxConnections") or 0,
        engine=None if engine is None else decode_engine(engine),
    )


def decode_engine(engine: dict[str, Any]) -> EngineSpec:
    """Returns what a service's model engines have in common."""
    return EngineSpec(
        slots=engine.get("slots") or 1,
        kv_tokens=engine.get("kvCapacity") or 0,
        models=tuple(
            ModelCost(model["name"], float(model.get("cost") or 0.0))
            for model in engine.get("models") or []
        ),
    )


def decode_keys(tenants: Iterable[dict[str, Any]]) -> dict[str, Workspace]:
    """Returns the workspace that each key belongs to."""
    return {
        key: Workspace(tenant["name"], tenant.get("priority"))
        for tenant in tenants
        for key in tenant.get("apiKeys") or []
    }


def decode_limits(limits: dict[str, Any]) -> CallerLimits:
    """Returns the limits for callers."""
    usual = CallerLimits()
    return CallerLimits(
        header_bytes=number(limits.get("maxHeaderBytes"), usual.header_bytes),
        body_bytes=number(limits.get("maxBodyBytes"), usual.body_bytes),
        header_s=seconds(limits.get("headerTimeoutMs"), usual.header_s),
        idle_s=seconds(limits.get("idleTimeoutMs"), usual.idle_s),
    )


def seconds(milliseconds: float | None, default: float) -> float:
    """Returns seconds, or a default where nothing is stated."""
    return default if milliseconds is None else milliseconds / MS


def number(value: int | None, default: int) -> int:
    """Returns a number, or a default where nothing is stated."""
    return default if value is None else value
