"""Open-loop load run: requests are sent without waiting for answers."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable

import aiohttp
import attrs

from rattanpier._internal.load.arrivals import (
    Arrival,
    LoadProfile,
    plan_arrivals,
)
from rattanpier._internal.load.caller import (
    Caller,
    CallResult,
    is_expected_text,
)
from rattanpier._internal.load.directory import Directory
from rattanpier._internal.load.report import Report, record

Progress = Callable[[int], None]


@attrs.frozen
class Load:
    """One load run.

    Attributes:
      profile: Parameters of the load.
      caller: Sends the requests.
      report: Collects the results.
    """

    profile: LoadProfile
    caller: Caller
    report: Report

    async def run_request(self, arrival: Arrival) -> None:
        """Sends one request, checks its answer and repeats it if planned."""
        result = await self.caller.ask(arrival)
        self.record_result(arrival, result)
        if result.code or not arrival.repeats:
            return
        repeated = await self.caller.ask(arrival)
        self.report.counts["repeats"] += 1
        if not repeated.code and repeated.text != result.text:
            self.report.counts["repeat_differs"] += 1

    def record_result(self, arrival: Arrival, result: CallResult) -> None:
        """Checks a result and adds it to the report."""
        counts = self.report.counts
        counts["sent"] += 1
        counts["reconnects"] += result.attempts - 1
        if result.code:
            counts[f"refused.{result.code}"] += 1
            return
        right = is_expected_text(
            result, arrival.prompt, self.profile.max_tokens
        )
        counts["whole" if right else "wrong"] += 1
        if arrival.stream and result.first_s:
            record(self.report.first, result.first_s)
        record(self.report.whole, result.whole_s)
        self.record_session_version(result)

    def record_session_version(self, result: CallResult) -> None:
        """Counts a version change in a session, announced or not."""
        if result.pinned in ("", result.version):
            return
        told = result.version_lost == result.pinned
        name = "session_told" if told else "session_moved"
        self.report.counts[name] += 1


async def run_load(
    profile: LoadProfile,
    initial_urls: list[str],
    progress: Progress = lambda _: None,
) -> Report:
    """Runs a load against entries and returns the report.

    Args:
      profile: Parameters of the load.
      initial_urls: Addresses of entries; the others are discovered.
      progress: Called with the number of each request when it is scheduled.
    """
    connector = aiohttp.TCPConnector(limit=0)
    timeout = aiohttp.ClientTimeout(total=None, sock_connect=5)
    async with aiohttp.ClientSession(
        connector=connector, timeout=timeout
    ) as session:
        directory = Directory(
            session, initial_urls, random.Random(profile.seed)
        )
        prefix = f"load-{profile.seed}-{time.time_ns():x}"
        caller = Caller(session, directory, profile.max_tokens, prefix)
        load = Load(profile, caller, Report())
        start = time.monotonic()
        async with asyncio.TaskGroup() as group:
            for arrival in plan_arrivals(profile):
                wait = start + arrival.at - time.monotonic()
                await asyncio.sleep(max(0.0, wait))
                group.create_task(load.run_request(arrival))
                progress(arrival.number)
    return load.report
