"""The step before dispatch that may hold a request back or refuse it."""

from __future__ import annotations

from collections.abc import AsyncIterator, Callable
from contextlib import AbstractAsyncContextManager, asynccontextmanager

from rattanpier._internal.models.plan import Plan
from rattanpier._internal.models.refusal import Refusal
from rattanpier._internal.models.request import RouteRequest

# Entered before anything is claimed or sent, left when the answer ended. It
# yields a refusal, or None once the request may go on.
Admit = Callable[
    [RouteRequest, Plan], AbstractAsyncContextManager[Refusal | None]
]


@asynccontextmanager
async def admit_all(
    _request: RouteRequest, _plan: Plan
) -> AsyncIterator[Refusal | None]:
    """Lets every request through at once."""
    yield None
