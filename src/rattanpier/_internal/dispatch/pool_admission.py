"""Admission as a step of the runner: pools, limits and costs from the rest."""

from __future__ import annotations

import collections
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

import attrs

from rattanpier._internal.dispatch.admission import Admission, Demand
from rattanpier._internal.dispatch.attempts import (
    AttemptOutcome,
    AttemptResult,
)
from rattanpier._internal.dispatch.fairness import request_cost
from rattanpier._internal.dispatch.limits import PoolLimit
from rattanpier._internal.dispatch.pools import PoolIndex, index_pools
from rattanpier._internal.models.configuration import Configuration
from rattanpier._internal.models.plan import Plan
from rattanpier._internal.models.refusal import Refusal
from rattanpier._internal.models.request import RouteRequest
from rattanpier._internal.utils.clock import Clock
from rattanpier._internal.utils.metrics import Metrics

OUTPUT_SMOOTHING = 0.95  # Weight of the past in a workspace's mean output.
DEFAULT_OUTPUT_TOKENS = 128.0  # Tokens of an answer, before any was seen.


@attrs.define
class PoolAdmission:
    """Lets requests through to the pools of their plans.

    Attributes:
      configuration: Returns the configuration in force.
      entries: Returns the number of live entries.
      limits: What this entry may have at each pool.
      mean_output_tokens: Mean tokens of the answers of each workspace.
      admission: The queues before the pools.
      index: Pools of the configuration that was in force last.
    """

    configuration: Callable[[], Configuration]
    entries: Callable[[], int]
    clock: Clock
    metrics: Metrics
    limits: dict[str, PoolLimit] = attrs.Factory(
        lambda: collections.defaultdict(PoolLimit)
    )
    mean_output_tokens: dict[str, float] = attrs.Factory(dict)
    admission: Admission = attrs.field(
        default=attrs.Factory(
            lambda self: Admission(self.limit, self.clock, self.metrics),
            takes_self=True,
        )
    )
    index: PoolIndex = attrs.Factory(lambda: index_pools(Configuration()))

    @asynccontextmanager
    async def admit(
        self, request: RouteRequest, plan: Plan
    ) -> AsyncIterator[Refusal | None]:
        """Waits for a place before the pool of a plan's first step."""
        configuration = self.configuration()
        by_version = self.current_index().by_version
        pool = by_version.get(plan.steps[0]) if plan.steps else None
        if pool is None:
            yield None  # That no worker has the version is found out later.
            return
        demand = self.make_demand(configuration, request)
        permit = await self.admission.acquire(pool, demand)
        if isinstance(permit, Refusal):
            yield permit
            return
        try:
            yield None
        finally:
            self.admission.release(permit, demand.cost)

    def make_demand(
        self, configuration: Configuration, request: RouteRequest
    ) -> Demand:
        """Returns what a request asks of a pool."""
        workspace = configuration.workspaces[request.workspace]
        expected_tokens = self.mean_output_tokens.get(
            request.workspace, DEFAULT_OUTPUT_TOKENS
        )
        tokens = min(request.max_tokens, int(expected_tokens) + 1)
        return Demand(
            request.workspace,
            workspace.share,
            workspace.max_queued,
            request_cost(request.prompt_tokens, tokens),
            request.deadline,
        )

    def record_result(self, result: AttemptResult) -> None:
        """Learns from an attempt: the pool's pace and answers' lengths."""
        pool = self.current_index().by_version.get(result.version)
        if pool is not None and result.first_token_s is not None:
            self.limits[pool].note(result.first_token_s)
        elif pool is not None:
            self.limits[pool].note_refused()
        if result.outcome is AttemptOutcome.COMPLETE:
            before = self.mean_output_tokens.get(
                result.workspace, float(result.chunks)
            )
            self.mean_output_tokens[result.workspace] = (
                OUTPUT_SMOOTHING * before
                + (1 - OUTPUT_SMOOTHING) * result.chunks
            )

    def limit(self, pool: str) -> int:
        """Returns how many requests may be at a pool."""
        slots = self.current_index().slots.get(pool, 0)
        return self.limits[pool].limit(slots, self.entries())

    def current_index(self) -> PoolIndex:
        """Returns the pools of the configuration in force."""
        configuration = self.configuration()
        if configuration is not self.index.configuration:
            self.index = index_pools(configuration)
        return self.index
