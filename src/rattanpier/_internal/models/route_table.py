"""What operators decided, as the relay sees it: routes, services, workspaces.

One `RouteTable` is one version of the operators' document. It is immutable:
a request keeps the table that it was matched with until its end.
"""

from __future__ import annotations

import bisect
import functools
from collections.abc import Mapping

import attrs

DEFAULT_HEADER_BYTES = 16384  # Until a table is known; the usual HTTP limit.
DEFAULT_BODY_BYTES = 2**22  # Until a table is known; 4 MiB.
DEFAULT_HEADER_S = 3.0
DEFAULT_IDLE_S = 15.0


@attrs.frozen
class ServiceShare:
    """The part of a route's requests that one service gets."""

    service: str
    weight: float


@attrs.frozen
class Route:
    """Requests of one host and path prefix.

    Attributes:
      name: Unique in its table.
      host: Host name, in lower case.
      prefix: Begins and ends with a slash.
      shares: Services that the requests go to, by weight.
      idempotent: May run more than once.
      streaming: The answer is a series of numbered events.
      resumable: A broken stream may go on at another worker.
      timeout_s: Longest time the operator wants a caller kept waiting.
      objective_s: Time within which an answer is worth most.
      event_gap_s: Longest pause between events of an answer on time; 0: none.
      max_workers: Workers that one request may be sent to.
      priority: 0 is the highest.
      public: Needs no key.
      models: Models that may answer, smallest first; empty where the caller
        names the model.
      regions: Where it may be answered; empty: anywhere.
    """

    name: str
    host: str
    prefix: str
    shares: tuple[ServiceShare, ...]
    idempotent: bool = False
    streaming: bool = False
    resumable: bool = False
    timeout_s: float = 30.0
    objective_s: float = 1.0
    event_gap_s: float = 0.0
    max_workers: int = 1
    priority: int = 5
    public: bool = False
    models: tuple[str, ...] = ()
    regions: frozenset[str] = frozenset()

    @property
    def repeatable(self) -> bool:
        """Whether a request may run again after it may have run."""
        return self.idempotent or (self.streaming and self.resumable)


@attrs.frozen
class ModelCost:
    """A model of an engine and its price for 1,000 generated tokens."""

    name: str
    cost: float


@attrs.frozen
class EngineSpec:
    """What a pool of model engines has in common.

    Attributes:
      slots: Requests that a worker runs at once.
      kv_tokens: Tokens that a worker's memory holds.
      models: Its models.
    """

    slots: int
    kv_tokens: int
    models: tuple[ModelCost, ...] = ()


@attrs.frozen
class WarmUp:
    """What a worker bears after its start.

    Attributes:
      start_s: Seconds for which it warms up.
      rate_per_s: Requests a second that it bears meanwhile.
    """

    start_s: float
    rate_per_s: float


@attrs.frozen
class Service:
    """A pool of workers.

    Attributes:
      name: Unique in its table.
      max_connections: Connections that a worker takes from all callers.
      engine: Given for model engines, None for plain services.
      warm_up: What its workers bear after a start; None: as much as ever.
      health_path: Where its workers answer who they are; empty: nowhere.
    """

    name: str
    max_connections: int = 0
    engine: EngineSpec | None = None
    warm_up: WarmUp | None = None
    health_path: str = ""


@attrs.frozen
class Workspace:
    """A customer of the operators.

    Attributes:
      name: Told to the workers.
      priority: Goes before the route's, if given.
      regions: Where its requests may be answered; empty: anywhere.
    """

    name: str
    priority: int | None = None
    regions: frozenset[str] = frozenset()


@attrs.frozen
class CallerLimits:
    """What a caller may send, and how long it may take.

    Attributes:
      header_bytes: Most bytes of a request's head.
      body_bytes: Most bytes of a request's body.
      header_s: Longest time for a head.
      idle_s: Longest time without a request on a connection.
    """

    header_bytes: int = DEFAULT_HEADER_BYTES
    body_bytes: int = DEFAULT_BODY_BYTES
    header_s: float = DEFAULT_HEADER_S
    idle_s: float = DEFAULT_IDLE_S


@attrs.frozen(slots=False)
class RouteTable:
    """One version of what operators decided.

    Attributes:
      version: Rises with each change, in uneven steps.
      routes: All routes.
      services: By name.
      workspaces: By key.
      limits: For callers.
      keyed: True if requests need a key, unless their route is public.
    """

    version: int
    routes: tuple[Route, ...] = ()
    services: Mapping[str, Service] = attrs.Factory(dict)
    workspaces: Mapping[str, Workspace] = attrs.Factory(dict)
    limits: CallerLimits = attrs.Factory(CallerLimits)
    keyed: bool = False
    index: dict[str, dict[str, Route]] = attrs.field(init=False, eq=False)
    lengths: dict[str, list[int]] = attrs.field(init=False, eq=False)

    def __attrs_post_init__(self) -> None:
        """Indexes the routes by host and prefix."""
        index: dict[str, dict[str, Route]] = {}
        for route in self.routes:
            index.setdefault(route.host, {})[route.prefix] = route
        lengths = {
            host: sorted({len(prefix) for prefix in prefixes})
            for host, prefixes in index.items()
        }
        object.__setattr__(self, "index", index)
        object.__setattr__(self, "lengths", lengths)

    def match(self, host: str, path: str) -> Route | None:
        """Returns the route with the longest prefix that begins a path.

        Args:
          host: As the caller sent it; a port is ignored.
          path: Without the query.

        >>> table = RouteTable(1, (
        ...     Route("a", "h", "/x/", ()), Route("b", "h", "/x/y/", ())))
        >>> table.match("H:80", "/x/y/z").name, table.match("h", "/x/yz").name
        ('b', 'a')
        >>> table.match("h", "/x") is None
        True
        """
        name = host.partition(":")[0].lower()
        prefixes = self.index.get(name)
        if prefixes is None:
            return None
        lengths = self.lengths[name]
        longest = bisect.bisect_right(lengths, len(path))
        for length in reversed(lengths[:longest]):
            route = prefixes.get(path[:length])
            if route is not None:
                return route
        return None

    def regions_of(self, host: str) -> frozenset[str]:
        """Returns the regions that routes of a host are bound to.

        Empty if none is bound, or one may be answered anywhere.
        """
        routes = self.index.get(host.lower(), {}).values()
        if not all(route.regions for route in routes):
            return frozenset()
        return frozenset().union(*(route.regions for route in routes))

    @functools.cached_property
    def model_costs(self) -> dict[str, float]:
        """Price of each model for 1,000 generated tokens."""
        return {
            model.name: model.cost
            for service in self.services.values()
            if service.engine is not None
            for model in service.engine.models
        }
