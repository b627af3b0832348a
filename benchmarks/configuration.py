"""Measures how fast a change is in force everywhere.

Starts entries and two control processes on loopback and makes changes through
the operators' interface. Then it freezes one entry and makes more changes. Run:

    python -m benchmarks.configuration --entries 8 --changes 10
"""

from __future__ import annotations

import asyncio
import signal
import tempfile
import time

import fire
from rich.console import Console

from tests.lib.builders import configuration_text
from tests.lib.cluster import Cluster
from tests.lib.operators import Operator, find_operator

WATCH_MEMBERS_S = 10.0  # Until control processes know all members.
FROZEN_CHANGES = 2


async def change(operator: Operator, text: str, number: int) -> float:
    """Makes a change and returns the seconds until it is in force."""
    base = (await operator.get("config"))["revision"]
    edited = text.replace("share = 1.0", f"share = {number + 2}.0")
    started = time.monotonic()
    status, report = await operator.post("config", edited, base=base, wait_s=30)
    assert status == 200 and report["in_force"], report
    return time.monotonic() - started


async def count_reads(cluster: Cluster) -> int:
    """Returns the number of reads that the store has served."""
    url = f"{cluster.urls['table']}/standin/stats"
    async with cluster.session.get(url) as response:
        return (await response.json(content_type=None))["reads"]


async def measure(entries: int, changes: int, folder: str) -> dict:
    """Returns the seconds of all changes and the store's reads while idle."""
    async with Cluster(folder) as cluster:
        await cluster.start_table()
        url = await cluster.start_standin(
            "engine", "engine", "--versions", "small@1=0.9,large@1=1.0"
        )
        text = configuration_text([url], fleet_size=entries)
        text = text.replace(
            "[workspaces.desk]", "[workspaces.desk]\nshare = 1.0"
        )
        await cluster.apply(text)
        for name in ("control-1", "control-2"):
            await cluster.start_node(name, "control")
        for number in range(entries):
            await cluster.start_entry(f"entry-{number}")
        operator = await find_operator(cluster)
        await asyncio.sleep(WATCH_MEMBERS_S)
        reads = await count_reads(cluster)
        await asyncio.sleep(5.0)
        reads = await count_reads(cluster) - reads
        healthy = [
            await change(operator, text, number) for number in range(changes)
        ]
        cluster.processes["entry-0"].send(signal.SIGSTOP)
        frozen = [
            await change(operator, text, changes + number)
            for number in range(FROZEN_CHANGES)
        ]
        return {
            "entries": entries,
            "healthy_s": sorted(healthy),
            "one_frozen_s": sorted(frozen),
            "idle_reads_per_node_and_s": reads / 5.0 / (entries + 2),
        }


def main(entries: int = 8, changes: int = 10) -> None:
    """Measures a fleet of one size.

    Args:
      entries: Number of entries to start.
      changes: Number of changes to make before an entry is frozen.
    """
    with tempfile.TemporaryDirectory() as folder:
        results = asyncio.run(measure(entries, changes, folder))
    console = Console(width=100)
    for name, value in results.items():
        console.print(name, value)


if __name__ == "__main__":
    fire.Fire(main)
