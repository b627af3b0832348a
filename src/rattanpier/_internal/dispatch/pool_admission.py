"""Admits the requests of a runner to the pool of their plan's first step.

Derives from the configuration and from the results of earlier requests what
admission needs: the pool, its limit and the estimated cost.
"""

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
from rattanpier._internal.dispatch.limits import PoolLimit
from rattanpier._internal.dispatch.pools import PoolIndex, index_pools
from rattanpier._internal.models.configuration import Configuration
from rattanpier._internal.models.plan import Plan
from rattanpier._internal.models.refusal import Refusal
from rattanpier._internal.models.request import RouteRequest
from rattanpier._internal.placement.fair_queue import request_cost
from rattanpier._internal.utils.clock import Clock
from rattanpier._internal.utils.metrics import Metrics

# Weight of the previous value in the moving average of answer lengths.
OUTPUT_SMOOTHING = 0.95
DEFAULT_OUTPUT_TOKENS = 128.0  # Assumed until a workspace had an answer.


@attrs.define
class PoolAdmission:
    """Admission control of one entry for the pools of the configuration.

    Attributes:
      configuration: Returns the configuration in force.
      entries: Returns the number of live entries.
      limits: Limit of this entry at each pool, by upstream.
      mean_output_tokens: Moving average of the tokens of an answer, by
        workspace.
      admission: Queues of the pools.
      index: Index of the configuration last seen in force.
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
        """Waits for admission to the pool of a plan's first step.

        Yields None once the request is admitted, or a refusal.
        """
        configuration = self.configuration()
        by_version = self.current_index().by_version
        pool = by_version.get(plan.steps[0]) if plan.steps else None
        if pool is None:
            # Dispatch refuses a request whose version no worker serves.
            yield None
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
        """Returns the demand of a request on a pool."""
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
        """Updates the pool's limit and the mean answer length from a result."""
        pool = self.current_index().by_version.get(result.version)
        if pool is not None and result.first_token_s is not None:
            self.limits[pool].record_first_token(result.first_token_s)
        elif pool is not None:
            self.limits[pool].record_failure()
        if result.outcome is AttemptOutcome.COMPLETE:
            before = self.mean_output_tokens.get(
                result.workspace, float(result.chunks)
            )
            self.mean_output_tokens[result.workspace] = (
                OUTPUT_SMOOTHING * before
                + (1 - OUTPUT_SMOOTHING) * result.chunks
            )

    def limit(self, pool: str) -> int:
        """Returns how many requests this entry may have running at a pool."""
        slots = self.current_index().slots.get(pool, 0)
        return self.limits[pool].limit(slots, self.entries())

    def current_index(self) -> PoolIndex:
        """Returns the index of the configuration in force."""
        configuration = self.configuration()
        if configuration is not self.index.configuration:
            self.index = index_pools(configuration)
        return self.index
