"""Routes, services and workspaces of the relay.

A `RouteTable` is one version of the operators' document. It is immutable, and a
request uses the table that it was matched with until it ends.
"""

from __future__ import annotations

import bisect
import functools
from collections.abc import Mapping

import attrs

from rattanpier._internal.utils.record import Record

# Limits that apply until a table has been read. 16 KiB is the usual limit for
# HTTP headers.
DEFAULT_HEADER_BYTES = 16384
DEFAULT_BODY_BYTES = 2**22  # 4 MiB.
DEFAULT_HEADER_S = 3.0
DEFAULT_IDLE_S = 15.0


@attrs.frozen(eq=False, repr=False)
class ServiceShare(Record):
    """A service's share of the requests of a route.

    Attributes:
      service: Name of the service.
      weight: Weight of its share.
    """

    service: str
    weight: float


@attrs.frozen(eq=False, repr=False)
class Route(Record):
    """Rules for the requests of one host and path prefix.

    Attributes:
      name: Unique in its table.
      host: Host name, in lower case.
      prefix: Path prefix that begins and ends with a slash.
      shares: Services that the requests are sent to, by weight.
      idempotent: Whether a request may run more than once.
      streaming: Whether answers are streams of numbered events.
      resumable: Whether a broken stream may continue at another worker.
      timeout_s: Maximum seconds for which a caller is kept waiting.
      objective_s: Seconds within which an answer has its full value.
      event_gap_s: Maximum seconds between events of an answer that is on time;
        0: no limit.
      max_workers: Maximum number of workers that a request may be sent to.
      priority: Priority of the requests, 0 is the highest.
      public: Whether requests need no key.
      models: Models that may answer, smallest first; empty if the caller
        chooses the model.
      regions: Regions that may answer; empty: all.
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


@attrs.frozen(eq=False, repr=False)
class ModelCost(Record):
    """A model of an engine and its price.

    Attributes:
      name: Name of the model.
      cost: Price per 1,000 generated tokens.
    """

    name: str
    cost: float


@attrs.frozen(eq=False, repr=False)
class EngineSpec(Record):
    """Properties that all model engines of a pool share.

    Attributes:
      slots: Number of requests that a worker runs concurrently.
      kv_tokens: Capacity of a worker's key-value cache, in tokens.
      models: Models that the pool serves.
    """

    slots: int
    kv_tokens: int
    models: tuple[ModelCost, ...] = ()


@attrs.frozen(eq=False, repr=False)
class WarmUp(Record):
    """Reduced rate of a worker after its start.

    Attributes:
      start_s: Seconds for which a worker warms up.
      rate_per_s: Requests per second that it can serve meanwhile.
    """

    start_s: float
    rate_per_s: float


@attrs.frozen(eq=False, repr=False)
class Service(Record):
    """A pool of workers.

    Attributes:
      name: Unique in its table.
      max_connections: Maximum connections that a worker accepts from all
        clients together.
      engine: Properties of its engines; None for plain services.
      warm_up: Reduced rate of its workers after a start; None: none.
      health_path: Path at which its workers report their identity; empty: they
        don't.
    """

    name: str
    max_connections: int = 0
    engine: EngineSpec | None = None
    warm_up: WarmUp | None = None
    health_path: str = ""


@attrs.frozen(eq=False, repr=False)
class Workspace(Record):
    """A customer of the operators.

    Attributes:
      name: Name, which is sent to the workers.
      priority: Overrides the route's priority, unless None.
      regions: Regions that may answer its requests; empty: all.
    """

    name: str
    priority: int | None = None
    regions: frozenset[str] = frozenset()


@attrs.frozen(eq=False, repr=False)
class CallerLimits(Record):
    """Limits on the size and duration of callers' requests.

    Attributes:
      header_bytes: Maximum size of a request's head, in bytes.
      body_bytes: Maximum size of a request's body, in bytes.
      header_s: Maximum seconds to receive a head.
      idle_s: Maximum seconds without a request on a connection.
    """

    header_bytes: int = DEFAULT_HEADER_BYTES
    body_bytes: int = DEFAULT_BODY_BYTES
    header_s: float = DEFAULT_HEADER_S
    idle_s: float = DEFAULT_IDLE_S


@attrs.frozen(eq=False, repr=False, slots=False)
class RouteTable(Record):
    """One version of the operators' document.

    Attributes:
      version: Increases with each change, by one or more.
      routes: All routes.
      services: Services by name.
      workspaces: Workspaces by key.
      limits: Limits on callers' requests.
      keyed: Whether requests need a key, unless their route is public.
      index: Routes by host and prefix.
      lengths: Lengths of the prefixes of each host, in ascending order.
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
        """Returns the route with the longest matching prefix, or None.

        Args:
          host: Host as the caller sent it; a port is ignored.
          path: Path without the query.

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
        """Returns the regions that the routes of a host are restricted to.

        Empty if any of its routes may be answered in all regions, or if it has
        no routes.
        """
        routes = self.index.get(host.lower(), {}).values()
        if not all(route.regions for route in routes):
            return frozenset()
        return frozenset().union(*(route.regions for route in routes))

    @functools.cached_property
    def model_costs(self) -> dict[str, float]:
        """Price of each model per 1,000 generated tokens."""
        return {
            model.name: model.cost
            for service in self.services.values()
            if service.engine is not None
            for model in service.engine.models
        }
