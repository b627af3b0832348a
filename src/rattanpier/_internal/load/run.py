"""Runs a plan in an open loop: arrivals don't wait for answers."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable

import aiohttp
import attrs

from rattanpier._internal.load.arrivals import Arrival, Shape, plan_arrivals
from rattanpier._internal.load.caller import Caller, Heard, is_right
from rattanpier._internal.load.directory import Directory
from rattanpier._internal.load.report import Report, record

Progress = Callable[[int], None]


@attrs.frozen
class Load:
    """One run."""

    shape: Shape
    caller: Caller
    report: Report

    async def serve(self, arrival: Arrival) -> None:
        """Sends one request, checks its answer, and repeats it if planned."""
        heard = await self.caller.ask(arrival)
        self.note(arrival, heard)
        if heard.code or not arrival.repeats:
            return
        again = await self.caller.ask(arrival)
        self.report.counts["repeats"] += 1
        if not again.code and again.text != heard.text:
            self.report.counts["repeat_differs"] += 1

    def note(self, arrival: Arrival, heard: Heard) -> None:
        """Counts what a caller heard."""
        counts = self.report.counts
        counts["sent"] += 1
        counts["reconnects"] += heard.tries - 1
        if heard.code:
            counts[f"refused.{heard.code}"] += 1
            return
        right = is_right(heard, arrival.prompt, self.shape.max_tokens)
        counts["whole" if right else "wrong"] += 1
        if arrival.stream and heard.first_s:
            record(self.report.first, heard.first_s)
        record(self.report.whole, heard.whole_s)
        self.note_session(heard)

    def note_session(self, heard: Heard) -> None:
        """Counts a session that lost its version, told so or not."""
        if heard.pinned in ("", heard.version):
            return
        told = heard.version_lost == heard.pinned
        name = "session_told" if told else "session_moved"
        self.report.counts[name] += 1


async def run_load(
    shape: Shape,
    seeds: list[str],
    progress: Progress = lambda _: None,
) -> Report:
    """Runs a plan against entries and returns what callers saw."""
    connector = aiohttp.TCPConnector(limit=0)
    timeout = aiohttp.ClientTimeout(total=None, sock_connect=5)
    async with aiohttp.ClientSession(
        connector=connector, timeout=timeout
    ) as session:
        directory = Directory(session, seeds, random.Random(shape.seed))
        prefix = f"load-{shape.seed}-{time.time_ns():x}"
        caller = Caller(session, directory, shape.max_tokens, prefix)
        load = Load(shape, caller, Report())
        start = time.monotonic()
        async with asyncio.TaskGroup() as group:
            for arrival in plan_arrivals(shape):
                wait = start + arrival.at - time.monotonic()
                await asyncio.sleep(max(0.0, wait))
                group.create_task(load.serve(arrival))
                progress(arrival.number)
    return load.report
