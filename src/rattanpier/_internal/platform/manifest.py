"""Decodes the operators' manifest into a route table."""

from __future__ import annotations

import math
from collections.abc import Iterable
from typing import Any

import attrs

from rattanpier._internal.exceptions import UnreadableError
from rattanpier._internal.models.route_table import (
    CallerLimits,
    EngineSpec,
    ModelCost,
    Route,
    RouteTable,
    Service,
    ServiceShare,
    WarmUp,
    Workspace,
)
from rattanpier._internal.utils.codec import parse_json, structure
from rattanpier._internal.utils.record import Record
from rattanpier._internal.utils.strict import strict_converter

KEY = "config"
MS = 1000.0
DEFAULT_TIMEOUT_S = 60.0  # For routes without a timeout.
DEFAULT_PRIORITY = 5

# Operators may set fields that an entry doesn't need.
converter = strict_converter(forbid_extra_keys=False, detailed=False)


@attrs.frozen(eq=False, repr=False)
class ManifestShare(Record):
    """A service and its share of a route's requests."""

    service: str
    weight: float


@attrs.frozen(eq=False, repr=False)
class ManifestRoute(Record):
    """A route; times are in ms.

    Attributes:
      kind: `safe` (requests may be repeated), `unsafe` or `streaming`.
      shares: Replaces `service` where there are several services.
      sizes: Models that may answer, smallest first.
      regions: Regions in which requests may be answered.
    """

    name: str
    prefix: str
    host: str = attrs.field(alias="hostname")
    kind: str = attrs.field(alias="routeType")
    service: str = ""
    shares: list[ManifestShare] | None = attrs.field(
        default=None, alias="backends"
    )
    resumable: bool | None = None
    timeout_ms: float | None = attrs.field(default=None, alias="timeoutMs")
    objective_ms: float | None = attrs.field(
        default=None, alias="targetLatencyMs"
    )
    event_gap_ms: float | None = attrs.field(default=None, alias="targetGapMs")
    max_workers: int | None = attrs.field(default=None, alias="maxAttempts")
    priority: int | None = None
    public: bool | None = None
    sizes: list[str] | None = None
    regions: list[str] | None = attrs.field(
        default=None, alias="allowedRegions"
    )


@attrs.frozen(eq=False, repr=False)
class ManifestModel(Record):
    """A model and its price for 1,000 generated tokens."""

    name: str
    cost: float | None = None


@attrs.frozen(eq=False, repr=False)
class ManifestEngine(Record):
    """Properties shared by all model engines of a service."""

    slots: int | None = None
    kv_tokens: int | None = attrs.field(default=None, alias="kvCapacity")
    models: list[ManifestModel] | None = None


@attrs.frozen(eq=False, repr=False)
class ManifestService(Record):
    """A service.

    Attributes:
      cold_start_s: Seconds of warm-up after a worker's start.
      cold_per_s: Requests per second that a worker can serve during warm-up;
        0 means no limit.
    """

    name: str
    max_connections: int | None = attrs.field(
        default=None, alias="maxConnections"
    )
    engine: ManifestEngine | None = None
    cold_start_s: float | None = attrs.field(default=None, alias="coldStartS")
    cold_per_s: float | None = attrs.field(default=None, alias="coldPerS")
    health_path: str | None = attrs.field(default=None, alias="healthPath")


@attrs.frozen(eq=False, repr=False)
class ManifestLimits(Record):
    """Limits for callers."""

    header_bytes: int | None = attrs.field(default=None, alias="maxHeaderBytes")
    body_bytes: int | None = attrs.field(default=None, alias="maxBodyBytes")
    header_ms: float | None = attrs.field(default=None, alias="headerTimeoutMs")
    idle_ms: float | None = attrs.field(default=None, alias="idleTimeoutMs")


@attrs.frozen(eq=False, repr=False)
class ManifestTenant(Record):
    """A workspace and its keys."""

    name: str
    keys: list[str] | None = attrs.field(default=None, alias="apiKeys")
    priority: int | None = None
    regions: list[str] | None = attrs.field(
        default=None, alias="allowedRegions"
    )


@attrs.frozen(eq=False, repr=False)
class Manifest(Record):
    """The manifest in the form in which operators write it."""

    version: int
    routes: list[ManifestRoute] | None = None
    services: list[ManifestService] | None = None
    limits: ManifestLimits | None = None
    tenants: list[ManifestTenant] | None = None


