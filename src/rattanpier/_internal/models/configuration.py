"""The configuration that all nodes share, as written in TOML."""

from __future__ import annotations

import enum

import attrs


class VersionState(enum.StrEnum):
    """Whether a version accepts requests."""

    SERVING = "serving"
    PAUSED = "paused"  # No new sessions; pinned sessions continue.
    WITHDRAWN = "withdrawn"  # No new requests at all.


class UpstreamKind(enum.StrEnum):
    """What the workers of an upstream run."""

    ENGINE = "engine"
    PLAIN = "plain"


class RolloutState(enum.StrEnum):
    """State of a roll-out."""

    RUNNING = "running"
    HALTED = "halted"
    DONE = "done"


@attrs.frozen
class Fleet:
    """Sizes and rates that hold on all nodes.

    Attributes:
      size: Number of entry processes that are expected to be alive.
      claim_shards: Number of claim shards; must not change under traffic.
      store_writes_per_s: Writes per second of all claim shards together.
      retention_s: Seconds for which a settled claim is kept.
      validity_s: Seconds for which a node may serve without confirmation that
        its configuration is current.
      entries_ttl_s: Seconds for which callers may cache the list of entries.
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
      model: Name of the model, as callers request it.
      state: Whether it accepts requests.
      input_price: Credits per million prompt tokens.
      output_price: Credits per million generated tokens.
      quality: Expected share of answers rated good, 0 to 1, as assumed before
        there are ratings.
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
      url: Base URL, with an IP address.
      domain: Its failure domain.
      versions: Versions that it serves; empty for a plain service.
      slots: Number of requests that it runs concurrently.
      draining: Whether it must get no new requests.
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
      checks_fencing: Whether its workers refuse outdated fencing tokens.
      takes_orders: Whether its workers are sent orders for versions to serve.
      non_repeatable: Calls like "POST /orders" that must not be repeated.
      draining: Whether the whole pool must get no new requests.
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
      key_sha256: SHA-256 digests of its keys.
      versions: Versions that it may use.
      services: Plain services that it may use.
      share: Weight of its share of the capacity under overload.
      quality_target: Share of answers that must be rated good, 0 to 1.
      max_queued: Maximum number of its requests that wait on one entry.
      rating_budget: Number of ratings that it pays for per hour.
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
    """A cascade of versions.

    Attributes:
      steps: Versions in the order of use, from cheap to strong.
    """

    steps: list[str]


@attrs.frozen
class Rollout:
    """A gradual shift of traffic from one version to another.

    Attributes:
      stable: Version that serves the traffic now.
      candidate: Version that is rolled out.
      share: Share of new sessions that get the candidate, 0 to 1.
      state: Whether it runs, was halted or is done.
      max_share: Largest share that evidence may widen it to without an
        operator, 0 to 1.
      halts: Number of times it was halted. It tells a roll-out that is started
        again with the same values from the one before, so that a brake from
        before the halt no longer applies.
    """

    stable: str
    candidate: str
    share: float = 0.0
    state: RolloutState = RolloutState.RUNNING
    max_share: float = 1.0
    halts: int = 0


@attrs.frozen
class When:
    """Conditions of a rule; all that are set must hold.

    Attributes:
      workspaces: The workspace is one of these.
      models: The request's `model` is one of these.
      services: The plain service is one of these.
      labels: The request's metadata has these values.
      min_prompt_tokens: Minimum number of prompt tokens.
      max_prompt_tokens: Maximum number of prompt tokens.
      stream: Whether the request is streamed.
      non_idempotent: Whether the request is marked as non-idempotent.
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
    """Action of a rule; exactly one field is set.

    Attributes:
      cascade: Use this cascade.
      version: Use this version.
      service: Forward to this plain service.
      refuse: Refuse with this message.
    """

    cascade: str | None = None
    version: str | None = None
    service: str | None = None
    refuse: str | None = None


@attrs.frozen
class Rule:
    """A routing rule; of an ordered list, the first that matches applies.

    Attributes:
      name: Name of the rule.
      then: Its action.
      when: Its conditions; a rule without any matches every request.
    """

    name: str
    then: Then
    when: When = attrs.Factory(When)


@attrs.frozen
class Configuration:
    """One revision of the configuration.

    Attributes:
      revision: Increases by one with each accepted change; 0: no
        configuration yet.
      fleet: Sizes and rates that hold on all nodes.
      versions: Versions by name.
      upstreams: Upstreams by name.
      workspaces: Workspaces by name.
      cascades: Cascades by name.
      rollouts: Roll-outs by name.
      rules: Routing rules in order.
    """

    revision: int = 0
    fleet: Fleet = attrs.Factory(Fleet)
    versions: dict[str, Version] = attrs.Factory(dict)
    upstreams: dict[str, Upstream] = attrs.Factory(dict)
    workspaces: dict[str, Workspace] = attrs.Factory(dict)
    cascades: dict[str, Cascade] = attrs.Factory(dict)
    rollouts: dict[str, Rollout] = attrs.Factory(dict)
    rules: list[Rule] = attrs.Factory(list)
