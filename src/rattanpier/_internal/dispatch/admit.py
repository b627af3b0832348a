"""Interface of admission control, which may delay or refuse a request."""

from __future__ import annotations

from collections.abc import AsyncIterator, Callable
from contextlib import AbstractAsyncContextManager, asynccontextmanager

from rattanpier._internal.models.plan import Plan
from rattanpier._internal.models.refusal import Refusal
from rattanpier._internal.models.request import RouteRequest

# Returns a context that is entered before a request is dispatched (or claimed,
# unless it has an idempotency key) and exited when its answer has ended.
# Entering it waits for admission and returns None, or a refusal.
Admit = Callable[
    [RouteRequest, Plan], AbstractAsyncContextManager[Refusal | None]
]


@asynccontextmanager
async def admit_all(
    _request: RouteRequest, _plan: Plan
) -> AsyncIterator[Refusal | None]:
    """Admits every request immediately."""
    yield None
