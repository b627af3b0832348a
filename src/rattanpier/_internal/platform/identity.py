"""Checks which incarnation of a worker answers at its address."""

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
    """Returns a check whether a registered incarnation answers.

    Args:
      session: Session for the requests.
      health_path_of: Returns the health path of a service's workers, empty if
        there is none.
      read_report: Requests a worker's report of its load and start time.

    Returns:
      A function of a worker and a timeout in seconds. True only if the worker
      answered with its id and, where its registration has a start time, with
      the same start time. False is inconclusive.
    """

    async def answers(worker: RegisteredWorker, limit_s: float) -> bool:
        path = health_path_of(worker.service)
        if not path or not await matches_id(worker, path, limit_s):
            return False
        if worker.born is None:
            return True
        # The worker may have restarted under its id; only its report shows
        # the start time.
        report = await read_report(worker, limit_s)
        return report is not None and report.born == worker.born

    async def matches_id(
        worker: RegisteredWorker, path: str, limit_s: float
    ) -> bool:
        timeout = aiohttp.ClientTimeout(total=limit_s)
        url = f"http://{worker.host}:{worker.port}{path}"
        try:
            async with session.get(url, timeout=timeout) as response:
                # An overloaded or unhealthy worker is alive too, so the status
                # doesn't matter.
                return response.headers.get(SERVED_BY) == worker.id
        except (aiohttp.ClientError, TimeoutError):
            # The check is repeated; the worker counts as terminated until then.
            return False

    return answers
