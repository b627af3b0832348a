"""Requests load reports from workers."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import aiohttp
from multidict import CIMultiDictProxy

from rattanpier._internal.models.upstream_request import ReportedLoad
from rattanpier._internal.models.worker import RegisteredWorker
from rattanpier._internal.platform.upstream import (
    LEAVING,
    RATE_LIMIT,
    decode_rate_limit,
    decode_report,
    read_leaving,
)

PATH = "/rattanpier/report"

ReadReport = Callable[[RegisteredWorker, float], Awaitable[ReportedLoad | None]]


# Called with a worker, its rate limit in requests per second, if any, and
# whether it is leaving.
OnWorkerStatus = Callable[[RegisteredWorker, float | None, bool], None]


def report_reader(
    session: aiohttp.ClientSession,
    on_status: OnWorkerStatus = lambda _worker, _rate_per_s, _leaving: None,
) -> ReadReport:
    """Returns a reader of one worker's report, with a timeout in seconds.

    Args:
      session: Session for the requests.
      on_status: Called if a response carries a rate limit or says that the
        worker is leaving. Missing headers don't withdraw an earlier status:
        only responses to callers' requests are sure to carry them.

    Returns:
      A function that returns None if the worker sent no valid report.
    """

    async def read(
        worker: RegisteredWorker, limit_s: float
    ) -> ReportedLoad | None:
        timeout = aiohttp.ClientTimeout(total=limit_s)
        url = f"http://{worker.host}:{worker.port}{PATH}"
        try:
            async with session.get(url, timeout=timeout) as response:
                publish_status(worker, response.headers, on_status)
                if response.status != 200:
                    return None
                report = decode_report(await response.read())
                if report is not None and report.leaving:
                    on_status(worker, None, True)
                return report
        except (aiohttp.ClientError, TimeoutError):
            # Failures of a worker are detected from its requests instead.
            return None

    return read


def publish_status(
    worker: RegisteredWorker,
    headers: CIMultiDictProxy[str],
    on_status: OnWorkerStatus,
) -> None:
    """Calls `on_status` if the headers carry a status of the worker."""
    rate_per_s = decode_rate_limit(headers.getall(RATE_LIMIT, []))
    leaving = any(map(read_leaving, headers.getall(LEAVING, [])))
    if rate_per_s is not None or leaving:
        on_status(worker, rate_per_s, leaving)