def decode_manifest(value: bytes, version: int) -> RouteTable | None:
    """Returns the route table that a manifest holds, if it is newer.

    A manifest that a peer has already sent is not decoded again: decoding a
    long one delays the first requests on a slow VM.

    Args:
      value: The manifest as JSON.
      version: Version of the table that is already known.

    Raises:
      UnreadableError: The manifest can't be decoded.
    """
    document = parse_json(value)
    stated_version = (
        document.get("version") if isinstance(document, dict) else None
    )
    if isinstance(stated_version, int) and stated_version <= version:
        return None
    return decode_document(document)


def decode_document(document: Any) -> RouteTable:
    """Returns the route table that a manifest's JSON document holds.

    Raises:
      UnreadableError: The document doesn't match the schema.
    """
    manifest = structure(converter, Manifest, document)
    tenants = manifest.tenants or []
    return RouteTable(
        version=manifest.version,
        routes=tuple(map(to_route, manifest.routes or [])),
        services={
            service.name: to_service(service)
            for service in manifest.services or []
        },
        workspaces=to_keys(tenants),
        limits=to_limits(manifest.limits or ManifestLimits()),
        keyed=bool(tenants),
    )


def to_route(route: ManifestRoute) -> Route:
    """Returns a route of the manifest in the router's own form."""
    return Route(
        name=route.name,
        host=route.host.lower(),
        prefix=route.prefix,
        shares=to_shares(route),
        idempotent=route.kind == "safe",
        streaming=route.kind == "streaming",
        resumable=bool(route.resumable),
        timeout_s=seconds(route.timeout_ms, DEFAULT_TIMEOUT_S),
        objective_s=seconds(route.objective_ms, DEFAULT_TIMEOUT_S),
        event_gap_s=seconds(route.event_gap_ms, 0.0),
        max_workers=max(1, route.max_workers or 1),
        priority=number(route.priority, DEFAULT_PRIORITY),
        public=bool(route.public),
        models=tuple(route.sizes or ()),
        regions=frozenset(route.regions or ()),
    )


def to_shares(route: ManifestRoute) -> tuple[ServiceShare, ...]:
    """Returns a route's services; a single service gets all requests.

    Raises:
      UnreadableError: Nothing can be drawn by the weights.
    """
    if route.shares:
        weights = [share.weight for share in route.shares]
        if min(weights) < 0.0 or not 0.0 < sum(weights) < math.inf:
            raise UnreadableError(f"weights of {route.name!r} are {weights}")
        return tuple(
            ServiceShare(share.service, share.weight) for share in route.shares
        )
    return (ServiceShare(route.service, 1.0),)


def to_service(service: ManifestService) -> Service:
    """Returns a service of the manifest in the router's own form."""
    engine = service.engine
    return Service(
        name=service.name,
        max_connections=service.max_connections or 0,
        engine=None if engine is None else to_engine(engine),
        warm_up=to_warm_up(service),
        health_path=service.health_path or "",
    )


def to_warm_up(service: ManifestService) -> WarmUp | None:
    """Returns the limit during workers' warm-up, None if there is none."""
    if not service.cold_per_s:
        return None
    return WarmUp(service.cold_start_s or 0.0, service.cold_per_s)


def to_engine(engine: ManifestEngine) -> EngineSpec:
    """Returns the properties shared by a service's model engines."""
    return EngineSpec(
        slots=engine.slots or 1,
        kv_tokens=engine.kv_tokens or 0,
        models=tuple(
            ModelCost(model.name, model.cost or 0.0)
            for model in engine.models or []
        ),
    )


def to_keys(tenants: Iterable[ManifestTenant]) -> dict[str, Workspace]:
    """Returns the workspace that each key belongs to."""
    return {
        key: Workspace(
            tenant.name, tenant.priority, frozenset(tenant.regions or ())
        )
        for tenant in tenants
        for key in tenant.keys or []
    }


def to_limits(limits: ManifestLimits) -> CallerLimits:
    """Returns the limits for callers, with defaults for missing ones."""
    defaults = CallerLimits()
    return CallerLimits(
        header_bytes=number(limits.header_bytes, defaults.header_bytes),
        body_bytes=number(limits.body_bytes, defaults.body_bytes),
        header_s=seconds(limits.header_ms, defaults.header_s),
        idle_s=seconds(limits.idle_ms, defaults.idle_s),
    )


def seconds(milliseconds: float | None, default: float) -> float:
    """Converts milliseconds to seconds; None gives the default.

    Raises:
      UnreadableError: The number is not finite.
    """
    if milliseconds is None:
        return default
    if not math.isfinite(milliseconds):
        raise UnreadableError(f"{milliseconds} ms is no time")
    return milliseconds / MS


def number(value: int | None, default: int) -> int:
    """Returns the value, or the default if it is None."""
    return default if value is None else value
