"""Reads the load that workers report."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import aiohttp

from rattanpier._internal.models.sending import ReportedLoad
from rattanpier._internal.models.worker import RegisteredWorker
from rattanpier._internal.platform.upstream import decode_report

PATH = "/rattanpier/report"

ReadReport = Callable[[RegisteredWorker, float], Awaitable[ReportedLoad | None]]


def report_reader(session: aiohttp.ClientSession) -> ReadReport:
    """Returns what asks one worker within some seconds; None: no answer."""

    async def read(
        worker: RegisteredWorker, limit_s: float
    ) -> ReportedLoad | None:
        timeout = aiohttp.ClientTimeout(total=limit_s)
        url = f"http://{worker.host}:{worker.port}{PATH}"
        try:
            async with session.get(url, timeout=timeout) as response:
                if response.status != 200:
                    return None
                return decode_report(await response.read())
        except (aiohttp.ClientError, TimeoutError):
            # A worker that does not answer is judged by its requests.
            return None

    return read
