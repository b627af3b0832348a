"""Requests load reports from workers."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import aiohttp
import attrs
from multidict import CIMultiDictProxy

from rattanpier._internal.models.upstream_request import ReportedLoad
from rattanpier._internal.models.worker import RegisteredWorker
from rattanpier._internal.platform.upstream import (
    BRITTLE,
    LEAVING,
    RATE_LIMIT,
    decode_brittleness,
    decode_rate_limit,
    decode_report,
    read_leaving,
)
from rattanpier._internal.utils.record import Record

PATH = "/rattanpier/report"

ReadReport = Callable[[RegisteredWorker, float], Awaitable[ReportedLoad | None]]


@attrs.frozen(eq=False, repr=False)
class WorkerStatus(Record):
    """What the headers of a report say of its worker.

    Attributes:
      rate_per_s: Requests per second that it accepts; None: no limit stated.
      refusals_per_s: Refusals within a second after which it crashes; None:
        not stated.
      leaving: Whether it accepts no new requests any more.
    """

    rate_per_s: float | None = None
    refusals_per_s: float | None = None
    leaving: bool = False


OnWorkerStatus = Callable[[RegisteredWorker, WorkerStatus], None]


def report_reader(
    session: aiohttp.ClientSession,
    on_status: OnWorkerStatus = lambda _worker, _status: None,
) -> ReadReport:
    """Returns a reader of one worker's report, with a timeout in seconds.

    Args:
      session: Session for the requests.
      on_status: Called if a response carries a status of the worker. Missing
        headers don't withdraw an earlier status: only responses to callers'
        requests are sure to carry them.

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
                    on_status(worker, WorkerStatus(leaving=True))
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
    status = WorkerStatus(
        decode_rate_limit(headers.getall(RATE_LIMIT, [])),
        decode_brittleness(headers.getall(BRITTLE, [])),
        any(map(read_leaving, headers.getall(LEAVING, []))),
    )
    if status != WorkerStatus():
        on_status(worker, status)
