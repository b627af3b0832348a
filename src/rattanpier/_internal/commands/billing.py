"""`rattanpier bills`: reads all bills from the platform and totals them."""

from __future__ import annotations

import asyncio
import collections
from collections.abc import Callable, Iterable
from typing import Any

import aiohttp
import attrs
from rich.console import Console

from rattanpier._internal.claims.snapshot import BilledClaim
from rattanpier._internal.commands.bills import export_bills
from rattanpier._internal.commands.result import Result, make_table
from rattanpier._internal.configuration.parse import load_settings
from rattanpier._internal.exceptions import CommandError
from rattanpier._internal.models.settings import (
    PlatformSettings,
)
from rattanpier._internal.store.http_objects import HttpObjects
from rattanpier._internal.store.table import HttpTable

PROGRESS_INTERVAL_BILLS = 1000

Progress = Callable[[int], None]


def bills(
    settings: str = "",
    table_url: str = "",
    objects_url: str = "",
    workspace: str = "",
) -> Result:
    """Shows the total billed to each workspace; `--json` prints every bill.

    Args:
      settings: Settings file of a process, which gives the platform's URLs.
      table_url: URL of the table service, instead of a settings file.
      objects_url: URL of the object store, instead of a settings file.
      workspace: Show only this workspace.
    """
    platform = find_platform(settings, table_url, objects_url)
    with Console(stderr=True).status("Reading bills") as status:
        found = asyncio.run(
            read_all(
                platform, lambda count: status.update(f"{count} bills read")
            )
        )
    wanted = [one for one in found if workspace in ("", one.bill.workspace)]
    return Result(
        [attrs.asdict(one) for one in wanted], [make_totals_table(wanted)]
    )


def find_platform(
    settings: str, table_url: str, objects_url: str
) -> PlatformSettings:
    """Returns the platform settings from the command's options.

    Raises:
      CommandError: Neither a settings file nor a table URL is given.
    """
    if settings:
        return load_settings(settings).platform
    if not table_url:
        raise CommandError(
            "no URL of a table service is given",
            "give --settings or --table_url",
        )
    return PlatformSettings(table_url, objects_url)


async def read_all(
    platform: PlatformSettings, progress: Progress
) -> list[BilledClaim]:
    """Returns all bills; reports the number read so far to `progress`."""
    async with aiohttp.ClientSession() as session:
        timeout_s = platform.timeout_s
        table = HttpTable(session, platform.table_url, timeout_s)
        objects = None
        if platform.objects_url:
            objects = HttpObjects(session, platform.objects_url, timeout_s)
        found: list[BilledClaim] = []
        async for billed in export_bills(table, objects):
            found.append(billed)
            if len(found) % PROGRESS_INTERVAL_BILLS == 0:
                progress(len(found))
        return found


def make_totals_table(found: Iterable[BilledClaim]) -> Any:
    """Returns a table of totals by workspace and version."""
    counts: collections.Counter[tuple[str, str]] = collections.Counter()
    credits: collections.Counter[tuple[str, str]] = collections.Counter()
    for one in found:
        key = (one.bill.workspace, one.bill.version)
        counts[key] += 1
        credits[key] += one.bill.credits
    table = make_table("Bills", ("workspace", "version", "bills", "credits"))
    for key in sorted(counts):
        table.add_row(*key, str(counts[key]), f"{credits[key]:.6f}")
    return table
