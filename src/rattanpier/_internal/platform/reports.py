"""Reads the load that workers report."""

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


# Told of a worker, the rate that it names, if any, and whether it leaves.
OnWorkerStatus = Callable[[RegisteredWorker, float | None, bool], None]


def report_reader(
    session: aiohttp.ClientSession,
    on_status: OnWorkerStatus = lambda _worker, _rate_per_s, _leaving: None,
) -> ReadReport:
    """Returns what asks one worker within some seconds; None: no answer.

    Args:
      session: For the questions.
      on_status: Told where a worker's answer says how it is. That it says
        nothing is no word: only answers to requests are sure to bear one.
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
            # A worker that does not answer is judged by its requests.
            return None

    return read


def publish_status(
    worker: RegisteredWorker,
    headers: CIMultiDictProxy[str],
    on_status: OnWorkerStatus,
) -> None:
    """Tells what a worker's answer says of it."""
    rate_per_s = decode_rate_limit(headers.getall(RATE_LIMIT, []))
    leaving = any(map(read_leaving, headers.getall(LEAVING, [])))
    if rate_per_s is not None or leaving:
        on_status(worker, rate_per_s, leaving)
