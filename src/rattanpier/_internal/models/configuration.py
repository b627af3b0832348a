"""The configuration that all nodes share, as written in TOML."""

from __future__ import annotations

import enum

import attrs


class VersionState(enum.StrEnum):
    """Whether a version takes work."""

    SERVING = "serving"
    PAUSED = "paused"  # No new sessions; pinned sessions go on.
    WITHDRAWN = "withdrawn"  # No new work at all.


class UpstreamKind(enum.StrEnum):
    """What stands behind an upstream."""

    ENGINE = "engine"
    PLAIN = "plain"


class RolloutState(enum.StrEnum):
    """Where a roll-out stands."""

    RUNNING = "running"
    HALTED = "halted"
    DONE = "done"


@attrs.frozen
class Fleet:
    """Sizes and rates that all nodes agree on.

    Attributes:
      size: Entry VMs' processes expected to be alive.
      claim_shards: Number of claim shards; never changed under traffic.
      store_writes_per_s: Write budget of all claim shards together.
      retention_s: Seconds a settled claim is remembered.
      validity_s: Seconds a node may go on without knowing it is current.
      entries_ttl_s: Seconds callers may cache the list of entries.
    """

    size: int = 8
    claim_shards: int = 16
    store_writes_per_s: float = 240.0
    retention_s: float = 600.0
    validity_s: float = 4.0
    entries_ttl_s: float = 5.0


@attrs.frozen
class Version:
    """A version of a model.

    Attributes:
      model: Name of the model, as callers ask for it.
      state: Whether it takes work.
      input_price: Credits for a million prompt tokens.
      output_price: Credits for a million generated tokens.
      quality: Expected share of answers rated good, before any rating.
    """

    model: str
    state: VersionState = VersionState.SERVING
    input_price: float = 1.0
    output_price: float = 1.0
    quality: float = 0.9


@attrs.frozen
class Worker:
    """One machine of an upstream.

    Attributes:
      url: Base address, by IP number.
      domain: Its failure domain.
      versions: Versions it serves; none for a plain service.
      slots: Requests it runs at once.
      draining: True when it must get no new work.
    """

    url: str
    domain: str
    versions: list[str] = attrs.Factory(list)
    slots: int = 16
    draining: bool = False


@attrs.frozen
class Upstream:
    """A pool of workers.

    Attributes:
      kind: Engine or plain service.
      workers: Workers by name.
      checks_fencing: True if its workers refuse old fencing numbers.
      takes_orders: True if its workers are told which versions to serve.
      non_repeatable: Calls like "POST /orders" that may not be repeated.
      draining: True when the whole pool must get no new work.
    """

    kind: UpstreamKind
    workers: dict[str, Worker]
    checks_fencing: bool = False
    takes_orders: bool = False
    non_repeatable: list[str] = attrs.Factory(list)
    draining: bool = False


@attrs.frozen
class Workspace:
    """A customer of the operator.

    Attributes:
      key_sha256: Digests of its keys.
      versions: Versions it may use.
      services: Plain services it may use.
      share: Weight of its share under overload.
      quality_target: Share of answers that must be rated good.
      max_queued: Requests it may have waiting on one entry.
      rating_budget: Ratings it pays for in an hour.
    """

    key_sha256: list[str]
    versions: list[str]
    services: list[str] = attrs.Factory(list)
    share: float = 1.0
    quality_target: float = 0.9
    max_queued: int = 64
    rating_budget: int = 60


@attrs.frozen
class Cascade:
    """Versions from cheap to strong."""

    steps: list[str]


@attrs.frozen
class Rollout:
    """A move of traffic from one version to another.

    Attributes:
      stable: Version in service.
      candidate: Version rolled out.
      share: Share of new sessions that get the candidate, 0 to 1.
      state: Where it stands.
      max_share: Share that evidence may widen to without an operator.
      halts: Times it was halted, so that a brake from before a halt ends for
        good when the roll-out is begun anew just as it was.
    """

    stable: str
    candidate: str
    share: float = 0.0
    state: RolloutState = RolloutState.RUNNING
    max_share: float = 1.0
    halts: int = 0


@attrs.frozen
class When:
    """Conditions of a rule; all that are given must hold.

    Attributes:
      workspaces: Any of these workspaces.
      models: Any of these names in the request's `model`.
      services: Any of these plain services.
      labels: Request metadata with these values.
      min_prompt_tokens: At least so many prompt tokens.
      max_prompt_tokens: At most so many prompt tokens.
      stream: Streaming or not.
      non_idempotent: Marked as non-idempotent or not.
    """

    workspaces: list[str] | None = None
    models: list[str] | None = None
    services: list[str] | None = None
    labels: dict[str, str] | None = None
    min_prompt_tokens: int | None = None
    max_prompt_tokens: int | None = None
    stream: bool | None = None
    non_idempotent: bool | None = None


@attrs.frozen
class Then:
    """What happens to a request; exactly one is given.

    Attributes:
      cascade: Use this cascade.
      version: Use this version.
      service: Pass on to this plain service.
      refuse: Refuse with this sentence.
    """

    cascade: str | None = None
    version: str | None = None
    service: str | None = None
    refuse: str | None = None


@attrs.frozen
class Rule:
    """An ordered when-then rule; the first that matches decides."""

    name: str
    then: Then
    when: When = attrs.Factory(When)


@attrs.frozen
class Configuration:
    """One revision of what operators decided.

    Attributes:
      revision: Rises by one with each accepted change; 0 is none.
    """

    revision: int = 0
    fleet: Fleet = attrs.Factory(Fleet)
    versions: dict[str, Version] = attrs.Factory(dict)
    upstreams: dict[str, Upstream] = attrs.Factory(dict)
    workspaces: dict[str, Workspace] = attrs.Factory(dict)
    cascades: dict[str, Cascade] = attrs.Factory(dict)
    rollouts: dict[str, Rollout] = attrs.Factory(dict)
    rules: list[Rule] = attrs.Factory(list)
