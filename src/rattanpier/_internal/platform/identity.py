"""Asks workers which incarnation they are."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import aiohttp

from rattanpier._internal.models.worker import RegisteredWorker
from rattanpier._internal.platform.reports import ReadReport

SERVED_BY = "X-Served-By"

CheckIdentity = Callable[[RegisteredWorker, float], Awaitable[bool]]


def identity_checker(
    session: aiohttp.ClientSession,
    health_path_of: Callable[[str], str],
    read_report: ReadReport,
) -> CheckIdentity:
    """Returns what asks whether a registered incarnation answers.

    Args:
      session: For the questions.
      health_path_of: Returns where the workers of a service answer.
      read_report: Asks a worker for its load, and for its start.

    Returns:
      A function of a worker and some seconds. True only if the worker named
      itself by the id, and by the start where its registration tells one;
      False says nothing.
    """

    async def answers(worker: RegisteredWorker, limit_s: float) -> bool:
        path = health_path_of(worker.service)
        if not path or not await matches_id(worker, path, limit_s):
            return False
        if worker.born is None:
            return True
        # It may have started again under its id; only its report tells.
        report = await read_report(worker, limit_s)
        return report is not None and report.born == worker.born

    async def matches_id(
        worker: RegisteredWorker, path: str, limit_s: float
    ) -> bool:
        timeout = aiohttp.ClientTimeout(total=limit_s)
        url = f"http://{worker.host}:{worker.port}{path}"
        try:
            async with session.get(url, timeout=timeout) as response:
                # Also one that is full or sick is alive.
                return response.headers.get(SERVED_BY) == worker.id
        except (aiohttp.ClientError, TimeoutError):
            # It is looked at again; that it ended stands until then.
            return False

    return answers
